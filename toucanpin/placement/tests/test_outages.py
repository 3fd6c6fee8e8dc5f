"""Tests of outages of the table and of lost answers of submissions."""

import unittest

from toucanpin.placement.tests.helpers import (
    TABLE_OPERATIONS,
    find_gaps,
    find_owner,
    make_table_unavailable,
    start_standing,
)
from toucanpin.placement.tests.world import Effect, World


class OutageTest(unittest.TestCase):
    """Outages of the table, alone and combined with other failures."""

    def test_outage_with_all_promises_makes_no_gap(self):
        """
        A standing task runs on through an outage far longer than a lease and the authority, since
        every process on the owner's roster repeatedly promises not to fence it.
        """
        world = start_standing(processes=3)
        make_table_unavailable(world)
        world.run(50)
        self.assertEqual(find_gaps(world, "enc"), [])
        world.heal()
        world.run(15)
        self.assertEqual(find_gaps(world, "enc"), [])

    def test_outage_with_a_missing_promise_stops_the_task_and_never_runs_it_twice(self):
        """
        A process on the roster dies during the outage and can't promise, so it might be taking
        over.  The task stops when its lease expires, and starts again once the table answers.
        """
        world = start_standing(processes=3)
        owner = find_owner(world, "enc")
        make_table_unavailable(world)
        world.run(2)
        other = next(it for it in world.processes.values() if it is not owner)
        other.killed_at = world.now
        world.run(30)
        self.assertEqual(world.running("enc"), [])
        world.heal()
        world.run(15)
        self.assertEqual(len(world.running("enc")), 1)

    def test_owner_without_table_and_peers_is_replaced(self):
        """
        The owner and its worker are cut off from the table and from the other process.  That
        process reaches the table, so it refuses to promise, fences the owner after the term and
        starts the task elsewhere.  The task runs once, after a gap.
        """
        world = start_standing(processes=2)
        owner = find_owner(world, "enc")
        other = next(it for it in world.processes.values() if it is not owner)
        worker = world.running("enc")[0]
        for operation in TABLE_OPERATIONS:
            world.fault(Effect.DOWN, operation, owner.controller_id.process)
        owner.cut_peers.add(other.controller_id.process)
        world.cut(other.controller_id.process, worker)
        world.run(40)
        self.assertEqual(len(world.running("enc")), 1)
        self.assertNotEqual(world.running("enc"), [worker])

    def test_commits_after_an_outage_are_bounded(self):
        """
        Jobs that ended during the outage are committed in groups and within a budget per turn, so
        the recovered table isn't flooded with writes.
        """
        world = World(racks=2, workers=4, processes=2)
        for number in range(40):
            world.submit(str(number), work=3_000)
        world.run(2)
        make_table_unavailable(world)
        world.run(15)
        self.assertEqual(len(world.ended), 0)
        world.heal()
        before = world.table.counts.writes
        world.run(5)
        self.assertEqual(world.count_ended(), 40)
        self.assertLess(world.table.counts.writes - before, 40)

    def test_submission_during_an_outage_has_not_run(self):
        """The refusal says at once that nothing was accepted, and when to retry."""
        world = World()
        make_table_unavailable(world)
        refusal = world.submit("a").error
        self.assertEqual(refusal.verdict.value, "not-run")
        self.assertIsNotNone(refusal.retry_after)
        world.heal()
        self.assertEqual(world.jobs(), {})

    def test_submission_with_lost_answers_is_accepted_once(self):
        """
        The submitter gets one job, whichever answer is lost.  If the first insert took effect, the
        second conflicts and returns the job.  If no answer arrives, the refusal advises to repeat
        the request with the same key.
        """
        for effect in (Effect.LOSE_BEFORE, Effect.LOSE_AFTER):
            for times in (1, 2, 3):
                with self.subTest(effect=effect, times=times):
                    world = World()
                    world.fault(effect, "commit", "front", times)
                    outcome = world.submit("a")
                    if times == 3:
                        self.assertEqual(outcome.error.verdict.value, "may-have-run")
                        self.assertIn("same Idempotency-Key", outcome.error.detail)
                        outcome = world.submit("a")
                    self.assertEqual(list(world.jobs()), [outcome.ok.job])


if __name__ == "__main__":
    unittest.main()
