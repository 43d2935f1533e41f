"""Tests that each check of the soak reports a violation and accepts a valid record."""

import http.client
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import types
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).parent))

import callers  # noqa: E402
import checks  # noqa: E402
import domain_checks  # noqa: E402
import environment  # noqa: E402
import limit_checks  # noqa: E402
import processes  # noqa: E402
import schedule  # noqa: E402
import soak  # noqa: E402
from callers import Call  # noqa: E402
from record import HARMLESS_FAULTS, Exit, Record, Signal  # noqa: E402

BOUNDS = {"apply_ms": 3000, "revoke_ms": 5000, "drain_ms": 3000, "stop_s": 8,
          "evacuate_ms": 3000, "quota_window_s": 8, "quota_overage": 0.1,
          "quota_slack": 100}


def call(request="r1", kind="safe", sent=100.0, **fields):
    values = {"gateway": "gw0", "boot": 0, "key": "key-1", "tokens": 10,
              "ended": sent + 0.1, "status": 200, "whole": True, "correct": True,
              "signature": "sig-plain0-1"}
    values.update(fields)
    return Call(request=request, kind=kind, sent=sent, **values)


def run(server="plain0-1", time=100.05, fault="", leaving=False):
    return {"server": server, "time": time, "fault": fault, "leaving": leaving}


def record(calls=(), **fields):
    values = {"runs": {}, "fault_periods": [], "drains": [], "arrivals": {},
              "pauses": {}, "limits": {}, "crashes": {}, "evacuations": [], "cold": [], "changes": [], "usage": [],
              "scale": [], "exits": [], "disconnects": {}, "bounds": BOUNDS,
              "limit": {"rate_per_s": 10, "burst": 20}, "recovered": 1.0,
              "removed_by": {}, "limited_key": "limited-key", "probe_services": 3}
    values.update(fields)
    return Record(calls=list(calls), **values)


def usage_report(window=1, epoch=1, holder="gw0", time=1.0, **counts):
    return {"window": window, "epoch": epoch, "holder": holder, "time": time,
            "counts": counts}


