"""Failure case in which backend servers name a limit for all instances together."""

import random
import threading
import time

from case_support import OBJECTS_PATH, CaseResult, LoadGenerator, standard_checks
from checker import Violation, check_server_limits
from cluster import Cluster, wait_until
from server_notice_cases import requests_to, send_kind

MAX_REFUSAL_S = 0.5
MAX_LATE_REFUSALS = 1


def server_limits(options, seed):
    """Servers name a limit in their answers. All instances together keep it while it changes,
    and the other servers get the rest; while all servers name one, the rest is refused at
    once with a time to come back; servers that name none any more are used again."""
    def name_limits(addresses, limit):
        for address in addresses:
            cluster.set_faults(address, limit=limit)

    def check_refused_at_once(kind, violations):
        """Sends more than the servers of the kind take."""
        answers = []

        def send(entry):
            for _ in range(15):
                started = time.monotonic()
                status, headers, _ = send_kind(cluster, entry, kind)
                answers.append((status, headers["Retry-After"], time.monotonic() - started))

        senders = [threading.Thread(target=send, args=(entry,)) for entry in range(3)]
        for sender in senders:
            sender.start()
        for sender in senders:
            sender.join()
        refused = [answer for answer in answers if answer[0] != 200]
        late = [answer for answer in refused if answer[2] > MAX_REFUSAL_S]
        if not refused or len(late) > MAX_LATE_REFUSALS or any(
                status != 503 or not retry_after for status, retry_after, _ in refused):
            violations.append(Violation(
                "server_limit", f"{kind}: {len(refused)} of {len(answers)} requests were "
                f"refused, {len(late)} late, such as {(late or refused)[:1]}"))

    with Cluster(seed=seed, entries=3, engines=3, policy="round_robin", **options) as cluster:
        cluster.start_and_configure(OBJECTS_PATH)
        violations = []
        rng = random.Random(seed)
        engine, plain = rng.randrange(3), rng.randrange(2)
        limited = {f"engine-{engine}": cluster.engine_address(engine),
                   f"plain-{plain}": cluster.plain_address(plain)}
        load = LoadGenerator(cluster, seed, seconds=14, rate=60)
        name_limits(limited.values(), "2.0")
        time.sleep(8)
        name_limits(limited.values(), "0.8")
        load.finish()
        violations += check_server_limits(cluster.history())[0]
        engines = [cluster.engine_address(i) for i in range(3)]
        plains = [cluster.plain_address(i) for i in range(2)]
        for kind, addresses in (("streamed", engines), ("lookup", plains)):
            name_limits(addresses, "1.0")
            for _ in range(12):  # so that each server has named it
                send_kind(cluster, 0, kind)
            check_refused_at_once(kind, violations)
        name_limits(engines + plains, "")
        for name in limited:
            kind = "streamed" if name.startswith("engine") else "lookup"
            before = requests_to(cluster, name)
            wait_until(lambda name=name, kind=kind, before=before: send_kind(
                cluster, 1, kind) and requests_to(cluster, name) > before + 5)
        more, notes = standard_checks(cluster)
        notes["highest_share"] = round(check_server_limits(cluster.history())[1], 2)
        return CaseResult(violations + more, notes)
