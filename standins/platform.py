"""
Platform stand-in as a process
==============================

The table, the object store and the host list behind one HTTP server.
"""

from __future__ import annotations

import threading
import time
from dataclasses import asdict
from http import HTTPStatus

import click
import msgspec

from standins.faults import FaultPlan, Rule
from standins.hostlist import HostListCore
from standins.objects import ObjectsCore
from standins.server import (
    Answer,
    Request,
    Response,
    Server,
    apply_rule,
    get_object_name,
    json_response,
    parse_address,
    serve_until_signal,
    take_rule,
)
from standins.table import TableCore
from toucanpin.platform.messages import (
    EFFECT_HEADER,
    EFFECT_NONE,
    OBJECT_ABSENT,
    OBJECT_HEADER,
    CommitAnswer,
    CommitRequest,
    ConflictAnswer,
    HostsAnswer,
    NamesAnswer,
    RowAnswer,
    RowsAnswer,
)
from toucanpin.platform.ports import Committed, Conflict, ListedHost, Transaction

__all__ = ["PlatformService", "main"]

OBJECT_PATH = "/objects/"


class PlatformService:
    """Serve the platform's HTTP interface on top of the stand-in cores."""

    def __init__(self, lag: float = 0.0) -> None:
        self.table = TableCore()
        self.objects = ObjectsCore()
        self.host_list = HostListCore(lag)
        self.plan = FaultPlan()
        self.stopped = threading.Event()
        self._lock = threading.Lock()

    def handle(self, request: Request) -> Answer:
        """Answer one request."""
        try:
            return self._route(request)
        except (ValueError, KeyError, msgspec.MsgspecError) as error:
            refused = {EFFECT_HEADER: EFFECT_NONE}
            return Response(HTTPStatus.BAD_REQUEST, str(error).encode(), refused)

    def _route(self, request: Request) -> Answer:
        """Route a request; faults apply only to requests of clients, not to control requests."""
        match request.method, request.path:
            case "PUT", "/faults":
                self.plan.rules = msgspec.json.decode(request.body, type=tuple[Rule, ...])
                return Response(HTTPStatus.NO_CONTENT)
            case "GET", "/faults":
                return json_response(self.plan.rules)
            case "GET", "/counts":
                table, objects = asdict(self.table.counts), asdict(self.objects.counts)
                return json_response({"table": table, "objects": objects})
            case "PUT", "/hosts":
                hosts = msgspec.json.decode(request.body, type=tuple[ListedHost, ...])
                self.host_list.replace(time.monotonic(), hosts)
                return Response(HTTPStatus.NO_CONTENT)
            case "PUT", "/lag":
                self.host_list.lag = msgspec.json.decode(request.body, type=float)
                return Response(HTTPStatus.NO_CONTENT)
        operation = name_operation(request)
        if not operation:
            return Response(HTTPStatus.NOT_FOUND)
        with self._lock:
            rule = take_rule(self.plan, operation, request)
        return apply_rule(rule, lambda: self._act(operation, request), self.stopped)

    def _act(self, operation: str, request: Request) -> Response:
        """Perform one operation of a client."""
        query = request.query
        with self._lock:
            match operation:
                case "read":
                    return json_response(RowAnswer(self.table.read(query["key"])))
                case "scan":
                    after = int(query.get("after", "0"))
                    return json_response(RowsAnswer(self.table.scan(query["prefix"], after)))
                case "commit":
                    return self._commit(msgspec.json.decode(request.body, type=CommitRequest))
                case "put":
                    self.objects.put(get_object_name(request.path, OBJECT_PATH), request.body)
                    return Response(HTTPStatus.OK)
                case "get":
                    body = self.objects.get(get_object_name(request.path, OBJECT_PATH))
                    if body is None:
                        absent = {OBJECT_HEADER: OBJECT_ABSENT}
                        return Response(HTTPStatus.NOT_FOUND, b"", absent)
                    return Response(HTTPStatus.OK, body)
                case "names":
                    return json_response(NamesAnswer(self.objects.names(query["prefix"])))
                case _:
                    return json_response(HostsAnswer(self.host_list.hosts(time.monotonic())))

    def _commit(self, commit: CommitRequest) -> Response:
        """Apply a transaction."""
        match self.table.commit(Transaction(commit.token, commit.writes)):
            case Committed(version):
                return json_response(CommitAnswer(version))
            case Conflict(rows):
                return json_response(ConflictAnswer(rows), HTTPStatus.CONFLICT)


def name_operation(request: Request) -> str:
    """Return the operation of a request, empty if there is none."""
    match request.method, request.path:
        case "GET", "/table/row":
            return "read"
        case "GET", "/table/rows":
            return "scan"
        case "POST", "/table/commit":
            return "commit"
        case "GET", "/objects":
            return "names"
        case "GET", "/hosts":
            return "hosts"
        case ("PUT" | "GET") as method, path if path.startswith(OBJECT_PATH):
            return method.lower()
    return ""


@click.command()
@click.option("--listen", default="127.0.0.1:0", help="Address to listen on.")
@click.option("--lag", default=0.0, help="Seconds by which the host list lags.")
def main(listen: str, lag: float) -> None:
    """Serve the table, the object store and the host list."""
    service = PlatformService(lag)
    serve_until_signal(Server(parse_address(listen), service.handle))
    service.stopped.set()


if __name__ == "__main__":
    main()
