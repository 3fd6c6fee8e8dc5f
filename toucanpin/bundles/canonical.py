"""
Canonical bytes
===============

Give every bundle exactly one sequence of bytes, which is what gets signed, stored and compared.
"""

from __future__ import annotations

import hashlib

import msgspec
from expression import Error, Ok, Result

from toucanpin.bundles.document import check_bundle
from toucanpin.bundles.schema import Bundle
from toucanpin.exception import BundleError

__all__ = ["decode_bundle", "digest", "encode_bundle", "is_canonical"]


def encode_bundle(bundle: Bundle) -> bytes:
    """Return the canonical bytes: JSON with sorted keys, every field and no blanks."""
    return msgspec.json.encode(bundle, order="sorted")


def is_canonical(document: bytes) -> bool:
    """Say whether bytes are canonical, whatever fields they hold."""
    try:
        return msgspec.json.encode(msgspec.json.decode(document), order="sorted") == document
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return False


def decode_bundle(document: bytes) -> Result[Bundle, BundleError]:
    """
    Return the bundle of canonical bytes, checked whole.

    A bundle with fields that this process doesn't know is refused: a part of it in force would
    be neither the old configuration nor the new one.
    """
    if not is_canonical(document):
        return Error(BundleError(("the bytes are not canonical",)))
    try:
        bundle = msgspec.json.decode(document, type=Bundle)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Error(BundleError((f"the bundle doesn't fit the schema: {error}",)))
    faults = tuple(f"{f.path} is {f.value!r}; allowed: {f.allowed}" for f in check_bundle(bundle))
    return Error(BundleError(faults)) if faults else Ok(bundle)


def digest(document: bytes) -> str:
    """Return the name of a document's bytes: SHA-256 in hexadecimal digits."""
    return hashlib.sha256(document).hexdigest()
