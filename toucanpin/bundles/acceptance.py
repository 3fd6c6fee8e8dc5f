"""
Acceptance of bundles
=====================

Decide by a single conditional write whether a submitted bundle becomes the one in force.
"""

from __future__ import annotations

from collections.abc import Callable, Generator
from dataclasses import dataclass
from typing import Any

from expression import Result

from toucanpin.bundles.canonical import decode_bundle
from toucanpin.bundles.difference import compare_bundles
from toucanpin.bundles.record import (
    CURRENT_KEY,
    BundleRecord,
    decode_record,
    encode_record,
    make_version_key,
)
from toucanpin.bundles.signature import (
    KeyRing,
    SignedBundle,
    Verified,
    extends_rings,
    verify_bundle,
)
from toucanpin.platform.ports import (
    ABSENT,
    CommitFault,
    Committed,
    Conflict,
    Row,
    StoreFault,
    Transaction,
    Unavailable,
    Unknown,
    Write,
)

__all__ = [
    "Accepted",
    "Action",
    "Commit",
    "Conflicted",
    "NotAccepted",
    "Outcome",
    "Pause",
    "Read",
    "Refused",
    "Submission",
    "Uncertain",
    "accept_bundle",
]

MAX_ATTEMPTS = 6
RETRY_DELAY_S = 0.5


@dataclass(frozen=True, slots=True)
class Read:
    """Read one row; the result is that of ``Table.read``."""

    key: str


@dataclass(frozen=True, slots=True)
class Commit:
    """Commit one transaction; the result is that of ``Table.commit``."""

    transaction: Transaction


@dataclass(frozen=True, slots=True)
class Pause:
    """Wait for a number of seconds; the result is None."""

    seconds: float


Action = Read | Commit | Pause


@dataclass(frozen=True, slots=True)
class Submission:
    """
    Request to put a bundle in force.

    ``expected`` is the version in force that the bundle was prepared against, 0 for none.
    ``submitted_at`` is in seconds of the wall clock.
    """

    signed: SignedBundle
    expected: int
    operator: str
    submitted_at: float


@dataclass(frozen=True, slots=True)
class Accepted:
    """The bundle is accepted; ``repeated`` if an earlier submission had been accepted already."""

    record: BundleRecord
    repeated: bool = False


@dataclass(frozen=True, slots=True)
class Refused:
    """The bundle is invalid, and nothing changed."""

    faults: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Conflicted:
    """Another bundle than expected is in force; ``difference`` compares it with this one."""

    winner: BundleRecord | None
    difference: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class NotAccepted:
    """The table is unavailable: nothing changed, and the submission may be repeated."""

    detail: str


@dataclass(frozen=True, slots=True)
class Uncertain:
    """The bundle may have been accepted or may still be; the submission may be repeated."""

    detail: str


Outcome = Accepted | Refused | Conflicted | NotAccepted | Uncertain
Acceptance = Generator[Action, Any, Outcome]


def accept_bundle(
    key_ring: KeyRing, submission: Submission, next_token: Callable[[], str]
) -> Acceptance:
    """
    Yield reads and one conditional write, and return the outcome of the submission.

    Notes
    -----
    If the answer to a write is lost, the write may still take effect later, so reading the old row
    proves nothing.  The same conditional write is repeated instead: the first one to take effect
    changes the row's version and makes the other fail, and both contain the same bundle.
    """
    match verify_bundle(key_ring, submission.signed):
        case Result(tag="ok", ok=verified):
            pass
        case Result(error=error):
            return Refused(error.faults)
    version = verified.bundle.version
    if version != submission.expected + 1:
        allowed = submission.expected + 1
        return Refused((f"version is {version}; allowed: {allowed}, one above the expected one",))
    return (yield from _write_until_decided(_Attempt(verified, submission, next_token)))


@dataclass(frozen=True, slots=True)
class _Attempt:
    verified: Verified
    submission: Submission
    next_token: Callable[[], str]

    def record(self) -> BundleRecord:
        """Return the record to write."""
        return BundleRecord(
            self.verified.bundle.version,
            self.verified.digest,
            self.submission.operator,
            self.submission.submitted_at,
            self.submission.signed,
        )

    def transaction(self, row: Row | None) -> Transaction:
        """Return the transaction that replaces the row that was read by the bundle."""
        value = encode_record(self.record())
        expected = ABSENT if row is None else row.version
        key = make_version_key(self.verified.bundle.version)
        writes = (Write(CURRENT_KEY, expected, value), Write(key, ABSENT, value))
        return Transaction(self.next_token(), writes)


def _write_until_decided(attempt: _Attempt) -> Acceptance:
    uncertain = False
    detail = ""
    for _ in range(MAX_ATTEMPTS):
        match (yield Read(CURRENT_KEY)):
            case Result(tag="ok", ok=row):
                pass
            case Result(error=fault):
                detail = _describe_fault(fault)
                if not uncertain:
                    return NotAccepted(detail)
                yield Pause(RETRY_DELAY_S)
                continue
        outcome = yield from _check_current(attempt, row)
        if outcome is not None:
            return outcome
        match (yield Commit(attempt.transaction(row))):
            case Result(tag="ok", ok=Committed()):
                return Accepted(attempt.record())
            case Result(error=Conflict()):
                continue  # the next read shows the bundle that was written first
            case Result(error=Unavailable() as fault):
                detail = fault.detail
                if not uncertain:
                    return NotAccepted(detail)
            case Result(error=Unknown() as fault):
                uncertain = True
                detail = fault.detail
        yield Pause(RETRY_DELAY_S)
    if uncertain:
        return Uncertain(detail)
    return NotAccepted(detail or "the row of the bundle kept changing")


def _check_current(attempt: _Attempt, row: Row | None) -> Generator[Action, Any, Outcome | None]:
    expected = attempt.submission.expected
    if row is None:
        return None if expected == 0 else Conflicted(None, ())
    match decode_record(row.value):
        case Result(tag="ok", ok=current):
            pass
        case Result(error=error):
            return Refused(error.faults)
    if current.digest == attempt.verified.digest:
        return Accepted(current, repeated=True)
    if current.version != expected:
        return (yield from _resolve_conflict(attempt, current))
    if not extends_rings(current.signed.rings, attempt.submission.signed.rings):
        # A bundle without the newest ring was signed under an older one, possibly by a key that
        # has been revoked since.
        return Refused(("the key rings of the bundle in force are missing or differ",))
    return None


def _resolve_conflict(
    attempt: _Attempt, current: BundleRecord
) -> Generator[Action, Any, Outcome | None]:
    # The bundle may have been accepted with its answer lost, and a later one accepted after it.
    # The row of its version shows this; the current row would name the later bundle as winner.
    match (yield Read(make_version_key(attempt.verified.bundle.version))):
        case Result(tag="ok", ok=Row(value=value)):
            match decode_record(value):
                case Result(tag="ok", ok=own) if own.digest == attempt.verified.digest:
                    return Accepted(own, repeated=True)
        case Result(tag="error", error=fault):
            return Uncertain(f"version {current.version} is in force; {_describe_fault(fault)}")
    return Conflicted(current, _list_differences(current, attempt.verified))


def _list_differences(current: BundleRecord, verified: Verified) -> tuple[str, ...]:
    match decode_bundle(current.signed.document):
        case Result(tag="ok", ok=bundle):
            return compare_bundles(bundle, verified.bundle)
    return ()


def _describe_fault(fault: StoreFault | CommitFault) -> str:
    match fault:
        case Unavailable(detail) | Unknown(detail):
            return detail
    return str(fault)
