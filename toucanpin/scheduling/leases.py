"""
Worker leases
=============

Renewal and expiry of worker leases, and effects of a worker's silence on its runs.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

from toucanpin.scheduling.cell import Cell, Now
from toucanpin.scheduling.crashing import record_incarnation_lost
from toucanpin.scheduling.fencing import raise_token
from toucanpin.scheduling.incarnations import (
    begin_incarnation,
    end_lost_runs,
)
from toucanpin.scheduling.late_orders import (
    bound_late_orders,
    is_earlier,
    remember_late_orders,
    stop_late_starts,
)
from toucanpin.scheduling.lease_ends import (
    bound_earlier_leases,
    bound_earlier_orders,
    is_lease_withheld,
)
from toucanpin.scheduling.orders import PollOrder, WorkerEntry
from toucanpin.scheduling.presence import is_gone, record_listing
from toucanpin.scheduling.worker import Phase, Silence, Worker, grant_lease
from toucanpin.scheduling.worker_faults import LossCause

__all__ = [
    "LEASE_S",
    "MAX_STARTS_BEFORE_RENEWALS",
    "awaits_first_renewals",
    "awaits_renewal",
    "expire_leases",
    "lease_end",
    "mark_silent",
    "plan_poll",
    "plan_renewal",
    "remove_replaced_worker",
    "update_workers",
]

LEASE_S = 4.5  # outlasts the failover of an owner (2 s); bounds the wait for a lost worker
# Pending ones, while leases of an earlier owner are in force.  After a takeover hundreds of these
# are due for renewal.  If starts took the link and the time of a weak host before that, all tasks
# that run would be lost, and had to be started too.
MAX_STARTS_BEFORE_RENEWALS = 16
# Where best-effort tasks run beside latency-critical ones, whose tails may grow in a longer wait.
SHARED_POLL_WAIT_S = 0.4
# Ends are answered at once, so other workers are polled only for leases and progress, and polling
# hundreds of workers takes much of an owner's time.
BUSY_POLL_WAIT_S = 0.7
IDLE_POLL_WAIT_S = 1.5  # for a worker that runs nothing
FORGET_WORKER_AFTER_S = 3.0  # for a worker that neither answers nor is listed


def update_workers(
    cell: Cell,
    entries: Iterable[WorkerEntry],
    now: Now,
    malformed: Collection[str] = frozenset(),
) -> list[Worker]:
    """
    Apply the listed entries of workers; return the workers that are new.

    Workers in ``malformed``, whose entries can no longer be decoded, keep their runs and get no new
    ones.  A list may be older than a worker's answer, or newer.
    """
    entries = list(entries)
    record_listing(cell, {entry.id for entry in entries}.union(malformed), now)
    for identifier, known in cell.workers.items():
        known.malformed = identifier in malformed or not known.sized
    added = []
    for entry in entries:
        worker = cell.workers.get(entry.id)
        if worker is None:
            worker = Worker(
                entry,
                born=entry.born,
                token_offset=cell.token_offset,
                lease_expires_at=bound_earlier_leases(cell, entry.id),
                late_orders_end=max(
                    cell.late_orders_ends.pop(entry.id, 0.0), bound_earlier_orders(cell, entry.id)
                ),
                first_listed_at=now.steady,
            )
            cell.workers[entry.id] = worker
            stop_late_starts(cell, worker, now)
            added.append(worker)
        elif _is_outdated(worker, entry):
            continue
        elif is_earlier(worker.born, entry.born):
            worker = begin_incarnation(cell, worker, entry.born, now, entry)
            added.append(worker)
        elif not worker.entry.address:
            worker.first_listed_at = now.steady
            added.append(worker)
        _record_entry(worker, entry, now)
    return added


def lease_end(cell: Cell, now: Now) -> float:
    """
    Return the local time until which leases may be granted now.

    An owner that the table hasn't confirmed recently may have been replaced. Its successor waits
    for the end of this authority before it starts tasks elsewhere that a silent worker may still
    run.
    """
    return min(now.steady + LEASE_S, cell.confirmed_at + cell.authority)


def plan_poll(cell: Cell, worker: Worker, now: Now) -> PollOrder:
    """Return the next poll of a worker."""
    if not worker.reached or worker.silent:
        # A renewal without an answer may be carried out late. So a silent worker is polled without
        # a renewal; otherwise each retry would postpone the time at which its lease has certainly
        # expired.  Nothing is acknowledged, as the worker may have restarted and count its ends
        # anew.
        return PollOrder(0, 0, 0.0)
    deadline = plan_renewal(cell, worker, now) if worker.runs else 0
    if awaits_renewal(worker):
        return PollOrder(_choose_acknowledged(worker), 0, 0.0)
    if worker.listed_sequence > worker.acknowledged_sequence:
        # Ends that aren't written yet would be listed again at once.
        return PollOrder(_choose_acknowledged(worker), deadline, 0.0)
    return PollOrder(_choose_acknowledged(worker), deadline, _choose_wait(worker))


def plan_renewal(cell: Cell, worker: Worker, now: Now) -> int:
    """Return the end of a lease granted now, on the clock of its worker, 0 if none may be."""
    until = lease_end(cell, now)
    if not worker.clock or until <= now.steady or is_lease_withheld(cell, worker):
        return 0
    cell.earlier_lease_ends.pop(worker.entry.id, None)
    return grant_lease(worker, until, now.steady)


def awaits_renewal(worker: Worker) -> bool:
    """
    Return whether a worker that answers runs tasks whose lease wasn't renewed for long.

    It was granted by an earlier owner, or before the worker was silent, and may end any moment.
    """
    return worker.renewal_due and not worker.silent and _runs_tasks(worker)


def awaits_first_renewals(cell: Cell) -> bool:
    """Return whether any worker that answers still has the lease of an earlier owner."""
    return any(
        awaits_renewal(worker) and not worker.renewed and worker.entry.address
        for worker in cell.workers.values()
    )


def mark_silent(worker: Worker, now: Now, silence: Silence = Silence.UNANSWERED) -> None:
    """Record that a worker did not answer, and in which way."""
    worker.silence = silence
    if not worker.silent:
        worker.silent_since = now.steady
    worker.silent = True
    worker.renewal_due = True


def remove_replaced_worker(cell: Cell, worker: Worker, now: Now) -> None:
    """Remove a worker at whose address another incarnation answers; its runs are lost."""
    if cell.workers.get(worker.entry.id) is not worker:
        return
    record_incarnation_lost(cell, worker, now)
    end_lost_runs(cell, worker, LossCause.REPLACED, now)
    del cell.workers[worker.entry.id]
    raise_token(cell)


def expire_leases(cell: Cell, now: Now) -> list[Worker]:
    """End the runs of workers whose leases have expired; return the workers that are forgotten."""
    forgotten = []
    for worker in list(cell.workers.values()):
        if not worker.silent and worker.reached:
            continue
        if now.steady <= worker.lease_expires_at:
            continue
        may_start = now.steady <= bound_late_orders(cell, worker)
        if may_start and not is_gone(cell, worker, now):
            continue
        if worker.runs:
            record_incarnation_lost(cell, worker, now)
            end_lost_runs(cell, worker, LossCause.GONE if may_start else LossCause.LAPSED, now)
        unlisted = now.steady > worker.listed_at + FORGET_WORKER_AFTER_S
        if unlisted and now.steady > worker.answered_at + FORGET_WORKER_AFTER_S:
            del cell.workers[worker.entry.id]
            remember_late_orders(cell, worker, now)
            forgotten.append(worker)
    if forgotten:
        raise_token(cell)  # they may return under their ids
    return forgotten


def _runs_tasks(worker: Worker) -> bool:
    """Return whether a worker may run tasks that were started before."""
    return any(run.phase not in (Phase.PLACED, Phase.ORDERED) for run in worker.runs.values())


def _choose_acknowledged(worker: Worker) -> int:
    """
    Return the newest end to acknowledge, 0 if the worker has none left to forget.

    A poll may be carried out late by the worker's next incarnation, whose ends have low numbers.
    """
    return worker.acknowledged_sequence if worker.lists_ends else 0


def _choose_wait(worker: Worker) -> float:
    if not worker.runs:
        return IDLE_POLL_WAIT_S
    return (
        SHARED_POLL_WAIT_S
        if worker.latency_critical_count and worker.best_effort_count
        else BUSY_POLL_WAIT_S
    )


def _is_outdated(worker: Worker, entry: WorkerEntry) -> bool:
    """Return whether an entry is of an earlier incarnation than the known one."""
    if entry.born and entry.born == worker.earlier_born:
        return True
    return is_earlier(entry.born, worker.born)


def _record_entry(worker: Worker, entry: WorkerEntry, now: Now) -> None:
    worker.entry = entry
    worker.born = worker.born or entry.born
    worker.listed_at = now.steady
    worker.sized = True
    worker.malformed = False
