"""
Documents of bundles
====================

Parse and check the TOML text of a bundle, and report every fault with its line.
"""

from __future__ import annotations

import math
import re
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Any, TypeVar

import msgspec
from expression import Error, Ok, Result
from msgspec import inspect

from toucanpin.bundles.schema import Bundle
from toucanpin.decoding import convert, decode_toml
from toucanpin.exception import BundleError, MalformedError

__all__ = ["Fault", "check_bundle", "check_name", "parse_bundle", "parse_document"]

MAX_DOCUMENT_BYTES = 524_288
MAX_NUMBER = 2**53  # integers up to this are exact in a float

Document = TypeVar("Document", bound=msgspec.Struct)

_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
_NAME_ALLOWED = "1 to 63 of a-z, 0-9, '.', '_' and '-', a letter or digit first"
_HEADER = re.compile(r"\s*(\[\[?)\s*([A-Za-z0-9_-]+)\s*\]\]?")
_KEY = re.compile(r"\s*([A-Za-z0-9_-]+)\s*=")
_TYPE_NAMES = {
    inspect.IntType: "an integer",
    inspect.FloatType: "a number",
    inspect.StrType: "a string",
    inspect.BoolType: "true or false",
}
_MAY_BE_ZERO = {"accelerators", "queue", "latency", "throughput", "evictions", "retry_share"}


@dataclass(frozen=True, slots=True)
class Fault:
    """Invalid entry: the path of its key, its value and the allowed values."""

    path: str
    value: object
    allowed: str


def parse_bundle(text: str, name: str = "bundle") -> Result[Bundle, BundleError]:
    """Return the bundle of a TOML text, or all its faults."""
    return parse_document(text, Bundle, check_bundle, name)


def parse_document(
    text: str, kind: type[Document], check: Callable[[Document], Iterable[Fault]], name: str
) -> Result[Document, BundleError]:
    """
    Return the value of a TOML text, or all its faults.

    ``check`` is called only if the text has no faults of types.
    """
    if len(text.encode()) > MAX_DOCUMENT_BYTES:
        return Error(BundleError((f"{name}: larger than {MAX_DOCUMENT_BYTES} bytes",)))
    try:
        document = decode_toml(text)
    except MalformedError as error:
        return Error(BundleError((f"{name}: {error}",)))
    lines = dict(_find_lines(text))
    faults = list(_check_shape(document, inspect.type_info(kind), ""))
    if not faults:
        faults = list(check(convert(document, kind)))
    if faults:
        return Error(BundleError(tuple(_describe(name, lines, fault) for fault in faults)))
    return Ok(convert(document, kind))


def check_bundle(bundle: Bundle) -> Iterator[Fault]:
    """Yield the faults that types don't show: ranges, duplicate names and unknown names."""
    yield from check_name("deployment", bundle.deployment)
    if not 1 <= bundle.version <= MAX_NUMBER:
        yield Fault("version", bundle.version, f"1 to {MAX_NUMBER}")
    for table in ("services", "standing", "teams"):
        entries = getattr(bundle, table)
        yield from _check_names(table, [entry.name for entry in entries])
        for index, entry in enumerate(entries):
            yield from _check_numbers(f"{table}[{index}]", entry)
    for table in ("weights", "limits"):
        yield from _check_numbers(table, getattr(bundle, table))
    if bundle.limits.retry_share > 1:
        yield Fault("limits.retry_share", bundle.limits.retry_share, "a share from 0 to 1")
    yield from _check_standing(bundle)


def check_name(path: str, name: str) -> Iterator[Fault]:
    """Yield a fault if a name isn't valid in keys, logs and addresses."""
    if not _NAME.fullmatch(name):
        yield Fault(path, name, _NAME_ALLOWED)


