"""Tests of random interleavings of control processes, faults and time, with fixed seeds."""

import unittest

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from toucanpin.placement.records import JobState
from toucanpin.placement.tests.world import Effect, World

SETTLING_TIME_S = 240.0
WORKERS = ("w00", "w01", "w10", "w11")


class Interleaving(RuleBasedStateMachine):
    """
    Random steps of three control processes, interrupted at any yield.

    After each step no worker is overcommitted, no task has run in two places according to the
    workers' logs, each task has one record, and no job has ended twice.  Once all faults are
    removed, every accepted job must end.
    """

    def __init__(self) -> None:
        super().__init__()
        self.world = World(racks=2, workers=2, processes=3)
        self.submitted = 0
        self.version = 1

    @initialize(seconds=st.sampled_from([0.0, 2.0, 4.0]))
    def begin(self, seconds):
        """Start with jobs that wait, or that already run."""
        self.world.set_standing(2, "enc")
        self.version = 2
        for _ in range(4):
            self.submit("never", 2, 3000)
        self.world.run(seconds, check=False)

    @rule(
        fail=st.sampled_from(["never", "never", "once", "always"]),
        processors=st.integers(1, 5),
        work=st.sampled_from([500, 3000, 9000]),
    )
    def submit(self, fail, processors, work):
        """Submit a job; every fifth one is urgent."""
        self.submitted += 1
        urgent = self.submitted % 5 == 0
        self.world.submit(str(self.submitted), processors, work, fail=fail, urgent=urgent)

    @rule(process=st.integers(0, 2), steps=st.integers(1, 25))
    def step(self, process, steps):
        """Run some steps of one process."""
        for _ in range(steps):
            list(self.world.processes.values())[process].step()

    @rule(seconds=st.sampled_from([0.1, 0.3, 1.0]))
    def wait(self, seconds):
        """Advance the workers without steps of a process."""
        self.world.pass_time(seconds)

    @rule(seconds=st.sampled_from([0.5, 2.0, 5.0, 10.0]))
    def run_whole(self, seconds):
        """Run whole turns of every process that isn't paused."""
        self.world.run(seconds)

    @rule(process=st.integers(0, 2))
    def pause_or_resume(self, process):
        """Freeze a process at its present yield, or resume it."""
        chosen = list(self.world.processes.values())[process]
        chosen.paused = not chosen.paused

    @rule(process=st.integers(0, 2))
    def replace(self, process):
        """Kill a process at its present yield and start its next incarnation."""
        name = f"e{process}/control"
        old = self.world.processes[name]
        old.killed_at = self.world.now
        self.world.add_process(name, old.controller_id.incarnation + 1)

    @rule(
        effect=st.sampled_from([Effect.DOWN, Effect.LOSE_AFTER, Effect.LOSE_BEFORE]),
        operation=st.sampled_from(["commit", "poll", "*"]),
        client=st.sampled_from(["e0/control", "e1/control", "e2/control", *WORKERS, "*"]),
        times=st.sampled_from([1, 2, 5]),
    )
    def strike(self, effect, operation, client, times):
        """Add a fault: lose some requests or answers."""
        self.world.fault(effect, operation, client, times)

    @rule(seconds=st.sampled_from([3.0, 12.0, 25.0]))
    def outage(self, seconds):
        """Make the table unavailable for a while."""
        for operation in ("commit", "read", "scan"):
            self.world.fault(Effect.DOWN, operation)
        self.world.run(seconds)
        self.world.heal()

    @rule(process=st.integers(0, 2), worker=st.sampled_from(WORKERS))
    def cut(self, process, worker):
        """Cut a process off from a worker."""
        self.world.cut(f"e{process}/control", worker)

    @rule()
    def heal(self):
        """Remove the faults of the network and the store."""
        self.world.heal()

    @rule(worker=st.sampled_from(WORKERS))
    def lose_worker(self, worker):
        """Kill a worker, or start its next incarnation."""
        if worker in self.world.dead_workers:
            self.world.replace_worker(worker)
        else:
            self.world.kill_worker(worker)

    @rule(worker=st.sampled_from(WORKERS))
    def pause_worker(self, worker):
        """Freeze a worker, or resume it with the polls that arrived meanwhile."""
        if worker in self.world.paused_workers:
            self.world.resume_worker(worker)
        else:
            self.world.pause_worker(worker)

    @rule(number=st.integers(1, 8))
    @precondition(lambda self: self.submitted > 0)
    def cancel(self, number):
        """Cancel a job in any state."""
        jobs = sorted(self.world.jobs())
        self.world.cancel(jobs[number % len(jobs)])

    @rule(wanted=st.sampled_from([(), ("enc",), ("enc", "eye")]))
    def change_bundle(self, wanted):
        """Set another bundle."""
        self.version += 1
        self.world.set_standing(self.version, *wanted)

    @invariant()
    def holds(self):
        """Check the invariants."""
        self.world.check()

    def teardown(self):
        """Remove all faults; check that every job ends and every standing task runs once."""
        world = self.world
        world.heal()
        for worker in list(world.paused_workers):
            world.resume_worker(worker)
        for worker in list(world.dead_workers):
            world.replace_worker(worker)
        for process in world.processes.values():
            process.paused = False
        world.settle(SETTLING_TIME_S)
        for name, job in world.jobs().items():
            assert job.state is not JobState.ACCEPTED, f"{name} never ended"
        for task in world.bundle.standing:
            assert len(world.running(task.name)) == 1, f"{task.name} doesn't run"


RandomTest = Interleaving.TestCase
RandomTest.settings = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=150,
    phases=(Phase.generate,),
    stateful_step_count=25,
    suppress_health_check=list(HealthCheck),
)

if __name__ == "__main__":
    unittest.main()
