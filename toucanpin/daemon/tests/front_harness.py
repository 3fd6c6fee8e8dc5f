"""Test environment of a front: scripted instances, an in-memory table and raw HTTP callers."""

from __future__ import annotations

import json
import socket
import threading
from collections.abc import Callable
from contextlib import suppress
from random import Random

from expression import Error, Ok, Result

from toucanpin.bundles.schema import Bundle, Service
from toucanpin.daemon.front import Front, FrontSettings
from toucanpin.membership.member import Member
from toucanpin.platform.ports import (
    Committed,
    Conflict,
    HostRole,
    ListedHost,
    Row,
    Transaction,
    Unavailable,
    Unknown,
)
from toucanpin.timeline.event import Event

SERVICE = "verify"
TEST_TIMEOUT_S = 10.0


class ScriptedInstance:
    """Instance whose ``script(number, request, sock)`` answers; True keeps the connection."""

    def __init__(self, script: Callable[[int, bytes, socket.socket], bool]) -> None:
        self.script = script
        self.requests: list[bytes] = []
        self.connections = 0
        self._lock = threading.Lock()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.settimeout(TEST_TIMEOUT_S)
            self.connections += 1
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with suppress(OSError), sock:
            while request := read_message(sock):
                with self._lock:
                    self.requests.append(request)
                    number = len(self.requests)
                if not self.script(number, request, sock):
                    return

    def close(self) -> None:
        """Stop listening, so that new connections are refused."""
        with suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()


def read_message(sock: socket.socket) -> bytes:
    """Read one request with a Content-Length or without a body; return b"" at the end."""
    data = b""
    while b"\r\n\r\n" not in data:
        piece = sock.recv(65536)
        if not piece:
            return b""
        data += piece
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    while len(body) < length:
        piece = sock.recv(65536)
        if not piece:
            break
        body += piece
    return head + b"\r\n\r\n" + body


def answer(body: bytes, status: str = "200 OK", extra: str = "") -> bytes:
    """Return an answer with a Content-Length."""
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{extra}\r\n".encode() + body


def echo(number: int, request: bytes, sock: socket.socket) -> bool:
    """Answer with the target and the body of the request."""
    target = request.split(b" ", 2)[1]
    sock.sendall(answer(target + b"|" + request.partition(b"\r\n\r\n")[2]))
    return True


def reset(sock: socket.socket) -> None:
    """Make the close of a socket reset its connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")


class FakeTable:
    """Table in memory; ``faults`` lists those of the next commits; ``down`` is permanent."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.faults: list[str] = []
        self.commits: list[Transaction] = []
        self._version = 0
        self._lock = threading.Lock()

    def read(self, key):
        with self._lock:
            if self.faults and self.faults[0] == "down":
                return Error(Unavailable("down"))
            return Ok(self.rows.get(key))

    def scan(self, prefix, after=0):
        with self._lock:
            return Ok(tuple(r for k, r in sorted(self.rows.items()) if k.startswith(prefix)))

    def commit(self, transaction) -> Result:
        with self._lock:
            self.commits.append(transaction)
            fault = self.faults[0] if self.faults else ""
            if fault != "down" and self.faults:
                self.faults.pop(0)
            if fault == "down":
                return Error(Unavailable("down"))
            if fault == "lost before":
                return Error(Unknown("lost"))
            result = self._apply(transaction)
            return Error(Unknown("lost")) if fault == "lost after" else result

    def _apply(self, transaction) -> Result:
        conflicting = [
            self.rows.get(write.key, Row(write.key, 0, b""))
            for write in transaction.writes
            if self._version_of(write.key) != write.expected
        ]
        if conflicting:
            return Error(Conflict(tuple(conflicting)))
        self._version += 1
        for write in transaction.writes:
            if write.check_only:
                continue
            if write.value is None:
                self.rows.pop(write.key, None)
            else:
                self.rows[write.key] = Row(write.key, self._version, write.value)
        return Ok(Committed(self._version))

    def _version_of(self, key) -> int:
        row = self.rows.get(key)
        return row.version if row else 0


