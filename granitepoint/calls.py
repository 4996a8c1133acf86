"""The calls of an instance and their attempts. All times are in seconds, on the clock of the events."""

from __future__ import annotations

from typing import TYPE_CHECKING

from granitepoint.admission import ClassState

if TYPE_CHECKING:
    from granitepoint.logic import Server


class Attempt:
    """One attempt of a call on one server."""

    __slots__ = (
        "call", "cell", "charged_to_server", "connection_stalled", "has_slot", "hedged", "idle_time", "load",
        "number", "opened", "over_target", "sent_at", "server", "status", "zone",
    )  # fmt: skip

    def __init__(self, call: Call, number: int, server: Server, sent_at: float, load: float) -> None:
        """`load`: the estimated number of calls on the server when this attempt was sent."""
        self.call, self.number, self.server, self.sent_at, self.load = call, number, server, sent_at, load
        self.zone, self.cell = server.zone, server.cell  # copied: a later list may move the server
        self.status = -1  # in flight; later a Status
        self.has_slot = True  # counts against the concurrency limit, in Balancer.busy
        self.over_target = False  # its age has passed the target latency, which has lowered the limit
        self.idle_time = 0.0  # s for which the connection had not been used; 0: in use or new
        self.opened = False  # the connection was opened for this attempt
        self.charged_to_server = False  # has been counted in its server's slow_streak
        self.hedged = False  # it was stuck, and a further attempt was requested for its call
        self.connection_stalled = False  # its connection is at fault, not its server


class Call:
    """A request in progress, with its attempts. Calls sort by utility, highest first, then by arrival."""

    __slots__ = (
        "arrived_at", "attempts", "cls", "deadline", "ended", "id", "in_flight", "probe_end",
        "probed_candidates", "queued", "sort_key", "streaming", "useful_until", "utility",
    )  # fmt: skip

    def __init__(
        self, id: int, cls: ClassState, utility: float, arrived: float, deadline: float, useful_until: float
    ) -> None:
        """`useful_until`: when an answer loses its utility, at the latest at the deadline."""
        self.id, self.cls, self.utility, self.arrived_at = id, cls, utility, arrived
        self.deadline, self.useful_until = deadline, useful_until
        self.sort_key = (-utility, arrived, id)
        self.attempts: list[Attempt] = []
        self.in_flight = 0  # attempts without an outcome
        self.ended = self.streaming = self.queued = False
        self.probed_candidates: list[Server] | None = None  # servers probed for this call alone
        self.probe_end = 0.0  # until when the call waits for their answers

    def __lt__(self, other: Call) -> bool:
        return self.sort_key < other.sort_key
