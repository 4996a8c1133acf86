"""Connections to backends, and the exchanges (attempts and probes) that run on them."""

from __future__ import annotations

import asyncio
import errno
import math
import select
import time
from collections import Counter
from collections.abc import Callable
from typing import Any, cast

import httptools

from granitepoint.interface import ServerState, Status
from granitepoint.net.answer_lines import AnswerLine
from granitepoint.net.config import Address
from granitepoint.net.listing import Listing
from granitepoint.net.logs import EventLogger
from granitepoint.net.reuse_delay import ReuseDelay

log = EventLogger(__name__)

MAX_BODY_BYTES = 256 * 1024  # of an answer
MAX_HEAD_BYTES = 32 * 1024  # status line and headers of an answer, with all 1xx answers before it
MAX_RAW_ANSWER_BYTES = MAX_HEAD_BYTES + 2 * MAX_BODY_BYTES  # as received, with the framing of chunks
IDLE_TIMEOUT_SHARE = 0.9  # of the configured idle time, so that this side closes before the backend
# Delay from which a timer assumes that the process was stalled. As timers run before sockets are read, it
# then lets the sockets be read once more: what it waits for may have arrived.
STALL_THRESHOLD_S = 0.01
NEXT_LOOP_ITERATION_S = 0.001  # the event loop reads its sockets before a timer of this length fires
# Between a request and its last byte: a connection that was lost unnoticed breaks in this time.
LAST_BYTE_DELAY_S = NEXT_LOOP_ITERATION_S
PEER_CLOSED_EVENTS = select.POLLERR | select.POLLHUP | select.POLLRDHUP  # closed or reset
UPSTREAM_DESCRIPTOR_SHARE = 0.4  # of the process's file descriptors, for connections to backends
IDLE_SWEEP_INTERVAL_S = 1.0  # between checks for connections that have reached the idle timeout
# Errors of a connect that are caused by this machine, and say nothing about the backend.
LOCAL_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL))
HOP_BY_HOP_HEADERS = frozenset(
    b"connection keep-alive proxy-authenticate proxy-authorization proxy-connection te trailer "
    b"transfer-encoding upgrade content-length".split()
)


def normalize_header(name: bytes, value: bytes) -> tuple[bytes, bytes]:
    """Returns the header with a lower-case name and without blanks around its value.

    httptools leaves trailing blanks in place. It does not recognize a transfer coding that is followed by a
    tab, so such a value is kept as it is.
    """
    name = name.lower()
    return name, value.strip(b" " if name == b"transfer-encoding" else b" \t")


