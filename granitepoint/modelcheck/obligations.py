"""A state machine over one instance: any event, status, order and timing that the wire allows."""

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
from granitepoint.modelcheck import draw
from granitepoint.modelcheck.rules import RULES
from granitepoint.modelcheck.world import Attempt, Call, Make, Rule, World

WINDOWS = (1.0, 4.0, 30.0)  # where W starts, so that all of it is reached in few steps


class Obligations(RuleBasedStateMachine):
    """The rules of one instance. `make` is what is checked; `checkers` by what."""

    make: ClassVar[Make] = Balancer
    checkers: ClassVar[tuple[type[Rule], ...]] = RULES
    figures: ClassVar[Counter[str] | None] = None  # of what was run
    world: World
    last_id = 0

    @initialize(
        options=draw.options,
        seed=st.integers(0, 999),
        now=st.sampled_from([0.0, 100.0]),
        window=st.sampled_from(WINDOWS),
        servers=st.sampled_from([draw.SERVERS, 4, 2, 1, 0]),
    )
    def begin(self, options: dict[str, Any], seed: int, now: float, window: float, servers: int) -> None:
        make = type(self).make
        self.world = World(Settings(**options), seed, [rule() for rule in self.checkers], make, now)
        self.world.balancer.admission.window = window
        entries = [draw.entry(server) for server in range(1, servers + 1)]
        self.world.tell(ServerList(ListKind.SAVED, entries))

    def out(self) -> list[tuple[Call, Attempt]]:
        return [(call, attempt) for call in self.world.open.values() for attempt in call.out]

    def unfinished(self) -> list[Call]:
        return [call for call in self.world.open.values() if not call.over]

    @rule(
        count=st.integers(1, 6),
        cls=st.integers(0, 3),
        budget=st.sampled_from([3.0, 1.0, 0.3, 0.12, 0.02, 0.003]),
        tenant=st.sampled_from(["", "acme", "beta", "unheard of"]),
        work=st.sampled_from([0.0, 0.01, 5.0, -1.0]),
        resent=st.booleans(),
        stated=st.sampled_from([0.0, 0.2, 3.0]),
    )
    def arrive(
        self, count: int, cls: int, budget: float, tenant: str, work: float, resent: bool, stated: float
    ) -> None:
        classes = self.world.settings.classes
        for _ in range(count):
            self.last_id += 1
            name = classes[cls % len(classes)].name
            self.world.arrive(
                Arrival(self.last_id, name, budget, tenant, work, resent, stated_timeout=stated)
            )

    @rule(cls=st.sampled_from(["unheard of", *draw.NAMES]), budget=st.sampled_from([0.0, -1.0, math.inf]))
    def arrive_odd(self, cls: str, budget: float) -> None:
        self.last_id += 1
        self.world.arrive(Arrival(self.last_id, cls, budget))

    @precondition(lambda self: self.last_id > 0)
    @rule(which=st.integers(0, 99), cls=st.integers(0, 3))
    def arrive_again(self, which: int, cls: int) -> None:
        """An id that has been used: no new request."""
        classes = self.world.settings.classes
        self.world.arrive(Arrival(1 + which % self.last_id, classes[cls % len(classes)].name, 1.0))

    @precondition(lambda self: self.out())
    @rule(
        which=st.integers(0, 99),
        status=st.sampled_from(Status),
        report=draw.reports,
        rested=st.sampled_from([None, 0.0, 0.3, 20.0]),
    )
    def settle(
        self, which: int, status: Status, report: dict[str, float] | None, rested: float | None
    ) -> None:
        out = self.out()
        call, attempt = out[which % len(out)]
        self.world.settle(call, attempt, status, report, rested)

    @precondition(lambda self: self.out())
    @rule(
        which=st.integers(0, 99),
        status=st.sampled_from(Status),
        after=st.sampled_from([0.06, 0.2, 0.41, 0.8]),
        still=st.booleans(),
    )
    def settle_late(self, which: int, status: Status, after: float, still: bool) -> None:
        """Some time goes by first; the instance may stand still meanwhile."""
        call, attempt = (out := self.out())[which % len(out)]
        (self.world.stand_still if still else self.world.wait)(after)
        if attempt.status is None:
            self.world.settle(call, attempt, status)

    @precondition(lambda self: self.out())
    @rule(status=st.sampled_from(Status), server=st.integers(0, draw.SERVERS))
    def settle_all(self, status: Status, server: int) -> None:
        """All that is out ends alike, or all that is out on one server."""
        for call, attempt in self.out():
            if server in (0, attempt.server):
                self.world.settle(call, attempt, status)

    @precondition(
        lambda self: any(call.cls and call.cls.stream and not call.streaming for call, _ in self.out())
    )
    @rule(which=st.integers(0, 99))
    def start_stream(self, which: int) -> None:
        ready = [
            (call, attempt)
            for call, attempt in self.out()
            if call.cls is not None and call.cls.stream and not call.streaming and not call.over
        ]
        if ready:
            self.world.start_stream(*ready[which % len(ready)])

    @precondition(lambda self: self.unfinished())
    @rule(which=st.integers(0, 99))
    def leave(self, which: int) -> None:
        calls = self.unfinished()
        self.world.leave(calls[which % len(calls)])

    @rule(
        id=st.integers(0, 20),
        attempt=st.integers(0, 2),
        status=st.sampled_from(Status),
        kind=st.integers(0, 4),
    )
    def stray(self, id: int, attempt: int, status: Status, kind: int) -> None:
        """News of what is over, or was never there."""
        call = self.world.calls.get(id)
        known = call is not None and any(a.number == attempt and a.status is None for a in call.attempts)
        if kind == 0 and not known:
            self.world.pending.append(Outcome(id, attempt, 1, status, 0.1, True))
        elif kind == 1 and not known:
            self.world.pending.append(StreamStarted(id, attempt, 1, 0.1))
        elif kind == 2 and (call is None or call.over):
            self.world.pending.append(Gone(id))
        elif kind == 3:
            self.world.pending.append(Timer(id))
        elif kind == 4:
            self.world.pending.append(Probed(id, status, 0.1, None))

    @rule(
        kind=draw.kinds,
        lines=st.lists(draw.lines, max_size=4, unique_by=lambda line: line[0]),
        calls=st.integers(0, 9),
    )
    def tell(self, kind: ListKind, lines: list[draw.Line], calls: int) -> None:
        """A whole list holds all servers as they were, but for the lines. Calls come in the same batch."""
        changed = {
            line[0]: draw.entry(*line[:2], self.world.now if line[2] else 0.0, line[3]) for line in lines
        }
        if kind is ListKind.FAILED:
            changed = {}
        elif kind is not ListKind.INCREMENTAL:
            whole = {server: draw.entry(server) for server in range(1, draw.SERVERS + 1)} | changed
            changed = {server: e for server, e in whole.items() if e.state is not ServerState.GONE}
        self.world.tell(ServerList(kind, list(changed.values())))
        for place in range(calls):
            self.last_id += 1
            cls = self.world.settings.classes[place % len(self.world.settings.classes)]
            self.world.arrive(Arrival(self.last_id, cls.name, cls.deadline))

    @rule(
        seed=st.integers(0, 999),
        calls=st.integers(1, 30),
        pace=st.sampled_from([0.002, 0.02, 0.1]),
        statuses=st.lists(st.sampled_from(Status), min_size=1, max_size=4),
    )
    def traffic(self, seed: int, calls: int, pace: float, statuses: list[Status]) -> None:
        """Many calls, by chance: each comes some time after the one before, and some that are out end."""
        chance = Random(seed)
        classes = self.world.settings.classes
        for _ in range(calls):
            self.last_id += 1
            self.world.arrive(
                Arrival(self.last_id, chance.choice(classes).name, chance.choice([3.0, 1.0, 0.2]))
            )
            self.world.wait(pace * chance.expovariate(1))
            for call, attempt in self.out():
                if chance.random() < 0.4:
                    self.world.settle(call, attempt, chance.choice(statuses))

    @precondition(lambda self: self.world.probing)
    @rule(
        which=st.integers(0, 99),
        status=st.sampled_from([Status.OK, Status.ERROR, Status.FULL, Status.TIMEOUT, Status.CONNECT_FAILED]),
        report=draw.reports,
    )
    def end_probe(self, which: int, status: Status, report: dict[str, float] | None) -> None:
        self.world.end_probe(which % len(self.world.probing), status, report)

    @rule(server=st.integers(1, draw.SERVERS), rested=st.sampled_from([0.0, 0.5, 30.0]))
    def close_at_rest(self, server: int, rested: float) -> None:
        self.world.pending.append(IdleConnectionClosed(server, rested))

    @rule(span=st.sampled_from(draw.SPANS))
    def wait(self, span: float) -> None:
        self.world.wait(span)

    @rule(span=st.sampled_from([0.2, 0.25, 1.0, 4.0]), due_first=st.booleans())
    def stand_still(self, span: float, due_first: bool) -> None:
        self.world.stand_still(span, due_first)

    def teardown(self) -> None:
        """All comes to its end."""
        if not hasattr(self, "world") or self.world.broken:
            return
        self.world.finish()
        for checker in self.world.rules:
            checker.check(not self.world.open, f"calls {list(self.world.open)} do not end")
        if self.figures is not None:
            attempts = sum(len(call.attempts) for call in self.world.calls.values())
            ran = {"examples": 1, "turns": self.world.turns, "requests": self.last_id, "attempts": attempts}
            self.figures.update(ran)
