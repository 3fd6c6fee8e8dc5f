"""
Advice service client
=====================

Ask the platform's advice service which workers a queue's policy allows.
"""

from __future__ import annotations

import msgspec

from toucanpin.decoding import decode_json
from toucanpin.exception import MalformedError
from toucanpin.http import CallError
from toucanpin.platform.store import Transport
from toucanpin.scheduling.advising import Advice
from toucanpin.scheduling.cell import Group
from toucanpin.verdict import Verdict

__all__ = ["AdviceClient"]

CALL_TIMEOUT_S = 5.0  # the service handles one call at a time, and its workers one after another


class _Request(msgspec.Struct):
    step: str
    workers: tuple[str, ...]


class _Answer(msgspec.Struct, rename="camel"):
    """The answer; ``approved`` holds pairs of a worker's id and its ticket."""

    approved: list[tuple[str, str]] = []
    validity_ms: float = 0


class AdviceClient:
    """Client of the advice service, direct or through a peer."""

    __slots__ = ("_transport",)

    def __init__(self, transport: Transport) -> None:
        self._transport = transport

    async def ask(self, group: Group, workers: tuple[str, ...]) -> Advice:
        """
        Return which of ``workers`` may run a step.

        Raises
        ------
        CallError
            If there is no usable answer.  The call has no side effects and may be repeated.
        """
        question = _Request(f"{group.job}.{group.occurrence}.{group.step}", workers)
        body = msgspec.json.encode(question)
        answer = await self._transport.call("POST", "/advise", body, timeout=CALL_TIMEOUT_S)
        if answer.status != 200:
            raise CallError(Verdict.NOT_RUN, f"the advice service answered {answer.status}")
        try:
            found = decode_json(answer.body, _Answer)
        except MalformedError as error:
            raise CallError(Verdict.NOT_RUN, f"advice can't be decoded: {error}") from error
        return Advice(dict(found.approved), found.validity_ms / 1_000)
