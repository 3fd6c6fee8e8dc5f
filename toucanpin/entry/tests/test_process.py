"""The process of an entry host, as the host's init starts and signals it."""

from __future__ import annotations

import os
import subprocess
import sys
import unittest

# Sends the signal while modules are imported: when toucanpin.entry.root is looked up.
PROGRAM = """
import importlib.abc, os, runpy, signal, sys

class Finder(importlib.abc.MetaPathFinder):
    def find_spec(self, name, path, target=None):
        if name == "toucanpin.entry.root":
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Finder())
sys.argv = ["toucanpin.entry"]
runpy.run_module("toucanpin.entry", run_name="__main__", alter_sys=True)
"""


class StartTest(unittest.TestCase):
    """
    The platform sends SIGHUP whenever a settings file has changed.

    Importing the modules takes 0.3 s, longer on a busy host.  Guards against a process that handles
    signals only afterwards: a SIGHUP within that time killed it during its start.
    """

    def test_sighup_during_imports_does_not_end_the_process(self):
        environment = {**os.environ, "TOUCANPIN_NODE_FILE": "/nonexistent/node.conf"}
        done = subprocess.run(
            [sys.executable, "-c", PROGRAM], env=environment, capture_output=True, text=True
        )
        self.assertIn("/nonexistent/node.conf", done.stderr)
        self.assertEqual(done.returncode, 2)


if __name__ == "__main__":
    unittest.main()