class ChecksTest(unittest.TestCase):
    def expect(self, check, valid, violating):
        self.assertEqual(check(valid), [])
        self.assertNotEqual(check(violating), [])

    def test_at_most_once_request_is_executed_once(self):
        self.expect(checks.check_at_most_once,
                    record([call(kind="once")], runs={"r1": [run()]}),
                    record([call(kind="once")], runs={"r1": [run(), run()]}))

    def test_request_is_answered_unless_a_fault_excuses_it(self):
        cut = call(whole=False)
        self.expect(checks.check_lost, record([call()]), record([cut]))
        self.expect(checks.check_lost,
                    record([cut], runs={"r1": [run(fault="crash")]}),
                    record([cut], runs={"r1": [run(fault="silent")]}))
        self.expect(checks.check_lost,
                    record([cut], fault_periods=[("gw0", "stop", 99.0, 99.5)]),
                    record([cut], fault_periods=[("gw1", "stop", 99.0, 99.5)]))

    def test_evacuated_domain_gets_nothing(self):
        order = (("plain1-1",), 100.0, 110.0)
        late = call(sent=104.0)
        self.expect(
            domain_checks.check_evacuations,
            record([call(sent=102.0)], evacuations=[order],
                   arrivals={"plain1-1": [("r1", 102.05)]}),
            record([late], evacuations=[order], arrivals={"plain1-1": [("r1", 104.05)]}))
        self.assertEqual(domain_checks.check_evacuations(record(
            [late], evacuations=[order], arrivals={"plain1-1": [("r1", 104.05)]},
            fault_periods=[("gw0", "pause", 101.0, 102.0)])), [])

    def test_cold_server_gets_its_rate(self):
        def of(count):
            return record([call()], cold=[("plain1-1", 100.0)], arrivals={
                "plain1-1": [("r1", 100.5 + number / 100) for number in range(count)]})
        self.expect(domain_checks.check_cold_servers, of(9), of(10))
        warm = record([call()], cold=[("plain1-1", 90.0)], arrivals={
            "plain1-1": [("r1", 100.5)] * 30})
        self.assertEqual(domain_checks.check_cold_servers(warm), [])

    def test_refused_request_is_not_executed(self):
        refused = call(status=503, signature="")
        self.expect(checks.check_refusals, record([refused]),
                    record([refused], runs={"r1": [run()]}))

    def repeated(self, *calls, times):
        """A request that its caller sent several times with one id, and its executions."""
        return record(calls, runs={"r1": [run(f"plain{n}-1", time)
                                          for n, time in enumerate(times)]})

    # Guards against TWICE of issue 39: a copied refusal made a repeated request run twice.
    def test_unsafe_request_that_is_repeated_with_its_id_is_executed_once(self):
        refused = call(kind="once", status=503, signature="")
        again = call(kind="once", sent=100.2)
        check = checks.check_at_most_once
        self.expect(check, self.repeated(refused, again, times=[100.25]),
                    self.repeated(refused, again, times=[100.25, 100.26]))
        self.expect(check, self.repeated(refused, again, times=[100.25]),
                    self.repeated(refused, again, times=[100.05, 100.25]))

    # Guards against a refusal that is believed because a later call with its id is executed.
    def test_refusal_of_each_call_with_one_id_is_true(self):
        refused = call(kind="once", status=503, signature="")
        again = call(kind="once", sent=100.2)
        refused_again = call(kind="once", status=503, signature="", sent=100.2)
        check = checks.check_refusals
        self.expect(check, self.repeated(refused, again, times=[100.25]),
                    self.repeated(refused, again, times=[100.05]))
        self.expect(check, self.repeated(refused, again, times=[100.25]),
                    self.repeated(refused, refused_again, times=[100.25]))

    def test_executions_belong_to_the_call_that_was_under_way(self):
        first, second = call(status=502, signature=""), call(sent=100.2)
        repeated = self.repeated(first, second, times=[100.05, 100.25])
        self.assertEqual([found["time"] for found in repeated.runs_of(first)], [100.05])
        self.assertEqual([found["time"] for found in repeated.runs_of(second)], [100.25])

    def test_answer_is_complete_and_from_the_executing_server(self):
        self.expect(checks.check_answers, record([call()], runs={"r1": [run()]}),
                    record([call()], runs={"r1": [run("plain1-2")]}))
        self.expect(checks.check_answers, record([call(whole=False)]),
                    record([call(correct=False)], runs={"r1": [run()]}))

    def test_attempts_at_servers_without_faults_are_limited(self):
        three = {"r1": [run(f"plain{n}-{n}") for n in range(3)]}
        server_crash = [("plain2", "crash", 99.0, 101.0)]
        self.expect(checks.check_attempts,
                    record([call()], runs=three, fault_periods=server_crash),
                    record([call()], runs=three))

    def probe(self, request, number, sent, **fields):
        return call(request, "probe", sent, signature=f"sig-probe{number}", **fields)

    def test_process_does_not_revert_to_an_older_version(self):
        changes = [(0, 0.0, 0.0), (1, 99.0, 99.1)]
        newer, older = self.probe("a", 1, 100.0), self.probe("b", 0, 101.0)
        after_restart = self.probe("b", 0, 101.0, boot=1)
        self.expect(checks.check_configuration,
                    record([newer, after_restart], changes=changes),
                    record([newer, older], changes=changes))

    def test_version_applies_in_time_without_faults(self):
        changes = [(0, 0.0, 0.0), (1, 99.0, 99.1)]
        late = self.probe("a", 0, 103.0)
        store_cut = [("gw0", "store_cut", 98.0, 100.0)]
        self.expect(checks.check_configuration,
                    record([late], changes=changes, fault_periods=store_cut),
                    record([late], changes=changes))

    def test_revoked_key_is_rejected_even_during_a_store_outage(self):
        fields = {"runs": {"r1": [run()]}, "removed_by": {"key-1": 1},
                  "fault_periods": [("world", "store_down", 90.0, 110.0)]}
        self.expect(checks.check_keys,
                    record([call()], changes=[(1, 96.0, 96.0)], **fields),
                    record([call()], changes=[(1, 94.0, 94.0)], **fields))

    def test_draining_server_gets_no_request_after_the_bound(self):
        fields = {"runs": {"r1": [run()]}}
        self.expect(checks.check_drains,
                    record([call()], drains=[("plain0-1", 98.0)], **fields),
                    record([call()], drains=[("plain0-1", 96.0)], **fields))

    def test_server_that_says_it_leaves_gets_no_request_after_the_bound(self):
        told = call("r1", answered=100.1)

        def then(late, *faults):
            return record([told, late], runs={"r1": [run(leaving=True)], "r2": [run()]},
                          arrivals={"plain0-1": [("r1", 100.05), ("r2", late.sent + 0.1)]},
                          fault_periods=faults)
        late = call("r2", sent=103.2)
        cut = ("gw0", "store_cut", 99.0, 105.0)
        check = checks.check_leaving_answers
        self.expect(check, then(call("r2", sent=103.0)), then(late))
        self.expect(check, then(call("r2", sent=103.2, gateway="gw1")), then(late, cut))
        self.expect(check, then(call("r2", sent=103.2, boot=1)), then(late))
        self.expect(check, then(late, ("gw0", "pause", 101.0, 102.0)), then(late))

    def test_server_that_asks_for_a_pause_gets_at_most_two_requests(self):
        def after(*times, faults=(), gateway="gw0"):
            late = [(f"r{number}", time) for number, time in enumerate(times)]
            calls = [call(request, sent=time - 0.1, gateway=gateway) for request, time in late]
            return record([call("told"), *calls], fault_periods=faults,
                          arrivals={"plain0-1": [("told", 100.05), *late]},
                          pauses={"plain0-1": [("told", 100.05, 102.0)]})
        check = checks.check_pauses
        violating = after(100.7, 101.0, 101.9)
        self.expect(check, after(100.5, 100.7, 101.0, 102.1), violating)
        self.expect(check, after(100.7, 101.0, 101.9, gateway="gw1"), violating)
        self.expect(check, after(100.7, 101.0, 101.9, faults=[("plain0", "link_cut", 99, 101)]),
                    after(100.7, 101.0, 101.9, faults=[("gw0", "store_cut", 99, 101)]))

    def crashing(self, *times, faults=(), crashes=(100.0, 100.1, 100.2), gateway="gw0",
                 sent_before=0.01):
        """A request that crashes servers, and when it reaches plain0-1."""
        calls = [call(f"r{number}", sent=time - sent_before, body=b"crashes", gateway=gateway)
                 for number, time in enumerate(times)]
        return record(calls, crashes={b"crashes": list(crashes)}, fault_periods=faults,
                      arrivals={"plain0-1": [(f"r{number}", time)
                                             for number, time in enumerate(times)]})

    # Guards against BUDGET of issue 39: a request that crashes the servers that run it went on
    # to reach servers.
    def test_request_that_crashed_three_servers_reaches_servers_three_times_more(self):
        check = checks.check_crash_budget
        late = (103.3, 104.0, 105.0, 106.0)
        violating = self.crashing(*late)
        self.expect(check, self.crashing(*late[1:]), violating)
        self.expect(check, self.crashing(*late, crashes=(100.0, 100.1)), violating)
        self.expect(check, self.crashing(*late, crashes=(100.0, 100.1, 100.4)), violating)
        self.expect(check, self.crashing(103.1, *late[1:]), violating)
        other = self.crashing(*late)
        other.calls[0].body = b"sound"
        self.expect(check, other, violating)

    def test_budget_of_crashing_requests_binds_gateways_in_touch(self):
        check = checks.check_crash_budget
        late = (103.3, 104.0, 105.0, 106.0)
        for kind in ("kill", "pause", "stop", "store_cut", "few_descriptors"):
            self.expect(check, self.crashing(*late, faults=[("gw0", kind, 100.0, 100.4)]),
                        self.crashing(*late, faults=[("gw0", kind, 100.0, 100.2)]))
        for harmless in (("gw1", "kill", 100.0, 106.0), ("gw0", "reload", 100.0, 106.0),
                         ("world", "store_down", 100.0, 106.0), ("plain0", "crash", 100.0, 106.0)):
            self.assertNotEqual(check(self.crashing(*late, faults=[harmless])), [])
        # A slow link holds up what was sent in time.
        delay = ("plain0", "link_delay", 103.0, 103.5)
        self.expect(check, self.crashing(*late, faults=[delay], sent_before=0.2),
                    self.crashing(*late, faults=[delay]))

    def test_sound_requests_are_not_quarantined(self):
        quarantined = call(status=503, result_code="2008", body=b"crashes")
        self.expect(checks.check_sound_requests,
                    record([quarantined], crashes={b"crashes": [100.0]}), record([quarantined]))
        self.expect(checks.check_sound_requests, record([call(status=503, result_code="2001")]),
                    record([call(status=503, result_code="2008")],
                           crashes={b"crashes": [100.0]}))

    def load(self, rate, *limits, faults=(), gateways=2, **fields):
        """A server that names its first limit at 100.0 and gets this many requests a second
        until 112.0 from the gateways in turn."""
        times = [100.0 + number / rate for number in range(int(12 * rate))]
        calls = [call(f"r{number}", sent=time, answered=time, gateway=f"gw{number % gateways}",
                      **fields) for number, time in enumerate(times)]
        return record(calls, fault_periods=faults, limits={"plain0-1": list(limits)},
                      runs={call.request: [run(time=call.sent + 0.01)] for call in calls},
                      arrivals={"plain0-1": [(call.request, call.sent + 0.01)
                                             for call in calls]})

    def test_server_gets_no_more_than_the_limit_that_it_names(self):
        check = checks.check_server_limits
        # The callers send a plain server about 8 requests a second and a model server 5, so
        # that limits up to 4.3 and 2.4 a second show a system that reads none.
        for rate, shown, hidden in ((8, 4.3, 4.7), (5, 2.4, 2.7)):
            self.expect(check, self.load(rate, (100.0, hidden)), self.load(rate, (100.0, shown)))
        self.expect(check, self.load(8, (100.0, 4.7)), self.load(8, (100.0, 4.7), (104.0, 2.0)))
        self.expect(check, self.load(8, (100.0, 2.0), (106.9, 0)),
                    self.load(8, (100.0, 2.0), (107.5, 0)))
        self.expect(check, self.load(8, (100.0, 2.0), (103.0, 0), (106.0, 2.0)),
                    self.load(8, (100.0, 2.0), (103.0, 3.0), (106.0, 2.0)))

    def test_limit_binds_gateways_that_know_it_and_are_in_touch(self):
        check = checks.check_server_limits
        limited = self.load(8, (100.0, 2.0))
        self.expect(check, self.load(8, (100.0, 2.0), signature=""), limited)
        kills = [(gateway, "kill", 105.0, 106.0) for gateway in ("gw0", "gw1")]
        restored = ("world", "store_restored", 100.0, 112.0)
        self.expect(check, self.load(8, (100.0, 2.0), faults=kills),
                    self.load(8, (100.0, 2.0), faults=kills[1:], gateways=1))
        self.expect(check, self.load(8, (100.0, 2.0), faults=[("plain0", "link_delay", 104, 109)]),
                    self.load(8, (100.0, 2.0), faults=[restored]))

    def test_requests_beyond_all_limits_are_refused_at_once(self):
        def refused(seconds, retry_after="1", status=503, target="plain"):
            calls = [call(f"r{number}", status=status, signature="", sent=104.0,
                          ended=104.0 + seconds, retry_after=retry_after)
                     for number in range(limit_checks.MAX_LATE_REFUSALS + 1)]
            return record(calls, fault_periods=[(target, "names_limit", 100.0, 110.0)])
        check = checks.check_limited_refusals
        self.expect(check, refused(0.4), refused(0.6))
        self.expect(check, refused(0.6, target="plain0"), refused(3.0, "", status=504))
        self.expect(check, refused(0.4), refused(0.4, ""))

    def test_window_has_one_count_and_epoch_one_holder(self):
        self.expect(checks.check_duties, record(usage=[usage_report(a=1), usage_report(a=1)]),
                    record(usage=[usage_report(a=1), usage_report(a=2)]))
        self.expect(checks.check_duties,
                    record(usage=[usage_report(), usage_report(2, epoch=2, holder="gw1")]),
                    record(usage=[usage_report(), usage_report(2, holder="gw1")]))
        older_epoch_last = [usage_report(epoch=2, holder="gw1"), usage_report(2, epoch=1)]
        pause = [("gw0", "pause", 0.5, 0.9)]
        self.expect(checks.check_duties, record(usage=older_epoch_last, fault_periods=pause),
                    record(usage=older_epoch_last))

    def test_planned_stop_interrupts_no_request(self):
        interrupted = call(whole=False, status=0)
        stop = ("gw0", "stop", 99.0, 105.0)
        crash = ("plain0", "crash", 100.0, 101.0)
        fields = {"runs": {"r1": [run()]}}
        self.expect(checks.check_stops,
                    record([interrupted], fault_periods=[stop, crash], **fields),
                    record([interrupted], fault_periods=[stop], **fields))

    def test_workspace_stays_within_its_limit(self):
        def of_size(tokens):
            return record([call(key="limited-key", tokens=tokens)],
                          runs={"r1": [run()]})
        self.expect(checks.check_limits, of_size(210), of_size(211))

    def test_requests_end_soon_after_their_timeout(self):
        late = [call(f"r{n}", ended=104.0) for n in range(8)]
        self.expect(checks.check_time_limits, record(late[:7]), record(late))

    def test_abandoned_streams_are_cancelled(self):
        abandoned_calls = [call(f"r{n}", abandoned=100.2) for n in range(4)]
        self.expect(checks.check_abandoned,
                    record(abandoned_calls, disconnects={f"r{n}": 100.3 for n in range(4)}),
                    record(abandoned_calls, disconnects={f"r{n}": 101.0 for n in range(4)}))

    def exit_after(self, code, *signals):
        return record(exits=[Exit("gw0", code, list(signals))])

    def test_no_process_exits_unexpectedly(self):
        check = checks.check_own_ends
        stopped = Signal(signal.SIGTERM, 100.0)
        self.expect(check, record(), self.exit_after(1))
        self.expect(check, self.exit_after(0, stopped), self.exit_after(0))
        self.expect(check, self.exit_after(-9, Signal(signal.SIGKILL, 100.0)),
                    self.exit_after(-9, stopped))
        for number in (signal.SIGHUP, signal.SIGUSR1, signal.SIGUSR2, signal.SIGALRM,
                       signal.SIGTERM):
            self.expect(check, self.exit_after(-number, Signal(number, 100.0, True)),
                        self.exit_after(-number, Signal(number, 100.0)))
        for code in (1, 3, -signal.SIGPIPE, -signal.SIGABRT):
            self.assertNotEqual(check(self.exit_after(code, stopped)), [])

    def test_stopped_process_exits_in_time(self):
        def killed_at(time, *faults):
            ended = self.exit_after(-9, Signal(signal.SIGTERM, 100.0),
                                    Signal(signal.SIGKILL, time))
            ended.fault_periods = list(faults)
            return ended
        self.expect(checks.check_stop_times, killed_at(107.9), killed_at(108.1))
        self.expect(checks.check_stop_times, killed_at(108.1, ("gw0", "pause", 101.0, 102.0)),
                    killed_at(108.1, ("gw0", "store_cut", 101.0, 102.0)))

    def test_harmless_faults_excuse_no_lost_request(self):
        cut = call(whole=False)
        for kind in sorted(HARMLESS_FAULTS):
            self.expect(checks.check_lost,
                        record([cut], fault_periods=[("gw0", "kill", 99.0, 101.0)]),
                        record([cut], fault_periods=[("gw0", kind, 99.0, 101.0)]))
        exhausted = [("gw0", "few_descriptors", 99.0, 101.0)]
        self.expect(checks.check_lost, record([cut], fault_periods=exhausted),
                    record([cut], fault_periods=exhausted, runs={"r1": [run()]}))

    def test_requests_are_served_after_recovery(self):
        self.expect(checks.check_recovery, record([call()]),
                    record([call(status=503)]))
        self.assertNotEqual(checks.check_recovery(record([call()], recovered=0)), [])


