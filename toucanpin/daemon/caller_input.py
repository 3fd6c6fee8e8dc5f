"""
Input of callers
================

What a caller may send: strict request heads and bodies.  Two parsers that read one request
differently are how requests are smuggled past a balancer, so whatever can be read in two ways is
refused, and its connection closed.
"""

from __future__ import annotations

import re
from typing import Any

__all__ = ["BodyTooLargeError", "CallerGoneError", "ChunkedBody", "read_headers"]

MAX_HEADERS = 100
MAX_CHUNK_LINE = 32
NAME = re.compile(rb"[!#$%&'*+.^`|~0-9A-Za-z-]+")
VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
DIGITS = re.compile(rb"[0-9]{1,15}")
CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,8}")
SINGLE = frozenset(
    {
        b"Authorization",
        b"Content-Length",
        b"Content-Type",
        b"Expect",
        b"Host",
        b"Transfer-Encoding",
    }
)
OWN_PREFIX = b"Toucanpin-"


class BodyTooLargeError(Exception):
    """Report a body above its limit."""


class CallerGoneError(Exception):
    """Report a caller that closed or broke the framing in the middle of its body."""


def read_headers(rfile: Any, protocol: bytes, method: bytes) -> dict[bytes, bytes]:
    """Read a header block; raise ValueError with the reason if it isn't plain and unambiguous."""
    headers: dict[bytes, bytes] = {}
    count = 0
    while (line := rfile.readline()) != b"\r\n":
        count += 1
        if count > MAX_HEADERS:
            raise ValueError(f"more than {MAX_HEADERS} header lines")
        name, value = _split_line(line)
        known = headers.get(name)
        if known is None:
            headers[name] = value
        elif name in SINGLE or name.startswith(OWN_PREFIX):
            raise ValueError(f"{name.decode()} is given twice")
        else:
            headers[name] = known + (b"; " if name == b"Cookie" else b", ") + value
    _check_framing(headers, protocol, method)
    return headers


def _split_line(line: bytes) -> tuple[bytes, bytes]:
    if not line.endswith(b"\r\n"):
        raise ValueError("a header line does not end in CRLF")
    if line[:1] in (b" ", b"\t"):
        raise ValueError("folded header lines are not accepted")
    name, colon, value = line[:-2].partition(b":")
    if not colon or NAME.fullmatch(name) is None:
        raise ValueError("a header name has characters that are not accepted")
    value = value.strip(b" \t")
    if VALUE.fullmatch(value) is None:
        raise ValueError("a header value has control characters")
    return name.title(), value


def _check_framing(headers: dict[bytes, bytes], protocol: bytes, method: bytes) -> None:
    length = headers.get(b"Content-Length")
    coding = headers.get(b"Transfer-Encoding")
    modern = protocol == b"HTTP/1.1"
    if modern and b"Host" not in headers:
        raise ValueError("Host is missing")
    if length is not None and DIGITS.fullmatch(length) is None:
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
    """Read a chunked body with strict framing and without trailers, up to a limit."""

    def __init__(self, rfile: Any, limit: int) -> None:
        self._rfile = rfile
        self._limit = limit
        self._left = 0
        self._taken = 0
        self.closed = False

    def read(self, size: int | None = None) -> bytes:
        """Read up to ``size`` bytes, fewer only at the end."""
        parts: list[bytes] = []
        wanted = self._limit + 1 if size is None or size < 0 else size
        while wanted > 0 and not self.closed:
            if self._left == 0 and not self._open_chunk():
                break
            data = self._rfile.read(min(wanted, self._left))
            if not data:
                raise CallerGoneError("the body ended in the middle of a chunk")
            parts.append(data)
            wanted -= len(data)
            self._left -= len(data)
            if self._left == 0:
                self._expect_line_end()
        return b"".join(parts)

    def readline(self, size: int | None = None) -> bytes:
        """Read one line, for mounted applications."""
        line = bytearray()
        while (size is None or size < 0 or len(line) < size) and not line.endswith(b"\n"):
            byte = self.read(1)
            if not byte:
                break
            line += byte
        return bytes(line)

    def _open_chunk(self) -> bool:
        line = self._rfile.readline(MAX_CHUNK_LINE)
        if not line.endswith(b"\r\n") or CHUNK_SIZE.fullmatch(line[:-2]) is None:
            raise CallerGoneError("a chunk's size line is not a plain number")
        self._left = int(line, 16)
        self._taken += self._left
        if self._taken > self._limit:
            raise BodyTooLargeError(f"the body is larger than {self._limit} bytes")
        if self._left == 0:
            self._expect_line_end()
            self.closed = True
            return False
        return True

    def _expect_line_end(self) -> None:
        # Trailers are refused with this as well: left unread, they would be taken for the next
        # request of the connection.
        if self._rfile.read(2) != b"\r\n":
            raise CallerGoneError("a chunk does not end where its size says")
