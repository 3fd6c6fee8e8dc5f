"""Tests of lost, frozen and replaced owners."""

import unittest

from toucanpin.placement.actions import Commit, RecordEvent
from toucanpin.placement.cells import WorkerIncarnation
from toucanpin.placement.queue import rendezvous_weight
from toucanpin.placement.records import JobState
from toucanpin.placement.tests.helpers import (
    TABLE_OPERATIONS,
    find_gaps,
    find_owner,
    make_table_unavailable,
    start_standing,
)
from toucanpin.placement.tests.world import Effect, World


class OwnerTest(unittest.TestCase):
    """Processes that own cells and are lost, frozen or replaced."""

    def test_death_of_an_owner_makes_no_gap(self):
        """
        After the owner has been killed, another process takes the cell with a higher epoch and
        renews the worker's lease before it expires, so the standing task runs on.
        """
        world = start_standing(processes=3)
        find_owner(world, "enc").killed_at = world.now
        world.run(15)
        self.assertEqual(find_gaps(world, "enc"), [])

    def test_replacement_of_all_processes_makes_no_gap(self):
        """
        All control processes are replaced at once.  No new one is on an old roster, so none can
        prove the end of an old authority, but workers that accept the higher epoch need no proof.
        """
        world = start_standing(processes=3)
        world.submit("a", work=20_000)
        for name, old in list(world.processes.items()):
            old.killed_at = world.now
            world.add_process(name, 2)
        world.run(30)
        self.assertEqual(find_gaps(world, "enc"), [])
        self.assertEqual([it.state for it in world.jobs().values()], [JobState.FINISHED])

    def test_replacement_of_all_processes_with_a_lost_worker_waits(self):
        """
        The worker is cut off from the new processes.  An old owner could still renew its lease, and
        nobody on the old roster is left to prove otherwise, so the task starts elsewhere only after
        the maximum authority.
        """
        world = start_standing(processes=2)
        worker = world.running("enc")[0]
        for name, old in list(world.processes.items()):
            old.killed_at = world.now
            world.add_process(name, 2)
            world.cut(name, worker)
        world.run(30)
        self.assertEqual(len(world.intervals()["enc"]), 1)
        world.run(50)
        self.assertEqual(len(world.intervals()["enc"]), 2)
        self.assertEqual(len(world.running("enc")), 1)

    def test_stopped_owner_hands_over_at_once(self):
        """
        A process that shuts down releases its cells, and the next owner takes them in its first
        turn, so there is no gap.
        """
        world = start_standing(processes=2)
        owner = find_owner(world, "enc")
        owner.stop()
        world.run(0.5)
        self.assertNotEqual(find_owner(world, "enc"), owner)
        world.run(10)
        self.assertEqual(find_gaps(world, "enc"), [])

    def test_resumed_owner_changes_nothing(self):
        """
        The owner freezes between any two actions of a turn and its cell is taken.  When it resumes
        the rest of that turn, its writes conflict and the workers refuse its epoch.
        """
        for steps in range(1, 14):
            with self.subTest(steps=steps):
                world = start_standing(processes=2)
                owner = find_owner(world, "enc")
                world.submit("a", work=4_000)
                world.pass_time(0.6)
                for _ in range(steps):
                    owner.step()
                owner.paused = True
                world.run(25)
                self.assertNotEqual(find_owner(world, "enc"), owner)
                owner.paused = False
                world.run(10)
                self.assertEqual(find_gaps(world, "enc"), [])
                self.assertEqual(world.count_ended(), 1)

    def test_owner_cut_off_from_the_table_and_its_successor(self):
        """
        The first owner is cut off from the table only, and still renews a worker that the second
        can't reach.  The second must not start the task elsewhere before the first one's authority
        has ended.
        """
        world = start_standing(processes=2)
        owner = find_owner(world, "enc")
        other = next(it for it in world.processes.values() if it is not owner)
        worker = world.running("enc")[0]
        for operation in TABLE_OPERATIONS:
            world.fault(Effect.DOWN, operation, owner.controller_id.process)
        world.cut(other.controller_id.process, worker)
        world.run(40)
        self.assertEqual(len(world.running("enc")), 1)
        self.assertNotEqual(world.running("enc"), [worker])
        self.assertEqual(len(find_gaps(world, "enc")), 1)

    def test_fenced_owner_regains_its_cells(self):
        """
        A process that resumes after having been fenced gives up its cells, renews its authority and
        gets the cells back by a release.  No task stops.
        """
        world = start_standing(processes=2)
        owner = find_owner(world, "enc")
        owner.paused = True
        world.run(30)
        self.assertNotEqual(find_owner(world, "enc"), owner)
        owner.paused = False
        world.run(15)
        self.assertIn("authority.fenced", {event.kind for _, event in world.events})
        self.assertEqual(find_owner(world, "enc"), owner)
        self.assertEqual(find_gaps(world, "enc"), [])

    def test_fenced_owner_starts_nothing_under_its_new_authority(self):
        """
        The owner freezes between committing and starting a job.  Another process fences it, proves
        that the worker runs nothing and starts the job elsewhere.  The owner resumes and renews its
        authority, but can't read the cells' rows.  If it had kept the cell, it would now start the
        job a second time, on the worker that only it can reach.
        """
        world = World(processes=2)
        world.run(5)
        status = world.submit("a", work=60_000).ok
        (owner,) = [it for it in world.processes.values() if it.state.cells]
        other = next(it for it in world.processes.values() if it is not owner)
        while not (isinstance(owner.action, RecordEvent) and owner.action.kind == "task.place"):
            world.pass_time(0.01)
            owner.step()
        owner.paused = True
        worker = world.cells()["s.r0"].tasks[status.job].worker
        world.cut(other.controller_id.process, worker)
        world.run(25)
        self.assertEqual(len(world.running(status.job)), 1)
        owner.paused = False
        for name in world.cores:
            world.cut(owner.controller_id.process, name)
        owner.finish_turn()
        world.pass_time(0.6)
        world.heal()
        world.cut(other.controller_id.process, worker)
        world.cut(owner.controller_id.process, next(it for it in world.cores if it != worker))
        for operation in ("read", "scan"):
            world.fault(Effect.DOWN, operation, owner.controller_id.process)
        world.run(1.75)
        self.assertTrue(owner.state.authority.holds(owner.now))
        self.assertEqual(len(world.running(status.job)), 1)

    def test_hand_over_with_a_lost_answer_stops_renewals(self):
        """
        An owner hands over a cell; the release takes effect, but its answer is lost and the owner
        can't read the table afterwards.  The next owner waits for one lease from the release, so
        the first must stop renewing leases before it sends the release.
        """
        world = World(processes=0, workers=2)
        names = sorted(("a/control", "b/control"), key=lambda name: rendezvous_weight("s.r0", name))
        first = world.add_process(names[0], 1)
        world.set_standing(2, "enc")
        world.run(8)
        second = world.add_process(names[1], 1)
        (worker,) = world.running("enc")
        world.cut(second.controller_id.process, worker)
        world.cut(first.controller_id.process, next(it for it in world.cores if it != worker))
        while not (
            isinstance(first.action, Commit) and "release" in first.action.transaction.token
        ):
            world.pass_time(0.02)
            first.step()
            second.finish_turn()
        world.fault(Effect.LOSE_AFTER, "commit", first.controller_id.process, 1)
        first.step()
        for operation in TABLE_OPERATIONS:
            world.fault(Effect.DOWN, operation, first.controller_id.process)
        world.run(40)
        self.assertEqual(len(world.running("enc")), 1)
        self.assertEqual(len(find_gaps(world, "enc")), 1)

    def test_failed_hand_over_is_repeated(self):
        """
        The table is unavailable at the release.  The owner keeps the cell, extends its authority by
        the other process's promise and hands the cell over after the outage, without a gap.
        """
        world = World(processes=0, workers=2)
        names = sorted(("a/control", "b/control"), key=lambda name: rendezvous_weight("s.r0", name))
        first = world.add_process(names[0], 1)
        world.set_standing(2, "enc")
        world.run(8)
        second = world.add_process(names[1], 1)
        while not (
            isinstance(first.action, Commit) and "release" in first.action.transaction.token
        ):
            world.pass_time(0.02)
            first.step()
            second.finish_turn()
        make_table_unavailable(world)
        world.run(25)
        world.heal()
        world.run(10)
        self.assertEqual(find_owner(world, "enc"), second)
        self.assertEqual(find_gaps(world, "enc"), [])

    def test_rows_of_ended_processes_and_removed_workers_are_deleted(self):
        """
        Authority rows of processes that no cell refers to, and unlisted unreachable workers, are
        deleted, so that rows don't accumulate.  A process that was only frozen gets a new row.
        """
        world = World(processes=3)
        world.run(5)
        frozen = world.processes["e0/control"]
        frozen.paused = True
        world.kill_worker("w00")
        world.hosts = [it for it in world.hosts if it.name != "w00"]
        world.run(90)
        self.assertEqual(len(world.table.scan("plan/control/")), 2)
        self.assertEqual(list(world.cells()["s.r0"].workers), ["w01"])
        frozen.paused = False
        world.run(15)
        self.assertEqual(len(world.table.scan("plan/control/")), 3)
        world.submit("a")
        world.settle(20)
        self.assertEqual(world.count_ended(), 1)


class LeaseTest(unittest.TestCase):
    """Proof that a worker has stopped."""

    def test_stop_is_proven_by_own_grants_and_earlier_owners(self):
        """
        A worker is proven to run nothing only after our own grants have ended and, unless it has
        accepted our epoch, the authority of every earlier owner as well.
        """
        world = start_standing(processes=2)
        owner = find_owner(world, "enc")
        (name,) = world.running("enc")
        cell = next(it for it in owner.state.cells.values() if name in it.row.workers)
        link = cell.link(name)
        link.incarnations["1"] = WorkerIncarnation(lease_end=world.now + 5, reached=True)
        watch = owner.state.watch
        self.assertFalse(cell.has_stopped(name, "1", watch, world.now))
        self.assertTrue(cell.has_stopped(name, "1", watch, world.now + 5))
        link.incarnations["1"] = WorkerIncarnation(lease_end=0.0, reached=False)
        cell.released_leases_end = world.now + 7
        self.assertFalse(cell.has_stopped(name, "1", watch, world.now + 5))
        self.assertTrue(cell.has_stopped(name, "1", watch, world.now + 7))


if __name__ == "__main__":
    unittest.main()
