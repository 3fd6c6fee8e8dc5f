"""
Merge
=====

The events of many processes in one causal order.

An event comes after its causes and after its own process's earlier events.  Wall clocks of
different hosts disagree, so they only choose among events that nothing else orders.  The same
events give the same order, whatever order they were gathered in.
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
    Cycle,
    Differing,
    EventId,
    Fault,
    Gap,
    MissingCause,
    Unreadable,
)

__all__ = ["identify", "keep_events", "merge"]

Report = Callable[[Fault], None]
_Rank = tuple[float, str, int, int]


def identify(event: Event) -> EventId:
    """Name an event."""
    return EventId(event.process, event.incarnation, event.sequence)


def keep_events(items: Iterable[Event | Unreadable], report: Report) -> Iterator[Event]:
    """Yield the events and report the lines that held none."""
    for item in items:
        match item:
            case Unreadable():
                report(item)
            case Event():
                yield item


def merge(events: Iterable[Event], report: Report) -> Iterator[Event]:
    """Yield every event once, in causal order, and report what is wrong with them."""
    unique = _unite(events, report)
    lives = _sort_lives(unique)
    _report_gaps(lives, report)
    parents = _link(unique, lives, report)
    yield from _order(unique, lives, parents, report)


def _unite(events: Iterable[Event], report: Report) -> dict[EventId, Event]:
    """Keep one copy of each event."""
    # The arrival order decides nothing: of two differing copies the smaller text is kept.
    unique: dict[EventId, Event] = {}
    differing: set[EventId] = set()
    for event in events:
        name = identify(event)
        other = unique.setdefault(name, event)
        if other != event:
            differing.add(name)
            unique[name] = min(other, event, key=repr)
    for name in sorted(differing):
        report(Differing(name))
    return unique


def _sort_lives(unique: dict[EventId, Event]) -> dict[str, dict[str, list[int]]]:
    """Give, for each process, its incarnations in order and their sequence numbers."""
    sequences: dict[str, dict[str, list[int]]] = defaultdict(lambda: defaultdict(list))
    for name in sorted(unique):
        sequences[name.process][name.incarnation].append(name.sequence)
    return {
        process: {
            incarnation: found[incarnation]
            for incarnation in sorted(found, key=lambda life: _age(process, life, found, unique))
        }
        for process, found in sorted(sequences.items())
    }


def _age(
    process: str, incarnation: str, found: dict[str, list[int]], unique: dict[EventId, Event]
) -> tuple[int, float, str]:
    """Rank one incarnation among those of its process."""
    # Incarnations are counted upwards, so numbers order them exactly; the clock helps with others.
    if all(life.isascii() and life.isdigit() for life in found):
        return int(incarnation), 0.0, incarnation
    first = unique[EventId(process, incarnation, found[incarnation][0])]
    return 0, first.wall, incarnation


def _report_gaps(lives: dict[str, dict[str, list[int]]], report: Report) -> None:
    """Report the sequence numbers that are missing below the highest of each incarnation."""
    for process, incarnations in lives.items():
        for incarnation, sequences in incarnations.items():
            for before, after in pairwise((0, *sequences)):
                if after > before + 1:
                    report(Gap(process, incarnation, before + 1, after - 1))


def _link(
    unique: dict[EventId, Event], lives: dict[str, dict[str, list[int]]], report: Report
) -> dict[EventId, set[EventId]]:
    """Give, for each event, the events that must come before it."""
    parents: dict[EventId, set[EventId]] = {name: set() for name in unique}
    for process, incarnations in lives.items():
        line = [
            EventId(process, life, number) for life in incarnations for number in incarnations[life]
        ]
        for before, after in pairwise(line):
            parents[after].add(before)
    for name in sorted(unique):
        for cause in unique[name].causes:
            found = _find(name, cause, unique, lives, report)
            if found is not None:
                parents[name].add(found)
    return parents


def _find(
    name: EventId,
    cause: Cause,
    unique: dict[EventId, Event],
    lives: dict[str, dict[str, list[int]]],
    report: Report,
) -> EventId | None:
    """Return the event that a cause points at; of a lost one, its last known predecessor."""
    incarnations = lives.get(cause.process, {})
    wanted = [
        life
        for life in incarnations
        if cause.incarnation in ("", life) and cause.sequence in incarnations[life]
    ]
    if not wanted:
        report(MissingCause(name, cause))
        return _find_predecessor(cause, incarnations)
    if len(wanted) == 1:
        return EventId(cause.process, wanted[0], cause.sequence)
    own = unique[name].wall
    earlier = [
        life for life in wanted if unique[EventId(cause.process, life, cause.sequence)].wall <= own
    ]
    taken = earlier[-1] if earlier else wanted[0]
    report(AmbiguousCause(name, cause, taken))
    return EventId(cause.process, taken, cause.sequence)


def _find_predecessor(cause: Cause, incarnations: dict[str, list[int]]) -> EventId | None:
    """Return the newest known event before a lost one of a certain incarnation."""
    sequences = incarnations.get(cause.incarnation, [])
    place = bisect_left(sequences, cause.sequence)
    if place == 0:
        return None
    return EventId(cause.process, cause.incarnation, sequences[place - 1])


def _order(
    unique: dict[EventId, Event],
    lives: dict[str, dict[str, list[int]]],
    parents: dict[EventId, set[EventId]],
    report: Report,
) -> Iterator[Event]:
    """Yield events whose predecessors were yielded, the earliest by wall clock first."""
    children: dict[EventId, list[EventId]] = defaultdict(list)
    waiting = {name: len(before) for name, before in parents.items()}
    for name, before in parents.items():
        for parent in before:
            children[parent].append(name)
    ranks = {name: _rank(event, lives) for name, event in unique.items()}
    ready = [(ranks[name], name) for name, count in waiting.items() if count == 0]
    heapq.heapify(ready)
    blocked = iter(sorted(unique, key=ranks.__getitem__))
    done: set[EventId] = set()
    while len(done) < len(unique):
        if ready:
            name = heapq.heappop(ready)[1]
        else:
            name = next(each for each in blocked if each not in done)
            report(Cycle(name))
        if name in done:
            continue
        done.add(name)
        yield unique[name]
        for child in children[name]:
            waiting[child] -= 1
            if waiting[child] == 0 and child not in done:
                heapq.heappush(ready, (ranks[child], child))


def _rank(event: Event, lives: dict[str, dict[str, list[int]]]) -> _Rank:
    """Rank an event among those that nothing else orders."""
    life = list(lives[event.process]).index(event.incarnation)
    return event.wall, event.process, life, event.sequence
