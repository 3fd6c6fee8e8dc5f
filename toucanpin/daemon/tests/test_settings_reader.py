"""Tests of the reader of settings."""

import tempfile
import unittest
from pathlib import Path

from toucanpin.daemon.settings_reader import read_settings
from toucanpin.exception import SettingsError

VALID_SETTINGS = """
[process]
deployment = "swan-coast"
host = "entry-a"
site = "welshpool"
role = "request"
[listen]
callers = "127.0.1.1:8080"
operators = "127.0.1.1:9080"
inner = "127.0.1.1:7070"
[platform]
table = "http://127.0.0.1:5000"
objects = "http://127.0.0.1:5000"
hosts = "http://127.0.0.1:5000"
[peers]
key_file = "peers.key"
[keys]
ring_file = "ring.toml"
"""


class SettingsReaderTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.key = self.folder / "peers.key"
        self.key.write_text("k")
        self.key.chmod(0o600)
        (self.folder / "ring.toml").write_text("")

    def read(self, text):
        path = self.folder / "entry.toml"
        path.write_text(text)
        return read_settings(path)

    def faults(self, text):
        with self.assertRaises(SettingsError) as raised:
            self.read(text)
        return raised.exception.faults

    def test_reads_a_valid_file_with_defaults(self):
        settings = self.read(VALID_SETTINGS)
        self.assertEqual(settings.process.site, "welshpool")
        self.assertEqual(settings.control.lease_ms, 6_000)

    def test_reports_every_fault_at_once_with_file_key_and_value(self):
        text = VALID_SETTINGS.replace('role = "request"', 'role = "boss"').replace(
            "[keys]", "[kees]"
        )
        faults = self.faults(text)
        self.assertEqual(len(faults), 3)
        self.assertTrue(all("entry.toml" in fault for fault in faults))
        self.assertTrue(any("process.role: 'boss'" in fault for fault in faults))
        self.assertTrue(any("kees" in fault and "keys" in fault for fault in faults))

    def test_suggests_the_most_similar_key(self):
        faults = self.faults(VALID_SETTINGS + "[control]\nlease_s = 4\n")
        self.assertIn("control.lease_s", faults[0])
        self.assertIn("did you mean control.lease_ms?", faults[0])

    def test_refuses_clashing_listeners(self):
        faults = self.faults(VALID_SETTINGS.replace("127.0.1.1:9080", "127.0.1.1:8080"))
        self.assertIn("clashes with", faults[0])

    def test_refuses_a_request_role_without_callers(self):
        faults = self.faults(VALID_SETTINGS.replace('callers = "127.0.1.1:8080"', ""))
        self.assertIn("listen.callers", faults[0])

    def test_refuses_invalid_ports(self):
        faults = self.faults(VALID_SETTINGS.replace("127.0.1.1:7070", "127.0.1.1:70700"))
        self.assertIn("70700", faults[0])

    def test_refuses_a_lease_that_ends_before_a_dead_owner_is_replaced(self):
        faults = self.faults(VALID_SETTINGS + "[control]\nlease_ms = 3500\n")
        self.assertIn("control.lease_ms", faults[0])

    def test_refuses_a_key_file_that_others_can_read(self):
        self.key.chmod(0o644)
        self.assertIn("0644", self.faults(VALID_SETTINGS)[0])

    def test_reports_a_file_that_is_invalid_or_missing(self):
        self.assertIn("is not TOML", self.faults("[process")[0])
        with self.assertRaises(SettingsError):
            read_settings(self.folder / "absent.toml")


if __name__ == "__main__":
    unittest.main()
