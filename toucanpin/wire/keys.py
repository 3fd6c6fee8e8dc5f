"""
Keys of the inner protocol
==========================

Shared keys that authenticate messages between the processes of a deployment.
"""

from __future__ import annotations

import hashlib
import hmac
import re
import stat
from dataclasses import dataclass, field
from pathlib import Path

from toucanpin.decoding import decode_toml
from toucanpin.exception import MalformedError, SettingsError

__all__ = ["PeerKeys", "load_peer_keys", "parse_peer_keys"]

MAC_BYTES = 32
MIN_SECRET_BYTES = 32
_KEY_ID = re.compile(r"[a-z0-9-]{1,32}")


@dataclass(frozen=True, slots=True)
class PeerKeys:
    """
    Keys by id; ``current`` is used to sign, and all of them to verify.

    To rotate keys, complete each of three steps on all processes before the next: add the new key,
    make it current, remove the old one.
    """

    current: str
    secrets: dict[str, bytes] = field(repr=False)

    def sign(self, key_id: str, data: bytes) -> bytes | None:
        """Return the MAC of ``data`` under the named key, None if there is no such key."""
        secret = self.secrets.get(key_id)
        if secret is None:
            return None
        return hmac.digest(secret, data, hashlib.sha256)

    def verify(self, key_id: str, data: bytes, mac: bytes) -> bool:
        """Return whether ``mac`` is the MAC of ``data`` under the named key."""
        expected = self.sign(key_id, data)
        return expected is not None and hmac.compare_digest(expected, mac)


def load_peer_keys(path: Path) -> PeerKeys:
    """
    Return the keys in a TOML file with ``current`` and a table ``keys`` of hexadecimal secrets.

    Raises
    ------
    SettingsError
        If the file is invalid or accessible to others; the messages contain no secret.
    """
    try:
        mode = path.stat().st_mode
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError((f"{path}: can't be read: {type(error).__name__}",)) from error
    if mode & (stat.S_IRWXG | stat.S_IRWXO):
        raise SettingsError((f"{path}: accessible to group or others; set its mode to 0600",))
    return parse_peer_keys(text, str(path))


def parse_peer_keys(text: str, name: str = "key file") -> PeerKeys:
    """
    Return the keys in the text of a key file.

    Raises
    ------
    SettingsError
        If the text is invalid; lists all faults, and contains no secret.
    """
    try:
        document = decode_toml(text)
    except MalformedError as error:
        raise SettingsError((f"{name}: not TOML",)) from error
    faults = [f"{name}: unknown key {key}" for key in document.keys() - {"current", "keys"}]
    table = document.get("keys")
    secrets: dict[str, bytes] = {}
    for key_id, value in (table if isinstance(table, dict) else {}).items():
        secret = _parse_secret(value)
        if not _KEY_ID.fullmatch(key_id):
            faults.append(f"{name}: key id {key_id!r}: allowed are 1 to 32 of a-z, 0-9 and -")
        elif secret is None:
            faults.append(f"{name}: keys.{key_id}: allowed is a secret of 64 hexadecimal digits")
        else:
            secrets[key_id] = secret
    current = document.get("current")
    if not isinstance(current, str) or current not in secrets:
        faults.append(f"{name}: current: allowed is the id of one of the keys")
    if faults:
        raise SettingsError(tuple(faults))
    return PeerKeys(str(current), secrets)


def _parse_secret(value: object) -> bytes | None:
    if not isinstance(value, str):
        return None
    try:
        secret = bytes.fromhex(value)
    except ValueError:
        return None
    return secret if len(secret) >= MIN_SECRET_BYTES else None
