"""Tests gateways that know no completed answer against a part of prompts that crashes servers."""

import asyncio
import random
import time
import unittest

from configuration_documents import configuration, route
from crashing_servers import CONTACT_S, CrashingServers
from gateway_process import eventually
from platform_test_case import PlatformTestCase

GATEWAYS = 3
SERVERS = 8
EVENTS = 60  # of a stream, which outlasts the test
EVENT_PAUSE_S = 0.25
REQUESTS_PER_S = 30
CRASHING_SHARE = 0.1
CRASHING_AFTER_S = 2  # since the start: each server answers requests with each first part
CRASHING_PART = "bad1"
CRASHES = 5  # after which BUDGET counts, and LOST if there are as many
MAX_LATER = 3  # requests with the part that reach servers later than CONTACT_S after them
DURATION_S = 14
MIN_SERVED = 0.5  # of the sound requests from 2 * CONTACT_S after those crashes (LOST)


class Traffic:
    """Callers that each send one streaming request, and read its answer as it comes."""

    def __init__(self, gateways, make_parts):
        self.gateways = gateways
        self.make_parts = make_parts
        self.draws = random.Random(49)
        self.outcomes = []  # of sound requests: (when it was sent, status or 0)

    async def send(self, number, crashes):
        gateway = self.gateways[number % len(self.gateways)]
        parts = [*self.make_parts(number, crashes), f"{number + (1 << 24):x}"]
        prefix = ",".join(f"{part}:10" for part in parts)
        sent = time.monotonic()
        status = 0
        writer = None
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
            writer.write((
                "POST /stream/x HTTP/1.1\r\nHost: h.example\r\n"
                f"Cowslipknot-Request-Id: r{number}\r\nAuthorization: Token key1\r\n"
                "Cowslipknot-Deadline-Ms: 15000\r\nCowslipknot-Token-Count: 40,60\r\n"
                f"Cowslipknot-Prefix-Hash: {prefix}\r\nContent-Length: 0\r\n\r\n").encode())
            status = int((await reader.readline())[9:12] or 0)
            if not crashes:
                self.outcomes.append((sent, status))
            while await reader.read(4096):
                pass
        except OSError:
            if not crashes and not status:
                self.outcomes.append((sent, 0))
        finally:
            if writer:
                writer.close()

    async def run(self):
        tasks = []
        start = time.monotonic()
        while (now := time.monotonic()) < start + DURATION_S:
            crashes = (now > start + CRASHING_AFTER_S
                       and self.draws.random() < CRASHING_SHARE)
            tasks.append(asyncio.create_task(self.send(len(tasks), crashes)))
            await asyncio.sleep(self.draws.expovariate(REQUESTS_PER_S))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class FreshInstancesQuarantineTest(PlatformTestCase):
    def run_traffic(self, make_parts):
        """Starts instances and, when they are ready, requests, later also some that crash
        servers."""
        self.store.put("op", "config", configuration(route_list=[
            route("stream", "/stream/", "streaming", "model", max_attempts=1,
                  timeout_ms=15000)]))
        servers = CrashingServers(self.store, SERVERS, "model", crashes_on=CRASHING_PART,
                                  events=EVENTS, event_pause_s=EVENT_PAUSE_S)
        self.addCleanup(servers.stop)
        gateways = [self.start_gateway(wait=False, name=f"gw{number}")
                    for number in range(GATEWAYS)]
        for gateway in gateways:
            eventually(gateway.ready)
        traffic = Traffic(gateways, make_parts)
        asyncio.run(traffic.run())
        return servers, gateways, traffic

    def assert_only_the_part_is_held(self, make_parts):
        servers, gateways, traffic = self.run_traffic(make_parts)
        history = "".join(gateway.history("prompt_", "quarantine") for gateway in gateways)
        crashes = sorted(servers.crashes)
        self.assertTrue(crashes)
        fifth = crashes[:CRASHES][-1]  # the last, if there are fewer
        arrivals = [run["time"] for backend in servers.backends for run in list(backend.runs)
                    if CRASHING_PART in run["headers"]["Cowslipknot-Prefix-Hash"]]
        later = [at for at in arrivals if at > fifth + CONTACT_S]
        self.assertLessEqual(len(later), MAX_LATER, history)
        sound = [status for sent, status in traffic.outcomes if sent > fifth + 2 * CONTACT_S]
        self.assertGreaterEqual(len(sound), 20)
        self.assertGreaterEqual(sound.count(200), MIN_SERVED * len(sound), history)

    # Guards against BUDGET of review/8: parts that all crashed servers had in flight were one
    # quarantine, which held no request, until an answer with each of them was complete.
    def test_part_after_one_of_several_first_parts_is_found(self):
        self.assert_only_the_part_is_held(
            lambda number, crashes: [f"a{number % 2 + 1}", f"b{number % 50:02x}",
                                     *([CRASHING_PART] if crashes else [])])

    def test_part_in_place_of_a_first_part_is_found(self):
        self.assert_only_the_part_is_held(
            lambda number, crashes: [CRASHING_PART if crashes else f"a{number % 3 + 1}",
                                     f"b{number % 50:02x}"])


if __name__ == "__main__":
    unittest.main()
