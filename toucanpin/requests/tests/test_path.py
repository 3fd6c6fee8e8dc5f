"""Tests of the request path on a virtual clock."""

import unittest
from random import Random
from typing import Any

from toucanpin.bundles.schema import Service
from toucanpin.requests.messages import (
    Answer,
    Claim,
    Claimed,
    Forward,
    HeldClaim,
    Interrupted,
    Refused,
    Relay,
    ReleaseClaim,
    Request,
    Responded,
    Response,
    TimedOut,
)
from toucanpin.requests.path import serve_request
from toucanpin.requests.routing import InstanceShare
from toucanpin.requests.service import ServiceState
from toucanpin.requests.tests.virtual_front import Attempt, Clock, Load, VirtualFront, share_evenly
from toucanpin.verdict import Reason, Verdict

SERVICE = Service("verify")
GOOD = Response(200, "OK", (), b"x")


def drive(idempotent, outcomes, request_id="", instances=3):
    """Drive one path with these outcomes; return its actions and the slots still in use."""
    state = ServiceState(SERVICE, 0.1, "casco", Random(1))
    state.update(share_evenly([f"i{n}" for n in range(instances)]), 0.0)
    path = serve_request(Request("verify", "c", request_id, idempotent, 0.0, 2.0), state)
    actions: list[Any] = []
    outcome = None
    feed = iter(outcomes)
    while True:
        try:
            action = path.send(outcome)
        except StopIteration:
            busy = sum(instance.in_flight for instance in state.router._instances.values())
            return actions, busy
        actions.append(action)
        outcome = next(feed, None)


def list_kinds(actions):
    """Return the class names of actions."""
    return [type(action).__name__ for action in actions]


class PathTest(unittest.TestCase):
    def test_relays_an_answer(self):
        actions, busy = drive(False, [Responded(0.1, GOOD)])
        self.assertEqual(list_kinds(actions), ["Forward", "Relay"])
        self.assertEqual(busy, 0)

    def test_retries_a_refused_attempt_at_another_instance(self):
        actions, _ = drive(False, [Refused(0.1, "x"), Responded(0.2, GOOD)])
        self.assertEqual(list_kinds(actions), ["Forward", "Forward", "Relay"])
        self.assertNotEqual(actions[0].instance, actions[1].instance)

    def test_never_repeats_a_non_idempotent_request_that_may_have_run(self):
        """
        The attempt breaks off or times out after its first byte was written.

        A second attempt could run the request twice, so the verdict is "may have run" after one.
        """
        for outcome in (Interrupted(0.1, "x"), Interrupted(0.1, "x", stale=True), TimedOut(2.0)):
            actions, _ = drive(False, [outcome])
            self.assertEqual(list_kinds(actions), ["Forward", "Answer"])
            self.assertIs(actions[-1].refusal.verdict, Verdict.MAY_HAVE_RUN)

    def test_verdict_covers_an_earlier_attempt_that_may_have_run(self):
        """
        The first attempt of an idempotent request breaks off after its first byte was written.

        The verdict is "may have run" although the later attempts were refused.
        """
        not_run = Responded(0.2, Response(503, "", (), b"", None, True))
        for last in (Refused(0.2, "x"), not_run):
            actions, _ = drive(True, [Interrupted(0.1, "x"), last, last])
            self.assertEqual(list_kinds(actions), ["Forward", "Forward", "Forward", "Answer"])
            self.assertIs(actions[-1].refusal.verdict, Verdict.MAY_HAVE_RUN)

    def test_claims_before_forwarding_and_releases_the_claim_if_not_run(self):
        claimed = Claimed(0.1, HeldClaim("k", 7))
        actions, _ = drive(False, [claimed, Responded(0.2, GOOD)], "r1")
        self.assertEqual(list_kinds(actions), ["Claim", "Forward", "Relay"])
        refused = [claimed] + [Refused(0.2, "x")] * 3
        actions, _ = drive(False, refused, "r1")
        self.assertEqual(list_kinds(actions)[-2:], ["ReleaseClaim", "Answer"])
        actions, _ = drive(False, [claimed, Interrupted(0.2, "x")], "r1")
        self.assertEqual(list_kinds(actions), ["Claim", "Forward", "Answer"])

    def test_refuses_at_once_without_instances(self):
        actions, _ = drive(True, [], instances=0)
        self.assertIs(actions[0].refusal.reason, Reason.NO_UPSTREAM)
        self.assertIs(actions[0].refusal.verdict, Verdict.NOT_RUN)

    def test_non_idempotent_attempts_get_the_deadline_of_the_caller(self):
        actions, _ = drive(False, [Refused(0.5, "x"), Responded(0.6, GOOD)])
        self.assertEqual([action.deadline for action in actions[:2]], [2.0, 2.0])

    def test_uses_every_action(self):
        self.assertEqual(len({Answer, Claim, Forward, Relay, ReleaseClaim}), 5)


