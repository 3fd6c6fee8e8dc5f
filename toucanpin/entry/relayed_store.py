"""
Access to the store with failover to peers
==========================================

Call the platform's store through a peer while the store refuses or doesn't answer this host, and
repeat calls that hang once there is a way to it again.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Iterable
from contextlib import suppress
from typing import TYPE_CHECKING, Any
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

__all__ = ["PROBE_PATH", "RelayedStore"]

_log = logbook.Logger("relay")
DIRECT_TIMEOUT_S = 1.0  # of a direct call before a peer is tried; a slow store takes 0.6 s
# An owner whose write hangs starts nothing, so writes that are late by the store's recent answers
# are repeated through a peer sooner.
MIN_WRITE_TIMEOUT_S = 0.4
LATE_FACTOR = 5.0  # by which a late answer exceeds the recent ones
ANSWER_TIME_DECAY = 0.9  # of the longest recent answer time, per answer
MAX_SHORT_TIMEOUT_S = 2.5  # a timeout of a call shorter than this is a sign of an outage
# Probes overlap: a store that is silent doesn't answer one sent before its return, and an owner
# must write again before another host takes its cell.
PROBE_PERIOD_S = 0.25  # between direct calls while the store doesn't answer this host
PROBE_TIMEOUT_S = 0.8  # a slow store takes 0.6 s to answer
MIN_ANSWER_GAP_S = 0.1  # from a call without an answer to a later answer that disproves an outage
MIN_REPEAT_TIME_S = 0.3  # a repeated call that ends sooner would look like another outage
MAX_ATTEMPTS = 3  # of one call at a time
PEER_BACKOFF_S = 1.0  # after a peer couldn't reach the store either
MAX_PEERS = 3  # tried per call; in an outage for all hosts more of them would only add load
RELAY_BACKOFF_S = 0.4  # without relayed calls after no peer reached the store
# The probe reads a row that stays small.  On a slow link the operators' document can't be
# transferred within the timeout.
PROBE_PATH = f"/rows-get?table={KEYS_TABLE}&part=&limit=1&from={SHARED_KEY}&target={SHARED_KEY}%00"
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
        "_answer_time",
        "_answered_at",
        "_backoff_until",
        "_failed_until",
        "_route_changes",
        "_silent",
        "direct_works",
    )

    def __init__(self, direct: Client, name: str) -> None:
        self._direct = direct
        self._name = name
        self._peers: Peers | None = None
        self._probing: asyncio.Task[None] | None = None
        self._failed_until: dict[str, float] = {}
        self._backoff_until = 0.0
        self._answer_time = 0.0  # longest recent time to a direct answer
        self._answered_at = 0.0  # time of the latest direct answer that was no refusal
        self._route_changes: set[asyncio.Future[None]] = set()  # one of each call in flight
        self._silent = False  # whether the store has left a direct call without an answer
        self.direct_works = True

    def use_peers(self, peers: Peers) -> None:
        """Set the registry of peers; without it there is no failover."""
        self._peers = peers

    async def call(
        self, method: str, path: str, body: bytes = b"", *, timeout: float = 1.0
    ) -> Answer:
        """
        Call the store.

        A direct call without an answer is repeated through a peer, and a call in flight is repeated
        once the store can be reached in another way than when it was sent: a connection that went
        silent delivers nothing further.  That is safe, since every write carries the versions that
        it expects: the second copy has no effect.
        """
        deadline = time.monotonic() + timeout
        attempts = [asyncio.ensure_future(self._attempt(method, path, body, timeout))]
        failures: list[CallError] = []
        refusal: Answer | None = None
        route_change = self._await_route_change()
        try:
            while attempts:
                pending: list[asyncio.Future[Any]] = [*attempts, route_change]
                await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                for attempt in [it for it in attempts if it.done()]:
                    attempts.remove(attempt)
                    try:
                        answer = attempt.result()
                    except CallError as error:
                        failures.append(error)
                        continue
                    if not _is_refusal(answer):
                        return answer
                    refusal = answer
                if not attempts or not route_change.done():
                    continue
                route_change = self._await_route_change()
                left = deadline - time.monotonic()
                if left < MIN_REPEAT_TIME_S:
                    continue
                if len(attempts) >= MAX_ATTEMPTS:
                    attempts.pop(0).cancel()
                    failures.append(CallError(Verdict.MAY_HAVE_RUN, "given up"))
                attempts.append(asyncio.ensure_future(self._attempt(method, path, body, left)))
        finally:
            self._route_changes.discard(route_change)
            _cancel_all(attempts)
        if refusal is not None and all(error.certain for error in failures):
            return refusal
        raise next((error for error in failures if not error.certain), failures[0])

    def _await_route_change(self) -> asyncio.Future[None]:
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._route_changes.add(future)
        return future

    def _signal_route_change(self) -> None:
        """Have calls in flight repeated on the present way to the store."""
        for future in self._route_changes:
            if not future.done():
                future.set_result(None)
        self._route_changes.clear()

    async def _attempt(self, method: str, path: str, body: bytes, timeout: float) -> Answer:
        """Call the store directly or through peers."""
        deadline = time.monotonic() + timeout
        uncertain = False
        refusal: Answer | None = None
        failure: CallError | None = None
        sent_at = time.monotonic()
        if self.direct_works or not self._may_relay():
            try:
                answer = await self._call_direct(method, path, body, timeout)
                if not _is_refusal(answer):
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
            # A call from before an outage may end after it.
            if self._answered_at < sent_at + MIN_ANSWER_GAP_S:
                self._record_failure(silent=uncertain)
        if time.monotonic() >= deadline:
            raise CallError(Verdict.MAY_HAVE_RUN, str(failure))
        for peer in self._list_peers():
            if time.monotonic() >= deadline:
                break
            try:
                answer = await self._relay(peer, method, path, body, deadline - time.monotonic())
                if not _is_refusal(answer):
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

    async def _call_direct(self, method: str, path: str, body: bytes, timeout: float) -> Answer:
        # A watch may rightly stay unanswered, so its timeout is no sign of an outage.
        is_watch = _is_watch(path)
        if timeout <= MAX_SHORT_TIMEOUT_S and not is_watch and self._may_relay():
            timeout = min(timeout, self._limit_write() if body else DIRECT_TIMEOUT_S)
        sent_at = time.monotonic()
        answer = await self._direct.call(
            method, path, body, timeout=timeout, total_timeout=MAX_TRANSFER_TIME_S
        )
        if not _is_refusal(answer):
            self._answered_at = time.monotonic()
            if not is_watch:
                self._record_answer_time(self._answered_at - sent_at)
        return answer

    def _limit_write(self) -> float:
        """Return the time after which a direct write without an answer goes through a peer."""
        late = LATE_FACTOR * self._answer_time
        return min(DIRECT_TIMEOUT_S, max(MIN_WRITE_TIMEOUT_S, late))

    def _record_answer_time(self, took: float) -> None:
        self._answer_time = max(took, ANSWER_TIME_DECAY * self._answer_time)

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

    def _record_failure(self, silent: bool) -> None:
        """Record a direct call that was refused, or that was ``silent``: it had no answer."""
        # After a refusal the calls in flight still get an answer, and repeating them would add to
        # the load for which the store refuses.
        is_change = silent and not self._silent
        self._silent = self._silent or silent
        if self.direct_works:
            self.direct_works = False
            _log.warning(
                "store can't be reached directly, calls go through peers", event="store.lost"
            )
            # Idle connections go silent together with the one that failed.
            self._direct.close()
        if is_change:
            self._signal_route_change()
        if self._probing is None:
            self._probing = asyncio.ensure_future(self._probe())

    async def _probe(self) -> None:
        """Call the store directly until it answers."""
        answered = asyncio.Event()
        probes: list[asyncio.Task[None]] = []
        await asyncio.sleep(PROBE_PERIOD_S)
        while not answered.is_set():
            probes = [probe for probe in probes if not probe.done()]
            probes.append(asyncio.ensure_future(self._probe_once(answered)))
            with suppress(TimeoutError):
                async with asyncio.timeout(PROBE_PERIOD_S):
                    await answered.wait()
        _cancel_all(probes)
        self.direct_works = True
        self._probing = None
        _log.info("store can be reached directly again", event="store.regained")
        if self._silent:
            self._silent = False
            self._signal_route_change()

    async def _probe_once(self, answered: asyncio.Event) -> None:
        try:
            answer = await self._direct.call("GET", PROBE_PATH, timeout=PROBE_TIMEOUT_S)
        except CallError:
            return
        if answer.status == 200:
            self._answered_at = time.monotonic()
            answered.set()

    async def _relay(
        self, peer: Peer, method: str, path: str, body: bytes, timeout: float
    ) -> Answer:
        assert self._peers is not None
        caller = PeerCaller(self._name, self._peers, peer, STORE)
        return await caller.call(method, path, body, timeout=timeout)


def _cancel_all(tasks: Iterable[asyncio.Task]) -> None:
    for task in tasks:
        if not task.cancel() and not task.cancelled():
            task.exception()  # marks it as retrieved


def _is_refusal(answer: Answer) -> bool:
    return answer.status in _REFUSAL_STATUSES


def _is_watch(path: str) -> bool:
    """Return whether a call waits for changes; with a wait of 0 it is answered at once."""
    return path.startswith(_WATCH_PATH) and not path.endswith(_NO_WAIT)


def _find_table(path: str) -> str:
    """Return the name of the table that a call reads, empty for a transaction."""
    query = parse_qs(urlsplit(path).query)
    return query.get("table", [""])[0]
