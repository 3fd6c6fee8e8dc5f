"""
Standing jobs
=============

Place a task or a gang of a job of which nothing runs, although half of the cores are idle, and
long-running tasks that have been away for too long.

Notes
-----
Tasks are held for the sake of others or of their own: best-effort tasks would disturb services,
retries wait for workers on which nothing fails, and some cores are kept free.  Each of these holds
is ended by an event that may not come for as long as a cell runs.  So a job stands still for a
bounded time only: then one of its tasks runs where it does the least harm, best-effort ones at a
low pace.  So does each long-running task that has run before, whatever else of its job runs and
however full the cell is.
"""

from __future__ import annotations

import enum
import heapq
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass

from toucanpin.scheduling.assigning import assign_task
from toucanpin.scheduling.cell import Cell, Group, LiveJob, list_runs
from toucanpin.scheduling.choosing import (
    is_reserved_for_others,
    list_available,
    meets_constraints,
)
from toucanpin.scheduling.evacuating import list_not_evacuated
from toucanpin.scheduling.gangs import align_records, list_members
from toucanpin.scheduling.interrupted_tasks import PlacementTurn, list_interrupted
from toucanpin.scheduling.job import Step, TaskKey
from toucanpin.scheduling.placement_round import PlacementRound
from toucanpin.scheduling.prediction import predict_share
from toucanpin.scheduling.progress import CrashSuspicion
from toucanpin.scheduling.retrying import count_failures
from toucanpin.scheduling.suspicion import find_suspicion, is_new_worker, requires_proof
from toucanpin.scheduling.trust import is_distrusted, is_trusted, may_try
from toucanpin.scheduling.unplaceable import find_block
from toucanpin.scheduling.worker import Phase, Run, Worker, has_room, release_run, reserve_run
from toucanpin.scheduling.worker_costs import MAX_SHARE

__all__ = ["MIN_KEPT_PACE_PERCENT", "StandingJobs"]

# Callers are promised that no job stands still for 3 s beside free workers; a round of placement,
# a write and a start take the rest.
MAX_STANDSTILL_S = 1.8
# Of all cores, by their load or as requested of workers; the promise holds up to half of them.
MAX_USED_SHARE = 0.52
MAX_INTERRUPTION_S = 6.0  # of a long-running task, to which 3 s are added
MAX_PLACED = 4  # in a round, as each changes what the next ones may do
# Each search looks at all workers, so on a large fleet a round has time for a few only.
MIN_SEARCHES = 4
MAX_SEARCHED_WORKERS = 4_000  # in a round with more searches
# Until a search is repeated that found no worker.  Jobs that can never run come first in each round
# by their priority, and would use up the searches of all.
SEARCH_PAUSE_S = 0.3
MIN_KEPT_PACE_PERCENT = 5  # at which a task of a standing job goes on beside a loaded service
PACES_PERCENT = (100, 60, 30, 10, MIN_KEPT_PACE_PERCENT)


class _Risk(enum.IntEnum):
    """What speaks against a worker for a task that failed or was lost before."""

    NONE = 0
    MAY_BE_LOST = 1  # it has just started
    FAILED_LATELY = 2
    DISTRUSTED = 3  # tasks of several jobs failed there


@dataclass(frozen=True, slots=True)
class _Choice:
    """A worker for a task, at which pace, and what speaks against it."""

    worker: Worker
    pace: int  # percent
    risk: _Risk
    share: float  # of a service's limit that would be reached

    def rank(self) -> tuple[_Risk, float, int, str]:
        """Return the key by which choices are compared, the lowest for the best."""
        return self.risk, self.share, -self.pace, self.worker.entry.id

    def rank_for_gang(self) -> tuple[_Risk, int, float, str]:
        """Return the same key for a member of a gang, which advances with its slowest member."""
        return self.risk, -self.pace, self.share, self.worker.entry.id


