"""
State of a control process
==========================

State that the decisions of one control process share between turns.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import cached_property

from toucanpin.bundles.schema import Bundle
from toucanpin.membership.member import Member, Standing
from toucanpin.placement.authority import Authority, AuthorityWatch
from toucanpin.placement.cells import Cell
from toucanpin.placement.leases import LeaseTerms
from toucanpin.placement.policy import BestFitPolicy, GuardedPolicy, PlacementPolicy
from toucanpin.placement.queue import CellShape, cell_name, list_cell_shapes, rendezvous_weight
from toucanpin.placement.records import CellRow, ControllerId, StandingRow
from toucanpin.placement.writing import TableHealth
from toucanpin.platform.ports import HostRole, ListedHost

__all__ = ["ClusterView", "ControlOptions", "ControlState"]

CONTROL_ROLE = "control"


@dataclass(frozen=True, slots=True)
class ControlOptions:
    """Intervals (s) and limits of a control process, except those of its leases."""

    poll: float = 1.0
    checkpoint: float = 30.0
    hand_over_after: float = 2.0
    move_after: float = 5.0
    reserve_after: float = 60.0
    quarantine: float = 600.0
    restart_backoff: float = 1.0
    max_restart_backoff: float = 60.0
    commits_per_turn: int = 8
    tries_per_turn: int = 256


@dataclass(frozen=True)
class ClusterView:
    """
    Inputs of a turn from outside the table, which are hints only; ``now`` is monotonic.

    The host list is grouped by cell once, since scanning it for each cell would make the cost of a
    turn quadratic in the number of hosts.
    """

    now: float
    hosts: tuple[ListedHost, ...]
    members: tuple[Member, ...]
    bundle: Bundle | None

    @cached_property
    def workers(self) -> dict[str, ListedHost]:
        """Return the listed workers by name."""
        return {it.name: it for it in self.hosts if it.role is HostRole.WORKER}

    @cached_property
    def shapes(self) -> tuple[CellShape, ...]:
        """Return the cells of the host list."""
        return list_cell_shapes(self.hosts)

    @cached_property
    def workers_of_cells(self) -> dict[str, list[ListedHost]]:
        """Return the listed workers of each cell."""
        cells: dict[str, list[ListedHost]] = {}
        for host in self.workers.values():
            cells.setdefault(cell_name(host), []).append(host)
        return cells

    def known_controllers(self) -> tuple[ControllerId, ...]:
        """Return the control processes that are alive or suspected according to membership."""
        return self._list_controllers((Standing.ALIVE, Standing.SUSPECT))

    def alive_controllers(self) -> tuple[ControllerId, ...]:
        """
        Return the control processes that are alive, and not suspected, according to membership.

        Cells are divided among these.  If suspects were included until they are declared dead, the
        leases of a dead owner's workers would expire and all its tasks would stop.
        """
        return self._list_controllers((Standing.ALIVE,))

    def _list_controllers(self, standings: tuple[Standing, ...]) -> tuple[ControllerId, ...]:
        chosen = (it for it in self.members if it.role == CONTROL_ROLE and it.standing in standings)
        return tuple(sorted(ControllerId(it.name, it.process_incarnation) for it in chosen))


@dataclass(slots=True)
class StoredCell:
    """Row of a cell as last read."""

    row: CellRow
    version: int


@dataclass(slots=True)
class ControlState:
    """Authority of a control process, its cells and the rows that it has read of other cells."""

    controller_id: ControllerId
    terms: LeaseTerms = field(default_factory=LeaseTerms)
    options: ControlOptions = field(default_factory=ControlOptions)
    policy: PlacementPolicy = field(default_factory=BestFitPolicy)
    cells: dict[str, Cell] = field(default_factory=dict)
    stored: dict[str, StoredCell] = field(default_factory=dict)
    standing: dict[str, tuple[StandingRow, int]] = field(default_factory=dict)
    lost_cells: dict[str, tuple[int, float]] = field(default_factory=dict)
    scanned_version: int = 0
    sequence: int = 0
    last_reported_cell: str = ""
    last_placed_cell: str = ""
    next_move_at: float = 0.0
    next_lease_check: float = 0.0
    now: float = 0.0
    draining: bool = False
    authority: Authority = field(init=False)
    watch: AuthorityWatch = field(init=False)
    health: TableHealth = field(init=False)

    def __post_init__(self) -> None:
        """Build the parts that depend on the process's identity and options."""
        self.authority = Authority(self.controller_id, self.terms)
        self.watch = AuthorityWatch(self.controller_id, self.terms)
        self.health = TableHealth(self.options.commits_per_turn)
        self.policy = GuardedPolicy(self.policy)

    def cells_after(self, last: str) -> list[Cell]:
        """
        Return the cells in order of their names, rotated to begin after the last one served.

        A turn commits to a few cells only, so without rotation the later ones would starve.
        """
        names = sorted(self.cells, key=lambda name: (name <= last, name))
        return [self.cells[name] for name in names]

    def next_sequence(self) -> int:
        """Return a number that is unique within this incarnation of the process."""
        self.sequence += 1
        return self.sequence

    def preferred_owner(self, cell: str, controllers: tuple[ControllerId, ...]) -> ControllerId:
        """Return the process that should own a cell, among the given ones and this one."""
        names = {it.process: it for it in (*controllers, self.controller_id)}
        return names[max(names, key=lambda name: rendezvous_weight(cell, name))]

    def in_grace_period(self, now: float) -> bool:
        """
        Return whether the table has only recently recovered.

        All authority rows are then unchanged since before the outage.  Their owners get time to
        renew them before an unchanged row counts as a sign of death.
        """
        grace_period = self.terms.takeover_after + self.terms.renew_every
        return self.health.recovered_at > 0 and now < self.health.recovered_at + grace_period

    def eligible_controllers(self, view: ClusterView) -> tuple[ControllerId, ...]:
        """
        Return the processes that may own cells: alive, and renewing their authority.

        A process that sends heartbeats but is cut off from the table would otherwise remain the
        preferred owner of cells that it can't serve.
        """
        controllers = view.alive_controllers()
        if self.in_grace_period(view.now):
            return controllers
        return tuple(it for it in controllers if self._is_renewing(it, view.now))

    def _is_renewing(self, controller: ControllerId, now: float) -> bool:
        unchanged_for = self.watch.unchanged_for(controller, now)
        if unchanged_for is None or self.watch.has_no_authority(controller):
            return False
        return unchanged_for < self.terms.missed_renewal_after()

    def ceded(self, now: float) -> dict[str, int]:
        """Return the last epochs of lost cells in which all own leases have ended."""
        return {cell: epoch for cell, (epoch, ends) in self.lost_cells.items() if now >= ends}
