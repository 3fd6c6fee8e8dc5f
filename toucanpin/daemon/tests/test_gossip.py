"""Tests of gossip over sockets."""

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

    def test_members_with_long_names_find_each_other(self):
        """
        With names of 63 letters, eight records exceed the maximum size of a datagram.

        They must be sent in several datagrams.  The error once ended the gossip thread, so that the
        process sent no more heartbeats.
        """
        members = [self.start(index, f"{index}{'x' * 62}") for index in range(12)]
        self.assert_soon(lambda: all(len(each.members()) == 12 for each in members))

    def test_stopped_member_is_seen_as_leaving(self):
        first, second = self.start(0, "a"), self.start(1, "b")
        self.assert_soon(lambda: len(first.members()) == 2)
        second.stop(TEST_TIMEOUT_S)
        self.assert_soon(lambda: first.members()[1].standing is Standing.LEAVING)

    def test_a_failing_listener_does_not_silence_the_process(self):
        """A listener raises at each heartbeat; the process must keep sending its own."""
        first, second = self.start(0, "a"), self.start(1, "b")
        heard = []

        def fail(member, age):
            heard.append(member.name)
            raise RuntimeError("listener failed")

        first.add_listener(fail)
        self.assert_soon(lambda: len(heard) > 3)
        first.announce_bundle(7)
        self.assert_soon(lambda: second.members()[1].bundle == 7)


if __name__ == "__main__":
    unittest.main()
