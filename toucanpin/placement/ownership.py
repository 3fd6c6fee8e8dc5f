"""
Ownership of cells
==================

Decide from membership hints which cells this process should own, and take, hand over and give up
cells by compare-and-set.

Taking a cell raises its epoch: the row then refuses the earlier owner's writes, and every worker
that accepts one of our polls refuses the earlier owner's polls.  Reachable workers therefore go on
without a gap while the earlier owner's authority lasts.  For an unreachable worker,
`Cell.has_stopped` waits until that authority is proven to have ended.
"""

from __future__ import annotations

import msgspec
from expression import Result

from toucanpin.placement.actions import Commit, Decision, Read, RecordEvent, Scan
from toucanpin.placement.cells import Cell
from toucanpin.placement.records import (
    AUTHORITY_PREFIX,
    CELL_PREFIX,
    PLAN_PREFIX,
    STANDING_PREFIX,
    CancelRow,
    CellRow,
    ControllerId,
    QueueRow,
    StandingRow,
    WorkerRow,
    WorkerState,
    authority_key,
    cell_key,
    decode,
    encode,
    queue_prefix,
)
from toucanpin.placement.state import ClusterView, ControlState, StoredCell
from toucanpin.platform.ports import (
    ABSENT,
    Committed,
    Conflict,
    Row,
    Transaction,
    Unavailable,
    Unknown,
    Write,
)

__all__ = [
    "delete_expired_authority",
    "hand_over_cells",
    "read_plan_rows",
    "read_queues",
    "release_cell",
    "take_cells",
]


def read_plan_rows(state: ControlState) -> Decision[None]:
    """
    Read the changed rows of authority, cells and standing tasks.

    They share a prefix, since one scan per turn instead of three saves a third of the processor
    time of an idle control process, and reads of the table.
    """
    rows = yield from _scan(state, PLAN_PREFIX, state.scanned_version)
    authority = [row for row in rows if row.key.startswith(AUTHORITY_PREFIX)]
    state.watch.observe(authority, state.watch.read_at)
    for row in rows:
        _store_row(state, row)
    state.scanned_version = _newest_version(rows, state.scanned_version)
    yield from _refresh_cells(state)


def _store_row(state: ControlState, row: Row) -> None:
    """Store the row of a cell or of a standing task."""
    if row.key.startswith(CELL_PREFIX):
        name = row.key.removeprefix(CELL_PREFIX)
        state.stored[name] = StoredCell(decode(row.value, CellRow), row.version)
    elif row.key.startswith(STANDING_PREFIX):
        name = row.key.removeprefix(STANDING_PREFIX)
        state.standing[name] = (decode(row.value, StandingRow), row.version)


def _scan(state: ControlState, prefix: str, after: int) -> Decision[tuple[Row, ...]]:
    """Read the changed rows below a prefix; return none while the table is down."""
    if state.health.down:
        return ()
    answer = yield Scan(prefix, after)
    match answer.value:
        case Result(tag="ok", ok=rows):
            state.watch.read_at = answer.now
            state.health.record_success(answer.now)
            return tuple(rows)
        case _:
            state.health.record_failure()
            return ()


def _newest_version(rows: tuple[Row, ...], before: int) -> int:
    return max((row.version for row in rows), default=before)


def _refresh_cells(state: ControlState) -> Decision[None]:
    """Give up cells that another process has taken, and read back rows that may have changed."""
    for cell in list(state.cells.values()):
        stored = state.stored.get(cell.name)
        if stored is not None and stored.version > cell.version:
            yield from _adopt_row(state, cell, stored)
        if cell.stale and cell.name in state.cells and not state.health.down:
            answer = yield Read(cell.key)
            match answer.value:
                case Result(tag="ok", ok=Row() as row):
                    read = StoredCell(decode(row.value, CellRow), row.version)
                    yield from _adopt_row(state, cell, read)
                case Result(tag="error"):
                    state.health.record_failure()


def _adopt_row(state: ControlState, cell: Cell, stored: StoredCell) -> Decision[None]:
    """Adopt the stored row of a cell, or give the cell up if we no longer own it."""
    if stored.row.owner != state.controller_id or stored.row.epoch < cell.row.epoch:
        yield from lose_cell(state, cell, stored.row.epoch - 1)
        return
    if stored.version != cell.version:
        # An own write took effect although its answer was lost: scan the whole queue again.
        cell.row = stored.row
        cell.version = stored.version
        cell.scanned_version = 0
        for task in list(cell.row.tasks):
            cell.queue.drop(task)
    cell.stale = False
    cell.refused = False


