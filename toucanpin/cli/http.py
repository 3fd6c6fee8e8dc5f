"""
HTTP requests
=============

Send requests to processes.  A failure says whether the request may have taken effect.
"""

from __future__ import annotations

import functools
import http
import ssl
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NoReturn, TypeVar

import click
import msgspec
import urllib3
from expression import Error, Ok, Result
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    LocationValueError,
    NewConnectionError,
    SSLError,
)

from toucanpin import decoding
from toucanpin.cli.access import get_access
from toucanpin.cli.exits import ExitCode
from toucanpin.decoding import decode_json
from toucanpin.exception import MalformedError

__all__ = ["Answer", "RequestFailure", "request", "request_json", "convert", "fail", "read", "send"]

REQUEST_TIMEOUT_S = 10.0
MIN_ERROR_STATUS = 300

Value = TypeVar("Value")


@dataclass(frozen=True, slots=True)
class Answer:
    """Status, headers and body of an answer."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class RequestFailure:
    """Reason why no complete answer arrived, and whether the request may have run anyway."""

    detail: str
    may_have_run: bool


def send(
    method: str,
    url: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout: float = REQUEST_TIMEOUT_S,
) -> Result[Answer, RequestFailure]:
    """Send a request once, without following redirects."""
    access = get_access()
    sent = {**(headers or {}), **access.make_headers(url)}
    try:
        answer = _make_pool(access.ca).request(
            method, url, body=body, headers=sent, timeout=timeout, redirect=False
        )
    except (NewConnectionError, ConnectTimeoutError, LocationValueError) as error:
        return Error(RequestFailure(f"{url} can't be reached, nothing was sent: {error}", False))
    except SSLError as error:
        return Error(_explain_tls(url, error))
    except HTTPError as error:
        return Error(
            RequestFailure(
                f"{url} gave no complete answer, the request may have taken effect: {error}", True
            )
        )
    return Ok(Answer(answer.status, dict(answer.headers), answer.data))


def request(
    method: str,
    url: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout: float = REQUEST_TIMEOUT_S,
) -> Answer:
    """Send a request; exit with an error message if no complete answer arrives."""
    outcome = send(method, url, body, headers, timeout)
    if outcome.is_error():
        fail(outcome.error.detail, ExitCode.UNCERTAIN)
    return outcome.ok


def request_json(
    method: str, url: str, body: Any = None, headers: dict[str, str] | None = None
) -> Any:
    """Send a request with a JSON body and decode the answer; exit if it is a refusal."""
    content = None if body is None else msgspec.json.encode(body)
    answer = request(method, url, content, {"Content-Type": "application/json", **(headers or {})})
    if answer.status >= MIN_ERROR_STATUS:
        _fail_refused(answer)
    try:
        return decode_json(answer.body, Any) if answer.body else None
    except MalformedError as error:
        _fail_invalid_answer(error)


def convert(value: Any, kind: type[Value]) -> Value:
    """Convert a decoded answer to a type; exit if it doesn't match."""
    try:
        return decoding.convert(value, kind)
    except MalformedError as error:
        _fail_invalid_answer(error)


def read(url: str, kind: type[Value]) -> Value:
    """Return the JSON document at a URL, converted to a type."""
    return convert(request_json("GET", url), kind)


def fail(message: str, code: ExitCode) -> NoReturn:
    """Print an error message and exit with a code."""
    click.echo(f"toucanpin: {message}", err=True)
    sys.exit(code)


@functools.cache
def _make_pool(ca: Path | None) -> urllib3.PoolManager:
    """Make a connection pool that trusts the certificates of a file, or else the system's."""
    try:
        context = ssl.create_default_context(cafile=ca)
    except OSError as error:
        fail(f"{ca}: contains no usable certificates: {error}", ExitCode.USAGE)
    return urllib3.PoolManager(retries=False, ssl_context=context)


def _explain_tls(url: str, error: SSLError) -> RequestFailure:
    """Describe a TLS failure; nothing is sent before the certificate has been verified."""
    cause = error.args[0] if error.args else None
    if isinstance(cause, ssl.SSLCertVerificationError):
        detail = f"{url} is not trusted, nothing was sent: {cause.verify_message}; see --ca"
        return RequestFailure(detail, False)
    return RequestFailure(f"{url}: TLS failed, the request may have taken effect: {error}", True)


def _fail_invalid_answer(error: MalformedError) -> NoReturn:
    """Exit because an answer is invalid."""
    fail(f"the answer is invalid, the request may have taken effect: {error}", ExitCode.UNCERTAIN)


def _fail_refused(answer: Answer) -> NoReturn:
    """Exit with the reason of a refusal."""
    text = answer.body.decode(errors="replace").strip()
    try:
        fields = decode_json(answer.body, dict)
        text = f"{fields['reason']} ({fields['verdict']}): {fields['detail']}"
    except (MalformedError, KeyError, TypeError):
        text = f"HTTP {answer.status}: {text}"
    conflict = answer.status == http.HTTPStatus.CONFLICT
    fail(text, ExitCode.CONFLICT if conflict else ExitCode.REFUSED)
