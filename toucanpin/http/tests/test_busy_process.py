"""What a call comes to in a process that is itself late."""

from __future__ import annotations

import asyncio
import time
import unittest

from toucanpin.http import Client, Request, Response, Server

PATIENCE = 0.2  # s that a call may take
BUSY = 0.5  # s for which the process does nothing else: its loop has to stand still


class LateProcessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        from standins.site.site import free_port

        self.asked = 0
        self.server = Server(self._handle, 1_024, 4_096)
        address = f"127.0.0.1:{free_port()}"
        await self.server.listen(address)
        self.addAsyncCleanup(self.server.drain, 0.0)
        self.client = Client(address)
        self.addCleanup(self.client.close)

    async def _handle(self, request: Request) -> Response:
        self.asked += 1
        return Response(200, request.body)

    def _call(self, body: bytes) -> asyncio.Task:
        return asyncio.ensure_future(self.client.call("POST", "/", body, timeout=PATIENCE))

    async def test_an_answer_that_is_there_is_taken(self) -> None:
        """Guards against answers that are dropped since this process read them after its time."""
        await self._call(b"first")
        call = self._call(b"second")
        while self.asked < 2:
            await asyncio.sleep(0)
        time.sleep(BUSY)  # noqa: ASYNC251
        self.assertEqual(b"second", (await call).body)
        self.assertEqual(1, len(self.server.sessions))

    async def test_a_connection_that_is_there_is_used(self) -> None:
        """Guards against a host that counts as away since this process was busy meanwhile."""
        call = self._call(b"first")
        await asyncio.sleep(0)
        time.sleep(BUSY)  # noqa: ASYNC251
        self.assertEqual(b"first", (await call).body)
        self.assertEqual(1, len(self.server.sessions))
