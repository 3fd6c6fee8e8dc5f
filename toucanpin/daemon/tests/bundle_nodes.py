"""Nodes that replicate bundles over sockets of the loopback network."""

from __future__ import annotations

import io
import itertools
import os
import threading
import time
from collections.abc import Callable
from typing import Any

import msgspec

from standins.faults import FaultPlan
from standins.memory import FaultyLink, MemoryTable
from standins.table import TableCore
from toucanpin.bundles.tests.fixtures import ROOT
from toucanpin.daemon.bundle_apps import make_bundle_apps
from toucanpin.daemon.bundles import BundleReplicator
from toucanpin.daemon.gossip import Gossip
from toucanpin.daemon.web import mount_apps
from toucanpin.membership.member import Member
from toucanpin.wire.client import InnerClient
from toucanpin.wire.keys import PeerKeys
from toucanpin.wire.server import InnerServer

__all__ = ["Node", "Platform", "wait_until"]

PORT = 17_946
TEST_TIMEOUT_S = 30.0
KEYS = PeerKeys("k1", {"k1": bytes(32)})

_networks = itertools.count(1)


class Platform:
    """Table and addresses that the nodes of one test share."""

    def __init__(self) -> None:
        self.core = TableCore()
        self.plan = FaultPlan()
        self.line = FaultyLink(time.monotonic, self.plan)
        self._network = f"127.{64 + os.getpid() % 128}.{next(_networks) % 250}"

    def address(self, index: int) -> str:
        """Return the address of one host."""
        return f"{self._network}.{index + 1}"


class Node:
    """Components of one process that replicate bundles."""

    def __init__(self, platform: Platform, index: int, incarnation: int = 1_000) -> None:
        host = f"h{index}"
        own = Member(
            f"{host}/request",
            host,
            "malaga",
            "request",
            incarnation,
            platform.address(index),
            PORT,
        )
        seeds = ((platform.address(0), PORT),)
        table = MemoryTable(platform.core, platform.line, host)
        self.name = own.name
        self.gossip = Gossip(own, ROOT.deployment, seeds, KEYS)
        client = InnerClient(self.gossip.identity, KEYS)
        self.bundles = BundleReplicator(self.gossip, table, client, ROOT)
        self.server = InnerServer(
            own.address, PORT, self.gossip.identity, KEYS, self.bundles.handlers()
        )
        self.apps = make_bundle_apps(self.bundles, self.gossip, table, ROOT)

    def start(self) -> Node:
        """Start all components."""
        self.server.start()
        self.gossip.start()
        self.bundles.start()
        return self

    def stop(self) -> None:
        """Stop all components and announce that this process is leaving."""
        self.bundles.stop(TEST_TIMEOUT_S)
        self.gossip.stop(TEST_TIMEOUT_S)
        self.server.stop(TEST_TIMEOUT_S)

    def version(self) -> int:
        """Return the version in force in this process, 0 for none."""
        current = self.bundles.current()
        return 0 if current is None else current.version

    def request(self, method: str, path: str, body: bytes = b"") -> tuple[int, Any]:
        """Call the operators' application; return the status and the decoded JSON."""
        statuses: list[str] = []
        path, _, query = path.partition("?")
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "QUERY_STRING": query,
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": io.BytesIO(body),
        }
        parts = mount_apps(self.apps)(environ, lambda status, headers: statuses.append(status))
        return int(statuses[0].split()[0]), msgspec.json.decode(b"".join(parts))


def wait_until(condition: Callable[[], bool]) -> bool:
    """Wait until a condition holds; return False after a timeout."""
    deadline = time.monotonic() + TEST_TIMEOUT_S
    pause = threading.Event()
    while not condition():
        if time.monotonic() > deadline:
            return False
        pause.wait(0.02)
    return True
