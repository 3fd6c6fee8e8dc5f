"""Tests of the virtual clock and the faulty network."""

import unittest
from typing import Any

from scenarios import model
from scenarios.kernel import CallFailure, Kernel, Network


class KernelTest(unittest.TestCase):
    def test_callbacks_run_in_order_and_never_in_the_past(self):
        kernel = Kernel(1)
        seen: list[Any] = []
        kernel.call_at(2.0, lambda: seen.append("late"))
        kernel.call_at(1.0, lambda: kernel.call_at(0.5, lambda: seen.append(kernel.now)))
        kernel.run_until(1.5)
        self.assertEqual(seen, [1.0])
        kernel.run_until(3.0)
        self.assertEqual(seen, [1.0, "late"])
        self.assertEqual(kernel.now, 3.0)


class NetworkTest(unittest.TestCase):
    def setUp(self):
        self.kernel = Kernel(1)
        self.network = Network(self.kernel)
        self.acts = []

    def call(self, source, target, until=5.0, timeout=2.0):
        """Make a call, run the clock and return the caller's answers."""
        answers: list[Any] = []

        def act():
            """Record that the target acted."""
            self.acts.append(self.kernel.now)
            return "done"

        self.network.call(source, target, act, answers.append, timeout)
        self.kernel.run_until(self.kernel.now + until)
        return answers

    def test_call_is_answered_once(self):
        self.assertEqual(self.call("entry-a/control", "w1"), ["done"])

    def test_one_way_cut_loses_the_answer_after_the_effect(self):
        self.network.apply(model.Cut("w1", "entry-a", one_way=True))
        self.assertEqual(
            self.call("entry-a/control", "w1"), [CallFailure("no answer in time", sent=True)]
        )
        self.assertEqual(len(self.acts), 1)
        self.assertEqual(self.call("w1", "entry-a/control")[0].detail, "no answer in time")
        self.assertEqual(len(self.acts), 1)

    def test_cut_of_one_process_spares_the_other_of_its_host(self):
        self.network.apply(model.Cut("entry-a/control", "table", one_way=False, duration=10.0))
        self.assertIsInstance(self.call("entry-a/control", "table")[0], CallFailure)
        self.assertEqual(self.call("entry-a/request", "table"), ["done"])
        self.kernel.run_until(11.0)
        self.assertEqual(self.call("entry-a/control", "table"), ["done"])

    def test_paused_target_acts_after_its_pause_though_the_caller_timed_out(self):
        self.network.apply(model.Pause("w1", 4.0))
        self.assertEqual(self.call("entry-a", "w1"), [CallFailure("no answer in time", sent=True)])
        self.assertEqual(self.acts, [4.0])

    def test_slow_answer_is_delayed_or_times_out(self):
        self.network.apply(model.Slow("entry-a", "table", 0.5))
        self.assertEqual(self.call("entry-a", "table"), ["done"])
        self.network.apply(model.Slow("entry-a", "table", 3.0))
        self.assertEqual(
            self.call("entry-a", "table"), [CallFailure("no answer in time", sent=True)]
        )
        self.assertEqual(len(self.acts), 2)

    def test_given_number_of_answers_is_lost(self):
        self.network.apply(model.LoseAnswers("table", "entry-a", 2))
        lost = CallFailure("no answer in time", sent=True)
        answers = [self.call("entry-a", "table")[0] for _ in range(3)]
        self.assertEqual(answers, [lost, lost, "done"])
        self.assertEqual(len(self.acts), 3)

    def test_outage_and_removed_endpoint_refuse_calls(self):
        self.network.apply(model.Outage("table", 10.0, "entry-a"))
        self.assertEqual(self.call("entry-a", "table"), [CallFailure("refused", sent=False)])
        self.assertEqual(self.call("entry-b", "table"), ["done"])
        self.network.remove("w1")
        self.assertEqual(self.call("entry-a", "w1"), [CallFailure("refused", sent=False)])
        self.network.restore("w1")
        self.assertEqual(self.call("entry-a", "w1"), ["done"])


if __name__ == "__main__":
    unittest.main()
