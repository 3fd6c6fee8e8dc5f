"""
Cells in memory
===============

State that an owner keeps for a cell besides its row: the queue, and for each worker the link with
the leases granted over it.  All of it can be rebuilt from rows and reports.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from toucanpin.placement.authority import AuthorityWatch
from toucanpin.placement.leases import NO_GRANT, Grant, LeaseTerms, compute_grant
from toucanpin.placement.queue import TaskQueue
from toucanpin.placement.records import CellRow, ControllerId, TaskRecord, WorkerRow, cell_key
from toucanpin.platform.ports import HostRole, ListedHost, Report, Size, TaskReport

__all__ = ["Cell", "StopReason", "WorkerIncarnation", "WorkerLink", "worker_host"]

MAX_BACKOFF_DOUBLINGS = 16


class StopReason(enum.Enum):
    """Reasons for stopping a running task; a higher value replaces a lower one."""

    EVICT = 1
    REPLACE = 2
    REMOVE = 3
    CANCEL = 4


@dataclass(slots=True)
class WorkerIncarnation:
    """
    Leases of one incarnation of a worker.

    ``lease_end`` is the latest end (own clock, s) of a lease that this owner granted.  ``reached``
    is True once the worker has accepted a poll of this owner; it then refuses earlier owners.
    """

    lease_end: float = 0.0
    reached: bool = False


@dataclass(slots=True)
class WorkerLink:
    """State of one worker as known from its polls; times are on the own clock in seconds."""

    name: str
    incarnation: str = ""
    size: Size = Size(0, 0, 0)
    clock: int = 0
    received_at: float = 0.0
    failed: bool = False
    next_poll: float = 0.0
    renewed_at: float = 0.0
    lease_expired: bool = True
    incarnations: dict[str, WorkerIncarnation] = field(default_factory=dict)
    tasks: dict[tuple[str, int], TaskReport] = field(default_factory=dict)
    shares: dict[tuple[str, int], float] = field(default_factory=dict)
    unsent_shares: set[tuple[str, int]] = field(default_factory=set)
    checkpoint_due: dict[str, float] = field(default_factory=dict)
    quarantined_at: float = 0.0

    def incarnation_state(self, incarnation: str) -> WorkerIncarnation:
        """Return the leases of one incarnation."""
        return self.incarnations.setdefault(incarnation, WorkerIncarnation())

    def set_share(self, task: str, attempt: int, share: float) -> None:
        """Set the processor share of an attempt, to be sent with each poll from the next one on."""
        self.shares[(task, attempt)] = share
        self.unsent_shares.add((task, attempt))

    def grant(self, until: float, terms: LeaseTerms) -> Grant:
        """Return the lease to grant now, after recording its end."""
        if not self.incarnation:
            return NO_GRANT
        grant = compute_grant(self.clock, self.received_at, until, terms)
        state = self.incarnation_state(self.incarnation)
        state.lease_end = max(state.lease_end, grant.latest_end)
        return grant

    def update_from_report(self, report: Report, received: float) -> None:
        """Update the state from the report of an accepted poll."""
        self.update_clock(report, received)
        self.incarnation_state(report.incarnation).reached = True
        self.lease_expired = report.lapsed
        self.tasks = {(it.task, it.attempt): it for it in report.tasks}
        self.shares = {key: it for key, it in self.shares.items() if key in self.tasks}
        self.unsent_shares &= self.shares.keys()

    def update_clock(self, report: Report, received: float) -> None:
        """Update the worker's clock, size and incarnation."""
        if report.incarnation != self.incarnation:
            self.tasks = {}
            self.lease_expired = True
        self.incarnation = report.incarnation
        self.size = report.size
        self.clock = report.clock
        self.received_at = received
        self.failed = False


@dataclass(frozen=True, slots=True)
class Backoff:
    """Back-off of a task until ``until`` after ``count`` consecutive bad starts."""

    count: int
    until: float


