"""A state machine over one instance: all events, statuses, orders and timings that the protocol allows.

The parameter `which` of a rule selects an element by its index, modulo the number of elements.
"""

from __future__ import annotations

import math
from collections import Counter
from random import Random
from typing import Any, ClassVar

import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from granitepoint.interface import (
    Arrival,
    Gone,
    IdleConnectionClosed,
    ListKind,
    Outcome,
    Probed,
    ServerList,
    ServerState,
    Settings,
    Status,
    StreamStarted,
    Timer,
)
from granitepoint.logic import Balancer
from granitepoint.modelcheck import strategies
from granitepoint.modelcheck.rules import RULES
from granitepoint.modelcheck.world import Attempt, BalancerFactory, Call, Rule, World

# Initial concurrency limits: far apart, so that runs of few steps cover the whole range.
CONCURRENCY_LIMITS = (1.0, 4.0, 30.0)


class InstanceMachine(RuleBasedStateMachine):
    """Checks the instance that `balancer_factory` makes with the rules in `checkers`."""

    balancer_factory: ClassVar[BalancerFactory] = Balancer
    checkers: ClassVar[tuple[type[Rule], ...]] = RULES
    statistics: ClassVar[Counter[str] | None] = None  # counters of what was run
    world: World
    last_id = 0

    @initialize(
        options=strategies.options,
        seed=st.integers(0, 999),
        now=st.sampled_from([0.0, 100.0]),
        window=st.sampled_from(CONCURRENCY_LIMITS),
        server_count=st.sampled_from([strategies.MAX_SERVERS, 4, 2, 1, 0]),
    )
    def begin(
        self,
        options: dict[str, Any],
        seed: int,
        now: float,
        window: float,
        server_count: int,
    ) -> None:
        """Creates the instance and its first list.

        `window` is the initial concurrency limit, `now` the initial time in seconds.
        """
        balancer_factory = type(self).balancer_factory
        self.world = World(
            Settings(**options), seed, [rule() for rule in self.checkers], balancer_factory, now
        )
        self.world.balancer.admission.window = window
        list_entries = [strategies.server_entry(server) for server in range(1, server_count + 1)]
        self.world.add_list(ServerList(ListKind.SAVED, list_entries))

    def in_flight(self) -> list[tuple[Call, Attempt]]:
        """Returns all attempts in flight with their calls."""
        return [(call, attempt) for call in self.world.open_calls.values() for attempt in call.in_flight]

    def unfinished(self) -> list[Call]:
        """Returns the calls that have not ended."""
        return [call for call in self.world.open_calls.values() if not call.ended]

    @rule(
        count=st.integers(1, 6),
        class_index=st.integers(0, 3),
        budget=st.sampled_from([3.0, 1.0, 0.3, 0.12, 0.02, 0.003]),
        tenant=st.sampled_from(["", "acme", "beta", "unheard of"]),
        work=st.sampled_from([0.0, 0.01, 5.0, -1.0]),
        resent=st.booleans(),
        stated=st.sampled_from([0.0, 0.2, 3.0]),
    )
    def arrive(
        self,
        count: int,
        class_index: int,
        budget: float,
        tenant: str,
        work: float,
        resent: bool,
        stated: float,
    ) -> None:
        """Adds valid requests of one class; the tenant and the stated work may be unusable."""
        classes = self.world.settings.classes
        for _ in range(count):
            self.last_id += 1
            name = classes[class_index % len(classes)].name
            self.world.add_arrival(
                Arrival(self.last_id, name, budget, tenant, work, resent, stated_timeout=stated)
            )

    @rule(
        class_name=st.sampled_from(["unheard of", *strategies.CLASS_NAMES]),
        budget=st.sampled_from([0.0, -1.0, math.inf]),
    )
    def arrive_invalid(self, class_name: str, budget: float) -> None:
        """Adds a request of a possibly unknown class with a budget that is no valid time."""
        self.last_id += 1
        self.world.add_arrival(Arrival(self.last_id, class_name, budget))

    @precondition(lambda self: self.last_id > 0)
    @rule(which=st.integers(0, 99), class_index=st.integers(0, 3))
    def arrive_again(self, which: int, class_index: int) -> None:
        """Lets a request arrive with an id that was used before, so that it is no new request."""
        classes = self.world.settings.classes
        self.world.add_arrival(
            Arrival(1 + which % self.last_id, classes[class_index % len(classes)].name, 1.0)
        )

    @precondition(lambda self: self.in_flight())
    @rule(
        which=st.integers(0, 99),
        status=st.sampled_from(Status),
        report=strategies.load_reports,
        seconds_idle=st.sampled_from([None, 0.0, 0.3, 20.0]),
    )
    def finish_attempt(
        self, which: int, status: Status, report: dict[str, float] | None, seconds_idle: float | None
    ) -> None:
        """Ends an attempt with any status and load report.

        `seconds_idle` is how long its connection had been idle, None if that is unknown.
        """
        in_flight = self.in_flight()
        call, attempt = in_flight[which % len(in_flight)]
        self.world.finish_attempt(call, attempt, status, report, seconds_idle)

    @precondition(lambda self: self.in_flight())
    @rule(
        which=st.integers(0, 99),
        status=st.sampled_from(Status),
        delay=st.sampled_from([0.06, 0.2, 0.41, 0.8]),
        via_stall=st.booleans(),
    )
    def finish_attempt_late(self, which: int, status: Status, delay: float, via_stall: bool) -> None:
        """Ends an attempt after a delay, during which the instance may be stalled."""
        call, attempt = (in_flight := self.in_flight())[which % len(in_flight)]
        (self.world.stall if via_stall else self.world.advance_time)(delay)
        if attempt.status is None:
            self.world.finish_attempt(call, attempt, status)

    @precondition(lambda self: self.in_flight())
    @rule(status=st.sampled_from(Status), server=st.integers(0, strategies.MAX_SERVERS))
    def finish_attempts(self, status: Status, server: int) -> None:
        """Ends all attempts in flight with the same status, or those on one server (0: on all)."""
        for call, attempt in self.in_flight():
            if server in (0, attempt.server):
                self.world.finish_attempt(call, attempt, status)

    @precondition(
        lambda self: any(call.cls and call.cls.stream and not call.streaming for call, _ in self.in_flight())
    )
    @rule(which=st.integers(0, 99))
    def start_stream(self, which: int) -> None:
        """Starts the stream of an attempt of a streaming class."""
        candidates = [
            (call, attempt)
            for call, attempt in self.in_flight()
            if call.cls is not None and call.cls.stream and not call.streaming and not call.ended
        ]
        if candidates:
            self.world.start_stream(*candidates[which % len(candidates)])

    @precondition(lambda self: self.unfinished())
    @rule(which=st.integers(0, 99))
    def disconnect_client(self, which: int) -> None:
        """Lets the client of a call disconnect."""
        calls = self.unfinished()
        self.world.disconnect_client(calls[which % len(calls)])

    @rule(
        id=st.integers(0, 20),
        attempt=st.integers(0, 2),
        status=st.sampled_from(Status),
        kind=st.integers(0, 4),
    )
    def stray_event(self, id: int, attempt: int, status: Status, kind: int) -> None:
        """Adds an event about a call, attempt, timer or probe that has ended or never existed.

        `kind` is 0 for an outcome, 1 for the start of a stream, 2 for a client that disconnects, 3 for a
        timer and 4 for the result of a probe. Only for the first three it is checked that nothing with this
        id is in progress: a timer may fire early, and a probe may get a second result.
        """
        call = self.world.calls.get(id)
        known = call is not None and any(a.number == attempt and a.status is None for a in call.attempts)
        if kind == 0 and not known:
            self.world.pending_events.append(Outcome(id, attempt, 1, status, 0.1, True))
        elif kind == 1 and not known:
            self.world.pending_events.append(StreamStarted(id, attempt, 1, 0.1))
        elif kind == 2 and (call is None or call.ended):
            self.world.pending_events.append(Gone(id))
        elif kind == 3:
            self.world.pending_events.append(Timer(id))
        elif kind == 4:
            self.world.pending_events.append(Probed(id, status, 0.1, None))

    @rule(
        kind=strategies.list_kinds,
        list_entries=st.lists(
            strategies.entry_parameters, max_size=4, unique_by=lambda parameters: parameters[0]
        ),
        calls=st.integers(0, 9),
    )
    def receive_list(
        self, kind: ListKind, list_entries: list[strategies.EntryParameters], calls: int
    ) -> None:
        """Adds a server list, and calls that arrive in the same batch.

        A full or saved list holds all servers in their initial state, except for those in `list_entries`.
        """
        changed = {
            parameters[0]: strategies.server_entry(
                *parameters[:2], self.world.now if parameters[2] else 0.0, parameters[3]
            )
            for parameters in list_entries
        }
        if kind is ListKind.FAILED:
            changed = {}
        elif kind is not ListKind.INCREMENTAL:
            full_list = {
                server: strategies.server_entry(server) for server in range(1, strategies.MAX_SERVERS + 1)
            } | changed
            changed = {server: e for server, e in full_list.items() if e.state is not ServerState.GONE}
        self.world.add_list(ServerList(kind, list(changed.values())))
        for position in range(calls):
            self.last_id += 1
            cls = self.world.settings.classes[position % len(self.world.settings.classes)]
            self.world.add_arrival(Arrival(self.last_id, cls.name, cls.deadline))

    @rule(
        seed=st.integers(0, 999),
        calls=st.integers(1, 30),
        mean_gap=st.sampled_from([0.002, 0.02, 0.1]),
        statuses=st.lists(st.sampled_from(Status), min_size=1, max_size=4),
    )
    def traffic(self, seed: int, calls: int, mean_gap: float, statuses: list[Status]) -> None:
        """Adds random calls with random gaps and ends some of the attempts in flight after each."""
        rng = Random(seed)
        classes = self.world.settings.classes
        for _ in range(calls):
            self.last_id += 1
            self.world.add_arrival(
                Arrival(self.last_id, rng.choice(classes).name, rng.choice([3.0, 1.0, 0.2]))
            )
            self.world.advance_time(mean_gap * rng.expovariate(1))
            for call, attempt in self.in_flight():
                if rng.random() < 0.4:
                    self.world.finish_attempt(call, attempt, rng.choice(statuses))

    @precondition(lambda self: self.world.probes_in_flight)
    @rule(
        which=st.integers(0, 99),
        status=st.sampled_from([Status.OK, Status.ERROR, Status.FULL, Status.TIMEOUT, Status.CONNECT_FAILED]),
        report=strategies.load_reports,
    )
    def finish_probe(self, which: int, status: Status, report: dict[str, float] | None) -> None:
        """Ends a probe in flight."""
        self.world.finish_probe(which % len(self.world.probes_in_flight), status, report)

    @rule(server=st.integers(1, strategies.MAX_SERVERS), idle_for=st.sampled_from([0.0, 0.5, 30.0]))
    def close_idle(self, server: int, idle_for: float) -> None:
        """Adds the event that a server closed a connection that had been idle for this many seconds."""
        self.world.pending_events.append(IdleConnectionClosed(server, idle_for))

    @rule(time_span=st.sampled_from(strategies.DURATIONS))
    def wait(self, time_span: float) -> None:
        """Lets time pass."""
        self.world.advance_time(time_span)

    @rule(time_span=st.sampled_from([0.2, 0.25, 1.0, 4.0]), due_first=st.booleans())
    def stall(self, time_span: float, due_first: bool) -> None:
        """Stalls the instance, then delivers all events in one batch, the due ones first or last."""
        self.world.stall(time_span, due_first)

    def teardown(self) -> None:
        """Lets all calls end, checks that none is left and adds the counters of this example."""
        if not hasattr(self, "world") or self.world.failed:
            return
        self.world.finish()
        for checker in self.world.rules:
            checker.check(not self.world.open_calls, f"calls {list(self.world.open_calls)} never end")
        if self.statistics is not None:
            attempts = sum(len(call.attempts) for call in self.world.calls.values())
            totals = {
                "examples": 1,
                "turns": self.world.turns,
                "requests": self.last_id,
                "attempts": attempts,
            }
            self.statistics.update(totals)