class Exchange:
    """One request to one backend, from the decision to send it until its outcome.

    `build_request` gets the remaining time in seconds and returns the bytes of the request.
    `may_start` is called right before the first byte is sent, also after a slow connect: in the meantime the
    call may have ended, or the backend may have started to drain.
    `on_done` is called once, with `status` set.
    `timeout` is in seconds from now, after which the exchange ends without an answer.
    `max_idle_age` is in seconds: connections that have been idle for longer are not used.
    `send_within` is in seconds from now: the last byte is not sent after that.
    """

    __slots__ = (
        "body",
        "build_request",
        "code",
        "connection",
        "deadline",
        "elapsed",
        "headers",
        "id",
        "idle_for",
        "last_byte",
        "loop",
        "max_idle_age",
        "may_start",
        "on_done",
        "send_deadline",
        "sent",
        "started_at",
        "status",
        "timer",
        "timer_due",
        "upstream",
    )

    def __init__(
        self,
        upstream: Upstream,
        build_request: Callable[[float], bytes],
        timeout: float,
        may_start: Callable[[], bool],
        on_done: Callable[[Exchange], None],
        max_idle_age: float = math.inf,
        send_within: float = math.inf,
        id: bytes = b"",
    ) -> None:
        self.id = id  # of the request, for log lines
        self.upstream = upstream
        self.build_request = build_request
        self.last_byte = b""  # held back for LAST_BYTE_DELAY_S
        self.max_idle_age = max_idle_age
        self.idle_for: float | None = None  # seconds that its connection was idle before; 0 for a new one
        self.may_start, self.on_done = may_start, on_done
        self.loop = upstream.owner.loop
        self.started_at = time.monotonic()
        self.status: Status | None = None  # the outcome; None until the end
        self.elapsed = 0.0  # seconds from the start to the end
        self.sent = False  # the last byte has been written, so the backend may run the request
        self.connection: Connection | None = None
        self.code = 0  # HTTP status of the answer; 0 without a complete answer
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = b""
        self.timer_due = self.deadline = self.started_at + timeout  # monotonic
        self.send_deadline = self.started_at + send_within
        self.timer = self.loop.call_later(timeout, self._on_timeout)

    def end(self, status: Status) -> None:
        """Ends the exchange. Without a complete answer its connection is aborted, so a late one is lost."""
        if self.status is not None:
            return
        self.status = status
        self.elapsed = time.monotonic() - self.started_at
        self.timer.cancel()
        connection, self.connection = self.connection, None
        if connection is not None:
            log.info(
                "attempt_given_up", id=self.id or None, status=status.name.lower(),
                backend="{}:{}".format(*self.upstream.address), after_s=self.elapsed,
                answered_bytes=connection.bytes_received, rested_s=connection.idle_for,
                carried=connection.exchange_count,
            )  # fmt: skip
            connection.abandon()
        try:
            self.on_done(self)
        except Exception:  # an error in one call must not break the callbacks of the connection
            log.exception("exchange_end_failed", id=self.id or None)

    def cancel(self) -> None:
        """Gives up the exchange on the balancer's request."""
        self.end(Status.CANCELLED if self.sent else Status.MOOT)

    def _on_timeout(self) -> None:
        if time.monotonic() > self.timer_due + STALL_THRESHOLD_S:
            # The process was stalled. Timers run before sockets are read, so the answer may already be there.
            self.timer_due = math.inf
            self.timer = self.loop.call_later(NEXT_LOOP_ITERATION_S, self._on_timeout)
            return
        if self.sent and self.upstream.last_received_at < self.started_at:
            # The backend has sent nothing on any connection in the meantime. A machine that vanished leaves
            # its connections open and silent; after its return each would cost one more call or probe.
            self.upstream.close_idle(self.started_at)
        self.end(Status.TIMEOUT if self.sent else Status.MOOT)

    def run_on(self, connection: Connection) -> None:
        """Writes the request to the connection, unless the exchange has ended or must not start any more."""
        if self.status is not None or time.monotonic() >= self.send_deadline or not self.may_start():
            connection.upstream.release(connection)
            self.end(Status.MOOT)
            return
        self.connection = connection
        connection.start_exchange(self)

    def on_broken_unsent(self, new_connection: bool) -> None:
        """Handles a connection that broke before the last byte was written: the request has not run.

        A reused connection may have been dead for a while, which says nothing about the backend: the exchange
        is started again on another connection.
        """
        self.connection = None
        if new_connection:
            self.end(Status.CONNECT_FAILED)
        elif self.status is None:
            self.upstream.owner.start(self)

    def on_answer(self, code: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        """Ends the exchange with a complete answer, whose code determines the status."""
        self.connection = None
        self.code, self.headers, self.body = code, headers, body
        if code == 200:
            self.end(Status.OK)
        elif code in (503, 504) and any(name == b"x-rejected" and value == b"1" for name, value in headers):
            self.end(Status.FULL)
        else:
            self.end(Status.ERROR)


class Connection(asyncio.Protocol):
    """One connection to a backend, which carries one exchange at a time."""

    __slots__ = (
        "answer_line",
        "answered_at",
        "body",
        "body_size",
        "body_until_close",
        "bytes_received",
        "connected_at",
        "exchange",
        "exchange_count",
        "headers",
        "headers_complete",
        "idle_for",
        "idle_since",
        "parser",
        "pending_answer",
        "transport",
        "upstream",
    )

    def __init__(self, upstream: Upstream) -> None:
        self.upstream = upstream
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.parser: Any = None  # a new one for each exchange, so no state is left from the previous answer
        self.answer_line = AnswerLine()
        self.headers: list[tuple[bytes, bytes]] = []
        self.body: list[bytes] = []
        self.bytes_received = self.body_size = 0  # of the current answer: on the wire, and of its body
        # body_until_close: the answer states no length, so its body ends with the connection.
        self.headers_complete = self.body_until_close = False
        # Code of an answer that is complete but not delivered yet, and whether the connection can be kept.
        self.pending_answer: tuple[int, bool] | None = None
        self.idle_since = 0.0  # monotonic
        self.answered_at = -math.inf  # monotonic, of its last answer
        self.connected_at = time.monotonic()
        self.exchange_count = 0  # exchanges started on it so far
        self.idle_for = 0.0  # seconds for which it was idle before the latest exchange

    # transport callbacks
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Counts the new connection."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's class does not inherit from it
        self.connected_at = time.monotonic()
        self.upstream.owner.open_connections += 1
        self.upstream.owner.counts["opened"] += 1

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the exchange in progress, or lets it start again if its last byte was not sent."""
        # The parser refers to this object: without this the cycle would be left to the garbage collector.
        self.transport = self.parser = None
        was_idle = self in self.upstream.idle
        self.upstream.on_connection_lost(self)
        if was_idle:
            self.upstream.owner.counts["ended at rest"] += 1
            self.upstream.owner.on_idle_closed(self.upstream, time.monotonic() - self.idle_since)
        if self.exchange is not None:
            # After the last byte the backend may have run the request, so it is not sent again from here.
            exchange, self.exchange = self.exchange, None
            if not exchange.sent:
                self._fail_unsent(exchange)
                return
            now = time.monotonic()
            log.info(
                "attempt_reset", id=exchange.id or None, backend="{}:{}".format(*self.upstream.address),
                after_s=now - exchange.started_at, answered_bytes=self.bytes_received,
                connection_s=now - self.connected_at, rested_s=self.idle_for, carried=self.exchange_count,
            )  # fmt: skip
            exchange.end(Status.RESET)

    def eof_received(self) -> None:
        """Completes an answer whose body ends with the connection."""
        if self.exchange is not None and self.body_until_close:
            self.pending_answer = self.parser.get_status_code(), False
            self._deliver()

    def data_received(self, data: bytes) -> None:
        """Parses data; a malformed answer ends the exchange, data without a request the connection."""
        self.upstream.last_received_at = time.monotonic()
        if self.exchange is None or not self.exchange.sent:
            self._on_unexpected_data(len(data))
            return
        self.bytes_received += len(data)
        malformed = False
        try:
            self.answer_line.on_data(data)
            self.parser.feed_data(data)
            # httptools buffers an endless header without an error, so the bytes are counted as they arrive.
            if self.pending_answer is None and self.bytes_received > (
                MAX_RAW_ANSWER_BYTES if self.headers_complete else MAX_HEAD_BYTES
            ):
                raise ValueError("the answer exceeds the size limit")
        except Exception as error:  # the answer is malformed, but the request may have run
            cause = error.__context__ or error
            log.warning(
                "answer_unusable", id=self.exchange.id or None,
                backend="{}:{}".format(*self.upstream.address), fault=str(cause),
            )  # fmt: skip
            malformed = True
        if self.pending_answer is not None:
            if malformed:  # the answer is complete and valid, but followed by unexpected data
                self.pending_answer = self.pending_answer[0], False
            self._deliver()
        elif malformed:
            self._end_malformed()

    def _on_unexpected_data(self, size: int) -> None:
        """Closes the connection: data without a request is not the answer to anything."""
        now = time.monotonic()
        log.info(
            "unexpected_data", backend="{}:{}".format(*self.upstream.address), bytes=size,
            after_answer_s=now - self.answered_at if self.exchange_count else None,
            carried=self.exchange_count,
        )  # fmt: skip
        self.upstream.owner.counts["unexpected data"] += 1
        self.upstream.owner.reuse_delay.on_unexpected_data(now - self.answered_at, now)
        exchange = self.exchange
        self.abandon()
        if exchange is not None:
            self._fail_unsent(exchange)

    def _deliver(self) -> None:
        """Passes the complete answer to the exchange, and keeps or closes the connection."""
        assert self.pending_answer is not None and self.exchange is not None
        (code, keep_alive), self.pending_answer = self.pending_answer, None
        headers, self.headers = self.headers, []
        body, self.body = b"".join(self.body), []
        exchange, self.exchange, self.parser = self.exchange, None, None
        self.answered_at = time.monotonic()
        if keep_alive:
            self.upstream.release(self)
        else:
            self.upstream.owner.counts["not to be kept"] += 1
            self.abandon()
        exchange.on_answer(code, headers, body)

    # parser callbacks
    def on_message_begin(self) -> None:
        """Raises ValueError for a second answer to one request."""
        if self.pending_answer is not None:
            raise ValueError("more than one answer to one request")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header."""
        if not self.headers_complete:  # trailers are dropped
            self.headers.append(normalize_header(name, value))

    def on_headers_complete(self) -> None:
        """Checks how the length of the body is given. Raises ValueError if it is ambiguous or too large."""
        self.answer_line.check_version(self.parser)
        code = self.parser.get_status_code()
        if 100 <= code < 200:
            return
        self.headers_complete = True
        if self.bytes_received > MAX_HEAD_BYTES + MAX_BODY_BYTES:  # all arrived in one read
            raise ValueError("headers too large")
        lengths = [value for name, value in self.headers if name == b"content-length"]
        codings = [value for name, value in self.headers if name == b"transfer-encoding"]
        if codings:
            if lengths or len(codings) > 1 or codings[0].lower() != b"chunked":
                raise ValueError("ambiguous body length")
        elif lengths:
            if len(lengths) > 1 or not lengths[0].isdigit():
                raise ValueError("invalid content-length")
            if len(lengths[0]) > 15 or int(lengths[0]) > MAX_BODY_BYTES:
                raise ValueError("body too large")
        elif code not in (204, 304):
            # The body ends with the connection. The backend has to announce that: else there might be no end.
            if not any(name == b"connection" and value.lower() == b"close" for name, value in self.headers):
                raise ValueError("no body length and no connection: close")
            self.body_until_close = True

    def on_body(self, chunk: bytes) -> None:
        """Adds a part of the body. Raises ValueError above the size limit."""
        self.body_size += len(chunk)
        if self.body_size > MAX_BODY_BYTES:
            raise ValueError("body too large")
        self.body.append(chunk)

    def on_message_complete(self) -> None:
        """Records that the answer is complete; drops a 1xx answer, except 101."""
        code = self.parser.get_status_code()
        if 100 <= code < 200 and code != 101:
            self.headers = []  # of an interim answer
        else:
            # should_keep_alive() is only valid within this callback.
            self.pending_answer = code, code != 101 and self.parser.should_keep_alive()

    def start_exchange(self, exchange: Exchange) -> None:
        """Writes the request except for its last byte, which follows after LAST_BYTE_DELAY_S."""
        assert self.transport is not None
        self.exchange = exchange
        self.idle_for = time.monotonic() - self.idle_since if self.exchange_count else 0.0
        self.exchange_count += 1
        exchange.idle_for = self.idle_for
        self.parser = httptools.HttpResponseParser(self)
        self.answer_line = AnswerLine()
        self.headers, self.body = [], []
        self.bytes_received = self.body_size = 0
        self.headers_complete = self.body_until_close = False
        data = exchange.build_request(max(0.0, exchange.deadline - time.monotonic()))
        exchange.last_byte = data[-1:]
        self.transport.write(data[:-1])
        self.upstream.owner.loop.call_later(LAST_BYTE_DELAY_S, self._send_last_byte, exchange)

    def _send_last_byte(self, exchange: Exchange) -> None:
        """Sends the last byte, if the connection has accepted all others without breaking.

        A backend starts a request when its last byte arrives, and a request that may have run often can't be
        retried. Data that arrived before the last byte would be mistaken for the answer.
        """
        if (
            self.exchange is not exchange
            or self.transport is None
            or self.has_pending_events(PEER_CLOSED_EVENTS | select.POLLIN)
        ):
            return
        if time.monotonic() >= exchange.send_deadline:
            exchange.end(Status.MOOT)
        elif self.transport.get_write_buffer_size():  # the backend has not taken the bytes before it yet
            self.upstream.owner.loop.call_later(LAST_BYTE_DELAY_S, self._send_last_byte, exchange)
        else:
            exchange.sent = True
            self.transport.write(exchange.last_byte)

    def _fail_unsent(self, exchange: Exchange) -> None:
        """Notifies the exchange that the connection broke before its last byte was sent."""
        self.upstream.owner.counts["broken before the last byte"] += 1
        exchange.on_broken_unsent(new_connection=self.exchange_count == 1)

    def has_unread_data(self) -> bool:
        """Returns whether the socket holds unread data, or the end of the connection."""
        return self.has_pending_events(select.POLLIN)

    def has_pending_events(self, events: int) -> bool:
        """Returns whether the connection is closing, or its socket has one of the poll events `events`."""
        if self.transport is None or self.transport.is_closing():
            return True
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), events)
        return bool(poll.poll(0))

    def abandon(self) -> None:
        """Closes the connection at once and detaches it from its exchange."""
        self.exchange = None
        self.upstream.remove_idle(self)
        if self.transport is not None:
            self.transport.abort()

    def _end_malformed(self) -> None:
        """Ends the exchange with an error after a malformed answer; the request may have run.

        Unlike a reset this says nothing about whether the backend is up.
        """
        exchange = self.exchange
        self.abandon()
        if exchange is not None:
            exchange.connection = None
            exchange.end(Status.ERROR)


