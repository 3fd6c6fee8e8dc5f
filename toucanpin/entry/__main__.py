"""Start the process of an entry host."""

from __future__ import annotations

import asyncio
import sys

import logbook

from toucanpin.entry.logs import make_handler
from toucanpin.entry.root import EntryProcess
from toucanpin.exception import SettingsError
from toucanpin.platform.nodefile import read_settings


def main() -> int:
    """Run until the host's init ends the process; return the exit code."""
    try:
        settings = read_settings()
    except SettingsError as error:
        print(error, file=sys.stderr)
        return 2
    with make_handler(settings.name).applicationbound():
        try:
            asyncio.run(EntryProcess(settings).run())
        except Exception:
            logbook.Logger("entry").exception("process failed", event="process.failed")
            return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
