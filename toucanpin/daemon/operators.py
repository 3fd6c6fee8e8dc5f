"""
Operators' HTTP
===============

Probes, metrics, state and whatever the composition root mounts, on an address of its own.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import msgspec

from toucanpin import __version__
from toucanpin.daemon.endpoint import Endpoint
from toucanpin.daemon.operators_server import DeferredHandshakeAdapter, OperatorsServer
from toucanpin.daemon.parts import WsgiApp
from toucanpin.daemon.settings import Tls
from toucanpin.daemon.web import StartResponse, answer_json, answer_text, mount_apps
from toucanpin.exception import SettingsError

__all__ = ["Operators", "Probe", "ProcessState", "make_probe_apps"]

THREADS = 4

Probe = Callable[[], tuple[str, ...]]


class ProcessState(msgspec.Struct, frozen=True):
    """Show one process to operators; ``not_ready`` gives the reasons, empty if it is ready."""

    process: str
    site: str
    role: str
    incarnation: str
    version: str
    bundle: int
    not_ready: tuple[str, ...]


class Operators:
    """Serve operators."""

    __slots__ = ("_server", "_thread")

    def __init__(
        self, endpoint: Endpoint, apps: Mapping[str, WsgiApp], tls: Tls | None = None
    ) -> None:
        """Prepare to serve the mounted applications, over TLS if a certificate is set."""
        self._server = OperatorsServer(
            (endpoint.address, endpoint.port), mount_apps(apps), numthreads=THREADS
        )
        if tls is not None and tls.certificate is not None:
            self._server.ssl_adapter = _make_adapter(tls)
        self._server.server_name = f"toucanpind/{__version__}"
        self._thread = threading.Thread(target=self._server.serve, name="operators", daemon=True)

    @property
    def port(self) -> int:
        """Return the port that is bound, which differs from the setting if that is 0."""
        port: int = self._server.bind_addr[1]
        return port

    def start(self) -> None:
        """Bind and serve."""
        self._server.prepare()
        self._thread.start()

    def stop(self, grace: float) -> None:
        """Finish what is in flight and close."""
        self._server.shutdown_timeout = grace
        self._server.stop()
        self._thread.join(grace)


def _make_adapter(tls: Tls) -> DeferredHandshakeAdapter:
    """Load the certificate and its key."""
    try:
        return DeferredHandshakeAdapter(tls.certificate, tls.key)
    except (OSError, ValueError) as error:
        raise SettingsError((f"tls: certificate or key can't be used: {error}",)) from error


def make_probe_apps(not_ready: Probe, state: Callable[[], ProcessState]) -> dict[str, WsgiApp]:
    """Build the applications that answer liveness, readiness and state."""

    def serve_live(environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Answer that the process runs."""
        return answer_text(start, "live\n")

    def serve_ready(environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Answer whether the process takes work, and why not."""
        reasons = not_ready()
        if reasons:
            return answer_text(start, "\n".join(reasons) + "\n", status=503)
        return answer_text(start, "ready\n")

    def serve_state(environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Answer who this process is and how it is."""
        return answer_json(start, state())

    return {"/livez": serve_live, "/readyz": serve_ready, "/v1/process": serve_state}
