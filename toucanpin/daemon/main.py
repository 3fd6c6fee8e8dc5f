"""
Daemon
======

Implement the command ``toucanpind``, which runs one process until it receives a signal to stop.
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

EXIT_INVALID_SETTINGS = 2
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

    SIGTERM drains and stops, a second one exits at once, SIGHUP re-reads the log level.

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
        raise SystemExit(EXIT_INVALID_SETTINGS) from error
    if check_config:
        click.echo(f"{file}: good")
        return
    handler = make_log_handler(settings.log, settings.process)
    with handler.applicationbound():
        _run(daemon, settings, file, handler)


def _run(daemon: Daemon, settings: Settings, file: Path, handler: logbook.Handler) -> None:
    """Run the daemon until SIGTERM or SIGINT."""
    stopping = threading.Event()

    def handle_stop(number: int, frame: object) -> None:
        """Drain at the first signal and exit at once at the second."""
        if stopping.is_set():
            # Raising SystemExit would not exit at once: the interpreter joins the threads of pools
            # at exit, and one of them may be waiting for a peer.
            os._exit(EXIT_FORCED)
        stopping.set()

    def handle_hangup(number: int, frame: object) -> None:
        """Apply the current log level of the settings file."""
        _reread_log_level(file, handler)

    signal.signal(signal.SIGTERM, handle_stop)
    signal.signal(signal.SIGINT, handle_stop)
    signal.signal(signal.SIGHUP, handle_hangup)
    daemon.start()
    log.info("started", extra={"event": EventId.STARTED, "version": __version__})
    while not stopping.wait(timeout=1.0):
        pass
    log.info("draining", extra={"event": EventId.DRAINING})
    daemon.stop(settings.requests.drain_ms / 1_000)
    log.info("stopped", extra={"event": EventId.STOPPED})


def _reread_log_level(file: Path, handler: logbook.Handler) -> None:
    """Set the log level from the file, or keep the current one if the file is invalid."""
    try:
        level = read_settings(file).log.level
    except SettingsError as error:
        log.error(
            "invalid settings, log level unchanged: {}",
            error,
            extra={"event": EventId.SETTINGS_FAULT},
        )
        return
    set_log_level(handler, level)
    log.info("log level set to {}", level, extra={"event": EventId.SETTINGS_REREAD})


if __name__ == "__main__":
    main()
