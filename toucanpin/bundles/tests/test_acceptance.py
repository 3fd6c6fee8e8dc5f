"""Tests of the acceptance of bundles, under races, lost answers and replays."""

import itertools
import random
import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from standins.faults import Effect, FaultPlan, Rule
from standins.memory import FaultyLink, MemoryTable
from standins.table import TableCore
from toucanpin.bundles.acceptance import (
    Accepted,
    Commit,
    Conflicted,
    NotAccepted,
    Pause,
    Read,
    Refused,
    Submission,
    Uncertain,
    accept_bundle,
)
from toucanpin.bundles.record import CURRENT_KEY, decode_record, make_version_key
from toucanpin.bundles.signature import KeyRing, SignedBundle
from toucanpin.bundles.tests.fixtures import ROOT, make_ring, make_signed, make_signed_ring

FUZZ = settings(derandomize=True, database=None, deadline=None, max_examples=150)


class Desk:
    """Runs submissions against a table in memory, on a virtual clock."""

    def __init__(self) -> None:
        self.now = 0.0
        self.core = TableCore()
        self.plan = FaultPlan()
        self.line = FaultyLink(lambda: self.now, self.plan)
        self._tokens = itertools.count()

    def begin(self, signed: SignedBundle, expected: int, root: KeyRing = ROOT, who: str = "x"):
        """Return the steps of one submission."""
        submission = Submission(signed, expected, who, self.now)
        return accept_bundle(root, submission, lambda: f"token-{next(self._tokens)}")

    def perform(self, action: Any) -> Any:
        """Perform one action."""
        table = MemoryTable(self.core, self.line, "desk")
        match action:
            case Read(key):
                return table.read(key)
            case Commit(transaction):
                return table.commit(transaction)
            case Pause(seconds):
                self.now += seconds
        return None

    def submit(self, signed: SignedBundle, expected: int, root: KeyRing = ROOT, who: str = "x"):
        """Run one submission and return its outcome."""
        return self.run(self.begin(signed, expected, root, who))

    def run(self, steps: Any) -> Any:
        """Run the steps of a submission and return its outcome."""
        answer = None
        while True:
            try:
                answer = self.perform(steps.send(answer))
            except StopIteration as stop:
                return stop.value

    def current(self) -> Any:
        """Return the record in force."""
        self.now += 100.0
        self.line.run_delayed()
        row = self.core.read(CURRENT_KEY)
        return None if row is None else decode_record(row.value).ok


class AcceptanceTest(unittest.TestCase):
    def setUp(self):
        self.desk = Desk()

    def test_consecutive_versions_are_accepted(self):
        for version in (1, 2, 3):
            outcome = self.desk.submit(make_signed(version), version - 1)
            self.assertIsInstance(outcome, Accepted)
        self.assertEqual(self.desk.current().version, 3)
        self.assertIsNotNone(self.desk.core.read(make_version_key(2)))

    def test_nonconsecutive_version_is_refused(self):
        self.desk.submit(make_signed(1), 0)
        for version, expected in ((3, 1), (1, 1), (0, 1)):
            outcome = self.desk.submit(make_signed(version, "other"), expected)
            self.assertIsInstance(outcome, Refused)
        self.assertEqual(self.desk.current().version, 1)

    def test_unsigned_bundle_never_reaches_the_table(self):
        outcome = self.desk.submit(make_signed(1, signers=()), 0)
        self.assertIsInstance(outcome, Refused)
        self.assertEqual(self.desk.core.counts.reads + self.desk.core.counts.writes, 0)

    def test_replay_does_not_change_the_bundle_in_force(self):
        """
        Guards against a replay of version 1 after version 2 was accepted.  It gives a conflict with
        the expected version of then, and isn't consecutive with the version in force.
        """
        first = make_signed(1, "old")
        self.desk.submit(first, 0)
        self.desk.submit(make_signed(2), 1)
        for expected in (0, 1, 2):
            outcome = self.desk.submit(first, expected)
            if isinstance(outcome, Accepted):
                self.assertTrue(outcome.repeated)
            self.assertEqual(self.desk.current().version, 2)

    def test_a_conflict_names_the_winner_and_the_difference(self):
        self.desk.submit(make_signed(1, "mine"), 0, who="alice")
        outcome = self.desk.submit(make_signed(1, "yours"), 0, who="bob")
        assert isinstance(outcome, Conflicted) and outcome.winner is not None
        self.assertEqual(outcome.winner.operator, "alice")
        self.assertEqual([line[:10] for line in outcome.difference], ["- services", "+ services"])

    def test_conflict_without_bundle_in_force(self):
        self.assertEqual(self.desk.submit(make_signed(5), 4), Conflicted(None, ()))

    def test_bundle_without_the_rings_in_force_is_refused(self):
        """
        Ring 2 requires two signers and is in force.  A single operator omits ring 2 and signs a
        bundle under the root ring, which requires one signer.
        """
        link = make_signed_ring(make_ring(2, threshold=2), "alice")
        both = ("alice", "bob")
        self.desk.submit(make_signed(1, signers=both, rings=(link,)), 0)
        alone = self.desk.submit(make_signed(2, signers=("alice",)), 1)
        self.assertIsInstance(alone, Refused)
        good = self.desk.submit(make_signed(2, signers=both, rings=(link,)), 1)
        self.assertIsInstance(good, Accepted)


