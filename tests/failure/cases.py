"""Failure cases. Each one injects one kind of failure while requests are in flight."""

import random
import signal
import socket
import threading
import time

from case_support import (AUTH_HEADERS, OBJECTS_PATH, CaseResult, LoadGenerator,
                          run_under_load, send_raw, standard_checks)
from checker import Violation, check_at_most_once
from cluster import Cluster, http_json, wait_until
from copy_cases import copied_refusals_of_engines, copied_refusals_of_services
from crash_cases import crashing_filing, crashing_lookup, crashing_prompt
from early_answer_cases import early_answers
from evacuation_cases import evacuated_by_isolated, evacuated_domains
from server_limit_cases import server_limits
from server_notice_cases import hand_over_in_pause, leaving_answers, paused_server

# Entry instances ---------------------------------------------------------

def kill_entry(options, seed):
    """An entry instance crashes; callers retry at another instance."""
    def inject_faults(cluster, rng):
        time.sleep(2 + rng.random())
        cluster.kill(f"entry-{rng.randrange(5)}")
    with Cluster(seed=seed, **options) as cluster:
        return run_under_load(cluster, seed, inject_faults, {"allow_redone": True})


def die_in_reclaim(options, seed):
    """An entry instance gets a reclaim notice and crashes while it drains."""
    def inject_faults(cluster, rng):
        time.sleep(2 + rng.random())
        victim = f"entry-{rng.randrange(5)}"
        http_json("POST", cluster.platform_address(), "/test/instances", {"upsert": [{
            "id": victim, "kind": "entry", "host": "127.0.0.1", "port": 1,
            "domain": "nl-west-a", "pool": "entries", "incarnation": 1,
            "leaving": True, "reclaimable": True, "price": 1.0}]})
        index = int(victim[-1])
        wait_until(lambda: any(e["name"] == "draining" for e in cluster.log_events(index)))
        time.sleep(0.2 + 0.3 * rng.random())
        cluster.kill(victim)
    with Cluster(seed=seed, **options) as cluster:
        return run_under_load(cluster, seed, inject_faults, draft_tokens=200, drafts=0.4)


def hand_over(options, seed):
    """An entry instance stops and hands its unfinished requests over to other instances."""
    def inject_faults(cluster, rng):
        time.sleep(2 + rng.random())
        cluster.processes[f"entry-{rng.randrange(5)}"].send_signal(signal.SIGTERM)
    with Cluster(seed=seed, settings_overrides={
            "drain": {"grace_ms": 200, "limit_ms": 2500, "hand_over_margin_ms": 1500}},
                 **options) as cluster:
        result = run_under_load(cluster, seed, inject_faults, draft_tokens=400, drafts=0.5)
        handed = sum(1 for i in range(5) for e in cluster.log_events(i)
                     if e["name"] == "request_taken_over")
        result.notes["taken_over"] = handed
        if handed == 0:
            result.violations.append(Violation("case", "no request was handed over"))
        return result


def planned_stops(options, seed):
    """Every entry instance is stopped and replaced in turn under load."""
    def inject_faults(cluster, rng):
        order = list(range(5))
        rng.shuffle(order)
        for index in order:
            process = cluster.processes[f"entry-{index}"]
            process.send_signal(signal.SIGTERM)
            if process.wait_exit(15) != 0:
                raise RuntimeError(f"entry-{index} exited with an error after SIGTERM")
            cluster.start_entry(index)
            cluster.wait_ready([index])
            cluster.wait_servers(6, [index])
    with Cluster(seed=seed, **options) as cluster:
        return run_under_load(cluster, seed, inject_faults, {"no_broken": True}, seconds=14)


