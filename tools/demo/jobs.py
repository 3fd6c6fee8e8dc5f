"""
Jobs of the demonstration
=========================

Submit jobs, two of which fit on no host, wait for their ends and compare their results.
"""

from __future__ import annotations

import hashlib
import time
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec
import urllib3
from urllib3.exceptions import HTTPError

from tools.demo.bundle import TEAM
from tools.demo.topology import Entry

__all__ = ["JobCounts", "follow_jobs", "submit_jobs"]

UNPLACEABLE_SIZES = (
    {"processors": 4_000, "memory": 1_024},
    {"processors": 2, "memory": 1_024, "accelerators": 64},
)
LONG_WORK = 6_000
SHORT_WORK = 800
LONG_JOB_INTERVAL = 3
MAX_TRIES = 40
RETRY_DELAY_S = 0.3
END_TIMEOUT_S = 40.0
ACCEPTED = 202
NEVER_FITS = 422
OK = 200


@dataclass(slots=True)
class JobCounts:
    """Counts of jobs by outcome."""

    submitted: int = 0
    accepted: int = 0
    never_fits: int = 0
    finished: int = 0
    correct_results: int = 0
    evicted: int = 0
    resumed: int = 0
    unfinished: int = 0


def submit_jobs(entries: tuple[Entry, ...], count: int, counts: JobCounts) -> dict[str, str]:
    """Submit jobs through the entry hosts in turn; return accepted jobs with their inputs."""
    accepted = {}
    for number, body in enumerate(_make_bodies(count)):
        counts.submitted += 1
        answer = _submit(entries, number, body)
        if answer is None:
            continue
        if answer.status == NEVER_FITS:
            counts.never_fits += 1
        elif answer.status == ACCEPTED:
            counts.accepted += 1
            accepted[msgspec.json.decode(answer.data)["job"]] = f"program {number}"
    return accepted


def follow_jobs(entries: tuple[Entry, ...], jobs: dict[str, str], counts: JobCounts) -> None:
    """Wait until every job has ended, and count the outcomes."""
    deadline = time.monotonic() + END_TIMEOUT_S
    unfinished_jobs = set(jobs)
    while unfinished_jobs and time.monotonic() < deadline:
        for job in sorted(unfinished_jobs):
            status = _call(entries, "GET", f"/v1/jobs/{job}")
            if status is None or status.status != OK:
                continue
            fields = msgspec.json.decode(status.data)
            if fields["state"] in ("queued", "running"):
                continue
            unfinished_jobs.discard(job)
            _count_end(entries, job, fields, jobs[job], counts)
        time.sleep(RETRY_DELAY_S)
    counts.unfinished += len(unfinished_jobs)


def _make_bodies(count: int) -> Iterator[dict[str, object]]:
    """Yield the bodies of submissions, those that fit on no host first."""
    for number in range(count):
        size = {"processors": 8, "memory": 4_096}
        if number < len(UNPLACEABLE_SIZES):
            size = UNPLACEABLE_SIZES[number]
        work = LONG_WORK if number % LONG_JOB_INTERVAL == 0 else SHORT_WORK
        payload = msgspec.json.encode({"work": work, "input": f"program {number}"}).decode()
        yield {"kind": "placement-program", "team": TEAM, "payload": payload, **size}


def _submit(
    entries: tuple[Entry, ...], number: int, body: dict[str, object]
) -> urllib3.BaseHTTPResponse | None:
    """Submit one job, with the same idempotency key in each attempt."""
    headers = {"Idempotency-Key": f"job-{number}", "Content-Type": "application/json"}
    return _call(entries[number % len(entries) :] + entries, "POST", "/v1/jobs", body, headers)


def _call(
    entries: tuple[Entry, ...],
    method: str,
    path: str,
    body: dict[str, object] | None = None,
    headers: dict[str, str] | None = None,
) -> urllib3.BaseHTTPResponse | None:
    """Try one entry host after the other until one gives an answer other than 503."""
    content = None if body is None else msgspec.json.encode(body)
    for attempt in range(MAX_TRIES):
        entry = entries[attempt % len(entries)]
        try:
            answer = urllib3.request(
                method,
                f"{entry.callers}{path}",
                body=content,
                headers=headers,
                timeout=3.0,
                retries=False,
            )
        except HTTPError:
            time.sleep(RETRY_DELAY_S)
            continue
        if answer.status != 503:
            return answer
        time.sleep(RETRY_DELAY_S)
    return None


def _count_end(
    entries: tuple[Entry, ...], job: str, fields: dict[str, object], text: str, counts: JobCounts
) -> None:
    """Count one ended job and verify its result."""
    if fields["state"] != "finished":
        counts.unfinished += 1
        return
    counts.finished += 1
    counts.evicted += bool(fields["evictions"])
    counts.resumed += bool(fields["evictions"]) or fields["attempt"] != 1
    result = _call(entries, "GET", f"/v1/jobs/{job}/result")
    expected = hashlib.sha256(text.encode()).hexdigest().encode()
    counts.correct_results += result is not None and result.data == expected
