"""Tests of jobs and standing tasks without faults."""

import unittest

from toucanpin.placement.records import JobState
from toucanpin.placement.tests.world import World
from toucanpin.verdict import Reason, Verdict


class NormalOperationTest(unittest.TestCase):
    """Jobs and standing tasks while nothing fails."""

    def test_job_runs_to_its_result(self):
        """A submitted job is placed, started and finished, and its row names the result."""
        world = World()
        status = world.submit("a").ok
        world.run(4)
        job = world.jobs()[status.job]
        self.assertEqual(job.state, JobState.FINISHED)
        self.assertIsNotNone(world.objects.get(job.result))

    def test_standing_task_is_started_and_removed(self):
        """A standing task runs exactly as long as the bundle names it."""
        world = World()
        world.set_standing(2, "enc")
        world.run(4)
        self.assertEqual(len(world.running("enc")), 1)
        world.set_standing(3)
        world.run(2)
        self.assertEqual(world.running("enc"), [])
        self.assertEqual(world.cells()["s.r0"].tasks, {})

    def test_standing_task_that_is_removed_and_added_again(self):
        """It runs exactly once, whether added during or after its stop."""
        for seconds in (0.0, 0.2, 0.4, 2.0):
            with self.subTest(seconds=seconds):
                world = World()
                world.set_standing(2, "enc")
                world.run(4)
                world.set_standing(3)
                world.run(seconds)
                world.set_standing(4, "enc")
                world.run(3)
                self.assertEqual(len(world.running("enc")), 1)

    def test_process_with_an_older_bundle_undoes_no_newer_change(self):
        """It neither stops tasks that a newer bundle added nor starts tasks that one removed."""
        world = World()
        world.set_standing(3, "enc")
        world.run(4)
        world.set_standing(2)
        world.run(2)
        self.assertEqual(len(world.running("enc")), 1)
        world.set_standing(4)
        world.run(2)
        world.set_standing(3, "enc")
        world.run(2)
        self.assertEqual(world.running("enc"), [])

    def test_changed_standing_task_is_replaced(self):
        """It is stopped, and its next attempt starts with the new size."""
        world = World()
        world.set_standing(2, "enc")
        world.run(4)
        world.set_standing(3, "enc", processors=3)
        world.run(3)
        (record,) = world.cells()["s.r0"].tasks.values()
        self.assertEqual((record.size.processors, record.attempt), (3, 2))
        self.assertEqual(len(world.running("enc")), 1)

    def test_job_that_never_fits_is_refused_at_once(self):
        """The refusal names the component that is too large for every worker."""
        refusal = World().submit("big", processors=64).error
        self.assertEqual((refusal.verdict, refusal.reason), (Verdict.NOT_RUN, Reason.NEVER_FITS))
        self.assertIn("64 processors", refusal.detail)


if __name__ == "__main__":
    unittest.main()
