"""HTTP/1.1 connections of the simulated services and callers.

The server side can refuse connections, like a machine without the process, or stop answering, like an
unreachable machine.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from dataclasses import dataclass
from typing import Any, Protocol, cast

import httptools

Headers = dict[str, str]
LISTEN_BACKLOG = 1024


@dataclass(slots=True)
class Message:
    """A complete request, as the server side has received it."""

    method: str
    target: str
    headers: Headers
    body: bytes
    received_at: float  # monotonic seconds, when the last byte was read
    size: int = 0  # bytes on the wire, head included


class ConnectionHandler(Protocol):
    """Receives the events of the connections of a listener."""

    def on_connect(self, peer: Peer) -> None:
        """A connection was accepted."""
        ...

    def on_request(self, peer: Peer, message: Message) -> None:
        """A complete request was received. It is answered with `peer.answer`, now or later."""
        ...

    def on_disconnect(self, peer: Peer) -> None:
        """The connection was closed, by either side."""
        ...


class Peer(asyncio.Protocol):
    """Server side of one connection. The remote side must not pipeline requests."""

    def __init__(self, listener: Listener) -> None:
        self.listener = listener
        self.transport: asyncio.Transport | None = None
        self.parser: Any = httptools.HttpRequestParser(self)
        self.target = b""
        self.headers: Headers = {}
        self.body: list[bytes] = []
        self.request_count = 0
        self.raw_bytes = 0  # received since the last complete request
        self.last_active_at = 0.0  # monotonic, of the last byte in either direction, or of the connect
        self.silent = False  # see `silence`

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Implements asyncio.Protocol: informs the handler of the listener."""
        self.transport = cast(asyncio.Transport, transport)
        self.last_active_at = time.monotonic()
        self.listener.peers.add(self)
        self.listener.handler.on_connect(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Implements asyncio.Protocol: informs the handler of the listener."""
        self.transport = self.parser = None
        self.listener.peers.discard(self)
        self.listener.handler.on_disconnect(self)

    def data_received(self, data: bytes) -> None:
        """Implements asyncio.Protocol. Malformed input is answered with 400 and a close."""
        self.last_active_at = time.monotonic()
        self.listener.bytes_in += len(data)
        self.raw_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.answer(400, b"malformed\n")
            self.close()

    def on_message_begin(self) -> None:
        """Callback of the parser: a request starts."""
        self.target, self.headers, self.body = b"", {}, []

    def on_url(self, part: bytes) -> None:
        """Callback of the parser: a part of the request target (path and query)."""
        self.target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Callback of the parser: a complete header line."""
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, chunk: bytes) -> None:
        """Callback of the parser: a part of the body."""
        self.body.append(chunk)

    def on_message_complete(self) -> None:
        """Callback of the parser: the request is complete."""
        self.request_count += 1
        method = self.parser.get_method().decode()
        target = self.target.decode("latin-1")
        message = Message(
            method, target, self.headers, b"".join(self.body), self.last_active_at, self.raw_bytes
        )
        self.raw_bytes = 0
        self.listener.handler.on_request(self, message)

    def answer(self, code: int, body: bytes = b"", **headers: str) -> bool:
        """Writes an answer; returns False if the connection is closed or silent.

        Underscores in header names stand for hyphens.
        """
        if self.transport is None or self.silent or self.transport.is_closing():
            return False
        lines = [f"HTTP/1.1 {code} X", f"Content-Length: {len(body)}"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
        data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        self.last_active_at = time.monotonic()
        self.listener.bytes_out += len(data)
        self.transport.write(data)
        return True

    def silence(self) -> None:
        """Stops reading and answering, as behind a network partition; the connection stays open."""
        self.silent = True
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def close(self) -> None:
        """Closes the connection after the pending output has been written."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Closes the connection at once; pending output is dropped."""
        if self.transport is not None:
            self.transport.abort()


class Listener:
    """A listening address of a simulated service. The port stays the same in all states.

    It is open, or refuses connections, or is partitioned from the network: then open connections stay open
    but silent, and new ones are never established.
    """

    def __init__(self, handler: ConnectionHandler, host: str) -> None:
        self.handler, self.host, self.port = handler, host, 0  # port 0: chosen by the first `open`
        self.peers: set[Peer] = set()
        self.bytes_in = self.bytes_out = self.accepted = 0
        self.socket: socket.socket | None = None
        self.backlog_fillers: list[socket.socket] = []  # see `partition`
        self.partitioned = False
        self.attach_tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """The address as "host:port"."""
        return f"{self.host}:{self.port}"

    def open(self) -> None:
        """Starts listening, always on the same port. Does nothing if it listens already."""
        if self.socket is not None:
            return
        new = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        new.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        new.setblocking(False)
        new.bind((self.host, self.port))
        new.listen(LISTEN_BACKLOG)
        self.port = new.getsockname()[1]
        self.socket = new
        asyncio.get_running_loop().add_reader(new, self._accept)

    def _accept(self) -> None:
        assert self.socket is not None
        for _ in range(64):
            try:
                accepted, _ = self.socket.accept()
            except (BlockingIOError, ConnectionError):
                return
            accepted.setblocking(False)
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.accepted += 1
            task = asyncio.get_running_loop().create_task(self._attach(accepted))
            self.attach_tasks.add(task)
            task.add_done_callback(self.attach_tasks.discard)

    async def _attach(self, accepted: socket.socket) -> None:
        with contextlib.suppress(OSError):
            _, peer = await asyncio.get_running_loop().connect_accepted_socket(lambda: Peer(self), accepted)
            if self.partitioned:
                peer.silence()

    def refuse(self) -> None:
        """Simulates a killed process: resets open connections and refuses new ones. Ends a partition."""
        self._end_partition()
        if self.socket is not None:
            asyncio.get_running_loop().remove_reader(self.socket)
            self.socket.close()
            self.socket = None
        self._abort_connections()

    def partition(self) -> None:
        """Simulates a network partition. Does nothing if the listener refuses connections."""
        if self.partitioned or self.socket is None:
            return
        self.partitioned = True
        asyncio.get_running_loop().remove_reader(self.socket)
        for peer in self.peers:
            peer.silence()
        # The kernel completes handshakes by itself while the backlog has a free slot. The backlog is
        # therefore shrunk and filled, so that the SYNs of later connections get no answer.
        self.socket.listen(0)
        for _ in range(2):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect((self.host, self.port))
            self.backlog_fillers.append(filler)

    def heal(self) -> None:
        """Ends a partition: the address is reachable again, and connections from before are reset."""
        if self.partitioned and self.socket is not None:
            self._end_partition()
            self._abort_connections()
            with contextlib.suppress(BlockingIOError, ConnectionError):
                while True:
                    self.socket.accept()[0].close()
            self.socket.listen(LISTEN_BACKLOG)
            asyncio.get_running_loop().add_reader(self.socket, self._accept)

    def _end_partition(self) -> None:
        self.partitioned = False
        for filler in self.backlog_fillers:
            filler.close()
        self.backlog_fillers.clear()

    def _abort_connections(self) -> None:
        for peer in list(self.peers):
            peer.abort()


@dataclass(slots=True)
class Answer:
    """A complete answer."""

    code: int
    headers: Headers
    body: bytes
    received_at: float  # monotonic seconds, of the last byte


class HttpConnection(asyncio.Protocol):
    """Client side of one connection; carries one request at a time."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.parser: Any = None
        self.headers: Headers = {}
        self.body: list[bytes] = []
        self.pending_answer: asyncio.Future[Answer] | None = None
        self.answer_started = False  # a part of the answer to the last request has been received
        self.reusable = False  # the last answer is complete, and the server keeps the connection open

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Implements asyncio.Protocol."""
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Implements asyncio.Protocol. A pending request fails with ConnectionError."""
        self.transport = self.parser = None
        self.reusable = False
        if self.pending_answer is not None and not self.pending_answer.done():
            self.pending_answer.set_exception(ConnectionError("connection closed before a complete answer"))

    def data_received(self, data: bytes) -> None:
        """Implements asyncio.Protocol. Malformed or unrequested data closes the connection."""
        self.answer_started = True
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, AttributeError):
            self.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Callback of the parser: a complete header line."""
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, chunk: bytes) -> None:
        """Callback of the parser: a part of the body."""
        self.body.append(chunk)

    def on_message_complete(self) -> None:
        """Callback of the parser: the answer is complete."""
        self.reusable = self.parser.should_keep_alive()
        if self.pending_answer is not None and not self.pending_answer.done():
            code = self.parser.get_status_code()
            self.pending_answer.set_result(Answer(code, self.headers, b"".join(self.body), time.monotonic()))

    async def connect(self, host: str, port: int) -> None:
        """Opens the connection. Raises OSError."""
        await asyncio.get_running_loop().create_connection(lambda: self, host, port)

    async def send_request(self, data: bytes) -> Answer:
        """Writes a serialized request and waits for its answer.

        Raises ConnectionError if the connection has ended already, or ends before the answer is complete; in
        the second case `answer_started` says whether a part of the answer had been received.
        """
        if self.transport is None or self.transport.is_closing():
            raise ConnectionError("connection closed before the request was sent")
        self.parser = httptools.HttpResponseParser(self)
        self.headers, self.body, self.answer_started, self.reusable = {}, [], False, False
        self.pending_answer = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        try:
            return await self.pending_answer
        finally:
            self.pending_answer = None

    def abort(self) -> None:
        """Closes the connection at once."""
        self.reusable = False
        if self.transport is not None:
            self.transport.abort()


def split_address(address: str) -> tuple[str, int]:
    """Returns the host and the port of "host:port"."""
    host, _, port = address.rpartition(":")
    return host, int(port)
