"""
Shares of slots
===============

The slots and connections of each instance, divided among the live request processes.

Each process computes its own share from the members' names alone.  Under one view the shares of an
instance add up to its slots exactly.  Views change at different instants in different processes, so
a share shrinks at once and grows only after a hold time.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

import xxhash

__all__ = ["MAX_UPDATE_GAP_S", "SlotShares", "compute_share"]

MAX_UPDATE_GAP_S = 2.0
MAX_HOLD_S = 120.0


def compute_share(instance: str, total: int, members: tuple[str, ...], member: str) -> int:
    """Return a member's share of an instance's ``total``, by rendezvous hashing."""
    if member not in members:
        return 0
    own_weight = _compute_weight(instance, member)
    rank = sum(1 for name in members if _compute_weight(instance, name) > own_weight)
    base, remainder = divmod(total, len(members))
    return base + (1 if rank < remainder else 0)


def _compute_weight(instance: str, member: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"{instance}\n{member}".encode()), member


@dataclass(slots=True)
class _RecentView:
    members: tuple[str, ...]
    ended_at: float | None = None
    shares: dict[tuple[str, int], int] = field(default_factory=dict)

    def share(self, instance: str, total: int, member: str) -> int:
        """Return a member's share, computed once for each view."""
        known = self.shares.get((instance, total))
        if known is None:
            known = self.shares[instance, total] = compute_share(
                instance, total, self.members, member
            )
        return known


class SlotShares:
    """
    Shares of slots, each the smallest that any of the recent views of membership allows.

    ``hold`` is the time in seconds for which an ended view still limits the shares; a query may
    pass its own.  It must cover the time in which members learn of a change plus the longest time
    that a request may be in flight: a member that gave up slots may have started requests on them
    just before.
    """

    __slots__ = ("_own_name", "_hold", "_views", "_updated")

    def __init__(self, own_name: str, hold: float) -> None:
        self._own_name = own_name
        self._hold = hold
        self._views: list[_RecentView] = []
        self._updated = -math.inf

    def update(self, members: tuple[str, ...], now: float) -> None:
        """Set the current view; ``members`` are the names of the live request processes."""
        members = tuple(sorted(members))
        paused = now - self._updated > MAX_UPDATE_GAP_S
        self._updated = now
        if paused:
            # A process that starts, or that was frozen, does not know which processes use its
            # slots by now.  The empty view gives it none until the others have had time to see it.
            self._views = [_RecentView((), now)]
        current = self._views[-1]
        if current.ended_at is not None or current.members != members:
            current.ended_at = now if current.ended_at is None else current.ended_at
            self._views.append(_RecentView(members))
        self._views = [view for view in self._views if self._is_binding(view, MAX_HOLD_S)]

    def share(self, instance: str, total: int, hold: float | None = None) -> int:
        """Return how many of an instance's ``total`` slots this process may use now."""
        binding = (view for view in self._views if self._is_binding(view, hold))
        return min((view.share(instance, total, self._own_name) for view in binding), default=0)

    @property
    def owns_any(self) -> bool:
        """Return whether this process owns slots, with the default hold time."""
        return self.owns_any_with_hold(self._hold)

    def owns_any_with_hold(self, hold: float) -> bool:
        """Return whether every view within the hold time has this process among its members."""
        binding = [view for view in self._views if self._is_binding(view, hold)]
        return bool(binding) and all(self._own_name in view.members for view in binding)

    def _is_binding(self, view: _RecentView, hold: float | None) -> bool:
        bound = self._hold if hold is None else hold
        return view.ended_at is None or view.ended_at + bound > self._updated
