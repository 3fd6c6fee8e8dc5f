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
    Say what goes wrong with a request.

    ``reset-before`` breaks the connection and runs nothing; ``reset-after``, ``cut-body`` and
    ``half-chunk`` run the request first; ``error`` and ``draining`` answer at once and run nothing;
    ``freeze`` holds the request until the fault is lifted and runs it then; ``refuse`` closes the
    listening socket.
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
    Describe the fault in force, which strikes ``times`` requests.

    ``delay`` is in seconds; ``body_bytes`` is how much of the body is sent before the cut.
    """

    mode: Mode
    times: int = UNLIMITED
    delay: float = 0.0
    body_bytes: int = 0


class Outcome(msgspec.Struct, frozen=True):
    """Answer a request by what follows from the request alone, and say who answered."""

    service: str
    instance: str
    request: str
    digest: str
    padding: str = ""


class InstanceCore:
    """Answer requests, and count how often each ran and how many at a time."""

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
        """Count a request that is present, running or waiting for a slot."""
        self.active += 1
        self.peak = max(self.peak, self.active)
        self.over_slots += self.active > self.slots

    def leave(self) -> None:
        """Count a request that has gone."""
        self.active -= 1

    def take_fault(self) -> InstanceFault | None:
        """Return the fault that strikes a request and count it."""
        fault = self.fault
        if fault is None or fault.times == UNLIMITED:
            return fault
        left = msgspec.structs.replace(fault, times=fault.times - 1)
        self.fault = left if left.times > 0 else None
        return fault

    def run(self, request: str, method: str, target: str, body: bytes, padding: int) -> Outcome:
        """Run a request once more and return its outcome."""
        self.executions[request] += 1
        content = f"{method} {target}\n".encode() + body
        digest = hashlib.sha256(content).hexdigest()
        return Outcome(self.service, self.name, request, digest, "x" * padding)
