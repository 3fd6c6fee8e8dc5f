"""
Exit codes
==========

Exit codes of the commands, which scripts can rely on.
"""

from __future__ import annotations

import enum

__all__ = ["ExitCode"]


class ExitCode(enum.IntEnum):
    """Exit code of a command."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    UNCERTAIN = 4
