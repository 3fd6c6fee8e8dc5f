"""
Plan of faults
==============

Draw the faults of a run from a seed, as series that overlap one another.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from tools.soak import faults
from tools.soak.events import Signal
from tools.soak.faults import Fault, LinkMode, Mood, TimedFault
from tools.soak.reports import REPORT_PERIOD_S

__all__ = ["DATA_CENTRES", "Size", "draw_plan"]

FAULT_FREE_START_S = 1.5  # in which the first jobs are accepted
SERIES_PERIOD_S = 3.0  # run time for each series of faults
MIN_SCALED_HOSTS = 12  # larger deployments get proportionally more series
SERIES_LENGTHS = (2, 3, 4, 6)  # in faults
FAULT_GAPS_S = (0.0, 1.2)  # between faults of a series
REFUSAL_GAPS_S = (4.0, 16.0)  # between times in which links refuse connections
CUT_GAPS_S = (3.0, 9.0)  # between cuts of workers
BUSIEST_CUT_SHARE = 0.3
WORKER_CUT_DURATIONS_S = (2.0, 9.0)  # a lease is 4.5 s, an entry lapses after 2.2 to 3.3 s
RESTART_GAPS_S = (1.0, 5.0)  # between restarts of workers under their ids
STORM_SHARES = (0.3, 0.8)  # of the workers
STORM_LENGTHS_S = (6.0, 14.0)
UP_TIMES_S = (0.3, 3.0)  # of workers that flap
OWNER_FAULT_GAPS_S = (2.0, 5.0)
MAX_ORDER_DELAY_S = 6.0
SHORT_DURATIONS_S = (0.3, 2.0)
LONG_DURATIONS_S = (1.0, 6.0)
LEASE_CUT_DURATIONS_S = (2.0, 8.0)  # a worker's lease is 4.5 s
EVACUATION_DURATIONS_S = (3.0, 16.0)  # an evacuation has to be in force after 5 s
SERVICE_COUNT = 2
DATA_CENTRES = ("dc0", "dc1", "dc2")
UNUSED_DATA_CENTRE = "dc9"
EXTRA_QUEUE_COUNTS = (0, 1, 3, 40, 1_000)
FAULTY_MODES = (
    LinkMode.DELAYED,
    LinkMode.RESET,
    LinkMode.CUT_THERE,
    LinkMode.CUT_BACK,
    LinkMode.SILENT,
)
CUT_MODES = (LinkMode.CUT_THERE, LinkMode.CUT_BACK, LinkMode.SILENT)
WORKER_CUT_MODES = (
    (),  # from the store only
    (LinkMode.SILENT,),
    (LinkMode.CUT_BACK,),
    (LinkMode.RESET,),
    (LinkMode.REFUSED,),
    (LinkMode.RESET, LinkMode.REFUSED),
    (LinkMode.SILENT, LinkMode.REFUSED),
    (LinkMode.REFUSED, LinkMode.SILENT),
)


@dataclass(frozen=True, slots=True)
class Size:
    """
    Size of a run: faults begin for ``seconds``, then none for ``recovery`` seconds.

    With ``unstable``, many workers misbehave at the same time while their cells' owners change.
    """

    hosts: int = 6
    workers: int = 10
    callers: int = 10
    seconds: float = 20.0
    recovery: float = 14.0
    unstable: bool = False


def draw_plan(seed: int, size: Size) -> tuple[TimedFault, ...]:
    """Draw the faults of a run, ordered by time."""
    random_ = random.Random(f"plan/{seed}")
    timed: list[TimedFault] = []
    host_factor = max(1.0, size.hosts / MIN_SCALED_HOSTS)
    for _ in range(max(2, round(size.seconds / SERIES_PERIOD_S * host_factor))):
        timed += _draw_series(random_, size)
    # Drawn apart, so that each seed keeps the other faults that it had before there were these.
    timed += _draw_restarts(random.Random(f"restarts/{seed}"), size)
    timed += _draw_refusals(random.Random(f"refusals/{seed}"), size)
    timed += _draw_cuts(random.Random(f"cuts/{seed}"), size)
    if size.unstable:
        timed += _draw_storm(random.Random(f"storm/{seed}"), size)
    return tuple(sorted(timed, key=lambda it: it.at))


@dataclass(frozen=True, slots=True)
class _Targets:
    """The hosts and workers that a series of faults affects."""

    random_: random.Random
    hosts: tuple[int, ...]
    workers: tuple[int, ...]
    all_hosts: tuple[int, ...]

    def draw_host(self) -> int:
        return self.random_.choice(self.hosts)

    def draw_hosts(self) -> tuple[int, ...]:
        """Return all hosts, or one of the series."""
        return self.random_.choice((self.all_hosts, (self.draw_host(),)))

    def draw_time(self, bounds: tuple[float, float]) -> float:
        return round(self.random_.uniform(*bounds), 2)


def _draw_series(random_: random.Random, size: Size) -> Iterator[TimedFault]:
    """Yield faults of one or two themes in quick succession, on the same targets."""
    at = random_.uniform(FAULT_FREE_START_S, max(FAULT_FREE_START_S, size.seconds - 1.0))
    themes = random_.sample(_THEMES, random_.choice((1, 2)))
    targets = _draw_targets(random_, size)
    for _ in range(random_.choice(SERIES_LENGTHS)):
        if at >= size.seconds:
            return
        yield TimedFault(round(at, 3), random_.choice(themes)(random_, targets))
        at += random_.uniform(*FAULT_GAPS_S)


def _draw_restarts(random_: random.Random, size: Size) -> Iterator[TimedFault]:
    """Yield restarts of a few workers under their ids, some of them in quick succession."""
    at = random_.uniform(FAULT_FREE_START_S, RESTART_GAPS_S[1])
    while at < size.seconds:
        worker = random_.randrange(size.workers)
        away = round(random_.uniform(*SHORT_DURATIONS_S), 2)
        for _ in range(random_.choice((1, 1, 2))):
            if at < size.seconds:
                yield TimedFault(round(at, 3), faults.WorkerRestarts(worker, away))
            at += away + random_.uniform(*FAULT_GAPS_S)
        at += random_.uniform(*RESTART_GAPS_S)


def _draw_refusals(random_: random.Random, size: Size) -> Iterator[TimedFault]:
    """Yield times in which links refuse connections."""
    at = random_.uniform(FAULT_FREE_START_S, REFUSAL_GAPS_S[1])
    while at < size.seconds:
        targets = _draw_targets(random_, size)
        workers = random_.choice((None, targets.workers))
        lasts = targets.draw_time(LONG_DURATIONS_S)
        trouble = faults.LinkTrouble(targets.draw_hosts(), workers, LinkMode.REFUSED, lasts)
        yield TimedFault(round(at, 3), trouble)
        at += random_.uniform(*REFUSAL_GAPS_S)


def _draw_cuts(random_: random.Random, size: Size) -> Iterator[TimedFault]:
    """Yield cuts of workers from the store and all hosts, which may overlap."""
    at = random_.uniform(FAULT_FREE_START_S, CUT_GAPS_S[1])
    while at < size.seconds:
        modes = random_.choice(WORKER_CUT_MODES)
        lasts = round(random_.uniform(*WORKER_CUT_DURATIONS_S), 2)
        if random_.random() < BUSIEST_CUT_SHARE:
            cut = faults.BusiestWorkerCut(modes, lasts, _draw_report_age(random_))
            yield TimedFault(round(at, 3), cut)
        else:
            yield from _draw_cut(random_, size, at, modes, lasts)
        at += random_.uniform(*CUT_GAPS_S)


def _draw_cut(
    random_: random.Random, size: Size, at: float, modes: tuple[LinkMode, ...], lasts: float
) -> Iterator[TimedFault]:
    """Yield cuts of one worker, some, or a data centre's, with faults that hit them meanwhile."""
    workers = _draw_cut_workers(random_, size)
    for worker in workers:
        cut = faults.WorkerCut(worker, modes, lasts, _draw_report_age(random_))
        yield TimedFault(round(at, 3), cut)
    beside = _draw_beside_cut(random_, random_.choice(workers), at, lasts)
    yield from (timed for timed in beside if timed.at < size.seconds)


