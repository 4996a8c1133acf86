"""Stand-ins of the clock, the event loop and the kernel's sockets: both ends of a connection are held.

The loop's time is the test's own. As in libuv, timers that are due come before what lies in the sockets.
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

HIGH_WATER = 64 * 1024  # bytes unsent from which a protocol is told to pause
EOF_MARK, RESET_MARK = b"", None

Connect = Callable[[tuple[str, int]], Awaitable["Peer"]]


class Clock:
    """The time, the kernel, and what the net code takes for the modules `time` and `select`."""

    def __init__(self, start: float) -> None:
        self.now = start
        self.numbers = count(100)
        self.links: dict[int, Link] = {}  # by file number: open at the proxy's side
        self.due: list[tuple[float, int, Callable[[], object]]] = []  # what the peers do, and when
        self.time = SimpleNamespace(monotonic=lambda: self.now, time=lambda: self.now)
        self.select = SimpleNamespace(
            poll=lambda: Poll(self),
            **{name: getattr(select, name) for name in ("POLLIN", "POLLERR", "POLLHUP", "POLLRDHUP")},
        )

    def at(self, delay: float, do: Callable[[], object]) -> None:
        """A peer does this after so many s, whatever the proxy is doing then."""
        heapq.heappush(self.due, (self.now + delay, next(self.numbers), do))

    def pass_time(self, span: float, until_ready: bool = False) -> None:
        """Time goes by, and what the peers do; if so asked, until something of it reaches the proxy."""
        end = self.now + span
        while self.due and self.due[0][0] <= end:
            at, _, do = heapq.heappop(self.due)
            self.now = max(self.now, at)
            do()
            if until_ready and any(link.readable() for link in self.links.values()):
                return
        self.now = end


class Poll:
    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.wanted: dict[int, int] = {}

    def register(self, number: int, events: int) -> None:
        self.wanted[number] = events

    def poll(self, timeout: float) -> list[tuple[int, int]]:
        always = select.POLLERR | select.POLLHUP
        found = []
        for number, events in self.wanted.items():
            if number not in self.clock.links:
                raise AssertionError(f"a poll of file {number}, which is closed")
            ready = self.clock.links[number].events() & (events | always)
            if ready:
                found.append((number, ready))
        return found


class Loop(asyncio.BaseEventLoop):
    """Time passes only while nothing is ready; a connect is the model's to answer."""

    def __init__(self, clock: Clock, connect: Connect, seed: int) -> None:
        super().__init__()
        self.clock, self.connect, self.chance = clock, connect, Random(seed)
        self._selector = self
        self.faults: list[dict[str, Any]] = []  # what came out of callbacks
        self.set_exception_handler(lambda _, context: self.faults.append(context))

    def time(self) -> float:
        return self.clock.now

    def select(self, timeout: float | None) -> list[Link]:
        self.clock.pass_time(0.0)
        if timeout is None and not any(link.readable() for link in self.clock.links.values()):
            raise AssertionError("nothing will ever happen")
        if timeout and not any(link.readable() for link in self.clock.links.values()):
            self.clock.pass_time(timeout, until_ready=True)
        ready = [link for link in self.clock.links.values() if link.readable()]
        self.chance.shuffle(ready)
        return ready

    def _process_events(self, ready: list[Link]) -> None:
        for link in ready:
            if not link.due:
                link.due = True
                self.call_soon(self.call_soon, link.read)  # after the timers of this turn

    async def create_connection(self, factory: Any, *at: Any, **_: Any) -> Any:  # type: ignore[override]
        peer = await self.connect((at[0], at[1]))
        protocol = factory()
        link = Link(self, protocol, peer)
        protocol.connection_made(link)
        return link, protocol

    def run_for(self, span: float) -> None:
        self.run_until_complete(asyncio.sleep(span))

    def stand_still(self, span: float) -> None:
        """The process gets no processor time."""
        self.clock.pass_time(span)


class Peer:
    """The other end: what it is told by the kernel. All the model's peers derive from it."""

    link: Link

    def made(self) -> None:
        """The connection is up."""

    def got(self, data: bytes) -> None:
        """Bytes have come."""

    def ended(self) -> None:
        """The proxy sends no more."""

    def lost(self) -> None:
        """The proxy's side is closed; what the peer has not read yet is lost where it was reset."""


