"""
Placement of waiting tasks
==========================

Assign waiting tasks to workers in queue order and within quotas, as many per transaction as fit.
Tasks for which a cell has no capacity move to another cell's queue.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice

from expression import Result

from toucanpin.placement import lifecycle
from toucanpin.placement.actions import Commit, Decision, RecordEvent
from toucanpin.placement.cells import Cell, StopReason, WorkerLink
from toucanpin.placement.ledger import (
    EMPTY_SIZE,
    FreeCapacityIndex,
    add,
    fits,
    minimum,
    subtract,
    used_by_team,
    used_by_worker,
)
from toucanpin.placement.lifecycle import Change
from toucanpin.placement.policy import Evict, Limit, PolicyEvent
from toucanpin.placement.queue import CellShape, Quotas, WaitingTask
from toucanpin.placement.records import TaskRecord, WorkerState
from toucanpin.placement.state import ClusterView, ControlState
from toucanpin.placement.writing import split_changes, write_cell
from toucanpin.platform.ports import (
    MAX_TRANSACTION_ROWS,
    Committed,
    Conflict,
    Size,
    Transaction,
    Write,
)

__all__ = ["apply_policy", "drain_workers", "move_tasks", "place_tasks"]

MAX_CANDIDATES = 8
MAX_MOVE_CANDIDATES = 32
MOVE_PERIOD_S = 1.0
ROWS_PER_MOVE = 3
MOVES_PER_TRANSACTION = MAX_TRANSACTION_ROWS // ROWS_PER_MOVE


def drain_workers(state: ControlState, view: ClusterView) -> None:
    """Request the eviction, with a checkpoint, of all tasks on leaving workers."""
    listed = view.workers
    for cell in state.cells.values():
        for name, worker in cell.row.workers.items():
            host = listed.get(name)
            leaving = worker.state is WorkerState.LEAVING or (host is not None and host.leaving)
            if not leaving:
                continue
            for record in cell.tasks_on(name):
                cell.request_stop(record.task, StopReason.EVICT)


def apply_policy(state: ControlState, view: ClusterView) -> Decision[None]:
    """Carry out the actions that the policy requests for running tasks."""
    owned = {name for cell in state.cells.values() for name in cell.row.workers}
    state.policy.prepare(view.now, view.bundle, owned)
    for cell in state.cells.values():
        for action in state.policy.decide(view.now, cell.row):
            record = cell.row.tasks.get(action.task)
            match action:
                case Evict(task) if record is not None and not record.standing:
                    cell.request_stop(task, StopReason.EVICT)
                case Limit(task, share) if record is not None:
                    cell.link(record.worker).set_share(task, record.attempt, share)
                    yield _make_event(cell, "task.throttle", task, f"{share:g}")
                case PolicyEvent(kind, task, detail):
                    yield _make_event(cell, kind, task, detail)


def _make_event(cell: Cell, kind: str, task: str, detail: str) -> RecordEvent:
    ids = {"cell": cell.name}
    if task:
        ids["task"] = task
    return RecordEvent(kind, ids, detail)


def count_team_usage(state: ControlState) -> dict[str, Size]:
    """Return each team's usage: as committed in owned cells, as last read in the others."""
    used: dict[str, Size] = {}
    rows = [cell.row for cell in state.cells.values()]
    rows.extend(it.row for name, it in state.stored.items() if name not in state.cells)
    for row in rows:
        for team, size in used_by_team(row.tasks.values()).items():
            used[team] = add(used.get(team, EMPTY_SIZE), size)
    return used


def place_tasks(state: ControlState, view: ClusterView) -> Decision[None]:
    """Commit waiting tasks to workers, up to 63 in one transaction."""
    if not any(len(cell.queue) for cell in state.cells.values()):
        return
    teams = view.bundle.teams if view.bundle else ()
    quotas = Quotas(teams, count_team_usage(state) if teams else {})
    for cell in sorted(state.cells_after(state.last_placed_cell), key=_has_no_urgent):
        if cell.stale or not len(cell.queue) or not state.health.may_commit():
            continue
        changes = list(choose_placements(state, cell, view, quotas))
        for group in split_changes(changes):
            state.last_placed_cell = cell.name
            written = yield from write_cell(cell, state.health, group)
            if not written:
                break


