"""
Plan of faults
==============

Draw what happens to a deployment from a seed: series of faults that overlap one another.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from tools.soak import faults
from tools.soak.events import Signal
from tools.soak.faults import Fault, LinkMode, Mood, Timed

__all__ = ["DATA_CENTRES", "Size", "draw_plan"]

FIRST = 1.5  # s without faults, in which the first jobs are accepted
SERIES_EVERY = 3.0  # s of a run for each series of faults
SERIES_HOSTS = 12  # from which on there are more series
LENGTHS = (2, 3, 4, 6)  # faults of one series
GAPS = (0.0, 1.2)  # s between faults of a series
SHORT = (0.3, 2.0)  # s
LONG = (1.0, 6.0)  # s
LEASES = (2.0, 8.0)  # s: a lease of a worker is 4.5 s
EVACUATED = (3.0, 16.0)  # s; an evacuation has to be in force after 5 s
DATA_CENTRES = ("dc0", "dc1", "dc2")
NOBODYS_DATA_CENTRE = "dc9"
EXTRA_QUEUES = (0, 1, 3, 40, 1_000)
TROUBLED_MODES = tuple(mode for mode in LinkMode if mode is not LinkMode.OPEN)
CUTS = (LinkMode.CUT_THERE, LinkMode.CUT_BACK, LinkMode.SILENT)


@dataclass(frozen=True, slots=True)
class Size:
    """Say how large a run is; faults begin for ``seconds``, and a calm time of ``calm`` follows."""

    hosts: int = 6
    workers: int = 10
    callers: int = 10
    seconds: float = 20.0
    calm: float = 14.0


def draw_plan(seed: int, size: Size) -> tuple[Timed, ...]:
    """Draw the faults of a run, in the order of their times."""
    random_ = random.Random(f"plan/{seed}")
    timed: list[Timed] = []
    crowd = max(1.0, size.hosts / SERIES_HOSTS)
    for _ in range(max(2, round(size.seconds / SERIES_EVERY * crowd))):
        timed += _draw_series(random_, size)
    return tuple(sorted(timed, key=lambda it: it.at))


@dataclass(frozen=True, slots=True)
class _Targets:
    """Hold the few hosts and workers that a series is about."""

    random_: random.Random
    hosts: tuple[int, ...]
    workers: tuple[int, ...]
    all_hosts: tuple[int, ...]

    def one_host(self) -> int:
        return self.random_.choice(self.hosts)

    def some_hosts(self) -> tuple[int, ...]:
        """Return all hosts, or one."""
        return self.random_.choice((self.all_hosts, (self.one_host(),)))

    def time(self, bounds: tuple[float, float]) -> float:
        return round(self.random_.uniform(*bounds), 2)


def _draw_series(random_: random.Random, size: Size) -> Iterator[Timed]:
    """Yield faults of one or two themes in quick succession, on the same few targets."""
    at = random_.uniform(FIRST, max(FIRST, size.seconds - 1.0))
    themes = random_.sample(_THEMES, random_.choice((1, 2)))
    targets = _draw_targets(random_, size)
    for _ in range(random_.choice(LENGTHS)):
        if at >= size.seconds:
            return
        yield Timed(round(at, 3), random_.choice(themes)(random_, targets))
        at += random_.uniform(*GAPS)


def _draw_targets(random_: random.Random, size: Size) -> _Targets:
    all_hosts = tuple(range(size.hosts))
    hosts = tuple(random_.sample(all_hosts, random_.randint(1, size.hosts)))
    most = max(1, size.workers // 3)
    workers = tuple(random_.sample(range(size.workers), random_.randint(1, most)))
    return _Targets(random_, hosts, workers, all_hosts)


def _draw_process(random_: random.Random, targets: _Targets) -> Fault:
    host = targets.one_host()
    match random_.randrange(4):
        case 0:
            return faults.ProcessEnds(host, Signal.TERMINATE, targets.time(SHORT))
        case 1:
            return faults.ProcessEnds(host, Signal.KILL, targets.time(SHORT))
        case 2:
            return faults.ProcessPauses(host, targets.time(LONG))
    return faults.SettingsChange(host)


def _draw_rolling(random_: random.Random, targets: _Targets) -> Fault:
    signal = random_.choice((Signal.TERMINATE, Signal.TERMINATE, Signal.KILL))
    return faults.ProcessEnds(random_.choice(targets.all_hosts), signal, 0.1)


def _draw_configuration(random_: random.Random, targets: _Targets) -> Fault:
    return faults.ConfigurationChanges(random_.choice(EXTRA_QUEUES))


def _draw_evacuation(random_: random.Random, targets: _Targets) -> Fault:
    data_centre = random_.choice((*DATA_CENTRES, NOBODYS_DATA_CENTRE))
    return faults.DataCentreEvacuated(data_centre, targets.time(EVACUATED))


def _draw_store(random_: random.Random, targets: _Targets) -> Fault:
    hosts, lasts = targets.some_hosts(), targets.time(LONG)
    match random_.randrange(6):
        case 0:
            return faults.StoreTrouble(hosts, lasts, status=random_.choice((503, 429)))
        case 1:
            return faults.StoreTrouble(hosts, lasts, takes=random_.choice((0.05, 0.3, 0.6)))
        case 2:
            return faults.StoreTrouble(hosts, lasts, silent=True)
        case 3:
            return faults.WritesUnanswered(targets.one_host(), random_.randint(1, 5))
        case 4:
            return faults.WritesUnanswered(targets.one_host(), random_.randint(1, 4), lasts)
    return faults.HistoryDropped()


def _draw_link(random_: random.Random, targets: _Targets) -> Fault:
    workers = random_.choice((None, targets.workers))
    mode = random_.choice(TROUBLED_MODES)
    delay = random_.choice((0.02, 0.2, 0.7)) if mode is LinkMode.DELAYED else 0.0
    return faults.LinkTrouble(targets.some_hosts(), workers, mode, targets.time(LONG), delay)


def _draw_workers_cut(random_: random.Random, targets: _Targets) -> Fault:
    """Draw a cut of ways to the workers that is long enough for leases to end."""
    mode, lasts = random_.choice(CUTS), targets.time(LEASES)
    return faults.LinkTrouble(targets.some_hosts(), targets.workers, mode, lasts)


def _draw_worker(random_: random.Random, targets: _Targets) -> Fault:
    worker = random_.choice(targets.workers)
    match random_.randrange(6):
        case 0:
            return faults.WorkerEnds(worker, 0.0, targets.time(SHORT))
        case 1:
            return faults.WorkerEnds(worker, targets.time(LONG), targets.time(SHORT))
        case 2:
            status = random_.choice((503, 429, 409))
            return faults.WorkerMood(worker, targets.time(SHORT), Mood.REFUSES, status)
        case 3:
            return faults.WorkerMood(worker, targets.time(SHORT), Mood.FAILS)
    return faults.WorkerMood(worker, targets.time(LONG), Mood.LATE, targets.time(SHORT))


_THEMES: tuple[Callable[[random.Random, _Targets], Fault], ...] = (
    _draw_process,
    _draw_rolling,
    _draw_configuration,
    _draw_store,
    _draw_link,
    _draw_workers_cut,
    _draw_worker,
    _draw_evacuation,
)
