"""Tests gateways beside rows of another writer that are no registrations, and beside
answers of the store that are cut."""

import json
import re
import time
import unittest

from configuration_documents import configuration
from gateway_process import eventually
from platform_test_case import PlatformTestCase

INSTANCES = 6  # enough for relays and followers
DRAIN_BOUND_S = 2.0
DEPTH = 50_000


def odd_entries(registration):
    """By name: the bytes of an entry that names no server."""

    def with_field(name, text):
        """The registration with a field whose value is this JSON text."""
        marked = json.dumps(dict(registration, **{name: "MARK"}))
        return marked.replace('"MARK"', text).encode()

    entries = {
        "empty": b"",
        "no text": b"\xff\xfe\x00\x80",
        "no object": b"[]",
        "null": b"null",
        "no fields": b"{}",
        "cut": json.dumps(registration).encode()[:-5],
        "nested lists": b"[" * DEPTH,
        "nested objects": b'{"a":' * DEPTH,
        "nested field": with_field("seq", "[" * DEPTH + "]" * DEPTH),
    }
    for name in ("slots", "born", "warmup_left_ms"):
        for number in ("1e308", "-1e308", "1e999", "[1]", "null"):
            entries[f"{name} {number}"] = with_field(name, number)
    for number in ("18446744073709551616", "-1", "4294967296"):
        entries[f"slots {number}"] = with_field("slots", number)
    for address in ("127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1", "",
                    "127.0.0.1:99999999999999999999", "nowhere:80", "0.0.0.0:80"):
        entries[f"address {address}"] = with_field("address", json.dumps(address))
    for name in ("service", "zone", "version", "state", "address"):
        entries[f"{name} 7"] = with_field(name, "7")
    entries["state"] = with_field("state", '"sleeping"')
    return entries


