"""
Caller connections
==================

A persistent connection of a caller to an entry host, with pipelined requests.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from tools.soak.events import Loss
from toucanpin.exception import ToucanpinError

__all__ = ["Channel", "ChannelError", "Reply", "open_channel"]

CONNECT_TIMEOUT_S = 1.0
HEAD_END = b"\r\n\r\n"


class ChannelError(ToucanpinError):
    """Raised when an answer is missing, incomplete or malformed."""

    def __init__(self, loss: Loss) -> None:
        super().__init__(loss.value)
        self.loss = loss


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete answer; with ``is_last`` the connection ends after it."""

    status: int
    body: bytes
    is_last: bool


class Channel:
    """Connection with pipelined requests, whose answers are read in order."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, process: str
    ) -> None:
        self.process = process
        self.usable = True
        self._answer_begun = False  # the head of the current answer was read
        self._reader = reader
        self._writer = writer

    def close(self) -> None:
        """End the connection."""
        self.usable = False
        self._writer.transport.abort()

    def ended(self) -> bool:
        """Return whether the other side has closed the connection."""
        return self._reader.at_eof()

    def send(self, method: str, path: str, host: str, body: bytes, deadline: float) -> None:
        """Write one request; ``deadline`` is the time that the caller waits, in s."""
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {host}",
            f"X-Deadline-Ms: {int(deadline * 1_000)}",
            f"Content-Length: {len(body)}",
        ]
        self._writer.write("\r\n".join(lines).encode() + HEAD_END + body)

    async def receive(self, deadline: float) -> Reply:
        """
        Read the next answer.

        Raises
        ------
        ChannelError
            If a complete, well-formed answer does not arrive in time.
        """
        try:
            async with asyncio.timeout(deadline):
                reply = await self._read()
        except TimeoutError as error:
            self.close()
            raise ChannelError(Loss.LATE) from error
        except asyncio.IncompleteReadError as error:
            self.close()
            raise ChannelError(
                Loss.CUT if error.partial or self._answer_begun else Loss.CLOSED
            ) from error
        except OSError as error:
            self.close()
            raise ChannelError(Loss.CUT if self._answer_begun else Loss.CLOSED) from error
        except (ValueError, KeyError, IndexError) as error:
            self.close()
            raise ChannelError(Loss.MALFORMED) from error
        self.usable = not reply.is_last
        return reply

    async def _read(self) -> Reply:
        self._answer_begun = False
        head = await self._reader.readuntil(HEAD_END)
        self._answer_begun = True
        status, *lines = head.decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines if line)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        body = await self._reader.readexactly(int(headers["content-length"]))
        return Reply(int(status.split()[1]), body, headers.get("connection") == "close")


async def open_channel(address: str, process: str) -> Channel:
    """
    Connect to the front address of a process.

    Raises
    ------
    OSError, TimeoutError
        If the process can't be reached in time.
    """
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(CONNECT_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(host, int(port))
    return Channel(reader, writer, process)
