"""
Moving tasks
============

Stop tasks that do better elsewhere: on workers that leave, are slow, or where nothing moves.
"""

from __future__ import annotations

import statistics

from toucanpin.scheduling.cell import Cell, Group, Now, find_record, mark_dirty
from toucanpin.scheduling.choosing import list_eligible, meets_constraints
from toucanpin.scheduling.progress import JobState, TaskState
from toucanpin.scheduling.stopping import list_gang_runs, requeue_task, stop_gang, stop_run
from toucanpin.scheduling.trust import record_failure
from toucanpin.scheduling.worker import Phase, Run, Worker, has_room

__all__ = ["move_tasks"]

Times = dict[tuple[str, int], list[tuple[str, float]]]

STALL = 1.5  # s without progress; above what a long task on a slow worker takes for a percent
SUSPICION = 5.0  # s that a worker is avoided on which a task stood still or was slow
GANG_PATIENCE = 1.5  # s after which a gang that isn't whole is stopped; workers wait 3 s at least
SLOW = 2.5  # times their siblings' time that the tasks of a slow worker take
SLOW_ALONE = 4.0  # the same where one task tells only
ENOUGH = 2  # tasks whose middle is believed
SHOWN = 10  # percent from which on progress tells how long a task takes
MOVE_COST = 0.15  # s that a move takes beyond a stop and a resume: list, write, start
SILENCE = 0.7  # s without an answer after which a copy is begun elsewhere, where that is allowed


def move_tasks(cell: Cell, now: Now) -> None:
    """Stop what should run elsewhere."""
    times = _list_times(cell)
    for worker in cell.workers.values():
        if not worker.reached or worker.silent:
            _copy_silent(cell, worker, now)
            continue
        for run in list(worker.runs.values()):
            if run.phase is Phase.RUNNING:
                _judge(cell, worker, run, now)
            elif run.step.gang and run.phase is Phase.ORDERED:
                _judge_gang(cell, run, now)
        for run in _find_slow(cell, times, worker):
            if not _has_place(cell, run, now):
                continue
            worker.suspect_until = now.steady + SUSPICION
            cell.moved_tasks.add(run.task)
            _leave(cell, run, "slow")


def _judge(cell: Cell, worker: Worker, run: Run, now: Now) -> None:
    if not worker.entry.ready and _leaves_too_soon(worker, run, now):
        stop_run(cell, run, "worker leaves")
        return
    if run.step.long_running or run.pace <= 0:
        return
    if run.step.gang and not _is_whole(cell, run):
        _judge_gang(cell, run, now)
    elif _stands_still(run):
        record_failure(worker, run, now, SUSPICION)
        _leave(cell, run, "stands still")


def _leave(cell: Cell, run: Run, reason: str) -> None:
    """Let a task run elsewhere: at once where copies are allowed, else once it is stopped."""
    if run.step.speculative:
        _copy(cell, run)
    else:
        stop_run(cell, run, reason)


def _copy(cell: Cell, run: Run) -> None:
    """Let another copy of a task be placed while this one goes on."""
    live = cell.jobs.get(run.task.job)
    record = find_record(live, run.task) if live else None
    if live is None or record is None or JobState(live.progress.state).ended:
        return
    if record.state != TaskState.PLACED or record.attempt != run.attempt:
        return
    record.state = TaskState.WAITING
    record.worker = ""
    mark_dirty(cell, live)
    requeue_task(cell, run)


def _copy_silent(cell: Cell, worker: Worker, now: Now) -> None:
    """Don't wait for a silent worker's lease where copies are allowed."""
    if now.steady - worker.answered_at < SILENCE:
        return
    for run in worker.runs.values():
        if run.step.speculative and run.phase in (Phase.RUNNING, Phase.ORDERED, Phase.UNKNOWN):
            _copy(cell, run)


def _is_whole(cell: Cell, run: Run) -> bool:
    live = cell.jobs.get(run.task.job)
    record = find_record(live, run.task) if live else None
    if live is None or record is None or record.state == TaskState.DONE:
        return True
    members = list_gang_runs(cell, live, run)
    return len(members) == run.step.count and all(m.phase is Phase.RUNNING for m in members)


