"""A server crashes after the first event of its streams. Another one goes on after that event, but
the instance cuts the streams, since their ids increase by more than one."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import standins  # noqa: E402

CALLERS = 16
EVENTS = 6
ID_STEP = 6  # tokens of an event
EVENT_PAUSE_S = 0.8
CRASH_AT_S = 0.4  # after the last stream has begun
PATIENCE_S = 2.4  # eight times the pause that the route allows
STATUS_PAUSE_S = 0.02
MAX_CLOSED = 3  # of the rule
CRASHING = "i-knot0"


def stream(_, connection, request):
    """Goes on after Last-Event-Id. Ids increase."""
    standins.begin_stream(connection, request)
    last = int(request.headers.get("last-event-id", 0))
    for event_id in range(last + ID_STEP, EVENTS * ID_STEP + 1, ID_STEP):
        connection.sendall(standins.chunk(standins.event(event_id)))
        time.sleep(EVENT_PAUSE_S)
    connection.sendall(b"0\r\n\r\n")
    return True


def answer_status(_, connection, request):
    standins.answer_whole(connection, request, b"status")
    return True


def run(deployment):
    record = deployment.record
    deployment.store.put("op", "config", standins.configuration())
    deployment.add_server("i-desk", "filing-desk", answer_status)
    servers = {name: deployment.add_server(name, "knot-servers", stream)
               for name in (CRASHING, "i-knot1", "i-knot2")}
    machine = deployment.add_machine("edge-nl-west-a-1")
    deployment.wait_until_ready()
    time.sleep(3.5)  # contact_ms; the machine is in touch
    outcomes = {}
    ended = threading.Event()

    def ask_status():
        caller = standins.Caller(record, machine)
        turn = 0
        while not ended.is_set():
            caller.call("/status/x", f"status{turn}", method="GET", body=None)
            turn += 1
            time.sleep(STATUS_PAUSE_S)
        caller.close()

    def call(number):
        caller = standins.Caller(record, machine, patience_s=PATIENCE_S)
        if caller.call("/status/x", f"first{number}", method="GET", body=None).status != 200:
            raise RuntimeError("the first request of a connection failed")
        name = f"letter{number}"
        outcomes[name] = caller.call(
            "/letter/x", name, deadline_ms=12000, Cowslipknot_Model="m",
            Cowslipknot_Token_Count="600,49",
            Cowslipknot_Prefix_Hash=f"{7 * number + 161:x}:500,{number + 1:x}:100")
        caller.close()

    others = threading.Thread(target=ask_status)
    others.start()
    threads = [threading.Thread(target=call, args=(number,)) for number in range(CALLERS)]
    for thread in threads:
        thread.start()
        time.sleep(0.01)
    time.sleep(CRASH_AT_S)
    if standins.TROUBLE:
        record(f"{CRASHING}: crashes")
        servers[CRASHING].stop()
    for thread in threads:
        thread.join()
    ended.set()
    others.join()
    deployment.record_log("attempt_failed", "request_failed")
    if len(outcomes) < CALLERS:
        raise RuntimeError("not all callers sent their request")
    resumed = {request for name, server in servers.items() if name != CRASHING
               for _, request in server.runs}
    closed = sorted(name for name, outcome in outcomes.items()
                    if name in resumed and not outcome.complete and not outcome.left)
    left = sorted(name for name, outcome in outcomes.items() if outcome.left)
    record(f"streams that their callers left after {PATIENCE_S} s without a byte (not counted): "
           f"{len(left)} {left}")
    record(f"streams on kept connections, passed on to a sound server, whose connection was closed "
           f"without a complete answer: {len(closed)} {closed}")
    return len(closed) <= MAX_CLOSED


if __name__ == "__main__":
    standins.main(run, FOLDER)
