"""Failure cases in which an operator evacuates failure domains."""

import random
import threading
import time

from case_support import OBJECTS_PATH, CaseResult, LoadGenerator, standard_checks
from checker import Violation
from cluster import Cluster, wait_until
from server_notice_cases import MAX_NOTICE_MS, requests_to, send_kind

MAX_REFUSAL_S = 0.5
# An instance that was cut off asks a peer for the newer revision once it hears of it.
MAX_CATCH_UP_S = 5


def servers_in(cluster, domain):
    """The servers that have run in a domain."""
    names = [name for name in cluster.processes if name.startswith(("engine-", "plain-"))]
    return [name for name in names if cluster.domain_of(int(name.split("-")[1])) == domain]


def arrivals(cluster, domain, from_ms, to_ms=float("inf")):
    """The requests that reached the domain's servers in a time."""
    names = servers_in(cluster, domain)
    return [event for event in cluster.history()
            if event["what"] in ("dispatch", "execute") and event["server"] in names
            and from_ms < event["time_ms"] < to_ms]


def now_ms():
    return time.time() * 1000


def evacuate(cluster, index, domain, *options):
    return cluster.run_command(index, "evacuate", domain, "--yes", *options)


def evacuated_here(cluster, index):
    return [row["domain"] for row in cluster.status(index)["evacuated"]]


def expect_code(result, code, number, violations):
    if result.returncode != code or str(number) not in result.stderr:
        violations.append(Violation(
            "case", f"expected exit code {code} and {number}, got {result.returncode}: "
            f"{result.stderr}"))


def expect_no_error(result, violations):
    if result.returncode != 0:
        violations.append(Violation("case", f"{result.args}: {result.returncode} {result.stderr}"))


def check_bad_input(cluster, violations):
    revision = cluster.status(0)["revision"]
    expect_code(evacuate(cluster, 0, "nl-west-x"), 3, 4011, violations)
    expect_code(evacuate(cluster, 0, ""), 3, 1001, violations)
    expect_code(evacuate(cluster, 0, cluster.domain_of(0), "--end"), 4, 4012, violations)
    if cluster.status(0)["revision"] != revision:
        violations.append(Violation("case", "bad input published a revision"))


def check_refused_at_once(cluster, violations):
    """All domains are evacuated."""
    for kind in ("streamed", "filing", "lookup"):
        for index in range(cluster.entry_count):
            started = time.monotonic()
            status, headers, _ = send_kind(cluster, index, kind)
            took = time.monotonic() - started
            answer = (status, headers["X-Result-Code"], headers["X-Execution"])
            if answer != (503, "2002", "not-run") or took > MAX_REFUSAL_S:
                violations.append(Violation(
                    "evacuation", f"entry-{index}, {kind}: {answer} after {took:.2f} s"))


def check_used(cluster, domain, violations):
    """Traffic returns to the domain's servers."""
    for name in servers_in(cluster, domain):
        before = requests_to(cluster, name)
        kind = "streamed" if name.startswith("engine") else "lookup"
        if not any(send_kind(cluster, 0, kind) and requests_to(cluster, name) > before
                   for _ in range(60)):
            violations.append(Violation("case", f"no request reached {name} again"))