class SoakRunnerTest(unittest.TestCase):
    def test_uncaught_thread_exception_is_collected(self):
        self.addCleanup(setattr, threading, "excepthook", threading.excepthook)
        errors = soak.collect_thread_errors()
        thread = threading.Thread(target=lambda: 1 / 0)
        thread.start()
        thread.join()
        self.assertEqual(len(errors), 1)
        self.assertIn("ZeroDivisionError", errors[0])

    def test_failed_start_leaves_no_process(self):
        class Failing(environment.SoakEnvironment):
            def change_configuration(self):
                raise RuntimeError("no configuration")

        failing = Failing(instance_count=1)
        with self.assertRaises(RuntimeError):
            with failing:
                pass
        self.assertIsNotNone(failing.forwarder.returncode)


class ProcessesTest(unittest.TestCase):
    def test_signal_is_recorded_with_whether_it_may_precede_main(self):
        for main_cpu_s, may_precede_main in ((0.0, False), (60.0, True)):
            child = processes.Process(["sleep", "60"], main_cpu_s)
            child.send_signal(signal.SIGTERM)
            child.wait()
            child.send_signal(signal.SIGKILL)  # not sent: the process has ended
            self.assertEqual([(sent.number, sent.may_precede_main) for sent in child.signals],
                             [(signal.SIGTERM, may_precede_main)])

    def test_closed_log_reader_ends_a_writer(self):
        with tempfile.TemporaryFile() as file:
            output, log = os.pipe()
            child = subprocess.Popen(["sh", "-c", "while :; do echo x; done"], stdout=log)
            os.close(log)
            reader = processes.LogReader(output, file)
            reader.pause()
            time.sleep(0.1)
            reader.close()
            self.assertEqual(child.wait(timeout=5), -signal.SIGPIPE)


