"""
Verdicts
========

What is known about whether a request has run, and the refusal that carries it to a caller.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

__all__ = ["Verdict", "Reason", "Refusal"]


class Verdict(enum.Enum):
    """Say whether a request may have run at an upstream."""

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"


class Reason(enum.Enum):
    """Name why the system itself answered a request."""

    BAD_REQUEST = "bad-request"
    TOO_LARGE = "too-large"
    UNAUTHORIZED = "unauthorized"
    FORBIDDEN = "forbidden"
    UNKNOWN_SERVICE = "unknown-service"
    NOT_FOUND = "not-found"
    CONFLICT = "conflict"
    DUPLICATE = "duplicate"
    DEADLINE = "deadline"
    OVERLOAD = "overload"
    DRAINING = "draining"
    NOT_READY = "not-ready"
    NO_UPSTREAM = "no-upstream"
    UPSTREAM_REFUSED = "upstream-refused"
    UPSTREAM_BROKE = "upstream-broke"
    UPSTREAM_TIMEOUT = "upstream-timeout"
    STORE_UNAVAILABLE = "store-unavailable"
    STORE_UNCERTAIN = "store-uncertain"
    NEVER_FITS = "never-fits"
    CANCELLED = "cancelled"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class Refusal:
    """
    Answer a caller in place of the upstream.

    ``retry_after`` is in seconds; None means that coming back does not help.
    """

    verdict: Verdict
    reason: Reason
    detail: str
    retry_after: float | None = None