class LostAnswerTest(unittest.TestCase):
    def setUp(self):
        self.desk = Desk()
        self.desk.submit(make_signed(1), 0)

    def add_fault(self, effect, times=1, delay=0.0, operation="commit"):
        rule = Rule(effect, operation=operation, times=times, delay=delay)
        self.desk.plan.rules = (*self.desk.plan.rules, rule)

    def test_the_write_took_effect(self):
        self.add_fault(Effect.LOSE_AFTER)
        outcome = self.desk.submit(make_signed(2), 1)
        self.assertIsInstance(outcome, Accepted)
        self.assertEqual(self.desk.core.counts.writes, 2)

    def test_the_write_did_not_take_effect(self):
        self.add_fault(Effect.LOSE_BEFORE)
        self.assertIsInstance(self.desk.submit(make_signed(2), 1), Accepted)
        self.assertEqual(self.desk.current().version, 2)

    def test_the_write_takes_effect_later(self):
        """
        The answer is lost, and a read shows the old row because the write is still in flight.
        "Not accepted" would be false a moment later.  The same conditional write is repeated; only
        one of the two can take effect, and both contain this bundle.
        """
        for delay in (2.0, 2.4, 5.0, 60.0):
            self.desk = Desk()
            self.desk.submit(make_signed(1), 0)
            self.add_fault(Effect.SLOW, delay=delay)
            self.assertIsInstance(self.desk.submit(make_signed(2), 1), Accepted)
            self.assertEqual(self.desk.current().version, 2)
            self.assertEqual(self.desk.core.counts.writes, 2)

    def test_the_table_goes_down_after_a_lost_answer(self):
        """
        The answer is lost and the table can't be read afterwards.  The outcome is uncertain, and
        the operator learns it by submitting the same bundle again.
        """
        self.add_fault(Effect.LOSE_AFTER)
        steps = self.desk.begin(make_signed(2), 1)
        answer = self.desk.perform(next(steps))
        answer = self.desk.perform(steps.send(answer))
        self.add_fault(Effect.DOWN, times=-1, operation="*")
        outcome = None
        try:
            while True:
                answer = self.desk.perform(steps.send(answer))
        except StopIteration as stop:
            outcome = stop.value
        self.assertIsInstance(outcome, Uncertain)
        self.desk.plan.rules = ()
        again = self.desk.submit(make_signed(2), 1)
        self.assertEqual((type(again), again.repeated), (Accepted, True))

    def test_a_lost_answer_and_a_refused_retry_stay_uncertain(self):
        """
        The first write is still in flight when the table refuses the second as unavailable.  That
        refusal says nothing about the first write.
        """
        self.add_fault(Effect.SLOW, delay=50.0)
        self.add_fault(Effect.DOWN, times=-1)
        self.assertIsInstance(self.desk.submit(make_signed(2), 1), Uncertain)
        self.assertEqual(self.desk.current().version, 2)

    def test_table_down_before_the_write(self):
        self.add_fault(Effect.DOWN, times=-1)
        self.assertIsInstance(self.desk.submit(make_signed(2), 1), NotAccepted)
        self.assertEqual(self.desk.current().version, 1)

    def test_accepted_and_superseded_before_reading_back(self):
        """
        The answer is lost, and another operator's version 3 is accepted before the row is read.
        The bundle in force is another one, but this one was accepted.
        """
        self.add_fault(Effect.LOSE_AFTER)
        steps = self.desk.begin(make_signed(2, "mine"), 1)
        answer = self.desk.perform(next(steps))
        answer = self.desk.perform(steps.send(answer))
        self.desk.submit(make_signed(3, "theirs"), 2)
        outcome: Any = None
        try:
            while True:
                answer = self.desk.perform(steps.send(answer))
        except StopIteration as stop:
            outcome = stop.value
        self.assertEqual((type(outcome), outcome.record.version), (Accepted, 2))

    @FUZZ
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(Effect),
                st.sampled_from(["read", "commit"]),
                st.sampled_from([0.5, 2.0, 2.6, 9.0]),
            ),
            max_size=6,
        )
    )
    def test_no_fault_makes_a_false_answer(self, faults):
        """
        Any faults strike one submission.  "Accepted" must be true, "not accepted" must stay true
        after every late write has landed, and only "uncertain" may be either.
        """
        desk = Desk()
        desk.submit(make_signed(1), 0)
        desk.plan.rules = tuple(
            Rule(effect, operation=operation, times=1, delay=delay)
            for effect, operation, delay in faults
        )
        outcome = desk.submit(make_signed(2), 1)
        desk.plan.rules = ()
        version = desk.current().version
        match outcome:
            case Accepted():
                self.assertEqual(version, 2)
            case NotAccepted():
                self.assertEqual(version, 1)
            case other:
                self.assertIsInstance(other, Uncertain)