def lose_cell(state: ControlState, cell: Cell, epoch: int) -> Decision[None]:
    """Give up a cell; it is listed as ceded once the leases granted there have ended."""
    del state.cells[cell.name]
    known = state.lost_cells.get(cell.name, (0, 0.0))
    last = max(epoch, cell.row.epoch, known[0])
    state.lost_cells[cell.name] = (last, max(cell.last_lease_end(), known[1]))
    yield RecordEvent("cell.lose", {"cell": cell.name})


def lose_all_cells(state: ControlState) -> Decision[None]:
    """Give up every cell after a fence, which nobody sets before our leases have ended."""
    for cell in list(state.cells.values()):
        yield from lose_cell(state, cell, cell.row.epoch)
    state.lost_cells = {name: (epoch, 0.0) for name, (epoch, _) in state.lost_cells.items()}


def take_cells(state: ControlState, view: ClusterView) -> Decision[None]:
    """Take the cells that this process should own and that may be taken from their owners."""
    controllers = view.alive_controllers()
    eligible = state.eligible_controllers(view)
    listed = {shape.name for shape in view.shapes}
    used = {name for name, it in state.stored.items() if it.row.tasks or it.row.owner is not None}
    for name in sorted(listed | used):
        if name in state.cells or state.preferred_owner(name, eligible) != state.controller_id:
            continue
        stored = state.stored.get(name)
        if stored is not None and not _may_take(state, stored.row, controllers, view.now):
            continue
        if state.health.may_commit() and state.authority.holds(view.now):
            yield from _take_cell(state, view, name, stored)


def _may_take(
    state: ControlState, row: CellRow, controllers: tuple[ControllerId, ...], now: float
) -> bool:
    """Return whether a cell may be taken without disturbing a live owner."""
    owner = row.owner
    if owner is None or owner == state.controller_id:
        return True
    if state.in_grace_period(now):
        return False
    unchanged_for = state.watch.unchanged_for(owner, now)
    if unchanged_for is None:
        return False
    if state.watch.has_no_authority(owner):
        return True
    if owner in controllers:
        return unchanged_for >= state.terms.missed_renewal_after()
    return unchanged_for >= state.terms.takeover_after


def _take_cell(
    state: ControlState, view: ClusterView, name: str, stored: StoredCell | None
) -> Decision[None]:
    """Commit this process as the owner of a cell, with a higher epoch."""
    before = stored.row if stored else CellRow(0, None, {}, {})
    unproven = tuple(
        (controller, epoch)
        for controller, epoch in before.unproven
        if not state.watch.has_ended(controller, name, epoch, view.now)
    )
    if before.owner is not None and before.owner != state.controller_id:
        unproven = (*unproven, (before.owner, before.epoch))
    row = msgspec.structs.replace(
        before,
        epoch=before.epoch + 1,
        owner=state.controller_id,
        unproven=unproven,
        workers={**before.workers, **list_changed_workers(before, view, name)},
    )
    cell = Cell(name, row, ABSENT)
    version = stored.version if stored else ABSENT
    token = (
        f"{name}/{row.epoch}/take/"
        f"{state.controller_id.process}/{state.controller_id.incarnation}"
    )
    state.health.count_commit()
    answer = yield Commit(Transaction(token, (Write(cell.key, version, encode(row)),)))
    match answer.value:
        case Result(tag="ok", ok=Committed(committed)):
            cell.version = committed
            # Leases of an owner that released the cell, or our own from an earlier ownership, end
            # at most one lease after the row was read.
            cell.released_leases_end = answer.now + state.terms.add_drift(state.terms.lease)
            state.cells[name] = cell
            yield RecordEvent("cell.take", {"cell": name}, f"epoch {row.epoch}")
        case Result(tag="error", error=Conflict(rows)):
            for found in rows:
                if found.version != ABSENT:
                    state.stored[name] = StoredCell(decode(found.value, CellRow), found.version)
        case Result(tag="error", error=Unavailable() | Unknown()):
            state.health.record_failure()


def list_changed_workers(row: CellRow, view: ClusterView, cell: str) -> dict[str, WorkerRow]:
    """Return the new rows of the workers that differ from the host list."""
    changed: dict[str, WorkerRow] = {}
    for host in view.workers_of_cells.get(cell, ()):
        known = row.workers.get(host.name)
        if known is None:
            known = WorkerRow(host.name, host.site, host.rack, host.address, host.port, host.size)
            changed[host.name] = known
        leaving = WorkerState.LEAVING if host.leaving else WorkerState.ACTIVE
        updated = msgspec.structs.replace(
            known,
            address=host.address,
            port=host.port,
            size=host.size,
            state=leaving if known.state is not WorkerState.QUARANTINED else known.state,
        )
        if known.state is WorkerState.LOST and not host.leaving:
            updated = msgspec.structs.replace(updated, state=WorkerState.LOST)
        if updated != known:
            changed[host.name] = updated
    return changed


