"""Simulated clock, event loop and kernel sockets, in which the model controls both ends of a connection.

The event loop runs on simulated time. As in libuv, due timers are handled before socket data.
"""

from __future__ import annotations

import asyncio
import heapq
import select
from collections import deque
from collections.abc import Awaitable, Callable
from itertools import count
from random import Random
from types import SimpleNamespace
from typing import Any

HIGH_WATER_BYTES = 64 * 1024  # a protocol has to pause writing while more than this is unsent
EOF_MARK, RESET_MARK = b"", None

ConnectHandler = Callable[[tuple[str, int]], Awaitable["Peer"]]


class Clock:
    """The simulated time and kernel, with stand-ins for the modules `time` and `select` of the net code."""

    def __init__(self, start: float) -> None:
        self.now = start
        self.unique_numbers = count(100)  # file descriptors, and tie breakers of scheduled callbacks
        self.links: dict[int, Link] = {}  # by file descriptor: open on the proxy's side
        self.scheduled: list[tuple[float, int, Callable[[], object]]] = []  # actions of the peers, by time
        self.time = SimpleNamespace(monotonic=lambda: self.now, time=lambda: self.now)
        self.select = SimpleNamespace(
            poll=lambda: Poll(self),
            **{name: getattr(select, name) for name in ("POLLIN", "POLLERR", "POLLHUP", "POLLRDHUP")},
        )

        self.os = SimpleNamespace(read=lambda fd, size: self.links[fd].read_now(size))

    def schedule(self, delay: float, callback: Callable[[], object]) -> None:
        """Calls back after a delay in seconds, even while the proxy is busy or stalled."""
        heapq.heappush(self.scheduled, (self.now + delay, next(self.unique_numbers), callback))

    def advance(self, time_span: float, until_ready: bool = False) -> None:
        """Lets time pass, in seconds, with the scheduled actions of the peers.

        With `until_ready` it returns as soon as the proxy has something to read.
        """
        end = self.now + time_span
        while self.scheduled and self.scheduled[0][0] <= end:
            at, _, callback = heapq.heappop(self.scheduled)
            self.now = max(self.now, at)
            callback()
            if until_ready and any(link.readable() for link in self.links.values()):
                return
        self.now = end


class Poll:
    """Stand-in for a select.poll object."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.registered: dict[int, int] = {}

    def register(self, fd: int, events: int) -> None:
        """Registers a file descriptor with the events to wait for."""
        self.registered[fd] = events

    def poll(self, timeout: float) -> list[tuple[int, int]]:
        """Returns the ready file descriptors with their events, without waiting.

        Raises AssertionError if a registered one is closed.
        """
        always_reported = select.POLLERR | select.POLLHUP
        ready_fds = []
        for fd, events in self.registered.items():
            if fd not in self.clock.links:
                raise AssertionError(f"poll of file descriptor {fd}, which is closed")
            ready = self.clock.links[fd].poll_events() & (events | always_reported)
            if ready:
                ready_fds.append((fd, ready))
        return ready_fds


class Loop(asyncio.BaseEventLoop):
    """An event loop on simulated time, which passes only while nothing is ready.

    `connect` decides about new connections. Connections that become ready together are handled in random
    order.
    """

    def __init__(self, clock: Clock, connect: ConnectHandler, seed: int) -> None:
        super().__init__()
        self.clock, self.connect, self.rng = clock, connect, Random(seed)
        self._selector = self
        self.callback_errors: list[dict[str, Any]] = []  # contexts of exceptions from callbacks
        self.set_exception_handler(lambda _, context: self.callback_errors.append(context))

    def time(self) -> float:
        return self.clock.now

    def select(self, timeout: float | None) -> list[Link]:
        self.clock.advance(0.0)
        if timeout is None and not any(link.readable() for link in self.clock.links.values()):
            raise AssertionError("the loop would wait forever: no timer and nothing to read")
        if timeout and not any(link.readable() for link in self.clock.links.values()):
            self.clock.advance(timeout, until_ready=True)
        ready = [link for link in self.clock.links.values() if link.readable()]
        self.rng.shuffle(ready)
        return ready

    def _process_events(self, ready: list[Link]) -> None:
        for link in ready:
            if not link.read_scheduled:
                link.read_scheduled = True
                self.call_soon(self.call_soon, link.read)  # after the timers of this iteration

    async def create_connection(self, factory: Any, *address: Any, **_: Any) -> Any:  # type: ignore[override]
        peer = await self.connect((address[0], address[1]))
        protocol = factory()
        link = Link(self, protocol, peer)
        protocol.connection_made(link)
        return link, protocol

    def run_for(self, time_span: float) -> None:
        """Runs the loop for a time span in seconds."""
        self.run_until_complete(asyncio.sleep(time_span))

    def stall(self, time_span: float) -> None:
        """Lets time pass, in seconds, without processor time for the process."""
        self.clock.advance(time_span)


class Peer:
    """Base class of the remote ends of connections, with the events that their kernel delivers."""

    link: Link

    def on_connected(self) -> None:
        """Called when the connection is established."""

    def on_data(self, data: bytes) -> None:
        """Called when data arrive from the proxy."""

    def on_eof(self) -> None:
        """Called when the proxy has closed its sending direction."""

    def on_closed(self) -> None:
        """Called when the proxy's side is closed. After a reset, data that the peer has not read are lost."""


