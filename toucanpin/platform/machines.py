"""
Machines of the platform
========================

List the machines below the workers, send them into upkeep, and read what operators ask of them.
"""

from __future__ import annotations

import enum
from typing import TypeVar
from urllib.parse import quote

import msgspec

from toucanpin.exception import PlatformError
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
TIMEOUT = 1.0  # s for one call; the platform may be slow
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
    """Say what became of an order to a machine."""

    DONE = "done"  # now, or by an earlier order
    FENCED = "fenced"
    BUSY = "busy"
    NOT_IN_WAVE = "not in wave"
    UNKNOWN_MACHINE = "unknown machine"


_REASONS = {
    "fence": UpkeepOutcome.FENCED,
    "busy": UpkeepOutcome.BUSY,
    "wave": UpkeepOutcome.NOT_IN_WAVE,
}


class _Machine(msgspec.Struct, rename="camel"):
    """Hold a machine; ``id`` is that of the worker which it is now."""

    machine: str
    pool: str = ""
    state: str = "up"
    id: str | None = ""


class _Named(msgspec.Struct):
    """Hold what is sure of an entry that can't be read further."""

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
    """Hold a wave; the wire's ``cap`` is how many machines may be down for it at once."""

    wave: int
    machines: tuple[str, ...] = ()
    duration_s: float = 0
    cap: int = 1


class MachineClient:
    """Call the platform's machines; orders carry their holder and its token."""

    __slots__ = ("_client", "_holder")

    def __init__(self, address: str, holder: str) -> None:
        self._client = Client(address)
        self._holder = holder

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def list(self) -> tuple[Machine, ...]:
        """
        List all machines.

        Raises
        ------
        CallError
            If the list could not be read whole.
        """
        machines: list[Machine] = []
        path = "/machines"
        for _ in range(MAX_PAGES):
            answer = await self._client.call("GET", path, timeout=TIMEOUT)
            page = _decode(answer, _Page)
            machines += [_read_machine(raw) for raw in page.machines]
            if not page.next_token:
                return tuple(machines)
            path = f"/machines?pageToken={quote(page.next_token)}"
        raise CallError(Verdict.NOT_RUN, f"the machines fill more than {MAX_PAGES} pages")

    async def begin_upkeep(self, machine: str, wave: int, token: int) -> UpkeepOutcome:
        """
        Send a machine into its upkeep, which ends all that runs there.

        Raises
        ------
        CallError
            If there was no answer; the order may have been carried out, and may be repeated.
        """
        body = msgspec.json.encode(_Upkeep(machine, wave))
        headers = ((_HOLDER_HEADER, self._holder), (_TOKEN_HEADER, str(token)))
        answer = await self._client.call("POST", "/machine-upkeep", body, headers, TIMEOUT)
        match answer.status:
            case 200:
                return UpkeepOutcome.DONE
            case 400:
                return UpkeepOutcome.UNKNOWN_MACHINE
            case 409:
                reason = _decode(answer, _Refusal).reason
                if reason in _REASONS:
                    return _REASONS[reason]
                raise PlatformError(f"an upkeep was refused for an unknown reason: {reason!r}")
        raise CallError(Verdict.NOT_RUN, f"the machines' platform answered {answer.status}")


def decode_wave(value: bytes) -> Wave:
    """Decode what operators ask of some machines."""
    try:
        wave = msgspec.json.decode(value, type=_Wave)
    except (msgspec.MsgspecError, ValueError) as error:
        raise PlatformError(f"a wave can't be read: {error}") from error
    return Wave(wave.wave, wave.machines, wave.duration_s, max(1, wave.cap))


def encode_wave_status(completed: bool) -> bytes:
    """Return how far a wave is, as operators read it."""
    return msgspec.json.encode({"state": "completed" if completed else "active"})


def _decode(answer: Answer, kind: type[T]) -> T:
    if answer.status not in (200, 409):
        raise CallError(Verdict.NOT_RUN, f"the machines' platform answered {answer.status}")
    try:
        return msgspec.json.decode(answer.body, type=kind)
    except msgspec.MsgspecError as error:
        detail = f"an answer about machines can't be read: {error}"
        raise CallError(Verdict.MAY_HAVE_RUN, detail) from error


def _read_machine(raw: msgspec.Raw) -> Machine:
    """
    Read one entry of the list.

    A machine of which only the name can be read is there, and nothing is ordered of it: taken for
    gone, it would be counted as through its upkeep.

    Raises
    ------
    CallError
        If not even that can be read: then no machine can be said to be gone.
    """
    try:
        machine = msgspec.json.decode(raw, type=_Machine)
    except (msgspec.MsgspecError, ValueError):
        return Machine(_read_name(raw), "", MachineState.DOWN, "")
    state = _STATES.get(machine.state, MachineState.DOWN)
    return Machine(machine.machine, machine.pool, state, machine.id or "")


def _read_name(raw: msgspec.Raw) -> str:
    try:
        return msgspec.json.decode(raw, type=_Named).machine
    except (msgspec.MsgspecError, ValueError) as error:
        detail = f"an entry of the list of machines names none: {error}"
        raise CallError(Verdict.MAY_HAVE_RUN, detail) from error
