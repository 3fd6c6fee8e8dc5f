"""
Processing of worker reports
============================

Turn the reports of workers, and the absence of reports, into changes of the cell's row: attempts
that have finished, failed, stopped or been lost.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from toucanpin.bundles.schema import Limits
from toucanpin.placement import lifecycle
from toucanpin.placement.actions import Decision, RecordEvent
from toucanpin.placement.cells import Cell, StopReason, WorkerLink
from toucanpin.placement.lifecycle import Change
from toucanpin.placement.ownership import list_changed_workers
from toucanpin.placement.records import TaskRecord, WorkerRow, WorkerState
from toucanpin.placement.standing import is_removed, refresh_record
from toucanpin.placement.state import ClusterView, ControlState
from toucanpin.placement.writing import split_changes, write_cell
from toucanpin.platform.ports import TaskReport, TaskState

__all__ = ["process_reports"]

FAULTS_TO_QUARANTINE = 3
REFUSED_PREFIX = "refused: "


def process_reports(state: ControlState, view: ClusterView) -> Decision[None]:
    """Commit the changes that follow from the reports of each cell's workers."""
    for cell in state.cells_after(state.last_reported_cell):
        if cell.stale or not state.health.may_commit_reports():
            continue
        workers = list_changed_workers(cell.row, view, cell.name)
        lost = _find_lost(state, cell, view.now)
        changes: list[Change] = list(_apply_cancellations(cell))
        for worker in cell.row.workers.values():
            if worker.name in lost:
                changes.extend(_requeue_all(cell, worker, view))
                workers[worker.name] = msgspec.structs.replace(worker, state=WorkerState.LOST)
            else:
                changes.extend(_process_worker(state, cell, worker, workers, view))
        merged: dict[str, WorkerRow | None] = {
            **workers,
            **dict.fromkeys(_find_removed(cell, view)),
        }
        if changes or merged or lost:
            state.last_reported_cell = cell.name
            yield from _write(state, cell, changes, merged, lost, view.now)


def _write(
    state: ControlState,
    cell: Cell,
    changes: list[Change],
    workers: dict[str, WorkerRow | None],
    lost: set[str],
    now: float,
) -> Decision[None]:
    """Commit the changes in groups; the first one also raises the epoch if workers were lost."""
    # A start that was sent to a lost worker may still be in flight.  If it arrived after the
    # worker has a lease again, the task would run there and elsewhere.  With the higher epoch the
    # worker refuses it from our next poll on, and before that poll it has no lease.
    epoch = cell.row.epoch + 1 if lost else None
    unproven = cell.unproven_owners(state.watch, now)
    groups = list(split_changes(changes)) or [[]]
    for group in groups:
        written = yield from write_cell(cell, state.health, group, workers, epoch, unproven)
        if not written:
            return
        epoch = None
    for name in sorted(lost):
        yield RecordEvent("worker.lost", {"host": name, "cell": cell.name})


def _find_lost(state: ControlState, cell: Cell, now: float) -> set[str]:
    """Return the unreachable workers whose committed tasks are proven to have stopped."""
    lost: set[str] = set()
    for worker in cell.row.workers.values():
        link = cell.link(worker.name)
        records = cell.tasks_on(worker.name)
        if not records or not link.failed:
            continue
        incarnations = {it.incarnation for it in records}
        if all(cell.has_stopped(worker.name, it, state.watch, now) for it in incarnations):
            lost.add(worker.name)
    return lost


def _find_removed(cell: Cell, view: ClusterView) -> list[str]:
    """Return the unlisted, unreachable workers without committed tasks."""
    listed = view.workers
    return [
        name
        for name in cell.row.workers
        if name not in listed and cell.link(name).failed and not cell.tasks_on(name)
    ]


def _requeue_all(cell: Cell, worker: WorkerRow, view: ClusterView) -> Iterator[Change]:
    """Yield the change that requeues or ends each task on a lost worker."""
    for record in cell.tasks_on(worker.name):
        reported = cell.link(worker.name).tasks.get((record.task, record.attempt))
        checkpoint = reported.checkpoint if reported else ""
        yield _end_lost(cell, record, worker, checkpoint, view)


