"""The server for callers: their connections, the limits of these and of their memory."""

from __future__ import annotations

import asyncio
import select
import time
from collections import Counter
from collections.abc import Iterator, Mapping
from itertools import islice, takewhile

from granitepoint.interface import Effect
from granitepoint.net.client_connection import (
    NO_HEADERS,
    NO_MEMORY,
    PEER_CLOSED_EVENTS,
    ClientConnection,
    Handler,
)
from granitepoint.net.fair_turns import FairTurns
from granitepoint.net.listener import Listener
from granitepoint.net.logs import EventLogger
from granitepoint.net.memory_account import BASE_MEMORY_MB, plan_memory
from granitepoint.net.process_memory import MEBIBYTE
from granitepoint.net.request_lines import Rejection
from granitepoint.net.request_reader import CHUNK_OBJECT_BYTES, MAX_BODY_BYTES
from granitepoint.net.requests import Headers
from granitepoint.net.timing import NEXT_LOOP_ITERATION_S, STALL_THRESHOLD_S
from granitepoint.net.upstream import UPSTREAM_DESCRIPTOR_SHARE

log = EventLogger(__name__)

# From the connect, or from the first byte of a further request, until the request is complete.
REQUEST_READ_TIMEOUT_S = 2.2
KEEP_ALIVE_TIMEOUT_S = 5.0  # from an answer until an idle connection is closed
LINGER_TIMEOUT_S = 2.0  # for the peer to receive its last answer; input that arrives meanwhile is discarded
SWEEP_INTERVAL_S = 0.1  # between checks for timed-out connections
# For the listener, discovery, the event loop and the log; a tenth of the descriptor limit where that is less.
RESERVED_DESCRIPTORS = 24
# At the connection limit, connections are evicted in this order: (table, minimum time in that table in s).
# A closing connection may still be sending its last answer, so it is given time before it is evicted.
EVICTION_ORDER = (
    ("awaiting_request", 0.3), ("idle", 2.0), ("closing", 0.5),
    ("awaiting_request", 0.05), ("idle", 0.5), ("closing", 0.0),
)  # fmt: skip
# Connections checked per entry of EVICTION_ORDER; one with unread data, maybe a request, is not evicted.
MAX_EVICTION_CHECKS = 8
# Share of the caller connections that is kept for connections over the limit, whose requests are refused.
OVER_LIMIT_SHARE = 0.12
LARGE_BODY_MEMORY_SHARE = 0.1  # of the memory beside the process itself, for large requests


