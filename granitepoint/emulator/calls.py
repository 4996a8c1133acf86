"""Requests of clients, calls to instances and attempts at servers.

A client makes one or more tries for a request; each is a call to a proxy. A server of any tier but the last
makes calls too, to an instance of its own, which balances them over the next tier. An instance sends a call
to servers, in one or more attempts.
"""

from __future__ import annotations

import math
from enum import Enum
from random import Random
from typing import TYPE_CHECKING, Protocol

from granitepoint.emulator.day import Class
from granitepoint.interface import Arrival

if TYPE_CHECKING:
    from granitepoint.emulator.instance import Instance
    from granitepoint.emulator.server import Server
    from granitepoint.emulator.statistics import Window


class CallResult(Enum):
    """How a call ended, as its caller sees it."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    LOST = "lost"  # no instance could be reached, or it terminated with the call in progress


class Request:
    """A client's request over all its tries.

    Times are in simulated seconds, work is in seconds of a standard core.
    """

    __slots__ = (
        "cls", "created_at", "deadline", "ended", "honors_retry_after", "number", "random", "tenant", "tries",
        "utility", "window", "work", "zone",
    )  # fmt: skip

    def __init__(
        self,
        number: int,
        cls: Class,
        tenant: str,
        zone: str,
        created_at: float,
        work: float,
        window: Window,
        random: Random,
    ) -> None:
        self.number, self.cls, self.tenant, self.zone, self.created_at, self.work = (
            number, cls, tenant, zone, created_at, work,
        )  # fmt: skip
        # `work` is the work of its calls to the first tier, before the factor Tier.work.
        self.window = window  # the window of the results in which the request is counted
        # Draws the work, the number of inner calls and the error of each of its attempts. Each request has
        # its own stream, so that other decisions about one request don't change what is drawn for the others.
        self.random = random
        self.deadline = created_at + cls.deadline_ms / 1e3
        self.utility = cls.worth
        self.honors_retry_after = True  # whether its client waits as long as Retry-After says
        self.tries = 0
        self.ended = False


class Call:
    """One call to an instance, from a client or from a server of the previous tier."""

    __slots__ = (
        "attempts", "caller", "calling_attempt", "deadline", "ended", "event", "id", "in_flight", "instance",
        "request", "work",
    )  # fmt: skip

    def __init__(self, id: int, request: Request, caller: Caller, budget: float, work: float) -> None:
        self.id, self.request, self.caller = id, request, caller
        self.work = work  # core seconds; an attempt takes Tier.work times as much
        self.event = Arrival(id, request.cls.name, budget, request.tenant)
        self.deadline = math.inf  # set when an instance accepts the call
        self.attempts: list[Attempt] = []
        self.in_flight = 0  # number of its attempts that have no outcome yet
        self.ended = False
        self.calling_attempt: Attempt | None = None  # attempt whose server makes the call; None: a client's
        self.instance: Instance | None = None


class Caller(Protocol):
    """Makes calls: the clients, or a server of the previous tier."""

    def on_call_ended(
        self, call: Call, result: CallResult, retry_after: float, attempt: Attempt | None
    ) -> None:
        """Handle the end of a call. Called at most once for a call, and not if the caller has left it.

        `retry_after` is in seconds; `attempt` is the attempt that served the call, None if none did.
        """


class AttemptState(Enum):
    """State of an attempt at its server."""

    IN_TRANSIT = 0  # on the way to the server, or rejected by it
    QUEUED = 1  # waits for a slot
    RUNNING = 2
    CALLING = 3  # waits for its call to the next tier
    FINISHED = 4


class Attempt:
    """One attempt to execute a call at a server. Times in simulated seconds, work in core seconds."""

    __slots__ = (
        "call",
        "deadline",
        "finish_progress",
        "handshake_work",
        "idle_for",
        "incarnation",
        "inner_attempts",
        "inner_call",
        "instance",
        "number",
        "remaining_calls",
        "reply_status",
        "sent_at",
        "server",
        "state",
        "status",
        "work",
        "work_after_calls",
        "work_spent",
    )  # fmt: skip

    def __init__(
        self, call: Call, number: int, instance: Instance, server: Server, sent_at: float, deadline: float
    ) -> None:
        self.call, self.number, self.instance, self.server = call, number, instance, server
        self.sent_at, self.deadline = sent_at, deadline
        self.incarnation = server.incarnation  # of the process at the end of its connection; -1: none
        self.idle_for = 0.0  # s that its connection was idle before; 0: a new connection or none
        self.status = -1  # -1: in flight
        self.reply_status = -1  # status that the server has answered, before the answer arrives; -1: none
        self.state = AttemptState.IN_TRANSIT
        self.handshake_work = 0.0  # core seconds for the handshake of its connection
        # Core seconds of the current phase, and of the phase after its calls to the next tier.
        self.work = self.work_after_calls = 0.0
        self.finish_progress = 0.0  # Server.progress at which the current phase is done
        self.work_spent = 0.0  # core seconds that the server spent on it, without the handshake
        self.remaining_calls = 0  # calls to the next tier that it has not completed
        self.inner_call: Call | None = None  # the call to the next tier in progress
        self.inner_attempts: list[Attempt] = []  # attempts that served its calls to the next tier


def draw(random: Random, dist: str, mean: float, cv: float) -> float:
    """Draw a positive number with this mean and coefficient of variation."""
    if dist == "fixed" or cv <= 0:
        return mean
    if dist == "pareto":
        alpha = 1 + math.sqrt(1 + 1 / (cv * cv))
        return mean * (alpha - 1) / alpha * random.paretovariate(alpha)
    log_variance = math.log1p(cv * cv)
    return random.lognormvariate(math.log(mean) - log_variance / 2, math.sqrt(log_variance))