class CallersTest(unittest.TestCase):
    def call_until_executed(self, number, *statuses):
        """The ids and keys of the calls that a caller makes when it gets these statuses."""
        stopped = threading.Event()
        stopped.set()  # its thread sends nothing
        caller = callers.Caller(
            number, 1, types.SimpleNamespace(current_index=lambda: 0), stopped)
        caller.stopped = threading.Event()
        answers = [call(status=status, signature="") for status in statuses]
        made = []

        def answer(request, kind, key=None, _=None):
            made.append((request, key))
            return answers[len(made) - 1]
        caller._call = answer
        caller._call_until_executed("r1", "once")
        return made

    def test_every_second_caller_repeats_what_was_not_executed(self):
        first, again = ("r1", None), ("r1", "key-1")
        for status in (408, 421, 429, 503):
            self.assertEqual(self.call_until_executed(0, status, 200), [first, again])
            self.assertEqual(self.call_until_executed(1, status), [first])
        for status in (200, 400, 500, 502, 504, 0):
            self.assertEqual(self.call_until_executed(0, status), [first])


    def test_crashing_caller_repeats_one_request_during_its_fault(self):
        made = []

        class Recording(callers.CrashingCaller):
            def _call(self, request, kind, key=None, body=None):
                made.append((time.monotonic(), request, kind, key, body))

        soak_environment = environment.SoakEnvironment(instance_count=0)
        start = time.monotonic()
        fault = schedule.Fault(0.2, "crashing_request", "stream1", 1.5)
        caller = Recording(0, 1, soak_environment, start, fault)
        caller.thread.join()
        times, ids, *fields = zip(*made)
        self.assertGreater(len(made), 1)
        self.assertEqual(len(set(ids)), len(ids))
        self.assertEqual([set(field) for field in fields],
                         [{"stream1"}, {environment.REPEATING_KEY}, {b"crashes model"}])
        self.assertTrue(start + 0.2 <= times[0] and times[-1] < start + 1.7)


