"""
Check of standing jobs
======================

Find jobs of which nothing runs although a task could, beside free workers and without any trouble.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from tools.soak import events
from tools.soak.jobs import MAX_ATTEMPTS, ROUTES, JobPlan, StepPlan
from tools.soak.task_checks import TaskCheck
from toucanpin.scheduling.job import TaskKey

__all__ = ["Standing"]

MAX_STANDSTILL_S = 3.0
CALM_S = 4.0  # without any trouble, before a standstill counts
RESTART_S = 6.0  # from the last run of a task that lasts, until it has to run again
MAX_USED_SHARE = 0.5  # of the cores of a service
MIN_PLACES = 2  # for a task that could run
CHECK_PERIOD_S = 0.2


@dataclass(slots=True)
class _WorkerView:
    """A worker that is up, as its tasks see it."""

    service: str
    data_centre: str
    cpu: int
    memory: int
    runs: set[TaskKey] = field(default_factory=set)
    draining: bool = False


class Standing(TaskCheck):
    """
    No job stands still for MAX_STANDSTILL_S while a task of it could run.

    A task that lasts and has run before counts by itself, from RESTART_S after its last run.
    """

    def __init__(self) -> None:
        super().__init__()
        self._workers: dict[str, _WorkerView] = {}
        self._open: dict[str, JobPlan] = {}
        self._done: set[TaskKey] = set()
        self._failures: Counter[TaskKey] = Counter()
        self._last_run: dict[TaskKey, float] = {}
        self._since: dict[str, float] = {}
        self._told: set[str] = set()
        self._evacuated: frozenset[str] = frozenset()
        self._troubled_at = 0.0
        self._checked_at = 0.0

    def judge(self, event: events.Event) -> Iterator[str]:
        match event:
            case events.AnswerReceived(kind=events.RequestKind.SUBMIT, status=200):
                job = self.jobs[event.subject]
                if not job.crashing and event.subject not in self._told:
                    self._open.setdefault(event.subject, job)
            case events.AnswerReceived(kind=events.RequestKind.STATE, value="completed" | "failed"):
                self._close(event.subject)
            case events.CancelRequested():
                self._close(event.job)
            case events.DisturbanceSeen() | events.WorkerTroubleSeen() | events.SignalSent():
                self._troubled_at = event.at
            case events.EvacuationsChanged():
                self._troubled_at = event.at
                self._evacuated = event.data_centres
            case events.WorkerJoined():
                self._troubled_at = event.at
                view = _WorkerView(event.service, event.data_centre, event.cpu, event.memory)
                self._workers[event.worker] = view
            case events.WorkerDraining():
                self._troubled_at = event.at
                if event.worker in self._workers:
                    self._workers[event.worker].draining = True
            case events.WorkerGone():
                self._troubled_at = event.at
                gone = self._workers.pop(event.worker, None)
                for task in gone.runs if gone else ():
                    self._last_run[task] = event.at
            case events.RunStarted():
                if event.worker in self._workers:
                    self._workers[event.worker].runs.add(event.task)
                self._last_run[event.task] = event.at
            case events.RunEnded():
                # An owner may have noted it and be replaced before it acknowledges it.
                if event.end_kind == "done":
                    self._done.add(event.task)
                elif event.end_kind == "failed":
                    self._failures[event.task] += 1
                    if self._failures[event.task] == MAX_ATTEMPTS:
                        self._close(event.task.job)
                self._last_run[event.task] = event.at
                if event.worker in self._workers:
                    self._workers[event.worker].runs.discard(event.task)
        if event.at > self._checked_at + CHECK_PERIOD_S:
            self._checked_at = event.at
            yield from self._find_standing(event.at)

    def _close(self, name: str) -> None:
        self._open.pop(name, None)
        self._told.add(name)

    def _find_standing(self, at: float) -> Iterator[str]:
        running = {task for worker in self._workers.values() for task in worker.runs}
        names = {task.job for task in running}
        for name, job in list(self._open.items()):
            tasks = [task for task in _list_tasks(job) if task not in self._done]
            if not tasks:
                self._close(name)
                continue
            idle = [task for task in tasks if task not in running and self._is_due(job, task)]
            if job.long_running:
                for task in set(tasks) - set(idle):
                    self._since.pop(str(task), None)
                yield from self._find_lasting(job, idle, at)
            elif name in names or not idle:
                self._since.pop(name, None)
            elif self._stands_too_long(name, job, job.steps[idle[0].step], at):
                self._close(name)
                yield f"{name} has nothing running though {idle[0]} could run"

    def _find_lasting(self, job: JobPlan, idle: list[TaskKey], at: float) -> Iterator[str]:
        for task in idle:
            last = self._last_run.get(task)
            if last is None or at < last + RESTART_S or job.id not in self._open:
                continue
            if self._stands_too_long(str(task), job, job.steps[task.step], at):
                self._close(job.id)
                yield f"{task} is to last and does not run, {at - last:.1f} s after its last run"

    def _stands_too_long(self, key: str, job: JobPlan, step: StepPlan, at: float) -> bool:
        """Return whether all that the promise asks for has held for long enough."""
        if at < self._troubled_at + CALM_S or not self._has_room(job, step):
            self._since.pop(key, None)
            return False
        return at > self._since.setdefault(key, at) + MAX_STANDSTILL_S

    def _is_due(self, job: JobPlan, task: TaskKey) -> bool:
        step = job.steps[task.step]
        if step.label:
            return False
        return all(
            TaskKey(job.id, 0, number, index) in self._done
            for number in step.after
            for index in range(job.steps[number].count)
        )

    def _has_room(self, job: JobPlan, step: StepPlan) -> bool:
        if job.queue not in ROUTES:
            return False
        service, _ = ROUTES[job.queue]
        views = [it for it in self._workers.values() if it.service == service and not it.draining]
        used = {id(view): self._sum_used(view) for view in views}
        if sum(cpu for cpu, _ in used.values()) >= MAX_USED_SHARE * sum(it.cpu for it in views):
            return False
        places = 0
        # Nothing may start in an evacuated data centre, which another check sees to.
        for view in (it for it in views if it.data_centre not in self._evacuated):
            cpu, memory = used[id(view)]
            places += min((view.cpu - cpu) // step.cpu, (view.memory - memory) // step.memory)
        return places >= MIN_PLACES

    def _sum_used(self, view: _WorkerView) -> tuple[int, int]:
        steps = [step for step in map(self.step, view.runs) if step is not None]
        return sum(step.cpu for step in steps), sum(step.memory for step in steps)


def _list_tasks(job: JobPlan) -> Iterator[TaskKey]:
    for number, step in enumerate(job.steps):
        for index in range(step.count):
            yield TaskKey(job.id, 0, number, index)
