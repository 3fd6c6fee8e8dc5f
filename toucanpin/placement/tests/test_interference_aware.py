"""Tests of interference-aware placement: samples, throttles, evictions and resumption."""

import unittest

import msgspec

from standins.faults import Effect
from standins.work import Service
from toucanpin.bundles.schema import Bundle, Weights
from toucanpin.interference import Budget, Tuning
from toucanpin.placement.interference_aware import InterferenceAwarePolicy
from toucanpin.placement.policy import BestFitPolicy, GuardedPolicy, Limit
from toucanpin.placement.records import CellRow, JobState, TaskRecord
from toucanpin.placement.state import ControlOptions, ControlState
from toucanpin.placement.tests.helpers import find_gaps
from toucanpin.placement.tests.world import OPTIONS, TERMS, World
from toucanpin.placement.tracking import HostTracker
from toucanpin.platform.ports import Report, Size, TaskReport, TaskState, UsageSample

SAMPLE_LAG_S = 8.0
SLOWDOWN = 4.0
EVICTION_DELAY_S = 20.0
WEIGHTS = Weights(2.0, 0.5, 0.2)


def make_world(workers: int = 2, budget: Budget | None = None) -> World:
    """Return a world whose only owner uses the interference-aware policy."""
    world = World(workers=workers)
    world.bundle = Bundle("test", 2, weights=WEIGHTS)
    for process in world.processes.values():
        set_policy(process, budget)
    return world


def set_policy(process, budget: Budget | None = None) -> None:
    """Set the interference-aware policy of a process."""
    policy = InterferenceAwarePolicy(budget, Tuning(eviction_delay=EVICTION_DELAY_S))
    process.state.policy = GuardedPolicy(policy)


def add_service(world: World, worker: str, kind: str = "k") -> None:
    """Add a service with delayed samples to a worker."""
    core = world.cores[worker]
    core.lag = int(SAMPLE_LAG_S * 1000)
    core.services = (Service("verify", 10.0, 0.8, ((kind, SLOWDOWN),)),)


def watch(world: World, seconds: float) -> list[tuple[float, str, str]]:
    """Run; return the time, kind and detail of each action of the policy."""
    seen = len(world.events)
    actions = []
    until = world.now + seconds
    while world.now < until:
        world.run(0.125)
        for _, event in world.events[seen:]:
            if event.kind in ("task.throttle", "task.evict", "task.outgrown", "policy.fail"):
                actions.append((world.now, event.kind, event.detail))
        seen = len(world.events)
    return actions


class NoisyJobTest(unittest.TestCase):
    """A noisy job next to a service, from the first sample to its end."""

    def setUp(self):
        self.world = make_world(workers=1)
        # Only the eviction writes a checkpoint.
        self.world.processes["e0/control"].state.options = ControlOptions(
            poll=0.5, checkpoint=1_000.0
        )
        add_service(self.world, "w00")
        self.world.run(20)
        self.world.submit("a", processors=4, work=60_000)
        self.world.run(2)
        (self.record,) = self.world.cells()["s.r0"].tasks.values()
        self.world.add_worker("w01", "r0")

    def test_noisy_job_is_throttled_then_evicted_and_finishes_once(self):
        """
        Delayed samples show that the job slows the service down.  The job is throttled and, as the
        slowdown persists, evicted with a checkpoint.  It resumes once, on the other host, from that
        checkpoint and yields one result.
        """
        actions = watch(self.world, 90)
        kinds = [kind for _, kind, _ in actions]
        self.assertEqual(kinds[0], "task.throttle")
        self.assertEqual(kinds.count("task.evict"), 1)
        self.world.settle(120)
        (job,) = self.world.jobs().values()
        runs = sorted(self.world.intervals()[self.record.task])
        self.assertEqual((job.state, job.attempt), (JobState.FINISHED, 2))
        self.assertEqual(len(runs), 2)
        self.assertNotEqual(runs[0][2], runs[1][2])
        # The first run does at most half of the work, as it is throttled.  Without the checkpoint
        # of the eviction the second run would repeat all of it.
        self.assertLess(runs[1][1] - runs[1][0], 55_000)

    def test_no_action_repeats_on_old_samples(self):
        """
        After an action on the host no other follows until a sample taken after it arrives, a whole
        lag later, since earlier samples still show the state before the action.
        """
        times = sorted({at for at, *_ in watch(self.world, 90)})
        self.assertGreater(len(times), 1)
        waits = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
        self.assertGreaterEqual(min(waits), SAMPLE_LAG_S)

    def test_lost_throttle_is_repeated(self):
        """
        The poll with the throttle is lost.  The share is sent again with the next due poll, so the
        service doesn't suffer for long.
        """
        world = self.world
        core = world.cores[self.record.worker]
        seen = len(world.events)
        for _ in range(2_000):
            world.pass_time(0.125)
            world.processes["e0/control"].step()
            if "task.throttle" in [event.kind for _, event in world.events[seen:]]:
                break
        world.fault(Effect.LOSE_BEFORE, "poll", times=2)
        world.run(3)
        world.heal()
        (attempt,) = core._list_running()
        self.assertLess(attempt.share, 1.0)


