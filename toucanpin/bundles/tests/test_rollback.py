"""Tests that the version in force never decreases, on a virtual clock."""

import itertools
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from standins.faults import Effect, Rule
from toucanpin.bundles.actions import OfferStatus, ReplicationTiming, Source
from toucanpin.bundles.record import CURRENT_KEY, encode_record
from toucanpin.bundles.replication import BundleReplica
from toucanpin.bundles.tests.cluster import Cluster
from toucanpin.bundles.tests.fixtures import ROOT, make_record, make_ring, make_signed_ring
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
        The table fails right after the commit.  Only the accepting process has the bundle; it must
        push it to the others, which can't read it.
        """
        self.take_down()
        self.cluster.accept(make_record(2), FIRST)
        self.cluster.run(1)
        self.assertEqual(self.versions(), [2] * 6)

    def test_the_accepting_process_dies_right_after_acceptance(self):
        """
        The process stops after the commit, before it pushed the bundle.  The others find it in the
        table or, if they can't read that, through the heartbeats of their peers.
        """
        self.cluster.plan.rules = (Rule(Effect.DOWN, client=THIRD),)
        self.cluster.accept(make_record(2))
        self.cluster.processes.pop(FIRST).dead = True
        self.cluster.run(3)
        self.assertEqual(self.versions(NAMES[1:]), [2] * 5)

    def test_restarted_process_starts_at_the_version_in_force(self):
        """
        A process restarts after version 2 was accepted.  It must not be ready before it knows the
        bundle in force, which is version 2.
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
        A host is replaced while the table is down.  The first peer to answer lacks version 2;
        the new process must wait for the heartbeats of the others and apply version 2.
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

    def test_outdated_peer_causes_no_rollback(self):
        """
        A peer that has missed version 2 pushes version 1 to a process with version 2, and to a new
        one that knows of version 2 from a heartbeat only.
        """
        self.cluster.accept(make_record(2), FIRST)
        self.cluster.run(2)
        self.assertEqual(self.cluster.hand(SECOND, make_record(1)), OfferStatus.LOWER.value)
        fresh = BundleReplica("fresh/request", ROOT, ReplicationTiming(), 0.0)
        fresh.receive_heartbeat(2, 0.1, 0.1)
        self.assertIs(fresh.offer(make_record(1), Source.PEER, 0.2).status, OfferStatus.LOWER)
        self.assertEqual(fresh.version, 0)

    def test_outdated_read_causes_no_rollback(self):
        """
        The table answers with version 1, from an outdated copy, to a process with version 2 and to
        a new one that knows of version 2 from a heartbeat only.  Neither may apply version 1.
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

    def test_outdated_read_confirms_nothing(self):
        """
        A process has version 2 from a peer; an outdated copy of the table reports no change since
        version 1.  As a confirmation it would let the process keep serving while it is isolated.
        """
        replica = BundleReplica("a/request", ROOT, ReplicationTiming(), 0.0)
        replica.receive_rows((row_of(make_record(1), 1),), 0.0, 0.1)
        replica.offer(make_record(2), Source.PEER, 0.2)
        replica.receive_rows((), 40.0, 40.0)
        self.assertEqual(replica.confirmed_age(40.0), 40.0)

    def test_partitioned_site_returns_to_the_newest_version(self):
        """
        Half of the hosts are partitioned from the table and the other hosts while version 2 is
        accepted.  They must stop serving, apply version 2 afterwards and never serve version 1.
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
        A process misses version 2 while it is frozen for longer than every timeout.  Its socket
        still contains heartbeats that confirm version 1, which it must not serve.
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
        A process misses version 2 while it is frozen for five minutes, less than the outage
        timeout.  Its outdated membership view shows all others as reachable, but it must not serve
        a waiting request with version 1.
        """
        self.cluster.freeze(SECOND)
        self.cluster.accept(make_record(2), FIRST)
        self.cluster.run(300)
        process = self.cluster.processes[SECOND]
        process.heartbeat_at = dict.fromkeys(process.heartbeat_at, self.cluster.now)
        woken = self.cluster.now
        self.assertEqual(self.cluster.serve(SECOND), 0)
        self.cluster.resume(SECOND)
        self.cluster.run(5)
        self.assertEqual({version for at, version in process.served if at > woken}, {0, 2})

    def test_two_bundles_of_one_version(self):
        """
        A signed bundle that lost the race for its version is pushed by a peer.  It must not replace
        the accepted one, and the table replaces it where it arrived first.
        """
        self.assertEqual(self.cluster.hand(SECOND, make_record(1, "loser")), "refused")
        replica = BundleReplica("a/request", ROOT, ReplicationTiming(), 0.0)
        replica.offer(make_record(1, "loser"), Source.PEER, 0.1)
        replica.receive_rows((row_of(make_record(1), 1),), 0.1, 0.2)
        assert replica.bundle is not None
        self.assertEqual(replica.bundle.services[0].name, "changeover")

    def test_bundle_without_the_newest_ring_is_refused(self):
        """
        Ring 2 revokes alice and is in force.  Version 3 is signed with her key under the root ring,
        without ring 2, and pushed.
        """
        link = make_signed_ring(make_ring(2, revoked=("alice",)), "bob")
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
        """Return whether a process that is called every second is ready at ``now``."""
        while self.now < now - 1.0:
            self.now += 1.0
            self.replica.readiness(reached, 5, self.now)
        self.now = now
        return self.replica.readiness(reached, 5, now).ready

    def test_isolated_process_stops_before_one_in_an_outage(self):
        """
        Without the table, a process that reaches a majority keeps serving, since no bundle can be
        accepted in an outage of the table.  One that reaches fewer is isolated, a newer bundle may
        be in force, and it stops after 30 s.
        """
        self.assertTrue(self.is_ready(1, 29.0))
        self.assertFalse(self.is_ready(1, 31.0))
        self.setUp()
        self.assertTrue(self.is_ready(3, 1_800.0))
        self.assertFalse(self.is_ready(3, 2_200.0))

    def test_readiness_waits_for_all_peers_after_isolation(self):
        """
        After a minute of isolation, heartbeats of a majority arrive, without a newer version.  The
        process must wait until the heartbeats of the remaining peers would have arrived.
        """
        self.is_ready(1, 60.0)
        self.replica.record_failed_read(60.0)
        self.assertFalse(self.is_ready(4, 60.5))
        self.assertTrue(self.is_ready(4, 64.0))

    def test_heartbeats_from_before_a_freeze_are_ignored(self):
        """
        After a freeze the table is unreachable, and the process slowly reads heartbeats that were
        sent before the freeze.  Their confirmations of version 1 are outdated.
        """
        self.is_ready(1, 10.0)
        self.assertFalse(self.replica.readiness(1, 5, 25.0).ready)
        self.now = 25.0
        self.is_ready(1, 26.5)
        self.replica.receive_heartbeat(1, 0.1, 26.5)
        self.assertFalse(self.is_ready(1, 27.0))

    def test_higher_version_ends_the_outage_timeout(self):
        """In an outage of the table, a heartbeat with a higher version shows that it has ended."""
        self.assertTrue(self.is_ready(3, 600.0))
        self.replica.receive_heartbeat(2, None, 600.0)
        self.assertFalse(self.is_ready(3, 600.1))

    def test_confirmation_from_a_peer_counts_with_its_age(self):
        self.is_ready(1, 30.0)
        self.replica.receive_heartbeat(1, 0.5, 30.0)
        self.assertEqual(self.replica.confirmed_age(30.0), 1.5)
        self.assertTrue(self.is_ready(1, 50.0))

    def test_isolated_peers_do_not_renew_each_others_confirmation(self):
        """
        Two isolated processes exchange delayed heartbeats.  If each adopted the other's age as it
        is, every delay would shorten the age of the confirmation, and they would serve an outdated
        bundle indefinitely.
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

    def test_outdated_process_stops_after_the_catch_up_time(self):
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
