"""Tests of hedged requests over real connections."""

import threading
import unittest

from toucanpin.daemon.tests.front_harness import (
    SERVICE,
    TEST_TIMEOUT_S,
    ScriptedInstance,
    answer,
    call,
    make_front,
)

OBSERVED_LATENCY_S = 0.4
HELD_REQUESTS = 3


class HeldInstances:
    """Two instances; the first to get a held target does not answer until the front closes."""

    def __init__(self) -> None:
        self.closed = [threading.Event() for _ in range(HELD_REQUESTS)]
        self._seen: set[bytes] = set()
        self._lock = threading.Lock()
        self.instances = [ScriptedInstance(self._answer) for _ in range(2)]

    def _answer(self, number, request, sock) -> bool:
        target = request.split(b" ", 2)[1]
        with self._lock:
            held = target.startswith(b"/held/") and target not in self._seen
            self._seen.add(target)
        if not held:
            sock.sendall(answer(target))
            return True
        # The front sends nothing more on this connection, so recv returns when the front closes it.
        if sock.recv(1) == b"":
            self.closed[int(target[6:])].set()
        sock.sendall(answer(b"late"))
        return False


class HedgingTest(unittest.TestCase):
    def setUp(self):
        self.held = HeldInstances()
        self.front = make_front([instance.port for instance in self.held.instances])
        self.addCleanup(self.front.stop, 1.0)
        for instance in self.held.instances:
            self.addCleanup(instance.close)
        for _ in range(100):
            self.front._upstreams.find(SERVICE).state.attempt_timing.observe(OBSERVED_LATENCY_S)

    def test_hedged_caller_gets_its_own_answer(self):
        """
        Each caller gets the answer to its own request from the second instance.

        The first instance answers only after its connection was closed.  If the connection were
        reused, that late answer would reach the next caller.
        """
        for number in range(HELD_REQUESTS):
            target = f"/held/{number}"
            reply = call(self.front, target)
            self.assertEqual((reply.status, reply.body), (200, target.encode()))
            self.assertTrue(self.held.closed[number].wait(TEST_TIMEOUT_S))
            after = call(self.front, f"/after/{number}")
            self.assertEqual(after.body, f"/after/{number}".encode())
        self.assertEqual(self.front.counts["hedges"], HELD_REQUESTS)

    def test_cancelled_attempts_release_their_connections(self):
        """
        After hedged requests all open connections of the front are idle.

        If a cancelled attempt stayed in the count of connections, the limit of the instance would
        be used up, and the front would refuse every request.
        """
        for number in range(HELD_REQUESTS):
            call(self.front, f"/held/{number}")
        forwarders = self.front._upstreams.find(SERVICE).forwarders.values()
        for forwarder in forwarders:
            forwarder.close_idle(include_recent=True)
        self.assertEqual(sum(each.open_connections for each in forwarders), 0)


if __name__ == "__main__":
    unittest.main()
