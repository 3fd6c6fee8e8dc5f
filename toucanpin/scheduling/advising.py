"""
Advice
======

Which workers a queue's policy allows for a step, and when to ask.
"""

from __future__ import annotations

from dataclasses import dataclass

from toucanpin.scheduling.cell import Cell, Group, Now, StepTickets, rank_group
from toucanpin.scheduling.choosing import CandidateWorkers, PlacementRound, list_eligible
from toucanpin.scheduling.interference_model import InterferenceModel
from toucanpin.scheduling.worker import Worker

__all__ = ["Advice", "AdviceRequest", "find_ticket", "plan_advice_requests", "record_advice"]

MAX_WORKERS_PER_REQUEST = (
    40  # workers of one question; more make the answer late, fewer leave too little choice
)
EXPIRY_MARGIN_S = 0.5  # s before a ticket's end from which on it isn't used
RETRY_DELAY_S = 0.3  # s after a question without an answer


@dataclass(frozen=True, slots=True)
class Advice:
    """Hold the tickets of the workers that may run a step, and for how many seconds they hold."""

    tickets: dict[str, str]
    valid: float


@dataclass(frozen=True, slots=True)
class AdviceRequest:
    """Ask about workers for a step."""

    group: Group
    workers: tuple[str, ...]


def find_ticket(cell: Cell, group: Group, worker: str, now: Now) -> str:
    """Return the ticket with which a worker may run a step, empty if none is known."""
    known = cell.step_tickets.get(group)
    if known is None:
        return ""
    ticket, until = known.tickets.get(worker, ("", 0.0))
    return ticket if now.steady < until - EXPIRY_MARGIN_S else ""


def plan_advice_requests(
    cell: Cell, model: InterferenceModel, free: int, now: Now
) -> list[AdviceRequest]:
    """
    Return at most ``free`` questions that steps need now, the most urgent first.

    Answers hold for seconds only, so nobody asks about workers that couldn't take a task now.
    """
    requests: list[AdviceRequest] = []
    if not free:
        return requests
    eligible: list[Worker] | None = None
    round_ = PlacementRound(model, now)
    for group in sorted(cell.waiting, key=lambda group: rank_group(cell, group, now)):
        live = cell.jobs[group.job]
        if not live.job.advised:
            continue
        known = cell.step_tickets.setdefault(group, StepTickets())
        if known.request_pending or now.steady < known.retry_at:
            continue
        eligible = list_eligible(cell, now) if eligible is None else eligible
        step = live.job.steps[group.step]
        fitting = CandidateWorkers(round_, live, group, step, eligible).list_by_cost()
        if any(find_ticket(cell, group, worker.entry.id, now) for worker in fitting):
            continue
        # What was refused stays refused, so the next question goes to other workers.
        ids = (worker.entry.id for worker in fitting)
        requested = [worker for worker in ids if worker not in known.refused][
            :MAX_WORKERS_PER_REQUEST
        ]
        if requested:
            known.request_pending = True
            requests.append(AdviceRequest(group, tuple(requested)))
        if len(requests) >= free:
            break
    return requests


def record_advice(cell: Cell, request: AdviceRequest, advice: Advice | None, now: Now) -> None:
    """Take note of an answer, or of its lack."""
    known = cell.step_tickets.get(request.group)
    if known is None:
        return
    known.request_pending = False
    if advice is None:
        known.retry_at = now.steady + RETRY_DELAY_S
        return
    until = now.steady + advice.valid
    for worker in request.workers:
        ticket = advice.tickets.get(worker)
        if ticket is None:
            known.refused.add(worker)
        else:
            known.tickets[worker] = (ticket, until)
