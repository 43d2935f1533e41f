"""Tests that the checker reports each kind of violation and accepts clean histories."""

import unittest

import checker


def event(what, time_ms=0, **fields):
    return {"what": what, "time_ms": time_ms, **fields}


def rules(violations):
    return [violation.rule for violation in violations]


class CheckerTest(unittest.TestCase):
    def test_reports_key_executed_twice(self):
        history = [event("execute", key="k"), event("execute", key="k")]
        self.assertIn("at_most_once", rules(checker.check_at_most_once(history)))

    def test_reports_refused_key_that_was_executed(self):
        history = [event("execute", key="k"),
                   event("outcome", key="k", outcome="refused", answer="")]
        self.assertEqual(["not_run"], rules(checker.check_at_most_once(history)))

    def test_reports_key_with_different_answers(self):
        history = [event("execute", key="k"),
                   event("outcome", key="k", outcome="ok", answer="a"),
                   event("outcome", key="k", outcome="ok", answer="b")]
        self.assertEqual(["own_answer"], rules(checker.check_at_most_once(history)))

    def test_reports_answer_without_execution(self):
        history = [event("outcome", key="k", outcome="ok", answer="a")]
        self.assertEqual(["answer_without_run"], rules(checker.check_at_most_once(history)))

    def test_accepts_clean_history(self):
        history = [event("execute", key="k"),
                   event("outcome", key="k", outcome="ok", answer="a"),
                   event("outcome", key="k", outcome="unknown", answer="")]
        self.assertEqual([], checker.check_at_most_once(history))

    def test_reports_wrong_lost_and_redone_answers(self):
        for outcome, rule in (("wrong", "own_answer"), ("lost", "accepted_survives"),
                              ("redone", "accepted_survives")):
            history = [event("outcome", call="c", outcome=outcome, kind="letter")]
            self.assertEqual([rule], rules(checker.check_answers(history)))
        history = [event("outcome", call="c", outcome="redone", kind="letter")]
        self.assertEqual([], checker.check_answers(history, allow_redone=True))

    def test_reports_invocation_without_outcome(self):
        history = [event("invoke", call="c", kind="letter")]
        self.assertEqual(["answered"], rules(checker.check_all_answered(history)))

    def test_reports_late_dispatch_to_leaving_server(self):
        history = [event("leaving", 0, server="s"), event("dispatch", 2999, server="s"),
                   event("dispatch", 3001, server="s")]
        violations, longest_ms = checker.check_leaving(history)
        self.assertEqual(["leaving"], rules(violations))
        self.assertEqual(3001, longest_ms)

    def test_reports_requests_beyond_the_limits_that_a_server_names(self):
        def rules_of(*named, rate=8):
            history = [event("named_limit", time_ms, server="s", limit=limit)
                       for time_ms, limit in named]
            history += [event("dispatch", number * 1000 // rate, server="s")
                        for number in range(10 * rate)]
            return set(rules(checker.check_server_limits(history)[0]))
        self.assertEqual({"server_limit"}, rules_of((0, "4.2")))
        self.assertEqual(set(), rules_of((0, "4.7")))
        self.assertEqual({"server_limit"}, rules_of((0, "2.4"), rate=5))
        self.assertEqual(set(), rules_of((3500, "2")))
        self.assertEqual({"server_limit"}, rules_of((0, "4.7"), (5000, "1")))
        self.assertEqual(set(), rules_of((0, "2"), (6500, "")))
        self.assertEqual(set(), rules_of((0, "2"), (3000, ""), (4000, "2")))
        self.assertEqual({"server_limit"}, rules_of((0, "2"), (7500, "")))

    def test_reports_decreasing_and_late_revisions(self):
        def in_force(time_ms, revision):
            return {"name": "revision_in_force", "time_ms": time_ms, "revision": revision}
        started = {"name": "started", "time_ms": 0}
        accepted = [event("accepted", 100, revision=2)]
        decreasing = {"n": [started, in_force(110, "2"), in_force(120, "1")]}
        self.assertEqual(["never_reverts"],
                         rules(checker.check_revisions(accepted, decreasing)[0]))
        late = {"n": [started, in_force(5101, "2")]}
        self.assertEqual(["in_force"], rules(checker.check_revisions(accepted, late)[0]))
        never = {"n": [started]}
        self.assertEqual(["in_force"], rules(checker.check_revisions(accepted, never)[0]))
        restarted = {"n": [started, in_force(110, "2"), started, in_force(130, "2")]}
        self.assertEqual([], checker.check_revisions(accepted, restarted)[0])
        decreasing_after_restart = {"n": [started, in_force(110, "2"), started,
                                    in_force(130, "1"), in_force(140, "2")]}
        self.assertEqual(["never_reverts"],
                         rules(checker.check_revisions(accepted, decreasing_after_restart)[0]))


if __name__ == "__main__":
    unittest.main()
