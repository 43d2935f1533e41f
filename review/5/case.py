"""A machine was cut off from the store. Just after its return a server leaves without a notice:
its entry is removed. The machine keeps sending it requests for longer than drain_ms."""

import pathlib
import socket
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import standins  # noqa: E402

CONTACT_S = 3.0
DRAIN_S = 2.0
CUT_S = 4.0
REMOVED_AFTER_S = 0.4  # the return of the machine
EXTRA_S = 0.85  # the server serves for drain_ms and a little longer
WORK_S = 0.06
FILERS = 8
LEAVER = "i-desk0"


class CutLink:
    """Forwards a machine's connections to the store. A cut link loses what is sent; what was
    opened before or during the cut stays silent for good."""

    def __init__(self, target):
        host, port = target.split(":")
        self.target = (host, int(port))
        self.generation = 0
        self.cut = False
        self.lost_calls = threading.Condition()
        self.lost_reads = 0  # of the servers' table
        self.listener = socket.socket()
        self.listener.bind((standins.HOST, 0))
        self.listener.listen(64)
        self.address = f"{standins.HOST}:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            generation = None if self.cut else self.generation
            threading.Thread(target=self.forward, args=(client, generation),
                             daemon=True).start()

    def forward(self, client, generation):
        store = socket.create_connection(self.target)
        threading.Thread(target=self.pump, args=(store, client, generation),
                         daemon=True).start()
        self.pump(client, store, generation)

    def pump(self, source, sink, generation):
        try:
            while data := source.recv(65536):
                if generation == self.generation and not self.cut:
                    sink.sendall(data)
                elif b"table=servers" in data:
                    with self.lost_calls:
                        self.lost_reads += 1
                        self.lost_calls.notify_all()
            source.close()
            sink.close()
        except OSError:
            pass

    def start_cut(self):
        self.cut = True

    def heal(self):
        self.generation += 1
        self.cut = False

    def wait_for_lost_read(self):
        """Waits until the machine has just tried to read the servers' table."""
        with self.lost_calls:
            known = self.lost_reads
            self.lost_calls.wait_for(lambda: self.lost_reads > known, timeout=3)


def file_notice(_, connection, request):
    time.sleep(WORK_S)
    standins.answer_whole(connection, request, b"filed")
    return True


def run(deployment):
    record = deployment.record
    deployment.store.put("op", "config", standins.configuration())
    for number in range(2):
        deployment.add_server(f"i-desk{number}", "filing-desk", file_notice, slots=6)
    leaver = deployment.servers[0]
    link = CutLink(deployment.store.server.address)
    machine = deployment.add_machine("edge-nl-west-a-1", **{"provider.address": link.address})
    deployment.wait_until_ready()
    time.sleep(2)
    ended = threading.Event()
    outcomes = {}

    def file(number):
        caller = standins.Caller(record, machine)
        turn = 0
        while not ended.is_set():
            name = f"filing{number}.{turn}"
            outcomes[name] = caller.call("/filing/x", name, deadline_ms=2500)
            turn += 1
            if outcomes[name].error:
                caller.close()
                caller = standins.Caller(record, machine)
        caller.close()

    threads = [threading.Thread(target=file, args=(number,)) for number in range(FILERS)]
    for thread in threads:
        thread.start()
    if standins.TROUBLE:
        link.start_cut()
        record("link: the machine is cut off from the store")
        time.sleep(CUT_S - 1)
        link.wait_for_lost_read()
        link.heal()
        record("link: healed")
    healed = time.monotonic()
    time.sleep(REMOVED_AFTER_S)
    deployment.store.delete("servers", LEAVER)
    removed = time.monotonic()
    record(f"store: has removed the entry of {LEAVER}")
    time.sleep(DRAIN_S + EXTRA_S)
    running = [request for _, request in leaver.runs]
    leaver.stop()
    left = time.monotonic()
    record(f"{LEAVER}: exits, {left - removed:.2f} s after the removal of its entry")
    time.sleep(1)
    ended.set()
    for thread in threads:
        thread.join()
    deployment.record_log("platform_lost", "platform_back", "server_leaving", "server_gone",
                          "attempt_failed")
    from_time = max(removed + DRAIN_S, healed + CONTACT_S if standins.TROUBLE else 0)
    late = [(at, request) for at, request in leaver.runs if at > from_time]
    lost = [request for request in running if not 200 <= outcomes[request].status < 300]
    for at, request in late:
        record(f"{request} reached {LEAVER} {at - removed:.3f} s after the removal, "
               f"{at - healed:.3f} s after the link healed")
    record(f"requests that reached {LEAVER} more than {DRAIN_S} s after the removal, sent by the "
           f"machine in touch: {len(late)}")
    record(f"filings that {LEAVER} took and that got no answer of it: {len(lost)} {lost}")
    return not late


if __name__ == "__main__":
    standins.main(run, FOLDER)
