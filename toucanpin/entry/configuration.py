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
from toucanpin.entry.followed import FollowedRows
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
from toucanpin.scheduling.evacuating import Evacuated

__all__ = ["ConfigurationWatch"]

_log = logbook.Logger("configuration")
POLL = 0.6  # s: a version has to be in force 2 s after it was accepted, at 240 ms a read
LOOK_TIME = 20.0  # s after which a look that nobody waits for is given up
FRESH = 0.25  # s for which a version that was read may decide that a queue doesn't exist


class ConfigurationWatch:
    """Follow the operators' document; a lower version than one in force is never taken."""

    __slots__ = (
        "_followed",
        "_index",
        "_reading",
        "_unreadable",
        "_value",
        "confirmed",
        "current",
        "evacuated",
    )

    def __init__(self, store: Store) -> None:
        self._index = QueueIndex(())
        self._reading: asyncio.Task[bool] | None = None
        self._followed = FollowedRows(store, OPERATORS_TABLE, CONFIGURATION_KEY, EVACUATION_END_KEY)
        self._value = b""
        self._unreadable: bytes | None = None
        self.current: Configuration | None = None
        self.confirmed = 0.0  # local time at which the newest successful look was sent
        self.evacuated = Evacuated(frozenset(), float("-inf"))

    async def run(self) -> None:
        """Poll for ever."""
        while True:
            await self.refresh()
            await asyncio.sleep(POLL)

    async def refresh(self, age: float = 0.0, patience: float = LOOK_TIME) -> bool:
        """
        Look for changes unless that was done within ``age`` seconds; return whether it is.

        It isn't after ``patience`` seconds.
        """
        try:
            async with asyncio.timeout(max(0.0, patience)):
                return await self._refresh(age)
        except TimeoutError:
            return False

    async def _refresh(self, age: float) -> bool:
        wanted = steady_time() - age
        while self.confirmed < wanted:
            # All who ask at a time share one look.  One after the other they would wait for each
            # other's, the last of them for many time-outs.
            if self._reading is None or self._reading.done():
                self._reading = asyncio.ensure_future(self._look())
            if not await asyncio.shield(self._reading):
                return False
        return True

    async def _look(self) -> bool:
        """Take what has changed; return whether the document in force is known to be the newest."""
        sent_at = steady_time()
        try:
            await self._followed.update()
        except (CallError, PlatformError) as error:
            _log.warning("configuration not read", event="configuration.unread", reason=error)
            return False
        self.evacuated = Evacuated(list_evacuated_data_centres(self._followed.rows), sent_at)
        row = self._followed.rows.get(CONFIGURATION_KEY)
        if row is not None:
            self._take(row.value)
        if self._unreadable is not None:
            return False
        self.confirmed = sent_at
        return True

    async def find(self, host: str, path: str, patience: float) -> Queue | None:
        """
        Return the queue of a request; that there is none is said of a fresh version only.

        The look at one takes ``patience`` seconds at most.
        """
        queue = self._index.find(host, path)
        if queue is None:
            await self.refresh(FRESH, patience)
            queue = self._index.find(host, path)
        return queue

    def has_queue(self, name: str) -> bool:
        """Tell whether the configuration in force has a queue of a name."""
        return self._index.has(name)

    def apply(self, configuration: Configuration) -> None:
        """Put a configuration in force."""
        self.current = configuration
        self._index = QueueIndex(configuration.queues)

    def _take(self, value: bytes) -> None:
        """Put a document in force unless it is old or can't be read."""
        if value == self._value:
            self._unreadable = None
            return
        if value == self._unreadable:
            return
        try:
            configuration = decode_configuration(value)
        except PlatformError as error:
            self._unreadable = value
            _log.error("configuration unreadable", event="configuration.unreadable", reason=error)
            return
        self._unreadable = None
        if self.current is not None and configuration.version <= self.current.version:
            return
        self._value = value
        self.apply(configuration)
        _log.info(
            "configuration in force",
            event="configuration.applied",
            version=configuration.version,
            queues=len(configuration.queues),
        )
