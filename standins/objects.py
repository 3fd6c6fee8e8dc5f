"""
Core of the object store stand-in
=================================
"""

from __future__ import annotations

from dataclasses import dataclass

from sortedcontainers import SortedDict

__all__ = ["ObjectCounts", "ObjectsCore"]


@dataclass(slots=True)
class ObjectCounts:
    """Numbers of operations of the object store."""

    reads: int = 0
    writes: int = 0


class ObjectsCore:
    """An object store in memory."""

    def __init__(self) -> None:
        self.counts = ObjectCounts()
        self._bodies: SortedDict[str, bytes] = SortedDict()

    def put(self, name: str, body: bytes) -> None:
        """Store an object."""
        self.counts.writes += 1
        self._bodies[name] = body

    def get(self, name: str) -> bytes | None:
        """Return an object, None if it does not exist."""
        self.counts.reads += 1
        return self._bodies.get(name)

    def names(self, prefix: str) -> tuple[str, ...]:
        """Return the object names with a prefix."""
        self.counts.reads += 1
        return tuple(name for name in self._bodies if name.startswith(prefix))
