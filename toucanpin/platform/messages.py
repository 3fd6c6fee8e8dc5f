"""
Messages of the platform's HTTP dialect
=======================================

The JSON forms that the adapters and the stand-ins exchange; docs/PLATFORM.md describes them.
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
    """Answer the read of one row."""

    row: Row | None


class RowsAnswer(msgspec.Struct, frozen=True):
    """Answer a scan."""

    rows: tuple[Row, ...]


class CommitRequest(msgspec.Struct, frozen=True):
    """Ask for a transaction."""

    token: str
    writes: tuple[Write, ...]


class CommitAnswer(msgspec.Struct, frozen=True):
    """Answer a transaction that was applied."""

    version: int


class ConflictAnswer(msgspec.Struct, frozen=True):
    """Answer a transaction that found rows at other versions."""

    rows: tuple[Row, ...]


class NamesAnswer(msgspec.Struct, frozen=True):
    """Answer a listing of objects."""

    names: tuple[str, ...]


class HostsAnswer(msgspec.Struct, frozen=True):
    """Answer a reading of the host list."""

    hosts: tuple[ListedHost, ...]


class OrderMessage(msgspec.Struct, frozen=True, omit_defaults=True):
    """Carry one order in the one field that is set."""

    start: Start | None = None
    stop: Stop | None = None
    throttle: Throttle | None = None
    checkpoint: Checkpoint | None = None
    forget: Forget | None = None


class PollRequest(msgspec.Struct, frozen=True):
    """Ask a worker for its report."""

    epoch: int
    incarnation: str
    lease_until: int
    orders: tuple[OrderMessage, ...] = ()


def write_order(order: Order) -> OrderMessage:
    """Put an order into the field of its kind."""
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
    """Return the one order of a message, or raise ValueError."""
    fields = (message.start, message.stop, message.throttle, message.checkpoint, message.forget)
    orders = [order for order in fields if order is not None]
    if len(orders) != 1:
        raise ValueError(f"an order has exactly one kind, not {len(orders)}")
    return orders[0]


def write_poll(poll: Poll) -> PollRequest:
    """Turn a poll into its JSON form."""
    orders = tuple(write_order(order) for order in poll.orders)
    return PollRequest(poll.epoch, poll.incarnation, poll.lease_until, orders)


def read_poll(request: PollRequest) -> Poll:
    """Turn the JSON form into a poll, or raise ValueError."""
    orders = tuple(read_order(message) for message in request.orders)
    return Poll(request.epoch, request.incarnation, request.lease_until, orders)
