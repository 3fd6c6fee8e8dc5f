"""
Weakened entry process
======================

Run an entry process with one safeguard disabled, to verify that the soak detects it.
"""

from __future__ import annotations

import sys
from collections.abc import Callable

from toucanpin.entry import __main__ as program
from toucanpin.entry import cell_decisions, cell_workers, owner
from toucanpin.entry.root import EntryProcess
from toucanpin.entry.submissions import SubmissionOutcome, Submissions
from toucanpin.platform import workers
from toucanpin.scheduling import unplaceable
from toucanpin.scheduling.presence import is_gone

__all__ = ["WEAKENINGS", "main"]


def _ignore_leases() -> None:
    """Treat the runs of a silent worker as ended while its lease is still valid."""
    original = cell_decisions.expire_leases

    def weakened(cell, now):  # type: ignore[no-untyped-def]
        for worker in cell.workers.values():
            worker.lease_expires_at = 0.0
        return original(cell, now)

    cell_decisions.expire_leases = weakened


def _overrule_leases() -> None:
    """Treat the lease of a worker as ended once the worker seems to be gone."""
    original = cell_decisions.expire_leases

    def weakened(cell, now):  # type: ignore[no-untyped-def]
        for worker in cell.workers.values():
            if worker.silent and is_gone(cell, worker, now):
                worker.lease_expires_at = 0.0
        return original(cell, now)

    cell_decisions.expire_leases = weakened


def _refuse_uncertain_writes() -> None:
    """Answer that a job was not accepted when the outcome of its write is unknown."""
    original = Submissions.submit

    async def weakened(self, job, known_version, deadline):  # type: ignore[no-untyped-def]
        outcome = await original(self, job, known_version, deadline)
        unknown = outcome is SubmissionOutcome.UNKNOWN
        return SubmissionOutcome.NOT_WRITTEN if unknown else outcome

    Submissions.submit = weakened  # type: ignore[method-assign]


def _acknowledge_early() -> None:
    """Acknowledge ended runs to workers before the ends are stored."""
    original = cell_workers.plan_poll

    def weakened(cell, worker, now):  # type: ignore[no-untyped-def]
        worker.acknowledged_sequence = worker.listed_sequence
        return original(cell, worker, now)

    cell_workers.plan_poll = weakened


def _exit_immediately() -> None:
    """Exit on SIGTERM without answering requests that were already read."""

    async def weakened(self):  # type: ignore[no-untyped-def]
        await self.abort()

    EntryProcess.shut_down = weakened  # type: ignore[method-assign]


def _ignore_crashes() -> None:
    """Restart a task regardless of how many workers crashed while running it."""
    unplaceable.is_start_blocked = lambda cell, live, task, now: False
    cell_decisions.fail_crashing_jobs = lambda cell, now: []


def _ignore_evacuations() -> None:
    """Ignore evacuations: start tasks in evacuated data centres."""
    owner.apply_evacuations = lambda cell, evacuated, bound: False


def _ignore_incarnations() -> None:
    """Don't read which incarnation of a worker answers or wrote its entry."""
    workers._read_born = lambda value: 0


WEAKENINGS: dict[str, Callable[[], None]] = {
    "leases": _ignore_leases,
    "overruled-leases": _overrule_leases,
    "unsure-writes": _refuse_uncertain_writes,
    "written-ends": _acknowledge_early,
    "drain": _exit_immediately,
    "crashes": _ignore_crashes,
    "evacuations": _ignore_evacuations,
    "incarnations": _ignore_incarnations,
}


def main() -> int:
    """Disable the safeguard named by the first argument and run the entry process."""
    WEAKENINGS[sys.argv.pop(1)]()
    return program.main()


if __name__ == "__main__":
    sys.exit(main())
