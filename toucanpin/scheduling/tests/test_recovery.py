"""Recovery of every job once all faults are over."""

from __future__ import annotations

import dataclasses
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from standins.site.worker_core import WorkerCore
from toucanpin.scheduling.intake import cancel_job
from toucanpin.scheduling.job import Step
from toucanpin.scheduling.orders import RefusalReason
from toucanpin.scheduling.placing import place_tasks
from toucanpin.scheduling.progress import JobState
from toucanpin.scheduling.tests.fleet import Fleet, make_job
from toucanpin.scheduling.write_batches import take_batch

WORKERS = 4
FINISH_S = 14.0  # after the last fault, in which every job has to end
FAULTS = (
    "silent",
    "late orders",
    "failing",
    "stalled",
    "refusing",
    "draining",
    "shrunk",
    "restarted",
    "restarted with its clock back",
    "gone",
    "owner killed",
    "owner killed before it starts what it placed",
    "table down",
    "job cancelled",
)
JOBS = (
    (Step(count=2, cpu=1_000), Step(cpu=1_000, after=(0,))),
    (Step(count=2, cpu=1_000, gang=True),),
    (Step(count=2, cpu=1_000, speculative=True),),
    (Step(count=2, cpu=500, per_worker=1),),
    (Step(count=2, cpu=1_000, memory=500, image="i", best_effort=True),),
)


class RandomFaultsTest(unittest.TestCase):
    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(
        faults=st.lists(
            st.tuples(
                st.lists(
                    st.tuples(st.sampled_from(FAULTS), st.integers(0, WORKERS - 1)),
                    min_size=1,
                    max_size=3,
                ),
                st.floats(0.1, 4.0),
            ),
            min_size=1,
            max_size=5,
        )
    )
    def test_every_job_ends_after_random_faults(self, faults) -> None:
        """
        Workers, owners and the table fail in any order, some at the same time, and recover. Guards
        against a task that is neither waiting nor running, or that waits for an event that never
        comes, while its fleet is idle.
        """
        fleet = Fleet(workers=WORKERS)
        for number, steps in enumerate(JOBS):
            fleet.submit(make_job(f"j{number}", steps, max_failures=50))
        for kinds, seconds in faults:
            for kind, number in kinds:
                _disrupt(fleet, kind, number)
            _run_introducing(fleet, seconds)
            _repair(fleet)
        _run_introducing(fleet, FINISH_S)
        ended = (JobState.COMPLETED, JobState.CANCELLED)
        late = [name for name in fleet.jobs if fleet.state(name) not in ended]
        self.assertFalse(late)
        # A step may allow copies of its tasks to run at the same time.
        found = {task: fleet.jobs[task.job].steps[task.step] for task in fleet.duplicate_runs}
        self.assertFalse([task for task, step in found.items() if not step.speculative])


def _disrupt(fleet: Fleet, kind: str, number: int) -> None:
    name = f"w{number}"
    worker = fleet.workers.get(name) or WorkerCore(fleet.workers["w0"].entry)
    match kind:
        case "silent":
            worker.silent = True
        case "late orders":
            worker.delays_orders = True
        case "failing":
            worker.failing = True
        case "stalled":
            worker.stuck = True
        case "refusing":
            worker.refusals_left = 1_000
            worker.refusal = RefusalReason.UNHEALTHY
        case "draining":
            worker.entry = dataclasses.replace(worker.entry, ready=False)
        case "shrunk":
            worker.entry = dataclasses.replace(worker.entry, cpu=500)
        case "restarted" if name in fleet.workers:
            fleet.restart(name)
        case "restarted with its clock back" if name in fleet.workers:
            fleet.restart(name, born=worker.entry.born - 500)
        case "gone" if number:
            fleet.workers.pop(name, None)
        case "owner killed":
            _replace_owner(fleet)
        case "owner killed before it starts what it placed":
            place_tasks(fleet.cell, fleet.model, fleet.now())
            fleet.rows.update(take_batch(fleet.cell).records)
            _replace_owner(fleet)
        case "table down":
            fleet.store_up = False
        case "job cancelled":
            cancel_job(fleet.cell, f"j{number}", fleet.now())


def _replace_owner(fleet: Fleet) -> None:
    """Replace the owner by one that isn't connected to any worker yet."""
    fleet.replace_owner()
    fleet.unlisted.update(fleet.workers)


def _run_introducing(fleet: Fleet, seconds: float) -> None:
    """Advance the virtual clock, while one more worker gets connected every now and then."""
    until = fleet.time + seconds
    while fleet.time < until:
        fleet.run(0.2)
        for name in sorted(fleet.unlisted)[:1]:
            fleet.unlisted.discard(name)


def _repair(fleet: Fleet) -> None:
    fleet.store_up = True
    for worker in fleet.workers.values():
        worker.silent = worker.delays_orders = worker.failing = worker.stuck = False
        worker.refusals_left = 0
        worker.entry = dataclasses.replace(worker.entry, ready=True, cpu=4_000)


if __name__ == "__main__":
    unittest.main()
