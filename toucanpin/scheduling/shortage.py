"""
Shortage
========

Remember for one round of placing what found no room.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from toucanpin.scheduling.job import Step

__all__ = ["Demand", "Shortage"]


@dataclass(frozen=True, slots=True)
class Demand:
    """Hold what a task asks for; ``spares_reserve`` says that it leaves reserved cores free."""

    cpu: int
    memory: int
    accelerators: int
    spares_reserve: bool = False

    @classmethod
    def of(cls, step: Step, spares_reserve: bool = False) -> Demand:
        """Return what a task of a step asks for."""
        cpu = 0 if step.best_effort else step.cpu
        return cls(cpu, step.memory, step.accelerators, spares_reserve)

    def required_cpu(self, reserved: int) -> int:
        """Return the cores that have to be free on a worker with so many reserved ones."""
        return self.cpu + reserved if self.spares_reserve else self.cpu

    def is_within(self, other: Demand) -> bool:
        """Tell whether another demand is at least as large in everything."""
        return (
            self.cpu <= other.cpu
            and self.memory <= other.memory
            and self.accelerators <= other.accelerators
            and self.spares_reserve <= other.spares_reserve
        )


@dataclass(slots=True)
class Shortage:
    """
    Hold the demands for which no worker has room.

    Steps come by priority, and within a round room is only taken, so what one of them didn't find
    none finds that comes later and asks for as much.  Without this each step that waits would look
    at each worker, in each turn.
    """

    _known: list[Demand] = field(default_factory=list)

    def covers(self, demand: Demand) -> bool:
        """Tell whether a demand that is no larger found no room."""
        return any(known.is_within(demand) for known in self._known)

    def note(self, demand: Demand) -> None:
        """Remember a demand that found no room."""
        self._known = [known for known in self._known if not demand.is_within(known)]
        self._known.append(demand)
