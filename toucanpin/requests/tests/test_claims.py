"""Tests of claims and of their deletion, with interleaved request processes."""

import unittest
from contextlib import suppress
from random import Random

from expression import Error, Ok

from toucanpin.platform.ports import (
    ABSENT,
    MAX_TRANSACTION_ROWS,
    Committed,
    Conflict,
    Row,
    Unavailable,
    Unknown,
)
from toucanpin.requests.claims import (
    Commit,
    ReadRow,
    gather_batch,
    insert_claims,
    prepare_claim,
)
from toucanpin.requests.messages import HeldClaim
from toucanpin.requests.sweeps import (
    CLAIM_RETENTION_S,
    VersionAges,
    list_partitions,
    sweep_partition,
)
from toucanpin.verdict import Reason, Verdict


class LossyTable:
    """Table that loses answers at random; a lost write is applied at once, later or never."""

    def __init__(self, rng):
        self.rng = rng
        self.rows = {}
        self.version = 0
        self.delayed = []

    def handle(self, action):
        if self.delayed and self.rng.random() < 0.5:
            self.apply(self.delayed.pop(0))
        if isinstance(action, ReadRow):
            lost = self.rng.random() < 0.2
            return Error(Unavailable("down")) if lost else Ok(self.rows.get(action.key))
        chance = self.rng.random()
        if chance < 0.1:
            return Error(Unavailable("down"))
        if chance < 0.2:
            return Error(Unknown("never"))
        if chance < 0.4:
            self.delayed.append(action.transaction)
            return Error(Unknown("later"))
        result = self.apply(action.transaction)
        return Error(Unknown("done")) if chance < 0.6 else result

    def apply(self, transaction):
        conflicts = [
            self.rows.get(write.key, Row(write.key, ABSENT, b""))
            for write in transaction.writes
            if (self.rows[write.key].version if write.key in self.rows else 0) != write.expected
        ]
        if conflicts:
            return Error(Conflict(tuple(conflicts)))
        self.version += 1
        for write in transaction.writes:
            if write.value is None and not write.check_only:
                del self.rows[write.key]
            elif not write.check_only:
                self.rows[write.key] = Row(write.key, self.version, write.value)
        return Ok(Committed(self.version))


class ReliableTable(LossyTable):
    """Table that answers every request."""

    def handle(self, action):
        return self.apply(action.transaction)


class UnavailableTable(LossyTable):
    """Table that loses every write and whose reads fail."""

    def handle(self, action):
        lost = isinstance(action, Commit)
        return Error(Unknown("lost")) if lost else Error(Unavailable("down"))


def run(table, batch, prefix="t"):
    """Insert the claims of one batch."""
    steps = insert_claims(batch, iter([f"{prefix}{n}" for n in range(9)]).__next__)
    action = next(steps)
    while True:
        try:
            action = steps.send(table.handle(action))
        except StopIteration as end:
            return end.value


class ClaimsTest(unittest.TestCase):
    def test_an_id_is_claimed_by_one_request_at_most(self):
        """
        Two processes claim the same ids, interleaved at random after every request to the table.

        The table loses answers and applies lost writes late; a claim held by both processes would
        let a request run twice.
        """
        for seed in range(3_000):
            rng = Random(seed)
            table = LossyTable(rng)
            batches = [
                tuple(prepare_claim(f"r{n}", f"p{p}:{n}") for n in range(3)) for p in range(2)
            ]
            outcomes = self.interleave(table, batches, rng)
            for number in range(3):
                pair = [outcomes[p][f"p{p}:{number}".encode()] for p in range(2)]
                held = [outcome for outcome in pair if isinstance(outcome, HeldClaim)]
                self.assertLessEqual(len(held), 1, f"seed {seed}: {pair}")

    @staticmethod
    def interleave(table, batches, rng):
        steps = [
            insert_claims(batch, iter([f"{p}.{n}" for n in range(20)]).__next__)
            for p, batch in enumerate(batches)
        ]
        actions = {p: next(step) for p, step in enumerate(steps)}
        outcomes = {}
        while actions:
            p = rng.choice(sorted(actions))
            try:
                actions[p] = steps[p].send(table.handle(actions[p]))
            except StopIteration as end:
                outcomes[p] = end.value
                del actions[p]
        return outcomes

    def test_duplicate_in_a_batch_is_refused_and_the_others_are_claimed(self):
        table = ReliableTable(Random(1))
        run(table, (prepare_claim("r1", "a"),))
        batch = (prepare_claim("r1", "b"), prepare_claim("r2", "c"))
        outcomes = run(table, batch)
        self.assertIs(outcomes[b"b"].reason, Reason.DUPLICATE)
        self.assertIs(outcomes[b"b"].verdict, Verdict.MAY_HAVE_RUN)
        self.assertIsInstance(outcomes[b"c"], HeldClaim)

    def test_claim_with_an_unknown_outcome_is_refused_as_not_run(self):
        table = UnavailableTable(Random(1))
        outcome = run(table, (prepare_claim("r1", "a"),))[b"a"]
        self.assertIs(outcome.verdict, Verdict.NOT_RUN)
        self.assertIs(outcome.reason, Reason.STORE_UNCERTAIN)

    def test_only_expired_claims_are_swept(self):
        """
        Rows whose version was first seen ten minutes ago are deleted, and no others: an id that is
        repeated within ten minutes must be refused as a duplicate.  Age must not depend on wall
        clocks, which may be ahead on the host that sweeps.
        """
        table = ReliableTable(Random(1))
        ages = VersionAges()
        for second in range(0, 2_000, 100):
            run(table, tuple(prepare_claim(f"r{second}.{n}", f"{second}.{n}") for n in range(9)))
            for prefix in list_partitions(("a",), "a"):
                self.sweep(table, prefix, ages, float(second))
        left = {row.value.decode().split(".")[0] for row in table.rows.values()}
        kept = {
            str(second) for second in range(0, 2_000, 100) if 1_900 - second < CLAIM_RETENTION_S
        }
        self.assertEqual(left, kept)

    def test_process_that_just_started_deletes_nothing(self):
        table = ReliableTable(Random(1))
        run(table, (prepare_claim("r", "a"),))
        for prefix in list_partitions(("a",), "a"):
            self.sweep(table, prefix, VersionAges(), 1e9)
        self.assertEqual(len(table.rows), 1)

    def test_each_partition_is_swept_by_one_process(self):
        members = ("a", "b", "c")
        partitions = [set(list_partitions(members, me)) for me in members]
        self.assertEqual(len(set.union(*partitions)), sum(len(each) for each in partitions))
        self.assertEqual(set.union(*partitions), set(list_partitions(("a",), "a")))

    @staticmethod
    def sweep(table, prefix, ages, now):
        steps = sweep_partition(prefix, ages, lambda: now, lambda: "t")
        next(steps)
        reply = Ok(tuple(row for key, row in table.rows.items() if key.startswith(prefix)))
        with suppress(StopIteration):
            while True:
                action = steps.send(reply)
                assert isinstance(action, Commit)
                reply = table.apply(action.transaction)

    def test_batch_is_limited_and_has_each_id_once(self):
        claims = tuple(prepare_claim(f"r{n}", f"{n}") for n in range(MAX_TRANSACTION_ROWS + 9))
        batch, remaining = gather_batch(claims)
        self.assertEqual((len(batch), len(remaining)), (MAX_TRANSACTION_ROWS, 9))
        duplicates = (prepare_claim("r", "a"), prepare_claim("r", "b"))
        self.assertEqual(gather_batch(duplicates), (duplicates[:1], duplicates[1:]))


if __name__ == "__main__":
    unittest.main()
