"""Tests of lost, frozen, leaving and faulty workers."""

import unittest

from toucanpin.bundles.schema import Bundle, Limits, StandingTask
from toucanpin.placement.records import JobState, WorkerState
from toucanpin.placement.tests.helpers import find_gaps, start_standing
from toucanpin.placement.tests.world import World, describe_work
from toucanpin.platform.ports import Poll, Size, Start

LEASE = 5_000
WAITED = 6_000


class WorkerTest(unittest.TestCase):
    """Lose, freeze, drain and quarantine workers."""

    def test_lost_worker_costs_one_lease(self):
        """
        The encoder is silent for a lease and a little: its worker died, and it is started elsewhere
        once no lease of ours can be live.
        """
        world = start_standing(processes=2)
        world.kill_worker(world.running("enc")[0])
        world.run(15)
        (gap,) = find_gaps(world, "enc")
        self.assertTrue(LEASE - 1_000 <= gap <= WAITED, gap)

    def test_paused_worker_that_wakes_runs_nothing(self):
        """
        One encoder is heard.  Its worker freezes, the encoder is started elsewhere, the worker
        wakes with every poll that had reached it: its guard stops the old attempt first, and the
        delayed polls renew nothing and start nothing.
        """
        world = start_standing(processes=2)
        worker = world.running("enc")[0]
        world.pause_worker(worker)
        world.run(15)
        self.assertNotEqual(world.running("enc"), [worker])
        world.resume_worker(worker)
        world.run(10)
        self.assertEqual(len(world.running("enc")), 1)
        self.assertNotIn("enc", [it.start.task for it in world.cores[worker]._live()])

    def test_delayed_start_is_refused_after_the_worker_was_lost(self):
        """
        The job runs once.  Its start is held up in the network, its worker is declared lost, the
        job is started elsewhere, the worker gets a new lease, and only then the start arrives: it
        carries an epoch that the worker has learnt to refuse.
        """
        world = World(processes=1, workers=2)
        world.run(2)
        owner = world.processes["e0/control"]
        for worker in world.cores:
            world.pause_worker(worker)
        world.submit("a", work=20_000)
        world.run(0.5)
        (record,) = world.cells()["s.r0"].tasks.values()
        held = list(world.workers._paused[record.worker])
        starts = [it for it in held if it.orders]
        self.assertTrue(starts)
        for worker in world.cores:
            world.workers._paused[worker].clear()
            if worker != record.worker:
                world.resume_worker(worker)
        world.run(12)
        world.resume_worker(record.worker)
        world.run(3)
        self.assertFalse(owner.state.cells["s.r0"].links[record.worker].lapsed)
        for poll in starts:
            report = world.cores[record.worker].poll(int(world.now * 1000), poll)
            self.assertFalse(report.accepted)
        world.run(25)
        self.assertEqual(world.count_ended(), 1)

    def test_leaving_worker_is_drained(self):
        """
        A host that leaves gets no new work, and its job goes on elsewhere from the checkpoint that
        its stop wrote, so little work is done twice.
        """
        world = World(workers=2)
        world.submit("a", work=10_000)
        world.run(4)
        (record,) = world.cells()["s.r0"].tasks.values()
        host = next(it for it in world.hosts if it.name == record.worker)
        position = world.hosts.index(host)
        world.hosts[position] = type(host)(
            host.name, host.role, host.site, host.rack, host.address, 1, True, size=host.size
        )
        for number in range(4):
            world.submit(f"later {number}", work=500)
        world.run(10)
        runs = world.intervals()
        self.assertEqual(world.count_ended(), 5)
        moved = sorted(runs.pop(record.task))
        self.assertEqual([it[3] for it in moved], [1, 2])
        self.assertLess(sum(end - start for start, end, *_ in moved), 10_500)
        self.assertEqual(world.jobs()[record.task].record.evictions, 1)
        self.assertNotIn(record.worker, {it[2] for one in runs.values() for it in one})

    def test_worker_that_is_smaller_than_listed(self):
        """
        The job runs on the other host, at its first attempt: the list says that both could hold it,
        the smaller one's own report says that it can't.
        """
        world = World(workers=2)
        world.cores["w00"].size = Size(2, 8_000, 1)
        world.run(2)
        world.submit("a", processors=4, work=500)
        world.run(4)
        (job,) = world.jobs().values()
        self.assertEqual((job.state, job.attempt), (JobState.FINISHED, 1))

    def test_standing_task_that_fails_at_once_is_started_ever_more_slowly(self):
        """
        Neither its hosts nor the table are kept busy by a task that can't run: the pauses between
        its attempts double up to a minute, and no host is blamed.
        """
        world = World(workers=2)
        tasks = (StandingTask("bad", "t", "k", 1, 100, payload=describe_work(0, "always")),)
        world.bundle = Bundle("test", 2, standing=tasks)
        world.run(10)
        first = len(world.intervals()["bad"])
        world.run(60)
        self.assertLessEqual(first, 5)
        self.assertLessEqual(len(world.intervals()["bad"]) - first, 4)
        states = {it.state for it in world.cells()["s.r0"].workers.values()}
        self.assertEqual(states, {WorkerState.ACTIVE})

    def test_a_job_that_crashes_its_workers_is_given_up(self):
        """Guards against crash loops: a job took one worker after the other for ever."""
        world = World(workers=3)
        world.submit("a", work=30_000)
        crashes = 0
        for _ in range(400):
            world.run(0.5)
            for name in [name for task in world.intervals() for name in world.running(task)]:
                world.kill_worker(name)
                world.replace_worker(name)
                crashes += 1
        (job,) = world.jobs().values()
        self.assertEqual(JobState.FAILED, job.state)
        self.assertEqual(Limits().max_attempts, crashes)

    def test_orphan_is_stopped_and_forgotten(self):
        """
        A worker comes back with a task that no row commits to it: the task is stopped and dropped
        from its reports, never left to run beside what is committed.
        """
        world = World(workers=1)
        world.run(3)
        size = Size(1, 1, 0)
        start = Start("ghost", 1, "k", size, describe_work(90_000).encode(), "", "x", False)
        core = world.cores["w00"]
        core.poll(int(world.now * 1000), Poll(1, "", 0, (start,)))
        self.assertEqual([it.start.task for it in core._live()], ["ghost"])
        world.run(3)
        self.assertEqual(core._attempts, {})

    def test_resume_from_the_newest_accepted_checkpoint(self):
        """
        A mastering job whose worker dies goes on from the newest checkpoint that its cell's row
        holds, not from the start and not from an older one.
        """
        world = World(workers=2)
        world.submit("a", work=30_000)
        world.run(14)
        (record,) = world.cells()["s.r0"].tasks.values()
        self.assertTrue(record.checkpoint)
        self.assertEqual(record.checkpoint, max(world.objects.names("checkpoint/")))
        world.kill_worker(record.worker)
        world.run(10)
        live = [it for core in world.cores.values() for it in core._live()]
        self.assertIn(record.checkpoint, [it.start.checkpoint for it in live])

    def test_worker_that_fails_everything_is_quarantined(self):
        """
        Jobs finish on other hosts, and none of them is blamed for the host: three first failures in
        a row take it out.
        """
        world = World(workers=4)
        world.cores["w00"].fail_all = True
        for number in range(12):
            world.submit(str(number), processors=2, work=1_000)
        world.run(12)
        self.assertEqual(world.count_ended(), 12)
        self.assertEqual({it.state for it in world.jobs().values()}, {JobState.FINISHED})
        states = {name: it.state for name, it in world.cells()["s.r0"].workers.items()}
        self.assertEqual(states["w00"], WorkerState.QUARANTINED)
        self.assertEqual(sum(it is WorkerState.QUARANTINED for it in states.values()), 1)

    def test_jobs_that_fail_everywhere_end_and_hosts_stay(self):
        """
        The submitter of a job that fails on many hosts is told so, with the hosts; a wave of such
        jobs takes no more than a third of the hosts out for a while.
        """
        world = World(workers=3)
        for number in range(10):
            world.submit(str(number), processors=2, work=500, fail="always")
        most = 0
        for _ in range(160):
            world.run(0.25)
            states = [it.state for it in world.cells()["s.r0"].workers.values()]
            most = max(most, states.count(WorkerState.QUARANTINED))
        self.assertEqual(world.count_ended(), 10)
        for job in world.jobs().values():
            self.assertEqual(job.state, JobState.FAILED)
            self.assertIn("failed 5 times on w0", job.reason)
        self.assertLessEqual(most, 1)


if __name__ == "__main__":
    unittest.main()