@dataclass(slots=True)
class Cell:
    """
    One owned cell.

    ``stale``: the stored row may differ from ``row``.  ``refused``: a worker has reported a higher
    epoch.  ``released_leases_end``: when the leases of an owner that released the cell have ended.
    ``closed``: tasks whose job row another writer has already decided.
    """

    name: str
    row: CellRow
    version: int
    released_leases_end: float = 0.0
    stale: bool = False
    refused: bool = False
    scanned_version: int = 0
    queue: TaskQueue = field(default_factory=TaskQueue)
    payloads: dict[str, bytes] = field(default_factory=dict)
    cancels: dict[str, int] = field(default_factory=dict)
    links: dict[str, WorkerLink] = field(default_factory=dict)
    stopping: dict[str, StopReason] = field(default_factory=dict)
    backoffs: dict[str, Backoff] = field(default_factory=dict)
    closed: set[str] = field(default_factory=set)
    not_preferred_since: float | None = None
    _grouped_row: CellRow | None = None
    _grouped: dict[str, list[TaskRecord]] = field(default_factory=dict)

    @property
    def key(self) -> str:
        """Return the key of the cell's row."""
        return cell_key(self.name)

    def link(self, worker: str) -> WorkerLink:
        """Return the link to a worker."""
        known = self.links.get(worker)
        if known is None:
            known = self.links[worker] = WorkerLink(worker)
        return known

    def tasks_on(self, worker: str) -> list[TaskRecord]:
        """Return the tasks committed to a worker."""
        if self._grouped_row is not self.row:
            self._grouped_row = self.row
            self._grouped = {}
            for record in self.row.tasks.values():
                self._grouped.setdefault(record.worker, []).append(record)
        return list(self._grouped.get(worker, ()))

    def back_off(self, task: str, now: float, initial: float, maximum: float) -> None:
        """Delay the next start of a task, doubling the delay for consecutive calls."""
        known = self.backoffs.get(task, Backoff(0, 0.0))
        count = known.count + 1 if now < known.until + maximum else 1
        delay = min(maximum, initial * 2 ** min(count - 1, MAX_BACKOFF_DOUBLINGS))
        self.backoffs[task] = Backoff(count, now + delay)

    def request_stop(self, task: str, reason: StopReason) -> None:
        """Request the stop of a running task."""
        known = self.stopping.get(task)
        if known is None or known.value < reason.value:
            self.stopping[task] = reason

    def last_lease_end(self) -> float:
        """Return when every lease granted for this cell has ended (own clock)."""
        incarnations = (it for link in self.links.values() for it in link.incarnations.values())
        return max((it.lease_end for it in incarnations), default=0.0)

    def has_stopped(self, worker: str, incarnation: str, watch: AuthorityWatch, now: float) -> bool:
        """
        Return whether a worker's incarnation is proven to run nothing any more.

        That is so once no process can have renewed its lease for a term: our own grants have
        ended, and either it refuses earlier owners or their authority has ended too.
        """
        state = self.link(worker).incarnation_state(incarnation)
        if now < state.lease_end:
            return False
        return state.reached or self.earlier_owners_ended(watch, now)

    def earlier_owners_ended(self, watch: AuthorityWatch, now: float) -> bool:
        """Return whether no earlier owner can renew leases in this cell."""
        if now < self.released_leases_end:
            return False
        return not self.unproven_owners(watch, now)

    def unproven_owners(
        self, watch: AuthorityWatch, now: float
    ) -> tuple[tuple[ControllerId, int], ...]:
        """Return the earlier owners whose authority is not proven to have ended."""
        return tuple(
            (controller, epoch)
            for controller, epoch in self.row.unproven
            if not watch.has_ended(controller, self.name, epoch, now)
        )


def worker_host(row: WorkerRow) -> ListedHost:
    """Return a worker as a listed host, even if the host list no longer names it."""
    return ListedHost(
        row.name, HostRole.WORKER, row.site, row.rack, row.address, row.port, size=row.size
    )
