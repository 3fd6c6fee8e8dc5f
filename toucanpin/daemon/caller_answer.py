"""
Answers to callers
==================

Write an instance's answer, or a refusal, to a caller's connection.  If an answer is truncated,
the connection is closed without the terminator, so that the caller notices.
"""

from __future__ import annotations

import http
import math
import time
from typing import Any

from toucanpin.daemon.caller_server import encode_refusal
from toucanpin.daemon.forwarder import TruncatedAnswerError
from toucanpin.daemon.web import STATUS_OF_REASON
from toucanpin.requests.messages import Response
from toucanpin.verdict import Reason, Refusal, Verdict

__all__ = ["write_refusal", "write_response"]

WRITE_TIMEOUT_S = 10.0
NO_BODY_STATUSES = frozenset({204, 304})
STATUS_LINES = {
    reason: f"{status} {http.HTTPStatus(status).phrase}"
    for reason, status in STATUS_OF_REASON.items()
}
UNKNOWN_LENGTH = Refusal(
    Verdict.MAY_HAVE_RUN,
    Reason.UPSTREAM_BROKE,
    "the answer's length is not known beforehand, which HTTP/1.0 can't carry safely",
)


def write_refusal(req: Any, refusal: Refusal, closing: bool) -> bool:
    """Write a refusal; return False if the caller has disconnected."""
    body = encode_refusal(refusal)
    head = [
        f"HTTP/1.1 {STATUS_LINES[refusal.reason]}",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
        f"Toucanpin-Verdict: {refusal.verdict.value}",
        f"Toucanpin-Reason: {refusal.reason.value}",
    ]
    if refusal.retry_after is not None:
        head.append(f"Retry-After: {math.ceil(refusal.retry_after)}")
    return _write_head(req, head, b"" if req.method == b"HEAD" else body, closing)


def write_response(req: Any, response: Response, closing: bool) -> bool:
    """Write an instance's answer; return False if it could not be sent completely."""
    if response.remaining_body is None:
        return _write_head(req, _make_head(req, response, False), response.body, closing)
    chunked = not any(name.lower() == "content-length" for name, _ in response.headers)
    if chunked and req.response_protocol != "HTTP/1.1":
        response.remaining_body.close()
        return write_refusal(req, UNKNOWN_LENGTH, closing)
    return _write_stream(req, response, chunked, closing)


def _make_head(req: Any, response: Response, streamed: bool) -> list[str]:
    head = [f"HTTP/1.1 {response.status} {response.reason}"]
    bodiless = req.method == b"HEAD" or response.status in NO_BODY_STATUSES
    own_length = not streamed and not bodiless
    for name, value in response.headers:
        if not (own_length and name.lower() == "content-length"):
            head.append(f"{name}: {value}")
    if own_length:
        head.append(f"Content-Length: {len(response.body)}")
    return head


def _write_head(req: Any, head: list[str], body: bytes, closing: bool) -> bool:
    req.close_connection = req.close_connection or closing or not req.body_is_read
    if req.close_connection:
        head.append("Connection: close")
    elif req.response_protocol != "HTTP/1.1":
        head.append("Connection: Keep-Alive")
    head.append("\r\n")
    req.sent_headers = True
    return _write(req, "\r\n".join(head).encode("latin-1") + body)


def _write_stream(req: Any, response: Response, chunked: bool, closing: bool) -> bool:
    head = _make_head(req, response, True)
    if chunked:
        head.append("Transfer-Encoding: chunked")
    complete = False
    try:
        first = _frame(response.body, chunked)
        complete = _write_head(req, head, first, closing) and _write_remaining_body(
            req, response, chunked
        )
    finally:
        response.remaining_body.close()
        if not complete:
            req.close_connection = True
    return complete


def _write_remaining_body(req: Any, response: Response, chunked: bool) -> bool:
    try:
        for piece in response.remaining_body:
            if not _write(req, _frame(piece, chunked)):
                return False
    except TruncatedAnswerError:
        # Without the last chunk, or with fewer bytes than Content-Length, the caller detects that
        # the answer is incomplete.
        return False
    return not chunked or _write(req, b"0\r\n\r\n")


def _frame(piece: bytes, chunked: bool) -> bytes:
    return b"%x\r\n%b\r\n" % (len(piece), piece) if chunked and piece else piece


def _write(req: Any, data: bytes) -> bool:
    req.conn.socket.deadline = time.monotonic() + WRITE_TIMEOUT_S
    try:
        req.conn.wfile.write(data)
    except OSError:
        req.close_connection = True
        return False
    return True
