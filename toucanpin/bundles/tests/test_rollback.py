"""Tests that a bundle in force never goes back, on a virtual clock."""

import itertools
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from standins.faults import Effect, Rule
from toucanpin.bundles.actions import OfferStatus, ReplicationTiming, Source
from toucanpin.bundles.record import CURRENT_KEY, encode_record
from toucanpin.bundles.replication import BundleReplica
from toucanpin.bundles.tests.cluster import Cluster
from toucanpin.bundles.tests.fixtures import ROOT, make_record, make_ring, next_ring
from toucanpin.platform.ports import Row

NAMES = tuple(f"h{index}/request" for index in range(6))
FIRST, SECOND, THIRD = NAMES[:3]
LEFT = frozenset(NAMES[:3])
FUZZ = settings(derandomize=True, database=None, deadline=None, max_examples=60)


def row_of(record, version):
    return Row(CURRENT_KEY, version, encode_record(record))


class RollbackTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster(NAMES)
        self.cluster.accept(make_record(1), FIRST)
        self.cluster.run(5)

    def take_down(self):
        self.cluster.plan.rules = (Rule(Effect.DOWN),)

    def restore(self):
        self.cluster.plan.rules = ()

    def versions(self, names=NAMES):
        return [self.cluster.version(name) for name in names]

    def assert_no_way_back(self):
        for process in self.cluster.processes.values():
            versions = [version for _, version in process.history]
            self.assertEqual(versions, sorted(versions), process.name)

    def test_the_table_goes_down_right_after_acceptance(self):
        """
        The commit is the last thing that the table does.  The accepting process alone has the
        bundle, and hands it on; every process has it in force though none can read it.
        """
        self.take_down()
        self.cluster.accept(make_record(2), FIRST)
        self.cluster.run(1)
        self.assertEqual(self.versions(), [2] * 6)

    def test_the_accepting_process_dies_right_after_acceptance(self):
        """
        The commit succeeds and the process is gone before it told anybody.  The others find the
        bundle in the table, and those that can't read it by the others' stamps.
        """
        self.cluster.plan.rules = (Rule(Effect.DOWN, client=THIRD),)
        self.cluster.accept(make_record(2))
        self.cluster.processes.pop(FIRST).dead = True
        self.cluster.run(3)
        self.assertEqual(self.versions(NAMES[1:]), [2] * 5)

    def test_a_restarted_process_starts_no_lower(self):
        """
        A host is replaced after version 2 was accepted.  The fresh process is not ready until it
        knows what is in force, and then it is version 2.
        """
        self.cluster.accept(make_record(2), FIRST)
        self.cluster.run(2)
        self.cluster.start(SECOND)
        self.assertFalse(self.cluster.is_ready(SECOND))
        self.cluster.run(2)
        self.assertEqual(self.versions(), [2] * 6)
        self.assertTrue(self.cluster.is_ready(SECOND))

    def test_a_replaced_host_with_the_table_down_asks_its_peers(self):
        """
        A host is replaced while the table is down.  One peer has missed version 2 and answers
        first; the fresh process waits for the others' stamps and takes version 2.
        """
        self.cluster.freeze(THIRD)
        self.cluster.accept(make_record(2), FIRST)
        self.cluster.run(3)
        self.take_down()
        fresh = self.cluster.start(SECOND)
        self.assertEqual(self.cluster.hand(SECOND, make_record(1)), OfferStatus.KEPT.value)
        self.cluster.run(0.3)
        self.assertFalse(self.cluster.is_ready(SECOND))
        self.cluster.run(4)
        self.assertEqual([version for _, version in fresh.history], [2])
        self.assertTrue(self.cluster.is_ready(SECOND))

    def test_a_replaced_host_that_reaches_nobody_is_never_ready(self):
        self.take_down()
        self.cluster.cut = lambda sender, receiver: SECOND in (sender, receiver)
        self.cluster.start(SECOND)
        self.cluster.run(120)
        self.assertEqual(self.cluster.version(SECOND), 0)
        self.assertFalse(self.cluster.is_ready(SECOND))

    def test_a_stale_peer_takes_nobody_back(self):
        """
        A peer that has missed version 2 hands out version 1: to a process with 2, and to a fresh
        one that has only heard of 2.
        """
        self.cluster.accept(make_record(2), FIRST)
        self.cluster.run(2)
        self.assertEqual(self.cluster.hand(SECOND, make_record(1)), OfferStatus.LOWER.value)
        fresh = BundleReplica("fresh/request", ROOT, ReplicationTiming(), 0.0)
        fresh.receive_heartbeat(2, 0.1, 0.1)
        self.assertIs(fresh.offer(make_record(1), Source.PEER, 0.2).status, OfferStatus.LOWER)
        self.assertEqual(fresh.version, 0)

    def test_a_stale_read_takes_nobody_back(self):
        """
        The table answers from an old copy: with version 1 to a process that has 2, and to a fresh
        one that has heard of 2.  The fresh one must not take the old answer for the truth.
        """
        self.cluster.accept(make_record(2), FIRST)
        self.cluster.run(2)
        stale = (row_of(make_record(1), 1),)
        self.cluster.read_stale(SECOND, stale)
        self.assertEqual(self.cluster.version(SECOND), 2)
        fresh = BundleReplica("fresh/request", ROOT, ReplicationTiming(), 0.0)
        fresh.receive_heartbeat(2, 0.1, 0.1)
        fresh.receive_rows(stale, 0.1, 0.2)
        self.assertEqual(fresh.version, 0)
        self.assertFalse(fresh.readiness(5, 5, 0.3).ready)
        fresh.receive_rows((row_of(make_record(2), 2),), 0.4, 0.5)
        self.assertTrue(fresh.readiness(5, 5, 0.6).ready)

    def test_a_stale_read_confirms_nothing(self):
        """
        A process got version 2 from a peer; an old copy of the table says that nothing changed
        since version 1.  Counting that as a confirmation would let it serve on while it is cut off.
        """
        replica = BundleReplica("a/request", ROOT, ReplicationTiming(), 0.0)
        replica.receive_rows((row_of(make_record(1), 1),), 0.0, 0.1)
        replica.offer(make_record(2), Source.PEER, 0.2)
        replica.receive_rows((), 40.0, 40.0)
        self.assertEqual(replica.confirmed_age(40.0), 40.0)

    def test_a_site_that_was_parted_comes_back_up_not_down(self):
        """
        Half of the hosts are parted from the table and from the rest while version 2 is accepted.
        They stop serving within the bound; on return they take version 2, and nobody takes 1.
        """
        self.cluster.cut = lambda sender, receiver: (sender in LEFT) != (receiver in LEFT)
        self.cluster.plan.rules = tuple(Rule(Effect.DOWN, client=name) for name in LEFT)
        self.cluster.accept(make_record(2), NAMES[4])
        self.cluster.run(60)
        self.assertEqual(self.versions(), [1] * 3 + [2] * 3)
        self.assertEqual([self.cluster.is_ready(name) for name in NAMES], [False] * 3 + [True] * 3)
        self.cluster.cut = lambda sender, receiver: False
        healed = self.cluster.now
        self.cluster.run(6)
        self.restore()
        self.cluster.run(3)
        for name in LEFT:
            served = self.cluster.processes[name].served
            self.assertNotIn(1, [version for at, version in served if at >= healed])
        self.assertEqual(self.versions(), [2] * 6)
        self.assertTrue(all(self.cluster.is_ready(name) for name in NAMES))
        self.assert_no_way_back()

    def test_a_process_frozen_longer_than_every_timeout(self):
        """
        A process is frozen past every bound and misses version 2.  It wakes with old heartbeats in
        its socket that call version 1 fresh.  It must not serve by version 1 on their word.
        """
        self.cluster = Cluster(NAMES, timing=ReplicationTiming(outage_timeout=100.0))
        self.cluster.accept(make_record(1), FIRST)
        self.cluster.run(5)
        self.cluster.freeze(SECOND)
        self.cluster.run(5)
        self.cluster.accept(make_record(2), FIRST)
        self.cluster.run(200)
        process = self.cluster.processes[SECOND]
        process.waiting = process.waiting[:30]
        self.take_down()
        self.cluster.resume(SECOND)
        self.assertFalse(self.cluster.is_ready(SECOND) and self.cluster.version(SECOND) == 1)
        self.cluster.run(2)
        self.assertEqual(self.cluster.version(SECOND), 2)
        self.assert_no_way_back()

    def test_a_process_frozen_for_minutes(self):
        """
        A process is frozen for five minutes and misses version 2.  On waking it believes that all
        the others are there, and the bound for an outage of the table isn't over.  A request that
        it finds in its socket must not be served by version 1.
        """
        self.cluster.freeze(SECOND)
        self.cluster.accept(make_record(2), FIRST)
        self.cluster.run(300)
        process = self.cluster.processes[SECOND]
        process.heard = dict.fromkeys(process.heard, self.cluster.now)
        woken = self.cluster.now
        self.assertEqual(self.cluster.serve(SECOND), 0)
        self.cluster.resume(SECOND)
        self.cluster.run(5)
        self.assertEqual({version for at, version in process.served if at > woken}, {0, 2})

    def test_two_bundles_of_one_version(self):
        """
        A signed bundle that lost its race is pushed by somebody.  Its version and signature are as
        good as the winner's; the one that is here stays, and the table's word corrects.
        """
        self.assertEqual(self.cluster.hand(SECOND, make_record(1, "loser")), "refused")
        replica = BundleReplica("a/request", ROOT, ReplicationTiming(), 0.0)
        replica.offer(make_record(1, "loser"), Source.PEER, 0.1)
        replica.receive_rows((row_of(make_record(1), 1),), 0.1, 0.2)
        assert replica.bundle is not None
        self.assertEqual(replica.bundle.services[0].name, "changeover")

    def test_a_ring_that_was_seen_stays(self):
        """
        Ring 2 revokes alice and is in force.  With her key somebody signs version 3 for the root's
        ring, without ring 2, and pushes it.
        """
        link = next_ring(make_ring(2, revoked=("alice",)), "bob")
        self.cluster.accept(make_record(2, signers=("bob",), rings=(link,)), FIRST)
        self.cluster.run(2)
        self.assertEqual(self.cluster.hand(SECOND, make_record(3)), "refused")
        self.assertEqual(self.cluster.version(SECOND), 2)

    @FUZZ
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(
                    ["accept", "restart", "freeze", "resume", "part", "heal", "down", "up", "old"]
                ),
                st.integers(0, 5),
                st.sampled_from([0.05, 0.4, 3.0, 40.0]),
            ),
            max_size=14,
        )
    )
    def test_no_story_brings_an_older_bundle_back(self, story):
        """
        Acceptances, restarts, freezes, partings, outages and pushes of old bundles in any order.
        In no life of a process a version goes down, and in the end all have the newest.
        """
        self.setUp()
        versions = itertools.count(2)
        newest = 1
        for what, index, seconds in story:
            name = NAMES[index]
            match what:
                case "accept":
                    newest = next(versions)
                    self.cluster.accept(make_record(newest), name)
                case "restart":
                    self.cluster.start(name)
                case "freeze":
                    self.cluster.freeze(name)
                case "resume":
                    self.cluster.resume(name)
                case "part":
                    self.cluster.cut = lambda a, b: (a in LEFT) != (b in LEFT)
                case "heal":
                    self.cluster.cut = lambda a, b: False
                case "down":
                    self.take_down()
                case "up":
                    self.restore()
                case "old":
                    self.cluster.hand(name, make_record(max(1, newest - 1)))
            self.cluster.run(seconds)
            self.assert_no_way_back()
        for name in NAMES:
            self.cluster.resume(name)
        self.cluster.cut = lambda a, b: False
        self.restore()
        self.cluster.run(10)
        self.assert_no_way_back()
        self.assertEqual(self.versions(), [newest] * 6)


