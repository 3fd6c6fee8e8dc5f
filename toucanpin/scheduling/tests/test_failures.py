"""Lost answers, silent workers, replaced owners and outages of the table."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from toucanpin.scheduling.authority import OWNER_AUTHORITY_S
from toucanpin.scheduling.ending import RETRY_DELAY_S
from toucanpin.scheduling.intake import cancel_job
from toucanpin.scheduling.job import Step
from toucanpin.scheduling.leases import LEASE_S
from toucanpin.scheduling.orders import RefusalReason, StartAnswer
from toucanpin.scheduling.placing import place_tasks
from toucanpin.scheduling.progress import JobState
from toucanpin.scheduling.starting import StartOutcome, apply_start_answer
from toucanpin.scheduling.tests.fleet import Fleet, make_job
from toucanpin.scheduling.worker import Phase
from toucanpin.scheduling.write_batches import apply_batch, take_batch


class LostAnswerTest(unittest.TestCase):
    def test_unanswered_start_runs_once(self) -> None:
        """
        A worker doesn't answer a start and carries it out 6 s later. Guards against a second run:
        the owner may place the task elsewhere only once the worker has acknowledged a stop.
        """
        fleet = Fleet()
        for worker in fleet.workers.values():
            worker.delays_orders = True
        fleet.submit(make_job())
        fleet.run(1.0)
        for worker in fleet.workers.values():
            worker.delays_orders = False
        fleet.run(10.0)
        self.assertEqual(JobState.COMPLETED, fleet.state("j1"))
        self.assertFalse(fleet.duplicate_runs)
        starts = [start for worker in fleet.workers.values() for start in worker.starts]
        self.assertEqual(1, len(starts))

    def test_task_leaves_a_worker_that_answers_no_start(self) -> None:
        """
        A worker answers polls and stops, but each start on it fails without a definite answer.
        Guards against a start that is repeated there for ever, beside an idle worker: a task's turn
        has to come within 14 s.
        """
        fleet = Fleet()
        fleet.run(0.5)
        fleet.workers["w0"].loses_starts = True
        fleet.submit(make_job())
        fleet.run(14.0)
        self.assertEqual(JobState.COMPLETED, fleet.state("j1"))
        self.assertFalse(fleet.duplicate_runs)

    def test_cancelled_job_is_not_started_by_a_late_order(self) -> None:
        """
        A job is cancelled while a start has no answer, and the worker would carry the start out 6 s
        later. The stop that it acknowledged has to prevent that.
        """
        fleet = Fleet(workers=1)
        fleet.workers["w0"].delays_orders = True
        fleet.submit(make_job())
        fleet.run(0.5)
        cancel_job(fleet.cell, "j1", fleet.now())
        fleet.run(0.5)
        fleet.workers["w0"].delays_orders = False
        fleet.run(10.0)
        self.assertFalse(fleet.workers["w0"].starts)

    def test_ends_are_acknowledged_only_once_they_are_written(self) -> None:
        """
        The table is down as a task ends. The worker forgets an acknowledged end, so an owner that
        died before the write would run the task a second time.
        """
        fleet = Fleet(workers=1)
        fleet.submit(make_job())
        fleet.run(0.5)
        fleet.store_up = False
        fleet.run(2.0)
        self.assertEqual(0, fleet.workers["w0"].acknowledged)
        self.assertNotEqual(JobState.COMPLETED, fleet.state("j1"))
        fleet.store_up = True
        fleet.run(0.2)
        self.assertEqual(1, fleet.workers["w0"].acknowledged)
        self.assertEqual(JobState.COMPLETED, fleet.state("j1"))


class RefusedStartTest(unittest.TestCase):
    def test_refused_start_is_not_repeated(self) -> None:
        """
        A worker refuses a start for lack of capacity, and the task is placed elsewhere. A repeated
        start could succeed a moment later, and the task would run twice.
        """
        fleet = Fleet()
        fleet.run(0.2)
        fleet.submit(make_job())
        place_tasks(fleet.cell, fleet.model, fleet.now())
        batch = take_batch(fleet.cell)
        (run,) = apply_batch(fleet.cell, batch)
        worker = fleet.cell.workers[run.worker]
        answer = StartAnswer(0, RefusalReason.NO_ROOM)
        self.assertIs(
            StartOutcome.SETTLED, apply_start_answer(fleet.cell, worker, run, answer, fleet.now())
        )
        self.assertIs(Phase.ENDED, run.phase)
        place_tasks(fleet.cell, fleet.model, fleet.now())
        (again,) = apply_batch(fleet.cell, take_batch(fleet.cell))
        self.assertNotEqual(run.worker, again.worker)

    def test_malformed_start_is_retried_with_a_delay(self) -> None:
        """Guards against a loop of placements, writes and refusals as fast as the store answers."""
        fleet = Fleet()
        for worker in fleet.workers.values():
            worker.refusals_left = 1_000
            worker.refusal = RefusalReason.MALFORMED
        fleet.submit(make_job())
        fleet.run(5.0)
        (record,) = fleet.cell.jobs["j1"].progress.tasks[0]
        self.assertLessEqual(record.attempt, 5.0 / RETRY_DELAY_S + 1)

    def test_undelivered_stop_is_sent_again(self) -> None:
        """
        A job is cancelled as its owner is replaced. The next owner knows the job's runs before it
        is connected to any worker, so its first stop can't be sent. Guards against a task that runs
        on.
        """
        fleet = Fleet(workers=1)
        fleet.workers["w0"].duration = 60.0
        fleet.submit(make_job(steps=(Step(cpu=1_000, long_running=True),)))
        fleet.run(0.5)
        fleet.replace_owner()
        cancel_job(fleet.cell, "j1", fleet.now())
        fleet.cell.orders.clear()
        fleet.run(1.0)
        self.assertFalse(fleet.workers["w0"].runs)


class SilentWorkerTest(unittest.TestCase):
    def test_late_end_completes_a_waiting_task(self) -> None:
        """
        A disconnected worker completes a task before the lease expires, and reports the end once
        the task waits for another placement. Guards against acknowledging the end without counting
        it, so that the task runs a second time.
        """
        fleet = Fleet(workers=1)
        fleet.submit(make_job())
        fleet.run(0.3)
        fleet.workers["w0"].silent = True
        fleet.run(OWNER_AUTHORITY_S + 6.0)
        fleet.workers["w0"].silent = False
        fleet.run(5.0)
        self.assertEqual(JobState.COMPLETED, fleet.state("j1"))
        self.assertEqual(1, len(fleet.workers["w0"].starts))

    def test_late_end_cancels_an_unsent_start(self) -> None:
        """
        As above, but the task has a new placement that isn't written yet. Nothing was sent, so the
        placement is dropped and the task isn't started again.
        """
        fleet = Fleet(workers=1)
        fleet.submit(make_job())
        fleet.run(0.3)
        fleet.workers["w0"].silent = True
        fleet.run(OWNER_AUTHORITY_S + 6.0)
        fleet.add_worker("w1")
        fleet.store_up = False
        fleet.run(0.2)
        fleet.workers["w0"].silent = False
        fleet.run(0.2)
        fleet.store_up = True
        fleet.run(2.0)
        self.assertEqual(JobState.COMPLETED, fleet.state("j1"))
        self.assertFalse(fleet.workers["w1"].starts)

    def test_late_end_stops_the_second_run(self) -> None:
        """
        As above, but the task already runs elsewhere. Guards against losing the end: the second run
        may be preempted repeatedly, and the task was started five times after it was done.
        """
        fleet = Fleet(workers=1)
        fleet.submit(make_job())
        fleet.run(0.3)
        fleet.workers["w0"].silent = True
        fleet.run(OWNER_AUTHORITY_S + 6.0)
        fleet.add_worker("w1").duration = 60.0
        fleet.run(1.0)
        self.assertEqual(1, len(fleet.workers["w1"].runs))
        fleet.workers["w0"].silent = False
        fleet.run(1.0)
        self.assertEqual(JobState.COMPLETED, fleet.state("j1"))
        self.assertFalse(fleet.workers["w1"].runs)

    def test_task_moves_only_after_the_lease_expires(self) -> None:
        """
        A disconnected worker keeps running its task. Guards against a second run elsewhere before
        the granted lease has certainly expired.
        """
        fleet = Fleet()
        for worker in fleet.workers.values():
            worker.duration = 30.0
        fleet.run(OWNER_AUTHORITY_S + 1.0)  # the first owner too waits for an earlier one's leases
        fleet.submit(make_job())
        fleet.run(1.0)
        holder = next(worker for worker in fleet.workers.values() if worker.runs)
        holder.silent = True
        fleet.run(LEASE_S - 1.0)
        self.assertEqual(1, sum(len(worker.runs) for worker in fleet.workers.values()))
        fleet.run(3.0)
        self.assertFalse(fleet.duplicate_runs)
        others = [worker for worker in fleet.workers.values() if worker is not holder]
        self.assertTrue(any(worker.runs for worker in others))

    def test_unsent_start_moves_at_once(self) -> None:
        """
        A worker becomes silent while a placement on it is written. Nothing was sent, so nothing can
        run there. Guards against a task that waits nearly five seconds for the lease to expire
        although another worker has free capacity.
        """
        fleet = Fleet()
        fleet.run(OWNER_AUTHORITY_S + 1.0)
        fleet.store_up = False
        fleet.submit(make_job())
        fleet.run(0.1)
        (run,) = fleet.cell.placed
        fleet.workers[run.worker].silent = True
        fleet.run(0.1)
        fleet.store_up = True
        fleet.run(0.5)
        self.assertEqual(1, sum(len(worker.starts) for worker in fleet.workers.values()))
        fleet.run(1.5)
        self.assertEqual(JobState.COMPLETED, fleet.state("j1"))

    def test_worker_that_reconnects_in_time_keeps_its_tasks(self) -> None:
        fleet = Fleet()
        fleet.submit(make_job())
        fleet.run(0.5)
        holder = next(worker for worker in fleet.workers.values() if worker.runs)
        holder.silent = True
        fleet.run(2.0)
        holder.silent = False
        fleet.run(1.0)
        self.assertEqual(JobState.COMPLETED, fleet.state("j1"))
        self.assertEqual(1, sum(len(worker.starts) for worker in fleet.workers.values()))

    def test_stalled_tasks_move(self) -> None:
        fleet = Fleet(workers=1)
        fleet.workers["w0"].stuck = True
        fleet.submit(make_job())
        fleet.run(0.5)
        fleet.add_worker("w1")
        fleet.run(4.0)
        self.assertEqual(JobState.COMPLETED, fleet.state("j1"))
        self.assertFalse(fleet.duplicate_runs)


class ReplacedOwnerTest(unittest.TestCase):
    def test_new_owner_adopts_running_tasks(self) -> None:
        fleet = Fleet()
        for worker in fleet.workers.values():
            worker.duration = 3.0
        fleet.submit(make_job(steps=(Step(count=4, cpu=1_000),)))
        fleet.run(1.0)
        fleet.replace_owner()
        fleet.run(4.0)
        self.assertEqual(JobState.COMPLETED, fleet.state("j1"))
        self.assertEqual(4, sum(len(worker.starts) for worker in fleet.workers.values()))

    def test_silent_worker_delays_only_its_own_tasks(self) -> None:
        """
        The owner dies while a worker is disconnected. The worker may hold a lease as long as the
        old owner's authority. Guards against delaying tasks that can't run there.
        """
        fleet = Fleet()
        for worker in fleet.workers.values():
            worker.duration = 30.0
        fleet.submit(make_job("j1"))
        fleet.run(1.0)
        holder = next(worker for worker in fleet.workers.values() if worker.runs)
        holder.silent = True
        fleet.replace_owner()
        fleet.submit(make_job("j2"))
        fleet.run(0.5)
        other = next(worker for worker in fleet.workers.values() if worker is not holder)
        self.assertEqual({"j2"}, {task.job for task in other.runs})
        fleet.run(OWNER_AUTHORITY_S + 2.0)
        self.assertEqual({"j1", "j2"}, {task.job for task in other.runs})
        self.assertFalse(fleet.duplicate_runs)

    def test_unlisted_worker_may_still_run_a_task(self) -> None:
        """
        A worker is disconnected until its entry is gone, then the owner dies. The next owner knows
        the worker from the job's row only, and must still wait for its lease to expire.
        """
        fleet = Fleet()
        for worker in fleet.workers.values():
            worker.duration = 30.0
        fleet.submit(make_job("j1"))
        fleet.run(1.0)
        holder = next(worker for worker in fleet.workers.values() if worker.runs)
        holder.silent = True
        fleet.unlisted.add(holder.entry.id)
        fleet.replace_owner()
        fleet.run(LEASE_S - 1.0)
        self.assertEqual(1, sum(len(worker.runs) for worker in fleet.workers.values()))
        fleet.run(OWNER_AUTHORITY_S)
        self.assertFalse(fleet.duplicate_runs)
        self.assertEqual(2, sum(len(worker.starts) for worker in fleet.workers.values()))

    def test_stop_without_a_connection_is_sent_again(self) -> None:
        """
        The owner dies before it starts a gang. The next one finds a member missing on one worker
        and stops the other, on a worker to which it isn't connected yet. Guards against a gang that
        waits for ever for the end of a member that never started.
        """
        fleet = Fleet(cpu=1_000)
        fleet.run(0.5)
        fleet.submit(make_job(steps=(Step(count=2, cpu=1_000, gang=True),)))
        place_tasks(fleet.cell, fleet.model, fleet.now())
        fleet.rows.update(take_batch(fleet.cell).records)
        fleet.unlisted.add("w1")
        fleet.replace_owner()
        fleet.run(0.5)
        fleet.unlisted.clear()
        fleet.run(10.0)
        self.assertEqual(JobState.COMPLETED, fleet.state("j1"))

    def test_unwritten_placement_is_never_started(self) -> None:
        fleet = Fleet()
        fleet.run(0.2)
        fleet.store_up = False
        fleet.submit(make_job())
        fleet.run(2.0)
        self.assertFalse(any(worker.starts for worker in fleet.workers.values()))


class OutageTest(unittest.TestCase):
    def test_leases_are_renewed_for_a_limited_time_in_an_outage(self) -> None:
        """
        The table is down. Long-running tasks must survive that, but once the owner's authority has
        ended another owner may exist, so renewals must end.
        """
        fleet = Fleet(workers=1)
        fleet.workers["w0"].duration = 60.0
        fleet.submit(make_job(steps=(Step(cpu=1_000, long_running=True),)))
        fleet.run(1.0)
        fleet.store_up = False
        fleet.run(OWNER_AUTHORITY_S - 0.5)
        self.assertTrue(fleet.workers["w0"].runs)
        fleet.run(1.5)
        self.assertFalse(fleet.workers["w0"].runs)


class RandomFaultsTest(unittest.TestCase):
    @settings(max_examples=40, deadline=None, derandomize=True)
    @given(
        faults=st.lists(
            st.tuples(
                st.sampled_from(["silent", "deaf", "owner", "store", "fail", "cancel", "restart"]),
                st.integers(0, 2),
                st.floats(0.2, 4.0),
            ),
            min_size=1,
            max_size=6,
        )
    )
    def test_no_task_runs_twice_under_random_faults(self, faults) -> None:
        """
        Workers become silent, answer late or restart, owners die and the table is down, in any
        order. No
        task may run in two places, and all jobs that weren't cancelled must complete in the end.
        """
        fleet = Fleet(workers=3)
        for number in range(3):
            steps = (Step(count=2, cpu=1_000), Step(cpu=1_000, after=(0,)))
            fleet.submit(make_job(f"j{number}", steps, max_failures=50))
        for kind, number, seconds in faults:
            worker = fleet.workers[f"w{number}"]
            match kind:
                case "silent":
                    worker.silent = True
                case "deaf":
                    worker.delays_orders = True
                case "owner":
                    fleet.replace_owner()
                case "store":
                    fleet.store_up = False
                case "fail":
                    worker.failing = True
                case "restart":
                    worker = fleet.restart(f"w{number}")
                case "cancel":
                    cancel_job(fleet.cell, f"j{number}", fleet.now())
            fleet.run(seconds)
            fleet.store_up = True
            worker.silent = worker.delays_orders = worker.failing = False
        fleet.run(30.0)
        self.assertFalse(fleet.duplicate_runs)
        for number in range(3):
            self.assertIn(fleet.state(f"j{number}"), (JobState.COMPLETED, JobState.CANCELLED))


if __name__ == "__main__":
    unittest.main()
