"""
Late orders
===========

Bound the time for which orders to an earlier incarnation may still have effects, and stop starts.

Notes
-----
A worker that leaves an order unanswered may carry it out seconds later.  Within one incarnation
this is harmless once the lease that the order carries has ended.  The next incarnation's clock
begins anew, so that the same start is in time there, and a renewal lengthens the lease of all that
runs there.  Only the longest lease bounds both.
"""

from __future__ import annotations

from itertools import takewhile

from toucanpin.scheduling.cell import Cell, Now
from toucanpin.scheduling.job import TaskKey
from toucanpin.scheduling.orders import StopOrder
from toucanpin.scheduling.worker import Phase, Run, Worker

__all__ = [
    "bound_late_start",
    "bound_late_orders",
    "bound_next_incarnation",
    "is_earlier",
    "record_unanswered_start",
    "remember_late_orders",
    "stop_late_starts",
]

# Longest time after which a worker carries out an order that it left unanswered; the platform
# allows 12 s.
MAX_ORDER_DELAY_S = 13.0


def is_earlier(born: int, than: int) -> bool:
    """Return whether an incarnation is certainly an earlier one than another of its worker."""
    return 0 < born < than


def bound_late_start(cell: Cell, run: Run) -> float:
    """Return the local time by which no late start of a run executes on a later incarnation."""
    sent_at = cell.unanswered_starts.get((run.worker, run.task, run.attempt), 0.0)
    if not run.started_at:  # one may be in flight, also after its run was stopped
        sent_at = max(sent_at, run.ordered_at)
    return _bound_execution(cell, sent_at) if sent_at else 0.0


def bound_late_orders(cell: Cell, worker: Worker) -> float:
    """
    Return the local time by which no order to an earlier incarnation has effects on a worker.

    A new owner doesn't know which starts had no answer.
    """
    if worker.reached:
        return worker.late_orders_end
    may_be_listed = not worker.entry.address and not cell.introduced
    if may_be_listed or any(_may_start_unseen(worker, run) for run in worker.runs.values()):
        return max(worker.late_orders_end, cell.earlier_leases_end)
    return worker.late_orders_end


def bound_next_incarnation(cell: Cell, worker: Worker) -> float:
    """
    Return the local time by which no order to a worker has effects on its next incarnation.

    Some order to a process that ends is usually without an answer.
    """
    ends = [worker.late_orders_end]
    ends += [bound_late_start(cell, run) for run in worker.runs.values()]
    if worker.granted_at:
        ends.append(_bound_execution(cell, worker.granted_at))
    return max(ends)


def remember_late_orders(cell: Cell, worker: Worker, now: Now) -> None:
    """Keep until when orders to a forgotten worker may have effects if it returns."""
    ends = cell.late_orders_ends
    ends[worker.entry.id] = bound_next_incarnation(cell, worker)
    for identifier in [identifier for identifier, end in ends.items() if end <= now.steady]:
        del ends[identifier]


def record_unanswered_start(cell: Cell, worker: Worker, run: Run, now: Now) -> None:
    """Record that a start got no answer; those too old to execute are forgotten."""
    starts = cell.unanswered_starts
    key = (run.worker, run.task, run.attempt)
    starts.pop(key, None)
    starts[key] = now.steady
    # Each start is added at the end, so the oldest ones come first.
    for known in list(
        takewhile(lambda it: now.steady > _bound_execution(cell, starts[it]), starts)
    ):
        del starts[known]
    current = cell.workers.get(run.worker)
    if current is not None and current is not worker:
        _stop_late_start(cell, current, run.task, run.attempt)


def stop_late_starts(cell: Cell, worker: Worker, now: Now) -> None:
    """Stop starts that an earlier incarnation left unanswered and whose runs have ended since."""
    for (identifier, task, attempt), sent_at in cell.unanswered_starts.items():
        if identifier == worker.entry.id and now.steady <= sent_at + MAX_ORDER_DELAY_S:
            _stop_late_start(cell, worker, task, attempt)


def _bound_execution(cell: Cell, sent_at: float) -> float:
    return sent_at + MAX_ORDER_DELAY_S + cell.max_lease


def _may_start_unseen(worker: Worker, run: Run) -> bool:
    """Return whether an earlier owner's start may execute on an incarnation after its own."""
    return run.phase is Phase.UNKNOWN and is_earlier(run.born, worker.born)


def _stop_late_start(cell: Cell, worker: Worker, task: TaskKey, attempt: int) -> None:
    """Stop a start on a worker that may carry it out late, unless its run is being stopped."""
    run = worker.runs.get(task)
    if run is None or run.attempt != attempt:
        cell.orders.append(StopOrder(worker.entry.id, task, attempt, "may start late"))
