"""Small HTTP/1.1 server and client on asyncio streams, for the stand-ins only."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

__all__ = ["Call", "HttpServer", "Reply", "request"]

Call = tuple[str, str, dict[str, str], bytes]  # method, path, headers, body
Reply = tuple[int, Any] | None  # status and JSON body; None drops the connection
_REASONS = {200: "OK", 409: "Conflict", 410: "Gone", 412: "Precondition Failed"}


async def _read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first, headers, body


class HttpServer:
    """Server of one address; ``stop`` drops all connections, as a crash does."""

    def __init__(self, handle: Callable[[Call], Awaitable[Reply]]) -> None:
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> None:
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=4_194_304, backlog=512
        )

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while (message := await _read_message(reader)) is not None:
                first, headers, body = message
                method, path, _ = first.split(" ", 2)
                reply = await self._handle((method, path, headers, body))
                if reply is None:
                    writer.transport.abort()
                    return
                status, content = reply
                data = b"" if content is None else json.dumps(content).encode()
                head = (
                    f"HTTP/1.1 {status} {_REASONS.get(status, 'Status')}\r\n"
                    f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()


async def request(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout: float = 3.0,
) -> tuple[int, dict[str, str], bytes]:
    """Send one request on a connection of its own; OSError or TimeoutError without an answer."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            fields = {"Content-Type": "application/json", **(headers or {})}
            lines = [f"{method} {path} HTTP/1.1", *(f"{n}: {v}" for n, v in fields.items())]
            lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            message = await _read_message(reader)
        finally:
            writer.close()
    if message is None:
        raise ConnectionError("the connection ended without a complete answer")
    first, found, content = message
    return int(first.split(" ")[1]), found, content