class StandingJobs:
    """Placement of the tasks of standing jobs in one round."""

    __slots__ = ("_cell", "_has_idle_cores", "_placements_left", "_round", "_searches_left")

    def __init__(self, cell: Cell, round_: PlacementRound) -> None:
        self._cell = cell
        self._round = round_
        self._placements_left = MAX_PLACED
        self._searches_left = max(MIN_SEARCHES, MAX_SEARCHED_WORKERS // max(1, len(cell.workers)))
        self._has_idle_cores: bool | None = None

    def place_for(
        self, live: LiveJob, turn: PlacementTurn, step: Step, eligible: list[Worker]
    ) -> None:
        """Place a task of a turn, or its whole gang, if its job has stood still for too long."""
        if not self._placements_left or not self._searches_left:
            return
        if not self._has_waited(turn.group):
            return
        if step.gang:
            self._place_gang(live, turn.group, step, eligible)
            return
        task = self._find_overdue_task(live, turn, step)
        if task is None and not list_runs(self._cell, live) and self._are_cores_idle():
            task = self._find_task(live, turn.group, turn.tasks)
        if task is None:
            return
        self._searches_left -= 1
        trusted = (it for it in eligible if is_trusted(it, self._round.now))
        best = self._choose(live, task, step, trusted) or self._choose(
            live, task, step, self._list_untried(live)
        )
        if best is None:
            self._cell.waits[turn.group].last_resort_at = self._round.now.steady + SEARCH_PAUSE_S
            return
        self._placements_left -= 1
        self._assign(live, task, step, best)

    def _place_gang(self, live: LiveJob, group: Group, step: Step, eligible: list[Worker]) -> None:
        """Place all members of a gang of which nothing runs, or none."""
        members = list_members(group, step)
        if len(self._cell.waiting[group]) < len(members) or list_runs(self._cell, live):
            return
        if not self._are_cores_idle() or not all(self._may_start(live, it) for it in members):
            return
        self._searches_left -= 1
        align_records(live, group, step)
        trusted = [it for it in eligible if is_trusted(it, self._round.now)]
        choices = self._choose_for_gang(live, members, step, trusted)
        if len(choices) < len(members):
            self._cell.waits[group].last_resort_at = self._round.now.steady + SEARCH_PAUSE_S
            return
        self._placements_left -= 1
        for member, choice in zip(members, choices, strict=True):
            self._assign(live, member, step, choice)

    def _choose_for_gang(
        self, live: LiveJob, members: list[TaskKey], step: Step, workers: list[Worker]
    ) -> list[_Choice]:
        """Return a choice for each member of a gang, fewer if not all find a worker."""
        heap = [
            (choice.rank_for_gang(), choice)
            for choice in self._list_choices(live, members[0], step, workers)
        ]
        heapq.heapify(heap)
        chosen: list[_Choice] = []
        trial: list[tuple[Worker, Run]] = []
        while heap:
            _, choice = heapq.heappop(heap)
            worker = choice.worker
            run = Run(members[len(chosen)], 0, worker.entry.id, step, Phase.PLACED)
            run.pace = choice.pace
            chosen.append(choice)
            if len(chosen) == len(members):
                break
            # The next member is weighed beside this one.
            reserve_run(worker, run)
            trial.append((worker, run))
            for again in self._list_choices(live, members[len(chosen)], step, (worker,)):
                heapq.heappush(heap, (again.rank_for_gang(), again))
        for worker, run in trial:
            release_run(worker, run)
        return chosen

    def _choose(
        self, live: LiveJob, task: TaskKey, step: Step, workers: Iterable[Worker]
    ) -> _Choice | None:
        choices = self._list_choices(live, task, step, workers)
        return min(choices, key=_Choice.rank, default=None)

    def _list_untried(self, live: LiveJob) -> Iterator[Worker]:
        """
        Yield the distrusted workers on which no task of a job has failed.

        They may be distrusted for jobs that fail by themselves, and a job may have nowhere else to
        go.  If they are bad, each of them costs a job one attempt.
        """
        if live.job.advised:
            return
        now = self._round.now
        for worker in list_available(self._cell, now):
            if may_try(worker, live.job.id, now):
                yield worker

    def _are_cores_idle(self) -> bool:
        """Return whether so many cores are idle that no job may stand still."""
        if self._has_idle_cores is None:
            self._has_idle_cores = self._find_idle_cores()
        return self._has_idle_cores

    def _find_idle_cores(self) -> bool:
        """
        Return whether enough cores are idle by the load, or by what counts against capacities.

        Best-effort tasks count in the load only: one job of them may take all cores for minutes.
        """
        workers = list_not_evacuated(self._cell)
        limit = MAX_USED_SHARE * sum(worker.entry.cpu for worker in workers)
        if sum(worker.cpu for worker in workers) <= limit:
            return True
        return sum(self._round.utilization(worker).used for worker in workers) <= limit

    def _has_waited(self, group: Group) -> bool:
        wait = self._cell.waits.get(group)
        if wait is None:
            return False
        return self._round.now.steady >= max(wait.since + MAX_STANDSTILL_S, wait.last_resort_at)

    def _find_overdue_task(self, live: LiveJob, turn: PlacementTurn, step: Step) -> TaskKey | None:
        """Return a long-running task that has run before and waits for too long."""
        if not step.long_running:
            return None
        now = self._round.now
        waiting = list_interrupted(self._cell, turn.group, now)
        overdue = {index for index, since in waiting if since <= now.steady - MAX_INTERRUPTION_S}
        return self._find_task(live, turn.group, overdue)

    def _find_task(self, live: LiveJob, group: Group, indices: Collection[int]) -> TaskKey | None:
        """Return the one of some waiting tasks with the fewest failures that may start now."""
        cell = self._cell
        tasks = (
            TaskKey(group.job, group.occurrence, group.step, index)
            for index in sorted(cell.waiting[group].intersection(indices))
        )
        startable = (task for task in tasks if self._may_start(live, task))
        return min(startable, key=lambda task: count_failures(live, task), default=None)

    def _may_start(self, live: LiveJob, task: TaskKey) -> bool:
        now = self._round.now
        return find_block(self._cell, live, task, now) is None and not requires_proof(
            live, task, now
        )

    def _list_choices(
        self, live: LiveJob, task: TaskKey, step: Step, workers: Iterable[Worker]
    ) -> Iterator[_Choice]:
        group = Group(task.job, task.occurrence, task.step)
        now = self._round.now
        has_failed = count_failures(live, task) > 0
        is_suspected = find_suspicion(live, task) is not CrashSuspicion.NONE
        for worker in workers:
            if not has_room(worker, step) or not meets_constraints(worker, group, step):
                continue
            if task in worker.runs or is_reserved_for_others(worker, live, now):
                continue
            risk = _Risk.NONE
            if is_suspected and is_new_worker(worker, now):
                risk = _Risk.MAY_BE_LOST
            if has_failed and worker.retries_blocked_until > now.steady:
                risk = _Risk.FAILED_LATELY
            if has_failed and is_distrusted(worker):
                risk = _Risk.DISTRUSTED
            pace, share = self._choose_pace(worker, step)
            yield _Choice(worker, pace, risk, share)

    def _choose_pace(self, worker: Worker, step: Step) -> tuple[int, float]:
        """Return the highest pace that harms no service, else the lowest, and the share reached."""
        if not step.best_effort:
            return 100, 0.0
        utilization = self._round.utilization(worker)
        share = 0.0
        for pace in PACES_PERCENT:
            cpu = step.cpu * pace / 100
            share = predict_share(self._round.model, utilization, step.image, cpu)
            if share <= MAX_SHARE and not self._round.is_saturated(worker, int(cpu)):
                break
        return pace, share

    def _assign(self, live: LiveJob, task: TaskKey, step: Step, choice: _Choice) -> None:
        cell = self._cell
        cell.waiting[Group(task.job, task.occurrence, task.step)].discard(task.index)
        cell.delayed_until.pop(task, None)
        run = assign_task(cell, live, task, step, choice.worker, self._round.now)
        if choice.pace < 100:
            run.pace, run.kept, run.untimed = choice.pace, True, True
        if step.long_running:
            cell.headroom.free -= step.cpu
