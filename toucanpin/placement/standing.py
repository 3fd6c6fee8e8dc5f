"""
Standing tasks
==============

Reconcile the records of standing tasks with the bundle.  Each task has one record, which is
inserted once, removed when a newer bundle no longer names the task, and replaced when its
description changes.
"""

from __future__ import annotations

import msgspec
import xxhash
from expression import Result

from toucanpin.bundles.schema import Bundle, StandingTask
from toucanpin.placement import lifecycle
from toucanpin.placement.actions import Commit, Decision, RecordEvent
from toucanpin.placement.cells import Cell, StopReason
from toucanpin.placement.queue import WaitingTask, choose_cell
from toucanpin.placement.records import (
    QueueRow,
    StandingRow,
    TaskRecord,
    decode,
    encode,
    queue_key,
    standing_key,
)
from toucanpin.placement.state import ClusterView, ControlState
from toucanpin.placement.writing import split_changes, write_cell
from toucanpin.platform.ports import (
    ABSENT,
    Committed,
    Conflict,
    Size,
    Transaction,
    Unavailable,
    Unknown,
    Write,
)

__all__ = ["is_removed", "reconcile_standing", "refresh_record"]


def digest_description(task: StandingTask) -> str:
    """Return a digest of a standing task's description."""
    return xxhash.xxh3_64_hexdigest(msgspec.json.encode(task))


def refresh_record(record: TaskRecord, bundle: Bundle) -> TaskRecord:
    """Return a stopped task's record with its description in a bundle."""
    task = next((it for it in bundle.standing if it.name == record.task), None)
    if task is None:
        return record
    fresh = _make_record(task, bundle)
    return msgspec.structs.replace(
        record,
        kind=fresh.kind,
        team=fresh.team,
        size=fresh.size,
        digest=fresh.digest,
        bundle=fresh.bundle,
        checkpoint="",
    )


def _make_record(task: StandingTask, bundle: Bundle, attempt: int = 0) -> TaskRecord:
    size = Size(task.processors, task.memory, task.accelerators)
    return TaskRecord(
        task.name,
        task.kind,
        task.team,
        size,
        standing=True,
        urgent=True,
        digest=digest_description(task),
        attempt=attempt,
        bundle=bundle.version,
    )


def reconcile_standing(state: ControlState, view: ClusterView) -> Decision[None]:
    """Insert, replace and remove standing tasks according to the bundle in force."""
    bundle = view.bundle
    if bundle is None or state.health.down:
        return
    shapes = view.shapes
    described = {it.name: it for it in bundle.standing}
    for task in bundle.standing:
        size = Size(task.processors, task.memory, task.accelerators)
        target = choose_cell(task.name, size, shapes)
        if target in state.cells and state.health.may_commit():
            yield from _insert(state, task, bundle, target)
    for cell in list(state.cells.values()):
        _stop_outdated(cell, described, bundle)
        yield from _update_waiting(state, cell, described, bundle)


def _insert(state: ControlState, task: StandingTask, bundle: Bundle, target: str) -> Decision[None]:
    """Insert the record of a standing task, unless any process has already done so."""
    known, version = state.standing.get(task.name, (None, ABSENT))
    if known is not None and (known.removed == 0 or known.removed >= bundle.version):
        return
    record = _make_record(task, bundle, known.attempt if known else 0)
    row = StandingRow(task.name, target, bundle.version)
    writes = (
        Write(standing_key(task.name), version, encode(row)),
        Write(queue_key(target, task.name), ABSENT, encode(QueueRow(record))),
    )
    state.health.count_commit()
    answer = yield Commit(Transaction(f"standing/{task.name}/{bundle.version}", writes))
    match answer.value:
        case Result(tag="ok", ok=Committed(committed)):
            state.standing[task.name] = (row, committed)
            yield RecordEvent("standing.add", {"task": task.name, "cell": target})
        case Result(tag="error", error=Conflict(rows)):
            for found in rows:
                if found.key == standing_key(task.name) and found.version != ABSENT:
                    state.standing[task.name] = (
                        decode(found.value, StandingRow),
                        found.version,
                    )
        case Result(tag="error", error=Unavailable() | Unknown()):
            state.health.record_failure()


def is_removed(record: TaskRecord, bundle: Bundle) -> bool:
    """Return whether a bundle that is newer than a standing task's record no longer names it."""
    if not record.standing or bundle.version <= record.bundle:
        return False
    return all(it.name != record.task for it in bundle.standing)


def _is_changed(record: TaskRecord, described: dict[str, StandingTask], bundle: Bundle) -> bool:
    if not record.standing or record.task not in described or bundle.version <= record.bundle:
        return False
    return digest_description(described[record.task]) != record.digest


def _stop_outdated(cell: Cell, described: dict[str, StandingTask], bundle: Bundle) -> None:
    """Request the stop of running tasks that the bundle has removed or changed."""
    for record in cell.row.tasks.values():
        if is_removed(record, bundle):
            cell.request_stop(record.task, StopReason.REMOVE)
        elif _is_changed(record, described, bundle):
            cell.request_stop(record.task, StopReason.REPLACE)


def _update_waiting(
    state: ControlState, cell: Cell, described: dict[str, StandingTask], bundle: Bundle
) -> Decision[None]:
    """Remove or replace the waiting tasks that the bundle has removed or changed."""
    changes: list[lifecycle.Change] = []
    for waiting in cell.queue.in_order():
        if is_removed(waiting.record, bundle):
            version = waiting.record.job_version or waiting.version
            changes.append(
                lifecycle.remove_standing(
                    cell.name, waiting.record, version, bundle.version, waiting
                )
            )
        elif _is_changed(waiting.record, described, bundle):
            changes.append(_replace_waiting(cell, waiting, bundle))
    for group in split_changes(changes):
        yield from write_cell(cell, state.health, group)


def _replace_waiting(cell: Cell, waiting: WaitingTask, bundle: Bundle) -> lifecycle.Change:
    record = refresh_record(waiting.record, bundle)
    record = msgspec.structs.replace(record, job_version=record.job_version or waiting.version)
    write = Write(queue_key(cell.name, record.task), waiting.version, encode(QueueRow(record)))
    return lifecycle.Change("standing.replace", record.task, None, (write,), queued=record)
