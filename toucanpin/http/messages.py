"""
Messages
========

Requests and responses of the server, and their form on the wire.
"""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["Request", "Response", "encode_response"]

_REASON_PHRASES = {200: "OK", 404: "Not Found", 410: "Gone", 429: "Too Many Requests"}


@dataclass(slots=True)
class Request:
    """A complete request; header names are in lower case."""

    method: str = ""
    path: str = ""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def size(self) -> int:
        """Return how many bytes its parts take."""
        return len(self.path) + len(self.body) + sum(map(len, self.headers.values()))


@dataclass(frozen=True, slots=True)
class Response:
    """The response to a request; ``retry_after`` is in seconds."""

    status: int
    body: bytes = b""
    retry_after: int | None = None


def encode_response(response: Response, keep_alive: bool) -> bytes:
    """Return the bytes of a response."""
    lines = [f"HTTP/1.1 {response.status} {_REASON_PHRASES.get(response.status, 'Status')}"]
    if response.body:
        lines.append("Content-Type: application/json")
    lines.append(f"Content-Length: {len(response.body)}")
    if response.retry_after is not None:
        lines.append(f"Retry-After: {response.retry_after}")
    if not keep_alive:
        lines.append("Connection: close")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + response.body
