"""Tests of the worker's agent: leases, fencing, attempts, work and measurements."""

import hashlib
import unittest

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from standins.objects import ObjectsCore
from standins.work import Service
from standins.worker import Get, Put, WorkerCore
from toucanpin.platform.ports import (
    Checkpoint,
    Forget,
    Poll,
    Size,
    Start,
    Stop,
    TaskState,
    Throttle,
)

SIZE = Size(8, 1_000, 1)
HALF = Size(4, 100)
WORK = b'{"work": 1000, "input": "reel"}'


def start(task="t", attempt=1, payload=WORK, size=HALF, checkpoint="", standing=False):
    return Start(task, attempt, "batch", size, payload, checkpoint, f"{task}.{attempt}", standing)


class WorkerTest(unittest.TestCase):
    def setUp(self):
        self.core = WorkerCore(
            "w1", "incarnation-1", SIZE, lag=200, services=(Service("s", 10.0, 0.5),)
        )
        self.objects = ObjectsCore()
        self.store_up = True

    def poll(self, now, *orders, lease=0, epoch=1, incarnation=""):
        report = self.core.poll(now, Poll(epoch, incarnation, lease, orders))
        self.run_effects(now)
        return report

    def run_effects(self, now):
        self.core.advance(now)
        for effect in list(self.core.take_effects()):
            match effect:
                case Put(name=name, body=body):
                    if self.store_up:
                        self.objects.put(name, body)
                    self.core.finish_put(now, effect, self.store_up)
                case Get(name=name):
                    found = self.objects.get(name) if self.store_up else None
                    self.core.finish_get(now, effect, found, self.store_up)

    def task(self, now, attempt=1):
        found = [it for it in self.poll(now).tasks if it.attempt == attempt]
        self.assertEqual(len(found), 1)
        return found[0]

    def test_finished_job_has_its_result(self):
        self.poll(0, start(), lease=5_000)
        self.run_effects(1_000)
        done = self.task(1_500)
        self.assertEqual((done.state, done.progress), (TaskState.FINISHED, 1_000))
        self.assertEqual(self.objects.get("t.1"), hashlib.sha256(b"reel").hexdigest().encode())
        self.poll(1_600, Forget("t", 1))
        self.assertEqual(self.poll(1_700).tasks, ())

    def test_job_finishes_only_once_its_result_is_stored(self):
        """
        The store is down when a job ends.  Guards against a job that is reported as finished before
        its result can be read.
        """
        self.poll(0, start(), lease=9_000)
        self.store_up = False
        self.run_effects(1_100)
        self.assertIs(self.task(1_200).state, TaskState.RUNNING)
        self.store_up = True
        self.run_effects(1_300)
        self.assertIs(self.task(1_400).state, TaskState.FINISHED)

    def test_paused_worker_stops_its_tasks_before_handling_a_poll(self):
        """
        The worker is paused past the end of its lease, while another one starts its task.  After
        the pause it receives an old poll of its owner.  It must stop the task before it applies the
        new lease, and the pause must not count as work.
        """
        self.poll(0, start(standing=True), lease=1_000)
        report = self.poll(60_000, lease=90_000)
        self.assertEqual(report.tasks[0].state, TaskState.STOPPED)
        self.assertEqual(report.tasks[0].progress, 1_000)
        self.assertEqual(self.core.log[0].stopped_at, 1_000)

    def test_paused_worker_writes_nothing_after_its_lease(self):
        """
        The worker is paused before it writes an ordered checkpoint.  After the pause the task
        belongs to another attempt, so objects of the old one must not appear.
        """
        self.core.poll(0, Poll(1, "", 1_000, (start(), Checkpoint("t", 1, "c1"))))
        self.run_effects(60_000)
        self.assertEqual(self.objects.names(""), ())

    def test_delayed_poll_does_not_extend_the_lease(self):
        """A delayed poll carries the end of a lease computed from an old clock reading."""
        self.poll(0, start(), lease=800)
        self.assertTrue(self.poll(900, lease=850).lapsed)
        self.assertIs(self.task(901).state, TaskState.STOPPED)

    def test_reordered_poll_does_not_shorten_the_lease(self):
        self.poll(0, start(), lease=5_000)
        self.poll(10, lease=200)
        self.assertIs(self.task(300).state, TaskState.RUNNING)

    def test_lower_epoch_or_other_incarnation_is_refused(self):
        """
        A replaced owner still sends orders, and another one addresses an earlier incarnation of
        this worker.  Neither poll may change the lease, the tasks or the epoch.
        """
        self.poll(0, epoch=5, lease=100)
        for fenced in ({"epoch": 4}, {"epoch": 9, "incarnation": "incarnation-0"}):
            report = self.poll(10, start(), lease=9_000, **fenced)
            self.assertEqual((report.accepted, report.epoch, report.tasks), (False, 5, ()))
        self.assertTrue(self.poll(100, epoch=5).lapsed)

    def test_repeated_start_is_ignored(self):
        """A start order is duplicated by the network, and the copy arrives after the job ended."""
        self.poll(0, start(), lease=9_000)
        self.run_effects(1_000)
        self.poll(1_100, Forget("t", 1))
        self.poll(1_200, start(), start(attempt=1))
        self.assertEqual(len(self.core.log), 1)

    def test_stop_that_overtakes_its_start(self):
        """
        A stop arrives before its start.  Guards against starting a task that its owner considers
        stopped and has placed elsewhere.
        """
        self.poll(0, Stop("t", 2), lease=9_000)
        self.poll(1, start(attempt=2), start(attempt=1))
        self.assertEqual(self.core.log, [])
        self.assertIs(self.task(2, attempt=2).state, TaskState.STOPPED)

    def test_higher_attempt_stops_the_lower_one(self):
        self.poll(0, start(), lease=9_000)
        self.poll(10, start(attempt=2))
        self.assertIs(self.task(20, attempt=1).state, TaskState.STOPPED)
        self.assertEqual([it.stopped_at for it in self.core.log], [10, None])

    def test_never_starts_beyond_its_capacity(self):
        sizes = (Size(4, 100), Size(4, 100), Size(1, 1), Size(0, 1, 1), Size(0, 1, 1))
        orders = [start(f"t{n}", size=size, standing=True) for n, size in enumerate(sizes)]
        tasks = self.poll(0, *orders, lease=9_000).tasks
        states = [it.state is TaskState.RUNNING for it in tasks]
        self.assertEqual(states, [True, True, False, True, False])
        self.assertEqual(tasks[2].detail, "refused: no capacity")

    def test_no_start_without_a_lease(self):
        self.assertEqual(self.poll(0, start()).tasks[0].detail, "refused: no lease")

    def test_evicted_job_resumes_from_its_checkpoint(self):
        self.poll(0, start(), lease=9_000)
        self.poll(300, Stop("t", 1, "c1"))
        stopped = self.task(400)
        self.assertEqual((stopped.state, stopped.checkpoint), (TaskState.STOPPED, "c1"))
        self.assertEqual(stopped.progress, 300)
        self.poll(500, start(attempt=2, checkpoint="c1"))
        self.assertEqual(self.task(600, attempt=2).progress, 400)
        self.run_effects(1_200)
        self.assertIs(self.task(1_201, attempt=2).state, TaskState.FINISHED)

    def test_missing_checkpoint_fails_the_attempt(self):
        self.poll(0, start(checkpoint="gone"), lease=9_000)
        self.assertIs(self.task(1).state, TaskState.FAILED)

    def test_stop_without_a_store_reports_the_last_stored_checkpoint(self):
        """
        The store goes down between two checkpoints and the job is evicted.  It stops nevertheless,
        and its report names the older checkpoint, which exists.
        """
        self.poll(0, start(), lease=9_000)
        self.poll(200, Checkpoint("t", 1, "c1"))
        self.store_up = False
        self.poll(400, Stop("t", 1, "c2"))
        self.assertEqual(self.task(401).checkpoint, "c1")
        self.assertIs(self.task(402).state, TaskState.STOPPED)

    def test_stop_that_races_a_finish_has_one_outcome(self):
        """
        A stop arrives while the result of a finished job is being written.  The attempt ends as
        stopped, and the store's later answer does not change that.
        """
        for attempt, checkpoint in ((1, ""), (2, "c1")):
            now = attempt * 2_000
            self.poll(now, start(attempt=attempt), lease=9_000)
            self.core.advance(now + 1_000)
            (put,) = self.core.take_effects()
            assert isinstance(put, Put)
            self.core.poll(now + 1_001, Poll(1, "", 0, (Stop("t", attempt, checkpoint),)))
            self.core.finish_put(now + 1_002, put, stored=True)
            self.run_effects(now + 1_003)
            self.assertIs(self.task(now + 1_004, attempt).state, TaskState.STOPPED)

    def test_throttled_job_works_and_uses_less(self):
        self.poll(0, start(), Throttle("t", 1, 0.25), lease=9_000)
        report = self.task(400)
        self.assertEqual((report.progress, report.processors), (100, 1.0))
        self.assertEqual(report.sampled_at, 200)

    def test_task_fails_by_its_payload_or_its_worker(self):
        always = b'{"work": 100, "fail": "always"}'
        once = b'{"work": 100, "fail": "once"}'
        self.poll(0, start("a", payload=always), start("b", payload=once), lease=9_000)
        self.run_effects(50)
        self.assertEqual([it.state for it in self.poll(60).tasks], [TaskState.FAILED] * 2)
        self.poll(60, start("a", 2, always), start("b", 2, once), Forget("a", 1), Forget("b", 1))
        self.run_effects(200)
        states = [it.state for it in self.poll(200).tasks]
        self.assertEqual(states, [TaskState.FAILED, TaskState.FINISHED])
        self.core.fail_all = True
        self.poll(300, start("c"))
        self.assertIn("fails every task", self.poll(301).tasks[-1].detail)
        self.assertEqual(self.poll(302, start("d", payload=b"?")).tasks[-1].progress, 0)

    def test_measurements_are_delayed_by_the_lag(self):
        core = WorkerCore("w", "l", SIZE, 500, (Service("s", 10.0, 0.5, (("batch", 2.0),)),))
        core.poll(0, Poll(1, "", 9_000, (start(payload=b'{"work": 9000}'),)))
        core.advance(1_000)
        early = core.poll(1_100, Poll(1, "", 0, ())).samples
        late = core.poll(1_500, Poll(1, "", 0, ())).samples
        self.assertEqual([(it.sampled_at, it.latency_p99) for it in early], [(0, 10.0)])
        self.assertEqual([(it.sampled_at, it.latency_p99) for it in late], [(1_000, 20.0)])


