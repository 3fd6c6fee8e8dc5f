"""
Requests of callers
===================

Turn a parsed HTTP request for ``/v1/services/<service>/<path>`` into the data for decisions and
the request for an instance, or into a refusal.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Any

import msgspec

from toucanpin.bundles.schema import Service
from toucanpin.daemon.caller_input import BodyTooLargeError, InvalidBodyError
from toucanpin.daemon.forwarder import (
    MAX_BUFFERED_BYTES,
    READ_SIZE_BYTES,
    CallerFaultError,
    OutgoingRequest,
)
from toucanpin.daemon.upstream_answer import HOP_BY_HOP
from toucanpin.requests.messages import Request
from toucanpin.verdict import Reason, Refusal, Verdict

__all__ = [
    "SERVICES_PREFIX",
    "IncomingRequest",
    "make_caller_fault",
    "read_request",
    "split_target",
]

SERVICES_PREFIX = b"/v1/services/"
IDEMPOTENT_METHODS = frozenset({b"GET", b"HEAD", b"PUT", b"DELETE", b"OPTIONS"})
METHOD_PATTERN = re.compile(rb"[A-Z]{1,20}")
REQUEST_ID_PATTERN = re.compile(rb"[!-~]{1,128}")
MILLISECONDS_PATTERN = re.compile(rb"[0-9]{1,9}")
REPLACED_HEADERS = frozenset({b"Toucanpin-Deadline-Ms", b"Content-Length", b"Expect"})
DROPPED_HEADERS = frozenset(name.title().encode() for name in HOP_BY_HOP) | REPLACED_HEADERS


class IncomingRequest(msgspec.Struct):
    """A request for a service; ``body_consumed`` is set once its body can't be sent again."""

    request: Request
    outgoing: OutgoingRequest
    body_consumed: bool = False


def make_caller_fault(
    reason: Reason, detail: str, verdict: Verdict = Verdict.NOT_RUN
) -> CallerFaultError:
    """Return the error for an invalid request."""
    return CallerFaultError(Refusal(verdict, reason, detail))


def split_target(uri: bytes) -> tuple[str, str]:
    """Split a request target into the service's name and the target for the instance."""
    name, slash, path = uri[len(SERVICES_PREFIX) :].partition(b"/")
    if not slash:
        name, mark, query = name.partition(b"?")
        path = mark + query
    return name.decode("ascii"), "/" + path.decode("ascii")


def read_request(req: Any, service: Service, target: str, arrived: float) -> IncomingRequest:
    """Read headers and the first part of the body; raise CallerFaultError if they are invalid."""
    headers: dict[bytes, bytes] = req.inheaders
    if METHOD_PATTERN.fullmatch(req.method) is None:
        raise make_caller_fault(Reason.BAD_REQUEST, "the method is not accepted")
    request = Request(
        service.name,
        _identify_caller(req, headers),
        _read_request_id(headers),
        _is_idempotent(req.method, headers),
        arrived,
        arrived + _read_time_limit_ms(headers, service) / 1_000,
    )
    length = int(headers.get(b"Content-Length", 0))
    if length > service.max_body:
        raise make_caller_fault(
            Reason.TOO_LARGE, f"the body is larger than {service.max_body} bytes"
        )
    body = b""
    ended = True
    if length or req.chunked_read:
        req.conn.socket.deadline = request.deadline
        body, ended = _read_first_part(req, length, service.max_body)
    framing = _make_framing_headers(headers, body, ended, length)
    outgoing = OutgoingRequest(
        req.method.decode("ascii"),
        target,
        _select_headers(headers) + framing,
        body,
        None,
        not ended and not length,
    )
    incoming = IncomingRequest(request, outgoing)
    if not ended:
        remaining_body = _RemainingBody(
            req, incoming, length - len(body), service.max_body - len(body)
        )
        incoming.outgoing = msgspec.structs.replace(outgoing, remaining_body=remaining_body)
    return incoming


def _identify_caller(req: Any, headers: dict[bytes, bytes]) -> str:
    caller = headers.get(b"Toucanpin-Caller") or headers.get(b"X-Forwarded-For")
    return caller.decode("latin-1") if caller else str(req.conn.remote_addr)


def _read_request_id(headers: dict[bytes, bytes]) -> str:
    value = headers.get(b"Toucanpin-Request-Id")
    if value is None:
        return ""
    if REQUEST_ID_PATTERN.fullmatch(value) is None:
        raise make_caller_fault(
            Reason.BAD_REQUEST, "Toucanpin-Request-Id must be 1 to 128 visible ASCII characters"
        )
    return value.decode("ascii")


