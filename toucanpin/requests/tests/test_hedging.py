"""Tests of hedging: a second attempt in parallel to a slow one."""

import unittest
from random import Random

from toucanpin.bundles.schema import Service
from toucanpin.requests.messages import (
    ActionDone,
    AttemptEnded,
    AttemptPending,
    AwaitAttempt,
    Cancel,
    Forward,
    Hedge,
    Interrupted,
    Relay,
    Request,
    Responded,
    Response,
)
from toucanpin.requests.path import serve_request
from toucanpin.requests.service import ServiceState
from toucanpin.requests.tests.virtual_front import Attempt, Clock, Load, VirtualFront, share_evenly

SERVICE = Service("verify")
FIRST, SECOND = Response(200, "OK", (), b"first"), Response(200, "OK", (), b"second")
FAILED = Response(500, "Error", (), b"failed")


def make_state(instances=3):
    """Return the state of a service whose answers have taken 0.1 s so far."""
    state = ServiceState(SERVICE, 0.1, "casco", Random(1))
    state.update(share_evenly([f"i{n}" for n in range(instances)]), 0.0)
    for _ in range(100):
        state.attempt_timing.observe(0.1)
        state.admission.observe(0.05)
    return state


def begin(state, idempotent=True, at=0.0):
    """Start a path; return it and its first attempt."""
    path = serve_request(Request("verify", "c", "", idempotent, at, at + 2.0), state)
    return path, path.send(None)


class HedgeTest(unittest.TestCase):
    def drive_to_hedge(self, state):
        """Drive a path to its hedge; return it and the names of both instances."""
        path, forward = begin(state)
        self.assertIsInstance(forward, Forward)
        self.assertEqual(forward.pending_at, 0.1)
        hedge = path.send(AttemptPending(0.1))
        self.assertIsInstance(hedge, Hedge)
        return path, forward.instance, hedge.instance

    def test_relays_the_first_answer_and_cancels_the_other_attempt(self):
        for winner in (0, 1):
            with self.subTest(winner):
                state = make_state()
                path, *names = self.drive_to_hedge(state)
                response = (FIRST, SECOND)[winner]
                action = path.send(AttemptEnded(names[winner], Responded(0.2, response)))
                self.assertIsInstance(action, Cancel)
                action = path.send(ActionDone(0.2))
                self.assertEqual(action, Relay(response))
                with self.assertRaises(StopIteration):
                    path.send(ActionDone(0.2))

    def test_hedge_takes_a_slot_of_another_instance(self):
        state = make_state()
        path, first, second = self.drive_to_hedge(state)
        self.assertNotEqual(first, second)
        busy = {i.name: i.in_flight for i in state.router._instances.values() if i.in_flight}
        self.assertEqual(busy, {first: 1, second: 1})
        path.close()
        self.assertFalse(any(i.in_flight for i in state.router._instances.values()))

    def test_holds_the_slot_of_the_cancelled_attempt_until_its_deadline(self):
        """
        The instance may not notice that the connection was closed and keep running the request.

        If its slot were used again before the deadline, it would have more requests than slots.
        """
        state = make_state()
        path, forward = begin(state)
        hedge = path.send(AttemptPending(0.1))
        path.send(AttemptEnded(hedge.instance, Responded(0.2, SECOND)))
        path.send(ActionDone(0.2))
        self.assertEqual(state.router.count_used(forward.deadline - 0.01), 1)
        self.assertEqual(state.router.count_used(forward.deadline), 0)

    def test_hedges_spend_the_retry_budget(self):
        """
        All instances become slow at once, and every request is late enough for a hedge.

        If each request were hedged, the load would double; at most a tenth of them may be.
        """
        state = make_state()
        hedges = 0
        for number in range(300):
            path, forward = begin(state, at=float(number))
            action = path.send(AttemptPending(number + 0.1))
            hedges += isinstance(action, Hedge)
            path.send(AttemptEnded(forward.instance, Responded(number + 0.1, FIRST)))
            path.close()
        self.assertGreater(hedges, 20)
        self.assertLessEqual(hedges, 30)

    def test_never_hedges_at_the_same_instance(self):
        path, _ = begin(make_state(instances=1))
        self.assertIsInstance(path.send(AttemptPending(0.1)), AwaitAttempt)

    def test_never_hedges_a_non_idempotent_request(self):
        """
        A second attempt in parallel to a slow one would run a non-idempotent request twice.
        """
        _, forward = begin(make_state(), idempotent=False)
        self.assertIsNone(forward.pending_at)

    def test_failed_hedge_does_not_end_the_wait_for_the_first_attempt(self):
        path, first, second = self.drive_to_hedge(make_state())
        self.assertIsInstance(
            path.send(AttemptEnded(second, Responded(0.11, FAILED))), AwaitAttempt
        )
        self.assertEqual(path.send(AttemptEnded(first, Responded(0.2, FIRST))), Relay(FIRST))

    def test_relays_a_failure_if_the_other_attempt_breaks_off(self):
        path, first, second = self.drive_to_hedge(make_state())
        path.send(AttemptEnded(second, Responded(0.11, FAILED)))
        self.assertEqual(path.send(AttemptEnded(first, Interrupted(0.2, "x"))), Relay(FAILED))

    def test_does_not_hedge_under_load(self):
        state = make_state(instances=2)
        for _ in range(12):
            state.request_slot("c", 2.0, frozenset(), 0.0)
        path, _ = begin(state)
        self.assertIsInstance(path.send(AttemptPending(0.1)), AwaitAttempt)


