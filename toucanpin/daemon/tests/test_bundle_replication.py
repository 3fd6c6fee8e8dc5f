"""Tests of the replication of bundles between processes over sockets."""

import unittest

import msgspec

from standins.faults import Effect, Rule
from toucanpin.bundles.tests.fixtures import make_signed
from toucanpin.daemon.bundle_apps import SubmitRequest
from toucanpin.daemon.tests.bundle_nodes import Node, Platform, wait_until
from toucanpin.membership.member import Standing


def make_body(version, service="changeover", expected=None):
    expected_version = version - 1 if expected is None else expected
    return msgspec.json.encode(SubmitRequest(expected_version, make_signed(version, service)))


class BundleReplicationTest(unittest.TestCase):
    def setUp(self):
        self.platform = Platform()
        self.nodes = [self.start(index) for index in range(3)]
        self.assertTrue(wait_until(self.all_found))

    def all_found(self):
        return all(len(node.gossip.members()) == 3 for node in self.nodes)

    def everywhere(self):
        return self.nodes[2].request("GET", "/v1/bundle/force")[1]["everywhere"]

    def start(self, index, incarnation=1_000):
        node = Node(self.platform, index, incarnation).start()
        self.addCleanup(node.stop)
        return node

    def assert_in_force(self, version, nodes=None):
        nodes = nodes or self.nodes
        in_force = wait_until(lambda: all(node.version() == version for node in nodes))
        self.assertTrue(in_force, [node.bundles.readiness() for node in nodes])

    def submit(self, node, version, service="changeover", expected=None):
        return node.request("POST", "/v1/bundle", make_body(version, service, expected))

    def test_an_accepted_bundle_is_in_force_everywhere(self):
        status, answer = self.submit(self.nodes[1], 1)
        self.assertEqual((status, answer["outcome"], answer["verdict"]), (200, "accepted", "ran"))
        self.assert_in_force(1)
        self.assertTrue(wait_until(self.everywhere))
        _, history = self.nodes[2].request("GET", "/v1/bundle/history?limit=5")
        self.assertEqual([entry["operator"] for entry in history["versions"]], ["alice"])

    def test_bundle_replicates_while_the_table_is_down(self):
        """
        The table goes down right after it has accepted a bundle.

        The accepting process pushes the bundle to its peers, and all three put it in force.
        """
        self.submit(self.nodes[0], 1)
        self.assert_in_force(1)
        self.platform.plan.rules = (Rule(Effect.DOWN, operation="scan"),)
        self.assertEqual(self.submit(self.nodes[0], 2)[0], 200)
        self.platform.plan.rules = (Rule(Effect.DOWN),)
        self.assert_in_force(2)

    def test_replaced_host_with_lower_incarnation_rejoins(self):
        """
        A host is replaced by one with the same name and address and a lower incarnation.

        It puts version 1 in force, and the other processes consider it alive, since it raises
        its incarnation above that of its predecessor.
        """
        self.submit(self.nodes[0], 1)
        self.assert_in_force(1)
        self.nodes[2].stop()
        replacement = self.start(2, incarnation=5)
        self.assert_in_force(1, [replacement])

        def is_back():
            members = {m.name: m for m in self.nodes[0].gossip.members()}
            return members[replacement.name].standing is Standing.ALIVE

        self.assertTrue(wait_until(is_back))
        self.assertGreater(replacement.gossip.own.incarnation, 1_000)

    def test_responses_to_operators_state_the_outcome(self):
        self.submit(self.nodes[0], 1)
        status, answer = self.submit(self.nodes[1], 1, "other")
        self.assertEqual((status, answer["operator"], answer["verdict"]), (409, "alice", "not-run"))
        self.assertEqual(len(answer["detail"]), 2)
        status, answer = self.submit(self.nodes[1], 1)
        self.assertEqual((status, answer["repeated"]), (200, True))
        status, answer = self.submit(self.nodes[1], 9, expected=1)
        self.assertEqual((status, answer["outcome"]), (422, "refused"))
        self.platform.plan.rules = (Rule(Effect.DOWN),)
        status, answer = self.submit(self.nodes[1], 2)
        self.assertEqual((status, answer["outcome"]), (503, "unavailable"))

    def test_bad_requests_are_refused(self):
        for method, path, body in (
            ("POST", "/v1/bundle", b"{}"),
            ("POST", "/v1/bundle", b"\xff" * 64),
            ("DELETE", "/v1/bundle", b""),
            ("GET", "/v1/bundle/history?limit=0", b""),
            ("GET", "/v1/bundle/history?limit=x", b""),
        ):
            status, answer = self.nodes[0].request(method, path, body)
            self.assertEqual((status, answer["verdict"]), (400, "not-run"))


if __name__ == "__main__":
    unittest.main()
