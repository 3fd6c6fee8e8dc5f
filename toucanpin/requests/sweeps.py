"""
Deletion of expired claims
==========================

Claim rows older than the retention time are deleted in the background, one partition at a time,
each partition by one of the live request processes.

Age is derived from the table's own commit order: a version that was seen ten minutes ago on this
process's monotonic clock, and every lower one, is at least ten minutes old.  Wall clocks differ
between hosts and are set back and forth; a host whose clock is ahead would delete rows that are
still needed to refuse duplicates.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Generator
from dataclasses import dataclass
from typing import Any

import xxhash

from toucanpin.platform.ports import MAX_TRANSACTION_ROWS, Row, Transaction, Write
from toucanpin.requests.claims import CLAIM_PREFIX, PARTITION_DIGITS, Commit

__all__ = [
    "CLAIM_RETENTION_S",
    "Scan",
    "VersionAges",
    "compute_sweep_interval",
    "list_partitions",
    "sweep_partition",
]

CLAIM_RETENTION_S = 600.0
MAX_READINGS = 1_024
PARTITIONS = 16**PARTITION_DIGITS


@dataclass(frozen=True, slots=True)
class Scan:
    """Request to the table for the rows below a prefix; the outcome is the table's result."""

    prefix: str


class VersionAges:
    """Instants of the monotonic clock, in seconds, at which table versions were first seen."""

    __slots__ = ("_readings", "_expired_version")

    def __init__(self) -> None:
        self._readings: deque[tuple[float, int]] = deque(maxlen=MAX_READINGS)
        self._expired_version = 0

    def record(self, now: float, version: int) -> None:
        """Record a version that is in the table now."""
        if not self._readings or version > self._readings[-1][1]:
            self._readings.append((now, version))

    def find_expired_version(self, now: float) -> int:
        """Return the newest version that is certainly older than the retention time."""
        while self._readings and now - self._readings[0][0] >= CLAIM_RETENTION_S:
            self._expired_version = self._readings.popleft()[1]
        return self._expired_version


def list_partitions(members: tuple[str, ...], own_name: str) -> tuple[str, ...]:
    """Return the prefixes of the partitions that this process sweeps."""
    prefixes = (f"{CLAIM_PREFIX}{number:0{PARTITION_DIGITS}x}/" for number in range(PARTITIONS))
    return tuple(prefix for prefix in prefixes if _choose_owner(prefix, members) == own_name)


def compute_sweep_interval(partitions: int) -> float:
    """Return the seconds between sweeps that sweep each partition once per retention time."""
    return CLAIM_RETENTION_S / max(1, partitions)


def sweep_partition(
    prefix: str, ages: VersionAges, clock: Callable[[], float], make_token: Callable[[], str]
) -> Generator[Scan | Commit, Any, int]:
    """Delete a partition's expired rows and return their number; stop at a failed write."""
    found = yield Scan(prefix)
    rows: tuple[Row, ...] = found.ok if found.is_ok() else ()
    # The clock is read after the answer, so that no row counts as older than it is.
    now = clock()
    ages.record(now, max((row.version for row in rows), default=0))
    expired_version = ages.find_expired_version(now)
    expired = [row for row in rows if row.version <= expired_version]
    deleted = 0
    for start in range(0, len(expired), MAX_TRANSACTION_ROWS):
        batch = expired[start : start + MAX_TRANSACTION_ROWS]
        writes = tuple(Write(row.key, row.version, None) for row in batch)
        result = yield Commit(Transaction(make_token(), writes))
        if result.is_error():
            break
        deleted += len(batch)
    return deleted


def _choose_owner(prefix: str, members: tuple[str, ...]) -> str:
    return max(members, key=lambda name: _compute_weight(prefix, name), default="")


def _compute_weight(prefix: str, member: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"{prefix}\n{member}".encode()), member
