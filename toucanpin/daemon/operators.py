"""
HTTP interface of operators
===========================

Serve applications for operators, such as probes, metrics and state, on an endpoint of its own.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import msgspec

from toucanpin import __version__
from toucanpin.daemon.endpoint import Endpoint
from toucanpin.daemon.interfaces import WsgiApp
from toucanpin.daemon.operators_server import DeferredHandshakeAdapter, OperatorsServer
from toucanpin.daemon.settings import Tls
from toucanpin.daemon.web import StartResponse, answer_json, answer_text, mount_apps
from toucanpin.exception import SettingsError

__all__ = ["OperatorsInterface", "ProcessState", "ReadinessCheck", "make_probe_apps"]

SERVER_THREADS = 4

ReadinessCheck = Callable[[], tuple[str, ...]]


class ProcessState(msgspec.Struct, frozen=True):
    """State of one process; ``not_ready`` holds the reasons, empty if the process is ready."""

    process: str
    site: str
    role: str
    incarnation: str
    version: str
    bundle: int
    not_ready: tuple[str, ...]


class OperatorsInterface:
    """HTTP server for operators."""

    __slots__ = ("_server", "_thread")

    def __init__(
        self, endpoint: Endpoint, apps: Mapping[str, WsgiApp], tls: Tls | None = None
    ) -> None:
        """Initialize with applications by path prefix, served over TLS if a certificate is set."""
        self._server = OperatorsServer(
            (endpoint.address, endpoint.port), mount_apps(apps), numthreads=SERVER_THREADS
        )
        if tls is not None and tls.certificate is not None:
            self._server.ssl_adapter = _make_tls_adapter(tls)
        self._server.server_name = f"toucanpind/{__version__}"
        self._thread = threading.Thread(target=self._server.serve, name="operators", daemon=True)

    @property
    def port(self) -> int:
        """Return the bound port, which the kernel has chosen if the setting is 0."""
        port: int = self._server.bind_addr[1]
        return port

    def start(self) -> None:
        """Bind the port and start serving."""
        self._server.prepare()
        self._thread.start()

    def stop(self, grace: float) -> None:
        """Finish requests in flight within ``grace`` seconds and close."""
        self._server.shutdown_timeout = grace
        self._server.stop()
        self._thread.join(grace)


def _make_tls_adapter(tls: Tls) -> DeferredHandshakeAdapter:
    """Return an adapter with the certificate and its key, or raise if they can't be used."""
    try:
        return DeferredHandshakeAdapter(tls.certificate, tls.key)
    except (OSError, ValueError) as error:
        raise SettingsError((f"tls: certificate or key can't be used: {error}",)) from error


def make_probe_apps(
    not_ready: ReadinessCheck, state: Callable[[], ProcessState]
) -> dict[str, WsgiApp]:
    """Return the applications that serve liveness, readiness and state, by path."""

    def serve_live(environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Serve the liveness probe."""
        return answer_text(start, "live\n")

    def serve_ready(environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Serve the readiness probe, with the reasons if the process is not ready."""
        reasons = not_ready()
        if reasons:
            return answer_text(start, "\n".join(reasons) + "\n", status=503)
        return answer_text(start, "ready\n")

    def serve_state(environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Serve the state of this process."""
        return answer_json(start, state())

    return {"/livez": serve_live, "/readyz": serve_ready, "/v1/process": serve_state}
