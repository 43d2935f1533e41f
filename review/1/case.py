"""One server sends a chunk header that never ends. The instance stores all of it."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import standins  # noqa: E402

CALLERS = 12  # of streams
FILERS = 8
FILING_S = 0.2  # a filing takes up to 220 ms (svs-router)
EVENTS = 64
EVENT_PAUSE_S = 0.1
TOTAL_BYTES_PER_S = 100e6  # of the faulty server; its link bears 125 MB/s
BLOCK = b"x" * 65536
MAX_CLOSED = 3  # of the rule
CONTACT_S = 3.5  # more than contact_ms
FAULTY_LIMIT_S = 14.0


def sound(_, connection, request):
    standins.begin_stream(connection, request)
    for number in range(standins.first_event(request), EVENTS + 1):
        connection.sendall(standins.chunk(standins.event(number)))
        time.sleep(EVENT_PAUSE_S)
    connection.sendall(b"0\r\n\r\n")
    return True


def file_notice(_, connection, request):
    time.sleep(FILING_S)
    standins.answer_whole(connection, request, b"filed")
    return True


class EndlessChunkHeader:
    """Answers with bytes that are no answer: a chunk size whose line does not end. Sends until
    the caller closes, with one bandwidth for all connections."""

    def __init__(self):
        self.lock = threading.Lock()
        self.next_at = 0.0

    def __call__(self, server, connection, request):
        standins.begin_stream(connection, request)
        connection.sendall(b"5;")
        started = time.monotonic()
        sent = 0
        try:
            while time.monotonic() - started < FAULTY_LIMIT_S:
                with self.lock:
                    now = time.monotonic()
                    self.next_at = max(self.next_at, now) + len(BLOCK) / TOTAL_BYTES_PER_S
                    wait = self.next_at - now
                time.sleep(wait)
                connection.sendall(BLOCK)
                sent += len(BLOCK)
        finally:
            server.record(f"{server.name}: {sent >> 20} MB of a chunk header to {request.id} "
                          f"until the caller closed")
        return False


def run(deployment):
    record = deployment.record
    deployment.store.put("op", "config", standins.configuration())
    deployment.add_server("i-desk", "filing-desk", file_notice, slots=6 * FILERS)
    servers = [deployment.add_server(f"i-knot{number}", "knot-servers", sound)
               for number in range(3)]
    if standins.TROUBLE:
        servers[2].behave = EndlessChunkHeader()
    machine = deployment.add_machine("edge-nl-west-a-1")
    deployment.wait_until_ready()
    time.sleep(CONTACT_S)  # the machine is in touch
    streams = {}
    filings = {}
    streams_ended = threading.Event()

    def draft(number):
        caller = standins.Caller(record, machine)
        name = f"draft{number}"
        streams[name] = caller.call(
            "/draft/x", name, Cowslipknot_Model="m", Cowslipknot_Token_Count="600,64",
            Cowslipknot_Prefix_Hash=f"{7 * number + 161:x}:500,{number + 1:x}:100")
        caller.close()

    def file(number):
        caller = standins.Caller(record, machine)
        for turn in range(100):
            name = f"filing{number}.{turn}"
            outcome = caller.call("/filing/x", name, deadline_ms=2500)
            outcome.on_kept_connection = turn > 0
            filings[name] = outcome
            if outcome.error or streams_ended.is_set():
                break
        caller.close()

    filers = [threading.Thread(target=file, args=(number,)) for number in range(FILERS)]
    callers = [threading.Thread(target=draft, args=(number,)) for number in range(CALLERS)]
    for thread in filers:
        thread.start()
    time.sleep(2 * FILING_S)
    for thread in callers:
        thread.start()
        time.sleep(0.02)
    for thread in callers:
        thread.join()
    streams_ended.set()
    for thread in filers:
        thread.join()
    if len(streams) < CALLERS or len(filings) < FILERS:
        raise RuntimeError("not all callers sent their request")
    passed_on = {request for server in deployment.servers
                 if not isinstance(server.behave, EndlessChunkHeader)
                 for _, request in server.runs}
    closed = sorted(name for name, outcome in filings.items()
                    if outcome.on_kept_connection and name in passed_on and not outcome.status)
    cut = sorted(name for name, outcome in streams.items()
                 if name in passed_on and not outcome.complete)
    record(f"peak memory of the instance: {machine.peak_mb:.0f} MB; "
           f"killed for memory: {machine.killed_for_memory}")
    record(f"streams at sound servers that were cut: {len(cut)} {cut}")
    record(f"filings on kept connections, passed on to the sound server, whose connection was "
           f"closed without an answer: {len(closed)} {closed}")
    return len(closed) <= MAX_CLOSED


if __name__ == "__main__":
    standins.main(run, FOLDER)
