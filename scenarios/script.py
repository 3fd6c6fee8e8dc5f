"""
Script
======

The script's own timeline: the actions of the scenario and the answers to its callers, with the
scenario's names of jobs.
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
    """Record actions, and translate the system's job ids to the scenario's names."""

    def __init__(self, read_time: Callable[[], float]) -> None:
        self.recorder = Recorder(PROCESS_NAME, "1", read_time, read_time)
        self.names: dict[str, str] = {}

    def name_job(self, team: str, job: str) -> str:
        """Return the id of a job and store the scenario's name for it."""
        name = name_job(team, job)
        self.names[name] = job
        return name

    def find_job(self, job: str) -> str:
        """Return the id of a job that was submitted under a name."""
        return next(name for name, each in self.names.items() if each == job)

    def record(self, action: Action) -> None:
        """Record an action on the timeline."""
        given = {
            each.name: getattr(action, each.name)
            for each in dataclasses.fields(action)
            if getattr(action, each.name) != each.default
        }
        ids = {ID_KEYS[name]: str(value) for name, value in given.items() if name in ID_KEYS}
        words = (f"{key} {_describe(value)}" for key, value in given.items() if key not in ID_KEYS)
        self.recorder.record(f"script.{type(action).__name__.lower()}", ids, ", ".join(words))

    def translate(self, events: Iterable[Event]) -> Iterator[Event]:
        """Replace job ids by the scenario's names in events."""
        for event in events:
            ids = {key: self.names.get(value, value) for key, value in event.ids.items()}
            detail = event.detail
            for job, name in self.names.items():
                detail = detail.replace(job, name)
            yield dataclasses.replace(event, ids=ids, detail=detail)


def _describe(value: object) -> str:
    """Return the text of an action's field."""
    match value:
        case Size(processors, memory, accelerators):
            return f"{processors}/{memory}/{accelerators}"
        case _:
            return str(value)
