"""
Claims of request ids
=====================

A non-idempotent request with a caller's id runs only after its claim row was inserted, whichever
entry host it came through.  Many claims share one transaction.  The row's key follows from the id
alone: keys that held the wall time let two hosts whose clocks were apart insert a row each, and the
request ran twice.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Generator
from dataclasses import dataclass
from typing import Any

from expression import Result

from toucanpin.platform.ports import (
    ABSENT,
    MAX_TRANSACTION_ROWS,
    Committed,
    Conflict,
    Row,
    Transaction,
    Unavailable,
    Unknown,
    Write,
)
from toucanpin.requests.messages import HeldClaim
from toucanpin.verdict import Reason, Refusal, Verdict

__all__ = [
    "CLAIM_PREFIX",
    "PART_DIGITS",
    "ClaimOutcome",
    "Commit",
    "PendingClaim",
    "ReadRow",
    "gather_batch",
    "prepare_claim",
    "settle_claims",
]

CLAIM_PREFIX = "claim/"
PART_DIGITS = 2
MAX_CLAIMS = MAX_TRANSACTION_ROWS
MAX_ROUNDS = 2
COME_BACK_SECONDS = 2.0

ClaimOutcome = HeldClaim | Refusal


@dataclass(frozen=True, slots=True)
class PendingClaim:
    """Hold one claim to be made: its row and its unique token."""

    key: str
    token: bytes


@dataclass(frozen=True, slots=True)
class Commit:
    """Ask for a transaction; the outcome is the table's."""

    transaction: Transaction


@dataclass(frozen=True, slots=True)
class ReadRow:
    """Ask for a row; the outcome is the table's."""

    key: str


def prepare_claim(request_id: str, token: str) -> PendingClaim:
    """Name the row of one claim; rows stand in parts, so that old ones can be deleted in turns."""
    name = hashlib.blake2b(request_id.encode(), digest_size=16).hexdigest()
    return PendingClaim(f"{CLAIM_PREFIX}{name[:PART_DIGITS]}/{name}", token.encode())


def gather_batch(
    waiting: tuple[PendingClaim, ...],
) -> tuple[tuple[PendingClaim, ...], tuple[PendingClaim, ...]]:
    """
    Split the waiting claims into one transaction's worth and the rest.

    A second claim of one id waits for the next transaction, which then meets the first one's row.
    """
    batch: list[PendingClaim] = []
    rest: list[PendingClaim] = []
    keys: set[str] = set()
    for claim in waiting:
        if len(batch) >= MAX_CLAIMS or claim.key in keys:
            rest.append(claim)
            continue
        batch.append(claim)
        keys.add(claim.key)
    return tuple(batch), tuple(rest)


def settle_claims(
    batch: tuple[PendingClaim, ...], make_token: Callable[[], str]
) -> Generator[Commit | ReadRow, Any, dict[bytes, ClaimOutcome]]:
    """Bring every claim of a batch to its outcome, by token; yields what to ask the table."""
    pending = list(batch)
    outcomes: dict[bytes, ClaimOutcome] = {}
    uncertain = 0
    while pending:
        result: Result[Committed, Any] = yield Commit(_write(pending, make_token()))
        if result.is_ok():
            outcomes |= {claim.token: HeldClaim(claim.key, result.ok.version) for claim in pending}
            break
        match result.error:
            case Conflict(rows=rows):
                found = {row.key: row for row in rows if row.version != ABSENT}
                settled = {claim.token: _judge(claim, found) for claim in pending}
            case Unknown():
                # The write may have taken effect, or may still do so.  A row with our own token
                # is proof that the id is ours; another token is proof that it isn't.
                uncertain += 1
                settled = {}
                for claim in pending:
                    row = yield ReadRow(claim.key)
                    known = row.is_ok() and row.ok is not None
                    settled[claim.token] = _judge(claim, {claim.key: row.ok} if known else {})
            case Unavailable(detail=detail):
                reason = Reason.STORE_UNCERTAIN if uncertain else Reason.STORE_UNAVAILABLE
                outcomes |= {claim.token: _refuse(reason, detail) for claim in pending}
                break
        decided = {token: outcome for token, outcome in settled.items() if outcome is not None}
        outcomes |= decided
        pending = [claim for claim in pending if claim.token not in decided]
        stuck = isinstance(result.error, Conflict) and not decided
        if pending and (stuck or uncertain >= MAX_ROUNDS):
            detail = "the claim's write has no certain outcome"
            refusal = _refuse(Reason.STORE_UNCERTAIN, detail)
            outcomes |= {claim.token: refusal for claim in pending}
            break
    return outcomes


def _write(pending: list[PendingClaim], token: str) -> Transaction:
    return Transaction(token, tuple(Write(claim.key, ABSENT, claim.token) for claim in pending))


def _judge(claim: PendingClaim, found: dict[str, Row]) -> ClaimOutcome | None:
    """Decide a claim from rows that were found; None if none of them speaks of it."""
    own = found.get(claim.key)
    if own is not None and own.value == claim.token:
        return HeldClaim(claim.key, own.version)
    if own is not None:
        detail = "a request with this id was let through before"
        return Refusal(Verdict.MAY_HAVE_RUN, Reason.DUPLICATE, detail)
    return None


def _refuse(reason: Reason, detail: str) -> Refusal:
    return Refusal(Verdict.NOT_RUN, reason, detail, COME_BACK_SECONDS)
