"""
Machines service client
=======================

List the machines that host the workers, order their upkeep, and decode the upkeep waves
that operators request.
"""

from __future__ import annotations

import enum
from typing import TypeVar
from urllib.parse import quote

import msgspec

from toucanpin.decoding import Whole, decode_json
from toucanpin.exception import MalformedError, PlatformError
from toucanpin.http.client import Answer, CallError, Client
from toucanpin.scheduling.upkeep import Machine, MachineState, Wave
from toucanpin.verdict import Verdict

__all__ = [
    "STATUS_TABLE",
    "WAVE_PREFIX",
    "MachineClient",
    "UpkeepOutcome",
    "decode_wave",
    "encode_wave_status",
]

STATUS_TABLE = "status"
WAVE_PREFIX = "wave/"
T = TypeVar("T")
CALL_TIMEOUT_S = 1.0
MAX_PAGES = 200
_HOLDER_HEADER = "X-Lease-Holder"
_TOKEN_HEADER = "X-Fencing-Token"
_STATES = {
    "up": MachineState.UP,
    "moving": MachineState.MOVING,
    "upkeep": MachineState.UPKEEP,
    "down": MachineState.DOWN,
}


class UpkeepOutcome(enum.Enum):
    """Outcome of an order to begin a machine's upkeep."""

    DONE = "done"  # by this order or an earlier one
    FENCED = "fenced"
    BUSY = "busy"
    NOT_IN_WAVE = "not in wave"
    UNKNOWN_MACHINE = "unknown machine"


_REFUSALS = {
    "fence": UpkeepOutcome.FENCED,
    "busy": UpkeepOutcome.BUSY,
    "wave": UpkeepOutcome.NOT_IN_WAVE,
}


class _Machine(msgspec.Struct, rename="camel"):
    """A machine; ``id`` is that of the worker running on it."""

    machine: str
    pool: str = ""
    state: str = "up"
    id: str | None = ""


class _MachineName(msgspec.Struct):
    """Name in an entry, for entries whose other fields can't be decoded."""

    machine: str


class _Page(msgspec.Struct, rename="camel"):
    machines: list[msgspec.Raw] = []
    next_token: str | None = None


class _Upkeep(msgspec.Struct):
    machine: str
    wave: int


class _Refusal(msgspec.Struct):
    reason: str = ""


class _Wave(msgspec.Struct, rename="camel"):
    """An upkeep wave; at most ``cap`` of its machines may be down at once."""

    wave: Whole
    machines: tuple[str, ...] = ()
    duration_s: float = 0
    cap: Whole = 1


class MachineClient:
    """
    Client of the platform's machines service.

    Orders carry the name of their sender as the lease holder, and its fencing token.
    """

    __slots__ = ("_client", "_holder")

    def __init__(self, address: str, holder: str) -> None:
        self._client = Client(address)
        self._holder = holder

    def close(self) -> None:
        """Close the idle connections."""
        self._client.close()

    async def list(self) -> tuple[Machine, ...]:
        """
        Return all machines.

        Raises
        ------
        CallError
            If the list can't be read completely.
        """
        machines: list[Machine] = []
        path = "/machines"
        for _ in range(MAX_PAGES):
            answer = await self._client.call("GET", path, timeout=CALL_TIMEOUT_S)
            page = _decode(answer, _Page)
            machines += [_read_machine(raw) for raw in page.machines]
            if not page.next_token:
                return tuple(machines)
            path = f"/machines?pageToken={quote(page.next_token)}"
        raise CallError(Verdict.NOT_RUN, f"the list of machines has more than {MAX_PAGES} pages")

    async def begin_upkeep(self, machine: str, wave: int, token: int) -> UpkeepOutcome:
        """
        Order a machine's upkeep, which ends all tasks that run on it.

        Raises
        ------
        CallError
            If there is no answer.  The order may have been carried out and may be repeated.
        """
        body = msgspec.json.encode(_Upkeep(machine, wave))
        headers = ((_HOLDER_HEADER, self._holder), (_TOKEN_HEADER, str(token)))
        answer = await self._client.call("POST", "/machine-upkeep", body, headers, CALL_TIMEOUT_S)
        match answer.status:
            case 200:
                return UpkeepOutcome.DONE
            case 400:
                return UpkeepOutcome.UNKNOWN_MACHINE
            case 409:
                reason = _decode(answer, _Refusal).reason
                if reason in _REFUSALS:
                    return _REFUSALS[reason]
                raise PlatformError(f"upkeep of {machine} refused for an unknown reason {reason!r}")
        raise CallError(Verdict.NOT_RUN, f"the machines service answered {answer.status}")


def decode_wave(value: bytes) -> Wave:
    """
    Decode an upkeep wave that operators requested.

    Raises
    ------
    PlatformError
        If the value is not a valid wave.
    """
    try:
        wave = decode_json(value, _Wave)
    except MalformedError as error:
        raise PlatformError(f"upkeep wave can't be decoded: {error}") from error
    return Wave(wave.wave, wave.machines, wave.duration_s, max(1, wave.cap))


def encode_wave_status(completed: bool) -> bytes:
    """Return the JSON form of a wave's state."""
    return msgspec.json.encode({"state": "completed" if completed else "active"})


def _decode(answer: Answer, kind: type[T]) -> T:
    if answer.status not in (200, 409):
        raise CallError(Verdict.NOT_RUN, f"the machines service answered {answer.status}")
    try:
        return decode_json(answer.body, kind)
    except MalformedError as error:
        detail = f"the machines service's answer can't be decoded: {error}"
        raise CallError(Verdict.MAY_HAVE_RUN, detail) from error


def _read_machine(raw: msgspec.Raw) -> Machine:
    """
    Decode one entry of the list.

    An entry of which only the name can be decoded counts as a machine that is down, so it gets no
    orders.  Without it the machine would count as removed, and its upkeep as completed.

    Raises
    ------
    CallError
        If not even the name can be decoded, since any machine that is missing from the list could
        be this one.
    """
    try:
        machine = decode_json(raw, _Machine)
    except MalformedError:
        return Machine(_read_name(raw), "", MachineState.DOWN, "")
    state = _STATES.get(machine.state, MachineState.DOWN)
    return Machine(machine.machine, machine.pool, state, machine.id or "")


def _read_name(raw: msgspec.Raw) -> str:
    try:
        return decode_json(raw, _MachineName).machine
    except MalformedError as error:
        detail = f"an entry in the list of machines has no valid name: {error}"
        raise CallError(Verdict.MAY_HAVE_RUN, detail) from error
