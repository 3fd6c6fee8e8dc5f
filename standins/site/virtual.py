"""
Site on a virtual clock
=======================

Run a site without sockets in an event loop whose clock jumps to the next timer.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import secrets
import selectors
import time
from collections.abc import Callable, Coroutine
from contextlib import ExitStack
from contextvars import ContextVar, copy_context
from typing import Any
from unittest.mock import patch

from toucanpin.entry.peer_calls import PeerCaller
from toucanpin.entry.relay import RelayServer
from toucanpin.http import Answer, CallError, Client, Request, Server, UnreachableError
from toucanpin.verdict import Verdict

__all__ = ["Processor", "run_virtual", "start_on"]

LINK_DELAY_S = 0.004  # one way
CALL_TIME_S = 0.001  # of one core for a call
KILOBYTE_TIME_S = 0.0003  # of one core for each KB of an answer
FIRST_TIME_S = 1_000.0
WALL_TIME_S = 1_700_000_000.0
WORKER_TICK_S = 0.1


def run_virtual(main: Callable[[], Coroutine[Any, Any, None]], seed: int = 0) -> None:
    """Run ``main`` on a virtual clock and network until it returns."""
    names = random.Random(seed)
    random.seed(seed)
    loop = _VirtualLoop()
    network = _Network()
    ports = itertools.count(20_000)
    replaced: tuple[tuple[Any, str, Any], ...] = (
        (time, "monotonic", loop.time),
        (time, "clock_gettime", lambda clock: loop.time()),
        (secrets, "token_hex", lambda size: names.randbytes(size).hex()),
        (time, "time_ns", lambda: int((WALL_TIME_S + loop.time()) * 1e9)),
        (Server, "listen", network.listen),
        (Server, "drain", network.drain),
        (Client, "call", network.call),
        (RelayServer, "listen", network.listen_for_peers),
        (RelayServer, "close", network.close_relay),
        (PeerCaller, "call", network.call_peer),
    )
    with ExitStack() as stack:
        for target, name, value in replaced:
            stack.enter_context(patch.object(target, name, _as_method(value)))
        stack.enter_context(patch("standins.site.site.free_port", lambda: next(ports)))
        stack.enter_context(patch("standins.site.worker.TICK_S", WORKER_TICK_S))
        with asyncio.Runner(loop_factory=lambda: loop) as runner:
            runner.run(main())


class Processor:
    """
    Processor of a host, which carries out one call after another.

    Calls to ``unreachable`` addresses of servers and ports of peers get no answer.
    """

    def __init__(self, cores: float) -> None:
        self._cores = cores
        self._busy_until = 0.0
        self.unreachable: set[str | int] = set()

    def stand_still(self, seconds: float) -> None:
        """Carry out no call for a while, as a process that is frozen."""
        self._busy_until = max(self._busy_until, time.monotonic() + seconds)

    async def work(self, seconds: float) -> None:
        """Wait until work that takes one core some seconds is done."""
        now = time.monotonic()
        self._busy_until = max(now, self._busy_until) + seconds / self._cores
        await asyncio.sleep(self._busy_until - now)


_processor: ContextVar[Processor | None] = ContextVar("processor", default=None)


async def start_on(processor: Processor, work: Coroutine[Any, Any, None]) -> None:
    """Run ``work``, with all tasks that it starts, on a processor."""
    context = copy_context()
    context.run(_processor.set, processor)
    await asyncio.get_running_loop().create_task(work, context=context)


async def _reach(target: str | int, timeout: float) -> None:
    """Raise CallError after ``timeout`` if the caller's processor can't reach a server or peer."""
    processor = _processor.get()
    if processor is not None and target in processor.unreachable:
        await asyncio.sleep(timeout)
        raise CallError(Verdict.MAY_HAVE_RUN, f"{target}: no answer")


async def _work(seconds: float) -> None:
    processor = _processor.get()
    if processor is not None:
        await processor.work(seconds)


def _as_method(function: Callable) -> Callable:
    """Wrap a bound method so that it receives the instance on which it is called."""
    if not isinstance(getattr(function, "__self__", None), _Network):
        return function
    return lambda *args, **fields: function(*args, **fields)


class _VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that never waits: its clock jumps to the next timer."""

    def __init__(self) -> None:
        self._time = FIRST_TIME_S
        super().__init__(_VirtualSelector(self._advance))

    def time(self) -> float:
        return self._time

    def _advance(self, timeout: float | None) -> None:
        if timeout is None:
            raise RuntimeError("nothing is left to wait for")
        self._time += max(0.0, timeout)


