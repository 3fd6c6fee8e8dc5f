"""
HTTP exchange with the platform
===============================

Send each request once, without retries, and report for every failure whether the request may have
taken effect.
"""

from __future__ import annotations

import http.client
import time
from collections.abc import Mapping
from dataclasses import dataclass

import urllib3
from expression import Error, Ok, Result
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from toucanpin.platform.messages import CLIENT_HEADER, EFFECT_HEADER, EFFECT_NONE
from toucanpin.platform.ports import StoreFault, Unavailable, Unknown

__all__ = ["MAX_ANSWER_BYTES", "Answer", "Exchange"]

MAX_ANSWER_BYTES = 64 * 1024 * 1024
READ_SIZE_BYTES = 65_536
NOT_SENT_ERRORS = (NewConnectionError, ConnectTimeoutError)
UNKNOWN_OUTCOME_ERRORS = (HTTPError, http.client.HTTPException, OSError, ValueError)


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class Exchange:
    """
    Client of the platform's hosts; thread-safe.

    Parameters
    ----------
    client
        Name of this process, sent with each request.
    timeout
        Time limit of an exchange, in seconds.
    pools
        Maximum number of hosts with pooled connections.
    connections
        Maximum number of pooled connections per host.
    """

    def __init__(self, client: str, timeout: float, pools: int = 8, connections: int = 8) -> None:
        self.client = client
        self.timeout = timeout
        # No retries: a commit whose answer was lost could be applied twice.
        self._pools = urllib3.PoolManager(num_pools=pools, maxsize=connections, retries=False)

    def send(self, method: str, url: str, body: bytes | None = None) -> Result[Answer, StoreFault]:
        """
        Send one request and return its answer, whatever the status.

        A status whose headers state that the request had no effect is an Unavailable error.
        """
        deadline = time.monotonic() + self.timeout
        try:
            answer = self._exchange(method, url, body, deadline)
        except NOT_SENT_ERRORS as error:
            return Error(Unavailable(str(error)))
        except UNKNOWN_OUTCOME_ERRORS as error:
            # Part of the request may have been sent even if writing failed: a reset doesn't show
            # how much the platform had read before it.
            return Error(Unknown(f"{type(error).__name__}: {error}"))
        if answer.headers.get(EFFECT_HEADER) == EFFECT_NONE:
            return Error(Unavailable(f"status {answer.status}: {answer.body[:200]!r}"))
        return Ok(answer)

    def close(self) -> None:
        """Close the idle connections."""
        self._pools.clear()

    def _exchange(self, method: str, url: str, body: bytes | None, deadline: float) -> Answer:
        """Send one request and return its complete answer."""
        headers = {CLIENT_HEADER: self.client, "Content-Type": "application/json"}
        response = self._pools.request(
            method,
            url,
            body=body,
            headers=headers,
            redirect=False,
            preload_content=False,
            decode_content=False,
            timeout=urllib3.Timeout(total=self.timeout),
        )
        try:
            content = read_body(response, deadline)
        except BaseException:
            response.close()
            raise
        response.release_conn()
        return Answer(response.status, response.headers, content)


def read_body(response: urllib3.BaseHTTPResponse, deadline: float) -> bytes:
    """
    Return a body that has the length stated by its Content-Length header.

    Raises
    ------
    ValueError
        If the length is missing, not met, or above MAX_ANSWER_BYTES.
    TimeoutError
        If the deadline passes while the body arrives.
    """
    # urllib3 accepts headers that are truncated between two lines and a chunked body that is
    # truncated at its final chunk, and a body without a length ends with the connection.  A
    # matching Content-Length rules out all three: truncated headers are followed by no body.
    stated = response.headers.get("Content-Length", "")
    if not stated.isdecimal():
        raise ValueError("the answer doesn't state its length")
    parts = []
    size = 0
    while part := response.read1(READ_SIZE_BYTES):
        parts.append(part)
        size += len(part)
        if size > MAX_ANSWER_BYTES:
            raise ValueError("the answer is too long")
        if time.monotonic() > deadline:
            raise TimeoutError("the answer took too long")
    if size != int(stated):
        raise ValueError("the answer isn't as long as it states")
    return b"".join(parts)
