"""Tests of authority: renewal, fences and standstill promises, action by action."""

import unittest

from expression import Error, Ok

from toucanpin.placement.actions import Answer, AskStandstill, Commit
from toucanpin.placement.authority import Authority, AuthorityWatch
from toucanpin.placement.leases import NO_GRANT, LeaseTerms, compute_grant
from toucanpin.placement.records import AuthorityRow, ControllerId, authority_key, encode
from toucanpin.platform.ports import Committed, Conflict, Row, Unavailable, Unknown

TERMS = LeaseTerms(lease=5, authority=9, drift=0.02, max_authority=100)
OWNER, PEER, THIRD = ControllerId("a", 1), ControllerId("b", 1), ControllerId("c", 1)


def answer_all(decision, *values, now=0.0):
    """Answer a decision's actions in turn; return the actions and the decision's value."""
    actions = []
    answers = iter(values)
    try:
        action = next(decision)
        while True:
            actions.append(action)
            action = decision.send(Answer(now, next(answers)))
    except StopIteration as stop:
        return actions, stop.value


def make_row(version: int, **fields) -> Row:
    """Return the owner's row as read from the table."""
    row = AuthorityRow(
        OWNER, fields.pop("renewal", 1), fields.pop("roster", (OWNER, PEER)), **fields
    )
    return Row(authority_key(OWNER), version, encode(row))


def watch_owner(**fields) -> AuthorityWatch:
    """Return a peer's watch that saw the owner's row at instant 0."""
    watch = AuthorityWatch(PEER, TERMS)
    watch.observe([make_row(7, **fields)], 0.0)
    return watch


class RenewalTest(unittest.TestCase):
    """Renew, lose answers and go on by promises."""

    def setUp(self):
        """Renew once at instant 0."""
        self.authority = Authority(OWNER, TERMS)
        answer_all(self.authority.renew(0.0, (OWNER, PEER), {}), Ok(Committed(1)))

    def lose_table(self, now, promised, fault=None, roster=(OWNER, PEER)):
        """Renew without the table; return what was asked."""
        lost = Error(fault or Unavailable("down"))
        actions, _ = answer_all(
            self.authority.renew(now, roster, {}), lost, promised, None, now=now
        )
        return actions

    def test_authority_counts_from_the_start_of_the_renewal(self):
        """Counted from the end of a slow renewal, it would outlast the wait of a taker."""
        answer_all(self.authority.renew(3.0, (OWNER,), {}), Ok(Committed(2)), now=8.0)
        self.assertEqual(self.authority.until, 12.0)

    def test_promises_of_all_extend_authority(self):
        """With every promise the term counts from before the question."""
        self.lose_table(3.0, frozenset({PEER}))
        self.assertEqual(self.authority.until, 12.0)

    def test_a_missing_promise_extends_nothing(self):
        """One life that doesn't answer may be about to fence."""
        self.lose_table(3.0, frozenset(), roster=(OWNER, PEER))
        self.assertEqual(self.authority.until, 9.0)

    def test_roster_of_a_lost_renewal_must_promise_too(self):
        """
        The owner loses the answer of a renewal that names a third life.  If it took effect, that
        life may fence, so it has to promise although the last certain roster doesn't name it.
        """
        self.lose_table(3.0, frozenset({PEER}), Unknown("lost"), roster=(OWNER, PEER, THIRD))
        self.assertEqual(self.authority.until, 9.0)
        actions = self.lose_table(5.0, frozenset({PEER, THIRD}))
        asked = next(it for it in actions if isinstance(it, AskStandstill))
        self.assertEqual(asked.peers, (PEER, THIRD))
        self.assertEqual(self.authority.until, 14.0)

    def test_promises_end_with_the_long_hold(self):
        """Who is on no roster waits the long hold only, so no chain of promises outlives it."""
        for now in range(3, 120, 3):
            self.lose_table(float(now), frozenset({PEER}))
        self.assertEqual(self.authority.until, 100.0)

    def test_lapsed_authority_is_not_taken_up_by_promises(self):
        """Between the lapse and the question somebody may have fenced and lost the table since."""
        self.lose_table(9.5, frozenset({PEER}))
        self.assertFalse(self.authority.holds(9.6))

    def test_fence_ends_authority(self):
        """The conflict of the next renewal shows the fence; nothing is granted from then on."""
        fenced = make_row(5, fenced=True)
        answer_all(
            self.authority.renew(3.0, (OWNER,), {}), Error(Conflict((fenced,))), None, now=3.0
        )
        self.assertFalse(self.authority.holds(3.0))


