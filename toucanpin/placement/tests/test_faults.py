"""Tests of jobs under faults and cancellations at every step."""

import unittest

from toucanpin.placement.records import JobState
from toucanpin.placement.tests.helpers import make_table_unavailable
from toucanpin.placement.tests.world import Effect, World


class CancelTest(unittest.TestCase):
    """Cancellations at any time between submission and end of a job."""

    def test_cancellation_at_every_step_has_one_outcome(self):
        """
        The canceller and readers of the job see the same outcome.  The cancellation comes after any
        number of actions around the finish, so either its write or the owner's conflicts.
        """
        outcomes = set()
        for steps in range(60):
            world = World()
            world.run(1)
            job = world.submit("a", work=500).ok.job
            owner = world.processes["e0/control"]
            for _ in range(steps):
                world.pass_time(0.04)
                owner.step()
            status = world.cancel(job).ok
            world.run(5)
            final = world.jobs()[job]
            self.assertEqual(status.state, final.state.value)
            self.assertEqual(world.cells()["s.r0"].tasks, {})
            self.assertEqual(world.table.scan("queue/"), ())
            self.assertEqual(world.running(job), [])
            outcomes.add(status.state)
        self.assertEqual(outcomes, {"cancelled", "finished"})


class FaultTest(unittest.TestCase):
    """Each fault at every step between submission and end of a job."""

    FAULTS = (
        "kill owner",
        "freeze owner",
        "lose answer of write",
        "lose write",
        "lose answer of poll",
        "lose poll",
        "table out",
        "lose worker",
    )

    def inject_fault(self, world: World, fault: str) -> None:
        """Inject one fault."""
        owner = next(iter(world.processes.values()))
        match fault:
            case "kill owner":
                owner.killed_at = world.now
                world.add_process(owner.controller_id.process, owner.controller_id.incarnation + 1)
            case "freeze owner":
                owner.paused = True
                world.run(12)
                owner.paused = False
            case "lose answer of write":
                world.fault(Effect.LOSE_AFTER, "commit", times=2)
            case "lose write":
                world.fault(Effect.LOSE_BEFORE, "commit", times=2)
            case "lose answer of poll":
                world.fault(Effect.LOSE_AFTER, "poll", times=2)
            case "lose poll":
                world.fault(Effect.LOSE_BEFORE, "poll", times=2)
            case "table out":
                make_table_unavailable(world)
                world.run(3)
                world.heal()
            case "lose worker":
                world.kill_worker("w00")

    def test_job_finishes_once_under_every_fault_at_every_step(self):
        """
        The job finishes once, with its result, whichever fault follows whichever action.  After
        each step the ledger, the queue and the workers' logs agree.
        """
        for fault in self.FAULTS:
            for steps in range(0, 48, 3):
                with self.subTest(fault=fault, steps=steps):
                    world = World(processes=2)
                    world.run(1)
                    world.submit("a", work=600)
                    for _ in range(steps):
                        world.pass_time(0.04)
                        for process in world.processes.values():
                            process.step()
                    self.inject_fault(world, fault)
                    world.settle(90)
                    (job,) = world.jobs().values()
                    self.assertEqual(job.state, JobState.FINISHED)
                    self.assertIsNotNone(world.objects.get(job.result))
                    self.assertEqual(world.table.scan("queue/"), ())


if __name__ == "__main__":
    unittest.main()
