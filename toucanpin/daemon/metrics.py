"""
Metrics
=======

Provide the OpenTelemetry meter of a process.  Metrics are served over HTTP, and pushed by OTLP if
a collector is set.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any

from opentelemetry.metrics import Meter
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import (
    HistogramDataPoint,
    InMemoryMetricReader,
    Metric,
    MetricReader,
    NumberDataPoint,
    PeriodicExportingMetricReader,
)
from opentelemetry.sdk.resources import Resource

from toucanpin.daemon.settings import Process, Telemetry
from toucanpin.daemon.web import StartResponse, answer_text

__all__ = ["Metrics"]


class Metrics:
    """Meter of this process and its exporters."""

    __slots__ = ("_provider", "_reader", "meter")

    def __init__(self, process: Process, telemetry: Telemetry) -> None:
        """Create the meter, with a push to the collector if one is set."""
        self._reader = InMemoryMetricReader()
        readers: list[MetricReader] = [self._reader]
        if telemetry.collector is not None:
            readers.append(_make_push_reader(telemetry))
        resource = Resource.create(
            {"service.name": "toucanpind", "host.name": process.host, "role": process.role}
        )
        self._provider = MeterProvider(metric_readers=readers, resource=resource)
        self.meter: Meter = self._provider.get_meter("toucanpin")

    def serve(self, environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Serve every metric in the Prometheus text format."""
        return answer_text(start, self.render_text(), content_type="text/plain; version=0.0.4")

    def render_text(self) -> str:
        """Return every metric in the Prometheus text format."""
        data = self._reader.get_metrics_data()
        if data is None:
            return ""
        metrics = (
            metric
            for resource in data.resource_metrics
            for scope in resource.scope_metrics
            for metric in scope.metrics
        )
        return "".join(f"{line}\n" for metric in metrics for line in _render_metric(metric))

    def stop(self) -> None:
        """Push the remaining data and shut down."""
        self._provider.shutdown()


def _make_push_reader(telemetry: Telemetry) -> MetricReader:
    """Return the reader that pushes to the collector."""
    # Imported late: a process without a collector does not need protobuf and requests.
    from opentelemetry.exporter.otlp.proto.http.metric_exporter import OTLPMetricExporter

    exporter = OTLPMetricExporter(endpoint=f"{telemetry.collector}/v1/metrics")
    return PeriodicExportingMetricReader(exporter, export_interval_millis=telemetry.every_ms)


def _render_metric(metric: Metric) -> Iterator[str]:
    """Yield the lines of one metric."""
    name = metric.name.replace(".", "_")
    yield f"# HELP {name} {metric.description}"
    for point in metric.data.data_points:
        labels = ",".join(f'{key}="{value!s}"' for key, value in (point.attributes or {}).items())
        match point:
            case HistogramDataPoint():
                yield f"{name}_count{{{labels}}} {point.count}"
                yield f"{name}_sum{{{labels}}} {point.sum}"
            case NumberDataPoint():
                yield f"{name}{{{labels}}} {point.value}"