class ReadinessTest(unittest.TestCase):
    def setUp(self):
        self.replica = BundleReplica("a/request", ROOT, ReplicationTiming(), 0.0)
        self.replica.receive_rows((row_of(make_record(1), 1),), 0.0, 0.1)

        self.now = 0.1

    def is_ready(self, reached, now):
        """Let a process that is never frozen run until ``now`` and say whether it is ready."""
        while self.now < now - 1.0:
            self.now += 1.0
            self.replica.readiness(reached, 5, self.now)
        self.now = now
        return self.replica.readiness(reached, 5, now).ready

    def test_alone_it_stops_soon_together_it_serves_on_through_an_outage(self):
        """
        With the table out of reach, a process that hears most of the others goes on: the table is
        out, so no bundle can be accepted.  One that hears fewer is cut off, and a newer bundle may
        be in force: it stops after 30 s.
        """
        self.assertTrue(self.is_ready(1, 29.0))
        self.assertFalse(self.is_ready(1, 31.0))
        self.setUp()
        self.assertTrue(self.is_ready(3, 1_800.0))
        self.assertFalse(self.is_ready(3, 2_200.0))

    def test_the_first_others_after_a_time_alone_prove_nothing(self):
        """
        After a minute alone the heartbeats of most others arrive again, none of which knows more.
        The process waits until the stamps of the rest would have come, too.
        """
        self.is_ready(1, 60.0)
        self.replica.note_failed_read(60.0)
        self.assertFalse(self.is_ready(4, 60.5))
        self.assertTrue(self.is_ready(4, 64.0))

    def test_heartbeats_of_before_a_freeze_end_no_doubt(self):
        """
        A process wakes with the table out of reach and reads its socket slowly.  Heartbeats from
        before the freeze call version 1 fresh; their ages are of a time long ago.
        """
        self.is_ready(1, 10.0)
        self.assertFalse(self.replica.readiness(1, 5, 25.0).ready)
        self.now = 25.0
        self.is_ready(1, 26.5)
        self.replica.receive_heartbeat(1, 0.1, 26.5)
        self.assertFalse(self.is_ready(1, 27.0))

    def test_a_higher_stamp_ends_the_patience_of_an_outage(self):
        """After minutes without the table, the stamp of a peer shows that bundles come again."""
        self.assertTrue(self.is_ready(3, 600.0))
        self.replica.receive_heartbeat(2, None, 600.0)
        self.assertFalse(self.is_ready(3, 600.1))

    def test_a_peers_confirmation_counts_with_its_age(self):
        self.is_ready(1, 30.0)
        self.replica.receive_heartbeat(1, 0.5, 30.0)
        self.assertEqual(self.replica.confirmed_age(30.0), 1.5)
        self.assertTrue(self.is_ready(1, 50.0))

    def test_two_that_are_cut_off_do_not_keep_each_other_fresh(self):
        """
        Two parted processes hear each other, slowly.  If each took the other's age as it arrived,
        the delay of every heartbeat would make the confirmation younger, and they would serve an
        old bundle for ever.
        """
        other = BundleReplica("b/request", ROOT, ReplicationTiming(), 0.0)
        other.receive_rows((row_of(make_record(1), 1),), 0.0, 0.1)
        now = 0.1
        while now < 60:
            self.is_ready(1, now)
            for sender, receiver in ((self.replica, other), (other, self.replica)):
                age = sender.confirmed_age(now)
                now += 0.5
                receiver.receive_heartbeat(1, age, now)
        self.assertFalse(self.is_ready(1, now + 0.5))

    def test_behind_it_stops_after_the_time_to_catch_up(self):
        self.replica.receive_heartbeat(2, None, 1.0)
        self.assertTrue(self.is_ready(5, 2.0))
        self.assertFalse(self.is_ready(5, 7.0))
        self.replica.offer(make_record(2), Source.PEER, 7.5)
        self.assertTrue(self.is_ready(5, 7.6))

    def test_without_any_bundle(self):
        fresh = BundleReplica("a/request", ROOT, ReplicationTiming(), 0.0)
        self.assertIn("isn't known", fresh.readiness(5, 5, 0.1).reason)
        fresh.receive_rows((), 0.1, 0.2)
        self.assertIn("no bundle", fresh.readiness(5, 5, 0.3).reason)


if __name__ == "__main__":
    unittest.main()
