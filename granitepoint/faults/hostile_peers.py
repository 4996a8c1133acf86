"""Hostile clients of one proxy, in a process of their own: crowds of connections, and floods on one.

A crowd keeps many connections open and opens each one anew when it is closed. Most kinds never complete a
request; others flood on each of them, or never read the answers.
A flood writes complete requests on one connection as fast as the proxy reads them; it reads the answers and
drops them.

Usage: python -m granitepoint.faults.hostile_peers HOST PORT KIND COUNT SECONDS
"""

from __future__ import annotations

import selectors
import socket
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import count

CONNECT_BATCH = 64  # connections that are opened between two looks at the others
READ_BYTES = 1 << 16
SELECT_TIMEOUT_S = 0.02
DRIP_INTERVAL_S = 0.05  # between two pieces of a request that is written slowly
REQUESTS_PER_WRITE = 200

REQUEST_START = b" HTTP/1.1\r\nHost: x\r\nX-Call-Id: 0011223344556677\r\nX-Budget: 900m\r\n"
SHORT_FIELD = b"ab:\r\n"


@dataclass(frozen=True, slots=True)
class CrowdKind:
    """What each connection of a crowd sends: some bytes at once, then pieces at DRIP_INTERVAL_S."""

    first: bytes
    drip: bytes = b""
    repeats: bool = False  # sends the first bytes again and again
    reads: bool = True  # reads what the proxy sends


