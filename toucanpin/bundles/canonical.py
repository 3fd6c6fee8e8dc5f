"""
Canonical bytes
===============

Encode each bundle as a unique byte sequence, which is signed, stored and compared.
"""

from __future__ import annotations

import hashlib
from typing import Any

import msgspec
from expression import Error, Ok, Result

from toucanpin.bundles.document import check_bundle
from toucanpin.bundles.schema import Bundle
from toucanpin.decoding import decode_json
from toucanpin.exception import BundleError, MalformedError

__all__ = ["decode_bundle", "digest", "encode_bundle", "is_canonical"]


def encode_bundle(bundle: Bundle) -> bytes:
    """Return the canonical bytes: JSON with sorted keys, all fields and no white space."""
    return msgspec.json.encode(bundle, order="sorted")


def is_canonical(document: bytes) -> bool:
    """Return whether bytes are canonical JSON, regardless of their fields."""
    try:
        return msgspec.json.encode(decode_json(document, Any), order="sorted") == document
    except (MalformedError, RecursionError):
        return False


def decode_bundle(document: bytes) -> Result[Bundle, BundleError]:
    """
    Return the bundle of canonical bytes after checking all of it.

    A bundle with unknown fields is refused: applying only the known ones would give neither the
    old configuration nor the new one.
    """
    if not is_canonical(document):
        return Error(BundleError(("the bytes are not canonical",)))
    try:
        bundle = decode_json(document, Bundle)
    except MalformedError as error:
        return Error(BundleError((f"the bundle doesn't fit the schema: {error}",)))
    faults = tuple(f"{f.path} is {f.value!r}; allowed: {f.allowed}" for f in check_bundle(bundle))
    return Error(BundleError(faults)) if faults else Ok(bundle)


def digest(document: bytes) -> str:
    """Return the SHA-256 digest of a document in hexadecimal digits."""
    return hashlib.sha256(document).hexdigest()
