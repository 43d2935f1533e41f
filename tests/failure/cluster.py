"""Starts fake services and entry instances as separate processes on loopback."""

import json
import os
import pathlib
import signal
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
BUILD = ROOT / os.environ.get("BUILD_DIR", "build")
OPERATOR_TOKEN = "operator-token"
PEER_TOKEN = "peer-token-1"
STEIGERVERGUNNING_DOMAINS = ["nl-west-a", "nl-west-b", "nl-west-c", "nl-west-d"]
PLUMECRAFT_DOMAINS = ["couva-a", "couva-b", "chag-lab", "pt-lisas"]
START_TIMEOUT_S = 20
PORTS_PER_CLUSTER = 2000
FIRST_EPHEMERAL_PORT = 32768  # from here on, outgoing connections may occupy ports


def http_json(method, address, path, body=None, headers=None, timeout=5):
    """Sends one request; returns (status, headers, JSON value or body text)."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(
        f"http://{address}{path}", data=data, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, response.headers, parse_body(response.read())
    except urllib.error.HTTPError as error:
        return error.code, error.headers, parse_body(error.read())


def parse_body(raw):
    try:
        return json.loads(raw)
    except ValueError:
        return raw.decode(errors="replace")


class Process:
    """A child process with its log file."""

    def __init__(self, name, command, log_path):
        self.name = name
        self.log_path = log_path
        self.log = open(log_path, "ab")
        self.command = command
        self.child = subprocess.Popen(
            command, stdout=self.log, stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL)

    def send_signal(self, number):
        if self.child.poll() is None:
            self.child.send_signal(number)

    def stop(self):
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        self.child.wait()
        self.log.close()

    def wait_exit(self, timeout):
        return self.child.wait(timeout=timeout)


class Cluster:
    """Fake services and entry instances of one deployment.

    Ports are `base_port` plus fixed offsets, so that clusters whose base ports are
    at least PORTS_PER_CLUSTER apart can run at once.
    """

    def __init__(self, base_port=21000, entries=5, engines=4, plains=2, domains=None,
                 disable=(), policy="predicted", through_forwarder=False,
                 engine_arguments=(), settings_overrides=None, seed=1,
                 keep_history=True, traffic_threads=1, plain_pool="desks", plain_arguments=()):
        if base_port + PORTS_PER_CLUSTER > FIRST_EPHEMERAL_PORT:
            raise ValueError(f"ports from {base_port} overlap the ephemeral port range")
        self.base_port = base_port
        self.domains = domains or STEIGERVERGUNNING_DOMAINS
        self.entry_count = entries
        self.engine_count = engines
        self.plain_count = plains
        self.disable = list(disable)
        self.policy = policy
        self.through_forwarder = through_forwarder
        self.engine_arguments = list(engine_arguments)
        self.settings_overrides = settings_overrides or {}
        self.seed = seed
        self.traffic_threads = traffic_threads
        self.plain_pool = plain_pool
        self.plain_arguments = list(plain_arguments)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="cowslipknot-"))
        self.history_path = self.folder / "history.jsonl" if keep_history else ""
        self.processes = {}

    # Addresses -----------------------------------------------------------
    def platform_address(self):
        return f"127.0.0.1:{self.base_port}"

    def forwarder_address(self):
        return f"127.0.0.1:{self.base_port + 1}"

    def entry_address(self, index):
        return f"127.0.0.1:{self.base_port + 100 + index}"

    def operator_address(self, index):
        return f"127.0.0.1:{self.base_port + 500 + index}"

    def peer_address(self, index):
        return f"{self.peer_host(index)}:{self.base_port + 900 + index}"

    def peer_host(self, index):
        """With a forwarder, each entry instance has its own loopback address, so that the
        link between any two can be cut."""
        return f"127.0.1.{index + 1}" if self.through_forwarder else "127.0.0.1"

    def advertised_peer_address(self, index):
        if not self.through_forwarder:
            return self.peer_address(index)
        return f"127.0.0.1:{self.base_port + 1100 + index}"

    def platform_address_for(self, index):
        """The platform address that entry instance `index` connects to."""
        if not self.through_forwarder:
            return self.platform_address()
        return f"127.0.0.1:{self.base_port + 1300 + index}"

    def engine_address(self, index):
        return f"127.0.0.1:{self.base_port + 1700 + index}"

    def plain_address(self, index):
        return f"127.0.0.1:{self.base_port + 1900 + index}"

    def domain_of(self, index):
        return self.domains[index % len(self.domains)]

    # Processes -----------------------------------------------------------
    def start_process(self, name, command):
        log = self.folder / f"{name}.log"
        self.processes[name] = Process(name, [str(part) for part in command], log)

    def start(self):
        self.start_process("platform", [
            BUILD / "fake_platform", "--port", self.base_port,
            "--history", self.history_path])
        wait_until(lambda: http_json("POST", self.platform_address(), "/test/faults", {}))
        if self.through_forwarder:
            links = ",".join(
                f"platform-{i}={self.platform_address_for(i)}={self.platform_address()}"
                for i in range(self.entry_count))
            links += "," + ",".join(
                f"peers-{i}={self.advertised_peer_address(i)}={self.peer_address(i)}"
                for i in range(self.entry_count))
            self.start_process("forwarder", [
                BUILD / "fake_forwarder", "--port", self.base_port + 1, "--links", links])
            wait_until(lambda: http_json("POST", self.forwarder_address(), "/test/links", {}))
        for i in range(self.engine_count):
            self.start_engine(i)
        for i in range(self.plain_count):
            self.start_plain(i)
        for i in range(self.entry_count):
            self.start_entry(i)

    def start_engine(self, index, pool="engines", incarnation=1, extra=()):
        self.start_process(f"engine-{index}", [
            BUILD / "fake_engine", "--name", f"engine-{index}",
            "--port", self.base_port + 1700 + index, "--pool", pool,
            "--domain", self.domain_of(index), "--incarnation", incarnation,
            "--platform", self.platform_address(), "--history", self.history_path,
            *self.engine_arguments, *extra])

    def start_plain(self, index, incarnation=1, extra=()):
        self.start_process(f"plain-{index}", [
            BUILD / "fake_plain_service", "--name", f"plain-{index}",
            "--port", self.base_port + 1900 + index, "--pool", self.plain_pool,
            "--domain", self.domain_of(index), "--incarnation", incarnation,
            "--platform", self.platform_address(), "--history", self.history_path,
            *self.plain_arguments, *extra])

    def settings_text(self, index):
        seeds = ", ".join(f'"{self.advertised_peer_address(i)}"'
                          for i in range(min(3, self.entry_count)))
        sections = {
            "node": {"name": f"entry-{index}", "domain": self.domain_of(index)},
            "listen": {"callers": self.entry_address(index),
                       "operators": self.operator_address(index),
                       "peers": self.peer_address(index),
                       "peers_advertised": self.advertised_peer_address(index)},
            "platform": {"address": self.platform_address_for(index), "poll_ms": 1000},
            "peers": {"token": PEER_TOKEN},
            "operators": {"token": OPERATOR_TOKEN},
            "traffic": {"threads": self.traffic_threads, "policy": self.policy},
            "drain": {"grace_ms": 300, "limit_ms": 8000, "hand_over_margin_ms": 2000},
            "experiment": {"seed": self.seed * 1000 + index},
        }
        if self.disable:
            sections["experiment"]["disable"] = self.disable
        for section, values in self.settings_overrides.items():
            sections.setdefault(section, {}).update(values)
        lines = []
        for section, values in sections.items():
            lines.append(f"[{section}]")
            lines += [f"{key} = {json.dumps(value)}" for key, value in values.items()]
            if section == "peers":
                lines.append(f"seeds = [{seeds}]")
        return "\n".join(lines) + "\n"

    def start_entry(self, index):
        path = self.folder / f"entry-{index}.toml"
        path.write_text(self.settings_text(index))
        self.start_process(f"entry-{index}", [
            BUILD / "cowslipknot", "serve", "--config", path])

    def apply(self, objects_path, index=0, timeout_ms=15000):
        """Applies an object file; returns the command's exit code."""
        return self.run_command(index, "apply", str(objects_path), "--yes",
                                "--wait-ms", str(timeout_ms)).returncode

    def run_command(self, index, *arguments):
        return subprocess.run(
            [str(BUILD / "cowslipknot"), *arguments, "--server", self.operator_address(index),
             "--token", OPERATOR_TOKEN],
            capture_output=True, text=True, timeout=60, check=False)

    def status(self, index):
        return http_json("GET", self.operator_address(index), "/v1/status",
                         headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"})[2]

    def metrics(self, index):
        text = http_json("GET", self.operator_address(index), "/metrics",
                         headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"})[2]
        values = {}
        for line in text.splitlines():
            if not line.startswith("#"):
                name, value = line.rsplit(" ", 1)
                values[name] = float(value)
        return values

    def wait_members(self, count, index=0):
        wait_until(lambda: len(self.status(index)["members"]) == count)

    def wait_servers(self, count, entries=None):
        """Waits until each of the entry instances knows at least `count` servers."""
        for i in entries if entries is not None else range(self.entry_count):
            wait_until(lambda i=i: len(self.status(i)["servers"]) >= count)

    def wait_ready(self, entries=None):
        for i in entries if entries is not None else range(self.entry_count):
            wait_until(lambda i=i: http_json("GET", self.entry_address(i), "/readyz")[0] == 200)

    def start_and_configure(self, objects_path):
        self.start()
        for i in range(self.entry_count):
            wait_until(lambda i=i: self.status(i))
        self.wait_members(self.entry_count)
        code = self.apply(objects_path)
        if code != 0:
            raise RuntimeError(f"apply exited with code {code}")
        self.wait_servers(self.engine_count + self.plain_count)
        self.wait_ready()

    def set_faults(self, address, **faults):
        http_json("POST", address, "/test/faults", faults)

    def mark_leaving(self, *names):
        http_json("POST", self.platform_address(), "/test/instances", {"leave": list(names)})

    def remove_instances(self, *names):
        http_json("POST", self.platform_address(), "/test/instances", {"remove": list(names)})

    def set_link_modes(self, modes):
        """Sets the mode of each named link; fake_forwarder.cc defines the modes."""
        http_json("POST", self.forwarder_address(), "/test/links", modes)

    def set_domain_links(self, index, mode="cut", platform=True, peers=True):
        """Sets the mode of the links between the failure domain of entry instance `index`
        and the other domains or the platform. Returns the instances in the domain."""
        inside = [i for i in range(self.entry_count)
                  if self.domain_of(i) == self.domain_of(index)]
        modes = {}
        for i in inside:
            if platform:
                modes[f"platform-{i}"] = mode
            for other in range(self.entry_count):
                if peers and other not in inside:
                    modes[f"{self.peer_host(i)}>peers-{other}"] = mode
                    modes[f"{self.peer_host(other)}>peers-{i}"] = mode
        self.set_link_modes(modes)
        return inside

    def kill(self, name):
        self.processes[name].send_signal(signal.SIGKILL)
        self.processes[name].child.wait()

    def history(self):
        lines = []
        if self.history_path and os.path.exists(self.history_path):
            with open(self.history_path, encoding="utf-8") as file:
                lines = [json.loads(line) for line in file if line.strip()]
        return lines

    def log_events(self, index):
        """Returns the structured log events of one entry instance."""
        events = []
        with open(self.processes[f"entry-{index}"].log_path, encoding="utf-8") as file:
            for line in file:
                # The process may be writing its last line at this moment.
                if line.startswith("{\"time_ms\"") and line.endswith("\n"):
                    events.append(json.loads(line))
        return events

    def stop(self):
        for process in self.processes.values():
            process.stop()

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        self.stop()


def wait_until(condition, timeout=START_TIMEOUT_S):
    """Polls until the condition holds. An error such as a refused connection counts as
    not met; raises TimeoutError after `timeout` seconds."""
    deadline = time.monotonic() + timeout
    last_error = None
    while time.monotonic() < deadline:
        try:
            if condition():
                return
        except (OSError, KeyError, TypeError, ValueError) as error:
            last_error = error
        time.sleep(0.05)
    raise TimeoutError(f"condition not met within {timeout} s; last error: {last_error}")