def _process_worker(
    state: ControlState,
    cell: Cell,
    worker: WorkerRow,
    workers: dict[str, WorkerRow],
    view: ClusterView,
) -> Iterator[Change]:
    """Yield the changes that follow from the newest report of one worker."""
    link = cell.link(worker.name)
    if link.failed or not link.incarnation:
        return
    _reactivate(state, link, worker, workers, view)
    for record in cell.tasks_on(worker.name):
        if record.incarnation != link.incarnation:
            # A new agent doesn't prove that its predecessor has ended: it may only be paused.
            if cell.has_stopped(worker.name, record.incarnation, state.watch, view.now):
                yield _end_lost(cell, record, worker, "", view)
            continue
        reported = link.tasks.get((record.task, record.attempt))
        if reported is not None:
            change = _process_task(cell, record, reported, worker, workers, view)
            if change is not None:
                _back_off_bad_start(state, cell, record, reported, view.now)
                yield change


def _back_off_bad_start(
    state: ControlState, cell: Cell, record: TaskRecord, reported: TaskReport, now: float
) -> None:
    """Back off a refused start, or a standing task that ended, to avoid a busy loop."""
    refused = reported.detail.startswith(REFUSED_PREFIX)
    ended = record.standing and reported.state in (TaskState.FAILED, TaskState.FINISHED)
    if refused or ended:
        options = state.options
        cell.back_off(record.task, now, options.restart_backoff, options.max_restart_backoff)


def _reactivate(
    state: ControlState,
    link: WorkerLink,
    worker: WorkerRow,
    workers: dict[str, WorkerRow],
    view: ClusterView,
) -> None:
    """Reactivate a lost worker that answers again, or one whose quarantine is over."""
    if worker.state is WorkerState.LOST:
        workers[worker.name] = msgspec.structs.replace(
            workers.get(worker.name, worker), state=WorkerState.ACTIVE, incarnation=link.incarnation
        )
    if worker.state is not WorkerState.QUARANTINED:
        return
    link.quarantined_at = link.quarantined_at or view.now
    if view.now - link.quarantined_at >= state.options.quarantine:
        link.quarantined_at = 0.0
        workers[worker.name] = msgspec.structs.replace(
            worker, state=WorkerState.ACTIVE, faults=FAULTS_TO_QUARANTINE - 1
        )


def _process_task(
    cell: Cell,
    record: TaskRecord,
    reported: TaskReport,
    worker: WorkerRow,
    workers: dict[str, WorkerRow],
    view: ClusterView,
) -> Change | None:
    """Return the change that follows from the report of one attempt, if any."""
    match reported.state:
        case TaskState.RUNNING:
            if reported.checkpoint and reported.checkpoint != record.checkpoint:
                return lifecycle.accept_checkpoint(record, reported.checkpoint)
            return None
        case TaskState.FINISHED:
            if record.standing:
                return _end_failed(cell, record, reported, worker, workers, view)
            if record.task in cell.closed:
                return _drop_task(cell, record)
            _clear_faults(worker, workers)
            return lifecycle.finish(
                cell.name, record, lifecycle.name_result(record.task, record.attempt)
            )
        case TaskState.FAILED if not reported.detail.startswith(REFUSED_PREFIX):
            return _end_failed(cell, record, reported, worker, workers, view)
        case _:
            return _end_stopped(cell, record, reported.checkpoint, view)


def _drop_task(cell: Cell, record: TaskRecord) -> Change:
    """Drop a task whose job has already ended, with its cancellation request if one was read."""
    version = cell.cancels.get(record.task)
    if version is None:
        return Change("task.cancel", record.task, None)
    return lifecycle.cancel(cell.name, record.task, version, None)


def _end_lost(
    cell: Cell, record: TaskRecord, worker: WorkerRow, checkpoint: str, view: ClusterView
) -> Change:
    """Return the change for a task whose worker was lost, possibly crashed by the task."""
    expected = worker.state is WorkerState.LEAVING or record.task in cell.stopping
    if expected or record.task in cell.cancels or record.task in cell.closed:
        return _end_stopped(cell, record, checkpoint, view)
    limits = view.bundle.limits if view.bundle else Limits()
    return lifecycle.requeue_lost(cell.name, record, checkpoint, limits.max_attempts)


