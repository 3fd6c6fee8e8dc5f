"""
Structure of a thrift payload
=============================

Validate lengths, types and nesting of a binary Thrift payload before the compiled decoder reads it.

Notes
-----
The compiled decoder doesn't validate its input.  A read past the end returns uninitialized bytes
without an error, so a truncated payload would decode to wrong values.  A list whose element type
takes no bytes is iterated over for as many as 2^31 claimed elements, so a corrupt payload would
hang the thread while it holds the interpreter lock.  After this check every length lies within the
payload and every element takes at least one byte, so the decoder's work is bounded by the size of
the payload.
"""

from __future__ import annotations

import struct

from toucanpin.exception import WireError

__all__ = ["check_struct"]

STOP = 0
STRING = 11
STRUCT = 12
MAP = 13
SET = 14
LIST = 15
FIXED_SIZES = {2: 1, 3: 1, 4: 8, 6: 2, 8: 4, 10: 8}
MAX_DEPTH = 16

_LENGTH = struct.Struct(">i")
_FIELD_HEADER = 3


def check_struct(data: bytes, start: int = 0, depth: int = MAX_DEPTH) -> int:
    """
    Return the offset after the struct at ``start``.

    Raises
    ------
    WireError
        If the struct is truncated, nested too deeply or has an invalid type or length.
    """
    try:
        return _skip_struct(data, start, depth)
    except (IndexError, struct.error) as error:
        raise WireError("payload ends within a value") from error


def _skip_struct(data: bytes, at: int, depth: int) -> int:
    if depth <= 0:
        raise WireError("payload nests too deeply")
    while (kind := data[at]) != STOP:
        size = FIXED_SIZES.get(kind)
        at += _FIELD_HEADER
        if size is None:
            at = _skip(data, at, kind, depth)
        else:
            at += size
    return at + 1


def _skip(data: bytes, at: int, kind: int, depth: int) -> int:
    if kind in FIXED_SIZES:
        return at + FIXED_SIZES[kind]
    match kind:
        case 11:
            return at + _LENGTH.size + _read_length(data, at)
        case 12:
            return _skip_struct(data, at, depth - 1)
        case 13:
            return _skip_elements(data, at + 2, (data[at], data[at + 1]), depth - 1)
        case 14 | 15:
            return _skip_elements(data, at + 1, (data[at],), depth - 1)
    raise WireError(f"payload holds a value of unknown type {kind}")


def _read_length(data: bytes, at: int) -> int:
    (length,) = _LENGTH.unpack_from(data, at)
    if not 0 <= length <= len(data) - at - _LENGTH.size:
        raise WireError(f"payload has an invalid length of {length}")
    return length


def _skip_elements(data: bytes, at: int, kinds: tuple[int, ...], depth: int) -> int:
    if depth <= 0:
        raise WireError("payload nests too deeply")
    count = _read_length(data, at)
    at += _LENGTH.size
    if all(kind in FIXED_SIZES for kind in kinds):
        return at + count * sum(FIXED_SIZES[kind] for kind in kinds)
    for _ in range(count):
        for kind in kinds:
            at = _skip(data, at, kind, depth)
    return at
