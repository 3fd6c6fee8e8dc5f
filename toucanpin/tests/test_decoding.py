"""Decoders of what other processes and persons write, given bytes of any kind."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable
from typing import Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from toucanpin.bundles.canonical import decode_bundle
from toucanpin.bundles.document import parse_bundle
from toucanpin.bundles.record import decode_record, decode_signed
from toucanpin.bundles.signature import parse_ring
from toucanpin.cli.explain import parse_lines
from toucanpin.decoding import convert, decode_json, decode_msgpack, decode_toml
from toucanpin.entry.cell_rows import decode_job_row
from toucanpin.exception import MalformedError, ToucanpinError
from toucanpin.http import Answer
from toucanpin.placement.records import QueueRow, decode
from toucanpin.platform.advice import AdviceClient
from toucanpin.platform.job_messages import decode_submission
from toucanpin.platform.machines import MachineClient, decode_wave
from toucanpin.platform.queues import decode_configuration
from toucanpin.platform.store import Row, Store
from toucanpin.platform.workers import WorkerClient, decode_worker
from toucanpin.scheduling.cell import Group
from toucanpin.scheduling.configuration import Queue
from toucanpin.scheduling.ownership import decode_owner
from toucanpin.scheduling.pending_counts import decode_counts
from toucanpin.scheduling.progress_rows import decode_progress
from toucanpin.timeline.codec import decode_lines
from toucanpin.wire.keys import parse_peer_keys

DEPTH = 2_000
NESTED_JSON = b"[" * DEPTH + b"]" * DEPTH
NESTED_OBJECTS = b'{"a":' * DEPTH + b"1" + b"}" * DEPTH
NESTED_MSGPACK = b"\x91" * DEPTH + b"\x01"
LONG_NUMBER = b"9" * 5_000
QUEUE = Queue("q", "h", "/", "c", 0, 1, 2.0, 1, 1, False)


class _FixedAnswer:
    """Transport and client that answers every call with the same body."""

    def __init__(self, body: bytes) -> None:
        self.answer = Answer(200, {}, body)

    async def call(self, *args: object, **fields: object) -> Answer:
        return self.answer


def _poll_worker(body: bytes) -> object:
    client = WorkerClient("w", "127.0.0.1:1")
    client._client = _FixedAnswer(body)  # type: ignore[assignment]
    return asyncio.run(client.poll(1, 0, 0, 0.0, 1.0))


def _list_machines(body: bytes) -> object:
    client = MachineClient("127.0.0.1:1", "h")
    client._client = _FixedAnswer(body)  # type: ignore[assignment]
    return asyncio.run(client.list())


def _parse_text(parse: Callable[[str], Any]) -> Callable[[bytes], Any]:
    return lambda body: parse(body.decode("latin-1"))


DECODERS: dict[str, Callable[[bytes], Any]] = {
    "worker": lambda it: decode_worker("w", it),
    "worker's answer": _poll_worker,
    "configuration": decode_configuration,
    "wave": decode_wave,
    "machines": _list_machines,
    "submission": lambda it: decode_submission("a" * 16, QUEUE, it, 1),
    "rows": lambda it: asyncio.run(Store(_FixedAnswer(it)).read("t")),
    "advice": lambda it: asyncio.run(AdviceClient(_FixedAnswer(it)).ask(Group("j", 0, 0), ("w",))),
    "job": lambda it: decode_job_row(Row("jobs", "c/0", "a" * 16, it, 1)),
    "progress": decode_progress,
    "owner": decode_owner,
    "counts": decode_counts,
    "queued task": lambda it: decode(it, QueueRow),
    "bundle": decode_bundle,
    "bundle's record": decode_record,
    "signed bundle": decode_signed,
    "key ring": _parse_text(lambda it: parse_ring(it, "ring")),
    "bundle's text": _parse_text(lambda it: parse_bundle(it, "bundle")),
    "peers' keys": _parse_text(parse_peer_keys),
    "events": lambda it: list(decode_lines("source", it)),
    "log lines": _parse_text(lambda it: list(parse_lines(it.splitlines()))),
}
NESTED = (
    NESTED_JSON,
    NESTED_OBJECTS,
    NESTED_MSGPACK,
    b'{"unknown":' + NESTED_JSON + b"}",
    b'{"rows":[{"key":"k","value":' + NESTED_JSON + b"}]}",
    b'{"machines":[' + NESTED_JSON + b"]}",
    b'{"clockMs":5,"running":[' + NESTED_JSON + b"]}",
    b"\x81\xa7unknown" + NESTED_MSGPACK,
    b"a=" + NESTED_JSON,
    b"a=" + LONG_NUMBER,
    b'{"a":' + LONG_NUMBER + b"}",
)


def _draw_values(numbers: st.SearchStrategy[int]) -> st.SearchStrategy[Any]:
    leaves = st.none() | st.booleans() | numbers | st.floats(allow_nan=False) | st.text()
    return st.recursive(
        leaves,
        lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4),
        max_leaves=8,
    )


_bodies = st.one_of(
    st.binary(max_size=64),
    _draw_values(st.integers()).map(msgspec.json.encode),
    _draw_values(st.integers(-(2**63), 2**64 - 1)).map(msgspec.msgpack.encode),
)


class AnyBytesTest(unittest.TestCase):
    def check(self, body: bytes) -> None:
        for name, function in DECODERS.items():
            try:
                function(body)
            except ToucanpinError:
                continue
            except Exception as error:
                self.fail(f"{name}: {error!r} for {body[:60]!r}")

    def test_deeply_nested_values_are_malformed_in_all_decoders(self) -> None:
        """Guards against RecursionError: one such row ended the owners of all cells."""
        for number, body in enumerate(NESTED):
            with self.subTest(number):
                self.check(body)

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(_bodies)
    def test_any_bytes_are_a_value_or_malformed(self, body: bytes) -> None:
        self.check(body)

    def test_each_function_raises_only_malformed_error(self) -> None:
        calls: tuple[Callable[[], Any], ...] = (
            lambda: decode_json(NESTED_JSON, list),
            lambda: decode_json(b"\xff", str),
            lambda: decode_msgpack(NESTED_MSGPACK, list),
            lambda: decode_msgpack(b"\xc1", list),
            lambda: decode_toml("a=" + NESTED_JSON.decode()),
            lambda: decode_toml("a=" + LONG_NUMBER.decode()),
            lambda: convert({"a": 1}, int),
        )
        for number, call in enumerate(calls):
            with self.subTest(number), self.assertRaises(MalformedError):
                call()


if __name__ == "__main__":
    unittest.main()
