"""
History of co-residents
=======================

The residents of a host at a past time, for the attribution of delayed samples.
"""

from __future__ import annotations

from collections import deque

from toucanpin.interference.view import Resident

__all__ = ["DEFAULT_SPAN_S", "CoResidents"]

DEFAULT_SPAN_S = 120.0


class CoResidents:
    """Residents of one host over the last ``span`` seconds."""

    def __init__(self, span: float = DEFAULT_SPAN_S) -> None:
        self._span = span
        self._entries: deque[tuple[float, tuple[Resident, ...]]] = deque()

    def record(self, now: float, residents: tuple[Resident, ...]) -> None:
        """Record the present residents of the host."""
        if self._entries and self._entries[-1][1] == residents:
            return
        self._entries.append((now, residents))
        # The last entry before the span holds the residents at its start.
        while len(self._entries) > 1 and self._entries[1][0] <= now - self._span:
            self._entries.popleft()

    def find(self, instant: float) -> tuple[Resident, ...] | None:
        """Return the residents at an instant, None if it is before the history."""
        for since, residents in reversed(self._entries):
            if since <= instant:
                return residents
        return None
