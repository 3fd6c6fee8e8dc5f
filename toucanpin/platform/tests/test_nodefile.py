"""Tests of the node settings file."""

from __future__ import annotations

import unittest

from toucanpin.exception import SettingsError
from toucanpin.platform.nodefile import parse_settings

GOOD = """
nodeName=edge-1
ip=10.1.0.13
zone=here
listen.front=10.1.0.13:8161
listen.readiness=10.1.0.13:8167
internalPorts=7720,7735
platform.address=10.200.1.7:8169
controlMode=invoke
bounds.maxHoldMs=8000
bounds.status_s=90
something.new=1
"""


class SettingsTest(unittest.TestCase):
    def test_values_are_converted_to_seconds(self) -> None:
        settings = parse_settings(GOOD)
        self.assertEqual("edge-1", settings.name)
        self.assertEqual("here", settings.data_centre)
        self.assertEqual(7_720, settings.inner_port)
        self.assertEqual(8.0, settings.bounds.max_lease)
        self.assertEqual(90.0, settings.bounds.job_retention)

    def test_error_lists_all_faults(self) -> None:
        text = GOOD.replace("nodeName=edge-1\n", "").replace("=8000", "=soon")
        text = text.replace("controlMode=invoke", "controlMode=heartbeat")
        text = text.replace("listen.front=10.1.0.13:8161", "listen.front=nowhere")
        with self.assertRaises(SettingsError) as caught:
            parse_settings(text)
        faults = "\n".join(caught.exception.faults)
        for word in ("nodeName", "maxHoldMs=soon", "controlMode=heartbeat", "nowhere"):
            self.assertIn(word, faults)


if __name__ == "__main__":
    unittest.main()
