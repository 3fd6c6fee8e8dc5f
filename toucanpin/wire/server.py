"""
Server of the inner protocol
============================

Serve requests of other members over TCP.
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
from toucanpin.wire.stream import FramePool, receive_frame, send_frame

__all__ = ["Handler", "InnerServer"]

Handler = Callable[[Envelope, Any], Message]

MAX_CONNECTIONS = 64
MAX_CONNECTIONS_PER_PEER = 16
REQUEST_TIMEOUT_S = 5.0
MAX_HELD_BYTES = 16_777_216  # of all frames that are incomplete, whose senders are unknown yet
_BACKLOG = 64
_ACCEPT_TIMEOUT_S = 1.0

_log = logbook.Logger("wire")


class InnerServer:
    """
    Server with one handler per message class and one request per connection.

    Handlers run on the threads of the connections, so several calls may run concurrently.
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
        self._pool = FramePool(MAX_HELD_BYTES)
        self._accept_thread: threading.Thread | None = None

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        if self._listener is None:
            return self._endpoint[1]
        return int(self._listener.getsockname()[1])

    def start(self) -> None:
        """Listen and serve requests until ``stop`` is called."""
        listener = socket.create_server(self._endpoint, backlog=_BACKLOG)
        listener.settimeout(_ACCEPT_TIMEOUT_S)
        self._listener = listener
        self._accept_thread = threading.Thread(
            target=self._accept, args=(listener,), name="inner-accept", daemon=True
        )
        self._accept_thread.start()

    def stop(self, grace: float) -> None:
        """Accept no new connections and wait up to ``grace`` seconds for those in progress."""
        deadline = time.monotonic() + grace
        self._stopping.set()
        if self._listener is not None:
            with contextlib.suppress(OSError):
                self._listener.shutdown(socket.SHUT_RDWR)  # wakes the accept thread
        if self._accept_thread is not None:
            self._accept_thread.join()
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
                self._stopping.wait(_ACCEPT_TIMEOUT_S)
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
        # A peer that opens connections without sending a request occupies each of them for
        # REQUEST_TIMEOUT_S.  The limit per peer keeps it from using up all connections.
        with self._lock:
            full = self._peers.total() >= MAX_CONNECTIONS
            if full or self._peers[peer] >= MAX_CONNECTIONS_PER_PEER:
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
        deadline = time.monotonic() + REQUEST_TIMEOUT_S
        frame = receive_frame(connection, deadline, self._pool)
        if frame is None:
            return
        answer = self.answer(frame)
        send_frame(connection, answer, time.monotonic() + REQUEST_TIMEOUT_S)

    def answer(self, frame: bytes) -> bytes:
        """
        Return the frame of the answer to a request.

        Raises
        ------
        WireError
            If the request is invalid or not authentic; it must then get no answer.
        """
        try:
            received = self._identity.open(self._keys, Purpose.REQUEST, frame)
        except MajorVersionError as error:
            _log.error("inner protocol refused: {}", error)
            return self._seal(Envelope(0, "", "", "", 0, 0, 0, 0), Refused(str(error)))
        return self._seal(received.envelope, self._handle(received))

    def _handle(self, received: Received) -> Message:
        envelope = received.envelope
        # A replayed request to another process must not be handled here, since the client would
        # mistake this process's promise for that of the other process.
        if envelope.audience != self._identity.name:
            return Refused(f"meant for {envelope.audience!r}, this is {self._identity.name}")
        handler = self._handlers.get(type(received.message))
        if handler is None:
            return Refused(f"{type(received.message).__name__} isn't answered here")
        return handler(envelope, received.message)

    def _seal(self, request: Envelope, message: Message) -> bytes:
        envelope = self._identity.make_envelope(request.sender, request.nonce)
        return encode(self._keys, Purpose.ANSWER, envelope, message)
