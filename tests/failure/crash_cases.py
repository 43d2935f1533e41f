"""Failure cases in which a request crashes each server that begins to run it, and is repeated by
its caller at all instances."""

import random
import threading
import time

from case_support import AUTH_HEADERS, OBJECTS_PATH, CaseResult
from checker import Violation, check_at_most_once
from cluster import Cluster, http_json

MARK = "crashes-its-server"
CONTACT_MS = 3000
MAX_LATE_RETRIES = 3
RESTART_S = 2
CALL_SECONDS = 16
MAX_REFUSAL_S = 0.5
MAX_NOTICE_S = 0.5  # from a refusal until all instances in touch know its reason
MIN_SERVED_SHARE = 0.95
QUIET_S = 4  # a last part of the calls in which all servers are back


def send(cluster, entry, kind, lot, key):
    """Sends one request of a kind. A lot with MARK crashes the server."""
    model = {"model": "notice-draft", "prompt": lot, "max_tokens": 3}
    method, path, body = {
        "lookup": ("GET", f"/lookups/{lot}", None),
        "filing": ("POST", "/filings/new", {"lot": lot}),
        "prompt": ("POST", "/v1/completions", model)}[kind]
    headers = {**AUTH_HEADERS, "Idempotency-Key": key} if kind == "filing" else AUTH_HEADERS
    return http_json(method, cluster.entry_address(entry), path, body, headers, timeout=20)


class Restarter:
    """Starts servers again at their addresses some time after they have crashed."""

    def __init__(self, cluster, kind):
        self.cluster = cluster
        self.is_model = kind == "prompt"
        self.incarnations = {}
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self):
        prefix = "engine-" if self.is_model else "plain-"
        count = self.cluster.engine_count if self.is_model else self.cluster.plain_count
        start = self.cluster.start_engine if self.is_model else self.cluster.start_plain
        due = {}
        while not self.stopped.wait(0.02):
            for i in range(count):
                if self.cluster.processes[f"{prefix}{i}"].child.poll() is None:
                    continue
                if time.monotonic() < due.setdefault(i, time.monotonic() + RESTART_S):
                    continue
                del due[i]
                self.incarnations[i] = self.incarnations.get(i, 1) + 1
                start(i, incarnation=self.incarnations[i])

    def stop(self):
        self.stopped.set()
        self.thread.join()


class Callers:
    """Sends requests of a kind at random instances until a time, each after an answer."""

    def __init__(self, cluster, kind, seed, crashing, count, seconds):
        self.answers = []
        self.threads = [threading.Thread(
            target=self.run, args=(cluster, kind, random.Random(f"{seed}/{crashing}/{i}"),
                                   crashing, i, time.monotonic() + seconds))
            for i in range(count)]
        for thread in self.threads:
            thread.start()

    def run(self, cluster, kind, rng, crashing, caller, until):
        number = 0
        while time.monotonic() < until:
            number += 1
            name = f"{'crash' if crashing else 'sound'}-{caller}-{number}"
            started = time.monotonic()
            try:
                status, headers, answer = send(cluster, rng.randrange(cluster.entry_count), kind,
                                               MARK if crashing else name, name)
            except OSError as error:
                status, headers, answer = 0, {}, repr(error)
            self.answers.append({
                "key": name, "status": status, "answer": str(answer)[:120],
                "code": headers.get("X-Result-Code"), "wait": headers.get("Retry-After"),
                "execution": headers.get("X-Execution"), "at": started,
                "seconds": time.monotonic() - started})
            time.sleep(rng.uniform(0.1, 0.3) if crashing else rng.uniform(0.02, 0.1))

    def finish(self):
        for thread in self.threads:
            thread.join()
        return self.answers


def check_crashes(history):
    """Returns violations, and the numbers of crashes and of late retries."""
    crashes = sorted(event["time_ms"] for event in history if event["what"] == "crash")
    if len(crashes) < 3:
        return [Violation("case", f"{len(crashes)} crashes")], len(crashes), 0
    late = [at for at in crashes if at > crashes[2] + CONTACT_MS]
    violations = []
    if len(late) > MAX_LATE_RETRIES:
        violations.append(Violation(
            "budget", f"{len(late)} retries reached servers later than {CONTACT_MS} ms after the "
            f"third crash, {len(crashes)} crashes in all"))
    return violations, len(crashes), len(late)


def check_refusals(answers):
    """Held requests are refused at once, as not run and with a time to come back. Those that
    began before all instances knew may have run, or have looked for a server that is up."""
    held = [answer for answer in answers if answer["code"] == "2008"]
    known = MAX_NOTICE_S + min((answer["at"] + answer["seconds"] for answer in held
                                if answer["execution"] == "not-run"), default=float("inf"))
    wrong = [answer for answer in held if answer["status"] != 503 or
             float(answer["wait"] or 0) < 5 or
             (answer["at"] > known and (answer["execution"] != "not-run" or
                                        answer["seconds"] > MAX_REFUSAL_S))]
    violations = [Violation("held", f"{len(wrong)} of {len(held)} refusals are wrong or late",
                            wrong)] if wrong else []
    if len(held) < 10:
        violations.append(Violation("case", f"{len(held)} requests were held", answers[-3:]))
    return violations, len(held)


def crash_case(options, seed, kind):
    with Cluster(seed=seed, entries=3, engines=6, plains=6, traffic_threads=2,
                 engine_arguments=("--crash-on", MARK), plain_arguments=("--crash-on", MARK),
                 **options) as cluster:
        cluster.start_and_configure(OBJECTS_PATH)
        restarter = Restarter(cluster, kind)
        try:
            sound = Callers(cluster, kind, seed, False, 4, CALL_SECONDS)
            crashing = Callers(cluster, kind, seed, True, 3, CALL_SECONDS)
            refused = crashing.finish()
            answered = sound.finish()
        finally:
            restarter.stop()
        history = cluster.history()
        violations, crashes, late = check_crashes(history)
        violations += check_at_most_once(history)
        more, held = check_refusals(refused)
        violations += more
        quiet_from = max(answer["at"] for answer in answered) - QUIET_S
        quiet = [answer for answer in answered if answer["at"] >= quiet_from]
        unserved = [answer for answer in quiet if answer["status"] != 200]
        served = sum(answer["status"] == 200 for answer in answered)
        if not quiet or len(unserved) > (1 - MIN_SERVED_SHARE) * len(quiet):
            violations.append(Violation(
                "served", f"{len(unserved)} of {len(quiet)} sound requests were not served "
                "after the crashes", unserved))
        wrongly_held = [answer for answer in answered if answer["code"] == "2008"]
        if wrongly_held:
            violations.append(Violation("served", "sound requests were held", wrongly_held))
        return CaseResult(violations, {"crashes": crashes, "late": late, "held": held,
                                       "sound": len(answered), "sound_served": served})


def crashing_lookup(options, seed):
    """A repeatable plain call crashes its servers."""
    return crash_case(options, seed, "lookup")


def crashing_filing(options, seed):
    """A claimed call crashes its servers, sent with a new key each time."""
    return crash_case(options, seed, "filing")


def crashing_prompt(options, seed):
    """A model request crashes its engines when the first token is computed."""
    return crash_case(options, seed, "prompt")
