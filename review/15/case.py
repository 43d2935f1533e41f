"""A server ends and starts again with the id that it had. The new process asks for a pause, in an answer
that arrives before its registration has been read."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import harness3 as harness  # noqa: E402

SERVICE = "filing-desk"
SERVERS = 6  # one of them, a share of 0.17, ends
CLIENTS = 30  # all send at once
ROUND_S = 0.5
WORK_S = 0.03
RESTART_S = 0.25  # from the end of the process to the next one
FIRST_BEAT_S = 1.0  # from the start of a process to its first registration, below heartbeat_ms
PAUSE_S = 12.0  # that the server asks for, once
GRACE_S = 0.5  # by the rule
ALLOWED = 2


class Server(harness.Server):
    wants_none_until = 0.0
    refused_at = None  # when it first asked for the pause

    async def answer(self, request, connection):
        if not self.is_meant(request):
            connection["writer"].write(self.misdirected(request))
            return
        await asyncio.sleep(WORK_S)
        left = self.wants_none_until - time.monotonic()
        if left <= 0:
            self.run(request)
            connection["writer"].write(harness.encode_answer(200, "OK", self.signed(request),
                                                             b"done"))
            return
        self.refused_at = self.refused_at or time.monotonic()
        self.record.add("refused", server=self.name, id=request.id, retry_after=f"{left:.3f}")
        connection["writer"].write(harness.encode_answer(
            503, "Service Unavailable",
            {"Cowslipknot-Not-Executed": 1, "Cowslipknot-Request-Id": request.id,
             "Retry-After": f"{left:.3f}"}))

    async def restart(self):
        """Ends and starts again at its address, with its id and a new start."""
        port = int(self.address.rsplit(":", 1)[1])
        self.stop()
        self.record.add("server_ended", server=self.name)
        await asyncio.sleep(RESTART_S)
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.listener, self.address = await harness.start_listener(self._serve, port)
        self.record.add("server_started", server=self.name, born=self.born)


async def beat(store, server):
    """Writes the server's registration at its heartbeats."""
    while True:
        if server.state == "ready":
            store.put("servers", server.name, server.registration())
        await asyncio.sleep(harness.HEARTBEAT_S)


async def restart(server, store, tasks, beat_task):
    beat_task.cancel()
    await server.restart()

    async def register_later():
        await asyncio.sleep(FIRST_BEAT_S)
        server.record.add("registers", server=server.name, born=server.born)
        await beat(store, server)

    tasks.append(asyncio.create_task(register_later()))


async def send_requests(record, port, number, sent, started):
    """Sends a request at the beginning of each round."""
    client = harness.Client(record, port)
    count = 0
    while True:
        count += 1
        await asyncio.sleep(max(0.0, started + count * ROUND_S - time.monotonic()))
        request_id = f"{number:04x}{count:012x}"
        answer = await client.call("POST", "/filing/2f", request_id, b"a notice")
        sent[request_id] = answer.status if answer else None


async def play(record, work, gateways):
    store, cloud = harness.Store(), harness.Cloud()
    await store.start()
    await cloud.start()
    servers = [Server(record, f"i-7f3a91c{number}", SERVICE, f"nl-west-{'abcd'[number % 4]}")
               for number in range(SERVERS)]
    for server in servers:
        await server.start()
    store.put("op", "config", harness.configuration(
        [harness.route("licence-filing", "/filing/", "unsafe", SERVICE)],
        [{"name": SERVICE, "max_conns": 100}]))
    tasks = [asyncio.create_task(beat(store, server)) for server in servers]
    gateways.append(harness.Gateway(record, work, store, cloud))
    gateways[0].start()
    await gateways[0].wait_until_ready()
    sent = {}
    started = time.monotonic()
    tasks += [asyncio.create_task(send_requests(record, gateways[0].port, number, sent,
                                                started))
              for number in range(CLIENTS)]
    server = servers[0]
    # After the answers of a round, so that the end of the process breaks off none.
    await asyncio.sleep(started + 6.35 * ROUND_S - time.monotonic())
    if harness.has_trouble():
        await restart(server, store, tasks, tasks[0])
    server.wants_none_until = time.monotonic() + PAUSE_S
    record.add("wants_none", server=server.name, for_s=PAUSE_S)
    arrivals = []
    answer = server.answer

    async def note_arrival(request, connection):
        if server.is_meant(request):
            arrivals.append((time.monotonic(), request.id))
        await answer(request, connection)

    server.answer = note_arrival
    await asyncio.sleep(max(0.0, server.wants_none_until - time.monotonic() + 1))
    for task in tasks:
        task.cancel()
    if server.refused_at is None:
        raise harness.CannotRun("the new process got no request that it could refuse")
    late = [request for at, request in arrivals
            if server.refused_at + GRACE_S <= at < server.wants_none_until]
    served = sum(1 for status in sent.values() if status == 200)
    record.add("result", served=f"{served}/{len(sent)}", late=len(late), allowed=ALLOWED)
    return len(late) <= ALLOWED


harness.main(FOLDER, play)
