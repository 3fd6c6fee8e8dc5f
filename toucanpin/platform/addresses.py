"""
Addresses
=========

Check an address that was read, before anything relies on it.
"""

from __future__ import annotations

from ipaddress import AddressValueError, IPv4Address

from toucanpin.exception import PlatformError

__all__ = ["check_address"]

HIGHEST_PORT = 65_535


def check_address(address: str) -> str:
    """
    Return an address of the form ``10.1.0.13:8161``.

    Raises
    ------
    PlatformError
        If it names no host and port that could be connected to.
    """
    host, _, port = address.rpartition(":")
    try:
        IPv4Address(host)
    except AddressValueError as error:
        raise PlatformError(f"{address[:60]!r} is no address: {error}") from error
    if not (port.isascii() and port.isdecimal()) or not 1 <= int(port[:6]) <= HIGHEST_PORT:
        raise PlatformError(f"{address[:60]!r} has no port from 1 to {HIGHEST_PORT}")
    return address
