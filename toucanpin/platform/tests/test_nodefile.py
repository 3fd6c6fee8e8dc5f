"""Tests of the node settings file."""

from __future__ import annotations

import os
import tempfile
import unittest
from unittest.mock import patch

from toucanpin.exception import SettingsError
from toucanpin.platform.nodefile import PATH_VARIABLE, parse_settings, read_settings

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

    def test_numbers_out_of_range_are_named(self) -> None:
        """Guards against a process that ends with an arithmetic error in place of the fault."""
        odd = {"internalPorts": ("1e400", "nan", "99999", "-1"), "bounds.status_s": ("inf", "-2")}
        odd["listen.front"] = ("10.1.0.13:99999", "10.1.0.13:" + "9" * 5_000, "10.1.0.13:²")
        for name, values in odd.items():
            for value in values:
                with self.subTest(name, value=value[:20]):
                    with self.assertRaises(SettingsError) as caught:
                        parse_settings(f"{GOOD}{name}={value}\n")
                    self.assertIn(name, "\n".join(caught.exception.faults))

    def test_a_file_that_is_not_text_is_named(self) -> None:
        """Guards against a traceback in place of the file's name."""
        with tempfile.NamedTemporaryFile() as file:
            file.write(b"nodeName=\xff\n")
            file.flush()
            with (
                patch.dict(os.environ, {PATH_VARIABLE: file.name}),
                self.assertRaises(SettingsError) as caught,
            ):
                read_settings()
        self.assertIn(file.name, "\n".join(caught.exception.faults))


if __name__ == "__main__":
    unittest.main()
