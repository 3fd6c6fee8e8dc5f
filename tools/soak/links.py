"""
Links
=====

Stand between an entry host and the store or a worker, and delay, break, hold back or silence.
"""

from __future__ import annotations

import asyncio
import contextlib

from tools.soak.faults import LinkMode

__all__ = ["Link"]

CHUNK_BYTES = 65_536  # bytes read at a time
REQUEST_HOLDING_MODES = (LinkMode.CUT_THERE, LinkMode.SILENT)
ANSWER_HOLDING_MODES = (LinkMode.CUT_BACK, LinkMode.SILENT)


class Link:
    """
    Pass the bytes of connections to one address on.

    Bytes that are held back are passed on once the link is open again, as a network repeats what it
    has lost: orders are then carried out late, also after the caller has given the connection up.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self._mode = LinkMode.OPEN
        self._delay = 0.0
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self, address: str) -> None:
        """Listen on an address."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(
            self._accept, host, int(port), backlog=256, limit=CHUNK_BYTES
        )

    def set_mode(self, mode: LinkMode, delay: float = 0.0) -> None:
        """Change what happens to bytes from now on."""
        self._mode = mode
        self._delay = delay if mode is LinkMode.DELAYED else 0.0
        if mode is LinkMode.RESET:
            self._abort()
        self._changed.set()
        self._changed = asyncio.Event()

    def close(self) -> None:
        """End all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        self._abort()

    def _abort(self) -> None:
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self._writers.add(writer)
        try:
            await self._relay(reader, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._drop(writer)

    async def _relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._mode is LinkMode.RESET:
            return
        host, _, port = self._target.rpartition(":")
        target_reader, target_writer = await asyncio.open_connection(
            host, int(port), limit=CHUNK_BYTES
        )
        self._writers.add(target_writer)
        pumps = [
            asyncio.ensure_future(self._pump(reader, target_writer, REQUEST_HOLDING_MODES)),
            asyncio.ensure_future(self._pump(target_reader, writer, ANSWER_HOLDING_MODES)),
        ]
        try:
            await asyncio.gather(*pumps)
        finally:
            for pump in pumps:
                pump.cancel()
            self._drop(target_writer)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        holding_modes: tuple[LinkMode, ...],
    ) -> None:
        """Pass bytes on in one direction until that side ends."""
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                await self._wait_until_open(holding_modes)
                writer.write(data)
                await writer.drain()
        await self._wait_until_open(holding_modes)
        writer.close()

    async def _wait_until_open(self, holding_modes: tuple[LinkMode, ...]) -> None:
        if self._delay:
            await asyncio.sleep(self._delay)
        while self._mode in holding_modes:
            await self._changed.wait()

    def _drop(self, writer: asyncio.StreamWriter) -> None:
        self._writers.discard(writer)
        writer.close()
