"""
Worker client
=============

Decode the workers' entries in the store, and call workers to start, stop and throttle tasks and to
renew their leases.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

import msgspec

from toucanpin.decoding import MAX_NUMBER, decode_json
from toucanpin.exception import MalformedError, PlatformError
from toucanpin.http.client import Answer, CallError, Client
from toucanpin.platform.addresses import check_address
from toucanpin.scheduling.job import TaskKey, format_task
from toucanpin.scheduling.orders import (
    EndedRun,
    PollAnswer,
    RefusalReason,
    RunEnd,
    RunningTask,
    StartAnswer,
    WorkerEntry,
)
from toucanpin.verdict import Verdict

__all__ = [
    "WORKERS_TABLE",
    "WorkerClient",
    "WorkerReplacedError",
    "decode_worker",
    "encode_task",
    "parse_task",
]

WORKERS_TABLE = "servers"
CALL_TIMEOUT_S = 0.5  # an order takes 2 ms, so after 0.5 s its answer is lost
# Entries with larger capacities are invalid; one of them would otherwise attract all tasks.
MAX_CPU_MILLICORES = 10_000_000  # 10,000 cores
MAX_MEMORY_MB = 1_000_000_000  # 1 PB
MAX_ACCELERATORS = 10_000
_INSTANCE_HEADER = "X-Expect-Instance"
_RUN_ENDS = {
    "done": RunEnd.DONE,
    "failed": RunEnd.FAILED,
    "stopped": RunEnd.STOPPED,
    "lapsed": RunEnd.LEASE_EXPIRED,
    "broken": RunEnd.GANG_BROKEN,
    "alone": RunEnd.GANG_INCOMPLETE,
}
_REASONS = {
    "fence": RefusalReason.FENCED,
    "old": RefusalReason.OLD_ATTEMPT,
    "late": RefusalReason.LATE,
    "room": RefusalReason.NO_ROOM,
    "ticket": RefusalReason.NO_TICKET,
}


class WorkerReplacedError(CallError):
    """Raised if another incarnation of the worker answers; tasks of the earlier one are lost."""


class _Capacity(msgspec.Struct, rename="camel"):
    cpu: Annotated[int, msgspec.Meta(ge=1, le=MAX_CPU_MILLICORES)]
    mem_mb: Annotated[int, msgspec.Meta(ge=1, le=MAX_MEMORY_MB)]
    gpu: Annotated[int, msgspec.Meta(ge=0, le=MAX_ACCELERATORS)] = 0


class _Entry(msgspec.Struct, rename="camel"):
    """
    A worker's entry.

    Every worker writes the fields without a default, so an entry that lacks one comes from another
    writer.  With a default it would count as a worker, and be given tasks that never run.
    """

    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: str
    zone: str
    state: Literal["ready", "draining"]
    seq: int
    capacity: _Capacity
    labels: tuple[str, ...]
    cold_left_ms: Annotated[float, msgspec.Meta(ge=0)] = 0
    machine: str = ""
    remaining_ms: Annotated[float, msgspec.Meta(ge=0)] = 0
    # Of any type: without it a restart can't be told, which costs less than the whole worker.
    born: Any = 0


class _Start(msgspec.Struct, rename="camel", omit_defaults=True):
    task: str
    attempt: int
    spec: str
    deadline_ms: int
    fencing_token: int
    checkpoint: str = ""
    ticket: str = ""


class _Stop(msgspec.Struct, rename="camel"):
    task: str
    attempt: int
    fencing_token: int


class _Pace(msgspec.Struct, rename="camel"):
    task: str
    attempt: int
    percent: int
    fencing_token: int


class _Hold(msgspec.Struct, rename="camel", omit_defaults=True):
    fencing_token: int
    acked_seq: int = 0
    deadline_ms: int = 0
    wait_ms: int = 0


_Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]


class _Running(msgspec.Struct, array_like=True):
    """A row of the list of running tasks."""

    task: str
    attempt: _Number
    saved: str
    percent: _Number | Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]
    measure: float = 0.0


class _Finished(msgspec.Struct, array_like=True):
    """A row of the list of ended runs."""

    sequence: _Number
    task: str
    attempt: _Number
    end: str
    saved: str


class _Answer(msgspec.Struct, rename="camel"):
    clock_ms: _Number
    reason: str = ""
    running: tuple[_Running, ...] = ()
    finished: tuple[_Finished, ...] = ()
    born: Any = 0


class WorkerClient:
    """Client of one incarnation of a worker."""

    __slots__ = ("_client", "_header")

    def __init__(self, identifier: str, address: str) -> None:
        self._client = Client(address)
        self._header = ((_INSTANCE_HEADER, identifier),)

    def close(self) -> None:
        """Close the idle connections."""
        self._client.close()

    async def start(
        self,
        task: TaskKey,
        attempt: int,
        spec: str,
        deadline: int,
        token: int,
        checkpoint: str = "",
        ticket: str = "",
    ) -> StartAnswer:
        """Start an attempt under a lease that ends at ``deadline`` on the worker's clock, in ms."""
        order = _Start(encode_task(task), attempt, spec, deadline, token, checkpoint, ticket)
        answer = await self._call("/run-start", order)
        if answer.status in (429, 503):
            return StartAnswer(0, RefusalReason.UNHEALTHY)
        if answer.status == 400:
            return StartAnswer(0, RefusalReason.MALFORMED)
        body = _decode(answer, (200, 409))
        if answer.status == 200:
            return StartAnswer(body.clock_ms, None, _read_born(body.born))
        return StartAnswer(body.clock_ms, _read_reason(body.reason), _read_born(body.born))

    async def stop(self, task: TaskKey, attempt: int, token: int) -> RefusalReason | None:
        """Stop an attempt permanently, even if its start has not arrived yet."""
        answer = await self._call("/run-stop", _Stop(encode_task(task), attempt, token))
        return _read_refusal(answer)

    async def pace(
        self, task: TaskKey, attempt: int, percent: int, token: int
    ) -> RefusalReason | None:
        """Throttle an attempt to a percentage of its speed."""
        answer = await self._call("/pace", _Pace(encode_task(task), attempt, percent, token))
        return _read_refusal(answer)

    async def poll(
        self, token: int, acknowledged: int, deadline: int, wait: float, timeout: float
    ) -> PollAnswer | RefusalReason:
        """
        Renew the lease, acknowledge ended attempts and return the running and ended ones.

        The lease is renewed until ``deadline`` on the worker's clock, in ms, unless that is 0.
        """
        order = _Hold(token, acknowledged, deadline, int(wait * 1_000))
        answer = await self._call("/hold", order, wait + timeout)
        if answer.status in (429, 503):
            raise CallError(Verdict.NOT_RUN, f"the worker refused with {answer.status}")
        body = _decode(answer, (200, 409))
        if answer.status == 409:
            return _read_reason(body.reason)
        return PollAnswer(
            body.clock_ms,
            tuple(_to_running(row) for row in body.running),
            tuple(_to_ended(row) for row in body.finished),
            _read_born(body.born),
        )

    async def _call(
        self, path: str, order: msgspec.Struct, timeout: float = CALL_TIMEOUT_S
    ) -> Answer:
        body = msgspec.json.encode(order)
        answer = await self._client.call("POST", path, body, self._header, timeout)
        if answer.status == 421:
            raise WorkerReplacedError(
                Verdict.NOT_RUN, "another incarnation of the worker answers", 421
            )
        return answer


