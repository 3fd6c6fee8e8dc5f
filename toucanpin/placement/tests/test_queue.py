"""Tests of the ledger, queues, quotas, submission and the choice of cells."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from toucanpin.bundles.schema import Bundle, Team
from toucanpin.exception import LedgerError
from toucanpin.placement import ledger
from toucanpin.placement.ledger import FreeCapacityIndex
from toucanpin.placement.queue import CellShape, Quotas, TaskQueue, choose_cell, list_cell_shapes
from toucanpin.placement.records import CellRow, JobState, TaskRecord, WorkerRow
from toucanpin.placement.state import ControlOptions
from toucanpin.placement.submission import name_job
from toucanpin.placement.tests.world import World
from toucanpin.platform.ports import Size
from toucanpin.verdict import Reason

FIXED = settings(derandomize=True, database=None, deadline=None, max_examples=200)
SIZES = st.builds(Size, st.integers(0, 8), st.integers(0, 8), st.integers(0, 2))


def make_task(name: str, **fields) -> TaskRecord:
    """Return a task record."""
    size = fields.pop("size", Size(1, 1))
    return TaskRecord(name, "k", fields.pop("team", "t"), size, **fields)


def make_cell(size: Size, *tasks: TaskRecord) -> CellRow:
    """Return the row of a cell with one worker."""
    worker = WorkerRow("w", "s", "r", "", 0, size)
    return CellRow(1, None, {"w": worker}, {it.task: it for it in tasks})


class LedgerTest(unittest.TestCase):
    """Accounting of committed sizes."""

    @FIXED
    @given(st.lists(SIZES, max_size=20), SIZES, st.lists(st.integers(0, 19), max_size=10))
    def test_index_agrees_with_a_plain_search(self, free, wanted, taken):
        """The index finds a worker if and only if one fits, and the tightest one first."""
        index = FreeCapacityIndex()
        plain = {str(number): size for number, size in enumerate(free)}
        for name, size in plain.items():
            index.set(name, size)
        for number in taken:
            name = str(number)
            if name in plain and ledger.fits(Size(1, 1), plain[name]):
                index.allocate(name, Size(1, 1))
                plain[name] = ledger.subtract(plain[name], Size(1, 1))
        eligible = [name for name, size in plain.items() if ledger.fits(wanted, size)]
        found = index.candidates(wanted, 1)
        self.assertEqual(bool(found), bool(eligible))
        if found:
            tightest = min((plain[it].accelerators, plain[it].processors) for it in eligible)
            chosen = plain[found[0]]
            self.assertEqual((chosen.accelerators, chosen.processors), tightest)

    def test_overcommitment_is_rejected(self):
        """Each component is checked, and so is the existence of the worker."""
        capacity = Size(4, 4, 1)
        for size in (Size(5, 1), Size(1, 5), Size(1, 1, 2)):
            with self.subTest(size=size), self.assertRaises(LedgerError):
                ledger.check_capacity(
                    None, make_cell(capacity, make_task("a", size=size, worker="w"))
                )
        with self.assertRaises(LedgerError):
            ledger.check_capacity(None, make_cell(capacity, make_task("a", worker="x")))

    def test_worker_that_shrank_keeps_its_tasks(self):
        """Its tasks may end one by one, but none is added."""
        one = make_task("a", size=Size(3, 1), worker="w")
        two = make_task("b", size=Size(3, 1), worker="w")
        before = make_cell(Size(2, 2), one, two)
        ledger.check_capacity(before, make_cell(Size(2, 2), one))
        with self.assertRaises(LedgerError):
            ledger.check_capacity(make_cell(Size(2, 2), one), before)


class QueueTest(unittest.TestCase):
    """Order of waiting tasks, quotas and the choice of a cell."""

    def order(self, *entries: tuple[str, float, dict]) -> list[str]:
        """Return the order of tasks that were queued at the given instants."""
        queue = TaskQueue()
        for version, (name, since, fields) in enumerate(entries, start=1):
            queue.put(make_task(name, **fields), version, since)
        return [it.record.task for it in queue.in_order()]

    def test_order_is_by_urgency_priority_and_age(self):
        """One step of priority is worth a minute of waiting."""
        order = self.order(
            ("late", 50.0, {}),
            ("early", 0.0, {}),
            ("important", 50.0, {"priority": 1}),
            ("urgent", 60.0, {"urgent": True}),
        )
        self.assertEqual(order, ["urgent", "important", "early", "late"])

    def test_urgent_tasks_starve_no_others(self):
        """After seven urgent tasks one other task is tried."""
        entries = [(f"u{number}", 0.0, {"urgent": True}) for number in range(20)]
        self.assertEqual(self.order(*entries, ("other", 0.0, {})).index("other"), 7)

    def test_quota_bounds_every_component(self):
        """A team that the bundle doesn't name may use nothing."""
        quotas = Quotas([Team("t", 4, 100, 0)], {"t": Size(3, 10, 0)})
        self.assertTrue(quotas.allows("t", Size(1, 1)))
        quotas.allocate("t", Size(1, 1))
        self.assertFalse(quotas.allows("t", Size(1, 1)))
        self.assertFalse(quotas.allows("x", Size(1, 1)))

    def test_chosen_cell_can_hold_the_task(self):
        """Rendezvous hashing skips other cells, and moves tasks only to a cell that is added."""
        shapes = [CellShape(f"c{number}", (Size(8, 8),)) for number in range(4)]
        shapes.append(CellShape("big", (Size(64, 64, 1),)))
        self.assertEqual(choose_cell("a", Size(9, 1), shapes), "big")
        self.assertIsNone(choose_cell("a", Size(65, 1), shapes))
        names = [f"t{number}" for number in range(500)]
        before = {it: choose_cell(it, Size(1, 1), shapes[:4]) for it in names}
        after = {it: choose_cell(it, Size(1, 1), shapes) for it in names}
        moved = {after[it] for it in names if after[it] != before[it]}
        self.assertEqual(moved, {"big"})