class FaultsTest(unittest.TestCase):
    def crashing_environment(self):
        """An environment with one server and no gateway."""
        soak_environment = environment.SoakEnvironment(instance_count=0, plains=1, models=0)
        soak_environment._start_links()
        self.addCleanup(soak_environment.__exit__)
        soak_environment._add_backend("plain0")
        return soak_environment

    def send_crashing(self, soak_environment):
        server = soak_environment.backends["plain0"].name
        connection = http.client.HTTPConnection(soak_environment.links["plain0"], timeout=5)
        with self.assertRaises((OSError, http.client.HTTPException)):
            connection.request("POST", "/safe/x", body=environment.crashing_body("plain"),
                               headers={"Cowslipknot-Request-Id": "r1",
                                        "Cowslipknot-Expect-Instance": server})
            connection.getresponse()

    def test_crashed_server_returns_as_a_new_one_at_its_address(self):
        soak_environment = self.crashing_environment()
        crashed = soak_environment.backends["plain0"]
        self.send_crashing(soak_environment)
        address = soak_environment.links["plain0"].split(":")
        with self.assertRaises(ConnectionRefusedError):
            socket.create_connection(address).close()
        soak_environment.wait_until_returned()
        socket.create_connection(address).close()
        returned = soak_environment.backends["plain0"]
        self.addCleanup(returned.server.stop)
        self.assertEqual(returned.server.address, crashed.server.address)
        self.assertEqual(soak_environment.store.keys("servers"), [returned.name])
        self.assertEqual(len(soak_environment.crashes[b"crashes plain"]), 1)
        self.assertEqual(len(soak_environment.runs()["r1"]), 1)
        (target, kind, begun, over), = soak_environment.fault_periods
        self.assertEqual((target, kind), ("plain0", "request_crash"))
        self.assertGreaterEqual(over - begun, environment.CRASHED_SERVER_RETURN_S)

    # Guards against two servers at one address, or none.
    def test_crashed_server_that_another_fault_replaces_returns_once(self):
        soak_environment = self.crashing_environment()
        self.send_crashing(soak_environment)
        soak_environment.apply(schedule.Fault(0.0, "reborn", "plain0", 0.1))
        replacement = soak_environment.backends["plain0"]
        self.addCleanup(replacement.server.stop)
        soak_environment.wait_until_returned()
        self.assertIs(soak_environment.backends["plain0"], replacement)
        self.assertEqual(soak_environment.store.keys("servers"), [replacement.name])

    def test_copied_refusals_come_from_all_servers_of_a_service(self):
        soak_environment = environment.SoakEnvironment(instance_count=1)
        for slot in soak_environment.slots:
            soak_environment.backends[slot] = types.SimpleNamespace(pending_faults=[])
        soak_environment.apply(schedule.Fault(1.0, "copied_refusals", "plain", 1.0))
        copying = {slot for slot, backend in soak_environment.backends.items()
                   if any(isinstance(fault, environment.fakes.CopiedRefusal)
                          for fault in backend.pending_faults)}
        self.assertEqual(copying, {"plain0", "plain1", "plain2", "plain3"})

    # Guards against an overlapping fault that takes the invalid settings for the valid ones.
    def test_overlapping_bad_settings_leave_the_valid_file(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "settings.toml"
            path.write_text("valid", encoding="utf-8")
            instance = types.SimpleNamespace(
                gateway=types.SimpleNamespace(settings=path), valid_settings="valid",
                send_signal=lambda number: None)
            soak_environment = environment.SoakEnvironment(instance_count=1)
            soak_environment.instances["gw0"] = instance
            faults = [schedule.Fault(at_s, "bad_settings", "gw0", 1.0) for at_s in (0.0, 0.1)]
            soak.inject_faults(soak_environment, faults, [], time.monotonic())
            self.assertEqual(path.read_text(encoding="utf-8"), "valid")


    # Guards against a process that starts before its next start is prepared.
    def test_overlapping_faults_take_an_address_in_turn(self):
        soak_environment = environment.SoakEnvironment(instance_count=1)
        port = environment.free_port()
        instance = processes.GatewayInstance("gw0", FakeGateway(port), "")
        soak_environment.instances["gw0"] = instance
        supervisor = threading.Thread(target=instance.supervise)
        supervisor.start()
        faults = [schedule.Fault(at_s, "address_taken", "gw0", 0.3)
                  for at_s in (0.0, 0.05, 0.2, 0.45)]
        errors = []
        self.addCleanup(setattr, threading, "excepthook", threading.excepthook)
        threading.excepthook = errors.append
        soak.inject_faults(soak_environment, faults, [], time.monotonic())
        instance.stopping = True
        supervisor.join()
        instance.gateway.child.kill()
        instance.gateway.child.wait()
        self.assertEqual(errors, [])


class FakeGateway:
    """A process that listens on its port once it is free."""

    LISTEN = """
import socket, sys, time
while True:
    listener = socket.socket()
    try:
        listener.bind(("127.0.0.1", int(sys.argv[1])))
        break
    except OSError:
        time.sleep(0.01)
listener.listen()
time.sleep(60)
"""

    def __init__(self, port):
        self.port = port
        self.settings = pathlib.Path(os.devnull)
        self.start()

    def start(self):
        self.child = processes.Process([sys.executable, "-c", self.LISTEN, str(self.port)], 0.0)

    def ready(self):
        with socket.socket() as probe:
            return probe.connect_ex(("127.0.0.1", self.port)) == 0


class ScheduleTest(unittest.TestCase):
    def test_seed_determines_faults_which_end_in_time(self):
        def draw(seed):
            return schedule.draw_faults(random.Random(seed), 30, ["gw0", "gw1"],
                                        ["plain0"])
        self.assertEqual(draw(1), draw(1))
        self.assertNotEqual(draw(1), draw(2))
        notices = schedule.draw_notices(random.Random(1), 30, ["plain0"])
        self.assertEqual({notice.kind for notice in notices}, {"says_leaving", "wants_none"})
        outside = [fault for seed in range(8) for fault in schedule.draw_process_faults(
            random.Random(seed), 30, ["gw0"])]
        self.assertEqual({fault.kind for fault in outside}, set(schedule.PROCESS_FAULT_WEIGHTS))
        limits = [fault for seed in range(8) for fault in schedule.draw_limits(
            random.Random(seed), 30, ["plain"])]
        self.assertTrue(0 < len(limits) < 16)
        copies = [fault for seed in range(8)
                  for fault in schedule.draw_copies(random.Random(seed), 30, ["plain"])]
        self.assertTrue(copies)
        crashing = [fault for seed in range(8) for fault in schedule.draw_crashing_requests(
            random.Random(seed), 30)]
        self.assertTrue(0 < len(crashing) < 16)
        restores = [restore for seed in range(8)
                    for restore in schedule.draw_restore(random.Random(seed), 30)]
        self.assertTrue(0 < len(restores) < 8)
        for fault in draw(1) + notices + outside + limits + copies + crashing + restores:
            self.assertLessEqual(fault.at_s + fault.for_s, 30)


if __name__ == "__main__":
    unittest.main()
