"""Tests of the front's guarantees: one execution per id, safe retries and draining."""

import socket
import threading
import unittest
from concurrent.futures import ThreadPoolExecutor

from toucanpin.bundles.schema import Service
from toucanpin.daemon.tests.front_harness import (
    SERVICE,
    FakeTable,
    ScriptedInstance,
    answer,
    call,
    echo,
    make_front,
)

NOT_RUN = answer(b"full", "503 Service Unavailable", "Toucanpin-Verdict: not-run\r\n")


def find_closed_port() -> int:
    """Return a port on which nothing listens."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return listener.getsockname()[1]


def start_thread(target, *arguments) -> threading.Thread:
    """Start a thread."""
    thread = threading.Thread(target=target, args=arguments)
    thread.start()
    return thread


class FrontSafetyTest(unittest.TestCase):
    def start(self, *ports, **options):
        front = make_front(ports, **options)
        self.addCleanup(front.stop, 1.0)
        return front

    def instance(self, script=echo):
        instance = ScriptedInstance(script)
        self.addCleanup(instance.close)
        return instance

    def test_duplicate_through_two_fronts_runs_once(self):
        """
        One caller gets the answer, the other a 409 "may have run"; the request runs once.

        A balancer sends the same non-idempotent request through two entry hosts at once.  Only the
        claim row in their common table prevents a second execution.
        """
        instance = self.instance()
        table = FakeTable()
        fronts = [self.start(instance.port, table=table) for _ in range(2)]
        for number in range(10):
            with ThreadPoolExecutor(2) as pool:
                send = lambda front, number=number: call(  # noqa: E731
                    front, "/", "POST", Toucanpin_Request_Id=f"r{number}"
                )
                replies = sorted(pool.map(send, fronts), key=lambda reply: reply.status)
            self.assertEqual([reply.status for reply in replies], [200, 409])
            self.assertEqual(replies[1].verdict, "may-have-run")
        self.assertEqual(len(instance.requests), 10)

    def test_requests_with_id_do_not_run_without_the_table(self):
        """
        The caller is told "not run" and when to retry; requests without an id are served.

        Without the table it is unknown whether the id came through another entry host too.
        """
        instance = self.instance()
        table = FakeTable()
        table.faults = ["down"]
        front = self.start(instance.port, table=table)
        reply = call(front, "/", "POST", Toucanpin_Request_Id="r1")
        self.assertEqual((reply.status, reply.verdict), (503, "not-run"))
        self.assertEqual(reply.reason, "store-unavailable")
        self.assertIn("retry-after", reply.headers)
        self.assertEqual(instance.requests, [])
        self.assertEqual(call(front, "/", "POST").status, 200)
        table.faults = []
        self.assertEqual(call(front, "/", "POST", Toucanpin_Request_Id="r1").status, 200)

    def test_claim_with_lost_answer_is_read_back(self):
        """
        The caller gets its answer, and a second request with the id is a duplicate.

        The claim is written but the table's answer is lost; the row has this request's token.
        """
        instance = self.instance()
        table = FakeTable()
        table.faults = ["lost after"]
        front = self.start(instance.port, table=table)
        self.assertEqual(call(front, "/", "POST", Toucanpin_Request_Id="r1").status, 200)
        self.assertEqual(call(front, "/", "POST", Toucanpin_Request_Id="r1").status, 409)
        self.assertEqual(len(instance.requests), 1)

    def test_id_of_request_that_did_not_run_is_released(self):
        """
        A retry with the same id is served after the only instance answered "not run".

        If the claim were kept, the retry would be refused as a duplicate.
        """
        instance = self.instance(
            lambda number, request, sock: sock.sendall(NOT_RUN if number == 1 else answer(b"ok"))
            is None
        )
        table = FakeTable()
        front = self.start(instance.port, table=table)
        reply = call(front, "/", "POST", Toucanpin_Request_Id="r1")
        self.assertEqual((reply.status, reply.verdict), (503, "not-run"))
        front.stop(1.0)
        self.assertEqual(table.rows, {})
        restarted = self.start(instance.port, table=table)
        self.assertEqual(call(restarted, "/", "POST", Toucanpin_Request_Id="r1").status, 200)

    def test_non_idempotent_request_is_retried_only_if_not_run(self):
        """
        The caller gets its answer from another instance, or "may have run".

        If an instance refuses connections or answers "not run", another one may run the request.
        If it closes the connection after the request was written, no other instance may.
        """
        good = self.instance()
        full = self.instance(lambda number, request, sock: sock.sendall(NOT_RUN) is None)
        broken = self.instance(lambda number, request, sock: False)
        for port in (find_closed_port(), full.port):
            front = self.start(port, good.port)
            statuses = [call(front, "/", "POST", b"x").status for _ in range(3)]
            self.assertEqual(statuses, [200, 200, 200])
        before = len(good.requests)
        front = self.start(broken.port, good.port)
        replies = [call(front, "/", "POST", b"x") for _ in range(8)]
        failed = [reply for reply in replies if reply.status == 502]
        self.assertTrue(failed)
        self.assertEqual({reply.verdict for reply in failed}, {"may-have-run"})
        self.assertEqual(len(good.requests) - before + len(broken.requests), 8)

    def test_verdict_covers_all_attempts(self):
        """
        The caller is told "may have run", although the last attempt did not run.

        The local instance breaks off after the request was written, the remote one refuses it.
        """
        broken = self.instance(lambda number, request, sock: False)
        full = self.instance(lambda number, request, sock: sock.sendall(NOT_RUN) is None)
        front = self.start(broken.port, remote=(full.port,))
        reply = call(front, "/")
        self.assertEqual((len(broken.requests), len(full.requests)), (1, 1))
        self.assertEqual(reply.verdict, "may-have-run")

    def test_stop_waits_for_requests_in_flight(self):
        """
        The caller gets its answer, and the front closes only then.

        The front is stopped while the instance still works on a request.
        """
        reached, go_on = threading.Event(), threading.Event()

        def hold(number, request, sock):
            reached.set()
            go_on.wait(10.0)
            return echo(number, request, sock)

        instance = self.instance(hold)
        front = make_front([instance.port])
        with ThreadPoolExecutor(2) as pool:
            reply = pool.submit(call, front, "/held")
            reached.wait(10.0)
            stopping = pool.submit(front.stop, 10.0)
            while front.ready:
                pass
            self.assertFalse(stopping.done())
            go_on.set()
            self.assertEqual(reply.result().body, b"/held|")
            stopping.result()
        with self.assertRaises(ConnectionRefusedError):
            socket.create_connection(("127.0.0.1", front.port), 1.0)

    def test_rolling_restart_loses_no_request(self):
        """
        Every caller gets its answer while three fronts are replaced in turn under load.

        The balancer notices with a delay that a front isn't ready any more and meanwhile sends it
        further requests, each on a new connection.
        """
        instance = self.instance()
        fronts = [make_front([instance.port], linger=0.3) for _ in range(3)]
        targets = list(fronts)
        done = threading.Event()
        wrong = []
        sent = [0] * 4

        def send(number):
            while not done.is_set():
                count = sent[number]
                front = targets[(count + number) % len(targets)]
                path = f"/{number}/{count}"
                try:
                    raw = call(front, path, "POST", b"x").raw
                except OSError as error:
                    raw = repr(error).encode()
                if not raw.endswith(f"\r\n\r\n{path}|x".encode()):
                    wrong.append(raw)
                sent[number] += 1

        with ThreadPoolExecutor(4) as pool:
            senders = [pool.submit(send, number) for number in range(4)]
            for number, front in enumerate(fronts):
                replacement = make_front([instance.port])
                self.addCleanup(replacement.stop, 1.0)
                stopping = start_thread(front.stop, 5.0)
                while front.ready:
                    pass
                before = list(sent)
                while any(now < then + 4 for now, then in zip(sent, before, strict=True)):
                    done.wait(0.001)
                targets[number] = replacement
                stopping.join()
            done.set()
            for sender in senders:
                sender.result()
        self.assertEqual(wrong, [])

    def test_request_is_refused_at_once_if_queue_is_full(self):
        """
        A further caller gets 503 "not run" with Retry-After while the slots are still occupied.

        Two requests occupy both slots and two more fill the queue.  A request that can't be queued
        must not wait until its deadline.
        """
        held, go_on = threading.Semaphore(0), threading.Event()

        def hold(number, request, sock):
            held.release()
            go_on.wait(10.0)
            return echo(number, request, sock)

        instance = self.instance(hold)
        service = Service(SERVICE, slots=2, connections=4, queue=2, deadline_ms=8_000)
        front = self.start(instance.port, service=service, threads=20)
        entry = front._upstreams.find(SERVICE)
        with ThreadPoolExecutor(4) as pool:
            sent = [pool.submit(call, front, "/a") for _ in range(4)]
            held.acquire()
            held.acquire()
            while len(entry.state.admission) < 2:
                pass
            reply = call(front, "/late")
            self.assertEqual((reply.status, reply.reason), (503, "overload"))
            self.assertEqual(reply.verdict, "not-run")
            self.assertIn("retry-after", reply.headers)
            go_on.set()
            self.assertEqual([future.result().status for future in sent], [200] * 4)


if __name__ == "__main__":
    unittest.main()
