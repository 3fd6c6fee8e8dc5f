"""
Callers
=======

Hand in jobs, ask for states and counts, and cancel, on connections that are used until they end.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from tools.soak.channel import Channel, ChannelError, Reply, open_channel
from tools.soak.events import Answered, Broken, CancelAsked, Event, Kind, Loss, Offered
from tools.soak.hosts import Host
from tools.soak.jobs import JobPlan, draw_job, draw_waiting

__all__ = ["Book", "Caller", "Question", "SITE"]

SITE = "site.example"
PAUSES = (0.05, 0.4)  # s between requests of one caller
DEADLINES = (1.0, 3.0)  # s that callers wait
PATIENCE = 3.0  # s beyond its deadline for which an answer still counts as late, not as lost
TRIES = 5  # of a submission without an answer
TRY_AGAIN = (0.1, 1.0)  # s before another try
COPY_LATER = (0.5, 4.0)  # s after which a copy of an accepted submission may arrive
ABSENT = 0.1  # s before a caller that reached no host tries again
WAITING_SHARE = 0.06  # of jobs that nobody can run until the faults have ended
EXTRA_SHARE = 0.3  # of counts that are asked of queues which come and go
RECENT = 60  # jobs whose states are asked for
METHODS = {Kind.SUBMIT: "POST", Kind.STATE: "GET", Kind.COUNT: "GET", Kind.CANCEL: "DELETE"}


@dataclass(slots=True)
class Book:
    """Hold what callers know together; ``quiet`` ends the handing in of jobs."""

    queues: tuple[str, ...]
    jobs: dict[str, JobPlan] = field(default_factory=dict)
    accepted: list[str] = field(default_factory=list)
    cancelled: set[str] = field(default_factory=set)
    cancelled_for_good: set[str] = field(default_factory=set)
    extra: int = 0  # queues that nobody uses and that come and go
    quiet: bool = False


@dataclass(frozen=True, slots=True)
class Question:
    """Hold one request; ``subject`` is the id of a job, or the name of a queue."""

    kind: Kind
    queue: str
    subject: str
    body: bytes = b""

    @property
    def path(self) -> str:
        """Return the path of the request."""
        return f"/{self.queue}/" + ("" if self.kind is Kind.COUNT else self.subject)


class Caller:
    """Do what one caller does, until its task is cancelled."""

    def __init__(
        self,
        hosts: list[Host],
        book: Book,
        record: Callable[[Event], None],
        random_: random.Random,
    ) -> None:
        self._hosts = hosts
        self._book = book
        self._record = record
        self._random = random_
        self._channel: Channel | None = None
        self._later: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Call for ever."""
        try:
            while True:
                await self._act()
                await asyncio.sleep(self._random.uniform(*PAUSES))
        finally:
            for task in self._later:
                task.cancel()
            self.close()

    def close(self) -> None:
        """End the kept connection."""
        if self._channel is not None:
            self._channel.close()

    async def submit(self, job: JobPlan, tries: int = TRIES) -> bool:
        """Hand a job in until it is known what came of it; return whether it was accepted."""
        self._book.jobs[job.id] = job
        self._record(Offered(time.monotonic(), job))
        question = Question(Kind.SUBMIT, job.queue, job.id, job.encode())
        for _ in range(tries):
            reply = await self.ask(question)
            if reply is not None and reply.status == 200:
                self._book.accepted.append(job.id)
                return True
            if reply is not None and reply.status not in (502, 504):
                return False
            await asyncio.sleep(self._random.uniform(*TRY_AGAIN))
        return False

    async def ask_state(self, job: JobPlan) -> str:
        """Return the state of a job, empty if it wasn't told."""
        reply = await self.ask(Question(Kind.STATE, job.queue, job.id))
        value = _read_value(Kind.STATE, reply) if reply is not None else None
        return value if isinstance(value, str) else ""

    async def ask(self, *questions: Question) -> Reply | None:
        """Write requests at once on the kept connection; return the last answer."""
        channel = await self._find_channel()
        if channel is None:
            await asyncio.sleep(ABSENT)
            return None
        return await self._exchange(channel, questions)

    async def _act(self) -> None:
        draw = self._random.random()
        if draw < 0.4 and not self._book.quiet:
            await self._hand_in()
        elif draw < 0.45 and not self._book.quiet:
            await self._cancel()
        elif draw < 0.65:
            await self.ask(self._count())
        elif draw < 0.72:
            await self.ask(*(self._count(), *self._states(), self._count()))
        else:
            await self.ask(*self._states())

    async def _hand_in(self) -> None:
        queue = self._random.choice(self._book.queues)
        waits = self._random.random() < WAITING_SHARE
        job = (draw_waiting if waits else draw_job)(self._random, queue)
        if self._random.random() < 0.1:
            copy = Caller(self._hosts, self._book, self._record, self._random)
            self._spawn(copy.copy(job, 0.0))
        if await self.submit(job) and self._random.random() < 0.1:
            copy = Caller(self._hosts, self._book, self._record, self._random)
            self._spawn(copy.copy(job, self._random.uniform(*COPY_LATER)))

    async def copy(self, job: JobPlan, after: float) -> None:
        """Hand the same job in once more, through a connection of its own."""
        await asyncio.sleep(after)
        try:
            await self.ask(Question(Kind.SUBMIT, job.queue, job.id, job.encode()))
        finally:
            self.close()

    async def _cancel(self) -> None:
        known = [name for name in self._book.accepted[-RECENT:] if not self._jobs(name).lasting]
        if not known:
            return
        job = self._jobs(self._random.choice(known))
        self._book.cancelled.add(job.id)
        self._record(CancelAsked(time.monotonic(), job.id))
        reply = await self.ask(Question(Kind.CANCEL, job.queue, job.id))
        if reply is not None and reply.status == 200:
            self._book.cancelled_for_good.add(job.id)

    def _count(self) -> Question:
        queue = self._random.choice(self._book.queues)
        if self._random.random() < EXTRA_SHARE:
            # The first queue that was added last, or the first one that may have been removed.
            queue = f"extra{self._random.choice((0, max(0, self._book.extra - 1), 3))}"
        return Question(Kind.COUNT, queue, queue)

    def _states(self) -> tuple[Question, ...]:
        known = self._book.accepted[-RECENT:]
        if not known:
            return (self._count(),)
        job = self._jobs(self._random.choice(known))
        return (Question(Kind.STATE, job.queue, job.id),)

    def _jobs(self, name: str) -> JobPlan:
        return self._book.jobs[name]

    async def _find_channel(self) -> Channel | None:
        """Return the kept connection, or a new one to some host."""
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

    async def _exchange(self, channel: Channel, questions: tuple[Question, ...]) -> Reply | None:
        deadline = self._random.choice(DEADLINES)
        sent = time.monotonic()
        for question in questions:
            method = METHODS[question.kind]
            channel.send(method, question.path, SITE, question.body, deadline)
        reply = None
        for number, question in enumerate(questions):
            kind, subject = question.kind, question.subject
            try:
                reply = await channel.receive(deadline * len(questions) + PATIENCE)
            except ChannelError as error:
                at = time.monotonic()
                self._record(Broken(at, sent, channel.process, kind, subject, error.loss))
                return None
            value = _read_value(kind, reply)
            at = time.monotonic()
            self._record(Answered(at, sent, channel.process, kind, subject, reply.status, value))
            if reply.last and number + 1 < len(questions):
                self._break_rest(channel, sent, questions[number + 1 :])
                return None
        return reply

    def _break_rest(self, channel: Channel, sent: float, rest: tuple[Question, ...]) -> None:
        for question in rest:
            at = time.monotonic()
            kind, subject = question.kind, question.subject
            self._record(Broken(at, sent, channel.process, kind, subject, Loss.UNREAD))

    def _spawn(self, work: object) -> None:
        assert asyncio.iscoroutine(work)
        task: asyncio.Task[None] = asyncio.ensure_future(work)
        self._later.add(task)
        task.add_done_callback(self._later.discard)


def _read_value(kind: Kind, reply: Reply) -> str | int | None:
    """Return the state or the count of an answer, None if it holds neither."""
    if reply.status != 200:
        return None
    try:
        body = msgspec.json.decode(reply.body) if reply.body else {}
    except msgspec.MsgspecError:
        return None
    found = body.get({Kind.STATE: "state", Kind.COUNT: "pendingJobs"}.get(kind, ""))
    return found if isinstance(found, str | int) else None
