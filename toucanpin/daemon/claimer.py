"""
Claimer
=======

The thread that inserts claim rows, many in one transaction, and notifies the waiting requests.
"""

from __future__ import annotations

import collections
import secrets
import threading
import time
from collections.abc import Callable
from typing import Any

import logbook

from toucanpin.platform.ports import Table, Transaction, Write
from toucanpin.requests.claims import (
    ClaimOutcome,
    Commit,
    PendingClaim,
    ReadRow,
    gather_batch,
    insert_claims,
    prepare_claim,
)
from toucanpin.requests.messages import Claimed, HeldClaim, NotClaimed
from toucanpin.verdict import Reason, Refusal, Verdict

__all__ = ["Claimer"]

RETRY_AFTER_S = 2.0
JOIN_TIMEOUT_S = 2.0
MAX_BATCH_RELEASES = 64

log = logbook.Logger("toucanpin.claims")


class _Waiter:
    """Request that waits for its claim."""

    __slots__ = ("claim", "done", "outcome", "timed_out")

    def __init__(self, claim: PendingClaim) -> None:
        self.claim = claim
        self.done = threading.Event()
        self.outcome: ClaimOutcome | None = None
        self.timed_out = False


class Claimer:
    """
    Thread that inserts and releases claim rows.

    Parameters
    ----------
    table : table that stores the claims
    process : name of this process, used as a prefix of its tokens
    clock : monotonic clock in seconds
    """

    def __init__(
        self,
        table: Table,
        process: str,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._table = table
        # With equal tokens two processes could both regard a row as their own.  The random part
        # keeps tokens apart even if names and incarnations are configured wrongly.
        self._token_prefix = f"{process}:{secrets.token_hex(8)}"
        self._clock = clock
        self._changed = threading.Condition()
        self._waiters: collections.deque[_Waiter] = collections.deque()
        self._releases: collections.deque[HeldClaim] = collections.deque()
        self._count = 0
        self._stopping = False
        self._thread = threading.Thread(target=self._run, name="claimer", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Process the pending claims and releases and end the thread."""
        with self._changed:
            self._stopping = True
            self._changed.notify()
        self._thread.join(JOIN_TIMEOUT_S)

    def claim(self, request_id: str, deadline: float) -> Claimed | NotClaimed:
        """Insert the claim of a request id; give up waiting for it at the deadline."""
        with self._changed:
            pending = prepare_claim(request_id, self._make_token())
            waiter = _Waiter(pending)
            self._waiters.append(waiter)
            self._changed.notify()
        waiter.done.wait(max(0.0, deadline - self._clock()))
        with self._changed:
            waiter.timed_out = waiter.outcome is None
        now = self._clock()
        match waiter.outcome:
            case HeldClaim() as held:
                return Claimed(now, held)
            case Refusal() as refusal:
                return NotClaimed(now, refusal)
        detail = "the store did not answer in time"
        refusal = Refusal(
            Verdict.NOT_RUN, Reason.STORE_UNCERTAIN, detail, retry_after=RETRY_AFTER_S
        )
        return NotClaimed(now, refusal)

    def release(self, claim: HeldClaim) -> None:
        """Queue a claim row for deletion; its request must not have run."""
        with self._changed:
            self._releases.append(claim)
            self._changed.notify()

    def _make_token(self) -> str:
        self._count += 1
        return f"{self._token_prefix}:{self._count}"

    def _next_token(self) -> str:
        with self._changed:
            return self._make_token()

    def _run(self) -> None:
        while True:
            with self._changed:
                while not (self._waiters or self._releases or self._stopping):
                    self._changed.wait()
                if self._stopping and not (self._waiters or self._releases):
                    return
                batch = self._take_batch()
                releases = [
                    self._releases.popleft()
                    for _ in range(min(MAX_BATCH_RELEASES, len(self._releases)))
                ]
            try:
                if batch:
                    self._insert(batch)
                if releases:
                    self._delete(releases)
            except Exception:
                log.exception(
                    "failed to process {} claims and {} releases", len(batch), len(releases)
                )
                self._fail(batch)

    def _take_batch(self) -> list[_Waiter]:
        waiting = [waiter for waiter in self._waiters if not waiter.timed_out]
        chosen, _ = gather_batch(tuple(waiter.claim for waiter in waiting))
        tokens = {claim.token for claim in chosen}
        self._waiters = collections.deque(w for w in waiting if w.claim.token not in tokens)
        return [waiter for waiter in waiting if waiter.claim.token in tokens]

    def _insert(self, batch: list[_Waiter]) -> None:
        steps = insert_claims(tuple(waiter.claim for waiter in batch), self._next_token)
        reply: Any = None
        while True:
            try:
                action = steps.send(reply)
            except StopIteration as end:
                self._notify(batch, end.value)
                return
            match action:
                case Commit(transaction=transaction):
                    reply = self._table.commit(transaction)
                case ReadRow(key=key):
                    reply = self._table.read(key)

    def _notify(self, batch: list[_Waiter], outcomes: dict[bytes, ClaimOutcome]) -> None:
        with self._changed:
            for waiter in batch:
                outcome = outcomes[waiter.claim.token]
                waiter.outcome = outcome
                if waiter.timed_out and isinstance(outcome, HeldClaim):
                    # The request was answered as not run, so the caller may retry with the same id.
                    self._releases.append(outcome)
                waiter.done.set()

    def _fail(self, batch: list[_Waiter]) -> None:
        detail = "the claim failed inside this process"
        refusal = Refusal(Verdict.NOT_RUN, Reason.STORE_UNCERTAIN, detail, RETRY_AFTER_S)
        with self._changed:
            for waiter in batch:
                waiter.outcome = waiter.outcome or refusal
                waiter.done.set()

    def _delete(self, releases: list[HeldClaim]) -> None:
        writes = tuple(Write(claim.key, claim.version, None) for claim in releases)
        result = self._table.commit(Transaction(self._next_token(), writes))
        if result.is_error():
            # These ids stay claimed until their rows are swept; callers must use new ids.
            log.warn("failed to release {} claims: {}", len(writes), result.error)
