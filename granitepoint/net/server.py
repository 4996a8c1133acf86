"""The server for callers: reads their requests and writes exactly one answer to each."""

from __future__ import annotations

import asyncio
import re
import select
import time
from collections import Counter, deque
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from itertools import islice, takewhile
from typing import Any, Protocol, cast

import httptools

from granitepoint.interface import Effect
from granitepoint.net.headers import HOP_BY_HOP_HEADERS, normalize_header
from granitepoint.net.listener import Listener
from granitepoint.net.logs import EventLogger
from granitepoint.net.request_lines import BadRequest, Rejection, RequestSplitter, rejection_for
from granitepoint.net.timing import NEXT_LOOP_ITERATION_S, STALL_THRESHOLD_S
from granitepoint.net.upstream import UPSTREAM_DESCRIPTOR_SHARE

log = EventLogger(__name__)

MAX_BODY_BYTES = 256 * 1024  # of a request
LARGE_BODY_BYTES = 64 * 1024  # a body above this is large; only max_large_requests are held at once
MAX_HEAD_BYTES = 32 * 1024  # target and headers of a request
MAX_RAW_REQUEST_BYTES = MAX_HEAD_BYTES + 2 * MAX_BODY_BYTES  # as received, with the framing of chunks
# Bytes read while a complete request waits behind the one that is being answered. A request left in the
# socket beyond this limit gets a later received_at than its real arrival: its deadline is computed too late.
MAX_READ_AHEAD_BYTES = 16 * 1024
# From the connect, or from the first byte of a further request, until the request is complete.
REQUEST_READ_TIMEOUT_S = 2.2
KEEP_ALIVE_TIMEOUT_S = 5.0  # from an answer until an idle connection is closed
LINGER_TIMEOUT_S = 2.0  # for the peer to receive its last answer; input that arrives meanwhile is discarded
SWEEP_INTERVAL_S = 0.1  # between checks for timed-out connections
# For the listener, discovery, the event loop and the log; a tenth of the descriptor limit where that is less.
RESERVED_DESCRIPTORS = 24
# At the connection limit, connections are evicted in this order: (table, minimum time in that table in s).
# A closing connection may still be sending its last answer, so it is given time before it is evicted.
EVICTION_ORDER = (
    ("awaiting_request", 0.3), ("idle", 2.0), ("closing", 0.5),
    ("awaiting_request", 0.05), ("idle", 0.5), ("closing", 0.0),
)  # fmt: skip
PEER_CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR  # closed or reset
# Connections checked per entry of EVICTION_ORDER; one with unread data, maybe a request, is not evicted.
MAX_EVICTION_CHECKS = 8
# Share of the caller connections that is kept for connections over the limit, whose requests are refused.
OVER_LIMIT_SHARE = 0.12
BASE_MEMORY_MB = 20  # used by the process before it serves requests
LARGE_BODY_MEMORY_SHARE = 0.1  # of the memory above BASE_MEMORY_MB, for large requests
CONNECTION_MEMORY_MB = 0.125  # per connection: a request, its copy and an answer
CONTROL_CHARACTERS = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")  # in a header's value
TARGET_PATTERN = re.compile(rb"/[\x21-\x7e]*")  # a path, maybe with a query
BUDGET_PATTERN = re.compile(rb"(\d{1,15}(?:\.\d{1,9})?)([mu])")  # milliseconds or microseconds
REMOVED_HEADERS = HOP_BY_HOP_HEADERS | {b"x-budget", b"expect", b"x-load-report"}  # not sent to backends
REASON_PHRASES = {
    200: b"OK", 400: b"Bad Request", 404: b"Not Found", 408: b"Request Timeout", 409: b"Conflict",
    413: b"Content Too Large", 431: b"Request Header Fields Too Large", 500: b"Internal Server Error",
    502: b"Bad Gateway", 503: b"Service Unavailable", 504: b"Gateway Timeout",
    505: b"HTTP Version Not Supported",
}  # fmt: skip
Headers = tuple[tuple[bytes, bytes], ...]
NO_HEADERS: Headers = ()


