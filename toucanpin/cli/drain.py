"""
Drain commands
==============

Take hosts out of use and return them, independently of the platform's host list.
"""

from __future__ import annotations

import time
import urllib.parse

import click

from toucanpin.cli.access import url_option
from toucanpin.cli.http import request_json
from toucanpin.cli.output import output_option, show

__all__ = ["drain"]

COLUMNS = ("host", "operator", "since")


@click.group()
def drain() -> None:
    """
    Drain hosts: they get no new work, and their tasks are checkpointed and moved.

    \b
    Examples:
      toucanpin drain begin worker-7 --operators http://127.0.1.1:9080
      toucanpin drain list --operators http://127.0.1.1:9080
    """


@drain.command()
@click.argument("host")
@url_option
@output_option
def begin(host: str, url: str, form: str) -> None:
    """Start draining HOST."""
    _change("PUT", host, url, form)


@drain.command()
@click.argument("host")
@url_option
@output_option
def end(host: str, url: str, form: str) -> None:
    """Stop draining HOST."""
    _change("DELETE", host, url, form)


@drain.command("list")
@url_option
@output_option
def list_(url: str, form: str) -> None:
    """List the hosts being drained."""
    found = request_json("GET", f"{url}/v1/drain")
    rows = ((one["host"], one["operator"], time.ctime(one["since"])) for one in found)
    show(form, COLUMNS, rows, found)


def _change(method: str, host: str, url: str, form: str) -> None:
    """Start or stop a drain and show the outcome."""
    answer = request_json(method, f"{url}/v1/drain/{urllib.parse.quote(host, safe='')}")
    columns = ("host", "drain", "changed")
    show(form, columns, [tuple(answer[column] for column in columns)], answer)
