"""
HTTP adapters
=============

Implement the four interfaces of ``ports`` over the HTTP protocol of docs/PLATFORM.md.  Invalid
answers are returned as faults and never raised.  After an invalid answer to a commit, the commit
may have taken effect.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import TypeVar
from urllib.parse import quote, urlencode

import msgspec
from expression import Error, Ok, Result

from toucanpin.decoding import decode_json
from toucanpin.exception import MalformedError
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

DEFAULT_TIMEOUT_S = 2.0
MAX_WORKER_POOLS = 4_096

T = TypeVar("T")


class HttpTable:
    """The platform's transactional table."""

    def __init__(self, base_url: str, client: str, timeout: float = DEFAULT_TIMEOUT_S) -> None:
        self._base = base_url.rstrip("/")
        self._exchange = Exchange(client, timeout)

    def read(self, key: str) -> Result[Row | None, StoreFault]:
        """Return one row, None if it doesn't exist."""
        url = f"{self._base}/table/row?{urlencode({'key': key})}"
        answer = self._exchange.send("GET", url)
        return answer.bind(lambda it: decode(it, RowAnswer)).map(lambda it: it.row)

    def scan(self, prefix: str, after: int = 0) -> Result[tuple[Row, ...], StoreFault]:
        """Return, in key order, the rows with a prefix whose version is above ``after``."""
        url = f"{self._base}/table/rows?{urlencode({'prefix': prefix, 'after': after})}"
        answer = self._exchange.send("GET", url)
        return answer.bind(lambda it: decode(it, RowsAnswer)).map(lambda it: it.rows)

    def commit(self, transaction: Transaction) -> Result[Committed, CommitFault]:
        """
        Apply a transaction atomically.

        Raises
        ------
        ValueError
            If it has more than MAX_TRANSACTION_ROWS rows.
        """
        if len(transaction.writes) > MAX_TRANSACTION_ROWS:
            raise ValueError(
                f"transaction of {len(transaction.writes)} rows;"
                f" at most {MAX_TRANSACTION_ROWS} are allowed"
            )
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
    """The platform's object store."""

    def __init__(self, base_url: str, client: str, timeout: float = DEFAULT_TIMEOUT_S) -> None:
        self._base = base_url.rstrip("/")
        self._exchange = Exchange(client, timeout)

    def put(self, name: str, body: bytes) -> Result[None, StoreFault]:
        """Store an object, replacing any of the same name."""
        answer = self._exchange.send("PUT", self._url(name), body)
        return answer.bind(read_put)

    def get(self, name: str) -> Result[bytes | None, StoreFault]:
        """Return an object, None if it doesn't exist."""
        return self._exchange.send("GET", self._url(name)).bind(read_object)

    def names(self, prefix: str) -> Result[tuple[str, ...], StoreFault]:
        """Return the names of objects with a prefix."""
        url = f"{self._base}/objects?{urlencode({'prefix': prefix})}"
        answer = self._exchange.send("GET", url)
        return answer.bind(lambda it: decode(it, NamesAnswer)).map(lambda it: it.names)

    def close(self) -> None:
        """Close the idle connections."""
        self._exchange.close()

    def _url(self, name: str) -> str:
        """Return the URL of an object."""
        return f"{self._base}/objects/{quote(name, safe='')}"


class HttpHostList:
    """The platform's host list."""

    def __init__(self, base_url: str, client: str, timeout: float = DEFAULT_TIMEOUT_S) -> None:
        self._base = base_url.rstrip("/")
        self._exchange = Exchange(client, timeout)

    def hosts(self) -> Result[tuple[ListedHost, ...], StoreFault]:
        """Return all hosts."""
        answer = self._exchange.send("GET", f"{self._base}/hosts")
        return answer.bind(lambda it: decode(it, HostsAnswer)).map(lambda it: it.hosts)

    def close(self) -> None:
        """Close the idle connections."""
        self._exchange.close()


class HttpWorkers:
    """The agents on the workers."""

    def __init__(self, client: str, timeout: float = DEFAULT_TIMEOUT_S) -> None:
        self._exchange = Exchange(client, timeout, pools=MAX_WORKER_POOLS, connections=2)

    def poll(self, host: ListedHost, poll: Poll) -> Result[Report, WorkerFault]:
        """Send one poll and return the worker's report."""
        url = f"http://{host.address}:{host.port}/poll"
        body = msgspec.json.encode(write_poll(poll))
        answer = self._exchange.send("POST", url, body)
        return answer.bind(lambda it: decode(it, Report)).map_error(read_worker_fault)

    def close(self) -> None:
        """Close the idle connections."""
        self._exchange.close()


def decode(answer: Answer, message_type: type[T]) -> Result[T, StoreFault]:
    """Decode the body of a 200 answer; any other status is a fault."""
    if answer.status != HTTPStatus.OK:
        return Error(Unknown(f"status {answer.status}: {answer.body[:200]!r}"))
    try:
        return Ok(decode_json(answer.body, message_type))
    except MalformedError as error:
        return Error(Unknown(f"the answer can't be understood: {error}"))


def read_commit(answer: Answer) -> Result[Committed, CommitFault]:
    """Return the outcome of a commit, which may be a conflict."""
    if answer.status != HTTPStatus.CONFLICT:
        return decode(answer, CommitAnswer).map(lambda it: Committed(it.version))
    match decode(Answer(HTTPStatus.OK, answer.headers, answer.body), ConflictAnswer):
        case Result(tag="ok", ok=conflict):
            return Error(Conflict(conflict.rows))
        case Result(error=fault):
            return Error(fault)


def read_put(answer: Answer) -> Result[None, StoreFault]:
    """Return None if the answer confirms that the object was stored."""
    if answer.status != HTTPStatus.OK:
        return Error(Unknown(f"status {answer.status}: {answer.body[:200]!r}"))
    return Ok(None)


def read_object(answer: Answer) -> Result[bytes | None, StoreFault]:
    """Return an object, None if the store states its absence; other 404 answers are faults."""
    if answer.status == HTTPStatus.OK:
        return Ok(answer.body)
    absent = answer.headers.get(OBJECT_HEADER) == OBJECT_ABSENT
    if answer.status == HTTPStatus.NOT_FOUND and absent:
        return Ok(None)
    return Error(Unknown(f"status {answer.status}: {answer.body[:200]!r}"))


def read_worker_fault(fault: StoreFault) -> WorkerFault:
    """Return the worker's fault, ``reached`` if the worker may have acted on the poll."""
    return WorkerFault(fault.detail, reached=isinstance(fault, Unknown))
