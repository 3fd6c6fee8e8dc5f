"""
Sweeper
=======

The thread that deletes the expired claim rows of this process's partitions at a low, even rate.
"""

from __future__ import annotations

import secrets
import threading
import time
from collections.abc import Callable
from typing import Any

import logbook

from toucanpin.daemon.interfaces import MembershipView
from toucanpin.membership.member import Standing
from toucanpin.platform.ports import Table
from toucanpin.requests.claims import Commit
from toucanpin.requests.sweeps import (
    Scan,
    VersionAges,
    compute_sweep_interval,
    list_partitions,
    sweep_partition,
)

__all__ = ["Sweeper"]

JOIN_TIMEOUT_S = 2.0

log = logbook.Logger("toucanpin.claims")


class Sweeper:
    """Thread that deletes the expired claims of this process's partitions."""

    def __init__(
        self,
        table: Table,
        name: str,
        members: MembershipView,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._table = table
        self._name = name
        self._members = members
        self._clock = clock
        self._ages = VersionAges()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="sweeper", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread."""
        self._stopped.set()
        self._thread.join(JOIN_TIMEOUT_S)

    def sweep(self, prefix: str) -> int:
        """Sweep one partition and return the number of deleted rows."""
        steps = sweep_partition(prefix, self._ages, self._clock, self._make_token)
        reply: Any = None
        while True:
            try:
                action = steps.send(reply)
            except StopIteration as end:
                return int(end.value)
            match action:
                case Scan(prefix=wanted):
                    reply = self._table.scan(wanted)
                case Commit(transaction=transaction):
                    reply = self._table.commit(transaction)

    def _make_token(self) -> str:
        return f"{self._name}:sweep:{secrets.token_hex(8)}"

    def _run(self) -> None:
        while True:
            prefixes = list_partitions(self._list_members(), self._name)
            pause = compute_sweep_interval(len(prefixes))
            for prefix in prefixes or ("",):
                if self._stopped.wait(pause):
                    return
                self._sweep_or_log(prefix)

    def _sweep_or_log(self, prefix: str) -> None:
        """Sweep a partition, if any; after a failure it is left for the next round."""
        try:
            if prefix:
                self.sweep(prefix)
        except Exception:
            log.exception("failed to sweep expired claims with prefix {}", prefix)

    def _list_members(self) -> tuple[str, ...]:
        return tuple(
            member.name
            for member in self._members.members()
            if member.role == "request" and member.standing is Standing.ALIVE
        )
