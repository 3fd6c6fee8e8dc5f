"""
Metrics of the entry process
============================

OpenTelemetry instruments, and their export as text for operators' collectors.

Notes
-----
The instruments come from the API package, which is quick to import.  The SDK takes several times as
long and is imported only after the start, since the start is part of each recovery.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from typing import Any

from opentelemetry import metrics

from toucanpin.clients import UNLIMITED, Budget, Intake, Limits
from toucanpin.http import Request, Response, Server

__all__ = [
    "ENDS",
    "LOOP_LAG",
    "LOST_RUNS",
    "MALFORMED_ROWS",
    "REAPPEARED_RUNS",
    "REFUSED_JOBS",
    "REFUSED_STARTS",
    "REQUESTS",
    "REQUEST_TIME",
    "SLOW_WORKERS",
    "STARTS",
    "START_WAIT",
    "STORE_BYTES",
    "STORE_CALLS",
    "TAKEOVERS",
    "TURN_TIME",
    "BatchedCounter",
    "MetricsServer",
    "register_counter",
    "register_gauge",
]

_meter = metrics.get_meter("toucanpin")


class BatchedCounter:
    """
    Counter of frequent events that passes its counts to the SDK when metrics are read.

    The SDK takes as long to count one event as a thousand, and some come hundreds of times a
    second.
    """

    __slots__ = ("_counter", "_counts", "_label")

    def __init__(self, counter: metrics.Counter, label: str = "") -> None:
        self._counter = counter
        self._label = label
        self._counts: Counter[str] = Counter()

    def add(self, amount: int, value: str = "") -> None:
        """Add to the count of one value of the label."""
        self._counts[value] += amount

    def reset(self) -> None:
        """Discard the counts, since other instruments count only once the SDK is loaded."""
        self._counts.clear()

    def flush(self) -> None:
        """Pass the counts to the SDK."""
        for value, amount in self._counts.items():
            self._counter.add(amount, {self._label: value} if self._label else None)
        self._counts.clear()


REQUESTS = _meter.create_counter("toucanpin.requests", description="Answers to callers by status")
REQUEST_TIME = _meter.create_histogram(
    "toucanpin.request.time", unit="s", description="Seconds until a caller was answered"
)
REFUSED_JOBS = _meter.create_counter(
    "toucanpin.jobs.refused", description="Jobs refused by queue and reason"
)
STARTS = BatchedCounter(
    _meter.create_counter("toucanpin.starts", description="Tasks placed and written")
)
START_WAIT = _meter.create_histogram(
    "toucanpin.start.wait", unit="s", description="Seconds from acceptance to a task's place"
)
REFUSED_STARTS = _meter.create_counter(
    "toucanpin.starts.refused", description="Starts that a worker refused, by reason"
)
ENDS = BatchedCounter(
    _meter.create_counter("toucanpin.ends", description="Ends of runs by kind"), "end"
)
LOST_RUNS = _meter.create_counter(
    "toucanpin.runs.lost", description="Runs lost with their workers, by cause"
)
REAPPEARED_RUNS = _meter.create_counter(
    "toucanpin.runs.reappeared",
    description="Runs that their workers list after their tasks were released, by state",
)
SLOW_WORKERS = _meter.create_counter(
    "toucanpin.workers.slow", description="Times that a worker began to run its tasks slowly"
)
TAKEOVERS = _meter.create_counter("toucanpin.takeovers", description="Cells taken by this host")
STANDSTILL_TIME = _meter.create_counter(
    "toucanpin.cell.standstill", unit="s", description="Seconds without placements by reason"
)
STORE_CALLS = _meter.create_counter(
    "toucanpin.store.calls", description="Calls of the store by outcome"
)
STORE_BYTES = _meter.create_counter(
    "toucanpin.store.bytes", unit="By", description="Bytes of the store's answers by table"
)
TURN_TIME = _meter.create_histogram(
    "toucanpin.turn.time", unit="s", description="Seconds of an owner's turn by what is done"
)
MALFORMED_ROWS = _meter.create_counter(
    "toucanpin.entries.unsound", description="Entries of a table that name nothing, once each"
)
LOOP_LAG = _meter.create_histogram(
    "toucanpin.loop.lag", unit="s", description="Seconds that a turn of the loop came late"
)
HISTOGRAMS = (
    "toucanpin.request.time",
    "toucanpin.start.wait",
    "toucanpin.loop.lag",
    "toucanpin.turn.time",
)
BATCHED_COUNTERS = (STARTS, ENDS)
MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 1_024
BUCKET_BOUNDS_S = (0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0)  # s

Gauge = Callable[[], dict[str, float]]
LabelledCounts = Callable[[], Iterable[tuple[int, dict[str, str]]]]


def register_gauge(name: str, description: str, label: str, read: Gauge) -> None:
    """Register a gauge of the values that ``read`` returns by value of ``label``."""

    def observe(_: metrics.CallbackOptions) -> Iterable[metrics.Observation]:
        return [metrics.Observation(value, {label: key}) for key, value in read().items()]

    _meter.create_observable_gauge(name, callbacks=[observe], description=description)


def register_counter(name: str, description: str, read: LabelledCounts) -> None:
    """Register a counter of the totals that ``read`` returns with their labels."""

    def observe(_: metrics.CallbackOptions) -> Iterable[metrics.Observation]:
        return [metrics.Observation(total, labels) for total, labels in read()]

    _meter.create_observable_counter(name, callbacks=[observe], description=description)


class MetricsServer:
    """HTTP server of all instruments as text, at one address and path."""

    def __init__(
        self,
        address: str,
        path: str,
        limits: Limits = UNLIMITED,
        intake: Intake | None = None,
    ) -> None:
        self._address = address
        self._path = path
        self._reader: Any = None
        self._server = Server(
            self._answer, MAX_HEADER_BYTES, MAX_BODY_BYTES, limits, intake, frozenset()
        )

    @property
    def budget(self) -> Budget:
        """Return what the clients of this listener hold."""
        return self._server.budget

    async def run(self) -> None:
        """Load the SDK, and listen."""
        from opentelemetry.sdk.metrics import MeterProvider
        from opentelemetry.sdk.metrics.export import InMemoryMetricReader
        from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View

        self._reader = InMemoryMetricReader()
        buckets = ExplicitBucketHistogramAggregation(BUCKET_BOUNDS_S)
        views = [View(instrument_name=name, aggregation=buckets) for name in HISTOGRAMS]
        metrics.set_meter_provider(MeterProvider(metric_readers=[self._reader], views=views))
        for counter in BATCHED_COUNTERS:
            counter.reset()
        await self._server.listen(self._address)

    async def close(self) -> None:
        """Stop listening."""
        await self._server.drain(0.0)

    async def _answer(self, request: Request) -> Response:
        if request.path.partition("?")[0] != self._path:
            return Response(404)
        return Response(200, self.render_text().encode())

    def render_text(self) -> str:
        """Return all metrics in the text format that collectors read."""
        for counter in BATCHED_COUNTERS:
            counter.flush()
        data = self._reader.get_metrics_data() if self._reader else None
        if data is None:
            return ""
        found = (
            metric
            for resource in data.resource_metrics
            for scope in resource.scope_metrics
            for metric in scope.metrics
        )
        return "".join(f"{line}\n" for metric in found for line in _render_metric(metric))


def _render_metric(metric: Any) -> Iterator[str]:
    name = metric.name.replace(".", "_")
    yield f"# HELP {name} {metric.description}"
    for point in metric.data.data_points:
        labels = [f'{key}="{value}"' for key, value in (point.attributes or {}).items()]
        if not hasattr(point, "bucket_counts"):
            yield f"{name}{{{','.join(labels)}}} {point.value}"
            continue
        total = 0
        for bound, count in zip((*BUCKET_BOUNDS_S, "+Inf"), point.bucket_counts, strict=True):
            total += count
            inner = ",".join([*labels, f'le="{bound}"'])
            yield f"{name}_bucket{{{inner}}} {total}"
        yield f"{name}_count{{{','.join(labels)}}} {point.count}"
        yield f"{name}_sum{{{','.join(labels)}}} {point.sum}"
