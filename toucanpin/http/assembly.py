"""
Assembly of requests
====================

Parse the bytes of one connection into requests, within limits that apply before data is held.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import httptools

from toucanpin.exception import ToucanpinError
from toucanpin.http.messages import Request

__all__ = ["Assembly", "InputLimits", "LimitError"]

MAX_TARGET_BYTES = 8_192  # of a request's path and query
BODY_HEADERS = frozenset({"content-length", "transfer-encoding"})


@dataclass(slots=True)
class InputLimits:
    """
    Limits of one request in bytes.

    Of the headers only those named ``used`` are kept, all if it is None.
    """

    headers: int
    body: int
    used: frozenset[str] | None = None


class LimitError(ToucanpinError):
    """Raised if input breaks a limit or isn't HTTP; ``status`` is that of the response."""

    def __init__(self, status: int) -> None:
        super().__init__(f"refused with status {status}")
        self.status = status


class Assembly:
    """
    Incomplete request of a connection; each complete one is passed to ``take``.

    A parser gathers a line until it is whole, and reports nothing of it.  So the bytes since its
    last report are counted here.
    """

    __slots__ = (
        "_body",
        "_has_body",
        "_header_size",
        "_limits",
        "_parser",
        "_request",
        "_reported",
        "_take",
        "_target",
        "_unreported",
        "receiving",
    )

    def __init__(self, limits: InputLimits, take: Callable[[Request, bool], None]) -> None:
        self._limits = limits
        self._take = take
        self._parser = httptools.HttpRequestParser(self)
        self._reported = False
        self._unreported = 0
        self.receiving = False  # whether a request has begun and is incomplete
        self._begin()

    @property
    def size(self) -> int:
        """Return how many bytes are held of the incomplete request."""
        if not self.receiving:
            return self._unreported
        # A growing buffer reserves an eighth more than it needs.
        return self._header_size + self._unreported + len(self._body) + len(self._body) // 8

    def feed(self, data: memoryview) -> None:
        """
        Parse input.

        Raises
        ------
        LimitError
            If it breaks a limit or isn't HTTP.
        httptools.HttpParserUpgrade
            If what follows a complete request is another protocol.
        """
        self._reported = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            raise _find_cause(error) from None
        except httptools.HttpParserError:
            raise LimitError(400) from None
        if self._reported:
            self._unreported = len(data) if self.receiving else 0
        else:
            self._unreported += len(data)
        if self._unreported > self._limits.headers + len(data):
            raise LimitError(431 if self.receiving else 400)

    def clear(self) -> None:
        """Drop what is held."""
        self._begin()
        self._unreported = 0
        self.receiving = False

    def _begin(self) -> None:
        self._request = Request()
        self._target = bytearray()
        self._body = bytearray()
        self._has_body = False
        self._header_size = 0

    def on_message_begin(self) -> None:
        self._reported = True
        self.receiving = True
        self._begin()

    def on_url(self, url: bytes) -> None:
        self._reported = True
        self._target += url
        if len(self._target) > MAX_TARGET_BYTES:
            raise LimitError(414)
        self._header_size += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        self._reported = True
        self._header_size += len(name) + len(value)
        if self._header_size > self._limits.headers:
            raise LimitError(431)
        key = name.decode("latin-1").lower()
        self._has_body = self._has_body or key in BODY_HEADERS
        if self._limits.used is None or key in self._limits.used:
            self._request.headers[key] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self._reported = True
        if len(self._body) + len(body) > self._limits.body:
            raise LimitError(413)
        self._body += body

    def on_message_complete(self) -> None:
        self._reported = True
        if self._parser.should_upgrade() and self._has_body:
            raise LimitError(501)  # the parser takes its body for the other protocol
        request = self._request
        request.method = self._parser.get_method().decode("latin-1")
        request.path = self._target.decode("latin-1")
        request.body = bytes(self._body)
        self.receiving = False
        self._header_size = 0
        if self._body:
            self._body = bytearray()
        self._take(request, self._parser.should_keep_alive())


def _find_cause(error: BaseException) -> LimitError:
    cause = error.__context__
    return cause if isinstance(cause, LimitError) else LimitError(400)
