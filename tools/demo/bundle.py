"""
Bundle of the demonstration
===========================

Create keys and a bundle, then sign and submit it with the command ``toucanpin``.
"""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

from tools.demo.topology import DEPLOYMENT, SERVICE, Entry

__all__ = ["STANDING_TASKS", "TEAM", "make_keys", "run_tool", "submit_bundle"]

TEAM = "line"
STANDING_TASKS = ("stencil-watch", "reflow-watch")
TOOL_TIMEOUT_S = 30.0


def run_tool(folder: Path, *arguments: str) -> str:
    """
    Run ``toucanpin`` in a folder and return its standard output.

    Raises
    ------
    RuntimeError
        If its exit code is not 0.
    """
    completed = subprocess.run(
        [sys.executable, "-m", "toucanpin.cli.main", *arguments],
        cwd=folder,
        capture_output=True,
        text=True,
        timeout=TOOL_TIMEOUT_S,
        check=False,
    )
    if completed.returncode:
        raise RuntimeError(
            f"toucanpin {' '.join(arguments)}: {completed.stderr or completed.stdout}"
        )
    return completed.stdout


def make_keys(folder: Path) -> None:
    """Create the signer's key and the key ring that every process trusts initially."""
    signer = run_tool(folder, "bundle", "keys", "new", "supervisor", "--out", "supervisor.key")
    head = f'deployment = "{DEPLOYMENT}"\nversion = 1\nthreshold = 1\n'
    (folder / "ring.toml").write_text(f"{head}{signer}")


def submit_bundle(folder: Path, entry: Entry, text: str | None = None) -> str:
    """Check, sign, submit and await the first bundle; return the output of the wait."""
    (folder / "bundle.toml").write_text(text or _write_bundle())
    operators = ("--operators", entry.operators("request"))
    run_tool(folder, "bundle", "check", "bundle.toml")
    run_tool(
        folder, "bundle", "sign", "bundle.toml", "--key", "supervisor.key", "--out", "bundle.json"
    )
    run_tool(folder, "bundle", "submit", "bundle.json", *operators)
    return run_tool(folder, "bundle", "wait", "--version", "1", *operators).strip()


def _write_bundle() -> str:
    """Return the bundle as TOML."""
    standing = "".join(
        f'[[standing]]\nname = "{name}"\nteam = "{TEAM}"\nkind = "watch"\n'
        "processors = 2\nmemory = 1024\n"
        for name in STANDING_TASKS
    )
    return (
        f'deployment = "{DEPLOYMENT}"\nversion = 1\n'
        f'[[services]]\nname = "{SERVICE}"\n'
        f"{standing}"
        f'[[teams]]\nname = "{TEAM}"\nprocessors = 256\nmemory = 1000000\naccelerators = 8\n'
    )
