"""
Service instance stand-in as a process
======================================

Serves requests on one address and configures faults on another.
"""

from __future__ import annotations

import threading
from http import HTTPStatus
from urllib.parse import urlencode

import click
import msgspec

from standins.instance import InstanceCore, InstanceFault, Mode
from standins.server import (
    Answer,
    Disconnect,
    Request,
    Response,
    Server,
    json_response,
    parse_address,
    render,
    serve_until_signal,
)
from toucanpin.verdict import Verdict

__all__ = ["InstanceService", "main"]

MILLISECONDS = 1_000
FREEZE_POLL_PERIOD_S = 0.02
HALF_CHUNK = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n40\r\n0123456789"
NOT_RUN = {"Toucanpin-Verdict": Verdict.NOT_RUN.value, "Retry-After": "1"}


class InstanceService:
    """Serve requests in a limited number of slots; ``service_time`` is in seconds."""

    def __init__(self, core: InstanceCore, service_time: float) -> None:
        self.core = core
        self.server: Server | None = None
        self.stopped = threading.Event()
        self._service_time = service_time
        self._slots = threading.BoundedSemaphore(core.slots)
        self._lock = threading.Lock()

    def handle(self, request: Request) -> Answer:
        """Answer one request, or inject the fault that applies to it."""
        with self._lock:
            fault = self.core.take_fault()
        match fault and fault.mode:
            case Mode.DRAINING:
                return Response(HTTPStatus.SERVICE_UNAVAILABLE, b"draining", NOT_RUN)
            case Mode.ERROR:
                return Response(HTTPStatus.INTERNAL_SERVER_ERROR, b"error")
            case Mode.RESET_BEFORE:
                return Disconnect()
            case Mode.SLOW if fault:
                self.stopped.wait(fault.delay)
            case Mode.FREEZE:
                self._wait_while_frozen()
        response = self._run(request)
        match fault and fault.mode:
            case Mode.RESET_AFTER:
                return Disconnect()
            case Mode.HALF_CHUNK:
                return Disconnect(HALF_CHUNK, reset=False)
            case Mode.CUT_BODY if fault:
                whole = render(response)
                head = len(whole) - len(response.body)
                return Disconnect(whole[: head + fault.body_bytes], reset=False)
        return response

    def control(self, request: Request) -> Answer:
        """Answer a control request of a test."""
        core = self.core
        match request.method, request.path:
            case "PUT", "/faults":
                self._set_fault(request.body)
                return Response(HTTPStatus.NO_CONTENT)
            case "GET", "/executions":
                with self._lock:
                    return json_response(core.executions)
            case "GET", "/counts" if self.server:
                connections = self.server.counts
                return json_response(
                    {
                        "executions": core.executions.total(),
                        "peak_requests": core.peak,
                        "over_slots": core.over_slots,
                        "peak_connections": connections.peak,
                        "over_connections": connections.rejected,
                    }
                )
        return Response(HTTPStatus.NOT_FOUND)

    def _run(self, request: Request) -> Response:
        """Run a request in a slot."""
        headers = request.headers
        name = headers.get("toucanpin-request-id", "")
        work = int(headers.get("stand-in-work-ms", "-1"))
        seconds = work / MILLISECONDS if work >= 0 else self._service_time
        target = request.path + ("?" + urlencode(request.query) if request.query else "")
        padding = int(headers.get("stand-in-padding", "0"))
        with self._lock:
            self.core.enter()
        try:
            with self._slots:
                if seconds:
                    self.stopped.wait(seconds)
                with self._lock:
                    outcome = self.core.run(name, request.method, target, request.body, padding)
        finally:
            with self._lock:
                self.core.leave()
        return json_response(outcome)

    def _wait_while_frozen(self) -> None:
        """Wait until the fault is cleared."""
        while (fault := self.core.fault) and fault.mode is Mode.FREEZE:
            if self.stopped.wait(FREEZE_POLL_PERIOD_S):
                return

    def _set_fault(self, body: bytes) -> None:
        """Replace the active fault; null clears it."""
        fault = msgspec.json.decode(body, type=InstanceFault | None)
        with self._lock:
            self.core.fault = fault
        if self.server is None:
            return
        if fault and fault.mode is Mode.REFUSE:
            self.server.stop()
        else:
            self.server.restart()


@click.command()
@click.option("--listen", default="127.0.0.1:0", help="Address for requests.")
@click.option("--control", default="127.0.0.1:0", help="Address for faults and counts.")
@click.option("--service", required=True, help="Name of the service.")
@click.option("--name", default="instance", help="Name in the host list.")
@click.option("--slots", default=8)
@click.option("--connections", default=64)
@click.option("--service-time", default=0.0, help="Milliseconds a request takes.")
def main(
    listen: str,
    control: str,
    service: str,
    name: str,
    slots: int,
    connections: int,
    service_time: float,
) -> None:
    """Serve as one instance of a service."""
    served = InstanceService(InstanceCore(service, name, slots), service_time / MILLISECONDS)
    served.server = Server(parse_address(listen), served.handle, connections)
    serve_until_signal(served.server, Server(parse_address(control), served.control))
    served.stopped.set()


if __name__ == "__main__":
    main()