class Upstream:
    """One backend as discovery last listed it, and its connections."""

    __slots__ = ("address", "connections", "idle", "last_received_at", "owner", "started_at", "state")

    def __init__(self, owner: Upstreams, address: Address, started_at: float, state: ServerState) -> None:
        self.owner, self.address, self.started_at, self.state = owner, address, started_at, state
        self.connections: set[Connection] = set()
        self.last_received_at = 0.0  # monotonic, of data on any of its connections
        self.idle: list[Connection] = []  # the one that has been idle the longest comes first

    @property
    def serving(self) -> bool:
        """Whether requests may be sent to it."""
        return self.state is ServerState.SERVING

    def take_rested(self, max_idle_age: float) -> Connection | None:
        """Returns an idle connection that has rested after its last answer, or None if there is none.

        The most recently used one is preferred, so that surplus connections reach the idle timeout.
        Connections that have been idle for more than `max_idle_age` seconds are closed.
        """
        now = time.monotonic()
        min_idle_since = now - min(self.owner.idle_timeout, max_idle_age)
        rested_since = now - self.owner.reuse_delay.at(now)
        for connection in reversed(self.idle.copy()):
            if connection.idle_since <= min_idle_since:
                self.owner.counts["closed as too old"] += 1
                connection.abandon()
            elif connection.answered_at <= rested_since:
                self.idle.remove(connection)
                if connection.transport is not None and not connection.transport.is_closing():
                    return connection
        return None

    def rested_at(self) -> float:
        """Returns when the first idle connection will have rested (monotonic); infinity if there is none."""
        answered_at = min((connection.answered_at for connection in self.idle), default=math.inf)
        return answered_at + self.owner.reuse_delay.at(time.monotonic())

    def release(self, connection: Connection) -> None:
        """Returns a connection to the idle ones, or closes it if the backend is not used any more."""
        if connection not in self.connections or not self.serving:
            connection.abandon()
            return
        connection.idle_since = time.monotonic()
        self.idle.append(connection)

    def remove_idle(self, connection: Connection) -> None:
        """Removes a connection from the idle ones."""
        if connection in self.idle:
            self.idle.remove(connection)

    def on_connection_lost(self, connection: Connection) -> None:
        """Updates the bookkeeping for a connection that is closed."""
        self.remove_idle(connection)
        self.connections.discard(connection)
        self.owner.open_connections -= 1

    def close_idle(self, unused_since: float = float("inf")) -> None:
        """Closes the connections idle since `unused_since` (monotonic) or longer; by default all of them."""
        for connection in [c for c in self.idle if c.idle_since <= unused_since]:
            connection.abandon()

    def drop_connections(self) -> None:
        """Stops reusing the connections, as another process or another address has replaced the backend."""
        self.close_idle()
        self.connections.clear()  # those in use are closed in release(), after their exchange


