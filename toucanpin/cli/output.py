"""
Output of commands
==================

Print tables, or JSON for scripts; colour only on a terminal.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Sequence
from typing import Any

import click
import msgspec
from rich.console import Console
from rich.table import Table

__all__ = ["OutputFormat", "output_option", "show"]

NON_TERMINAL_WIDTH = 200  # columns


class OutputFormat(enum.Enum):
    """Output format."""

    TABLE = "table"
    JSON = "json"


output_option = click.option(
    "--output",
    "form",
    type=click.Choice([form.value for form in OutputFormat]),
    default=OutputFormat.TABLE.value,
    show_default=True,
    help="Table for reading, or JSON for scripts.",
)


def show(form: str, columns: Sequence[str], rows: Iterable[Sequence[Any]], value: Any) -> None:
    """Print rows as a table, or the whole value as JSON."""
    if OutputFormat(form) is OutputFormat.JSON:
        click.echo(msgspec.json.format(msgspec.json.encode(value)).decode())
        return
    console = Console()
    if not console.is_terminal:
        console = Console(width=NON_TERMINAL_WIDTH, no_color=True)
    table = Table(*columns, box=None, pad_edge=False)
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    console.print(table)
