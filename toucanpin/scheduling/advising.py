"""
Placement advice
================

Request and store the tickets with which an advice service allows workers to run a step.
"""

from __future__ import annotations

from dataclasses import dataclass

from toucanpin.scheduling.cell import Cell, Group, Now, StepTickets
from toucanpin.scheduling.choosing import CandidateWorkers, list_eligible
from toucanpin.scheduling.interference_model import InterferenceModel
from toucanpin.scheduling.interrupted_tasks import list_turns
from toucanpin.scheduling.placement_round import PlacementRound
from toucanpin.scheduling.shortage import Demand, Shortage
from toucanpin.scheduling.unplaceable import (
    describe_shortage,
    is_known_unplaceable,
    record_unplaceable,
)
from toucanpin.scheduling.worker import Worker

__all__ = [
    "Advice",
    "AdviceRequest",
    "find_ticket",
    "list_ticketed",
    "plan_advice_requests",
    "record_advice",
]

MAX_WORKERS_PER_REQUEST = 40  # more delay the answer, fewer leave too few candidates
EXPIRY_MARGIN_S = 0.5  # before a ticket expires, in which it isn't used
RETRY_DELAY_S = 0.3  # after a request without an answer, and while there is no worker to name


@dataclass(frozen=True, slots=True)
class Advice:
    """Tickets by worker that may run a step, and the time in s for which they are valid."""

    tickets: dict[str, str]
    valid: float


@dataclass(frozen=True, slots=True)
class AdviceRequest:
    """Request for tickets of workers for a step."""

    group: Group
    workers: tuple[str, ...]


def find_ticket(cell: Cell, group: Group, worker: str, now: Now) -> str:
    """Return the ticket with which a worker may run a step, empty if there is no valid one."""
    known = cell.step_tickets.get(group)
    if known is None:
        return ""
    ticket, until = known.tickets.get(worker, ("", 0.0))
    return ticket if now.steady < until - EXPIRY_MARGIN_S else ""


def list_ticketed(cell: Cell, group: Group, workers: list[Worker], now: Now) -> list[Worker]:
    """Return the workers that may run a step by valid tickets."""
    known = cell.step_tickets.get(group)
    if known is None or not known.tickets:
        return []
    return [
        worker
        for worker in workers
        if worker.entry.id in known.tickets and find_ticket(cell, group, worker.entry.id, now)
    ]


def plan_advice_requests(
    cell: Cell, model: InterferenceModel, free: int, now: Now
) -> list[AdviceRequest]:
    """
    Return at most ``free`` requests for waiting steps, the most urgent first.

    Tickets are valid for seconds only, so they are requested only for workers that could take a
    task now.
    """
    requests: list[AdviceRequest] = []
    if not free:
        return requests
    eligible: list[Worker] | None = None
    round_ = PlacementRound(model, now)
    shortage = Shortage()
    for group in (turn.group for turn in list_turns(cell, now)):
        live = cell.jobs[group.job]
        if not live.job.advised:
            continue
        known = cell.step_tickets.setdefault(group, StepTickets())
        if known.request_pending or now.steady < known.retry_at:
            continue
        eligible = list_eligible(cell, now) if eligible is None else eligible
        step = live.job.steps[group.step]
        ticketed = list_ticketed(cell, group, eligible, now)
        if ticketed and CandidateWorkers(round_, live, group, step, ticketed).best():
            continue
        if is_known_unplaceable(cell, step, now) or (
            not step.best_effort and shortage.covers(Demand.of(step))
        ):
            continue
        candidates = CandidateWorkers(round_, live, group, step, eligible)
        fitting = candidates.list_by_cost()
        if not fitting and not candidates.constraint_excluded:
            record_unplaceable(cell, step, candidates, now)
            shortage.record(describe_shortage(step, candidates))
        # A refusal is final, so the next request names other workers.
        ids = (worker.entry.id for worker in fitting)
        requested = [worker for worker in ids if worker not in known.refused][
            :MAX_WORKERS_PER_REQUEST
        ]
        if requested:
            known.request_pending = True
            requests.append(AdviceRequest(group, tuple(requested)))
        elif fitting or step.best_effort:
            # Otherwise many such steps would each search all workers in each turn.
            known.retry_at = now.steady + RETRY_DELAY_S
        if len(requests) >= free:
            break
    return requests


def record_advice(cell: Cell, request: AdviceRequest, advice: Advice | None, now: Now) -> None:
    """Record the answer to a request, or that there was none."""
    known = cell.step_tickets.get(request.group)
    if known is None:
        return
    known.request_pending = False
    restarted, known.restarted = known.restarted, set()
    if advice is None:
        known.retry_at = now.steady + RETRY_DELAY_S
        return
    until = now.steady + advice.valid
    for worker in request.workers:
        if worker in restarted:
            continue
        ticket = advice.tickets.get(worker)
        if ticket is None:
            known.refused.add(worker)
        else:
            known.tickets[worker] = (ticket, until)