class Upstreams:
    """All backends, with a common limit of connections.

    `conn_idle` is the time in seconds after which a backend closes an idle connection.
    """

    def __init__(
        self,
        connect_timeout: float,
        conn_idle: float,
        max_connections: int,
        on_idle_closed: Callable[[Upstream, float], None] = lambda upstream, idle_for: None,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.connect_timeout = connect_timeout  # seconds
        self.idle_timeout = IDLE_TIMEOUT_SHARE * conn_idle  # seconds
        self.max_connections = max_connections
        self.on_idle_closed = on_idle_closed  # called when a backend closes an idle connection
        self.reuse_delay = ReuseDelay()
        self.open_connections = 0
        self.counts: Counter[str] = Counter()  # of connection events, since the last statistics line
        self.by_id: dict[int, Upstream] = {}
        self._connect_tasks: set[asyncio.Task[None]] = set()
        self.loop.call_later(IDLE_SWEEP_INTERVAL_S, self._sweep)

    @property
    def descriptors_in_use(self) -> int:
        """Number of file descriptors of connections and of connects in progress."""
        return self.open_connections + len(self._connect_tasks)

    @property
    def ready(self) -> bool:
        """Whether any backend can serve requests."""
        return any(upstream.serving for upstream in self.by_id.values())

    def apply(self, listing: Listing) -> None:
        """Updates the backends from a list of discovery."""
        listed_servers = set()
        for listed in listing.backends:
            entry = listed.entry
            listed_servers.add(entry.server)
            upstream = self.by_id.get(entry.server)
            if upstream is None:
                self.by_id[entry.server] = Upstream(self, listed.address, entry.started_at, entry.state)
                continue
            if upstream.address != listed.address or entry.started_at > upstream.started_at:
                upstream.drop_connections()
            upstream.address, upstream.started_at = listed.address, entry.started_at
            upstream.state = entry.state
        for server, upstream in list(self.by_id.items()):
            if listing.full and server not in listed_servers:
                upstream.state = ServerState.GONE
            if not upstream.serving:
                upstream.close_idle()
            if upstream.state is ServerState.GONE:
                del self.by_id[server]  # attempts in flight on it end by themselves

    def start(self, exchange: Exchange) -> None:
        """Runs the exchange on a rested connection, or on a new one if there is none.

        At the limit of connections it waits until one of this backend has rested, before a connection to
        another backend is closed for it.
        """
        upstream = exchange.upstream
        connection = upstream.take_rested(exchange.max_idle_age)
        if connection is not None:
            self._reuse(exchange, connection)
            return
        if self.descriptors_in_use >= self.max_connections:
            rested_at = upstream.rested_at()
            if rested_at < math.inf:
                self.loop.call_later(max(0.0, rested_at - time.monotonic()), self._start_again, exchange)
                return
            if not self._evict_idle():
                exchange.end(Status.MOOT)  # the limit is this proxy's own and says nothing about the backend
                return
        self.counts["opened beside resting"] += bool(upstream.idle)
        task = self.loop.create_task(self._connect(exchange, upstream))
        self._connect_tasks.add(task)
        task.add_done_callback(self._connect_tasks.discard)

    def _start_again(self, exchange: Exchange) -> None:
        """Starts an exchange that has waited for a connection, unless it has ended meanwhile."""
        if exchange.status is None:
            self.start(exchange)

    def _reuse(self, exchange: Exchange, connection: Connection) -> None:
        """Runs the exchange on an idle connection, unless that has broken or holds unread data.

        Unread data would be mistaken for the answer to the new request.
        """
        if connection in connection.upstream.connections and not connection.has_unread_data():
            exchange.run_on(connection)
            return
        connection.abandon()
        self._start_again(exchange)

    async def _connect(self, exchange: Exchange, upstream: Upstream) -> None:
        connection = Connection(upstream)
        address, started_at = upstream.address, upstream.started_at
        try:
            await self._open_connection(connection, address)
            if (address, started_at) != (upstream.address, upstream.started_at):
                raise ConnectionError("the backend changed during the connect")
            if connection.transport is None:
                raise ConnectionError("the connection was lost right after the connect")
            upstream.connections.add(connection)
            exchange.run_on(connection)
        except (OSError, TimeoutError) as error:
            connection.abandon()
            # A local shortage of resources says nothing about the backend.
            local = isinstance(error, OSError) and error.errno in LOCAL_ERRNOS
            exchange.end(Status.MOOT if local else Status.CONNECT_FAILED)
        except Exception:
            log.exception("attempt_failed", id=exchange.id or None, backend="{}:{}".format(*address))
            connection.abandon()
            exchange.end(Status.RESET)

    async def _open_connection(self, connection: Connection, address: Address) -> None:
        """Connects within the connect timeout. Raises OSError or TimeoutError.

        After a stall of this process the timers run before the sockets are read, and the connection may be up
        already. So the sockets are read once more before the connect counts as failed.
        """
        timer_due = time.monotonic() + self.connect_timeout
        opening = self.loop.create_task(self.loop.create_connection(lambda: connection, *address))
        await asyncio.wait([opening], timeout=self.connect_timeout)
        if not opening.done() and time.monotonic() > timer_due + STALL_THRESHOLD_S:
            await asyncio.wait([opening], timeout=NEXT_LOOP_ITERATION_S)
        if not opening.done():
            opening.cancel()
            await asyncio.wait([opening])
        if opening.cancelled():
            raise TimeoutError
        opening.result()

    def _evict_idle(self) -> bool:
        """Closes the connection that has been idle the longest. Returns False if there is none."""
        idle = [c for upstream in self.by_id.values() for c in upstream.idle[:1]]
        if not idle:
            return False
        min(idle, key=lambda c: c.idle_since).abandon()
        return True

    def _sweep(self) -> None:
        min_idle_since = time.monotonic() - self.idle_timeout
        for upstream in self.by_id.values():
            upstream.close_idle(min_idle_since)
        self.loop.call_later(IDLE_SWEEP_INTERVAL_S, self._sweep)
