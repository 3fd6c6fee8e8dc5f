"""Tests of the daemon as a process: settings, signals and exit."""

import os
import secrets
import signal
import subprocess
import sys
import tempfile
import threading
import unittest
from pathlib import Path

import msgspec

SETTINGS = """
[process]
deployment = "test"
host = "entry-a"
site = "site-1"
role = "control"
[listen]
operators = "{address}:9081"
inner = "{address}:7071"
[platform]
table = "http://{address}:5000"
objects = "http://{address}:5000"
hosts = "http://{address}:5000"
[peers]
key_file = "peers.toml"
[keys]
ring_file = "ring.toml"
[log]
level = "{level}"
"""
RING = """deployment = "test"
version = 1
threshold = 1
[[signers]]
id = "ada"
public = "{public}"
"""
EXIT_TIMEOUT_S = 30


class DaemonTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.file = self.folder / "control.toml"
        # An address that no other test process uses, so that listeners never clash.
        pid = os.getpid()
        self.address = f"127.{200 + pid // 62_500 % 50}.{pid // 250 % 250 + 1}.{pid % 250 + 1}"
        key = self.folder / "peers.toml"
        key.touch(mode=0o600)
        key.write_text(f'current = "k1"\n[keys]\nk1 = "{secrets.token_hex(32)}"\n')
        (self.folder / "ring.toml").write_text(RING.format(public="ab" * 32))
        self.write("info")

    def write(self, level):
        self.file.write_text(SETTINGS.format(address=self.address, level=level))

    def start(self, *arguments):
        command = [sys.executable, "-m", "toucanpin.daemon.main", "--config", str(self.file)]
        process = subprocess.Popen(
            [*command, *arguments], stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True
        )
        # Kills a daemon that never logs the expected event, so that the test fails.
        watchdog = threading.Timer(EXIT_TIMEOUT_S, process.kill)
        watchdog.start()
        self.addCleanup(process.communicate)
        self.addCleanup(process.kill)
        self.addCleanup(watchdog.cancel)
        return process

    def wait_for(self, process, event):
        records = (msgspec.json.decode(line) for line in process.stderr)
        if not any(record["event"] == event for record in records):
            self.fail(f"the daemon exited without logging {event}")

    def test_starts_without_platform_rereads_log_level_and_drains(self):
        """
        A control role starts while the platform is down, rereads its log level twice and drains.

        Each step is logged with its event id, and the process exits with code 0 although it never
        reached the table.
        """
        process = self.start()
        self.wait_for(process, "process.started")
        self.write("debug")
        process.send_signal(signal.SIGHUP)
        self.wait_for(process, "settings.reread")
        self.write("info")
        process.send_signal(signal.SIGHUP)
        self.wait_for(process, "settings.reread")
        process.send_signal(signal.SIGTERM)
        self.wait_for(process, "process.draining")
        self.wait_for(process, "process.stopped")
        self.assertEqual(process.wait(EXIT_TIMEOUT_S), 0)

    def test_invalid_file_at_sighup_is_ignored(self):
        process = self.start()
        self.wait_for(process, "process.started")
        self.file.write_text("[process")
        process.send_signal(signal.SIGHUP)
        self.wait_for(process, "settings.fault")
        process.send_signal(signal.SIGTERM)
        self.assertEqual(process.wait(EXIT_TIMEOUT_S), 0)

    def test_second_sigterm_exits_at_once(self):
        """
        A second SIGTERM while the process drains makes it exit at once with code 70.

        It must not wait for its threads.  If draining finishes first, the code is 0.
        """
        process = self.start()
        self.wait_for(process, "process.started")
        process.send_signal(signal.SIGTERM)
        self.wait_for(process, "process.draining")
        process.send_signal(signal.SIGTERM)
        self.assertIn(process.wait(EXIT_TIMEOUT_S), (0, 70))

    def test_check_config_reports_success_or_faults(self):
        process = self.start("--check-config")
        self.assertIn("good", process.communicate(timeout=EXIT_TIMEOUT_S)[0])
        self.assertEqual(process.returncode, 0)
        self.file.write_text(self.file.read_text().replace('role = "control"', 'role = "boss"'))
        process = self.start("--check-config")
        printed = process.communicate(timeout=EXIT_TIMEOUT_S)[1]
        self.assertEqual(process.returncode, 2)
        self.assertIn("process.role: 'boss' is not allowed", printed)
        self.assertNotIn("Traceback", printed)


if __name__ == "__main__":
    unittest.main()