class Server:
    """The listener and the connections of the callers.

    A connection without an open request is in one of three tables, by what it waits for: awaiting_request,
    idle or closing. Each table is ordered by the time of entry, the oldest first.
    """

    def __init__(
        self,
        effects: Mapping[str, Effect],
        handler: Handler,
        sockets: int,
        memory_mb: float,
        over_limit_headers: Headers = NO_HEADERS,
        process_mb: float = BASE_MEMORY_MB,
    ) -> None:
        """`sockets` and `memory_mb` are the limits of the process, which takes `process_mb` MB as it is."""
        self.loop = asyncio.get_running_loop()
        self.over_limit_headers = over_limit_headers  # of a refusal over the connection limit
        self.effects, self.handler = effects, handler
        reserved = int(sockets * UPSTREAM_DESCRIPTOR_SHARE) + min(RESERVED_DESCRIPTORS, sockets // 10)
        self.memory = plan_memory(memory_mb, process_mb, max(8, sockets - reserved))
        # What a connection may hold without a charge: unparsed input, and as much of a request.
        self.allowance = 2 * (self.memory.read_size + CHUNK_OBJECT_BYTES)
        # A large request is held together with its copy.
        self.max_large_requests = max(
            1, int(LARGE_BODY_MEMORY_SHARE * (memory_mb - process_mb) * MEBIBYTE / (2 * MAX_BODY_BYTES))
        )
        self.max_connections = max(8, self.memory.max_connections)
        self.max_served_connections = self.max_connections - int(self.max_connections * OVER_LIMIT_SHARE)
        self.connections: set[ClientConnection] = set()
        self.over_limit_connections: set[ClientConnection] = set()  # opened over the connection limit
        self.paused_connections: set[ClientConnection] = set()  # reading is paused
        self.large_request_connections: set[ClientConnection] = set()  # hold a large request
        self.unfinished: dict[ClientConnection, None] = {}  # hold a charged part of a request, oldest first
        self.write_blocked: dict[ClientConnection, None] = {}  # hold a charged unsent answer, oldest first
        self.awaiting_request: dict[ClientConnection, None] = {}  # no complete request yet
        self.idle: dict[ClientConnection, None] = {}  # answered, keep-alive
        self.closing: dict[ClientConnection, None] = {}  # the last answer has been written
        self.turns = FairTurns(self.loop)
        self.read_buffer = memoryview(bytearray(self.memory.read_size))  # for the reads of all connections
        self.draining = False  # graceful shutdown: each answer closes its connection
        self.listener: Listener | None = None
        self.sweep_due = 0.0  # s, monotonic; when the next check for timed-out connections is due
        self.counts: Counter[str] = Counter()  # closes, rejections, refusals since the last statistics line

    def set_table(self, connection: ClientConnection, table: dict[ClientConnection, None] | None) -> None:
        """Moves a connection to the end of a table, or out of all tables (None)."""
        if connection.table is not None:
            del connection.table[connection]
        connection.table = table
        if table is not None:
            connection.table_since = time.monotonic()
            table[connection] = None

    def reserve_large_request(self, connection: ClientConnection) -> bool:
        """Returns whether this connection may hold a large request, within the memory limit for these."""
        if len(self.large_request_connections) < self.max_large_requests:
            self.large_request_connections.add(connection)
        return connection in self.large_request_connections

    def hold_request(self, connection: ClientConnection, size: int) -> bool:
        """Sets what a connection's request takes beyond its allowance, in bytes; returns whether it fits.

        Where it does not, the requests that have been unfinished for the longest are refused.
        """
        more = size - connection.charged_requests
        if connection.answering:  # what was read and passed on is kept
            self.memory.requests.charge(more)
            more = 0
        while not self.memory.requests.try_charge(more):
            oldest = next((each for each in self.unfinished if each is not connection), None)
            if oldest is None:
                return False
            del self.unfinished[oldest]
            self.counts["refused unfinished"] += 1
            oldest.reject_partial_request(NO_MEMORY)
        connection.charged_requests = size
        if not size or connection.answering:
            self.unfinished.pop(connection, None)
        else:
            self.unfinished.setdefault(connection)
        return True

    def hold_unsent(self, connection: ClientConnection, size: int) -> None:
        """Charges an answer that the peer does not read, in bytes; others are ended for it, the oldest first.

        A single one may exceed the limit: its connection is answered no further until the peer has read.
        """
        self.write_blocked.setdefault(connection)
        while not self.memory.answers.try_charge(size - connection.charged_answers):
            oldest = next((each for each in self.write_blocked if each is not connection), None)
            if oldest is None:
                self.memory.answers.charge(size - connection.charged_answers)
                break
            self.release_unsent(oldest)
            self.counts["caller ended unread answer"] += 1
            oldest.abort()
        connection.charged_answers = size

    def release_unsent(self, connection: ClientConnection) -> None:
        """Releases what was charged for an unsent answer."""
        self.write_blocked.pop(connection, None)
        self.memory.answers.charge(-connection.charged_answers)
        connection.charged_answers = 0

    def remove(self, connection: ClientConnection) -> None:
        """Forgets a connection that is closed."""
        self.set_table(connection, None)
        self.turns.remove(connection)
        self.release_unsent(connection)
        self.unfinished.pop(connection, None)
        self.connections.discard(connection)
        self.over_limit_connections.discard(connection)
        self.paused_connections.discard(connection)
        self.large_request_connections.discard(connection)

    def add(self, connection: ClientConnection) -> None:
        """Registers a new connection and enforces the connection limits.

        Over the limit an unused connection is evicted. If there is none, the requests of the new connection
        are refused. Once the capacity for such connections is used up too, the new connection is aborted.
        """
        self.connections.add(connection)
        if (
            len(self.connections) - len(self.over_limit_connections) > self.max_served_connections
            and not self._evict_connection()
        ):
            connection.over_limit = True
            self.over_limit_connections.add(connection)
        if len(self.connections) > self.max_connections and not self._evict_connection(among_over_limit=True):
            self.counts["caller turned away"] += 1
            connection.abort()
            return
        self.set_table(connection, self.awaiting_request)

    def _free_places(self) -> int:
        """Returns how many more connections can be served without an eviction."""
        return self.max_served_connections - len(self.connections)

    def _evict_connection(self, among_over_limit: bool = False) -> bool:
        """Aborts one unused connection; returns whether one was found.

        Evicting an over-limit connection frees a descriptor but no capacity for served connections, so
        `among_over_limit` says which of the two kinds is evicted.
        """
        now = time.monotonic()
        tables = {"awaiting_request": self.awaiting_request, "idle": self.idle, "closing": self.closing}
        for table_name, age in EVICTION_ORDER:
            old = self._entered_before(tables[table_name], now - age)
            for oldest in islice(
                (held for held in old if (held in self.over_limit_connections) == among_over_limit),
                MAX_EVICTION_CHECKS,
            ):
                if oldest.closing or not oldest.has_unread_data():
                    self.counts[f"caller evicted {table_name}"] += 1
                    self.set_table(oldest, None)
                    oldest.abort()
                    return True
        return False

    def figures(self) -> dict[str, float]:
        """Returns the numbers of connections, by what they wait for, for the statistics line."""
        return {
            "callers.open": len(self.connections),
            "callers.over_limit": len(self.over_limit_connections),
            "callers.awaiting_request": len(self.awaiting_request),
            "callers.idle": len(self.idle),
            "callers.paused": len(self.paused_connections),
            "memory.requests_mb": self.memory.requests.charged / MEBIBYTE,
            "memory.read_ahead_mb": self.memory.read_ahead.charged / MEBIBYTE,
            "memory.answers_mb": self.memory.answers.charged / MEBIBYTE,
            "memory.backend_answers_mb": self.memory.backend_answers.charged / MEBIBYTE,
        }

    async def listen(self, host: str, port: int) -> int:
        """Starts to accept connections and returns the port. Raises OSError if the address is unavailable."""
        self.listener = Listener(
            host, port, lambda: ClientConnection(self), self._evict_connection, self._free_places
        )
        self._sweep_later()
        return self.listener.port

    async def accept_pending(self, until: float) -> None:
        """Closes the listener once its backlog is accepted, at the monotonic time `until` at the latest.

        Closing a listener resets the connections in its backlog, and the requests sent on them are lost.
        """
        while self.listener is not None and self.listener.has_pending and time.monotonic() < until:
            await asyncio.sleep(NEXT_LOOP_ITERATION_S)
        self.stop_listening()

    def stop_listening(self) -> None:
        """Closes the listener; connections that are still in its backlog are reset."""
        if self.listener is not None:
            self.listener.close()

    def close_idle(self) -> None:
        """Closes the connections that have no request, neither a partial nor an unread one."""
        for connection in [*self.idle, *self.awaiting_request]:
            if not connection.has_partial_request and not connection.has_unread_data():
                connection.close()

    @property
    def has_partial_request(self) -> bool:
        """Whether any connection has a partial request, or unread bytes that may be one."""
        return any(
            connection.has_partial_request or connection.has_unread_data()
            for connection in (*self.idle, *self.awaiting_request)
        )

    def reject_partial_requests(self) -> None:
        """Refuses the requests that are still partial at the end of the graceful shutdown.

        None of them was sent to a backend, so the refusal is harmless. Unread bytes are read first, and a
        request that they complete is refused as well.
        """
        for connection in [*self.idle, *self.awaiting_request]:
            connection.refuse_requests()
            if not connection.has_unread_data():
                connection.reject_partial_request(Rejection(503, "this proxy is ending"))

    def abort_closing(self) -> None:
        """Aborts the connections that a close does not end: their peers never read the last answer."""
        for connection in list(self.closing):
            connection.abort()

    def _sweep_later(self) -> None:
        self.sweep_due = time.monotonic() + SWEEP_INTERVAL_S
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        """Ends the connections that have been in one of the tables for too long."""
        now = time.monotonic()
        if now > self.sweep_due + SWEEP_INTERVAL_S + STALL_THRESHOLD_S:
            # The process was stalled. Timers run before sockets are read, so missing bytes may have arrived.
            self.sweep_due = now
            self.loop.call_later(NEXT_LOOP_ITERATION_S, self._sweep)
            return
        self._abort_disconnected()
        for table, reason, timeout, end in (
            (self.awaiting_request, "read timeout", REQUEST_READ_TIMEOUT_S, ClientConnection.on_read_timeout),
            (self.idle, "idle", KEEP_ALIVE_TIMEOUT_S, ClientConnection.close),
            (self.closing, "not closed by it", LINGER_TIMEOUT_S, ClientConnection.abort),
        ):
            for connection in list(self._entered_before(table, now - timeout)):
                # Unread bytes are read before a connection times out; at the next sweep it times out anyway.
                first_check = (
                    table is not self.closing and connection.table_since > now - timeout - SWEEP_INTERVAL_S
                )
                if not (connection.has_work or (first_check and connection.has_unread_data())):
                    self.counts[f"caller ended {reason}"] += 1
                    end(connection)
        self._sweep_later()

    @staticmethod
    def _entered_before(table: dict[ClientConnection, None], moment: float) -> Iterator[ClientConnection]:
        return takewhile(lambda connection: connection.table_since <= moment, table)

    def _abort_disconnected(self) -> None:
        """Aborts paused connections whose peer has closed or reset.

        While reading is paused, the event loop doesn't see the end of the connection behind the unread bytes.
        Those with an open request are looked at by reading on, as what was begun for it need not go on.
        """
        poll, connections_by_fd = select.poll(), {}
        for connection in list(self.paused_connections):
            if connection.answering and connection.peer_closed():
                self.abort_disconnected(connection)
            elif connection.transport is not None:
                connections_by_fd[connection.fileno] = connection
                poll.register(connection.fileno, PEER_CLOSED_EVENTS)
        for file_number, _ in poll.poll(0) if connections_by_fd else ():
            self.abort_disconnected(connections_by_fd[file_number])

    def abort_disconnected(self, connection: ClientConnection) -> None:
        """Aborts a connection whose peer has closed or reset behind unread input."""
        log.info("caller_left_unread")
        self.counts["caller left unread"] += 1
        connection.abort()
