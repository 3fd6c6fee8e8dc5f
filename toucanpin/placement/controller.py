"""
Turns of a control process
==========================

A turn renews the authority, settles which cells this process owns, commits what the workers
reported and what the bundle requires, places waiting tasks, and polls the workers with the results.
"""

from __future__ import annotations

from toucanpin.placement.actions import Decision
from toucanpin.placement.lease_renewal import renew_leases_during
from toucanpin.placement.ownership import (
    delete_expired_authority,
    hand_over_cells,
    lose_all_cells,
    read_plan_rows,
    read_queues,
    release_cell,
    take_cells,
)
from toucanpin.placement.placing import apply_policy, drain_workers, move_tasks, place_tasks
from toucanpin.placement.polling import fetch_payloads, poll_workers
from toucanpin.placement.reports import process_reports
from toucanpin.placement.standing import reconcile_standing
from toucanpin.placement.state import ClusterView, ControlState

__all__ = ["release_all", "take_turn"]


def take_turn(state: ControlState, view: ClusterView) -> Decision[None]:
    """Run one turn; a turn that is interrupted at any step leaves nothing to repair."""
    state.now = view.now
    yield from renew_leases_during(state, _take_steps(state, view))


def _take_steps(state: ControlState, view: ClusterView) -> Decision[None]:
    """Run the steps of a turn in order."""
    state.health.begin_turn(view.now)
    yield from renew_authority(state, view)
    if not state.health.down:
        yield from read_plan_rows(state)
        yield from fence_earlier_owners(state, view)
        yield from take_cells(state, view)
        yield from delete_expired_authority(state, view)
        yield from hand_over_cells(state, view)
        yield from read_queues(state)
        yield from process_reports(state, view)
        yield from reconcile_standing(state, view)
        drain_workers(state, view)
        yield from apply_policy(state, view)
        yield from place_tasks(state, view)
        yield from move_tasks(state, view)
        yield from fetch_payloads(state, view)
    state.watch.table_reachable = not state.health.down
    yield from poll_workers(state, view)


def renew_authority(state: ControlState, view: ClusterView) -> Decision[None]:
    """Renew this process's authority row, which also probes whether the table answers again."""
    asked = yield from state.authority.renew(
        view.now, view.known_controllers(), state.ceded(view.now)
    )
    if asked:
        if state.authority.table_answered:
            state.health.record_success(view.now)
        else:
            state.health.record_failure()
    if state.authority.fenced:
        yield from lose_all_cells(state)


def fence_earlier_owners(state: ControlState, view: ClusterView) -> Decision[None]:
    """
    Fence the earlier owners of any cell whose authority is not yet proven to have ended.

    Cells of other owners count too: a new owner that started too late to be on the earlier owner's
    roster must not fence it, so only a process on that roster can prove the end of its authority
    before ``max_authority`` has passed.
    """
    rows = (stored.row for stored in state.stored.values())
    owners = {
        controller
        for row in rows
        for controller, _ in row.unproven
        if controller != state.controller_id
    }
    for controller in sorted(owners):
        if state.health.may_commit():
            yield from state.watch.fence(controller, view.now)


def release_all(state: ControlState) -> Decision[None]:
    """Release all cells and the authority, so that other processes take over at once."""
    state.draining = True
    for cell in list(state.cells.values()):
        yield from release_cell(state, cell)
    yield from state.authority.release()
