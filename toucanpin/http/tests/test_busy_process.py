"""Tests of calls whose own process is busy past their timeout."""

from __future__ import annotations

import asyncio
import time
import unittest

from toucanpin.http import Client, Request, Response, Server

CALL_TIMEOUT_S = 0.2
BUSY_S = 0.5  # longer than a call's timeout; blocks the event loop


class BusyProcessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        from standins.site.site import free_port

        self.handled = 0
        self.server = Server(self._handle, 1_024, 4_096)
        address = f"127.0.0.1:{free_port()}"
        await self.server.listen(address)
        self.addAsyncCleanup(self.server.drain, 0.0)
        self.client = Client(address)
        self.addCleanup(self.client.close)

    async def _handle(self, request: Request) -> Response:
        self.handled += 1
        return Response(200, request.body)

    def _call(self, body: bytes) -> asyncio.Task:
        return asyncio.ensure_future(self.client.call("POST", "/", body, timeout=CALL_TIMEOUT_S))

    async def test_answer_received_while_busy_is_returned(self) -> None:
        """An answer that arrived before the process handled the expired timeout is not dropped."""
        await self._call(b"first")
        call = self._call(b"second")
        while self.handled < 2:
            await asyncio.sleep(0)
        time.sleep(BUSY_S)  # noqa: ASYNC251
        self.assertEqual(b"second", (await call).body)
        self.assertEqual(1, len(self.server.sessions))

    async def test_connection_opened_while_busy_is_used(self) -> None:
        """A host isn't reported unreachable because this process was busy while connecting."""
        call = self._call(b"first")
        await asyncio.sleep(0)
        time.sleep(BUSY_S)  # noqa: ASYNC251
        self.assertEqual(b"first", (await call).body)
        self.assertEqual(1, len(self.server.sessions))
