"""Tests of the certificate of the operators' HTTP."""

import tempfile
import unittest
from pathlib import Path

from toucanpin.daemon.endpoint import Endpoint
from toucanpin.daemon.operators import OperatorsInterface
from toucanpin.daemon.root import compose
from toucanpin.daemon.settings import Tls
from toucanpin.daemon.settings_reader import read_settings
from toucanpin.daemon.tests.certificates import write_certificate
from toucanpin.exception import SettingsError

ADDRESS = "127.0.0.1"
SETTINGS = """
[process]
deployment = "swan"
host = "entry-a"
site = "malaga"
role = "control"
[listen]
operators = "127.0.0.1:17951"
inner = "127.0.0.1:17952"
[platform]
table = "http://127.0.0.1:9"
objects = "http://127.0.0.1:9"
hosts = "http://127.0.0.1:9"
[peers]
key_file = "peers.toml"
[keys]
ring_file = "ring.toml"
[tls]
certificate = "entry.crt"
key = "entry.key"
"""
PEER_KEYS = f'current = "k1"\n[keys]\nk1 = "{"ab" * 32}"\n'
RING = f"""
deployment = "swan"
version = 1
threshold = 1
[[signers]]
id = "alice"
public = "{"d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a"}"
"""


class CertificateTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.certificate, self.key = write_certificate(self.folder, "entry", ADDRESS)

    def write(self, name, text):
        path = self.folder / name
        path.touch(0o600)
        path.write_text(text)
        return path

    def compose(self):
        self.write("peers.toml", PEER_KEYS)
        self.write("ring.toml", RING)
        return compose(read_settings(self.write("control.toml", SETTINGS)), self.folder)

    def test_files_are_resolved_against_the_settings_folder(self):
        self.assertIsNotNone(self.compose())

    def test_missing_certificate_prevents_the_start(self):
        """
        The settings ask for TLS, but the certificate file is missing.

        The process must not start: a fallback to plain HTTP would send tokens in clear text.
        """
        self.certificate.unlink()
        with self.assertRaisesRegex(SettingsError, "tls: certificate or key can't be used"):
            self.compose()

    def test_key_of_another_certificate_is_refused(self):
        _, other = write_certificate(self.folder, "other", ADDRESS)
        tls = Tls(certificate=str(self.certificate), key=str(other))
        with self.assertRaisesRegex(SettingsError, "tls: certificate or key can't be used"):
            OperatorsInterface(Endpoint(ADDRESS, 0), {}, tls)


if __name__ == "__main__":
    unittest.main()
