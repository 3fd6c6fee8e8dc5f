"""Tests of the membership view on a virtual clock."""

import dataclasses
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from toucanpin.membership.beat import Beat, ChangeKind, Record, Timing
from toucanpin.membership.member import Standing
from toucanpin.membership.tests.mesh import Mesh, make_member
from toucanpin.membership.view import View

A, B, C, D = "a/request", "b/request", "c/request", "d/request"
FUZZ = settings(derandomize=True, database=None, deadline=None, max_examples=200)


def build_mesh(names=(A, B, C)):
    mesh = Mesh()
    for index, name in enumerate(names):
        mesh.add(make_member(name, 10 + index, 7_000 + index))
    mesh.run(4)
    return mesh


class ViewTest(unittest.TestCase):
    def test_all_find_each_other_through_one_seed(self):
        mesh = build_mesh((A, B, C, D))
        for name in (A, B, C, D):
            self.assertEqual(mesh.list_alive(name), {A, B, C, D})

    def test_a_silent_member_is_suspected_before_it_is_removed(self):
        mesh = build_mesh()
        del mesh.views[C]
        mesh.run(3)
        self.assertIs(mesh.get_standing(A, C), Standing.SUSPECT)
        mesh.run(6)
        self.assertIs(mesh.get_standing(A, C), Standing.GONE)

    def test_leaving_is_announced_at_once_and_is_final(self):
        """
        A process announces that it leaves, and heartbeats that it sent before arrive afterwards.

        It must not be considered alive again, or new work would be sent to it.
        """
        mesh = build_mesh()
        late = mesh.make_beat(C)
        mesh.views[C].leave()
        mesh.run(1)
        self.assertIs(mesh.get_standing(A, C), Standing.LEAVING)
        mesh.views[A].receive(late, mesh.now)
        again = dataclasses.replace(late.sender, sequence=10_000)
        mesh.views[A].receive(Beat(again, late.digest), mesh.now)
        self.assertIs(mesh.get_standing(A, C), Standing.LEAVING)
        self.assertEqual(mesh.views[A].count_reachable(), (1, 1))

    def test_a_one_way_partition_removes_no_member(self):
        """
        Heartbeats from B to A are lost, all others are delivered.

        A suspects B, but relayed records show that C still receives its heartbeats.  If A removed
        B, it would take over work that B is still doing.
        """
        mesh = build_mesh()
        mesh.cut = lambda sender, receiver: (sender, receiver) == (B, A)
        mesh.run(60)
        self.assertIs(mesh.get_standing(A, B), Standing.SUSPECT)
        self.assertIs(mesh.get_standing(C, B), Standing.ALIVE)
        mesh.cut = lambda sender, receiver: False
        mesh.run(1)
        self.assertIs(mesh.get_standing(A, B), Standing.ALIVE)

    def test_a_process_frozen_longer_than_every_timeout(self):
        """
        B is frozen for ten minutes, and the others remove it.

        It resumes with a socket full of old heartbeats and a view in which all members were silent
        for ten minutes.  It must not remove them, and must return as a new incarnation.
        """
        mesh = build_mesh()
        before = mesh.views[B].own.incarnation
        mesh.freeze(B)
        mesh.run(600)
        self.assertIs(mesh.get_standing(A, B), Standing.GONE)
        mesh.resume(B)
        mesh.run(3)
        self.assertGreater(mesh.views[B].own.incarnation, before)
        for name in (A, B, C):
            self.assertEqual(mesh.list_alive(name), {A, B, C})
        lost = [c for c in mesh.changes[B] if c.kind in (ChangeKind.GONE, ChangeKind.SUSPECTED)]
        self.assertEqual(lost, [])

    def test_a_removed_incarnation_does_not_return(self):
        """
        A heartbeat of B's removed incarnation arrives, with a higher sequence number than before.

        B stays removed until it answers as a new incarnation.
        """
        mesh = build_mesh()
        beat = mesh.make_beat(B)
        del mesh.views[B]
        mesh.run(10)
        newer = dataclasses.replace(beat.sender, sequence=beat.sender.sequence + 1_000)
        mesh.views[A].receive(Beat(newer, beat.digest), mesh.now)
        self.assertIs(mesh.get_standing(A, B), Standing.GONE)
        self.assertTrue(mesh.views[A].needs_answer(Beat(newer, beat.digest), mesh.now))
        answered = [r.member.standing for r in mesh.views[A].list_answers(B) if r.member.name == B]
        self.assertEqual(answered, [Standing.GONE])

    def test_a_replaced_host_of_the_same_name_and_address(self):
        """
        B's host is replaced by one of the same name and address whose clock is behind.

        Its incarnation starts lower than the old one, so it is sent the old record and takes a
        higher incarnation.  Heartbeats of the old host have no effect afterwards.
        """
        mesh = build_mesh()
        old = mesh.make_beat(B)
        mesh.add(make_member(B, 3, 7_001))
        mesh.run(5)
        self.assertGreater(mesh.views[B].own.incarnation, 11)
        self.assertEqual(mesh.list_alive(A), {A, B, C})
        current = [m for m in mesh.views[A].members() if m.name == B]
        mesh.views[A].receive(old, mesh.now)
        self.assertEqual([m for m in mesh.views[A].members() if m.name == B], current)

    def test_a_replaced_host_of_another_name_at_the_address(self):
        """
        B's host is replaced by one named D at B's address.

        B must not be counted until its timeout: its share of the slots would be idle, and calls to
        it would reach D.
        """
        mesh = build_mesh()
        del mesh.views[B]
        mesh.add(make_member(D, 50, 7_001))
        mesh.run(1)
        self.assertIs(mesh.get_standing(A, B), Standing.GONE)
        self.assertIs(mesh.get_standing(A, D), Standing.ALIVE)
        self.assertEqual(mesh.views[A].count_reachable()[1], 2)

    def test_two_sites_find_each_other_after_a_partition(self):
        """
        Two sites of two hosts are partitioned for ten minutes, and each removes the other.

        When the link is back, only heartbeats to gone members reach the other side.
        """
        mesh = build_mesh((A, B, C, D))
        left = {A, B}
        mesh.cut = lambda sender, receiver: (sender in left) != (receiver in left)
        mesh.run(600)
        self.assertEqual((mesh.list_alive(A), mesh.list_alive(C)), ({A, B}, {C, D}))
        self.assertEqual(mesh.views[A].count_reachable(), (1, 3))
        mesh.cut = lambda sender, receiver: False
        mesh.run(8)
        for name in (A, B, C, D):
            self.assertEqual(mesh.list_alive(name), {A, B, C, D})

    def test_a_replayed_heartbeat_keeps_no_member_alive(self):
        """
        Captured heartbeats of a dead process are replayed; it must be removed nevertheless.
        """
        mesh = build_mesh()
        captured = mesh.make_beat(C)
        mesh.views[A].receive(captured, mesh.now)
        del mesh.views[C]
        for _ in range(40):
            mesh.run(0.5)
            mesh.views[A].receive(captured, mesh.now)
        self.assertIs(mesh.get_standing(A, C), Standing.GONE)

    def test_replaced_hosts_do_not_count_as_lost(self):
        """
        Two of four hosts are removed, and the platform's list no longer contains them.

        The remaining processes reach all members that exist.  If they counted the removed ones as
        lost, they would mistake an outage of the table for their own isolation.
        """
        mesh = build_mesh((A, B, C, D))
        del mesh.views[C], mesh.views[D]
        mesh.run(10)
        view = mesh.views[A]
        self.assertEqual(view.count_reachable(), (1, 3))
        for listed in ({"x"}, {"a", "b", "c", "d"}):
            view.mark_delisted(frozenset(listed))
            self.assertEqual(view.count_reachable(), (1, 3))
        view.mark_delisted(frozenset({"a"}))
        self.assertEqual(view.count_reachable(), (1, 1))

    def test_answers_are_limited_in_each_interval(self):
        view = View(make_member(A, 1, 7_000), Timing(), 0.0)
        owed = 0
        for index in range(50):
            beat = Beat(Record(make_member(f"x{index}/request", 1, 8_000 + index), 1), index)
            view.receive(beat, 0.1)
            owed += view.needs_answer(beat, 0.1)
        self.assertLessEqual(owed, 2)