def _draw_report_age(random_: random.Random) -> float:
    return round(random_.uniform(0.0, REPORT_PERIOD_S), 2)


def _draw_cut_workers(random_: random.Random, size: Size) -> tuple[int, ...]:
    match random_.randrange(3):
        case 0:
            return (random_.randrange(size.workers),)
        case 1:
            return _draw_targets(random_, size).workers
    first = random_.randrange(min(size.workers, len(DATA_CENTRES)))
    return tuple(range(first, size.workers, len(DATA_CENTRES)))


def _draw_beside_cut(
    random_: random.Random, worker: int, at: float, lasts: float
) -> Iterator[TimedFault]:
    """Yield late orders before a cut, and the end of the worker's owner or a restart during it."""
    away = round(random_.uniform(*SHORT_DURATIONS_S), 2)
    meanwhile = round(at + random_.uniform(0.0, lasts), 3)
    if random_.random() < 0.3:
        late_for = round(random_.uniform(*LONG_DURATIONS_S), 2)
        before = round(max(FAULT_FREE_START_S, at - random_.uniform(0.0, late_for)), 3)
        yield TimedFault(before, faults.WorkerMood(worker, late_for, Mood.LATE, away))
    match random_.randrange(4):
        case 0:
            yield TimedFault(meanwhile, faults.OwnerEnds(worker % SERVICE_COUNT, away))
        case 1:
            yield TimedFault(meanwhile, faults.WorkerRestarts(worker, away))


