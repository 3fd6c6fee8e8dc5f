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
from toucanpin.entry.entries import EntryReader
from toucanpin.entry.rows import WAVES
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

__all__ = ["Waves"]

_log = logbook.Logger("waves")
IDLE = 1.0  # s between looks for waves
PERIOD = 0.25  # s between turns while a wave is on
LIST_PERIOD = 0.5  # s between lists of machines; all hosts together may read 36 to 60 a second
AGAIN = 0.4  # s before an order without an answer is repeated
# An owner that was suspended may believe that it still is one; its successor waits this out.
FRESH = 1.0  # s since the newest accepted write within which machines are ordered


class Waves:
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
        self._quiet_until = 0.0 if first else steady_time() + bounds.machine_lease
        self._entries = EntryReader()
        self._records: dict[int, tuple[WaveRecord, int]] = {}
        self._machines: dict[str, Machine] = {}
        self._seen: dict[str, float] = {}
        self._listed_at = 0.0
        self._ordering: set[str] = set()
        self._orders: dict[int, dict[str, UpkeepOrder]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Look for waves for ever."""
        try:
            while True:
                active = False
                try:
                    active = await self._turn()
                except (CallError, PlatformError) as error:
                    _log.warning("waves not read", event="waves.unread", reason=error)
                await asyncio.sleep(PERIOD if active else IDLE)
        finally:
            for task in self._tasks:
                task.cancel()
            self._calls.close()

    async def _turn(self) -> bool:
        page = await self._store.read(OPERATORS_TABLE, "", WAVE_PREFIX, WAVE_PREFIX + "\x7f")
        waves = [wave for _, wave in self._entries.read(page.rows, _decode_wave)]
        open_waves = [wave for wave in waves if not await self._is_completed(wave)]
        if not open_waves:
            end_drains(self._cell.workers.values(), ())
            return False
        if steady_time() < self._quiet_until:
            return True
        await self._list()
        emptied: list[Worker] = []
        for wave in open_waves:
            emptied += await self._advance(wave)
            emptied += self._list_ordered(wave)
        end_drains(self._cell.workers.values(), emptied)
        return True

    async def _is_completed(self, wave: Wave) -> bool:
        """Tell whether a wave is over; one that is new, or names more now, is said to be active."""
        record, version = self._records.get(wave.number) or await self._read(wave)
        if record.completed and not is_completed(wave, record):
            again = WaveRecord(self._clocks.now().table, {}, record.done)
            await self._write(wave, again, version, (_put_status(wave, False),))
            return False
        return record.completed

    async def _read(self, wave: Wave) -> tuple[WaveRecord, int]:
        key = str(wave.number)
        page = await self._store.read(WAVES, "", key, key + "\0")
        known = self._entries.read_one(page.rows, _decode_record)
        if known is not None:
            self._records[wave.number] = (known, page.rows[0].version)
            return self._records[wave.number]
        # One that can't be read is begun anew: an order for what is done already changes nothing.
        version = page.rows[0].version if page.rows else 0
        record = WaveRecord(self._clocks.now().table, {}, [])
        _log.info("wave begun", event="wave.begun", wave=wave.number, machines=len(wave.machines))
        await self._write(wave, record, version, (_put_status(wave, False),))
        return self._records.get(wave.number) or await self._read(wave)

    async def _write(
        self, wave: Wave, record: WaveRecord, version: int, more: tuple[Put, ...] = ()
    ) -> bool:
        """Write a record; another's write or a lost answer has it read anew before the next one."""
        key = str(wave.number)
        self._records.pop(wave.number, None)
        put = Put(WAVES, key, msgspec.msgpack.encode(record))
        result = await self._store.transact(
            "", (ExpectedVersion(WAVES, key, version),), (put, *more)
        )
        if not isinstance(result, Committed):
            return False
        self._records[wave.number] = (record, result.version)
        return True

    async def _list(self) -> None:
        if steady_time() < self._listed_at + LIST_PERIOD:
            return
        asked_at = steady_time()
        machines = await self._calls.list()
        self._machines = {machine.name: machine for machine in machines}
        self._seen.update(dict.fromkeys(self._machines, asked_at))
        self._listed_at = asked_at

    async def _advance(self, wave: Wave) -> list[Worker]:
        """Take a wave as far as it goes now; return the workers that are being emptied for it."""
        record, version = self._records.get(wave.number) or await self._read(wave)
        orders = self._orders.setdefault(wave.number, {})
        through, anew = find_returned(
            self._cell, record, self._machines, orders, self._listed_at, self._bounds.upkeep
        )
        anew += [name for name in record.down if name not in (*wave.machines, *through, *anew)]
        if through or anew:
            down = {name: it for name, it in record.down.items() if name not in through + anew}
            for name in through + anew:
                orders.pop(name, None)
            await self._write(wave, WaveRecord(record.begun, down, record.done + through), version)
            _log.info("upkeep over", event="upkeep.done", wave=wave.number, machines=through)
            return self._list_closed()
        if is_completed(wave, record):
            over = WaveRecord(record.begun, {}, record.done, True)
            await self._write(wave, over, version, (_put_status(wave, True),))
            _log.info("wave completed", event="wave.completed", wave=wave.number)
            return []
        for name, worker in record.down.items():
            machine = self._machines.get(name)
            if machine is None or machine.state is not MachineState.UP:
                continue
            if machine.worker == worker and name in orders:
                self._order(wave, name)
        if await self._ask_for_missing(wave, record, version):
            return self._list_closed()
        return await self._empty(wave, record, version)

    def _list_ordered(self, wave: Wave) -> list[Worker]:
        """
        Return the workers whose machines are ordered into their upkeep.

        An order without an answer may be carried out at any moment and ends all that runs there.
        """
        known = self._records.get(wave.number)
        ordered = set(known[0].down.values()) if known else set()
        return [worker for worker in self._cell.workers.values() if worker.entry.id in ordered]

    def _list_closed(self) -> list[Worker]:
        return [worker for worker in self._cell.workers.values() if worker.closing_since]

    async def _ask_for_missing(self, wave: Wave, record: WaveRecord, version: int) -> bool:
        """
        Order the upkeep of machines that are probably gone; return whether the record changed.

        Only the answer to an order tells whether a machine is there.  Counted as through because
        lists lacked it, one that runs on would be left out of a wave that is said to be completed.
        """
        missing = list_missing_machines(
            self._cell, wave, record, self._machines, self._seen, self._listed_at
        )
        for name in missing:
            if name in record.down:
                self._order(wave, name)
        new = [name for name in missing if name not in record.down]
        new = new[: max(0, wave.cap - len(record.down))]
        if not new:
            return False
        down = {**record.down, **dict.fromkeys(new, "")}
        if await self._write(wave, WaveRecord(record.begun, down, record.done), version):
            for name in new:
                self._order(wave, name)
        return True

    async def _empty(self, wave: Wave, record: WaveRecord, version: int) -> list[Worker]:
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
        if await self._write(wave, WaveRecord(record.begun, down, record.done), version):
            # Those ordered before are ordered again only where the newest list shows them as they
            # were: one that came back from a crash has tasks that nobody emptied.
            for name in new:
                self._order(wave, name)
        return chosen

    def _order(self, wave: Wave, name: str) -> None:
        if name in self._ordering:
            return
        self._ordering.add(name)
        task = asyncio.ensure_future(self._send(wave, name))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(self, wave: Wave, name: str) -> None:
        """Order one machine's upkeep, once; a later turn repeats it if it is still the same."""
        order = self._orders.setdefault(wave.number, {}).setdefault(name, UpkeepOrder())
        try:
            if steady_time() > self._cell.confirmed_at + FRESH:
                return
            answer = await self._calls.begin_upkeep(name, wave.number, self._cell.token)
            _log.info("upkeep ordered", event="upkeep.ordered", machine=name, answer=answer.value)
            if answer is UpkeepOutcome.DONE:
                order.acknowledged = order.acknowledged or steady_time()
            elif answer is UpkeepOutcome.UNKNOWN_MACHINE and name not in self._machines:
                await self._strike(wave, name)
            # A machine that isn't of the wave shows that the platform, or this host, has an old
            # view of the wave; both read it again.
        except (CallError, PlatformError) as error:
            _log.warning("upkeep not ordered", event="upkeep.failed", machine=name, reason=error)
        finally:
            await asyncio.sleep(AGAIN)
            self._ordering.discard(name)

    async def _strike(self, wave: Wave, name: str) -> None:
        """Count a machine as through that isn't there."""
        record, version = await self._read(wave)
        if name in record.down:
            down = {other: worker for other, worker in record.down.items() if other != name}
            await self._write(wave, WaveRecord(record.begun, down, [*record.done, name]), version)


def _put_status(wave: Wave, completed: bool) -> Put:
    return Put(STATUS_TABLE, f"{WAVE_PREFIX}{wave.number}", encode_wave_status(completed))


def _decode_wave(row: Row) -> Wave:
    return decode_wave(row.value)


def _decode_record(row: Row) -> WaveRecord:
    return msgspec.msgpack.decode(row.value, type=WaveRecord)
