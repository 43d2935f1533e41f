"""A move to a new version is completed, so that the platform has stopped the old servers. Then the
store comes back from a copy that is some seconds old, and all gateway processes are killed while it
is away."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import harness3 as harness  # noqa: E402

SERVICE = "filing-desk"
ORDER = {"service": SERVICE, "to": "v2", "duration_s": 14}
ORDER_DEADLINE_S = 16
COPY_AGE_S = 9.0
AWAY_S = 2.0
RESTART_S = 0.5  # until a killed process is started again
DRAIN_S = 4.0  # from "reverted" until the servers of the new version drain, and until they exit
RECOVER_S = 12.0
MEASURED_S = 5.0
PAUSE_S = 0.02


class Platform:
    """The part of the platform that acts on the status of a move."""

    def __init__(self, record, store, servers):
        self.record = record
        self.store = store
        self.servers = servers
        self.states = []  # of the move, in order

    async def run(self):
        while True:
            status = None if self.store.is_away else self.store.get("status",
                                                                    f"rollout/{SERVICE}")
            state = status["state"] if status else None
            if state and (not self.states or self.states[-1] != state):
                self.states.append(state)
                self.record.add("status", state=state, to=status["to"])
                if state == "completed":
                    self.stop("v1")
                if state == "reverted":
                    asyncio.create_task(self.drain("v2"))
            await asyncio.sleep(0.05)

    def stop(self, version):
        for server in self.servers:
            if server.version == version and server.state != "gone":
                self.record.add("server_stopped", server=server.name, version=version)
                server.stop()
                self.store.remove("servers", server.name)

    async def drain(self, version):
        await asyncio.sleep(DRAIN_S)
        for server in self.servers:
            if server.version == version:
                server.state = "draining"
                self.store.put("servers", server.name, server.registration())
        await asyncio.sleep(DRAIN_S)
        self.stop(version)


async def send_requests(record, gateway, sent):
    """Sends one request after another and notes for each its time and whether it was served."""
    client = harness.Client(record, gateway.port)
    number = 0
    while True:
        number += 1
        at = time.monotonic()
        answer = None
        try:
            answer = await client.call("GET", "/status/2f", f"{gateway.port:04x}{number:012x}")
        except OSError:
            client.close()
        sent.append((at, answer is not None and answer.status == 200))
        await asyncio.sleep(PAUSE_S)


async def wait_for(condition, timeout_s, what):
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise harness.CannotRun(what)
        await asyncio.sleep(0.05)


async def restart_all(gateways):
    for gateway in gateways:
        gateway.send_signal(signal.SIGKILL)
        gateway.child.wait()
    await asyncio.sleep(RESTART_S)
    for gateway in gateways:
        gateway.start()


async def take_copies(store, copies):
    while True:
        copies.append((time.monotonic(), store.copy()))
        await asyncio.sleep(0.1)


async def restore_store(record, store, copies):
    """The drill: the store is away, and comes back from a copy of COPY_AGE_S before."""
    store.is_away = True
    at = time.monotonic()
    record.add("store_away")
    copy = [copy for taken, copy in copies if taken <= at - COPY_AGE_S][-1]
    await asyncio.sleep(AWAY_S)
    store.restore(copy)
    store.is_away = False
    record.add("store_back", era=store.era, copy_age_s=COPY_AGE_S)


async def play(record, work, gateways):
    store, cloud = harness.Store(), harness.Cloud()
    await store.start()
    await cloud.start()
    servers = [harness.Server(record, f"i-7f3a{version}{number}", SERVICE,
                              f"nl-west-{'ab'[number % 2]}", version)
               for version in ("v1", "v2") for number in range(4)]
    for server in servers:
        await server.start()
    store.put("op", "config", harness.configuration(
        [harness.route("filing-status", "/status/", "safe", SERVICE)],
        [{"name": SERVICE, "max_conns": 100}]))
    platform = Platform(record, store, servers)
    copies, sent = [], []
    tasks = [asyncio.create_task(task) for task in (
        harness.keep_registered(store, servers), platform.run(), take_copies(store, copies))]
    for number in range(2):
        gateways.append(harness.Gateway(record, work, store, cloud,
                                        f"edge-nl-west-{'ab'[number]}-1",
                                        f"nl-west-{'ab'[number]}"))
        gateways[-1].start()
    for gateway in gateways:
        await gateway.wait_until_ready()
    tasks += [asyncio.create_task(send_requests(record, gateway, sent))
              for gateway in gateways for _ in range(3)]
    await asyncio.sleep(6)  # the lease is held, and requests are usual
    record.add("order", **ORDER)
    store.put("op", f"rollout/{SERVICE}", ORDER)
    await wait_for(lambda: "completed" in platform.states or "reverted" in platform.states,
                   ORDER_DEADLINE_S, "the move was not decided")
    if platform.states[-1] != "completed":
        raise harness.CannotRun(f"the move ended otherwise: {platform.states}")
    await asyncio.sleep(2)
    fault_at = time.monotonic()
    if harness.has_trouble():
        drill = asyncio.create_task(restore_store(record, store, copies))
        await asyncio.sleep(AWAY_S / 4)
        await restart_all(gateways)
        await drill
    back_at = time.monotonic()
    await asyncio.sleep(RECOVER_S + MEASURED_S)
    before = [served for at, served in sent if fault_at - MEASURED_S <= at < fault_at]
    after = [served for at, served in sent if at >= back_at + RECOVER_S]
    for task in tasks:
        task.cancel()
    for gateway in gateways:
        for line in gateway.log_text('"move_step"'):
            record.add("log", line=line)
    record.add("result", before=f"{sum(before)}/{len(before)}", after=f"{sum(after)}/{len(after)}",
               states=",".join(platform.states))
    if not before or sum(before) * 4 < len(before) or not after:
        raise harness.CannotRun("too little was served before the fault")
    return sum(after) * 4 >= len(after)


harness.main(FOLDER, play)
