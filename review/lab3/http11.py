"""Small HTTP/1.1 server and client over asyncio, for the stand-ins of this review."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

Handler = Callable[[str, str, dict[str, str], bytes], Awaitable[tuple[int, bytes] | None]]


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Return the first line, the headers and the body of one message."""
    first = (await reader.readline()).decode("latin-1").strip()
    if not first:
        raise EOFError
    headers: dict[str, str] = {}
    while line := (await reader.readline()).decode("latin-1").strip():
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    return first, headers, await reader.readexactly(length) if length else b""


class HttpServer:
    """Serve one address; a handler that returns None ends the connection without an answer."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), backlog=512, limit=4_194_304
        )

    def close(self) -> None:
        """Stop listening and end all connections at once."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split(" ", 2)
                answer = await self._handler(method, path, headers, body)
                if answer is None:
                    writer.transport.abort()
                    return
                status, content = answer
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                head += f"Content-Length: {len(content)}\r\n\r\n"
                writer.write(head.encode() + content)
                await writer.drain()
        except (EOFError, OSError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout: float = 3.0,
) -> tuple[int, bytes]:
    """Send one request on a new connection; return (0, b"") if there is no answer in time."""
    host, _, port = address.rpartition(":")
    lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if body:
        lines.append("Content-Type: application/json")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            first, _, content = await read_message(reader)
            return int(first.split(" ")[1]), content
    except (OSError, TimeoutError, EOFError, ValueError, asyncio.IncompleteReadError):
        return 0, b""
    finally:
        if writer is not None:
            writer.transport.abort()