CROWDS = {
    "short-fields": CrowdKind(b"GET /look-up" + REQUEST_START + SHORT_FIELD * 4600),
    "many-short-fields": CrowdKind(b"GET /look-up" + REQUEST_START + SHORT_FIELD * 24_000),
    "half-body": CrowdKind(
        b"POST /release" + REQUEST_START + b"Content-Length: 65536\r\n\r\n" + bytes(60_000)
    ),
    "dripped-body": CrowdKind(
        b"POST /release" + REQUEST_START + b"Content-Length: 65536\r\n\r\n", drip=b"b" * 500
    ),
    "silent": CrowdKind(b""),
    "fields-within-limits": CrowdKind(
        b"GET /look-up" + REQUEST_START + SHORT_FIELD * 100 + b"X-Long: " + b"v" * 20_000
    ),
    "unread-answers": CrowdKind(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n" * 500, repeats=True, reads=False),
    "floods": CrowdKind(b"GET /look-up HTTP/1.1\r\nHost: x\r\nX-Field: 1\r\n\r\n" * 500, repeats=True),
    "valid-floods": CrowdKind((b"GET /look-up" + REQUEST_START + b"\r\n") * 500, repeats=True),
}


def _healthz(number: int) -> bytes:
    return b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"


def _unknown_class(number: int) -> bytes:
    return b"GET /class-%d" % number + REQUEST_START + b"\r\n"


def _unsound(number: int) -> bytes:
    return b"GET /look-up HTTP/1.1\r\nHost: x\r\nX-Field-%d: %d\r\n\r\n" % (number, number)


def _valid(number: int) -> bytes:
    return (
        b"GET /look-up HTTP/1.1\r\nHost: x\r\nX-Call-Id: f%015d\r\nX-Caller: tenant-%d\r\n"
        b"Cookie: sid=%d\r\nX-Budget: 900m\r\n\r\n"
    ) % (number, number, number)


FLOODS: dict[str, Callable[[int], bytes]] = {
    "healthz": _healthz,
    "unknown-class": _unknown_class,
    "unsound": _unsound,
    "valid": _valid,
}


@dataclass(slots=True, eq=False)
class HostileConnection:
    """One non-blocking connection with what it has yet to write."""

    socket: socket.socket
    unsent: memoryview
    drip_at: float  # monotonic, in seconds
    bytes_read: int = 0


@dataclass(slots=True)
class Crowd:
    """`size` connections of one kind, each opened anew when it is closed."""

    address: tuple[str, int]
    kind: CrowdKind
    size: int
    selector: selectors.BaseSelector = field(default_factory=selectors.DefaultSelector)
    connections: set[HostileConnection] = field(default_factory=set)
    opened: int = 0

    def run(self, seconds: float) -> None:
        """Runs the crowd for this many seconds."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for _ in range(min(CONNECT_BATCH, self.size - len(self.connections))):
                self._open()
            for key, events in self.selector.select(SELECT_TIMEOUT_S):
                self._on_ready(key.data, events)
            if self.kind.drip:
                self._drip()

    def _open(self) -> None:
        client = socket.socket()
        client.setblocking(False)
        client.connect_ex(self.address)
        connection = HostileConnection(client, memoryview(self.kind.first), time.monotonic())
        self.connections.add(connection)
        self.opened += 1
        self.selector.register(client, self._events(writes=True), connection)

    def _events(self, writes: bool) -> int:
        reads = selectors.EVENT_READ if self.kind.reads else 0
        return reads | (selectors.EVENT_WRITE if writes else 0)

    def _on_ready(self, connection: HostileConnection, events: int) -> None:
        try:
            if events & selectors.EVENT_READ and not connection.socket.recv(READ_BYTES):
                self._close(connection)
                return
            if events & selectors.EVENT_WRITE:
                connection.unsent = connection.unsent[connection.socket.send(connection.unsent) :]
                if not connection.unsent and self.kind.repeats:
                    connection.unsent = memoryview(self.kind.first)
                elif not connection.unsent:
                    self.selector.modify(connection.socket, self._events(writes=False), connection)
        except BlockingIOError:
            pass
        except OSError:
            self._close(connection)

    def _drip(self) -> None:
        now = time.monotonic()
        for connection in [each for each in self.connections if not each.unsent and each.drip_at <= now]:
            connection.drip_at = now + DRIP_INTERVAL_S
            try:
                connection.socket.send(self.kind.drip)
            except BlockingIOError:
                pass
            except OSError:
                self._close(connection)

    def _close(self, connection: HostileConnection) -> None:
        self.connections.discard(connection)
        self.selector.unregister(connection.socket)
        connection.socket.close()


def _writes(request: Callable[[int], bytes]) -> Iterator[bytes]:
    numbers = count(1)
    while True:
        yield b"".join(request(next(numbers)) for _ in range(REQUESTS_PER_WRITE))


def flood(address: tuple[str, int], request: Callable[[int], bytes], seconds: float) -> int:
    """Floods the proxy for this many seconds, on a new connection where it closes one; returns bytes read."""
    end = time.monotonic() + seconds
    writes = _writes(request)
    bytes_read = 0
    while time.monotonic() < end:
        with socket.create_connection(address) as client, selectors.DefaultSelector() as selector:
            client.setblocking(False)
            selector.register(client, selectors.EVENT_READ | selectors.EVENT_WRITE)
            unsent = memoryview(b"")
            try:
                while time.monotonic() < end:
                    for _, events in selector.select(SELECT_TIMEOUT_S):
                        if events & selectors.EVENT_READ:
                            received = len(client.recv(READ_BYTES))
                            if not received:
                                raise ConnectionError("closed by the proxy")
                            bytes_read += received
                        if events & selectors.EVENT_WRITE:
                            unsent = unsent or memoryview(next(writes))
                            unsent = unsent[client.send(unsent) :]
            except (BlockingIOError, ConnectionError):
                continue
    return bytes_read


def main(arguments: list[str]) -> int:
    """Runs the hostile clients that the arguments name; returns the exit code."""
    host, port, kind, size, seconds = arguments
    address = (host, int(port))
    if kind in CROWDS:
        crowd = Crowd(address, CROWDS[kind], int(size))
        crowd.run(float(seconds))
        print(f"opened={crowd.opened}")
    else:
        print(f"bytes_read={flood(address, FLOODS[kind], float(seconds))}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
