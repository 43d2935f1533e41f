"""Each check of the soak finds a broken promise, and passes a kept one."""

import pathlib
import random
import sys
import threading
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).parent))

import checks  # noqa: E402
import schedule  # noqa: E402
import soak  # noqa: E402
import world  # noqa: E402
from callers import Call  # noqa: E402

BOUNDS = {"apply_ms": 3000, "revoke_ms": 5000, "drain_ms": 3000, "stop_s": 8,
          "quota_window_s": 8, "quota_overage": 0.1, "quota_slack": 100}


def call(request="r1", kind="safe", sent=100.0, **fields):
    values = {"gateway": "gw0", "boot": 0, "key": "key-1", "tokens": 10,
              "ended": sent + 0.1, "status": 200, "whole": True, "correct": True,
              "signature": "sig-plain0-1"}
    values.update(fields)
    return Call(request=request, kind=kind, sent=sent, **values)


def run(server="plain0-1", time=100.05, fault=""):
    return {"server": server, "time": time, "fault": fault}


def record(calls=(), **fields):
    values = {"runs": {}, "troubles": [], "drains": [], "changes": [], "usage": [],
              "scale": [], "own_ends": [], "gone": {}, "bounds": BOUNDS,
              "limit": {"rate_per_s": 10, "burst": 20}, "recovered": 1.0,
              "removed_by": {}, "limited_key": "limited-key", "probe_services": 3}
    values.update(fields)
    return checks.Record(calls=list(calls), **values)


def duty(window=1, epoch=1, holder="gw0", time=1.0, **counts):
    return {"window": window, "epoch": epoch, "holder": holder, "time": time,
            "counts": counts}


