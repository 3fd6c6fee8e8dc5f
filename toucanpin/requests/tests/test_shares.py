"""Tests of shares of slots."""

import unittest

from toucanpin.requests.shares import SlotShares, compute_share

INSTANCES = [f"i{n}" for n in range(35)]


def make_names(count):
    """Return names of request processes."""
    return tuple(f"e{n}/request" for n in range(count))


class ShareTest(unittest.TestCase):
    def test_adds_up_to_the_slots_under_one_view(self):
        for count in (1, 2, 6, 8, 9, 20):
            members = make_names(count)
            for total in (1, 8, 64):
                for instance in INSTANCES:
                    shares = [compute_share(instance, total, members, me) for me in members]
                    self.assertEqual(sum(shares), total)
                    self.assertLessEqual(max(shares) - min(shares), 1)

    def test_never_gives_out_a_slot_twice_while_views_change(self):
        """
        Members join and leave, and each process learns of it up to a second after the others.

        If a departed member's slots were used at once, it could still be using them itself, and an
        instance would get more requests than its eight slots.
        """
        members = make_names(7)
        changes = [(2.0, members[:6]), (6.0, members), (10.0, members[1:]), (14.0, members[1:5])]
        shares_by_member = {name: SlotShares(name, 2.0) for name in members}
        for step in range(200):
            now = step * 0.1
            for number, name in enumerate(members):
                seen = [view for at, view in changes if now >= at + number * 0.15]
                shares_by_member[name].update(seen[-1] if seen else members, now)
            for instance in INSTANCES[:10]:
                total = sum(each.share(instance, 8) for each in shares_by_member.values())
                self.assertLessEqual(total, 8, f"at {now}")

    def test_slots_are_not_used_before_earlier_requests_on_them_end(self):
        """
        The first process starts requests on all eight slots just before it learns of the second.

        It owns four of the slots from then on, but the requests may take two more seconds; the
        instance must not get more than eight at one time.
        """
        old, new = (SlotShares(name, 1.0) for name in make_names(2))
        hold = 1.0 + 2.0
        for step in range(100):
            old.update(make_names(1), step * 0.1)
        self.assertEqual(old.share("i0", 8, hold), 8)
        for step in range(100, 150):
            now = step * 0.1
            old.update(make_names(1 if now < 10.5 else 2), now)
            new.update(make_names(2), now)
            in_flight = 8 if now < 10.4 + 2.0 else old.share("i0", 8, hold)
            self.assertLessEqual(in_flight + new.share("i0", 8, hold), 8, f"at {now}")
        self.assertEqual(old.share("i0", 8, hold) + new.share("i0", 8, hold), 8)

    def test_owns_nothing_after_a_pause_until_the_hold_time_has_passed(self):
        """
        A process resumes after a pause with its old view, in which it owns slots.

        The others may be using these slots by now, and need time to learn of its return.
        """
        slot_shares = SlotShares("e0/request", 2.0)
        for step in range(40):
            slot_shares.update(make_names(2), step * 0.1)
        self.assertEqual(slot_shares.share("i0", 8), 4)
        slot_shares.update(make_names(2), 60.0)
        self.assertEqual(slot_shares.share("i0", 8), 0)
        self.assertFalse(slot_shares.owns_any)
        for step in range(1, 25):
            slot_shares.update(make_names(2), 60.0 + step * 0.1)
        self.assertEqual(slot_shares.share("i0", 8), 4)


if __name__ == "__main__":
    unittest.main()
