"""Tests of the clients of the store and of workers, and of decoding the platform's documents."""

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
    """Transport that returns scripted answers and records the calls."""

    def __init__(self, *answers: Answer) -> None:
        self.answers = list(answers)
        self.calls: list[tuple[str, str, bytes]] = []

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
        timeout: float = 1.0,
    ) -> Answer:
        self.calls.append((method, path, body))
        return self.answers.pop(0)


def _answer(status: int, **fields) -> Answer:
    return Answer(status, {}, msgspec.json.encode(fields))


class StoreTest(unittest.IsolatedAsyncioTestCase):
    async def test_transaction_request(self) -> None:
        caller = ScriptedTransport(_answer(200, rowVersion=7, nowMs=50))
        store = Store(caller)
        result = await store.transact("p", (ExpectedVersion("t", "k", 3),), (Put("t", "k", b"v"),))
        self.assertEqual(Committed(7, 50), result)
        body = msgspec.json.decode(caller.calls[0][2])
        expected = [{"table": "t", "part": "p", "key": "k", "rowVersion": 3}]
        self.assertEqual(expected, body["expectedRevision"])
        self.assertEqual("dg==", body["puts"][0]["value"])

    async def test_conflict_returns_current_rows(self) -> None:
        row = {"table": "t", "part": "p", "key": "k", "value": "dg==", "rowVersion": 9}
        store = Store(ScriptedTransport(_answer(412, rows=[row], rowVersion=9, nowMs=1)))
        result = await store.transact("p", (ExpectedVersion("t", "k", 3),), ())
        assert isinstance(result, Conflict)
        self.assertEqual((b"v", 9), (result.rows[0].value, result.rows[0].version))

    async def test_verdicts_of_refusals_and_invalid_answers(self) -> None:
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

    async def test_unknown_status_raises_platform_error(self) -> None:
        with self.assertRaises(PlatformError):
            await Store(ScriptedTransport(_answer(302))).read("t")

    async def test_read_all_joins_pages(self) -> None:
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

    async def test_late_page_keeps_its_own_clock(self) -> None:
        """
        The answer to a watch arrives after newer answers to other calls.  If its page had the clock
        of the newest answer, an owner would claim to know all jobs up to a time that it has not
        seen, and counts shown to callers would lack the jobs submitted since.
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

    async def test_follow_returns_none_for_dropped_history(self) -> None:
        self.assertIsNone(await Store(ScriptedTransport(_answer(410))).follow("t", 3, 1.0))


class WorkerClientTest(unittest.IsolatedAsyncioTestCase):
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
        self.client = WorkerClient("i-1", address)

    async def asyncTearDown(self) -> None:
        self.client.close()
        await self.server.drain(0.0)

    def _set_answer(self, status: int, **fields) -> None:
        self.answer = Response(status, msgspec.json.encode(fields))

    async def test_poll(self) -> None:
        name = encode_task(TASK)
        self._set_answer(
            200,
            clockMs=5,
            running=[[name, 2, "c1", 40, 12.5]],
            finished=[[9, name, 1, "failed", ""]],
        )
        answer = await self.client.poll(3, 8, 100, 0.0, 1.0)
        assert isinstance(answer, PollAnswer)
        self.assertEqual((TASK, 2, "c1", 40, 12.5), _fields(answer.running[0]))
        self.assertIs(RunEnd.FAILED, answer.ended[0].end)
        sent = msgspec.json.decode(self.requests[0].body)
        self.assertEqual({"fencingToken": 3, "ackedSeq": 8, "deadlineMs": 100}, sent)
        self.assertEqual("i-1", self.requests[0].headers["x-expect-instance"])

    async def test_refusal_reasons(self) -> None:
        reasons = {
            "fence": RefusalReason.FENCED,
            "old": RefusalReason.OLD_ATTEMPT,
            "late": RefusalReason.LATE,
            "room": RefusalReason.NO_ROOM,
            "ticket": RefusalReason.NO_TICKET,
        }
        for word, refused in reasons.items():
            self._set_answer(409, clockMs=1, reason=word)
            answer = await self.client.start(TASK, 1, "s", 100, 1)
            self.assertIs(refused, answer.refused)
        self._set_answer(503)
        answer = await self.client.start(TASK, 1, "s", 100, 1)
        self.assertIs(RefusalReason.UNHEALTHY, answer.refused)
        self._set_answer(409, clockMs=1, reason="mood")
        with self.assertRaises(PlatformError):
            await self.client.start(TASK, 1, "s", 100, 1)

    async def test_other_incarnation_raises_worker_replaced_error(self) -> None:
        self._set_answer(421)
        with self.assertRaises(WorkerReplacedError):
            await self.client.stop(TASK, 1, 1)

    async def test_aborted_connection_may_have_run(self) -> None:
        self.answer = None
        with self.assertRaises(CallError) as caught:
            await self.client.stop(TASK, 1, 1)
        self.assertIs(Verdict.MAY_HAVE_RUN, caught.exception.verdict)

    async def test_invalid_answer_raises_call_error(self) -> None:
        self.answer = Response(200, b"not json")
        with self.assertRaises(CallError):
            await self.client.poll(1, 0, 0, 0.0, 1.0)

    async def test_refused_connection_is_not_run(self) -> None:
        from standins.site.site import free_port

        client = WorkerClient("i-1", f"127.0.0.1:{free_port()}")
        with self.assertRaises(CallError) as caught:
            await client.stop(TASK, 1, 1)
        self.assertIs(Verdict.NOT_RUN, caught.exception.verdict)


class DocumentsTest(unittest.TestCase):
    def test_worker_entry_is_decoded(self) -> None:
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
        self.assertEqual((16_000, 32_768, 1.5), (entry.cpu, entry.memory, entry.time_left))
        with self.assertRaises(PlatformError):
            decode_worker("i-1", b"{}")

    def test_malformed_incarnation_is_unknown(self) -> None:
        """
        Guards against losing a worker, or all its later restarts, for one field that another writer
        has set.
        """
        fields = {
            "service": "c",
            "address": "10.0.0.1:80",
            "zone": "dc",
            "state": "ready",
            "seq": 1,
            "capacity": {"cpu": 1, "memMb": 1},
            "labels": [],
        }
        unknown: tuple[object, ...] = (None, "7", 7.5, True, -1, 0, 2**53 + 1, [7], {})
        for born in unknown:
            with self.subTest(born=born):
                value = msgspec.json.encode(fields | {"born": born})
                self.assertEqual(0, decode_worker("i-1", value).born)
        self.assertEqual(0, decode_worker("i-1", msgspec.json.encode(fields)).born)
        value = msgspec.json.encode(fields | {"born": 1_700_000_000_000})
        self.assertEqual(1_700_000_000_000, decode_worker("i-1", value).born)

    def test_configuration_is_decoded_or_refused(self) -> None:
        route = {"name": "q", "host": "h", "pathPrefix": "/p/", "service": "s", "maxAttempts": 3}
        document = {"version": 4, "routes": [route], "services": [{"name": "s"}]}
        configuration = decode_configuration(msgspec.json.encode(document))
        self.assertEqual(3, configuration.queues[0].max_failures)
        self.assertTrue(configuration.services["s"].guarded)
        with self.assertRaises(PlatformError):
            decode_configuration(b'{"routes":[]}')

    def test_task_key_round_trip(self) -> None:
        self.assertEqual(TASK, parse_task(encode_task(TASK)))
        with self.assertRaises(PlatformError):
            parse_task("a.b.c")


def _fields(running) -> tuple:
    return (running.task, running.attempt, running.checkpoint, running.percent, running.measure)


class AdvisedQueueTest(unittest.TestCase):
    def test_queue_with_advice_is_decoded(self) -> None:
        """
        Operators give a queue an advice policy.  If hosts couldn't decode such a document, none
        would have a configuration, and they would refuse every caller.
        """
        advice = {"decisionMs": 480.0, "periodMs": 2.0, "validityMs": 3000}
        routes = [
            {"name": "a", "host": "h", "pathPrefix": "/a/", "service": "c", "advice": advice},
            {"name": "b", "host": "h", "pathPrefix": "/b/", "service": "c"},
        ]
        document = {"version": 3, "routes": routes, "services": [], "limits": {}}
        configuration = decode_configuration(msgspec.json.encode(document))
        self.assertEqual([True, False], [queue.advised for queue in configuration.queues])


VALID_ANSWER: dict[str, object] = {
    "clockMs": 5,
    "running": [["a1.0.0.1", 1, "", 41, 2.5]],
    "finished": [[1, "a1.0.0.2", 1, "done", ""]],
    "born": 9,
}
MALFORMED_ANSWERS: tuple[dict[str, object], ...] = (
    {"clockMs": 2**70},
    {"clockMs": -1},
    {"clockMs": "5"},
    {"running": [[]]},
    {"running": [["a1.0.0.1", 1, ""]]},
    {"running": [[7, 1, "", 41]]},
    {"running": [["a1.0.0.1", "1", "", 41]]},
    {"running": [["a1.0.0.1", 1, None, 41]]},
    {"running": [["a1.0.0.1", 1, "", "41"]]},
    {"running": [["a1.0.0.1", 1, "", 41, "fast"]]},
    {"running": [["a1.0.0.1", 2**70, "", 41]]},
    {"running": [["a1.0.0", 1, "", 41]]},
    {"running": [{"task": "a1.0.0.1"}]},
    {"running": {}},
    {"finished": [[]]},
    {"finished": [[1, "a1.0.0.2", 1, "done"]]},
    {"finished": [["1", "a1.0.0.2", 1, "done", ""]]},
    {"finished": [[2**70, "a1.0.0.2", 1, "done", ""]]},
    {"finished": [[1, None, 1, "done", ""]]},
    {"finished": [[1, "a1.0.0.2", 1, "vanished", ""]]},
    {"finished": [[1, "a1.0.0.2", 1, ["done"], ""]]},
    {"finished": [[1, "a1.0.0.2", 1, "done", 5]]},
)


class LargeNumberTest(unittest.IsolatedAsyncioTestCase):
    def test_a_document_with_a_number_that_no_row_can_carry_is_malformed(self) -> None:
        """Guards against owners that end once they write a priority of more than 64 bits."""
        for changed in ({"priority": 2**70}, {"priority": -(2**70)}, {"maxAttempts": 2**70}):
            document = {"version": 1, "routes": [{"name": "q", "service": "c", **changed}]}
            with self.subTest(changed), self.assertRaises(PlatformError):
                decode_configuration(msgspec.json.encode(document))

    async def test_a_page_with_a_clock_that_no_row_can_carry_is_no_answer(self) -> None:
        for changed in ({"nowMs": 1e300}, {"nowMs": -1e300}, {"rowVersion": 2**70}):
            store = Store(
                ScriptedTransport(_answer(200, **{"nowMs": 5, "rowVersion": 1, **changed}))
            )
            with self.subTest(changed), self.assertRaises(CallError):
                await store.read("t")
            self.assertEqual(0, store.clock)


class MalformedAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_malformed_answer_to_a_poll_counts_as_none(self) -> None:
        """Guards against one worker whose list of runs ends the owner of its cell."""
        client = WorkerClient("w", "127.0.0.1:1")
        for changed in MALFORMED_ANSWERS:
            body = {**VALID_ANSWER, **changed}
            client._client = ScriptedTransport(_answer(200, **body))  # type: ignore[assignment]
            with self.subTest(changed), self.assertRaises((CallError, PlatformError)):
                await client.poll(1, 0, 0, 0.0, 1.0)

    async def test_a_valid_answer_may_have_more_fields(self) -> None:
        client = WorkerClient("w", "127.0.0.1:1")
        rows = [["a1.0.0.1", 1, "", 41, 2.5, "more"]]
        body = {**VALID_ANSWER, "running": rows, "more": [[[]]]}
        client._client = ScriptedTransport(_answer(200, **body))  # type: ignore[assignment]
        answer = await client.poll(1, 0, 0, 0.0, 1.0)
        assert isinstance(answer, PollAnswer)
        self.assertEqual(41, answer.running[0].percent)
        self.assertEqual(RunEnd.DONE, answer.ended[0].end)

    def test_an_id_that_breaks_a_header_names_no_worker(self) -> None:
        capacity = {"cpu": 1_000, "memMb": 1_000}
        entry = {"service": "s", "address": "10.0.0.1:80", "zone": "dc", "state": "ready", "seq": 1}
        body = msgspec.json.encode({**entry, "capacity": capacity, "labels": []})
        self.assertEqual("i-1", decode_worker("i-1", body).id)
        with self.assertRaises(PlatformError):
            decode_worker("i-1\r\nX-Other: 1", body)

    def test_a_task_of_a_job_with_dots_in_its_id_is_parsed(self) -> None:
        """Guards against a row of another writer by which all answers of a worker are refused."""
        task = TaskKey("a.b", 0, 1, 2)
        self.assertEqual(task, parse_task(encode_task(task)))


if __name__ == "__main__":
    unittest.main()