class LoadTest(unittest.TestCase):
    def run_front(self, behave, rate=500.0, count=3_000, instances=10, slots=8, **options):
        clock, load = Clock(), Load()
        front = VirtualFront(clock, Service("verify", **options), behave, load)
        front.update(share_evenly([f"i{n}" for n in range(instances)], slots))
        rng = Random(5)
        at = 0.0
        for _ in range(count):
            at += rng.expovariate(rate)
            clock.at(at, front.submit)
        clock.run()
        return front, load

    def test_limits_retries_when_every_instance_fails(self):
        """
        Every attempt fails, and the instances get at most 1.1 times the requests.

        With a limit per request instead of a budget, three attempts would be made for each request,
        and the load would keep the instances from recovering.
        """
        for kind in ("interrupted", "refused", "not run"):
            with self.subTest(kind):
                front, load = self.run_front(lambda name, now, k=kind: Attempt(0.005, k))
                self.assertLessEqual(sum(load.sent.values()), 1.1 * len(front.records))
                self.assertFalse(any(record.ok for record in front.records))

    def test_an_instance_that_fails_fast_gets_few_requests(self):
        """
        One instance of ten answers 500 within 1 ms, the others answer after 50 ms.

        It always looks idle, so least-loaded routing alone would send it most of the traffic.
        """
        front, load = self.run_front(
            lambda name, now: Attempt(0.001, status=500) if name == "i0" else Attempt(0.05),
            rate=1_200.0,
        )
        bad = sum(not record.ok for record in front.records)
        self.assertLess(load.sent["i0"], 0.02 * len(front.records))
        self.assertLess(bad, 0.02 * len(front.records))

    def test_an_instance_that_refuses_everything_costs_few_retries(self):
        """
        One instance of three answers "not run" at once to every request.

        It always looks idle, and each request sent to it costs a retry until the budget is spent.
        """
        front, load = self.run_front(
            lambda name, now: Attempt(0.001, "not run") if name == "i0" else Attempt(0.05),
            rate=60.0,
            instances=3,
        )
        bad = sum(not record.ok for record in front.records)
        self.assertLess(load.sent["i0"], 0.02 * len(front.records))
        self.assertLess(bad, 0.005 * len(front.records))

    def test_an_instance_that_recovers_gets_requests_again(self):
        front, load = self.run_front(
            lambda name, now: Attempt(0.01, status=500 if name == "i0" and now < 1.0 else 200)
        )
        recent = [record for record in front.records if record.request.arrived > 4.0]
        self.assertTrue(all(record.ok for record in recent))
        self.assertGreater(load.sent["i0"], 20)

    def test_at_most_half_of_the_instances_are_ejected(self):
        _, load = self.run_front(lambda name, now: Attempt(0.01, status=500))
        self.assertGreaterEqual(sum(count > 100 for count in load.sent.values()), 5)

    def test_refuses_overload_at_once_and_serves_the_rest(self):
        """
        At twice the capacity, half of the requests are served and the others refused at once.

        Requests that cannot be served in time must not take a slot and then miss their deadline.
        """
        for queue in (32, 10_000):
            front, load = self.run_front(
                lambda name, now: Attempt(0.05), rate=640.0, instances=2, queue=queue
            )
            good = [record for record in front.records if record.ok]
            self.assertGreater(len(good), 0.95 * 320.0 * front.records[-1].request.arrived)
            refused = [record for record in front.records if not record.ok]
            self.assertTrue(refused)
            for record in refused:
                self.assertIs(record.outcome.verdict, Verdict.NOT_RUN)
                self.assertGreater(record.outcome.retry_after, 0.0)
                self.assertLess(record.answered_at - record.request.arrived, 0.05)
            self.assertLessEqual(max(load.peak.values()), 8)

    def test_a_caller_with_few_requests_is_served_during_a_flood(self):
        """
        One caller fills the queue; the full queue refuses the newest request of the caller with the
        most queued requests, so that the other caller's are served.
        """
        clock, load = Clock(), Load()
        service = Service("verify", queue=16)
        front = VirtualFront(clock, service, lambda name, now: Attempt(0.05), load)
        front.update(share_evenly(["i0"]))
        for number in range(2_000):
            clock.at(number * 0.001, lambda: front.submit(caller="flood"))
        quiet = []
        for number in range(20):
            clock.at(0.2 + number * 0.08, lambda: quiet.append(front.submit(caller="quiet")))
        clock.run()
        self.assertTrue(all(record.ok for record in quiet))

    def test_a_frozen_instance_delays_few_callers(self):
        """
        One instance of ten accepts connections and never answers, as a stopped process does.

        Without a timeout of its own, the first attempt would use up the caller's two seconds.
        """
        front, load = self.run_front(
            lambda name, now: Attempt(60.0 if name == "i0" and now > 1.0 else 0.05), rate=800.0
        )
        late = [
            record for record in front.records if record.answered_at - record.request.arrived > 0.5
        ]
        self.assertLess(len(late), 0.005 * len(front.records))
        self.assertFalse([record for record in front.records if not record.ok])
        self.assertLessEqual(load.sent["i0"], 100)

    def test_slow_attempts_rarely_time_out(self):
        """
        Answer times vary widely, and the timeout of attempts is derived from them.

        If it were derived without the attempts that timed out, it would shrink with each of them
        until most attempts time out.
        """
        rng = Random(3)
        front, load = self.run_front(
            lambda name, now: Attempt(rng.lognormvariate(-3.5, 1.0)), rate=1_200.0
        )
        bad = sum(not record.ok for record in front.records)
        self.assertLess(bad, 0.005 * len(front.records))
        self.assertLess(load.timed_out, 0.02 * len(front.records))
        self.assertLessEqual(sum(load.sent.values()), 1.1 * len(front.records))

    def test_the_remote_site_serves_while_the_local_one_is_down(self):
        """
        All instances of the local site refuse connections for four seconds.

        The remote site serves the requests in the meantime, and the local one again afterwards.
        """
        clock, load = Clock(), Load()
        near = [f"n{number}" for number in range(5)]

        def behave(name, now):
            lost = name in near and 2.0 <= now < 6.0
            return Attempt(0.001, "refused") if lost else Attempt(0.02)

        front = VirtualFront(clock, Service("verify"), behave, load)
        shares = share_evenly(near)
        shares += tuple(InstanceShare(f"f{number}", "kennebec", 8) for number in range(5))
        front.update(shares)
        for number in range(4_000):
            clock.at(number * 0.005, front.submit)
        clock.run()
        bad = [record for record in front.records if not record.ok]
        self.assertLess(len(bad), 0.01 * len(front.records))
        self.assertGreater(sum(load.sent.get(name, 0) for name in near), 2_000)

    def test_serves_a_burst_of_requests_after_an_outage(self):
        """
        Every instance refuses connections for two seconds; then 600 requests arrive within a tenth
        of a second for 80 slots.

        Nearly all are served, and no instance gets more requests than its slots.
        """
        clock, load = Clock(), Load()
        front = VirtualFront(
            clock,
            Service("verify", queue=1_000),
            lambda name, now: Attempt(0.001, "refused") if now < 2.0 else Attempt(0.05),
            load,
        )
        front.update(share_evenly([f"i{number}" for number in range(10)]))
        for number in range(200):
            clock.at(number * 0.01, front.submit)
        returning: list[Any] = []
        for number in range(600):
            clock.at(2.0 + number / 6_000, lambda: returning.append(front.submit()))
        clock.run()
        self.assertGreater(sum(record.ok for record in returning), 0.95 * len(returning))
        self.assertLessEqual(max(load.peak.values()), 8)

    def test_holds_the_slot_of_an_attempt_that_may_still_be_running(self):
        """
        Attempts break off while the instance keeps running them until their deadline.

        If their slots were used again at once, it would soon run far more than eight requests.
        """
        clock, load = Clock(), Load()
        front = VirtualFront(clock, Service("verify"), lambda n, t: Attempt(0.01, "lost"), load)
        front.update(share_evenly(["i0"]))
        for number in range(100):
            clock.at(number * 0.01, lambda: front.submit(idempotent=False))
        clock.run()
        self.assertGreater(load.sent["i0"], 8)
        self.assertLessEqual(load.peak["i0"], 8)


if __name__ == "__main__":
    unittest.main()
