"""
Rows of progress
================

Store the progress of a job in rows that the table accepts.

Notes
-----
A row has a bounded size, and an owner whose row is refused can write nothing else either, as can no
owner after it.  The progress of thousands of tasks may need more: it is compressed and split into
pieces then, which are written together.  Its first row tells the job's state, for those who don't
schedule, and the number of pieces.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Sequence

import msgspec

from toucanpin.decoding import decode_msgpack
from toucanpin.exception import MalformedError
from toucanpin.scheduling.number_ranges import (
    Ranges,
    append_range,
    count_numbers,
    list_numbers,
)
from toucanpin.scheduling.progress import JobState, Progress, TaskRecord

__all__ = [
    "decode_progress",
    "decode_state",
    "encode_progress",
    "encode_rows",
    "find_max_value",
    "list_piece_keys",
    "split_key",
]

MAX_VALUE_SHARE = 0.7  # of a row, as base64 makes a value a third larger
MAX_PROGRESS_BYTES = 64_000_000  # once decompressed
MAX_LISTED_OCCURRENCES = 500  # one by one
COMPRESSION_LEVEL = 1  # owners write several times a second
# In place of what is in the pieces.  Earlier builds can't read it; they would begin the job anew.
_UNREADABLE = (0, -1)


class _Row(msgspec.Struct, array_like=True, omit_defaults=True):
    """
    First row of a job's progress.

    Few ended occurrences are listed one by one, as earlier builds read them; these don't start a
    job of which ranges have ended.
    """

    state: int
    ended: int
    ended_occurrences: list[int | tuple[int, int]]
    tasks: dict[int, list[TaskRecord]]
    pieces: int = 0  # further rows, which hold the whole progress


def encode_rows(job: str, progress: Progress, max_row: int) -> dict[str, bytes]:
    """Return the rows of a job's progress by key; ``max_row`` is the size of a row in bytes."""
    size = find_max_value(max_row)
    value = encode_progress(progress)
    if len(value) <= size:
        return {job: value}
    packed = zlib.compress(value, COMPRESSION_LEVEL)
    pieces = [packed[start : start + size] for start in range(0, len(packed), size)]
    first = _Row(progress.state, progress.ended, [_UNREADABLE], {}, len(pieces))
    keys = list_piece_keys(job, len(pieces))
    return {job: msgspec.msgpack.encode(first), **dict(zip(keys, pieces, strict=True))}


def find_max_value(max_row: int) -> int:
    """Return how many bytes a value may have in a row of ``max_row`` bytes."""
    return int(MAX_VALUE_SHARE * max_row)


def encode_progress(progress: Progress) -> bytes:
    """Return a job's progress as one value, whatever its size."""
    ranges = progress.ended_occurrences
    few = count_numbers(ranges) <= MAX_LISTED_OCCURRENCES
    ended: list[int | tuple[int, int]] = [*list_numbers(ranges)] if few else [*ranges]
    return msgspec.msgpack.encode(_Row(progress.state, progress.ended, ended, progress.tasks))


def decode_progress(value: bytes, pieces: Sequence[bytes] = ()) -> Progress:
    """
    Decode a job's progress from its first row and its pieces in order.

    Raises
    ------
    MalformedError
        If a row can't be decoded or pieces are missing.
    """
    row = decode_msgpack(value, _Row)
    if row.pieces:
        if len(pieces) != row.pieces:
            raise MalformedError(f"progress of {row.pieces} pieces has {len(pieces)}")
        row = decode_msgpack(_decompress(b"".join(pieces)), _Row)
    ranges: Ranges = []
    for first, last in sorted(_to_range(it) for it in row.ended_occurrences):
        append_range(ranges, first, last)
    return Progress(row.state, row.ended, ranges, row.tasks)


def decode_state(value: bytes) -> JobState:
    """Decode a job's state from the first row of its progress."""
    state = decode_msgpack(value, _Row).state
    if state not in set(JobState):
        raise MalformedError(f"{state} is not a state of a job")
    return JobState(state)


def list_piece_keys(job: str, count: int, start: int = 0) -> Iterable[str]:
    """Return the keys of a job's pieces from ``start`` up to ``count``."""
    return [f"{job}/{number:03}" for number in range(start, count)]


def split_key(key: str) -> tuple[str, bool]:
    """Return the job of a key, and whether the row is a piece."""
    job, slash, _ = key.partition("/")
    return job, bool(slash)


def _decompress(packed: bytes) -> bytes:
    unpacking = zlib.decompressobj()
    try:
        value = unpacking.decompress(packed, MAX_PROGRESS_BYTES)
    except zlib.error as error:
        raise MalformedError(f"progress can't be decompressed: {error}") from error
    if not unpacking.eof:
        raise MalformedError(f"progress is cut off or larger than {MAX_PROGRESS_BYTES} bytes")
    return value


def _to_range(numbers: int | tuple[int, int]) -> tuple[int, int]:
    return (numbers, numbers) if isinstance(numbers, int) else numbers