TASKS = st.sampled_from(["a", "b", "c"])
ATTEMPTS = st.integers(1, 5)
ORDERS = st.one_of(
    st.builds(
        start,
        TASKS,
        ATTEMPTS,
        st.sampled_from([WORK, b'{"work": 50, "fail": "always"}']),
        st.builds(Size, st.integers(1, 6), st.integers(1, 600), st.integers(0, 1)),
        st.sampled_from(["", "c"]),
        st.booleans(),
    ),
    st.builds(Stop, TASKS, ATTEMPTS, st.sampled_from(["", "c"])),
    st.builds(Throttle, TASKS, ATTEMPTS, st.floats(0.0, 2.0)),
    st.builds(Checkpoint, TASKS, ATTEMPTS, st.just("c")),
    st.builds(Forget, TASKS, ATTEMPTS),
)
STEPS = st.lists(
    st.tuples(
        st.integers(0, 400),
        st.integers(0, 600),
        st.integers(1, 3),
        st.lists(ORDERS, max_size=4),
        st.booleans(),
    ),
    max_size=25,
)


class RandomOrdersTest(unittest.TestCase):
    @seed(20)
    @settings(max_examples=300, derandomize=True, deadline=None, database=None)
    @given(STEPS)
    def test_no_order_of_messages_breaks_the_promises(self, steps):
        """
        Polls of several owners arrive with any pause between them, and the store answers or fails.
        No task runs in two attempts at once, none runs past the lease, and the running ones never
        take more than the worker has.
        """
        core = WorkerCore("w", "l", SIZE)
        now = 0
        leases = [0]
        for pause, lease, epoch, orders, stored in steps:
            now += pause
            report = core.poll(now, Poll(epoch, "", now + lease, tuple(orders)))
            if report.accepted:
                leases.append(now + lease)
            for effect in list(core.take_effects()):
                match effect:
                    case Put():
                        core.finish_put(now, effect, stored)
                    case Get(name=name):
                        body = b'{"task":"a","attempt":1,"progress":9}' if stored else None
                        core.finish_get(now, effect, body, stored or name == "c")
            self.check_log(core, now, max(leases))

    def check_log(self, core, now, lease):
        ends: dict[str, int] = {}
        live = 0
        for run in core.log:
            end = now if run.stopped_at is None else run.stopped_at
            live += run.stopped_at is None
            self.assertLessEqual(run.started_at, end)
            self.assertLessEqual(end, max(lease, now))
            self.assertGreaterEqual(run.started_at, ends.get(run.task, 0))
            ends[run.task] = end
        self.assertTrue(live == 0 or now < lease)
        running = [it.start.size for it in core._list_running()]
        self.assertLessEqual(sum(it.processors for it in running), SIZE.processors)
        self.assertLessEqual(sum(it.memory for it in running), SIZE.memory)
        self.assertLessEqual(sum(it.accelerators for it in running), SIZE.accelerators)


if __name__ == "__main__":
    unittest.main()