def delete_expired_authority(state: ControlState, view: ClusterView) -> Decision[None]:
    """Delete the authority rows of ended processes that no cell refers to."""
    rows = [stored.row for stored in state.stored.values()]
    used = {row.owner for row in rows} | {
        controller for row in rows for controller, _ in row.unproven
    }
    present = frozenset(view.known_controllers()) | {state.controller_id}
    for controller, version in state.watch.find_expired(view.now, present):
        if controller in used or not state.health.may_commit():
            continue
        state.health.count_commit()
        write = Write(authority_key(controller), version, None)
        token = (
            f"{state.controller_id.process}/{state.controller_id.incarnation}/"
            f"collect/{controller.process}/{version}"
        )
        answer = yield Commit(Transaction(token, (write,)))
        match answer.value:
            case Result(tag="ok") | Result(tag="error", error=Conflict()):
                state.watch.forget(controller)
            case _:
                state.health.record_failure()


def read_queues(state: ControlState) -> Decision[None]:
    """Read new tasks and cancellation requests from the queues of the owned cells."""
    for cell in state.cells.values():
        prefix = queue_prefix(cell.name)
        rebuild = cell.scanned_version == 0
        was_down = state.health.down
        rows = yield from _scan(state, prefix, cell.scanned_version)
        if was_down or state.health.down:
            return
        if rebuild:
            _drop_deleted(cell, rows)
        for row in rows:
            kind, _, task = row.key.removeprefix(prefix).partition("/")
            if kind == "task":
                waiting = decode(row.value, QueueRow)
                cell.queue.put(waiting.record, row.version, state.watch.read_at)
                if waiting.payload:
                    cell.payloads[task] = waiting.payload
            elif kind == "cancel":
                cell.cancels[decode(row.value, CancelRow).task] = row.version
        cell.scanned_version = _newest_version(rows, cell.scanned_version)


def _drop_deleted(cell: Cell, rows: tuple[Row, ...]) -> None:
    """Drop the waiting tasks whose rows have been deleted."""
    present = {row.key.rpartition("/")[2] for row in rows}
    for waiting in list(cell.queue.in_order()):
        if waiting.record.task not in present:
            cell.queue.drop(waiting.record.task)


def hand_over_cells(state: ControlState, view: ClusterView) -> Decision[None]:
    """Release the cells that have preferred another live process for ``hand_over_after``."""
    eligible = state.eligible_controllers(view)
    for cell in list(state.cells.values()):
        if state.preferred_owner(cell.name, eligible) == state.controller_id:
            cell.not_preferred_since = None
            continue
        if cell.not_preferred_since is None:
            cell.not_preferred_since = view.now
        if view.now - cell.not_preferred_since >= state.options.hand_over_after:
            yield from release_cell(state, cell)
    for name, stored in list(state.stored.items()):
        # The answer of an earlier release was lost, and the row shows that it had no effect.
        unreleased = stored.row.owner == state.controller_id and name not in state.cells
        if (
            unreleased
            and state.preferred_owner(name, eligible) != state.controller_id
            and state.health.may_commit()
        ):
            yield from _write_release(state, name, stored)


def release_cell(state: ControlState, cell: Cell) -> Decision[None]:
    """Remove the owner from a cell's row, so that the next owner need not wait."""
    if cell.stale or state.health.down:
        return
    # The next owner waits for one lease from the release.  Leases that are granted after the
    # release was sent, while its answer is late or lost, would outlast that wait.  So the cell is
    # given up first, and taken back only if the release is known to have had no effect.
    before = state.lost_cells.get(cell.name)
    yield from lose_cell(state, cell, cell.row.epoch)
    stored = StoredCell(cell.row, cell.version)
    failed = yield from _write_release(state, cell.name, stored)
    if failed:
        state.cells[cell.name] = cell
        state.lost_cells.pop(cell.name)
        if before is not None:
            state.lost_cells[cell.name] = before


def _write_release(state: ControlState, name: str, stored: StoredCell) -> Decision[bool]:
    """Commit a release; return True if it is known to have had no effect."""
    row = msgspec.structs.replace(stored.row, owner=None)
    token = f"{name}/{row.epoch}/release"
    write = Write(cell_key(name), stored.version, encode(row))
    state.health.count_commit()
    answer = yield Commit(Transaction(token, (write,)))
    match answer.value:
        case Result(tag="ok", ok=Committed(version)):
            state.stored[name] = StoredCell(row, version)
        case Result(tag="error", error=Unavailable()):
            state.health.record_failure()
            return True
        case Result(tag="error", error=Unknown()):
            state.health.record_failure()
    return False