class BudgetTest(unittest.TestCase):
    """Budget of evictions."""

    def test_evictions_stay_within_the_budget(self):
        """
        Four noisy jobs could all be evicted, but no more are than the budget allows.  All of them
        finish once.
        """
        world = make_world(workers=1, budget=Budget(per_minute=1))
        add_service(world, "w00")
        world.run(20)
        for number in range(4):
            world.submit(str(number), processors=2, work=40_000)
        world.run(2)
        world.add_worker("w01", "r0")
        evicted = [at for at, kind, _ in watch(world, 150) if kind == "task.evict"]
        self.assertGreater(len(evicted), 1)
        self.assertGreaterEqual(
            min([60.0, *(b - a for a, b in zip(evicted, evicted[1:], strict=False))]), 59.0
        )
        world.settle(300)
        self.assertEqual({it.state for it in world.jobs().values()}, {JobState.FINISHED})


class FallbackTest(unittest.TestCase):
    """Placement without samples, and with a policy that fails."""

    def run_jobs(self, policy) -> list:
        """Return the events of a world under a policy."""
        world = World(workers=3)
        for process in world.processes.values():
            process.state.policy = GuardedPolicy(policy)
        world.run(2)
        for number in range(12):
            world.submit(str(number), processors=1 + number % 4, work=2_000)
        world.run(10)
        return [(event.kind, event.ids, event.detail) for _, event in world.events]

    def test_without_samples_placement_is_best_fit(self):
        """Every task goes to the same host in the same order as under the best-fit policy."""
        self.assertEqual(self.run_jobs(InterferenceAwarePolicy()), self.run_jobs(BestFitPolicy()))

    def test_failing_policy_stops_no_renewal(self):
        """
        Every call of the policy fails.  Leases are renewed and the tightest host is chosen, so the
        standing task runs without a gap and the job finishes.
        """
        world = World()
        for process in world.processes.values():
            process.state = ControlState(process.controller_id, TERMS, OPTIONS, FaultyPolicy())
        world.set_standing(2, "enc")
        world.run(2)
        world.submit("a", work=3_000)
        actions = watch(world, 20)
        self.assertEqual(find_gaps(world, "enc"), [])
        self.assertEqual(len(world.running("enc")), 1)
        self.assertEqual(world.count_ended(), 1)
        self.assertIn("policy.fail", [kind for _, kind, _ in actions])


class FaultyPolicy:
    """Policy that fails at every call."""

    def prepare(self, now, bundle, workers):
        """Fail."""
        raise ValueError("prepare")

    def choose(self, task, workers, cell, waited):
        """Fail."""
        raise ValueError("choose")

    def observe(self, now, report, tasks):
        """Fail."""
        raise ValueError("observe")

    def decide(self, now, cell):
        """Fail."""
        raise ValueError("decide")


class OveruseTest(unittest.TestCase):
    """Tasks that use far more than they declared."""

    def test_task_that_exceeds_its_declared_size_is_throttled(self):
        """
        A job that uses three times its declared size is reported on the timeline and throttled.  It
        stays committed with its declared size, and finishes.
        """
        world = make_world(workers=1)
        world.run(2)
        world.submit("a", processors=2, work=6_000, use=3.0)
        actions = watch(world, 30)
        self.assertEqual([kind for _, kind, _ in actions][:2], ["task.outgrown", "task.throttle"])
        self.assertEqual(world.count_ended(), 1)


