"""
Views for operators
===================

Serve the members and the listed hosts that this process knows.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from toucanpin.daemon.hosts import HostListCache
from toucanpin.daemon.interfaces import MembershipView, WsgiApp
from toucanpin.daemon.web import StartResponse, answer_json

__all__ = ["make_view_apps"]


def make_view_apps(members: MembershipView, hosts: HostListCache) -> dict[str, WsgiApp]:
    """Return the applications by path."""

    def serve_members(environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Serve the processes of the system."""
        return answer_json(start, members.members())

    def serve_hosts(environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Serve the platform's hosts."""
        return answer_json(start, hosts.all())

    return {"/v1/members": serve_members, "/v1/hosts": serve_hosts}
