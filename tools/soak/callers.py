"""
Callers
=======

Callers that submit and cancel jobs and read states and counts, on persistent connections.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from tools.soak.channel import Channel, ChannelError, Reply, open_channel
from tools.soak.events import (
    AnswerLost,
    AnswerReceived,
    CancelRequested,
    Event,
    JobOffered,
    Loss,
    RequestKind,
)
from tools.soak.hosts import Host
from tools.soak.jobs import JobPlan, draw_job, draw_waiting

__all__ = ["SharedState", "Caller", "CallerRequest", "SITE"]

SITE = "site.example"
PAUSES_S = (0.05, 0.4)  # between requests of one caller
DEADLINES_S = (1.0, 3.0)  # for which callers wait
ANSWER_MARGIN_S = 3.0  # beyond the deadline, before a missing answer counts as lost
MAX_SUBMIT_TRIES = 5  # of a submission with an unknown outcome
RETRY_DELAYS_S = (0.1, 1.0)  # before another try
COPY_DELAYS_S = (0.5, 4.0)  # after which a duplicate of an accepted submission may arrive
NO_HOST_RETRY_DELAY_S = 0.1  # after no host could be reached
WAITING_SHARE = 0.06  # of jobs that no worker can run until the faults have ended
EXTRA_QUEUE_SHARE = 0.3  # of counts that are read of queues which come and go
MAX_RECENT_JOBS = 60  # jobs whose states are read
METHODS = {
    RequestKind.SUBMIT: "POST",
    RequestKind.STATE: "GET",
    RequestKind.COUNT: "GET",
    RequestKind.CANCEL: "DELETE",
}


@dataclass(slots=True)
class SharedState:
    """What all callers know; ``submissions_ended`` stops further submissions."""

    queues: tuple[str, ...]
    jobs: dict[str, JobPlan] = field(default_factory=dict)
    accepted: list[str] = field(default_factory=list)
    cancelled: set[str] = field(default_factory=set)
    cancel_confirmed: set[str] = field(default_factory=set)
    extra_queues: int = 0  # queues that no caller submits to and that come and go
    submissions_ended: bool = False


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request; ``subject`` is the id of a job or the name of a queue."""

    kind: RequestKind
    queue: str
    subject: str
    body: bytes = b""

    @property
    def path(self) -> str:
        """Return the path of the request."""
        return f"/{self.queue}/" + ("" if self.kind is RequestKind.COUNT else self.subject)


