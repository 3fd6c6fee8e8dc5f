"""
Beliefs
=======

What processes of the virtual world believe of each other: heartbeats over the faulty network.
"""

from __future__ import annotations

from functools import partial

from scenarios.actors import Process
from toucanpin.membership.member import Member, Standing

__all__ = ["Beliefs"]

HEARTBEAT = 0.3
SILENCE = 1.5


class Beliefs:
    """Keep, for each process, whom it heard of and when."""

    def __init__(self, processes: dict[str, Process]) -> None:
        self._processes = processes
        self._heard: dict[tuple[str, int], dict[str, tuple[Member, float]]] = {}

    def join(self, process: Process) -> None:
        """Let a process send heartbeats for as long as it lives."""
        self._heard[process.name, process.life] = {}
        self._beat(process)

    def show(self, process: Process) -> tuple[Member, ...]:
        """Return the members that a process believes to be there, itself included."""
        now = process.read_clock()
        heard = self._heard[process.name, process.life].values()
        others = (member for member, at in heard if now - at < SILENCE)
        return (describe(process), *others)

    def _beat(self, process: Process) -> None:
        """Tell every other process and do so again."""
        for name in sorted(self._processes):
            if name != process.name:
                news = partial(self._hear, name, describe(process))
                process.network.tell(process.name, name, news)
        process.after(HEARTBEAT, lambda: self._beat(process))

    def _hear(self, name: str, member: Member) -> None:
        """Let a process hear of another's life, unless it knows a later one."""
        process = self._processes[name]
        heard = self._heard[name, process.life]
        known = heard.get(member.name)
        if known is None or known[0].incarnation <= member.incarnation:
            heard[member.name] = (member, process.read_clock())


def describe(process: Process) -> Member:
    """Describe a process as a member."""
    role = process.name.partition("/")[2]
    return Member(
        process.name, process.host, "", role, process.life, "", 0, standing=Standing.ALIVE
    )
