"""Steps that only advised workers may run."""

from __future__ import annotations

import unittest

from toucanpin.scheduling.advising import Advice, find_ticket, plan_advice, take_advice
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

    def _ask(self):
        return plan_advice(self.fleet.cell, self.fleet.cell.workers.values(), self.fleet.now())

    def test_nothing_is_placed_without_a_ticket(self) -> None:
        place_tasks(self.fleet.cell, self.fleet.sharing, self.fleet.now())
        self.assertFalse(self.fleet.cell.placed)
        (order,) = self._ask()
        self.assertEqual(3, len(order.workers))
        self.assertFalse(self._ask(), "one question at a time")

    def test_only_approved_workers_get_the_step_with_their_ticket(self) -> None:
        (order,) = self._ask()
        take_advice(self.fleet.cell, order, Advice({"w1": "t1"}, 3.0), self.fleet.now())
        place_tasks(self.fleet.cell, self.fleet.sharing, self.fleet.now())
        self.assertEqual({("w1", "t1")}, {(r.worker, r.ticket) for r in self.fleet.cell.placed})

    def test_an_old_ticket_is_not_used(self) -> None:
        (order,) = self._ask()
        take_advice(self.fleet.cell, order, Advice({"w1": "t1"}, 3.0), self.fleet.now())
        self.fleet.time += 2.8
        self.assertEqual("", find_ticket(self.fleet.cell, GROUP, "w1", self.fleet.now()))
        (again,) = self._ask()
        self.assertEqual(("w1",), again.workers)

    def test_a_question_without_an_answer_is_asked_again(self) -> None:
        (order,) = self._ask()
        take_advice(self.fleet.cell, order, None, self.fleet.now())
        self.assertFalse(self._ask())
        self.fleet.time += 0.5
        self.assertEqual(1, len(self._ask()))


if __name__ == "__main__":
    unittest.main()
