"""
Drains
======

Hosts that operators take out of use: a row for each, beside what the platform's list says of it.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

import msgspec
from expression import Error, Ok, Result

from toucanpin.placement.actions import Commit, Decision, Read
from toucanpin.placement.records import decode, encode
from toucanpin.platform.ports import (
    ABSENT,
    Committed,
    ListedHost,
    Row,
    Transaction,
    Unavailable,
    Write,
)
from toucanpin.verdict import Reason, Refusal, Verdict

__all__ = ["DRAIN_PREFIX", "DrainRow", "apply_drains", "read_drains", "set_drain"]

DRAIN_PREFIX = "drain/"
MAX_TRIES = 3
RETRY_AFTER_S = 2.0


class DrainRow(msgspec.Struct, frozen=True):
    """Say who drained a host, and when (seconds since 1970)."""

    host: str
    operator: str
    since: float


def set_drain(drain: DrainRow, wanted: bool) -> Decision[Result[bool, Refusal]]:
    """
    Begin or end the drain of a host; return whether that changed anything.

    Repeating it is safe: the row is there or it isn't, whoever wrote it.
    """
    uncertain = False
    for attempt in range(MAX_TRIES):
        found = yield Read(DRAIN_PREFIX + drain.host)
        match found.value:
            case Result(tag="ok", ok=row):
                if (row is not None) == wanted:
                    return Ok(uncertain)
            case Result(error=fault):
                return Error(_refuse(fault.detail, uncertain))
        write = _make_write(drain, row, wanted)
        answer = yield Commit(Transaction(f"drain/{drain.host}/{drain.since}/{attempt}", (write,)))
        match answer.value:
            case Result(tag="ok", ok=Committed()):
                return Ok(True)
            case Result(tag="error", error=Unavailable(detail)) if not uncertain:
                return Error(_refuse(detail, uncertain))
            case _:
                # A lost answer or another operator's change: what stands now decides.
                uncertain = True
    return Error(_refuse("the outcome could not be read back", uncertain))


def apply_drains(hosts: Iterable[ListedHost], drained: frozenset[str]) -> tuple[ListedHost, ...]:
    """Mark the drained hosts of a list as leaving."""
    return tuple(replace(host, leaving=True) if host.name in drained else host for host in hosts)


def read_drains(rows: Iterable[Row]) -> tuple[DrainRow, ...]:
    """Read the rows of drains."""
    return tuple(decode(row.value, DrainRow) for row in rows)


def _make_write(drain: DrainRow, row: Row | None, wanted: bool) -> Write:
    """Return the write that brings the row about or takes it away."""
    version = ABSENT if row is None else row.version
    return Write(DRAIN_PREFIX + drain.host, version, encode(drain) if wanted else None)


def _refuse(detail: str, uncertain: bool) -> Refusal:
    """Refuse with what is certain."""
    if uncertain:
        return Refusal(Verdict.MAY_HAVE_RUN, Reason.STORE_UNCERTAIN, detail, RETRY_AFTER_S)
    return Refusal(Verdict.NOT_RUN, Reason.STORE_UNAVAILABLE, detail, RETRY_AFTER_S)
