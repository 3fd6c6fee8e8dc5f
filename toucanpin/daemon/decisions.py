"""
Execution of decisions
======================

Run placement decisions by performing their actions.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TypeVar

from toucanpin.placement.actions import Action, Answer, Commit, Decision, Read, Scan
from toucanpin.platform.ports import Table

__all__ = ["perform_table_action", "run_decision"]

T = TypeVar("T")


def run_decision(decision: Decision[T], perform: Callable[[Action], object]) -> T:
    """Run a decision to its end with ``perform`` and return its result."""
    try:
        action = next(decision)
        while True:
            action = decision.send(Answer(time.monotonic(), perform(action)))
    except StopIteration as stop:
        result: T = stop.value
        return result


def perform_table_action(table: Table, action: Action) -> object:
    """Perform an action that needs the table only."""
    match action:
        case Commit(transaction):
            return table.commit(transaction)
        case Read(key):
            return table.read(key)
        case Scan(prefix, after):
            return table.scan(prefix, after)
    raise TypeError(f"action must be Commit, Read or Scan, got {action!r}")
