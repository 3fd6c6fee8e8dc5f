"""Each mode of a link does to connections what its name says, on real sockets."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import unittest

from tools.soak.faults import LinkMode
from tools.soak.links import Link
from tools.soak.network import take_network

REQUEST = b"request"


class LinkTest(unittest.IsolatedAsyncioTestCase):
    """A client talks through a link to a server that echoes what it gets."""

    async def asyncSetUp(self) -> None:
        lock, network = take_network()
        self.addCleanup(lock.close)
        self.received: asyncio.Queue[bytes] = asyncio.Queue()
        self.server = await asyncio.start_server(self._echo, f"127.79.{network}.1", 7000)
        self.address = f"127.79.{network}.2"
        self.link = Link(f"127.79.{network}.1:7000")
        await self.link.listen(f"{self.address}:7000")

    async def asyncTearDown(self) -> None:
        self.link.close()
        await self._settle()
        self.server.close()

    async def test_refused_and_reset_connections(self) -> None:
        """Guards against a cut that a host sees otherwise than the end of a process."""
        for mode, new_error in (
            (LinkMode.RESET, ConnectionResetError),
            (LinkMode.REFUSED, ConnectionRefusedError),
        ):
            with self.subTest(mode=mode):
                reader, _ = await self._ask()
                self.link.set_mode(mode)
                with self.assertRaises(ConnectionResetError):
                    await reader.read(1)
                await self._settle()
                with self.assertRaises(new_error):
                    await self._ask()
                self.link.set_mode(LinkMode.OPEN)
                await self._settle()
                await self._ask()

    async def test_link_follows_the_last_of_many_changes(self) -> None:
        """Guards against a listener that stays closed, or open, after modes changed at once."""
        for first, last in itertools.permutations((LinkMode.REFUSED, LinkMode.OPEN)):
            for mode in (first, last) * 3:
                self.link.set_mode(mode)
            await self._settle()
            with self.subTest(last=last):
                if last is LinkMode.OPEN:
                    await self._ask()
                else:
                    with self.assertRaises(ConnectionRefusedError):
                        await self._ask()

    async def test_link_that_is_refused_before_it_listens(self) -> None:
        """Guards against a worker that can be reached on links that are made during its cut."""
        link = Link(f"{self.address}:7000")
        link.set_mode(LinkMode.REFUSED)
        await link.listen(f"{self.address}:7001")
        with self.assertRaises(ConnectionRefusedError):
            await asyncio.open_connection(self.address, 7001)
        link.close()

    async def test_cuts_hold_bytes_one_way_or_both(self) -> None:
        """Guards against cuts that lose or pass what they are to hold back until their end."""
        for mode, request_passes in (
            (LinkMode.CUT_THERE, False),
            (LinkMode.CUT_BACK, True),
            (LinkMode.SILENT, False),
        ):
            with self.subTest(mode=mode):
                reader, writer = await self._ask()
                self.link.set_mode(mode)
                writer.write(REQUEST)
                answer = asyncio.ensure_future(reader.readexactly(len(REQUEST)))
                if request_passes:
                    self.assertEqual(REQUEST, await self.received.get())
                await self._settle()
                self.assertTrue(self.received.empty())
                self.assertFalse(answer.done())
                self.link.set_mode(LinkMode.OPEN)
                self.assertEqual(REQUEST, await answer)
                if not request_passes:
                    self.assertEqual(REQUEST, await self.received.get())

    async def _settle(self) -> None:
        """Let the link follow its mode."""
        for _ in range(20):
            await asyncio.sleep(0)

    async def _ask(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection and wait for the answer to a first request."""
        reader, writer = await asyncio.open_connection(self.address, 7000)
        self.addCleanup(writer.close)
        writer.write(REQUEST)
        await writer.drain()
        if not await reader.read(len(REQUEST)):
            raise ConnectionResetError
        await self.received.get()
        return reader, writer

    async def _echo(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(1_024):
                self.received.put_nowait(data)
                writer.write(data)
        writer.close()


if __name__ == "__main__":
    unittest.main()
