"""Failure cases in which backend servers say of themselves that they leave, or that they want
no requests for a while."""

import json
import random
import signal
import threading
import time

from case_support import (AUTH_HEADERS, OBJECTS_PATH, CaseResult, LoadGenerator, send_raw,
                          standard_checks)
from checker import Violation
from cluster import Cluster, http_json, wait_until

# By then, all instances in touch know what a server has said in an answer.
MAX_NOTICE_MS = 500


def requests_to(cluster, server):
    """Number of requests that have reached a server."""
    return sum(1 for event in cluster.history()
               if event["what"] in ("dispatch", "execute") and event["server"] == server)


def requests_after(cluster, server, notice, bound_ms):
    """The requests that reached a server later than a bound after its first notice."""
    history = cluster.history()
    first_ms = min((event["time_ms"] for event in history
                    if event["what"] == notice and event["server"] == server),
                   default=float("inf"))
    return [event for event in history
            if event["what"] in ("dispatch", "execute") and event["server"] == server and
            event["time_ms"] > first_ms + bound_ms]


def send_kind(cluster, entry, kind):
    """Sends one request of a kind and returns (status, headers, body)."""
    model = {"model": "notice-draft", "prompt": "x", "max_tokens": 3}
    method, path, body = {
        "streamed": ("POST", "/v1/completions", {**model, "stream": True}),
        "long": ("POST", "/v1/completions", {**model, "stream": True, "max_tokens": 150}),
        "filing": ("POST", "/filings/new", {"lot": "a"}),
        "lookup": ("GET", "/lookups/item", None)}[kind]
    headers = {**AUTH_HEADERS, "Idempotency-Key": "filing"} if kind == "filing" else AUTH_HEADERS
    return http_json(method, cluster.entry_address(entry), path, body, headers, timeout=20)


def leaving_answers(options, seed):
    """Servers say in their answers, and nowhere else, that they leave, while the platform is
    unavailable. The answering instance sends them nothing from then on, its peers nothing
    after MAX_NOTICE_MS, and new incarnations of them are used."""
    def reached(cluster, server, entry, kind):
        before = requests_to(cluster, server)
        send_kind(cluster, entry, kind)
        return requests_to(cluster, server) > before

    def check_used(cluster, server, kind, violations):
        if not any(reached(cluster, server, 0, kind) for _ in range(40)):
            violations.append(Violation("case", f"no request reached {server}"))

    def check_unused(cluster, server, kind, entry, violations):
        if any(reached(cluster, server, entry, kind) for _ in range(15)):
            violations.append(Violation(
                "leaving", f"entry-{entry} sent {server} a request after its answer"))

    def check_streams(cluster, answers, violations):
        """Streams that began before the answer ran to their end at the same server."""
        whole = [status == 200 and "data: [DONE]" in body for status, _, body in answers]
        requests = [event["attempt"].rsplit(".", 1)[0] for event in cluster.history()
                    if event["what"] == "dispatch"]
        if whole != [True] * 6 or len(requests) != len(set(requests)):
            violations.append(Violation("leaving", f"streams: {whole}, attempts: {requests}"))

    with Cluster(seed=seed, entries=3, engines=3, traffic_threads=2, policy="round_robin",
                 **options) as cluster:
        cluster.start_and_configure(OBJECTS_PATH)
        violations = []
        rng = random.Random(seed)
        engine, plain = rng.randrange(3), rng.randrange(2)
        servers = ((f"engine-{engine}", cluster.engine_address(engine), "streamed"),
                   (f"plain-{plain}", cluster.plain_address(plain), "lookup"))
        cluster.set_faults(cluster.platform_address(), down=True)
        answers = []
        streams = [threading.Thread(target=lambda: answers.append(send_kind(cluster, 0, "long")))
                   for _ in range(6)]
        for stream in streams:
            stream.start()
        wait_until(lambda: requests_to(cluster, f"engine-{engine}") and sum(
            requests_to(cluster, f"engine-{i}") for i in range(3)) == 6)
        for name, address, kind in servers:
            cluster.set_faults(address, says_leaving=True)
            check_used(cluster, name, kind, violations)
            if kind == "streamed" and not all(stream.is_alive() for stream in streams):
                violations.append(Violation("case", "a stream ended before the answer"))
            check_unused(cluster, name, kind, 0, violations)
        told = time.monotonic()
        for stream in streams:
            stream.join()
        check_streams(cluster, answers, violations)
        time.sleep(max(0, told + MAX_NOTICE_MS / 1000 - time.monotonic()))
        for name, _, kind in servers:
            for entry in (1, 2):
                check_unused(cluster, name, kind, entry, violations)
        LoadGenerator(cluster, seed, seconds=2, filings=0).finish()
        for name, _, _ in servers:
            late = requests_after(cluster, name, "said_leaving", MAX_NOTICE_MS)
            violations += [Violation("leaving", f"{name} got a request", [e]) for e in late]
        cluster.set_faults(cluster.platform_address(), down=False)
        cluster.kill(f"engine-{engine}")
        cluster.kill(f"plain-{plain}")
        cluster.start_engine(engine, incarnation=2)
        cluster.start_plain(plain, incarnation=2)
        names = {name for name, _, _ in servers}
        wait_until(lambda: names <= {server["server"] for server in cluster.status(0)["servers"]
                                     if server["takes_new_work"]})
        for name, _, kind in servers:
            check_used(cluster, name, kind, violations)
        more, notes = standard_checks(cluster)
        leaving = [event for event in cluster.log_events(0) if event["name"] == "server_leaving"]
        notes["age_ms"] = [event.get("age_ms") for event in leaving]
        if len(leaving) != 2 or not all(int(event.get("age_ms", -1)) >= 0 for event in leaving):
            violations.append(Violation("case", "the answers' ages are not logged", leaving))
        return CaseResult(violations + more, notes)


