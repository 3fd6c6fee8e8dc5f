"""
Drains of hosts
===============

Rows of the hosts that operators take out of use, in addition to the platform's host list.
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
    """Drain of a host: the operator, and its start in seconds since 1970."""

    host: str
    operator: str
    since: float


def set_drain(drain: DrainRow, drained: bool) -> Decision[Result[bool, Refusal]]:
    """
    Start or end the drain of a host; return whether anything changed.

    Repeating the call is safe, since only the existence of the row matters.
    """
    uncertain = False
    for attempt in range(MAX_TRIES):
        found = yield Read(DRAIN_PREFIX + drain.host)
        match found.value:
            case Result(tag="ok", ok=row):
                if (row is not None) == drained:
                    return Ok(uncertain)
            case Result(error=fault):
                return Error(_refuse(fault.detail, uncertain))
        write = _make_write(drain, row, drained)
        answer = yield Commit(Transaction(f"drain/{drain.host}/{drain.since}/{attempt}", (write,)))
        match answer.value:
            case Result(tag="ok", ok=Committed()):
                return Ok(True)
            case Result(tag="error", error=Unavailable(detail)) if not uncertain:
                return Error(_refuse(detail, uncertain))
            case _:
                # The answer was lost or another operator changed the row: read it back.
                uncertain = True
    return Error(_refuse("the outcome could not be read back", uncertain))


def apply_drains(hosts: Iterable[ListedHost], drained: frozenset[str]) -> tuple[ListedHost, ...]:
    """Mark the drained hosts of a list as leaving."""
    return tuple(replace(host, leaving=True) if host.name in drained else host for host in hosts)


def read_drains(rows: Iterable[Row]) -> tuple[DrainRow, ...]:
    """Return the decoded drains."""
    return tuple(decode(row.value, DrainRow) for row in rows)


def _make_write(drain: DrainRow, row: Row | None, drained: bool) -> Write:
    """Return the write that inserts or deletes a drain's row."""
    version = ABSENT if row is None else row.version
    return Write(DRAIN_PREFIX + drain.host, version, encode(drain) if drained else None)


def _refuse(detail: str, uncertain: bool) -> Refusal:
    """Return a refusal that says whether the change may have taken effect."""
    if uncertain:
        return Refusal(Verdict.MAY_HAVE_RUN, Reason.STORE_UNCERTAIN, detail, RETRY_AFTER_S)
    return Refusal(Verdict.NOT_RUN, Reason.STORE_UNAVAILABLE, detail, RETRY_AFTER_S)
