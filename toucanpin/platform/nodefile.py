"""
Node settings file
==================

Read the file of ``name=value`` lines that the platform provides on each host.
"""

from __future__ import annotations

import math
import os
from pathlib import Path

from toucanpin.decoding import MAX_NUMBER
from toucanpin.exception import SettingsError
from toucanpin.platform.addresses import MAX_PORT, is_port
from toucanpin.scheduling.settings import (
    DEFAULT_DESCRIPTORS,
    DEFAULT_MEMORY_MB,
    Bounds,
    HostSettings,
)

__all__ = ["parse_settings", "read_settings"]

PATH_VARIABLE = "TOUCANPIN_NODE_FILE"
DEFAULT_PATH = "/etc/toucanpin/local.conf"


def read_settings() -> HostSettings:
    """Return the settings in this host's file."""
    path = Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))
    try:
        text = path.read_text()
    except OSError as error:
        raise SettingsError((f"{path}: {error.strerror}",)) from error
    except UnicodeDecodeError as error:
        raise SettingsError((f"{path} isn't UTF-8: {error.reason}",)) from error
    return parse_settings(text)


def parse_settings(text: str) -> HostSettings:
    """
    Return the settings in the text of a file; unknown names are ignored.

    Raises
    ------
    SettingsError
        If required names are missing or values are invalid; lists all of them.
    """
    reader = _Reader(text)
    mode = reader.text("controlMode", "invoke")
    if mode != "invoke":
        reader.faults.append(f"controlMode={mode}: only invoke is supported")
    # Units differ: names that end in S or _s are in seconds, those in Ms or _ms in milliseconds.
    bounds = Bounds(
        max_lease=reader.number("bounds.maxHoldMs", 10_000) / 1_000,
        stop_time=reader.number("bounds.stopTimeoutMs", 200) / 1_000,
        shutdown_time=reader.number("bounds.graceS", 6),
        job_retention=reader.number("bounds.status_s", 120),
        early=reader.number("bounds.early_ms", 250) / 1_000,
        gang_timeout=reader.number("bounds.gangTimeoutMs", 3_000) / 1_000,
        spread_factor=reader.number("bounds.spreadFactor", 3),
        restore_time=reader.number("bounds.restoreMs", 250) / 1_000,
        checkpoint_period=reader.number("bounds.checkpointS", 1),
        contact_timeout=reader.number("bounds.contactMs", 3_000) / 1_000,
        upkeep_time=reader.number("bounds.maintenanceS", 2),
        machine_lease=reader.number("bounds.leaseMs", 3_000) / 1_000,
        evacuation_time=reader.number("bounds.evacuateMs", 5_000) / 1_000,
    )
    settings = HostSettings(
        name=reader.text("nodeName"),
        address=reader.text("ip"),
        data_centre=reader.text("zone", ""),
        front=reader.address("listen.front"),
        readiness=reader.address("listen.readiness"),
        inner_port=int(reader.number("internalPorts", 0, MAX_PORT)),
        store=reader.address("platform.address"),
        advice=reader.text("advice", ""),
        machines=reader.text("cloudApi.address", ""),
        heartbeat=reader.number("heartbeatMs", 1_100) / 1_000,
        max_row=int(reader.number("platform.rowBytes", 65_536)),
        bounds=bounds,
        # The platform grants a share of one core that is ``limits.cores`` times as fast.
        cores=reader.number("limits.cpuShare", 1) * reader.number("limits.cores", 1),
        memory_mb=reader.number("limits.memoryMb", DEFAULT_MEMORY_MB) or DEFAULT_MEMORY_MB,
        descriptors=reader.number("limits.maxFds", DEFAULT_DESCRIPTORS) or DEFAULT_DESCRIPTORS,
    )
    if reader.faults:
        raise SettingsError(tuple(reader.faults))
    return settings


class _Reader:
    """Reader of values by name, which collects the faults found."""

    def __init__(self, text: str) -> None:
        lines = (line.strip() for line in text.splitlines())
        pairs = (line.partition("=") for line in lines if line and not line.startswith("#"))
        self._values = {name.strip(): value.strip() for name, _, value in pairs}
        self.faults: list[str] = []

    def text(self, name: str, default: str | None = None) -> str:
        value = self._values.get(name, default)
        if value is None:
            self.faults.append(f"{name} is missing")
            return ""
        return value

    def number(self, name: str, default: float, limit: float = MAX_NUMBER) -> float:
        value = self._values.get(name, "").partition(",")[0]
        if not value:
            return default
        try:
            number = float(value)
        except ValueError:
            self.faults.append(f"{name}={value[:60]} is not a number")
            return default
        # Also "nan" and "1e400" are numbers, which nothing here can count with.
        if not (math.isfinite(number) and 0 <= number <= limit):
            self.faults.append(f"{name}={value[:60]} is not from 0 to {limit}")
            return default
        return number

    def address(self, name: str) -> str:
        value = self.text(name)
        host, _, port = value.rpartition(":")
        if value and not (host and is_port(port)):
            self.faults.append(f"{name}={value[:60]} is not an address with a port")
        return value
