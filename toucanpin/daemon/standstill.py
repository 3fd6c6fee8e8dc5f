"""
Standstill promises between processes
=====================================

Ask the control processes on an owner's roster, over the inner protocol, for a standstill: a
promise not to fence the owner for one term.
"""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from expression import Result

from toucanpin.daemon.gossip import Gossip
from toucanpin.membership.incarnation import get_process_incarnation
from toucanpin.membership.member import Member
from toucanpin.placement.records import ControllerId
from toucanpin.wire.client import InnerClient
from toucanpin.wire.messages import Envelope, Standstill, StandstillAnswer
from toucanpin.wire.server import Handler

__all__ = ["StandstillCalls"]

CALL_TIMEOUT_S = 0.5
MAX_CALLS = 16


class StandstillCalls:
    """Client and handler of requests for standstill promises."""

    __slots__ = ("_client", "_gossip", "_pool", "_term")

    def __init__(self, gossip: Gossip, client: InnerClient, term: float) -> None:
        """Initialize for promises that last ``term`` seconds."""
        self._term = term
        self._gossip = gossip
        self._client = client
        self._pool = ThreadPoolExecutor(MAX_CALLS, thread_name_prefix="standstill")

    def ask_peers(
        self, holder: ControllerId, peers: tuple[ControllerId, ...]
    ) -> frozenset[ControllerId]:
        """Return the peers that promise not to fence the holder."""
        answers = self._pool.map(lambda peer: self._ask(holder, peer), peers)
        return frozenset(peer for peer, promised in zip(peers, answers, strict=True) if promised)

    def make_handler(self, answer: Callable[[ControllerId], bool]) -> Handler:
        """Return the handler of other processes' requests."""
        term = self._term

        def handle(envelope: Envelope, message: Standstill) -> StandstillAnswer:
            """Answer one request."""
            # A process may only ask for a promise to itself.
            if message.owner != envelope.sender:
                return StandstillAnswer(False, f"{envelope.sender} is not {message.owner}")
            # A promise shorter than the sender's term would end while the sender still grants
            # leases, and a process that takes over could then start the same task elsewhere.
            if message.seconds > term:
                return StandstillAnswer(False, f"terms differ: {message.seconds} s, here {term} s")
            promised = answer(
                ControllerId(envelope.sender, get_process_incarnation(envelope.incarnation))
            )
            return StandstillAnswer(promised)

        return handle

    def _ask(self, holder: ControllerId, peer: ControllerId) -> bool:
        """Ask one peer; a promise by another incarnation of the same process does not count."""
        member = self._find_member(peer)
        if member is None:
            return False
        request = Standstill(holder.process, self._term)
        match self._client.call(member, request, CALL_TIMEOUT_S):
            case Result(tag="ok", ok=received):
                match received.message:
                    case StandstillAnswer(promised=promised):
                        return promised and get_process_incarnation(
                            received.envelope.incarnation
                        ) == (peer.incarnation)
        return False

    def _find_member(self, peer: ControllerId) -> Member | None:
        """Return the member with the peer's name and incarnation, None if there is none."""
        for member in self._gossip.members():
            if member.name == peer.process and member.process_incarnation == peer.incarnation:
                return member
        return None
