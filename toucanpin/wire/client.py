"""
Client of the inner protocol
============================

Send requests to members, and report for every failure whether the request may have been handled.
"""

from __future__ import annotations

import secrets
import socket
import time
from dataclasses import dataclass

import logbook
from expression import Error, Ok, Result

from toucanpin.exception import WireError
from toucanpin.membership.member import Member
from toucanpin.verdict import Verdict
from toucanpin.wire.codec import MajorVersionError, Purpose, encode
from toucanpin.wire.identity import Identity
from toucanpin.wire.keys import PeerKeys
from toucanpin.wire.messages import Message, Received, Refused
from toucanpin.wire.stream import receive_frame, send_frame

__all__ = ["CallFault", "InnerClient"]

_log = logbook.Logger("wire")
_NONCE_LIMIT = 2**63 - 1


@dataclass(frozen=True, slots=True)
class CallFault:
    """Why a call has no answer, and whether the member may have handled it."""

    verdict: Verdict
    detail: str


class InnerClient:
    """Client of other members, with one connection per call."""

    def __init__(self, identity: Identity, keys: PeerKeys) -> None:
        self._identity = identity
        self._keys = keys

    def call(self, member: Member, request: Message, timeout: float) -> Result[Received, CallFault]:
        """Send one request and return its answer, waiting at most ``timeout`` seconds."""
        deadline = time.monotonic() + timeout
        nonce = secrets.randbelow(_NONCE_LIMIT) + 1
        envelope = self._identity.make_envelope(member.name, nonce)
        frame = encode(self._keys, Purpose.REQUEST, envelope, request)
        try:
            connection = socket.create_connection((member.address, member.port), timeout)
        except OSError as error:
            return Error(CallFault(Verdict.NOT_RUN, f"{member.name} can't be reached: {error}"))
        with connection:
            try:
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                send_frame(connection, frame, deadline)
                answer = receive_frame(connection, deadline)
            except (OSError, WireError) as error:
                return Error(CallFault(Verdict.MAY_HAVE_RUN, f"{member.name}: {error}"))
        return self._check(member, nonce, answer)

    def _check(
        self, member: Member, nonce: int, frame: bytes | None
    ) -> Result[Received, CallFault]:
        if frame is None:
            detail = f"{member.name} closed the connection without an answer"
            return Error(CallFault(Verdict.MAY_HAVE_RUN, detail))
        try:
            received = self._identity.open(self._keys, Purpose.ANSWER, frame)
        except MajorVersionError as error:
            _log.error("inner protocol refused: {}", error)
            return Error(CallFault(Verdict.NOT_RUN, str(error)))
        except WireError as error:
            return Error(CallFault(Verdict.MAY_HAVE_RUN, f"{member.name}: {error}"))
        # A replayed answer of the same member has another nonce.  Without this check it could be
        # taken for a promise that the member didn't give to this request.
        if received.envelope.nonce != nonce:
            detail = f"{member.name}: the answer belongs to another request"
            return Error(CallFault(Verdict.MAY_HAVE_RUN, detail))
        match received.message:
            case Refused(reason):
                return Error(CallFault(Verdict.NOT_RUN, f"{member.name} refused: {reason}"))
        if received.envelope.sender != member.name:
            detail = f"{received.envelope.sender} answered in place of {member.name}"
            return Error(CallFault(Verdict.MAY_HAVE_RUN, detail))
        return Ok(received)
