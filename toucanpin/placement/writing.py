"""
Commits of cell changes
=======================

Commit the changes of a cell's tasks in as few transactions as the row limit allows, and handle
conflicts and lost answers.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence

import msgspec
from expression import Result

from toucanpin.placement import ledger
from toucanpin.placement.actions import Commit, Decision, RecordEvent
from toucanpin.placement.cells import Cell, StopReason
from toucanpin.placement.lifecycle import Change
from toucanpin.placement.records import (
    CellRow,
    ControllerId,
    JobRow,
    JobState,
    QueueRow,
    WorkerRow,
    decode,
    encode,
    job_key,
    queue_key,
)
from toucanpin.platform.ports import (
    ABSENT,
    MAX_TRANSACTION_ROWS,
    Committed,
    Conflict,
    Row,
    Transaction,
    Unavailable,
    Unknown,
    Write,
)

__all__ = ["TableHealth", "split_changes", "write_cell"]

MAX_CHANGE_ROWS = MAX_TRANSACTION_ROWS - 1  # one row is the cell's own
BASE_BACKOFF_S = 0.125
MAX_BACKOFF_S = 1.0
FAILURES_UNTIL_OUTAGE = 2  # consecutive


class TableHealth:
    """
    Availability of the table, and the budget of commits per turn.

    Without the budget all changes that accumulated during an outage would be written at once.
    """

    def __init__(self, budget: int) -> None:
        """Start with the table assumed to be available."""
        self.down = False
        self.recovered_at = 0.0
        self.commits = 0
        self.budget = budget
        self._commits_left = budget
        self._failures = 0
        self._retry_at = 0.0
        self._now = 0.0

    def begin_turn(self, now: float) -> None:
        """Reset the commit budget, and allow a retry if the table is down and the pause is over."""
        self._now = now
        self._commits_left = self.budget
        if self.down and now >= self._retry_at:
            self.down = False

    def may_commit(self) -> bool:
        """Return whether this turn may make another commit."""
        return not self.down and self._commits_left > 0

    def may_commit_reports(self) -> bool:
        """Return whether this turn may commit more reports; half the budget is for placement."""
        return not self.down and self._commits_left > self.budget // 2

    def count_commit(self) -> None:
        """Count one commit."""
        self.commits += 1
        self._commits_left -= 1

    def record_failure(self) -> None:
        """Record that the table did not answer; the back-off grows up to a second."""
        self.down = True
        self._failures += 1
        pause = min(MAX_BACKOFF_S, BASE_BACKOFF_S * 2 ** min(self._failures, 8))
        self._retry_at = self._now + pause

    def record_success(self, now: float) -> None:
        """Record that the table answered."""
        if self._failures >= FAILURES_UNTIL_OUTAGE:
            self.recovered_at = now
        self._failures = 0


def split_changes(changes: Sequence[Change]) -> Iterator[list[Change]]:
    """Yield the changes in groups that fit into one transaction with the cell's row."""
    group: list[Change] = []
    rows = 0
    for change in changes:
        if group and rows + len(change.writes) > MAX_CHANGE_ROWS:
            yield group
            group, rows = [], 0
        group.append(change)
        rows += len(change.writes)
    if group:
        yield group


def write_cell(
    cell: Cell,
    health: TableHealth,
    changes: Sequence[Change] = (),
    workers: Mapping[str, WorkerRow | None] | None = None,
    epoch: int | None = None,
    unproven: tuple[tuple[ControllerId, int], ...] | None = None,
) -> Decision[bool]:
    """
    Commit a group of changes with the cell's row; return whether that is known to have succeeded.

    ``workers`` are merged into the row; None removes a worker.
    """
    if cell.stale or not health.may_commit():
        return False
    after = _apply(cell.row, changes, workers, epoch, unproven)
    ledger.check_capacity(cell.row, after)
    writes = [Write(cell.key, cell.version, encode(after))]
    for change in changes:
        writes.extend(change.writes)
    token = f"{cell.name}/{after.epoch}/{cell.version}"
    health.count_commit()
    answer = yield Commit(Transaction(token, tuple(writes)))
    match answer.value:
        case Result(tag="ok", ok=Committed(version)):
            cell.row = after
            cell.version = version
            for change in changes:
                _update_memory(cell, change, version, answer.now)
                yield _make_event(cell, change)
            return True
        case Result(tag="error", error=Conflict(rows)):
            _handle_conflict(cell, rows, answer.now)
        case Result(tag="error", error=Unavailable()):
            health.record_failure()
        case Result(tag="error", error=Unknown()):
            # The write may have taken effect or may still do so.  No decision is based on the row
            # until it has been read back, and a late effect makes our next write conflict.
            cell.stale = True
            health.record_failure()
    return False


def _apply(
    row: CellRow,
    changes: Sequence[Change],
    workers: Mapping[str, WorkerRow | None] | None,
    epoch: int | None,
    unproven: tuple[tuple[ControllerId, int], ...] | None,
) -> CellRow:
    tasks = dict(row.tasks)
    for change in changes:
        if change.record is None:
            tasks.pop(change.task, None)
        else:
            tasks[change.task] = change.record
    return msgspec.structs.replace(
        row,
        tasks=tasks,
        workers=_merge_workers(row.workers, workers or {}),
        epoch=row.epoch if epoch is None else epoch,
        unproven=row.unproven if unproven is None else unproven,
    )


def _merge_workers(
    before: Mapping[str, WorkerRow], changed: Mapping[str, WorkerRow | None]
) -> dict[str, WorkerRow]:
    """Return the workers after merging changes; None removes a worker."""
    merged = {**before, **changed}
    return {name: worker for name, worker in merged.items() if worker is not None}


def _update_memory(cell: Cell, change: Change, version: int, now: float) -> None:
    """Update the cell in memory after a committed change."""
    if change.queued is not None:
        cell.queue.put(change.queued, version, now)
    else:
        cell.queue.drop(change.task)
    if change.record is None:
        cell.stopping.pop(change.task, None)
        cell.closed.discard(change.task)
        if change.queued is None:
            cell.payloads.pop(change.task, None)
            cell.backoffs.pop(change.task, None)
            cell.cancels.pop(change.task, None)


def _make_event(cell: Cell, change: Change) -> RecordEvent:
    ids = {"cell": cell.name, "task": change.task}
    if change.record is not None and change.record.worker:
        ids["host"] = change.record.worker
    standing = change.kind.startswith("standing.")
    if not standing:
        ids["job"] = change.task
    return RecordEvent(change.kind, ids, change.detail)


def _handle_conflict(cell: Cell, rows: Sequence[Row], now: float) -> None:
    """Update the cell from the rows that were not at the expected version."""
    for row in rows:
        if row.key == cell.key:
            cell.stale = True
            continue
        kind, _, rest = row.key.partition("/")
        task = rest.rpartition("/")[2]
        if kind == "queue" and row.key == queue_key(cell.name, task):
            cell.queue.drop(task)
            if row.version != ABSENT:
                cell.queue.put(decode(row.value, QueueRow).record, row.version, now)
        elif kind == "job" and row.key == job_key(task):
            _handle_job_conflict(cell, task, row)
        elif kind == "queue":
            cell.cancels.pop(task, None)


def _handle_job_conflict(cell: Cell, task: str, row: Row) -> None:
    """Mark a task as closed if another writer has already ended its job."""
    state = JobState.CANCELLED if row.version == ABSENT else decode(row.value, JobRow).state
    if state is not JobState.ACCEPTED:
        cell.closed.add(task)
        if task in cell.row.tasks:
            cell.request_stop(task, StopReason.CANCEL)
