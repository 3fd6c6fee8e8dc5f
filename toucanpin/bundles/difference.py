"""
Differences of bundles
======================

Describe the changes from one bundle to another in readable lines.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from toucanpin.bundles.schema import Bundle

__all__ = ["compare_bundles"]

_LISTS = ("services", "standing", "teams")
_TABLES = ("weights", "limits")


def compare_bundles(old: Bundle | None, new: Bundle) -> tuple[str, ...]:
    """Return one line for each change: ``+`` added, ``-`` removed, ``~`` changed."""
    if old is None:
        old = Bundle(deployment=new.deployment, version=0)
    return tuple(_compare(old, new))


def _compare(old: Bundle, new: Bundle) -> Iterator[str]:
    for field in ("deployment", "version"):
        if getattr(old, field) != getattr(new, field):
            yield f"~ {field}: {getattr(old, field)} -> {getattr(new, field)}"
    for table in _LISTS:
        yield from _compare_lists(table, getattr(old, table), getattr(new, table))
    for table in _TABLES:
        yield from _compare_fields(table, getattr(old, table), getattr(new, table))


def _compare_lists(
    table: str, old: tuple[msgspec.Struct, ...], new: tuple[msgspec.Struct, ...]
) -> Iterator[str]:
    before = {_name(entry): entry for entry in old}
    after = {_name(entry): entry for entry in new}
    for name in sorted(before.keys() | after.keys()):
        if name not in after:
            yield f"- {table}.{name}"
        elif name not in before:
            yield f"+ {table}.{name}: {_show(after[name])}"
        else:
            yield from _compare_fields(f"{table}.{name}", before[name], after[name])


def _compare_fields(path: str, old: msgspec.Struct, new: msgspec.Struct) -> Iterator[str]:
    for field in new.__struct_fields__:
        before, after = getattr(old, field), getattr(new, field)
        if before != after:
            yield f"~ {path}.{field}: {before} -> {after}"


def _name(entry: msgspec.Struct) -> str:
    return str(entry.name)  # type: ignore[attr-defined]


def _show(entry: msgspec.Struct) -> str:
    fields = (field for field in entry.__struct_fields__ if field != "name")
    return ", ".join(f"{field} {getattr(entry, field)}" for field in fields)
