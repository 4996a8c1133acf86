"""The backends, their pools of connections, and the connection on which each exchange runs."""

from __future__ import annotations

import asyncio
import errno
import math
import time
from collections import Counter
from collections.abc import Callable

from granitepoint.interface import ServerState, Status
from granitepoint.net.answer_memory import AnswerMemory
from granitepoint.net.backend_connection import Connection
from granitepoint.net.config import Address
from granitepoint.net.exchange import Exchange
from granitepoint.net.listing import Listing
from granitepoint.net.logs import EventLogger
from granitepoint.net.reuse_delay import ReuseDelay
from granitepoint.net.timing import NEXT_LOOP_ITERATION_S, STALL_THRESHOLD_S

log = EventLogger(__name__)

READ_BYTES = 16 * 1024  # of one read from a backend
IDLE_TIMEOUT_SHARE = 0.9  # of the configured idle time, so that this side closes before the backend
UPSTREAM_DESCRIPTOR_SHARE = 0.4  # of the process's file descriptors, for connections to backends
IDLE_SWEEP_INTERVAL_S = 1.0  # between checks for connections that have reached the idle timeout
# Errors of a connect that are caused by this machine, and say nothing about the backend.
LOCAL_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL))


class Upstream:
    """One backend as discovery last listed it, and its connections."""

    __slots__ = ("address", "connections", "idle", "last_received_at", "owner", "started_at", "state")

    def __init__(self, owner: Upstreams, address: Address, started_at: float, state: ServerState) -> None:
        self.owner, self.address, self.started_at, self.state = owner, address, started_at, state
        self.connections: set[Connection] = set()
        self.last_received_at = 0.0  # monotonic, of data on any of its connections
        self.idle: list[Connection] = []  # the one that has been idle the longest comes first

    @property
    def serving(self) -> bool:
        """Whether requests may be sent to it."""
        return self.state is ServerState.SERVING

    def take_rested(self, max_idle_age: float) -> Connection | None:
        """Returns an idle connection that has rested after its last answer, or None if there is none.

        The most recently used one is preferred, so that surplus connections reach the idle timeout.
        Connections that have been idle for more than `max_idle_age` seconds are closed.
        """
        now = time.monotonic()
        min_idle_since = now - min(self.owner.idle_timeout, max_idle_age)
        rested_since = now - self.owner.reuse_delay.at(now)
        for connection in reversed(self.idle.copy()):
            if connection.idle_since <= min_idle_since:
                self.owner.counts["closed as too old"] += 1
                connection.abandon()
            elif connection.answered_at <= rested_since:
                self.idle.remove(connection)
                if connection.transport is not None and not connection.transport.is_closing():
                    return connection
        return None

    def rested_at(self) -> float:
        """Returns when the first idle connection will have rested (monotonic); infinity if there is none."""
        answered_at = min((connection.answered_at for connection in self.idle), default=math.inf)
        return answered_at + self.owner.reuse_delay.at(time.monotonic())

    def release(self, connection: Connection) -> None:
        """Returns a connection to the idle ones, or closes it if the backend is not used any more."""
        if connection not in self.connections or not self.serving:
            connection.abandon()
            return
        connection.idle_since = time.monotonic()
        self.idle.append(connection)

    def remove_idle(self, connection: Connection) -> None:
        """Removes a connection from the idle ones."""
        if connection in self.idle:
            self.idle.remove(connection)

    def on_connection_lost(self, connection: Connection) -> None:
        """Updates the bookkeeping for a connection that is closed."""
        self.remove_idle(connection)
        self.connections.discard(connection)
        self.owner.open_connections -= 1

    def close_idle(self, unused_since: float = float("inf")) -> None:
        """Closes the connections idle since `unused_since` (monotonic) or longer; by default all of them."""
        for connection in [c for c in self.idle if c.idle_since <= unused_since]:
            connection.abandon()

    def drop_connections(self) -> None:
        """Stops reusing the connections, as another process or another address has replaced the backend."""
        self.close_idle()
        self.connections.clear()  # those in use are closed in release(), after their exchange


