"""Two keys are taken away, by two versions of the config. The second version takes the key of the
last tenant, with the tenant."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import harness3 as harness  # noqa: E402

SERVICE = "filing-desk"
ROUTES = [harness.route("licence-filing", "/filing/", "unsafe", SERVICE)]
SERVICES = [{"name": SERVICE, "max_conns": 100}]
TENANTS = {"hule930": "i9n73hh2b9wu3fexd9dn", "fida11": "q2m04kd8z7xw1ab5ytrc"}
GAP_S = 1.5
REVOKE_S = 5.0
WAIT_S = REVOKE_S + 2.0  # a request that is sent later counts in any case
REQUESTS = 10


def tenant(name):
    return {"name": name, "api_keys": [TENANTS[name]], "unit": "tokens",
            "uncached_tokens": 100, "rate_per_s": 0, "burst": 0}


class Operator:
    def __init__(self, record, store):
        self.record = record
        self.store = store
        self.version = 0

    def write(self, tenants):
        self.version += 3
        self.record.add("config", version=self.version, tenants=",".join(tenants) or "none")
        self.store.put("op", "config", harness.configuration(
            ROUTES, SERVICES, self.version, tenants=[tenant(name) for name in tenants]))


async def send_requests(record, gateway, prefix):
    """Sends requests with each of the keys and with none. @return statuses by name"""
    statuses = {}
    for name, key in (*TENANTS.items(), ("without-key", "")):
        client = harness.Client(record, gateway.port)
        statuses[name] = []
        for number in range(REQUESTS):
            request_id = f"{prefix}-{name}-{number}"
            answer = await client.call("POST", "/filing/2f", request_id, b"a notice", key=key)
            statuses[name].append(answer.status if answer else None)
        client.close()
        record.add("answers", when=prefix, key=name,
                   statuses=",".join(map(str, statuses[name])))
    return statuses


async def play(record, work, gateways):
    store, cloud = harness.Store(), harness.Cloud()
    await store.start()
    await cloud.start()
    servers = [harness.Server(record, f"i-7f3a91c{number}", SERVICE) for number in range(2)]
    for server in servers:
        await server.start()
    operator = Operator(record, store)
    operator.write(list(TENANTS))
    beats = asyncio.create_task(harness.keep_registered(store, servers))
    gateway = harness.Gateway(record, work, store, cloud)
    gateways.append(gateway)
    gateway.start()
    await gateway.wait_until_ready()
    before = await send_requests(record, gateway, "before")
    if any(status != 200 for name in TENANTS for status in before[name]):
        raise harness.CannotRun("requests with the keys were not served before")
    if any(status != 401 for status in before["without-key"]):
        raise harness.CannotRun("requests without a key were not refused before")
    if harness.has_trouble():
        operator.write(["fida11"])
        await asyncio.sleep(GAP_S)
        operator.write([])
    confirmed = time.monotonic()
    await asyncio.sleep(WAIT_S)
    record.add("sending", seconds_after_confirmation=f"{time.monotonic() - confirmed:.1f}")
    ran_before = sum(len(server.runs) for server in servers)
    await send_requests(record, gateway, "after")
    beats.cancel()
    ran = [run for server in servers for run in server.runs if run.startswith("after-")]
    without_key = [run for run in ran if "without-key" in run]
    if not harness.has_trouble():
        # No key was taken away: only requests without one may not run.
        record.add("result", ran=len(ran), ran_without_key=len(without_key))
        if len(ran) - len(without_key) < REQUESTS:
            raise harness.CannotRun("requests with the keys were not served")
        return not without_key
    record.add("result", ran_before=ran_before, ran_after_the_key_was_taken=len(ran),
               ran_without_key=len(without_key))
    return not ran


harness.main(FOLDER, play)
