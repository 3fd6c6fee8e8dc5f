"""
Endpoints
=========

The address and port of a listener or a peer, given as an IP address because the platform
prescribes it.
"""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass

__all__ = ["Endpoint", "parse_endpoint"]

MAX_PORT = 65_535


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A TCP or UDP port at an IPv4 address."""

    address: str
    port: int

    def __str__(self) -> str:
        """Return the endpoint as it is written in settings."""
        return f"{self.address}:{self.port}"


def parse_endpoint(text: str) -> Endpoint:
    """
    Parse ``IP:port``.

    Raises
    ------
    ValueError
        If the address is not an IPv4 address or the port is not between 1 and 65535.
    """
    address, _, port = text.rpartition(":")
    ipaddress.IPv4Address(address)
    if not port.isdigit() or not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f"port {port!r} is not between 1 and {MAX_PORT}")
    return Endpoint(address, int(port))
