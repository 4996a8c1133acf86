"""One instance and its simulated surroundings: requests, attempts, server lists, timers and the clock."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from granitepoint.interface import (
    NEVER_RAN,
    Action,
    Arrival,
    Cancel,
    Event,
    Fail,
    Gone,
    ListKind,
    Outcome,
    Probe,
    Probed,
    Refuse,
    RequestClass,
    Send,
    ServerEntry,
    ServerList,
    ServerState,
    SetTimer,
    Settings,
    Status,
    StreamStarted,
    Timer,
)
from granitepoint.logic import Balancer

BalancerFactory = Callable[[Settings, int], Balancer]
Location = tuple[str, int]  # zone and cell of a server


class RuleViolation(AssertionError):
    """A rule was violated; `rule` is the name of its checker."""

    def __init__(self, rule: str, message: str) -> None:
        super().__init__(f"{rule}: {message}")
        self.rule = rule


@dataclass(slots=True)
class Attempt:
    """An attempt of a call. Times are in seconds of the simulated clock."""

    number: int
    server: int
    location: Location
    sent_at: float
    timeout_at: float
    status: Status | None = None  # None: in flight
    streaming: bool = False

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have executed the attempt."""
        return self.status not in NEVER_RAN


@dataclass(slots=True)
class Call:
    """A request that the instance has received, as its client sees it. Times are in seconds."""

    id: int
    cls: RequestClass | None  # None if the class is unknown or the budget invalid: must be answered at once
    budget: float  # counted from the batch in which the request arrives
    deadline: float = math.inf  # set with that batch
    attempts: list[Attempt] = field(default_factory=list)
    answered: bool = False  # by the instance
    ended_in_turn: int | None = None  # turn in which the instance is notified of the end
    answer_due_at: float = math.inf  # the deadline, or the end of a stall after it

    @property
    def ended(self) -> bool:
        """Whether the request has its answer, or needs none any more."""
        return self.answered or self.ended_in_turn is not None

    @property
    def in_flight(self) -> list[Attempt]:
        """The attempts that have not ended."""
        return [attempt for attempt in self.attempts if attempt.status is None]

    @property
    def streaming(self) -> bool:
        """Whether the answer of an attempt is being streamed to the client."""
        return any(attempt.streaming for attempt in self.attempts)

    @property
    def first_possible_execution(self) -> Attempt | None:
        """The first attempt that may have been executed, or None."""
        return next((attempt for attempt in self.attempts if attempt.may_have_run), None)


class Rule:
    """Checks one rule. World calls its methods before it applies an action, and at the end of a turn."""

    name = ""

    def on_send(self, world: World, call: Call | None, action: Send) -> None:
        """Called when the instance sends an attempt."""

    def on_answer(self, world: World, call: Call | None, action: Refuse | Fail) -> None:
        """Called when the instance gives a final answer."""

    def on_action(self, world: World, action: Action) -> None:
        """Called for each action of the instance."""

    def on_turn_end(self, world: World) -> None:
        """Called after each turn."""

    def check(self, condition: bool, message: str) -> None:
        """Raises RuleViolation if the condition is false."""
        if not condition:
            raise RuleViolation(self.name, message)