@dataclass(slots=True)
class Request:
    """A complete and valid request."""

    id: bytes
    cls: str  # its class, the first part of the path
    budget: float  # s, counted from when the client sent the request
    tenant: str
    session_id: str  # the sid cookie; empty if there is none
    work: float  # s of server time, the client's estimate; 0 if unknown
    resent: bool  # the client marks it as a retry
    head: bytes  # request line and headers for the backend, without x-budget and the final blank line
    body: bytes
    received_at: float  # s, monotonic


class Reply(Protocol):
    """Writes the answer to one request."""

    def answer(self, code: int, headers: Any, body: bytes) -> None:
        """Sends the one answer. Raises RuntimeError if the request has been answered already."""
        ...

    def peer_closed(self) -> bool:
        """Returns whether the caller has closed or reset its connection."""
        ...


class Handler(Protocol):
    """Handles the requests that the server has read; implemented by the driver."""

    def on_request(self, request: Request, reply: Reply) -> object:
        """Starts a call and returns its handle for on_disconnect; may answer it before it returns."""
        ...

    def on_disconnect(self, call: Any) -> None:
        """Ends an unanswered call whose caller has disconnected."""
        ...

    def ready(self) -> bool:
        """Returns whether the proxy can serve requests; the answer to GET /healthz."""
        ...


def _single_header(headers: list[tuple[bytes, bytes]], name: bytes) -> bytes:
    values = [value for key, value in headers if key == name]
    if len(values) > 1:
        raise BadRequest(400, f"more than one {name.decode()}")
    return values[0] if values else b""


def read_request(
    method: bytes,
    target: bytes,
    headers: list[tuple[bytes, bytes]],
    body: bytes,
    received_at: float,
    effects: Mapping[str, Effect],
) -> Request:
    """Validates a parsed request against its class; `received_at` is monotonic, in s.

    Raises BadRequest if a header, the target, the method or the body is invalid.
    """
    if not TARGET_PATTERN.fullmatch(target):
        raise BadRequest(400, "the target is not a path")
    if any(CONTROL_CHARACTERS.search(value) for _, value in headers):
        raise BadRequest(400, "a header holds what a backend might not read")
    if sum(name == b"host" for name, _ in headers) != 1:  # RFC 9112, section 3.2
        raise BadRequest(400, "a request of HTTP/1.1 has one Host")
    cls = target[1:].split(b"?", 1)[0].split(b"/", 1)[0].decode("latin-1")
    effect = effects.get(cls)
    if effect is None:
        raise BadRequest(404, "no such class")
    id, key = _single_header(headers, b"x-call-id"), _single_header(headers, b"idempotency-key")
    if not id:
        raise BadRequest(400, "X-Call-Id is missing")
    budget = BUDGET_PATTERN.fullmatch(_single_header(headers, b"x-budget"))
    if budget is None:
        raise BadRequest(400, "X-Budget is missing or malformed")
    if method != (b"GET" if effect is Effect.REPEATABLE else b"POST"):
        raise BadRequest(400, "wrong method for the class")
    if (effect is Effect.BY_KEY) != bool(key):
        raise BadRequest(400, "Idempotency-Key goes with a keyed class, and only with one")
    if body and method == b"GET":
        raise BadRequest(400, "a GET has no body")
    try:
        work = max(0.0, float(_single_header(headers, b"x-call-cost") or 0)) / 1e6
    except ValueError:
        raise BadRequest(400, "X-Call-Cost is malformed") from None
    lines = [method + b" " + target + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in headers if name not in REMOVED_HEADERS]
    if method == b"POST":
        lines.append(b"content-length: %d" % len(body))
    session_id = ""
    for part in _single_header(headers, b"cookie").split(b";"):
        name, _, value = part.strip().partition(b"=")
        if name == b"sid":
            session_id = value.decode("latin-1")
    return Request(
        id=id,
        cls=cls,
        budget=float(budget[1]) / (1e3 if budget[2] == b"m" else 1e6),
        tenant=_single_header(headers, b"x-caller").decode("latin-1"),
        session_id=session_id,
        work=work if work - work == 0.0 else 0.0,
        resent=_single_header(headers, b"x-again") == b"1",
        head=b"\r\n".join(lines) + b"\r\n",
        body=body,
        received_at=received_at,
    )


