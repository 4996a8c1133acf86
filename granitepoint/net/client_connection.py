"""One connection of a caller: its input in bounded slices, and exactly one answer to each request."""

from __future__ import annotations

import asyncio
import os
import select
import time
from typing import TYPE_CHECKING, Any, Protocol, cast

from granitepoint.net.logs import EventLogger
from granitepoint.net.memory_account import MAX_READ_AHEAD_BYTES
from granitepoint.net.request_lines import Rejection
from granitepoint.net.request_reader import CHUNK_OBJECT_BYTES, HealthCheck, Incoming, RequestReader
from granitepoint.net.requests import Headers, Request

if TYPE_CHECKING:
    from granitepoint.net.server import Server

log = EventLogger(__name__)

MAX_PIECES_PER_SLICE = 16  # pieces of input parsed in one turn of the event loop; a small request has two
REQUEST_COPIES = 2  # of a request's bytes in memory: as it came, and as it is sent
# Of one read that looks for the end of a connection: in small pieces, input takes many times its size.
MIN_LOOK_AHEAD_BYTES, MAX_LOOK_AHEAD_BYTES = 1024, 64 * 1024
PEER_CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR  # closed or reset
NO_MEMORY = Rejection(503, "no memory for this request")
REASON_PHRASES = {
    200: b"OK", 400: b"Bad Request", 404: b"Not Found", 408: b"Request Timeout", 409: b"Conflict",
    413: b"Content Too Large", 431: b"Request Header Fields Too Large", 500: b"Internal Server Error",
    502: b"Bad Gateway", 503: b"Service Unavailable", 504: b"Gateway Timeout",
    505: b"HTTP Version Not Supported",
}  # fmt: skip
NO_HEADERS: Headers = ()


class Reply(Protocol):
    """Writes the answer to one request."""

    def answer(self, code: int, headers: Any, body: bytes) -> None:
        """Sends the one answer. Raises RuntimeError if the request has been answered already."""
        ...

    def peer_closed(self) -> bool:
        """Returns whether the caller has closed or reset its connection."""
        ...

    @property
    def end_out_of_sight(self) -> bool:
        """Whether the last look could not tell: more input is unread than may be held."""
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


