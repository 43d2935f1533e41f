"""The checker finds each kind of breach in a broken history."""

import unittest

import checker


def event(what, time_ms=0, **fields):
    return {"what": what, "time_ms": time_ms, **fields}


def rules(breaches):
    return [breach.rule for breach in breaches]


class CheckerTest(unittest.TestCase):
    def test_a_key_that_ran_twice(self):
        history = [event("execute", key="k"), event("execute", key="k")]
        self.assertIn("at_most_once", rules(checker.check_at_most_once(history)))

    def test_a_key_that_ran_though_refused(self):
        history = [event("execute", key="k"),
                   event("outcome", key="k", outcome="refused", answer="")]
        self.assertEqual(["not_run"], rules(checker.check_at_most_once(history)))

    def test_a_key_with_two_answers(self):
        history = [event("execute", key="k"),
                   event("outcome", key="k", outcome="ok", answer="a"),
                   event("outcome", key="k", outcome="ok", answer="b")]
        self.assertEqual(["own_answer"], rules(checker.check_at_most_once(history)))

    def test_an_answer_without_a_run(self):
        history = [event("outcome", key="k", outcome="ok", answer="a")]
        self.assertEqual(["answer_without_run"], rules(checker.check_at_most_once(history)))

    def test_a_clean_history(self):
        history = [event("execute", key="k"),
                   event("outcome", key="k", outcome="ok", answer="a"),
                   event("outcome", key="k", outcome="unknown", answer="")]
        self.assertEqual([], checker.check_at_most_once(history))

    def test_wrong_lost_and_forgotten_answers(self):
        for outcome, rule in (("wrong", "own_answer"), ("lost", "accepted_survives"),
                              ("redone", "accepted_survives")):
            history = [event("outcome", call="c", outcome=outcome, kind="letter")]
            self.assertEqual([rule], rules(checker.check_answers(history)))
        history = [event("outcome", call="c", outcome="redone", kind="letter")]
        self.assertEqual([], checker.check_answers(history, allow_redone=True))

    def test_an_invocation_without_outcome(self):
        history = [event("invoke", call="c", kind="letter")]
        self.assertEqual(["answered"], rules(checker.check_all_answered(history)))

    def test_late_work_at_a_leaving_server(self):
        history = [event("leaving", 0, server="s"), event("dispatch", 2999, server="s"),
                   event("dispatch", 3001, server="s")]
        breaches, worst = checker.check_leaving(history)
        self.assertEqual(["leaving"], rules(breaches))
        self.assertEqual(3001, worst)

    def test_revisions_that_fall_or_come_late(self):
        def in_force(time_ms, revision):
            return {"name": "revision_in_force", "time_ms": time_ms, "revision": revision}
        started = {"name": "started", "time_ms": 0}
        accepted = [event("accepted", 100, revision=2)]
        falls = {"n": [started, in_force(110, "2"), in_force(120, "1")]}
        self.assertEqual(["never_reverts"],
                         rules(checker.check_revisions(accepted, falls)[0]))
        late = {"n": [started, in_force(5101, "2")]}
        self.assertEqual(["in_force"], rules(checker.check_revisions(accepted, late)[0]))
        never = {"n": [started]}
        self.assertEqual(["in_force"], rules(checker.check_revisions(accepted, never)[0]))
        restarted = {"n": [started, in_force(110, "2"), started, in_force(130, "2")]}
        self.assertEqual([], checker.check_revisions(accepted, restarted)[0])
        fell_after_restart = {"n": [started, in_force(110, "2"), started,
                                    in_force(130, "1"), in_force(140, "2")]}
        self.assertEqual(["never_reverts"],
                         rules(checker.check_revisions(accepted, fell_after_restart)[0]))


if __name__ == "__main__":
    unittest.main()
