"""Tests of steps that only workers with a ticket may run."""

from __future__ import annotations

import unittest

from toucanpin.scheduling.advising import (
    Advice,
    AdviceRequest,
    find_ticket,
    plan_advice_requests,
    record_advice,
)
from toucanpin.scheduling.cell import Group
from toucanpin.scheduling.job import Step
from toucanpin.scheduling.placing import place_tasks
from toucanpin.scheduling.tests.fleet import Fleet, make_job

GROUP = Group("j1", 0, 0)


class AdvisingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(workers=3)
        self.fleet.run(0.2)
        self.fleet.submit(make_job(steps=(Step(count=2, cpu=1_000),), advised=True))

    def _plan_requests(self, free: int = 5) -> list[AdviceRequest]:
        for worker in self.fleet.cell.workers.values():
            worker.answered_at = self.fleet.time
        return plan_advice_requests(self.fleet.cell, self.fleet.model, free, self.fleet.now())

    def test_no_task_is_placed_without_ticket(self) -> None:
        place_tasks(self.fleet.cell, self.fleet.model, self.fleet.now())
        self.assertFalse(self.fleet.cell.placed)
        (request,) = self._plan_requests()
        self.assertEqual(3, len(request.workers))
        self.assertFalse(self._plan_requests(), "one request at a time")

    def test_only_approved_workers_get_tasks(self) -> None:
        (request,) = self._plan_requests()
        record_advice(self.fleet.cell, request, Advice({"w1": "t1"}, 3.0), self.fleet.now())
        place_tasks(self.fleet.cell, self.fleet.model, self.fleet.now())
        self.assertEqual({("w1", "t1")}, {(r.worker, r.ticket) for r in self.fleet.cell.placed})

    def test_expiring_ticket_is_not_used(self) -> None:
        (request,) = self._plan_requests()
        record_advice(self.fleet.cell, request, Advice({"w1": "t1"}, 3.0), self.fleet.now())
        self.fleet.time += 2.8
        self.assertEqual("", find_ticket(self.fleet.cell, GROUP, "w1", self.fleet.now()))
        (repeated,) = self._plan_requests()
        self.assertEqual(("w1",), repeated.workers)

    def test_unanswered_request_is_repeated(self) -> None:
        (request,) = self._plan_requests()
        record_advice(self.fleet.cell, request, None, self.fleet.now())
        self.assertFalse(self._plan_requests())
        self.fleet.time += 0.5
        self.assertEqual(1, len(self._plan_requests()))

    def test_requests_are_ordered_by_urgency(self) -> None:
        """
        Guards against urgent steps that wait behind requests for less urgent ones: the advice
        service answers one request after another and takes half a second for each.
        """
        step = Step(cpu=1_000)
        self.fleet.submit(make_job("j0", (step,), advised=True, priority=2))
        self.fleet.submit(make_job("j2", (step,), advised=True, priority=0, accepted=-5_000))
        requests = self._plan_requests(free=2)
        self.assertEqual(["j2", "j1"], [request.group.job for request in requests])

    def test_no_request_names_a_full_worker(self) -> None:
        self.fleet.cell.workers["w0"].memory = 8_000
        self.fleet.submit(make_job("j0", (Step(cpu=100, memory=10),), advised=True))
        requested = {request.group.job: request.workers for request in self._plan_requests()}
        self.assertNotIn("w0", requested["j0"])


if __name__ == "__main__":
    unittest.main()