class Link(asyncio.Transport):
    """The proxy's end of one connection, and the kernel's buffers of both directions."""

    def __init__(self, loop: Loop, protocol: Any, peer: Peer) -> None:
        super().__init__()
        self.loop, self.protocol, self.peer = loop, protocol, peer
        self.number = next(loop.clock.numbers)
        loop.clock.links[self.number] = self
        self.unread: deque[bytes | None] = deque()  # bytes, an end or a reset, in the order they came
        self.unsent = bytearray()
        self.taking = True  # the peer takes what is written
        self.reading = True
        self.due = False  # a read is on its way
        self.closing = False
        self.gone = False
        self.eof_sent = self.wants_eof = False
        self.peer_closed = False
        self.paused = False
        self.was_read = 0  # bytes that the protocol has been given
        self.reset_by_proxy = False
        peer.link = self
        peer.made()

    # the kernel
    def events(self) -> int:
        found = 0
        if self.unread:
            found |= select.POLLIN
        if any(not mark for mark in self.unread):
            found |= select.POLLRDHUP
        if None in self.unread:
            found |= select.POLLHUP | select.POLLERR
        return found

    def readable(self) -> bool:
        return self.reading and bool(self.unread) and not self.closing and not self.due

    def read(self) -> None:
        self.due = False
        if not self.reading or self.closing or not self.unread:
            return
        data = self.unread.popleft()
        if data is RESET_MARK:
            self.drop(ConnectionResetError("reset by peer"))
        elif data == EOF_MARK:
            if not self.protocol.eof_received():
                self.close()
        else:
            assert data is not None
            while self.unread and self.unread[0]:
                more = self.unread.popleft()
                assert more is not None
                data += more
            self.was_read += len(data)
            self.protocol.data_received(data)

    def flush(self) -> None:
        if self.taking and self.unsent:
            data = bytes(self.unsent)
            self.unsent.clear()
            self.peer.got(data)
            if self.peer_closed and not self.gone:  # a closed socket answers with a reset
                self.peer_resets()
        if self.paused and not self.unsent:
            self.paused = False
            self.protocol.resume_writing()
        if not self.unsent:
            if self.wants_eof and not self.eof_sent:
                self.eof_sent = True
                self.peer.ended()
            if self.closing and not self.gone:
                self.loop.call_soon(self.end, None)

    def end(self, fault: Exception | None) -> None:
        if self.gone:
            return
        self.gone = self.closing = True
        self.reset_by_proxy = bool(self.unread) or bool(self.unsent)
        del self.loop.clock.links[self.number]
        self.protocol.connection_lost(fault)
        self.peer.lost()

    def drop(self, fault: Exception | None) -> None:
        self.closing = True
        self.unsent.clear()
        self.loop.call_soon(self.end, fault)

    # what the peer does
    def peer_sends(self, data: bytes) -> None:
        if not self.gone and data and None not in self.unread:
            self.unread.append(data)

    def peer_ends(self) -> None:
        """Half a close, or with `peer_closed` a whole one."""
        if not self.gone and not any(not mark for mark in self.unread):
            self.unread.append(EOF_MARK)

    def peer_closes(self) -> None:
        self.peer_ends()
        self.peer_closed = True

    def peer_resets(self) -> None:
        if not self.gone:
            self.unread.clear()
            self.unread.append(RESET_MARK)

    def peer_takes(self, taking: bool) -> None:
        self.taking = taking
        if taking:
            self.flush()

    # asyncio.Transport
    def write(self, data: Any) -> None:
        assert not self.eof_sent and not self.wants_eof, "a write after the end"
        if self.closing:
            return
        self.unsent += data
        self.flush()
        if len(self.unsent) > HIGH_WATER and not self.paused:
            self.paused = True
            self.protocol.pause_writing()

    def write_eof(self) -> None:
        if not self.wants_eof:
            self.wants_eof = True
            self.flush()

    def close(self) -> None:
        if not self.closing:
            self.closing = True
            self.flush()

    def abort(self) -> None:
        if not self.gone:
            self.drop(None)

    def is_closing(self) -> bool:
        return self.closing

    def get_write_buffer_size(self) -> int:
        return len(self.unsent)

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return SimpleNamespace(fileno=lambda: self.number) if name == "socket" else default