class FakeView:
    """View of a given bundle and given members, and sink of events."""

    def __init__(self, bundle: Bundle | None, names: tuple[str, ...]) -> None:
        self.bundle = bundle
        self.names = names
        self.events: list[Event] = []

    def current(self):
        return self.bundle

    def members(self):
        return tuple(
            Member(name, name.split("/")[0], "casco", "request", 1, "127.0.0.1", 1)
            for name in self.names
        )

    def record(self, kind, ids, detail="", causes=()):
        event = Event("front", "1", len(self.events), 0.0, 0.0, kind, ids, detail, causes)
        self.events.append(event)
        return event


def make_front(ports, table=None, service=None, mounts=None, remote=(), **settings):
    """Start a front for instances on ``ports`` of its own site and ``remote`` of another site."""
    names = ("e1/request",)
    service = service or Service(SERVICE, deadline_ms=5_000)
    view = FakeView(Bundle("test", 1, (service,)), names)
    hosts = tuple(
        ListedHost(f"i{port}", HostRole.INSTANCE, site, "r1", "127.0.0.1", port, False, SERVICE)
        for site, group in (("casco", ports), ("kennebec", remote))
        for port in group
    )
    options = {"share_hold": 0.0, "threads": 12, "linger": 0.0} | settings
    front = Front(
        FrontSettings(names[0], "1", "casco", "127.0.0.1", 0, **options),
        view,
        lambda: hosts,
        view,
        table or FakeTable(),
        view,
        mounts or {},
        Random(1),
    )
    front.start()
    return front


class Reply:
    """Answer as a caller received it; ``complete`` is True if the body was complete."""

    def __init__(self, raw: bytes) -> None:
        head, _, rest = raw.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        self.raw = raw
        self.status = int(lines[0].split()[1]) if raw else 0
        pairs = [line.split(": ", 1) for line in lines[1:]]
        self.headers = {name.lower(): value for name, value in pairs}
        if self.headers.get("transfer-encoding") == "chunked":
            self.body, self.complete = _join_chunks(rest)
        else:
            length = int(self.headers.get("content-length", 0))
            self.body, self.complete = rest[:length], len(rest) >= length

    @property
    def verdict(self):
        return self.headers.get("toucanpin-verdict")

    @property
    def reason(self):
        return self.headers.get("toucanpin-reason")

    @property
    def json(self):
        return json.loads(self.body)


def _join_chunks(rest: bytes) -> tuple[bytes, bool]:
    body = b""
    while rest:
        size, _, rest = rest.partition(b"\r\n")
        if int(size, 16) == 0:
            return body, True
        body += rest[: int(size, 16)]
        rest = rest[int(size, 16) + 2 :]
    return body, False


def call(front: Front, path: str, method: str = "GET", body: bytes = b"", **headers) -> Reply:
    """Send one request on a new connection and return the answer."""
    return Reply(send_raw(front, make_request(path, method, body, **headers)))


def make_request(path: str, method: str = "GET", body: bytes = b"", **headers) -> bytes:
    """Return the bytes of one request that closes its connection."""
    lines = [f"{method} /v1/services/{SERVICE}{path} HTTP/1.1", "Host: x", "Connection: close"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def send_raw(front: Front, data: bytes, half_close: bool = False) -> bytes:
    """Send bytes on a new connection and return all that is received."""
    with socket.create_connection(("127.0.0.1", front.port), TEST_TIMEOUT_S) as sock:
        sock.sendall(data)
        if half_close:
            sock.shutdown(socket.SHUT_WR)
        return read_to_end(sock)


def read_to_end(sock: socket.socket) -> bytes:
    """Return all data up to the end of the connection."""
    pieces = []
    with suppress(ConnectionResetError):
        while piece := sock.recv(65536):
            pieces.append(piece)
    return b"".join(pieces)
