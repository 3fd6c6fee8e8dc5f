"""Start the process of an entry host."""

from __future__ import annotations

import signal
import sys


def main() -> int:
    """Run until the host's init ends the process; return the exit code."""
    # Loading the modules takes 0.3 s and more. A change of settings in that time would end the
    # process by the signal's default action. They are read afterwards: ignoring it loses nothing.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from toucanpin.entry.program import run

    return run()


if __name__ == "__main__":
    sys.exit(main())
