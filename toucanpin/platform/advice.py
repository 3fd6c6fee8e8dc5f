"""
Advice of the platform
======================

Ask the service that knows which workers a queue's policy allows.
"""

from __future__ import annotations

import msgspec

from toucanpin.http import CallError
from toucanpin.platform.store import Transport
from toucanpin.scheduling.advising import Advice
from toucanpin.scheduling.cell import Group
from toucanpin.verdict import Verdict

__all__ = ["AdviceClient"]

TIMEOUT = 5.0  # s: the service decides about one worker after another, and one call at a time


class _Question(msgspec.Struct):
    step: str
    workers: tuple[str, ...]


class _Answer(msgspec.Struct, rename="camel"):
    """Hold rows of a worker's id and its ticket."""

    approved: list[tuple[str, str]] = []
    validity_ms: float = 0


class AdviceClient:
    """Call the advice service, from this host or through another."""

    __slots__ = ("_caller",)

    def __init__(self, caller: Transport) -> None:
        self._caller = caller

    async def ask(self, group: Group, workers: tuple[str, ...]) -> Advice:
        """
        Ask which of ``workers`` may run a step.

        Raises
        ------
        CallError
            If there was no usable answer; asking has no effect, so it may be repeated.
        """
        question = _Question(f"{group.job}.{group.occurrence}.{group.step}", workers)
        body = msgspec.json.encode(question)
        answer = await self._caller.call("POST", "/advise", body, timeout=TIMEOUT)
        if answer.status != 200:
            raise CallError(Verdict.NOT_RUN, f"the advice service answered {answer.status}")
        try:
            found = msgspec.json.decode(answer.body, type=_Answer)
        except msgspec.MsgspecError as error:
            raise CallError(Verdict.NOT_RUN, f"advice can't be read: {error}") from error
        return Advice(dict(found.approved), found.validity_ms / 1_000)
