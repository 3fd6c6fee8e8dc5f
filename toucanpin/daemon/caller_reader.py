"""
Reader of a client's connection
===============================

A buffered reader over a socket that can be filled without blocking, so that one thread can receive
the heads of many connections.  Each line is found by a single search of the buffer.
"""

from __future__ import annotations

import ssl

from toucanpin.daemon.deadline_socket import DeadlineSocket, DeadlineSslSocket

__all__ = ["CallerReader"]

HEAD_END = b"\r\n\r\n"
RECEIVE_BYTES = 16_384


class CallerReader:
    """Reader of the bytes and lines of one connection."""

    __slots__ = ("_sock", "_buffer", "_start", "ended", "closed", "bytes_read")

    def __init__(self, sock: DeadlineSocket | DeadlineSslSocket) -> None:
        self._sock = sock
        self._buffer = b""
        self._start = 0
        self.ended = False
        self.closed = False
        self.bytes_read = 0

    def has_data(self) -> bool:
        """Return whether any data is buffered."""
        return self._start < len(self._buffer)

    def receive_head(self, limit: int) -> bool:
        """
        Receive without blocking; return whether reading a head can no longer block.

        It can't after a complete head, more than ``limit`` bytes or the end of the data.
        """
        if self._has_head(limit):
            return True
        try:
            self._sock.settimeout(0)
            piece = self._sock.recv(RECEIVE_BYTES)
        except (BlockingIOError, ssl.SSLWantReadError):
            return False
        except OSError:
            self.ended = True
            return True
        self._append(piece)
        return self.ended or self._has_head(limit)

    def readline(self, size: int | None = None) -> bytes:
        """Return the data up to and including the next newline, ``size`` bytes or the end."""
        while True:
            found = self._buffer.find(b"\n", self._start)
            end = len(self._buffer) if found < 0 else found + 1
            if size is not None and end - self._start >= size:
                end = self._start + size
            elif found < 0 and self._fill():
                continue
            line = self._buffer[self._start : end]
            self._start = end
            return line

    def read(self, size: int | None = None) -> bytes:
        """Return ``size`` bytes, fewer only at the end; everything up to the end if None."""
        missing = len(self._buffer) - self._start
        if size is not None and missing >= size:
            data = self._buffer[self._start : self._start + size]
            self._start += size
            return data
        parts = [self._buffer[self._start :]]
        self._buffer, self._start = b"", 0
        left = None if size is None else size - len(parts[0])
        while (left is None or left > 0) and self._fill():
            piece = self._buffer if left is None else self._buffer[:left]
            self._start = len(piece)
            parts.append(piece)
            left = None if left is None else left - len(piece)
            if self._start == len(self._buffer):
                self._buffer, self._start = b"", 0
        return b"".join(parts)

    def close(self) -> None:
        """Drop the buffered data."""
        self.closed = True
        self._buffer, self._start = b"", 0

    def _has_head(self, limit: int) -> bool:
        buffered = len(self._buffer) - self._start
        return buffered > limit or (buffered > 0 and self._buffer.find(HEAD_END, self._start) >= 0)

    def _fill(self) -> bool:
        if self.ended:
            return False
        self._append(self._sock.receive(RECEIVE_BYTES))
        return not self.ended

    def _append(self, piece: bytes) -> None:
        if not piece:
            self.ended = True
            return
        self.bytes_read += len(piece)
        self._buffer = self._buffer[self._start :] + piece
        self._start = 0
