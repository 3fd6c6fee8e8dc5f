"""Tests of the evaluation: observations that violate an expectation make it fail."""

import unittest
from collections import Counter
from dataclasses import replace
from typing import Any

from scenarios.evaluation import evaluate
from scenarios.language import parse
from scenarios.model import JobEnd, RequestEnd
from scenarios.observations import (
    BundleInForce,
    JobOutcome,
    Observations,
    RequestOutcome,
    RequestRun,
    TaskRun,
    Violation,
)

HEAD = """scenario "x"
hosts 2 entry, 2 worker, 2 instance
service verify
standing enc processors 1
at 1s submit job a
at 1s submit bundle 2 through entry-a
at 1s send request r to verify through entry-a
"""
ANSWERED = RequestOutcome("r", "entry-a", 1.0, 1.2, RequestEnd.ANSWERED)


def evaluate_line(line, **seen):
    """Return the failures of one expectation under observations."""
    scenario = parse(HEAD + line, "x.scenario")
    return [failure.detail for failure in evaluate(scenario, Observations(ended=30.0, **seen))]


class EvaluationTest(unittest.TestCase):
    def assert_fails_with(self, line, words, **seen):
        """Check that an expectation has one failure whose text contains words."""
        (detail,) = evaluate_line(line, **seen)
        self.assertIn(words, detail)

    def test_job_finishes_exactly_once(self):
        line = "expect job a finished once within 10s"
        once = JobOutcome("a", 5.0, JobEnd.FINISHED)
        self.assertEqual(evaluate_line(line, jobs=[once]), [])
        self.assert_fails_with(line, "0 ends", jobs=[])
        self.assert_fails_with(line, "2 ends", jobs=[once, once])
        self.assert_fails_with(line, "'cancelled'", jobs=[replace(once, end=JobEnd.CANCELLED)])
        self.assert_fails_with(line, "after 11.000s", jobs=[replace(once, time=12.0)])
        self.assert_fails_with(line, "wrong result", jobs=[replace(once, correct=False)])

    def test_cancelled_job_must_stop(self):
        line = "expect job a cancelled within 10s"
        reported, run = JobOutcome("a", 5.0, JobEnd.CANCELLED), TaskRun("a", 1, "w1", 0.0, 6.0)
        self.assertEqual(evaluate_line(line, jobs=[reported], runs=[run]), [])
        self.assert_fails_with(
            line, "still ran", jobs=[reported], runs=[replace(run, stopped=11.5)]
        )
        self.assertEqual(evaluate_line("expect job a ended once", jobs=[reported]), [])
        self.assert_fails_with("expect job a ended once", "2 ends", jobs=[reported, reported])

    def test_job_resumes_exactly_once(self):
        line = "expect job a resumed once"
        first, second = TaskRun("a", 1, "w1", 0.0, 3.0), TaskRun("a", 2, "w2", 4.0, 6.0, True)
        self.assertEqual(evaluate_line(line, runs=[first, second]), [])
        self.assert_fails_with(line, "resumed 0", runs=[first, replace(second, resumed=False)])
        self.assert_fails_with(line, "ran 3", runs=[first, second, replace(second, attempt=3)])

    def test_task_in_two_places_fails(self):
        line = "expect never two places"
        first, second = TaskRun("a", 1, "w1", 0.0, 3.0), TaskRun("a", 2, "w2", 3.0)
        self.assertEqual(evaluate_line(line, runs=[second, first]), [])
        self.assert_fails_with(line, "ran at w1", runs=[first, replace(second, started=2.9)])

    def test_long_gap_of_a_standing_task_fails(self):
        line = "expect standing enc gap below 5s"
        first, second = TaskRun("enc", 1, "w1", 1.0, 9.0), TaskRun("enc", 2, "w2", 13.0)
        self.assertEqual(evaluate_line(line, runs=[first, second]), [])
        self.assert_fails_with(line, "from 9.000s", runs=[first, replace(second, started=14.0)])
        self.assert_fails_with(line, "to 30.000s", runs=[first, replace(second, stopped=20.0)])

    def test_bundle_reaches_every_process_and_never_reverts(self):
        line, back = "expect bundle 2 everywhere within 3s", "expect bundles never revert"
        running_since = {"p": 0.0, "q": 10.0}
        first = BundleInForce("p", 1, 1, 0.0)
        forces = [first, replace(first, version=2, time=3.0), BundleInForce("q", 2, 2, 11.0)]
        seen: dict[str, Any] = {"accepted": {2: 1.0}, "running_since": running_since}
        self.assertEqual(evaluate_line(line, bundles=forces, **seen), [])
        self.assertEqual(evaluate_line(back, bundles=forces), [])
        self.assert_fails_with(line, "never accepted", running_since=running_since, bundles=forces)
        late = [first, replace(forces[1], time=4.5), forces[2]]
        self.assert_fails_with(line, "bundle 1 was in force in p", bundles=late, **seen)
        withheld = [first, replace(first, version=0, time=2.0), replace(forces[1], time=9.0)]
        self.assertEqual(evaluate_line(line, bundles=[*withheld, forces[2]], **seen), [])
        again = [*withheld[:2], replace(first, time=8.0), withheld[2], forces[2]]
        self.assert_fails_with(line, "from 8.000s to 9.000s", bundles=again, **seen)
        self.assert_fails_with(line, "in q at the end", bundles=forces[:2], **seen)
        earlier_incarnation = [*forces[:2], replace(forces[2], incarnation=1, time=9.0)]
        self.assert_fails_with(line, "in q at the end", bundles=earlier_incarnation, **seen)
        lower = BundleInForce("p", 2, 1, 20.0)
        self.assert_fails_with(back, "from bundle 2 to 1", bundles=[*forces, lower])
        other = replace(forces[2], digest="other")
        self.assert_fails_with(back, "bundle 2 differs", bundles=[*forces[:2], other])

    def test_ends_of_requests(self):
        line = "expect request r answered within 1s"
        self.assertEqual(evaluate_line(line, requests=[ANSWERED]), [])
        self.assert_fails_with(line, "got no answer")
        self.assert_fails_with(line, "incomplete answer", requests=[replace(ANSWERED, valid=False)])
        self.assert_fails_with(line, "took 1.100s", requests=[replace(ANSWERED, time=2.1)])
        refused = replace(ANSWERED, end=RequestEnd.NOT_RUN)
        self.assert_fails_with(line, "'not run'", requests=[refused])
        run = RequestRun("r", "i1", 1.1)
        self.assertEqual(evaluate_line("expect no false not run", requests=[refused]), [])
        self.assert_fails_with(
            "expect no false not run", "ran although", requests=[refused], request_runs=[run]
        )
        once = "expect every request run at most once"
        self.assertEqual(evaluate_line(once, request_runs=[run]), [])
        self.assert_fails_with(once, "ran at i1, i1", request_runs=[run, run])

    def test_no_work_after_leaving(self):
        line = "expect no work for w1 after 5s"
        run = TaskRun("a", 1, "w1", 4.0)
        self.assertEqual(evaluate_line(line, runs=[run]), [])
        self.assert_fails_with(line, "received task a", runs=[replace(run, started=5.5)])

    def test_too_many_events_fail(self):
        line = "expect at most 3 cell.take events"
        self.assertEqual(evaluate_line(line, event_counts=Counter({"cell.take": 3})), [])
        self.assert_fails_with(line, "4 cell.take", event_counts=Counter({"cell.take": 4}))

    def test_overcommitted_host_fails(self):
        violation = Violation(3.0, "w1 holds too much")
        self.assert_fails_with("expect never overcommitted", "w1", overcommitted=[violation])


if __name__ == "__main__":
    unittest.main()