def _has_no_urgent(cell: Cell) -> bool:
    return not cell.queue.has_urgent()


def find_usable_workers(state: ControlState, cell: Cell, view: ClusterView) -> list[str]:
    """
    Return the workers that may receive tasks now: listed, answering and under a lease of ours.

    A process that started while the host list is unavailable uses the workers of the cell's row.
    Tasks of a lost worker would otherwise wait for the list although other workers answer.
    """
    listed = view.workers
    usable = []
    for name, worker in cell.row.workers.items():
        host = listed.get(name)
        link = cell.link(name)
        unlisted = host is None and bool(listed)
        leaving = host is not None and host.leaving
        if unlisted or leaving or worker.state is not WorkerState.ACTIVE:
            continue
        if _is_ready(link, view.now, state.options.poll):
            usable.append(name)
    return usable


def _is_ready(link: WorkerLink, now: float, poll: float) -> bool:
    answering = not link.failed and link.incarnation and now - link.received_at <= 3 * poll
    return bool(answering) and link.incarnation_state(link.incarnation).reached


def choose_placements(
    state: ControlState, cell: Cell, view: ClusterView, quotas: Quotas
) -> Iterator[Change]:
    """Yield the placements that free capacity and quotas allow, in queue order."""
    if not state.authority.holds(view.now):
        return
    usable = find_usable_workers(state, cell, view)
    index = FreeCapacityIndex.from_cell(cell.row, usable)
    _trim_to_reported(cell, usable, index)
    reserved = 0
    tries = 0
    for waiting in cell.queue.in_order():
        tries += 1
        if not len(index) or tries > state.options.tries_per_turn:
            return
        record = waiting.record
        if not _may_place(cell, waiting, view.now) or not quotas.allows(record.team, record.size):
            continue
        found = _avoid_failed(record, index.candidates(record.size, MAX_CANDIDATES))
        waited = view.now - waiting.since
        worker = state.policy.choose(record, found, cell.row, waited)
        if worker is None:
            if not found and _needs_reservation(state, waiting, view.now) and reserved == 0:
                reserved += 1
                _reserve(cell, record, index)
            continue
        index.allocate(worker, record.size)
        quotas.allocate(record.team, record.size)
        yield lifecycle.place(cell.name, waiting, worker, cell.link(worker).incarnation)


def _trim_to_reported(cell: Cell, usable: list[str], index: FreeCapacityIndex) -> None:
    """
    Limit the free capacity of each worker by the size that the worker itself reports.

    The host list may be wrong or outdated; a worker smaller than listed would refuse the tasks
    placed on it repeatedly.
    """
    for name in usable:
        free = index.free(name)
        listed, reported = cell.row.workers[name].size, cell.link(name).size
        if free is not None and not fits(listed, reported):
            missing = subtract(listed, minimum(listed, reported))
            index.set(name, subtract(free, missing))


def _may_place(cell: Cell, waiting: WaitingTask, now: float) -> bool:
    task = waiting.record.task
    if task in cell.row.tasks or task in cell.cancels or task in cell.closed:
        return False
    backoff = cell.backoffs.get(task)
    return backoff is None or now >= backoff.until


def _avoid_failed(record: TaskRecord, workers: list[str]) -> list[str]:
    """Return the workers on which the task has not failed, or all if it failed on each."""
    others = [it for it in workers if it not in record.failed_on]
    return others or workers


def _needs_reservation(state: ControlState, waiting: WaitingTask, now: float) -> bool:
    return waiting.record.urgent or now - waiting.since >= state.options.reserve_after


def _reserve(cell: Cell, record: TaskRecord, index: FreeCapacityIndex) -> None:
    """
    Reserve the emptiest worker that is large enough for a task until the end of the turn.

    Without a reservation small tasks take every gap before it is large enough, and a large task
    starves.  For an urgent task the least important tasks on that worker are evicted.
    """
    eligible = [
        name
        for name in cell.row.workers
        if index.free(name) is not None and fits(record.size, cell.row.workers[name].size)
    ]
    if not eligible:
        return
    worker = max(eligible, key=lambda name: _free_key(index, name))
    free = index.free(worker)
    index.remove(worker)
    if record.urgent and free is not None:
        _evict_for(cell, record, worker, free)


def _free_key(index: FreeCapacityIndex, name: str) -> tuple[int, int, int, str]:
    free = index.free(name) or EMPTY_SIZE
    return free.accelerators, free.processors, free.memory, name