class RaceTest(unittest.TestCase):
    """
    Operators submit different successors of the same version concurrently.  Exactly one of them is
    accepted, and all others get the winner's name.
    """

    def race(self, count, seed, faults=()):
        desk = Desk()
        desk.submit(make_signed(1), 0)
        desk.plan.rules = faults
        order = random.Random(seed)
        names = [f"operator-{index}" for index in range(count)]
        running = {name: desk.begin(make_signed(2, name), 1, who=name) for name in names}
        answers: dict[str, Any] = dict.fromkeys(names)
        outcomes: dict[str, Any] = {}
        while running:
            name = order.choice(sorted(running))
            try:
                answers[name] = desk.perform(running[name].send(answers[name]))
            except StopIteration as stop:
                outcomes[name] = stop.value
                del running[name]
        return desk, outcomes

    def test_two_to_twenty_operators(self):
        for count in range(2, 21):
            for seed in range(5):
                desk, outcomes = self.race(count, seed)
                winners = [name for name, it in outcomes.items() if isinstance(it, Accepted)]
                self.assertEqual(len(winners), 1)
                self.assertEqual(desk.current().operator, winners[0])
                losers = [it for it in outcomes.values() if isinstance(it, Conflicted)]
                self.assertEqual(len(losers), count - 1)
                self.assertEqual({it.winner.operator for it in losers if it.winner}, set(winners))

    @FUZZ
    @given(
        st.integers(2, 20),
        st.integers(0, 1_000),
        st.lists(st.sampled_from(list(Effect)[2:]), max_size=8),
    )
    def test_with_lost_answers(self, count, seed, effects):
        faults = tuple(Rule(effect, operation="commit", times=1) for effect in effects)
        desk, outcomes = self.race(count, seed, faults)
        winners = [name for name, it in outcomes.items() if isinstance(it, Accepted)]
        self.assertEqual(winners, [desk.current().operator])


if __name__ == "__main__":
    unittest.main()
