"""
Quantile of a stream
====================

Follows one quantile of a service's answer times with two numbers, however many answers come.
"""

from __future__ import annotations

__all__ = ["Quantile"]

STEP_SHARE = 0.05
FIRST_VALUES = 100


class Quantile:
    """
    Estimate the ``target`` quantile, starting from the longest of the first values.

    Attempts that were cut count with the time they had: left out, the estimate would shrink with
    each cut and cut ever more.
    """

    __slots__ = ("value", "_target", "_seen")

    def __init__(self, target: float) -> None:
        self.value = 0.0
        self._target = target
        self._seen = 0

    @property
    def known(self) -> bool:
        """Say whether enough values were seen to act on the estimate."""
        return self._seen >= FIRST_VALUES

    def observe(self, value: float) -> None:
        """Move the estimate a small step towards a value."""
        self._seen += 1
        if self._seen <= FIRST_VALUES:
            self.value = max(self.value, value)
            return
        step = self.value * STEP_SHARE
        if value > self.value:
            self.value += step * self._target
        else:
            self.value -= step * (1 - self._target)
