"""HTTP/1.1 server and client of the review's stand-ins, on the standard library alone."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

MAX_IDLE = 16  # connections kept by a client


@dataclass
class Message:
    """A request or an answer; ``first`` holds the words of its first line."""

    first: list[str]
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        return int(self.first[1])

    def json(self):
        return json.loads(self.body)


Handler = Callable[[Message], Awaitable["tuple[int, object] | None"]]


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message; return None at the end of the stream."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Message(lines[0].split(" ", 2), headers, body)


class Server:
    """Answer requests; a handler that returns None resets the connection without an answer."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, address: str, port: int) -> int:
        self._server = await asyncio.start_server(self._serve, address, port, limit=2**22)
        return self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                answer = await self._handler(request)
                if answer is None:
                    writer.transport.abort()
                    break
                status, content = answer
                body = b"" if content is None else json.dumps(content).encode()
                kind = "Content-Type: application/json\r\n" if body else ""
                head = f"HTTP/1.1 {status} Status\r\n{kind}Content-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:  # the case has ended
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def call(
    address: str,
    method: str,
    path: str,
    content: object = None,
    host: str = "",
    deadline_ms: int = 3_000,
    wait_s: float | None = None,
) -> Message | None:
    """Send one request on a connection of its own; return None without an answer in time."""
    name, _, port = address.rpartition(":")
    body = b"" if content is None else json.dumps(content).encode()
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {host or address}",
        f"X-Deadline-Ms: {deadline_ms}",
        f"Content-Length: {len(body)}",
    ]
    if body:
        lines.append("Content-Type: application/json")
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1_000 if wait_s is None else wait_s):
            reader, writer = await asyncio.open_connection(name, int(port), limit=2**22)
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            return await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()
