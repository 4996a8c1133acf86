"""One connection to a backend: writes requests, reads answers, and tells what certainly never ran."""

from __future__ import annotations

import asyncio
import math
import select
import time
from typing import TYPE_CHECKING, Any, cast

import httptools

from granitepoint.interface import Status
from granitepoint.net.answer_lines import AnswerLine
from granitepoint.net.exchange import Exchange
from granitepoint.net.headers import normalize_header
from granitepoint.net.logs import EventLogger
from granitepoint.net.timing import NEXT_LOOP_ITERATION_S

if TYPE_CHECKING:
    from granitepoint.net.upstream import Upstream

log = EventLogger(__name__)

MAX_BODY_BYTES = 256 * 1024  # of an answer
MAX_HEAD_BYTES = 32 * 1024  # status line and headers of an answer, with all 1xx answers before it
MAX_HEAD_FIELDS = 128
MAX_RAW_ANSWER_BYTES = MAX_HEAD_BYTES + 2 * MAX_BODY_BYTES  # as received, with the framing of chunks
# Between a request and its last byte: a connection that was lost unnoticed breaks in this time.
LAST_BYTE_DELAY_S = NEXT_LOOP_ITERATION_S
PEER_CLOSED_EVENTS = select.POLLERR | select.POLLHUP | select.POLLRDHUP  # closed or reset


class Connection(asyncio.BufferedProtocol):
    """One connection to a backend, which carries one exchange at a time."""

    __slots__ = (
        "answer_line",
        "answered_at",
        "body",
        "body_until_close",
        "bytes_received",
        "connected_at",
        "exchange",
        "exchange_count",
        "head_size",
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
        self.body = bytearray()
        self.bytes_received = self.head_size = 0  # of the current answer: on the wire, and of its headers
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
        self.upstream.owner.answers.release(self)
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

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next read, which all connections share."""
        return self.upstream.owner.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Takes what was read into the buffer."""
        self.data_received(bytes(self.upstream.owner.read_buffer[:nbytes]))

    def resume_answer(self) -> None:
        """Reads on after a pause for lack of memory."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

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
        elif not self.upstream.owner.answers.hold(self, len(self.body)) and self.transport is not None:
            self.upstream.owner.counts["answer waits for memory"] += 1
            self.transport.pause_reading()

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
        body, self.body = bytes(self.body), bytearray()
        exchange, self.exchange, self.parser = self.exchange, None, None
        self.upstream.owner.answers.release(self)
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
        """Adds a header. Raises ValueError above the limits, which are checked before it is held."""
        if self.headers_complete:  # trailers are dropped
            return
        self.head_size += len(name) + len(value)
        if self.head_size > MAX_HEAD_BYTES or len(self.headers) >= MAX_HEAD_FIELDS:
            raise ValueError("headers too large")
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
        if len(self.body) + len(chunk) > MAX_BODY_BYTES:
            raise ValueError("body too large")
        self.body += chunk

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
        self.headers, self.body = [], bytearray()
        self.bytes_received = self.head_size = 0
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
        self.upstream.owner.answers.release(self)
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
