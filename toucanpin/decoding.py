"""
Decoding
========

Decode what another process or a person wrote; whatever the bytes are, the only error is
MalformedError.

Notes
-----
Values that are nested about 1,000 deep raise RecursionError in the decoders, also within fields
that aren't decoded, and a TOML number of thousands of digits raises ValueError.  Neither is an
error of the decoder's own, so it passes handlers that name only those, and ends the caller.  All
modules decode through this one; the linter refuses the decoders elsewhere.
"""

from __future__ import annotations

import tomllib
from typing import Annotated, Any, TypeVar

import msgspec

from toucanpin.exception import MalformedError

__all__ = ["MAX_NUMBER", "Whole", "convert", "decode_json", "decode_msgpack", "decode_toml"]

T = TypeVar("T")
# The largest whole number that every writer of JSON keeps.  JSON itself has no bound, but rows in
# MessagePack carry 64 bits, so a larger one would end whoever writes it there later.
MAX_NUMBER = 2**53
Whole = Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
_FAULTS = (msgspec.MsgspecError, ValueError, RecursionError, OverflowError)


def decode_json(value: bytes | str | msgspec.Raw, kind: type[T], strict: bool = True) -> T:
    """
    Return the value of a JSON document.

    Raises
    ------
    MalformedError
        If it isn't JSON of the type ``kind``.
    """
    try:
        return msgspec.json.decode(value, type=kind, strict=strict)
    except _FAULTS as error:
        raise MalformedError(str(error)) from error


def decode_msgpack(value: bytes, kind: type[T]) -> T:
    """
    Return the value of a MessagePack document.

    Raises
    ------
    MalformedError
        If it isn't MessagePack of the type ``kind``.
    """
    try:
        return msgspec.msgpack.decode(value, type=kind)
    except _FAULTS as error:
        raise MalformedError(str(error)) from error


def decode_toml(text: str) -> dict[str, Any]:
    """
    Return the table of a TOML document.

    Raises
    ------
    MalformedError
        If it isn't TOML.
    """
    try:
        return tomllib.loads(text)
    except _FAULTS as error:
        raise MalformedError(f"not TOML: {error}") from error


def convert(value: Any, kind: type[T]) -> T:
    """
    Return a decoded value as a type.

    Raises
    ------
    MalformedError
        If it doesn't have the type ``kind``.
    """
    try:
        return msgspec.convert(value, kind)
    except _FAULTS as error:
        raise MalformedError(str(error)) from error