def _check_standing(bundle: Bundle) -> Iterator[Fault]:
    teams = {team.name: team for team in bundle.teams}
    for index, task in enumerate(bundle.standing):
        path = f"standing[{index}]"
        team = teams.get(task.team)
        if team is None:
            known = ", ".join(sorted(teams)) or "none is listed under teams"
            yield Fault(f"{path}.team", task.team, f"one of the teams: {known}")
            continue
        for size in ("processors", "memory", "accelerators"):
            quota = getattr(team, size)
            if getattr(task, size) > quota:
                allowed = f"at most the quota of team {team.name}, {quota}"
                yield Fault(f"{path}.{size}", getattr(task, size), allowed)


def _check_names(table: str, names: list[str]) -> Iterator[Fault]:
    counts = Counter(names)
    for index, name in enumerate(names):
        path = f"{table}[{index}].name"
        yield from check_name(path, name)
        if counts[name] > 1 and names.index(name) != index:
            yield Fault(path, name, f"a name that no other of the {table} has")


def _check_numbers(path: str, entry: msgspec.Struct) -> Iterator[Fault]:
    for field in entry.__struct_fields__:
        value = getattr(entry, field)
        if isinstance(value, str):
            continue
        if not math.isfinite(value) or not 0 <= value <= MAX_NUMBER:
            yield Fault(f"{path}.{field}", value, f"a number from 0 to {MAX_NUMBER}")
        elif value == 0 and field not in _MAY_BE_ZERO:
            yield Fault(f"{path}.{field}", value, "a number above 0")


def _check_shape(value: Any, kind: inspect.Type, path: str) -> Iterator[Fault]:
    match kind:
        case inspect.StructType():
            yield from _check_table(value, kind, path)
        case inspect.VarTupleType():
            if not isinstance(value, list):
                yield Fault(path, value, "a list of tables")
                return
            for index, item in enumerate(value):
                yield from _check_shape(item, kind.item_type, f"{path}[{index}]")
        case inspect.IntType() if not isinstance(value, int) or isinstance(value, bool):
            yield Fault(path, value, _TYPE_NAMES[type(kind)])
        case inspect.FloatType() if not isinstance(value, (int, float)) or isinstance(value, bool):
            yield Fault(path, value, _TYPE_NAMES[type(kind)])
        case inspect.BoolType() if not isinstance(value, bool):
            yield Fault(path, value, _TYPE_NAMES[type(kind)])
        case inspect.StrType() if not isinstance(value, str):
            yield Fault(path, value, _TYPE_NAMES[type(kind)])


def _check_table(value: Any, kind: inspect.StructType, path: str) -> Iterator[Fault]:
    if not isinstance(value, dict):
        yield Fault(path, value, "a table")
        return
    prefix = f"{path}." if path else ""
    known = {field.name: field for field in kind.fields}
    for key in value.keys() - known.keys():
        yield Fault(f"{prefix}{key}", value[key], f"no such key; known are {', '.join(known)}")
    for name, field in known.items():
        if name in value:
            yield from _check_shape(value[name], field.type, f"{prefix}{name}")
        elif field.required:
            yield Fault(f"{prefix}{name}", None, "this key is required")


def _describe(name: str, lines: dict[str, int], fault: Fault) -> str:
    path = fault.path
    while path not in lines and "." in path:
        path = path.rpartition(".")[0]
    line = lines.get(path) or lines.get(path.partition("[")[0])
    where = f"{name}:{line}" if line else name
    value = "is missing" if fault.value is None else f"is {_shorten(fault.value)}"
    return f"{where}: {fault.path} {value}; allowed: {fault.allowed}"


def _shorten(value: object) -> str:
    text = repr(value)
    return text if len(text) <= 60 else f"{text[:57]}..."


def _find_lines(text: str) -> Iterator[tuple[str, int]]:
    prefix = ""
    counts: Counter[str] = Counter()
    for number, line in enumerate(text.splitlines(), 1):
        if header := _HEADER.match(line):
            brackets, table = header.groups()
            prefix = f"{table}[{counts[table]}]" if brackets == "[[" else table
            counts[table] += 1
            yield prefix, number
        elif key := _KEY.match(line):
            yield f"{prefix}.{key[1]}" if prefix else key[1], number