class ChecksTest(unittest.TestCase):
    def expect(self, check, kept, broken):
        self.assertEqual(check(kept), [])
        self.assertNotEqual(check(broken), [])

    def test_a_call_that_may_run_once_runs_once(self):
        self.expect(checks.check_at_most_once,
                    record([call(kind="once")], runs={"r1": [run()]}),
                    record([call(kind="once")], runs={"r1": [run(), run()]}))

    def test_what_is_refused_has_not_run(self):
        refused = call(status=503, signature="")
        self.expect(checks.check_refusals, record([refused]),
                    record([refused], runs={"r1": [run()]}))

    def test_an_answer_is_whole_and_of_the_server_that_ran_it(self):
        self.expect(checks.check_answers, record([call()], runs={"r1": [run()]}),
                    record([call()], runs={"r1": [run("plain1-2")]}))
        self.expect(checks.check_answers, record([call(whole=False)]),
                    record([call(correct=False)], runs={"r1": [run()]}))

    def test_a_request_is_sent_to_few_sound_servers(self):
        three = {"r1": [run(f"plain{n}-{n}") for n in range(3)]}
        ended = [("plain2", "crash", 99.0, 101.0)]
        self.expect(checks.check_attempts, record([call()], runs=three, troubles=ended),
                    record([call()], runs=three))

    def probe(self, request, number, sent, **fields):
        return call(request, "probe", sent, signature=f"sig-probe{number}", **fields)

    def test_a_process_does_not_go_back_to_an_older_version(self):
        changes = [(0, 0.0, 0.0), (1, 99.0, 99.1)]
        newer, older = self.probe("a", 1, 100.0), self.probe("b", 0, 101.0)
        after_restart = self.probe("b", 0, 101.0, boot=1)
        self.expect(checks.check_configuration,
                    record([newer, after_restart], changes=changes),
                    record([newer, older], changes=changes))

    def test_a_version_is_in_force_in_time_where_nothing_disturbs(self):
        changes = [(0, 0.0, 0.0), (1, 99.0, 99.1)]
        late = self.probe("a", 0, 103.0)
        cut = [("gw0", "store_cut", 98.0, 100.0)]
        self.expect(checks.check_configuration,
                    record([late], changes=changes, troubles=cut),
                    record([late], changes=changes))

    def test_a_key_that_was_taken_away_ends_also_where_the_store_is_away(self):
        fields = {"runs": {"r1": [run()]}, "removed_by": {"key-1": 1},
                  "troubles": [("world", "store_down", 90.0, 110.0)]}
        self.expect(checks.check_keys,
                    record([call()], changes=[(1, 96.0, 96.0)], **fields),
                    record([call()], changes=[(1, 94.0, 94.0)], **fields))

    def test_a_leaving_server_gets_nothing_after_the_bound(self):
        fields = {"runs": {"r1": [run()]}}
        self.expect(checks.check_drains,
                    record([call()], drains=[("plain0-1", 98.0)], **fields),
                    record([call()], drains=[("plain0-1", 96.0)], **fields))

    def test_a_window_has_one_count_and_an_epoch_one_holder(self):
        self.expect(checks.check_duties, record(usage=[duty(a=1), duty(a=1)]),
                    record(usage=[duty(a=1), duty(a=2)]))
        self.expect(checks.check_duties,
                    record(usage=[duty(), duty(2, epoch=2, holder="gw1")]),
                    record(usage=[duty(), duty(2, holder="gw1")]))
        back = [duty(epoch=2, holder="gw1"), duty(2, epoch=1)]
        thawed = [("gw0", "pause", 0.5, 0.9)]
        self.expect(checks.check_duties, record(usage=back, troubles=thawed),
                    record(usage=back))

    def test_a_planned_stop_cuts_nothing_off(self):
        cut = call(whole=False, status=0)
        stop = ("gw0", "stop", 99.0, 105.0)
        crash = ("plain0", "crash", 100.0, 101.0)
        fields = {"runs": {"r1": [run()]}}
        self.expect(checks.check_stops,
                    record([cut], troubles=[stop, crash], **fields),
                    record([cut], troubles=[stop], **fields))

    def test_a_workspace_keeps_to_its_limit(self):
        def of_size(tokens):
            return record([call(key="limited-key", tokens=tokens)],
                          runs={"r1": [run()]})
        self.expect(checks.check_limits, of_size(210), of_size(211))

    def test_requests_are_not_held_beyond_their_time(self):
        held = [call(f"r{n}", ended=104.0) for n in range(8)]
        self.expect(checks.check_time_limits, record(held[:7]), record(held))

    def test_the_work_of_callers_that_left_ends(self):
        left = [call(f"r{n}", abandoned=100.2) for n in range(4)]
        self.expect(checks.check_abandoned,
                    record(left, gone={f"r{n}": 100.3 for n in range(4)}),
                    record(left, gone={f"r{n}": 101.0 for n in range(4)}))

    def test_no_process_ends_by_itself(self):
        self.expect(checks.check_own_ends, record(), record(own_ends=[("gw0", 1)]))

    def test_requests_are_served_after_the_faults(self):
        self.expect(checks.check_recovery, record([call()]),
                    record([call(status=503)]))
        self.assertNotEqual(checks.check_recovery(record([call()], recovered=0)), [])


class OwnErrorsTest(unittest.TestCase):
    def test_an_error_in_a_thread_is_kept(self):
        self.addCleanup(setattr, threading, "excepthook", threading.excepthook)
        errors = soak.collect_thread_errors()
        thread = threading.Thread(target=lambda: 1 / 0)
        thread.start()
        thread.join()
        self.assertEqual(len(errors), 1)
        self.assertIn("ZeroDivisionError", errors[0])

    def test_a_start_that_fails_leaves_no_process(self):
        class Failing(world.World):
            def change_configuration(self):
                raise RuntimeError("no configuration")

        failing = Failing(instances=1)
        with self.assertRaises(RuntimeError):
            with failing:
                pass
        self.assertIsNotNone(failing.forwarder.returncode)


class ScheduleTest(unittest.TestCase):
    def test_a_seed_draws_the_same_faults_which_end_in_time(self):
        def draw(seed):
            return schedule.draw_faults(random.Random(seed), 30, ["gw0", "gw1"],
                                        ["plain0"])
        self.assertEqual(draw(1), draw(1))
        self.assertNotEqual(draw(1), draw(2))
        for fault in draw(1):
            self.assertLessEqual(fault.at_s + fault.for_s, 30)


if __name__ == "__main__":
    unittest.main()
