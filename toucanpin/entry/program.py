"""
Command line of an entry host
=============================

Read the command line and the settings, and run the process until the init system stops it.
"""

from __future__ import annotations

import argparse
import asyncio
import sys

import logbook

from toucanpin.entry.logs import make_handler
from toucanpin.entry.root import EntryProcess
from toucanpin.exception import SettingsError
from toucanpin.platform.nodefile import read_settings

__all__ = ["run"]


def run() -> int:
    """Run until the init system stops the process; return the exit code."""
    options = _parse_options()
    try:
        settings = read_settings()
    except SettingsError as error:
        print(error, file=sys.stderr)
        return 2
    handler = make_handler(settings.name)
    with handler.applicationbound():
        try:
            asyncio.run(EntryProcess(settings, options.metrics, handler).run())
        except Exception:
            logbook.Logger("entry").exception("process failed", event="process.failed")
            return 1
    return 0


def _parse_options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="python -m toucanpin.entry",
        description="Run an entry host with the settings of the file that its init system names.",
    )
    parser.add_argument(
        "--metrics",
        type=_parse_metrics,
        metavar="PORT/PATH",
        help="port and path of the metrics, for example 9464/metrics; without it there are none",
    )
    return parser.parse_args()


def _parse_metrics(text: str) -> tuple[int, str]:
    port, _, path = text.partition("/")
    if not port.isdigit() or not 0 < int(port) < 65_536:
        raise argparse.ArgumentTypeError(f"{text!r} is not PORT/PATH with a port from 1 to 65535")
    return int(port), "/" + path
