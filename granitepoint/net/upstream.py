"""The backends' side: their connections, and the exchanges (attempts and probes) that run on these."""

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
from granitepoint.net.config import Address
from granitepoint.net.listing import Listing
from granitepoint.net.logs import Events

log = Events(__name__)

MAX_BODY_BYTES = 256 * 1024  # bytes of an answer
MAX_HEADER_BYTES = 32 * 1024  # bytes of an answer's headers, with all 1xx answers ahead of it
MAX_RAW_ANSWER_BYTES = MAX_HEADER_BYTES + 2 * MAX_BODY_BYTES  # bytes of an answer as it comes, chunk by chunk
IDLE_TIMEOUT_SHARE = 0.9  # of the settings' idle time after which this side closes first
STALL_THRESHOLD = 0.01  # s of delay of a timer after which the sockets are looked at first
NEXT_LOOP_ITERATION = 0.001  # s; the loop reads its sockets before such a timer
REUSE_DELAY = NEXT_LOOP_ITERATION  # s after an answer before its connection is used again: what else comes is seen first
LAST_BYTE_DELAY = (
    NEXT_LOOP_ITERATION  # s between a request and its last byte: a connection that is lost breaks meanwhile
)
HANGUP_EVENTS = select.POLLERR | select.POLLHUP | select.POLLRDHUP
UPSTREAM_DESCRIPTOR_SHARE = 0.4  # of the descriptors that the process may hold, for connections to backends
IDLE_SWEEP_INTERVAL = 1.0  # s between looks for idle connections
LOCAL_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL))
HOP_BY_HOP_HEADERS = frozenset(
    b"connection keep-alive proxy-authenticate proxy-authorization proxy-connection te trailer "
    b"transfer-encoding upgrade content-length".split()
)


def normalize_header(name: bytes, value: bytes) -> tuple[bytes, bytes]:
    """A header, without the blanks round its value: httptools leaves those behind it. A coding with a
    tab behind it is none that httptools knows, so that stays as it is."""
    name = name.lower()
    return name, value.strip(b" " if name == b"transfer-encoding" else b" \t")


