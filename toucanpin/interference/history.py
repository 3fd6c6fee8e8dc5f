"""
History of co-residents
=======================

Which tasks shared a host at a past instant, for samples that arrive late.
"""

from __future__ import annotations

from collections import deque

from toucanpin.interference.view import Resident

__all__ = ["DEFAULT_SPAN_S", "CoResidents"]

DEFAULT_SPAN_S = 120.0


class CoResidents:
    """Remember the residents of one host for ``span`` seconds."""

    def __init__(self, span: float = DEFAULT_SPAN_S) -> None:
        self._span = span
        self._entries: deque[tuple[float, tuple[Resident, ...]]] = deque()

    def record(self, now: float, residents: tuple[Resident, ...]) -> None:
        """Note who is on the host from now on."""
        if self._entries and self._entries[-1][1] == residents:
            return
        self._entries.append((now, residents))
        # The entry before the span still says who was there when the span began.
        while len(self._entries) > 1 and self._entries[1][0] <= now - self._span:
            self._entries.popleft()

    def find(self, instant: float) -> tuple[Resident, ...] | None:
        """Return who was on the host at an instant, None if that isn't remembered."""
        for since, residents in reversed(self._entries):
            if since <= instant:
                return residents
        return None