class Upstreams:
    """All backends, with a common limit of connections.

    `conn_idle` is the time in seconds after which a backend closes an idle connection.
    """

    def __init__(
        self,
        connect_timeout: float,
        conn_idle: float,
        max_connections: int,
        on_idle_closed: Callable[[Upstream, float], None] = lambda upstream, idle_for: None,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.connect_timeout = connect_timeout  # seconds
        self.idle_timeout = IDLE_TIMEOUT_SHARE * conn_idle  # seconds
        self.max_connections = max_connections
        self.on_idle_closed = on_idle_closed  # called when a backend closes an idle connection
        self.reuse_delay = ReuseDelay()
        self.answers = AnswerMemory()
        self.read_buffer = memoryview(bytearray(READ_BYTES))  # for the reads of all connections
        self.open_connections = 0
        self.counts: Counter[str] = Counter()  # of connection events, since the last statistics line
        self.by_id: dict[int, Upstream] = {}
        self._connect_tasks: set[asyncio.Task[None]] = set()
        self.loop.call_later(IDLE_SWEEP_INTERVAL_S, self._sweep)

    @property
    def descriptors_in_use(self) -> int:
        """Number of file descriptors of connections and of connects in progress."""
        return self.open_connections + len(self._connect_tasks)

    @property
    def ready(self) -> bool:
        """Whether any backend can serve requests."""
        return any(upstream.serving for upstream in self.by_id.values())

    def apply(self, listing: Listing) -> None:
        """Updates the backends from a list of discovery."""
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
                del self.by_id[server]  # attempts in flight on it end by themselves

    def start(self, exchange: Exchange) -> None:
        """Runs the exchange on a rested connection, or on a new one if there is none.

        At the limit of connections it waits until one of this backend has rested, before a connection to
        another backend is closed for it.
        """
        upstream = exchange.upstream
        connection = upstream.take_rested(exchange.max_idle_age)
        if connection is not None:
            self._reuse(exchange, connection)
            return
        if self.descriptors_in_use >= self.max_connections:
            rested_at = upstream.rested_at()
            if rested_at < math.inf:
                self.loop.call_later(max(0.0, rested_at - time.monotonic()), self._start_again, exchange)
                return
            if not self._evict_idle():
                exchange.end(Status.MOOT)  # the limit is this proxy's own and says nothing about the backend
                return
        self.counts["opened beside resting"] += bool(upstream.idle)
        task = self.loop.create_task(self._connect(exchange, upstream))
        self._connect_tasks.add(task)
        task.add_done_callback(self._connect_tasks.discard)

    def _start_again(self, exchange: Exchange) -> None:
        """Starts an exchange that has waited for a connection, unless it has ended meanwhile."""
        if exchange.status is None:
            self.start(exchange)

    def _reuse(self, exchange: Exchange, connection: Connection) -> None:
        """Runs the exchange on an idle connection, unless that has broken or holds unread data.

        Unread data would be mistaken for the answer to the new request.
        """
        if connection in connection.upstream.connections and not connection.has_unread_data():
            exchange.run_on(connection)
            return
        connection.abandon()
        self._start_again(exchange)

    async def _connect(self, exchange: Exchange, upstream: Upstream) -> None:
        connection = Connection(upstream)
        address, started_at = upstream.address, upstream.started_at
        try:
            await self._open_connection(connection, address)
            if (address, started_at) != (upstream.address, upstream.started_at):
                raise ConnectionError("the backend changed during the connect")
            if connection.transport is None:
                raise ConnectionError("the connection was lost right after the connect")
            upstream.connections.add(connection)
            exchange.run_on(connection)
        except (OSError, TimeoutError) as error:
            connection.abandon()
            # A local shortage of resources says nothing about the backend.
            local = isinstance(error, OSError) and error.errno in LOCAL_ERRNOS
            exchange.end(Status.MOOT if local else Status.CONNECT_FAILED)
        except Exception:
            log.exception("attempt_failed", id=exchange.id or None, backend="{}:{}".format(*address))
            connection.abandon()
            exchange.end(Status.RESET)

    async def _open_connection(self, connection: Connection, address: Address) -> None:
        """Connects within the connect timeout. Raises OSError or TimeoutError.

        After a stall of this process the timers run before the sockets are read, and the connection may be up
        already. So the sockets are read once more before the connect counts as failed.
        """
        timer_due = time.monotonic() + self.connect_timeout
        opening = self.loop.create_task(self.loop.create_connection(lambda: connection, *address))
        await asyncio.wait([opening], timeout=self.connect_timeout)
        if not opening.done() and time.monotonic() > timer_due + STALL_THRESHOLD_S:
            await asyncio.wait([opening], timeout=NEXT_LOOP_ITERATION_S)
        if not opening.done():
            opening.cancel()
            await asyncio.wait([opening])
        if opening.cancelled():
            raise TimeoutError
        opening.result()

    def _evict_idle(self) -> bool:
        """Closes the connection that has been idle the longest. Returns False if there is none."""
        idle = [c for upstream in self.by_id.values() for c in upstream.idle[:1]]
        if not idle:
            return False
        min(idle, key=lambda c: c.idle_since).abandon()
        return True

    def _sweep(self) -> None:
        min_idle_since = time.monotonic() - self.idle_timeout
        for upstream in self.by_id.values():
            upstream.close_idle(min_idle_since)
        self.loop.call_later(IDLE_SWEEP_INTERVAL_S, self._sweep)
