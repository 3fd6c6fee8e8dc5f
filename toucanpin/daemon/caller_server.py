"""
HTTP server for callers
=======================

A server that parses input strictly and refuses in JSON.
"""

from __future__ import annotations

import contextlib
import math
import re
from collections.abc import Callable
from typing import Any

import msgspec
from cheroot import server

from toucanpin.daemon.caller_input import ChunkedBody, read_headers
from toucanpin.daemon.parking_server import ParkingConnection, ParkingServer, TimedRequest
from toucanpin.verdict import Reason, Refusal, Verdict

__all__ = ["CallerRequest", "CallerServer", "encode_refusal"]

IDLE_TIMEOUT_S = 30
TARGET_PATTERN = re.compile(rb"[!-~]+")
REASON_OF_STATUS = {
    400: Reason.BAD_REQUEST,
    408: Reason.DEADLINE,
    413: Reason.TOO_LARGE,
    414: Reason.TOO_LARGE,
    500: Reason.INTERNAL,
}

_encode = msgspec.json.Encoder().encode


def encode_refusal(refusal: Refusal) -> bytes:
    """Return the JSON body of a refusal."""
    body: dict[str, Any] = {
        "verdict": refusal.verdict.value,
        "reason": refusal.reason.value,
        "detail": refusal.detail,
    }
    if refusal.retry_after is not None:
        body["retry_after"] = round(refusal.retry_after, 3)
    return _encode(body)


class CallerRequest(TimedRequest):
    """Request that is parsed strictly; a malformed one is refused in JSON."""

    rfile: Any
    server: Any
    conn: Any

    def read_request_headers(self) -> bool:
        """Read the headers, refuse ambiguous ones, then let cheroot process them."""
        if TARGET_PATTERN.fullmatch(self.uri) is None:
            self.simple_response("400 Bad Request", "the target has characters not accepted")
            return False
        self.header_reader = self._read_strictly
        return super().read_request_headers()

    def _read_strictly(self, rfile: Any, into: dict[bytes, bytes]) -> dict[bytes, bytes]:
        into.update(read_headers(rfile, self.request_protocol, self.method))
        return into

    def respond(self) -> None:
        """Call the gateway; close the connection unless the whole body was read."""
        limit = self.server.max_request_body_size
        if self.chunked_read:
            self.rfile = ChunkedBody(self.conn.rfile, limit)
        else:
            length = int(self.inheaders.get(b"Content-Length", 0))
            self.rfile = server.KnownLengthRFile(self.conn.rfile, length)
        self.server.gateway(self).respond()
        if self.ready:
            self.ensure_headers_sent()
        if self.chunked_write:
            self.conn.wfile.write(b"0\r\n\r\n")
        if not self.body_is_read:
            self.close_connection = True

    @property
    def body_is_read(self) -> bool:
        """Whether the whole body was read, so that the connection can be reused."""
        if self.chunked_read:
            return bool(self.rfile.closed)
        return self.rfile.remaining == 0

    def simple_response(self, status: Any, msg: str = "") -> None:
        """Refuse a request, as not run unless ``status`` is 5xx, and close its connection."""
        self.close_connection = True
        code = int(str(status)[:3])
        reason = REASON_OF_STATUS.get(code, Reason.BAD_REQUEST)
        detail = msg or str(status)[4:]
        verdict = Verdict.MAY_HAVE_RUN if code >= 500 else Verdict.NOT_RUN
        body = encode_refusal(Refusal(verdict, reason, detail))
        head = (
            f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n"
            "Content-Type: application/json\r\nConnection: close\r\n"
            f"Toucanpin-Verdict: {verdict.value}\r\nToucanpin-Reason: {reason.value}\r\n\r\n"
        )
        with contextlib.suppress(OSError):
            self.conn.wfile.write(head.encode("ascii") + body)
            self.conn.wfile.flush()


class CallerConnection(ParkingConnection):
    """Connection of one caller."""

    RequestHandlerClass = CallerRequest


class CallerServer(ParkingServer):
    """Server for callers, with the limits of one request in bytes."""

    ConnectionClass = CallerConnection

    def __init__(
        self,
        address: tuple[str, int],
        gateway: Callable[[Any], Any],
        threads: int,
        max_header: int,
        max_body: int,
        grace: float,
    ) -> None:
        super().__init__(
            address,
            wsgi_app=None,
            numthreads=threads,
            request_queue_size=1024,
            timeout=IDLE_TIMEOUT_S,
            shutdown_timeout=math.ceil(grace),
        )
        self.gateway = gateway
        self.max_request_header_size = max_header
        self.max_request_body_size = max_body
