"""
Waves of upkeep
===============

Carry out what operators ask of machines: empty each worker, send its machine into upkeep, say when
all are through.
"""

from __future__ import annotations

import asyncio

import logbook
import msgspec

from toucanpin.entry.clocks import Clocks, steady_time
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
IDLE_PERIOD_S = 1.0  # s between looks for waves
ACTIVE_PERIOD_S = 0.25  # s between turns while a wave is on
LIST_PERIOD_S = 0.5  # s between lists of machines; all hosts together may read 36 to 60 a second
ORDER_RETRY_DELAY_S = 0.4  # s before an order without an answer is repeated
# An owner that was suspended may believe that it still is one; its successor waits this out.
MAX_COMMIT_AGE_S = 1.0  # s since the newest accepted write within which machines are ordered


class WaveController:
    """Carry out the waves of one cell's machines, in the name of its owner."""

    def __init__(
        self,
        store: Store,
        calls: MachineClient,
        cell: Cell,
        clocks: Clocks,
        bounds: Bounds,
        first: bool,
    ) -> None:
        self._store = store
        self._calls = calls
        self._cell = cell
        self._clocks = clocks
        self._bounds = bounds
        # Orders of two owners for one machine mustn't take turns.
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
        """Look for waves for ever."""
        try:
            while True:
                active = False
                try:
                    active = await self._reconcile()
                except (CallError, PlatformError) as error:
                    _log.warning("waves not read", event="waves.unread", reason=error)
                await asyncio.sleep(ACTIVE_PERIOD_S if active else IDLE_PERIOD_S)
        finally:
            for task in self._tasks:
                task.cancel()
            self._calls.close()

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
        emptied: list[Worker] = []
        for wave in open_waves:
            emptied += await self._advance(wave)
            emptied += self._list_ordered_workers(wave)
        end_drains(self._cell.workers.values(), emptied)
        return True

    async def _is_completed(self, wave: Wave) -> bool:
        """Tell whether a wave is over; one that is new, or names more now, is said to be active."""
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
        # One that can't be read is begun anew: an order for what is done already changes nothing.
        version = page.rows[0].version if page.rows else 0
        record = WaveRecord(self._clocks.now().table, {}, [])
        _log.info("wave begun", event="wave.begun", wave=wave.number, machines=len(wave.machines))
        await self._write_record(wave, record, version, (_put_status(wave, False),))
        return self._records.get(wave.number) or await self._read_record(wave)

    async def _write_record(
        self, wave: Wave, record: WaveRecord, version: int, extra_puts: tuple[Put, ...] = ()
    ) -> bool:
        """Write a record; another's write or a lost answer has it read anew before the next one."""
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
        machines = await self._calls.list()
        self._machines = {machine.name: machine for machine in machines}
        self._last_seen.update(dict.fromkeys(self._machines, asked_at))
        self._listed_at = asked_at

    async def _advance(self, wave: Wave) -> list[Worker]:
        """Take a wave as far as it goes now; return the workers that are being emptied for it."""
        record, version = self._records.get(wave.number) or await self._read_record(wave)
        orders = self._orders.setdefault(wave.number, {})
        finished, repeated = find_returned(
            self._cell, record, self._machines, orders, self._listed_at, self._bounds.upkeep
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
            _log.info("upkeep over", event="upkeep.done", wave=wave.number, machines=finished)
            return self._list_closing_workers()
        if is_completed(wave, record):
            over = WaveRecord(record.begun, {}, record.done, True)
            await self._write_record(wave, over, version, (_put_status(wave, True),))
            _log.info("wave completed", event="wave.completed", wave=wave.number)
            return []
        for name, worker in record.down.items():
            machine = self._machines.get(name)
            if machine is None or machine.state is not MachineState.UP:
                continue
            if machine.worker == worker and name in orders:
                self._start_order(wave, name)
        if await self._order_missing(wave, record, version):
            return self._list_closing_workers()
        return await self._drain_workers(wave, record, version)

    def _list_ordered_workers(self, wave: Wave) -> list[Worker]:
        """
        Return the workers whose machines are ordered into their upkeep.

        An order without an answer may be carried out at any moment and ends all that runs there.
        """
        known = self._records.get(wave.number)
        ordered = set(known[0].down.values()) if known else set()
        return [worker for worker in self._cell.workers.values() if worker.entry.id in ordered]

    def _list_closing_workers(self) -> list[Worker]:
        return [worker for worker in self._cell.workers.values() if worker.draining_since]

    async def _order_missing(self, wave: Wave, record: WaveRecord, version: int) -> bool:
        """
        Order the upkeep of machines that are probably gone; return whether the record changed.

        Only the answer to an order tells whether a machine is there.  Counted as through because
        lists lacked it, one that runs on would be left out of a wave that is said to be completed.
        """
        missing = list_missing_machines(
            self._cell, wave, record, self._machines, self._last_seen, self._listed_at
        )
        for name in missing:
            if name in record.down:
                self._start_order(wave, name)
        new = [name for name in missing if name not in record.down]
        new = new[: max(0, wave.cap - len(record.down))]
        if not new:
            return False
        down = {**record.down, **dict.fromkeys(new, "")}
        if await self._write_record(wave, WaveRecord(record.begun, down, record.done), version):
            for name in new:
                self._start_order(wave, name)
        return True

    async def _drain_workers(self, wave: Wave, record: WaveRecord, version: int) -> list[Worker]:
        now = self._clocks.now()
        upkeep = self._bounds.upkeep
        chosen = list_next_workers(self._cell, wave, record, self._machines, upkeep, now)
        ready = [worker for worker in chosen if drain_worker(self._cell, worker, now)]
        if not ready:
            return chosen
        names = {machine.worker: name for name, machine in self._machines.items()}
        free = max(0, wave.cap - len(record.down))
        new = {names[worker.entry.id]: worker.entry.id for worker in ready[:free]}
        down = {**record.down, **new}
        if await self._write_record(wave, WaveRecord(record.begun, down, record.done), version):
            # Those ordered before are ordered again only where the newest list shows them as they
            # were: one that came back from a crash has tasks that nobody emptied.
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
        """Order one machine's upkeep, once; a later turn repeats it if it is still the same."""
        order = self._orders.setdefault(wave.number, {}).setdefault(name, UpkeepOrder())
        try:
            if steady_time() > self._cell.confirmed_at + MAX_COMMIT_AGE_S:
                return
            answer = await self._calls.begin_upkeep(name, wave.number, self._cell.token)
            _log.info("upkeep ordered", event="upkeep.ordered", machine=name, answer=answer.value)
            if answer is UpkeepOutcome.DONE:
                order.acknowledged = order.acknowledged or steady_time()
            elif answer is UpkeepOutcome.UNKNOWN_MACHINE and name not in self._machines:
                await self._remove_missing(wave, name)
            # A machine that isn't of the wave shows that the platform, or this host, has an old
            # view of the wave; both read it again.
        except (CallError, PlatformError) as error:
            _log.warning("upkeep not ordered", event="upkeep.failed", machine=name, reason=error)
        finally:
            await asyncio.sleep(ORDER_RETRY_DELAY_S)
            self._orders_in_flight.discard(name)

    async def _remove_missing(self, wave: Wave, name: str) -> None:
        """Count a machine as through that isn't there."""
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
    return msgspec.msgpack.decode(row.value, type=WaveRecord)