class Exchange:
    """One request to one backend, from the decision to send until its one end.

    `may_start` is asked right before the first byte goes out, also after a slow connect: meanwhile the call
    may have ended or the backend begun to drain. `done` is called once, with `status` set.
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
        self.id = id  # of the request, for the log
        self.upstream = upstream
        self.build_request = build_request  # given the time left in s, at the first byte
        self.last_byte = b""  # the last byte, held back
        self.max_idle_age = max_idle_age  # s that a connection may have rested
        self.idle_for: float | None = None  # s that the one used had; 0: it was new
        self.may_start, self.on_done = may_start, on_done
        self.loop = upstream.owner.loop
        self.started_at = time.monotonic()
        self.status: Status | None = None
        self.elapsed = 0.0
        self.sent = False
        self.connection: Connection | None = None
        self.code = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = b""
        self.timer_due = self.deadline = self.started_at + timeout
        self.send_deadline = self.started_at + send_within  # no last byte after it
        self.timer = self.loop.call_later(timeout, self._on_timeout)

    def end(self, status: Status) -> None:
        """Any end but a whole answer gives up the connection, so that a late answer reaches nobody."""
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
                answered_bytes=connection.bytes_received, rested_s=connection.idle_for, carried=connection.exchange_count,
            )  # fmt: skip
            connection.abandon()
        try:
            self.on_done(self)
        except Exception:  # one call's fault must not end the callbacks of a connection
            log.exception("exchange_end_failed", id=self.id or None)

    def cancel(self) -> None:
        self.end(Status.CANCELLED if self.sent else Status.MOOT)

    def _on_timeout(self) -> None:
        if time.monotonic() > self.timer_due + STALL_THRESHOLD:
            # This process stood still, and timers come before sockets: the answer may have come long ago.
            self.timer_due = math.inf
            self.timer = self.loop.call_later(NEXT_LOOP_ITERATION, self._on_timeout)
            return
        if self.sent and self.upstream.last_received_at < self.started_at:
            # The backend said nothing to anyone meanwhile. A machine that vanished leaves its connections
            # open and silent; when it is back, each would cost one more call or probe to find out.
            self.upstream.close_idle(self.started_at)
        self.end(Status.TIMEOUT if self.sent else Status.MOOT)

    def run_on(self, connection: Connection) -> None:
        """Writes the request, unless it has ended or must not start any more."""
        if self.status is not None or time.monotonic() >= self.send_deadline or not self.may_start():
            connection.upstream.release(connection)
            self.end(Status.MOOT)
            return
        self.connection = connection
        connection.start_exchange(self)

    def on_broken_unsent(self, new_connection: bool) -> None:
        """The connection broke before the last byte was written, so nothing ran. A kept one had been lost
        unseen, which is no word of the backend's: the next one is used."""
        self.connection = None
        if new_connection:
            self.end(Status.CONNECT_FAILED)
        elif self.status is None:
            self.upstream.owner.start(self)

    def on_answer(self, code: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        self.connection = None
        self.code, self.headers, self.body = code, headers, body
        if code == 200:
            self.end(Status.OK)
        elif code in (503, 504) and any(name == b"x-rejected" and value == b"1" for name, value in headers):
            self.end(Status.FULL)
        else:
            self.end(Status.ERROR)


class Connection(asyncio.Protocol):
    """One connection to a backend; carries one exchange at a time."""

    __slots__ = (
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
        self.parser: Any = None  # one for each exchange: nothing of the last answer can reach the next
        self.headers: list[tuple[bytes, bytes]] = []
        self.body: list[bytes] = []
        self.bytes_received = self.body_size = 0  # bytes of this answer as they came; of its body
        self.headers_complete = self.body_until_close = False
        self.pending_answer: tuple[int, bool] | None = (
            None  # whole, not handed on yet: its code, and whether to keep
        )
        self.idle_since = 0.0
        self.connected_at = time.monotonic()
        self.exchange_count = 0  # exchanges so far
        self.idle_for = 0.0  # s that it had not been used before the last of these

    # transport callbacks
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's own class
        self.connected_at = time.monotonic()
        self.upstream.owner.open_connections += 1
        self.upstream.owner.counts["opened"] += 1

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = self.parser = None  # the parser holds this object: a cycle that would wait for gc
        was_idle = self in self.upstream.idle
        self.upstream.on_connection_lost(self)
        if was_idle:
            self.upstream.owner.counts["ended at rest"] += 1
            self.upstream.owner.on_idle_closed(self.upstream, time.monotonic() - self.idle_since)
        if self.exchange is not None:
            # The whole request may have left this process, so the backend may have run it: never a resend.
            exchange, self.exchange = self.exchange, None
            if not exchange.sent:
                self._fail_unsent(exchange)
                return
            now = time.monotonic()
            log.info(
                "attempt_reset", id=exchange.id or None, backend="{}:{}".format(*self.upstream.address),
                after_s=now - exchange.started_at, answered_bytes=self.bytes_received, connection_s=now - self.connected_at,
                rested_s=self.idle_for, carried=self.exchange_count,
            )  # fmt: skip
            exchange.end(Status.RESET)

    def eof_received(self) -> None:
        if self.exchange is not None and self.body_until_close:
            self.pending_answer = self.parser.get_status_code(), False
            self._deliver()

    def data_received(self, data: bytes) -> None:
        self.upstream.last_received_at = time.monotonic()
        if self.exchange is None or not self.exchange.sent:
            exchange = self.exchange
            self.abandon()  # nothing was asked: an answer to nobody
            if exchange is not None:
                self._fail_unsent(exchange)
            return
        self.bytes_received += len(data)
        malformed = False
        try:
            self.parser.feed_data(data)
            # httptools gathers a header that does not end without a word, so what comes is counted as it is.
            if self.pending_answer is None and self.bytes_received > (
                MAX_RAW_ANSWER_BYTES if self.headers_complete else MAX_HEADER_BYTES
            ):
                raise ValueError("the answer does not end")
        except Exception as error:  # garbage; it may still have run
            cause = error.__context__ or error
            log.warning(
                "answer_unusable", id=self.exchange.id or None,
                backend="{}:{}".format(*self.upstream.address), fault=str(cause),
            )  # fmt: skip
            malformed = True
        if self.pending_answer is not None:
            if malformed:  # it is whole and good, but more came than belongs to it
                self.pending_answer = self.pending_answer[0], False
            self._deliver()
        elif malformed:
            self._end_malformed()

    def _deliver(self) -> None:
        assert self.pending_answer is not None and self.exchange is not None
        (code, keep_alive), self.pending_answer = self.pending_answer, None
        headers, self.headers = self.headers, []
        body, self.body = b"".join(self.body), []
        exchange, self.exchange, self.parser = self.exchange, None, None
        if keep_alive:
            self.upstream.release(self)
        else:
            self.upstream.owner.counts["not to be kept"] += 1
            self.abandon()
        exchange.on_answer(code, headers, body)

    # parser callbacks
    def on_message_begin(self) -> None:
        if self.pending_answer is not None:
            raise ValueError("more than one answer to one request")

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.headers_complete:  # a trailer is no header
            self.headers.append(normalize_header(name, value))

    def on_headers_complete(self) -> None:
        code = self.parser.get_status_code()
        if 100 <= code < 200:
            return
        self.headers_complete = True
        if self.bytes_received > MAX_HEADER_BYTES + MAX_BODY_BYTES:  # came in one piece
            raise ValueError("headers too large")
        lengths = [value for name, value in self.headers if name == b"content-length"]
        codings = [value for name, value in self.headers if name == b"transfer-encoding"]
        if codings:
            if lengths or len(codings) > 1 or codings[0].lower() != b"chunked":
                raise ValueError("no one way to tell its length")
        elif lengths:
            if len(lengths) > 1 or not lengths[0].isdigit():
                raise ValueError("a length that can't be read")
            if len(lengths[0]) > 15 or int(lengths[0]) > MAX_BODY_BYTES:
                raise ValueError("body too large")
        elif code not in (204, 304):
            # It ends with the connection, if the backend says that it will: else there is no end to wait for.
            if not any(name == b"connection" and value.lower() == b"close" for name, value in self.headers):
                raise ValueError("no length")
            self.body_until_close = True

    def on_body(self, chunk: bytes) -> None:
        self.body_size += len(chunk)
        if self.body_size > MAX_BODY_BYTES:
            raise ValueError("body too large")
        self.body.append(chunk)

    def on_message_complete(self) -> None:
        code = self.parser.get_status_code()
        if 100 <= code < 200 and code != 101:
            self.headers = []  # an interim answer
        else:
            self.pending_answer = code, code != 101 and self.parser.should_keep_alive()  # known only here

    def start_exchange(self, exchange: Exchange) -> None:
        assert self.transport is not None
        self.exchange = exchange
        self.idle_for = time.monotonic() - self.idle_since if self.exchange_count else 0.0
        self.exchange_count += 1
        exchange.idle_for = self.idle_for
        self.parser = httptools.HttpResponseParser(self)
        self.headers, self.body = [], []
        self.bytes_received = self.body_size = 0
        self.headers_complete = self.body_until_close = False
        data = exchange.build_request(max(0.0, exchange.deadline - time.monotonic()))
        exchange.last_byte = data[-1:]
        self.transport.write(data[:-1])
        self.upstream.owner.loop.call_later(LAST_BYTE_DELAY, self._send_last_byte, exchange)

    def _send_last_byte(self, exchange: Exchange) -> None:
        """The last byte: with it a request may run, and one that may have run can often not be sent again.
        So it goes only to a connection that took the others without breaking. What came meanwhile and lies
        unread was not asked for, and would be taken for the answer."""
        if (
            self.exchange is not exchange
            or self.transport is None
            or self.has_pending_events(HANGUP_EVENTS | select.POLLIN)
        ):
            return
        if time.monotonic() >= exchange.send_deadline:
            exchange.end(Status.MOOT)
        elif self.transport.get_write_buffer_size():  # the peer takes its time with what comes before
            self.upstream.owner.loop.call_later(LAST_BYTE_DELAY, self._send_last_byte, exchange)
        else:
            exchange.sent = True
            self.transport.write(exchange.last_byte)

    def _fail_unsent(self, exchange: Exchange) -> None:
        self.upstream.owner.counts["broken before the last byte"] += 1
        exchange.on_broken_unsent(new_connection=self.exchange_count == 1)

    def has_unread_data(self) -> bool:
        """Whether bytes nobody asked for, or the connection's end, lie in its socket by now."""
        return self.has_pending_events(select.POLLIN)

    def has_pending_events(self, events: int) -> bool:
        """Whether the connection ends, or the loop has yet to hear one of these events from its socket."""
        if self.transport is None or self.transport.is_closing():
            return True
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), events)
        return bool(poll.poll(0))

    def abandon(self) -> None:
        self.exchange = None
        self.upstream.remove_idle(self)
        if self.transport is not None:
            self.transport.abort()

    def _end_malformed(self) -> None:
        """The backend answered, with something of no use: an error that may have run. Unlike a reset it says
        nothing of whether the backend is up."""
        exchange = self.exchange
        self.abandon()
        if exchange is not None:
            exchange.connection = None
            exchange.end(Status.ERROR)