OLDER = st.builds(
    lambda incarnation, sequence, standing: Record(
        dataclasses.replace(make_member(B, incarnation, 7_001), standing=standing), sequence
    ),
    st.integers(1, 19),
    st.integers(0, 10_000),
    st.sampled_from(Standing),
)


class StaleRecordTest(unittest.TestCase):
    @FUZZ
    @given(st.lists(st.tuples(OLDER, st.booleans()), max_size=12))
    def test_no_record_of_an_older_incarnation_changes_a_newer_one(self, records):
        """
        B runs as incarnation 20.  Records and heartbeats of earlier incarnations, suspect, leaving
        or gone, arrive in any order, from B's old socket and from other members.
        """
        mesh = Mesh()
        view = mesh.add(make_member(A, 1, 7_000))
        alive = Beat(Record(make_member(B, 20, 7_001), 5), 0)
        view.receive(alive, mesh.now)
        before = view.members()
        for index, (record, direct) in enumerate(records):
            relay = Record(make_member(C, 1, 7_002), index + 1)
            beat = Beat(record, 0) if direct else Beat(relay, 0, (record,))
            view.receive(beat, mesh.now)
        self.assertEqual(view.members()[1], before[1])

    @FUZZ
    @given(st.permutations(list(range(6))))
    def test_the_newest_incarnation_wins_in_any_order_of_arrival(self, order):
        """Heartbeats of three incarnations of B arrive in any order; the newest one remains."""
        mesh = Mesh()
        view = mesh.add(make_member(A, 1, 7_000))
        records = [
            Record(dataclasses.replace(make_member(B, number, 7_001), bundle=number), sequence)
            for number in (1, 2, 3)
            for sequence in (1, 2)
        ]
        for index in order:
            view.receive(Beat(records[index], 0), mesh.now)
        self.assertEqual(view.members()[1].incarnation, 3)
        self.assertEqual(view.members()[1].bundle, 3)


if __name__ == "__main__":
    unittest.main()
