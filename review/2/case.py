"""The holder of the lease is cut off from the cloud and is then stopped as planned. A call that
it had sent, and given up, reaches the cloud after those of its successor."""

import pathlib
import socket
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import standins  # noqa: E402

WINDOW_S = 5
THAW_S = 0.3  # of the rule
FIRST_RETRANSMISSION_S = 0.2  # of TCP; each further one after twice the time
HEAL_BEFORE_S = 0.6  # a retransmission; the link may heal at any time
TIMEOUT_S = 40


class CutLink:
    """Forwards a machine's connections to the cloud. While the link is cut, bytes are held up and
    sent again as TCP does, also after their sender has closed the channel; they are lost if it
    resets the channel. Channels that are opened meanwhile stay silent."""

    def __init__(self, target, record):
        host, port = target.split(":")
        self.target = (host, int(port))
        self.record = record
        self.cut = False
        self.held_at = None  # the first bytes that were held up
        self.healed_at = float("-inf")
        self.healed = threading.Event()
        self.listener = socket.socket()
        self.listener.bind((standins.HOST, 0))
        self.listener.listen(64)
        self.address = f"{standins.HOST}:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            client, _ = self.listener.accept()
            if self.cut:
                # Its opening packet is lost.
                threading.Thread(target=self.ignore, args=(client,), daemon=True).start()
                continue
            cloud = socket.create_connection(self.target)
            threading.Thread(target=self.send, args=(client, cloud), daemon=True).start()
            threading.Thread(target=self.answer, args=(cloud, client), daemon=True).start()

    @staticmethod
    def ignore(client):
        try:
            while client.recv(65536):
                pass
        except OSError:
            pass

    def answer(self, cloud, client):
        try:
            while data := cloud.recv(65536):
                client.sendall(data)
        except OSError:
            pass

    def send(self, client, cloud):
        held = b""
        held_at = None
        try:
            while data := client.recv(65536):
                if not self.cut:
                    cloud.sendall(data)
                    continue
                held += data
                if held_at is None:
                    held_at = time.monotonic()
                    self.held_at = held_at
                    self.record("link: holds up a call to the cloud")
            if held:
                self.record("link: the sender has closed the channel of the call")
        except ConnectionResetError:
            if held:
                self.record("link: the sender has reset the channel; the call is lost")
            held = b""
        if held:
            self.healed.wait()
            time.sleep(max(0, self.next_retransmission(held_at, self.healed_at)
                           - time.monotonic()))
            self.record("link: the call reaches the cloud")
            cloud.sendall(held)
            time.sleep(1)
        cloud.close()

    @staticmethod
    def next_retransmission(sent, after):
        """When TCP sends bytes again that were lost until then."""
        at, pause = sent, FIRST_RETRANSMISSION_S
        while at < after:
            at += pause
            pause *= 2
        return at

    def heal(self):
        self.cut = False
        self.healed_at = time.monotonic()
        self.record("link: healed")
        self.healed.set()


def wait_for(condition, what):
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline:
            raise RuntimeError(f"waited in vain for {what}")
        time.sleep(0.02)


def run(deployment):
    record = deployment.record
    cloud = deployment.cloud
    deployment.store.put("op", "config", standins.configuration())
    deployment.add_server("i-desk", "filing-desk",
                          lambda _, connection, request: standins.answer_whole(
                              connection, request, b"status") or True)
    link = CutLink(cloud.server.address, record)
    first = deployment.add_machine("edge-nl-west-a-1", **{"cloud.address": link.address})
    deployment.wait_until_ready()
    wait_for(lambda: cloud.usage, "the first report")
    second = deployment.add_machine("edge-nl-west-b-1", zone="nl-west-b")
    deployment.wait_until_ready()
    caller = standins.Caller(record, second)
    for turn in range(10):
        caller.call("/status/x", f"status{turn}", method="GET", body=None)
    time.sleep(6)  # the second machine may take a released lease
    reports = len(cloud.usage)
    wait_for(lambda: len(cloud.usage) > reports, "a report of the holder")
    time.sleep(WINDOW_S - 1)
    if standins.TROUBLE:
        link.cut = True
        record("link: the holder is cut off from the cloud")
        wait_for(lambda: link.held_at, "a call during the cut")
        time.sleep(0.2)
    first.terminate()
    wait_for(lambda: any(call["holder"] == second.name for call in cloud.usage),
             "a call of the successor")
    if standins.TROUBLE:
        sent_again = link.next_retransmission(link.held_at,
                                              time.monotonic() + HEAL_BEFORE_S)
        time.sleep(sent_again - HEAL_BEFORE_S - time.monotonic())
        link.heal()
    time.sleep(3)
    stale = []
    seen = 0
    for call in cloud.usage:
        record(f"cloud: {call['holder']} reports window {call['window']} with epoch "
               f"{call['epoch']}")
        is_excused = 0 <= call["time"] - link.healed_at <= THAW_S
        if call["epoch"] < seen and not is_excused:
            stale.append(call)
            record(f"cloud: that epoch is lower than {seen}, {call['time'] - link.healed_at:.2f} s "
                   f"after the link healed")
        seen = max(seen, call["epoch"])
    deployment.record_log("lease_taken", "lease_lost", "usage_not_accepted")
    record(f"calls with a lower epoch than seen before, later than {THAW_S} s after the link "
           f"healed: {len(stale)}")
    return not stale


if __name__ == "__main__":
    standins.main(run, FOLDER)
