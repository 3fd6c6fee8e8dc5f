"""
Helpers for WSGI applications
=============================

Provide responses in JSON and text, responses to refused requests, and the mounting of applications
by path prefix.
"""

from __future__ import annotations

import http
import math
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import msgspec

from toucanpin.daemon.interfaces import WsgiApp
from toucanpin.verdict import Reason, Refusal, Verdict

__all__ = ["STATUS_OF_REASON", "answer_json", "answer_refusal", "answer_text", "mount_apps"]

STATUS_OF_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.TOO_LARGE: 413,
    Reason.UNAUTHORIZED: 401,
    Reason.FORBIDDEN: 403,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.NOT_FOUND: 404,
    Reason.CONFLICT: 409,
    Reason.DUPLICATE: 409,
    Reason.DEADLINE: 504,
    Reason.OVERLOAD: 503,
    Reason.DRAINING: 503,
    Reason.NOT_READY: 503,
    Reason.NO_UPSTREAM: 503,
    Reason.UPSTREAM_REFUSED: 503,
    Reason.UPSTREAM_BROKE: 502,
    Reason.UPSTREAM_TIMEOUT: 504,
    Reason.STORE_UNAVAILABLE: 503,
    Reason.STORE_UNCERTAIN: 503,
    Reason.NEVER_FITS: 422,
    Reason.CANCELLED: 409,
    Reason.INTERNAL: 500,
}

StartResponse = Callable[..., Any]


def answer_json(
    start: StartResponse, value: Any, status: int = 200, headers: Mapping[str, str] | None = None
) -> Iterable[bytes]:
    """Respond with a value as JSON."""
    return _answer(start, status, msgspec.json.encode(value), "application/json", headers or {})


def answer_text(
    start: StartResponse,
    text: str,
    status: int = 200,
    content_type: str = "text/plain; charset=utf-8",
) -> Iterable[bytes]:
    """Respond with text."""
    return _answer(start, status, text.encode(), content_type, {})


def answer_refusal(start: StartResponse, refusal: Refusal) -> Iterable[bytes]:
    """Respond with a refusal: its verdict, its reason and, if known, when to retry."""
    headers = {
        "Toucanpin-Verdict": refusal.verdict.value,
        "Toucanpin-Reason": refusal.reason.value,
    }
    if refusal.retry_after is not None:
        headers["Retry-After"] = str(math.ceil(refusal.retry_after))
    body = {
        "verdict": refusal.verdict.value,
        "reason": refusal.reason.value,
        "detail": refusal.detail,
        "retry_after": refusal.retry_after,
    }
    return answer_json(start, body, STATUS_OF_REASON[refusal.reason], headers)


def mount_apps(apps: Mapping[str, WsgiApp]) -> WsgiApp:
    """Return an application that dispatches each request by the longest matching path prefix."""
    prefixes = sorted(apps, key=len, reverse=True)

    def dispatch(environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Dispatch one request."""
        path = environ["PATH_INFO"]
        for prefix in prefixes:
            if path == prefix or path.startswith(prefix.rstrip("/") + "/"):
                return apps[prefix](environ, start)
        detail = f"nothing is served at {path!r}; known are {', '.join(sorted(apps))}"
        return answer_refusal(start, Refusal(Verdict.NOT_RUN, Reason.NOT_FOUND, detail))

    return dispatch


def _answer(
    start: StartResponse, status: int, body: bytes, content_type: str, headers: Mapping[str, str]
) -> Iterable[bytes]:
    """Respond with bytes."""
    status_line = f"{status} {http.HTTPStatus(status).phrase}"
    start(
        status_line,
        [("Content-Type", content_type), ("Content-Length", str(len(body))), *headers.items()],
    )
    return [body]
