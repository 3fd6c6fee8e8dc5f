"""A new owner that hasn't read the rows of its cell yet."""

from __future__ import annotations

import asyncio
import unittest

from standins.site.site import Site
from toucanpin.entry.rows import COUNTS, COUNTS_KEY
from toucanpin.scheduling.ownership import OwnerRecord, decode_owner

RENEWALS = 8  # of an owner: more than twice the time after which a silent one is replaced


class LoadingTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.site = Site()
        self.site.configure()
        self.addAsyncCleanup(self.site.close)
        for number in range(2):
            await self.site.add_host()
            self.site.faults[number].unreadable = "progress"
        await self.site.add_worker()

    def _read_owner(self) -> OwnerRecord:
        row = self.site.store.rows.get(("owners", "c", "owner"))
        return decode_owner(row.value) if row else OwnerRecord("", "", 0, 0)

    async def test_an_owner_that_reads_its_cell_for_long_keeps_it(self) -> None:
        """
        A new owner reads the rows of its cell for seconds, since the store is slow or the rows are
        many.  It wrote nothing meanwhile, so another host took the cell after 1.3 s and began to
        read, and so on: nobody owned the cell, and callers' jobs waited.
        """
        self.assertTrue(
            await self.site.until(
                lambda: self._read_owner().sequence >= RENEWALS or self._read_owner().token > 1
            )
        )
        self.assertEqual(1, self._read_owner().token)
        self.assertNotIn((COUNTS, "c", COUNTS_KEY), self.site.store.rows)
        for faults in self.site.faults:
            faults.unreadable = ""
        self.assertTrue(await self.site.until_ready())
        self.assertEqual(200, (await self.site.submit()).status)
        self.assertTrue(await self.site.until_state("completed"))
        self.assertEqual(1, self._read_owner().token)

    async def test_an_owner_that_leaves_while_it_reads_hands_its_cell_over(self) -> None:
        """
        A new owner reads the rows of its cell for seconds, and its process is told to end, or a
        stronger host comes.  It went on renewing its ownership until all was read or the process
        was killed, so no host served the cell meanwhile: callers' jobs waited for nothing.
        """
        self.assertTrue(await self.site.until(lambda: self._read_owner().sequence >= 2))
        name = self._read_owner().host
        ending = asyncio.ensure_future(self.site.hosts[int(name[1:])].shut_down())
        self.assertTrue(await self.site.until(lambda: self._read_owner().token > 1, 40))
        self.assertFalse(ending.done())
        self.assertNotEqual(name, self._read_owner().host)
        await ending


if __name__ == "__main__":
    unittest.main()
