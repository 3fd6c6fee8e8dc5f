"""Registry of hosts, while hosts start and stop."""

from __future__ import annotations

import unittest

import msgspec

from standins.site.site import Site
from toucanpin.entry.peers import ROW_RETENTION_S, Peer, Peers
from toucanpin.entry.tables import HOSTS_TABLE
from toucanpin.http import Client
from toucanpin.platform.store import Store
from toucanpin.scheduling.settings import Bounds, HostSettings

CLOCK_OFFSET_S = 10 * ROW_RETENTION_S  # s since the last announcement of stopped hosts


class ExpiredHostsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.site = Site()
        self.site.configure()
        self.addAsyncCleanup(self.site.close)
        self.site.store.started_at -= CLOCK_OFFSET_S

    def _announce(self, name: str, announced: int) -> None:
        peer = Peer(name, "127.0.0.1", 1, announced, 0)
        self.site.store.put(HOSTS_TABLE, name, msgspec.msgpack.encode(peer))

    async def test_hosts_that_cannot_be_are_not_counted(self) -> None:
        """
        Guards against one row of another writer in the list of hosts that every host counts as a
        stronger one: each waits for it before it takes a cell, and calls it without an end.
        """
        now = int(CLOCK_OFFSET_S * 1_000)
        store = self.site.store
        for number, cores in enumerate((float("inf"), float("nan"), 1e300, -1.0)):
            peer = Peer(f"odd{number}", "127.0.0.1", 1, now, 0, 0, cores)
            store.put(HOSTS_TABLE, peer.name, msgspec.msgpack.encode(peer))
        self._announce("future", 2**62)
        self._announce("live", now)
        host = await self.site.add_host()
        self.assertTrue(await self.site.wait_until(host.has_peers))
        self.assertEqual({"live", "h0"}, {peer.name for peer in host._peers.known})

    def _is_listed(self, name: str) -> bool:
        return (HOSTS_TABLE, "", name) in self.site.store.rows

    async def test_rows_of_expired_hosts_are_deleted(self) -> None:
        """
        Hosts are often replaced, each under a new name.  Without deletion every host read the
        rows of all hosts that ever existed every two seconds, and once they exceeded one answer
        some live hosts weren't known.
        """
        self._announce("expired", 1)
        now = int(CLOCK_OFFSET_S * 1_000)
        self._announce("live", now)
        await self.site.add_host()
        self.assertTrue(await self.site.wait_until(lambda: not self._is_listed("expired")))
        self.assertTrue(self._is_listed("live"))
        self.assertTrue(self._is_listed("h0"))

    async def test_hosts_are_known_despite_many_expired_ones(self) -> None:
        for number in range(600):
            self._announce(f"a{number:03}", 1)
        self._announce("live", int(CLOCK_OFFSET_S * 1_000))
        host = await self.site.add_host()
        self.assertTrue(await self.site.wait_until(host.has_peers))


class PrecedenceTest(unittest.TestCase):
    def _count_before(self, name: str, cores: float, hosts: list[Peer]) -> int:
        store = Store(Client("127.0.0.1:1"))
        store.clock = 1_000
        other_settings = ("127.0.0.1", "dc", "127.0.0.1:1", "127.0.0.1:2", 3, "127.0.0.1:1", "", "")
        peers = Peers(store, HostSettings(name, *other_settings, 1.0, 65_536, Bounds(), cores))
        peers.known = tuple(hosts)
        return peers.count_preferred("c")

    def test_hosts_agree_on_their_order_with_stronger_ones_first(self) -> None:
        """
        Only the first hosts in order watch the owner of a cell closely.  If hosts disagreed on the
        order, none or all would; if weak hosts came first, the cell would be handed over once more.
        """
        cores = {f"h{number:02}": 2.0 if number % 5 == 0 else 0.5 for number in range(30)}
        hosts = [
            Peer(name, "127.0.0.1", 1, 1_000, 0, 0, own_cores) for name, own_cores in cores.items()
        ]
        ranks = {
            name: self._count_before(name, own_cores, hosts) for name, own_cores in cores.items()
        }
        self.assertEqual(list(range(30)), sorted(ranks.values()))
        strong = {name for name, own_cores in cores.items() if own_cores > 1.0}
        self.assertEqual(strong, {name for name, rank in ranks.items() if rank < 6})

    def test_strong_hosts_are_not_taken_for_dead_after_an_outage(self) -> None:
        """
        No host can announce itself while the store is away. Guards against a weak host that sees
        only old announcements at its return, and takes the cell before the stronger ones.
        """
        store = Store(Client("127.0.0.1:1"))
        other_settings = ("127.0.0.1", "dc", "127.0.0.1:1", "127.0.0.1:2", 3, "127.0.0.1:1", "", "")
        peers = Peers(store, HostSettings("w", *other_settings, 1.0, 65_536, Bounds(), 0.5))
        peers.known = (Peer("s", "127.0.0.1", 1, 96_000, 0, 0, 2.0),)
        peers.record_read(100_000)
        self.assertEqual(("s",), tuple(peer.name for peer in peers.list_stronger()))
        self.assertEqual((), peers.list_stronger("s"))
        peers.record_read(105_000)
        self.assertTrue(peers.list_stronger())
        for clock in range(107_000, 112_000, 2_000):
            peers.record_read(clock)
        self.assertFalse(peers.list_stronger())


if __name__ == "__main__":
    unittest.main()
