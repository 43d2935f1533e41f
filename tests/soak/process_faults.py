"""Faults of gateway processes, most of which come from outside: signals, the reader of the
log, the settings file, the callers' address, the limit on descriptors."""

import contextlib
import random
import signal
import socket
import subprocess
import time

IGNORED_SIGNALS = (signal.SIGHUP, signal.SIGUSR1, signal.SIGUSR2, signal.SIGALRM)
SIGNAL_INTERVAL_S = (0.0, 0.2)  # of a series
START_SIGNALS_S = 0.03  # after the start
SETTINGS_PAUSE_S = 0.5  # at most, between the two writes of the file
SLOW_SETTINGS_S = 1.0  # invalid settings that stay longer are reported; a start waits 3 s
ADDRESS_TAKEN_S = 2.0  # at most
LOG_SIGNAL_INTERVAL_S = 0.02  # each SIGHUP adds a line to a log that is not read
DESCRIPTORS = 128  # limit of a process, and for each other instance:
DESCRIPTORS_PER_INSTANCE = 4
EXCESS_CONNECTIONS = 50  # idle connections beyond the limit on descriptors


class ProcessFaults:
    """Injects faults into the processes of instances."""

    def __init__(self, bounds, instance_count, fault_period):
        self.stop_s = bounds["stop_s"]
        self.descriptor_limit = DESCRIPTORS + DESCRIPTORS_PER_INSTANCE * instance_count
        self.fault_period = fault_period  # records a period of (target, kind)
        self.by_kind = {
            name: getattr(self, name) for name in (
                "stop", "kill", "pause", "reload", "bad_settings", "signals", "signals_stop",
                "signals_start", "log_closed", "log_stalled", "settings_rewritten",
                "address_taken", "few_descriptors")}

    def inject(self, instance, fault):
        self.by_kind[fault.kind](instance, fault)

    def stop(self, instance, _=None):
        """Sends SIGTERM, and SIGKILL if the process has not exited within stop_s."""
        child = instance.gateway.child
        child.send_signal(signal.SIGTERM)
        self._wait_until_stopped(instance, child)

    def _wait_until_stopped(self, instance, child):
        try:
            child.wait(timeout=self.stop_s)
        except subprocess.TimeoutExpired:
            child.send_signal(signal.SIGKILL)
            child.wait()
        instance.wait_until_ready()

    def kill(self, instance, _):
        instance.send_signal(signal.SIGKILL)
        instance.wait_until_ready()

    def pause(self, instance, fault):
        child = instance.gateway.child
        child.send_signal(signal.SIGSTOP)
        time.sleep(fault.for_s)
        child.send_signal(signal.SIGCONT)

    def reload(self, instance, _):
        instance.send_signal(signal.SIGHUP)

    def bad_settings(self, instance, _):
        path = instance.gateway.settings
        ends = [time.monotonic()]  # of the steps
        path.write_text("[node]\nname = 7\n", encoding="utf-8")
        ends.append(time.monotonic())
        instance.send_signal(signal.SIGHUP)
        ends.append(time.monotonic())
        time.sleep(0.3)
        ends.append(time.monotonic())
        path.write_text(instance.valid_settings, encoding="utf-8")
        ends.append(time.monotonic())
        instance.send_signal(signal.SIGHUP)
        if ends[-1] - ends[0] > SLOW_SETTINGS_S:
            steps = [round(end - start, 3) for start, end in zip(ends, ends[1:])]
            print(f"NOTE {instance.name}: invalid settings stayed; write, signal, pause and "
                  f"write took {steps} s", flush=True)

    def signals(self, instance, fault):
        """Sends a series of signals that a process should survive."""
        rng = random.Random(fault.at_s)
        end = time.monotonic() + fault.for_s
        while time.monotonic() < end:
            instance.send_signal(rng.choice(IGNORED_SIGNALS))
            time.sleep(rng.uniform(*SIGNAL_INTERVAL_S))

    def signals_stop(self, instance, fault):
        """Stops a process and sends it other signals before and after SIGTERM."""
        rng = random.Random(fault.at_s)
        child = instance.gateway.child
        numbers = [rng.choice(IGNORED_SIGNALS) for _ in range(8)]
        numbers.insert(rng.randrange(4), signal.SIGTERM)
        for number in numbers:
            child.send_signal(number)
            time.sleep(rng.choice((0.0, 0.002, fault.for_s / 8)))
        self._wait_until_stopped(instance, child)

    def signals_start(self, instance, fault):
        """Restarts a process, which gets signals from its first moment on."""
        rng = random.Random(fault.at_s)
        numbers = (*IGNORED_SIGNALS, signal.SIGTERM)
        with self._restarted(instance):
            instance.gateway.start_signals = [
                (rng.uniform(0, START_SIGNALS_S), rng.choice(numbers)) for _ in range(5)]
        instance.wait_until_ready()

    def log_closed(self, instance, _):
        """The reader of the log ends; the next process gets another one."""
        instance.gateway.reader.close()

    def log_stalled(self, instance, fault):
        reader = instance.gateway.reader
        reader.pause()
        end = time.monotonic() + fault.for_s
        while time.monotonic() < end:
            instance.send_signal(signal.SIGHUP)
            time.sleep(LOG_SIGNAL_INTERVAL_S)
        reader.reading.set()

    def settings_rewritten(self, instance, fault):
        """The settings file is replaced in two writes while the process starts."""
        path = instance.gateway.settings
        with self._restarted(instance):
            path.write_text("", encoding="utf-8")
        time.sleep(min(SETTINGS_PAUSE_S, fault.for_s / 4))
        path.write_text(instance.valid_settings, encoding="utf-8")
        instance.wait_until_ready()

    def address_taken(self, instance, fault):
        """Another socket listens on the callers' address when the process starts."""
        with instance.address_lock, socket.socket() as other:
            with self._restarted(instance):
                other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                other.bind(("127.0.0.1", instance.gateway.port))
                other.listen(128)
            time.sleep(min(ADDRESS_TAKEN_S, fault.for_s))
        instance.wait_until_ready()

    def few_descriptors(self, instance, fault):
        """Callers hold more connections than a restarted process may have descriptors."""
        with self.fault_period(instance.name, "kill"):
            with self._restarted(instance):
                instance.gateway.descriptor_limit = self.descriptor_limit
            instance.gateway.descriptor_limit = 0
            instance.wait_until_ready()
        hold_connections(("127.0.0.1", instance.gateway.port),
                         self.descriptor_limit + EXCESS_CONNECTIONS,
                         time.monotonic() + fault.for_s)

    @contextlib.contextmanager
    def _restarted(self, instance):
        """Kills a process, lets the caller prepare the next start and waits for it."""
        with instance.start_lock:
            boot = instance.boot
            instance.send_signal(signal.SIGKILL)
            instance.gateway.child.wait()
            yield
        instance.wait_until_restarted(boot)


def hold_connections(address, count, end):
    """Keeps that many idle connections open; those that the other side closes are replaced."""
    held = []
    while time.monotonic() < end:
        kept = [connection for connection in held if not was_closed(connection)]
        for connection in set(held) - set(kept):
            connection.close()
        held = kept + [opened for _ in range(count - len(kept))
                       if (opened := open_connection(address))]
        time.sleep(0.05)
    for connection in held:
        connection.close()


def open_connection(address):
    connection = socket.socket()
    connection.setblocking(False)
    try:
        connection.connect(address)
    except BlockingIOError:
        pass
    except OSError:
        connection.close()
        return None
    return connection


def was_closed(connection):
    try:
        return connection.recv(1) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True
