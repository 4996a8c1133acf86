"""A state machine over a whole fleet: cold starts under shifting traffic, failing servers and delayed lists.

The parameter `which` of a rule selects an element by its index, modulo the number of elements.
"""

from __future__ import annotations

from collections import Counter
from typing import ClassVar

import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from granitepoint.interface import ListKind, Status
from granitepoint.logic import Balancer
from granitepoint.modelcheck.fleet import Fleet
from granitepoint.modelcheck.world import BalancerFactory

MAX_SERVERS = 12


class ColdStartMachine(RuleBasedStateMachine):
    """Checks that all instances together send each cold server no more calls than ColdBudget allows."""

    balancer_factory: ClassVar[BalancerFactory] = Balancer
    statistics: ClassVar[Counter[str] | None] = None  # counters of what was run
    fleet: Fleet

    @initialize(
        instance_count=st.integers(2, 30),
        server_count=st.integers(2, MAX_SERVERS),
        work_per_call=st.sampled_from([0.3, 0.15, 0.05]),
        initial_utilization=st.sampled_from([0.9, 1.0, 0.5, 1.3]),
        window=st.sampled_from([50.0, 4.0]),
        may_probe=st.booleans(),
        seed=st.integers(0, 9999),
        warm_up=st.sampled_from([3.0, 8.0]),
        weights=st.sampled_from(["none", "live", "rough", "nominal"]),
        sizes=st.sampled_from([(1.0,), (1.0, 0.2), (2.0, 1.0, 0.5), (1.0, 10.0)]),
        cores=st.sampled_from([1, 4]),
        next_tier_latency=st.sampled_from([0.0, 1.2]),
    )
    def begin(
        self,
        instance_count: int,
        server_count: int,
        work_per_call: float,
        initial_utilization: float,
        window: float,
        may_probe: bool,
        seed: int,
        warm_up: float,
        weights: str,
        sizes: tuple[float, ...],
        cores: int,
        next_tier_latency: float,
    ) -> None:
        """Builds the fleet and runs it for `warm_up` seconds.

        `window` is the initial concurrency limit of each instance. `weights` is the meaning of weights; where
        they say nothing, all servers have the same size.
        """
        settings: dict[str, object] = {
            "max_attempts": 3, "may_cancel": True, "may_duplicate": True, "may_probe": may_probe,
            "price_probe": 0.06, "reports": "probe" if may_probe else "none",
            "cold_from": 0.39, "cold_for": 8.1, "fall_multiple": 3.0, "fall_within": 2.0, "weights": weights,
        }  # fmt: skip
        self.fleet = Fleet(
            settings, instance_count, server_count, work_per_call, seed, type(self).balancer_factory,
            (1.0,) if weights == "none" else sizes, cores, next_tier_latency,
        )  # fmt: skip
        self.fleet.utilization = initial_utilization
        for instance in self.fleet.instances:
            instance.admission.window = window
        self.fleet.run(warm_up)

    def server_at(self, which: int) -> int:
        """Returns the id of the server that `which` selects."""
        return 1 + which % len(self.fleet.servers)

    @rule(time_span=st.sampled_from([0.5, 2.0, 4.0]))
    def run(self, time_span: float) -> None:
        """Lets time pass, in seconds."""
        self.fleet.run(time_span)

    @rule(which=st.integers(0, MAX_SERVERS - 1), more_servers=st.integers(0, 2), list_as_gone=st.booleans())
    def restart_server(self, which: int, more_servers: int, list_as_gone: bool) -> None:
        """Restarts one to three servers, which discovery may first list as gone."""
        for offset in range(more_servers + 1):
            server = self.server_at(which + offset)
            (self.fleet.remove_and_restart if list_as_gone else self.fleet.restart_server)(server)
        self.fleet.run(1.0)

    @rule()
    def sample_weights(self) -> None:
        """Samples the weights anew and sends all instances a list with them."""
        self.fleet.sample_weights()
        self.fleet.publish_list(list(self.fleet.servers))

    @rule(utilization=st.sampled_from([0.3, 0.7, 1.0, 1.5]))
    def set_utilization(self, utilization: float) -> None:
        """Sets the offered load, as a share of the capacity of all warm servers."""
        self.fleet.utilization = utilization

    @rule(seed=st.integers(0, 99), skew=st.sampled_from([0.3, 1.0, 1.5]))
    def set_traffic_shares(self, seed: int, skew: float) -> None:
        """Redistributes the traffic between the instances."""
        self.fleet.set_traffic_shares(seed, skew)

    @rule(
        which=st.integers(0, MAX_SERVERS - 1),
        status=st.sampled_from(
            [Status.OK, Status.ERROR, Status.FULL, Status.RESET, Status.CONNECT_FAILED, Status.TIMEOUT]
        ),
        failure_share=st.sampled_from([0.3, 0.9, 1.0]),
    )
    def fail_server(self, which: int, status: Status, failure_share: float) -> None:
        """Makes a share of a server's calls end with a status; Status.OK ends the failures."""
        simulated = self.fleet.servers[self.server_at(which)]
        simulated.status, simulated.failure_share = status, failure_share

    @rule(max_list_delay=st.sampled_from([0.0, 0.3, 3.0]))
    def limit_list_delay(self, max_list_delay: float) -> None:
        """Sets the longest delay, in seconds, after which an instance receives a list."""
        self.fleet.max_list_delay = max_list_delay

    @rule(which=st.integers(0, MAX_SERVERS - 1))
    def drop_from_list(self, which: int) -> None:
        """Sends full lists without a server, and soon after that full lists with it."""
        self.fleet.drop_from_list(self.server_at(which))

    @rule(kind=st.sampled_from([ListKind.FULL, ListKind.INCREMENTAL, ListKind.SAVED]))
    def send_list_again(self, kind: ListKind) -> None:
        """Sends the current state of all servers to all instances again."""
        self.fleet.publish_list(list(self.fleet.servers), kind)

    @rule(which=st.integers(0, 29), count=st.integers(1, 3))
    def restart_instance(self, which: int, count: int) -> None:
        """Replaces `count` instances by new ones without any state."""
        for position in range(which, which + count):
            self.fleet.restart_instance(position % len(self.fleet.instances))

    @rule(which=st.integers(0, 29), time_span=st.sampled_from([0.3, 1.0, 3.0]))
    def stall(self, which: int, time_span: float) -> None:
        """Stalls an instance: it handles no events for this many seconds."""
        self.fleet.stall(which % len(self.fleet.instances), time_span)

    def teardown(self) -> None:
        """Adds the counters of this example to the statistics."""
        if self.statistics is None or not hasattr(self, "fleet"):
            return
        cold_starts = [*self.fleet.earlier_starts, *self.fleet.cold_starts.values()]
        max_usage = max((self.fleet.budget_rule.peak_usage(start)[0] for start in cold_starts), default=0.0)
        sends = sum(len(start.sends) for start in cold_starts)
        self.statistics.update(
            {"examples": 1, "cold starts": len(cold_starts), "attempts on cold servers": sends}
        )
        label = "% of a budget used at most"
        self.statistics[label] = max(self.statistics[label], round(100 * max_usage))
