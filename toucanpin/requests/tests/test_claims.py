"""Tests of claims, with two request processes interleaved at every step."""

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
    BUCKET_SECONDS,
    Commit,
    ReadRow,
    gather_batch,
    prepare_claim,
    settle_claims,
)
from toucanpin.requests.messages import HeldClaim
from toucanpin.requests.sweeps import list_parts, sweep_part
from toucanpin.verdict import Reason, Verdict


class LossyTable:
    """Lose answers at random; a lost write takes effect at once, later or never."""

    def __init__(self, rng):
        self.rng = rng
        self.rows = {}
        self.version = 0
        self.late = []

    def answer(self, action):
        if self.late and self.rng.random() < 0.5:
            self.apply(self.late.pop(0))
        if isinstance(action, ReadRow):
            lost = self.rng.random() < 0.2
            return Error(Unavailable("down")) if lost else Ok(self.rows.get(action.key))
        chance = self.rng.random()
        if chance < 0.1:
            return Error(Unavailable("down"))
        if chance < 0.2:
            return Error(Unknown("never"))
        if chance < 0.4:
            self.late.append(action.transaction)
            return Error(Unknown("later"))
        result = self.apply(action.transaction)
        return Error(Unknown("done")) if chance < 0.6 else result

    def apply(self, transaction):
        wrong = [
            self.rows.get(write.key, Row(write.key, ABSENT, b""))
            for write in transaction.writes
            if (self.rows[write.key].version if write.key in self.rows else 0) != write.expected
        ]
        if wrong:
            return Error(Conflict(tuple(wrong)))
        self.version += 1
        for write in transaction.writes:
            if write.value is None and not write.check_only:
                del self.rows[write.key]
            elif not write.check_only:
                self.rows[write.key] = Row(write.key, self.version, write.value)
        return Ok(Committed(self.version))


class CalmTable(LossyTable):
    """Answer every question."""

    def answer(self, action):
        return self.apply(action.transaction)


class DeafTable(LossyTable):
    """Lose every write, and its reading back too."""

    def answer(self, action):
        lost = isinstance(action, Commit)
        return Error(Unknown("lost")) if lost else Error(Unavailable("down"))


def run(table, batch, prefix="t"):
    """Settle one batch alone."""
    steps = settle_claims(batch, iter([f"{prefix}{n}" for n in range(9)]).__next__)
    action = next(steps)
    while True:
        try:
            action = steps.send(table.answer(action))
        except StopIteration as end:
            return end.value


class ClaimsTest(unittest.TestCase):
    def test_gives_an_id_to_one_request_at_most(self):
        """
        Of two callers with one id, at most one is let through; the other is told the truth.

        Two processes claim overlapping ids, interleaved at random after every question to the
        table, which loses answers and lets lost writes take effect late.
        """
        for seed in range(3_000):
            rng = Random(seed)
            table = LossyTable(rng)
            walls = (BUCKET_SECONDS * 5 + rng.choice((-20.0, -1.0, 1.0, 300.0)) for _ in range(2))
            batches = [
                tuple(prepare_claim(f"r{n}", f"p{p}:{n}", wall) for n in range(3))
                for p, wall in enumerate(walls)
            ]
            outcomes = self.interleave(table, batches, rng)
            for number in range(3):
                pair = [outcomes[p][f"p{p}:{number}".encode()] for p in range(2)]
                held = [outcome for outcome in pair if isinstance(outcome, HeldClaim)]
                self.assertLessEqual(len(held), 1, f"seed {seed}: {pair}")

    @staticmethod
    def interleave(table, batches, rng):
        steps = [
            settle_claims(batch, iter([f"{p}.{n}" for n in range(20)]).__next__)
            for p, batch in enumerate(batches)
        ]
        actions = {p: next(step) for p, step in enumerate(steps)}
        outcomes = {}
        while actions:
            p = rng.choice(sorted(actions))
            try:
                actions[p] = steps[p].send(table.answer(actions[p]))
            except StopIteration as end:
                outcomes[p] = end.value
                del actions[p]
        return outcomes

    def test_refuses_duplicates_and_serves_the_rest_of_a_batch(self):
        table = CalmTable(Random(1))
        run(table, (prepare_claim("r1", "a", 6_100.0),))
        batch = (prepare_claim("r1", "b", 6_700.0), prepare_claim("r2", "c", 6_700.0))
        outcomes = run(table, batch)
        self.assertIs(outcomes[b"b"].reason, Reason.DUPLICATE)
        self.assertIs(outcomes[b"b"].verdict, Verdict.MAY_HAVE_RUN)
        self.assertIsInstance(outcomes[b"c"], HeldClaim)

    def test_refuses_as_not_run_what_stays_uncertain(self):
        table = DeafTable(Random(1))
        outcome = run(table, (prepare_claim("r1", "a", 0.0),))[b"a"]
        self.assertIs(outcome.verdict, Verdict.NOT_RUN)
        self.assertIs(outcome.reason, Reason.STORE_UNCERTAIN)

    def test_sweeps_only_what_no_longer_refuses_duplicates(self):
        table = CalmTable(Random(1))
        for wall in range(0, BUCKET_SECONDS * 8, 100):
            run(table, tuple(prepare_claim(f"r{wall}.{n}", f"{wall}.{n}", wall) for n in range(9)))
        now = BUCKET_SECONDS * 7 + 1.0
        members = ("a", "b", "c")
        parts = [set(list_parts(now, members, me)) for me in members]
        self.assertEqual(len(set.union(*parts)), sum(len(part) for part in parts))
        for prefix in set.union(*parts):
            self.sweep(table, prefix)
        left = {int(key.split("/")[1]) for key in table.rows}
        self.assertEqual(left, {5, 6, 7})

    @staticmethod
    def sweep(table, prefix):
        steps = sweep_part(prefix, lambda: "t")
        next(steps)
        reply = Ok(tuple(row for key, row in table.rows.items() if key.startswith(prefix)))
        with suppress(StopIteration):
            while True:
                action = steps.send(reply)
                assert isinstance(action, Commit)
                reply = table.apply(action.transaction)

    def test_fills_transactions_and_puts_second_claims_off(self):
        claims = tuple(prepare_claim(f"r{n}", f"{n}", 100.0) for n in range(40))
        batch, rest = gather_batch(claims)
        self.assertEqual((len(batch), len(rest)), (31, 9))
        late = tuple(prepare_claim(f"r{n}", f"{n}", 590.0) for n in range(40))
        batch, _ = gather_batch(late)
        self.assertLessEqual(sum(1 + len(c.others) for c in batch), MAX_TRANSACTION_ROWS)
        twins = (prepare_claim("r", "a", 0.0), prepare_claim("r", "b", 0.0))
        self.assertEqual(gather_batch(twins), (twins[:1], twins[1:]))


if __name__ == "__main__":
    unittest.main()