def evacuated_domains(options, seed):
    """One domain is evacuated while streams run there, and a server of it starts; another one
    while its instances are killed, which start again. From each confirmation on, their servers
    get nothing, and the streams run to their end. Without a domain left, requests are refused
    at once; taken back, traffic returns."""
    with Cluster(seed=seed, entries=3, engines=4, traffic_threads=2, policy="round_robin",
                 **options) as cluster:
        cluster.start_and_configure(OBJECTS_PATH)
        violations = []
        check_bad_input(cluster, violations)
        quiet = random.Random(seed).randrange(2)  # a domain that has a server of each kind
        killed = 1 - quiet
        quiet_domain, killed_domain = cluster.domain_of(quiet), cluster.domain_of(killed)
        load = LoadGenerator(cluster, seed, seconds=15, rate=20)
        answers = []
        streams = [threading.Thread(target=lambda: answers.append(send_kind(cluster, 2, "long")))
                   for _ in range(8)]
        for stream in streams:
            stream.start()
        wait_until(lambda: cluster.status(2)["servers"][quiet]["in_flight"] > 0)
        expect_no_error(evacuate(cluster, 2, quiet_domain), violations)
        quiet_from = now_ms() + MAX_NOTICE_MS
        revision = cluster.status(2)["revision"]
        expect_no_error(evacuate(cluster, 0, quiet_domain), violations)
        if cluster.status(0)["revision"] != revision:
            violations.append(Violation("case", "a repeated order published a revision"))
        late = cluster.engine_count + quiet
        cluster.start_engine(late)
        wait_until(lambda: f"engine-{late}" in [
            row["server"] for row in cluster.status(0)["servers"]])
        for stream in streams:
            stream.join()
        whole = [status == 200 and "data: [DONE]" in body for status, _, body in answers]
        if whole != [True] * 8:
            violations.append(Violation("evacuation", f"streams: {whole}"))

        results = []
        order = threading.Thread(
            target=lambda: results.append(evacuate(cluster, 2, killed_domain)))
        order.start()
        for name in (f"entry-{killed}", f"engine-{killed}", f"plain-{killed}"):
            cluster.kill(name)
        cluster.start_engine(killed, incarnation=2)
        cluster.start_plain(killed, incarnation=2)
        order.join()
        expect_no_error(results[0], violations)
        killed_from = now_ms() + MAX_NOTICE_MS
        cluster.start_entry(killed)
        cluster.wait_ready([killed])
        if sorted(evacuated_here(cluster, killed)) != sorted([quiet_domain, killed_domain]):
            violations.append(Violation("evacuation", "an instance started without the orders"))
        for kind in ("streamed", "filing", "lookup"):
            for _ in range(8):
                send_kind(cluster, killed, kind)
        load.finish()
        for domain, from_ms in ((quiet_domain, quiet_from), (killed_domain, killed_from)):
            violations += [Violation("evacuation", f"{domain} got a request", [event])
                           for event in arrivals(cluster, domain, from_ms)]

        others = sorted(set(cluster.domains) - {quiet_domain, killed_domain})
        for domain in others:
            expect_no_error(evacuate(cluster, 0, domain), violations)
        check_refused_at_once(cluster, violations)
        for domain in (quiet_domain, killed_domain, *others):
            expect_no_error(evacuate(cluster, 1, domain, "--end"), violations)
        for domain in (quiet_domain, killed_domain):
            check_used(cluster, domain, violations)
        names = [event["name"] for event in cluster.log_events(2)]
        notes = {name: names.count(name) for name in
                 ("evacuation_begun", "evacuation_ended", "evacuation_leaves_none")}
        if notes["evacuation_begun"] != 4 or notes["evacuation_ended"] != 4 or not notes[
                "evacuation_leaves_none"]:
            violations.append(Violation("case", f"unexpected events {notes}"))
        more, outcomes = standard_checks(cluster, allow_redone=True)
        return CaseResult(violations + more, {**notes, **outcomes})


def evacuated_by_isolated(options, seed):
    """A domain is evacuated while another one is cut off from its peers and the platform. Then
    the platform goes away, the cut ends, and an instance starts anew: both learn of the order
    from their peers, and send the domain nothing from then on."""
    with Cluster(seed=seed, entries=3, engines=4, policy="round_robin", through_forwarder=True,
                 **options) as cluster:
        cluster.start_and_configure(OBJECTS_PATH)
        violations = []
        domain = cluster.domain_of(0)
        isolated = cluster.set_domain_links(2)
        expect_no_error(evacuate(cluster, 0, domain, "--wait-ms", "20000"), violations)
        if any(evacuated_here(cluster, index) for index in isolated):
            violations.append(Violation("case", "an instance that is cut off has the order"))
        cluster.set_faults(cluster.platform_address(), down=True)
        expect_code(evacuate(cluster, 0, cluster.domain_of(1)), 1, 2006, violations)
        cluster.set_domain_links(2, mode="pass")
        joined = time.monotonic()
        wait_until(lambda: all(evacuated_here(cluster, index) == [domain] for index in isolated))
        caught_up_s = time.monotonic() - joined
        if caught_up_s > MAX_CATCH_UP_S:
            violations.append(Violation("evacuation", f"caught up after {caught_up_s:.1f} s"))
        cluster.kill("entry-1")
        time.sleep(0.5)
        cluster.start_entry(1)
        cluster.wait_ready([1])
        from_ms = now_ms() + MAX_NOTICE_MS
        time.sleep(MAX_NOTICE_MS / 1000)
        for index in range(3):
            for kind in ("streamed", "lookup"):
                for _ in range(10):
                    status, _, answer = send_kind(cluster, index, kind)
                    if status != 200:
                        violations.append(Violation("case", f"{kind}: {status} {answer}"))
        violations += [Violation("evacuation", f"{domain} got a request", [event])
                       for event in arrivals(cluster, domain, from_ms)]
        cluster.set_faults(cluster.platform_address(), down=False)
        wait_until(lambda: cluster.status(2)["platform"] == "reachable")
        expect_no_error(evacuate(cluster, 2, domain, "--end", "--wait-ms", "20000"), violations)
        check_used(cluster, domain, violations)
        more, notes = standard_checks(cluster, allow_redone=True)
        return CaseResult(violations + more, {**notes, "caught_up_s": round(caught_up_s, 2)})
