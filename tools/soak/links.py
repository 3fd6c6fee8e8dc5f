"""
Links
=====

TCP proxies between an entry host and the store or a worker, which delay or hold bytes, and reset or
refuse connections.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

from tools.soak.faults import LinkMode

__all__ = ["Link"]

CHUNK_BYTES = 65_536
REQUEST_HOLDING_MODES = (LinkMode.CUT_THERE, LinkMode.SILENT)
ANSWER_HOLDING_MODES = (LinkMode.CUT_BACK, LinkMode.SILENT)
ENDING_MODES = (LinkMode.RESET, LinkMode.REFUSED)
NO_LINGER = struct.pack("ii", 1, 0)  # the peer gets a reset in place of an orderly end


class Link:
    """
    Proxy of connections to one address.

    Held bytes are forwarded once the link is open again, as TCP retransmits lost segments: orders
    are then carried out late, also after the sender has abandoned the connection.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self._mode = LinkMode.OPEN
        self._delay = 0.0
        self._changed = asyncio.Event()
        self._address = ""
        self._server: asyncio.Server | None = None
        self._listening = asyncio.Lock()
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self, address: str) -> None:
        """Accept connections on an address while the mode allows it."""
        self._address = address
        await self._adjust_listener()

    def set_mode(self, mode: LinkMode, delay: float = 0.0) -> None:
        """Change how bytes are treated from now on."""
        self._mode = mode
        self._delay = delay if mode is LinkMode.DELAYED else 0.0
        if mode in ENDING_MODES:
            self._abort()
        self._changed.set()
        self._changed = asyncio.Event()
        if self._address:
            self._keep(asyncio.ensure_future(self._adjust_listener()))

    def close(self) -> None:
        """Stop listening and end all connections."""
        self._address = ""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        self._abort()

    def _abort(self) -> None:
        for writer in tuple(self._writers):
            _reset(writer)

    def _keep(self, task: asyncio.Task[None]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _adjust_listener(self) -> None:
        """Listen unless connections are refused."""
        async with self._listening:
            if self._mode is LinkMode.REFUSED and self._server is not None:
                self._server.close()
                self._server = None
            elif self._mode is not LinkMode.REFUSED and self._server is None:
                host, _, port = self._address.rpartition(":")
                self._server = await asyncio.start_server(
                    self._accept, host, int(port), backlog=256, limit=CHUNK_BYTES
                )

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._keep(task)
        self._writers.add(writer)
        try:
            await self._relay(reader, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._drop(writer)

    async def _relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._mode in ENDING_MODES:
            _reset(writer)
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
        """Forward bytes in one direction until the sender closes."""
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


def _reset(writer: asyncio.StreamWriter) -> None:
    raw = writer.get_extra_info("socket")
    if raw is not None and not writer.transport.is_closing():
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    writer.transport.abort()
