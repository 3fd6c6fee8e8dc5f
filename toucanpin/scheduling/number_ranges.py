"""
Ranges of numbers
=================

Keep a set of numbers as sorted ranges, whose size follows from the gaps and not from the numbers.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable

__all__ = [
    "Ranges",
    "add_number",
    "append_range",
    "count_numbers",
    "find_first_missing",
    "list_numbers",
]

Ranges = list[tuple[int, int]]  # first and last number of each, in order and with gaps between


def add_number(ranges: Ranges, number: int) -> None:
    """Add a number to sorted ranges, in place."""
    place = bisect_right(ranges, number, key=_get_first)
    before = ranges[place - 1] if place else None
    after = ranges[place] if place < len(ranges) else None
    if before is not None and number <= before[1]:
        return
    joins_before = before is not None and before[1] + 1 == number
    joins_after = after is not None and after[0] == number + 1
    first = before[0] if before is not None and joins_before else number
    last = after[1] if after is not None and joins_after else number
    ranges[place - joins_before : place + joins_after] = [(first, last)]


def append_range(ranges: Ranges, first: int, last: int) -> None:
    """Add a range that begins after the beginning of all others, in place; none if it is empty."""
    if first > last:
        return
    if ranges and first <= ranges[-1][1] + 1:
        ranges[-1] = (ranges[-1][0], max(ranges[-1][1], last))
    else:
        ranges.append((first, last))


def count_numbers(ranges: Ranges) -> int:
    """Return how many numbers sorted ranges have."""
    return sum(last - first + 1 for first, last in ranges)


def find_first_missing(ranges: Ranges, start: int) -> int:
    """Return the smallest number from ``start`` on that isn't in sorted ranges."""
    place = bisect_right(ranges, start, key=_get_first)
    if place and start <= ranges[place - 1][1]:
        return ranges[place - 1][1] + 1
    return start


def list_numbers(ranges: Ranges) -> Iterable[int]:
    """Yield the numbers of sorted ranges."""
    for first, last in ranges:
        yield from range(first, last + 1)


def _get_first(numbers: tuple[int, int]) -> int:
    return numbers[0]
