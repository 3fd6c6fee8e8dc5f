"""
Advice
======

Which workers a queue's policy allows for a step, and when to ask.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from toucanpin.scheduling.cell import Cell, Group, Now
from toucanpin.scheduling.worker import Worker, has_room

__all__ = ["Advice", "Advised", "AdviceOrder", "find_ticket", "plan_advice", "take_advice"]

QUESTION = 30  # workers of one question; more make the answer late, fewer leave too little choice
MARGIN = 0.5  # s before a ticket's end from which on it isn't used
PAUSE = 0.3  # s after a question without an answer


@dataclass(frozen=True, slots=True)
class Advice:
    """Hold the tickets of the workers that may run a step, and for how many seconds they hold."""

    tickets: dict[str, str]
    valid: float


@dataclass(frozen=True, slots=True)
class AdviceOrder:
    """Ask about workers for a step."""

    group: Group
    workers: tuple[str, ...]


@dataclass(slots=True)
class Advised:
    """Hold what is known for one step; times are on the local steady clock."""

    tickets: dict[str, tuple[str, float]] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)
    asking: bool = False
    again_at: float = 0.0


def find_ticket(cell: Cell, group: Group, worker: str, now: Now) -> str:
    """Return the ticket with which a worker may run a step, empty if none is known."""
    advised = cell.advised.get(group)
    if advised is None:
        return ""
    ticket, until = advised.tickets.get(worker, ("", 0.0))
    return ticket if now.steady < until - MARGIN else ""


def plan_advice(cell: Cell, able: Iterable[Worker], now: Now) -> list[AdviceOrder]:
    """Return the questions that steps which wait for advice need now."""
    able = list(able)
    orders = []
    for group in cell.waiting:
        live = cell.jobs[group.job]
        if not live.job.advised:
            continue
        advised = cell.advised.setdefault(group, Advised())
        if advised.asking or now.steady < advised.again_at:
            continue
        step = live.job.steps[group.step]
        fitting = [worker.entry.id for worker in able if has_room(worker, step)]
        if any(find_ticket(cell, group, worker, now) for worker in fitting):
            continue
        # What was refused stays refused, so the next question goes to other workers.
        asked = [worker for worker in fitting if worker not in advised.refused][:QUESTION]
        if asked:
            advised.asking = True
            orders.append(AdviceOrder(group, tuple(asked)))
    return orders


def take_advice(cell: Cell, order: AdviceOrder, advice: Advice | None, now: Now) -> None:
    """Take note of an answer, or of its lack."""
    advised = cell.advised.get(order.group)
    if advised is None:
        return
    advised.asking = False
    if advice is None:
        advised.again_at = now.steady + PAUSE
        return
    until = now.steady + advice.valid
    for worker in order.workers:
        ticket = advice.tickets.get(worker)
        if ticket is None:
            advised.refused.add(worker)
        else:
            advised.tickets[worker] = (ticket, until)
