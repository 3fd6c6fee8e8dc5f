"""
One HTTP exchange with the platform
===================================

Sends a request once, never again by itself, and says of each failure whether it may have had an
effect.
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

__all__ = ["MAX_ANSWER", "Answer", "Exchange"]

MAX_ANSWER = 64 * 1024 * 1024
READ_SIZE = 65_536
NOT_SENT = (NewConnectionError, ConnectTimeoutError)
BROKEN = (HTTPError, http.client.HTTPException, OSError, ValueError)


@dataclass(frozen=True, slots=True)
class Answer:
    """Hold one whole answer."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class Exchange:
    """
    Exchange requests and answers with hosts of the platform; safe to use from several threads.

    Parameters
    ----------
    client
        Name of this process, sent with each request.
    timeout
        Seconds for one exchange in whole.
    pools
        Number of hosts to which connections are kept.
    connections
        Number of idle connections kept for each host.
    """

    def __init__(self, client: str, timeout: float, pools: int = 8, connections: int = 8) -> None:
        self.client = client
        self.timeout = timeout
        # retries=False: a repeated commit whose first answer was lost could apply twice.
        self._pools = urllib3.PoolManager(num_pools=pools, maxsize=connections, retries=False)

    def send(self, method: str, url: str, body: bytes | None = None) -> Result[Answer, StoreFault]:
        """Send one request; any status is an answer, but for one that states it had no effect."""
        deadline = time.monotonic() + self.timeout
        try:
            answer = self._exchange(method, url, body, deadline)
        except NOT_SENT as error:
            return Error(Unavailable(str(error)))
        except BROKEN as error:
            # The first byte may have been written, also when writing itself failed: a reset tells
            # nothing of what the platform had read before.
            return Error(Unknown(f"{type(error).__name__}: {error}"))
        if answer.headers.get(EFFECT_HEADER) == EFFECT_NONE:
            return Error(Unavailable(f"status {answer.status}: {answer.body[:200]!r}"))
        return Ok(answer)

    def close(self) -> None:
        """Close the idle connections."""
        self._pools.clear()

    def _exchange(self, method: str, url: str, body: bytes | None, deadline: float) -> Answer:
        """Send one request and read its whole answer, or raise."""
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
    """Read a body of the stated length, or raise."""
    # A head that is cut between two lines, or a chunked body that is cut at its end mark, looks
    # whole to the library, and a body without a length ends where the connection does.  A length
    # that is there, whole and met shows that nothing was cut: a cut head has no body.
    stated = response.headers.get("Content-Length", "")
    if not stated.isdecimal():
        raise ValueError("the answer doesn't state its length")
    parts = []
    size = 0
    while part := response.read1(READ_SIZE):
        parts.append(part)
        size += len(part)
        if size > MAX_ANSWER:
            raise ValueError("the answer is too long")
        if time.monotonic() > deadline:
            raise TimeoutError("the answer took too long")
    if size != int(stated):
        raise ValueError("the answer isn't as long as it states")
    return b"".join(parts)