class Upstream:
    """One backend as discovery last listed it, with its connections."""

    __slots__ = ("address", "connections", "idle", "last_received_at", "owner", "started_at", "state")

    def __init__(self, owner: Upstreams, address: Address, started_at: float, state: ServerState) -> None:
        self.owner, self.address, self.started_at, self.state = owner, address, started_at, state
        self.connections: set[Connection] = set()
        self.last_received_at = 0.0  # when it last sent anything
        self.idle: list[Connection] = []

    @property
    def serving(self) -> bool:
        return self.state is ServerState.SERVING

    def take_idle(self, max_idle_age: float) -> Connection | None:
        """The connection used last: the others grow old and are closed. One that was in use just now only
        where there is no other. None that has rested longer than is trusted."""
        now = time.monotonic()
        min_idle_since, reusable_since = now - min(self.owner.idle_timeout, max_idle_age), now - REUSE_DELAY
        while self.idle:
            index = len(self.idle) - 1
            while index and self.idle[index].idle_since > reusable_since:
                index -= 1
            if self.idle[index].idle_since > reusable_since:
                index = -1
            connection = self.idle.pop(index)
            if connection.transport is not None and not connection.transport.is_closing():
                if connection.idle_since > min_idle_since:
                    return connection
                self.owner.counts["closed as too old"] += 1
                connection.abandon()
        return None

    def release(self, connection: Connection) -> None:
        if connection not in self.connections or not self.serving:
            connection.abandon()
            return
        connection.idle_since = time.monotonic()
        self.idle.append(connection)

    def remove_idle(self, connection: Connection) -> None:
        if connection in self.idle:
            self.idle.remove(connection)

    def on_connection_lost(self, connection: Connection) -> None:
        self.remove_idle(connection)
        self.connections.discard(connection)
        self.owner.open_connections -= 1

    def close_idle(self, unused_since: float = float("inf")) -> None:
        for connection in [c for c in self.idle if c.idle_since <= unused_since]:
            connection.abandon()

    def drop_connections(self) -> None:
        """The process behind the address is another one: no connection may be inherited."""
        self.close_idle()
        self.connections.clear()  # those in use end with their exchange, in keep()


