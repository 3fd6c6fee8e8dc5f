"""Tests of renewals, fences and standstill promises, action by action."""

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
    """Answer a decision's actions in order; return the actions and the decision's result."""
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
    """Return a peer's watch that read the owner's row at instant 0."""
    watch = AuthorityWatch(PEER, TERMS)
    watch.observe([make_row(7, **fields)], 0.0)
    return watch


class RenewalTest(unittest.TestCase):
    """Renewals, lost answers and extensions by promises."""

    def setUp(self):
        """Renew once at instant 0."""
        self.authority = Authority(OWNER, TERMS)
        answer_all(self.authority.renew(0.0, (OWNER, PEER), {}), Ok(Committed(1)))

    def lose_table(self, now, promised, fault=None, roster=(OWNER, PEER)):
        """Renew while the table is unavailable; return the actions."""
        lost = Error(fault or Unavailable("down"))
        actions, _ = answer_all(
            self.authority.renew(now, roster, {}), lost, promised, None, now=now
        )
        return actions

    def test_authority_counts_from_the_start_of_the_renewal(self):
        """Counted from the end of a slow renewal, it would outlast the wait before a takeover."""
        answer_all(self.authority.renew(3.0, (OWNER,), {}), Ok(Committed(2)), now=8.0)
        self.assertEqual(self.authority.until, 12.0)

    def test_promises_of_all_extend_authority(self):
        """The extended term counts from before the question is sent."""
        self.lose_table(3.0, frozenset({PEER}))
        self.assertEqual(self.authority.until, 12.0)

    def test_a_missing_promise_extends_nothing(self):
        """One process that doesn't answer may be about to fence."""
        self.lose_table(3.0, frozenset(), roster=(OWNER, PEER))
        self.assertEqual(self.authority.until, 9.0)

    def test_roster_of_a_lost_renewal_must_promise_too(self):
        """
        The answer of a renewal that names a third process is lost.  If the renewal took effect,
        that process may fence, so it has to promise although the last confirmed roster doesn't name
        it.
        """
        self.lose_table(3.0, frozenset({PEER}), Unknown("lost"), roster=(OWNER, PEER, THIRD))
        self.assertEqual(self.authority.until, 9.0)
        actions = self.lose_table(5.0, frozenset({PEER, THIRD}))
        request = next(it for it in actions if isinstance(it, AskStandstill))
        self.assertEqual(request.peers, (PEER, THIRD))
        self.assertEqual(self.authority.until, 14.0)

    def test_promises_end_with_the_maximum_authority(self):
        """A process on no roster waits only that long, so no chain of promises may outlast it."""
        for now in range(3, 120, 3):
            self.lose_table(float(now), frozenset({PEER}))
        self.assertEqual(self.authority.until, 100.0)

    def test_expired_authority_is_not_restored_by_promises(self):
        """Another process may have fenced the owner after the expiry, before it lost the table."""
        self.lose_table(9.5, frozenset({PEER}))
        self.assertFalse(self.authority.holds(9.6))

    def test_fence_ends_authority(self):
        """The next renewal conflicts with the fence, and nothing is granted from then on."""
        fenced = make_row(5, fenced=True)
        answer_all(
            self.authority.renew(3.0, (OWNER,), {}), Error(Conflict((fenced,))), None, now=3.0
        )
        self.assertFalse(self.authority.holds(3.0))


class WatchTest(unittest.TestCase):
    """Fences of other processes and promises to them."""

    def test_fence_waits_for_the_term_and_drift(self):
        """A change of the row restarts the wait."""
        watch = watch_owner()
        self.assertFalse(watch.may_fence(OWNER, 9.1))
        self.assertTrue(watch.may_fence(OWNER, 9.2))
        watch.observe([make_row(8, renewal=2)], 9.0)
        self.assertFalse(watch.may_fence(OWNER, 9.2))

    def test_only_processes_on_the_roster_fence(self):
        """Others were not asked for a promise and wait for the maximum authority."""
        watch = watch_owner(roster=(OWNER, THIRD))
        self.assertFalse(watch.may_fence(OWNER, 50.0))
        self.assertFalse(watch.has_ended(OWNER, "c", 1, 101.0))
        self.assertTrue(watch.has_ended(OWNER, "c", 1, 102.0))

    def test_promise_is_kept(self):
        """A promise given at 9 s prevents the fence for a term and drift."""
        watch = watch_owner()
        self.assertTrue(watch.answer_standstill(OWNER, 9.0))
        self.assertFalse(watch.may_fence(OWNER, 18.1))
        self.assertTrue(watch.may_fence(OWNER, 18.2))

    def test_process_that_reaches_the_table_promises_nothing(self):
        """An owner without the table must be replaceable while others reach it."""
        watch = watch_owner()
        watch.table_reachable = True
        self.assertFalse(watch.answer_standstill(OWNER, 1.0))

    def test_no_promise_while_a_fence_is_in_flight_or_unanswered(self):
        """
        The owner would rely on a promise that the fence breaks.  A fence whose answer was lost may
        still take effect until the row is read at a new version.
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
        """An owner that has been fenced must not extend its authority."""
        watch = watch_owner()
        answer_all(watch.fence(OWNER, 10.0), Ok(Committed(8)), None, now=10.0)
        self.assertFalse(watch.answer_standstill(OWNER, 10.0))
        self.assertTrue(watch.has_ended(OWNER, "c", 1, 10.0))

    def test_authority_of_ceded_cells_and_released_processes_has_ended(self):
        """A live owner proves the end of its leases by its own row."""
        watch = watch_owner(ceded={"c": 3})
        self.assertTrue(watch.has_ended(OWNER, "c", 3, 1.0))
        self.assertFalse(watch.has_ended(OWNER, "c", 4, 1.0))
        watch = watch_owner(released=True)
        self.assertFalse(watch.has_ended(OWNER, "c", 1, 5.0))
        self.assertTrue(watch.has_ended(OWNER, "c", 1, 5.2))


class GrantTest(unittest.TestCase):
    """Grants of leases."""

    def test_lease_counts_from_the_reported_clock(self):
        """However late the poll arrives, the lease ends one term after the worker's own reading."""
        grant = compute_grant(1_000, 50.0, 90.0, TERMS)
        self.assertEqual(grant.lease_until, 6_000)
        self.assertAlmostEqual(grant.latest_end, 55.1)

    def test_lease_never_outlives_authority(self):
        """This holds on the slowest clock, so a new owner needs no answer from the worker."""
        grant = compute_grant(1_000, 50.0, 52.04, TERMS)
        self.assertLessEqual(grant.lease_until, 3_000)
        self.assertLessEqual(grant.latest_end, 52.04)
        self.assertEqual(compute_grant(1_000, 50.0, 49.0, TERMS), NO_GRANT)


if __name__ == "__main__":
    unittest.main()
