"""Candidates for the ownership of a cell whose writes are repeated."""

from __future__ import annotations

import unittest
from typing import Any
from unittest.mock import Mock, patch

from toucanpin.entry import candidate as candidate_module
from toucanpin.entry.candidate import Candidate
from toucanpin.entry.tables import OWNER_KEY, OWNERS_TABLE
from toucanpin.platform.store import Committed, Conflict, Page, Put, Row
from toucanpin.scheduling.lease_ends import UNKNOWN_AUTHORITY_S, find_earlier_leases_end
from toucanpin.scheduling.ownership import OwnerRecord, decode_owner, encode_owner
from toucanpin.scheduling.settings import Bounds, HostSettings
from toucanpin.scheduling.worker import MIN_CLOCK_RATE

RESIGNED = OwnerRecord("", "past", 4, 9)


class _Store:
    """Store that applies a write and answers its second copy; ``winner`` writes before it."""

    def __init__(self, winner: OwnerRecord | None = None) -> None:
        self.value = encode_owner(RESIGNED)
        self.version = 7
        self._winner = winner

    async def read(self, *args: object, **fields: object) -> Page:
        return Page((self._make_row(),), False, self.version, 1_000)

    async def transact(
        self, part: str, expected: object, puts: tuple[Put, ...]
    ) -> Committed | Conflict:
        value = encode_owner(self._winner) if self._winner else puts[0].value
        assert value is not None
        self.value = value
        self.version += 1
        return Conflict((self._make_row(),))

    def _make_row(self) -> Row:
        return Row(OWNERS_TABLE, "c", OWNER_KEY, self.value, self.version)


class RepeatedTakeoverTest(unittest.IsolatedAsyncioTestCase):
    async def _contend(self, store: _Store) -> list[tuple[Any, ...]]:
        """Return the arguments of each owner that starts."""
        settings = HostSettings(
            "h0", "127.0.0.1", "dc", "", "", 1, "", "", "", 1.0, 65_536, Bounds()
        )
        peers = Mock()
        peers.list_stronger.return_value = ()
        peers.count_preferred.return_value = 0
        candidate = Candidate(
            store, Mock(), settings, Mock(), peers, "life", "c", Mock(), Mock()  # type: ignore
        )
        owners: list[tuple[Any, ...]] = []

        class RecordedOwner:
            def __init__(self, *args: Any) -> None:
                owners.append(args)

            async def run(self) -> None:
                await candidate.resign()

            def resign(self) -> None:
                pass

        acquire = candidate._acquire

        async def acquire_once(watch: Any) -> None:
            await acquire(watch)
            await candidate.resign()

        with (
            patch.object(candidate_module, "Owner", RecordedOwner),
            patch.object(candidate, "_acquire", acquire_once),
        ):
            await candidate.run()
        return owners

    async def test_a_second_takeover_keeps_the_wait_for_an_earlier_build(self) -> None:
        """
        A host of an earlier build loses its cell to one of this build, and that one dies at once.
        Guards against a third owner that waits only for the leases of the second: those of the
        first may end later, and a task that runs under one would run twice.
        """
        (owner,) = await self._contend(_Store())
        record, taken_at = owner[4], 100.0
        end = find_earlier_leases_end(record, taken_at, taken_at)
        self.assertGreaterEqual(end, taken_at + UNKNOWN_AUTHORITY_S / MIN_CLOCK_RATE)

    async def test_a_takeover_counts_if_its_second_copy_conflicts(self) -> None:
        """
        The answer to a takeover is lost, and its second copy finds the row changed by the first.
        Guards against a host that waits for the timeout of an owner that is itself.
        """
        store = _Store()
        (owner,) = await self._contend(store)
        record, version = owner[4], owner[5]
        self.assertEqual(decode_owner(store.value), record)
        self.assertEqual(store.version, version)

    async def test_a_takeover_by_another_host_is_left_to_it(self) -> None:
        """Guards against two owners: another host, or an earlier process of this one, was first."""
        for host, life in (("h1", "life"), ("h0", "other")):
            winner = OwnerRecord(host, life, RESIGNED.token + 1, 0)
            with self.subTest(host=host, life=life):
                self.assertEqual([], await self._contend(_Store(winner)))


if __name__ == "__main__":
    unittest.main()
