"""
Script
======

The script's own time line: what the scenario brought about and what people were told, under the
names that the scenario gives to jobs.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable, Iterator

from scenarios.model import Action
from toucanpin.placement.submission import name_job
from toucanpin.platform.ports import Size
from toucanpin.timeline.event import Event
from toucanpin.timeline.recorder import Recorder

__all__ = ["Script"]

PROCESS_NAME = "scenario"
ID_KEYS = {"job": "job", "request": "request", "version": "bundle"}


class Script:
    """Record the script, and translate the ids that the system gives to jobs."""

    def __init__(self, read_time: Callable[[], float]) -> None:
        self.recorder = Recorder(PROCESS_NAME, "1", read_time, read_time)
        self.names: dict[str, str] = {}

    def name_job(self, team: str, job: str) -> str:
        """Return the id of a job and remember the scenario's name for it."""
        name = name_job(team, job)
        self.names[name] = job
        return name

    def find_job(self, job: str) -> str:
        """Return the id of a job that was submitted under a name."""
        return next(name for name, each in self.names.items() if each == job)

    def record(self, action: Action) -> None:
        """Put an action on the time line."""
        given = {
            each.name: getattr(action, each.name)
            for each in dataclasses.fields(action)
            if getattr(action, each.name) != each.default
        }
        ids = {ID_KEYS[name]: str(value) for name, value in given.items() if name in ID_KEYS}
        words = (f"{key} {_describe(value)}" for key, value in given.items() if key not in ID_KEYS)
        self.recorder.record(f"script.{type(action).__name__.lower()}", ids, ", ".join(words))

    def translate(self, events: Iterable[Event]) -> Iterator[Event]:
        """Put the scenario's names of jobs into events."""
        for event in events:
            ids = {key: self.names.get(value, value) for key, value in event.ids.items()}
            detail = event.detail
            for job, name in self.names.items():
                detail = detail.replace(job, name)
            yield dataclasses.replace(event, ids=ids, detail=detail)


def _describe(value: object) -> str:
    """Write a field of an action."""
    match value:
        case Size(processors, memory, accelerators):
            return f"{processors}/{memory}/{accelerators}"
        case _:
            return str(value)
