"""
Keys of the inner protocol
==========================

The shared keys by which processes of one deployment trust each other's messages.
"""

from __future__ import annotations

import hashlib
import hmac
import re
import stat
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

from toucanpin.exception import SettingsError

__all__ = ["PeerKeys", "load_peer_keys", "parse_peer_keys"]

MAC_SIZE = 32
MIN_SECRET = 32
_ID = re.compile(r"[a-z0-9-]{1,32}")


@dataclass(frozen=True, slots=True)
class PeerKeys:
    """
    Hold the keys of the inner protocol by id; ``current`` signs, every one of them verifies.

    Keys rotate in three steps over all processes: add the new key, make it current, drop the old.
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
        """Say whether ``mac`` is that of ``data`` under the named key."""
        expected = self.sign(key_id, data)
        return expected is not None and hmac.compare_digest(expected, mac)


def load_peer_keys(path: Path) -> PeerKeys:
    """
    Read the key file, TOML with ``current`` and a table ``keys`` of id and hexadecimal secret.

    Raises
    ------
    SettingsError
        If the file can't be used; no message holds a secret.
    """
    try:
        mode = path.stat().st_mode
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError((f"{path}: can't be read: {type(error).__name__}",)) from error
    if mode & (stat.S_IRWXG | stat.S_IRWXO):
        raise SettingsError((f"{path}: others can open it; allow its owner only (mode 0600)",))
    return parse_peer_keys(text, str(path))


def parse_peer_keys(text: str, name: str = "key file") -> PeerKeys:
    """Check the text of a key file whole and return its keys."""
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError((f"{name}: not TOML",)) from error
    faults = [f"{name}: unknown key {key}" for key in document.keys() - {"current", "keys"}]
    table = document.get("keys")
    secrets: dict[str, bytes] = {}
    for key_id, value in (table if isinstance(table, dict) else {}).items():
        secret = _parse_secret(value)
        if not _ID.fullmatch(key_id):
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
    return secret if len(secret) >= MIN_SECRET else None
