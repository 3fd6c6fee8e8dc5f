"""
Sweeps of old claims
====================

Claim rows of past buckets are deleted in the background, a small part of a bucket at a time, each
part by one of the live request processes.
"""

from __future__ import annotations

from collections.abc import Callable, Generator, Iterator
from dataclasses import dataclass
from typing import Any

import xxhash

from toucanpin.platform.ports import MAX_TRANSACTION_ROWS, Transaction, Write
from toucanpin.requests.claims import BUCKET_SECONDS, Commit

__all__ = ["Scan", "list_parts", "sweep_part"]

KEPT_BUCKETS = 3
SWEPT_BUCKETS = 6
PARTS = 256


@dataclass(frozen=True, slots=True)
class Scan:
    """Ask for the rows below a prefix; the outcome is the table's."""

    prefix: str


def list_parts(wall: float, members: tuple[str, ...], me: str) -> Iterator[str]:
    """
    List the prefixes of old rows that this process is to sweep now.

    The present bucket and its neighbours are kept: their rows still refuse duplicates.
    """
    newest = int(wall // BUCKET_SECONDS) - KEPT_BUCKETS
    for bucket in range(newest, newest - SWEPT_BUCKETS, -1):
        for part in range(PARTS):
            prefix = f"claim/{bucket}/{part:02x}"
            owner = max(members, key=lambda name: _weigh(prefix, name), default="")
            if owner == me:
                yield prefix


def _weigh(prefix: str, member: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"{prefix}\n{member}".encode()), member


def sweep_part(prefix: str, make_token: Callable[[], str]) -> Generator[Scan | Commit, Any, int]:
    """Delete the rows below one prefix and return how many; a failed write is left for later."""
    found = yield Scan(prefix)
    rows = found.ok if found.is_ok() else ()
    deleted = 0
    for start in range(0, len(rows), MAX_TRANSACTION_ROWS):
        part = rows[start : start + MAX_TRANSACTION_ROWS]
        writes = tuple(Write(row.key, row.version, None) for row in part)
        result = yield Commit(Transaction(make_token(), writes))
        if result.is_error():
            break
        deleted += len(part)
    return deleted
