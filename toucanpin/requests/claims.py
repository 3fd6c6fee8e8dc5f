"""
Claims of request ids
=====================

A non-idempotent request with a caller's id runs only after its claim row was inserted, whichever
entry host received it.  Many claims share one transaction.  The row's key depends on the id
alone: with the wall time in the key, two hosts whose clocks differ would each insert a row, and the
request would run twice.
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
    "PARTITION_DIGITS",
    "ClaimOutcome",
    "Commit",
    "PendingClaim",
    "ReadRow",
    "gather_batch",
    "prepare_claim",
    "insert_claims",
]

CLAIM_PREFIX = "claim/"
PARTITION_DIGITS = 2
MAX_BATCH_CLAIMS = MAX_TRANSACTION_ROWS
MAX_UNCERTAIN_WRITES = 2
RETRY_AFTER_S = 2.0

ClaimOutcome = HeldClaim | Refusal


@dataclass(frozen=True, slots=True)
class PendingClaim:
    """A claim to be inserted: the key of its row and its unique token."""

    key: str
    token: bytes


@dataclass(frozen=True, slots=True)
class Commit:
    """Request to the table to commit a transaction; the outcome is the table's result."""

    transaction: Transaction


@dataclass(frozen=True, slots=True)
class ReadRow:
    """Request to the table to read a row; the outcome is the table's result."""

    key: str


def prepare_claim(request_id: str, token: str) -> PendingClaim:
    """Return the claim of an id; its row is in one of the partitions, which are swept in turn."""
    name = hashlib.blake2b(request_id.encode(), digest_size=16).hexdigest()
    return PendingClaim(f"{CLAIM_PREFIX}{name[:PARTITION_DIGITS]}/{name}", token.encode())


def gather_batch(
    waiting: tuple[PendingClaim, ...],
) -> tuple[tuple[PendingClaim, ...], tuple[PendingClaim, ...]]:
    """
    Split the waiting claims into those of one transaction and the remaining ones.

    A second claim of one id waits for the next transaction, which then conflicts with the row of
    the first.
    """
    batch: list[PendingClaim] = []
    remaining: list[PendingClaim] = []
    keys: set[str] = set()
    for claim in waiting:
        if len(batch) >= MAX_BATCH_CLAIMS or claim.key in keys:
            remaining.append(claim)
            continue
        batch.append(claim)
        keys.add(claim.key)
    return tuple(batch), tuple(remaining)


def insert_claims(
    batch: tuple[PendingClaim, ...], make_token: Callable[[], str]
) -> Generator[Commit | ReadRow, Any, dict[bytes, ClaimOutcome]]:
    """Insert the claims of a batch and return their outcomes by token; yield table requests."""
    pending = list(batch)
    outcomes: dict[bytes, ClaimOutcome] = {}
    uncertain_writes = 0
    while pending:
        result: Result[Committed, Any] = yield Commit(_make_transaction(pending, make_token()))
        if result.is_ok():
            outcomes |= {claim.token: HeldClaim(claim.key, result.ok.version) for claim in pending}
            break
        match result.error:
            case Conflict(rows=rows):
                found = {row.key: row for row in rows if row.version != ABSENT}
                resolved = {claim.token: _resolve(claim, found) for claim in pending}
            case Unknown():
                # The write may have taken effect, or may still do so.  A row with the claim's own
                # token proves that the id is claimed; another token proves that it is not.
                uncertain_writes += 1
                resolved = {}
                for claim in pending:
                    row = yield ReadRow(claim.key)
                    known = row.is_ok() and row.ok is not None
                    resolved[claim.token] = _resolve(claim, {claim.key: row.ok} if known else {})
            case Unavailable(detail=detail):
                reason = Reason.STORE_UNCERTAIN if uncertain_writes else Reason.STORE_UNAVAILABLE
                outcomes |= {claim.token: _refuse(reason, detail) for claim in pending}
                break
        decided = {token: outcome for token, outcome in resolved.items() if outcome is not None}
        outcomes |= decided
        pending = [claim for claim in pending if claim.token not in decided]
        stuck = isinstance(result.error, Conflict) and not decided
        if pending and (stuck or uncertain_writes >= MAX_UNCERTAIN_WRITES):
            detail = "the claim's write has no certain outcome"
            refusal = _refuse(Reason.STORE_UNCERTAIN, detail)
            outcomes |= {claim.token: refusal for claim in pending}
            break
    return outcomes


def _make_transaction(pending: list[PendingClaim], token: str) -> Transaction:
    return Transaction(token, tuple(Write(claim.key, ABSENT, claim.token) for claim in pending))


def _resolve(claim: PendingClaim, found: dict[str, Row]) -> ClaimOutcome | None:
    """Return the outcome of a claim from the rows found, None if its row is not among them."""
    own = found.get(claim.key)
    if own is not None and own.value == claim.token:
        return HeldClaim(claim.key, own.version)
    if own is not None:
        detail = "a request with this id was let through before"
        return Refusal(Verdict.MAY_HAVE_RUN, Reason.DUPLICATE, detail)
    return None


def _refuse(reason: Reason, detail: str) -> Refusal:
    return Refusal(Verdict.NOT_RUN, reason, detail, RETRY_AFTER_S)