class Link(asyncio.Transport):
    """The proxy's end of a connection, with the kernel's buffers of both directions."""

    def __init__(self, loop: Loop, protocol: Any, peer: Peer) -> None:
        super().__init__()
        self.loop, self.protocol, self.peer = loop, protocol, peer
        self.fd = next(loop.clock.unique_numbers)
        loop.clock.links[self.fd] = self
        self.receive_buffer: deque[bytes | None] = (
            deque()
        )  # data, EOF_MARK or RESET_MARK, in order of arrival
        self.send_buffer = bytearray()
        self.peer_reading = True  # the peer reads what the proxy writes
        self.reading = True
        self.read_scheduled = False
        self.closing = False
        self.closed = False
        self.eof_sent = self.eof_pending = False
        self.peer_closed = False  # in both directions
        self.writing_paused = False
        self.bytes_read = 0  # passed to the protocol
        self.reset_by_proxy = False
        peer.link = self
        peer.on_connected()

    # The kernel.
    def poll_events(self) -> int:
        """Returns the poll events that are pending on the connection."""
        events = 0
        if self.receive_buffer:
            events |= select.POLLIN
        if any(not item for item in self.receive_buffer):
            events |= select.POLLRDHUP
        if None in self.receive_buffer:
            events |= select.POLLHUP | select.POLLERR
        return events

    def readable(self) -> bool:
        """Whether the proxy is reading and has data, EOF or a reset for which no read is scheduled."""
        return self.reading and bool(self.receive_buffer) and not self.closing and not self.read_scheduled

    def read(self) -> None:
        """Passes the next data, EOF or the reset to the protocol."""
        self.read_scheduled = False
        if not self.reading or self.closing or not self.receive_buffer:
            return
        data = self.receive_buffer.popleft()
        if data is RESET_MARK:
            self.close_now(ConnectionResetError("reset by peer"))
        elif data == EOF_MARK:
            if not self.protocol.eof_received():
                self.close()
        else:
            assert data is not None
            while self.receive_buffer and self.receive_buffer[0]:
                more = self.receive_buffer.popleft()
                assert more is not None
                data += more
            self.bytes_read += len(data)
            self.protocol.data_received(data)

    def read_now(self, size: int) -> bytes:
        """Returns received data, at most `size` bytes, without waiting, as read(2) does; b"" at EOF.

        Raises BlockingIOError if there is nothing, or ConnectionResetError.
        """
        if not self.receive_buffer:
            raise BlockingIOError
        data = self.receive_buffer[0]
        if data is RESET_MARK:
            raise ConnectionResetError("reset by peer")
        if data == EOF_MARK:
            return EOF_MARK
        assert data is not None
        self.receive_buffer[0] = data[size:]
        if len(data) <= size:
            self.receive_buffer.popleft()
        self.bytes_read += min(size, len(data))
        return data[:size]

    def flush(self) -> None:
        """Delivers written data to the peer while it reads, and then EOF or the close."""
        if self.peer_reading and self.send_buffer:
            data = bytes(self.send_buffer)
            self.send_buffer.clear()
            self.peer.on_data(data)
            if self.peer_closed and not self.closed:  # a closed socket answers data with a reset
                self.peer_resets()
        if self.writing_paused and not self.send_buffer:
            self.writing_paused = False
            self.protocol.resume_writing()
        if not self.send_buffer:
            if self.eof_pending and not self.eof_sent:
                self.eof_sent = True
                self.peer.on_eof()
            if self.closing and not self.closed:
                self.loop.call_soon(self.finish_close, None)

    def finish_close(self, error: Exception | None) -> None:
        """Closes the connection; it counts as a reset if either buffer is not empty."""
        if self.closed:
            return
        self.closed = self.closing = True
        self.reset_by_proxy = bool(self.receive_buffer) or bool(self.send_buffer)
        del self.loop.clock.links[self.fd]
        self.protocol.connection_lost(error)
        self.peer.on_closed()

    def close_now(self, error: Exception | None) -> None:
        """Discards unsent data and closes the connection in the next iteration of the loop."""
        self.closing = True
        self.send_buffer.clear()
        self.loop.call_soon(self.finish_close, error)

    # Actions of the peer.
    def peer_sends(self, data: bytes) -> None:
        """Adds data for the proxy, unless the connection was reset."""
        if not self.closed and data and None not in self.receive_buffer:
            self.receive_buffer.append(data)

    def peer_ends(self) -> None:
        """Closes the peer's sending direction: the proxy reads EOF after all data."""
        if not self.closed and not any(not item for item in self.receive_buffer):
            self.receive_buffer.append(EOF_MARK)

    def peer_closes(self) -> None:
        """Closes both directions on the peer's side: data that it gets from then on cause a reset."""
        self.peer_ends()
        self.peer_closed = True

    def peer_resets(self) -> None:
        """Resets the connection, which discards data that the proxy has not read."""
        if not self.closed:
            self.receive_buffer.clear()
            self.receive_buffer.append(RESET_MARK)

    def peer_reads(self, reading: bool) -> None:
        """Makes the peer stop or resume reading."""
        self.peer_reading = reading
        if reading:
            self.flush()

    # Methods of asyncio.Transport.
    def write(self, data: Any) -> None:
        assert not self.eof_sent and not self.eof_pending, "a write after write_eof"
        if self.closing:
            return
        self.send_buffer += data
        self.flush()
        if len(self.send_buffer) > HIGH_WATER_BYTES and not self.writing_paused:
            self.writing_paused = True
            self.protocol.pause_writing()

    def write_eof(self) -> None:
        if not self.eof_pending:
            self.eof_pending = True
            self.flush()

    def close(self) -> None:
        if not self.closing:
            self.closing = True
            self.flush()

    def abort(self) -> None:
        if not self.closed:
            self.close_now(None)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Changes nothing: writing is paused above HIGH_WATER_BYTES."""

    def is_closing(self) -> bool:
        return self.closing

    def get_write_buffer_size(self) -> int:
        return len(self.send_buffer)

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return SimpleNamespace(fileno=lambda: self.fd) if name == "socket" else default