class PolicyTest(unittest.TestCase):
    """Quotas, urgency and moves between cells over capacity turns."""

    def test_team_never_exceeds_its_quota(self):
        """Its other jobs wait, and all of them finish eventually."""
        world = World(workers=4)
        world.bundle = Bundle("test", 2, teams=(Team("t", 4, 10_000, 0),))
        for number in range(10):
            world.submit(str(number), processors=2, work=1_000)
        most = 0
        for _ in range(60):
            world.run(0.5)
            tasks = world.cells()["s.r0"].tasks.values()
            most = max(most, sum(it.size.processors for it in tasks))
        self.assertEqual((most, world.count_ended()), (4, 10))

    def test_job_larger_than_the_quota_is_refused_at_once(self):
        """So is a job of a team that the bundle doesn't name."""
        world = World()
        world.bundle = Bundle("test", 2, teams=(Team("t", 4, 10_000, 0),))
        self.assertEqual(world.submit("a", processors=5).error.reason, Reason.NEVER_FITS)
        self.assertEqual(world.submit("b", team="x").error.reason, Reason.FORBIDDEN)

    def test_urgent_job_evicts_a_job_that_resumes(self):
        """
        An urgent job starts within a few turns in a full cell.  The job evicted for it resumes from
        its checkpoint and finishes once.
        """
        world = World(workers=1)
        for number in range(4):
            world.submit(str(number), processors=2, work=8_000)
        world.run(4)
        submitted_at = world.now
        job = world.submit("u", processors=2, work=1_000, urgent=True).ok.job
        world.run(3)
        started = world.intervals()[job][0][0] / 1000
        self.assertLess(started - submitted_at, 1.2)
        world.settle(60)
        self.assertEqual({it.state for it in world.jobs().values()}, {JobState.FINISHED})
        evicted = [it.record.evictions for it in world.jobs().values()]
        self.assertEqual(sum(evicted), 1)

    def test_waiting_task_moves_to_a_cell_with_free_capacity(self):
        """A task that waits too long in a full cell is moved, and can be cancelled there."""
        world = World(racks=2, workers=1, processes=2)
        shapes = list_cell_shapes(world.hosts)
        keys = (str(number) for number in range(100))
        home = (it for it in keys if choose_cell(name_job("t", it), Size(4, 1), shapes) == "s.r0")
        for key in list(home)[:4]:
            world.submit(key, processors=4, work=60_000)
        world.run(4)
        self.assertEqual(sum(len(cell.tasks) for cell in world.cells().values()), 2)
        world.run(8)
        running = sum(len(cell.tasks) for cell in world.cells().values())
        self.assertEqual(running, 4)
        for job in world.jobs():
            world.cancel(job)
        world.run(5)
        self.assertEqual(world.table.scan("queue/"), ())
        self.assertEqual([cell.tasks for cell in world.cells().values()], [{}, {}])

    def test_budget_of_commits_starves_no_cell(self):
        """With one commit per turn for placement, tasks are still started in every cell."""
        world = World(racks=12, workers=1)
        world.run(3)
        process = world.processes["e0/control"]
        process.state.options = ControlOptions(poll=0.1, commits_per_turn=2)
        process.state.health.budget = 2
        for number in range(1_200):
            world.submit(str(number), work=100)
        world.run(6)
        places = {it.ids["cell"] for _, it in world.events if it.kind == "task.place"}
        self.assertEqual(len(places), 12)

    def test_large_job_is_not_starved_by_small_ones(self):
        """A worker is reserved for it once it has waited for a minute."""
        world = World(workers=1)
        number = 0
        world.run(1)
        for number in range(8):
            world.submit(f"s{number}", work=4_000 + 500 * number)
        world.run(1)
        big = world.submit("big", processors=8, work=500).ok.job
        for _ in range(150):
            number += 1
            world.submit(f"s{number}", work=7_000)
            world.run(0.5)
        self.assertEqual(world.jobs()[big].state, JobState.FINISHED)


if __name__ == "__main__":
    unittest.main()
