"""Tests of metrics: the text format and the push to a collector."""

import threading
import unittest
from http.server import BaseHTTPRequestHandler, HTTPServer

from opentelemetry.metrics import Observation

from toucanpin.daemon.metrics import Metrics
from toucanpin.daemon.settings import Process, Telemetry

PROCESS = Process(deployment="test", host="entry-a", site="site-1", role="request")


class Collector(HTTPServer):
    """OTLP collector that stores the pushed requests."""

    def __init__(self):
        super().__init__(("127.0.0.1", 0), PushHandler)
        self.pushed = []


class PushHandler(BaseHTTPRequestHandler):
    """Handler of one push."""

    server: Collector

    def do_POST(self):  # noqa: N802
        body = self.rfile.read(int(self.headers["Content-Length"]))
        self.server.pushed.append((self.path, body))
        self.send_response(200)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, format, *arguments):
        return


class MetricsTest(unittest.TestCase):
    def test_renders_counters_and_gauges_as_text(self):
        metrics = Metrics(PROCESS, Telemetry())
        self.addCleanup(metrics.stop)
        metrics.meter.create_observable_gauge(
            "toucanpin.members", [lambda options: [Observation(3)]], description="known processes"
        )
        counter = metrics.meter.create_counter("toucanpin.requests")
        counter.add(2, {"outcome": "relayed"})
        lines = metrics.render_text().splitlines()
        self.assertIn("toucanpin_members{} 3", lines)
        self.assertIn('toucanpin_requests{outcome="relayed"} 2', lines)

    def test_stop_pushes_to_the_collector(self):
        server = Collector()
        thread = threading.Thread(target=server.serve_forever, daemon=True)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        url = f"http://127.0.0.1:{server.server_port}"
        metrics = Metrics(PROCESS, Telemetry(collector=url, every_ms=3_600_000))
        metrics.meter.create_counter("toucanpin.requests").add(5)
        metrics.stop()
        path, body = server.pushed[-1]
        self.assertEqual(path, "/v1/metrics")
        self.assertIn(b"toucanpin.requests", body)


if __name__ == "__main__":
    unittest.main()
