"""The listening socket: accepts what clients open, and says of each errno of accept(2) what follows from it.

The event loop's own listener answers EMFILE and ENFILE by closing what waits, which ends requests that no
one has read. Here it stays in the backlog of the kernel and is accepted some milliseconds later.
"""

from __future__ import annotations

import asyncio
import errno
import select
import socket
from collections.abc import Callable

from granitepoint.net.logs import EventLogger

log = EventLogger(__name__)

BACKLOG = 1024  # connections that the kernel holds until they are accepted
ACCEPT_RETRY_DELAY_S = 0.01  # s until accept is called again after it said that this machine lacks something
# Errors of the connection that was waiting, which is gone with them. All others are of this machine, for a
# moment: nothing that waits is lost by waiting on.
PEER_ERRNOS = frozenset(
    (
        errno.ECONNABORTED, errno.EPROTO, errno.ENETDOWN, errno.ENOPROTOOPT, errno.EHOSTDOWN, errno.ENONET,
        errno.EHOSTUNREACH, errno.EOPNOTSUPP, errno.ENETUNREACH, errno.EPERM, errno.ETIMEDOUT,
    )
)  # fmt: skip
OUT_OF_DESCRIPTORS = errno.EMFILE


class Listener:
    """An open address, until it is closed. Each connection gets a protocol of its own."""

    def __init__(
        self,
        host: str,
        port: int,
        protocol_factory: Callable[[], asyncio.Protocol],
        evict_connection: Callable[[], object],
    ) -> None:
        """`make_room` is asked to give up a connection where this process has no descriptor left. Raises
        OSError where the address can't be had."""
        self.loop = asyncio.get_running_loop()
        self.protocol_factory, self.evict_connection = protocol_factory, evict_connection
        # Given a name, even a numeric one, the loop starts four threads to look it up, and keeps them.
        self.socket = socket.create_server((host, port), backlog=BACKLOG)
        self.socket.setblocking(False)
        self.port = int(self.socket.getsockname()[1])
        self.attaching: set[asyncio.Task[None]] = set()  # accepted, and not yet connections of the loop
        self.retry_timer: asyncio.TimerHandle | None = None
        self.closed = False
        self.loop.add_reader(self.socket, self._accept)

    @property
    def has_pending(self) -> bool:
        """Whether something that has connected is not yet a connection of the loop."""
        if self.closed:
            return bool(self.attaching)
        poll = select.poll()
        poll.register(self.socket.fileno(), select.POLLIN)
        return bool(self.attaching or poll.poll(0))

    def close(self) -> None:
        """What the kernel holds for it is reset: see `pending`."""
        if not self.closed:
            self.closed = True
            if self.retry_timer is not None:
                self.retry_timer.cancel()
            self.loop.remove_reader(self.socket)
            self.socket.close()

    def _accept(self) -> None:
        """One in a turn of the loop, and the next once it is a connection: what those before it ask is read
        and answered meanwhile, so that they can make room. Accepted all at once, those past the bound on
        connections were reset with their requests unread."""
        if self.attaching:
            return
        try:
            accepted, _ = self.socket.accept()
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            if error.errno not in PEER_ERRNOS:
                self._retry_later(error)
            return
        task = self.loop.create_task(self._attach(accepted))
        self.attaching.add(task)
        task.add_done_callback(self.attaching.discard)

    def _retry_later(self, error: OSError) -> None:
        """Looked at again after a pause: the socket stays readable, and the loop would spin."""
        log.warning("accept_failed", fault=str(error), again_s=ACCEPT_RETRY_DELAY_S)
        if error.errno == OUT_OF_DESCRIPTORS:
            self.evict_connection()
        self.loop.remove_reader(self.socket)
        self.retry_timer = self.loop.call_later(ACCEPT_RETRY_DELAY_S, self._resume)

    def _resume(self) -> None:
        self.retry_timer = None
        self.loop.add_reader(self.socket, self._accept)
        self._accept()

    async def _attach(self, accepted: socket.socket) -> None:
        try:
            accepted.setblocking(False)
            # Small answers would wait for the peer's acknowledgement, and go with a reset.
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self.loop.connect_accepted_socket(self.protocol_factory, accepted)
        except OSError as error:
            log.warning("connection_lost_at_accept", fault=str(error))
            accepted.close()
