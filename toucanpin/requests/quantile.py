"""
Streaming quantile
==================

Estimate one quantile of a service's answer times in constant memory.
"""

from __future__ import annotations

__all__ = ["Quantile"]

RELATIVE_STEP = 0.05
WARM_UP_VALUES = 100


class Quantile:
    """
    Estimate of the ``target`` quantile, starting from the largest of the first values.

    Attempts that timed out count with the time they were given: without them the estimate would
    shrink with each timeout and cause ever more timeouts.
    """

    __slots__ = ("value", "_target", "_count")

    def __init__(self, target: float) -> None:
        self.value = 0.0
        self._target = target
        self._count = 0

    @property
    def is_warm(self) -> bool:
        """Return whether enough values were observed to rely on the estimate."""
        return self._count >= WARM_UP_VALUES

    def observe(self, value: float) -> None:
        """Move the estimate by a small step towards a value."""
        self._count += 1
        if self._count <= WARM_UP_VALUES:
            self.value = max(self.value, value)
            return
        step = self.value * RELATIVE_STEP
        if value > self.value:
            self.value += step * self._target
        else:
            self.value -= step * (1 - self._target)
