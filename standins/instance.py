"""
Core of the service instance stand-in
=====================================
"""

from __future__ import annotations

import enum
import hashlib
from collections import Counter

import msgspec

from standins.faults import UNLIMITED

__all__ = ["Outcome", "InstanceCore", "InstanceFault", "Mode"]


class Mode(enum.Enum):
    """
    The effect of a fault on a request.

    ``reset-before`` resets the connection without running the request; ``reset-after``,
    ``cut-body`` and ``half-chunk`` run it first; ``error`` and ``draining`` answer at once without
    running it; ``freeze`` delays it until the fault is cleared; ``refuse`` closes the listening
    socket.
    """

    REFUSE = "refuse"
    SLOW = "slow"
    FREEZE = "freeze"
    RESET_BEFORE = "reset-before"
    RESET_AFTER = "reset-after"
    CUT_BODY = "cut-body"
    HALF_CHUNK = "half-chunk"
    ERROR = "error"
    DRAINING = "draining"


class InstanceFault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    The active fault, which applies to ``times`` requests.

    ``delay`` is in seconds; ``body_bytes`` is the number of bytes of the body that are
    sent before the connection is closed.
    """

    mode: Mode
    times: int = UNLIMITED
    delay: float = 0.0
    body_bytes: int = 0


class Outcome(msgspec.Struct, frozen=True):
    """The answer to a request; ``digest`` depends on the request alone."""

    service: str
    instance: str
    request: str
    digest: str
    padding: str = ""


class InstanceCore:
    """Run requests, and count the executions of each and the concurrent ones."""

    def __init__(self, service: str, name: str, slots: int) -> None:
        self.service = service
        self.name = name
        self.slots = slots
        self.fault: InstanceFault | None = None
        self.executions: Counter[str] = Counter()
        self.active = 0
        self.peak = 0
        self.over_slots = 0

    def enter(self) -> None:
        """Count a request that runs or waits for a slot."""
        self.active += 1
        self.peak = max(self.peak, self.active)
        self.over_slots += self.active > self.slots

    def leave(self) -> None:
        """Count the end of a request."""
        self.active -= 1

    def take_fault(self) -> InstanceFault | None:
        """Return the fault that applies to a request, and count its use."""
        fault = self.fault
        if fault is None or fault.times == UNLIMITED:
            return fault
        left = msgspec.structs.replace(fault, times=fault.times - 1)
        self.fault = left if left.times > 0 else None
        return fault

    def run(self, request: str, method: str, target: str, body: bytes, padding: int) -> Outcome:
        """Run a request and return its outcome."""
        self.executions[request] += 1
        content = f"{method} {target}\n".encode() + body
        digest = hashlib.sha256(content).hexdigest()
        return Outcome(self.service, self.name, request, digest, "x" * padding)
