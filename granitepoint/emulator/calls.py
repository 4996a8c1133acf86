"""What travels through the world: a client's request, a call to an instance, an attempt at a server."""

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
    from granitepoint.emulator.tally import Window


class CallResult(Enum):
    """How a call ended, as its asker sees it."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    LOST = "lost"  # no instance could be reached, or it died with the call


class Request:
    """What a client wants, over all its tries. Times in simulated seconds, work in core seconds."""

    __slots__ = (
        "created_at", "cls", "deadline", "ended", "honors_retry_after", "number", "random", "tenant", "tries", "window",
        "work", "utility", "zone",
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
        self.window = window
        self.random = random  # of all that its calls cost, so that runs of other decisions meet the same
        self.deadline = created_at + cls.deadline_ms / 1e3
        self.utility = cls.worth
        self.honors_retry_after = True  # stays away as long as it is told
        self.tries = 0
        self.ended = False


class Call:
    """One call to an instance, from a client or from a server of the tier above."""

    __slots__ = (
        "caller", "attempts", "deadline", "ended", "event", "id", "instance", "calling_attempt", "in_flight", "request",
        "work",
    )  # fmt: skip

    def __init__(self, id: int, request: Request, caller: Caller, budget: float, work: float) -> None:
        self.id, self.request, self.caller = id, request, caller
        self.work = work  # core seconds, of which a tier does its share
        self.event = Arrival(id, request.cls.name, budget, request.tenant)
        self.deadline = math.inf  # set when an instance takes it
        self.attempts: list[Attempt] = []
        self.in_flight = 0  # attempts that have no outcome yet
        self.ended = False
        self.calling_attempt: Attempt | None = None  # at the server that asks
        self.instance: Instance | None = None


class Caller(Protocol):
    def on_call_ended(
        self, call: Call, result: CallResult, retry_after: float, attempt: Attempt | None
    ) -> None:
        """The one end of a call; `attempt` is the one that served it."""


class AttemptState(Enum):
    """Of an attempt, at its server."""

    IN_TRANSIT = 0  # on its way there, or turned away
    QUEUED = 1  # for a slot
    RUNNING = 2
    CALLING = 3  # the next tier
    FINISHED = 4


class Attempt:
    """One execution, or a try at one, of a call at a server."""

    __slots__ = (
        "call",
        "remaining_calls",
        "deadline",
        "finish_progress",
        "inner_call",
        "instance",
        "inner_attempts",
        "incarnation",
        "number",
        "handshake_work",
        "reply_status",
        "work_after_calls",
        "idle_for",
        "sent_at",
        "server",
        "state",
        "status",
        "work_spent",
        "work",
    )  # fmt: skip

    def __init__(
        self, call: Call, number: int, instance: Instance, server: Server, sent_at: float, deadline: float
    ) -> None:
        self.call, self.number, self.instance, self.server = call, number, instance, server
        self.sent_at, self.deadline = sent_at, deadline
        self.incarnation = server.incarnation  # of the process that its connection leads to
        self.idle_for = 0.0  # s that its connection had not been used; 0: a new one
        self.status = -1  # still out
        self.reply_status = -1  # the status on its way back
        self.state = AttemptState.IN_TRANSIT
        self.handshake_work = 0.0  # work of its connection's handshake
        self.work = self.work_after_calls = (
            0.0  # core seconds of the part at hand, and of the part after the calls
        )
        self.finish_progress = 0.0  # the server's progress at which the part at hand is done
        self.work_spent = 0.0  # core seconds spent on it
        self.remaining_calls = 0
        self.inner_call: Call | None = None  # out to the next tier
        self.inner_attempts: list[Attempt] = []  # that served its calls


def draw(random: Random, dist: str, mean: float, cv: float) -> float:
    """A positive figure of that mean and coefficient of variation."""
    if dist == "fixed" or cv <= 0:
        return mean
    if dist == "pareto":
        alpha = 1 + math.sqrt(1 + 1 / (cv * cv))
        return mean * (alpha - 1) / alpha * random.paretovariate(alpha)
    variance = math.log1p(cv * cv)
    return random.lognormvariate(math.log(mean) - variance / 2, math.sqrt(variance))