class WatchTest(unittest.TestCase):
    """Fence and promise."""

    def test_fence_waits_for_the_term_and_drift(self):
        """A row that changes meanwhile starts the wait anew."""
        watch = watch_owner()
        self.assertFalse(watch.may_fence(OWNER, 9.1))
        self.assertTrue(watch.may_fence(OWNER, 9.2))
        watch.observe([make_row(8, renewal=2)], 9.0)
        self.assertFalse(watch.may_fence(OWNER, 9.2))

    def test_only_lives_on_the_roster_fence(self):
        """Others weren't asked for a promise; they wait the long hold."""
        watch = watch_owner(roster=(OWNER, THIRD))
        self.assertFalse(watch.may_fence(OWNER, 50.0))
        self.assertFalse(watch.has_ended(OWNER, "c", 1, 101.0))
        self.assertTrue(watch.has_ended(OWNER, "c", 1, 102.0))

    def test_promise_is_kept(self):
        """A promise given at 9 s bars the fence for a term and drift."""
        watch = watch_owner()
        self.assertTrue(watch.answer_standstill(OWNER, 9.0))
        self.assertFalse(watch.may_fence(OWNER, 18.1))
        self.assertTrue(watch.may_fence(OWNER, 18.2))

    def test_who_reads_the_table_promises_nothing(self):
        """A cut-off owner must give way if others can read the table."""
        watch = watch_owner()
        watch.table_reachable = True
        self.assertFalse(watch.answer_standstill(OWNER, 1.0))

    def test_no_promise_while_a_fence_is_under_way_or_lost(self):
        """
        The owner would go on by a promise that a fence already broke.  The fence may be in flight,
        or its answer lost: then it may still take effect, until the row is seen at a new version.
        """
        watch = watch_owner()
        decision = watch.fence(OWNER, 10.0)
        self.assertIsInstance(next(decision), Commit)
        self.assertFalse(watch.answer_standstill(OWNER, 10.0))
        with self.assertRaises(StopIteration):
            decision.send(Answer(11.0, Error(Unknown("lost"))))
        self.assertFalse(watch.answer_standstill(OWNER, 11.0))
        watch.observe([make_row(9, renewal=2)], 12.0)
        self.assertTrue(watch.answer_standstill(OWNER, 12.0))

    def test_no_promise_after_a_fence(self):
        """A fenced owner isn't told otherwise."""
        watch = watch_owner()
        answer_all(watch.fence(OWNER, 10.0), Ok(Committed(8)), None, now=10.0)
        self.assertFalse(watch.answer_standstill(OWNER, 10.0))
        self.assertTrue(watch.has_ended(OWNER, "c", 1, 10.0))

    def test_ceded_cells_and_released_lives_have_ended(self):
        """An owner that lives on proves the end of its leases by its own row."""
        watch = watch_owner(ceded={"c": 3})
        self.assertTrue(watch.has_ended(OWNER, "c", 3, 1.0))
        self.assertFalse(watch.has_ended(OWNER, "c", 4, 1.0))
        watch = watch_owner(released=True)
        self.assertFalse(watch.has_ended(OWNER, "c", 1, 5.0))
        self.assertTrue(watch.has_ended(OWNER, "c", 1, 5.2))


class GrantTest(unittest.TestCase):
    """Compute leases."""

    def test_lease_counts_from_the_reported_clock(self):
        """However late the poll arrives, the lease ends a term after the worker's own reading."""
        grant = compute_grant(1_000, 50.0, 90.0, TERMS)
        self.assertEqual(grant.lease_until, 6_000)
        self.assertAlmostEqual(grant.latest_end, 55.1)

    def test_lease_never_outlives_authority(self):
        """By the slowest clock too, so a taker that waited needs no word from the worker."""
        grant = compute_grant(1_000, 50.0, 52.04, TERMS)
        self.assertLessEqual(grant.lease_until, 3_000)
        self.assertLessEqual(grant.latest_end, 52.04)
        self.assertEqual(compute_grant(1_000, 50.0, 49.0, TERMS), NO_GRANT)


if __name__ == "__main__":
    unittest.main()
