"""HTTP/1.1 for the stand-ins: a server's side whose addresses can refuse or go silent, and a client's."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from dataclasses import dataclass
from typing import Any, Protocol, cast

import httptools

Headers = dict[str, str]
BACKLOG = 1024


@dataclass(slots=True)
class Message:
    """A whole request, as it came."""

    method: str
    target: str
    headers: Headers
    body: bytes
    came: float  # monotonic, when its last byte was read
    size: int = 0  # bytes as they came


class Owner(Protocol):
    """What a connection asks of the stand-in behind it."""

    def joined(self, peer: Peer) -> None: ...

    def asked(self, peer: Peer, message: Message) -> None: ...

    def left(self, peer: Peer) -> None: ...


class Peer(asyncio.Protocol):
    """The server's side of one connection; the other side sends one request at a time."""

    def __init__(self, listener: Listener) -> None:
        self.listener = listener
        self.transport: asyncio.Transport | None = None
        self.parser: Any = httptools.HttpRequestParser(self)
        self.target = b""
        self.headers: Headers = {}
        self.body: list[bytes] = []
        self.taken = 0  # requests so far
        self.raw = 0  # bytes since the last one
        self.used_at = 0.0  # monotonic, of the last byte either way
        self.silent = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.used_at = time.monotonic()
        self.listener.peers.add(self)
        self.listener.owner.joined(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = self.parser = None
        self.listener.peers.discard(self)
        self.listener.owner.left(self)

    def data_received(self, data: bytes) -> None:
        self.used_at = time.monotonic()
        self.listener.bytes_in += len(data)
        self.raw += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.answer(400, b"malformed\n")
            self.close()

    def on_message_begin(self) -> None:
        self.target, self.headers, self.body = b"", {}, []

    def on_url(self, part: bytes) -> None:
        self.target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, chunk: bytes) -> None:
        self.body.append(chunk)

    def on_message_complete(self) -> None:
        self.taken += 1
        method = self.parser.get_method().decode()
        target = self.target.decode("latin-1")
        message = Message(method, target, self.headers, b"".join(self.body), self.used_at, self.raw)
        self.raw = 0
        self.listener.owner.asked(self, message)

    def answer(self, code: int, body: bytes = b"", **headers: str) -> bool:
        """Whether it was written; underscores in header names stand for hyphens."""
        if self.transport is None or self.silent or self.transport.is_closing():
            return False
        lines = [f"HTTP/1.1 {code} X", f"Content-Length: {len(body)}"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
        data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        self.used_at = time.monotonic()
        self.listener.bytes_out += len(data)
        self.transport.write(data)
        return True

    def silence(self) -> None:
        self.silent = True
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class Listener:
    """An address of a stand-in. It is open, or refuses, or is cut off: then what is open stays open and
    silent, and new connections never come up. The port stays the same through all of this."""

    def __init__(self, owner: Owner, host: str) -> None:
        self.owner, self.host, self.port = owner, host, 0
        self.peers: set[Peer] = set()
        self.bytes_in = self.bytes_out = self.accepted = 0
        self.socket: socket.socket | None = None
        self.plugs: list[socket.socket] = []
        self.cut_off = False
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    def open(self) -> None:
        if self.socket is not None:
            return
        new = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        new.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        new.setblocking(False)
        new.bind((self.host, self.port))
        new.listen(BACKLOG)
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
            task = asyncio.get_running_loop().create_task(self._adopt(accepted))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _adopt(self, accepted: socket.socket) -> None:
        with contextlib.suppress(OSError):
            _, peer = await asyncio.get_running_loop().connect_accepted_socket(lambda: Peer(self), accepted)
            if self.cut_off:
                peer.silence()

    def refuse(self) -> None:
        """The process has died: what is open is reset, and new connections are refused."""
        self._unplug()
        if self.socket is not None:
            asyncio.get_running_loop().remove_reader(self.socket)
            self.socket.close()
            self.socket = None
        self._reset()

    def cut(self) -> None:
        if self.cut_off or self.socket is None:
            return
        self.cut_off = True
        asyncio.get_running_loop().remove_reader(self.socket)
        for peer in self.peers:
            peer.silence()
        # The kernel takes connections by itself while there is room in the backlog, so it is made small and
        # filled: what comes now is not answered.
        self.socket.listen(0)
        for _ in range(2):
            plug = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            plug.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                plug.connect((self.host, self.port))
            self.plugs.append(plug)

    def heal(self) -> None:
        """Within reach again: what had been open is reset."""
        if self.cut_off and self.socket is not None:
            self._unplug()
            self._reset()
            with contextlib.suppress(BlockingIOError, ConnectionError):
                while True:
                    self.socket.accept()[0].close()
            self.socket.listen(BACKLOG)
            asyncio.get_running_loop().add_reader(self.socket, self._accept)

    def _unplug(self) -> None:
        self.cut_off = False
        for plug in self.plugs:
            plug.close()
        self.plugs.clear()

    def _reset(self) -> None:
        for peer in list(self.peers):
            peer.abort()


@dataclass(slots=True)
class Answer:
    code: int
    headers: Headers
    body: bytes
    came: float  # monotonic, of its last byte


class Link(asyncio.Protocol):
    """The client's side of one connection; one request at a time."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.parser: Any = None
        self.headers: Headers = {}
        self.body: list[bytes] = []
        self.waiting: asyncio.Future[Answer] | None = None
        self.heard = False  # something of the answer has come
        self.reusable = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = self.parser = None
        self.reusable = False
        if self.waiting is not None and not self.waiting.done():
            self.waiting.set_exception(ConnectionError("the connection ended"))

    def data_received(self, data: bytes) -> None:
        self.heard = True
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, AttributeError):
            self.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, chunk: bytes) -> None:
        self.body.append(chunk)

    def on_message_complete(self) -> None:
        self.reusable = self.parser.should_keep_alive()
        if self.waiting is not None and not self.waiting.done():
            code = self.parser.get_status_code()
            self.waiting.set_result(Answer(code, self.headers, b"".join(self.body), time.monotonic()))

    async def connect(self, host: str, port: int) -> None:
        await asyncio.get_running_loop().create_connection(lambda: self, host, port)

    async def ask(self, data: bytes) -> Answer:
        """Raises ConnectionError if the connection ends first; `heard` tells whether an answer had begun."""
        if self.transport is None or self.transport.is_closing():
            raise ConnectionError("the connection ended")
        self.parser = httptools.HttpResponseParser(self)
        self.headers, self.body, self.heard, self.reusable = {}, [], False, False
        self.waiting = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        try:
            return await self.waiting
        finally:
            self.waiting = None

    def abort(self) -> None:
        self.reusable = False
        if self.transport is not None:
            self.transport.abort()


def split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
