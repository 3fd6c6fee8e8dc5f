"""Start the process of an entry host."""

from __future__ import annotations

import signal
import sys


def main() -> int:
    """Run until the init system stops the process; return the exit code."""
    # Importing the modules takes 0.3 s or more.  A SIGHUP in that time, sent for a change of
    # settings, would kill the process.  Settings are read afterwards, so it is safe to ignore.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from toucanpin.entry.program import run

    return run()


if __name__ == "__main__":
    sys.exit(main())
