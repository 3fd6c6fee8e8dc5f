"""
Access control for operators
============================

Operators authenticate by a token whose digest is stored in a file, and need a role to read, submit,
cancel or drain.  Every change that they request is recorded as an event.
"""

from __future__ import annotations

import enum
import hashlib
import hmac
from collections.abc import Iterable
from pathlib import Path
from typing import Annotated, Any

import msgspec

from toucanpin.daemon.interfaces import EventSink, WsgiApp
from toucanpin.daemon.web import StartResponse, answer_refusal
from toucanpin.decoding import convert, decode_toml
from toucanpin.exception import MalformedError, SettingsError
from toucanpin.verdict import Reason, Refusal, Verdict

__all__ = ["Operator", "OperatorRole", "guard_app", "read_operators"]

PUBLIC_PATHS = ("/livez", "/readyz", "/metrics")
READ_METHODS = ("GET", "HEAD")
BEARER_PREFIX = "Bearer "


class OperatorRole(enum.Enum):
    """Permission of an operator."""

    READ = "read"
    SUBMIT = "submit"
    CANCEL = "cancel"
    DRAIN = "drain"


class Operator(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One operator; the token itself is never stored."""

    name: str
    token_sha256: Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]
    roles: tuple[OperatorRole, ...]


class _OperatorsFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Content of the operators' file."""

    operator: tuple[Operator, ...]


def read_operators(path: Path) -> tuple[Operator, ...]:
    """
    Read the operators' file.

    Raises
    ------
    SettingsError
        If the file can't be read or is malformed, or a name or token appears twice.
    """
    try:
        table = decode_toml(path.read_text(encoding="utf-8"))
        operators = convert(table, _OperatorsFile).operator
    except (OSError, UnicodeDecodeError, MalformedError) as error:
        raise SettingsError((f"{path}: {error}",)) from error
    for key in ("name", "token_sha256"):
        values = [getattr(operator, key) for operator in operators]
        duplicates = sorted({value for value in values if values.count(value) > 1})
        if duplicates:
            raise SettingsError((f"{path}: {key} {duplicates[0]!r} appears twice",))
    return operators


def guard_app(app: WsgiApp, operators: tuple[Operator, ...], events: EventSink) -> WsgiApp:
    """Return an application that admits only known operators with the required role."""

    def check(environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Check one request."""
        if environ["PATH_INFO"] in PUBLIC_PATHS:
            return app(environ, start)
        operator = _find_operator(environ.get("HTTP_AUTHORIZATION", ""), operators)
        if operator is None:
            detail = "no token of a known operator; send Authorization: Bearer TOKEN"
            return answer_refusal(start, _refuse(Reason.UNAUTHORIZED, detail))
        role = _find_required_role(environ["REQUEST_METHOD"], environ["PATH_INFO"])
        allowed = role in operator.roles
        _record_change(environ, operator, allowed, events)
        if not allowed:
            detail = f"operator {operator.name!r} lacks the role {role.value!r}"
            return answer_refusal(start, _refuse(Reason.FORBIDDEN, detail))
        environ["toucanpin.operator"] = operator.name
        return app(environ, start)

    return check


def _find_operator(header: str, operators: tuple[Operator, ...]) -> Operator | None:
    """Return the operator whose token the header contains, None if there is none."""
    if not header.startswith(BEARER_PREFIX):
        return None
    digest = hashlib.sha256(header.removeprefix(BEARER_PREFIX).strip().encode()).hexdigest()
    # All digests are compared, each in constant time, so that the duration of the check reveals
    # nothing about a token.
    matches = [
        operator for operator in operators if hmac.compare_digest(operator.token_sha256, digest)
    ]
    return matches[0] if matches else None


def _find_required_role(method: str, path: str) -> OperatorRole:
    """Return the role that a request requires."""
    if method in READ_METHODS:
        return OperatorRole.READ
    if path.startswith("/v1/drain"):
        return OperatorRole.DRAIN
    if method == "DELETE":
        return OperatorRole.CANCEL
    return OperatorRole.SUBMIT


def _record_change(
    environ: dict[str, Any], operator: Operator, allowed: bool, events: EventSink
) -> None:
    """Record which operator requested which change."""
    if environ["REQUEST_METHOD"] in READ_METHODS:
        return
    kind = "operator.allowed" if allowed else "operator.refused"
    detail = f"{operator.name}: {environ['REQUEST_METHOD']} {environ['PATH_INFO']}"
    events.record(kind, {}, detail)


def _refuse(reason: Reason, detail: str) -> Refusal:
    """Return a refusal of a request that did not run."""
    return Refusal(Verdict.NOT_RUN, reason, detail)
