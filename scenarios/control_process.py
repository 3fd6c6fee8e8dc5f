"""
Control processes
=================

Run the decisions of placement on the virtual clock.
"""

from __future__ import annotations

from functools import partial
from typing import Any

from scenarios.kernel import CallFailure, Reply
from scenarios.peer import PeerProcess, SimulationContext
from scenarios.simulation import poll_worker
from toucanpin.placement import actions
from toucanpin.placement.actions import Answer
from toucanpin.placement.controller import release_all, take_turn
from toucanpin.placement.queue import list_cell_shapes
from toucanpin.placement.records import ControllerId
from toucanpin.placement.state import ClusterView, ControlState
from toucanpin.placement.submission import Submission, cancel_job, submit_job

__all__ = ["ControlProcess"]

TURN_PERIOD_S = 0.25
PROMISE_TIMEOUT_S = 1.0


class ControlProcess(PeerProcess):
    """One incarnation of a control process."""

    def __init__(self, context: SimulationContext, name: str, incarnation: int, site: str) -> None:
        super().__init__(context, name, incarnation, site)
        self.state = ControlState(ControllerId(name, incarnation))
        self._draining = False
        self.after(context.kernel.random.uniform(0.0, TURN_PERIOD_S), self._turn)

    def shut_down(self) -> None:
        """Release all authority after the current turn, and end."""
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
        """Perform an action and reply with its answer."""

        def answer(value: Any) -> None:
            """Reply with the outcome and the time at which it was known."""
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
                self.context.platform.commit(self, transaction, answer)
            case actions.Read(key):
                self.context.platform.read(self, key, answer)
            case actions.Scan(prefix, after):
                self.context.platform.scan(self, prefix, after, answer)

    def _turn(self) -> None:
        """Take a turn and schedule the next one."""
        if self._draining:
            finish = partial(self.end, True)
            self.drive(release_all(self.state), self.perform, lambda _: finish())
            return
        view = ClusterView(self.read_clock(), self.hosts, self.members(), self.current())
        decision = take_turn(self.state, view)
        self.drive(decision, self.perform, lambda _: self.after(TURN_PERIOD_S, self._turn))

    def _poll_all(self, polls: tuple[actions.WorkerPoll, ...], answer: Reply) -> None:
        """Poll workers concurrently and answer once all have answered."""
        outcomes: dict[int, Any] = {}

        def collect(index: int, outcome: Any) -> None:
            """Store one worker's outcome."""
            outcomes[index] = outcome
            if len(outcomes) == len(polls):
                answer(tuple(outcomes[each] for each in range(len(polls))))

        for index, each in enumerate(polls):
            find = self.context.workers.get
            poll_worker(self, each.host.name, find, each.poll, partial(collect, index))

    def _ask_standstill(
        self, holder: ControllerId, peers: tuple[ControllerId, ...], answer: Reply
    ) -> None:
        """Ask peers for a standstill promise and answer once all have answered."""
        outcomes: dict[ControllerId, bool] = {}

        def collect(peer: ControllerId, outcome: object) -> None:
            """Store one peer's answer."""
            outcomes[peer] = outcome is True
            if len(outcomes) == len(peers):
                answer(frozenset(each for each in peers if outcomes[each]))

        for peer in peers:
            promise = partial(self._promise, peer, holder)
            self.call(peer.process, promise, partial(collect, peer), timeout=PROMISE_TIMEOUT_S)

    def _promise(self, peer: ControllerId, holder: ControllerId) -> bool | CallFailure:
        """Return a peer's answer, or a failure if another incarnation of it runs by now."""
        match self.context.peers.get(peer.process):
            case ControlProcess(state=state) as control if state.controller_id == peer:
                return state.watch.answer_standstill(holder, control.read_clock())
            case _:
                return CallFailure("another incarnation", sent=True)