def _draw_storm(random_: random.Random, size: Size) -> Iterator[TimedFault]:
    """Yield faults of many workers at the same time, and of the owners of their cells."""
    begin = random_.uniform(FAULT_FREE_START_S, size.seconds / 3)
    end = min(size.seconds, begin + random_.uniform(*STORM_LENGTHS_S))
    count = max(2, round(size.workers * random_.uniform(*STORM_SHARES)))
    for worker in random_.sample(range(size.workers), count):
        draw = random_.choice((_draw_flapping, _draw_flapping, _draw_misbehaviour))
        yield from draw(random_, worker, begin, end)
    at = begin + random_.uniform(*OWNER_FAULT_GAPS_S)
    while at < end:
        cell = random_.randrange(SERVICE_COUNT)
        away = round(random_.uniform(*SHORT_DURATIONS_S), 2)
        fault = random_.choice((faults.OwnerEnds(cell, away), faults.OwnerPauses(cell, 2 * away)))
        yield TimedFault(round(at, 3), fault)
        at += random_.uniform(*OWNER_FAULT_GAPS_S)


def _draw_flapping(
    random_: random.Random, worker: int, begin: float, end: float
) -> Iterator[TimedFault]:
    """Yield crashes of one worker again and again, most of which keep its id."""
    at = begin + random_.uniform(*UP_TIMES_S)
    while at < end:
        away = round(random_.uniform(*SHORT_DURATIONS_S), 2)
        if random_.random() < 0.8:
            yield TimedFault(round(at, 3), faults.WorkerRestarts(worker, away))
        else:
            yield TimedFault(round(at, 3), faults.WorkerEnds(worker, 0.0, away))
        at += away + random_.uniform(*UP_TIMES_S)


def _draw_misbehaviour(
    random_: random.Random, worker: int, begin: float, end: float
) -> Iterator[TimedFault]:
    """Yield spells in which one worker fails all tasks, hangs, or carries out orders late."""
    at = begin + random_.uniform(*SHORT_DURATIONS_S)
    while at < end:
        mood = random_.choice((Mood.FAILS, Mood.HANGS, Mood.LATE))
        lasts = round(min(end - at, random_.uniform(*LONG_DURATIONS_S)), 2)
        delay = round(random_.uniform(1.0, MAX_ORDER_DELAY_S), 2) if mood is Mood.LATE else 0.0
        yield TimedFault(round(at, 3), faults.WorkerMood(worker, lasts, mood, delay))
        at += lasts + random_.uniform(*FAULT_GAPS_S)


