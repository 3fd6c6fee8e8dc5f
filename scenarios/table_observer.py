"""
Table observer
==============

Record job outcomes, overcommitted workers and accepted bundles from changes of the platform's
table.
"""

from __future__ import annotations

from collections.abc import Callable

from scenarios.model import JobEnd
from scenarios.observations import JobOutcome, Observations, Violation
from standins.work import Work, compute_result
from toucanpin.placement.records import (
    CELL_PREFIX,
    JOB_PREFIX,
    CellRow,
    JobRow,
    JobState,
    decode,
)
from toucanpin.platform.ports import Row, Size

__all__ = ["TableObserver", "make_work"]

JOB_ENDS = {
    JobState.FINISHED: JobEnd.FINISHED,
    JobState.CANCELLED: JobEnd.CANCELLED,
    JobState.FAILED: JobEnd.FAILED,
}
MILLISECONDS = 1_000
VERSION_PREFIX = "bundle/version/"


def make_work(job: str, seconds: int) -> Work:
    """Return the work of a scenario's job."""
    return Work(work=seconds * MILLISECONDS, input=job)


class TableObserver:
    """
    Record job outcomes, overcommitted workers and accepted bundles.

    ``names`` maps the system's job ids to the scenario's names.
    """

    def __init__(
        self,
        read_object: Callable[[str], bytes | None],
        observations: Observations,
        capacity: Size,
        names: dict[str, str],
    ) -> None:
        self._read_object = read_object
        self._observations = observations
        self._capacity = capacity
        self._names = names
        self._ended: dict[str, JobRow] = {}

    def observe(self, now: float, row: Row) -> None:
        """Handle one changed row."""
        if row.key.startswith(CELL_PREFIX) and row.value:
            self._check_cell(now, decode(row.value, CellRow))
        elif row.key.startswith(VERSION_PREFIX):
            self._observations.accepted.setdefault(int(row.key.removeprefix(VERSION_PREFIX)), now)
        elif row.key.startswith(JOB_PREFIX) and row.value:
            self._record_job(now, decode(row.value, JobRow))

    def _check_cell(self, now: float, cell: CellRow) -> None:
        """Record the workers that are committed beyond their capacity."""
        # The sums are computed independently: the system's own could share the fault to be found.
        for worker in sorted({task.worker for task in cell.tasks.values()}):
            sizes = [task.size for task in cell.tasks.values() if task.worker == worker]
            for part in ("processors", "memory", "accelerators"):
                total = sum(getattr(size, part) for size in sizes)
                if total > getattr(self._capacity, part):
                    detail = f"{worker} is committed to {total} {part}"
                    self._observations.overcommitted.append(Violation(now, detail))

    def _record_job(self, now: float, row: JobRow) -> None:
        """Record the end of a job, and any different end after it."""
        if row.state not in JOB_ENDS or row == self._ended.get(row.job):
            return
        self._ended[row.job] = row
        correct = row.state is not JobState.FINISHED or self._is_correct(row)
        name = self._names.get(row.job, row.job)
        self._observations.jobs.append(JobOutcome(name, now, JOB_ENDS[row.state], correct))

    def _is_correct(self, row: JobRow) -> bool:
        """Return whether the result object of a finished job is correct."""
        name = self._names.get(row.job, row.job)
        return self._read_object(row.result) == compute_result(make_work(name, 0))
