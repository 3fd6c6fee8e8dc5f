"""
Bare forwarder
==============

Baseline of a request's cost: cheroot and urllib3 as in their manuals, forwarding to one instance
without any decision.  It is kept here so that the ratio can be measured in one run.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import urllib3
from cheroot import wsgi

__all__ = ["BareForwarder"]

THREADS = 16
DROPPED_HEADERS = frozenset({"connection", "transfer-encoding", "keep-alive"})


class BareForwarder:
    """Forward every request to one address."""

    def __init__(self, port: int) -> None:
        self._pool = urllib3.HTTPConnectionPool("127.0.0.1", port, maxsize=THREADS)
        self.server = wsgi.Server(("127.0.0.1", 0), self._forward, numthreads=THREADS)

    def _forward(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length) if length else None
        headers = {
            name[5:].replace("_", "-").title(): value
            for name, value in environ.items()
            if name.startswith("HTTP_") and name != "HTTP_CONNECTION"
        }
        answer = self._pool.urlopen(
            environ["REQUEST_METHOD"],
            environ["REQUEST_URI"],
            body,
            headers,
            retries=False,
            redirect=False,
            decode_content=False,
        )
        lines = [(k, v) for k, v in answer.headers.items() if k.lower() not in DROPPED_HEADERS]
        start_response(f"{answer.status} {answer.reason}", lines)
        return [answer.data]