def _judge_gang(cell: Cell, run: Run, now: Now) -> None:
    """Stop a gang some of whose members don't come: the others would only hold their room."""
    live = cell.jobs.get(run.task.job)
    if live is not None and now.steady > run.ordered_at + GANG_PATIENCE:
        stop_gang(cell, live, run, "gang not whole")
        stop_run(cell, run, "gang not whole")


def _leaves_too_soon(worker: Worker, run: Run, now: Now) -> bool:
    """Tell whether a task won't end before its worker leaves."""
    if run.step.long_running:
        return True
    elapsed = now.steady - run.started_at
    left = worker.entry.left - (now.steady - worker.listed_at)
    if run.percent < 1:
        return run.step.estimate / 1_000 > left
    return elapsed * (100 - run.percent) / run.percent > left


def _stands_still(run: Run) -> bool:
    """
    Tell whether lists show a task unmoved.

    An owner that hears nothing for a while, since its link is full, would otherwise stop every task
    that it follows and lose their work.
    """
    return run.percent < 100 and run.last_listed_at - run.progressed_at > STALL


def _find_slow(cell: Cell, times: Times, worker: Worker) -> list[Run]:
    """
    Return the tasks that would be done sooner if they began anew elsewhere.

    Workers turn several times slower for seconds, and their tasks' jobs are late.  Siblings that
    took a fraction of the time show it; declared times are too far off.  Single tasks differ from
    their siblings by up to four times, so the middle of several decides, and no task moves twice.
    """
    shown = [run for run in worker.runs.values() if _tells_time(run)]
    ratios = {}
    for run in shown:
        usual = _find_usual(cell, times, run)
        if usual:
            ratios[run.task] = _whole_time(run) / usual
    if not ratios:
        return []
    middle = statistics.median(ratios.values())
    if middle < (SLOW if len(ratios) >= ENOUGH else SLOW_ALONE):
        return []
    return [
        run
        for run in shown
        if run.task in ratios
        and run.task not in cell.moved_tasks
        and _gains(cell, run, ratios[run.task])
    ]


def _has_place(cell: Cell, run: Run, now: Now) -> bool:
    """Tell whether a sound worker has room for a task that would leave its own."""
    group = Group(run.task.job, run.task.occurrence, run.task.step)
    return any(
        worker.entry.id != run.worker
        and worker.suspect_until <= now.steady
        and has_room(worker, run.step)
        and meets_constraints(worker, group, run.step)
        for worker in list_eligible(cell, now)
    )


def _tells_time(run: Run) -> bool:
    return (
        run.phase is Phase.RUNNING
        and not run.step.long_running
        and not run.step.gang
        and not run.untimed
        and run.pace == 100
        and run.percent >= SHOWN
    )


def _gains(cell: Cell, run: Run, ratio: float) -> bool:
    whole = _whole_time(run)
    left = whole * (100 - run.percent) / 100
    again = left / ratio if run.step.checkpoints else whole / ratio
    return left > again + cell.stop_time + cell.restore_time + MOVE_COST


def _list_times(cell: Cell) -> Times:
    """Return what the tasks of each step seem to take, by the workers that run them."""
    times: Times = {}
    for worker in cell.workers.values():
        for run in worker.runs.values():
            if _tells_time(run):
                known = times.setdefault((run.task.job, run.task.step), [])
                known.append((run.worker, _whole_time(run)))
    return times


def _find_usual(cell: Cell, times: Times, run: Run) -> float:
    """Return the middle of the times that siblings elsewhere took or seem to take, 0 if none."""
    live = cell.jobs.get(run.task.job)
    if live is None:
        return 0.0
    shown = times.get((run.task.job, run.task.step), ())
    found = [time for worker, time in shown if worker != run.worker]
    found += live.task_durations.get(run.task.step, ())
    return statistics.median(found) if found else 0.0


def _whole_time(run: Run) -> float:
    return (run.last_listed_at - run.started_at) * 100 / max(1, run.percent)
