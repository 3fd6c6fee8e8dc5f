"""
Access to the store with failover to peers
==========================================

Call the platform's store through a peer while the store refuses or doesn't answer this host.
"""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING
from urllib.parse import parse_qs, urlsplit

import logbook

from toucanpin.entry.frames import MAX_TRANSFER_TIME_S
from toucanpin.entry.metrics import STORE_BYTES, STORE_CALLS
from toucanpin.entry.peer_calls import STORE, PeerCaller
from toucanpin.entry.tables import KEYS_TABLE, SHARED_KEY
from toucanpin.http import Answer, CallError, Client, TooLargeError
from toucanpin.verdict import Verdict

if TYPE_CHECKING:
    from toucanpin.entry.peers import Peer, Peers

__all__ = ["RelayedStore"]

_log = logbook.Logger("relay")
DIRECT_TIMEOUT_S = 1.0  # of a direct call before a peer is tried; a slow store takes 0.6 s
MAX_SHORT_TIMEOUT_S = 2.5  # a timeout of a call shorter than this is a sign of an outage
PROBE_PERIOD_S = 0.5  # between direct calls while peers are used
PROBE_TIMEOUT_S = 0.4
PEER_BACKOFF_S = 1.0  # after a peer couldn't reach the store either
MAX_PEERS = 3  # tried per call; in an outage for all hosts more of them would only add load
RELAY_BACKOFF_S = 0.4  # without relayed calls after no peer reached the store
# The probe reads a row that stays small.  On a slow link the operators' document can't be
# transferred within the timeout.
_PROBE_PATH = f"/rows-get?table={KEYS_TABLE}&part=&limit=1&from={SHARED_KEY}&target={SHARED_KEY}%00"
_WATCH_PATH = "/rows-feed"
_NO_WAIT = "&waitMs=0"
_REFUSAL_STATUSES = (429, 503)


class RelayedStore:
    """Client of the store that calls through a peer while direct calls fail."""

    __slots__ = (
        "_direct",
        "_name",
        "_peers",
        "_probing",
        "_backoff_until",
        "_failed_until",
        "direct_works",
    )

    def __init__(self, direct: Client, name: str) -> None:
        self._direct = direct
        self._name = name
        self._peers: Peers | None = None
        self._probing: asyncio.Task[None] | None = None
        self._failed_until: dict[str, float] = {}
        self._backoff_until = 0.0
        self.direct_works = True

    def use_peers(self, peers: Peers) -> None:
        """Set the registry of peers; without it there is no failover."""
        self._peers = peers

    async def call(
        self, method: str, path: str, body: bytes = b"", *, timeout: float = 1.0
    ) -> Answer:
        """
        Call the store.

        A direct call without an answer is repeated through a peer.  That is safe, since every write
        carries the versions that it expects: the second copy has no effect.
        """
        deadline = time.monotonic() + timeout
        uncertain = False
        refusal: Answer | None = None
        failure: CallError | None = None
        if self.direct_works or not self._may_relay():
            # A watch may rightly stay unanswered, so its timeout is no sign of an outage.
            is_short = timeout <= MAX_SHORT_TIMEOUT_S and not _is_watch(path)
            direct_timeout = (
                min(timeout, DIRECT_TIMEOUT_S) if is_short and self._may_relay() else timeout
            )
            try:
                answer = await self._direct.call(
                    method, path, body, timeout=direct_timeout, total_timeout=MAX_TRANSFER_TIME_S
                )
                if answer.status not in _REFUSAL_STATUSES:
                    STORE_CALLS.add(1, {"outcome": "answered"})
                    STORE_BYTES.add(len(answer.body), {"table": _find_table(path)})
                    return answer
                STORE_CALLS.add(1, {"outcome": "refused"})
                refusal = answer
            except TooLargeError:
                STORE_CALLS.add(1, {"outcome": "failed"})
                raise
            except CallError as error:
                STORE_CALLS.add(1, {"outcome": "failed"})
                failure = error
                uncertain = not error.certain
            self._record_failure()
        if time.monotonic() >= deadline:
            raise CallError(Verdict.MAY_HAVE_RUN, str(failure))
        for peer in self._list_peers():
            if time.monotonic() >= deadline:
                break
            try:
                answer = await self._relay(peer, method, path, body, deadline - time.monotonic())
                if answer.status not in _REFUSAL_STATUSES:
                    STORE_CALLS.add(1, {"outcome": "relayed"})
                    STORE_BYTES.add(len(answer.body), {"table": _find_table(path)})
                    self._backoff_until = 0.0
                    return answer
                refusal = answer
            except CallError as error:
                failure = error
                uncertain = uncertain or not error.certain
            self._failed_until[peer.name] = time.monotonic() + PEER_BACKOFF_S
            self._backoff_until = time.monotonic() + RELAY_BACKOFF_S
        if refusal is not None and not uncertain:
            return refusal
        verdict = Verdict.MAY_HAVE_RUN if uncertain else Verdict.NOT_RUN
        raise CallError(verdict, str(failure or "the store refused"))

    def _may_relay(self) -> bool:
        return bool(self._list_peers())

    def _list_peers(self) -> list[Peer]:
        """
        Return some peers in random order, without those that recently failed to reach the store.

        The store may refuse several hosts at once.  If such hosts tried each other and then backed
        off, an owner among them would write nothing for two seconds.
        """
        if self._peers is None or not self._peers.secret:
            return []
        now = time.monotonic()
        if now < self._backoff_until:
            return []
        usable = [
            peer
            for peer in self._peers.list_live()
            if self._failed_until.get(peer.name, 0.0) <= now
        ]
        return random.sample(usable, min(MAX_PEERS, len(usable)))

    def _record_failure(self) -> None:
        if self.direct_works:
            self.direct_works = False
            _log.warning(
                "store can't be reached directly, calls go through peers", event="store.lost"
            )
        if self._probing is None:
            self._probing = asyncio.ensure_future(self._probe())

    async def _probe(self) -> None:
        """Call the store directly until it answers."""
        while True:
            await asyncio.sleep(PROBE_PERIOD_S)
            try:
                answer = await self._direct.call("GET", _PROBE_PATH, timeout=PROBE_TIMEOUT_S)
            except CallError:
                continue
            if answer.status == 200:
                break
        self.direct_works = True
        self._probing = None
        _log.info("store can be reached directly again", event="store.regained")

    async def _relay(
        self, peer: Peer, method: str, path: str, body: bytes, timeout: float
    ) -> Answer:
        assert self._peers is not None
        caller = PeerCaller(self._name, self._peers, peer, STORE)
        return await caller.call(method, path, body, timeout=timeout)


def _is_watch(path: str) -> bool:
    """Return whether a call waits for changes; with a wait of 0 it is answered at once."""
    return path.startswith(_WATCH_PATH) and not path.endswith(_NO_WAIT)


def _find_table(path: str) -> str:
    """Return the name of the table that a call reads, empty for a transaction."""
    query = parse_qs(urlsplit(path).query)
    return query.get("table", [""])[0]
