"""
HTTP of the tool
================

Requests to a process's HTTP, with failures told apart by whether the request may have run.
"""

from __future__ import annotations

import http
import sys
from dataclasses import dataclass
from typing import Any, NoReturn

import click
import msgspec
import urllib3
from urllib3.exceptions import HTTPError, NewConnectionError

from toucanpin.cli.exits import ExitCode

__all__ = ["Answer", "ask", "ask_json", "fail"]

TIMEOUT_SECONDS = 10.0
FIRST_ERROR_STATUS = 400

_pool = urllib3.PoolManager(retries=False)


@dataclass(frozen=True, slots=True)
class Answer:
    """Hold an answer's status, headers and body."""

    status: int
    headers: dict[str, str]
    body: bytes


def ask(
    method: str,
    url: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout: float = TIMEOUT_SECONDS,
) -> Answer:
    """Send one request; end the tool with a clear message if no answer comes."""
    try:
        answer = _pool.request(method, url, body=body, headers=headers, timeout=timeout)
    except (NewConnectionError, urllib3.exceptions.ConnectTimeoutError) as error:
        fail(f"{url} can't be reached, nothing was sent: {error}", ExitCode.UNCERTAIN)
    except HTTPError as error:
        fail(f"{url} gave no whole answer, it may have acted: {error}", ExitCode.UNCERTAIN)
    return Answer(answer.status, dict(answer.headers), answer.data)


def ask_json(method: str, url: str, body: Any = None, headers: dict[str, str] | None = None) -> Any:
    """Send one request with a JSON body; end the tool if the answer is a refusal."""
    content = None if body is None else msgspec.json.encode(body)
    answer = ask(method, url, content, {"Content-Type": "application/json", **(headers or {})})
    if answer.status >= FIRST_ERROR_STATUS:
        _fail_refused(answer)
    return msgspec.json.decode(answer.body) if answer.body else None


def fail(message: str, code: ExitCode) -> NoReturn:
    """End the tool with a message and an exit code."""
    click.echo(f"toucanpin: {message}", err=True)
    sys.exit(code)


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
