"""
Shares of slots
===============

The slots and connections of each instance, divided among the live request processes.

Each process works out its own share from the members' names alone.  Under one view the shares of an
instance add up to its slots exactly.  Views change at different instants in different processes, so
a share shrinks at once and grows only after a hold.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

import xxhash

__all__ = ["PAUSE", "ShareBook", "share_of"]

PAUSE = 2.0
LONGEST_HOLD = 120.0


def share_of(instance: str, total: int, members: tuple[str, ...], me: str) -> int:
    """Return this member's part of an instance's ``total``, dealt in rendezvous order."""
    if me not in members:
        return 0
    mine = _weigh(instance, me)
    rank = sum(1 for name in members if _weigh(instance, name) > mine)
    base, extra = divmod(total, len(members))
    return base + (1 if rank < extra else 0)


def _weigh(instance: str, member: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"{instance}\n{member}".encode()), member


@dataclass(slots=True)
class _View:
    members: tuple[str, ...]
    ended: float | None = None
    shares: dict[tuple[str, int], int] = field(default_factory=dict)

    def share(self, instance: str, total: int, me: str) -> int:
        """Return a member's share, worked out once for each view."""
        known = self.shares.get((instance, total))
        if known is None:
            known = self.shares[instance, total] = share_of(instance, total, self.members, me)
        return known


class ShareBook:
    """
    Keep the recent views of membership and give the smallest share that any of them allows.

    ``hold``, in seconds, is how long an ended view still binds; a share may be asked for with one
    of its own.  It must cover the time in which members learn of a change, and the longest that a
    request may be in flight: a member that gave slots up may have begun requests on them just
    before it did.
    """

    __slots__ = ("_me", "_hold", "_views", "_updated")

    def __init__(self, me: str, hold: float) -> None:
        self._me = me
        self._hold = hold
        self._views: list[_View] = []
        self._updated = -math.inf

    def update(self, members: tuple[str, ...], now: float) -> None:
        """Take in the present view; ``members`` are the names of the live request processes."""
        members = tuple(sorted(members))
        paused = now - self._updated > PAUSE
        self._updated = now
        if paused:
            # A process that starts, or that was frozen, doesn't know who uses its slots by now.
            # The empty view gives it none until the others had the time to see it.
            self._views = [_View((), now)]
        current = self._views[-1]
        if current.ended is not None or current.members != members:
            current.ended = now if current.ended is None else current.ended
            self._views.append(_View(members))
        self._views = [view for view in self._views if self._binds(view, LONGEST_HOLD)]

    def share(self, instance: str, total: int, hold: float | None = None) -> int:
        """Return how many of an instance's ``total`` this process may use now."""
        binding = (view for view in self._views if self._binds(view, hold))
        return min((view.share(instance, total, self._me) for view in binding), default=0)

    @property
    def owns_any(self) -> bool:
        """Say whether this process owns slots after the usual hold."""
        return self.owns(self._hold)

    def owns(self, hold: float) -> bool:
        """Say whether every view that binds has this process among its members."""
        binding = [view for view in self._views if self._binds(view, hold)]
        return bool(binding) and all(self._me in view.members for view in binding)

    def _binds(self, view: _View, hold: float | None) -> bool:
        bound = self._hold if hold is None else hold
        return view.ended is None or view.ended + bound > self._updated
