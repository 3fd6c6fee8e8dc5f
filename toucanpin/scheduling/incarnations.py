"""
Incarnations of workers
=======================

Tell a worker that has restarted from the one that had its id before.

Notes
-----
A restarted worker runs nothing, has seen no fencing token, and counts its ends and its clock anew.
So it is a new worker to its owner, and the earlier incarnation's runs are lost.  Orders to the
earlier incarnation may still arrive: they name the worker by its id, which both have.
"""

from __future__ import annotations

from dataclasses import replace

from toucanpin.scheduling.cell import Cell, Now, add_run, drop_run
from toucanpin.scheduling.crashing import record_incarnation_lost, record_loss
from toucanpin.scheduling.ending import end_run
from toucanpin.scheduling.fencing import raise_token
from toucanpin.scheduling.late_orders import (
    bound_late_start,
    bound_next_incarnation,
    stop_late_starts,
)
from toucanpin.scheduling.orders import WorkerEntry
from toucanpin.scheduling.released_runs import record_release
from toucanpin.scheduling.stopping import stop_run
from toucanpin.scheduling.worker import Phase, Run, Worker
from toucanpin.scheduling.worker_faults import Loss, LossCause

__all__ = [
    "admit_answer",
    "begin_incarnation",
    "end_lost_runs",
    "record_lost_run",
]


def admit_answer(cell: Cell, worker: Worker, born: int, sent_at: float, now: Now) -> Worker | None:
    """
    Return the incarnation that answered a call, None if it has been replaced meanwhile.

    A newer incarnation replaces the known one.  An earlier one can't answer calls that were sent
    since the known one has been, so a smaller number is then that of a newer one, whose time of day
    is behind; if it were ignored, the worker would be of no more use.
    """
    if cell.workers.get(worker.entry.id) is not worker:
        return None
    if not born or worker.born in (0, born):
        worker.born = worker.born or born
        return worker
    if born < worker.born and sent_at <= worker.first_listed_at:
        return None
    return begin_incarnation(cell, worker, born, now)


def begin_incarnation(
    cell: Cell, worker: Worker, born: int, now: Now, entry: WorkerEntry | None = None
) -> Worker:
    """
    Replace a worker by its next incarnation, whose entry may not be listed yet.

    A start that the earlier incarnation left unanswered may reach the next one.  So its task may
    run elsewhere only once the next one has acknowledged a stop or is gone.
    """
    listed = entry is not None
    successor = Worker(
        entry or worker.entry,
        born=born,
        token_offset=raise_token(cell),
        earlier_born=worker.born,
        sized=listed,
        malformed=not listed,
        lease_expires_at=cell.earlier_leases_end,
        first_listed_at=now.steady,
        listed_at=worker.listed_at,
        answered_at=0.0 if listed else now.steady,
        late_orders_end=bound_next_incarnation(cell, worker),
    )
    record_incarnation_lost(cell, worker, now)
    unsettled = []
    for run in [run for run in worker.runs.values() if _may_start_late(cell, run, now)]:
        if run.phase is not Phase.UNKNOWN:
            record_lost_run(cell, worker, run, LossCause.REPLACED, now)
        unsettled.append(replace(run))
        drop_run(cell, worker, run)
    end_lost_runs(cell, worker, LossCause.REPLACED, now)
    cell.end_sequences.pop(worker.entry.id, None)
    cell.workers[worker.entry.id] = successor
    for run in unsettled:
        _hand_over_run(cell, successor, run)
    stop_late_starts(cell, successor, now)
    _discard_tickets(cell, worker.entry.id)
    return successor


def end_lost_runs(cell: Cell, worker: Worker, cause: LossCause, now: Now) -> None:
    """End the runs of a worker that certainly runs them no more."""
    for run in list(worker.runs.values()):
        if run.phase is Phase.PLACED:
            stop_run(cell, run, "worker lost")
        elif worker.runs.get(run.task) is run:
            record_lost_run(cell, worker, run, cause, now)
            end_run(cell, worker, run, now)


def record_lost_run(cell: Cell, worker: Worker, run: Run, cause: LossCause, now: Now) -> None:
    """Count the loss of a worker against one of its runs, and queue it for the log."""
    loss = Loss(
        run.task,
        run.attempt,
        run.worker,
        run.phase,
        cause,
        age=_count_since(run.ordered_at, now),
        crashes=record_loss(cell, worker, run, now),
        lease_left=worker.lease_expires_at - now.steady,
        silence=worker.silence,
        silent_for=_count_since(worker.silent_since, now),
        unlisted_for=_count_since(worker.unlisted_since, now),
        released_at=now.steady,
    )
    cell.unlogged_losses.append(loss)
    record_release(cell, loss, now)


def _count_since(at: float, now: Now) -> float:
    """Return the seconds since a time, 0 if there was none."""
    return now.steady - at if at else 0.0


def _may_start_late(cell: Cell, run: Run, now: Now) -> bool:
    """Return whether a start of a run may still execute on the next incarnation."""
    if run.phase is Phase.UNKNOWN:  # until the next incarnation has this owner's token
        return True
    return now.steady < bound_late_start(cell, run)


def _hand_over_run(cell: Cell, successor: Worker, run: Run) -> None:
    """Keep a run of the earlier incarnation until the next one can't start it any more."""
    if run.phase is Phase.UNKNOWN:
        add_run(cell, successor, run)
        return
    run.phase = Phase.ORDERED
    run.born = successor.born  # which the late start may crash as well
    add_run(cell, successor, run)
    stop_run(cell, run, "its worker restarted")


def _discard_tickets(cell: Cell, worker: str) -> None:
    """Discard the tickets of a worker, which are valid during one incarnation."""
    for known in cell.step_tickets.values():
        known.tickets.pop(worker, None)
        known.refused.discard(worker)
        if known.request_pending:
            known.restarted.add(worker)
