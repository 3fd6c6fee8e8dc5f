"""
Listener
========

Accept connections within a budget, a few in each turn of the event loop.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import logbook

from toucanpin.clients.budget import Budget
from toucanpin.clients.limits import RECEIVE_BUFFER_BYTES
from toucanpin.clients.session import Session

__all__ = ["Listener"]

_log = logbook.Logger("clients")
MIN_BACKLOG, MAX_BACKLOG = 16, 512  # connections that wait to be accepted
MAX_ACCEPTS = 4  # in one turn of the event loop
FAILED_ACCEPT_PAUSE_S = 0.2  # such as without a free descriptor
SWEEP_PERIOD_S = 5.0


class Listener:
    """Listener on one address; ``make_session`` returns the protocol of a new connection."""

    __slots__ = ("_budget", "_make_session", "_opening", "_socket", "_sweeping")

    def __init__(self, budget: Budget, make_session: Callable[[], Session]) -> None:
        self._budget = budget
        self._make_session = make_session
        self._socket: socket.socket | None = None
        self._opening: set[asyncio.Task[None]] = set()
        self._sweeping = False

    def listen(self, host: str, port: int) -> None:
        """Listen on an address."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.setblocking(False)
        try:
            listener.bind((host, port))
            listener.listen(min(MAX_BACKLOG, max(MIN_BACKLOG, self._budget.limits.connections)))
        except OSError:
            listener.close()
            raise
        self._socket = listener
        self._watch()

    def close(self) -> None:
        """Accept no more connections."""
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def _watch(self) -> None:
        if self._socket is not None:
            asyncio.get_running_loop().add_reader(self._socket, self._accept)

    def _accept(self) -> None:
        assert self._socket is not None
        for _ in range(MAX_ACCEPTS):
            try:
                connection, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                self._pause(error)
                return
            self._admit(connection)

    def _pause(self, error: OSError) -> None:
        """Accept nothing for a moment, as each try would fail and be logged."""
        _log.warning("connection not accepted", event="clients.unaccepted", reason=error)
        loop = asyncio.get_running_loop()
        if self._socket is not None:
            loop.remove_reader(self._socket)
        loop.call_later(FAILED_ACCEPT_PAUSE_S, self._watch)

    def _admit(self, connection: socket.socket) -> None:
        session = self._make_session()
        account = self._budget.open(session.give_way)
        if account is None:
            connection.close()
            return
        session.open(account)
        task = asyncio.ensure_future(self._open(connection, session))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)
        self._schedule_sweep()

    async def _open(self, connection: socket.socket, session: Session) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(lambda: session, connection)
        except OSError as error:
            _log.info("connection not opened", event="clients.unopened", reason=error)
            connection.close()
            session.connection_lost(error)

    def _schedule_sweep(self) -> None:
        if not self._sweeping:
            self._sweeping = True
            asyncio.get_running_loop().call_later(SWEEP_PERIOD_S, self._sweep)

    def _sweep(self) -> None:
        self._sweeping = False
        self._budget.sweep()
        if self._budget.accounts:
            self._schedule_sweep()
