"""
Lease renewal during slow turns
===============================

Renew the leases of workers between the steps of a turn, however slow the table is.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import TypeVar

from expression import Result

from toucanpin.placement.actions import Answer, Decision, PollAll, WorkerPoll
from toucanpin.placement.cells import Cell, WorkerLink, worker_host
from toucanpin.placement.state import ControlState
from toucanpin.platform.ports import Poll, Report

__all__ = ["renew_leases_during"]

T = TypeVar("T")

LEASE_CHECK_FRACTION = 0.25  # of the poll interval


def renew_leases_during(state: ControlState, decision: Decision[T]) -> Decision[T]:
    """
    Run a decision, and renew the leases that are due after each of its steps.

    A table that hangs delays each step until its timeout.  With renewals only at the end of a turn,
    two such steps would use up a lease, and the guards of all workers would stop every task
    although all owners are alive.  One timeout is well below a lease.
    """
    answer: Answer | None = None
    while True:
        try:
            action = next(decision) if answer is None else decision.send(answer)
        except StopIteration as stop:
            result: T = stop.value
            return result
        answer = yield action
        state.now = max(state.now, answer.now)
        if not isinstance(action, PollAll):
            yield from _renew_due(state)


def _renew_due(state: ControlState) -> Decision[None]:
    """Renew the leases of workers that have not been polled for longer than a poll interval."""
    if state.now < state.next_lease_check:
        return
    state.next_lease_check = state.now + LEASE_CHECK_FRACTION * state.options.poll
    due = tuple(_find_due(state))
    if not due:
        return
    polls = tuple(_make_poll(state, cell, link) for cell, link in due)
    answer = yield PollAll(polls)
    state.now = max(state.now, answer.now)
    for (cell, link), worker_poll, outcome in zip(due, polls, answer.value, strict=True):
        match outcome:
            case Result(tag="ok", ok=Report() as report):
                _update_clock(cell, link, worker_poll.poll, report, answer.now)
                _observe_samples(state, cell, link, report, answer.now)


def _observe_samples(
    state: ControlState, cell: Cell, link: WorkerLink, report: Report, now: float
) -> None:
    """Pass the report to the policy, since its samples are not repeated in later ones."""
    if report.accepted and report.incarnation == link.incarnation:
        state.policy.observe(now, report, cell.tasks_on(link.name))


def _find_due(state: ControlState) -> Iterator[tuple[Cell, WorkerLink]]:
    """Yield the workers with a running lease whose next poll is overdue."""
    if not state.authority.holds(state.now):
        return
    for cell in state.cells.values():
        if cell.refused:
            continue
        for name in cell.row.workers:
            link = cell.link(name)
            late = state.now >= max(link.next_poll, link.renewed_at + state.options.poll)
            if link.incarnation and not link.failed and not link.lease_expired and late:
                yield cell, link


def _make_poll(state: ControlState, cell: Cell, link: WorkerLink) -> WorkerPoll:
    """Return a poll that renews a lease without orders."""
    link.renewed_at = state.now
    grant = link.grant(state.authority.until, state.terms)
    poll = Poll(cell.row.epoch, link.incarnation, grant.lease_until, ())
    return WorkerPoll(worker_host(cell.row.workers[link.name]), poll)


def _update_clock(cell: Cell, link: WorkerLink, poll: Poll, report: Report, now: float) -> None:
    """
    Update only the worker's clock, on which the next grant is based.

    The decision in progress may rely on the tasks of the last report; changes of tasks are handled
    with the next regular poll.
    """
    if report.epoch > poll.epoch:
        cell.refused = True
    elif report.accepted and report.incarnation == link.incarnation:
        link.clock = report.clock
        link.received_at = now
