"""
HTTP interface of jobs
======================

The WSGI application below ``/v1/jobs`` and ``/v1/standing``, which reads and writes JSON.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs

import msgspec
from expression import Result

from toucanpin.daemon.decisions import perform_table_action, run_decision
from toucanpin.daemon.interfaces import BundleView
from toucanpin.daemon.web import answer_refusal
from toucanpin.decoding import decode_json
from toucanpin.exception import MalformedError
from toucanpin.placement.actions import Decision
from toucanpin.placement.jobs import (
    JobFilter,
    JobStatus,
    cancel_job,
    list_jobs,
    list_standing,
    read_status,
)
from toucanpin.placement.queue import list_cell_shapes
from toucanpin.placement.submission import Submission, submit_job
from toucanpin.platform.ports import ListedHost, ObjectStore, Table
from toucanpin.verdict import Reason, Refusal, Verdict

__all__ = ["JobsApp"]

MAX_BODY_OVERHEAD_BYTES = 16_384
MAX_LISTED_JOBS = 10_000


@dataclass(frozen=True, slots=True)
class Reply:
    """One HTTP answer."""

    status: HTTPStatus
    body: bytes
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()


class RefusedError(Exception):
    """Raised if a request is refused; carries the refusal."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


class JobsApp:
    """Application for jobs and standing tasks; ``hosts`` returns the newest known host list."""

    def __init__(
        self,
        table: Table,
        objects: ObjectStore,
        hosts: Callable[[], tuple[ListedHost, ...]],
        bundle: BundleView,
    ) -> None:
        self._table = table
        self._objects = objects
        self._hosts = hosts
        self._bundle = bundle

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer one request."""
        try:
            reply = self._route(environ)
        except RefusedError as refused:
            return answer_refusal(start_response, refused.refusal)
        headers = [
            ("Content-Type", reply.content_type),
            ("Content-Length", str(len(reply.body))),
            *reply.headers,
        ]
        start_response(f"{reply.status.value} {reply.status.phrase}", headers)
        return [reply.body]

    def _route(self, environ: dict[str, Any]) -> Reply:
        method = environ["REQUEST_METHOD"]
        parts = [part for part in environ.get("PATH_INFO", "").split("/") if part]
        match (method, *parts):
            case ("POST", "v1", "jobs"):
                return self._submit(environ)
            case ("GET", "v1", "jobs"):
                return self._list(environ)
            case ("GET", "v1", "jobs", job):
                return make_reply(self._run(read_status(job)))
            case ("DELETE", "v1", "jobs", job):
                return self._cancel(job)
            case ("GET", "v1", "jobs", job, "result"):
                return self._read_result(job)
            case ("GET", "v1", "standing"):
                return make_reply(self._run(list_standing()))
            case ("GET", "v1", "standing", name):
                return self._show_standing(name)
        detail = f"{method} isn't offered here"
        raise RefusedError(Refusal(Verdict.NOT_RUN, Reason.NOT_FOUND, detail))

    def _run(self, decision: Decision[Result[Any, Refusal]]) -> Any:
        """Run a decision on the table and return its value; raise RefusedError if it refuses."""
        outcome = run_decision(decision, lambda action: perform_table_action(self._table, action))
        if outcome.is_error():
            raise RefusedError(outcome.error)
        return outcome.ok

    def _submit(self, environ: dict[str, Any]) -> Reply:
        bundle = self._bundle.current()
        payload = bundle.limits.max_job_payload if bundle else 0
        body = read_body(environ, 2 * payload + MAX_BODY_OVERHEAD_BYTES)
        try:
            request = decode_json(body, Submission)
        except MalformedError as error:
            refusal = Refusal(Verdict.NOT_RUN, Reason.BAD_REQUEST, str(error))
            raise RefusedError(refusal) from error
        key = environ.get("HTTP_IDEMPOTENCY_KEY", "").strip()
        shapes = list_cell_shapes(self._hosts())
        status = self._run(submit_job(request, key, shapes, bundle, time.time()))
        location = (("Location", f"/v1/jobs/{status.job}"),)
        return Reply(HTTPStatus.ACCEPTED, msgspec.json.encode(status), headers=location)

    def _list(self, environ: dict[str, Any]) -> Reply:
        query = parse_qs(environ.get("QUERY_STRING", ""))
        texts = {name: query[name][-1] for name in ("team", "kind", "state") if name in query}
        limit = query.get("limit", ["1000"])[-1]
        if not limit.isdecimal() or not 1 <= int(limit) <= MAX_LISTED_JOBS:
            detail = f"limit must be between 1 and {MAX_LISTED_JOBS}"
            raise RefusedError(Refusal(Verdict.NOT_RUN, Reason.BAD_REQUEST, detail))
        return make_reply(self._run(list_jobs(JobFilter(**texts, limit=int(limit)))))

    def _cancel(self, job: str) -> Reply:
        """Cancel a job; if it has ended otherwise, answer 409 with its status."""
        status: JobStatus = self._run(cancel_job(job))
        code = HTTPStatus.OK if status.state == "cancelled" else HTTPStatus.CONFLICT
        return Reply(code, msgspec.json.encode(status))

    def _read_result(self, job: str) -> Reply:
        """Answer with the bytes of the result, or with the status of a job that has none."""
        status: JobStatus = self._run(read_status(job))
        if status.state in ("queued", "running"):
            return Reply(HTTPStatus.ACCEPTED, msgspec.json.encode(status))
        if not status.result:
            return Reply(HTTPStatus.GONE, msgspec.json.encode(status))
        found = self._objects.get(status.result)
        if found.is_error() or found.ok is None:
            detail = "the result can't be read now"
            raise RefusedError(Refusal(Verdict.NOT_RUN, Reason.STORE_UNAVAILABLE, detail, 2.0))
        return Reply(HTTPStatus.OK, found.ok, "application/octet-stream")

    def _show_standing(self, name: str) -> Reply:
        for status in self._run(list_standing()):
            if status.task == name:
                return make_reply(status)
        detail = f"no standing task {name!r} is wanted"
        raise RefusedError(Refusal(Verdict.NOT_RUN, Reason.NOT_FOUND, detail))


def make_reply(value: Any) -> Reply:
    """Return a reply with a value in JSON."""
    return Reply(HTTPStatus.OK, msgspec.json.encode(value))


def read_body(environ: dict[str, Any], limit: int) -> bytes:
    """Return a request's body; raise RefusedError if its length is missing or above ``limit``."""
    length = environ.get("CONTENT_LENGTH") or ""
    if not length.isdecimal():
        detail = "Content-Length is needed"
        raise RefusedError(Refusal(Verdict.NOT_RUN, Reason.BAD_REQUEST, detail))
    if int(length) > limit:
        detail = f"the body is larger than {limit} bytes"
        raise RefusedError(Refusal(Verdict.NOT_RUN, Reason.TOO_LARGE, detail))
    body: bytes = environ["wsgi.input"].read(int(length))
    return body
