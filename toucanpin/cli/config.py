"""
Settings commands
=================

Check settings files and list all settings.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any, get_args, get_origin

import click
import msgspec

from toucanpin.cli.exits import ExitCode
from toucanpin.cli.http import fail
from toucanpin.cli.output import output_option, show
from toucanpin.daemon.settings import Settings
from toucanpin.daemon.settings_reader import read_settings
from toucanpin.exception import SettingsError

__all__ = ["config"]


class Explanation(msgspec.Struct, frozen=True):
    """Unit, default and meaning of one setting."""

    key: str
    unit: str
    default: str
    meaning: str


@click.group()
def config() -> None:
    """
    Check settings files and explain settings.

    \b
    Examples:
      toucanpin config check /etc/toucanpin/entry.toml
      toucanpin config explain
    """


@config.command()
@click.argument("file", type=click.Path(path_type=Path))
def check(file: Path) -> None:
    """Check a settings FILE and report all faults."""
    try:
        read_settings(file)
    except SettingsError as error:
        fail(str(error), ExitCode.REFUSED)
    click.echo(f"{file}: good")


@config.command()
@output_option
def explain(form: str) -> None:
    """Print every setting with its unit, default and meaning."""
    lines = tuple(_explain_settings())
    rows = ((line.key, line.unit, line.default, line.meaning) for line in lines)
    show(form, ("setting", "unit", "default", "meaning"), rows, lines)


def _explain_settings() -> Iterator[Explanation]:
    """Yield the explanations of all settings."""
    for section in msgspec.structs.fields(Settings):
        for field in msgspec.structs.fields(section.type):
            metadata = tuple(_find_metadata(field.type))
            yield Explanation(
                f"{section.name}.{field.name}",
                next((found.extra["unit"] for found in metadata if found.extra), ""),
                _format_default(field),
                next((found.description for found in metadata if found.description), ""),
            )


def _find_metadata(annotation: Any) -> Iterator[msgspec.Meta]:
    """Yield the metadata of a type, outermost first."""
    if get_origin(annotation) is None:
        return
    for part in reversed(get_args(annotation)):
        if isinstance(part, msgspec.Meta):
            yield part
        else:
            yield from _find_metadata(part)


def _format_default(field: msgspec.structs.FieldInfo) -> str:
    """Return a setting's default as text."""
    if field.required:
        return "(required)"
    if field.default is None:
        return "(unset)"
    if field.default is msgspec.NODEFAULT:
        return "[]"
    return str(field.default)
