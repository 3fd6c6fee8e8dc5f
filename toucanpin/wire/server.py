"""
Server of the inner protocol
============================

Answer the requests of other members over TCP.
"""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any

import logbook

from toucanpin.exception import WireError
from toucanpin.wire.codec import MajorVersionError, Purpose, encode
from toucanpin.wire.identity import Identity
from toucanpin.wire.keys import PeerKeys
from toucanpin.wire.messages import Envelope, Message, Received, Refused
from toucanpin.wire.stream import receive_frame, send_frame

__all__ = ["Handler", "InnerServer"]

Handler = Callable[[Envelope, Any], Message]

MAX_CONNECTIONS = 64
MAX_CONNECTIONS_EACH = 16
REQUEST_SECONDS = 5.0
_BACKLOG = 64
_ACCEPT_SECONDS = 1.0

_log = logbook.Logger("wire")


class InnerServer:
    """
    Answer each connection's one request by the handler of its message class.

    A handler runs on the connection's thread and may be called by several at once.
    """

    def __init__(
        self,
        address: str,
        port: int,
        identity: Identity,
        keys: PeerKeys,
        handlers: Mapping[type, Handler],
    ) -> None:
        self._endpoint = (address, port)
        self._identity = identity
        self._keys = keys
        self._handlers = handlers
        self._listener: socket.socket | None = None
        self._stopping = threading.Event()
        self._threads: set[threading.Thread] = set()
        self._peers: Counter[str] = Counter()
        self._lock = threading.Lock()
        self._accepting: threading.Thread | None = None

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        if self._listener is None:
            return self._endpoint[1]
        return int(self._listener.getsockname()[1])

    def start(self) -> None:
        """Listen and answer until stopped."""
        listener = socket.create_server(self._endpoint, backlog=_BACKLOG)
        listener.settimeout(_ACCEPT_SECONDS)
        self._listener = listener
        self._accepting = threading.Thread(
            target=self._accept, args=(listener,), name="inner-accept", daemon=True
        )
        self._accepting.start()

    def stop(self, grace: float) -> None:
        """Take no new connection and finish those in flight within ``grace`` seconds."""
        deadline = time.monotonic() + grace
        self._stopping.set()
        if self._listener is not None:
            with contextlib.suppress(OSError):
                self._listener.shutdown(socket.SHUT_RDWR)  # wakes the accepting thread at once
        if self._accepting is not None:
            self._accepting.join()
        if self._listener is not None:
            self._listener.close()
        for thread in tuple(self._threads):
            thread.join(max(0.0, deadline - time.monotonic()))

    def _accept(self, listener: socket.socket) -> None:
        while not self._stopping.is_set():
            try:
                connection, peer = listener.accept()
            except TimeoutError:
                continue
            except OSError as error:
                if self._stopping.is_set():
                    return
                _log.warning("inner listener: {}", error)
                self._stopping.wait(_ACCEPT_SECONDS)
                continue
            if not self._admit(peer[0]):
                connection.close()
                continue
            thread = threading.Thread(
                target=self._serve, args=(connection, peer[0]), name="inner-request", daemon=True
            )
            self._threads.add(thread)
            thread.start()

    def _admit(self, peer: str) -> bool:
        # A stranger who opens connections and says nothing holds each of them for REQUEST_SECONDS.
        # With a share of its own it can't keep the other processes out.
        with self._lock:
            full = self._peers.total() >= MAX_CONNECTIONS
            if full or self._peers[peer] >= MAX_CONNECTIONS_EACH:
                return False
            self._peers[peer] += 1
            return True

    def _release(self, peer: str) -> None:
        with self._lock:
            self._peers[peer] -= 1
            if not self._peers[peer]:
                del self._peers[peer]

    def _serve(self, connection: socket.socket, peer: str) -> None:
        try:
            with connection:
                self._exchange(connection)
        except (OSError, WireError) as error:
            _log.warning("inner request from {} dropped: {}", peer, error)
        except Exception:
            _log.exception("inner request from {} failed", peer)
        finally:
            self._release(peer)
            self._threads.discard(threading.current_thread())

    def _exchange(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError):
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        deadline = time.monotonic() + REQUEST_SECONDS
        frame = receive_frame(connection, deadline)
        if frame is None:
            return
        answer = self.answer(frame)
        send_frame(connection, answer, time.monotonic() + REQUEST_SECONDS)

    def answer(self, frame: bytes) -> bytes:
        """
        Return the answer's frame to a request's frame.

        Raises
        ------
        WireError
            If the request can't be understood or trusted; it then gets no answer.
        """
        try:
            received = self._identity.open(self._keys, Purpose.REQUEST, frame)
        except MajorVersionError as error:
            _log.error("inner protocol refused: {}", error)
            return self._seal(Envelope(0, "", "", "", 0, 0, 0, 0), Refused(str(error)))
        return self._seal(received.envelope, self._handle(received))

    def _handle(self, received: Received) -> Message:
        envelope = received.envelope
        # A request captured on its way to another process must not be answered here: the asker
        # would take this process's promise for that of the other.
        if envelope.audience != self._identity.name:
            return Refused(f"meant for {envelope.audience!r}, this is {self._identity.name}")
        handler = self._handlers.get(type(received.message))
        if handler is None:
            return Refused(f"{type(received.message).__name__} isn't answered here")
        return handler(envelope, received.message)

    def _seal(self, request: Envelope, message: Message) -> bytes:
        envelope = self._identity.make_envelope(request.sender, request.nonce)
        return encode(self._keys, Purpose.ANSWER, envelope, message)
