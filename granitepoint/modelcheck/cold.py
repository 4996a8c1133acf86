"""A state machine over a whole fleet: cold starts under moving traffic, failing servers and late lists."""

from __future__ import annotations

from collections import Counter
from typing import ClassVar

import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from granitepoint.interface import ListKind, Status
from granitepoint.logic import Balancer
from granitepoint.modelcheck.fleet import Fleet
from granitepoint.modelcheck.world import Make

MOST_SERVERS = 12


class ColdStarts(RuleBasedStateMachine):
    """The budget of each cold server, over all instances."""

    make: ClassVar[Make] = Balancer
    figures: ClassVar[Counter[str] | None] = None  # of what was run
    fleet: Fleet

    @initialize(
        instances=st.integers(2, 30),
        servers=st.integers(2, MOST_SERVERS),
        work=st.sampled_from([0.3, 0.15, 0.05]),
        busy=st.sampled_from([0.9, 1.0, 0.5, 1.3]),
        window=st.sampled_from([50.0, 4.0]),
        may_probe=st.booleans(),
        seed=st.integers(0, 9999),
        warm_up=st.sampled_from([3.0, 8.0]),
    )
    def begin(
        self,
        instances: int,
        servers: int,
        work: float,
        busy: float,
        window: float,
        may_probe: bool,
        seed: int,
        warm_up: float,
    ) -> None:
        settings: dict[str, object] = {
            "max_attempts": 3, "may_cancel": True, "may_duplicate": True, "may_probe": may_probe,
            "price_probe": 0.06, "reports": "probe" if may_probe else "none",
            "cold_from": 0.39, "cold_for": 8.1, "fall_multiple": 3.0, "fall_within": 2.0,
        }  # fmt: skip
        self.fleet = Fleet(settings, instances, servers, work, seed, type(self).make)
        self.fleet.busy = busy
        for instance in self.fleet.instances:
            instance.admission.concurrency_limit = window
        self.fleet.run(warm_up)

    def server(self, which: int) -> int:
        return 1 + which % len(self.fleet.machines)

    @rule(span=st.sampled_from([0.5, 2.0, 4.0]))
    def run(self, span: float) -> None:
        self.fleet.run(span)

    @rule(which=st.integers(0, MOST_SERVERS - 1), more=st.integers(0, 2), gone=st.booleans())
    def restart(self, which: int, more: int, gone: bool) -> None:
        for other in range(more + 1):
            server = self.server(which + other)
            (self.fleet.drain_and_return if gone else self.fleet.restart)(server)
        self.fleet.run(1.0)

    @rule(busy=st.sampled_from([0.3, 0.7, 1.0, 1.5]))
    def traffic(self, busy: float) -> None:
        self.fleet.busy = busy

    @rule(seed=st.integers(0, 99), skew=st.sampled_from([0.3, 1.0, 1.5]))
    def spread(self, seed: int, skew: float) -> None:
        self.fleet.spread(seed, skew)

    @rule(
        which=st.integers(0, MOST_SERVERS - 1),
        status=st.sampled_from(
            [Status.OK, Status.ERROR, Status.FULL, Status.RESET, Status.CONNECT_FAILED, Status.TIMEOUT]
        ),
        share=st.sampled_from([0.3, 0.9, 1.0]),
    )
    def fail(self, which: int, status: Status, share: float) -> None:
        machine = self.fleet.machines[self.server(which)]
        machine.status, machine.share = status, share

    @rule(late=st.sampled_from([0.0, 0.3, 3.0]))
    def lists_lag(self, late: float) -> None:
        self.fleet.late = late

    @rule(which=st.integers(0, MOST_SERVERS - 1))
    def leave_out(self, which: int) -> None:
        self.fleet.leave_out(self.server(which))

    @rule(kind=st.sampled_from([ListKind.FULL, ListKind.INCREMENTAL, ListKind.SAVED]))
    def tell_again(self, kind: ListKind) -> None:
        self.fleet.tell_all(list(self.fleet.machines), kind)

    @rule(which=st.integers(0, 29), count=st.integers(1, 3))
    def renew(self, which: int, count: int) -> None:
        for place in range(which, which + count):
            self.fleet.renew(place % len(self.fleet.instances))

    @rule(which=st.integers(0, 29), span=st.sampled_from([0.3, 1.0, 3.0]))
    def stand_still(self, which: int, span: float) -> None:
        self.fleet.stand_still(which % len(self.fleet.instances), span)

    def teardown(self) -> None:
        if self.figures is None or not hasattr(self, "fleet"):
            return
        starts = [*self.fleet.over, *self.fleet.starts.values()]
        fullest = max((self.fleet.rule.fullest(start)[0] for start in starts), default=0.0)
        sends = sum(len(start.sends) for start in starts)
        self.figures.update({"examples": 1, "cold starts": len(starts), "attempts on cold servers": sends})
        which = "% of a budget used at most"
        self.figures[which] = max(self.figures[which], round(100 * fullest))
