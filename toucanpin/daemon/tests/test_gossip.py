"""Tests of heartbeats over sockets."""

import itertools
import os
import unittest

from toucanpin.daemon.gossip import Gossip
from toucanpin.daemon.tests.bundle_nodes import KEYS, TEST_TIMEOUT_S, wait_until
from toucanpin.membership.beat import Timing
from toucanpin.membership.member import Member, Standing

PORT = 17_948
FAST = Timing(interval=0.05)

_networks = itertools.count(1)


class GossipTest(unittest.TestCase):
    def setUp(self):
        self.network = f"127.{64 + os.getpid() % 128}.{250 + next(_networks) % 5}"

    def start(self, index, name, keys=KEYS):
        own = Member(
            f"{name}/request", name, "malaga", "request", 100, f"{self.network}.{index + 1}", PORT
        )
        gossip = Gossip(own, "swan", ((f"{self.network}.1", PORT),), keys, FAST)
        gossip.start()
        self.addCleanup(gossip.stop, TEST_TIMEOUT_S)
        return gossip

    def assert_soon(self, condition):
        self.assertTrue(wait_until(condition))

    def test_many_members_of_long_names_find_each_other(self):
        """
        Names of 63 letters make a datagram of eight records larger than allowed.  They are sent in
        parts; before, the thread of the heartbeats ended and the process went silent.
        """
        all_of_them = [self.start(index, f"{index}{'x' * 62}") for index in range(12)]
        self.assert_soon(lambda: all(len(each.members()) == 12 for each in all_of_them))

    def test_leaving_is_told(self):
        first, second = self.start(0, "a"), self.start(1, "b")
        self.assert_soon(lambda: len(first.members()) == 2)
        second.stop(TEST_TIMEOUT_S)
        self.assert_soon(lambda: first.members()[1].standing is Standing.LEAVING)

    def test_a_failing_listener_does_not_silence_the_process(self):
        """A part that listens to heartbeats raises; the others must go on hearing this process."""
        first, second = self.start(0, "a"), self.start(1, "b")
        heard = []

        def fail(member, age):
            heard.append(member.name)
            raise RuntimeError("a fault of a listener")

        first.add_listener(fail)
        self.assert_soon(lambda: len(heard) > 3)
        first.announce_bundle(7)
        self.assert_soon(lambda: second.members()[1].bundle == 7)


if __name__ == "__main__":
    unittest.main()
