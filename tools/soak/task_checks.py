"""
Checks of tasks
===============

What workers may never see: each check takes events in their order and yields what is wrong.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator

from tools.soak import events
from tools.soak.jobs import JobPlan, StepPlan
from toucanpin.scheduling.job import TaskKey

__all__ = [
    "CrashLoops",
    "Evacuations",
    "Leaving",
    "NotAgain",
    "OnePlace",
    "Refusals",
    "Room",
    "StepOrder",
    "TaskCheck",
]

DRAIN_DELAY_S = 4.0  # s after which a worker that drains gets nothing more
EVACUATION_DELAY_S = 5.0  # s after which nothing more is started in an evacuated data centre

MAX_CRASHES = 5  # starts of a task that crashes its workers: two after the third crash


class TaskCheck:
    """Know the jobs that were offered, the last trouble, and the signals that processes got."""

    def __init__(self) -> None:
        self.jobs: dict[str, JobPlan] = {}
        self.disturbed_at = 0.0  # of the store, a host or the machine
        self.signals: dict[str, set[events.Signal]] = defaultdict(set)

    def take(self, event: events.Event) -> Iterator[str]:
        """Yield what is wrong with an event."""
        match event:
            case events.JobOffered():
                self.jobs[event.job.id] = event.job
            case events.DisturbanceSeen(orders=False):
                self.disturbed_at = event.at
            case events.SignalSent():
                self.signals[event.process].add(event.signal)
        yield from self.judge(event)

    def judge(self, event: events.Event) -> Iterator[str]:
        """Yield what is wrong with an event, once jobs are known."""
        raise NotImplementedError

    def close(self) -> Iterator[str]:
        """Yield what is wrong at the end."""
        return iter(())

    def step(self, task: TaskKey) -> StepPlan | None:
        """Return the step of a task, None if no such job was offered."""
        job = self.jobs.get(task.job)
        return job.steps[task.step] if job else None


class OnePlace(TaskCheck):
    """A task runs in one place at a time, unless it may be copied."""

    def __init__(self) -> None:
        super().__init__()
        self._places: dict[TaskKey, dict[str, int]] = defaultdict(dict)

    def judge(self, event: events.Event) -> Iterator[str]:
        match event:
            case events.RunStarted():
                step = self.step(event.task)
                places = self._places[event.task]
                if places and not (step and step.speculative):
                    yield f"{event.task} began on {event.worker} while it runs on {places}"
                places[event.worker] = event.attempt
            case events.RunEnded():
                self._places[event.task].pop(event.worker, None)
            case events.WorkerGone():
                for places in self._places.values():
                    places.pop(event.worker, None)


class NotAgain(TaskCheck):
    """Nothing starts after it was done and its end was acknowledged."""

    def __init__(self) -> None:
        super().__init__()
        self._done: set[TaskKey] = set()

    def judge(self, event: events.Event) -> Iterator[str]:
        match event:
            case events.EndAcknowledged() if event.end_kind == "done":
                self._done.add(event.task)
            case events.RunStarted() if event.task in self._done:
                step = self.step(event.task)
                # A copy that was ordered before the other one was done may begin late.
                if not (step and step.speculative):
                    yield f"{event.task} began on {event.worker} though it was done"


class StepOrder(TaskCheck):
    """A task starts after all tasks of the steps that come before its own."""

    def __init__(self) -> None:
        super().__init__()
        self._done: set[TaskKey] = set()

    def judge(self, event: events.Event) -> Iterator[str]:
        match event:
            case events.RunEnded() if event.end_kind == "done":
                self._done.add(event.task)
            case events.RunStarted():
                missing = sorted(self._earlier(event.task) - self._done)
                if missing:
                    yield f"{event.task} began on {event.worker} before {missing[0]} was done"

    def _earlier(self, task: TaskKey) -> set[TaskKey]:
        step = self.step(task)
        numbers = step.after if step else ()
        steps = self.jobs[task.job].steps if step else ()
        return {
            TaskKey(task.job, task.occurrence, number, index)
            for number in numbers
            for index in range(steps[number].count)
        }


class CrashLoops(TaskCheck):
    """A task that crashes each worker that starts it is started at most twice after the third."""

    def __init__(self) -> None:
        super().__init__()
        self._crashes: Counter[TaskKey] = Counter()

    def judge(self, event: events.Event) -> Iterator[str]:
        match event:
            case events.RunStarted() if self._is_crash(event.task):
                self._crashes[event.task] += 1
                if self._crashes[event.task] > MAX_CRASHES:
                    yield f"{event.task} crashed {event.worker}, the {self._crashes[event.task]}th"

    def _is_crash(self, task: TaskKey) -> bool:
        job = self.jobs.get(task.job)
        return job is not None and job.crashes(task)


class Room(TaskCheck):
    """What runs on a worker never needs more than its processors and memory."""

    def __init__(self) -> None:
        super().__init__()
        self._sizes: dict[str, tuple[int, int]] = {}
        self._runs: dict[str, dict[TaskKey, StepPlan]] = defaultdict(dict)

    def judge(self, event: events.Event) -> Iterator[str]:
        match event:
            case events.WorkerJoined():
                self._sizes[event.worker] = (event.cpu, event.memory)
            case events.RunEnded():
                self._runs[event.worker].pop(event.task, None)
            case events.RunStarted():
                step = self.step(event.task)
                if step is not None:
                    self._runs[event.worker][event.task] = step
                    yield from self._measure(event)

    def _measure(self, event: events.RunStarted) -> Iterator[str]:
        runs = self._runs[event.worker].values()
        cpu = sum(step.cpu for step in runs)
        memory = sum(step.memory for step in runs)
        sizes = self._sizes[event.worker]
        if cpu > sizes[0] or memory > sizes[1]:
            yield f"{event.task} began on {event.worker}: {cpu, memory} of {sizes} are taken"


class Refusals(TaskCheck):
    """A job that was refused, and nothing else, never starts; nor does one that nobody offered."""

    def __init__(self) -> None:
        super().__init__()
        self._statuses: dict[str, set[int]] = defaultdict(set)
        self._started: dict[str, str] = {}

    def judge(self, event: events.Event) -> Iterator[str]:
        match event:
            case events.AnswerReceived(kind=events.RequestKind.SUBMIT):
                self._statuses[event.subject].add(event.status)
            case events.AnswerLost(kind=events.RequestKind.SUBMIT):
                self._statuses[event.subject].add(0)
            case events.RunStarted():
                self._started[event.task.job] = event.worker
                if event.task.job not in self.jobs:
                    yield f"{event.task} began on {event.worker}, and nobody handed it in"

    def close(self) -> Iterator[str]:
        for job, worker in self._started.items():
            statuses = self._statuses[job]
            if statuses and statuses <= {400, 404, 429, 503}:
                yield f"job {job} ran on {worker} though it was refused: {sorted(statuses)}"


class StartCheck(TaskCheck):
    """Judge starts that come long after something, and after the last trouble of any kind."""

    def __init__(self) -> None:
        super().__init__()
        self._since: dict[str, float] = {}
        self._any_disturbed_at = 0.0

    def take(self, event: events.Event) -> Iterator[str]:
        if isinstance(event, events.DisturbanceSeen):
            self._any_disturbed_at = event.at
        yield from super().take(event)

    def is_late(self, start: events.RunStarted, name: str, bound: float) -> bool:
        """Tell whether a start comes more than ``bound`` seconds after what has a name."""
        since = self._since.get(name)
        return since is not None and start.at > max(since, self._any_disturbed_at) + bound


class Evacuations(StartCheck):
    """Nothing starts in an evacuated data centre after a few seconds, outside trouble."""

    def __init__(self) -> None:
        super().__init__()
        self._places: dict[str, str] = {}

    def judge(self, event: events.Event) -> Iterator[str]:
        match event:
            case events.WorkerJoined():
                self._places[event.worker] = event.data_centre
            case events.EvacuationsChanged():
                known = self._since
                self._since = {name: known.get(name, event.at) for name in event.data_centres}
            case events.RunStarted():
                if self.is_late(event, self._places[event.worker], EVACUATION_DELAY_S):
                    yield f"{event.task} began on {event.worker} long after its evacuation"


class Leaving(StartCheck):
    """A worker that drains gets nothing new after a few seconds, outside trouble."""

    def judge(self, event: events.Event) -> Iterator[str]:
        match event:
            case events.WorkerDraining():
                self._since[event.worker] = event.at
            case events.RunStarted():
                if self.is_late(event, event.worker, DRAIN_DELAY_S):
                    yield f"{event.task} began on {event.worker} long after it drained"
