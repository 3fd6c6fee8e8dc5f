"""
Control role
============

Run the turns of a control process: one thread for the decisions, a pool of threads that poll
workers, and one thread that refreshes the host list.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor, wait

from expression import Error, Result
from logbook import Logger

from toucanpin.daemon.decisions import perform_table_action
from toucanpin.daemon.interfaces import BundleView, EventSink, MembershipView
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
HOSTS_REFRESH_PERIOD_S = 1.0
POLL_THREADS = 16
POLL_WAIT_S = 0.5
MIN_JOIN_TIMEOUT_S = 0.05

AskPeers = Callable[[ControllerId, tuple[ControllerId, ...]], frozenset[ControllerId]]

log = Logger("toucanpin.control")


class PollPool:
    """
    Thread pool that polls many workers without waiting for the slowest.

    Otherwise a worker that doesn't answer would delay every turn by the timeout of its poll, and
    with it urgent work on other workers.  A late report answers a later poll of the same epoch.  It
    then counts as received later, which shortens the lease that may be granted on it.
    """

    def __init__(self, workers: Workers) -> None:
        self._workers = workers
        self._pool = ThreadPoolExecutor(POLL_THREADS, "poll")
        self._pending: dict[str, tuple[int, Future[Result[Report, WorkerFault]]]] = {}

    def poll_all(self, polls: tuple[WorkerPoll, ...]) -> tuple[Result[Report, WorkerFault], ...]:
        """Poll each worker without a pending poll; return the outcomes after a short wait."""
        for poll in polls:
            if poll.host.name not in self._pending:
                future = self._pool.submit(self._workers.poll, poll.host, poll.poll)
                self._pending[poll.host.name] = (poll.poll.epoch, future)
        wait([self._pending[poll.host.name][1] for poll in polls], POLL_WAIT_S)
        return tuple(self._collect(poll) for poll in polls)

    def _collect(self, poll: WorkerPoll) -> Result[Report, WorkerFault]:
        """Return a worker's outcome, or a fault if it is missing or of another epoch."""
        epoch, future = self._pending[poll.host.name]
        if not future.done():
            return Error(WorkerFault("no answer yet", reached=True))
        del self._pending[poll.host.name]
        if epoch != poll.poll.epoch:
            return Error(WorkerFault("the answer is to an earlier epoch", reached=True))
        return future.result()

    def close(self) -> None:
        """Shut the pool down without waiting for pending polls."""
        self._pool.shutdown(wait=False, cancel_futures=True)


class Control:
    """
    Component of the daemon that runs one control process.

    ``ask_peers`` asks other control processes for a standstill promise over the inner protocol,
    whose handler calls `answer_standstill` at the other end.
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
        """Initialize without sending any request; `start` starts the turns."""
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
        self._listed_hosts: tuple[ListedHost, ...] = ()
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._aborted = threading.Event()
        self._poll_pool = PollPool(workers)
        self._threads = (
            threading.Thread(target=self._run_turns, name="turns", daemon=True),
            threading.Thread(target=self._refresh_hosts, name="hosts", daemon=True),
        )

    def start(self) -> None:
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def stop(self, grace: float) -> None:
        """Release the cells and the authority, so that other processes take over at once."""
        self._stopping.set()
        deadline = time.monotonic() + grace
        for thread in self._threads:
            thread.join(max(MIN_JOIN_TIMEOUT_S, deadline - time.monotonic()))
        self._aborted.set()
        self._poll_pool.close()

    def is_ready(self) -> bool:
        """Return whether this process has authority and knows the host list."""
        return bool(self._listed_hosts) and self.state.authority.holds(time.monotonic())

    def answer_standstill(self, holder: ControllerId) -> bool:
        """Return whether this process promises not to fence the holder for one term."""
        with self._lock:
            return self.state.watch.answer_standstill(holder, time.monotonic())

    def _run_turns(self) -> None:
        """Run a turn each period until stopped, then release cells and authority."""
        while not self._stopping.is_set():
            began = time.monotonic()
            try:
                self._run_decision(take_turn(self.state, self._make_view(began)))
            except Exception:
                # An exception in one turn must not end the renewals, or every task of this process
                # would stop.  Rows change only by compare-and-set, so the next turn starts from
                # their true state.
                log.exception("turn failed")
                for cell in list(self.state.cells.values()):
                    cell.stale = True
            self._stopping.wait(max(0.0, self._turn_period - (time.monotonic() - began)))
        self._run_decision(release_all(self.state))

    def _make_view(self, now: float) -> ClusterView:
        return ClusterView(now, self._listed_hosts, self._members.members(), self._bundle.current())

    def _run_decision(self, decision: Decision[None]) -> None:
        """Run a decision, excluding `answer_standstill` during each of its steps."""
        answer: Answer | None = None
        while not self._aborted.is_set():
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
                return self._poll_pool.poll_all(polls)
            case AskStandstill(holder, peers):
                return self._ask_peers(holder, peers)
            case RecordEvent(kind, ids, detail):
                return self._events.record(kind, ids, detail)
            case _:
                return perform_table_action(self._table, action)

    def _refresh_hosts(self) -> None:
        """Refresh the host list each period, keeping the old list when a read fails."""
        while not self._stopping.is_set():
            outcome = self._hosts.hosts()
            if outcome.is_ok():
                self._listed_hosts = outcome.ok
            self._stopping.wait(HOSTS_REFRESH_PERIOD_S)
