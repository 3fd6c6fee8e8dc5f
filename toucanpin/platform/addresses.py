"""
Addresses
=========

Validate addresses that come from outside the process.
"""

from __future__ import annotations

from ipaddress import AddressValueError, IPv4Address

from toucanpin.exception import PlatformError

__all__ = ["MAX_PORT", "check_address", "is_port"]

MAX_PORT = 65_535


def check_address(address: str) -> str:
    """
    Return ``address`` if it is an IPv4 address with a port, such as ``10.1.0.13:8161``.

    Raises
    ------
    PlatformError
        If the address or the port is invalid.
    """
    host, _, port = address.rpartition(":")
    try:
        IPv4Address(host)
    except AddressValueError as error:
        raise PlatformError(f"{address[:60]!r} is not an IPv4 address: {error}") from error
    if not is_port(port):
        raise PlatformError(f"{address[:60]!r} has no port from 1 to {MAX_PORT}")
    return address


def is_port(text: str) -> bool:
    """Return whether ``text`` is a port number."""
    # Numbers of thousands of digits can't be converted.
    return text.isascii() and text.isdecimal() and 1 <= int(text[:6]) <= MAX_PORT
