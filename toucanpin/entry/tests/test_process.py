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

# Sends the signal once the event loop is closed, as the process is about to exit.
ENDING_PROGRAM = """
import atexit, os, signal, sys
from unittest import mock
from toucanpin.entry import __main__, program
from toucanpin.entry.root import EntryProcess

async def start(self):
    os.kill(os.getpid(), signal.SIGTERM)

async def shut_down(self):
    pass

atexit.register(os.kill, os.getpid(), signal.SIGHUP)
sys.argv = ["toucanpin.entry"]
methods = {"__init__": lambda *_: None, "start": start, "shut_down": shut_down}
with mock.patch.multiple(EntryProcess, **methods), mock.patch.object(program, "read_settings"):
    sys.exit(__main__.main())
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

    def test_sighup_at_the_end_does_not_change_the_exit_code(self) -> None:
        """Guards against a process that has shut down in order and counts as crashed."""
        done = subprocess.run([sys.executable, "-c", ENDING_PROGRAM], capture_output=True)
        self.assertEqual(0, done.returncode, done.stderr)


if __name__ == "__main__":
    unittest.main()
