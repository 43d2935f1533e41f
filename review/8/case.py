"""All processes of the system are killed and start again; then one part of a prompt crashes
servers, before any stream that has begun since then can be complete."""

import asyncio
import pathlib
import random
import signal
import socket
import struct
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
sys.path.insert(0, str(HERE.parents[1] / "tests" / "platform"))
import harness2 as harness  # noqa: E402
from configuration_documents import configuration, route, services, tenant  # noqa: E402

GATEWAYS = 5
SERVERS = 18
SLOTS = 32  # of a server; what comes beyond is refused
BACK_AFTER_S = 3.0  # a crashed server is back as a new process at its address
CONTACT_S = 3.0
CRASHES = 5  # after which BUDGET counts
ALLOWED = 3
REQUESTS_PER_S = 40
DEADLY_SHARE = 0.05
FIRST_PARTS = 2  # of one of which each prompt begins
SUBJECTS = 320
EVENTS = 64
EVENT_PAUSE_S = 0.22
STREAM_S = EVENTS * EVENT_PAUSE_S
DEADLINE_MS = 15000
QUIET_S = STREAM_S + 6.0  # streams are completed before the processes are killed
DOWN_S = 0.5
DEADLY_AFTER_S = 3.0  # since all instances are ready again
DEADLY_S = 22.0
DEADLY_PART = "deadbea7"


