"""
Fencing tokens
==============

Fence the orders to earlier incarnations of a worker, and those of earlier owners.

Notes
-----
A worker does nothing for an order with a lower token than the highest that it has seen.  One that
restarts under its id has seen none, and would carry out late orders to its earlier incarnation: a
poll makes it forget ends that it never told, so that their tasks run again.  So an owner raises the
token of a worker with each incarnation.  It places tasks there under the raised token only, so that
late polls are refused before a run of these ends.  The owner's row tells its newest token, and a
successor begins above it by more than the owner raised since its last write.
"""

from __future__ import annotations

from toucanpin.scheduling.cell import Cell
from toucanpin.scheduling.worker import Worker

__all__ = ["find_newest_token", "find_token", "plan_owner_token", "raise_token"]

# Between the token in an owner's row and that of its successor: more than workers restart while an
# owner's writes have no answer.
OWNER_TOKEN_STEP = 1_000


def find_token(cell: Cell, worker: Worker) -> int:
    """Return the token of orders to an incarnation of a worker."""
    return cell.token + worker.token_offset


def find_newest_token(cell: Cell) -> int:
    """Return the highest token of orders to any worker."""
    return cell.token + cell.token_offset


def raise_token(cell: Cell) -> int:
    """Return the offset of a token that no worker has been sent."""
    cell.token_offset += 1
    return cell.token_offset


def plan_owner_token(previous: int) -> int:
    """Return the token of a new owner, above all tokens of the ``previous`` one's orders."""
    return previous + OWNER_TOKEN_STEP
