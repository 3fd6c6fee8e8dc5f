"""
Configuration watch
===================

Keep the newest configuration that the operators wrote in force in this process, and know which data
centres they evacuate.
"""

from __future__ import annotations

import asyncio

import logbook

from toucanpin.entry.clocks import steady_time
from toucanpin.entry.row_cache import RowCache
from toucanpin.exception import PlatformError
from toucanpin.http import CallError
from toucanpin.platform.queues import (
    CONFIGURATION_KEY,
    EVACUATION_END_KEY,
    OPERATORS_TABLE,
    decode_configuration,
    list_evacuated_data_centres,
)
from toucanpin.platform.store import Store
from toucanpin.scheduling.configuration import Configuration, Queue, QueueIndex
from toucanpin.scheduling.evacuating import EvacuationList

__all__ = ["ConfigurationWatch"]

_log = logbook.Logger("configuration")
POLL_PERIOD_S = 0.6  # s: a version has to be in force 2 s after it was accepted, at 240 ms a read
REFRESH_TIMEOUT_S = 20.0  # s after which a look that nobody waits for is given up
MAX_LOOKUP_AGE_S = 0.25  # s for which a version that was read may decide that a queue doesn't exist


class ConfigurationWatch:
    """Follow the operators' document; a lower version than one in force is never taken."""

    __slots__ = (
        "_cache",
        "_index",
        "_fetching",
        "_invalid_document",
        "_document",
        "confirmed",
        "current",
        "evacuated",
    )

    def __init__(self, store: Store) -> None:
        self._index = QueueIndex(())
        self._fetching: asyncio.Task[bool] | None = None
        self._cache = RowCache(store, OPERATORS_TABLE, CONFIGURATION_KEY, EVACUATION_END_KEY)
        self._document = b""
        self._invalid_document: bytes | None = None
        self.current: Configuration | None = None
        self.confirmed = 0.0  # local time at which the newest successful look was sent
        self.evacuated = EvacuationList(frozenset(), float("-inf"))

    async def run(self) -> None:
        """Poll for ever."""
        while True:
            await self.refresh()
            await asyncio.sleep(POLL_PERIOD_S)

    async def refresh(self, max_age: float = 0.0, time_limit: float = REFRESH_TIMEOUT_S) -> bool:
        """
        Look for changes unless that was done within ``age`` seconds; return whether it is.

        It isn't after ``patience`` seconds.
        """
        try:
            async with asyncio.timeout(max(0.0, time_limit)):
                return await self._refresh(max_age)
        except TimeoutError:
            return False

    async def _refresh(self, max_age: float) -> bool:
        wanted = steady_time() - max_age
        while self.confirmed < wanted:
            # All who ask at a time share one look.  One after the other they would wait for each
            # other's, the last of them for many time-outs.
            if self._fetching is None or self._fetching.done():
                self._fetching = asyncio.ensure_future(self._fetch())
            if not await asyncio.shield(self._fetching):
                return False
        return True

    async def _fetch(self) -> bool:
        """Take what has changed; return whether the document in force is known to be the newest."""
        sent_at = steady_time()
        try:
            await self._cache.update()
        except (CallError, PlatformError) as error:
            _log.warning("configuration not read", event="configuration.unread", reason=error)
            return False
        self.evacuated = EvacuationList(list_evacuated_data_centres(self._cache.rows), sent_at)
        row = self._cache.rows.get(CONFIGURATION_KEY)
        if row is not None:
            self._apply_document(row.value)
        if self._invalid_document is not None:
            return False
        self.confirmed = sent_at
        return True

    async def find(self, host: str, path: str, time_limit: float) -> Queue | None:
        """
        Return the queue of a request; that there is none is said of a fresh version only.

        The look at one takes ``patience`` seconds at most.
        """
        queue = self._index.find(host, path)
        if queue is None:
            await self.refresh(MAX_LOOKUP_AGE_S, time_limit)
            queue = self._index.find(host, path)
        return queue

    def has_queue(self, name: str) -> bool:
        """Tell whether the configuration in force has a queue of a name."""
        return self._index.has(name)

    def apply(self, configuration: Configuration) -> None:
        """Put a configuration in force."""
        self.current = configuration
        self._index = QueueIndex(configuration.queues)

    def _apply_document(self, value: bytes) -> None:
        """Put a document in force unless it is old or can't be read."""
        if value == self._document:
            self._invalid_document = None
            return
        if value == self._invalid_document:
            return
        try:
            configuration = decode_configuration(value)
        except PlatformError as error:
            self._invalid_document = value
            _log.error("configuration unreadable", event="configuration.unreadable", reason=error)
            return
        self._invalid_document = None
        if self.current is not None and configuration.version <= self.current.version:
            return
        self._document = value
        self.apply(configuration)
        _log.info(
            "configuration in force",
            event="configuration.applied",
            version=configuration.version,
            queues=len(configuration.queues),
        )
