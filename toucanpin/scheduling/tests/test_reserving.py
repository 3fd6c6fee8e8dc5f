"""Brief tasks find room on a fleet that lasting ones would fill."""

from __future__ import annotations

import unittest

from toucanpin.scheduling.job import Step, TaskKey
from toucanpin.scheduling.tests.fleet import Fleet, make_job

WORKERS = 40
CORES = 64_000
LONG_RUNNING = Step(count=24, cpu=13_000, long_running=True)


class ReservingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(workers=WORKERS, cpu=CORES)
        for worker in self.fleet.workers.values():
            worker.lasts = 60.0

    def _fill_up(self) -> None:
        """Hand in lasting jobs that ask for a quarter more cores than the fleet has."""
        for number in range(10):
            self.fleet.submit(make_job(f"l{number:02}", (LONG_RUNNING,)))
        self.fleet.run(2.0)

    def _running(self, job: str) -> list[TaskKey]:
        return [t for worker in self.fleet.workers.values() for t in worker.runs if t.job == job]

    def test_large_short_tasks_start_at_once_on_full_fleet(self) -> None:
        """
        Lasting jobs ask for more cores than there are, and a caller's step comes whose tasks ask
        for a third of a worker.  Lasting tasks left a tenth of each worker, too little for any of
        them, and the step waited for as long as the fleet was full.
        """
        self._fill_up()
        self.fleet.submit(make_job("brief", (Step(count=9, cpu=21_000),)))
        self.fleet.run(0.3)
        self.assertEqual(9, len(self._running("brief")))

    def test_short_task_of_a_whole_worker_starts_at_once(self) -> None:
        """
        A task asks for all cores of a worker.  On a fleet with a lasting task on each worker there
        is no place for it, however few of its cores are in use.
        """
        self._fill_up()
        self.fleet.submit(make_job("brief", (Step(count=1, cpu=CORES),)))
        self.fleet.run(0.3)
        self.assertEqual(1, len(self._running("brief")))

    def test_other_workers_are_packed(self) -> None:
        """A reserve in one place costs no more than its share: the other workers are packed."""
        self._fill_up()
        used = sum(13_000 * len(worker.runs) for worker in self.fleet.workers.values())
        packed = CORES // 13_000 * 13_000
        self.assertGreaterEqual(used, 0.9 * WORKERS * packed)

    def test_first_task_of_a_job_may_use_the_reserve(self) -> None:
        """
        Only reserved room is left when another lasting job comes.  Waiting as a whole it would
        serve nobody for minutes, so one of its tasks runs there and the others wait.
        """
        self._fill_up()
        self.fleet.submit(make_job("new", (LONG_RUNNING,)))
        self.fleet.run(3.0)
        self.assertEqual(1, len(self._running("new")))

    def test_the_reserve_moves_when_its_workers_are_lost(self) -> None:
        """
        The workers with reserved room crash.  As lasting tasks end elsewhere, room is reserved
        there anew; otherwise brief tasks would wait again until those workers are back.
        """
        self._fill_up()
        for worker in list(self.fleet.workers.values()):
            if not worker.runs:
                worker.silent = True
        self.fleet.run(3.0)
        reserved = [w for w in self.fleet.cell.workers.values() if w.reserved_cpu]
        self.assertTrue(reserved)
        self.assertFalse([w for w in reserved if w.silent])


if __name__ == "__main__":
    unittest.main()
