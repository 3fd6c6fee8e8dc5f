"""
HTTP of the tool
================

Requests to a process's HTTP, with failures told apart by whether the request may have run.
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

from toucanpin.cli.access import get_access
from toucanpin.cli.exits import ExitCode

__all__ = ["Answer", "RequestFailure", "request", "request_json", "convert", "fail", "read", "send"]

REQUEST_TIMEOUT_S = 10.0
MIN_ERROR_STATUS = 300

Value = TypeVar("Value")


@dataclass(frozen=True, slots=True)
class Answer:
    """Hold an answer's status, headers and body."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class RequestFailure:
    """Say why no whole answer came, and whether the request may have run nevertheless."""

    detail: str
    may_have_run: bool


def send(
    method: str,
    url: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout: float = REQUEST_TIMEOUT_S,
) -> Result[Answer, RequestFailure]:
    """Send one request once; redirects are not followed."""
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
            RequestFailure(f"{url} gave no whole answer, it may have acted: {error}", True)
        )
    return Ok(Answer(answer.status, dict(answer.headers), answer.data))


def request(
    method: str,
    url: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout: float = REQUEST_TIMEOUT_S,
) -> Answer:
    """Send one request; end the tool with a clear message if no answer comes."""
    outcome = send(method, url, body, headers, timeout)
    if outcome.is_error():
        fail(outcome.error.detail, ExitCode.UNCERTAIN)
    return outcome.ok


def request_json(
    method: str, url: str, body: Any = None, headers: dict[str, str] | None = None
) -> Any:
    """Send one request with a JSON body; end the tool if the answer is a refusal."""
    content = None if body is None else msgspec.json.encode(body)
    answer = request(method, url, content, {"Content-Type": "application/json", **(headers or {})})
    if answer.status >= MIN_ERROR_STATUS:
        _fail_refused(answer)
    try:
        return msgspec.json.decode(answer.body) if answer.body else None
    except msgspec.MsgspecError as error:
        _fail_invalid_answer(error)


def convert(value: Any, kind: type[Value]) -> Value:
    """Give an answer its type; end the tool if it isn't of that type."""
    try:
        return msgspec.convert(value, kind)
    except msgspec.MsgspecError as error:
        _fail_invalid_answer(error)


def read(url: str, kind: type[Value]) -> Value:
    """Read what stands at a URL."""
    return convert(request_json("GET", url), kind)


def fail(message: str, code: ExitCode) -> NoReturn:
    """End the tool with a message and an exit code."""
    click.echo(f"toucanpin: {message}", err=True)
    sys.exit(code)


@functools.cache
def _make_pool(ca: Path | None) -> urllib3.PoolManager:
    """Make the pool that trusts one file of certificates, or else the machine's."""
    try:
        context = ssl.create_default_context(cafile=ca)
    except OSError as error:
        fail(f"{ca}: holds no certificates that can be used: {error}", ExitCode.USAGE)
    return urllib3.PoolManager(retries=False, ssl_context=context)


def _explain_tls(url: str, error: SSLError) -> RequestFailure:
    """Tell a failed check of the certificate, before which nothing is sent, from later faults."""
    cause = error.args[0] if error.args else None
    if isinstance(cause, ssl.SSLCertVerificationError):
        detail = f"{url} is not trusted, nothing was sent: {cause.verify_message}; see --ca"
        return RequestFailure(detail, False)
    return RequestFailure(f"{url}: TLS failed, it may have acted: {error}", True)


def _fail_invalid_answer(error: msgspec.MsgspecError) -> NoReturn:
    """End the tool because an answer came that it can't read."""
    fail(f"the answer can't be understood, it may have acted: {error}", ExitCode.UNCERTAIN)


def _fail_refused(answer: Answer) -> NoReturn:
    """End the tool with what a refusal says."""
    text = answer.body.decode(errors="replace").strip()
    try:
        fields = msgspec.json.decode(answer.body)
        text = f"{fields['reason']} ({fields['verdict']}): {fields['detail']}"
    except (msgspec.DecodeError, KeyError, TypeError):
        text = f"HTTP {answer.status}: {text}"
    conflict = answer.status == http.HTTPStatus.CONFLICT
    fail(text, ExitCode.CONFLICT if conflict else ExitCode.REFUSED)