class HedgingLoadTest(unittest.TestCase):
    def run_front(self, behave, count=3_000, rate=400.0):
        clock, load = Clock(), Load()
        front = VirtualFront(clock, SERVICE, behave, load)
        front.update(share_evenly([f"i{n}" for n in range(10)]))
        rng = Random(5)
        at = 0.0
        for _ in range(count):
            at += rng.expovariate(rate)
            clock.at(at, front.submit)
        clock.run()
        return front, load

    def test_keeps_amplification_within_the_budget(self):
        """
        The instances get at most 1.1 times the requests, hedges and retries included.

        Answer times vary widely, so many attempts are late, and some break off.  Without the budget
        hedges would add load to a service that is already slow.
        """
        rng = Random(3)

        def behave(name, now):
            kind = "interrupted" if rng.random() < 0.04 else "answered"
            return Attempt(rng.lognormvariate(-4.0, 1.5), kind)

        front, load = self.run_front(behave)
        self.assertGreater(sum(load.sent.values()), 1.05 * len(front.records))
        self.assertLessEqual(sum(load.sent.values()), 1.1 * len(front.records))

    def test_slow_instance_delays_few_callers_and_keeps_its_slot_limit(self):
        """
        One instance of ten takes 20 times as long as the others.

        It does not notice that the connection of a cancelled attempt was closed.  If that slot were
        used again at once, it would get more requests than its eight slots.
        """
        front, load = self.run_front(
            lambda name, now: Attempt(1.0 if name == "i0" and now > 1.0 else 0.05)
        )
        slow = [r for r in front.records if r.answered_at - r.request.arrived > 0.3]
        self.assertLess(len(slow), 0.001 * len(front.records))
        self.assertTrue(all(record.ok for record in front.records))
        self.assertLessEqual(max(load.peak.values()), 8)

    def test_ejects_an_instance_that_always_loses_to_hedges(self):
        """
        Each attempt at a frozen instance loses to a hedge and is cancelled, so no request fails.

        If these attempts were not counted as failures, the instance would look healthy and continue
        to get requests that each need a hedge.
        """
        front, load = self.run_front(
            lambda name, now: Attempt(60.0 if name == "i0" and now > 1.0 else 0.05)
        )
        self.assertTrue(all(record.ok for record in front.records))
        self.assertIn("i0", front.state.router.ejected)


if __name__ == "__main__":
    unittest.main()
