"""
Checks of tasks
===============

Checks of what workers see; each takes events in order and yields violations.
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

DRAIN_DELAY_S = 4.0  # until a draining worker gets no more starts
EVACUATION_DELAY_S = 5.0  # until an evacuated data centre gets no more starts

MAX_CRASHES = 5  # of one task: two more starts after the third crash


class TaskCheck:
    """Base of checks; keeps submitted jobs, the last disturbance and signals to processes."""

    def __init__(self) -> None:
        self.jobs: dict[str, JobPlan] = {}
        self.disturbed_at = 0.0  # by the store, a host or the machine
        self.signals: dict[str, set[events.Signal]] = defaultdict(set)

    def take(self, event: events.Event) -> Iterator[str]:
        """Yield the violations that an event shows."""
        match event:
            case events.JobOffered():
                self.jobs[event.job.id] = event.job
            case events.DisturbanceSeen(orders=False):
                self.disturbed_at = event.at
            case events.SignalSent():
                self.signals[event.process].add(event.signal)
        yield from self.judge(event)

    def judge(self, event: events.Event) -> Iterator[str]:
        """Yield the violations that an event shows, after the common fields were updated."""
        raise NotImplementedError

    def close(self) -> Iterator[str]:
        """Yield the violations that show only at the end."""
        return iter(())

    def step(self, task: TaskKey) -> StepPlan | None:
        """Return the step of a task, None if its job was not submitted."""
        job = self.jobs.get(task.job)
        return job.steps[task.step] if job else None


class OnePlace(TaskCheck):
    """A task runs on one worker at a time, unless it is speculative."""

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
    """No task starts after it was done and its end was acknowledged."""

    def __init__(self) -> None:
        super().__init__()
        self._done: set[TaskKey] = set()

    def judge(self, event: events.Event) -> Iterator[str]:
        match event:
            case events.EndAcknowledged() if event.end_kind == "done":
                self._done.add(event.task)
            case events.RunStarted() if event.task in self._done:
                step = self.step(event.task)
                # A copy that was ordered before the other copy was done may begin late.
                if not (step and step.speculative):
                    yield f"{event.task} began on {event.worker} though it was done"


class StepOrder(TaskCheck):
    """A task starts only after all tasks of the steps that its step depends on."""

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
    """A task that crashes its workers is started at most twice after the third crash."""

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
    """The runs of a worker never need more than its processors and memory."""

    def __init__(self) -> None:
        super().__init__()
        self._sizes: dict[str, tuple[int, int]] = {}
        self._runs: dict[str, dict[TaskKey, StepPlan]] = defaultdict(dict)

    def judge(self, event: events.Event) -> Iterator[str]:
        match event:
            case events.WorkerJoined():
                self._sizes[event.worker] = (event.cpu, event.memory)
            case events.WorkerGone():
                self._runs.pop(event.worker, None)
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
    """A job whose submissions were all refused never starts, nor does one never submitted."""

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
    """Base of checks of starts that come too long after an event, outside disturbances."""

    def __init__(self) -> None:
        super().__init__()
        self._since: dict[str, float] = {}
        self._any_disturbed_at = 0.0

    def take(self, event: events.Event) -> Iterator[str]:
        if isinstance(event, events.DisturbanceSeen):
            self._any_disturbed_at = event.at
        yield from super().take(event)

    def is_late(self, start: events.RunStarted, name: str, bound: float) -> bool:
        """Return whether a start comes more than ``bound`` s after the event kept for ``name``."""
        since = self._since.get(name)
        return since is not None and start.at > max(since, self._any_disturbed_at) + bound


class Evacuations(StartCheck):
    """No task starts in an evacuated data centre after EVACUATION_DELAY_S, outside disturbances."""

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
    """A draining worker gets no starts after DRAIN_DELAY_S, outside disturbances."""

    def judge(self, event: events.Event) -> Iterator[str]:
        match event:
            case events.WorkerDraining():
                self._since[event.worker] = event.at
            case events.WorkerGone():  # it may restart under its id, and then drains no more
                self._since.pop(event.worker, None)
            case events.RunStarted():
                if self.is_late(event, event.worker, DRAIN_DELAY_S):
                    yield f"{event.task} began on {event.worker} long after it drained"
