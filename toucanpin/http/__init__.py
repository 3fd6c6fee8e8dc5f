"""HTTP/1.1 on asyncio: a client that reports whether a failed call may have run, and a server."""

from toucanpin.http.client import (
    Answer,
    CallError,
    Client,
    ConnectionEndedError,
    TooLargeError,
    UnreachableError,
)
from toucanpin.http.messages import Request, Response
from toucanpin.http.server import Server

__all__ = [
    "Answer",
    "CallError",
    "Client",
    "ConnectionEndedError",
    "Request",
    "Response",
    "Server",
    "TooLargeError",
    "UnreachableError",
]
