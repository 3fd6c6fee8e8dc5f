"""
Claims of machines
==================

Rules by which one owner at a time sends orders for a machine, whichever cells there are.

Notes
-----
A machine belongs to the cell of its worker.  One that no list names belongs to none, and a machine
may change its cell, so several owners may have reason to order it.  The platform may not check
fencing tokens, so orders of two owners must neither alternate nor carry tokens that go back.
"""

from __future__ import annotations

import enum

import msgspec

__all__ = ["ClaimState", "MachineClaim", "assess_claim", "is_usable", "renew_claim"]

# Of an order that is on its way when its claim ends, and of the difference between two hosts'
# estimates of the table's clock.
ORDER_DELAY_MS = 1_500


class ClaimState(enum.Enum):
    """What an owner may do with a machine's claim."""

    HELD = "held"  # orders may be sent
    AVAILABLE = "available"  # it may be written anew
    TAKEN = "taken"  # by another owner


class MachineClaim(msgspec.Struct, array_like=True, frozen=True):
    """
    The right of one cell's owner to order a machine.

    ``owner_token`` is the fencing token of the cell's owner, ``token`` that of its orders for this
    machine, and ``begun`` when the claim was last written, on the table's clock in ms.
    """

    cell: str
    owner_token: int
    token: int
    begun: int


def assess_claim(
    claim: MachineClaim | None, cell: str, owner_token: int, lease_ms: int, now: int
) -> ClaimState:
    """
    Return what the owner of a cell may do with a machine's claim; ``now`` is the table's time.

    An owner may take the claims of earlier owners of its cell at once, since it sends no orders
    before theirs have ended.  Other cells' claims are free once their orders are a lease old.
    """
    if claim is None:
        return ClaimState.AVAILABLE
    if claim.cell != cell:
        is_over = now >= claim.begun + 2 * lease_ms + ORDER_DELAY_MS
        return ClaimState.AVAILABLE if is_over else ClaimState.TAKEN
    if claim.owner_token > owner_token:
        return ClaimState.TAKEN
    is_own = claim.owner_token == owner_token
    return ClaimState.HELD if is_own and is_usable(claim, lease_ms, now) else ClaimState.AVAILABLE


def is_usable(claim: MachineClaim, lease_ms: int, now: int) -> bool:
    """Return whether the owner that wrote a claim may still send orders by it."""
    return now < claim.begun + lease_ms


def renew_claim(claim: MachineClaim | None, cell: str, owner_token: int, now: int) -> MachineClaim:
    """Return an owner's claim to replace an earlier one; the token grows with each new holder."""
    if claim is None:
        return MachineClaim(cell, owner_token, owner_token, now)
    if (claim.cell, claim.owner_token) == (cell, owner_token):
        return MachineClaim(cell, owner_token, claim.token, now)
    return MachineClaim(cell, owner_token, max(claim.token + 1, owner_token), now)