def _draw_targets(random_: random.Random, size: Size) -> _Targets:
    all_hosts = tuple(range(size.hosts))
    hosts = tuple(random_.sample(all_hosts, random_.randint(1, size.hosts)))
    max_workers = max(1, size.workers // 3)
    workers = tuple(random_.sample(range(size.workers), random_.randint(1, max_workers)))
    return _Targets(random_, hosts, workers, all_hosts)


def _draw_process(random_: random.Random, targets: _Targets) -> Fault:
    host = targets.draw_host()
    match random_.randrange(4):
        case 0:
            return faults.ProcessEnds(host, Signal.TERMINATE, targets.draw_time(SHORT_DURATIONS_S))
        case 1:
            return faults.ProcessEnds(host, Signal.KILL, targets.draw_time(SHORT_DURATIONS_S))
        case 2:
            return faults.ProcessPauses(host, targets.draw_time(LONG_DURATIONS_S))
    return faults.SettingsChange(host)


def _draw_rolling(random_: random.Random, targets: _Targets) -> Fault:
    signal = random_.choice((Signal.TERMINATE, Signal.TERMINATE, Signal.KILL))
    return faults.ProcessEnds(random_.choice(targets.all_hosts), signal, 0.1)


def _draw_configuration(random_: random.Random, targets: _Targets) -> Fault:
    return faults.ConfigurationChanges(random_.choice(EXTRA_QUEUE_COUNTS))


def _draw_evacuation(random_: random.Random, targets: _Targets) -> Fault:
    data_centre = random_.choice((*DATA_CENTRES, UNUSED_DATA_CENTRE))
    return faults.DataCentreEvacuated(data_centre, targets.draw_time(EVACUATION_DURATIONS_S))


def _draw_store(random_: random.Random, targets: _Targets) -> Fault:
    hosts, lasts = targets.draw_hosts(), targets.draw_time(LONG_DURATIONS_S)
    match random_.randrange(6):
        case 0:
            return faults.StoreTrouble(hosts, lasts, status=random_.choice((503, 429)))
        case 1:
            return faults.StoreTrouble(hosts, lasts, takes=random_.choice((0.05, 0.3, 0.6)))
        case 2:
            return faults.StoreTrouble(hosts, lasts, silent=True)
        case 3:
            return faults.WritesUnanswered(targets.draw_host(), random_.randint(1, 5))
        case 4:
            return faults.WritesUnanswered(targets.draw_host(), random_.randint(1, 4), lasts)
    return faults.HistoryDropped()


def _draw_link(random_: random.Random, targets: _Targets) -> Fault:
    workers = random_.choice((None, targets.workers))
    mode = random_.choice(FAULTY_MODES)
    delay = random_.choice((0.02, 0.2, 0.7)) if mode is LinkMode.DELAYED else 0.0
    return faults.LinkTrouble(
        targets.draw_hosts(), workers, mode, targets.draw_time(LONG_DURATIONS_S), delay
    )


def _draw_workers_cut(random_: random.Random, targets: _Targets) -> Fault:
    """Draw a cut of links to workers that is long enough for leases to expire."""
    mode, lasts = random_.choice(CUT_MODES), targets.draw_time(LEASE_CUT_DURATIONS_S)
    return faults.LinkTrouble(targets.draw_hosts(), targets.workers, mode, lasts)


def _draw_worker(random_: random.Random, targets: _Targets) -> Fault:
    worker = random_.choice(targets.workers)
    match random_.randrange(6):
        case 0:
            return faults.WorkerEnds(worker, 0.0, targets.draw_time(SHORT_DURATIONS_S))
        case 1:
            return faults.WorkerEnds(
                worker, targets.draw_time(LONG_DURATIONS_S), targets.draw_time(SHORT_DURATIONS_S)
            )
        case 2:
            status = random_.choice((503, 429, 409))
            return faults.WorkerMood(
                worker, targets.draw_time(SHORT_DURATIONS_S), Mood.REFUSES, status
            )
        case 3:
            return faults.WorkerMood(worker, targets.draw_time(SHORT_DURATIONS_S), Mood.FAILS)
    return faults.WorkerMood(
        worker, targets.draw_time(LONG_DURATIONS_S), Mood.LATE, targets.draw_time(SHORT_DURATIONS_S)
    )


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
