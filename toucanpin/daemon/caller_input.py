"""
Parsing of callers' input
=========================

Parse request heads and bodies strictly.  If a balancer and this process read one request
differently, another request can be smuggled past the balancer; ambiguous input is therefore refused
and its connection closed.
"""

from __future__ import annotations

import re
from typing import Any

__all__ = ["BodyTooLargeError", "InvalidBodyError", "ChunkedBody", "read_headers"]

MAX_HEADERS = 100
MAX_CHUNK_LINE_BYTES = 32
HEADER_NAME_PATTERN = re.compile(rb"[!#$%&'*+.^`|~0-9A-Za-z-]+")
HEADER_VALUE_PATTERN = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
LENGTH_PATTERN = re.compile(rb"[0-9]{1,15}")
CHUNK_SIZE_PATTERN = re.compile(rb"[0-9A-Fa-f]{1,8}")
SINGLE_HEADERS = frozenset(
    {
        b"Authorization",
        b"Content-Length",
        b"Content-Type",
        b"Expect",
        b"Host",
        b"Transfer-Encoding",
    }
)
OWN_HEADER_PREFIX = b"Toucanpin-"


class BodyTooLargeError(Exception):
    """Raised if a body is larger than its limit."""


class InvalidBodyError(Exception):
    """Raised if a body ends early or its chunked framing is invalid."""


def read_headers(rfile: Any, protocol: bytes, method: bytes) -> dict[bytes, bytes]:
    """Read a header block; raise ValueError with the reason if it is malformed or ambiguous."""
    headers: dict[bytes, bytes] = {}
    count = 0
    while (line := rfile.readline()) != b"\r\n":
        count += 1
        if count > MAX_HEADERS:
            raise ValueError(f"more than {MAX_HEADERS} header lines")
        name, value = _split_line(line)
        previous = headers.get(name)
        if previous is None:
            headers[name] = value
        elif name in SINGLE_HEADERS or name.startswith(OWN_HEADER_PREFIX):
            raise ValueError(f"{name.decode()} is given twice")
        else:
            headers[name] = previous + (b"; " if name == b"Cookie" else b", ") + value
    _check_framing(headers, protocol, method)
    return headers


def _split_line(line: bytes) -> tuple[bytes, bytes]:
    if not line.endswith(b"\r\n"):
        raise ValueError("a header line does not end in CRLF")
    if line[:1] in (b" ", b"\t"):
        raise ValueError("folded header lines are not accepted")
    name, colon, value = line[:-2].partition(b":")
    if not colon or HEADER_NAME_PATTERN.fullmatch(name) is None:
        raise ValueError("a header name has characters that are not accepted")
    value = value.strip(b" \t")
    if HEADER_VALUE_PATTERN.fullmatch(value) is None:
        raise ValueError("a header value has control characters")
    return name.title(), value


def _check_framing(headers: dict[bytes, bytes], protocol: bytes, method: bytes) -> None:
    length = headers.get(b"Content-Length")
    coding = headers.get(b"Transfer-Encoding")
    modern = protocol == b"HTTP/1.1"
    if modern and b"Host" not in headers:
        raise ValueError("Host is missing")
    if length is not None and LENGTH_PATTERN.fullmatch(length) is None:
        raise ValueError("Content-Length is not a plain number")
    if coding is None:
        return
    if length is not None:
        raise ValueError("both Content-Length and Transfer-Encoding are given")
    if not modern or coding.lower() != b"chunked":
        raise ValueError("the only Transfer-Encoding accepted is chunked, with HTTP/1.1")
    if method in (b"GET", b"HEAD", b"OPTIONS"):
        raise ValueError("a chunked body is not accepted with this method")


class ChunkedBody:
    """Reader of a chunked body with strict framing and without trailers, up to ``limit`` bytes."""

    def __init__(self, rfile: Any, limit: int) -> None:
        self._rfile = rfile
        self._limit = limit
        self._chunk_left = 0
        self._total = 0
        self.closed = False

    def read(self, size: int | None = None) -> bytes:
        """Return ``size`` bytes, fewer only at the end of the body."""
        body = bytearray()  # a list would take an object for each small chunk
        wanted = self._limit + 1 if size is None or size < 0 else size
        while wanted > 0 and not self.closed:
            if self._chunk_left == 0 and not self._read_chunk_size():
                break
            data = self._rfile.read(min(wanted, self._chunk_left))
            if not data:
                raise InvalidBodyError("the body ended in the middle of a chunk")
            body += data
            wanted -= len(data)
            self._chunk_left -= len(data)
            if self._chunk_left == 0:
                self._read_line_end()
        return bytes(body)

    def readline(self, size: int | None = None) -> bytes:
        """Return one line, as WSGI requires of the input of mounted applications."""
        line = bytearray()
        while (size is None or size < 0 or len(line) < size) and not line.endswith(b"\n"):
            byte = self.read(1)
            if not byte:
                break
            line += byte
        return bytes(line)

    def _read_chunk_size(self) -> bool:
        line = self._rfile.readline(MAX_CHUNK_LINE_BYTES)
        if not line.endswith(b"\r\n") or CHUNK_SIZE_PATTERN.fullmatch(line[:-2]) is None:
            raise InvalidBodyError("a chunk's size line is not a plain number")
        self._chunk_left = int(line, 16)
        self._total += self._chunk_left
        if self._total > self._limit:
            raise BodyTooLargeError(f"the body is larger than {self._limit} bytes")
        if self._chunk_left == 0:
            self._read_line_end()
            self.closed = True
            return False
        return True

    def _read_line_end(self) -> None:
        # This check refuses trailers too: unread trailers would be parsed as the next request of
        # the connection.
        if self._rfile.read(2) != b"\r\n":
            raise InvalidBodyError("a chunk does not end where its size says")
