"""Tests of the ports that tests listen on."""

from __future__ import annotations

import unittest

from standins.site.site import PORTS_PER_PROCESS, free_port

FIRST_OUTGOING_PORT = 32_768  # lowest port of outgoing connections by default


class PortsTest(unittest.TestCase):
    def test_ports_are_distinct_and_below_those_of_outgoing_connections(self) -> None:
        """Guards against tests that fail at random because their address is in use."""
        ports = [free_port() for _ in range(PORTS_PER_PROCESS // 2)]
        self.assertLess(max(ports), FIRST_OUTGOING_PORT)
        self.assertEqual(len(ports), len(set(ports)))
