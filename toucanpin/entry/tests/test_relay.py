"""Calls of the store through peers, and peers that fail or use another key."""

from __future__ import annotations

import asyncio
import unittest
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress

from standins.site.site import free_port
from standins.site.store import SiteStore, StoreFaults
from toucanpin.entry.peers import Peer, Peers
from toucanpin.entry.relay import RelayServer
from toucanpin.entry.relayed_store import MIN_ANSWER_GAP_S, RelayedStore
from toucanpin.entry.tests.slow_answers import PIECE_INTERVAL_S, PIECES, send_slowly, serve_slowly
from toucanpin.http import Answer, CallError, Client, Server
from toucanpin.platform.store import Committed, ExpectedVersion, Put, Store
from toucanpin.scheduling.settings import Bounds, HostSettings
from toucanpin.verdict import Verdict

SECRET = b"k" * 32
_Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class RelayTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.core = SiteStore()
        self.faults = (StoreFaults(), StoreFaults())
        self.servers: list[Server] = []
        self.stores: list[tuple[Store, RelayedStore, Peers, RelayServer]] = []
        ports = (free_port(), free_port())
        for number, faults in enumerate(self.faults):
            address = f"127.0.0.1:{free_port()}"
            self.servers.append(await self.core.listen(address, faults))
            direct = Client(address)
            relayed = RelayedStore(direct, f"h{number}")
            store = Store(relayed)
            store.clock = 1_000
            peers = Peers(store, _settings(f"h{number}", address, ports[number]))
            peers.secret = SECRET
            other = 1 - number
            peers.known = (Peer(f"h{other}", "127.0.0.1", ports[other], 1_000, 0),)
            relayed.use_peers(peers)
            relay = RelayServer(relayed, direct, peers, f"h{number}")
            await relay.listen("127.0.0.1", ports[number])
            self.stores.append((store, relayed, peers, relay))

    async def asyncTearDown(self) -> None:
        for _, _, _, relay in self.stores:
            relay.close()
        for server in self.servers:
            await server.drain(0.0)

    async def _put(self) -> Committed:
        store = self.stores[0][0]
        result = await store.transact("", (ExpectedVersion("t", "k", 0),), (Put("t", "k", b"v"),))
        assert isinstance(result, Committed)
        return result

    async def _listen(self, serve: _Serve) -> int:
        """Return the port of a server that handles each connection by ``serve``."""
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        return server.sockets[0].getsockname()[1]

    async def _connect(self, serve: _Serve) -> RelayedStore:
        """Return a client of a store that handles each connection by ``serve``."""
        relayed = RelayedStore(Client(f"127.0.0.1:{await self._listen(serve)}"), "h0")
        relayed.use_peers(self.stores[0][2])
        return relayed

    async def test_a_refused_host_writes_through_its_peer(self) -> None:
        self.faults[0].status = 503
        await self._put()
        self.assertIn(("t", "", "k"), self.core.rows)

    async def test_another_peer_is_tried_after_one_that_fails(self) -> None:
        """
        The store refuses several hosts, an owner among them.  Guards against an owner that backs
        off after one refused peer: it wrote nothing for two seconds and lost its cell.
        """
        self.faults[0].status = 429
        peers = self.stores[0][2]
        unreachable = (Peer(f"g{n}", "127.0.0.1", free_port(), 1_000, 0) for n in range(2))
        peers.known = (*unreachable, *peers.known)
        for number in range(8):
            put = Put("t", f"k{number}", b"v")
            result = await self.stores[0][0].transact("", (), (put,))
            self.assertIsInstance(result, Committed)

    async def test_a_host_without_answers_writes_through_its_peer(self) -> None:
        self.faults[0].silent = True
        await self._put()
        self.assertIn(("t", "", "k"), self.core.rows)

    async def test_a_large_configuration_fits_in_a_frame(self) -> None:
        """
        The store refuses a host after the operators' document has grown to 1.4 MB.  Guards against
        a smaller limit on frames between hosts: the peer failed to send the document, and the host
        kept the old version.
        """
        value = b"x" * 1_400_000
        self.core.put("op", "config", value)
        self.faults[0].status = 503
        page = await self.stores[0][0].read("op", timeout=5.0)
        self.assertEqual(value, page.rows[0].value)

    async def test_a_slow_answer_from_a_peer_is_read_to_its_end(self) -> None:
        """
        The store refuses a host whose link takes over two seconds for the operators' document.
        Guards against a timeout while the document is arriving: the host avoided the peer for a
        second, requested the same from the next one, and kept its old configuration.
        """
        self.core.put("op", "config", b"x" * 1_000)
        self.faults[0].status = 503
        _, _, peers, _ = self.stores[0]
        peer = peers.known[0]

        async def pass_slowly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            far, near = await asyncio.open_connection(peer.address, peer.port)
            near.write(await reader.read(65_536))
            answer = await far.read()
            for start in range(0, len(answer), len(answer) // PIECES):
                await asyncio.sleep(PIECE_INTERVAL_S)
                writer.write(answer[start : start + len(answer) // PIECES])
            near.close()
            writer.close()

        port = await self._listen(pass_slowly)
        peers.known = (Peer(peer.name, peer.address, port, 1_000, 0),)
        page = await self.stores[0][0].read("op", timeout=1.0)
        self.assertEqual(1_000, len(page.rows[0].value))

    async def test_an_outage_for_all_hosts_is_a_certain_refusal(self) -> None:
        for faults in self.faults:
            faults.status = 503
        with self.assertRaises(CallError) as caught:
            await self._put()
        self.assertTrue(caught.exception.certain)

    async def test_a_refusal_after_a_timeout_is_not_certain(self) -> None:
        """
        The store doesn't answer this host and refuses its peer.  The first attempt may still be
        applied, so the refusal of the second proves nothing.
        """
        self.faults[0].silent = True
        self.faults[1].status = 503
        with self.assertRaises(CallError) as caught:
            await self._put()
        self.assertFalse(caught.exception.certain)

    async def test_a_short_watch_without_changes_is_no_sign_of_an_outage(self) -> None:
        """
        A watch stays unanswered until something changes.  Guards against taking a short one for a
        call that timed out, after which the host called the store only through peers.
        """
        store, relayed, _, _ = self.stores[0]
        page = await store.follow("t", self.core.version, 1.3, 1.0)
        self.assertIsNotNone(page)
        self.assertTrue(relayed.direct_works)

    async def test_a_frame_under_another_key_is_rejected(self) -> None:
        self.faults[0].status = 503
        self.stores[0][2].secret = b"x" * 32
        with self.assertRaises(CallError):
            await self._put()
        self.assertEqual({}, self.core.rows)

    async def test_the_store_is_used_directly_again(self) -> None:
        self.faults[0].status = 503
        await self._put()
        relayed = self.stores[0][1]
        self.assertFalse(relayed.direct_works)
        self.faults[0].status = 0
        self.assertTrue(await _becomes_direct(relayed, checks=100))

    async def test_a_late_refusal_is_a_sign_of_an_outage(self) -> None:
        """
        The store refuses a host, each time after a moment.  Guards against taking a refusal for an
        answer: each call waited for its refusal before it went through a peer.
        """

        async def refuse_late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(2 * MIN_ANSWER_GAP_S)
            writer.write(b"HTTP/1.1 503 Away\r\nContent-Length: 0\r\n\r\n")
            writer.close()

        relayed = await self._connect(refuse_late)
        await relayed.call("GET", "/rows-get?table=t")
        self.assertFalse(relayed.direct_works)

    async def test_direct_calls_resume_on_a_slow_link_with_a_large_document(self) -> None:
        """
        The store refuses a host for a moment, and the host probes it every 0.5 s with a timeout of
        0.4 s.  Guards against probes that read the operators' document: 1.4 MB take 1.1 s on a link
        of 10 Mbit/s, so every probe failed and the host called through peers permanently.
        """
        refusing = True

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            request = await reader.readuntil(b"\r\n\r\n")
            if b"table=op" in request and not refusing:
                await send_slowly(writer)
            else:
                status = b"503 Away" if refusing else b"200 OK"
                writer.write(b"HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n" % status)
            writer.close()

        relayed = await self._connect(serve)
        await relayed.call("GET", "/rows-get?table=t")
        self.assertFalse(relayed.direct_works)
        refusing = False
        self.assertTrue(await _becomes_direct(relayed, checks=40))

    async def test_a_slow_direct_answer_is_read_to_its_end(self) -> None:
        """
        The configuration takes 2.2 s on a slow link.  Guards against a host that fails over after a
        second and requests the same rows from peers over the same link: 25 of 32 hosts did within
        two seconds after 2,800 queues were written.
        """
        relayed = await self._connect(serve_slowly)
        answer = await relayed.call("GET", "/rows-get?table=op", timeout=2.0)
        self.assertEqual(b"x" * PIECES, answer.body)
        self.assertTrue(relayed.direct_works)

    async def test_calls_in_flight_are_repeated_after_silence_only(self) -> None:
        """
        The store leaves a call without an answer, or refuses one, and works again. A call in flight
        on a silent connection would hang until its timeout; repeated after each refusal, it would
        add to the load of a busy store.
        """
        for answer, copies in ((None, 3), (503, 1)):
            direct = _ScriptedClient(answer)
            relayed = RelayedStore(direct, "h0")  # type: ignore[arg-type]
            hanging = asyncio.ensure_future(relayed.call("GET", HANGING_PATH, timeout=30.0))
            await asyncio.sleep(0)
            with suppress(CallError):
                await relayed.call("GET", "/fails")
            await asyncio.wait((hanging,), timeout=1.0)
            self.assertTrue(relayed.direct_works)
            self.assertEqual(copies, direct.calls[HANGING_PATH])
            self.assertEqual(answer is None, hanging.done())
            hanging.cancel()


HANGING_PATH = "/rows-feed?table=t&waitMs=20000"


class _ScriptedClient:
    """Client of a store that answers probes and every third call of one path."""

    def __init__(self, status: int | None) -> None:
        self._status = status
        self.calls: Counter[str] = Counter()

    def close(self) -> None:
        pass

    async def call(self, method: str, path: str, *args: object, **fields: object) -> Answer:
        self.calls[path] += 1
        if path == HANGING_PATH and self.calls[path] < 3:
            await asyncio.Event().wait()
        if path != "/fails":
            return Answer(200, {}, b"{}")
        if self._status is None:
            raise CallError(Verdict.MAY_HAVE_RUN, "no answer")
        return Answer(self._status, {}, b"")


async def _becomes_direct(relayed: RelayedStore, checks: int) -> bool:
    """Return whether one of some checks, 0.05 s apart, shows that direct calls work."""
    for _ in range(checks):
        if relayed.direct_works:
            break
        await asyncio.sleep(0.05)
    return relayed.direct_works


def _settings(name: str, store: str, port: int) -> HostSettings:
    return HostSettings(name, "127.0.0.1", "dc", "", "", port, store, "", "", 1.0, 65_536, Bounds())


if __name__ == "__main__":
    unittest.main()
