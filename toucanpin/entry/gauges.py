"""
Gauges of an entry process
==========================

Register the metrics that are read from the components whenever a collector asks.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from functools import partial

from toucanpin.clients import Budget
from toucanpin.entry.candidate import Candidate
from toucanpin.entry.client_log import count_refused
from toucanpin.entry.clocks import steady_time
from toucanpin.entry.configuration import ConfigurationWatch
from toucanpin.entry.logs import LineHandler
from toucanpin.entry.metrics import register_counter, register_gauge
from toucanpin.scheduling.forecast import QueueForecast

__all__ = ["register_gauges"]

Candidates = Mapping[str, Candidate]


def register_gauges(
    candidates: Candidates,
    configuration: ConfigurationWatch,
    budgets: Mapping[str, Budget],
    logs: LineHandler | None,
) -> None:
    """Register the gauges of a process: its cells, configuration, clients by listener and logs."""
    _register_cells(candidates)
    _register_forecasts(candidates)
    _register_clients(budgets)
    register_gauge(
        "toucanpin.configuration",
        "Version and age in s",
        "what",
        partial(_read_configuration, configuration),
    )
    register_gauge("toucanpin.processor", "Processor time in s", "what", _read_processor)
    if logs is not None:
        register_gauge("toucanpin.log.dropped", "Lines", "why", lambda: {"limit": logs.dropped})


def _register_cells(candidates: Candidates) -> None:
    register_gauge(
        "toucanpin.cells.owned",
        "1 for each cell of this host",
        "cell",
        lambda: {cell: 1.0 for cell, it in candidates.items() if it.owns},
    )
    register_gauge(
        "toucanpin.tasks.waiting",
        "Tasks that wait here",
        "priority",
        partial(_sum_counts, candidates, Candidate.count_waiting),
    )
    register_gauge(
        "toucanpin.occurrences.late",
        "Occurrences of recurring jobs that are due and haven't begun",
        "priority",
        partial(_sum_counts, candidates, Candidate.count_late_occurrences),
    )
    register_gauge(
        "toucanpin.tasks.evacuating",
        "Tasks that still run in evacuated data centres",
        "data_centre",
        partial(_sum_counts, candidates, Candidate.count_evacuated),
    )
    register_gauge(
        "toucanpin.runs.unsettled",
        "Runs on workers that don't answer this owner, or never have",
        "worker",
        partial(_sum_counts, candidates, Candidate.count_unsettled),
    )
    register_gauge(
        "toucanpin.headroom",
        "Cores for short tasks: forecast, used, planned to be free, free",
        "what",
        partial(_sum_counts, candidates, Candidate.count_headroom),
    )
    register_gauge(
        "toucanpin.room",
        "Cores by who holds or waits for them, and workers without long-running tasks",
        "what",
        partial(_sum_counts, candidates, Candidate.count_room),
    )


def _register_forecasts(candidates: Candidates) -> None:
    register_gauge(
        "toucanpin.forecast.wait",
        "Expected wait in s of new jobs that can be on time",
        "queues",
        lambda: {it.name: it.on_time_wait / 1_000 for it in _list_forecasts(candidates)},
    )
    register_gauge(
        "toucanpin.forecast.late",
        "Expected wait in s of new jobs that can't be on time",
        "queues",
        lambda: {it.name: it.late_wait / 1_000 for it in _list_forecasts(candidates)},
    )


def _register_clients(budgets: Mapping[str, Budget]) -> None:
    register_counter(
        "toucanpin.clients.refused",
        "Clients refused or closed, by listener and reason",
        partial(count_refused, budgets),
    )
    register_gauge(
        "toucanpin.clients.connections",
        "Open connections of clients",
        "listener",
        lambda: {name: len(it.accounts) for name, it in budgets.items()},
    )
    register_gauge(
        "toucanpin.clients.held",
        "Bytes held for clients, above the base of each connection",
        "listener",
        lambda: {name: it.held for name, it in budgets.items()},
    )


def _sum_counts(
    candidates: Candidates, count: Callable[[Candidate], Mapping[str, float]]
) -> dict[str, float]:
    """Return the counts of all cells together."""
    total: Counter[str] = Counter()
    for candidate in candidates.values():
        total.update(count(candidate))
    return dict(total)


def _list_forecasts(candidates: Candidates) -> Iterator[QueueForecast]:
    for candidate in candidates.values():
        known = candidate.read_forecast() if candidate.owns else None
        yield from known.forecast.queues if known is not None else ()


def _read_configuration(configuration: ConfigurationWatch) -> dict[str, float]:
    current = configuration.current
    age = steady_time() - configuration.confirmed
    return {"version": current.version if current else 0, "age": age}


def _read_processor() -> dict[str, float]:
    return {"process": time.process_time()}
