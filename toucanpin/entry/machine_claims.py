"""
Claims of machines in the table
===============================

Claim machines for the owner of a cell before it sends orders for them.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from toucanpin.decoding import decode_msgpack
from toucanpin.entry.clocks import Clocks
from toucanpin.entry.row_reader import RowReader
from toucanpin.entry.tables import MACHINES_TABLE
from toucanpin.platform.store import Committed, ExpectedVersion, Put, Row, Store
from toucanpin.scheduling.cell import Cell
from toucanpin.scheduling.machine_claims import (
    ClaimState,
    MachineClaim,
    assess_claim,
    is_usable,
    renew_claim,
)

__all__ = ["MAX_CLAIMED_AT_ONCE", "MachineClaims"]

MAX_CLAIMED_AT_ONCE = 20  # a transaction holds two entries for each, and 100 at most
MAX_TRIES = 2  # the first one may only show the present rows
RENEWAL_SHARE = 0.5  # of a claim's lease, after which it is renewed


@dataclass(frozen=True, slots=True)
class _Known:
    """A machine's row as last seen; without a claim it doesn't exist, and ``version`` is 0."""

    claim: MachineClaim | None = None
    version: int = 0


class MachineClaims:
    """The claims of one owner of a cell, as far as it knows them."""

    __slots__ = ("_cell", "_clocks", "_known", "_lease_ms", "_reader", "_store")

    def __init__(self, store: Store, cell: Cell, clocks: Clocks, lease: float) -> None:
        self._store = store
        self._cell = cell
        self._clocks = clocks
        self._lease_ms = int(lease * 1_000)
        self._reader = RowReader()
        self._known: dict[str, _Known] = {}

    def find_token(self, machine: str) -> int:
        """Return the fencing token of orders for a machine, 0 if none may be sent now."""
        claim = self._find(machine).claim
        if claim is None or self._assess(machine) is not ClaimState.HELD:
            return 0
        return claim.token

    async def acquire(self, machines: Iterable[str]) -> set[str]:
        """
        Claim machines as far as they are free; return those for which orders may be sent.

        At most ``MAX_CLAIMED_AT_ONCE`` are claimed; later calls claim the others.

        Raises
        ------
        CallError
            If the outcome is unknown.  Claims that were written nevertheless are found later.
        """
        names = list(dict.fromkeys(machines))
        for _ in range(MAX_TRIES):
            due = [name for name in names if self._is_due(name)]
            if not due or await self._write(due[:MAX_CLAIMED_AT_ONCE]):
                break
        return {name for name in names if self._assess(name) is ClaimState.HELD}

    def _is_due(self, machine: str) -> bool:
        """Return whether a machine's claim is to be written, for the first time or again."""
        claim = self._find(machine).claim
        match self._assess(machine):
            case ClaimState.AVAILABLE:
                return True
            case ClaimState.HELD if claim is not None:
                lease_ms = int(self._lease_ms * RENEWAL_SHARE)
                return not is_usable(claim, lease_ms, self._clocks.now().table)
        return False

    def _assess(self, machine: str) -> ClaimState:
        claim = self._find(machine).claim
        now = self._clocks.now().table
        return assess_claim(claim, self._cell.name, self._cell.token, self._lease_ms, now)

    async def _write(self, machines: list[str]) -> bool:
        """Write claims of machines; return whether that was done."""
        now = self._clocks.now().table
        known = [self._find(name) for name in machines]
        claims = [renew_claim(it.claim, self._cell.name, self._cell.token, now) for it in known]
        expected = [
            ExpectedVersion(MACHINES_TABLE, name, it.version)
            for name, it in zip(machines, known, strict=True)
        ]
        puts = [
            Put(MACHINES_TABLE, name, msgspec.msgpack.encode(claim))
            for name, claim in zip(machines, claims, strict=True)
        ]
        result = await self._store.transact("", expected, puts)
        if isinstance(result, Committed):
            for name, claim in zip(machines, claims, strict=True):
                self._known[name] = _Known(claim, result.version)
            return True
        for row in result.rows:
            self._known[row.key] = self._read(row)
        return False

    def _read(self, row: Row) -> _Known:
        if not row.version or row.deleted:
            return _Known()
        claim = self._reader.read_one((row,), _decode_claim)
        # The token of a claim that can't be decoded is unknown.  The row's version is at least as
        # high, since each claim raises the token by one or to that of an owner's row.
        now = self._clocks.now().table
        return _Known(claim or MachineClaim("", 0, row.version, now), row.version)

    def _find(self, machine: str) -> _Known:
        return self._known.get(machine, _Known())


def _decode_claim(row: Row) -> MachineClaim:
    return decode_msgpack(row.value, MachineClaim)
