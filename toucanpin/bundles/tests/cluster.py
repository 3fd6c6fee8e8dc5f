"""Processes that spread bundles, on a virtual clock, for tests and measurements."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from expression import Result

from standins.faults import FaultPlan
from standins.memory import Line, MemoryTable
from standins.table import TableCore
from toucanpin.bundles.actions import (
    Peer,
    PullFrom,
    PushTo,
    ReadTable,
    ReplicationTiming,
    Source,
)
from toucanpin.bundles.record import CURRENT_KEY, BundleRecord, encode_record
from toucanpin.bundles.replication import BundleReplica
from toucanpin.bundles.tests.fixtures import ROOT
from toucanpin.platform.ports import Row, Transaction, Write

__all__ = ["Cluster", "Process"]

TICK = 0.1


@dataclass
class Process:
    """Keep one process: its spread, what its peers said last, and what came into force when."""

    name: str
    replica: BundleReplica
    table: MemoryTable
    stamps: dict[str, int] = field(default_factory=dict)
    heard: dict[str, float] = field(default_factory=dict)
    history: list[tuple[float, int]] = field(default_factory=list)
    served: list[tuple[float, int]] = field(default_factory=list)
    frozen: bool = False
    waiting: list[Callable[[], None]] = field(default_factory=list)
    dead: bool = False


class Cluster:
    """Run processes; ``stamps`` and ``push`` can be switched off to measure polling alone."""

    def __init__(
        self,
        names: tuple[str, ...],
        seed: int = 1,
        timing: ReplicationTiming | None = None,
        stamps: bool = True,
        push: bool = True,
        interval: float = 0.5,
        delay: float = 0.001,
    ) -> None:
        self.now = 100.0
        self.core = TableCore()
        self.plan = FaultPlan()
        self.line = Line(lambda: self.now, self.plan)
        self.random = random.Random(seed)
        self.timing = timing or ReplicationTiming()
        self.stamps = stamps
        self.push = push
        self.interval = interval
        self.delay = delay
        self.cut: Callable[[str, str], bool] = lambda sender, receiver: False
        self.processes: dict[str, Process] = {}
        self.messages = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        for name in names:
            self.start(name)

    def start(self, name: str) -> Process:
        """Start a fresh process, in place of an earlier one of this name."""
        if name in self.processes:
            self.processes[name].dead = True
        table = MemoryTable(self.core, self.line, name)
        process = Process(name, BundleReplica(name, ROOT, self.timing, self.now), table)
        self.processes[name] = process
        self._later(self.random.random() * TICK, process, lambda: self._tick(process))
        self._later(self.random.random() * self.interval, process, lambda: self._beat(process))
        return process

    def run(self, seconds: float) -> None:
        """Let the time pass."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, act = heapq.heappop(self._events)
            act()
        self.now = end

    def freeze(self, name: str) -> None:
        """Stop a process; what would reach it waits."""
        self.processes[name].frozen = True

    def resume(self, name: str) -> None:
        """Let it go on with what waits."""
        process = self.processes[name]
        process.frozen = False
        waiting, process.waiting = process.waiting, []
        for act in waiting:
            act()

    def accept(self, record: BundleRecord, through: str | None = None) -> None:
        """Put a record into the table, and tell the process that accepted it, if there is one."""
        row = self.core.read(CURRENT_KEY)
        write = Write(CURRENT_KEY, 0 if row is None else row.version, encode_record(record))
        self.core.commit(Transaction(f"accept-{record.version}", (write,)))
        if through is not None:
            process = self.processes[through]
            process.replica.offer(record, Source.ACCEPTANCE, self.now)
            self._note(process)

    def hand(self, receiver: str, record: BundleRecord) -> str:
        """Push a record to one process, as a peer would, and return what became of it."""
        process = self.processes[receiver]
        offer = process.replica.offer(record, Source.PEER, self.now)
        self._note(process)
        return offer.status.value

    def version(self, name: str) -> int:
        """Return the version in force in a process."""
        return self.processes[name].replica.version

    def is_ready(self, name: str) -> bool:
        """Say whether a process may serve."""
        process = self.processes[name]
        reached = sum(self.now - at < 2.0 for at in process.heard.values())
        return process.replica.readiness(reached, len(process.heard), self.now).ready

    def serve(self, name: str) -> int:
        """Return the version that a process would serve a request by now, 0 for none."""
        return self.version(name) if self.is_ready(name) else 0

    def _later(self, delay: float, process: Process, act: Callable[[], None]) -> None:
        def strike() -> None:
            if process.frozen:
                process.waiting.append(strike)
            elif not process.dead:
                act()

        heapq.heappush(self._events, (self.now + delay, next(self._order), strike))

    def _tick(self, process: Process) -> None:
        for ask in process.replica.plan_actions(self._list_peers(process), self.now):
            match ask:
                case ReadTable(after):
                    self._read(process, after)
                case PullFrom(peer, above):
                    self._pull(process, peer, above)
                case PushTo(peer, record) if self.push:
                    self._send(process.name, peer, record)
        self._note(process)
        self._later(TICK, process, lambda: self._tick(process))

    def _list_peers(self, process: Process) -> tuple[Peer, ...]:
        if self.stamps:
            return tuple(Peer(name, version) for name, version in process.stamps.items())
        return tuple(Peer(name, 0) for name in self.processes if name != process.name)

    def _beat(self, process: Process) -> None:
        self._tell(process)
        self._later(self.interval, process, lambda: self._beat(process))

    def _tell(self, process: Process) -> None:
        if not self.stamps:
            return
        age = process.replica.confirmed_age(self.now)
        version = process.replica.version
        for other in tuple(self.processes.values()):
            if other is process or self.cut(process.name, other.name):
                continue
            self.messages += 1
            self._later(self.delay, other, self._make_hearing(process.name, other, version, age))

    def _make_hearing(
        self, sender: str, receiver: Process, version: int, age: float | None
    ) -> Callable[[], None]:
        def hear() -> None:
            receiver.stamps[sender] = version
            receiver.heard[sender] = self.now
            seen = receiver.replica.highest_seen
            self._note(receiver)  # a request that comes between the view's change and the stamp
            receiver.replica.receive_heartbeat(version, age, self.now)
            if version > seen:
                self._wake(receiver)

        return hear

    def _wake(self, process: Process) -> None:
        for ask in process.replica.plan_actions(self._list_peers(process), self.now):
            match ask:
                case ReadTable(after):
                    self._read(process, after)
                case PullFrom(peer, above):
                    self._pull(process, peer, above)

    def _read(self, process: Process, after: int) -> None:
        asked_at = self.now
        self.messages += 1
        result = process.table.scan(CURRENT_KEY, after)

        def answer() -> None:
            match result:
                case Result(tag="ok", ok=rows):
                    process.replica.receive_rows(rows, asked_at, self.now)
                case _:
                    process.replica.note_failed_read(self.now)
            self._note(process)

        self._later(5 * self.delay, process, answer)

    def read_stale(self, name: str, rows: tuple[Row, ...]) -> None:
        """Give a process an old answer of the table."""
        process = self.processes[name]
        process.replica.receive_rows(rows, self.now, self.now)
        self._note(process)

    def _pull(self, process: Process, peer: str, above: int) -> None:
        other = self.processes.get(peer)
        able = other is not None and not other.frozen and not other.dead
        broken = self.cut(process.name, peer) or self.cut(peer, process.name)
        self.messages += 2

        def answer() -> None:
            record = other.replica.record if other is not None and able and not broken else None
            if record is None or record.version <= above:
                process.replica.note_failed_pull(self.now)
            else:
                process.replica.offer(record, Source.PEER, self.now)
            self._note(process)

        self._later(4 * self.delay, process, answer)

    def _send(self, sender: str, receiver: str, record: BundleRecord) -> None:
        process = self.processes[receiver]
        self.messages += 2
        if not self.cut(sender, receiver):
            self._later(2 * self.delay, process, lambda: self._take(process, record))

    def _take(self, process: Process, record: BundleRecord) -> None:
        process.replica.offer(record, Source.PEER, self.now)
        self._note(process)

    def _note(self, process: Process) -> None:
        version = process.replica.version
        if self.processes.get(process.name) is process:
            process.served.append((self.now, self.serve(process.name)))
        last = process.history[-1][1] if process.history else 0
        if version != last:
            process.history.append((self.now, version))
            self._tell(process)