class ClientConnection(asyncio.Protocol):
    """One connection of a caller. Pipelined requests are answered in order, each exactly once."""

    __slots__ = (
        "answering", "body", "body_size", "call", "closing", "discarding_input", "head_size", "headers",
        "headers_complete", "in_message", "keep_alive", "over_limit", "parser", "pending_requests",
        "raw_bytes", "read_ahead_bytes", "reading_paused", "server", "splitter", "table", "table_since",
        "target", "transport", "write_blocked",
    )  # fmt: skip

    def __init__(self, server: Server) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser: Any = None
        self.splitter = RequestSplitter()
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body: list[bytes] = []
        self.head_size = self.body_size = 0
        self.raw_bytes = 0  # received since the last complete request
        self.read_ahead_bytes = 0  # read since pending_requests was last empty
        self.in_message = False  # the parser is within a request
        self.headers_complete = False
        # Complete requests (None: a readiness check), each with whether the connection stays open after it.
        self.pending_requests: deque[tuple[Request | Rejection | None, bool]] = deque()
        self.call: object | None = None  # the handler's object for the request that waits for its answer
        self.answering = False  # a request waits for its answer
        self.keep_alive = True
        # After invalid input the rest is read and dropped: a close on unread bytes could lose the answer.
        self.discarding_input = False
        self.closing = False  # the last answer has been written
        self.over_limit = False  # requests are refused: no connection capacity, or the end of the shutdown
        # The table of the server that it is in, by what it waits for (see Server).
        self.table: dict[ClientConnection, None] | None = None
        self.table_since = 0.0  # s, monotonic, of the move to that table
        self.write_blocked = False  # the write buffer is full because the peer does not read
        self.reading_paused = False

    # Transport callbacks
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the new connection with the server."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's does not inherit from it
        self.parser = httptools.HttpRequestParser(self)
        self.server.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Removes the connection from the server and ends its call."""
        # The parser refers to this object: the cycle would otherwise stay until the next garbage collection.
        self.transport = self.parser = None
        self.closing = True
        self.pending_requests.clear()
        self.server.set_table(self, None)
        self.server.connections.discard(self)
        self.server.over_limit_connections.discard(self)
        self.server.paused_connections.discard(self)
        self.server.large_request_connections.discard(self)
        call, self.call = self.call, None
        if call is not None:
            self.server.handler.on_disconnect(call)

    def pause_writing(self) -> None:
        """The write buffer is full: pauses reading as well."""
        self.write_blocked = True
        self._update_reading()

    def resume_writing(self) -> None:
        """The write buffer has drained: resumes reading."""
        self.write_blocked = False
        self._update_reading()

    def _update_reading(self) -> None:
        """Pauses reading while the peer does not read its answers or has sent too much ahead of them."""
        if self.transport is not None and not self.closing:
            if not self.pending_requests:
                self.read_ahead_bytes = 0
            # This bounds what one connection holds, beside the request that is being answered and the first
            # one that waits behind it, to MAX_READ_AHEAD_BYTES and a single read.
            pause = self.write_blocked or self.read_ahead_bytes > MAX_READ_AHEAD_BYTES
            if pause and not self.reading_paused:
                self.transport.pause_reading()
                self.server.paused_connections.add(self)
            elif self.reading_paused and not pause:
                self.transport.resume_reading()
                self.server.paused_connections.discard(self)
            self.reading_paused = pause

    def data_received(self, data: bytes) -> None:
        """Parses data; invalid input is answered with an error, after which the connection closes."""
        if self.closing or self.discarding_input:
            return
        self.raw_bytes += len(data)
        self.read_ahead_bytes += len(data)
        try:
            for piece in self.splitter.split(data):
                self.parser.feed_data(piece)
            # httptools buffers an unfinished header without a callback, so the raw bytes are counted as well.
            if self.raw_bytes > MAX_HEAD_BYTES and not self.headers_complete:
                raise BadRequest(431, "headers too large")
            if self.raw_bytes > MAX_RAW_REQUEST_BYTES:
                raise BadRequest(413, "the request does not end")
        except Exception as error:  # the parser wraps an exception that a callback raised in one of its own
            self._reject_input(rejection_for(error))
        if self.table is self.server.idle and not self.pending_requests:
            self.server.set_table(self, self.server.awaiting_request)  # the next request has started
        self._process_next()

    def _reject_input(self, rejection: Rejection) -> None:
        """Queues the error answer, after which the connection closes, and discards all further input."""
        self.pending_requests.append((rejection, False))
        self.body = []
        self.discarding_input = True

    # Parser callbacks
    def on_message_begin(self) -> None:
        """Starts a new request."""
        self.in_message = True
        self.target = b""
        self.headers, self.body = [], []
        self.head_size = self.body_size = 0

    def on_url(self, part: bytes) -> None:
        """Adds a part of the target."""
        self.target += part
        self._add_head_size(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header; a trailer only counts towards the size limit."""
        self._add_head_size(len(name) + len(value))
        if not self.headers_complete:
            self.headers.append(normalize_header(name, value))

    def _add_head_size(self, size: int) -> None:
        self.head_size += size
        if self.head_size > MAX_HEAD_BYTES:
            raise BadRequest(431, "headers too large")

    def on_headers_complete(self) -> None:
        """Checks how the length of the body is given, and answers `Expect: 100-continue`."""
        self.headers_complete = True
        lengths = [value for name, value in self.headers if name == b"content-length"]
        codings = [value for name, value in self.headers if name == b"transfer-encoding"]
        # Prevents request smuggling: with an ambiguous length a backend could take a part of the body for a
        # second request.
        if len(lengths) + len(codings) > 1 or (codings and codings[0].lower() != b"chunked"):
            raise BadRequest(400, "no one way to tell the length")
        body_size = 0
        if lengths:
            if not lengths[0].isdigit():
                raise BadRequest(400, "Content-Length is malformed")
            body_size = int(lengths[0]) if len(lengths[0]) <= 15 else MAX_BODY_BYTES + 1
            self._check_body_size(body_size)
        self.splitter.on_headers_complete(None if codings else body_size)
        expects = any(n == b"expect" and v.lower() == b"100-continue" for n, v in self.headers)
        if expects and self.transport is not None and not self.answering and not self.pending_requests:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, chunk: bytes) -> None:
        """Adds a part of the body."""
        self.body_size += len(chunk)
        self._check_body_size(self.body_size)
        self.body.append(chunk)

    def _check_body_size(self, size: int) -> None:
        if size > MAX_BODY_BYTES or (size > LARGE_BODY_BYTES and not self.server.reserve_large_request(self)):
            raise BadRequest(413, "body too large")

    def on_message_complete(self) -> None:
        """Queues the complete request."""
        self.in_message = self.headers_complete = False
        self.raw_bytes = 0
        self.splitter.on_message_complete()
        parser = self.parser
        keep_alive = parser.should_keep_alive()
        method = parser.get_method()
        request: Request | Rejection | None = None  # None: a readiness check
        if parser.should_upgrade():
            request = Rejection(400, "no upgrades")
            keep_alive = False
        elif self.target.split(b"?", 1)[0] != b"/healthz" or method != b"GET":
            body = b"".join(self.body)
            try:
                request = read_request(
                    method, self.target, self.headers, body, time.monotonic(), self.server.effects
                )
            except BadRequest as error:
                request = error.rejection
        self.headers, self.body = [], []
        self.pending_requests.append((request, keep_alive))

    # Answers
    def _process_next(self) -> None:
        """Processes queued requests, up to the first one that is not answered at once."""
        while self.pending_requests and not self.answering and not self.closing:
            request, self.keep_alive = self.pending_requests.popleft()
            self.answering = True
            self.server.set_table(self, None)
            if request is None:
                ready = self.server.handler.ready()
                self.answer(200 if ready else 503, NO_HEADERS, b"ok\n" if ready else b"not ready\n")
            elif isinstance(request, Rejection):
                self.server.counts[f"rejected {request.code}"] += 1
                log.debug("request_rejected", code=request.code, reason=request.text)
                self.answer(request.code, NO_HEADERS, f"{request.text}\n".encode())
            elif self.over_limit:
                self.server.counts["refused over limit"] += 1
                log.debug("request_refused", id=request.id, reason="over the connection limit")
                # The request was never sent to a backend, so it can be refused. Requests behind it need their
                # answers too, so the connection stays open until then.
                self.keep_alive = self.keep_alive and bool(self.pending_requests)
                self.answer(503, self.server.over_limit_headers, b"no room for this connection\n")
            else:
                try:
                    call = self.server.handler.on_request(request, self)
                except Exception:
                    log.exception("request_not_taken", id=request.id)
                    self.answer(500, NO_HEADERS, b"internal error\n")
                    continue
                if self.answering:
                    self.call = call
        self._update_reading()

    def answer(self, code: int, headers: Any, body: bytes) -> None:
        """Writes the answer to the open request.

        Raises RuntimeError if it has been answered already; nothing is written then.
        """
        if not self.answering:
            raise RuntimeError("the request has already been answered")
        self.answering = False
        self.call = None
        if not self.pending_requests and (self.discarding_input or not self.in_message):
            self.server.large_request_connections.discard(self)
        transport = self.transport
        if transport is None:
            return
        # Requests that have arrived behind this one must be answered before the connection closes.
        drained = self.server.draining and not (
            self.pending_requests or self.has_partial_request or self.has_unread_data()
        )
        is_last = not self.keep_alive or drained
        parts = [b"HTTP/1.1 %d %s\r\n" % (code, REASON_PHRASES.get(code, b"Status"))]
        parts += [name + b": " + value + b"\r\n" for name, value in headers]
        parts.append(b"content-length: %d\r\n" % len(body))
        parts.append(b"connection: close\r\n\r\n" if is_last else b"\r\n")
        parts.append(body)
        transport.write(b"".join(parts))
        if is_last:
            self.close()
        elif self.pending_requests:
            self.server.loop.call_soon(self._process_next)
        else:
            self.server.set_table(
                self, self.server.awaiting_request if self.has_partial_request else self.server.idle
            )

    def close(self) -> None:
        """Closes once everything written has been sent.

        If the peer may still be sending, only the write side is closed at first: closing a socket with unread
        bytes resets the connection, and the reset can destroy an answer that is still in transit.
        """
        transport = self.transport
        if transport is None or self.closing:
            return
        self.closing = True
        self.pending_requests.clear()
        self.server.set_table(self, self.server.closing)
        if not (
            self.discarding_input or self.reading_paused or self.has_partial_request or self.has_unread_data()
        ):
            transport.close()
            return
        if self.reading_paused:
            self.reading_paused = False
            self.server.paused_connections.discard(self)
            transport.resume_reading()
        transport.write_eof()

    def on_read_timeout(self) -> None:
        """Closes the connection after REQUEST_READ_TIMEOUT_S; a partial request is answered with 408."""
        self.reject_partial_request(Rejection(408, "the request did not end"))

    def reject_partial_request(self, rejection: Rejection) -> None:
        """Answers a partial request with this error; closes the connection if there is none."""
        if self.has_partial_request:
            self._reject_input(rejection)
            self._process_next()
        else:
            self.close()

    @property
    def has_partial_request(self) -> bool:
        """Whether a request has been received in part.

        in_message covers a request whose first bytes arrived together with the end of the previous one:
        raw_bytes counts none of these.
        """
        return self.in_message or self.raw_bytes > 0

    @property
    def fileno(self) -> int:
        """The file descriptor of the socket; only valid while the transport is open."""
        assert self.transport is not None
        return int(self.transport.get_extra_info("socket").fileno())

    def has_unread_data(self) -> bool:
        """Returns whether the socket holds bytes, maybe a request, that the event loop has not read yet."""
        if self.transport is None or self.transport.is_closing():
            return False
        poll = select.poll()
        poll.register(self.fileno, select.POLLIN)
        return bool(poll.poll(0))

    def peer_closed(self) -> bool:
        """Returns whether the peer has closed or reset, even if the event loop has not read that yet."""
        if self.transport is None or self.transport.is_closing():
            return True
        poll = select.poll()
        poll.register(self.fileno, PEER_CLOSED_EVENTS)
        return bool(poll.poll(0))

    def abort(self) -> None:
        """Closes the connection at once; unsent output is lost."""
        self.closing = True
        if self.transport is not None:
            self.transport.abort()


