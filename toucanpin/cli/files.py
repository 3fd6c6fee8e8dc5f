"""
Files of bundles and keys
=========================

Read bundles, key rings and private keys, or exit with an error message.
"""

from __future__ import annotations

from pathlib import Path
from typing import TypeVar

import click
from expression import Result

from toucanpin.bundles.canonical import decode_bundle, encode_bundle
from toucanpin.bundles.document import parse_bundle
from toucanpin.bundles.record import decode_signed
from toucanpin.bundles.schema import Bundle
from toucanpin.bundles.signature import KeyRing, SignedBundle, SignedRing, parse_ring
from toucanpin.cli.exits import ExitCode
from toucanpin.cli.http import fail, read
from toucanpin.cli.keys import PrivateKey, load_key
from toucanpin.daemon.bundles import BundleStatus
from toucanpin.decoding import decode_json
from toucanpin.exception import BundleError, MalformedError

__all__ = [
    "existing_file",
    "read_bundle",
    "read_current",
    "read_key",
    "read_ring",
    "read_signed",
    "read_signed_ring",
    "read_for_signing",
    "unpack_bundle",
]

Value = TypeVar("Value")

existing_file = click.Path(exists=True, dir_okay=False, path_type=Path)


def read_bundle(path: Path) -> Bundle:
    """Read a bundle's TOML file."""
    return _unwrap(parse_bundle(_read_text(path), str(path)))


def read_ring(path: Path) -> KeyRing:
    """Read a key ring's TOML file."""
    return _unwrap(parse_ring(_read_text(path), str(path)))


def read_signed(path: Path) -> SignedBundle:
    """Read a signed bundle."""
    return _unwrap(decode_signed(path.read_bytes()))


def read_for_signing(path: Path) -> SignedBundle:
    """Read a bundle's TOML file, or a signed bundle that needs another signature."""
    if path.suffix == ".toml":
        return SignedBundle(encode_bundle(read_bundle(path)), ())
    return read_signed(path)


def read_signed_ring(path: Path) -> SignedRing:
    """Read a signed key ring."""
    try:
        return decode_json(path.read_bytes(), SignedRing)
    except MalformedError as error:
        fail(f"{path}: not a signed key ring: {error}", ExitCode.REFUSED)


def read_key(path: Path) -> PrivateKey:
    """Read a private key."""
    loaded = load_key(path)
    if loaded.is_error():
        fail(loaded.error, ExitCode.REFUSED)
    return loaded.ok


def read_current(url: str) -> SignedBundle | None:
    """Return the signed bundle in force according to a process, or None."""
    status = read(f"{url}/v1/bundle", BundleStatus)
    return None if status.record is None else status.record.signed


def unpack_bundle(signed: SignedBundle | None) -> Bundle | None:
    """Decode the bundle of a signed bundle, if there is one."""
    return None if signed is None else _unwrap(decode_bundle(signed.document))


def _read_text(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except UnicodeDecodeError:
        fail(f"{path}: not valid UTF-8", ExitCode.REFUSED)


def _unwrap(result: Result[Value, BundleError]) -> Value:
    if result.is_error():
        fail(str(result.error), ExitCode.REFUSED)
    return result.ok
