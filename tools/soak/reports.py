"""
Reports
=======

Path of a worker's reports to the store, which may be cut.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from standins.site.worker import Registry

__all__ = ["MAX_SILENCE_S", "REPORT_PERIOD_S", "ReportPath"]

WORKERS_TABLE = "servers"
REPORT_PERIOD_S = 1.1
MAX_SILENCE_S = 3 * REPORT_PERIOD_S  # of a worker, until its entry is removed


@dataclass(frozen=True, slots=True)
class _Report:
    table: str
    key: str
    value: bytes


class ReportPath:
    """
    Path of the reports of one worker, for all of its incarnations.

    While it is cut no report arrives, and the entry lapses MAX_SILENCE_S after the last one.  When
    the cut ends, a worker that is up reports at once.
    """

    def __init__(self, store: Registry) -> None:
        self._store = store
        self._current: _Report | None = None  # of an incarnation that is up
        self._listed = ""  # key of the report that arrived last
        self._arrived_at = 0.0
        self._cuts = 0
        self._open = asyncio.Event()
        self._open.set()
        self._lapses: dict[str, asyncio.TimerHandle] = {}

    def put(self, table: str, key: str, value: bytes) -> None:
        """Report, at once or when the cut ends."""
        self._current = _Report(table, key, value)
        if not self._cuts:
            self._deliver(self._current)

    def delete(self, table: str, key: str) -> None:
        """Remove the entry of a worker that leaves; it lapses later if the path is cut."""
        self._current = None
        if not self._cuts:
            self._remove(key)

    def end(self) -> None:
        """Send no more reports of an incarnation that has ended."""
        self._current = None

    def expire(self, key: str, delay: float) -> None:
        """Remove an entry later unless it is renewed; one that lapses already does so as before."""
        if key not in self._lapses:
            loop = asyncio.get_running_loop()
            self._lapses[key] = loop.call_later(delay, self._remove, key)

    def cut(self, report_age: float) -> None:
        """Cut the path, ``report_age`` s after the last report; cuts may overlap."""
        self._cuts += 1
        self._open.clear()
        if self._cuts > 1 or not self._listed:
            return
        now = asyncio.get_running_loop().time()
        reported_at = max(now - report_age, self._arrived_at)
        self.expire(self._listed, reported_at + MAX_SILENCE_S - now)

    def restore(self) -> None:
        """End one cut."""
        self._cuts -= 1
        if self._cuts:
            return
        self._open.set()
        if self._current is not None:
            self._deliver(self._current)

    async def arrives(self, timeout: float) -> bool:
        """Wait until reports arrive; return whether they did in time."""
        try:
            async with asyncio.timeout(timeout):
                await self._open.wait()
        except TimeoutError:
            return False
        return True

    def _deliver(self, report: _Report) -> None:
        lapse = self._lapses.pop(report.key, None)
        if lapse is not None:
            lapse.cancel()
        self._listed = report.key
        self._arrived_at = asyncio.get_running_loop().time()
        self._store.put(report.table, report.key, report.value)

    def _remove(self, key: str) -> None:
        self._lapses.pop(key, None)
        if self._listed == key:
            self._listed = ""
        self._store.delete(WORKERS_TABLE, key)