class Server:
    """A model server on one address, with all its processes."""

    def __init__(self, number, pool):
        self.number = number
        self.pool = pool
        self.boot = 0
        self.listener = None
        self.port = 0
        self.connections = set()
        self.running = 0

    @property
    def name(self):
        return f"m{self.number}-{self.boot}"

    async def start(self):
        self.boot += 1
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", self.port,
                                                   backlog=256)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.pool.store.put("servers", self.name, {
            "service": "model", "address": f"127.0.0.1:{self.port}", "zone": "z1",
            "version": "v1", "slots": SLOTS, "state": "ready", "warmup_left_ms": 0, "seq": 1,
            "born": int(time.time() * 1000)})

    async def crash(self):
        name = self.name
        self.running = 0
        self.listener.close()
        self.listener = None
        for writer in list(self.connections):
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        await asyncio.sleep(BACK_AFTER_S)
        self.pool.store.delete("servers", name)
        await self.start()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        boot = self.boot
        try:
            while self.listener and boot == self.boot:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = {name.strip().lower(): value.strip() for name, _, value in
                          (line.partition(":") for line in head.split("\r\n")[1:])}
                await reader.readexactly(int(fields.get("content-length", 0)))
                await self.answer(writer, fields)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the connection or the case has ended
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, writer, fields):
        request = fields["cowslipknot-request-id"]
        same = f"Cowslipknot-Request-Id: {request}\r\n"
        if fields.get("cowslipknot-expect-instance") != self.name:
            writer.write(f"HTTP/1.1 421 Misdirected\r\n{same}Content-Length: 0\r\n\r\n".encode())
            await writer.drain()
            return
        if self.running >= SLOTS:
            writer.write(f"HTTP/1.1 503 Full\r\n{same}Cowslipknot-Not-Executed: 1\r\n"
                         "Content-Length: 0\r\n\r\n".encode())
            await writer.drain()
            return
        self.running += 1
        boot = self.boot
        try:
            await self.run(writer, fields, request, same)
        finally:
            if boot == self.boot and self.listener:
                self.running -= 1

    async def run(self, writer, fields, request, same):
        deadly = f"{DEADLY_PART}:" in fields.get("cowslipknot-prefix-hash", "")
        self.pool.record.line(f"server {self.name} runs {request}{' and ends' if deadly else ''}")
        if deadly:
            self.pool.deadly_arrivals.append((time.monotonic(), request))
        await asyncio.sleep(0.05)  # until the first token
        if deadly:
            if self.listener:
                self.pool.crashes.append(time.monotonic())
                self.pool.tasks.append(asyncio.create_task(self.crash()))
            raise OSError("crashed")
        writer.write(f"HTTP/1.1 200 OK\r\n{same}Cowslipknot-Server-Signature: sig\r\n"
                     "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                     .encode())
        for number in range(1, EVENTS + 1):
            event = f"id: {number}\ndata: piece {number}\n\n"
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await writer.drain()
            await asyncio.sleep(EVENT_PAUSE_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Pool:
    def __init__(self, store, record):
        self.store = store
        self.record = record
        self.crashes = []
        self.deadly_arrivals = []  # (time, request)
        self.tasks = []
        self.servers = [Server(number, self) for number in range(SERVERS)]


class Traffic:
    """Callers that each send one request on a new connection and don't come back."""

    def __init__(self, gateways, record):
        self.gateways = gateways
        self.record = record
        self.draws = random.Random(46)
        self.deadly_from = float("inf")
        self.outcomes = []  # (when it ended, whether it has the deadly part, outcome)
        self.tasks = set()

    def make_parts(self, count, deadly):
        parts = [f"a{self.draws.randrange(FIRST_PARTS)}:119",
                 f"{0xb000 + self.draws.randrange(SUBJECTS):x}:79"]
        parts += [f"{DEADLY_PART}:60"] if deadly else []
        parts.append(f"{count + (1 << 24):x}:40")  # the request's own
        return ",".join(parts)

    async def send(self):
        count = 0
        while True:
            count += 1
            deadly = (time.monotonic() > self.deadly_from
                      and self.draws.random() < DEADLY_SHARE)
            request = f"{'deadly' if deadly else 'sound'}-{count}"
            task = asyncio.create_task(self.call(
                self.draws.choice(self.gateways), request, self.make_parts(count, deadly),
                deadly))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(self.draws.expovariate(REQUESTS_PER_S))

    async def call(self, gateway, request, parts, deadly):
        outcome = "nothing"
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000):
                reader, writer = await asyncio.open_connection(*gateway.callers)
                try:
                    body = request.encode()
                    writer.write((
                        f"POST /stream/x HTTP/1.1\r\nHost: h.example\r\n"
                        f"Cowslipknot-Request-Id: {request}\r\nAuthorization: Token key1\r\n"
                        f"Cowslipknot-Deadline-Ms: {DEADLINE_MS}\r\nCowslipknot-Model: m\r\n"
                        f"Cowslipknot-Token-Count: 628,{EVENTS * 5}\r\n"
                        f"Cowslipknot-Prefix-Hash: {parts}\r\nConnection: close\r\n"
                        f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
                    answer = await reader.read()
                    outcome = answer[9:12].decode() or "nothing"
                    if outcome == "200" and not answer.endswith(b"0\r\n\r\n"):
                        outcome = "200, cut"
                finally:
                    writer.close()
        except (OSError, asyncio.TimeoutError):
            pass
        self.outcomes.append((time.monotonic(), deadly, outcome))
        self.record.line(f"caller: {request} at {gateway.name} got {outcome}")

    async def stop(self, sender):
        tasks = [sender, *self.tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def kill_all(gateways, record):
    for gateway in gateways:
        gateway.send_signal(signal.SIGKILL)
    record.line("all instances are killed")
    for gateway in gateways:
        gateway.child.wait()
    await asyncio.sleep(DOWN_S)
    for gateway in gateways:
        gateway.start()
    for gateway in gateways:
        await asyncio.to_thread(gateway.wait_until_ready)
    record.line("all instances are ready again")


async def play(installation, record):
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    pool = Pool(installation.store, record)
    for server in pool.servers:
        await server.start()
    gateways = [installation.add_gateway(f"gw{number}") for number in range(GATEWAYS)]
    for gateway in gateways:
        await asyncio.to_thread(gateway.wait_until_ready)
    await asyncio.sleep(2)  # until they know each other
    traffic = Traffic(gateways, record)
    sender = asyncio.create_task(traffic.send())
    await asyncio.sleep(QUIET_S)
    if harness.TROUBLE:
        await kill_all(gateways, record)
    ready_again = time.monotonic()
    traffic.deadly_from = ready_again + DEADLY_AFTER_S
    await asyncio.sleep(DEADLY_AFTER_S + DEADLY_S)
    await traffic.stop(sender)
    for task in pool.tasks:
        task.cancel()
    crashes = sorted(pool.crashes)
    late = []
    if len(crashes) >= CRASHES:
        since = max(crashes[CRASHES - 1], ready_again) + CONTACT_S
        late = [request for at, request in pool.deadly_arrivals if at > since]
    sound = [outcome for at, deadly, outcome in traffic.outcomes
             if not deadly and at > traffic.deadly_from]
    summary = (f"{len(crashes)} servers crashed; {len(late)} requests with the part reached "
               f"servers too late, allowed {ALLOWED}; {sound.count('200')} of {len(sound)} "
               "sound requests served")
    record.line(summary)
    print(summary)
    return harness.BROKEN if len(late) > ALLOWED else harness.HELD


def run(installation, record):
    document = configuration(
        route_list=[route("stream", "/stream/", "streaming", "model", max_attempts=1,
                          timeout_ms=DEADLINE_MS, slo_ms=400, itl_target_ms=300, sticky=True)],
        services=services(max_conns=230, slots=SLOTS), tenants=[tenant("tenant1", "key1")])
    document["services"][1]["engine"]["kv_capacity"] = 558872
    installation.store.put("op", "config", document)
    return asyncio.run(play(installation, record))


if __name__ == "__main__":
    sys.exit(harness.run_case(HERE, run))