class Server:
    """The listener and the connections of the callers.

    A connection without an open request is in one of three tables, by what it waits for: awaiting_request,
    idle or closing. Each table is ordered by the time of entry, the oldest first.
    """

    def __init__(
        self,
        effects: Mapping[str, Effect],
        handler: Handler,
        sockets: int,
        memory_mb: float,
        over_limit_headers: Headers = NO_HEADERS,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.over_limit_headers = over_limit_headers  # of a refusal over the connection limit
        self.effects, self.handler = effects, handler
        reserved = int(sockets * UPSTREAM_DESCRIPTOR_SHARE) + min(RESERVED_DESCRIPTORS, sockets // 10)
        memory_limit = int(max(1.0, memory_mb - BASE_MEMORY_MB) / CONNECTION_MEMORY_MB)
        # A large request is held together with its copy.
        self.max_large_requests = max(
            1, int(LARGE_BODY_MEMORY_SHARE * (memory_mb - BASE_MEMORY_MB) * 2**20 / (2 * MAX_BODY_BYTES))
        )
        self.max_connections = max(8, min(sockets - reserved, memory_limit))
        self.max_served_connections = self.max_connections - int(self.max_connections * OVER_LIMIT_SHARE)
        self.connections: set[ClientConnection] = set()
        self.over_limit_connections: set[ClientConnection] = set()  # opened over the connection limit
        self.paused_connections: set[ClientConnection] = set()  # reading is paused
        self.large_request_connections: set[ClientConnection] = set()  # hold a large request
        self.awaiting_request: dict[ClientConnection, None] = {}  # no complete request yet
        self.idle: dict[ClientConnection, None] = {}  # answered, keep-alive
        self.closing: dict[ClientConnection, None] = {}  # the last answer has been written
        self.draining = False  # graceful shutdown: each answer closes its connection
        self.listener: Listener | None = None
        self.sweep_due = 0.0  # s, monotonic; when the next check for timed-out connections is due
        self.counts: Counter[str] = (
            Counter()
        )  # closes, rejections and refusals since the last statistics line

    def set_table(self, connection: ClientConnection, table: dict[ClientConnection, None] | None) -> None:
        """Moves a connection to the end of a table, or out of all tables (None)."""
        if connection.table is not None:
            del connection.table[connection]
        connection.table = table
        if table is not None:
            connection.table_since = time.monotonic()
            table[connection] = None

    def reserve_large_request(self, connection: ClientConnection) -> bool:
        """Returns whether this connection may hold a large request, within the memory limit for these."""
        if len(self.large_request_connections) < self.max_large_requests:
            self.large_request_connections.add(connection)
        return connection in self.large_request_connections

    def add(self, connection: ClientConnection) -> None:
        """Registers a new connection and enforces the connection limits.

        Over the limit an unused connection is evicted. If there is none, the requests of the new connection
        are refused. Once the capacity for such connections is used up too, the new connection is aborted.
        """
        self.connections.add(connection)
        if (
            len(self.connections) - len(self.over_limit_connections) > self.max_served_connections
            and not self._evict_connection()
        ):
            connection.over_limit = True
            self.over_limit_connections.add(connection)
        if len(self.connections) > self.max_connections and not self._evict_connection(among_over_limit=True):
            self.counts["caller turned away"] += 1
            connection.abort()
            return
        self.set_table(connection, self.awaiting_request)

    def _evict_connection(self, among_over_limit: bool = False) -> bool:
        """Aborts one unused connection; returns whether one was found.

        Evicting an over-limit connection frees a descriptor but no capacity for served connections, so
        `among_over_limit` says which of the two kinds is evicted.
        """
        now = time.monotonic()
        tables = {"awaiting_request": self.awaiting_request, "idle": self.idle, "closing": self.closing}
        for table_name, age in EVICTION_ORDER:
            old = self._entered_before(tables[table_name], now - age)
            for oldest in islice(
                (held for held in old if (held in self.over_limit_connections) == among_over_limit),
                MAX_EVICTION_CHECKS,
            ):
                if oldest.closing or not oldest.has_unread_data():
                    self.counts[f"caller evicted {table_name}"] += 1
                    self.set_table(oldest, None)
                    oldest.abort()
                    return True
        return False

    def figures(self) -> dict[str, float]:
        """Returns the numbers of connections, by what they wait for, for the statistics line."""
        return {
            "callers.open": len(self.connections),
            "callers.over_limit": len(self.over_limit_connections),
            "callers.awaiting_request": len(self.awaiting_request),
            "callers.idle": len(self.idle),
            "callers.paused": len(self.paused_connections),
        }

    async def listen(self, host: str, port: int) -> int:
        """Starts to accept connections and returns the port. Raises OSError if the address is unavailable."""
        self.listener = Listener(host, port, lambda: ClientConnection(self), self._evict_connection)
        self._sweep_later()
        return self.listener.port

    async def accept_pending(self, until: float) -> None:
        """Closes the listener once its backlog is accepted, at the monotonic time `until` at the latest.

        Closing a listener resets the connections in its backlog, and the requests sent on them are lost.
        """
        while self.listener is not None and self.listener.has_pending and time.monotonic() < until:
            await asyncio.sleep(NEXT_LOOP_ITERATION_S)
        self.stop_listening()

    def stop_listening(self) -> None:
        """Closes the listener; connections that are still in its backlog are reset."""
        if self.listener is not None:
            self.listener.close()

    def close_idle(self) -> None:
        """Closes the connections that have no request, neither a partial nor an unread one."""
        for connection in [*self.idle, *self.awaiting_request]:
            if not connection.has_partial_request and not connection.has_unread_data():
                connection.close()

    @property
    def has_partial_request(self) -> bool:
        """Whether any connection has a partial request, or unread bytes that may be one."""
        return any(
            connection.has_partial_request or connection.has_unread_data()
            for connection in (*self.idle, *self.awaiting_request)
        )

    def reject_partial_requests(self) -> None:
        """Refuses the requests that are still partial at the end of the graceful shutdown.

        None of them was sent to a backend, so the refusal is harmless. Unread bytes are read first, and a
        request that they complete is refused as well.
        """
        for connection in [*self.idle, *self.awaiting_request]:
            connection.over_limit = True
            if not connection.has_unread_data():
                connection.reject_partial_request(Rejection(503, "this proxy is ending"))

    def abort_closing(self) -> None:
        """Aborts the connections that a close does not end: their peers never read the last answer."""
        for connection in list(self.closing):
            connection.abort()

    def _sweep_later(self) -> None:
        self.sweep_due = time.monotonic() + SWEEP_INTERVAL_S
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        """Ends the connections that have been in one of the tables for too long."""
        now = time.monotonic()
        if now > self.sweep_due + SWEEP_INTERVAL_S + STALL_THRESHOLD_S:
            # The process was stalled. Timers run before sockets are read, so missing bytes may have arrived.
            self.sweep_due = now
            self.loop.call_later(NEXT_LOOP_ITERATION_S, self._sweep)
            return
        self._abort_disconnected()
        for table, reason, timeout, end in (
            (self.awaiting_request, "read timeout", REQUEST_READ_TIMEOUT_S, ClientConnection.on_read_timeout),
            (self.idle, "idle", KEEP_ALIVE_TIMEOUT_S, ClientConnection.close),
            (self.closing, "not closed by it", LINGER_TIMEOUT_S, ClientConnection.abort),
        ):
            for connection in list(self._entered_before(table, now - timeout)):
                # Unread bytes are read before a connection times out; at the next sweep it times out anyway.
                first_check = (
                    table is not self.closing and connection.table_since > now - timeout - SWEEP_INTERVAL_S
                )
                if not (first_check and connection.has_unread_data()):
                    self.counts[f"caller ended {reason}"] += 1
                    end(connection)
        self._sweep_later()

    @staticmethod
    def _entered_before(table: dict[ClientConnection, None], moment: float) -> Iterator[ClientConnection]:
        return takewhile(lambda connection: connection.table_since <= moment, table)

    def _abort_disconnected(self) -> None:
        """Aborts paused connections whose peer has closed or reset.

        While reading is paused, the event loop doesn't see the end of the connection behind the unread bytes,
        and a request whose caller has disconnected would still be sent to a backend.
        """
        poll, connections_by_fd = select.poll(), {}
        for connection in self.paused_connections:
            if connection.transport is not None:
                connections_by_fd[connection.fileno] = connection
                poll.register(connection.fileno, PEER_CLOSED_EVENTS)
        for file_number, _ in poll.poll(0) if connections_by_fd else ():
            log.info("caller_left_unread")
            self.counts["caller left unread"] += 1
            connections_by_fd[file_number].abort()
