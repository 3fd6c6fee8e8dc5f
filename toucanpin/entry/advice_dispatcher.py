"""
Dispatcher of advice requests
=============================

Spread requests to the advice service over hosts, since it answers those of one host in sequence.
"""

from __future__ import annotations

import logbook

from toucanpin.entry.clocks import steady_time
from toucanpin.entry.peer_calls import ADVICE, PeerCaller
from toucanpin.entry.peers import Peers
from toucanpin.http import CallError, Client
from toucanpin.platform.advice import AdviceClient
from toucanpin.scheduling.advising import Advice
from toucanpin.scheduling.cell import Group

__all__ = ["AdviceDispatcher"]

_log = logbook.Logger("advice")
FAILURE_BACKOFF_S = 2.0  # after a request through a host was not answered


class AdviceDispatcher:
    """
    Client of the advice service through this host and its peers, with one request each at a time.

    A request takes half a second, so through one host only two steps a second would get advice, and
    those behind them would miss their objectives.
    """

    def __init__(self, name: str, client: Client | None, peers: Peers) -> None:
        self._name = name
        self._client = client
        self._peers = peers
        self._busy: set[str] = set()
        self._avoided_until: dict[str, float] = {}

    def count_free(self) -> int:
        """Return the number of requests that may be sent now."""
        return len(self._list_free())

    async def request(self, group: Group, workers: tuple[str, ...]) -> Advice | None:
        """Return which of ``workers`` may run a step, None without an answer."""
        free = self._list_free()
        if not free or self._client is None:
            return None
        name = free[0]
        self._busy.add(name)
        try:
            return await self._make_client(name).ask(group, workers)
        except CallError as error:
            self._avoided_until[name] = steady_time() + FAILURE_BACKOFF_S
            _log.warning(
                "no answer from the advice service",
                event="advice.missing",
                through=name,
                reason=error,
            )
            return None
        finally:
            self._busy.discard(name)

    def _list_free(self) -> list[str]:
        if self._client is None:
            return []
        peers = [peer.name for peer in self._peers.list_live()] if self._peers.secret else []
        now = steady_time()
        return [
            name
            for name in (self._name, *peers)
            if name not in self._busy and self._avoided_until.get(name, 0.0) <= now
        ]

    def _make_client(self, name: str) -> AdviceClient:
        assert self._client is not None
        for peer in self._peers.list_live():
            if peer.name == name:
                return AdviceClient(PeerCaller(self._name, self._peers, peer, ADVICE))
        return AdviceClient(self._client)
