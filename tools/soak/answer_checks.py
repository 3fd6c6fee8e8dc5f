"""
Checks of answers
=================

Checks of what callers see; each takes events in order and yields violations.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator

from tools.soak import events
from tools.soak.jobs import MAX_ATTEMPTS
from tools.soak.task_checks import TaskCheck
from toucanpin.scheduling.job import TaskKey

__all__ = ["Configurations", "Counts", "Kept", "Own", "Processes", "Shutdowns", "States"]

COUNT_DELAY_S = 5.0  # until an accepted job must be included in counts
MIN_CRASHES = 2  # worker crashes under a task after which its job may fail
COUNT_RECOVERY_S = 6.0  # after a disturbance until counts must be correct
CONFIGURATION_DELAY_S = 4.0  # until a configuration must be in force
# A request that arrives just as an idle connection is closed may be lost; one that waited for
# longer had been read.
READ_DELAY_S = 1.0
DRAIN_NOTICE_S = 1.5  # after SIGTERM until the balancer sends no more requests
ALLOWED_STATUSES = frozenset({200, 404, 410, 429, 502, 503, 504})
JOB_STATES = frozenset({"pending", "active", "completed", "failed", "canceled"})
FINAL_STATES = frozenset({"completed", "failed", "canceled"})


class Own(TaskCheck):
    """Each answer is well-formed, matches its request and has a known status."""

    def judge(self, event: events.Event) -> Iterator[str]:
        match event:
            case events.AnswerLost(loss=events.Loss.MALFORMED):
                yield f"malformed answer to {event.kind.value} {event.subject}"
            case events.AnswerReceived() if event.status not in ALLOWED_STATUSES:
                yield f"{event.kind.value} {event.subject} was answered {event.status}"
            case events.AnswerReceived(kind=events.RequestKind.STATE, status=200) if (
                event.value not in JOB_STATES
            ):
                yield f"the state of {event.subject} was told as {event.value!r}"
            case events.AnswerReceived(kind=events.RequestKind.COUNT, status=200) if not _is_count(
                event.value
            ):
                yield f"the count of {event.subject} was told as {event.value!r}"


def _is_count(value: str | int | None) -> bool:
    return isinstance(value, int) and value >= 0


class Configurations(TaskCheck):
    """
    A queue exists once its configuration was accepted, and no longer once it was removed.

    Queues changed within the last CONFIGURATION_DELAY_S, or during a disturbance, may be answered
    either way.
    """

    def __init__(self) -> None:
        super().__init__()
        self._queues: frozenset[str] = frozenset()
        self._changed: dict[str, float] = {}

    def judge(self, event: events.Event) -> Iterator[str]:
        match event:
            case events.ConfigurationWritten():
                if self._queues:
                    self._changed |= dict.fromkeys(self._queues ^ event.queues, event.at)
                self._queues = event.queues
            case events.AnswerReceived() if event.status in (200, 404):
                job = self.jobs.get(event.subject)
                queue = job.queue if job else event.subject
                settled = (
                    max(self._changed.get(queue, 0.0), self.disturbed_at) + CONFIGURATION_DELAY_S
                )
                unchanged = queue in self._queues and queue not in self._changed
                found = event.status == 200
                if found != (queue in self._queues) and (event.sent > settled or unchanged):
                    yield f"{event.process} answered {event.status} for the queue {queue}"


class Kept(TaskCheck):
    """An accepted job is never answered with 410."""

    def __init__(self) -> None:
        super().__init__()
        self._accepted: dict[str, float] = {}

    def judge(self, event: events.Event) -> Iterator[str]:
        match event:
            case events.AnswerReceived(kind=events.RequestKind.SUBMIT, status=200):
                self._accepted.setdefault(event.subject, event.at)
            case events.AnswerReceived(status=410) if event.sent > self._accepted.get(
                event.subject, event.at
            ):
                yield f"{event.kind.value} {event.subject} was answered 410 after it was accepted"


class States(TaskCheck):
    """A final state in an answer is true and does not change."""

    def __init__(self) -> None:
        super().__init__()
        self._done: set[TaskKey] = set()
        self._failures: Counter[TaskKey] = Counter()
        self._running: defaultdict[str, set[TaskKey]] = defaultdict(set)
        self._drained: set[str] = set()
        self._crashes: Counter[TaskKey] = Counter()
        self._cancel_requested: set[str] = set()
        self._final: dict[str, events.AnswerReceived] = {}

    def judge(self, event: events.Event) -> Iterator[str]:
        match event:
            case events.RunStarted():
                self._running[event.worker].add(event.task)
            case events.WorkerDraining():
                self._drained.add(event.worker)
            case events.WorkerGone():
                running = self._running.pop(event.worker, ())
                if event.worker not in self._drained:
                    self._crashes.update(running)
                self._drained.discard(event.worker)  # it may restart under its id
            case events.RunEnded():
                self._running[event.worker].discard(event.task)
                if event.end_kind == "done":
                    self._done.add(event.task)
                elif event.end_kind == "failed":
                    self._failures[event.task] += 1
            case events.CancelRequested():
                self._cancel_requested.add(event.job)
            case events.AnswerReceived(kind=events.RequestKind.STATE, status=200):
                yield from self._judge_state(event)

    def _judge_state(self, event: events.AnswerReceived) -> Iterator[str]:
        before = self._final.get(event.subject)
        if before is not None and event.sent > before.at and event.value != before.value:
            yield f"{event.subject} was {before.value}, then {event.value} by {event.process}"
        if event.value not in FINAL_STATES or before is not None:
            return
        self._final[event.subject] = event
        match event.value:
            case "completed":
                missing = self._tasks(event.subject) - self._done
                if missing:
                    yield f"{event.subject} is told as completed before {min(missing)} was done"
            case "failed":
                failures = max(
                    (self._failures[task] for task in self._tasks(event.subject)), default=0
                )
                if failures < MAX_ATTEMPTS and not self._has_crashed(event.subject):
                    yield f"{event.subject} is told as failed after {failures} failures of a task"
            case "canceled" if event.subject not in self._cancel_requested:
                yield f"{event.subject} is told as canceled, and nobody asked for it"

    def _has_crashed(self, name: str) -> bool:
        """
        Return whether a task of a job that crashes its workers has crashed MIN_CRASHES of them.

        Workers that are lost under other tasks are no reason to fail their jobs.
        """
        tasks = (task for task in self._tasks(name) if self.jobs[name].crashes(task))
        return max((self._crashes[task] for task in tasks), default=0) >= MIN_CRASHES

    def _tasks(self, name: str) -> set[TaskKey]:
        steps = self.jobs[name].steps
        return {
            TaskKey(name, 0, number, index)
            for number, step in enumerate(steps)
            for index in range(step.count)
        }


class Counts(TaskCheck):
    """
    A count is at least half of the jobs that are known to have waited for COUNT_DELAY_S.

    Counts are not checked during disturbances of the store, the hosts or the machine, and shortly
    after.
    """

    def __init__(self) -> None:
        super().__init__()
        self._waiting: dict[str, dict[str, float]] = defaultdict(dict)
        self._not_waiting: set[str] = set()
        self.judged = 0  # counts that were compared with waiting jobs

    def judge(self, event: events.Event) -> Iterator[str]:
        match event:
            case events.AnswerReceived(kind=events.RequestKind.SUBMIT, status=200) if (
                event.subject not in self._not_waiting
            ):
                queue = self.jobs[event.subject].queue
                self._waiting[queue].setdefault(event.subject, event.at)
            case events.RunStarted():
                self._drop(event.task.job)
            case events.CancelRequested():
                self._drop(event.job)
            case events.AnswerReceived(kind=events.RequestKind.COUNT, status=200, value=int(count)):
                if count >= 0 and event.sent > self.disturbed_at + COUNT_RECOVERY_S:
                    yield from self._judge_count(event, count)

    def _drop(self, name: str) -> None:
        self._not_waiting.add(name)
        if name in self.jobs:
            self._waiting[self.jobs[name].queue].pop(name, None)

    def _judge_count(self, event: events.AnswerReceived, count: int) -> Iterator[str]:
        accepted = self._waiting[event.subject].values()
        waiting = sum(at < event.sent - COUNT_DELAY_S for at in accepted)
        self.judged += waiting > 0
        if count < waiting / 2:
            yield f"{event.process} counted {count} of {waiting} jobs that wait in {event.subject}"


class Shutdowns(TaskCheck):
    """SIGTERM cuts off no request that was already read."""

    def __init__(self) -> None:
        super().__init__()
        self._terminated_at: dict[str, float] = {}

    def judge(self, event: events.Event) -> Iterator[str]:
        match event:
            case events.SignalSent(signal=events.Signal.TERMINATE):
                self._terminated_at.setdefault(event.process, event.at)
            case events.AnswerLost(loss=events.Loss.CLOSED | events.Loss.CUT):
                signals = self.signals[event.process]
                forced = signals & {events.Signal.KILL, events.Signal.STOP}
                waited = event.at - event.sent
                terminated_at = self._terminated_at.get(event.process, 0.0)
                was_read = waited > READ_DELAY_S or event.sent < terminated_at + DRAIN_NOTICE_S
                if events.Signal.TERMINATE in signals and not forced and was_read:
                    request = f"{event.kind.value} {event.subject} ({event.loss.value})"
                    yield f"{event.process} cut off {request} after {waited:.2f} s"


class Processes(TaskCheck):
    """A process ends only when it is signalled, and cleanly after SIGTERM."""

    def judge(self, event: events.Event) -> Iterator[str]:
        match event:
            case events.ProcessExited():
                signals = self.signals[event.process]
                # SIGTERM may arrive before the process has installed its handler.
                terminated = (
                    event.code == 0 or event.code == -15
                ) and events.Signal.TERMINATE in signals
                killed = event.code == -9 and events.Signal.KILL in signals
                if not terminated and not killed:
                    names = sorted(signal.value for signal in signals)
                    yield f"{event.process} ended with {event.code} after {names}"
