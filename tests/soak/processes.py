"""Gateway processes as a supervisor runs them: their logs are read through pipes, they are
restarted when they end, and the signals that they get are recorded."""

import fcntl
import os
import pathlib
import select
import signal
import subprocess
import sys
import threading
import time

from record import Exit, Signal

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests" / "platform"))

from gateway_process import BINARY, Gateway  # noqa: E402

RESTART_DELAY_S = 0.3  # between the exit of a process and its next start
READY_TIMEOUT_S = 5.0  # a started process is ready within about two seconds
READINESS_PROBE_INTERVAL_S = 0.25  # after two failed probes an instance leaves the rotation
LOG_POLL_INTERVAL_MS = 50
SMALLEST_PIPE_BYTES = 4096


def measure_main_cpu_s():
    """Returns the processor time by which a process has certainly begun its main."""
    child = subprocess.Popen([BINARY, "--help"], stdout=subprocess.DEVNULL,
                             stderr=subprocess.DEVNULL)
    usage = os.wait4(child.pid, 0)[2]
    child.returncode = 0
    return usage.ru_utime + usage.ru_stime


class Process(subprocess.Popen):
    """A process that records the signals that are sent to it."""

    def __init__(self, command, main_cpu_s, **options):
        super().__init__(command, **options)
        self.main_cpu_s = main_cpu_s
        self.started = time.monotonic()
        self.signals = []

    def send_signal(self, sig):
        if self.poll() is None:
            self.signals.append(Signal(sig, time.monotonic(), self._may_precede_main()))
            super().send_signal(sig)

    def _may_precede_main(self):
        try:
            text = pathlib.Path(f"/proc/{self.pid}/schedstat").read_text(encoding="ascii")
        except (FileNotFoundError, ProcessLookupError):
            return False
        return int(text.split()[0]) / 1e9 < self.main_cpu_s


class LogReader:
    """Copies what a process writes from a pipe into a file, until it is closed."""

    def __init__(self, pipe, file):
        self.pipe = pipe
        self.file = file
        self.closed = False
        self.reading = threading.Event()
        self.reading.set()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        poll = select.poll()
        poll.register(self.pipe, select.POLLIN)
        while not self.closed:
            self.reading.wait()
            if not self.closed and poll.poll(LOG_POLL_INTERVAL_MS):
                data = os.read(self.pipe, 65536)
                if not data:
                    break
                os.write(self.file.fileno(), data)
        os.close(self.pipe)

    def pause(self):
        """Stops reading; the pipe is soon full."""
        self.reading.clear()
        try:
            fcntl.fcntl(self.pipe, fcntl.F_SETPIPE_SZ, SMALLEST_PIPE_BYTES)
        except OSError:
            pass  # it holds more, or has been closed

    def close(self):
        self.closed = True
        self.reading.set()
        self.thread.join()

    def finish(self):
        """Reads to the end of what an ended process has written."""
        self.reading.set()
        self.thread.join()


class SupervisedGateway(Gateway):
    """A gateway whose log is read through a pipe. Fields set the conditions of its starts."""

    reader = None
    descriptor_limit = 0  # none of its own

    def __init__(self, *arguments, main_cpu_s, **options):
        self.main_cpu_s = main_cpu_s
        self.start_signals = []  # (delay, signal) of the next start
        super().__init__(*arguments, **options)

    def start(self):
        if self.reader:
            self.reader.finish()
        command = [BINARY, "gateway", "--config", self.settings]
        if self.descriptor_limit:
            # Python does not allow preexec_fn beside threads.
            command = ["sh", "-c", f"ulimit -n {self.descriptor_limit}; exec \"$0\" \"$@\"",
                       *command]
        output, log = os.pipe()
        self.child = Process(command, self.main_cpu_s, stdout=log, stderr=subprocess.STDOUT,
                             stdin=subprocess.DEVNULL)
        os.close(log)
        self.reader = LogReader(output, self.log)
        signals, self.start_signals = self.start_signals, []
        for delay_s, number in sorted(signals):
            time.sleep(max(0.0, self.child.started + delay_s - time.monotonic()))
            self.child.send_signal(number)

    def stop(self):
        self.child.send_signal(signal.SIGKILL)
        self.child.wait()
        self.reader.finish()
        super().stop()


class GatewayInstance:
    """A gateway instance whose process is restarted after it has exited."""

    def __init__(self, name, gateway, forwarded_address):
        self.name = name
        self.gateway = gateway
        self.valid_settings = gateway.settings.read_text(encoding="utf-8")
        self.forwarded_address = forwarded_address
        self.boot = 0
        self.start_lock = threading.Lock()  # held while the next start must wait
        self.address_lock = threading.Lock()  # held while another socket has the address
        self.exits = []
        self.in_rotation = False
        self.stopping = False

    def send_signal(self, number):
        self.gateway.child.send_signal(number)

    def supervise(self):
        """Restarts the process after an exit and probes its readiness, as a platform does."""
        misses = 0
        while not self.stopping:
            child = self.gateway.child
            if child.poll() is not None:
                self.exits.append(Exit(self.name, child.returncode, child.signals))
                time.sleep(RESTART_DELAY_S)
                if self.stopping:
                    return
                with self.start_lock:
                    self.boot += 1
                    self.gateway.start()
            misses = 0 if self.gateway.ready() else misses + 1
            self.in_rotation = misses < 2
            time.sleep(READINESS_PROBE_INTERVAL_S)

    def wait_until_ready(self):
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not self.gateway.ready() and time.monotonic() < deadline:
            time.sleep(0.1)

    def wait_until_restarted(self, boot):
        """Waits for a start after the one with this number."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        while self.boot == boot and time.monotonic() < deadline:
            time.sleep(0.005)