def paused_server(options, seed):
    """Servers turn requests away with 503 and Retry-After. Until the end of that time the
    instance sends them nothing and the others get the work; while all of them pause, callers
    are refused at once, with times that are spread out."""
    def until_paused(cluster, server, kind, violations):
        for _ in range(40):
            status, _, answer = send_kind(cluster, 0, kind)
            if status != 200:
                violations.append(Violation("case", f"{kind}: {status} {answer}"))
            if paused_at(cluster, server):
                return
        violations.append(Violation("case", f"no request reached {server}"))

    def paused_at(cluster, server):
        return [event["time_ms"] for event in cluster.history()
                if event["what"] == "paused" and event["server"] == server]

    def check_refused_at_once(cluster, kind, addresses, violations):
        for address in addresses:
            cluster.set_faults(address, pauses=1, pause_s="1.5")
        started = time.monotonic()
        send_kind(cluster, 0, kind)
        returns = []
        for _ in range(8):
            status, headers, _ = send_kind(cluster, 0, kind)
            returns.append(time.monotonic() - started + float(headers["Retry-After"] or 0))
            if status != 503:
                violations.append(Violation("pause", f"{kind}: {status} while all pause"))
        if time.monotonic() - started > 1:
            violations.append(Violation("pause", f"{kind}: refused late"))
        if min(returns) < 1.5 or max(returns) - min(returns) < 0.1:
            violations.append(Violation("pause", f"{kind}: callers return at {returns}"))
        time.sleep(max(0, started + 1.7 - time.monotonic()))

    def check_filing_refused(cluster, violations):
        for i in range(2):
            cluster.set_faults(cluster.plain_address(i), pauses=1, pause_s="1")
        send_kind(cluster, 0, "lookup")
        status, headers, _ = send_kind(cluster, 0, "filing")
        if status != 503 or headers["X-Execution"] != "not-run" or not headers["Retry-After"]:
            violations.append(Violation("pause", f"filing: {status} {dict(headers)}"))
        time.sleep(1.1)
        status, _, answer = send_kind(cluster, 0, "filing")
        if status != 200:
            violations.append(Violation("pause", f"filing after the pause: {status} {answer}"))

    with Cluster(seed=seed, entries=1, engines=2, traffic_threads=2, policy="round_robin",
                 **options) as cluster:
        cluster.start_and_configure(OBJECTS_PATH)
        violations = []
        engine, plain = random.Random(seed).choices(range(2), k=2)
        servers = ((f"engine-{engine}", cluster.engine_address(engine), "streamed"),
                   (f"plain-{plain}", cluster.plain_address(plain), "lookup"))
        for name, address, kind in servers:
            cluster.set_faults(address, pauses=1, pause_s="2.0")
            until_paused(cluster, name, kind, violations)
        LoadGenerator(cluster, seed, seconds=1.5, filings=0).finish()
        for name, _, kind in servers:
            wait_until(lambda name=name: time.time() * 1000 > paused_at(cluster, name)[0] + 2100)
            first_ms = paused_at(cluster, name)[0]
            violations += [Violation("pause", f"{name} got a request in its pause", [event])
                           for event in requests_after(cluster, name, "paused", MAX_NOTICE_MS)
                           if event["time_ms"] < first_ms + 2000]
            before = requests_to(cluster, name)
            for _ in range(10):
                send_kind(cluster, 0, kind)
            if requests_to(cluster, name) == before:
                violations.append(Violation("case", f"{name} is not used after its pause"))
        check_refused_at_once(cluster, "streamed", map(cluster.engine_address, range(2)),
                              violations)
        check_refused_at_once(cluster, "lookup", map(cluster.plain_address, range(2)),
                              violations)
        check_filing_refused(cluster, violations)
        cluster.set_faults(servers[1][1], pauses=1, pause_s="-3")
        for _ in range(4):
            send_kind(cluster, 0, "lookup")
        names = [event["name"] for event in cluster.log_events(0)]
        notes = {name: names.count(name) for name in ("server_paused", "pause_adjusted")}
        if notes != {"server_paused": 8, "pause_adjusted": 1}:
            violations.append(Violation("case", f"unexpected events {notes}"))
        more, outcomes = standard_checks(cluster)
        return CaseResult(violations + more, {**notes, **outcomes})


