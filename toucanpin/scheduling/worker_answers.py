"""
Answers of workers
==================

Apply what a worker's answer to a poll tells of its runs.
"""

from __future__ import annotations

from collections.abc import Iterable

from toucanpin.scheduling.cell import Cell, Now, find_record, mark_started
from toucanpin.scheduling.crashing import clear_advanced, clear_survivor, clear_worker
from toucanpin.scheduling.ending import apply_end, end_run
from toucanpin.scheduling.first_pace import order_first_pace
from toucanpin.scheduling.incarnations import record_lost_run
from toucanpin.scheduling.job import TaskKey
from toucanpin.scheduling.late_orders import is_earlier
from toucanpin.scheduling.orders import PollAnswer, RunningTask, StopOrder
from toucanpin.scheduling.progress import JobState, TaskState
from toucanpin.scheduling.released_runs import record_seen_again
from toucanpin.scheduling.stopping import stop_run
from toucanpin.scheduling.trust import record_survival
from toucanpin.scheduling.worker import Phase, Run, Worker
from toucanpin.scheduling.worker_faults import LossCause

__all__ = ["apply_answer", "record_clock"]

STOP_RETRY_DELAY_S = 0.4  # beyond the stop time, after which a stop is sent again
MAX_LISTED_ENDS = 500  # per answer, set by the platform
MIN_PROGRESS_PERCENT = 1  # smallest increase that counts as progress


def apply_answer(cell: Cell, worker: Worker, answer: PollAnswer, sent_at: float, now: Now) -> None:
    """Apply the runs and ends that a worker lists; ``sent_at`` is when it was polled."""
    _update_clock(worker, answer.clock, now)
    worker.answered_at = now.steady
    worker.silent = False
    worker.silence = None
    worker.silent_since = 0.0
    worker.lists_ends = bool(answer.ended)
    # Its next incarnation may carry out a late start of this owner.
    cell.earlier_lease_ends.pop(worker.entry.id, None)
    clear_worker(cell, worker)
    for ended in answer.ended:
        if ended.sequence > worker.listed_sequence:
            apply_end(cell, worker, ended, sent_at, now)
            worker.listed_sequence = ended.sequence
    listed = {running.task: running for running in answer.running}
    worker.unknown_tasks = frozenset(_find_unknown_runs(worker, answer.running))
    for running in answer.running:
        _apply_running(cell, worker, running, sent_at, now)
    # A missing run may have ended after the last end that fitted into the answer.
    complete = len(answer.ended) < MAX_LISTED_ENDS
    for run in list(worker.runs.values()) if complete else ():
        found = listed.get(run.task)
        if found is None or found.attempt != run.attempt:
            _apply_absence(cell, worker, run, sent_at, now)
    worker.reached = True
    worker.utilization = None


def record_clock(worker: Worker, answer: PollAnswer, now: Now) -> None:
    """Record a worker's clock before its runs are known."""
    _update_clock(worker, answer.clock, now)


def _update_clock(worker: Worker, clock: int, now: Now) -> None:
    worker.clock = clock
    worker.clock_read_at = now.steady


def _find_unknown_runs(worker: Worker, rows: Iterable[RunningTask]) -> Iterable[TaskKey]:
    for running in rows:
        run = worker.runs.get(running.task)
        if run is None or run.attempt != running.attempt:
            yield running.task


def _apply_running(
    cell: Cell, worker: Worker, running: RunningTask, sent_at: float, now: Now
) -> None:
    run = worker.runs.get(running.task)
    if run is None or run.attempt != running.attempt:
        # Started by an earlier owner, or by an order that was carried out late.
        record_seen_again(cell, worker.entry.id, running.task, running.attempt, None, sent_at)
        cell.orders.append(StopOrder(worker.entry.id, running.task, running.attempt, "unknown run"))
        return
    if run.phase is Phase.STOPPING:
        _repeat_stop(cell, run, now)
    live = cell.jobs.get(run.task.job)
    record = find_record(live, run.task) if live else None
    if run.phase is Phase.UNKNOWN or run.phase is Phase.ORDERED:
        run.phase = Phase.RUNNING
        run.born = worker.born or run.born  # a late start of the earlier incarnation may be listed
        run.started_at = run.progressed_at = now.steady
        run.start_unconfirmed = False
        run.untimed = run.untimed or running.percent > 0
        mark_started(cell, run.task.job)
        order_first_pace(cell, run, now)
        if live is None or record is None or JobState(live.progress.state).ended:
            stop_run(cell, run, "job ended")
    if running.percent - run.percent >= MIN_PROGRESS_PERCENT or running.percent < run.percent:
        run.progressed_at = now.steady
    run.percent = running.percent
    run.last_listed_at = now.steady
    run.measure = running.measure
    record_survival(cell, worker, run, now)
    if record is not None:
        clear_survivor(run, record)
    if running.checkpoint:
        run.checkpoint = running.checkpoint
        placed = record is not None and record.state in (TaskState.PLACED, TaskState.GANG_FAILED)
        if record is not None and placed and record.attempt == run.attempt:
            if running.checkpoint != record.checkpoint:
                clear_advanced(run, record)
            record.checkpoint = running.checkpoint


def _repeat_stop(cell: Cell, run: Run, now: Now) -> None:
    """
    Repeat a stop: the first may have been sent before the worker was connected.

    A run that never began isn't listed by its worker either, and its stop has to be acknowledged
    before it counts as ended.
    """
    if not run.stop_sent_at:
        run.stop_sent_at = now.steady
    elif now.steady > run.stop_sent_at + cell.stop_time + STOP_RETRY_DELAY_S:
        run.stop_sent_at = now.steady
        cell.orders.append(StopOrder(run.worker, run.task, run.attempt, "still running"))


def _apply_absence(cell: Cell, worker: Worker, run: Run, sent_at: float, now: Now) -> None:
    match run.phase:
        case Phase.UNKNOWN:
            # The worker has this owner's token, so no order of an earlier owner can start it any
            # more.
            if is_earlier(run.born, worker.born):
                record_lost_run(cell, worker, run, LossCause.REPLACED, now)
            end_run(cell, worker, run, now)
        case Phase.RUNNING if sent_at > run.started_at:
            end_run(cell, worker, run, now)
        case Phase.STOPPING if not run.stop_acknowledged_at:
            _repeat_stop(cell, run, now)
        case Phase.STOPPING if sent_at > run.stop_acknowledged_at:
            end_run(cell, worker, run, now)
