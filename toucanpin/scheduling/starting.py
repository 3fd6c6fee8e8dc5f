"""
Starting tasks
==============

Start orders: when to send them, and how answers and timeouts are handled.
"""

from __future__ import annotations

import enum

from toucanpin.scheduling.attribution import record_failed
from toucanpin.scheduling.cell import Cell, Group, Now, mark_started
from toucanpin.scheduling.ending import RETRY_DELAY_S, end_run
from toucanpin.scheduling.evacuating import has_current_evacuations, is_evacuated
from toucanpin.scheduling.first_pace import order_first_pace
from toucanpin.scheduling.late_orders import record_unanswered_start
from toucanpin.scheduling.lease_ends import is_lease_withheld
from toucanpin.scheduling.leases import lease_end
from toucanpin.scheduling.orders import RefusalReason, StartAnswer
from toucanpin.scheduling.stopping import stop_run
from toucanpin.scheduling.worker import Phase, Run, Worker, grant_lease, is_overcommitted

__all__ = [
    "MAX_ENTRY_AGE_S",
    "StartOutcome",
    "apply_start_answer",
    "apply_start_failure",
    "plan_start",
    "record_stop_acknowledged",
]

MIN_START_LEASE_S = 0.5  # a shorter lease would expire before it is renewed
UNHEALTHY_BACKOFF_S = 1.0  # for a worker that refused to start anything
MAX_ENTRY_AGE_S = 2.5  # of workers that accept more tasks than fit, for a start on them
MAX_UNCONFIRMED_S = 3.0  # in which starts are repeated on a worker that answers polls
NO_ROOM_BACKOFF_S = 0.3  # for a worker with less capacity than its owner assumed


class StartOutcome(enum.Enum):
    """What to do next with a start order."""

    SETTLED = "settled"
    RETRY_NOW = "again"
    RETRY_LATER = "later"
    FENCED = "fenced"


def plan_start(cell: Cell, worker: Worker, run: Run, now: Now) -> int:
    """Return the lease's end for a start on the worker's clock, 0 if it must not be sent now."""
    if worker.silent and not run.ordered_at:
        # Nothing was ever sent, so the task can't run there and needn't wait for the lease to
        # expire.
        end_run(cell, worker, run, now)
        return 0
    if is_evacuated(cell, worker):
        # A start whose answer was lost may still be carried out; repeating it would certainly start
        # the task after the evacuation.
        _abandon_start(cell, worker, run, now)
        return 0
    if is_overcommitted(worker) and not (cell.workers_enforce_limits and run.ordered_at):
        worker.full_until = now.steady + NO_ROOM_BACKOFF_S
        _abandon_start(cell, worker, run, now)
        return 0
    if not cell.workers_enforce_limits and now.steady > worker.listed_at + MAX_ENTRY_AGE_S:
        return 0
    if not has_current_evacuations(cell, now):
        return 0
    until = lease_end(cell, now)
    if worker.silent or is_lease_withheld(cell, worker):
        return 0
    if until - now.steady < MIN_START_LEASE_S:
        return 0
    run.ordered_at = now.steady
    return grant_lease(worker, until, now.steady)


def apply_start_answer(
    cell: Cell, worker: Worker, run: Run, answer: StartAnswer, now: Now
) -> StartOutcome:
    """Apply a worker's answer to a start."""
    if run.phase is not Phase.ORDERED:
        return StartOutcome.SETTLED
    match answer.refused:
        case None:
            run.phase = Phase.RUNNING
            run.started_at = run.progressed_at = now.steady
            run.start_unconfirmed = False
            mark_started(cell, run.task.job)
            order_first_pace(cell, run, now)
            return StartOutcome.SETTLED
        case RefusalReason.FENCED:
            return StartOutcome.FENCED
        case RefusalReason.LATE:
            return StartOutcome.RETRY_NOW
        case RefusalReason.NO_ROOM:
            # If most workers refuse a task, none of them counts as full for others.
            if record_failed(cell, worker, run, now):
                cell.delayed_until[run.task] = now.steady + RETRY_DELAY_S
            else:
                worker.full_until = now.steady + NO_ROOM_BACKOFF_S
        case RefusalReason.NO_TICKET:
            group = Group(run.task.job, run.task.occurrence, run.task.step)
            cell.step_tickets.pop(group, None)
        case RefusalReason.UNHEALTHY:
            worker.suspect_until = max(worker.suspect_until, now.steady + UNHEALTHY_BACKOFF_S)
        case RefusalReason.MALFORMED | RefusalReason.OLD_ATTEMPT:
            cell.delayed_until[run.task] = now.steady + RETRY_DELAY_S
    _abandon_start(cell, worker, run, now)
    return StartOutcome.SETTLED


def apply_start_failure(
    cell: Cell, worker: Worker, run: Run, certain: bool, now: Now
) -> StartOutcome:
    """Handle a start without an answer; ``certain`` is true if it was never sent."""
    if not certain:
        record_unanswered_start(cell, worker, run, now)
    if run.phase is not Phase.ORDERED:
        return StartOutcome.SETTLED
    run.start_unconfirmed = run.start_unconfirmed or not certain
    if not run.start_unconfirmed:
        worker.suspect_until = max(worker.suspect_until, now.steady + UNHEALTHY_BACKOFF_S)
        _abandon_start(cell, worker, run, now)
        return StartOutcome.SETTLED
    run.unconfirmed_since = run.unconfirmed_since or run.ordered_at
    if not worker.silent and now.steady > run.unconfirmed_since + MAX_UNCONFIRMED_S:
        # Polls renew the lease of a worker that answers no start, so the lease doesn't end the run.
        worker.suspect_until = max(worker.suspect_until, now.steady + UNHEALTHY_BACKOFF_S)
        _abandon_start(cell, worker, run, now)
        return StartOutcome.SETTLED
    # Repeating the start is safe: the worker accepts an attempt that it already has.
    return StartOutcome.RETRY_LATER if worker.silent else StartOutcome.RETRY_NOW


def record_stop_acknowledged(worker: Worker, run: Run, now: Now) -> None:
    """Record that a worker acknowledged a stop; its next answer shows whether the run ended."""
    if run.phase is Phase.STOPPING:
        run.stop_acknowledged_at = now.steady


def _abandon_start(cell: Cell, worker: Worker, run: Run, now: Now) -> None:
    if run.start_unconfirmed:
        stop_run(cell, run, "start unsure")
    else:
        end_run(cell, worker, run, now)
