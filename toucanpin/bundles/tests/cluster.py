"""Processes that replicate bundles on a virtual clock, for tests and benchmarks."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from expression import Result

from standins.faults import FaultPlan
from standins.memory import FaultyLink, MemoryTable
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

TICK_S = 0.1


@dataclass
class Process:
    """Simulated process, its peers' last heartbeats, and its versions in force over time."""

    name: str
    replica: BundleReplica
    table: MemoryTable
    peer_versions: dict[str, int] = field(default_factory=dict)
    heartbeat_at: dict[str, float] = field(default_factory=dict)
    history: list[tuple[float, int]] = field(default_factory=list)
    served: list[tuple[float, int]] = field(default_factory=list)
    frozen: bool = False
    waiting: list[Callable[[], None]] = field(default_factory=list)
    dead: bool = False


class Cluster:
    """Simulated processes; ``heartbeats`` and ``push`` can be disabled to measure polling alone."""

    def __init__(
        self,
        names: tuple[str, ...],
        seed: int = 1,
        timing: ReplicationTiming | None = None,
        heartbeats: bool = True,
        push: bool = True,
        interval: float = 0.5,
        delay: float = 0.001,
    ) -> None:
        self.now = 100.0
        self.core = TableCore()
        self.plan = FaultPlan()
        self.line = FaultyLink(lambda: self.now, self.plan)
        self.random = random.Random(seed)
        self.timing = timing or ReplicationTiming()
        self.heartbeats = heartbeats
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
        """Start a process, in place of an earlier one of this name."""
        if name in self.processes:
            self.processes[name].dead = True
        table = MemoryTable(self.core, self.line, name)
        process = Process(name, BundleReplica(name, ROOT, self.timing, self.now), table)
        self.processes[name] = process
        self._schedule(self.random.random() * TICK_S, process, lambda: self._tick(process))
        self._schedule(
            self.random.random() * self.interval, process, lambda: self._heartbeat_round(process)
        )
        return process

    def run(self, seconds: float) -> None:
        """Run the events of the next seconds."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = end

    def freeze(self, name: str) -> None:
        """Suspend a process; its events wait until it is resumed."""
        self.processes[name].frozen = True

    def resume(self, name: str) -> None:
        """Resume a process and run its waiting events."""
        process = self.processes[name]
        process.frozen = False
        waiting, process.waiting = process.waiting, []
        for callback in waiting:
            callback()

    def accept(self, record: BundleRecord, through: str | None = None) -> None:
        """Write a record to the table, and offer it to the process that accepted it, if given."""
        row = self.core.read(CURRENT_KEY)
        write = Write(CURRENT_KEY, 0 if row is None else row.version, encode_record(record))
        self.core.commit(Transaction(f"accept-{record.version}", (write,)))
        if through is not None:
            process = self.processes[through]
            process.replica.offer(record, Source.ACCEPTANCE, self.now)
            self._record_version(process)

    def hand(self, receiver: str, record: BundleRecord) -> str:
        """Push a record to one process, as a peer would, and return the status of the offer."""
        process = self.processes[receiver]
        offer = process.replica.offer(record, Source.PEER, self.now)
        self._record_version(process)
        return offer.status.value

    def version(self, name: str) -> int:
        """Return the version in force in a process."""
        return self.processes[name].replica.version

    def is_ready(self, name: str) -> bool:
        """Return whether a process may serve."""
        process = self.processes[name]
        reached = sum(self.now - at < 2.0 for at in process.heartbeat_at.values())
        return process.replica.readiness(reached, len(process.heartbeat_at), self.now).ready

    def serve(self, name: str) -> int:
        """Return the version that a process would serve a request with, 0 for none."""
        return self.version(name) if self.is_ready(name) else 0

    def _schedule(self, delay: float, process: Process, callback: Callable[[], None]) -> None:
        def run_event() -> None:
            if process.frozen:
                process.waiting.append(run_event)
            elif not process.dead:
                callback()

        heapq.heappush(self._events, (self.now + delay, next(self._order), run_event))

    def _tick(self, process: Process) -> None:
        for action in process.replica.plan_actions(self._list_peers(process), self.now):
            match action:
                case ReadTable(after):
                    self._read(process, after)
                case PullFrom(peer, above):
                    self._pull(process, peer, above)
                case PushTo(peer, record) if self.push:
                    self._push(process.name, peer, record)
        self._record_version(process)
        self._schedule(TICK_S, process, lambda: self._tick(process))

    def _list_peers(self, process: Process) -> tuple[Peer, ...]:
        if self.heartbeats:
            return tuple(Peer(name, version) for name, version in process.peer_versions.items())
        return tuple(Peer(name, 0) for name in self.processes if name != process.name)

    def _heartbeat_round(self, process: Process) -> None:
        self._send_heartbeats(process)
        self._schedule(self.interval, process, lambda: self._heartbeat_round(process))

    def _send_heartbeats(self, process: Process) -> None:
        if not self.heartbeats:
            return
        age = process.replica.confirmed_age(self.now)
        version = process.replica.version
        for other in tuple(self.processes.values()):
            if other is process or self.cut(process.name, other.name):
                continue
            self.messages += 1
            self._schedule(
                self.delay, other, self._make_receiver(process.name, other, version, age)
            )

    def _make_receiver(
        self, sender: str, receiver: Process, version: int, age: float | None
    ) -> Callable[[], None]:
        def receive() -> None:
            receiver.peer_versions[sender] = version
            receiver.heartbeat_at[sender] = self.now
            seen = receiver.replica.highest_seen
            # A request may arrive after the view was updated but before the replica is.
            self._record_version(receiver)
            receiver.replica.receive_heartbeat(version, age, self.now)
            if version > seen:
                self._wake(receiver)

        return receive

    def _wake(self, process: Process) -> None:
        for action in process.replica.plan_actions(self._list_peers(process), self.now):
            match action:
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
                    process.replica.record_failed_read(self.now)
            self._record_version(process)

        self._schedule(5 * self.delay, process, answer)

    def read_stale(self, name: str, rows: tuple[Row, ...]) -> None:
        """Deliver an outdated answer of the table to a process."""
        process = self.processes[name]
        process.replica.receive_rows(rows, self.now, self.now)
        self._record_version(process)

    def _pull(self, process: Process, peer: str, above: int) -> None:
        other = self.processes.get(peer)
        able = other is not None and not other.frozen and not other.dead
        broken = self.cut(process.name, peer) or self.cut(peer, process.name)
        self.messages += 2

        def answer() -> None:
            record = other.replica.record if other is not None and able and not broken else None
            if record is None or record.version <= above:
                process.replica.record_failed_pull(self.now)
            else:
                process.replica.offer(record, Source.PEER, self.now)
            self._record_version(process)

        self._schedule(4 * self.delay, process, answer)

    def _push(self, sender: str, receiver: str, record: BundleRecord) -> None:
        process = self.processes[receiver]
        self.messages += 2
        if not self.cut(sender, receiver):
            self._schedule(2 * self.delay, process, lambda: self._receive_push(process, record))

    def _receive_push(self, process: Process, record: BundleRecord) -> None:
        process.replica.offer(record, Source.PEER, self.now)
        self._record_version(process)

    def _record_version(self, process: Process) -> None:
        version = process.replica.version
        if self.processes.get(process.name) is process:
            process.served.append((self.now, self.serve(process.name)))
        last = process.history[-1][1] if process.history else 0
        if version != last:
            process.history.append((self.now, version))
            self._send_heartbeats(process)
