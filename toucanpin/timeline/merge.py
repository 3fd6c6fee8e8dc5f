"""
Causal merge
============

Merge the events of many processes into one causal order.

An event comes after its causes and after the earlier events of its process.  Wall clocks of
different hosts disagree, so they only break ties between causally unrelated events.  The result
doesn't depend on the order in which the events were collected.
"""

from __future__ import annotations

import heapq
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from itertools import pairwise

from toucanpin.timeline.event import Cause, Event
from toucanpin.timeline.faults import (
    AmbiguousCause,
    ConflictingCopies,
    Cycle,
    EventId,
    Fault,
    Gap,
    MissingCause,
    Unreadable,
)

__all__ = ["identify", "skip_unreadable", "merge"]

ReportFault = Callable[[Fault], None]
_Rank = tuple[float, str, int, int]


def identify(event: Event) -> EventId:
    """Return the identifier of an event."""
    return EventId(event.process, event.incarnation, event.sequence)


def skip_unreadable(items: Iterable[Event | Unreadable], report: ReportFault) -> Iterator[Event]:
    """Yield the events and report the unreadable lines."""
    for item in items:
        match item:
            case Unreadable():
                report(item)
            case Event():
                yield item


def merge(events: Iterable[Event], report: ReportFault) -> Iterator[Event]:
    """Yield every event once, in causal order, and report faults."""
    unique = _deduplicate(events, report)
    sequences_by_process = _group_sequences(unique)
    _report_gaps(sequences_by_process, report)
    parents = _find_parents(unique, sequences_by_process, report)
    yield from _sort_causally(unique, sequences_by_process, parents, report)


def _deduplicate(events: Iterable[Event], report: ReportFault) -> dict[EventId, Event]:
    """Return one copy of each event."""
    # Of two different copies the one with the smaller repr is kept, whichever was read first.
    unique: dict[EventId, Event] = {}
    differing: set[EventId] = set()
    for event in events:
        event_id = identify(event)
        other = unique.setdefault(event_id, event)
        if other != event:
            differing.add(event_id)
            unique[event_id] = min(other, event, key=repr)
    for event_id in sorted(differing):
        report(ConflictingCopies(event_id))
    return unique


def _group_sequences(unique: dict[EventId, Event]) -> dict[str, dict[str, list[int]]]:
    """Return the sequence numbers by process and incarnation, incarnations in order."""
    sequences: dict[str, dict[str, list[int]]] = defaultdict(lambda: defaultdict(list))
    for event_id in sorted(unique):
        sequences[event_id.process][event_id.incarnation].append(event_id.sequence)
    return {
        process: {
            incarnation: found[incarnation]
            for incarnation in sorted(
                found, key=lambda each: _make_incarnation_key(process, each, found, unique)
            )
        }
        for process, found in sorted(sequences.items())
    }


def _make_incarnation_key(
    process: str, incarnation: str, found: dict[str, list[int]], unique: dict[EventId, Event]
) -> tuple[int, float, str]:
    """Return the sort key of an incarnation among those of its process."""
    # Numeric incarnations increase; others are ordered by the wall clock of their first event.
    if all(each.isascii() and each.isdigit() for each in found):
        return int(incarnation), 0.0, incarnation
    first = unique[EventId(process, incarnation, found[incarnation][0])]
    return 0, first.wall, incarnation


def _report_gaps(
    sequences_by_process: dict[str, dict[str, list[int]]], report: ReportFault
) -> None:
    """Report the sequence numbers that are missing below the highest of each incarnation."""
    for process, incarnations in sequences_by_process.items():
        for incarnation, sequences in incarnations.items():
            for before, after in pairwise((0, *sequences)):
                if after > before + 1:
                    report(Gap(process, incarnation, before + 1, after - 1))


def _find_parents(
    unique: dict[EventId, Event],
    sequences_by_process: dict[str, dict[str, list[int]]],
    report: ReportFault,
) -> dict[EventId, set[EventId]]:
    """Return the direct predecessors of each event."""
    parents: dict[EventId, set[EventId]] = {event_id: set() for event_id in unique}
    for process, incarnations in sequences_by_process.items():
        history = [
            EventId(process, incarnation, number)
            for incarnation in incarnations
            for number in incarnations[incarnation]
        ]
        for before, after in pairwise(history):
            parents[after].add(before)
    for event_id in sorted(unique):
        for cause in unique[event_id].causes:
            found = _resolve_cause(event_id, cause, unique, sequences_by_process, report)
            if found is not None:
                parents[event_id].add(found)
    return parents


def _resolve_cause(
    event_id: EventId,
    cause: Cause,
    unique: dict[EventId, Event],
    sequences_by_process: dict[str, dict[str, list[int]]],
    report: ReportFault,
) -> EventId | None:
    """Return the event that a cause refers to or, if it is missing, its last known predecessor."""
    incarnations = sequences_by_process.get(cause.process, {})
    candidates = [
        incarnation
        for incarnation in incarnations
        if cause.incarnation in ("", incarnation) and cause.sequence in incarnations[incarnation]
    ]
    if not candidates:
        report(MissingCause(event_id, cause))
        return _find_predecessor(cause, incarnations)
    if len(candidates) == 1:
        return EventId(cause.process, candidates[0], cause.sequence)
    wall = unique[event_id].wall
    earlier = [
        incarnation
        for incarnation in candidates
        if unique[EventId(cause.process, incarnation, cause.sequence)].wall <= wall
    ]
    chosen = earlier[-1] if earlier else candidates[0]
    report(AmbiguousCause(event_id, cause, chosen))
    return EventId(cause.process, chosen, cause.sequence)


def _find_predecessor(cause: Cause, incarnations: dict[str, list[int]]) -> EventId | None:
    """Return the last known event before a missing one in the same incarnation."""
    sequences = incarnations.get(cause.incarnation, [])
    index = bisect_left(sequences, cause.sequence)
    if index == 0:
        return None
    return EventId(cause.process, cause.incarnation, sequences[index - 1])


def _sort_causally(
    unique: dict[EventId, Event],
    sequences_by_process: dict[str, dict[str, list[int]]],
    parents: dict[EventId, set[EventId]],
    report: ReportFault,
) -> Iterator[Event]:
    """Yield the events in topological order, ties broken by wall clock."""
    children: dict[EventId, list[EventId]] = defaultdict(list)
    waiting = {event_id: len(before) for event_id, before in parents.items()}
    for event_id, before in parents.items():
        for parent in before:
            children[parent].append(event_id)
    ranks = {event_id: _rank(event, sequences_by_process) for event_id, event in unique.items()}
    ready = [(ranks[event_id], event_id) for event_id, count in waiting.items() if count == 0]
    heapq.heapify(ready)
    blocked = iter(sorted(unique, key=ranks.__getitem__))
    done: set[EventId] = set()
    while len(done) < len(unique):
        if ready:
            event_id = heapq.heappop(ready)[1]
        else:
            event_id = next(each for each in blocked if each not in done)
            report(Cycle(event_id))
        if event_id in done:
            continue
        done.add(event_id)
        yield unique[event_id]
        for child in children[event_id]:
            waiting[child] -= 1
            if waiting[child] == 0 and child not in done:
                heapq.heappush(ready, (ranks[child], child))


def _rank(event: Event, sequences_by_process: dict[str, dict[str, list[int]]]) -> _Rank:
    """Return the sort key of an event among causally unrelated ones."""
    incarnation = list(sequences_by_process[event.process]).index(event.incarnation)
    return event.wall, event.process, incarnation, event.sequence