class Upstreams:
    """All backends, and the bound on connections to them."""

    def __init__(
        self,
        connect_timeout: float,
        conn_idle: float,
        max_connections: int,
        on_idle_closed: Callable[[Upstream, float], None] = lambda upstream, idle_for: None,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.connect_timeout = connect_timeout
        self.idle_timeout = IDLE_TIMEOUT_SHARE * conn_idle
        self.max_connections = max_connections
        self.on_idle_closed = on_idle_closed  # told of each idle connection that the other side ends
        self.open_connections = 0  # connections that are up
        self.counts: Counter[str] = Counter()  # of connections, since the last line of figures
        self.by_id: dict[int, Upstream] = {}
        self._connect_tasks: set[asyncio.Task[None]] = set()
        self.loop.call_later(IDLE_SWEEP_INTERVAL, self._sweep)

    @property
    def descriptors_in_use(self) -> int:
        """Descriptors in use or soon to be."""
        return self.open_connections + len(self._connect_tasks)

    @property
    def ready(self) -> bool:
        return any(upstream.serving for upstream in self.by_id.values())

    def apply(self, listing: Listing) -> None:
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
                del self.by_id[server]  # what is out on it ends by itself

    def start(self, exchange: Exchange) -> None:
        upstream = exchange.upstream
        connection = upstream.take_idle(exchange.max_idle_age)
        if connection is not None:
            wait = connection.idle_since + REUSE_DELAY - time.monotonic()
            if wait > 0:
                self.loop.call_later(wait, self._reuse, exchange, connection)
            else:
                self._reuse(exchange, connection)
        elif self.descriptors_in_use >= self.max_connections and not self._evict_idle():
            exchange.end(Status.MOOT)  # this proxy's own bound: no fault of the backend's
        else:
            task = self.loop.create_task(self._connect(exchange, upstream))
            self._connect_tasks.add(task)
            task.add_done_callback(self._connect_tasks.discard)

    def _reuse(self, exchange: Exchange, connection: Connection) -> None:
        """Bytes that lie unread would be taken for the answer to what is sent now."""
        if connection in connection.upstream.connections and not connection.has_unread_data():
            exchange.run_on(connection)
            return
        connection.abandon()
        if exchange.status is None:
            self.start(exchange)

    async def _connect(self, exchange: Exchange, upstream: Upstream) -> None:
        connection = Connection(upstream)
        address, started_at = upstream.address, upstream.started_at
        try:
            await self._open_connection(connection, address)
            if (address, started_at) != (upstream.address, upstream.started_at):
                raise ConnectionError("the backend is another one by now")
            if connection.transport is None:
                raise ConnectionError("lost as soon as made")
            upstream.connections.add(connection)
            exchange.run_on(connection)
        except (OSError, TimeoutError) as error:
            connection.abandon()
            # What this machine lacks is no fault of the backend's.
            local = isinstance(error, OSError) and error.errno in LOCAL_ERRNOS
            exchange.end(Status.MOOT if local else Status.CONNECT_FAILED)
        except Exception:
            log.exception("attempt_failed", id=exchange.id or None, backend="{}:{}".format(*address))
            connection.abandon()
            exchange.end(Status.RESET)

    async def _open_connection(self, connection: Connection, address: Address) -> None:
        """Raises OSError, TimeoutError too. Where this process stood still, its timers come before its
        sockets: the connection may have come up long ago."""
        timer_due = time.monotonic() + self.connect_timeout
        opening = self.loop.create_task(self.loop.create_connection(lambda: connection, *address))
        await asyncio.wait([opening], timeout=self.connect_timeout)
        if not opening.done() and time.monotonic() > timer_due + STALL_THRESHOLD:
            await asyncio.wait([opening], timeout=NEXT_LOOP_ITERATION)
        if not opening.done():
            opening.cancel()
            await asyncio.wait([opening])
        if opening.cancelled():
            raise TimeoutError
        opening.result()

    def _evict_idle(self) -> bool:
        """At the bound, the connection that is idle the longest makes room."""
        idle = [c for upstream in self.by_id.values() for c in upstream.idle[:1]]
        if not idle:
            return False
        min(idle, key=lambda c: c.idle_since).abandon()
        return True

    def _sweep(self) -> None:
        min_idle_since = time.monotonic() - self.idle_timeout
        for upstream in self.by_id.values():
            upstream.close_idle(min_idle_since)
        self.loop.call_later(IDLE_SWEEP_INTERVAL, self._sweep)
