"""
Private keys of operators
=========================

Create and read the Ed25519 key files with which operators sign.
"""

from __future__ import annotations

import os
import re
import stat
from dataclasses import dataclass, field
from pathlib import Path

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from expression import Error, Ok, Result

from toucanpin.decoding import decode_toml
from toucanpin.exception import MalformedError

__all__ = ["PrivateKey", "create_key", "load_key", "encode_public_key"]

OWNER_ONLY_MODE = 0o600
_KEY_ID_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")


@dataclass(frozen=True, slots=True)
class PrivateKey:
    """Private key and its id in key rings."""

    id: str
    key: Ed25519PrivateKey = field(repr=False)


def create_key(key_id: str, path: Path) -> Result[PrivateKey, str]:
    """Write a new private key to a new file that only its owner can access."""
    if not _KEY_ID_PATTERN.fullmatch(key_id):
        return Error(f"key id {key_id!r}: allowed are 1 to 63 of a-z, 0-9, '.', '_' and '-'")
    key = Ed25519PrivateKey.generate()
    text = f'id = "{key_id}"\nprivate = "{key.private_bytes_raw().hex()}"\n'
    try:
        # The mode is set at creation: with a later chmod others could open the file in between.
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, OWNER_ONLY_MODE)
        with os.fdopen(descriptor, "w", encoding="utf-8") as file:
            file.write(text)
    except OSError as error:
        return Error(f"{path}: {error.strerror}")
    return Ok(PrivateKey(key_id, key))


def load_key(path: Path) -> Result[PrivateKey, str]:
    """Read a private key; errors never contain any of the file's content."""
    try:
        mode = path.stat().st_mode
        if mode & (stat.S_IRWXG | stat.S_IRWXO):
            return Error(f"{path}: accessible to group or others; set its mode to 0600")
        document = decode_toml(path.read_text(encoding="utf-8"))
        key = Ed25519PrivateKey.from_private_bytes(bytes.fromhex(document["private"]))
        key_id = document["id"]
    except OSError as error:
        return Error(f"{path}: {error.strerror}")
    except (MalformedError, KeyError, TypeError, ValueError):
        return Error(f"{path}: not a private key file, as 'bundle keys new' writes it")
    if not isinstance(key_id, str) or not _KEY_ID_PATTERN.fullmatch(key_id):
        return Error(f"{path}: invalid key id; allowed are 1 to 63 of a-z, 0-9, '.', '_' and '-'")
    return Ok(PrivateKey(key_id, key))


def encode_public_key(key: PrivateKey) -> str:
    """Return the public key in hexadecimal, as in key rings."""
    return key.key.public_key().public_bytes_raw().hex()
