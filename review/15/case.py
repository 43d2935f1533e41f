"""Clients that keep their channels ask for the head of an answer only (HEAD)."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import harness3 as harness  # noqa: E402

SERVICE = "filing-desk"
ROUNDS = 5
DEADLINE_MS = 1500


class Desk(harness.Server):
    """Answers HEAD as GET, without the body."""

    async def answer(self, request, connection):
        if not self.is_meant(request):
            connection["writer"].write(self.misdirected(request))
            return
        self.run(request)
        answer = harness.encode_answer(200, "OK", self.signed(request), b"filed")
        if request.method == "HEAD":
            answer = answer[:answer.index(b"\r\n\r\n") + 4]
        connection["writer"].write(answer)


async def bytes_of_next_answer(client, request_id):
    """@return what comes on the channel for the next request, from its first byte on"""
    try:
        return await asyncio.wait_for(client.reader.read(4096), 3)
    except (OSError, asyncio.TimeoutError):
        return b""


async def play(record, work, gateways):
    store, cloud = harness.Store(), harness.Cloud()
    await store.start()
    await cloud.start()
    servers = [Desk(record, f"i-7f3a91c{number}", SERVICE) for number in range(2)]
    for server in servers:
        await server.start()
    store.put("op", "config", harness.configuration(
        [harness.route("filing-status", "/status/", "safe", SERVICE)],
        [{"name": SERVICE, "max_conns": 100}]))
    beats = asyncio.create_task(harness.keep_registered(store, servers))
    gateway = harness.Gateway(record, work, store, cloud)
    gateways.append(gateway)
    gateway.start()
    await gateway.wait_until_ready()
    method = "HEAD" if harness.has_trouble() else "GET"
    wrong = []
    for number in range(ROUNDS):
        client = harness.Client(record, gateway.port)
        first = f"first-{number}"
        await client.send(method, "/status/2f", first, deadline_ms=DEADLINE_MS)
        head = await client.receive(first, has_body=method != "HEAD")
        if head is None or client.writer is None:
            raise harness.CannotRun("the channel ended before the next request")
        following = f"next-{number}"
        await client.send("GET", "/status/2f", following, deadline_ms=DEADLINE_MS)
        came = await bytes_of_next_answer(client, following)
        record.add("bytes_for", id=following, bytes=repr(came[:100]))
        if came and not came.startswith(b"HTTP/1.1 "):
            wrong.append(following)
        client.close()
    beats.cancel()
    record.add("result", rounds=ROUNDS, wrong_bytes=len(wrong))
    return not wrong


harness.main(FOLDER, play)
