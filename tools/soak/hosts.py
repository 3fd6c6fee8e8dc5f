"""
Entry hosts
===========

Start, signal and end processes of entry hosts, by id and only those that were started here.
"""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

from tools.soak.events import Event, ProcessExited, Signal, SignalSent

__all__ = ["Host"]

GRACE_S = 6.0  # between SIGTERM and SIGKILL, as on the platform
LOG_HEAD_BYTES = 4_096  # searched for the line that tells of the start
POLL_PERIOD_S = 0.02  # between checks whether a process has ended
SIGNALS = {
    Signal.TERMINATE: signal.SIGTERM,
    Signal.KILL: signal.SIGKILL,
    Signal.STOP: signal.SIGSTOP,
    Signal.CONTINUE: signal.SIGCONT,
    Signal.HANG_UP: signal.SIGHUP,
}


class Host:
    """
    An entry host, which runs one process at a time.

    ``program`` holds the interpreter's arguments that start a process.
    """

    def __init__(
        self,
        number: int,
        address: str,
        store: str,
        directory: Path,
        program: tuple[str, ...],
        record: Callable[[Event], None],
    ) -> None:
        self.number = number
        self.front = f"{address}:8000"
        self.wanted = False
        self.process: subprocess.Popen[bytes] | None = None
        self.incarnation = 0
        self._address = address
        self._store = store
        self._directory = directory
        self._program = program
        self._record = record
        self._exit_watch: asyncio.Task[None] | None = None

    @property
    def name(self) -> str:
        """Return the name of the current incarnation of the process."""
        return f"h{self.number}.{self.incarnation}"

    @property
    def alive(self) -> bool:
        """Return whether the process runs or is suspended."""
        return self.process is not None and self.process.poll() is None

    @property
    def log(self) -> Path:
        """Return the log file of the current incarnation."""
        return self._directory / f"{self.name}.log"

    def listens(self) -> bool:
        """Return whether the process has logged that it started."""
        return self.alive and b"process.started" in self.log.read_bytes()[:LOG_HEAD_BYTES]

    def write_settings(self) -> None:
        """Write the settings file, with different content each time."""
        lines = (
            f"# written {time.monotonic()}",
            f"nodeName=h{self.number}",
            f"ip={self._address}",
            "zone=dc",
            f"listen.front={self.front}",
            f"listen.readiness={self._address}:8001",
            "internalPorts=8002",
            f"platform.address={self._store}",
            "heartbeatMs=1000",
            f"bounds.graceS={GRACE_S}",
        )
        self._settings.write_text("\n".join(lines) + "\n")

    def start(self) -> None:
        """Start a process unless one is alive."""
        self.wanted = True
        if self.alive:
            return
        self.incarnation += 1
        self.write_settings()
        environment = {**os.environ, "TOUCANPIN_NODE_FILE": str(self._settings)}
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, *self._program],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=environment,
            )
        self._exit_watch = asyncio.ensure_future(self._watch_exit(self.process, self.name))

    def send(self, kind: Signal) -> None:
        """Send a signal to the process if it is alive."""
        if self.process is None or self.process.poll() is not None:
            return
        self._record(SignalSent(time.monotonic(), self.name, kind))
        self.process.send_signal(SIGNALS[kind])

    async def replace(self, away: float) -> None:
        """Restart the host after ``away`` s, once the current process has exited."""
        self.wanted = False
        ending = self.process
        kill_at = time.monotonic() + GRACE_S
        restart_at = time.monotonic() + away
        while ending is not None and ending.poll() is None:
            if time.monotonic() > kill_at and ending is self.process:
                self.send(Signal.KILL)
            await asyncio.sleep(POLL_PERIOD_S)
        await asyncio.sleep(max(0.0, restart_at - time.monotonic()))
        self.start()

    def finish(self) -> None:
        """Kill the process without a restart."""
        if self._exit_watch is not None:
            self._exit_watch.cancel()
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    @property
    def _settings(self) -> Path:
        return self._directory / f"h{self.number}.conf"

    async def _watch_exit(self, process: subprocess.Popen[bytes], name: str) -> None:
        """Record the exit of a process."""
        while process.poll() is None:
            await asyncio.sleep(POLL_PERIOD_S)
        assert process.returncode is not None
        self._record(ProcessExited(time.monotonic(), name, process.returncode))
