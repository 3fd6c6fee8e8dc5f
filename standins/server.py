"""
HTTP server of the stand-ins
============================

A small server with one thread for each connection, which can also truncate its answers.
"""

from __future__ import annotations

import signal
import socket
import struct
import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from http.server import BaseHTTPRequestHandler
from socketserver import ThreadingTCPServer
from typing import Any
from urllib.parse import parse_qsl, unquote, urlsplit

import msgspec

from standins.faults import Effect, FaultPlan, Rule
from toucanpin.platform.messages import CLIENT_HEADER, EFFECT_HEADER, EFFECT_NONE

__all__ = [
    "Answer",
    "Disconnect",
    "Request",
    "Response",
    "Server",
    "apply_rule",
    "get_object_name",
    "json_response",
    "parse_address",
    "render",
    "serve_until_signal",
    "take_rule",
]

METHODS = ("GET", "PUT", "POST", "DELETE", "HEAD", "OPTIONS", "PATCH")
UNLIMITED = 1 << 30
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass(frozen=True, slots=True)
class Request:
    """One complete request; header names are in lower case."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes
    address: str


@dataclass(frozen=True, slots=True)
class Response:
    """A complete answer to a request."""

    status: int = HTTPStatus.OK
    body: bytes = b""
    headers: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Disconnect:
    """Send ``sent`` and close the connection, with a reset if ``reset`` is set."""

    sent: bytes = b""
    reset: bool = True


Answer = Response | Disconnect


def json_response(value: Any, status: int = HTTPStatus.OK) -> Response:
    """Return a response with a JSON body."""
    return Response(status, msgspec.json.encode(value), {"Content-Type": "application/json"})


def render(response: Response) -> bytes:
    """Return the encoded bytes of a response."""
    lines = [f"HTTP/1.1 {int(response.status)} {HTTPStatus(response.status).phrase}"]
    lines += [f"{name}: {value}" for name, value in response.headers.items()]
    if response.status != HTTPStatus.NO_CONTENT:
        lines.append(f"Content-Length: {len(response.body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + response.body


def take_rule(plan: FaultPlan, operation: str, request: Request) -> Rule | None:
    """Return the rule for a request of its client, matched by name or address."""
    name = request.headers.get(CLIENT_HEADER.lower(), "")
    return plan.take_rule(operation, name, request.address)


def apply_rule(rule: Rule | None, act: Callable[[], Response], stopped: threading.Event) -> Answer:
    """Answer a request, or inject the fault of a rule."""
    match rule and rule.effect:
        case Effect.DOWN:
            return Response(HTTPStatus.SERVICE_UNAVAILABLE, b"", {EFFECT_HEADER: EFFECT_NONE})
        case Effect.LOSE_BEFORE:
            return Disconnect()
        case Effect.LOSE_AFTER:
            act()
            return Disconnect()
        case Effect.SLOW if rule:
            stopped.wait(rule.delay)
    return act()


class Handler(BaseHTTPRequestHandler):
    """Answer the requests of one connection."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    server: Listener

    def serve(self) -> None:
        """Answer one request."""
        body = self._read_body()
        if body is None:
            self.close_connection = True
            return
        target = urlsplit(self.path)
        query = dict(parse_qsl(target.query, keep_blank_values=True))
        headers = {name.lower(): value for name, value in self.headers.items()}
        address = self.client_address[0]
        answer = self.server.handle(
            Request(self.command, target.path, query, headers, body, address)
        )
        match answer:
            case Response():
                whole = render(answer)
                sent = len(whole) - (len(answer.body) if self.command == "HEAD" else 0)
                self._write(whole[:sent])
            case Disconnect(sent, reset):
                self._write(sent)
                self._disconnect(reset)

    def log_message(self, format: str, *args: Any) -> None:
        """Suppress the access log."""

    def _read_body(self) -> bytes | None:
        """Return the request body, None if the client disconnected before its end."""
        if self.headers.get("Transfer-Encoding", "").lower() == "chunked":
            return self._read_chunks()
        length = int(self.headers.get("Content-Length", "0"))
        body = self.rfile.read(length)
        return body if len(body) == length else None

    def _read_chunks(self) -> bytes | None:
        """Return a chunked body, None if the client disconnected before its end."""
        parts: list[bytes] = []
        while True:
            line = self.rfile.readline()
            if not line.strip():
                return None
            size = int(line.split(b";")[0], 16)
            part = self.rfile.read(size + 2)
            if len(part) != size + 2:
                return None
            if size == 0:
                return b"".join(parts)
            parts.append(part[:-2])

    def _write(self, content: bytes) -> None:
        """Send bytes unless the client has disconnected."""
        try:
            self.wfile.write(content)
        except OSError:
            self.close_connection = True

    def _disconnect(self, reset: bool) -> None:
        """Close the connection."""
        self.close_connection = True
        if reset:
            self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self.connection.close()