def _end_stopped(cell: Cell, record: TaskRecord, checkpoint: str, view: ClusterView) -> Change:
    """Return the change for a task that was stopped before it ended."""
    reason = cell.stopping.get(record.task)
    if record.task in cell.cancels or record.task in cell.closed:
        return _drop_task(cell, record)
    if reason in (StopReason.REMOVE, StopReason.REPLACE) and view.bundle is not None:
        # A newer bundle may have added the task again while it was being stopped.
        if is_removed(record, view.bundle):
            return lifecycle.remove_standing(
                cell.name, record, record.job_version, view.bundle.version, None
            )
        record = refresh_record(record, view.bundle)
    evicted = reason is StopReason.EVICT
    return lifecycle.requeue(cell.name, record, checkpoint, evicted)


def _end_failed(
    cell: Cell,
    record: TaskRecord,
    reported: TaskReport,
    worker: WorkerRow,
    workers: dict[str, WorkerRow],
    view: ClusterView,
) -> Change:
    """Count a failure against the task or its worker, or drop a cancelled task."""
    if record.task in cell.stopping or record.task in cell.closed:
        return _end_stopped(cell, record, reported.checkpoint, view)
    at_fault = worker.state is WorkerState.QUARANTINED
    if not record.standing:
        _count_fault(cell, record, worker, workers)
    limits = view.bundle.limits if view.bundle else Limits()
    return lifecycle.fail(
        cell.name,
        record,
        reported.checkpoint,
        limits.max_attempts,
        reported.detail or "ended by itself",
        counts=not at_fault,
    )


def _count_fault(
    cell: Cell, record: TaskRecord, worker: WorkerRow, workers: dict[str, WorkerRow]
) -> None:
    """
    Count a task's first failure against its worker; undo that if the task fails elsewhere too.

    At most a third of a cell's workers is quarantined, so that jobs that fail on every worker
    cannot take all of a cell out of service.
    """
    if not record.failed_on:
        current = workers.get(worker.name, worker)
        faults = current.faults + 1
        state = current.state
        if faults >= FAULTS_TO_QUARANTINE and _may_quarantine(cell, workers):
            state = WorkerState.QUARANTINED
        workers[worker.name] = msgspec.structs.replace(current, faults=faults, state=state)
        return
    first = record.failed_on[0]
    if first != worker.name and len(record.failed_on) == 1 and first in cell.row.workers:
        first_worker = workers.get(first, cell.row.workers[first])
        faults = max(0, first_worker.faults - 1)
        state = first_worker.state
        if state is WorkerState.QUARANTINED and faults < FAULTS_TO_QUARANTINE:
            state = WorkerState.ACTIVE
        workers[first] = msgspec.structs.replace(first_worker, faults=faults, state=state)


def _may_quarantine(cell: Cell, workers: dict[str, WorkerRow]) -> bool:
    newest = {**cell.row.workers, **workers}.values()
    quarantined = sum(it.state is WorkerState.QUARANTINED for it in newest)
    return len(newest) > 1 and quarantined < max(1, len(newest) // 3)


def _clear_faults(worker: WorkerRow, workers: dict[str, WorkerRow]) -> None:
    current = workers.get(worker.name, worker)
    if current.faults and current.state is WorkerState.ACTIVE:
        workers[worker.name] = msgspec.structs.replace(current, faults=0)


def _apply_cancellations(cell: Cell) -> Iterator[Change]:
    """Yield the cancellations of waiting tasks, and request the stop of running ones."""
    for task, version in list(cell.cancels.items()):
        waiting = cell.queue.get(task)
        if waiting is not None:
            yield lifecycle.cancel(cell.name, task, version, waiting)
        elif task in cell.row.tasks:
            cell.request_stop(task, StopReason.CANCEL)
        else:
            yield lifecycle.cancel(cell.name, task, version, None)
