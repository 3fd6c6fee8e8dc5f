"""
Answers of instances
====================

http.client's reader of answers, with strict parsing and without tolerance for truncated answers.
"""

from __future__ import annotations

import http.client
import re

__all__ = ["HOP_BY_HOP", "InstanceAnswer"]

MAX_LINE_BYTES = 16_384
MAX_HEADERS = 100
MAX_CHUNK_LINE_BYTES = 256
NO_BODY_STATUSES = frozenset({204, 304})
STATUS_LINE_PATTERN = re.compile(
    rb"HTTP/1\.([01]) ([2-9][0-9]{2})(?: ([\t\x20-\x7e\x80-\xff]*))?\r\n"
)
HEADER_LINE_PATTERN = re.compile(
    rb"([!#$%&'*+.^`|~0-9A-Za-z-]+):[ \t]*([\t\x20-\x7e\x80-\xff]*)\r\n"
)
LENGTH_PATTERN = re.compile("[0-9]{1,15}")
CHUNK_SIZE_PATTERN = re.compile(rb"[0-9A-Fa-f]{1,8}")
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class InstanceAnswer(http.client.HTTPResponse):
    """
    Answer of an instance, accepted only if its end is unambiguous.

    http.client treats the end of the connection as the end of the headers, the trailers, a chunk's
    size or a body without a length.  A truncated answer would then pass for a complete one.
    ``headers_by_name`` maps lower-case names to values, ``header_lines`` lists the headers in the
    order received.
    """

    headers_by_name: dict[str, str]
    header_lines: list[tuple[str, str]]

    def begin(self) -> None:
        """Read the head; raise ValueError if it is malformed, ConnectionError if truncated."""
        line = self._read_line()
        match = STATUS_LINE_PATTERN.fullmatch(line)
        if match is None:
            raise ValueError(f"not a final status line: {line[:40]!r}")
        self.version = 11 if match[1] == b"1" else 10
        self.code = self.status = int(match[2])
        self.reason = (match[3] or b"").decode("latin-1")
        self._read_headers()
        self._apply_framing()

    def select_headers(self) -> tuple[tuple[str, str], ...]:
        """Return the headers that are passed on to the caller."""
        connection = self.headers_by_name.get("connection")
        dropped = HOP_BY_HOP
        if connection is not None:
            dropped = HOP_BY_HOP | {name.strip().lower() for name in connection.split(",")}
        return tuple(line for line in self.header_lines if line[0].lower() not in dropped)

    def _read_line(self) -> bytes:
        line = self.fp.readline(MAX_LINE_BYTES)
        if not line.endswith(b"\n"):
            raise http.client.RemoteDisconnected("the answer's head is cut")
        return line

    def _read_headers(self) -> None:
        self.headers_by_name = {}
        self.header_lines = []
        while (line := self._read_line()) != b"\r\n":
            match = HEADER_LINE_PATTERN.fullmatch(line)
            if match is None or len(self.header_lines) >= MAX_HEADERS:
                raise ValueError(f"a header line is not accepted: {line[:40]!r}")
            name, value = match[1].decode("ascii"), match[2].rstrip(b" \t").decode("latin-1")
            self.header_lines.append((name, value))
            key = name.lower()
            if key in ("content-length", "transfer-encoding") and key in self.headers_by_name:
                raise ValueError(f"{name} is given twice")
            previous = self.headers_by_name.get(key)
            self.headers_by_name[key] = value if previous is None else f"{previous}, {value}"

    def _apply_framing(self) -> None:
        headers_by_name = self.headers_by_name
        coding = headers_by_name.get("transfer-encoding")
        length = headers_by_name.get("content-length")
        if coding is not None and (length is not None or coding.lower() != "chunked"):
            raise ValueError("the answer's framing is not accepted")
        if length is not None and LENGTH_PATTERN.fullmatch(length) is None:
            raise ValueError("the answer's Content-Length is not a plain number")
        self.chunked = coding is not None
        self.chunk_left = None
        self.length = None if length is None else int(length)
        if self.status in NO_BODY_STATUSES or self._method == "HEAD":  # type: ignore[attr-defined]
            self.chunked = False
            self.length = 0
        elif length is None and not self.chunked:
            raise ValueError("the answer has neither Content-Length nor chunks")
        connection = headers_by_name.get("connection", "").lower()
        persistent = "keep-alive" in connection if self.version == 10 else "close" not in connection
        self.will_close = not persistent

    def _read_next_chunk_size(self) -> int:
        line = self.fp.readline(MAX_CHUNK_LINE_BYTES)
        size, _, _ = line.partition(b";")
        if not line.endswith(b"\r\n") or CHUNK_SIZE_PATTERN.fullmatch(size.rstrip()) is None:
            raise ValueError("a chunk's size line is cut or malformed")
        return int(size, 16)

    def _read_and_discard_trailer(self) -> None:
        while self._read_line() != b"\r\n":
            pass
