"""The listening socket: accepts connections and handles the errors of accept(2).

The event loop's own listener answers EMFILE and ENFILE by closing the waiting connections, and the requests
sent on them are lost. This one leaves them in the kernel's backlog and accepts them some milliseconds later.
"""

from __future__ import annotations

import asyncio
import errno
import select
import socket
from collections.abc import Callable

from granitepoint.net.logs import EventLogger

log = EventLogger(__name__)

BACKLOG = 1024  # maximum number of connections that the kernel queues until they are accepted
MAX_ACCEPTS_PER_TURN = 16  # of the event loop
ACCEPT_RETRY_DELAY_S = 0.01  # after accept failed because this machine lacked a resource
# Errors of the accepted connection itself, which is then gone. All other errors are temporary conditions of
# this machine: the connections stay in the backlog, so accept can be retried later.
PEER_ERRNOS = frozenset(
    (
        errno.ECONNABORTED, errno.EPROTO, errno.ENETDOWN, errno.ENOPROTOOPT, errno.EHOSTDOWN, errno.ENONET,
        errno.EHOSTUNREACH, errno.EOPNOTSUPP, errno.ENETUNREACH, errno.EPERM, errno.ETIMEDOUT,
    )
)  # fmt: skip
OUT_OF_DESCRIPTORS = errno.EMFILE


class Listener:
    """Listens on an address until closed. Each connection gets its own protocol object."""

    def __init__(
        self,
        host: str,
        port: int,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        evict_connection: Callable[[], object],
        free_places: Callable[[], int] = lambda: 0,
    ) -> None:
        """Binds the address. `evict_connection` is called when the process has run out of descriptors.

        `free_places` returns how many connections can be served beside those that are attached.
        Raises OSError if the address is unavailable.
        """
        self.loop = asyncio.get_running_loop()
        self.protocol_factory, self.evict_connection = protocol_factory, evict_connection
        self.free_places = free_places
        # The loop's create_server() would resolve even a numeric host, in four threads that then stay.
        self.socket = socket.create_server((host, port), backlog=BACKLOG)
        self.socket.setblocking(False)
        self.port = int(self.socket.getsockname()[1])
        self.attaching: set[asyncio.Task[None]] = set()  # accepted, not yet attached to the loop
        self.retry_timer: asyncio.TimerHandle | None = None
        self.closed = False
        self.loop.add_reader(self.socket, self._accept)

    @property
    def has_pending(self) -> bool:
        """Whether connections wait in the backlog or are not attached to the event loop yet."""
        if self.closed:
            return bool(self.attaching)
        poll = select.poll()
        poll.register(self.socket.fileno(), select.POLLIN)
        return bool(self.attaching or poll.poll(0))

    def close(self) -> None:
        """Closes the socket; the kernel resets the connections in the backlog (see `has_pending`)."""
        if not self.closed:
            self.closed = True
            if self.retry_timer is not None:
                self.retry_timer.cancel()
            self.loop.remove_reader(self.socket)
            self.socket.close()

    def _accept(self) -> None:
        """Accepts some connections while there are places, else one; the next when these are attached.

        At the connection limit, requests of earlier connections are read and answered in between, so that
        these can be evicted. When all were accepted at once, those over the limit were reset with their
        requests unread.
        """
        if self.attaching:
            return
        for _ in range(max(1, min(MAX_ACCEPTS_PER_TURN, self.free_places()))):
            if not self._accept_one():
                return

    def _accept_one(self) -> bool:
        """Accepts the next connection; returns False if there is none or accept failed."""
        try:
            accepted, _ = self.socket.accept()
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as error:
            if error.errno not in PEER_ERRNOS:
                self._retry_later(error)
            return False
        task = self.loop.create_task(self._attach(accepted))
        self.attaching.add(task)
        task.add_done_callback(self.attaching.discard)
        return True

    def _retry_later(self, error: OSError) -> None:
        """Stops polling the socket for a while: it stays readable, so the event loop would spin."""
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
            # Otherwise small answers wait for the peer's acknowledgement and are lost with a reset.
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self.loop.connect_accepted_socket(self.protocol_factory, accepted)
        except OSError as error:
            log.warning("connection_lost_at_accept", fault=str(error))
            accepted.close()
