"""
Polls of workers
================

Choose the orders and the lease for each worker's next poll, and handle the reports.  Every order
may be repeated, since a worker identifies attempts by their numbers.
"""

from __future__ import annotations

from collections.abc import Iterator

from expression import Result

from toucanpin.bundles.schema import Bundle
from toucanpin.placement.actions import Decision, PollAll, Read, RecordEvent, WorkerPoll
from toucanpin.placement.cells import Cell, StopReason, WorkerLink, worker_host
from toucanpin.placement.lifecycle import name_checkpoint, name_result
from toucanpin.placement.records import TaskRecord, payload_key
from toucanpin.placement.state import ClusterView, ControlState
from toucanpin.platform.ports import (
    Checkpoint,
    Forget,
    Order,
    Poll,
    Report,
    Row,
    Start,
    Stop,
    TaskState,
    Throttle,
    WorkerFault,
)

__all__ = ["fetch_payloads", "poll_workers"]


def fetch_payloads(state: ControlState, view: ClusterView) -> Decision[None]:
    """Read the payloads of committed tasks that have not been started yet."""
    for cell in state.cells.values():
        for record in cell.row.tasks.values():
            if state.health.down or not _lacks_payload(cell, record):
                continue
            answer = yield Read(payload_key(record.task))
            match answer.value:
                case Result(tag="ok", ok=Row() as row):
                    cell.payloads[record.task] = row.value
                case Result(tag="error"):
                    state.health.record_failure()


def _lacks_payload(cell: Cell, record: TaskRecord) -> bool:
    if not record.has_payload or record.standing or record.task in cell.payloads:
        return False
    link = cell.link(record.worker)
    return bool(link.incarnation) and (record.task, record.attempt) not in link.tasks


def poll_workers(state: ControlState, view: ClusterView) -> Decision[None]:
    """Poll at once all workers that are due or have orders."""
    now = max(view.now, state.now)
    polled: list[tuple[Cell, WorkerLink, Poll]] = []
    polls: list[WorkerPoll] = []
    for cell in state.cells.values():
        if cell.refused:
            # Another process owns the cell; renewing leases of workers that it can't reach would
            # delay its proof that they have stopped.
            continue
        for name, worker in cell.row.workers.items():
            link = cell.link(name)
            orders = tuple(_make_orders(state, cell, link, view.bundle, now))
            if now < link.next_poll and (not orders or link.failed):
                continue
            link.next_poll = now + state.options.poll
            until = state.authority.until if state.authority.holds(now) else 0.0
            grant = link.grant(until, state.terms)
            poll = Poll(cell.row.epoch, link.incarnation, grant.lease_until, orders)
            polled.append((cell, link, poll))
            polls.append(WorkerPoll(worker_host(worker), poll))
    if not polls:
        return
    answer = yield PollAll(tuple(polls))
    for (cell, link, poll), outcome in zip(polled, answer.value, strict=True):
        match outcome:
            case Result(tag="ok", ok=Report() as report):
                yield from _handle_report(state, cell, link, poll, report, answer.now)
            case Result(tag="error", error=WorkerFault(detail)):
                if not link.failed:
                    yield RecordEvent(
                        "worker.silent", {"host": link.name, "cell": cell.name}, detail
                    )
                link.failed = True


def _make_orders(
    state: ControlState, cell: Cell, link: WorkerLink, bundle: Bundle | None, now: float
) -> Iterator[Order]:
    """Yield the orders that make a worker's tasks match the cell's row."""
    if not link.incarnation or cell.stale:
        # The row may have changed, so it must neither start nor stop any task.
        return
    committed = {(it.task, it.attempt): it for it in cell.tasks_on(link.name)}
    for (task, attempt), reported in link.tasks.items():
        if (task, attempt) in committed:
            continue
        if reported.state is TaskState.RUNNING:
            yield Stop(task, attempt)
        else:
            yield Forget(task, attempt)
    for record in committed.values():
        if record.incarnation == link.incarnation:
            yield from _order_task(state, cell, link, record, bundle, now)


def _order_task(
    state: ControlState,
    cell: Cell,
    link: WorkerLink,
    record: TaskRecord,
    bundle: Bundle | None,
    now: float,
) -> Iterator[Order]:
    """Yield the orders for one committed task."""
    reported = link.tasks.get((record.task, record.attempt))
    if reported is not None and reported.state is not TaskState.RUNNING:
        return
    reason = cell.stopping.get(record.task)
    if reason is not None:
        checkpoint = name_checkpoint(record.task, record.attempt, state.next_sequence())
        keeps = reason in (StopReason.EVICT, StopReason.REPLACE)
        yield Stop(record.task, record.attempt, checkpoint if keeps else "")
    elif reported is None:
        payload = _find_payload(cell, record, bundle)
        # A lease computed from an old reading of the worker's clock may have ended on arrival.  The
        # worker would then refuse the start, and the attempt would be used up.
        fresh = now - link.received_at < state.terms.lease / 2
        if payload is not None and fresh and state.authority.holds(now):
            yield _make_start(record, payload)
    else:
        yield from _order_running(state, link, record, now)


def _order_running(
    state: ControlState, link: WorkerLink, record: TaskRecord, now: float
) -> Iterator[Order]:
    """Yield the requested throttle and the checkpoint that is due."""
    key = (record.task, record.attempt)
    share = link.shares.get(key)
    # Reports don't include the share in force, so the policy would not notice that a throttle was
    # lost with its poll.  It is repeated with each due poll; a worker that has it changes nothing.
    if share is not None and (key in link.unsent_shares or now >= link.next_poll):
        link.unsent_shares.discard(key)
        yield Throttle(record.task, record.attempt, share)
    due = link.checkpoint_due.setdefault(record.task, now + state.options.checkpoint)
    if not record.standing and now >= due:
        link.checkpoint_due[record.task] = now + state.options.checkpoint
        name = name_checkpoint(record.task, record.attempt, state.next_sequence())
        yield Checkpoint(record.task, record.attempt, name)


def _find_payload(cell: Cell, record: TaskRecord, bundle: Bundle | None) -> bytes | None:
    """Return the payload of a task, None if it has not been read yet."""
    if record.standing:
        standing = bundle.standing if bundle else ()
        return next((it.payload.encode() for it in standing if it.name == record.task), None)
    if not record.has_payload:
        return b""
    return cell.payloads.get(record.task)


def _make_start(record: TaskRecord, payload: bytes) -> Start:
    return Start(
        record.task,
        record.attempt,
        record.kind,
        record.size,
        payload,
        record.checkpoint,
        name_result(record.task, record.attempt),
        record.standing,
    )


def _handle_report(
    state: ControlState, cell: Cell, link: WorkerLink, poll: Poll, report: Report, now: float
) -> Decision[None]:
    """Handle a report; a refused poll means a newer owner or a new incarnation of the worker."""
    if report.accepted:
        link.update_from_report(report, now)
        state.policy.observe(now, report, cell.tasks_on(link.name))
        return
    if report.epoch > poll.epoch:
        cell.stale = True
        cell.refused = True
        yield RecordEvent(
            "worker.refused", {"host": link.name, "cell": cell.name}, f"{report.epoch}"
        )
        return
    link.update_clock(report, now)
    link.next_poll = now