def _is_idempotent(method: bytes, headers: dict[bytes, bytes]) -> bool:
    mark = headers.get(b"Toucanpin-Idempotent")
    if mark is None:
        return method in IDEMPOTENT_METHODS
    if mark not in (b"true", b"false"):
        raise make_caller_fault(Reason.BAD_REQUEST, "Toucanpin-Idempotent must be true or false")
    return mark == b"true"


def _read_time_limit_ms(headers: dict[bytes, bytes], service: Service) -> int:
    value = headers.get(b"Toucanpin-Deadline-Ms")
    if value is None:
        return service.deadline_ms
    if MILLISECONDS_PATTERN.fullmatch(value) is None:
        raise make_caller_fault(
            Reason.BAD_REQUEST, "Toucanpin-Deadline-Ms must be a whole number of milliseconds"
        )
    return min(int(value), service.deadline_ms)


def _read_first_part(req: Any, length: int, limit: int) -> tuple[bytes, bool]:
    """Return the first part of a body and whether it is the whole body."""
    try:
        body = req.rfile.read(MAX_BUFFERED_BYTES if not length else min(length, MAX_BUFFERED_BYTES))
    except BodyTooLargeError as error:
        raise make_caller_fault(Reason.TOO_LARGE, str(error)) from error
    except InvalidBodyError as error:
        raise make_caller_fault(Reason.BAD_REQUEST, str(error)) from error
    except TimeoutError as error:
        raise make_caller_fault(Reason.BAD_REQUEST, "the body did not arrive in time") from error
    if len(body) > limit:
        raise make_caller_fault(Reason.TOO_LARGE, f"the body is larger than {limit} bytes")
    if length:
        if len(body) < min(length, MAX_BUFFERED_BYTES):
            raise make_caller_fault(
                Reason.BAD_REQUEST, "the body is shorter than its Content-Length"
            )
        return body, len(body) == length
    return body, bool(req.rfile.closed)


def _make_framing_headers(
    headers: dict[bytes, bytes], body: bytes, ended: bool, length: int
) -> tuple[tuple[str, str], ...]:
    if not ended and not length:
        return (("Transfer-Encoding", "chunked"),)
    if body or b"Content-Length" in headers:
        return (("Content-Length", str(length or len(body))),)
    return ()


def _select_headers(headers: dict[bytes, bytes]) -> tuple[tuple[str, str], ...]:
    connection = headers.get(b"Connection")
    dropped = DROPPED_HEADERS
    if connection is not None:
        dropped = DROPPED_HEADERS | {name.strip().title() for name in connection.split(b",")}
    return tuple(
        (name.decode("ascii"), value.decode("latin-1"))
        for name, value in headers.items()
        if name not in dropped
    )


class _RemainingBody:
    """Reader of the remaining part of a body; it can be called only once."""

    __slots__ = ("_req", "_incoming", "_left", "_bytes_allowed")

    def __init__(self, req: Any, incoming: IncomingRequest, left: int, bytes_allowed: int) -> None:
        self._req = req
        self._incoming = incoming
        self._left = left
        self._bytes_allowed = bytes_allowed

    def __call__(self) -> Iterator[bytes]:
        """Yield the pieces; raise CallerFaultError if the body is incomplete or too large."""
        self._incoming.body_consumed = True
        sized = self._left > 0
        while not sized or self._left > 0:
            piece = self._read(sized)
            if not piece:
                break
            self._left -= len(piece)
            self._bytes_allowed -= len(piece)
            if self._bytes_allowed < 0:
                raise self._make_fault(Reason.TOO_LARGE, "the body is too large")
            yield piece
        if sized and self._left > 0:
            raise self._make_fault(
                Reason.BAD_REQUEST, "the body is shorter than its Content-Length"
            )

    def _read(self, sized: bool) -> bytes:
        self._req.conn.socket.deadline = self._incoming.request.deadline
        size = min(self._left, READ_SIZE_BYTES) if sized else READ_SIZE_BYTES
        try:
            return self._req.rfile.read(size)
        except BodyTooLargeError as error:
            raise self._make_fault(Reason.TOO_LARGE, str(error)) from error
        except TimeoutError as error:
            raise self._make_fault(Reason.BAD_REQUEST, "the body did not arrive in time") from error
        except (InvalidBodyError, OSError) as error:
            raise self._make_fault(Reason.BAD_REQUEST, str(error)) from error

    @staticmethod
    def _make_fault(reason: Reason, detail: str) -> CallerFaultError:
        return make_caller_fault(reason, detail, Verdict.MAY_HAVE_RUN)
