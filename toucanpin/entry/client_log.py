"""
Log of refused clients
======================

Report what the listeners' clients hold, and which were refused, in a bounded number of lines.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Iterator, Mapping

import logbook

from toucanpin.clients import Budget

__all__ = ["count_refused", "log_refused"]

_log = logbook.Logger("clients")
LOG_PERIOD_S = 5.0


async def log_refused(budgets: Mapping[str, Budget]) -> None:
    """Log the refused clients of each listener, one line each period, until cancelled."""
    logged: dict[str, Counter[str]] = {name: Counter() for name in budgets}
    while True:
        await asyncio.sleep(LOG_PERIOD_S)
        for name, budget in budgets.items():
            counts = Counter({reason.value: count for reason, count in budget.counts.items()})
            new = counts - logged[name]
            if new:
                _log.notice(
                    "clients refused",
                    event="clients.refused",
                    listener=name,
                    counts=dict(new),
                    connections=len(budget.accounts),
                    held=budget.held,
                )
            logged[name] = counts


def count_refused(budgets: Mapping[str, Budget]) -> Iterator[tuple[int, dict[str, str]]]:
    """Yield how many clients were refused, with listener and reason as labels."""
    for name, budget in budgets.items():
        for reason, count in budget.counts.items():
            yield count, {"listener": name, "reason": reason.value}