class ReportTest(unittest.TestCase):
    """Late and repeated reports."""

    SIZE = Size(8, 8_000)

    def report(self, clock: int, running: tuple[str, ...], *samples: UsageSample) -> Report:
        """Return a report with these running tasks."""
        tasks = tuple(
            TaskReport(it, 1, TaskState.RUNNING, 0, "", "", 4.0, 100, clock) for it in running
        )
        return Report("w", "1", clock, 1, True, False, self.SIZE, tasks, samples)

    def record(self, task: str) -> TaskRecord:
        """Return the record of a task whose kind is its name."""
        return TaskRecord(task, task, "t", Size(4, 100), attempt=1, worker="w", incarnation="1")

    def learn(self, policy: InterferenceAwarePolicy) -> None:
        """Report no task, then one, then another for 20 s each, with samples delayed by 20 s."""
        for second in range(60):
            tasks = ((), ("noisy",), ("quiet",))[second // 20]
            taken = second - 20
            latency = 50.0 if taken >= 20 else 10.0
            samples = [UsageSample("verify", taken * 1000, latency, 0.8)] if taken >= 0 else []
            report = self.report(second * 1000, tasks, *samples)
            policy.observe(500.0 + second, report, [self.record(it) for it in tasks])

    def test_late_sample_is_attributed_to_the_tasks_at_its_time(self):
        """
        Samples that were taken before the quiet job started are not attributed to it, though they
        arrive while it runs.  Worker and owner share no clock, so instants are converted.
        """
        policy = InterferenceAwarePolicy()
        self.learn(policy)
        rise = policy._learner.estimator.latency_rise
        self.assertGreater(rise("verify", "noisy", 0.8), 1.5 * rise("verify", "quiet", 0.8))

    def test_repeated_sample_is_learned_once(self):
        """A sample that is repeated, the second time after a slower poll, counts once."""
        tracker = HostTracker("w")
        sample = UsageSample("verify", 1_000, 50.0, 0.8)
        first = list(tracker.take_new_samples(500.0, self.report(2_000, (), sample)))
        again = list(tracker.take_new_samples(502.0, self.report(2_100, (), sample)))
        self.assertEqual((len(first), len(again)), (1, 0))

    def test_new_owner_returns_tasks_to_their_full_share(self):
        """
        The new owner doesn't know the share that an earlier owner set, so it starts with the full
        share.  Otherwise the job would stay throttled.
        """
        policy = InterferenceAwarePolicy()
        record = self.record("a")
        policy.observe(1.0, self.report(1_000, ("a",)), [record])
        cell = msgspec.convert(
            {"epoch": 1, "owner": None, "workers": {}, "tasks": {}}, type=CellRow
        )
        cell = msgspec.structs.replace(cell, workers={"w": None}, tasks={"a": record})
        (action,) = policy.decide(1.0, cell)
        self.assertEqual(action, Limit("a", 1.0))
        self.assertEqual(policy.decide(2.0, cell), ())

    def test_standing_and_urgent_tasks_never_wait(self):
        """They take the best host at once where a batch task of the same kind waits."""
        policy = InterferenceAwarePolicy()
        self.learn(policy)
        policy.prepare(600.0, Bundle("test", 2, weights=Weights(20.0, 0.1, 0.2)), {"w"})
        record = self.record("noisy")
        cell = CellRow(1, None, {}, {})
        self.assertIsNone(policy.choose(record, ["w"], cell, 0.0))
        for field in ("standing", "urgent"):
            pressing = msgspec.structs.replace(record, **{field: True})
            self.assertEqual(policy.choose(pressing, ["w"], cell, 0.0), "w")
        self.assertEqual(policy.choose(record, ["w"], cell, 300.0), "w")

    def test_new_bundle_changes_weights_and_keeps_estimates(self):
        """
        A batch task that had to wait is placed under a bundle that weighs throughput more.  The new
        weights apply from the next turn on to the estimates learned before.
        """
        policy = InterferenceAwarePolicy()
        self.learn(policy)
        record = self.record("noisy")
        cell = CellRow(1, None, {}, {})
        before = policy._learner.estimator.latency_rise("verify", "noisy", 0.8)
        policy.prepare(600.0, Bundle("test", 2, weights=Weights(20.0, 0.1, 0.2)), {"w"})
        self.assertIsNone(policy.choose(record, ["w"], cell, 0.0))
        policy.prepare(601.0, Bundle("test", 3, weights=Weights(0.01, 5.0, 0.2)), {"w"})
        self.assertEqual(policy.choose(record, ["w"], cell, 0.0), "w")
        self.assertEqual(policy._learner.estimator.latency_rise("verify", "noisy", 0.8), before)

    def test_host_of_another_owner_is_forgotten(self):
        """
        A host that another process owned in between may have other tasks and shares.  Its state,
        including its avoidance, is dropped, which also bounds the memory.
        """
        policy = InterferenceAwarePolicy()
        self.learn(policy)
        policy.prepare(600.0, None, set())
        self.assertEqual(policy._hosts, {})
        self.assertEqual(policy._learner._hosts, {})


if __name__ == "__main__":
    unittest.main()
