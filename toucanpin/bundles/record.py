"""
Records of accepted bundles
===========================

The rows that the table keeps of accepted bundles, and their keys.
"""

from __future__ import annotations

import msgspec
from expression import Error, Ok, Result

from toucanpin.bundles.signature import KeyRing, SignedBundle, Verified, verify_bundle
from toucanpin.decoding import decode_json
from toucanpin.exception import BundleError, MalformedError

__all__ = [
    "CURRENT_KEY",
    "BundleRecord",
    "decode_record",
    "decode_signed",
    "encode_record",
    "encode_signed",
    "make_version_key",
    "verify_record",
]

CURRENT_KEY = "bundle/current"
_VERSION_PREFIX = "bundle/version/"
_VERSION_DIGITS = 16


class BundleRecord(msgspec.Struct, frozen=True):
    """Accepted bundle, its operator and the time of its submission (seconds of the wall clock)."""

    version: int
    digest: str
    operator: str
    accepted_at: float
    signed: SignedBundle


def make_version_key(version: int) -> str:
    """Return the key of the row of an accepted version."""
    return f"{_VERSION_PREFIX}{version:0{_VERSION_DIGITS}d}"


def encode_record(record: BundleRecord) -> bytes:
    """Return the row value of a record."""
    return msgspec.json.encode(record)


def decode_record(value: bytes) -> Result[BundleRecord, BundleError]:
    """Return the unverified record of a row value."""
    try:
        return Ok(decode_json(value, BundleRecord))
    except MalformedError as error:
        return Error(BundleError((f"not a record of a bundle: {error}",)))


def verify_record(key_ring: KeyRing, record: BundleRecord) -> Result[Verified, BundleError]:
    """Verify a record's signatures, and its version and digest against its bundle."""
    match verify_bundle(key_ring, record.signed):
        case Result(tag="ok", ok=verified):
            same = (verified.bundle.version, verified.digest) == (record.version, record.digest)
            if same:
                return Ok(verified)
            return Error(BundleError(("the record names another version or digest",)))
        case Result(error=error):
            return Error(error)


def encode_signed(signed: SignedBundle) -> bytes:
    """Return a signed bundle encoded for submission and for transfer between processes."""
    return msgspec.json.encode(signed)


def decode_signed(data: bytes) -> Result[SignedBundle, BundleError]:
    """Return the unverified signed bundle of untrusted bytes."""
    try:
        return Ok(decode_json(data, SignedBundle))
    except MalformedError as error:
        return Error(BundleError((f"not a signed bundle: {error}",)))
