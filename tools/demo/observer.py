"""
Observer of standing tasks
==========================

Poll the workers for their running tasks, and measure the gaps of each standing task and the number
of polls in which two workers ran it.
"""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass, field

import msgspec
import urllib3
from urllib3.exceptions import HTTPError

from tools.demo.topology import Worker

__all__ = ["Observer", "ObservedTask"]

POLL_PERIOD_S = 0.1
REQUEST_TIMEOUT_S = 0.5


@dataclass(slots=True)
class ObservedTask:
    """Observations of one task; ``gap`` is the longest time in seconds without it."""

    gap: float = 0.0
    duplicates_seen: int = 0
    seen_at: float | None = None
    hosts: list[str] = field(default_factory=list)


class Observer:
    """Thread that observes standing tasks until stopped."""

    __slots__ = ("_stopping", "_thread", "_workers", "watched")

    def __init__(self, workers: tuple[Worker, ...], tasks: tuple[str, ...]) -> None:
        """Initialize an observer of tasks on workers."""
        self._workers = workers
        self.watched = {task: ObservedTask() for task in tasks}
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stopping.set()
        self._thread.join()

    def find_host(self, task: str) -> str:
        """Return the worker on which a task was last seen, empty if nowhere yet."""
        hosts = self.watched[task].hosts
        return hosts[-1] if hosts else ""

    def _run(self) -> None:
        """Poll the workers once a period."""
        while not self._stopping.wait(POLL_PERIOD_S):
            self._poll_workers()

    def _poll_workers(self) -> None:
        """Poll every worker once and record where each task runs."""
        running = {worker.name: _read_running(worker) for worker in self._workers}
        now = time.monotonic()
        for task, watched in self.watched.items():
            hosts = [name for name, tasks in running.items() if task in tasks]
            watched.duplicates_seen += len(hosts) > 1
            if hosts:
                _record_sighting(watched, hosts[0], now)


def _record_sighting(watched: ObservedTask, host: str, now: float) -> None:
    """Record that a task runs on a host."""
    if watched.seen_at is not None:
        watched.gap = max(watched.gap, now - watched.seen_at)
    watched.seen_at = now
    if not watched.hosts or watched.hosts[-1] != host:
        watched.hosts.append(host)


def _read_running(worker: Worker) -> set[str]:
    """Return the tasks that a worker reports as running, none if it does not answer."""
    try:
        answer = urllib3.request(
            "GET", f"{worker.url}/log", timeout=REQUEST_TIMEOUT_S, retries=False
        )
    except HTTPError:
        return set()
    log = msgspec.json.decode(answer.data)
    return {entry["task"] for entry in log if entry["stopped_at"] is None}
