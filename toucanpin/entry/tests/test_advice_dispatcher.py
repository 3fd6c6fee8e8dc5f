"""Requests to the advice service, spread over hosts."""

from __future__ import annotations

import asyncio
import unittest

import msgspec

from standins.site.site import free_port
from toucanpin.entry.advice_dispatcher import AdviceDispatcher
from toucanpin.entry.peers import Peer, Peers
from toucanpin.entry.relay import RelayServer
from toucanpin.entry.relayed_store import RelayedStore
from toucanpin.http import Client, Request, Response, Server
from toucanpin.platform.store import Store
from toucanpin.scheduling.cell import Group
from toucanpin.scheduling.settings import Bounds, HostSettings

GROUP = Group("00000000000000a1", 0, 0)


class AdviceDispatcherTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.requests: list[dict] = []
        self.released = asyncio.Event()
        address = f"127.0.0.1:{free_port()}"
        self.service = Server(self._answer, 16_384, 65_536)
        await self.service.listen(address)
        self.client = Client(address)
        store = RelayedStore(self.client, "h1")
        port = free_port()
        settings = HostSettings(
            "h0", "127.0.0.1", "dc", "", "", 0, address, address, "", 1.0, 65_536, Bounds()
        )
        self.peers = Peers(Store(store), settings)
        self.peers.secret = b"k" * 32
        self.peers.known = (Peer("h1", "127.0.0.1", port, 1, 0),)
        self.relay = RelayServer(store, self.client, self.peers, "h1", self.client)
        await self.relay.listen("127.0.0.1", port)
        self.dispatcher = AdviceDispatcher("h0", self.client, self.peers)

    async def asyncTearDown(self) -> None:
        self.relay.close()
        await self.service.drain(0.0)

    async def _answer(self, request: Request) -> Response:
        self.requests.append(msgspec.json.decode(request.body))
        await self.released.wait()
        body = {"approved": [["w1", "t1"]], "validityMs": 3_000}
        return Response(200, msgspec.json.encode(body))

    async def test_two_hosts_send_two_requests_at_a_time(self) -> None:
        """
        The service takes half a second per request and handles those of one host in sequence, so
        the second request must go through a peer instead of waiting for the first.
        """
        first = asyncio.ensure_future(self.dispatcher.request(GROUP, ("w1",)))
        second = asyncio.ensure_future(self.dispatcher.request(GROUP, ("w1", "w2")))
        while len(self.requests) < 2:
            await asyncio.sleep(0.01)
        self.assertEqual(0, self.dispatcher.count_free())
        self.released.set()
        for answer in (await first, await second):
            assert answer is not None
            self.assertEqual({"w1": "t1"}, answer.tickets)
        self.assertEqual(2, self.dispatcher.count_free())

    async def test_a_host_without_an_answer_is_avoided_for_a_while(self) -> None:
        self.released.set()
        self.relay.close()
        self.dispatcher._busy.add("h0")
        self.assertIsNone(await self.dispatcher.request(GROUP, ("w1",)))
        self.assertEqual(0, self.dispatcher.count_free())
        self.dispatcher._busy.discard("h0")
        self.assertIsNotNone(await self.dispatcher.request(GROUP, ("w1",)))


if __name__ == "__main__":
    unittest.main()
