"""
Requests for advice
===================

Request the advice that waiting steps of a cell need, and record the answers.
"""

from __future__ import annotations

from collections.abc import Callable, Coroutine

from toucanpin.entry.advice_dispatcher import AdviceDispatcher
from toucanpin.entry.clocks import Clocks
from toucanpin.scheduling.advising import AdviceRequest, plan_advice_requests, record_advice
from toucanpin.scheduling.cell import Cell, Now
from toucanpin.scheduling.interference_model import InterferenceModel

__all__ = ["AdviceRequests"]


class AdviceRequests:
    """Requests of one cell for advice; calls ``on_change`` after each answer."""

    __slots__ = ("_cell", "_clocks", "_dispatcher", "_interference", "_on_change", "_spawn")

    def __init__(
        self,
        cell: Cell,
        interference: InterferenceModel,
        clocks: Clocks,
        dispatcher: AdviceDispatcher,
        spawn: Callable[[Coroutine], None],
        on_change: Callable[[], None],
    ) -> None:
        self._cell = cell
        self._interference = interference
        self._clocks = clocks
        self._dispatcher = dispatcher
        self._spawn = spawn
        self._on_change = on_change

    def send(self, now: Now) -> None:
        """Send as many requests as the dispatcher has free calls."""
        free = self._dispatcher.count_free()
        for request in plan_advice_requests(self._cell, self._interference, free, now):
            self._spawn(self._send(request))

    async def _send(self, request: AdviceRequest) -> None:
        advice = await self._dispatcher.request(request.group, request.workers)
        record_advice(self._cell, request, advice, self._clocks.now())
        self._on_change()
