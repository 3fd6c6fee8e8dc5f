"""
Shares of slots
===============

The slots and connections of each instance, divided among the live request processes.

Each process works out its own share from the members' names alone.  Under one view the shares of an
instance add up to its slots exactly.  Views change at different instants in different processes, so
a share shrinks at once and grows only after the settling time.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import xxhash

__all__ = ["PAUSE", "ShareBook", "share_of"]

PAUSE = 2.0


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

    Parameters
    ----------
    me : name of this process
    settle : seconds for which an older view still binds
    """

    __slots__ = ("_me", "_settle", "_views", "_updated")

    def __init__(self, me: str, settle: float) -> None:
        self._me = me
        self._settle = settle
        self._views: list[_View] = []
        self._updated: float | None = None

    def update(self, members: tuple[str, ...], now: float) -> None:
        """Take in the present view; ``members`` are the names of the live request processes."""
        members = tuple(sorted(members))
        paused = self._updated is None or now - self._updated > PAUSE
        self._updated = now
        if paused:
            # A process that starts, or that was frozen, doesn't know who uses its slots by now.
            # The empty view gives it none until the others had the settling time to see it.
            self._views = [_View((), now)]
        current = self._views[-1] if self._views else None
        if current is None or current.ended is not None or current.members != members:
            if current is not None and current.ended is None:
                current.ended = now
            self._views.append(_View(members))
        self._views = [
            view for view in self._views if view.ended is None or view.ended + self._settle > now
        ]

    def share(self, instance: str, total: int) -> int:
        """Return how many of an instance's ``total`` this process may use now."""
        if not self._views:
            return 0
        return min(view.share(instance, total, self._me) for view in self._views)

    @property
    def owns_any(self) -> bool:
        """Say whether every view that binds has this process among its members."""
        return bool(self._views) and all(self._me in view.members for view in self._views)
