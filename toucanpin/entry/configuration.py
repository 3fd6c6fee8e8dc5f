"""
Configuration watch
===================

Keep the newest configuration that the operators wrote in force in this process.
"""

from __future__ import annotations

import asyncio

import logbook

from toucanpin.entry.clocks import steady_time
from toucanpin.exception import PlatformError
from toucanpin.http import CallError
from toucanpin.platform.queues import CONFIGURATION_KEY, OPERATORS_TABLE, decode_configuration
from toucanpin.platform.store import Store
from toucanpin.scheduling.configuration import Configuration, Queue, find_queue

__all__ = ["ConfigurationWatch"]

_log = logbook.Logger("configuration")
POLL = 0.6  # s: a version has to be in force 2 s after it was accepted, at 240 ms a read
FRESH = 0.25  # s for which a version that was read may decide that a queue doesn't exist


class ConfigurationWatch:
    """Follow the operators' document; a lower version than one in force is never taken."""

    __slots__ = ("_lock", "_store", "_unreadable", "_value", "confirmed", "current")

    def __init__(self, store: Store) -> None:
        self._store = store
        self._lock = asyncio.Lock()
        self._value = b""
        self._unreadable: bytes | None = None
        self.current: Configuration | None = None
        self.confirmed = 0.0  # local time at which the newest successful read was sent

    async def run(self) -> None:
        """Poll for ever."""
        while True:
            await self.refresh()
            await asyncio.sleep(POLL)

    async def refresh(self, age: float = 0.0) -> bool:
        """Read the document unless that was done within ``age`` seconds; return whether it is."""
        if age and steady_time() - self.confirmed <= age:
            return True
        async with self._lock:
            if age and steady_time() - self.confirmed <= age:
                return True
            sent_at = steady_time()
            end = CONFIGURATION_KEY + "\0"
            try:
                page = await self._store.read(OPERATORS_TABLE, "", CONFIGURATION_KEY, end)
            except (CallError, PlatformError) as error:
                _log.warning("configuration not read", event="configuration.unread", reason=error)
                return False
            if page.rows and not self._take(page.rows[0].value):
                return False
            self.confirmed = sent_at
            return True

    async def find(self, host: str, path: str) -> Queue | None:
        """Return the queue of a request; that there is none is said of a fresh version only."""
        if self.current is not None:
            queue = find_queue(self.current, host, path)
            if queue is not None:
                return queue
        await self.refresh(FRESH)
        return find_queue(self.current, host, path) if self.current else None

    def _take(self, value: bytes) -> bool:
        """Put a document in force unless it is old; return whether it could be read."""
        if value == self._value:
            return True
        if value == self._unreadable:
            return False
        try:
            configuration = decode_configuration(value)
        except PlatformError as error:
            self._unreadable = value
            _log.error("configuration unreadable", event="configuration.unreadable", reason=error)
            return False
        if self.current is not None and configuration.version <= self.current.version:
            return True
        self._value = value
        self.current = configuration
        _log.info(
            "configuration in force",
            event="configuration.applied",
            version=configuration.version,
            queues=len(configuration.queues),
        )
        return True