class World:
    """The simulated surroundings of one instance: clients, servers, discovery, timers and the clock.

    It gives the instance batches of events, applies its actions and calls the rules. One batch and the
    actions that it leads to are a turn. An event that is added is part of the next batch. Timers and
    timeouts are delivered when they are due, except during a stall. Times are in seconds.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        rules: Sequence[Rule],
        balancer_factory: BalancerFactory = Balancer,
        now: float = 100.0,
    ) -> None:
        self.settings, self.rules = settings, rules
        self.balancer = balancer_factory(settings, seed)
        self.now = now
        self.turns = 0
        # A rule or the instance itself raised an exception, so later results mean nothing.
        self.failed = False
        self.last_turn_at = -math.inf
        self.classes = {cls.name: cls for cls in settings.classes}
        self.calls: dict[int, Call] = {}
        self.open_calls: dict[int, Call] = {}  # not ended, or with attempts in flight
        self.known_servers: dict[int, ServerEntry] = {}  # by the lists so far, without those that are gone
        self.ever_listed: set[int] = set()  # ids of servers
        self.timers: list[tuple[float, int]] = []  # due time and token of each
        self.probes_in_flight: list[int] = []  # ids of their servers
        self.pending_events: list[Event] = []

    # Events that reach the instance.
    def add_arrival(self, event: Arrival) -> None:
        """Adds a request. One with an id that was used before is no new call."""
        self.pending_events.append(event)
        if event.call in self.calls:
            return
        known = event.class_name in self.classes and 0 < event.budget < math.inf
        call = Call(
            event.call, self.classes[event.class_name] if known else None, event.budget if known else 0.0
        )
        self.calls[call.id] = self.open_calls[call.id] = call

    def finish_attempt(
        self,
        call: Call,
        attempt: Attempt,
        status: Status,
        report: dict[str, float] | None = None,
        idle_for: float | None = None,
    ) -> None:
        """Ends an attempt. If it was served or its stream breaks, the request ends too."""
        attempt.status = status
        if not call.ended and (status is Status.OK or attempt.streaming):
            call.ended_in_turn = self.turns
        elapsed = self.now - attempt.sent_at
        self.pending_events.append(
            Outcome(call.id, attempt.number, attempt.server, status, elapsed, call.ended, report, idle_for)
        )

    def start_stream(self, call: Call, attempt: Attempt) -> None:
        """Starts the stream of an attempt, which then has no timeout."""
        attempt.streaming, attempt.timeout_at = True, math.inf
        elapsed = self.now - attempt.sent_at
        self.pending_events.append(StreamStarted(call.id, attempt.number, attempt.server, elapsed))

    def disconnect_client(self, call: Call) -> None:
        """Lets the client of a call disconnect."""
        call.ended_in_turn = self.turns
        self.pending_events.append(Gone(call.id))

    def add_list(self, server_list: ServerList) -> None:
        """Adds a server list and updates the servers that the instance knows."""
        self.pending_events.append(server_list)
        if server_list.kind is ListKind.FAILED:
            return
        if server_list.kind is not ListKind.INCREMENTAL:
            self.known_servers = {}
        for entry in server_list.entries:
            self.ever_listed.add(entry.server)
            if entry.state is ServerState.GONE:
                self.known_servers.pop(entry.server, None)
            else:
                self.known_servers[entry.server] = entry

    def finish_probe(self, index: int, status: Status, report: dict[str, float] | None) -> None:
        """Ends one of the probes in flight, chosen by its index."""
        server = self.probes_in_flight.pop(index)
        self.pending_events.append(Probed(server, status, 0.01, report))

    # The clock.
    def next_due(self) -> float:
        """Returns when the next event is due: now, if events are pending, as after a cancellation."""
        if self.pending_events:
            return self.now
        due_times = [at for at, _ in self.timers]
        due_times += [attempt.timeout_at for call in self.open_calls.values() for attempt in call.in_flight]
        return min(due_times, default=math.inf)

    def advance_time(self, time_span: float) -> None:
        """Runs a turn, then lets time pass with a turn for each due event.

        At least the quantum lies between two turns.
        """
        end = self.now + time_span
        self.run_turn()
        while True:
            at = max(self.next_due(), self.last_turn_at + self.settings.quantum)
            if at > end:
                break
            self.now = max(self.now, at)
            self.run_turn()
        self.now = end

    def stall(self, time_span: float, due_first: bool = False) -> None:
        """Lets time pass without a turn; then delivers all added and due events in one batch."""
        self.now += time_span
        for call in self.open_calls.values():
            call.answer_due_at = max(call.answer_due_at, self.now)
        self.run_turn(due_first)

    def run_turn(self, due_first: bool = False) -> None:
        """Delivers one batch: the added events and then the due timers and timeouts, or these first.

        Raises RuleViolation if a rule is violated.
        """
        added, self.pending_events = self.pending_events, []
        for call in self.open_calls.values():
            if call.deadline == math.inf:
                call.deadline = call.answer_due_at = self.now + call.budget
            for attempt in call.in_flight:
                if attempt.timeout_at <= self.now:
                    self.finish_attempt(call, attempt, Status.TIMEOUT)
        self.pending_events += [Timer(token) for at, token in self.timers if at <= self.now]
        self.timers = [(at, token) for at, token in self.timers if at > self.now]
        due_events, self.pending_events = self.pending_events, []
        events = due_events + added if due_first else added + due_events
        self.last_turn_at, self.failed = self.now, True
        for action in self.balancer.handle(self.now, events):
            self.apply(action)
        for rule in self.rules:
            rule.on_turn_end(self)
        self.failed = False
        self.turns += 1
        self.open_calls = {
            id: call for id, call in self.open_calls.items() if not call.ended or call.in_flight
        }

    def apply(self, action: Action) -> None:
        """Checks an action against the rules and applies it."""
        for rule in self.rules:
            rule.on_action(self, action)
        if isinstance(action, Send):
            self.apply_send(action)
        elif isinstance(action, Refuse | Fail):
            call = self.calls.get(action.call)
            for rule in self.rules:
                rule.on_answer(self, call, action)
            if call is not None:
                call.answered = True
        elif isinstance(action, SetTimer):
            self.timers.append((self.now + max(action.delay, 1e-6), action.token))
        elif isinstance(action, Probe):
            self.probes_in_flight.append(action.server)
        elif isinstance(action, Cancel):
            self.apply_cancel(action)

    def apply_send(self, action: Send) -> None:
        """Adds the attempt to its call."""
        call = self.calls.get(action.call)
        for rule in self.rules:
            rule.on_send(self, call, action)
        if call is None:
            return
        entry = self.known_servers.get(action.server)
        location = (entry.zone, entry.cell) if entry is not None else ("", 0)
        timeout_at = min(self.now + action.timeout, max(call.deadline, self.now))
        call.attempts.append(Attempt(len(call.attempts), action.server, location, self.now, timeout_at))

    def apply_cancel(self, action: Cancel) -> None:
        """Ends the cancelled attempt, unless it has ended already or its stream has started."""
        call = self.calls.get(action.call)
        if call is not None and action.attempt < len(call.attempts):
            attempt = call.attempts[action.attempt]
            if attempt.status is None and not attempt.streaming:
                self.finish_attempt(call, attempt, Status.CANCELLED)

    def finish(self) -> None:
        """Lets all open calls end: streams are completed, other attempts time out."""
        for call in list(self.open_calls.values()):
            for attempt in call.in_flight:
                if attempt.streaming:
                    self.finish_attempt(call, attempt, Status.OK)
        for _ in range(1000):
            if not self.open_calls:
                break
            self.advance_time(0.1)
