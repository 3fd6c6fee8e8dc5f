"""
Control processes
=================

Drive the decisions of placement on the virtual clock.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

from expression import Result

from scenarios.actors import Platform, Process, SimulatedWorker, poll_worker
from scenarios.kernel import Kernel, Loss, Network, Reply
from toucanpin.bundles.schema import Bundle
from toucanpin.membership.member import Member
from toucanpin.placement import actions
from toucanpin.placement.actions import Answer
from toucanpin.placement.controller import release_all, take_turn
from toucanpin.placement.queue import shape_cells
from toucanpin.placement.records import Life
from toucanpin.placement.state import ControlState, View
from toucanpin.placement.submission import Submission, cancel_job, submit_job
from toucanpin.platform.ports import ListedHost

__all__ = ["Control", "Neighbours", "perform_at_table"]

TURN = 0.25
HOST_LIST_PERIOD = 1.0


class Neighbours:
    """Find whatever bears a name now: the seam through which actors reach each other."""

    def __init__(self) -> None:
        self.workers: dict[str, SimulatedWorker] = {}
        self.processes: dict[str, Process] = {}

    def find_control(self, life: Life) -> Control | None:
        """Return a control process in this very life."""
        match self.processes.get(life.process):
            case Control(life=number) as control if number == life.incarnation:
                return control
            case _:
                return None


class Control(Process):
    """Live one life of a control process."""

    def __init__(
        self,
        kernel: Kernel,
        network: Network,
        platform: Platform,
        neighbours: Neighbours,
        name: str,
        life: int,
        show_members: Callable[[Process], tuple[Member, ...]],
        show_bundle: Callable[[Process], Bundle | None],
    ) -> None:
        super().__init__(kernel, network, name, life)
        self.state = ControlState(Life(name, life))
        self._platform = platform
        self._neighbours = neighbours
        self._show_members = show_members
        self._show_bundle = show_bundle
        self._hosts: tuple[ListedHost, ...] = ()
        self._draining = False
        self._list_hosts()
        self.after(kernel.random.uniform(0.0, TURN), self._turn)

    def shut_down(self) -> None:
        """Release everything after the turn that is under way, and end."""
        self._draining = True

    def submit(self, request: Submission, key: str, reply: Reply) -> None:
        """Accept or refuse a job."""
        shapes = shape_cells(self._hosts)
        bundle = self._show_bundle(self)
        decision = submit_job(request, key, shapes, bundle, self.read_wall())
        self.drive(decision, self.perform, reply)

    def cancel(self, job: str, reply: Reply) -> None:
        """Cancel a job."""
        self.drive(cancel_job(job), self.perform, reply)

    def perform(self, action: actions.Action, reply: Reply) -> None:
        """Carry out an action and reply with its answer."""

        def answer(value: Any) -> None:
            """Put the outcome beside the time at which it was known."""
            reply(Answer(self.read_clock(), value))

        match action:
            case actions.PollAll(polls):
                self._poll_all(polls, answer)
            case actions.AskStandstill(holder, peers):
                self._ask_standstill(holder, peers, answer)
            case actions.Note(kind, ids, detail):
                self.recorder.record(kind, ids, detail)
                answer(None)
            case _:
                perform_at_table(self._platform, self, action, answer)

    def _turn(self) -> None:
        """Take one turn, then another after a pause."""
        if self._draining:
            self.drive(release_all(self.state), self.perform, self._end)
            return
        view = View(
            self.read_clock(),
            self._hosts,
            self._show_members(self),
            self._show_bundle(self),
        )
        decision = take_turn(self.state, view)
        self.drive(decision, self.perform, lambda _: self.after(TURN, self._turn))

    def _end(self, _: object) -> None:
        """Be gone."""
        self.recorder.record("process.stopped", {})
        self.alive = False
        self.network.remove(self.name)

    def _list_hosts(self) -> None:
        """Read the host list again and again."""

        def keep(found: Result) -> None:
            """Keep the newest list that was read."""
            self._hosts = found.ok if found.is_ok() else self._hosts
            self.after(HOST_LIST_PERIOD, self._list_hosts)

        self._platform.list_hosts(self, keep)

    def _poll_all(self, polls: tuple[actions.WorkerPoll, ...], answer: Reply) -> None:
        """Poll workers at once and answer when the last has answered."""
        outcomes: dict[int, Any] = {}

        def keep(place: int, outcome: Any) -> None:
            """Keep one worker's outcome."""
            outcomes[place] = outcome
            if len(outcomes) == len(polls):
                answer(tuple(outcomes[each] for each in range(len(polls))))

        for place, each in enumerate(polls):
            poll_worker(
                self,
                each.host.name,
                self._neighbours.workers.get,
                each.poll,
                partial(keep, place),
            )

    def _ask_standstill(self, holder: Life, peers: tuple[Life, ...], answer: Reply) -> None:
        """Ask peers for their promise and answer when the last has answered."""
        outcomes: dict[Life, bool] = {}

        def keep(peer: Life, outcome: object) -> None:
            """Keep one peer's word."""
            outcomes[peer] = outcome is True
            if len(outcomes) == len(peers):
                answer(frozenset(each for each in peers if outcomes[each]))

        for peer in peers:
            self.call(
                peer.process,
                partial(self._promise, peer, holder),
                partial(keep, peer),
                timeout=1.0,
            )

    def _promise(self, peer: Life, holder: Life) -> bool | Loss:
        """Let a peer decide on a promise."""
        control = self._neighbours.find_control(peer)
        if control is None:
            return Loss("another life", sent=True)
        return control.state.watch.answer_standstill(holder, control.read_clock())


def perform_at_table(platform: Platform, caller: Process, action: Any, reply: Reply) -> None:
    """Carry out an action at the table."""
    match action:
        case actions.Commit(transaction):
            platform.commit(caller, transaction, reply)
        case actions.Read(key):
            platform.read(caller, key, reply)
        case actions.Scan(prefix, after):
            platform.scan(caller, prefix, after, reply)
