"""
Peers
=====

Registry of the hosts, and the key that they share, both kept in the table.
"""

from __future__ import annotations

import asyncio
import secrets
import time
from typing import Annotated

import logbook
import msgspec
import xxhash

from toucanpin.decoding import decode_msgpack
from toucanpin.entry.clocks import MIN_AGREEING_HOSTS, measure_wall_offset
from toucanpin.entry.row_cache import RowCache
from toucanpin.entry.row_reader import RowReader
from toucanpin.entry.tables import HOSTS_TABLE, KEYS_TABLE, SHARED_KEY
from toucanpin.exception import PlatformError
from toucanpin.http import CallError
from toucanpin.platform.addresses import check_address
from toucanpin.platform.store import Committed, ExpectedVersion, Put, Row, Store
from toucanpin.scheduling.settings import HostSettings

__all__ = ["Peer", "Peers"]

_log = logbook.Logger("peers")
ANNOUNCE_PERIOD_S = 4.0  # between announcements of a host
READ_PERIOD_S = 2.0  # between reads of the registry
MAX_READ_GAP_MS = 3_000  # a longer time between two reads is an outage of the store
PEER_TIMEOUT_S = 15.0  # without an announcement, after which a host is no longer called
# Hosts are replaced under new names all the time.  If their rows were kept, reading them would use
# up the bandwidth of all hosts.
ROW_RETENTION_S = 300.0  # without an announcement, after which a host's row is deleted
MAX_DROPPED_ROWS = 10  # per transaction, each with its expected version
RETRY_DELAY_S = 0.3  # after a failure
HEALTHY_TIMEOUT_S = 6.0  # a host counts as healthy for this time after an announcement
STRONGER_FACTOR = 1.5  # ratio of cores that justifies a change of owner
KEY_BYTES = 32
MAX_CORES = 10_000  # of a host; more would make every other host wait for it to take a cell
MAX_EXACT_ERROR_MS = 20  # hosts with a larger error don't count for the time of day


class Peer(msgspec.Struct, frozen=True, array_like=True):
    """
    Announcement of one host.

    ``announced`` is the time of the announcement on the table's clock.  ``wall_offset`` is how far
    the host's time of day is ahead of the table's clock, ``wall_error`` the possible error of that
    offset.  All three are in ms.  ``cores`` are those of the host's processor.
    """

    name: str
    address: str
    port: int
    announced: int
    wall_offset: int = msgspec.field(name="wall")
    wall_error: int = msgspec.field(default=0, name="error")
    cores: Annotated[float, msgspec.Meta(ge=0, le=MAX_CORES)] = 1.0