for method in METHODS:
    setattr(Handler, f"do_{method}", Handler.serve)


@dataclass(slots=True)
class ConnectionCounts:
    """Numbers of connections: open now, the maximum so far, and rejected over the limit."""

    open: int = 0
    peak: int = 0
    rejected: int = 0


class Listener(ThreadingTCPServer):
    """Accept connections up to a limit."""

    allow_reuse_address = True
    daemon_threads = True
    block_on_close = False
    request_queue_size = 1_024

    def __init__(
        self,
        address: tuple[str, int],
        handle: Callable[[Request], Answer],
        limit: int,
        counts: ConnectionCounts,
    ) -> None:
        super().__init__(address, Handler)
        self.handle = handle
        self.limit = limit
        self.counts = counts
        self._lock = threading.Lock()

    def verify_request(self, request: Any, client_address: Any) -> bool:
        """Count a connection; return False to close it if the limit is reached."""
        with self._lock:
            counts = self.counts
            if counts.open >= self.limit:
                counts.rejected += 1
                return False
            counts.open += 1
            counts.peak = max(counts.peak, counts.open)
            return True

    def process_request_thread(self, request: Any, client_address: Any) -> None:
        """Serve one connection and count its end."""
        try:
            super().process_request_thread(request, client_address)
        finally:
            with self._lock:
                self.counts.open -= 1

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Suppress the traceback of a broken connection."""


class Server:
    """Listen on one address; listening can be stopped and restarted."""

    def __init__(
        self,
        listen: tuple[str, int],
        handle: Callable[[Request], Answer],
        connections: int = UNLIMITED,
    ) -> None:
        self._handle = handle
        self._connections = connections
        self.counts = ConnectionCounts()
        self.listener = Listener(listen, handle, connections, self.counts)
        self.address: tuple[str, int] = self.listener.server_address[:2]  # type: ignore[assignment]
        self._listening = False

    def start(self) -> None:
        """Accept connections in a separate thread."""
        self._listening = True
        loop = threading.Thread(target=self.listener.serve_forever, args=(0.05,), daemon=True)
        loop.start()

    def stop(self) -> None:
        """Close the listening socket; open connections continue."""
        if self._listening:
            self._listening = False
            self.listener.shutdown()
            self.listener.server_close()

    def restart(self) -> None:
        """Listen again after a stop."""
        if not self._listening:
            self.listener = Listener(self.address, self._handle, self._connections, self.counts)
            self.start()


def parse_address(text: str) -> tuple[str, int]:
    """Parse ``IP:PORT``."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def get_object_name(path: str, prefix: str) -> str:
    """Return the decoded object name after a path prefix."""
    return unquote(path.removeprefix(prefix))


def serve_until_signal(*servers: Server) -> None:
    """Print the addresses as JSON, serve, and stop at SIGTERM or SIGINT."""
    ended = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: ended.set())
    for server in servers:
        server.start()
    addresses = [f"{host}:{port}" for host, port in (server.address for server in servers)]
    print(msgspec.json.encode(addresses).decode(), flush=True)
    ended.wait()
    for server in servers:
        server.stop()
