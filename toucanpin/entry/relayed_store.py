"""
Store reached directly or through peers
=======================================

Reach the platform's store through a peer while the store turns this host away.
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
DIRECT_TIMEOUT_S = 1.0  # s of a direct try before a peer is asked; a slow store takes 0.6 s
MAX_SHORT_TIMEOUT_S = 2.5  # s that calls may take whose silence is a sign of an outage
PROBE_PERIOD_S = 0.5  # s between direct tries while peers are used
PROBE_TIMEOUT_S = 0.4  # s
PEER_BACKOFF_S = 1.0  # s that a peer isn't asked after it couldn't reach the store either
MAX_PEERS = 3  # asked for one call; in an outage for all, more would only cost the others' time
RELAY_BACKOFF_S = 0.4  # s that no peer is asked after none of them reached the store
# Of a row that stays small: the operators' document never came whole over a weak link in that time.
_PROBE_PATH = f"/rows-get?table={KEYS_TABLE}&part=&limit=1&from={SHARED_KEY}&target={SHARED_KEY}%00"
_WATCH_PATH = "/rows-feed"
_NO_WAIT = "&waitMs=0"
_REFUSAL_STATUSES = (429, 503)


class RelayedStore:
    """Call the store directly, or through a peer while it answers others and not this host."""

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
        """Use these peers from now on."""
        self._peers = peers

    async def call(
        self, method: str, path: str, body: bytes = b"", *, timeout: float = 1.0
    ) -> Answer:
        """
        Call the store.

        A call that got no answer directly is repeated through a peer.  That is safe, since every
        write carries the versions that it expects: whichever copy comes second does nothing.
        """
        deadline = time.monotonic() + timeout
        uncertain = False
        refusal: Answer | None = None
        failure: CallError | None = None
        if self.direct_works or not self._may_relay():
            # A watch is meant to stay unanswered for long, so its silence says nothing.
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
            self._note_failure()
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
        Return some peers to ask, in any order, without those that didn't reach the store lately.

        The store may turn several hosts away.  Each would take its turn through another of them and
        then rest, and an owner among them wrote nothing for two seconds.
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

    def _note_failure(self) -> None:
        if self.direct_works:
            self.direct_works = False
            _log.warning("store not reached directly", event="store.lost")
        if self._probing is None:
            self._probing = asyncio.ensure_future(self._probe())

    async def _probe(self) -> None:
        """Try the store directly until it answers."""
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
        _log.info("store reached directly", event="store.regained")

    async def _relay(
        self, peer: Peer, method: str, path: str, body: bytes, timeout: float
    ) -> Answer:
        assert self._peers is not None
        caller = PeerCaller(self._name, self._peers, peer, STORE)
        return await caller.call(method, path, body, timeout=timeout)


def _is_watch(path: str) -> bool:
    """Tell whether a call waits for changes; one that only asks for them is answered at once."""
    return path.startswith(_WATCH_PATH) and not path.endswith(_NO_WAIT)


def _find_table(path: str) -> str:
    """Return the table that a call reads, empty for a transaction."""
    query = parse_qs(urlsplit(path).query)
    return query.get("table", [""])[0]
