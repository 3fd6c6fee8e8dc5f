"""Tests of lost, frozen, leaving and faulty workers."""

import unittest

from toucanpin.bundles.schema import Bundle, Limits, StandingTask
from toucanpin.placement.records import JobState, WorkerState
from toucanpin.placement.tests.helpers import find_gaps, start_standing
from toucanpin.placement.tests.world import World, describe_work
from toucanpin.platform.ports import Poll, Size, Start

LEASE_MS = 5_000
MAX_GAP_MS = 6_000


class WorkerTest(unittest.TestCase):
    """Workers that are lost, frozen, drained or quarantined."""

    def test_lost_worker_costs_one_lease(self):
        """
        A task of a dead worker is started elsewhere as soon as its lease has ended, so the gap is
        little more than a lease.
        """
        world = start_standing(processes=2)
        world.kill_worker(world.running("enc")[0])
        world.run(15)
        (gap,) = find_gaps(world, "enc")
        self.assertTrue(LEASE_MS - 1_000 <= gap <= MAX_GAP_MS, gap)

    def test_resumed_worker_runs_nothing_of_its_past(self):
        """
        The worker freezes and its task is started elsewhere.  When it resumes with the polls that
        arrived meanwhile, its guard stops the old attempt first, and the delayed polls neither
        renew nor start anything.
        """
        world = start_standing(processes=2)
        worker = world.running("enc")[0]
        world.pause_worker(worker)
        world.run(15)
        self.assertNotEqual(world.running("enc"), [worker])
        world.resume_worker(worker)
        world.run(10)
        self.assertEqual(len(world.running("enc")), 1)
        self.assertNotIn("enc", [it.start.task for it in world.cores[worker]._list_running()])

    def test_delayed_start_is_refused_after_the_worker_was_lost(self):
        """
        A start is delayed in the network until its worker has been declared lost, the job has been
        started elsewhere and the worker has a new lease.  The worker refuses the start by its old
        epoch, so the job runs once.
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
        self.assertFalse(owner.state.cells["s.r0"].links[record.worker].lease_expired)
        for poll in starts:
            report = world.cores[record.worker].poll(int(world.now * 1000), poll)
            self.assertFalse(report.accepted)
        world.run(25)
        self.assertEqual(world.count_ended(), 1)

    def test_leaving_worker_is_drained(self):
        """
        A leaving host gets no new tasks.  Its job resumes elsewhere from the checkpoint written at
        the stop, so that little work is repeated.
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

    def test_worker_smaller_than_listed_receives_no_larger_task(self):
        """
        According to the list the job fits on both hosts, but one reports a smaller size.  The job
        runs on the other host at its first attempt.
        """
        world = World(workers=2)
        world.cores["w00"].size = Size(2, 8_000, 1)
        world.run(2)
        world.submit("a", processors=4, work=500)
        world.run(4)
        (job,) = world.jobs().values()
        self.assertEqual((job.state, job.attempt), (JobState.FINISHED, 1))

    def test_standing_task_that_fails_at_once_is_backed_off(self):
        """
        The delays between its attempts double up to a minute, so that it doesn't keep hosts and the
        table busy.  Its failures don't count against the hosts.
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

    def test_job_that_crashes_its_workers_fails(self):
        """Without a bound on lost workers a job would crash one worker after the other."""
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

    def test_uncommitted_task_is_stopped_and_forgotten(self):
        """
        A worker runs a task that no row commits to it.  The task is stopped and dropped from the
        worker's reports, so that it doesn't run besides the committed ones.
        """
        world = World(workers=1)
        world.run(3)
        size = Size(1, 1, 0)
        start = Start("ghost", 1, "k", size, describe_work(90_000).encode(), "", "x", False)
        core = world.cores["w00"]
        core.poll(int(world.now * 1000), Poll(1, "", 0, (start,)))
        self.assertEqual([it.start.task for it in core._list_running()], ["ghost"])
        world.run(3)
        self.assertEqual(core._attempts, {})

    def test_resume_from_the_newest_accepted_checkpoint(self):
        """
        A job whose worker dies resumes from the newest checkpoint in its cell's row, not from an
        older one or from the start.
        """
        world = World(workers=2)
        world.submit("a", work=30_000)
        world.run(14)
        (record,) = world.cells()["s.r0"].tasks.values()
        self.assertTrue(record.checkpoint)
        self.assertEqual(record.checkpoint, max(world.objects.names("checkpoint/")))
        world.kill_worker(record.worker)
        world.run(10)
        live = [it for core in world.cores.values() for it in core._list_running()]
        self.assertIn(record.checkpoint, [it.start.checkpoint for it in live])

    def test_worker_that_fails_every_task_is_quarantined(self):
        """
        Three consecutive first failures quarantine the worker.  The jobs finish on other workers,
        and the failures don't fail them.
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

    def test_jobs_that_fail_everywhere_end_and_few_hosts_are_quarantined(self):
        """
        The reason of such a failed job names the hosts.  Many such jobs quarantine at most a third
        of the hosts at a time.
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
