"""
Steady time
===========

The one clock that decisions of a process use.
"""

import time

__all__ = ["steady_time"]


def steady_time() -> float:
    """
    Return the time since the machine began, in seconds.

    It counts the time for which the machine was suspended: an owner that wakes would otherwise
    think that the table has confirmed it a moment ago.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
