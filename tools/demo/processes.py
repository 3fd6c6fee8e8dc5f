"""
Processes of the demonstration
==============================

Start, signal and end separate processes by their ids; the product itself starts none.
"""

from __future__ import annotations

import signal
import subprocess
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from types import TracebackType

import urllib3

__all__ = ["Launcher"]

READY_TIMEOUT_S = 30.0
POLL_PERIOD_S = 0.1
EXIT_TIMEOUT_S = 8.0
READY_STATUS = 200


class Launcher:
    """Processes that this run started, all ended on exit."""

    __slots__ = ("_folder", "_processes")

    def __init__(self, folder: Path) -> None:
        """Initialize a launcher of processes that log into a folder."""
        self._folder = folder
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    def __enter__(self) -> Launcher:
        """Return the launcher."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End every process, also after an error or Ctrl-C."""
        self.end_all()

    def start(self, name: str, module: str, arguments: Sequence[str]) -> None:
        """Start ``python -m module``, registered under a name."""
        with (self._folder / f"{name}.log").open("ab") as log:
            # A session of its own shields it from the terminal's Ctrl-C; the launcher ends it.
            self._processes[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    def pid(self, name: str) -> int:
        """Return the process id of one process."""
        return self._processes[name].pid

    def kill(self, name: str) -> None:
        """Kill one process with SIGKILL."""
        self._processes[name].kill()
        self._processes[name].wait()

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process if it still runs."""
        if self._processes[name].poll() is None:
            self._processes[name].send_signal(number)

    def end(self, name: str) -> int:
        """Terminate one process, kill it after EXIT_TIMEOUT_S, and return its exit code."""
        process = self._processes[name]
        process.terminate()
        try:
            return process.wait(EXIT_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()

    def end_all(self) -> None:
        """End every process that still runs."""
        running = [name for name, process in self._processes.items() if process.poll() is None]
        for name in running:
            self._processes[name].terminate()
        for name in running:
            self.end(name)

    def read_log(self, name: str) -> str:
        """Return the log of a process."""
        return (self._folder / f"{name}.log").read_text(errors="replace")

    def wait_ready(self, name: str, url: str) -> None:
        """
        Wait until a process answers 200 at a URL.

        Raises
        ------
        RuntimeError
            If it ends or is not ready in time; the message holds the end of its log.
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        reason = "no answer"
        while time.monotonic() < deadline:
            if self._processes[name].poll() is not None:
                reason = f"it ended with {self._processes[name].returncode}"
                break
            try:
                answer = urllib3.request("GET", url, timeout=1.0, retries=False)
            except urllib3.exceptions.HTTPError:
                time.sleep(POLL_PERIOD_S)
                continue
            if answer.status == READY_STATUS:
                return
            reason = answer.data.decode(errors="replace").strip()
            time.sleep(POLL_PERIOD_S)
        raise RuntimeError(f"{name} is not ready at {url}: {reason}\n{self.read_log(name)[-2000:]}")
