"""
Control role
============

Drive the turns of a control process with real ports: one thread for the decisions, a pool for the
polls of workers, one thread that refreshes the host list.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor, wait

from expression import Error, Result
from logbook import Logger

from toucanpin.daemon.decisions import perform_table_action
from toucanpin.daemon.parts import BundleView, EventSink, MembershipView
from toucanpin.placement.actions import (
    Action,
    Answer,
    AskStandstill,
    Decision,
    PollAll,
    RecordEvent,
    WorkerPoll,
)
from toucanpin.placement.controller import release_all, take_turn
from toucanpin.placement.interference_aware import InterferenceAwarePolicy
from toucanpin.placement.leases import LeaseTerms
from toucanpin.placement.policy import PlacementPolicy
from toucanpin.placement.records import ControllerId
from toucanpin.placement.state import ClusterView, ControlOptions, ControlState
from toucanpin.platform.ports import HostList, ListedHost, Report, Table, WorkerFault, Workers

__all__ = ["AskPeers", "Control"]

TURN_PERIOD_S = 0.25
HOSTS_PERIOD = 1.0
POLL_THREADS = 16
POLL_WAIT = 0.5
STOP_STEP = 0.05

AskPeers = Callable[[ControllerId, tuple[ControllerId, ...]], frozenset[ControllerId]]

log = Logger("toucanpin.control")


class PollPool:
    """
    Poll many workers at once without waiting for the slowest.

    A worker that doesn't answer would otherwise hold every turn for as long as its poll may take,
    and urgent work on the others with it.  Its report, if one comes, answers a later poll of the
    same epoch: by then it only counts as received later, which shortens what may be granted on it.
    """

    def __init__(self, workers: Workers) -> None:
        self._workers = workers
        self._pool = ThreadPoolExecutor(POLL_THREADS, "poll")
        self._under_way: dict[str, tuple[int, Future[Result[Report, WorkerFault]]]] = {}

    def poll_all(self, asked: tuple[WorkerPoll, ...]) -> tuple[Result[Report, WorkerFault], ...]:
        """Poll each worker that has no poll under way; return what is known after a short wait."""
        for it in asked:
            if it.host.name not in self._under_way:
                future = self._pool.submit(self._workers.poll, it.host, it.poll)
                self._under_way[it.host.name] = (it.poll.epoch, future)
        wait([self._under_way[it.host.name][1] for it in asked], POLL_WAIT)
        return tuple(self._take(it) for it in asked)

    def _take(self, asked: WorkerPoll) -> Result[Report, WorkerFault]:
        """Return a worker's outcome, unless it is late or of another epoch."""
        epoch, future = self._under_way[asked.host.name]
        if not future.done():
            return Error(WorkerFault("no answer yet", reached=True))
        del self._under_way[asked.host.name]
        if epoch != asked.poll.epoch:
            return Error(WorkerFault("the answer is to an earlier epoch", reached=True))
        return future.result()

    def close(self) -> None:
        """Start nothing more."""
        self._pool.shutdown(wait=False, cancel_futures=True)


class Control:
    """
    Run one control process as a part of the daemon.

    ``ask_peers`` asks lives for a standstill promise over the inner protocol, whose handler calls
    `answer_standstill` at the other end.
    """

    def __init__(
        self,
        process: str,
        incarnation: int,
        table: Table,
        workers: Workers,
        hosts: HostList,
        members: MembershipView,
        bundle: BundleView,
        events: EventSink,
        ask_peers: AskPeers,
        terms: LeaseTerms | None = None,
        options: ControlOptions | None = None,
        policy: PlacementPolicy | None = None,
        turn_period: float = TURN_PERIOD_S,
    ) -> None:
        """Connect the ports; nothing is asked before `start`."""
        controller_id = ControllerId(process, incarnation)
        policy = policy or InterferenceAwarePolicy()
        self.state = ControlState(
            controller_id, terms or LeaseTerms(), options or ControlOptions(), policy
        )
        self._table = table
        self._hosts = hosts
        self._members = members
        self._bundle = bundle
        self._events = events
        self._ask_peers = ask_peers
        self._turn_period = turn_period
        self._listed: tuple[ListedHost, ...] = ()
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._cut = threading.Event()
        self._polls = PollPool(workers)
        self._threads = (
            threading.Thread(target=self._run_turns, name="turns", daemon=True),
            threading.Thread(target=self._refresh_hosts, name="hosts", daemon=True),
        )

    def start(self) -> None:
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def stop(self, grace: float) -> None:
        """Release the cells and the authority, so that others take over at once."""
        self._stopping.set()
        deadline = time.monotonic() + grace
        for thread in self._threads:
            thread.join(max(STOP_STEP, deadline - time.monotonic()))
        self._cut.set()
        self._polls.close()

    def is_ready(self) -> bool:
        """Tell whether this process has authority and knows the host list."""
        return bool(self._listed) and self.state.authority.holds(time.monotonic())

    def answer_standstill(self, holder: ControllerId) -> bool:
        """Promise not to fence a holder for one term, or refuse."""
        with self._lock:
            return self.state.watch.answer_standstill(holder, time.monotonic())

    def _run_turns(self) -> None:
        """Take a turn each period until the part is stopped, then release everything."""
        while not self._stopping.is_set():
            began = time.monotonic()
            try:
                self._drive(take_turn(self.state, self._view(began)))
            except Exception:
                # A fault in one turn must not end the renewals, or every task here would stop.
                # Rows change only by compare-and-set, so the next turn starts from the truth.
                log.exception("turn failed")
                for cell in list(self.state.cells.values()):
                    cell.stale = True
            self._stopping.wait(max(0.0, self._turn_period - (time.monotonic() - began)))
        self._drive(release_all(self.state))

    def _view(self, now: float) -> ClusterView:
        return ClusterView(now, self._listed, self._members.members(), self._bundle.current())

    def _drive(self, decision: Decision[None]) -> None:
        """Run a decision; a step and a peer's question never overlap."""
        answer: Answer | None = None
        while not self._cut.is_set():
            with self._lock:
                try:
                    action = next(decision) if answer is None else decision.send(answer)
                except StopIteration:
                    return
            value = self._perform(action)
            answer = Answer(time.monotonic(), value)

    def _perform(self, action: Action) -> object:
        match action:
            case PollAll(polls):
                return self._polls.poll_all(polls)
            case AskStandstill(holder, peers):
                return self._ask_peers(holder, peers)
            case RecordEvent(kind, ids, detail):
                return self._events.record(kind, ids, detail)
            case _:
                return perform_table_action(self._table, action)

    def _refresh_hosts(self) -> None:
        """Keep the newest host list that could be read."""
        while not self._stopping.is_set():
            outcome = self._hosts.hosts()
            if outcome.is_ok():
                self._listed = outcome.ok
            self._stopping.wait(HOSTS_PERIOD)
