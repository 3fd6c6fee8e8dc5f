"""
Configuration watch
===================

Apply the operators' newest configuration in this process, and track which data centres they
evacuate.
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
POLL_PERIOD_S = 0.6  # a version must be in force 2 s after it was accepted, and a read takes 240 ms
RETRY_DELAY_S = 0.2  # after a failed read; an owner starts nothing without a recent one
REFRESH_TIMEOUT_S = 20.0  # of a refresh that no caller waits for
MAX_LOOKUP_AGE_S = 0.25  # maximum age of a version that shows that a queue doesn't exist


class ConfigurationWatch:
    """Reader of the operators' document; never applies a lower version than the current one."""

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
        self.confirmed = 0.0  # local time at which the last successful read was sent
        self.evacuated = EvacuationList(frozenset(), float("-inf"))

    async def run(self) -> None:
        """Poll the document until cancelled."""
        while True:
            confirmed = await self.refresh() or self._invalid_document is not None
            await asyncio.sleep(POLL_PERIOD_S if confirmed else RETRY_DELAY_S)

    async def refresh(self, max_age: float = 0.0, time_limit: float = REFRESH_TIMEOUT_S) -> bool:
        """
        Read changes unless that was done in the last ``max_age`` seconds; return whether it worked.

        The result is False after ``time_limit`` seconds.
        """
        try:
            async with asyncio.timeout(max(0.0, time_limit)):
                return await self._refresh(max_age)
        except TimeoutError:
            return False

    async def _refresh(self, max_age: float) -> bool:
        oldest = steady_time() - max_age
        while self.confirmed < oldest:
            # Concurrent callers share one read.  If each of them had its own, one after another,
            # the last would wait for many timeouts.
            if self._fetching is None or self._fetching.done():
                self._fetching = asyncio.ensure_future(self._fetch())
            if not await asyncio.shield(self._fetching):
                return False
        return True

    async def _fetch(self) -> bool:
        """Apply changes; return whether the applied document is known to be the newest."""
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
        Return the queue of a request, or None if a recent version of the document has none.

        Reading a recent version takes ``time_limit`` seconds at most.
        """
        queue = self._index.find(host, path)
        if queue is None:
            await self.refresh(MAX_LOOKUP_AGE_S, time_limit)
            queue = self._index.find(host, path)
        return queue

    def has_queue(self, name: str) -> bool:
        """Return whether the current configuration has a queue of that name."""
        return self._index.has(name)

    def apply(self, configuration: Configuration) -> None:
        """Make a configuration the current one."""
        self.current = configuration
        self._index = QueueIndex(configuration.queues)

    def _apply_document(self, value: bytes) -> None:
        """Apply a document unless it is older than the current one or can't be decoded."""
        if value == self._document:
            self._invalid_document = None
            return
        if value == self._invalid_document:
            return
        try:
            configuration = decode_configuration(value)
        except PlatformError as error:
            self._invalid_document = value
            _log.error(
                "configuration can't be decoded", event="configuration.unreadable", reason=error
            )
            return
        self._invalid_document = None
        if self.current is not None and configuration.version <= self.current.version:
            return
        self._document = value
        self.apply(configuration)
        _log.info(
            "configuration applied",
            event="configuration.applied",
            version=configuration.version,
            queues=len(configuration.queues),
        )
