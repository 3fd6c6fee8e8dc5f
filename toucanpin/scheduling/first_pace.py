"""
First pace
==========

Slow down a task that was placed at less than full speed, as soon as it has started.
"""

from __future__ import annotations

from toucanpin.scheduling.cell import Cell, Now
from toucanpin.scheduling.orders import PaceOrder
from toucanpin.scheduling.worker import Run

__all__ = ["order_first_pace"]


def order_first_pace(cell: Cell, run: Run, now: Now) -> None:
    """Order the pace at which a task was placed: each task starts at full speed."""
    if run.pace < 100 and not run.paced_at:
        run.paced_at = now.steady
        cell.orders.append(PaceOrder(run.worker, run.task, run.attempt, run.pace))
