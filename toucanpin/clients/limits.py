"""
Limits of listeners
===================

Divide a host's memory and descriptors between its own work and the clients of each listener.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = [
    "BASE_BYTES",
    "RECEIVE_BUFFER_BYTES",
    "UNLIMITED",
    "Limits",
    "ListenerLimits",
    "divide_limits",
]

RECEIVE_BUFFER_BYTES = 16_384  # of the kernel, for one connection
BASE_BYTES = 16_384  # that each connection may hold: a head, a small body, answers
# The kernel's buffer, what a connection may hold, and input that waits for its turn.
CONNECTION_BYTES = RECEIVE_BUFFER_BYTES + BASE_BYTES + 16_384
BYTES_PER_MB = 1_000_000
OWN_BYTES = 64 * BYTES_PER_MB  # of a process without clients that owns no large cell
CLIENT_BYTES_SHARE = 1 / 2  # of what is left; the other half is for the state of large cells
MIN_CLIENT_BYTES = 4 * BYTES_PER_MB
FILE_DESCRIPTORS = 200  # of a process, which the platform reserves for files
CLIENT_DESCRIPTORS_SHARE = 1 / 3  # the rest is for the store's calls for them, workers and peers
# Each listener has a part of its own: a crowd on one of them can't silence the probes of another.
READINESS_SHARE = 1 / 32
METRICS_SHARE = 1 / 32
PEERS_SHARE = 1 / 4
MIN_CONNECTIONS = 4


@dataclass(frozen=True, slots=True)
class Limits:
    """
    Limits of one listener's clients.

    ``held`` is in bytes for all connections together, without BASE_BYTES of each.
    """

    connections: int
    held: int


UNLIMITED = Limits(1 << 31, 1 << 62)  # for clients that are trusted


@dataclass(frozen=True, slots=True)
class ListenerLimits:
    """Limits of the listeners of an entry host."""

    front: Limits
    readiness: Limits
    metrics: Limits
    peers: Limits


def divide_limits(memory_mb: float, descriptors: float) -> ListenerLimits:
    """Return the limits of all listeners for a process's memory in MB and its descriptors."""
    available = CLIENT_BYTES_SHARE * (memory_mb * BYTES_PER_MB - OWN_BYTES)
    total = max(MIN_CLIENT_BYTES, available)
    connections = min(
        CLIENT_DESCRIPTORS_SHARE * (descriptors - FILE_DESCRIPTORS),
        total / 2 / CONNECTION_BYTES,
    )
    held = total - connections * CONNECTION_BYTES

    def take(share: float) -> Limits:
        return Limits(max(MIN_CONNECTIONS, int(share * connections)), int(share * held))

    front = 1 - READINESS_SHARE - METRICS_SHARE - PEERS_SHARE
    return ListenerLimits(
        take(front), take(READINESS_SHARE), take(METRICS_SHARE), take(PEERS_SHARE)
    )