def _evict_for(cell: Cell, record: TaskRecord, worker: str, free: Size) -> None:
    """Evict as few of the least important batch tasks as make room, or none if that fails."""
    victims = []
    for other in sorted(cell.tasks_on(worker), key=lambda it: (it.priority, it.evictions)):
        if fits(record.size, free):
            break
        if other.task in cell.stopping:
            free = add(free, other.size)
        elif not other.urgent and not other.standing:
            victims.append(other.task)
            free = add(free, other.size)
    if fits(record.size, free):
        for task in victims:
            cell.request_stop(task, StopReason.EVICT)


def move_tasks(state: ControlState, view: ClusterView) -> Decision[None]:
    """Move tasks that have waited too long, or can never run in their cell, to other cells."""
    if view.now < state.next_move_at:
        return
    shapes = {it.name: it for it in view.shapes}
    due = {
        cell.name: list(_find_due(state, cell, view.now, shapes.get(cell.name)))
        for cell in state.cells.values()
        if not cell.stale
    }
    if not any(due.values()):
        return
    state.next_move_at = view.now + MOVE_PERIOD_S
    finder = MoveFinder(state, shapes)
    for name, waiting in due.items():
        moves = list(islice(finder.find_moves(name, waiting), MOVES_PER_TRANSACTION))
        if moves and state.health.may_commit():
            yield from _commit_moves(state, state.cells[name], moves)


def _find_due(
    state: ControlState, cell: Cell, now: float, shape: CellShape | None
) -> Iterator[WaitingTask]:
    """Yield the waiting tasks that are due to move, or that can never run in this cell."""
    for waiting in islice(cell.queue.in_order(), state.options.tries_per_turn):
        if not _may_place(cell, waiting, now):
            continue
        delay = state.options.move_after * 2**waiting.record.moves
        infeasible = shape is None or not shape.can_hold(waiting.record.size)
        if infeasible or now - waiting.since >= delay:
            yield waiting


class MoveFinder:
    """Finder of free capacity in the listed cells, by their rows as last read."""

    def __init__(self, state: ControlState, shapes: dict[str, CellShape]) -> None:
        """Index the workers of every listed cell."""
        self._index = FreeCapacityIndex()
        self._cells: dict[str, str] = {}
        rows = {name: it.row for name, it in state.stored.items()}
        rows.update({cell.name: cell.row for cell in state.cells.values()})
        for cell, row in rows.items():
            if cell not in shapes:
                continue
            used = used_by_worker(row.tasks.values())
            for name, worker in row.workers.items():
                if worker.state is WorkerState.ACTIVE:
                    self._cells[name] = cell
                    self._index.set(name, subtract(worker.size, used.get(name, EMPTY_SIZE)))

    def find_moves(self, cell: str, due: list[WaitingTask]) -> Iterator[tuple[WaitingTask, str]]:
        """Yield tasks with a cell that has capacity for them, and count that capacity as used."""
        for waiting in due:
            size = waiting.record.size
            found = self._index.candidates(size, MAX_MOVE_CANDIDATES)
            others = [it for it in found if self._cells[it] != cell]
            if others:
                self._index.allocate(others[0], size)
                yield waiting, self._cells[others[0]]


def _commit_moves(
    state: ControlState, cell: Cell, moves: list[tuple[WaitingTask, str]]
) -> Decision[None]:
    writes: list[Write] = []
    for waiting, target in moves:
        payload = cell.payloads.get(waiting.record.task, b"")
        writes.extend(lifecycle.move(cell.name, waiting, target, payload))
    token = f"{cell.name}/move/{state.controller_id.process}/{state.next_sequence()}"
    state.health.count_commit()
    answer = yield Commit(Transaction(token, tuple(writes)))
    match answer.value:
        case Result(tag="ok", ok=Committed()):
            for waiting, target in moves:
                cell.queue.drop(waiting.record.task)
                ids = {"cell": cell.name, "task": waiting.record.task}
                yield RecordEvent("task.move", ids, target)
        case Result(tag="error", error=Conflict()):
            # The job was cancelled or a row is gone: scan the whole queue again.
            cell.scanned_version = 0
        case _:
            cell.scanned_version = 0
            cell.stale = True
            state.health.record_failure()
