"""Ports that tests listen on."""

from __future__ import annotations

import unittest

from standins.site.site import PORTS_PER_PROCESS, free_port

FIRST_OUTGOING = 32_768  # the lowest port that the system gives to outgoing connections


class PortsTest(unittest.TestCase):
    def test_no_outgoing_connection_takes_a_port_before_it_is_listened_on(self) -> None:
        """Guards against tests that fail now and then since their address is in use."""
        ports = [free_port() for _ in range(PORTS_PER_PROCESS // 2)]
        self.assertLess(max(ports), FIRST_OUTGOING)
        self.assertEqual(len(ports), len(set(ports)))
