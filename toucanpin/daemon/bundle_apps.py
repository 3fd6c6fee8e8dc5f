"""
HTTP interface of bundles
=========================

The WSGI applications with which operators submit a signed bundle and see the bundle in force, the
history of versions and the version in force in each process.
"""

from __future__ import annotations

import threading
import time
import urllib.parse
import uuid
from collections.abc import Iterable
from typing import Any

import logbook
import msgspec
from expression import Result

from toucanpin.bundles.acceptance import (
    Accepted,
    Commit,
    Conflicted,
    NotAccepted,
    Outcome,
    Pause,
    Read,
    Refused,
    Submission,
    Uncertain,
    accept_bundle,
)
from toucanpin.bundles.record import BundleRecord, decode_record, make_version_key
from toucanpin.bundles.signature import KeyRing, SignedBundle
from toucanpin.daemon.bundles import BundleReplicator
from toucanpin.daemon.gossip import Gossip
from toucanpin.daemon.interfaces import EventSink, WsgiApp
from toucanpin.daemon.web import StartResponse, answer_json, answer_refusal
from toucanpin.decoding import decode_json
from toucanpin.exception import MalformedError
from toucanpin.membership.member import Standing
from toucanpin.platform.ports import Row, Table
from toucanpin.verdict import Reason, Refusal, Verdict

__all__ = [
    "BundleRollout",
    "History",
    "ProcessBundle",
    "SubmitAnswer",
    "SubmitRequest",
    "VersionEntry",
    "make_bundle_apps",
]

MAX_BODY_BYTES = 1_048_576
MAX_HISTORY_VERSIONS = 100
DEFAULT_HISTORY_VERSIONS = 20
RETRY_AFTER_S = 5.0

_log = logbook.Logger("submission")


class SubmitRequest(msgspec.Struct, frozen=True):
    """Request to accept a signed bundle as the successor of version ``expected``."""

    expected: int
    signed: SignedBundle


class SubmitAnswer(msgspec.Struct, frozen=True):
    """
    Outcome of a submission.

    ``outcome`` is accepted, refused, conflict, unavailable or uncertain; ``version``, ``digest``
    and ``operator`` describe the accepted bundle or, after a conflict, the one accepted instead.
    """

    outcome: str
    verdict: str
    reason: str = ""
    version: int = 0
    digest: str = ""
    operator: str = ""
    repeated: bool = False
    detail: tuple[str, ...] = ()


class VersionEntry(msgspec.Struct, frozen=True):
    """One accepted version; ``accepted_at`` is in seconds of the wall clock."""

    version: int
    digest: str
    operator: str
    accepted_at: float


class History(msgspec.Struct, frozen=True):
    """Accepted versions, newest first."""

    versions: tuple[VersionEntry, ...]


class ProcessBundle(msgspec.Struct, frozen=True):
    """Version that a process reports to have in force."""

    name: str
    site: str
    standing: str
    version: int


class BundleRollout(msgspec.Struct, frozen=True):
    """Version in force in this process and in every member that is not gone."""

    version: int
    everywhere: bool
    processes: tuple[ProcessBundle, ...]


def make_bundle_apps(
    bundles: BundleReplicator,
    gossip: Gossip,
    table: Table,
    key_ring: KeyRing,
    events: EventSink | None = None,
) -> dict[str, WsgiApp]:
    """Return the applications by path."""
    apps = _BundleApps(bundles, gossip, table, key_ring, events)
    return {
        "/v1/bundle": apps.serve_bundle,
        "/v1/bundle/history": apps.serve_history,
        "/v1/bundle/force": apps.serve_rollout,
    }


