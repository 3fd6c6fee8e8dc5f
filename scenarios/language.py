"""
Scenario language
=================

Parse scenario files into their model.  Every error names the file and line.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any, TypeVar

from lark import Lark, Token, Transformer, v_args
from lark.exceptions import UnexpectedCharacters, UnexpectedInput, VisitError
from lark.tree import Meta

from scenarios import model
from scenarios.check import find_faults
from scenarios.model import Event, Expectation, Hosts, Location, Scenario, ScenarioError
from toucanpin.bundles.schema import Service, StandingTask, Team
from toucanpin.platform.ports import Size

__all__ = ["parse", "read"]

GRAMMAR = Path(__file__).with_name("grammar.lark")
STANDING_KIND = "encoder"
DEFAULT_SIZE = Size(1, 256)
DEFAULT_TEAM = Team("team", 10**6, 10**9, 10**6)
_TERMINAL_NAMES = {
    "$END": "the end of the file",
    "_NL": "the end of the line",
    "NAME": "a name",
    "KIND": "a kind of event such as cell.take",
    "INT": "a whole number",
    "STRING": "a text in quotes",
    "DURATION": "a duration such as 3s, 20ms or 2min",
    "SIGNED_DURATION": "a signed duration such as -5s",
}
_SECONDS = {"ms": 0.001, "min": 60.0, "s": 1.0}

T = TypeVar("T")

_parser = Lark.open(str(GRAMMAR), parser="lalr", propagate_positions=True)


def read(path: Path) -> Scenario:
    """Parse a scenario file."""
    return parse(path.read_text(encoding="utf-8"), path.name)


def parse(text: str, file: str) -> Scenario:
    """Parse the text of a scenario file."""
    try:
        scenario = _Reader(file).transform(_parser.parse(text))
    except UnexpectedInput as error:
        raise _locate(text, file, error) from None
    except VisitError as error:
        if isinstance(error.orig_exc, ScenarioError):
            raise error.orig_exc from None
        raise
    for fault in find_faults(scenario):
        raise fault
    return scenario


@dataclass(frozen=True, slots=True)
class _Option:
    """An option of a statement: a field and its value."""

    field: str
    value: Any


@dataclass(frozen=True, slots=True)
class _EntryHosts:
    """The entry hosts that a statement names after ``through``."""

    entries: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class _DelayedAction:
    """An action with a delay after the time of its statement."""

    delay: float
    action: Any


def _locate(text: str, file: str, error: UnexpectedInput) -> ScenarioError:
    """Return the location of a syntax error and what was expected there."""
    known = isinstance(error.line, int) and error.line > 0
    line = error.line if known else text.rstrip().count("\n") + 1
    found = text.splitlines()[line - 1][error.column - 1 :] if known and text.strip() else ""
    names = error.allowed if isinstance(error, UnexpectedCharacters) else error.accepts  # type: ignore[attr-defined]
    words = sorted(_show_terminal(name) for name in names or ())
    return ScenarioError(
        Location(file, line), f"can't read {found!r}, expected {' or '.join(words)}"
    )


def _show_terminal(name: str) -> str:
    """Return the description of a terminal."""
    if name in _TERMINAL_NAMES:
        return _TERMINAL_NAMES[name]
    words = _parser.get_terminal(name).pattern.value.strip("(?:)").replace("\\", "")
    return " or ".join(f'"{each}"' for each in words.split("|"))


def _read_seconds(token: str) -> float:
    """Convert a duration to seconds."""
    unit = next(unit for unit in _SECONDS if token.endswith(unit))
    return round(float(token.removesuffix(unit)) * _SECONDS[unit], 6)


def _filter_type(words: list[Any], kind: type[T]) -> list[T]:
    """Return the parts of a statement that have a type."""
    return [word for word in words if isinstance(word, kind)]


def _read_options(words: list[Any]) -> dict[str, Any]:
    """Return the fields that the options of a statement set."""
    return {word.field: word.value for word in _filter_type(words, _Option)}


def _read_size(words: list[Any], default: Size = DEFAULT_SIZE) -> Size:
    """Return the size that a statement gives, completed by a default."""
    given = _read_options(words)
    return Size(
        given.get("processors", default.processors),
        given.get("memory", default.memory),
        given.get("accelerators", default.accelerators),
    )


def _read_entries(words: list[Any]) -> tuple[str, ...]:
    """Return the named entry hosts, or one empty name if there are none."""
    return next((word.entries for word in _filter_type(words, _EntryHosts)), ("",))


@v_args(inline=True)
class _Reader(Transformer):
    """Transform the syntax tree of a scenario into its model."""

    def __init__(self, file: str) -> None:
        super().__init__()
        self._file = file

    INT = int
    NAME = str
    KIND = str
    DURATION = staticmethod(_read_seconds)
    SIGNED_DURATION = staticmethod(_read_seconds)

    def STRING(self, token: Token) -> str:  # noqa: N802
        return token[1:-1]

    @v_args(inline=False)
    def start(self, parts: list[Any]) -> Scenario:
        hosts = _filter_type(parts, Hosts)
        capacity = _filter_type(parts, Size)
        settings = _read_options(parts)
        return Scenario(
            file=self._file,
            title=settings["title"],
            seed=settings.get("seed", 0),
            hosts=hosts[-1] if hosts else Hosts(),
            capacity=capacity[-1] if capacity else model.DEFAULT_CAPACITY,
            services=tuple(_filter_type(parts, model.ServedService)),
            standing=tuple(_filter_type(parts, StandingTask)),
            teams=(DEFAULT_TEAM, *_filter_type(parts, Team)),
            events=tuple(sorted(self._flatten(parts), key=lambda event: event.time)),
            expectations=tuple(_filter_type(parts, Expectation)),
        )

    def _flatten(self, parts: list[Any]) -> Iterator[Event]:
        for events in _filter_type(parts, tuple):
            yield from events

    def title(self, text: str) -> _Option:
        return _Option("title", text)

    def seed(self, number: int) -> _Option:
        return _Option("seed", number)

    def role(self, word: Token) -> str:
        return str(word)

    def count(self, number: int, role: str) -> _Option:
        return _Option(role, number)

    def hosts(self, *counts: _Option) -> Hosts:
        return Hosts(**_read_options(list(counts)))

    def capacity(self, *words: _Option) -> Size:
        return _read_size(list(words), model.DEFAULT_CAPACITY)

    def service(self, name: str, *words: _Option) -> model.ServedService:
        given = _read_options(list(words))
        service_time = given.pop("takes", model.DEFAULT_SERVICE_TIME_S)
        return model.ServedService(Service(name, **given), service_time)

    def standing(self, name: str, *words: _Option) -> StandingTask:
        size = _read_size(list(words))
        parts = (size.processors, size.memory, size.accelerators)
        return StandingTask(name, DEFAULT_TEAM.name, STANDING_KIND, *parts)

    def team(self, name: str, *words: _Option) -> Team:
        return Team(name, **{"memory": DEFAULT_TEAM.memory, **_read_options(list(words))})

    def amount(self, part: Token, number: int) -> _Option:
        return _Option(str(part), number)

    def slots(self, number: int) -> _Option:
        return _Option("slots", number)

    def connections(self, number: int) -> _Option:
        return _Option("connections", number)

    def takes(self, seconds: float) -> _Option:
        return _Option("takes", seconds)

    def work(self, seconds: int) -> _Option:
        return _Option("work", seconds)

    def job_team(self, name: str) -> _Option:
        return _Option("team", name)

    def urgent(self) -> _Option:
        return _Option("urgent", True)

    def through(self, *entries: str) -> _EntryHosts:
        return _EntryHosts(entries)

    def repeatable(self, word: Token) -> _Option:
        return _Option("idempotent", word == "idempotent")

    def deadline(self, seconds: float) -> _Option:
        return _Option("deadline", seconds)

    @v_args(meta=True, inline=True)
    def event(self, meta: Meta, time: float, action: Any) -> tuple[Event, ...]:
        location = Location(self._file, meta.line)
        actions = action if isinstance(action, tuple) else (action,)
        events = (Event(location, time, each) for each in actions)
        return tuple(self._space(events))

    def _space(self, events: Iterator[Event]) -> Iterator[Event]:
        for event in events:
            match event.action:
                case _DelayedAction(delay, action):
                    yield replace(event, time=event.time + delay, action=action)
                case _:
                    yield event

    def submit_job(self, name: str, *words: Any) -> model.SubmitJob:
        given = _read_options(list(words))
        wanted = {key: given[key] for key in ("work", "team", "urgent") if key in given}
        entry = _read_entries(list(words))[0]
        return model.SubmitJob(name, _read_size(list(words)), through=entry, **wanted)

    def submit_jobs(self, number: int, name: str, *words: Any) -> tuple[model.SubmitJob, ...]:
        one = self.submit_job(name, *words)
        entries = _read_entries(list(words))
        return tuple(
            replace(one, job=f"{name}-{index + 1}", through=entries[index % len(entries)])
            for index in range(number)
        )

    def cancel_job(self, name: str, *words: Any) -> model.CancelJob:
        return model.CancelJob(name, _read_entries(list(words))[0])

    kill = model.Kill
    pause = model.Pause
    slow = model.Slow
    outage = model.Outage
    step_clock = model.StepClock
    replace = model.Replace
    leave = model.Leave
    shut_down = model.ShutDown

    def cut(self, source: str, target: str, seconds: float = model.FOREVER) -> model.Cut:
        return model.Cut(source, target, False, seconds)

    def cut_one_way(self, source: str, target: str, seconds: float = model.FOREVER) -> model.Cut:
        return model.Cut(source, target, True, seconds)

    def outage_to_one(
        self, target: str, client: str, seconds: float = model.FOREVER
    ) -> model.Outage:
        return model.Outage(target, seconds, client)

    @v_args(inline=False)
    def lose(self, parts: list[Any]) -> model.LoseAnswers:
        count = parts[0] if isinstance(parts[0], int) else 1
        return model.LoseAnswers(parts[-2], parts[-1], count)

    def submit_bundle(self, version: int, through: _EntryHosts) -> model.SubmitBundle:
        return model.SubmitBundle(version, through.entries[0])

    def race(self, version: int, through: _EntryHosts) -> tuple[model.SubmitBundle, ...]:
        return tuple(
            model.SubmitBundle(version, entry, variant)
            for variant, entry in enumerate(through.entries)
        )

    def send_request(
        self, name: str, service: str, through: _EntryHosts, *words: _Option
    ) -> tuple[model.SendRequest, ...]:
        given = _read_options(list(words))
        return tuple(model.SendRequest(name, service, entry, **given) for entry in through.entries)

    def send_requests(
        self,
        number: int,
        name: str,
        service: str,
        through: _EntryHosts,
        every: float,
        *words: _Option,
    ) -> tuple[Any, ...]:
        given = _read_options(list(words))
        entries = through.entries
        return tuple(
            _DelayedAction(
                round(every * index, 6),
                model.SendRequest(
                    f"{name}-{index + 1}", service, entries[index % len(entries)], **given
                ),
            )
            for index in range(number)
        )

    @v_args(meta=True, inline=True)
    def expectation(self, meta: Meta, expected: model.Expected) -> Expectation:
        return Expectation(Location(self._file, meta.line), expected)

    def job_ends(self, name: str, end: Token, within: float = model.FOREVER) -> model.JobEnds:
        return model.JobEnds(name, model.JobEnd(str(end)), within)

    def jobs_end(self, end: Token, within: float = model.FOREVER) -> model.JobEnds:
        return model.JobEnds("", model.JobEnd(str(end)), within)

    job_resumes = model.JobResumes
    standing_runs = model.StandingRuns
    bundle_everywhere = model.BundleEverywhere
    no_work = model.NoWork
    few_events = model.MaxEvents

    def request_ends(
        self, name: str, end: Token, within: float = model.FOREVER
    ) -> model.RequestEnds:
        return model.RequestEnds(name, model.RequestEnd(str(end)), within)

    def requests_end(self, end: Token, within: float = model.FOREVER) -> model.RequestEnds:
        return model.RequestEnds("", model.RequestEnd(str(end)), within)

    def always(self, words: Token) -> model.InvariantHolds:
        return model.InvariantHolds(model.Invariant(str(words)))
