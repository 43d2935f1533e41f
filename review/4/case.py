"""Sound servers fall silent for a second, inside an event, while an instance stops as planned."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import standins  # noqa: E402

CALLERS = 12
EARLIER_REQUESTS = 10  # of each caller
EVENTS = 40
PIECES = 4  # of an event, as its tokens are made
PIECE_PAUSE_S = 0.03
PATIENCE_S = 2.4  # eight times the pause that the route allows
TERM_AT_S = 0.5  # after the streams have begun
SILENCE_S = 1.0
SILENT_AT_S = {"i-knot0": 1.0, "i-knot1": 3.0}  # each server once


class Server:
    """Streams its events, each in pieces, as its tokens are made. Once, it sends nothing at
    all for a second and goes on: a begun event takes so much longer."""

    def __init__(self):
        self.silent_from = None

    def __call__(self, server, connection, request):
        standins.begin_stream(connection, request)
        for number in range(standins.first_event(request), EVENTS + 1):
            data = standins.event(number)
            size = -(-len(data) // PIECES)
            for start in range(0, len(data), size):
                if start > 0:
                    self.pause_if_silent(server, number, request)
                connection.sendall(standins.chunk(data[start:start + size]))
                time.sleep(PIECE_PAUSE_S)
        connection.sendall(b"0\r\n\r\n")
        server.record(f"{server.name}: has sent the end of {request.id}")
        return True

    def pause_if_silent(self, server, number, request):
        silent_from = self.silent_from
        now = time.monotonic()
        if not silent_from or not silent_from <= now < silent_from + SILENCE_S:
            return
        time.sleep(silent_from + SILENCE_S - now)
        server.record(f"{server.name}: goes on with event {number} of {request.id} "
                      f"after {time.monotonic() - now:.2f} s")


def run(deployment):
    record = deployment.record
    deployment.store.put("op", "config", standins.configuration())
    deployment.add_server("i-desk", "filing-desk",
                          lambda _, connection, request: standins.answer_whole(
                              connection, request, b"status") or True)
    behaviours = {name: Server() for name in SILENT_AT_S}
    for name, behave in behaviours.items():
        deployment.add_server(name, "knot-servers", behave)
    machine = deployment.add_machine("edge-nl-west-a-1")
    deployment.wait_until_ready()
    time.sleep(3.5)  # contact_ms; the machine is in touch
    outcomes = {}

    def call(number):
        caller = standins.Caller(record, machine, patience_s=PATIENCE_S)
        for turn in range(EARLIER_REQUESTS):
            name = f"status{number}.{turn}"
            if caller.call("/status/x", name, method="GET", body=None).status != 200:
                raise RuntimeError("an earlier request failed")
        name = f"letter{number}"
        outcomes[name] = caller.call(
            "/letter/x", name, deadline_ms=12000, Cowslipknot_Model="m",
            Cowslipknot_Token_Count="600,49",
            Cowslipknot_Prefix_Hash=f"{7 * number + 161:x}:500,{number + 1:x}:100")
        caller.close()

    threads = [threading.Thread(target=call, args=(number,)) for number in range(CALLERS)]
    for thread in threads:
        thread.start()
        time.sleep(0.02)
    begun = time.monotonic()
    if standins.TROUBLE:
        for name, at in SILENT_AT_S.items():
            behaviours[name].silent_from = begun + at
    time.sleep(TERM_AT_S)
    machine.terminate()
    for thread in threads:
        thread.join()
    if len(outcomes) < CALLERS:
        raise RuntimeError("not all callers sent their request")
    machine.process.wait(timeout=10)
    deployment.record_log("attempt_started", "attempt_failed", "request_failed")
    passed_on = {request for server in deployment.servers for _, request in server.runs}
    cut = sorted(name for name, outcome in outcomes.items()
                 if name in passed_on and not outcome.complete and not outcome.left)
    left = sorted(name for name, outcome in outcomes.items() if outcome.left)
    record(f"streams that their callers left after {PATIENCE_S} s without a byte (not counted): "
           f"{len(left)} {left}")
    record(f"streams passed on to sound servers: {len(passed_on & set(outcomes))}; connection "
           f"ended without a complete answer: {len(cut)} {cut}")
    return not cut


if __name__ == "__main__":
    standins.main(run, FOLDER)
