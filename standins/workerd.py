"""
Worker stand-in as a process
============================
"""

from __future__ import annotations

import threading
import time
import uuid
from dataclasses import asdict
from http import HTTPStatus

import click
import msgspec
from expression import Result

from standins.faults import FaultPlan, Rule
from standins.server import (
    Answer,
    Request,
    Response,
    Server,
    apply_rule,
    json_response,
    parse_address,
    serve_until_signal,
    take_rule,
)
from standins.work import Service
from standins.worker import Get, Put, WorkerCore
from toucanpin.platform.http import HttpObjectStore
from toucanpin.platform.messages import EFFECT_HEADER, EFFECT_NONE, PollRequest, read_poll
from toucanpin.platform.ports import ObjectStore, Size

__all__ = ["WorkerService", "main"]

MILLISECONDS = 1_000
LEASE_CHECK_PERIOD_S = 0.01
EFFECTS_PERIOD_S = 0.02


def read_clock() -> int:
    """Return the monotonic clock in milliseconds."""
    return int(time.monotonic() * MILLISECONDS)


class WorkerService:
    """Run a worker core: check its lease, perform its effects and answer polls."""

    def __init__(self, core: WorkerCore, objects: ObjectStore) -> None:
        self.core = core
        self.plan = FaultPlan()
        self.stopped = threading.Event()
        self._objects = objects
        self._lock = threading.Lock()

    def start(self) -> None:
        """Start the threads that check the lease and perform effects."""
        for loop in (self._check_lease, self._write_objects):
            threading.Thread(target=loop, daemon=True).start()

    def handle(self, request: Request) -> Answer:
        """Answer one request."""
        try:
            return self._route(request)
        except (ValueError, msgspec.MsgspecError) as error:
            refused = {EFFECT_HEADER: EFFECT_NONE}
            return Response(HTTPStatus.BAD_REQUEST, str(error).encode(), refused)

    def _route(self, request: Request) -> Answer:
        """Route a request."""
        match request.method, request.path:
            case "POST", "/poll":
                with self._lock:
                    rule = take_rule(self.plan, "poll", request)
                return apply_rule(rule, lambda: self._poll(request), self.stopped)
            case "PUT", "/faults":
                self.plan.rules = msgspec.json.decode(request.body, type=tuple[Rule, ...])
                return Response(HTTPStatus.NO_CONTENT)
            case "PUT", "/fail-all":
                self.core.fail_all = msgspec.json.decode(request.body, type=bool)
                return Response(HTTPStatus.NO_CONTENT)
            case "GET", "/counts":
                return json_response({"polls": self.core.polls})
            case "GET", "/log":
                with self._lock:
                    self.core.advance(read_clock())
                    return json_response([asdict(it) for it in self.core.log])
        return Response(HTTPStatus.NOT_FOUND)

    def _poll(self, request: Request) -> Response:
        """Answer one poll."""
        poll = read_poll(msgspec.json.decode(request.body, type=PollRequest))
        with self._lock:
            return json_response(self.core.poll(read_clock(), poll))

    def _check_lease(self) -> None:
        """Advance the core periodically, so that tasks stop when the lease expires."""
        while not self.stopped.wait(LEASE_CHECK_PERIOD_S):
            with self._lock:
                self.core.advance(read_clock())

    def _write_objects(self) -> None:
        """Perform the object store effects of the core."""
        while not self.stopped.wait(EFFECTS_PERIOD_S):
            with self._lock:
                effects = list(self.core.take_effects())
            for effect in effects:
                self._run_effect(effect)

    def _run_effect(self, effect: Put | Get) -> None:
        """Write or read one object and report the outcome to the core."""
        match effect:
            case Put(name=name, body=body):
                stored = self._objects.put(name, body).is_ok()
                with self._lock:
                    self.core.finish_put(read_clock(), effect, stored)
            case Get(name=name):
                match self._objects.get(name):
                    case Result(tag="ok", ok=content):
                        answered = True
                    case _:
                        content, answered = None, False
                with self._lock:
                    self.core.finish_get(read_clock(), effect, content, answered)


@click.command()
@click.option("--listen", default="127.0.0.1:0", help="Address to listen on.")
@click.option("--name", required=True, help="Name in the host list.")
@click.option("--site", default="", help="Site, for information only.")
@click.option("--rack", default="", help="Rack, for information only.")
@click.option("--processors", default=64)
@click.option("--memory", default=250_000, help="MiB.")
@click.option("--accelerators", default=0)
@click.option("--objects", required=True, help="URL of the object store.")
@click.option("--lag", default=0, help="Milliseconds by which measurements lag.")
@click.option("--service", "services", multiple=True, help="A service as JSON; may be repeated.")
def main(
    listen: str,
    name: str,
    site: str,
    rack: str,
    processors: int,
    memory: int,
    accelerators: int,
    objects: str,
    lag: int,
    services: tuple[str, ...],
) -> None:
    """Serve as the agent of one worker."""
    size = Size(processors, memory, accelerators)
    colocated = tuple(msgspec.json.decode(text, type=Service) for text in services)
    core = WorkerCore(name, uuid.uuid4().hex, size, lag, colocated)
    service = WorkerService(core, HttpObjectStore(objects, name))
    service.start()
    serve_until_signal(Server(parse_address(listen), service.handle))
    service.stopped.set()


if __name__ == "__main__":
    main()