class Peers:
    """Registry of the hosts, in which this one announces itself."""

    __slots__ = (
        "_reader",
        "_cache",
        "_outage",
        "_outage_counts_until",
        "_read_at",
        "_settings",
        "_store",
        "known",
        "secret",
    )

    def __init__(self, store: Store, settings: HostSettings) -> None:
        self._store = store
        self._settings = settings
        self._reader = RowReader()
        self._cache = RowCache(store, HOSTS_TABLE)
        self._read_at = 0  # the table's clock at the last read, in ms
        self._outage = 0  # ms
        self._outage_counts_until = 0  # on the table's clock, in ms
        self.known: tuple[Peer, ...] = ()
        self.secret = b""

    async def run(self) -> None:
        """Announce this host and read the registry until cancelled."""
        announced_at = 0.0
        while True:
            try:
                if not self.secret:
                    await self._agree_on_key()
                if time.monotonic() > announced_at + ANNOUNCE_PERIOD_S or not announced_at:
                    await self._announce()
                    announced_at = time.monotonic()
                await self._refresh()
            except (CallError, PlatformError) as error:
                _log.info("registry of hosts not read", event="peers.unread", reason=error)
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            await asyncio.sleep(READ_PERIOD_S)

    def list_live(self) -> tuple[Peer, ...]:
        """Return the other hosts that have announced themselves recently."""
        limit = self._store.clock - int(PEER_TIMEOUT_S * 1_000)
        name = self._settings.name
        return tuple(peer for peer in self.known if peer.name != name and peer.announced > limit)

    def list_stronger(self, owner: str = "") -> tuple[Peer, ...]:
        """Return the healthy hosts with far more cores than this one, without the ``owner``."""
        limit = self._read_at - self._find_outage() - int(HEALTHY_TIMEOUT_S * 1_000)
        min_cores = STRONGER_FACTOR * self._settings.cores
        healthy = (peer for peer in self.known if peer.announced > limit and peer.name != owner)
        return tuple(peer for peer in healthy if peer.cores >= min_cores)

    def _find_outage(self) -> int:
        """
        Return the duration in ms of an outage of the store that ended recently, else 0.

        No host could announce itself meanwhile.  A weak host that took all stronger ones for dead
        would take their cell, and couldn't follow it.
        """
        return self._outage if self._read_at < self._outage_counts_until else 0

    def count_preferred(self, cell: str, owner: str = "") -> int:
        """
        Return how many live hosts precede this one for a cell: by cores, then by hash.

        The ``owner`` isn't counted.
        """
        own = _make_rank(cell, self._settings.name, self._settings.cores)
        others = (peer for peer in self.list_live() if peer.name != owner)
        ranks = (_make_rank(cell, peer.name, peer.cores) for peer in others)
        return sum(rank < own for rank in ranks)

    def wall_offsets(self) -> tuple[int, ...]:
        """
        Return by how much each host's time of day is ahead of the table's clock, in ms.

        If min_cores hosts know their offset exactly, the others are left out.
        """
        limit = self._store.clock - int(PEER_TIMEOUT_S * 1_000)
        fresh = [peer for peer in self.known if peer.announced > limit]
        exact = [peer for peer in fresh if peer.wall_error <= MAX_EXACT_ERROR_MS]
        return tuple(
            peer.wall_offset for peer in (exact if len(exact) >= MIN_AGREEING_HOSTS else fresh)
        )

    def record_read(self, clock: int) -> None:
        """Record a read of the registry at a time of the table's clock, in ms."""
        gap = clock - self._read_at
        if self._read_at and gap > MAX_READ_GAP_MS:
            self._outage = gap
            self._outage_counts_until = clock + int((ANNOUNCE_PERIOD_S + READ_PERIOD_S) * 1_000)
        self._read_at = clock

    async def _announce(self) -> None:
        settings = self._settings
        wall, error = measure_wall_offset(self._store.clock_estimate)
        clock = self._store.clock
        peer = Peer(
            settings.name,
            settings.address,
            settings.inner_port,
            clock,
            wall,
            error,
            settings.cores,
        )
        put = Put(HOSTS_TABLE, settings.name, msgspec.msgpack.encode(peer))
        await self._store.transact("", (), (put,))

    async def _refresh(self) -> None:
        await self._cache.update()
        self.record_read(self._store.clock)
        rows = self._cache.rows.values()
        found = tuple(self._reader.read(rows, _decode_peer))
        # An announcement from the future is another writer's, and would never expire.
        latest = self._store.clock + int(PEER_TIMEOUT_S * 1_000)
        self.known = tuple(peer for _, peer in found if peer.announced <= latest)
        limit = self._store.clock - int(ROW_RETENTION_S * 1_000)
        await self._drop_expired(
            [row for row, peer in found if peer.announced < limit][:MAX_DROPPED_ROWS]
        )

    async def _drop_expired(self, rows: list[Row]) -> None:
        """Delete the rows of expired hosts that haven't announced themselves since."""
        if not rows:
            return
        expected = [ExpectedVersion(HOSTS_TABLE, row.key, row.version) for row in rows]
        await self._store.transact("", expected, [Put(HOSTS_TABLE, row.key, None) for row in rows])

    async def _agree_on_key(self) -> None:
        page = await self._store.read(KEYS_TABLE, "", SHARED_KEY, SHARED_KEY + "\0")
        known = self._reader.read_one(page.rows, _decode_key)
        if known is not None:
            self.secret = known
            return
        secret = secrets.token_bytes(KEY_BYTES)
        expected = (
            ExpectedVersion(KEYS_TABLE, SHARED_KEY, page.rows[0].version if page.rows else 0),
        )
        written = await self._store.transact("", expected, (Put(KEYS_TABLE, SHARED_KEY, secret),))
        if isinstance(written, Committed):
            self.secret = secret
            return
        self.secret = self._reader.read_one(written.rows, _decode_key) or b""


def _make_rank(cell: str, name: str, cores: float) -> tuple[float, int]:
    return -cores, xxhash.xxh32_intdigest(f"{cell}/{name}".encode())


def _decode_peer(row: Row) -> Peer:
    peer = decode_msgpack(row.value, Peer)
    check_address(f"{peer.address}:{peer.port}")
    if peer.name != row.key:
        raise PlatformError(f"the row holds the host {peer.name!r}")
    return peer


def _decode_key(row: Row) -> bytes:
    if len(row.value) != KEY_BYTES:
        raise PlatformError(f"a key has {KEY_BYTES} bytes, not {len(row.value)}")
    return row.value
