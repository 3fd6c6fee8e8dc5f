"""
Clocks
======

The three clocks that decisions use, read at one moment.
"""

from __future__ import annotations

import time

from toucanpin.platform.store import Store
from toucanpin.scheduling.cell import Now

__all__ = ["Clocks"]


class Clocks:
    """Read the clocks; the table's is carried on from its newest answer."""

    __slots__ = ("_base", "_base_at", "_store")

    def __init__(self, store: Store) -> None:
        self._store = store
        self._base = 0
        self._base_at = 0.0

    def now(self) -> Now:
        """Return all clocks as they are."""
        steady = time.monotonic()
        if self._store.clock > self._base:
            self._base = self._store.clock
            self._base_at = steady
        table = self._base + int((steady - self._base_at) * 1_000)
        return Now(steady, table, time.time_ns() // 1_000_000)
