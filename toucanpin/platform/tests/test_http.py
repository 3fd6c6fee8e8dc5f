"""Tests of the HTTP adapters against exchanges that fail at every possible point."""

import unittest

from toucanpin.platform.http import HttpHostList, HttpObjectStore, HttpTable, HttpWorkers
from toucanpin.platform.ports import (
    MAX_TRANSACTION_ROWS,
    Committed,
    Conflict,
    HostRole,
    ListedHost,
    Poll,
    Transaction,
    Unavailable,
    Unknown,
    Write,
)
from toucanpin.platform.tests.scripted_server import Reply, ScriptedServer, find_closed_port

TRANSACTION = Transaction("t1", (Write("job/1", 0, b"value"),))
POLL = Poll(3, "", 0, ())
APPLIED = b"HTTP/1.1 200 x\r\nContent-Length: 13\r\n\r\n" + b'{"version":7}'
NO_EFFECT = b"HTTP/1.1 503 x\r\nToucanpin-Effect: none\r\nContent-Length: 0\r\n\r\n"


def answer(body, status=200, headers=""):
    head = f"HTTP/1.1 {status} x\r\n{headers}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def chunk(body):
    head = b"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head + f"{len(body):x}\r\n".encode() + body + b"\r\n0\r\n\r\n"


def is_unknown(outcome):
    return outcome.is_error() and isinstance(outcome.error, Unknown)


class AdapterTest(unittest.TestCase):
    def serve(self, *replies):
        server = ScriptedServer(*replies)
        self.addCleanup(server.close)
        return server

    def table(self, url, timeout=2.0):
        table = HttpTable(url, "entry1/control", timeout)
        self.addCleanup(table.close)
        return table

    def commit(self, *replies, timeout=2.0):
        return self.table(self.serve(*replies).url, timeout).commit(TRANSACTION)


class CommitTest(AdapterTest):
    def test_applied_commit(self):
        self.assertEqual(self.commit(Reply(answer(b'{"version":7}'))).ok, Committed(7))

    def test_conflict_names_the_rows(self):
        body = b'{"rows":[{"key":"job/1","version":4,"value":"AQI="}]}'
        fault = self.commit(Reply(answer(body, 409))).error
        self.assertIsInstance(fault, Conflict)
        self.assertEqual(fault.rows[0].value, b"\x01\x02")

    def test_refused_connection_is_unavailable(self):
        """
        The platform is down and its port is closed.  Nothing of the commit was sent, so it had no
        effect and may be repeated unchanged.
        """
        fault = self.table(f"http://127.0.0.1:{find_closed_port()}").commit(TRANSACTION).error
        self.assertIsInstance(fault, Unavailable)

    def test_refusal_that_states_no_effect(self):
        self.assertIsInstance(self.commit(Reply(NO_EFFECT)).error, Unavailable)

    def test_503_without_effect_header_is_unknown(self):
        """
        A proxy of the platform answers 503 after it has forwarded the commit.  If the 503 counted
        as "no effect", the commit would be repeated and might be applied twice.
        """
        self.assertTrue(is_unknown(self.commit(Reply(answer(b"", 503)))))

    def test_answer_truncated_at_every_byte(self):
        """
        The platform applies the commit, and its answer is truncated after any number of bytes by a
        close or a reset.  Only the complete answer may count as success; with any other, the commit
        may have taken effect.
        """
        refused = len(NO_EFFECT.rstrip())  # without the final blank line, which adds no information
        for full_answer, last in ((APPLIED, len(APPLIED)), (NO_EFFECT, refused)):
            for then in ("close", "reset"):
                for cut in range(last):
                    with self.subTest(cut=cut, then=then, full_answer=full_answer[:40]):
                        self.assertTrue(is_unknown(self.commit(Reply(full_answer[:cut], then))))

    def test_reset_before_the_request_is_read(self):
        """
        The platform resets the connection while the commit is being written.  It is unknown how
        much the platform had read, so the commit may have taken effect.
        """
        self.assertTrue(is_unknown(self.commit(Reply(b"", "reset", unread=True))))

    def test_timeout_is_unknown(self):
        self.assertTrue(is_unknown(self.commit(Reply(b"", "hang"), timeout=0.05)))

    def test_late_answer_does_not_reach_the_next_commit(self):
        """
        The first commit times out and its answer arrives later.  If the connection were reused, the
        next commit would read that answer and return a version that isn't its own.
        """
        server = self.serve(
            Reply(answer(b'{"version":1}')[:20], "hang"), Reply(answer(b'{"version":2}'))
        )
        table = self.table(server.url, 1.0)
        self.assertTrue(is_unknown(table.commit(TRANSACTION)))
        self.assertEqual(table.commit(TRANSACTION).ok, Committed(2))

    def test_closed_idle_connection_is_not_retried(self):
        """
        The platform reads the second commit on a reused connection and closes it without an answer,
        as it does when shutting down.  A library that retries automatically would commit twice.
        """
        server = self.serve(
            Reply(answer(b'{"version":1}'), "keep"), Reply(b""), Reply(answer(b'{"version":3}'))
        )
        table = self.table(server.url)
        self.assertEqual(table.commit(TRANSACTION).ok, Committed(1))
        self.assertTrue(is_unknown(table.commit(TRANSACTION)))
        self.assertEqual(len(server.requests), 2)

    def test_invalid_answers_are_unknown(self):
        bodies = (b"", b"{", b"[]", b'{"version":"x"}', b"\xff\xfe", b"[" * 5_000)
        invalid = [answer(body) for body in bodies]
        invalid += [answer(body, 409) for body in bodies]
        invalid += [answer(b'{"version":1}', status) for status in (201, 301, 400, 404, 500, 503)]
        invalid += [b"HTTP/1.1 200 x\r\n\r\n{", b"SSH-2.0-x\r\n\r\n", b"HTTP/1.1 abc\r\n\r\n"]
        invalid += [chunk(b"{}").replace(b"2\r\n", b"zz\r\n", 1), b"\x00" * 70_000]
        for full_answer in invalid:
            with self.subTest(full_answer=full_answer[:60]):
                self.assertTrue(is_unknown(self.commit(Reply(full_answer))))

    def test_redirect_is_not_followed(self):
        moved = answer(b"", 307, "Location: /elsewhere\r\n")
        server = self.serve(Reply(moved, "keep"), Reply(APPLIED))
        self.assertTrue(is_unknown(self.table(server.url).commit(TRANSACTION)))
        self.assertEqual(len(server.requests), 1)

    def test_too_many_rows_are_not_sent(self):
        writes = tuple(Write(f"k{n}", 0, b"") for n in range(MAX_TRANSACTION_ROWS + 1))
        with self.assertRaises(ValueError):
            self.table("http://127.0.0.1:1").commit(Transaction("t", writes))

    def test_client_header(self):
        server = self.serve(Reply(answer(b'{"version":7}')))
        self.table(server.url).commit(TRANSACTION)
        self.assertIn(b"Toucanpin-Client: entry1/control\r\n", server.requests[0])


