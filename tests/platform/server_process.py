"""Runs either server command as a process without the services around it."""

import http.client
import json
import os
import pathlib
import signal
import subprocess
import tempfile

from gateway_process import BINARY, eventually, free_port

SETTINGS = {
    "gateway": """
[node]
name = "gw1"
domain = "z1"
[listen]
callers = "127.0.0.1:{callers}"
readiness = "127.0.0.1:{status}"
metrics = "127.0.0.1:{other}"
[store]
address = "127.0.0.1:1"
[cloud]
address = "127.0.0.1:1"
[bounds]
stop_s = 2
""",
    "serve": """
[node]
name = "entry-1"
domain = "z1"
[listen]
callers = "127.0.0.1:{callers}"
operators = "127.0.0.1:{status}"
peers = "127.0.0.1:{other}"
[platform]
address = "127.0.0.1:1"
[peers]
seeds = ["127.0.0.1:{other}"]
token = "peer-token-1"
[operators]
token = "operator-token"
[drain]
grace_ms = 100
limit_ms = 2000
hand_over_margin_ms = 500
""",
}
READINESS = {"gateway": ("status", "/-/readyz"), "serve": ("callers", "/readyz")}
LOG_DESCRIPTOR = {"gateway": 1, "serve": 2}


class ServerProcess:
    """A process that runs the command `gateway` or `serve`. Its log is a file unless
    `start` is told otherwise."""

    def __init__(self, command):
        self.command = command
        self.folder = tempfile.TemporaryDirectory()
        self.settings = pathlib.Path(self.folder.name) / "settings.toml"
        self.log_path = pathlib.Path(self.folder.name) / "log"
        self.ports = {name: free_port() for name in ("callers", "status", "other")}
        self.settings_text = SETTINGS[command].format(**self.ports)
        self.settings.write_text(self.settings_text, encoding="utf-8")
        self.child = None

    def start(self, **options):
        """Starts the process. `options` go to subprocess.Popen."""
        with open(self.log_path, "ab") as log:
            options = {"stdin": subprocess.DEVNULL, "stdout": log, "stderr": log,
                       **options}
            self.child = subprocess.Popen(
                [BINARY, self.command, "--config", self.settings], **options)
        return self.child

    def close(self):
        if self.child and self.child.poll() is None:
            self.child.kill()
        if self.child:
            self.child.wait()
        self.folder.cleanup()

    def events(self, name=None):
        complete_lines = self.log_path.read_bytes().split(b"\n")[:-1]
        events = [json.loads(line) for line in complete_lines if line.startswith(b"{")]
        return [event for event in events if name in (None, event["name"])]

    def wait_for(self, name):
        """Waits for an event while the process runs, and returns it."""
        return self.wait_until(lambda: self.events(name))[0]

    def wait_until(self, condition):
        """Waits until a condition holds while the process runs, and returns its value."""
        def checked():
            ended = self.child.poll() is not None
            value = condition()
            if ended and not value:
                raise AssertionError(f"ended with {self.child.returncode}: "
                                     f"{self.log_path.read_text()}")
            return value
        return eventually(checked)

    def request(self, method, path, port="callers"):
        """Sends a request; returns the status, or None without an answer."""
        connection = http.client.HTTPConnection("127.0.0.1", self.ports[port], timeout=3)
        try:
            connection.request(method, path)
            return connection.getresponse().status
        except OSError:
            return None
        finally:
            connection.close()

    def readiness(self):
        """The status of the readiness check, or None without an answer."""
        port, path = READINESS[self.command]
        return self.request("GET", path, port)

    def descriptor(self, number):
        """What a descriptor of the process refers to."""
        return os.readlink(f"/proc/{self.child.pid}/fd/{number}")

    def blocks(self, number):
        """Whether the process has blocked a signal."""
        status = pathlib.Path(f"/proc/{self.child.pid}/status").read_text(encoding="ascii")
        mask = next(line for line in status.splitlines() if line.startswith("SigBlk"))
        return bool(int(mask.split()[1], 16) >> (number - 1) & 1)

    def send(self, *numbers):
        for number in numbers:
            os.kill(self.child.pid, number)

    def stop(self):
        """Ends the process with SIGTERM; returns its exit code."""
        self.send(signal.SIGTERM)
        return self.child.wait(timeout=15)
