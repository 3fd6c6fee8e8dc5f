"""
Evaluation
==========

Compare the observations of a run with the expectations of its scenario.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import pairwise

from scenarios import model
from scenarios.model import Invariant, JobEnd, Location, RequestEnd, Scenario
from scenarios.observations import BundleInForce, Observations, TaskRun

__all__ = ["Failure", "evaluate"]


@dataclass(frozen=True, slots=True)
class Failure:
    """An expectation that did not hold."""

    location: Location
    detail: str

    def __str__(self) -> str:
        """Return the failure as one line."""
        return f"{self.location}: {self.detail}"


def evaluate(scenario: Scenario, observations: Observations) -> Iterator[Failure]:
    """Yield the expectations that did not hold, each with what was observed."""
    for expectation in scenario.expectations:
        for detail in _check_expectation(scenario, observations, expectation.expected):
            yield Failure(expectation.location, detail)


def _check_expectation(
    scenario: Scenario, seen: Observations, expected: model.Expected
) -> Iterator[str]:
    """Yield the observations that contradict one expectation."""
    match expected:
        case model.JobEnds(job, end, within):
            for event in scenario.events:
                match event.action:
                    case model.SubmitJob(name) if job in ("", name):
                        yield from _check_job(seen, name, end, event.time + within)
        case model.JobResumes(job):
            yield from _check_resumption(seen, job)
        case model.StandingRuns(task, gap):
            yield from _check_gaps(seen, task, gap)
        case model.BundleEverywhere(version, within):
            yield from _check_bundle_spread(seen, version, within)
        case model.RequestEnds(request, end, within):
            for name in _list_requests(scenario, request, end):
                yield from _check_request(seen, name, end, within)
        case model.NoWork(host, after):
            yield from _check_no_work(seen, host, after)
        case model.MaxEvents(limit, kind):
            if seen.event_counts[kind] > limit:
                yield f"there are {seen.event_counts[kind]} {kind} events, more than {limit}"
        case model.InvariantHolds(Invariant.ONE_PLACE):
            yield from _check_single_place(seen)
        case model.InvariantHolds(Invariant.NEVER_OVERCOMMITTED):
            yield from (f"at {each.time:.3f}s {each.detail}" for each in seen.overcommitted)
        case model.InvariantHolds(Invariant.NO_REVERT):
            yield from _check_reverts(seen)
        case model.InvariantHolds(Invariant.NO_FALSE_NOT_RUN):
            yield from _check_not_run(seen)


def _check_job(seen: Observations, job: str, end: JobEnd, until: float) -> Iterator[str]:
    """Yield the errors in the end of a job."""
    reported = [each for each in seen.jobs if each.job == job]
    if len(reported) != 1:
        ends = ", ".join(f"{each.end.value} at {each.time:.3f}s" for each in reported) or "none"
        yield f"job {job} has {len(reported)} ends: {ends}"
        return
    if end is not JobEnd.ENDED and reported[0].end is not end:
        yield f"job {job} ended as {reported[0].end.value!r}"
    if reported[0].time > until:
        yield f"job {job} ended at {reported[0].time:.3f}s, after {until:.3f}s"
    if reported[0].end is JobEnd.CANCELLED:
        for run in seen.runs:
            if run.task == job and min(run.stopped, seen.ended) > until:
                yield f"cancelled job {job} still ran at {run.host} after {until:.3f}s"
    if not reported[0].correct:
        yield f"job {job} has a wrong result"


def _check_resumption(seen: Observations, job: str) -> Iterator[str]:
    """Yield an error unless a job ran twice and resumed once."""
    runs = sorted((run for run in seen.runs if run.task == job), key=lambda run: run.started)
    resumed = [run for run in runs if run.resumed]
    if len(runs) != 2 or len(resumed) != 1:
        yield f"job {job} ran {len(runs)} times and resumed {len(resumed)} times"


def _check_gaps(seen: Observations, task: str, limit: float) -> Iterator[str]:
    """Yield the gaps of a standing task that reach the limit."""
    runs = sorted((run for run in seen.runs if run.task == task), key=lambda run: run.started)
    last = 0.0
    for run in runs:
        if run.started - last >= limit:
            yield f"standing task {task} did not run from {last:.3f}s to {run.started:.3f}s"
        last = max(last, run.stopped)
    if seen.ended - last >= limit:
        yield f"standing task {task} did not run from {last:.3f}s to {seen.ended:.3f}s"


def _check_bundle_spread(seen: Observations, version: int, within: float) -> Iterator[str]:
    """Yield the processes that used an older version for too long or lack this one at the end."""
    if version not in seen.accepted:
        yield f"bundle {version} was never accepted"
        return
    until = seen.accepted[version] + within
    for start, end, each in _list_spans(seen):
        if 0 < each.version < version and end > max(until, start):
            yield (
                f"bundle {each.version} was in force in {each.process} from {start:.3f}s "
                f"to {end:.3f}s, and bundle {version} should be from {until:.3f}s"
            )
    for process, since in sorted(seen.running_since.items()):
        own = [each for each in seen.bundles if each.process == process and each.time >= since]
        late = seen.ended > since + within
        if late and (not own or own[-1].version < version):
            yield f"bundle {version} is not in force in {process} at the end"


def _list_spans(seen: Observations) -> Iterator[tuple[float, float, BundleInForce]]:
    """Yield the start and end of each version in force in each incarnation of a process."""
    by_incarnation: dict[tuple[str, int], list[BundleInForce]] = defaultdict(list)
    for each in seen.bundles:
        by_incarnation[each.process, each.incarnation].append(each)
    for (process, incarnation), forces in sorted(by_incarnation.items()):
        ended = seen.ended_incarnations.get((process, incarnation), seen.ended)
        times = [*(each.time for each in forces[1:]), ended]
        yield from zip((each.time for each in forces), times, forces, strict=True)


def _check_reverts(seen: Observations) -> Iterator[str]:
    """Yield the processes that reverted to a lower version and the ambiguous versions."""
    served = [each for each in seen.bundles if each.version]
    highest: dict[str, int] = defaultdict(int)
    digests: dict[int, str] = {}
    for each in sorted(served, key=lambda each: each.time):
        if each.version < highest[each.process]:
            yield (
                f"at {each.time:.3f}s {each.process} went from bundle "
                f"{highest[each.process]} to {each.version}"
            )
        highest[each.process] = max(highest[each.process], each.version)
        if digests.setdefault(each.version, each.digest) != each.digest:
            yield f"at {each.time:.3f}s bundle {each.version} differs in {each.process}"


def _check_request(
    seen: Observations, request: str, end: RequestEnd, within: float
) -> Iterator[str]:
    """Yield the errors in the end of a request."""
    if end is RequestEnd.AT_MOST_ONCE:
        runs = [run for run in seen.request_runs if run.request == request]
        if len(runs) > 1:
            yield f"request {request} ran at {', '.join(run.host for run in runs)}"
        return
    reported = [each for each in seen.requests if each.request == request]
    if not reported:
        yield f"the caller of request {request} got no answer"
    for each in reported:
        if each.end is not end:
            yield f"the caller of request {request} got {each.end.value!r}"
        if not each.valid:
            yield f"request {request} got an incomplete answer or one of another request"
        if each.time > each.sent + within:
            yield f"request {request} took {each.time - each.sent:.3f}s"


def _list_requests(scenario: Scenario, request: str, end: RequestEnd) -> Iterator[str]:
    """Yield each matching request once; only non-idempotent ones must run at most once."""
    once = end is RequestEnd.AT_MOST_ONCE
    names: dict[str, None] = {}
    for event in scenario.events:
        match event.action:
            case model.SendRequest(idempotent=True) if once and not request:
                continue
            case model.SendRequest(name) if request in ("", name):
                names[name] = None
    yield from names


def _check_not_run(seen: Observations) -> Iterator[str]:
    """Yield the requests that ran although all their callers got ``not run``."""
    ran = {run.request for run in seen.request_runs}
    ends: dict[str, set[RequestEnd]] = defaultdict(set)
    for reported in seen.requests:
        ends[reported.request].add(reported.end)
    for request in sorted(ran):
        if ends[request] == {RequestEnd.NOT_RUN}:
            yield f"request {request} ran although its caller got 'not run'"


def _check_no_work(seen: Observations, host: str, after: float) -> Iterator[str]:
    """Yield the work that a host received after a time."""
    tasks = ((run.started, f"task {run.task}") for run in seen.runs if run.host == host)
    requests = (
        (run.started, f"request {run.request}") for run in seen.request_runs if run.host == host
    )
    for started, what in sorted((*tasks, *requests)):
        if started > after:
            yield f"{host} received {what} at {started:.3f}s"


def _check_single_place(seen: Observations) -> Iterator[str]:
    """Yield the tasks of which two attempts ran at the same time."""
    by_task: dict[str, list[TaskRun]] = defaultdict(list)
    for run in seen.runs:
        by_task[run.task].append(run)
    for task, runs in sorted(by_task.items()):
        for before, after in pairwise(sorted(runs, key=lambda run: run.started)):
            if after.started < before.stopped:
                yield (
                    f"task {task} ran at {before.host} until {before.stopped:.3f}s "
                    f"and at {after.host} from {after.started:.3f}s"
                )
