"""The process of an entry host, as the host's init starts and signals it."""

from __future__ import annotations

import os
import subprocess
import sys
import unittest

# Sends the signal in the midst of loading: as the first module of the product's own parts is found.
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
    The platform tells by SIGHUP that a settings file has changed, at any moment.

    A process needs some 0.3 s to load its modules, longer on a busy host, and only then listened
    for signals.  A change of settings within that time ended it with the signal's default action,
    so callers lost the host that was just coming.
    """

    def test_a_change_of_settings_while_modules_are_loaded_does_not_end_the_process(self):
        environment = {**os.environ, "TOUCANPIN_NODE_FILE": "/nonexistent/node.conf"}
        done = subprocess.run(
            [sys.executable, "-c", PROGRAM], env=environment, capture_output=True, text=True
        )
        self.assertIn("/nonexistent/node.conf", done.stderr)
        self.assertEqual(done.returncode, 2)


if __name__ == "__main__":
    unittest.main()
