"""An exchange: one attempt or probe, from the decision to send it until its outcome."""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from granitepoint.interface import Status
from granitepoint.net.logs import EventLogger
from granitepoint.net.timing import NEXT_LOOP_ITERATION_S, STALL_THRESHOLD_S

if TYPE_CHECKING:
    from granitepoint.net.backend_connection import Connection
    from granitepoint.net.upstream import Upstream

log = EventLogger(__name__)


class Exchange:
    """One request to one backend, from the decision to send it until its outcome.

    `build_request` gets the remaining time in seconds and returns the bytes of the request.
    `may_start` is called right before the first byte is sent, also after a slow connect: in the meantime the
    call may have ended, or the backend may have started to drain.
    `on_done` is called once, with `status` set.
    `timeout` is in seconds from now, after which the exchange ends without an answer.
    `max_idle_age` is in seconds: connections that have been idle for longer are not used.
    `send_within` is in seconds from now: the last byte is not sent after that.
    """

    __slots__ = (
        "body",
        "build_request",
        "code",
        "connection",
        "deadline",
        "elapsed",
        "headers",
        "id",
        "idle_for",
        "last_byte",
        "loop",
        "max_idle_age",
        "may_start",
        "on_done",
        "send_deadline",
        "sent",
        "started_at",
        "status",
        "timer",
        "timer_due",
        "upstream",
    )

    def __init__(
        self,
        upstream: Upstream,
        build_request: Callable[[float], bytes],
        timeout: float,
        may_start: Callable[[], bool],
        on_done: Callable[[Exchange], None],
        max_idle_age: float = math.inf,
        send_within: float = math.inf,
        id: bytes = b"",
    ) -> None:
        self.id = id  # of the request, for log lines
        self.upstream = upstream
        self.build_request = build_request
        self.last_byte = b""  # held back for LAST_BYTE_DELAY_S
        self.max_idle_age = max_idle_age
        self.idle_for: float | None = None  # seconds that its connection was idle before; 0 for a new one
        self.may_start, self.on_done = may_start, on_done
        self.loop = upstream.owner.loop
        self.started_at = time.monotonic()
        self.status: Status | None = None  # the outcome; None until the end
        self.elapsed = 0.0  # seconds from the start to the end
        self.sent = False  # the last byte has been written, so the backend may run the request
        self.connection: Connection | None = None
        self.code = 0  # HTTP status of the answer; 0 without a complete answer
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = b""
        self.timer_due = self.deadline = self.started_at + timeout  # monotonic
        self.send_deadline = self.started_at + send_within
        self.timer = self.loop.call_later(timeout, self._on_timeout)

    def end(self, status: Status) -> None:
        """Ends the exchange. Without a complete answer its connection is aborted, so a late one is lost."""
        if self.status is not None:
            return
        self.status = status
        self.elapsed = time.monotonic() - self.started_at
        self.timer.cancel()
        connection, self.connection = self.connection, None
        if connection is not None:
            log.info(
                "attempt_given_up", id=self.id or None, status=status.name.lower(),
                backend="{}:{}".format(*self.upstream.address), after_s=self.elapsed,
                answered_bytes=connection.bytes_received, rested_s=connection.idle_for,
                carried=connection.exchange_count,
            )  # fmt: skip
            connection.abandon()
        try:
            self.on_done(self)
        except Exception:  # an error in one call must not break the callbacks of the connection
            log.exception("exchange_end_failed", id=self.id or None)

    def cancel(self) -> None:
        """Gives up the exchange on the balancer's request."""
        self.end(Status.CANCELLED if self.sent else Status.MOOT)

    def _on_timeout(self) -> None:
        if time.monotonic() > self.timer_due + STALL_THRESHOLD_S:
            # The process was stalled. Timers run before sockets are read, so the answer may already be there.
            self.timer_due = math.inf
            self.timer = self.loop.call_later(NEXT_LOOP_ITERATION_S, self._on_timeout)
            return
        if self.sent and self.upstream.last_received_at < self.started_at:
            # The backend has sent nothing on any connection in the meantime. A machine that vanished leaves
            # its connections open and silent; after its return each would cost one more call or probe.
            self.upstream.close_idle(self.started_at)
        self.end(Status.TIMEOUT if self.sent else Status.MOOT)

    def run_on(self, connection: Connection) -> None:
        """Writes the request to the connection, unless the exchange has ended or must not start any more."""
        if self.status is not None or time.monotonic() >= self.send_deadline or not self.may_start():
            connection.upstream.release(connection)
            self.end(Status.MOOT)
            return
        self.connection = connection
        connection.start_exchange(self)

    def on_broken_unsent(self, new_connection: bool) -> None:
        """Handles a connection that broke before the last byte was written: the request has not run.

        A reused connection may have been dead for a while, which says nothing about the backend: the exchange
        is started again on another connection.
        """
        self.connection = None
        if new_connection:
            self.end(Status.CONNECT_FAILED)
        elif self.status is None:
            self.upstream.owner.start(self)

    def on_answer(self, code: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        """Ends the exchange with a complete answer, whose code determines the status."""
        self.connection = None
        self.code, self.headers, self.body = code, headers, body
        if code == 200:
            self.end(Status.OK)
        elif code in (503, 504) and any(name == b"x-rejected" and value == b"1" for name, value in headers):
            self.end(Status.FULL)
        else:
            self.end(Status.ERROR)
