"""Client and server against each other and against scripted bytes."""

from __future__ import annotations

import asyncio
import socket
import unittest

from toucanpin.http import CallError, Client, Request, Response, Server
from toucanpin.verdict import Verdict


class HttpTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.seen: list[Request] = []
        self.release = asyncio.Event()
        self.release.set()
        self.server = Server(self._handle, 1_024, 4_096)
        self.server_socket = await self._listen(self.server)
        self.client = Client(self.server_socket)

    async def asyncTearDown(self) -> None:
        self.release.set()
        self.client.close()
        await self.server.drain(0.0)

    async def _listen(self, server: Server) -> str:
        from standins.site.site import free_port

        address = f"127.0.0.1:{free_port()}"
        await server.listen(address)
        return address

    async def _handle(self, request: Request) -> Response | None:
        self.seen.append(request)
        await self.release.wait()
        match request.path:
            case "/broken":
                return None
            case "/fault":
                raise ValueError("a fault of the handler")
            case "/later":
                return Response(503, retry_after=2)
        return Response(200, request.body)

    async def _speak(self, data: bytes) -> bytes:
        host, _, port = self.server_socket.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        writer.write_eof()
        answer = await reader.read()
        writer.close()
        return answer

    async def test_bodies_pass_whole_on_one_connection(self) -> None:
        for size in (0, 1, 4_000):
            answer = await self.client.call("POST", "/echo", b"x" * size)
            self.assertEqual((200, b"x" * size), (answer.status, answer.body))
        self.assertEqual(1, len(self.server.sessions))

    async def test_requests_that_come_together_are_answered_in_their_order(self) -> None:
        one = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n1"
        two = b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nConnection: close\r\n\r\n2"
        answer = await self._speak(one + two)
        self.assertEqual(2, answer.count(b"HTTP/1.1 200"))
        self.assertLess(answer.index(b"\r\n\r\n1"), answer.index(b"\r\n\r\n2"))

    async def test_limits_hold_before_anything_is_kept(self) -> None:
        cases = (
            (b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 2_000 + b"\r\n\r\n", b" 431 "),
            (b"GET /" + b"x" * 9_000 + b" HTTP/1.1\r\nHost: h\r\n\r\n", b" 414 "),
            (
                b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n" + b"x" * 5_000,
                b" 413 ",
            ),
            (b"no http at all\r\n\r\n", b" 400 "),
        )
        for data, status in cases:
            with self.subTest(status):
                self.assertIn(status, (await self._speak(data)).partition(b"\r\n")[0])
        self.assertFalse(self.seen)

    async def test_a_cut_body_is_never_handled(self) -> None:
        await self._speak(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf")
        self.assertFalse(self.seen)

    async def test_a_fault_of_a_handler_is_an_answer(self) -> None:
        self.assertEqual(500, (await self.client.call("GET", "/fault")).status)

    async def test_a_refusal_says_when_to_come_back(self) -> None:
        answer = await self.client.call("GET", "/later")
        self.assertEqual("2", answer.headers["retry-after"])

    async def test_a_broken_connection_and_silence_may_have_had_an_effect(self) -> None:
        with self.assertRaises(CallError) as caught:
            await self.client.call("POST", "/broken")
        self.assertIs(Verdict.MAY_HAVE_RUN, caught.exception.verdict)
        self.release.clear()
        with self.assertRaises(CallError) as caught:
            await self.client.call("POST", "/slow", timeout=0.05)
        self.assertIs(Verdict.MAY_HAVE_RUN, caught.exception.verdict)

    async def test_a_server_that_drains_answers_what_it_has_read(self) -> None:
        self.release.clear()
        call = asyncio.ensure_future(self.client.call("POST", "/slow", b"x", timeout=5.0))
        while not self.seen:
            await asyncio.sleep(0.01)
        draining = asyncio.ensure_future(self.server.drain(5.0))
        await asyncio.sleep(0.05)
        self.release.set()
        answer = await call
        await draining
        self.assertEqual((200, "close"), (answer.status, answer.headers["connection"]))

    async def test_a_request_behind_the_last_answer_does_not_reset_the_connection(self) -> None:
        """Guards against last answers that are lost as a draining server closes connections."""
        self.server.closing = True
        loop = asyncio.get_running_loop()
        host, _, port = self.server_socket.rpartition(":")
        request = b"GET /a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
        with socket.create_connection((host, int(port))) as caller:
            caller.setblocking(False)
            await loop.sock_sendall(caller, request)
            answer = await loop.sock_recv(caller, 4_096)
            self.assertTrue(answer.startswith(b"HTTP/1.1 200"))
            await loop.sock_sendall(caller, request)
            await loop.sock_sendall(caller, request)
            self.assertEqual(b"", await loop.sock_recv(caller, 4_096))
        self.assertEqual(1, len(self.seen))

    async def test_what_is_not_answered_in_time_is_answered_alike_at_the_end(self) -> None:
        """
        Two requests of a connection are read as the server is told to end; the first waits, and
        the second for its turn.  Both callers' answers are whole, in place of a broken connection.
        """
        self.release.clear()
        host, _, port = self.server_socket.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /a HTTP/1.1\r\n\r\n" * 2)
        while not self.seen:
            await asyncio.sleep(0.01)
        await self.server.drain(0.05, timeout_response=Response(504))
        answers = await reader.read()
        writer.close()
        self.assertEqual(2, answers.count(b"HTTP/1.1 504"))
        self.assertEqual(1, answers.count(b"Connection: close"))
        self.assertEqual(1, len(self.seen))


class SilentConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def test_one_silent_connection_costs_one_call(self) -> None:
        """
        Open connections go silent at one moment, without a reset, while new ones are answered.  The
        client kept several, and each of them cost another call its whole time: a host told its
        callers what it had known long before.
        """
        silent: set[asyncio.StreamWriter] = set()
        known: set[asyncio.StreamWriter] = set()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            known.add(writer)
            while True:
                try:
                    await reader.readuntil(b"\r\n\r\n")
                except asyncio.IncompleteReadError:
                    return writer.close()
                if writer not in silent:
                    await asyncio.sleep(0.02)
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        client = Client(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        self.addCleanup(server.close)
        self.addCleanup(client.close)
        await asyncio.gather(*(client.call("GET", "/") for _ in range(3)))
        self.assertEqual(3, len(known))
        silent |= known
        with self.assertRaises(CallError):
            await client.call("GET", "/", timeout=0.1)
        self.assertEqual(200, (await client.call("GET", "/")).status)


class ScriptedAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def _call(self, data: bytes) -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(data)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = Client(f"127.0.0.1:{port}")
        try:
            await client.call("GET", "/", timeout=2.0)
        finally:
            client.close()
            server.close()

    async def test_answers_that_are_cut_or_no_http_are_errors(self) -> None:
        for data in (
            b"",
            b"HTTP/1.1 200 OK\r\nContent-Le",
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
            b"garbage\r\n\r\n",
        ):
            with self.subTest(data), self.assertRaises(CallError) as caught:
                await self._call(data)
            self.assertIs(Verdict.MAY_HAVE_RUN, caught.exception.verdict)


if __name__ == "__main__":
    unittest.main()