class Caller:
    """One caller, which runs until its task is cancelled."""

    def __init__(
        self,
        hosts: list[Host],
        state: SharedState,
        record: Callable[[Event], None],
        random_: random.Random,
    ) -> None:
        self._hosts = hosts
        self._state = state
        self._record = record
        self._random = random_
        self._channel: Channel | None = None
        self._background: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Send requests until cancelled."""
        try:
            while True:
                await self._act()
                await asyncio.sleep(self._random.uniform(*PAUSES_S))
        finally:
            for task in self._background:
                task.cancel()
            self.close()

    def close(self) -> None:
        """Close the persistent connection."""
        if self._channel is not None:
            self._channel.close()

    async def submit(self, job: JobPlan, tries: int = MAX_SUBMIT_TRIES) -> bool:
        """Submit a job until the outcome is known; return whether it was accepted."""
        self._state.jobs[job.id] = job
        self._record(JobOffered(time.monotonic(), job))
        request = CallerRequest(RequestKind.SUBMIT, job.queue, job.id, job.encode())
        for _ in range(tries):
            reply = await self.send(request)
            if reply is not None and reply.status == 200:
                self._state.accepted.append(job.id)
                return True
            if reply is not None and reply.status not in (502, 504):
                return False
            await asyncio.sleep(self._random.uniform(*RETRY_DELAYS_S))
        return False

    async def read_state(self, job: JobPlan) -> str:
        """Return the state of a job, empty if the answer holds none."""
        reply = await self.send(CallerRequest(RequestKind.STATE, job.queue, job.id))
        value = _read_value(RequestKind.STATE, reply) if reply is not None else None
        return value if isinstance(value, str) else ""

    async def send(self, *requests: CallerRequest) -> Reply | None:
        """Pipeline requests on the persistent connection; return the last answer."""
        channel = await self._find_channel()
        if channel is None:
            await asyncio.sleep(NO_HOST_RETRY_DELAY_S)
            return None
        return await self._exchange(channel, requests)

    async def _act(self) -> None:
        draw = self._random.random()
        if draw < 0.4 and not self._state.submissions_ended:
            await self._submit_new()
        elif draw < 0.45 and not self._state.submissions_ended:
            await self._cancel()
        elif draw < 0.65:
            await self.send(self._make_count_request())
        elif draw < 0.72:
            await self.send(
                *(
                    self._make_count_request(),
                    *self._make_state_requests(),
                    self._make_count_request(),
                )
            )
        else:
            await self.send(*self._make_state_requests())

    async def _submit_new(self) -> None:
        queue = self._random.choice(self._state.queues)
        is_waiting = self._random.random() < WAITING_SHARE
        job = (draw_waiting if is_waiting else draw_job)(self._random, queue)
        if self._random.random() < 0.1:
            submit_copy = Caller(self._hosts, self._state, self._record, self._random)
            self._spawn(submit_copy.submit_copy(job, 0.0))
        if await self.submit(job) and self._random.random() < 0.1:
            submit_copy = Caller(self._hosts, self._state, self._record, self._random)
            self._spawn(submit_copy.submit_copy(job, self._random.uniform(*COPY_DELAYS_S)))

    async def submit_copy(self, job: JobPlan, after: float) -> None:
        """Submit the same job once more, on a connection of its own."""
        await asyncio.sleep(after)
        try:
            await self.send(CallerRequest(RequestKind.SUBMIT, job.queue, job.id, job.encode()))
        finally:
            self.close()

    async def _cancel(self) -> None:
        candidates = [
            name
            for name in self._state.accepted[-MAX_RECENT_JOBS:]
            if not self._find_job(name).long_running
        ]
        if not candidates:
            return
        job = self._find_job(self._random.choice(candidates))
        self._state.cancelled.add(job.id)
        self._record(CancelRequested(time.monotonic(), job.id))
        reply = await self.send(CallerRequest(RequestKind.CANCEL, job.queue, job.id))
        if reply is not None and reply.status == 200:
            self._state.cancel_confirmed.add(job.id)

    def _make_count_request(self) -> CallerRequest:
        queue = self._random.choice(self._state.queues)
        if self._random.random() < EXTRA_QUEUE_SHARE:
            # The first queue, the last one of the configuration, or one that may have been removed.
            queue = f"extra{self._random.choice((0, max(0, self._state.extra_queues - 1), 3))}"
        return CallerRequest(RequestKind.COUNT, queue, queue)

    def _make_state_requests(self) -> tuple[CallerRequest, ...]:
        candidates = self._state.accepted[-MAX_RECENT_JOBS:]
        if not candidates:
            return (self._make_count_request(),)
        job = self._find_job(self._random.choice(candidates))
        return (CallerRequest(RequestKind.STATE, job.queue, job.id),)

    def _find_job(self, name: str) -> JobPlan:
        return self._state.jobs[name]

    async def _find_channel(self) -> Channel | None:
        """Return the persistent connection, or a new one to some host."""
        channel = self._channel
        if channel is not None and channel.usable and not channel.ended():
            return channel
        self.close()
        for host in self._random.sample(self._hosts, len(self._hosts)):
            name = host.name
            try:
                self._channel = await open_channel(host.front, name)
            except (OSError, TimeoutError):
                continue
            return self._channel
        return None

    async def _exchange(
        self, channel: Channel, requests: tuple[CallerRequest, ...]
    ) -> Reply | None:
        deadline = self._random.choice(DEADLINES_S)
        sent = time.monotonic()
        for request in requests:
            method = METHODS[request.kind]
            channel.send(method, request.path, SITE, request.body, deadline)
        reply = None
        for number, request in enumerate(requests):
            kind, subject = request.kind, request.subject
            try:
                reply = await channel.receive(deadline * len(requests) + ANSWER_MARGIN_S)
            except ChannelError as error:
                at = time.monotonic()
                self._record(AnswerLost(at, sent, channel.process, kind, subject, error.loss))
                return None
            value = _read_value(kind, reply)
            at = time.monotonic()
            self._record(
                AnswerReceived(at, sent, channel.process, kind, subject, reply.status, value)
            )
            if reply.is_last and number + 1 < len(requests):
                self._record_unread(channel, sent, requests[number + 1 :])
                return None
        return reply

    def _record_unread(
        self, channel: Channel, sent: float, rest: tuple[CallerRequest, ...]
    ) -> None:
        for request in rest:
            at = time.monotonic()
            kind, subject = request.kind, request.subject
            self._record(AnswerLost(at, sent, channel.process, kind, subject, Loss.UNREAD))

    def _spawn(self, work: object) -> None:
        assert asyncio.iscoroutine(work)
        task: asyncio.Task[None] = asyncio.ensure_future(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)


def _read_value(kind: RequestKind, reply: Reply) -> str | int | None:
    """Return the state or the count in an answer, None if it holds neither."""
    if reply.status != 200:
        return None
    try:
        body = msgspec.json.decode(reply.body) if reply.body else {}
    except msgspec.MsgspecError:
        return None
    found = body.get({RequestKind.STATE: "state", RequestKind.COUNT: "pendingJobs"}.get(kind, ""))
    return found if isinstance(found, str | int) else None
