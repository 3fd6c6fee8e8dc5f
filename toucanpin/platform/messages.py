"""
Messages of the platform's HTTP protocol
========================================

JSON messages that the adapters and the stand-ins exchange, as described in docs/PLATFORM.md.
"""

from __future__ import annotations

import msgspec

from toucanpin.platform.ports import (
    Checkpoint,
    Forget,
    ListedHost,
    Order,
    Poll,
    Row,
    Start,
    Stop,
    Throttle,
    Write,
)

__all__ = [
    "CLIENT_HEADER",
    "EFFECT_HEADER",
    "EFFECT_NONE",
    "OBJECT_ABSENT",
    "OBJECT_HEADER",
    "CommitAnswer",
    "CommitRequest",
    "ConflictAnswer",
    "HostsAnswer",
    "NamesAnswer",
    "OrderMessage",
    "PollRequest",
    "RowAnswer",
    "RowsAnswer",
    "read_order",
    "read_poll",
    "write_order",
    "write_poll",
]

CLIENT_HEADER = "Toucanpin-Client"
EFFECT_HEADER = "Toucanpin-Effect"
EFFECT_NONE = "none"
OBJECT_HEADER = "Toucanpin-Object"
OBJECT_ABSENT = "absent"


class RowAnswer(msgspec.Struct, frozen=True):
    """Answer to a read of one row."""

    row: Row | None


class RowsAnswer(msgspec.Struct, frozen=True):
    """Answer to a scan."""

    rows: tuple[Row, ...]


class CommitRequest(msgspec.Struct, frozen=True):
    """Request to apply a transaction."""

    token: str
    writes: tuple[Write, ...]


class CommitAnswer(msgspec.Struct, frozen=True):
    """Answer to a transaction that was applied."""

    version: int


class ConflictAnswer(msgspec.Struct, frozen=True):
    """Answer to a transaction that was refused, with the rows at unexpected versions."""

    rows: tuple[Row, ...]


class NamesAnswer(msgspec.Struct, frozen=True):
    """Answer to a listing of objects."""

    names: tuple[str, ...]


class HostsAnswer(msgspec.Struct, frozen=True):
    """Answer to a read of the host list."""

    hosts: tuple[ListedHost, ...]


class OrderMessage(msgspec.Struct, frozen=True, omit_defaults=True):
    """One order, in the field of its kind; the other fields are None."""

    start: Start | None = None
    stop: Stop | None = None
    throttle: Throttle | None = None
    checkpoint: Checkpoint | None = None
    forget: Forget | None = None


class PollRequest(msgspec.Struct, frozen=True):
    """Request for a worker's report, with the orders for it."""

    epoch: int
    incarnation: str
    lease_until: int
    orders: tuple[OrderMessage, ...] = ()


def write_order(order: Order) -> OrderMessage:
    """Return the message that carries an order."""
    match order:
        case Start():
            return OrderMessage(start=order)
        case Stop():
            return OrderMessage(stop=order)
        case Throttle():
            return OrderMessage(throttle=order)
        case Checkpoint():
            return OrderMessage(checkpoint=order)
        case Forget():
            return OrderMessage(forget=order)


def read_order(message: OrderMessage) -> Order:
    """
    Return the order in a message.

    Raises
    ------
    ValueError
        If not exactly one field is set.
    """
    fields = (message.start, message.stop, message.throttle, message.checkpoint, message.forget)
    orders = [order for order in fields if order is not None]
    if len(orders) != 1:
        raise ValueError(f"an order has exactly one kind, not {len(orders)}")
    return orders[0]


def write_poll(poll: Poll) -> PollRequest:
    """Return the request that carries a poll."""
    orders = tuple(write_order(order) for order in poll.orders)
    return PollRequest(poll.epoch, poll.incarnation, poll.lease_until, orders)


def read_poll(request: PollRequest) -> Poll:
    """
    Return the poll in a request.

    Raises
    ------
    ValueError
        If one of its orders is invalid.
    """
    orders = tuple(read_order(message) for message in request.orders)
    return Poll(request.epoch, request.incarnation, request.lease_until, orders)