class ClientConnection(asyncio.BufferedProtocol):
    """One connection of a caller. Pipelined requests are answered in order, each exactly once."""

    __slots__ = (
        "answering", "call", "charged_answers", "charged_input", "charged_requests", "closing",
        "discarding_input", "end_out_of_sight", "keep_alive", "open_size", "over_limit", "reader",
        "reading_paused", "server", "table", "table_since", "transport", "unread_since", "write_blocked",
    )  # fmt: skip

    def __init__(self, server: Server) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.reader = RequestReader(self, server.effects)
        self.call: object | None = None  # the handler's object for the request that waits for its answer
        self.answering = False  # a request waits for its answer
        self.open_size = 0  # bytes of that request
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
        # Monotonic; what is read next may have arrived from then on. None: it is read as it arrives.
        self.unread_since: float | None = None
        self.end_out_of_sight = False
        self.charged_input = self.charged_requests = self.charged_answers = 0  # bytes

    # Transport callbacks
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the new connection with the server."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's does not inherit from it
        self.transport.set_write_buffer_limits(high=self.server.memory.read_size)
        self.server.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Removes the connection from the server and ends its call."""
        self.transport = None
        self.closing = True
        self.reader.close()
        self.open_size = 0
        self._update_charges()
        self.server.remove(self)
        call, self.call = self.call, None
        if call is not None:
            self.server.handler.on_disconnect(call)

    def pause_writing(self) -> None:
        """The write buffer is full: the next request waits until the peer has read."""
        self.write_blocked = True
        if self.transport is not None:
            self.server.hold_unsent(self, self.transport.get_write_buffer_size())
        self._update_reading()

    def resume_writing(self) -> None:
        """The write buffer has drained."""
        self.write_blocked = False
        self.server.release_unsent(self)
        if self.has_work:
            self.server.turns.wait(self)
        self._update_reading()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next read, which all connections share."""
        return self.server.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Takes what was read into the buffer."""
        self.data_received(bytes(self.server.read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Processes a first slice of the input; invalid input is answered with an error and a close."""
        if self.closing or self.discarding_input:
            return
        self.reader.add(data, time.monotonic() if self.unread_since is None else self.unread_since)
        if len(data) < self.server.memory.read_size:
            self.unread_since = None  # nothing is left in the socket
        if self.table is self.server.idle:
            self.server.set_table(self, self.server.awaiting_request)  # the next request has started
        if self.has_work:
            self.server.turns.run(self)
        if self.reader.input_size or self.charged_input:
            self._update_charges()
        self._update_reading()

    def _update_reading(self) -> None:
        """Pauses reading while the peer does not read its answers or has sent too much ahead of them."""
        if self.transport is None or self.closing:
            return
        pause = self.write_blocked or self.reader.input_size > self.server.memory.read_size
        if pause and not self.reading_paused:
            self.transport.pause_reading()
            self.server.paused_connections.add(self)
            if self.unread_since is None:
                self.unread_since = time.monotonic()
        elif self.reading_paused and not pause:
            if not self.transport.is_closing() and not self._poll(select.POLLIN):
                self.unread_since = None
            self.transport.resume_reading()
            self.server.paused_connections.discard(self)
        self.reading_paused = pause

    def _update_charges(self) -> bool:
        """Charges what is held beyond the connection's allowance; returns whether there is memory for it."""
        reader, allowance = self.reader, self.server.allowance
        charge = max(0, reader.input_size - allowance)
        if charge != self.charged_input:
            self.server.memory.read_ahead.charge(charge - self.charged_input)
            self.charged_input = charge
        charge = max(0, REQUEST_COPIES * (reader.partial_size + self.open_size) - allowance)
        return charge == self.charged_requests or self.server.hold_request(self, charge)

    # Owner of the reader
    def reserve_large_request(self) -> bool:
        """Returns whether a large request may be held for this connection."""
        return self.server.reserve_large_request(self)

    def send_continue(self) -> None:
        """Tells the caller to send the body of its request."""
        if self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    # Requests
    @property
    def has_work(self) -> bool:
        """Whether there is input that can be processed now."""
        unread = self.write_blocked and not self.over_limit  # refusals are small
        blocked = self.answering or self.closing or self.discarding_input or unread
        return not blocked and self.reader.has_input

    def work(self) -> bool:
        """Processes a slice of the input; returns whether there is more that can be processed now."""
        for _ in range(MAX_PIECES_PER_SLICE):
            if not self.has_work:
                break
            incoming = self.reader.advance()
            if incoming is not None:
                self._process(incoming)
            held = incoming is None or self.charged_requests
            if held and not self._update_charges():
                self._reject_input(NO_MEMORY)
        self._update_reading()
        return self.has_work

    def _reject_input(self, rejection: Rejection) -> None:
        """Answers with an error, after which the connection closes, and discards all further input."""
        self.reader.discard()
        self._process(Incoming(rejection, keep_alive=False, ends_input=True))

    def _process(self, incoming: Incoming) -> None:
        self.keep_alive = incoming.keep_alive
        self.discarding_input = incoming.ends_input
        self.answering = True
        self.server.set_table(self, None)
        message = incoming.message
        if isinstance(message, Request):
            self._start(message)
        elif isinstance(message, HealthCheck):
            ready = self.server.handler.ready()
            self.answer(200 if ready else 503, NO_HEADERS, b"ok\n" if ready else b"not ready\n")
        else:
            self.server.counts[f"rejected {message.code}"] += 1
            log.debug("request_rejected", code=message.code, reason=message.text)
            self.answer(message.code, NO_HEADERS, f"{message.text}\n".encode())

    def _start(self, request: Request) -> None:
        """Passes a request to the handler, or refuses it."""
        if self.over_limit:
            # The request was never sent to a backend, so it can be refused. Requests behind it need their
            # answers too, so the connection stays open until then.
            self.keep_alive = self.keep_alive and self.reader.has_input
            self.server.counts["refused over limit"] += 1
            log.debug("request_refused", id=request.id, reason="over the connection limit")
            self.answer(503, self.server.over_limit_headers, b"no room for this connection\n")
            return
        if self.reading_paused and self.peer_closed():
            self.server.abort_disconnected(self)
            return
        if self.reading_paused and self.end_out_of_sight:
            self.server.counts["refused out of sight"] += 1
            log.debug("request_refused", id=request.id, reason="too much was sent behind it")
            self.answer(503, self.server.over_limit_headers, b"too much was sent behind this request\n")
            return
        self.open_size = len(request.head) + len(request.body)
        try:
            call = self.server.handler.on_request(request, self)
        except Exception:
            log.exception("request_not_taken", id=request.id)
            self.answer(500, NO_HEADERS, b"internal error\n")
            return
        if self.answering:
            self.call = call

    def answer(self, code: int, headers: Any, body: bytes) -> None:
        """Writes the answer to the open request.

        Raises RuntimeError if it has been answered already; nothing is written then.
        """
        if not self.answering:
            raise RuntimeError("the request has already been answered")
        self.answering = False
        self.call = None
        self.open_size = 0
        if self.charged_requests:
            self._update_charges()
        self.server.large_request_connections.discard(self)
        transport = self.transport
        if transport is None:
            return
        # Requests that have arrived behind this one must be answered before the connection closes.
        drained = self.server.draining and not (self.has_partial_request or self.has_unread_data())
        is_last = not self.keep_alive or drained
        parts = [b"HTTP/1.1 %d %s\r\n" % (code, REASON_PHRASES.get(code, b"Status"))]
        parts += [name + b": " + value + b"\r\n" for name, value in headers]
        parts.append(b"content-length: %d\r\n" % len(body))
        parts.append(b"connection: close\r\n\r\n" if is_last else b"\r\n")
        parts.append(body)
        transport.write(b"".join(parts))
        if is_last:
            self.close()
            return
        self.server.set_table(
            self, self.server.awaiting_request if self.has_partial_request else self.server.idle
        )
        if self.has_work:
            self.server.turns.wait(self)

    def close(self) -> None:
        """Closes once everything written has been sent.

        If the peer may still be sending, only the write side is closed at first: closing a socket with unread
        bytes resets the connection, and the reset can destroy an answer that is still in transit.
        """
        transport = self.transport
        if transport is None or self.closing:
            return
        self.closing = True
        self.server.set_table(self, self.server.closing)
        lingers = (
            self.discarding_input or self.reading_paused or self.has_partial_request or self.has_unread_data()
        )
        self.reader.discard()
        self._update_charges()
        if not lingers:
            transport.close()
            return
        if self.reading_paused:
            self.reading_paused = False
            self.server.paused_connections.discard(self)
            transport.resume_reading()
        transport.write_eof()

    def on_read_timeout(self) -> None:
        """Closes the connection after REQUEST_READ_TIMEOUT_S; a partial request is answered with 408.

        Whole requests that wait because the peer does not read are refused first: they have been read.
        """
        if self.write_blocked and not self.over_limit and self.reader.has_input:
            self.refuse_requests()
        else:
            self.reject_partial_request(Rejection(408, "the request did not end"))

    def refuse_requests(self) -> None:
        """Refuses all further requests, also while the peer does not read its answers."""
        self.over_limit = True
        if self.has_work:
            self.server.turns.wait(self)

    def reject_partial_request(self, rejection: Rejection) -> None:
        """Answers a partial request with this error; closes the connection if there is none."""
        if self.has_partial_request:
            self._reject_input(rejection)
        else:
            self.close()

    @property
    def has_partial_request(self) -> bool:
        """Whether a request has been received in part, or is not parsed yet."""
        return self.reader.has_partial_request or self.reader.has_input

    @property
    def fileno(self) -> int:
        """The file descriptor of the socket; only valid while the transport is open."""
        assert self.transport is not None
        return int(self.transport.get_extra_info("socket").fileno())

    def has_unread_data(self) -> bool:
        """Returns whether there are bytes, maybe a request, that are unread or wait for their turn."""
        if self.transport is None or self.transport.is_closing():
            return False
        return self.has_work or bool(self._poll(select.POLLIN))

    def _poll(self, events: int) -> int:
        poll = select.poll()
        poll.register(self.fileno, events)
        ready = poll.poll(0)
        return ready[0][1] if ready else 0

    def peer_closed(self) -> bool:
        """Returns whether the peer has closed or reset, even if the event loop has not read that yet.

        The end of a connection is behind its input, so this reads all that the peer has sent, as far as there
        is memory for it (see `end_out_of_sight`).
        """
        self.end_out_of_sight = False
        if self.transport is None or self.transport.is_closing():
            return True
        events = self._poll(select.POLLIN | PEER_CLOSED_EVENTS)
        if events & PEER_CLOSED_EVENTS:
            return True
        return bool(events & select.POLLIN) and self._ends_behind_input()

    def _read_ahead_room(self) -> int:
        """Returns how many more bytes may be read ahead: those of its allowance, or of the shared account."""
        memory = self.server.memory
        shared = min(memory.read_ahead.free, MAX_READ_AHEAD_BYTES - self.charged_input)
        room = max(memory.read_size - self.reader.input_size, shared) - CHUNK_OBJECT_BYTES
        return room if room >= MIN_LOOK_AHEAD_BYTES else 0

    def _ends_behind_input(self) -> bool:
        while (room := self._read_ahead_room()) > 0:
            try:
                data = os.read(self.fileno, min(room, MAX_LOOK_AHEAD_BYTES))
            except BlockingIOError:
                self.unread_since = None
                return False
            except OSError:
                return True
            if not data:
                return True
            if not (self.closing or self.discarding_input):
                now = time.monotonic()
                self.reader.add(data, now if self.unread_since is None else self.unread_since)
                self._update_charges()
        self.end_out_of_sight = True
        return False

    def abort(self) -> None:
        """Closes the connection at once; unsent output is lost."""
        self.closing = True
        if self.transport is not None:
            self.transport.abort()