class OddEntriesTest(PlatformTestCase):
    def setUp(self):
        super().setUp()
        self.store.put("op", "config", configuration())
        self.backends = {}
        for name in ("p1", "p2"):
            self.register(name)
        self.gateways = []

    def register(self, name):
        self.backends[name] = self.start_backend(name)

    def start(self, count=1):
        for _ in range(count):
            self.gateways.append(self.start_gateway(name=f"gw{len(self.gateways)}"))

    def start_with_relays(self):
        self.start(INSTANCES)
        eventually(lambda: sum(
            any(event["name"] == "relay_followed" for event in gateway.log_events())
            for gateway in self.gateways) >= INSTANCES - 3)

    def assert_follow_and_serve(self, name):
        """All gateways notice a server that registers now, and serve."""
        self.register(name)
        for gateway in self.gateways:
            eventually(lambda g=gateway: any(
                event["name"] == "server_registered" and event["server"] == name
                for event in g.log_events()))
            self.assertIsNone(gateway.child.poll())
            self.assertEqual(gateway.call("/once/x", request_id=name)[0], 200)

    def count_requests(self, backend, rounds=6):
        before = len(backend.requests)
        for gateway in self.gateways:
            for number in range(rounds):
                status = gateway.call("/safe/x", request_id=f"{gateway.name}.{number}")[0]
                self.assertEqual(status, 200)
        return len(backend.requests) - before

    # Guards against one entry of another writer that ends every process that reads the
    # list, or that keeps it from following the list.
    def test_gateways_follow_the_list_beside_an_odd_entry(self):
        self.start_with_relays()
        entries = odd_entries(self.backends["p1"].registration("plain"))
        for number, (name, value) in enumerate(entries.items()):
            with self.subTest(entry=name):
                self.store.put_raw("servers", "odd", value)
                self.assert_follow_and_serve(f"new{number}")
        for gateway in self.gateways:
            registered = {event["server"] for event in gateway.log_events()
                          if event["name"] == "server_registered"}
            self.assertNotIn("odd", registered)

    def test_gateway_starts_beside_odd_entries(self):
        entries = odd_entries(self.backends["p1"].registration("plain"))
        for number, value in enumerate(entries.values()):
            self.store.put_raw("servers", f"odd{number}", value)
        self.start()
        self.assert_follow_and_serve("new")
        self.assertFalse([event for event in self.gateways[0].log_events()
                          if event["name"] == "server_registered"
                          and event["server"].startswith("odd")])

    # Guards against a server that is used on although its entry has become unreadable, by
    # the gateways that read the change but not by those that read the whole list.
    def test_server_whose_entry_becomes_unreadable_gets_no_request(self):
        self.start_with_relays()
        backend = self.backends["p1"]
        for value in (b"{", b'{"state":"ready"}'):
            with self.subTest(value=value):
                eventually(lambda: self.count_requests(backend))
                self.store.put_raw("servers", "p1", value)
                time.sleep(DRAIN_BOUND_S)
                self.assertEqual(self.count_requests(backend), 0)
                self.store.put("servers", "p1", backend.registration("plain"))
        eventually(lambda: self.count_requests(backend))

    # Guards against an entry whose start lies past any time, which makes a later notice
    # that its server leaves hold for all processes of that server to come.
    def test_server_is_used_after_an_odd_entry_said_that_it_started_last(self):
        self.start()
        backend = self.backends["p1"]
        odd = json.dumps(backend.registration("plain", born="MARK"))
        self.store.put_raw("servers", "p1", odd.replace('"MARK"', "1e308").encode())
        backend.leaving = True
        time.sleep(DRAIN_BOUND_S)
        self.count_requests(backend)
        backend.leaving = False
        self.store.put("servers", "p1", backend.registration("plain", born=2))
        eventually(lambda: self.count_requests(backend))

    # Guards against a log that grows with each read or each write of such an entry.
    def test_unreadable_entry_is_logged_seldom(self):
        self.start()
        for number in range(100):
            self.store.put_raw("servers", "odd", b"{" + str(number).encode())
            if number % 5 == 0:
                self.store.compact_history()  # the whole list is read again
            time.sleep(0.05)
        self.assert_follow_and_serve("new")
        lines = [event for event in self.gateways[0].log_events()
                 if event["name"] == "registration_unreadable"]
        self.assertEqual([event["key"] for event in lines[:1]], ["odd"])
        self.assertLessEqual(len(lines), 2)

    # Guards against a part of the store's answer being taken for a list without servers.
    def test_cut_answer_of_the_store_removes_no_server(self):
        self.start()

        def unframed(answer):
            return re.sub(rb"Content-Length: \d+\r\n", b"", answer)

        def body_of(answer):
            return answer.index(b"\r\n\r\n") + 4

        cuts = {
            "nothing": lambda answer: b"",
            "in the status line": lambda answer: answer[:10],
            "after the status line": lambda answer: answer[:17],
            "in the head": lambda answer: answer[:body_of(answer) - 2],
            "after the head": lambda answer: answer[:body_of(answer)],
            "in the body": lambda answer: answer[:body_of(answer) + 40],
            "no length, no body": lambda answer: unframed(answer)[
                :body_of(unframed(answer))],
            "no length, in the body": lambda answer: unframed(answer)[:-20],
            "no length, at the end": lambda answer: unframed(answer)[:-1],
        }
        for number, (name, cut) in enumerate(cuts.items()):
            with self.subTest(cut=name):
                self.store.cut_reads = cut
                self.store.put("servers", "other", {})
                self.store.compact_history()
                deadline = time.monotonic() + 1
                while time.monotonic() < deadline:
                    self.assertEqual(self.gateways[0].call("/once/x")[0], 200)
                    time.sleep(0.05)
                self.store.cut_reads = None
                self.assert_follow_and_serve(f"new{number}")
        self.assert_no_server_removed()

    def assert_no_server_removed(self):
        self.assertFalse([event for event in self.gateways[0].log_events()
                          if event["name"] in ("server_gone", "server_leaving")])

    # Guards against a 200 without the fields of a table being taken for an empty one.
    def test_answer_of_the_store_without_rows_removes_no_server(self):
        self.start()
        self.store.cut_reads = lambda answer: (
            answer[:12] + b" OK\r\nStore-Era: 1\r\nContent-Length: 2\r\n\r\n{}")
        self.store.put("servers", "other", {})
        self.store.compact_history()  # the whole list is read again
        # Within the bound on the age of the configuration, whose reads are cut too.
        deadline = time.monotonic() + 1.5
        while time.monotonic() < deadline:
            self.assertEqual(self.gateways[0].call("/once/x")[0], 200)
            time.sleep(0.05)
        self.store.cut_reads = None
        self.assert_follow_and_serve("new")
        self.assert_no_server_removed()


if __name__ == "__main__":
    unittest.main()