def decode_worker(identifier: str, value: bytes) -> WorkerEntry:
    """
    Decode a worker's entry in the store.

    Raises
    ------
    PlatformError
        If the entry is invalid.
    """
    if not identifier.isprintable():  # it is sent in a header
        raise PlatformError(f"{identifier[:60]!r} is not the id of a worker")
    try:
        entry = decode_json(value, _Entry)
    except MalformedError as error:
        raise PlatformError(f"entry of worker {identifier} can't be decoded: {error}") from error
    return WorkerEntry(
        id=identifier,
        service=entry.service,
        address=check_address(entry.address),
        data_centre=entry.zone,
        ready=entry.state == "ready",
        cpu=entry.capacity.cpu,
        memory=entry.capacity.mem_mb,
        accelerators=entry.capacity.gpu,
        labels=entry.labels,
        cold_time_left=entry.cold_left_ms / 1_000,
        machine=entry.machine,
        time_left=entry.remaining_ms / 1_000,
        born=_read_born(entry.born),
    )


def encode_task(task: TaskKey) -> str:
    """Return the wire form of a task's key."""
    return format_task(task)


def parse_task(text: str) -> TaskKey:
    """Return the task key that ``text`` is the wire form of."""
    try:
        job, occurrence, step, index = text.rsplit(".", 3)
        return TaskKey(job, int(occurrence), int(step), int(index))
    except ValueError as error:
        raise PlatformError(f"{text!r} is not a task key") from error


def _decode(answer: Answer, accepted: tuple[int, ...]) -> _Answer:
    if answer.status not in accepted:
        raise PlatformError(f"a worker answered {answer.status}: {answer.body[:200]!r}")
    try:
        return decode_json(answer.body, _Answer)
    except MalformedError as error:
        detail = f"a worker's answer can't be decoded: {error}"
        raise CallError(Verdict.MAY_HAVE_RUN, detail) from error


def _read_refusal(answer: Answer) -> RefusalReason | None:
    if answer.status in (429, 503):
        return RefusalReason.UNHEALTHY
    if answer.status == 400:
        return RefusalReason.MALFORMED
    body = _decode(answer, (200, 409))
    return _read_reason(body.reason) if answer.status == 409 else None


def _read_born(value: Any) -> int:
    """Return the start of an incarnation in Unix ms, 0 if it is missing or can't be one."""
    known = type(value) is int and 0 < value <= MAX_NUMBER
    return value if known else 0


def _read_reason(reason: str) -> RefusalReason:
    try:
        return _REASONS[reason]
    except KeyError as error:
        raise PlatformError(f"a worker refused for an unknown reason: {reason!r}") from error


def _to_running(row: _Running) -> RunningTask:
    percent = int(row.percent)
    return RunningTask(parse_task(row.task), row.attempt, row.saved, percent, row.measure)


def _to_ended(row: _Finished) -> EndedRun:
    end = _RUN_ENDS.get(row.end)
    if end is None:
        raise PlatformError(f"a run ended in an unknown way: {row.end[:60]!r}")
    return EndedRun(row.sequence, parse_task(row.task), row.attempt, end, row.saved)
