"""
Plan of faults
==============

Draw what happens to a deployment from a seed: series of faults that overlap one another.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from tools.soak.faults import (
    Fault,
    HangUp,
    Kill,
    Link,
    LinkMode,
    Pause,
    Reconfigure,
    StoreForgets,
    StoreLate,
    StoreLoses,
    StoreRefuses,
    StoreSilent,
    StoreSlow,
    Terminate,
    Timed,
    WorkerCrash,
    WorkerFails,
    WorkerLate,
    WorkerLeaves,
    WorkerRefuses,
)

__all__ = ["Size", "draw_plan"]

FIRST = 1.5  # s without faults, in which the first jobs are accepted
SERIES_EVERY = 4.0  # s of a run for each series of faults
LENGTHS = (2, 3, 4, 6)  # faults of one series
GAPS = (0.0, 1.2)  # s between faults of a series
SHORT = (0.3, 2.0)  # s
LONG = (1.0, 6.0)  # s
LEASES = (2.0, 8.0)  # s: a lease of a worker is 4.5 s
TROUBLED_MODES = tuple(mode for mode in LinkMode if mode is not LinkMode.OPEN)


@dataclass(frozen=True, slots=True)
class Size:
    """Say how large a run is; ``seconds`` is how long faults begin."""

    hosts: int = 6
    workers: int = 10
    callers: int = 10
    seconds: float = 20.0


def draw_plan(seed: int, size: Size) -> tuple[Timed, ...]:
    """Draw the faults of a run, in the order of their times."""
    random_ = random.Random(f"plan/{seed}")
    timed: list[Timed] = []
    for _ in range(max(2, round(size.seconds / SERIES_EVERY))):
        timed += _draw_series(random_, size)
    return tuple(sorted(timed, key=lambda it: it.at))


def _draw_series(random_: random.Random, size: Size) -> Iterator[Timed]:
    """Yield faults of one or two themes in quick succession, often on the same few targets."""
    at = random_.uniform(FIRST, max(FIRST, size.seconds - 1.0))
    themes = random_.sample(_THEMES, random_.choice((1, 1, 2)))
    targets = _draw_targets(random_, size)
    for _ in range(random_.choice(LENGTHS)):
        if at >= size.seconds:
            return
        yield Timed(round(at, 3), random_.choice(themes)(random_, targets))
        at += random_.uniform(*GAPS)


@dataclass(frozen=True, slots=True)
class _Targets:
    hosts: tuple[int, ...]
    workers: tuple[int, ...]
    all_hosts: tuple[int, ...]

    def some_hosts(self, random_: random.Random) -> tuple[int, ...]:
        """Return all hosts, or one."""
        return random_.choice((self.all_hosts, (random_.choice(self.hosts),)))


def _draw_targets(random_: random.Random, size: Size) -> _Targets:
    all_hosts = tuple(range(size.hosts))
    hosts = tuple(random_.sample(all_hosts, random_.randint(1, size.hosts)))
    most = min(size.workers, max(1, size.workers // 3))
    workers = tuple(random_.sample(range(size.workers), random_.randint(1, most)))
    return _Targets(hosts, workers, all_hosts)


def _draw_process(random_: random.Random, targets: _Targets) -> Fault:
    host = random_.choice(targets.hosts)
    match random_.randrange(4):
        case 0:
            return Terminate(host, _draw(random_, SHORT))
        case 1:
            return Kill(host, _draw(random_, SHORT))
        case 2:
            return Pause(host, _draw(random_, LONG))
    return HangUp(host)


def _draw_rolling(random_: random.Random, targets: _Targets) -> Fault:
    host = random_.choice(targets.all_hosts)
    return random_.choice((Terminate(host, 0.1), Terminate(host, 1.0), Kill(host, 0.1)))


def _draw_configuration(random_: random.Random, targets: _Targets) -> Fault:
    return Reconfigure(random_.choice((0, 1, 3, 40, 200)))


def _draw_store(random_: random.Random, targets: _Targets) -> Fault:
    hosts = targets.some_hosts(random_)
    host = random_.choice(targets.hosts)
    match random_.randrange(6):
        case 0:
            return StoreRefuses(hosts, _draw(random_, LONG), random_.choice((503, 429)))
        case 1:
            return StoreSlow(hosts, _draw(random_, LONG), random_.choice((0.05, 0.3, 0.6)))
        case 2:
            return StoreSilent(hosts, _draw(random_, LONG))
        case 3:
            return StoreLoses(host, random_.randint(1, 5))
        case 4:
            return StoreLate(host, random_.randint(1, 4), _draw(random_, LONG))
    return StoreForgets()


def _draw_link(random_: random.Random, targets: _Targets) -> Fault:
    workers = random_.choice((None, targets.workers))
    mode = random_.choice(TROUBLED_MODES)
    delay = random_.choice((0.02, 0.2, 0.7)) if mode is LinkMode.DELAYED else 0.0
    return Link(targets.some_hosts(random_), workers, mode, _draw(random_, LONG), delay)


def _draw_workers_cut(random_: random.Random, targets: _Targets) -> Fault:
    """Draw a cut of ways to the workers that is long enough for leases to end."""
    mode = random_.choice((LinkMode.CUT_THERE, LinkMode.CUT_BACK, LinkMode.SILENT))
    return Link(targets.some_hosts(random_), targets.workers, mode, _draw(random_, LEASES))


def _draw_worker(random_: random.Random, targets: _Targets) -> Fault:
    worker = random_.choice(targets.workers)
    match random_.randrange(6):
        case 0:
            return WorkerCrash(worker, _draw(random_, SHORT))
        case 1:
            return WorkerLeaves(worker, _draw(random_, LONG), _draw(random_, SHORT))
        case 2 | 3:
            return WorkerLate(worker, _draw(random_, LONG), _draw(random_, SHORT))
        case 4:
            return WorkerRefuses(worker, _draw(random_, SHORT), random_.choice((503, 429, 409)))
    return WorkerFails(worker, _draw(random_, SHORT))


def _draw(random_: random.Random, bounds: tuple[float, float]) -> float:
    return round(random_.uniform(*bounds), 2)


_Draw = Callable[[random.Random, _Targets], Fault]
_THEMES: tuple[_Draw, ...] = (
    _draw_process,
    _draw_rolling,
    _draw_configuration,
    _draw_store,
    _draw_link,
    _draw_workers_cut,
    _draw_worker,
)