class _VirtualSelector(selectors.SelectSelector):
    def __init__(self, advance: Callable[[float | None], None]) -> None:
        super().__init__()
        self._advance = advance

    def select(self, timeout: float | None = None) -> list:
        self._advance(timeout)
        return super().select(0.0)


class _Network:
    """Servers and relays by address, with a fixed delay between all of them."""

    def __init__(self) -> None:
        self._servers: dict[str, Server] = {}
        self._relays: dict[int, RelayServer] = {}
        self._handling: dict[asyncio.Task, Server] = {}

    async def listen(self, server: Server, address: str) -> None:
        self._servers[address] = server

    async def drain(self, server: Server, timeout: float, **options: object) -> None:
        self._servers = {name: it for name, it in self._servers.items() if it is not server}
        handling = [task for task, it in self._handling.items() if it is server]
        if handling and timeout:
            await asyncio.wait(handling, timeout=timeout)
        for task in handling:  # a process that has ended answers no more
            task.cancel()

    async def listen_for_peers(self, relay: RelayServer, address: str, port: int) -> None:
        self._relays[port] = relay

    def close_relay(self, relay: RelayServer) -> None:
        self._relays = {port: it for port, it in self._relays.items() if it is not relay}

    async def call(
        self,
        client: Client,
        method: str,
        path: str,
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
        timeout: float = 1.0,
        total_timeout: float = 0.0,
    ) -> Answer:
        request = Request()
        request.method, request.path, request.body = method, path, body
        request.headers = {name.lower(): value for name, value in headers}
        await _work(CALL_TIME_S)
        await _reach(client.address, timeout)
        try:
            async with asyncio.timeout(timeout):
                await asyncio.sleep(LINK_DELAY_S)
                server = self._servers.get(client.address)
                if server is None:
                    raise UnreachableError(f"{client.address} can't be reached", True)
                # A request that has arrived is carried out, also if its caller has given up.
                handling = asyncio.ensure_future(server.handle(request))
                self._handling[handling] = server
                handling.add_done_callback(self._handling.pop)
                await asyncio.wait((handling,))
                response = None if handling.cancelled() else handling.result()
                await asyncio.sleep(LINK_DELAY_S)
        except TimeoutError as error:
            raise CallError(Verdict.MAY_HAVE_RUN, f"{client.address}: no answer") from error
        if response is None:
            raise CallError(Verdict.MAY_HAVE_RUN, f"{client.address}: connection ended")
        await _work(len(response.body) / 1_024 * KILOBYTE_TIME_S)
        return Answer(response.status, {}, response.body)

    async def call_peer(
        self, caller: Any, method: str, path: str, body: bytes = b"", *, timeout: float = 1.0
    ) -> Answer:
        from toucanpin.wire.messages import RelayCall

        await asyncio.sleep(LINK_DELAY_S)
        await _reach(caller._peer.port, timeout)
        relay = self._relays.get(caller._peer.port)
        if relay is None:
            raise CallError(Verdict.NOT_RUN, "the peer can't be reached")
        try:
            async with asyncio.timeout(timeout):
                answer = await relay._call(RelayCall(method, path, body, timeout, caller._service))
                await asyncio.sleep(LINK_DELAY_S)
        except TimeoutError as error:
            raise CallError(Verdict.MAY_HAVE_RUN, "no answer from the peer") from error
        if answer.status:
            return Answer(answer.status, {}, answer.body)
        raise CallError(Verdict.NOT_RUN if answer.certain else Verdict.MAY_HAVE_RUN, "no answer")
