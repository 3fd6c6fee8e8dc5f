"""
Unmet demands
=============

Record the demands that could not be met in one round of placement.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from toucanpin.scheduling.job import Step

__all__ = ["Demand", "Shortage"]


@dataclass(frozen=True, slots=True)
class Demand:
    """
    Resources that a task requires; with ``spares_reserve``, beside the reserved cores.

    ``count`` tasks of this size have to fit at once, on workers with the label if there is one.
    """

    cpu: int
    memory: int
    accelerators: int
    spares_reserve: bool = False
    count: int = 1
    label: str = ""

    @classmethod
    def of(cls, step: Step, spares_reserve: bool = False, count: int = 1) -> Demand:
        """Return the demand of tasks of a step."""
        cpu = 0 if step.best_effort else step.cpu
        return cls(cpu, step.memory, step.accelerators, spares_reserve, count, step.label)

    def with_any_size(self, cpu: int) -> Demand:
        """Return the demand of a task that requests these cores and nothing else."""
        return replace(self, cpu=cpu, memory=0, accelerators=0)

    def required_cpu(self, reserved: int) -> int:
        """Return the cores that have to be free on a worker with ``reserved`` cores reserved."""
        return self.cpu + reserved if self.spares_reserve else self.cpu

    def is_within(self, other: Demand) -> bool:
        """Return whether another demand is met only if this one is."""
        return (
            self.cpu <= other.cpu
            and self.memory <= other.memory
            and self.accelerators <= other.accelerators
            and self.spares_reserve <= other.spares_reserve
            and self.count <= other.count
            and self.label in ("", other.label)
        )


@dataclass(slots=True)
class Shortage:
    """
    Demands that no worker can meet.

    Free resources only shrink within a round, so a demand that one step could not place fails for
    all later steps too.  Otherwise each waiting step would check each worker in each turn.
    """

    _known: list[Demand] = field(default_factory=list)

    def covers(self, demand: Demand) -> bool:
        """Return whether a demand of at most this size could not be met."""
        return any(known.is_within(demand) for known in self._known)

    def record(self, demand: Demand) -> None:
        """Record a demand that could not be met."""
        self._known = [known for known in self._known if not demand.is_within(known)]
        self._known.append(demand)