class _BundleApps:
    """Applications that serve operators' requests about bundles."""

    def __init__(
        self,
        bundles: BundleReplicator,
        gossip: Gossip,
        table: Table,
        key_ring: KeyRing,
        events: EventSink | None,
    ) -> None:
        self._bundles = bundles
        self._gossip = gossip
        self._table = table
        self._key_ring = key_ring
        self._events = events

    def serve_bundle(self, environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Show the bundle in force, or accept a submission."""
        match environ["REQUEST_METHOD"]:
            case "GET":
                return answer_json(start, self._bundles.status())
            case "POST":
                return self._submit(environ, start)
        return _refuse(start, "use GET or POST")

    def serve_history(self, environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """List the newest accepted versions."""
        query = urllib.parse.parse_qs(environ.get("QUERY_STRING", ""))
        text = query.get("limit", [str(DEFAULT_HISTORY_VERSIONS)])[0]
        if not text.isdecimal() or not 1 <= int(text) <= MAX_HISTORY_VERSIONS:
            return _refuse(start, f"limit is {text!r}; allowed: 1 to {MAX_HISTORY_VERSIONS}")
        return answer_json(start, History(tuple(self._list_versions(int(text)))))

    def serve_rollout(self, environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Show which version is in force in each process."""
        processes = tuple(
            ProcessBundle(m.name, m.site, m.standing.value, m.bundle)
            for m in self._gossip.members()
            if m.standing is not Standing.GONE
        )
        version = self._gossip.own.bundle
        everywhere = version > 0 and all(each.version == version for each in processes)
        return answer_json(start, BundleRollout(version, everywhere, processes))

    def _list_versions(self, limit: int) -> Iterable[VersionEntry]:
        newest = self._gossip.own.bundle
        for version in range(newest, max(0, newest - limit), -1):
            match self._table.read(make_version_key(version)):
                case Result(tag="ok", ok=Row(value=value)):
                    yield from _decode_entry(value)

    def _submit(self, environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        length = environ.get("CONTENT_LENGTH") or ""
        if not length.isdecimal() or int(length) > MAX_BODY_BYTES:
            return _refuse(
                start, f"a body of 1 to {MAX_BODY_BYTES} bytes with its length is needed"
            )
        try:
            body = environ["wsgi.input"].read(int(length))
            request = decode_json(body, SubmitRequest)
        except MalformedError as error:
            return _refuse(start, f"not a submission: {error}")
        operator = _identify_operator(environ, request.signed)
        outcome = self._accept(request, operator)
        self._record_outcome(outcome, operator)
        return _answer(start, outcome)

    def _accept(self, request: SubmitRequest, operator: str) -> Outcome:
        submission = Submission(request.signed, request.expected, operator, time.time())
        steps = accept_bundle(self._key_ring, submission, lambda: uuid.uuid4().hex)
        answer: Any = None
        while True:
            try:
                action = steps.send(answer)
            except StopIteration as stop:
                outcome: Outcome = stop.value
                return outcome
            match action:
                case Read(key):
                    answer = self._table.read(key)
                case Commit(transaction):
                    answer = self._table.commit(transaction)
                case Pause(seconds):
                    answer = threading.Event().wait(seconds)

    def _record_outcome(self, outcome: Outcome, operator: str) -> None:
        kind = type(outcome).__name__.lower()
        _log.notice("bundle submitted by {}: {}", operator, kind)
        match outcome:
            case Accepted(record, repeated):
                if not repeated or record.version == self._gossip.own.bundle + 1:
                    self._bundles.apply_accepted(record)
                ids = {"bundle": str(record.version)}
            case _:
                ids = {}
        if self._events is not None:
            self._events.record(f"bundle.{kind}", ids, f"submitted by {operator}")


def _answer(start: StartResponse, outcome: Outcome) -> Iterable[bytes]:
    not_run, may_have_run = Verdict.NOT_RUN.value, Verdict.MAY_HAVE_RUN.value
    status = 200
    headers: dict[str, str] = {}
    match outcome:
        case Accepted(record, repeated):
            answer = SubmitAnswer(
                "accepted",
                Verdict.RAN.value,
                "",
                record.version,
                record.digest,
                record.operator,
                repeated,
            )
        case Refused(faults):
            status = 422
            answer = SubmitAnswer("refused", not_run, Reason.BAD_REQUEST.value, detail=faults)
        case Conflicted(winner, difference):
            status = 409
            answer = _answer_conflict(winner, difference)
        case NotAccepted(detail):
            status = 503
            headers["Retry-After"] = str(int(RETRY_AFTER_S))
            reason = Reason.STORE_UNAVAILABLE.value
            answer = SubmitAnswer("unavailable", not_run, reason, detail=(detail,))
        case Uncertain(detail):
            status = 503
            headers["Retry-After"] = str(int(RETRY_AFTER_S))
            reason = Reason.STORE_UNCERTAIN.value
            answer = SubmitAnswer("uncertain", may_have_run, reason, detail=(detail,))
    headers |= {"Toucanpin-Verdict": answer.verdict}
    if answer.reason:
        headers |= {"Toucanpin-Reason": answer.reason}
    return answer_json(start, answer, status, headers)


def _answer_conflict(winner: BundleRecord | None, difference: tuple[str, ...]) -> SubmitAnswer:
    verdict, reason = Verdict.NOT_RUN.value, Reason.CONFLICT.value
    if winner is None:
        return SubmitAnswer("conflict", verdict, reason, detail=("no bundle is in force yet",))
    return SubmitAnswer(
        "conflict",
        verdict,
        reason,
        winner.version,
        winner.digest,
        winner.operator,
        detail=difference,
    )


def _identify_operator(environ: dict[str, Any], signed: SignedBundle) -> str:
    identity = environ.get("toucanpin.operator") or ""
    return identity or " and ".join(signature.key for signature in signed.signatures)


def _decode_entry(value: bytes) -> Iterable[VersionEntry]:
    match decode_record(value):
        case Result(tag="ok", ok=record):
            yield VersionEntry(record.version, record.digest, record.operator, record.accepted_at)


def _refuse(start: StartResponse, detail: str) -> Iterable[bytes]:
    return answer_refusal(start, Refusal(Verdict.NOT_RUN, Reason.BAD_REQUEST, detail))
