"""
Networks
========

Loopback networks for runs of the soak that go on at the same time.
"""

from __future__ import annotations

import fcntl
import tempfile
from pathlib import Path
from typing import IO

__all__ = ["take_network"]

NETWORK_NUMBERS = range(1, 200)  # third octet of 127.*.x.y, one for each concurrent run
LOCK_DIRECTORY = Path(tempfile.gettempdir())


def take_network() -> tuple[IO[str], int]:
    """Return the lock and the number of a network that no other run on this machine uses."""
    for number in NETWORK_NUMBERS:
        lock = (LOCK_DIRECTORY / f"toucanpin-soak-{number}.lock").open("w")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            lock.close()
            continue
        return lock, number
    raise OSError(f"all {len(NETWORK_NUMBERS)} loopback networks are in use by other soak runs")
