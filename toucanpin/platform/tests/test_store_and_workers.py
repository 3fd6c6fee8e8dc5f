"""Calls of the store and of workers: what is sent and read, and how they fail."""

from __future__ import annotations

import unittest

import msgspec

from toucanpin.exception import PlatformError
from toucanpin.http import Answer, CallError, Request, Response, Server
from toucanpin.platform.queues import decode_configuration
from toucanpin.platform.store import Committed, Conflict, ExpectedVersion, Put, Store
from toucanpin.platform.workers import (
    WorkerClient,
    WorkerReplacedError,
    decode_worker,
    encode_task,
    parse_task,
)
from toucanpin.scheduling.job import TaskKey
from toucanpin.scheduling.orders import PollAnswer, RefusalReason, RunEnd
from toucanpin.verdict import Verdict

TASK = TaskKey("00000000000000a1", 0, 1, 2)


class ScriptedTransport:
    """Answer each call of the store with the next scripted answer."""

    def __init__(self, *answers: Answer) -> None:
        self.answers = list(answers)
        self.calls: list[tuple[str, str, bytes]] = []

    async def call(
        self, method: str, path: str, body: bytes = b"", *, timeout: float = 1.0
    ) -> Answer:
        self.calls.append((method, path, body))
        return self.answers.pop(0)


def _answer(status: int, **fields) -> Answer:
    return Answer(status, {}, msgspec.json.encode(fields))


class StoreCallsTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_transaction_names_what_it_expects(self) -> None:
        caller = ScriptedTransport(_answer(200, rowVersion=7, nowMs=50))
        store = Store(caller)
        result = await store.transact("p", (ExpectedVersion("t", "k", 3),), (Put("t", "k", b"v"),))
        self.assertEqual(Committed(7, 50), result)
        body = msgspec.json.decode(caller.calls[0][2])
        expected = [{"table": "t", "part": "p", "key": "k", "rowVersion": 3}]
        self.assertEqual(expected, body["expectedRevision"])
        self.assertEqual("dg==", body["puts"][0]["value"])

    async def test_a_conflict_carries_the_rows_as_they_are(self) -> None:
        row = {"table": "t", "part": "p", "key": "k", "value": "dg==", "rowVersion": 9}
        store = Store(ScriptedTransport(_answer(412, rows=[row], rowVersion=9, nowMs=1)))
        result = await store.transact("p", (ExpectedVersion("t", "k", 3),), ())
        assert isinstance(result, Conflict)
        self.assertEqual((b"v", 9), (result.rows[0].value, result.rows[0].version))

    async def test_refusals_had_no_effect_and_garbage_may_have_had_one(self) -> None:
        cases = (
            (_answer(503), Verdict.NOT_RUN),
            (_answer(429), Verdict.NOT_RUN),
            (Answer(200, {}, b'{"rowVersion":'), Verdict.MAY_HAVE_RUN),
            (Answer(200, {}, b"[]"), Verdict.MAY_HAVE_RUN),
        )
        for answer, verdict in cases:
            with self.subTest(answer.status), self.assertRaises(CallError) as caught:
                await Store(ScriptedTransport(answer)).transact("p", (), ())
            self.assertIs(verdict, caught.exception.verdict)

    async def test_an_unknown_status_is_a_fault_of_the_protocol(self) -> None:
        with self.assertRaises(PlatformError):
            await Store(ScriptedTransport(_answer(302))).read("t")

    async def test_pages_are_put_together(self) -> None:
        first = {"table": "t", "part": "", "key": "a", "value": "dg==", "rowVersion": 1}
        second = {**first, "key": "b", "rowVersion": 2}
        caller = ScriptedTransport(
            _answer(200, rows=[first], morePages=True, rowVersion=5, nowMs=1),
            _answer(200, rows=[second], morePages=False, rowVersion=6, nowMs=2),
        )
        page = await Store(caller).read_all("t")
        self.assertEqual(["a", "b"], [row.key for row in page.rows])
        self.assertEqual(5, page.version)
        self.assertIn("from=a%00", caller.calls[1][1])

    async def test_a_page_tells_its_own_moment_however_late_it_comes(self) -> None:
        """
        An answer to a watch comes late, after newer ones to other calls.  Its page was given the
        time of the newest answer, so an owner claimed to know all jobs of a moment that it hadn't
        seen, and callers were told counts without the jobs handed in since.
        """
        caller = ScriptedTransport(
            _answer(200, nowMs=9_000), _answer(200, rowVersion=4, nowMs=7_000)
        )
        store = Store(caller)
        await store.read("t")
        page = await store.follow("t", 3, 1.0)
        assert page is not None
        self.assertEqual((4, 7_000), (page.version, page.clock))
        self.assertEqual(9_000, store.clock)

    async def test_a_dropped_history_is_told_from_silence(self) -> None:
        self.assertIsNone(await Store(ScriptedTransport(_answer(410))).follow("t", 3, 1.0))


class WorkerCallsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        from standins.site.site import free_port

        self.answer: Response | None = Response(200)
        self.requests: list[Request] = []

        async def handle(request: Request) -> Response | None:
            self.requests.append(request)
            return self.answer

        self.server = Server(handle, 16_384, 65_536)
        address = f"127.0.0.1:{free_port()}"
        await self.server.listen(address)
        self.calls = WorkerClient("i-1", address)

    async def asyncTearDown(self) -> None:
        self.calls.close()
        await self.server.drain(0.0)

    def _set(self, status: int, **fields) -> None:
        self.answer = Response(status, msgspec.json.encode(fields))

    async def test_a_hold_is_read_whole(self) -> None:
        name = encode_task(TASK)
        self._set(
            200,
            clockMs=5,
            running=[[name, 2, "c1", 40, 12.5]],
            finished=[[9, name, 1, "failed", ""]],
        )
        held = await self.calls.hold(3, 8, 100, 0.0, 1.0)
        assert isinstance(held, PollAnswer)
        self.assertEqual((TASK, 2, "c1", 40, 12.5), _fields(held.running[0]))
        self.assertIs(RunEnd.FAILED, held.ended[0].end)
        sent = msgspec.json.decode(self.requests[0].body)
        self.assertEqual({"fencingToken": 3, "ackedSeq": 8, "deadlineMs": 100}, sent)
        self.assertEqual("i-1", self.requests[0].headers["x-expect-instance"])

    async def test_each_reason_of_a_refusal_is_known(self) -> None:
        reasons = {
            "fence": RefusalReason.FENCED,
            "old": RefusalReason.OLD_ATTEMPT,
            "late": RefusalReason.LATE,
            "room": RefusalReason.NO_ROOM,
            "ticket": RefusalReason.NO_TICKET,
        }
        for word, refused in reasons.items():
            self._set(409, clockMs=1, reason=word)
            answer = await self.calls.start(TASK, 1, "s", 100, 1)
            self.assertIs(refused, answer.refused)
        self._set(503)
        answer = await self.calls.start(TASK, 1, "s", 100, 1)
        self.assertIs(RefusalReason.UNHEALTHY, answer.refused)
        self._set(409, clockMs=1, reason="mood")
        with self.assertRaises(PlatformError):
            await self.calls.start(TASK, 1, "s", 100, 1)

    async def test_another_life_is_told_from_a_failure(self) -> None:
        self._set(421)
        with self.assertRaises(WorkerReplacedError):
            await self.calls.stop(TASK, 1, 1)

    async def test_a_broken_connection_may_have_had_an_effect(self) -> None:
        self.answer = None
        with self.assertRaises(CallError) as caught:
            await self.calls.stop(TASK, 1, 1)
        self.assertIs(Verdict.MAY_HAVE_RUN, caught.exception.verdict)

    async def test_garbage_is_a_typed_error(self) -> None:
        self.answer = Response(200, b"not json")
        with self.assertRaises(CallError):
            await self.calls.hold(1, 0, 0, 0.0, 1.0)

    async def test_a_port_without_a_listener_had_no_effect(self) -> None:
        from standins.site.site import free_port

        calls = WorkerClient("i-1", f"127.0.0.1:{free_port()}")
        with self.assertRaises(CallError) as caught:
            await calls.stop(TASK, 1, 1)
        self.assertIs(Verdict.NOT_RUN, caught.exception.verdict)


class DocumentsTest(unittest.TestCase):
    def test_a_worker_describes_itself(self) -> None:
        value = msgspec.json.encode(
            {
                "service": "s",
                "address": "10.0.0.1:80",
                "zone": "dc",
                "state": "draining",
                "seq": 3,
                "capacity": {"cpu": 16_000, "memMb": 32_768},
                "labels": ["a", "r1-3"],
                "remainingMs": 1_500,
            }
        )
        entry = decode_worker("i-1", value)
        self.assertFalse(entry.ready)
        self.assertEqual((16_000, 32_768, 1.5), (entry.cpu, entry.memory, entry.left))
        with self.assertRaises(PlatformError):
            decode_worker("i-1", b"{}")

    def test_a_configuration_is_read_whole_or_not_at_all(self) -> None:
        route = {"name": "q", "host": "h", "pathPrefix": "/p/", "service": "s", "maxAttempts": 3}
        document = {"version": 4, "routes": [route], "services": [{"name": "s"}]}
        configuration = decode_configuration(msgspec.json.encode(document))
        self.assertEqual(3, configuration.queues[0].max_failures)
        self.assertTrue(configuration.services["s"].guarded)
        with self.assertRaises(PlatformError):
            decode_configuration(b'{"routes":[]}')

    def test_names_of_tasks(self) -> None:
        self.assertEqual(TASK, parse_task(encode_task(TASK)))
        with self.assertRaises(PlatformError):
            parse_task("a.b.c")


def _fields(running) -> tuple:
    return (running.task, running.attempt, running.checkpoint, running.percent, running.measure)


class AdvisedQueueTest(unittest.TestCase):
    def test_a_queue_with_advice_is_read(self) -> None:
        """
        The operators give one queue a policy.  A document that no host can read would leave all of
        them without a configuration, and every caller would be sent away.
        """
        advice = {"decisionMs": 480.0, "periodMs": 2.0, "validityMs": 3000}
        routes = [
            {"name": "a", "host": "h", "pathPrefix": "/a/", "service": "c", "advice": advice},
            {"name": "b", "host": "h", "pathPrefix": "/b/", "service": "c"},
        ]
        document = {"version": 3, "routes": routes, "services": [], "limits": {}}
        configuration = decode_configuration(msgspec.json.encode(document))
        self.assertEqual([True, False], [queue.advised for queue in configuration.queues])


if __name__ == "__main__":
    unittest.main()
