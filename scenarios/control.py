"""
Control processes
=================

Drive the decisions of placement on the virtual clock.
"""

from __future__ import annotations

from functools import partial
from typing import Any

from scenarios.actors import poll_worker
from scenarios.kernel import Loss, Reply
from scenarios.peer import PeerProcess, Surroundings
from toucanpin.placement import actions
from toucanpin.placement.actions import Answer
from toucanpin.placement.controller import release_all, take_turn
from toucanpin.placement.queue import list_cell_shapes
from toucanpin.placement.records import ControllerId
from toucanpin.placement.state import ClusterView, ControlState
from toucanpin.placement.submission import Submission, cancel_job, submit_job

__all__ = ["Control"]

TURN = 0.25
PROMISE_TIMEOUT = 1.0


class Control(PeerProcess):
    """Live one life of a control process."""

    def __init__(self, around: Surroundings, name: str, life: int, site: str) -> None:
        super().__init__(around, name, life, site)
        self.state = ControlState(ControllerId(name, life))
        self._draining = False
        self.after(around.kernel.random.uniform(0.0, TURN), self._turn)

    def shut_down(self) -> None:
        """Release everything after the turn that is under way, and end."""
        super().shut_down()
        self._draining = True

    def submit(self, request: Submission, key: str, reply: Reply) -> None:
        """Accept or refuse a job."""
        shapes = list_cell_shapes(self.hosts)
        decision = submit_job(request, key, shapes, self.current(), self.read_wall())
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
            case actions.RecordEvent(kind, ids, detail):
                self.recorder.record(kind, ids, detail)
                answer(None)
            case actions.Commit(transaction):
                self.around.platform.commit(self, transaction, answer)
            case actions.Read(key):
                self.around.platform.read(self, key, answer)
            case actions.Scan(prefix, after):
                self.around.platform.scan(self, prefix, after, answer)

    def _turn(self) -> None:
        """Take one turn, then another after a pause."""
        if self._draining:
            finish = partial(self.end, True)
            self.drive(release_all(self.state), self.perform, lambda _: finish())
            return
        view = ClusterView(self.read_clock(), self.hosts, self.members(), self.current())
        decision = take_turn(self.state, view)
        self.drive(decision, self.perform, lambda _: self.after(TURN, self._turn))

    def _poll_all(self, polls: tuple[actions.WorkerPoll, ...], answer: Reply) -> None:
        """Poll workers at once and answer when the last has answered."""
        outcomes: dict[int, Any] = {}

        def keep(place: int, outcome: Any) -> None:
            """Keep one worker's outcome."""
            outcomes[place] = outcome
            if len(outcomes) == len(polls):
                answer(tuple(outcomes[each] for each in range(len(polls))))

        for place, each in enumerate(polls):
            find = self.around.workers.get
            poll_worker(self, each.host.name, find, each.poll, partial(keep, place))

    def _ask_standstill(
        self, holder: ControllerId, peers: tuple[ControllerId, ...], answer: Reply
    ) -> None:
        """Ask peers for their promise and answer when the last has answered."""
        outcomes: dict[ControllerId, bool] = {}

        def keep(peer: ControllerId, outcome: object) -> None:
            """Keep one peer's word."""
            outcomes[peer] = outcome is True
            if len(outcomes) == len(peers):
                answer(frozenset(each for each in peers if outcomes[each]))

        for peer in peers:
            promise = partial(self._promise, peer, holder)
            self.call(peer.process, promise, partial(keep, peer), timeout=PROMISE_TIMEOUT)

    def _promise(self, peer: ControllerId, holder: ControllerId) -> bool | Loss:
        """Let a peer decide on a promise, if it is still in the life that was asked."""
        match self.around.peers.get(peer.process):
            case Control(state=state) as control if state.controller_id == peer:
                return state.watch.answer_standstill(holder, control.read_clock())
            case _:
                return Loss("another life", sent=True)
