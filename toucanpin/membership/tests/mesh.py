"""A network of membership views on a virtual clock, for tests and benchmarks."""

from __future__ import annotations

from collections.abc import Callable

from toucanpin.membership.beat import Beat, Change, Record, Timing
from toucanpin.membership.member import Member, Standing
from toucanpin.membership.view import MAX_BEAT_RECORDS, View

__all__ = ["Mesh", "make_member"]

Link = tuple[str, str]


def make_member(name: str, incarnation: int, port: int, site: str = "malaga") -> Member:
    """Return the member of a process."""
    host, _, role = name.partition("/")
    return Member(name, host, site, role, incarnation, "127.0.0.1", port)


class Mesh:
    """Network that delivers heartbeats between views; time advances only in ``run``."""

    def __init__(self, timing: Timing | None = None) -> None:
        self.now = 1_000.0
        self.timing = timing or Timing()
        self.views: dict[str, View] = {}
        self.frozen: dict[str, list[Beat]] = {}
        self.cut: Callable[[str, str], bool] = lambda sender, receiver: False
        self.changes: dict[str, list[Change]] = {}
        self.beats = 0
        self._sequences: dict[str, int] = {}
        self._seeds: set[tuple[str, int]] = set()

    def add(self, member: Member) -> View:
        """Start a process; the first one is the seed of all others."""
        view = View(member, self.timing, self.now)
        self.views[member.name] = view
        self.changes.setdefault(member.name, [])
        self._sequences[member.name] = 0
        if not self._seeds:
            self._seeds.add((member.address, member.port))
        return view

    def run(self, seconds: float) -> None:
        """Run the rounds of every process that is not frozen."""
        for _ in range(round(seconds / self.timing.interval)):
            self.now += self.timing.interval
            for name in tuple(self.views):
                if name not in self.frozen:
                    self._round(name)

    def freeze(self, name: str) -> None:
        """Freeze a process; heartbeats sent to it wait in its socket."""
        self.frozen[name] = []

    def resume(self, name: str) -> None:
        """Resume a process: its overdue timer fires before the waiting heartbeats are read."""
        waiting = self.frozen.pop(name)
        self._round(name)
        for beat in waiting:
            self._deliver(name, beat)

    def get_standing(self, viewer: str, name: str) -> Standing | None:
        """Return the standing of a process in another's view, None if it is not known there."""
        found = [m for m in self.views[viewer].members() if m.name == name]
        return found[0].standing if found else None

    def list_alive(self, viewer: str) -> set[str]:
        """Return the names of the members that are alive in one process's view."""
        members = self.views[viewer].members()
        return {m.name for m in members if m.standing is Standing.ALIVE}

    def make_beat(self, name: str, records: tuple[Record, ...] | None = None) -> Beat:
        """Return the next heartbeat of a process."""
        self._sequences[name] += 1
        beat = self.views[name].make_beat(self._sequences[name])
        return beat if records is None else Beat(beat.sender, beat.digest, records)

    def _round(self, name: str) -> None:
        view = self.views[name]
        self.changes[name] += view.tick(self.now)
        beat = self.make_beat(name)
        known = {(m.address, m.port) for m in view.members()}
        for target in view.list_targets():
            self._send(name, (target.address, target.port), beat)
        for seed in self._seeds - known:
            self._send(name, seed, beat)

    def _send(self, sender: str, endpoint: tuple[str, int], beat: Beat) -> None:
        receiver = self._find(endpoint)
        if receiver is None or self.cut(sender, receiver):
            return
        self.beats += 1
        if receiver in self.frozen:
            self.frozen[receiver].append(beat)
            return
        self._deliver(receiver, beat)

    def _deliver(self, receiver: str, beat: Beat) -> None:
        view = self.views[receiver]
        self.changes[receiver] += view.receive(beat, self.now)
        if not view.needs_answer(beat, self.now):
            return
        sender = beat.sender.member
        answers = view.list_answers(sender.name)
        for start in range(0, len(answers), MAX_BEAT_RECORDS):
            part = self.make_beat(receiver, answers[start : start + MAX_BEAT_RECORDS])
            self._send(receiver, (sender.address, sender.port), part)

    def _find(self, endpoint: tuple[str, int]) -> str | None:
        for name, view in self.views.items():
            if (view.own.address, view.own.port) == endpoint:
                return name
        return None
