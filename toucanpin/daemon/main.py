"""
Daemon
======

The command ``toucanpind``: read settings, compose the parts, run until told to end.
"""

from __future__ import annotations

import os
import signal
import threading
from pathlib import Path

import click
import logbook

from toucanpin import __version__
from toucanpin.daemon.logs import EventId, make_log_handler, set_log_level
from toucanpin.daemon.root import Daemon, compose
from toucanpin.daemon.settings import Settings
from toucanpin.daemon.settings_reader import read_settings
from toucanpin.exception import SettingsError

__all__ = ["main"]

EXIT_SETTINGS = 2
EXIT_FORCED = 70

log = logbook.Logger("toucanpin.main")


@click.command(context_settings={"help_option_names": ["-h", "--help"]})
@click.option(
    "--config",
    "file",
    required=True,
    type=click.Path(path_type=Path),
    help="Settings of this process, TOML.",
)
@click.option("--check-config", is_flag=True, help="Check the settings and exit.")
@click.version_option(__version__, prog_name="toucanpind")
def main(file: Path, check_config: bool) -> None:
    """
    Run one process of the system: a request role or a control role.

    SIGTERM drains and ends, a second one ends at once, SIGHUP re-reads the log level.

    \b
    Examples:
      toucanpind --config /etc/toucanpin/request.toml
      toucanpind --config /etc/toucanpin/control.toml --check-config
    """
    try:
        settings = read_settings(file)
        daemon = compose(settings, file.parent)
    except SettingsError as error:
        click.echo(str(error), err=True)
        raise SystemExit(EXIT_SETTINGS) from error
    if check_config:
        click.echo(f"{file}: good")
        return
    handler = make_log_handler(settings.log, settings.process)
    with handler.applicationbound():
        _run(daemon, settings, file, handler)


def _run(daemon: Daemon, settings: Settings, file: Path, handler: logbook.Handler) -> None:
    """Run a composed daemon until a signal ends it."""
    ending = threading.Event()

    def end(number: int, frame: object) -> None:
        """Drain at the first signal and end at once at the second."""
        if ending.is_set():
            # An operator who asks twice does not want to wait any longer.  Raising would not do:
            # the interpreter joins the threads of pools at its end, and one may wait for a peer.
            os._exit(EXIT_FORCED)
        ending.set()

    def reread(number: int, frame: object) -> None:
        """Take over the log level that the file names now."""
        _reread_log_level(file, handler)

    signal.signal(signal.SIGTERM, end)
    signal.signal(signal.SIGINT, end)
    signal.signal(signal.SIGHUP, reread)
    daemon.start()
    log.info("started", extra={"event": EventId.STARTED, "version": __version__})
    while not ending.wait(timeout=1.0):
        pass
    log.info("draining", extra={"event": EventId.DRAINING})
    daemon.stop(settings.requests.drain_ms / 1_000)
    log.info("stopped", extra={"event": EventId.STOPPED})


def _reread_log_level(file: Path, handler: logbook.Handler) -> None:
    """Set the log level from the file, or keep the older one if the file is at fault."""
    try:
        level = read_settings(file).log.level
    except SettingsError as error:
        log.error("settings not taken: {}", error, extra={"event": EventId.SETTINGS_FAULT})
        return
    set_log_level(handler, level)
    log.info("log level is {}", level, extra={"event": EventId.SETTINGS_REREAD})


if __name__ == "__main__":
    main()