def hand_over_in_pause(options, seed):
    """A request is handed over to an instance for which all engines pause. It is not refused
    but runs after the pause."""
    def dispatched(cluster):
        return [event["attempt"].rsplit(".", 1)[0] for event in cluster.history()
                if event["what"] == "dispatch"]

    with Cluster(seed=seed, entries=2, engines=2, policy="round_robin",
                 engine_arguments=("--decode-ms", 50), settings_overrides={
                     "drain": {"grace_ms": 200, "limit_ms": 1500, "hand_over_margin_ms": 1000}},
                 **options) as cluster:
        cluster.start_and_configure(OBJECTS_PATH)
        body = {"model": "notice-draft", "prompt": "x", "max_tokens": 60}
        caller = threading.Thread(target=lambda: send_raw(cluster.entry_address(0), (
            "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-clerks\r\n"
            f"Content-Length: {len(json.dumps(body))}\r\n\r\n{json.dumps(body)}").encode()))
        caller.start()
        wait_until(lambda: dispatched(cluster))
        request = dispatched(cluster)[0]
        for i in range(2):
            cluster.set_faults(cluster.engine_address(i), pauses=1, pause_s="3")
        status, headers, _ = send_kind(cluster, 1, "streamed")
        violations = []
        if status != 503 or float(headers["Retry-After"]) < 2.5:
            violations.append(Violation("case", f"answered {status} while all engines pause"))
        cluster.processes["entry-0"].send_signal(signal.SIGTERM)
        caller.join()
        wait_until(lambda: any(event["name"] == "request_taken_over"
                               for event in cluster.log_events(1)))
        status, _, answer = http_json("GET", cluster.entry_address(1), f"/v1/requests/{request}",
                                      headers=AUTH_HEADERS, timeout=20)
        if status != 200 or answer["choices"][0]["finish_reason"] != "length":
            violations.append(Violation("accepted_survives", f"{status} {answer}"))
        return CaseResult(violations, {"status": status, "dispatches": len(dispatched(cluster))})
