"""Tests of every step of a job's life under every fault, and of cancellations."""

import unittest

from toucanpin.placement.records import JobState
from toucanpin.placement.tests.helpers import cut_table
from toucanpin.placement.tests.world import Effect, World


class CancelTest(unittest.TestCase):
    """Race cancellations against the life of a job."""

    def test_cancel_at_every_step_has_one_outcome(self):
        """
        Whoever cancels and whoever reads the job are told the same end.  The cancel comes after
        any number of actions around the finish: either its write or the owner's conflicts.
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
            told = world.cancel(job).ok
            world.run(5)
            final = world.jobs()[job]
            self.assertEqual(told.state, final.state.value)
            self.assertEqual(world.cells()["s.r0"].tasks, {})
            self.assertEqual(world.table.scan("queue/"), ())
            self.assertEqual(world.running(job), [])
            outcomes.add(told.state)
        self.assertEqual(outcomes, {"cancelled", "finished"})


class LifeTest(unittest.TestCase):
    """Strike every step of a job's life with every fault."""

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

    def strike(self, world: World, fault: str) -> None:
        """Bring one fault about."""
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
                cut_table(world)
                world.run(3)
                world.heal()
            case "lose worker":
                world.kill_worker("w00")

    def test_every_step_and_every_fault(self):
        """
        The job ends once, with its result, whatever strikes after whichever action between its
        submission and its end; after each step the ledger, the queue and the workers' logs agree.
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
                    self.strike(world, fault)
                    world.settle(90)
                    (job,) = world.jobs().values()
                    self.assertEqual(job.state, JobState.FINISHED)
                    self.assertIsNotNone(world.objects.get(job.result))
                    self.assertEqual(world.table.scan("queue/"), ())


if __name__ == "__main__":
    unittest.main()
