"""
Candidate for the ownership of a cell
=====================================

Watch the owner of a cell, and take over the ownership when there is none.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

import logbook
import xxhash

from toucanpin.entry.advice_dispatcher import AdviceDispatcher
from toucanpin.entry.cell_rows import OwnershipLostError
from toucanpin.entry.clocks import Clocks, steady_time
from toucanpin.entry.metrics import TAKEOVERS
from toucanpin.entry.owner import Owner
from toucanpin.entry.peer_calls import STORE, PeerCaller
from toucanpin.entry.peers import Peers
from toucanpin.entry.relayed_store import PROBE_PATH
from toucanpin.entry.row_reader import RowReader
from toucanpin.entry.tables import HANDOVERS_TABLE, OWNER_KEY, OWNERS_TABLE
from toucanpin.exception import PlatformError
from toucanpin.http import CallError
from toucanpin.platform.store import Committed, Conflict, ExpectedVersion, Put, Row, Store
from toucanpin.scheduling.authority import TAKEOVER_AUTHORITY_S
from toucanpin.scheduling.evacuating import EvacuationList
from toucanpin.scheduling.fencing import plan_owner_token
from toucanpin.scheduling.forecast import KnownForecast
from toucanpin.scheduling.lease_ends import (
    count_ms_until,
    find_earlier_leases_end,
    shift_lease_ends,
)
from toucanpin.scheduling.ownership import (
    MAX_LOADING_S,
    MIN_HANDOVER_INTERVAL_S,
    MIN_TENURE_S,
    OwnerRecord,
    OwnerWatch,
    decode_owner,
    encode_owner,
    plan_next_read,
    plan_rank,
    plan_takeover,
    record_failed_read,
    record_read,
)
from toucanpin.scheduling.settings import HostSettings

__all__ = ["Candidate"]

_log = logbook.Logger("contender")
RETRY_DELAY_S = 0.4  # after a failed read of the owner's row
HANDOVER_WAIT_S = 20.0  # long-poll time of the watch for resignations
HANDOVER_CHECK_PERIOD_S = 1.0  # between checks for a stronger host
HANDOVER_PROBE_TIMEOUT_S = 0.8  # a slow store takes 0.6 s to answer
MAX_BACKLOG_AGE_S = 3.0  # a backlog read from the owner's row is ignored after this time
BACKOFF_S = 1.0  # after a cell was lost, or the watch for resignations failed


class Candidate:
    """Candidate for the ownership of one cell, for as long as the process runs."""

    def __init__(
        self,
        store: Store,
        clocks: Clocks,
        settings: HostSettings,
        advice_dispatcher: AdviceDispatcher,
        peers: Peers,
        incarnation: str,
        cell: str,
        workers_enforce_limits: Callable[[], bool],
        evacuated: Callable[[], EvacuationList],
    ) -> None:
        self._store = store
        self._clocks = clocks
        self._settings = settings
        self._advice_dispatcher = advice_dispatcher
        self._incarnation = incarnation
        self._cell = cell
        self._workers_enforce_limits = workers_enforce_limits
        self._evacuated = evacuated
        self._peers = peers
        self._last_handover_at = -MIN_HANDOVER_INTERVAL_S
        self._reader = RowReader()
        self._owner: Owner | None = None
        self._watch = OwnerWatch()
        self._resigning = False
        self._handed_over = asyncio.Event()
        digest = xxhash.xxh32_intdigest(f"{cell}/{settings.name}/{incarnation}".encode())
        self._spread = digest / 2**32

    @property
    def owns(self) -> bool:
        """Whether this process owns the cell."""
        return self._owner is not None

    def read_backlog(self) -> dict[int, int]:
        """Return the owner's estimate of new tasks' waiting time by priority, in ms."""
        if self._owner is not None:
            return self._owner.backlog
        watch = self._watch
        fresh = watch.record is not None and steady_time() < watch.seen_at + MAX_BACKLOG_AGE_S
        return watch.record.backlog if fresh and watch.record is not None else {}

    def read_forecast(self) -> KnownForecast | None:
        """Return the owner's forecast and its age, None without an owner or a forecast."""
        if self._owner is not None:
            forecast = self._owner.forecast
        else:
            record = self._watch.record
            forecast = record.forecast if record is not None and record.host else None
        if forecast is None:
            return None
        return KnownForecast(forecast, (self._clocks.now().table - forecast.made_at) / 1_000)

    def count_waiting(self) -> Counter[str]:
        """Return the number of unplaced tasks by priority, empty if the cell isn't owned."""
        return self._owner.count_waiting() if self._owner else Counter()

    def count_headroom(self) -> dict[str, float]:
        """Return the cores that are kept for short tasks, by what is counted."""
        return self._owner.count_headroom() if self._owner else {}

    def count_room(self) -> dict[str, float]:
        """Return the cores of the cell by who holds or waits for them, empty if it isn't owned."""
        return self._owner.count_room() if self._owner else {}

    def count_unsettled(self) -> dict[str, float]:
        """Return the number of runs on workers that don't answer, empty if the cell isn't owned."""
        return self._owner.count_unsettled() if self._owner else {}

    def count_late_occurrences(self) -> dict[str, float]:
        """Return the due occurrences that haven't begun, empty if the cell isn't owned."""
        return self._owner.count_late_occurrences() if self._owner else {}

    def count_evacuated(self) -> dict[str, float]:
        """Return the number of tasks in evacuated data centres, empty if the cell isn't owned."""
        return self._owner.count_evacuated() if self._owner else {}

    async def run(self) -> None:
        """Watch the owner and take over its cell where needed, until ``resign`` is called."""
        while not self._resigning:
            pause = RETRY_DELAY_S
            watch = self._watch
            try:
                delay = await self._observe(watch)
                if delay is not None and not self._resigning:
                    await asyncio.sleep(delay)
                    await self._acquire(watch)
                    self._watch = OwnerWatch()
                pause = plan_next_read(self._watch, self._count_preceding())
            except (CallError, PlatformError) as error:
                record_failed_read(self._watch)
                _log.warning("owner's row not read", event="owner.unread", reason=error)
            try:
                async with asyncio.timeout(pause):
                    await self._handed_over.wait()
            except TimeoutError:
                continue
            self._handed_over.clear()

    async def follow_handovers(self) -> None:
        """Read the owner's row at once when an owner resigns."""
        after = 0
        while True:
            try:
                page = await self._store.follow(HANDOVERS_TABLE, after, HANDOVER_WAIT_S)
                if page is None:
                    page = await self._store.read(HANDOVERS_TABLE, self._cell)
            except (CallError, PlatformError):
                await asyncio.sleep(BACKOFF_S)
                continue
            after = max(after, page.version)
            if any(row.part == self._cell for row in page.rows):
                self._handed_over.set()

    async def resign(self) -> None:
        """Stop being a candidate, and give up the cell if it is owned."""
        self._resigning = True
        if self._owner is not None:
            self._owner.resign()

    async def _observe(self, watch: OwnerWatch) -> float | None:
        begun = steady_time()
        page = await self._store.read(OWNERS_TABLE, self._cell, OWNER_KEY, OWNER_KEY + "\0")
        now = steady_time()
        row = page.rows[0] if page.rows else None
        record = _read_owner(row, self._reader) if row else None
        record_read(watch, row.version if row else 0, record, now - begun, now)
        weak = bool(self._peers.list_stronger(record.host if record else ""))
        rank = plan_rank(self._count_preceding(), self._spread)
        return plan_takeover(watch, rank, self._settings.name, self._incarnation, weak)

    def _count_preceding(self) -> int:
        """Return how many live hosts precede this one as successors of the owner."""
        record = self._watch.record
        return self._peers.count_preferred(self._cell, record.host if record else "")

    async def _hand_over_to_stronger(self, owner: Owner) -> None:
        """
        Hand the cell to a stronger host once there is one.

        Hosts start and stop in any order, so a host that is too weak for a cell may have to take
        it.
        """
        began = steady_time()
        while True:
            await asyncio.sleep(HANDOVER_CHECK_PERIOD_S)
            now = steady_time()
            # An owner that still reads its rows starts nothing, so nothing is lost with it.
            tenure = MIN_TENURE_S if owner.loaded else MAX_LOADING_S
            if now < max(began + tenure, self._last_handover_at + MIN_HANDOVER_INTERVAL_S):
                continue
            if await self._reaches_stronger_host():
                self._last_handover_at = now
                _log.info("cell handed to a stronger host", event="cell.yielded", cell=self._cell)
                owner.resign()
                return

    async def _reaches_stronger_host(self) -> bool:
        """
        Return whether a stronger host answers, and reaches the store.

        A host that died seconds ago still looks healthy by its announcement, and a cell that is
        handed to it has no owner until this host takes it again.
        """
        for peer in self._peers.list_stronger():
            caller = PeerCaller(self._settings.name, self._peers, peer, STORE)
            try:
                answer = await caller.call("GET", PROBE_PATH, timeout=HANDOVER_PROBE_TIMEOUT_S)
            except CallError:
                continue
            if answer.status == 200:
                return True
        return False

    async def _acquire(self, watch: OwnerWatch) -> None:
        previous = watch.record
        token = plan_owner_token(previous.token) if previous else 1
        seen_at, now = watch.changed_at, steady_time()
        lease_ends = previous.lease_ends if previous else {}
        earlier_end = find_earlier_leases_end(previous, seen_at, now)
        record = OwnerRecord(
            self._settings.name,
            self._incarnation,
            token,
            0,
            authority=int(TAKEOVER_AUTHORITY_S * 1_000),
            lease_ends=shift_lease_ends(lease_ends, now - seen_at),
            earlier_end=count_ms_until(earlier_end, now),
        )
        expected = (ExpectedVersion(OWNERS_TABLE, OWNER_KEY, watch.version),)
        put = (Put(OWNERS_TABLE, OWNER_KEY, encode_owner(record)),)
        sent_at = steady_time()
        result = await self._store.transact(self._cell, expected, put)
        version = self._find_taken_version(result, record)
        if not version:
            return
        _log.info(
            "ownership of the cell taken",
            event="cell.taken",
            cell=self._cell,
            token=token,
            before=previous,
        )
        TAKEOVERS.add(1)
        self._owner = Owner(
            self._store,
            self._clocks,
            self._settings,
            self._cell,
            record,
            version,
            sent_at,
            previous,
            seen_at if previous is not None else sent_at,
            self._advice_dispatcher,
            self._workers_enforce_limits,
            self._evacuated,
        )
        handover = asyncio.ensure_future(self._hand_over_to_stronger(self._owner))
        try:
            await self._owner.run()
        except OwnershipLostError as error:
            _log.warning(
                "ownership of the cell lost", event="cell.lost", cell=self._cell, reason=error
            )
        except Exception:
            _log.exception("owner failed", event="cell.failed", cell=self._cell)
        finally:
            handover.cancel()
        self._owner = None
        if not self._resigning:
            await asyncio.sleep(BACKOFF_S)

    def _find_taken_version(self, result: Committed | Conflict, record: OwnerRecord) -> int:
        """
        Return the version of this host's own ``record``, 0 if another process has the cell.

        A write is repeated after an outage, and its second copy conflicts with the first one.  A
        host that left it at that would wait for the timeout of an owner that is itself.
        """
        if isinstance(result, Committed):
            return result.version
        rows = (row for row in result.rows if row.version)
        return next((row.version for row in rows if _read_owner(row, self._reader) == record), 0)


def _read_owner(row: Row, reader: RowReader) -> OwnerRecord:
    """
    Return the owner of a cell, a record without a host if the row can't be decoded.

    The token of the last owner is unknown then, and the row's version takes its place: each owner
    has written the row at least once, so its version is at least as high as any token so far.
    """
    record = reader.read_one((row,), lambda it: decode_owner(it.value))
    return record or OwnerRecord("", "", row.version, 0)
