"""
Adapters of the four ports over HTTP
====================================

Speak the dialect of docs/PLATFORM.md.  Nothing that the platform answers raises into a decision: an
answer that breaks the dialect is a fault, and one of a commit may have taken effect.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import TypeVar
from urllib.parse import quote, urlencode

import msgspec
from expression import Error, Ok, Result

from toucanpin.platform.exchange import Answer, Exchange
from toucanpin.platform.messages import (
    OBJECT_ABSENT,
    OBJECT_HEADER,
    CommitAnswer,
    CommitRequest,
    ConflictAnswer,
    HostsAnswer,
    NamesAnswer,
    RowAnswer,
    RowsAnswer,
    write_poll,
)
from toucanpin.platform.ports import (
    MAX_TRANSACTION_ROWS,
    CommitFault,
    Committed,
    Conflict,
    ListedHost,
    Poll,
    Report,
    Row,
    StoreFault,
    Transaction,
    Unknown,
    WorkerFault,
)

__all__ = ["HttpHostList", "HttpObjectStore", "HttpTable", "HttpWorkers"]

DEFAULT_TIMEOUT = 2.0
WORKER_POOLS = 4_096

T = TypeVar("T")


class HttpTable:
    """Read and change rows of the platform's table."""

    def __init__(self, base_url: str, client: str, timeout: float = DEFAULT_TIMEOUT) -> None:
        self._base = base_url.rstrip("/")
        self._exchange = Exchange(client, timeout)

    def read(self, key: str) -> Result[Row | None, StoreFault]:
        """Read one row, None if absent."""
        url = f"{self._base}/table/row?{urlencode({'key': key})}"
        answer = self._exchange.send("GET", url)
        return answer.bind(lambda it: decode(it, RowAnswer)).map(lambda it: it.row)

    def scan(self, prefix: str, after: int = 0) -> Result[tuple[Row, ...], StoreFault]:
        """Read, in key order, the rows below a prefix whose version is greater than ``after``."""
        url = f"{self._base}/table/rows?{urlencode({'prefix': prefix, 'after': after})}"
        answer = self._exchange.send("GET", url)
        return answer.bind(lambda it: decode(it, RowsAnswer)).map(lambda it: it.rows)

    def commit(self, transaction: Transaction) -> Result[Committed, CommitFault]:
        """Apply a transaction, all or nothing; raise ValueError if it has too many rows."""
        if len(transaction.writes) > MAX_TRANSACTION_ROWS:
            raise ValueError(f"a transaction has at most {MAX_TRANSACTION_ROWS} rows")
        body = msgspec.json.encode(CommitRequest(transaction.token, transaction.writes))
        match self._exchange.send("POST", f"{self._base}/table/commit", body):
            case Result(tag="ok", ok=answer):
                return read_commit(answer)
            case Result(error=fault):
                return Error(fault)

    def close(self) -> None:
        """Close the idle connections."""
        self._exchange.close()


class HttpObjectStore:
    """Keep objects in the platform's store."""

    def __init__(self, base_url: str, client: str, timeout: float = DEFAULT_TIMEOUT) -> None:
        self._base = base_url.rstrip("/")
        self._exchange = Exchange(client, timeout)

    def put(self, name: str, body: bytes) -> Result[None, StoreFault]:
        """Store an object; storing the same name again replaces it."""
        answer = self._exchange.send("PUT", self._url(name), body)
        return answer.bind(read_put)

    def get(self, name: str) -> Result[bytes | None, StoreFault]:
        """Read an object, None if absent."""
        return self._exchange.send("GET", self._url(name)).bind(read_object)

    def names(self, prefix: str) -> Result[tuple[str, ...], StoreFault]:
        """List the names below a prefix."""
        url = f"{self._base}/objects?{urlencode({'prefix': prefix})}"
        answer = self._exchange.send("GET", url)
        return answer.bind(lambda it: decode(it, NamesAnswer)).map(lambda it: it.names)

    def close(self) -> None:
        """Close the idle connections."""
        self._exchange.close()

    def _url(self, name: str) -> str:
        """Return where an object is kept."""
        return f"{self._base}/objects/{quote(name, safe='')}"


class HttpHostList:
    """Read the platform's host list."""

    def __init__(self, base_url: str, client: str, timeout: float = DEFAULT_TIMEOUT) -> None:
        self._base = base_url.rstrip("/")
        self._exchange = Exchange(client, timeout)

    def hosts(self) -> Result[tuple[ListedHost, ...], StoreFault]:
        """Read the whole list."""
        answer = self._exchange.send("GET", f"{self._base}/hosts")
        return answer.bind(lambda it: decode(it, HostsAnswer)).map(lambda it: it.hosts)

    def close(self) -> None:
        """Close the idle connections."""
        self._exchange.close()


class HttpWorkers:
    """Speak with the workers' agents."""

    def __init__(self, client: str, timeout: float = DEFAULT_TIMEOUT) -> None:
        self._exchange = Exchange(client, timeout, pools=WORKER_POOLS, connections=2)

    def poll(self, host: ListedHost, poll: Poll) -> Result[Report, WorkerFault]:
        """Send one poll and wait for its report."""
        url = f"http://{host.address}:{host.port}/poll"
        body = msgspec.json.encode(write_poll(poll))
        answer = self._exchange.send("POST", url, body)
        return answer.bind(lambda it: decode(it, Report)).map_error(read_worker_fault)

    def close(self) -> None:
        """Close the idle connections."""
        self._exchange.close()


def decode(answer: Answer, form: type[T]) -> Result[T, StoreFault]:
    """Decode a 200 answer; anything else breaks the dialect."""
    if answer.status != HTTPStatus.OK:
        return Error(Unknown(f"status {answer.status}: {answer.body[:200]!r}"))
    try:
        return Ok(msgspec.json.decode(answer.body, type=form))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return Error(Unknown(f"the answer can't be understood: {error}"))


def read_commit(answer: Answer) -> Result[Committed, CommitFault]:
    """Tell a commit from a conflict."""
    if answer.status != HTTPStatus.CONFLICT:
        return decode(answer, CommitAnswer).map(lambda it: Committed(it.version))
    match decode(Answer(HTTPStatus.OK, answer.headers, answer.body), ConflictAnswer):
        case Result(tag="ok", ok=conflict):
            return Error(Conflict(conflict.rows))
        case Result(error=fault):
            return Error(fault)


def read_put(answer: Answer) -> Result[None, StoreFault]:
    """Accept only the status that confirms a stored object."""
    if answer.status != HTTPStatus.OK:
        return Error(Unknown(f"status {answer.status}: {answer.body[:200]!r}"))
    return Ok(None)


def read_object(answer: Answer) -> Result[bytes | None, StoreFault]:
    """Tell an object from its absence; a 404 of anything else isn't taken for absence."""
    if answer.status == HTTPStatus.OK:
        return Ok(answer.body)
    absent = answer.headers.get(OBJECT_HEADER) == OBJECT_ABSENT
    if answer.status == HTTPStatus.NOT_FOUND and absent:
        return Ok(None)
    return Error(Unknown(f"status {answer.status}: {answer.body[:200]!r}"))


def read_worker_fault(fault: StoreFault) -> WorkerFault:
    """Say of a fault whether the worker may have acted on the poll."""
    return WorkerFault(fault.detail, reached=isinstance(fault, Unknown))