class ObjectsTest(AdapterTest):
    def get(self, full_answer):
        objects = HttpObjectStore(self.serve(Reply(full_answer)).url, "c")
        self.addCleanup(objects.close)
        return objects.get("a/b ?")

    def test_truncated_object_is_unknown(self):
        """
        The store closes the connection in the middle of a checkpoint.  If that counted as complete,
        a job would resume from a truncated checkpoint.
        """
        full_answer = answer(b"x" * 30)
        for cut in range(len(full_answer)):
            with self.subTest(cut=cut):
                self.assertTrue(is_unknown(self.get(full_answer[:cut])))
        self.assertEqual(self.get(full_answer).ok, b"x" * 30)

    def test_chunked_object_is_refused(self):
        """
        The library accepts a chunked object that is truncated within its final chunk as complete.
        The platform always states lengths, so any chunked answer is a fault.
        """
        full_answer = chunk(b"x" * 30)
        for cut in range(len(full_answer) + 1):
            with self.subTest(cut=cut):
                self.assertTrue(is_unknown(self.get(full_answer[:cut])))

    def test_object_without_length_is_unknown(self):
        self.assertTrue(is_unknown(self.get(b"HTTP/1.1 200 x\r\n\r\nhalf")))

    def test_absence_requires_the_absent_header(self):
        stated = answer(b"", 404, "Toucanpin-Object: absent\r\n")
        self.assertIsNone(self.get(stated).ok)
        self.assertTrue(is_unknown(self.get(answer(b"", 404))))


class HostListTest(AdapterTest):
    def test_invalid_list_is_unknown(self):
        hosts = HttpHostList(self.serve(Reply(answer(b'{"hosts":[{"name":1}]}'))).url, "c")
        self.addCleanup(hosts.close)
        self.assertTrue(is_unknown(hosts.hosts()))


class WorkersTest(AdapterTest):
    def poll(self, port, timeout=2.0):
        workers = HttpWorkers("c", timeout)
        self.addCleanup(workers.close)
        host = ListedHost("w1", HostRole.WORKER, "s", "r", "127.0.0.1", port)
        return workers.poll(host, POLL)

    def test_refused_connection_was_not_reached(self):
        self.assertFalse(self.poll(find_closed_port()).error.reached)

    def test_worker_that_states_no_effect_was_not_reached(self):
        self.assertFalse(self.poll(self.serve(Reply(NO_EFFECT)).port).error.reached)

    def test_worker_with_invalid_report_was_reached(self):
        """
        The worker accepts a start order and its report is lost or truncated.  The task may be
        running; an owner that assumed otherwise would start it on another worker as well.
        """
        for reply in (Reply(b""), Reply(answer(b"{}")), Reply(answer(b"x" * 9)[:-3], "reset")):
            with self.subTest(reply=reply):
                self.assertTrue(self.poll(self.serve(reply).port).error.reached)


if __name__ == "__main__":
    unittest.main()
