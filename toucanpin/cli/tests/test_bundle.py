"""Tests of the bundle commands."""

import tempfile
import unittest
from pathlib import Path

import msgspec
from click.testing import CliRunner

from toucanpin.bundles.signature import verify_bundle
from toucanpin.bundles.tests.fixtures import KEYS, ROOT
from toucanpin.cli.bundle import bundle
from toucanpin.cli.exits import ExitCode
from toucanpin.cli.files import read_signed
from toucanpin.daemon.endpoint import Endpoint
from toucanpin.daemon.operators import OperatorsInterface
from toucanpin.daemon.tests.bundle_nodes import Node, Platform, wait_until

TEXT = 'deployment = "swan"\nversion = {version}\n[[services]]\nname = "{service}"\n'
OPERATORS_PORT = 17_947


class CommandTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.key = self.folder / "alice.key"
        self.key.touch(0o600)
        private = KEYS["alice"].private_bytes_raw().hex()
        self.key.write_text(f'id = "alice"\nprivate = "{private}"\n')

    def run_command(self, *words):
        return CliRunner().invoke(bundle, [str(word) for word in words])

    def write(self, version, service="changeover"):
        path = self.folder / f"{service}-{version}.toml"
        path.write_text(TEXT.format(version=version, service=service))
        return path

    def sign(self, version, service="changeover"):
        out = self.folder / f"{service}-{version}.json"
        file = self.write(version, service)
        result = self.run_command("sign", file, "--key", self.key, "--out", out)
        self.assertEqual(result.exit_code, ExitCode.DONE, result.output)
        return out


class FileTest(CommandTest):
    def test_check_reports_all_faults(self):
        good = self.run_command("check", self.write(1), "--output", "json")
        self.assertEqual(msgspec.json.decode(good.output)["version"], 1)
        bad = self.run_command("check", self.write(0, "Bad Name"))
        self.assertEqual(bad.exit_code, ExitCode.REFUSED)
        self.assertIn(":2: version is 0", bad.output)
        self.assertIn(":4: services[0].name is 'Bad Name'", bad.output)

    def test_signed_bundle_verifies(self):
        signed = read_signed(self.sign(1))
        self.assertTrue(verify_bundle(ROOT, signed).is_ok())

    def test_diff_against_a_file(self):
        result = self.run_command("diff", self.write(2, "b"), "--against", self.write(1, "a"))
        self.assertIn("- services.a", result.output)
        self.assertEqual(self.run_command("diff", self.write(1)).exit_code, ExitCode.USAGE)

    def test_key_file_that_the_group_can_read_is_refused(self):
        """A key that others can read may have been copied, so nothing is signed with it."""
        self.key.chmod(0o640)
        out = self.folder / "x.json"
        result = self.run_command("sign", self.write(1), "--key", self.key, "--out", out)
        self.assertEqual(result.exit_code, ExitCode.REFUSED)
        self.assertIn("set its mode to 0600", result.output)
        self.assertFalse(out.exists())

    def test_error_for_an_invalid_key_file_shows_no_secret(self):
        self.key.write_text('id = "alice"\nprivate = "c0ffee"\n')
        result = self.run_command("sign", self.write(1), "--key", self.key, "--out", "x")
        self.assertEqual(result.exit_code, ExitCode.REFUSED)
        self.assertNotIn("c0ffee", result.output)

    def test_new_key_file_is_accessible_to_its_owner_only(self):
        path = self.folder / "bob.key"
        result = self.run_command("keys", "new", "bob", "--out", path)
        self.assertIn('id = "bob"', result.output)
        self.assertEqual(path.stat().st_mode & 0o777, 0o600)
        again = self.run_command("keys", "new", "bob", "--out", path)
        self.assertEqual(again.exit_code, ExitCode.REFUSED)

    def test_rotated_ring_is_included_in_the_signed_bundle(self):
        """Alice signs ring 2, which removes her; with it only bob's signature is valid."""
        bob = self.folder / "bob.key"
        public = self.run_command("keys", "new", "bob", "--out", bob).output
        ring = self.folder / "ring-2.toml"
        ring.write_text(f'deployment = "swan"\nversion = 2\nthreshold = 1\n{public}')
        signed_ring = self.folder / "ring-2.json"
        self.run_command("keys", "sign", ring, "--key", self.key, "--out", signed_ring)
        for key, good in ((bob, True), (self.key, False)):
            out = self.folder / "signed.json"
            words = ("sign", self.write(1), "--key", key, "--ring", signed_ring, "--out", out)
            self.assertEqual(self.run_command(*words).exit_code, ExitCode.DONE)
            self.assertEqual(verify_bundle(ROOT, read_signed(out)).is_ok(), good)

    def test_unreachable_process_exits_as_uncertain(self):
        result = self.run_command("status", "--operators", "http://127.0.0.1:9")
        self.assertEqual(result.exit_code, ExitCode.UNCERTAIN)


class DeploymentTest(CommandTest):
    def setUp(self):
        super().setUp()
        platform = Platform()
        self.node = Node(platform, 0).start()
        self.addCleanup(self.node.stop)
        address = platform.address(0)
        server = OperatorsInterface(Endpoint(address, OPERATORS_PORT), self.node.apps)
        server.start()
        self.addCleanup(server.stop, 5.0)
        self.url = f"http://{address}:{OPERATORS_PORT}"

    def ask(self, *words):
        return self.run_command(*words, "--operators", self.url)

    def test_submission_conflict_and_rollout(self):
        self.assertEqual(self.ask("submit", self.sign(1)).exit_code, ExitCode.DONE)
        self.assertTrue(wait_until(lambda: self.node.version() == 1))
        waited = self.ask("wait")
        self.assertEqual((waited.exit_code, waited.output[:9]), (ExitCode.DONE, "version 1"))
        conflict = self.ask("submit", self.sign(1, "other"))
        self.assertEqual(conflict.exit_code, ExitCode.CONFLICT)
        self.assertIn("version 1 by alice is in force", conflict.output)
        refused = self.ask("submit", self.sign(7), "--expected", "1")
        self.assertEqual(refused.exit_code, ExitCode.REFUSED)
        self.assertIn("version 1", self.ask("status").output)
        self.assertIn("alice", self.ask("history").output)
        self.assertIn("+ services.other", self.ask("diff", self.write(2, "other")).output)
        lagging = self.ask("wait", "--version", "2", "--timeout", "0")
        self.assertEqual(lagging.exit_code, ExitCode.REFUSED)
        self.assertIn("h0/request", lagging.output)


if __name__ == "__main__":
    unittest.main()