def stop_while_reading(options, seed):
    """An instance that stops answers requests whose bodies arrive meanwhile."""
    def stop_with_half_a_request(cluster, index):
        host, port = cluster.entry_address(index).rsplit(":", 1)
        body = b'{"lot": "x"}'
        head = (f"POST /filings/new HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-clerks\r\n"
                f"Idempotency-Key: k{index}\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode()
        process = cluster.processes[f"entry-{index}"]
        with socket.create_connection((host, int(port)), timeout=10) as connection, \
                socket.create_connection((host, int(port)), timeout=10) as idle:
            connection.sendall(head + body[:5])
            process.send_signal(signal.SIGTERM)
            time.sleep(2)  # longer than the listeners stay open
            idle_closed = idle.recv(1) == b""
            try:
                connection.sendall(body[5:])
                answer = connection.recv(65536)
            except OSError as error:
                answer = repr(error).encode()
        code = process.wait_exit(15)
        if answer.startswith(b"HTTP/1.1 200") and idle_closed and code == 0:
            return []
        return [Violation("graceful_stop", f"entry-{index}: {answer[:200]!r}, idle connection "
                                           f"closed: {idle_closed}, exit code {code}")]
    with Cluster(seed=seed, **options) as cluster:
        cluster.start_and_configure(OBJECTS_PATH)
        violations = []
        for index in random.Random(seed).sample(range(cluster.entry_count), 2):
            violations += stop_with_half_a_request(cluster, index)
        return CaseResult(violations, {"stops": 2})


def freeze_entry(options, seed):
    """An entry instance is paused for longer than the lease duration and then resumes."""
    def inject_faults(cluster, rng):
        time.sleep(1 + rng.random())
        victim = cluster.processes[f"entry-{rng.randrange(5)}"]
        victim.send_signal(signal.SIGSTOP)
        time.sleep(6)
        victim.send_signal(signal.SIGCONT)
    with Cluster(seed=seed, **options) as cluster:
        return run_under_load(cluster, seed, inject_faults, {"allow_redone": True})


# Backend servers ---------------------------------------------------------

def kill_engine(options, seed):
    """A model engine crashes while it streams responses."""
    def inject_faults(cluster, rng):
        time.sleep(2 + rng.random())
        cluster.kill(f"engine-{rng.randrange(4)}")
    with Cluster(seed=seed, **options) as cluster:
        return run_under_load(cluster, seed, inject_faults)


def freeze_engine(options, seed):
    """A model engine is paused and resumes later."""
    def inject_faults(cluster, rng):
        time.sleep(2)
        victim = cluster.processes[f"engine-{rng.randrange(4)}"]
        victim.send_signal(signal.SIGSTOP)
        time.sleep(5)
        victim.send_signal(signal.SIGCONT)
    with Cluster(seed=seed, **options) as cluster:
        return run_under_load(cluster, seed, inject_faults)


def silent_connections(options, seed):
    """Open connections to an engine stop delivering data while new ones work."""
    def inject_faults(cluster, rng):
        for _ in range(3):
            time.sleep(1.5)
            cluster.set_faults(cluster.engine_address(rng.randrange(4)), silence=True)
    with Cluster(seed=seed, **options) as cluster:
        result = run_under_load(cluster, seed, inject_faults)
        metrics = [cluster.metrics(i) for i in range(5)]

        def total(name):
            return sum(value for values in metrics for key, value in values.items()
                       if key.startswith(name))
        recomputed = total("cowslipknot_recomputed_tokens_total")
        result.notes["recomputed_tokens"] = recomputed
        result.notes["streams_resumed"] = total("cowslipknot_streams_resumed_total")
        if recomputed > 0:
            result.violations.append(Violation(
                "silent_links", f"{recomputed} tokens were recomputed although no server failed"))
        return result


def cut_answers(options, seed):
    """Engines truncate answers, and one sends answers with another request's id."""
    def inject_faults(cluster, rng):
        time.sleep(1)
        broken = rng.sample(range(4), 3)
        cluster.set_faults(cluster.engine_address(broken[0]), cut_after=7)
        cluster.set_faults(cluster.engine_address(broken[1]), end_after=9)
        cluster.set_faults(cluster.engine_address(broken[2]), cross=True)
        time.sleep(3)
        for i in range(4):
            cluster.set_faults(cluster.engine_address(i), cut_after=0, end_after=0, cross=False)
    with Cluster(seed=seed, **options) as cluster:
        return run_under_load(cluster, seed, inject_faults)


def lost_end_marks(options, seed):
    """Engines send every token but omit the marker that ends the stream."""
    def inject_faults(cluster, rng):
        time.sleep(1)
        for i in rng.sample(range(4), 3):
            cluster.set_faults(cluster.engine_address(i), no_end_mark=True)
        time.sleep(3)
        for i in range(4):
            cluster.set_faults(cluster.engine_address(i), no_end_mark=False)
    with Cluster(seed=seed, **options) as cluster:
        return run_under_load(cluster, seed, inject_faults)


def reclaim_domain(options, seed):
    """All servers of a failure domain are reclaimed with three seconds of notice."""
    def inject_faults(cluster, rng):
        time.sleep(2)
        domain = rng.randrange(4)
        names = [f"engine-{i}" for i in range(8) if i % 4 == domain]
        cluster.mark_leaving(*names)
        time.sleep(3.2)
        for name in names:
            cluster.kill(name)
    with Cluster(seed=seed, engines=8, **options) as cluster:
        return run_under_load(cluster, seed, inject_faults, seconds=9)


def refusing_server(options, seed):
    """A plain server rejects new requests before the instance list marks it as leaving."""
    def inject_faults(cluster, rng):
        time.sleep(2)
        cluster.set_faults(cluster.plain_address(rng.randrange(2)), leaving=True)
    with Cluster(seed=seed, **options) as cluster:
        return run_under_load(cluster, seed, inject_faults)


def reset_filings(options, seed):
    """Plain services reset the connection instead of answering every third request that
    they have executed."""
    def inject_faults(cluster, _rng):
        for i in range(2):
            cluster.set_faults(cluster.plain_address(i), lose_every=3)
    with Cluster(seed=seed, **options) as cluster:
        return run_under_load(cluster, seed, inject_faults, filings=0.5)


# The platform ------------------------------------------------------------

def platform_outage(options, seed):
    """The platform is unavailable twice for two seconds and slow in between."""
    def inject_faults(cluster, _rng):
        for _ in range(2):
            time.sleep(1.5)
            cluster.set_faults(cluster.platform_address(), down=True)
            time.sleep(2)
            cluster.set_faults(cluster.platform_address(), down=False, latency_ms=400)
        time.sleep(1)
        cluster.set_faults(cluster.platform_address(), latency_ms=0)
    with Cluster(seed=seed, **options) as cluster:
        return run_under_load(cluster, seed, inject_faults, seconds=10, filings=0.3)


def lost_answers(options, seed):
    """The platform executes requests but its answers are lost."""
    def inject_faults(cluster, _rng):
        for _ in range(6):
            time.sleep(1)
            cluster.set_faults(cluster.platform_address(), lose_answers=5)
    with Cluster(seed=seed, **options) as cluster:
        return run_under_load(cluster, seed, inject_faults, filings=0.5)


def cut_domain(options, seed):
    """A failure domain is isolated from the others and from the platform."""
    def inject_faults(cluster, _rng):
        time.sleep(1)
        isolated = cluster.set_domain_links(0)
        time.sleep(1)
        for i in isolated:
            status, _, body = http_json(
                "POST", cluster.entry_address(i), "/v1/completions",
                {"model": "notice-draft", "prompt": "x", "max_tokens": 3}, AUTH_HEADERS)
            if status != 200:
                raise RuntimeError(f"an instance in the isolated domain answered {status} {body}")
        time.sleep(3)
        cluster.set_domain_links(0, mode="pass")
    with Cluster(seed=seed, through_forwarder=True, **options) as cluster:
        result = run_under_load(cluster, seed, inject_faults, seconds=10)
        cluster.wait_members(5)
        return result


# Configuration -----------------------------------------------------------

def operator_race(options, seed):
    """Two operators repeatedly apply changes to the same base revision at once."""
    def inject_faults(cluster, rng):
        text = OBJECTS_PATH.read_text()
        for turn in range(4):
            results = []

            def apply(index, weight, results=results):
                path = cluster.folder / f"objects-{index}.toml"
                path.write_text(text.replace("weight = 2.0", f"weight = {weight}"))
                results.append(cluster.apply(path, index))
            threads = [threading.Thread(target=apply, args=(i, 3 + turn * 2 + i))
                       for i in rng.sample(range(5), 2)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            if 0 not in results:
                raise RuntimeError(f"neither operator's apply succeeded; exit codes: {results}")
    with Cluster(seed=seed, **options) as cluster:
        return run_under_load(cluster, seed, inject_faults)


def stale_configuration(options, seed):
    """An instance that was isolated must not restore an old revision."""
    def inject_faults(cluster, _rng):
        isolated = cluster.set_domain_links(0)
        path = cluster.folder / "objects.toml"
        path.write_text(OBJECTS_PATH.read_text().replace("weight = 2.0", "weight = 4.0"))
        cluster.apply(path, 1, timeout_ms=1000)
        for i in isolated:
            cluster.kill(f"entry-{i}")
            cluster.start_entry(i)
        time.sleep(1)
        cluster.set_domain_links(0, mode="pass")
        cluster.wait_ready(isolated)
    with Cluster(seed=seed, through_forwarder=True, **options) as cluster:
        result = run_under_load(cluster, seed, inject_faults, {"allow_redone": True,
                                 "unreachable": ("entry-0", "entry-4")}, entries=[1, 2, 3])
        revisions = {cluster.status(i)["revision"] for i in range(5)}
        if len(revisions) != 1:
            result.violations.append(Violation(
                "in_force", f"instances have different revisions: {revisions}"))
        return result


def fresh_in_outage(options, seed):
    """A new instance gets its configuration from peers during a platform outage."""
    def inject_faults(cluster, _rng):
        cluster.set_faults(cluster.platform_address(), down=True)
        cluster.kill("entry-2")
        time.sleep(0.5)
        cluster.start_entry(2)
        cluster.wait_ready([2])
        if cluster.status(2)["revision"] != 1:
            raise RuntimeError("the new instance did not get revision 1 from its peers")
        cluster.set_faults(cluster.platform_address(), down=False)
    with Cluster(seed=seed, **options) as cluster:
        return run_under_load(cluster, seed, inject_faults, {"allow_redone": True}, filings=0)


# Single process failures and invalid input -------------------------------

def request_each_kind(cluster, index, key):
    """Sends one request of each kind; returns a violation for each that failed."""
    model = {"model": "notice-draft", "prompt": "x", "max_tokens": 3}
    failed = []
    for kind, method, path, body, extra in (
            ("whole", "POST", "/v1/completions", model, {}),
            ("streamed", "POST", "/v1/completions", {**model, "stream": True}, {}),
            ("filing", "POST", "/filings/new", {"lot": key}, {"Idempotency-Key": key}),
            ("lookup", "GET", "/lookups/item", None, {})):
        status, _, answer = http_json(method, cluster.entry_address(index), path, body,
                                      {**AUTH_HEADERS, **extra}, timeout=20)
        complete = kind != "streamed" or "data: [DONE]" in answer
        if status != 200 or not complete:
            failed.append(Violation(
                "single_loss", f"entry-{index} failed a {kind} request: {status} {answer}"))
    return failed


def killed_between_requests(options, seed):
    """Every process except the platform is killed in turn while no request is in flight."""
    with Cluster(seed=seed, **options) as cluster:
        cluster.start_and_configure(OBJECTS_PATH)
        violations = []
        for i in range(5):
            cluster.kill(f"entry-{i}")
            violations += request_each_kind(cluster, (i + 1) % 5, f"entry-{i}")
            cluster.start_entry(i)
            cluster.wait_ready([i])
            cluster.wait_servers(6, [i])
        for kind, count, start in (("engine", 4, cluster.start_engine),
                                   ("plain", 2, cluster.start_plain)):
            for i in range(count):
                cluster.kill(f"{kind}-{i}")
                for entry in range(5):
                    violations += request_each_kind(cluster, entry, f"{kind}-{i}-{entry}")
                start(i, incarnation=2)
        return CaseResult(violations + check_at_most_once(cluster.history()),
                          {"kills": 11})


def bad_input(options, seed):
    """Malformed and oversized input gets its result code; other requests still succeed."""
    rng = random.Random(seed)

    def inject_faults(cluster, _rng):
        head = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-clerks\r\n"
        expected = [
            (b"nonsense\r\n\r\n", "1001"),
            ((head + "X-Long: " + "a" * 40000 + "\r\n\r\n").encode(), "1008"),
            ((head + "Content-Length: 99999999\r\n\r\n").encode(), "1004"),
            ((head + "Content-Length: 5\r\n\r\n{bad}").encode(), "1001"),
            ((head + "Content-Length: 2\r\n\r\n{}").encode(), "1001"),
            (b"GET /nowhere HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-clerks\r\n\r\n",
             "1003"),
            (b"GET /lookups/a HTTP/1.1\r\nHost: x\r\n\r\n", "1002"),
            (b"POST /filings/a HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-clerks\r\n"
             b"Content-Length: 0\r\n\r\n", "1005"),
        ]
        for i in range(5):
            for payload, code in expected:
                answer = send_raw(cluster.entry_address(i), payload)
                if f"X-Result-Code: {code}" not in answer or "not-run" not in answer:
                    raise RuntimeError(f"{payload[:60]!r}: expected {code}, got {answer[:300]}")
            for _ in range(20):
                noise = rng.randbytes(rng.randrange(1, 200))
                framed_noise = len(noise).to_bytes(4, "little") + noise
                host, port = cluster.peer_address(i).rsplit(":", 1)
                with socket.create_connection((host, int(port))) as connection:
                    connection.sendall(rng.choice([noise, framed_noise]))
    with Cluster(seed=seed, **options) as cluster:
        result = run_under_load(cluster, seed, inject_faults, {"no_broken": True}, seconds=6)
        dead = [name for name, process in cluster.processes.items()
                if process.child.poll() is not None]
        if dead:
            result.violations.append(Violation("no_crash", f"processes exited: {dead}"))
        return result


# Moves to another version ------------------------------------------------

def _move(options, seed, engine_extra, inject_faults, expected, seconds=60, rate=100):
    """Runs a move and checks that it ends in the expected state."""
    with Cluster(seed=seed, **options) as cluster:
        cluster.start_and_configure(OBJECTS_PATH)
        for i in (10, 11, 12):
            cluster.start_engine(i, pool="engines-next", extra=engine_extra)
        cluster.wait_servers(9)
        load = LoadGenerator(cluster, seed, seconds=seconds, rate=rate, letters=0.5,
                             drafts=0.5, filings=0, lookups=0, draft_tokens=10,
                             letter_tokens=10)
        cluster.run_command(1, "move", "start", "to-draft-2", "--wait-ms", "5000")
        inject_faults(cluster)
        result = cluster.run_command(1, "move", "watch", "to-draft-2",
                                     "--wait-ms", "55000").stdout.strip()
        revision = max(cluster.status(i)["revision"] for i in range(5))
        wait_until(lambda: all(cluster.status(i)["revision"] >= revision for i in range(5)))
        load.child.terminate()
        load.child.wait()
        final_line = result.splitlines()[-1] if result else ""
        violations, notes = standard_checks(cluster)
        violations = [violation for violation in violations
                      if violation.rule != "answered"]
        history = cluster.history()
        new_dispatches = [e for e in history if e["what"] == "dispatch" and
                          int(e["server"].split("-")[1]) >= 10]
        total = sum(1 for e in history if e["what"] == "dispatch")
        notes.update(move=final_line, new_dispatches=len(new_dispatches), dispatches=total)
        if not final_line.startswith(expected):
            violations.append(Violation("move", f"expected '{expected}', got '{final_line}'"))
        if expected == "taken back" and new_dispatches and not options.get("disable"):
            rollback_ms = [e["time_ms"] for i in range(5) for e in cluster.log_events(i)
                           if e["name"] == "move_taken_back"]
            elapsed_ms = max(e["time_ms"] for e in new_dispatches) - min(rollback_ms)
            notes["last_new_dispatch_after_ms"] = elapsed_ms
            if elapsed_ms > 5000:
                violations.append(Violation(
                    "bad_version", f"still got requests {elapsed_ms} ms after the rollback"))
        return CaseResult(violations, notes)


def move_good(options, seed):
    """A good version gets all traffic by the deadline of the move."""
    return _move(options, seed, (), lambda cluster: None, "done")


def move_bad(options, seed):
    """A version that fails requests is rolled back."""
    return _move(options, seed, ("--fail-every", 2), lambda cluster: None, "taken back")


def move_bad_late(options, seed):
    """A version that starts to fail during the move is rolled back."""
    return _move(options, seed, ("--fail-after", 30), lambda cluster: None, "taken back")


def move_slow(options, seed):
    """A slow version is rolled back."""
    return _move(options, seed, ("--slow-ms", 1700), lambda cluster: None, "taken back")


def move_controller_killed(options, seed):
    """The lease holder crashes during a move."""
    def inject_faults(cluster):
        def lease_holders():
            return [i for i in range(5) if i != 1 and cluster.status(i)["holds_lease"]]
        time.sleep(4)
        holders = lease_holders()
        if holders:
            cluster.kill(f"entry-{holders[0]}")
            cluster.start_entry(holders[0])
    return _move(options, seed, (), inject_faults, "done")


def move_in_outage(options, seed):
    """The platform is unavailable for a while during a move."""
    def inject_faults(cluster):
        time.sleep(3)
        cluster.set_faults(cluster.platform_address(), down=True)
        time.sleep(4)
        result = cluster.run_command(1, "move", "watch", "to-draft-2", "--wait-ms", "300")
        if "undecided" not in result.stdout:
            raise RuntimeError(f"unexpected output of move watch in an outage: {result.stdout}")
        cluster.set_faults(cluster.platform_address(), down=False)
    return _move(options, seed, (), inject_faults, "done")


def move_operator_takes_back(options, seed):
    """An operator rolls back a move to a good version."""
    def inject_faults(cluster):
        time.sleep(3)
        cluster.run_command(2, "move", "take-back", "to-draft-2", "--yes",
                            "--wait-ms", "5000")
    return _move(options, seed, (), inject_faults, "taken back")


CASES = {case.__name__: case for case in (
    kill_entry, die_in_reclaim, hand_over, planned_stops, stop_while_reading, freeze_entry,
    kill_engine,
    freeze_engine, silent_connections, cut_answers, lost_end_marks, reclaim_domain,
    refusing_server, leaving_answers, paused_server, hand_over_in_pause, server_limits,
    crashing_lookup, crashing_filing, crashing_prompt, copied_refusals_of_services,
    copied_refusals_of_engines, reset_filings,
    early_answers, evacuated_domains, evacuated_by_isolated,
    platform_outage, lost_answers, cut_domain, operator_race,
    stale_configuration, fresh_in_outage, killed_between_requests, bad_input, move_good,
    move_bad, move_bad_late, move_slow, move_controller_killed, move_in_outage,
    move_operator_takes_back)}

SHORT_CASES = [
    "kill_entry", "die_in_reclaim", "hand_over", "planned_stops", "stop_while_reading",
    "kill_engine",
    "silent_connections", "cut_answers", "lost_end_marks", "reclaim_domain",
    "reset_filings", "platform_outage", "lost_answers", "cut_domain", "operator_race",
    "stale_configuration", "fresh_in_outage", "move_bad", "freeze_entry",
    "freeze_engine", "refusing_server", "leaving_answers", "paused_server",
    "hand_over_in_pause", "server_limits", "crashing_lookup", "crashing_filing",
    "crashing_prompt", "copied_refusals_of_services", "copied_refusals_of_engines",
    "move_operator_takes_back", "early_answers", "evacuated_domains", "evacuated_by_isolated",
    "killed_between_requests", "bad_input"]

# The mechanism without which each case fails.
MECHANISM_BY_CASE = {
    "reset_filings": "claims", "die_in_reclaim": "hand_over", "hand_over": "hand_over",
    "planned_stops": "drain", "kill_engine": "retry", "silent_connections": "silent_links",
    "cut_answers": "completeness", "reclaim_domain": "leaving",
    "leaving_answers": "leaving", "move_bad": "take_back",
    "crashing_lookup": "quarantine", "crashing_filing": "quarantine",
    "crashing_prompt": "quarantine"}
