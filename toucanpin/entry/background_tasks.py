"""
Background tasks
================

Run the parts of an owner until one of them fails.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine

__all__ = ["BackgroundTasks"]


class BackgroundTasks:
    """Tasks that run at the same time, and the first error of one of them."""

    __slots__ = ("_failure", "_tasks")

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task] = set()
        self._failure: asyncio.Future[None] | None = None

    def begin(self) -> asyncio.Future[None]:
        """Return the future that gets the first error of a task."""
        self._failure = asyncio.get_running_loop().create_future()
        return self._failure

    def spawn(self, work: Coroutine) -> None:
        """Run ``work`` in a task."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._reap)

    async def cancel(self) -> None:
        """Cancel all tasks, and wait until they have ended."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _reap(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled() or self._failure is None or self._failure.done():
            return
        error = task.exception()
        if error is not None:
            self._failure.set_exception(error)
