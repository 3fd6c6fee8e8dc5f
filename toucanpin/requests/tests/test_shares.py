"""Tests of the shares of slots."""

import unittest

from toucanpin.requests.shares import SlotShares, compute_share

INSTANCES = [f"i{n}" for n in range(35)]


def make_names(count):
    """Name request processes."""
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
        No instance gets more than its eight slots while members come and go at any instants.

        Each process learns of a change at its own instant, up to a second apart, and applies it.
        Were a departed member's slots used at once, it could still be using them itself.
        """
        members = make_names(7)
        changes = [(2.0, members[:6]), (6.0, members), (10.0, members[1:]), (14.0, members[1:5])]
        books = {name: SlotShares(name, 2.0) for name in members}
        for step in range(200):
            now = step * 0.1
            for number, name in enumerate(members):
                seen = [view for at, view in changes if now >= at + number * 0.15]
                books[name].update(seen[-1] if seen else members, now)
            for instance in INSTANCES[:10]:
                total = sum(book.share(instance, 8) for book in books.values())
                self.assertLessEqual(total, 8, f"at {now}")

    def test_waits_for_requests_that_began_on_the_slots_before(self):
        """
        The instance never has more than its eight requests at one time.

        A second process joins; the first learns of it half a second later and has just begun
        requests on all eight slots, of which it owns four from then on.  They may take two seconds.
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

    def test_owns_nothing_after_a_pause_until_settled(self):
        """
        A process that was frozen uses no slot until others had time to take it in again.

        It wakes with its old view, in which it owns slots that the others use by now.
        """
        book = SlotShares("e0/request", 2.0)
        for step in range(40):
            book.update(make_names(2), step * 0.1)
        self.assertEqual(book.share("i0", 8), 4)
        book.update(make_names(2), 60.0)
        self.assertEqual(book.share("i0", 8), 0)
        self.assertFalse(book.owns_any)
        for step in range(1, 25):
            book.update(make_names(2), 60.0 + step * 0.1)
        self.assertEqual(book.share("i0", 8), 4)


if __name__ == "__main__":
    unittest.main()
