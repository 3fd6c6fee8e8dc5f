"""
Upkeep waves
============

Carry out the upkeep of groups of machines as operators request it: drain each worker, order the
upkeep of its machine, and report when all machines of the wave are done.
"""

from __future__ import annotations

import asyncio

import logbook
import msgspec

from toucanpin.decoding import decode_msgpack
from toucanpin.entry.clocks import Clocks, steady_time
from toucanpin.entry.machine_claims import MAX_CLAIMED_AT_ONCE, MachineClaims
from toucanpin.entry.row_reader import RowReader
from toucanpin.entry.tables import WAVES_TABLE
from toucanpin.exception import PlatformError
from toucanpin.http import CallError
from toucanpin.platform.machines import (
    STATUS_TABLE,
    WAVE_PREFIX,
    MachineClient,
    UpkeepOutcome,
    decode_wave,
    encode_wave_status,
)
from toucanpin.platform.queues import OPERATORS_TABLE
from toucanpin.platform.store import Committed, ExpectedVersion, Put, Row, Store
from toucanpin.scheduling.cell import Cell
from toucanpin.scheduling.settings import Bounds
from toucanpin.scheduling.upkeep import (
    Machine,
    MachineState,
    UpkeepOrder,
    Wave,
    WaveRecord,
    drain_worker,
    end_drains,
    find_returned,
    is_completed,
    list_missing_machines,
    list_next_workers,
)
from toucanpin.scheduling.worker import Worker

__all__ = ["WaveController"]

_log = logbook.Logger("waves")
IDLE_PERIOD_S = 1.0  # between reads of the requested waves
ACTIVE_PERIOD_S = 0.25  # the same while a wave is active
LIST_PERIOD_S = 0.5  # between lists of machines; all hosts together may send 36 to 60 reads/s
ORDER_RETRY_DELAY_S = 0.4  # before an order without an answer is repeated
# Orders are sent only within this time of the last accepted write: an owner that was suspended may
# have lost its cell without knowing.
MAX_COMMIT_AGE_S = 1.0


