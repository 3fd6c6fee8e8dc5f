"""
Callers
=======

Submit and cancel jobs and send requests over HTTP, and record the answers.
"""

from __future__ import annotations

import time
from collections.abc import Callable

import msgspec
import urllib3
from urllib3.exceptions import HTTPError

from scenarios import model
from scenarios.model import JobEnd, RequestEnd
from scenarios.observations import JobOutcome, Observations, RequestOutcome
from scenarios.script import Script
from scenarios.table_observer import make_work
from tools.demo.topology import Entry

__all__ = ["Callers"]

MAX_ATTEMPTS = 60
RETRY_PAUSE_S = 0.5
TIMEOUT_S = 3.0
MILLISECONDS = 1_000
REFUSED_STATUSES = frozenset({400, 403, 413, 422})
BUSY_STATUS = 503


class Callers:
    """HTTP clients of the system; safe to use from any thread."""

    def __init__(
        self,
        entries: tuple[Entry, ...],
        observations: Observations,
        script: Script,
        read_time: Callable[[], float],
    ) -> None:
        self._entries = entries
        self._observations = observations
        self._script = script
        self._read_time = read_time

    def submit(self, action: model.SubmitJob) -> None:
        """Submit a job, retrying until there is a final answer."""
        work = msgspec.json.encode(make_work(action.job, action.work)).decode()
        fields = {
            "kind": "master",
            "team": action.team,
            "processors": action.size.processors,
            "memory": action.size.memory,
            "accelerators": action.size.accelerators,
            "urgent": action.urgent,
            "payload": work,
        }
        headers = {"Idempotency-Key": action.job, "Content-Type": "application/json"}
        body = msgspec.json.encode(fields)
        answer = self._call(action.through, "POST", "/v1/jobs", body, headers)
        if answer is not None and answer.status in REFUSED_STATUSES:
            now = self._read_time()
            self._observations.jobs.append(JobOutcome(action.job, now, JobEnd.REFUSED))

    def cancel(self, job: str, entry: str) -> None:
        """Cancel a job."""
        self._call(entry, "DELETE", f"/v1/jobs/{self._script.find_job(job)}", b"", {})

    def send(self, action: model.SendRequest) -> None:
        """Send a request once and record its outcome."""
        sent = self._read_time()
        entry = next(each for each in self._entries if each.name == action.through)
        headers = {
            "Toucanpin-Request-Id": action.request,
            "Toucanpin-Idempotent": str(action.idempotent).lower(),
            "Toucanpin-Deadline-Ms": str(int(action.deadline * MILLISECONDS)),
        }
        url = f"{entry.callers}/v1/services/{action.service}/{action.request}"
        valid = True
        try:
            answer = urllib3.request(
                "POST", url, headers=headers, timeout=action.deadline + 1, retries=False
            )
        except urllib3.exceptions.NewConnectionError:
            end = RequestEnd.NOT_RUN
        except HTTPError:
            end = RequestEnd.MAY_HAVE_RUN
        else:
            verdict = answer.headers.get("Toucanpin-Verdict", "")
            ends = {"not-run": RequestEnd.NOT_RUN, "may-have-run": RequestEnd.MAY_HAVE_RUN}
            end = ends.get(verdict, RequestEnd.ANSWERED)
            if end is RequestEnd.ANSWERED:
                valid = msgspec.json.decode(answer.data).get("request") == action.request
        now = self._read_time()
        reported = RequestOutcome(action.request, action.through, sent, now, end, valid)
        self._observations.requests.append(reported)
        self._script.recorder.record("caller.told", {"request": action.request}, end.value)

    def _call(
        self, entry: str, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> urllib3.BaseHTTPResponse | None:
        """Call an entry host, then the others in turn, until one gives a final answer."""
        entries = self._entries
        start = next((at for at, each in enumerate(entries) if each.name == entry), 0)
        for attempt in range(MAX_ATTEMPTS):
            url = f"{entries[(start + attempt) % len(entries)].callers}{path}"
            try:
                answer = urllib3.request(
                    method, url, body=body, headers=headers, timeout=TIMEOUT_S, retries=False
                )
            except HTTPError:
                time.sleep(RETRY_PAUSE_S)
                continue
            if answer.status != BUSY_STATUS:
                return answer
            time.sleep(RETRY_PAUSE_S)
        return None
