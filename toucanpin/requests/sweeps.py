"""
Sweeps of old claims
====================

Claim rows that are older than the time for which an id stays claimed are deleted in the background,
a part of them at a time, each part by one of the live request processes.

Age is told by the table's own commit order: a version that was seen ten minutes ago on this
process's monotonic clock, and every lower one, is at least ten minutes old.  Wall clocks differ
between hosts and are set back and forth; a host whose clock was ahead would delete rows that still
have duplicates to refuse.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Generator
from dataclasses import dataclass
from typing import Any

import xxhash

from toucanpin.platform.ports import MAX_TRANSACTION_ROWS, Row, Transaction, Write
from toucanpin.requests.claims import CLAIM_PREFIX, PART_DIGITS, Commit

__all__ = ["KEPT_SECONDS", "Ages", "Scan", "choose_pause", "list_parts", "sweep_part"]

KEPT_SECONDS = 600.0
MAX_NOTES = 1_024
PARTS = 16**PART_DIGITS


@dataclass(frozen=True, slots=True)
class Scan:
    """Ask for the rows below a prefix; the outcome is the table's."""

    prefix: str


class Ages:
    """Remember when which version of the table was seen first, on the monotonic clock (seconds)."""

    __slots__ = ("_notes", "_old")

    def __init__(self) -> None:
        self._notes: deque[tuple[float, int]] = deque(maxlen=MAX_NOTES)
        self._old = 0

    def note(self, now: float, version: int) -> None:
        """Note a version that stands in the table now."""
        if not self._notes or version > self._notes[-1][1]:
            self._notes.append((now, version))

    def find_old(self, now: float) -> int:
        """Return the newest version that is surely older than the time for which claims count."""
        while self._notes and now - self._notes[0][0] >= KEPT_SECONDS:
            self._old = self._notes.popleft()[1]
        return self._old


def list_parts(members: tuple[str, ...], me: str) -> tuple[str, ...]:
    """List the prefixes of the parts that this process sweeps."""
    prefixes = (f"{CLAIM_PREFIX}{part:0{PART_DIGITS}x}/" for part in range(PARTS))
    return tuple(prefix for prefix in prefixes if _choose_owner(prefix, members) == me)


def choose_pause(parts: int) -> float:
    """Return the seconds between sweeps, so that each part is swept once in the kept time."""
    return KEPT_SECONDS / max(1, parts)


def sweep_part(
    prefix: str, ages: Ages, clock: Callable[[], float], make_token: Callable[[], str]
) -> Generator[Scan | Commit, Any, int]:
    """Delete a part's old rows and return how many; a failed write is left for later."""
    found = yield Scan(prefix)
    rows: tuple[Row, ...] = found.ok if found.is_ok() else ()
    # Read after the answer, the clock makes no row older than it is.
    now = clock()
    ages.note(now, max((row.version for row in rows), default=0))
    limit = ages.find_old(now)
    old = [row for row in rows if row.version <= limit]
    deleted = 0
    for start in range(0, len(old), MAX_TRANSACTION_ROWS):
        part = old[start : start + MAX_TRANSACTION_ROWS]
        writes = tuple(Write(row.key, row.version, None) for row in part)
        result = yield Commit(Transaction(make_token(), writes))
        if result.is_error():
            break
        deleted += len(part)
    return deleted


def _choose_owner(prefix: str, members: tuple[str, ...]) -> str:
    return max(members, key=lambda name: _weigh(prefix, name), default="")


def _weigh(prefix: str, member: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"{prefix}\n{member}".encode()), member