class WaveController:
    """Controller of the upkeep waves of one cell's machines."""

    def __init__(
        self,
        store: Store,
        client: MachineClient,
        cell: Cell,
        clocks: Clocks,
        bounds: Bounds,
        first: bool,
    ) -> None:
        self._store = store
        self._client = client
        self._cell = cell
        self._clocks = clocks
        self._bounds = bounds
        self._claims = MachineClaims(store, cell, clocks, bounds.machine_lease)
        # Two owners must not send orders for the same machine alternately.
        self._orders_allowed_at = 0.0 if first else steady_time() + bounds.machine_lease
        self._reader = RowReader()
        self._records: dict[int, tuple[WaveRecord, int]] = {}
        self._machines: dict[str, Machine] = {}
        self._last_seen: dict[str, float] = {}
        self._listed_at = 0.0
        self._orders_in_flight: set[str] = set()
        self._orders: dict[int, dict[str, UpkeepOrder]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Advance waves until cancelled."""
        try:
            while True:
                active = False
                try:
                    active = await self._reconcile()
                except (CallError, PlatformError) as error:
                    _log.warning("upkeep waves not read", event="waves.unread", reason=error)
                await asyncio.sleep(ACTIVE_PERIOD_S if active else IDLE_PERIOD_S)
        finally:
            for task in self._tasks:
                task.cancel()
            self._client.close()

    async def _reconcile(self) -> bool:
        page = await self._store.read(OPERATORS_TABLE, "", WAVE_PREFIX, WAVE_PREFIX + "\x7f")
        waves = [wave for _, wave in self._reader.read(page.rows, _decode_wave)]
        open_waves = [wave for wave in waves if not await self._is_completed(wave)]
        if not open_waves:
            end_drains(self._cell.workers.values(), ())
            return False
        if steady_time() < self._orders_allowed_at:
            return True
        await self._refresh_machines()
        draining: list[Worker] = []
        for wave in open_waves:
            draining += await self._advance(wave)
            draining += self._list_ordered_workers(wave)
        end_drains(self._cell.workers.values(), draining)
        return True

    async def _is_completed(self, wave: Wave) -> bool:
        """Return whether a wave is completed; reopen one to which machines have been added."""
        record, version = self._records.get(wave.number) or await self._read_record(wave)
        if record.completed and not is_completed(wave, record):
            reopened = WaveRecord(self._clocks.now().table, {}, record.done)
            await self._write_record(wave, reopened, version, (_put_status(wave, False),))
            return False
        return record.completed

    async def _read_record(self, wave: Wave) -> tuple[WaveRecord, int]:
        key = str(wave.number)
        page = await self._store.read(WAVES_TABLE, "", key, key + "\0")
        known = self._reader.read_one(page.rows, _decode_record)
        if known is not None:
            self._records[wave.number] = (known, page.rows[0].version)
            return self._records[wave.number]
        # A record that can't be decoded is replaced by a new one.  That is safe, since an order for
        # a machine that is done already has no effect.
        version = page.rows[0].version if page.rows else 0
        record = WaveRecord(self._clocks.now().table, {}, [])
        _log.info(
            "upkeep wave started",
            event="wave.begun",
            wave=wave.number,
            machines=len(wave.machines),
        )
        await self._write_record(wave, record, version, (_put_status(wave, False),))
        return self._records.get(wave.number) or await self._read_record(wave)

    async def _write_record(
        self, wave: Wave, record: WaveRecord, version: int, extra_puts: tuple[Put, ...] = ()
    ) -> bool:
        """Write a record; after a conflict or a lost answer the next use reads it again."""
        key = str(wave.number)
        self._records.pop(wave.number, None)
        put = Put(WAVES_TABLE, key, msgspec.msgpack.encode(record))
        result = await self._store.transact(
            "", (ExpectedVersion(WAVES_TABLE, key, version),), (put, *extra_puts)
        )
        if not isinstance(result, Committed):
            return False
        self._records[wave.number] = (record, result.version)
        return True

    async def _refresh_machines(self) -> None:
        if steady_time() < self._listed_at + LIST_PERIOD_S:
            return
        asked_at = steady_time()
        machines = await self._client.list()
        self._machines = {machine.name: machine for machine in machines}
        self._last_seen.update(dict.fromkeys(self._machines, asked_at))
        self._listed_at = asked_at

    async def _advance(self, wave: Wave) -> list[Worker]:
        """Advance a wave by one step; return the workers that are being drained for it."""
        record, version = self._records.get(wave.number) or await self._read_record(wave)
        orders = self._orders.setdefault(wave.number, {})
        finished, repeated = find_returned(
            self._cell, record, self._machines, orders, self._listed_at, self._bounds.upkeep_time
        )
        repeated += [
            name for name in record.down if name not in (*wave.machines, *finished, *repeated)
        ]
        if finished or repeated:
            down = {name: it for name, it in record.down.items() if name not in finished + repeated}
            for name in finished + repeated:
                orders.pop(name, None)
            await self._write_record(
                wave, WaveRecord(record.begun, down, record.done + finished), version
            )
            _log.info(
                "upkeep of machines done",
                event="upkeep.done",
                wave=wave.number,
                machines=finished,
            )
            return self._list_draining_workers()
        if is_completed(wave, record):
            completed_record = WaveRecord(record.begun, {}, record.done, True)
            await self._write_record(wave, completed_record, version, (_put_status(wave, True),))
            _log.info("upkeep wave completed", event="wave.completed", wave=wave.number)
            return []
        unchanged = [
            name
            for name, worker in record.down.items()
            if name in orders and self._is_up_with(name, worker)
        ]
        for name in await self._claims.acquire(unchanged):
            self._start_order(wave, name)
        if await self._order_missing(wave, record, version):
            return self._list_draining_workers()
        return await self._drain_workers(wave, record, version)

    def _is_up_with(self, name: str, worker: str) -> bool:
        """Return whether a machine is listed as up, and with a worker."""
        machine = self._machines.get(name)
        return machine is not None and machine.state is MachineState.UP and machine.worker == worker

    def _list_ordered_workers(self, wave: Wave) -> list[Worker]:
        """
        Return the workers whose machines have been ordered into upkeep.

        An order without an answer may take effect at any moment, and ends all tasks on the machine.
        """
        known = self._records.get(wave.number)
        ordered = set(known[0].down.values()) if known else set()
        return [worker for worker in self._cell.workers.values() if worker.entry.id in ordered]

    def _list_draining_workers(self) -> list[Worker]:
        return [worker for worker in self._cell.workers.values() if worker.draining_since]

    async def _order_missing(self, wave: Wave, record: WaveRecord, version: int) -> bool:
        """
        Order the upkeep of machines that are missing from lists; return whether the record changed.

        Only the answer to an order shows whether a machine still exists.  If absence from the lists
        were enough, a wave could be reported as completed while a machine of it had no upkeep.
        """
        missing = list_missing_machines(
            self._cell, wave, record, self._machines, self._last_seen, self._listed_at
        )
        for name in await self._claims.acquire(it for it in missing if it in record.down):
            self._start_order(wave, name)
        free = max(0, wave.cap - len(record.down))
        new = [name for name in missing if name not in record.down] if free else []
        # More are claimed than there is room for: others may be another owner's.
        held = await self._claims.acquire(new[:MAX_CLAIMED_AT_ONCE])
        new = [name for name in new if name in held][:free]
        if not new:
            return False
        down = {**record.down, **dict.fromkeys(new, "")}
        if await self._write_record(wave, WaveRecord(record.begun, down, record.done), version):
            for name in new:
                self._start_order(wave, name)
        return True

    async def _drain_workers(self, wave: Wave, record: WaveRecord, version: int) -> list[Worker]:
        now = self._clocks.now()
        upkeep_time = self._bounds.upkeep_time
        chosen = list_next_workers(self._cell, wave, record, self._machines, upkeep_time, now)
        ready = [worker for worker in chosen if drain_worker(self._cell, worker, now)]
        if not ready:
            return chosen
        names = {machine.worker: name for name, machine in self._machines.items()}
        free = max(0, wave.cap - len(record.down))
        new = {names[worker.entry.id]: worker.entry.id for worker in ready[:free]}
        held = await self._claims.acquire(new)
        new = {name: worker for name, worker in new.items() if name in held}
        if not new:
            return chosen
        down = {**record.down, **new}
        if await self._write_record(wave, WaveRecord(record.begun, down, record.done), version):
            # Earlier orders are repeated only if the newest list shows the machine unchanged: one
            # that has restarted after a crash may run tasks that nobody has drained.
            for name in new:
                self._start_order(wave, name)
        return chosen

    def _start_order(self, wave: Wave, name: str) -> None:
        if name in self._orders_in_flight:
            return
        self._orders_in_flight.add(name)
        task = asyncio.ensure_future(self._send_order(wave, name))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_order(self, wave: Wave, name: str) -> None:
        """Order the upkeep of a machine once; a later step repeats it if nothing has changed."""
        order = self._orders.setdefault(wave.number, {}).setdefault(name, UpkeepOrder())
        try:
            token = self._claims.find_token(name)
            if not token or steady_time() > self._cell.confirmed_at + MAX_COMMIT_AGE_S:
                return
            answer = await self._client.begin_upkeep(name, wave.number, token)
            _log.info(
                "upkeep of a machine ordered",
                event="upkeep.ordered",
                machine=name,
                answer=answer.value,
            )
            if answer is UpkeepOutcome.DONE:
                order.acknowledged_at = order.acknowledged_at or steady_time()
            elif answer is UpkeepOutcome.UNKNOWN_MACHINE and name not in self._machines:
                await self._remove_missing(wave, name)
            # An answer that the machine isn't part of the wave means that the platform or this host
            # has an outdated view of the wave; both read it again.
        except (CallError, PlatformError) as error:
            _log.warning(
                "order for upkeep of a machine failed",
                event="upkeep.failed",
                machine=name,
                reason=error,
            )
        finally:
            await asyncio.sleep(ORDER_RETRY_DELAY_S)
            self._orders_in_flight.discard(name)

    async def _remove_missing(self, wave: Wave, name: str) -> None:
        """Count a machine that no longer exists as done."""
        record, version = await self._read_record(wave)
        if name in record.down:
            down = {other: worker for other, worker in record.down.items() if other != name}
            await self._write_record(
                wave, WaveRecord(record.begun, down, [*record.done, name]), version
            )


def _put_status(wave: Wave, completed: bool) -> Put:
    return Put(STATUS_TABLE, f"{WAVE_PREFIX}{wave.number}", encode_wave_status(completed))


def _decode_wave(row: Row) -> Wave:
    return decode_wave(row.value)


def _decode_record(row: Row) -> WaveRecord:
    return decode_msgpack(row.value, WaveRecord)
