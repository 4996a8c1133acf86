"""What a listed weight means: slow start and server selection under each meaning of the setting `weights`."""

from __future__ import annotations

import pytest
from helpers import Driver, settings

from granitepoint import ListKind, ServerEntry, ServerList
from granitepoint.logic import Balancer
from granitepoint.modelcheck.fleet import ColdStart, Fleet
from granitepoint.server_sizes import ServerSize, cold_budget_share

SLOW_START = {"cold_from": 0.39, "cold_for": 8.1, "fall_multiple": 3.0, "fall_within": 2.0}
UTILIZATION, NEXT_TIER_LATENCY_S = 0.83, 1.2  # so that servers hold some thirty requests
WARM_UP_S, COLD_S = 8.0, 8.1
COLD_SERVER = 3  # of the servers 1 to 8; sizes are given from server 0 on


def cold_start_under_load(
    weights: str, sizes: tuple[float, ...] = (1.0,), cores: int = 1, may_probe: bool = True, seed: int = 3
) -> ColdStart:
    """Lets one of eight busy servers restart. Raises RuleViolation if it gets more than it bears."""
    reports = {"may_probe": may_probe, "price_probe": 0.06, "reports": "probe" if may_probe else "none"}
    fleet = Fleet(
        {"max_attempts": 3, "weights": weights, **reports, **SLOW_START},
        8, 8, 1 / 30, seed, Balancer, sizes, cores, NEXT_TIER_LATENCY_S,
    )  # fmt: skip
    fleet.utilization = UTILIZATION
    fleet.run(WARM_UP_S)
    fleet.sample_weights()
    fleet.publish_list(list(fleet.servers))
    fleet.run(WARM_UP_S / 2)
    fleet.remove_and_restart(COLD_SERVER)
    fleet.sample_weights()
    fleet.publish_list([COLD_SERVER])
    fleet.run(COLD_S)
    return fleet.cold_starts[COLD_SERVER]


@pytest.mark.parametrize("weights", ["nominal", "rough", "live"])
@pytest.mark.parametrize(
    ("sizes", "cores", "may_probe", "seed"),
    [
        ((1.0,), 1, True, 3),  # all alike: a live weight taken for a size gives 1.2 times what it bears
        ((0.1, 1.0, 1.0), 16, True, 4),  # a small one: without the load of the others, more than it bears
        ((1.0, 0.02), 1, False, 3),  # a fiftieth, and no reports
        ((5.0, 1.0, 1.0), 1, False, 3),
    ],
)
def test_a_cold_server_bears_what_it_gets_whatever_weights_mean(
    weights: str, sizes: tuple[float, ...], cores: int, may_probe: bool, seed: int
) -> None:
    """Guards against a cold server that crashes: a live weight was taken for a size, and that of a cold,
    empty server is some thirty times that of a busy one."""
    cold_start_under_load(weights, sizes, cores, may_probe, seed)


def test_with_live_weights_a_cold_server_gets_about_as_much_as_without_weights() -> None:
    """Guards against slow starts that never begin: the sizes of busy servers are not known exactly."""
    without_weights = len(cold_start_under_load("none").sends)
    assert without_weights > 50
    assert len(cold_start_under_load("live").sends) > 0.5 * without_weights


def test_a_live_weight_times_the_load_is_the_size() -> None:
    busy, idle = ServerSize("live"), ServerSize("live")
    busy.on_weight(2.0 / (1 + 30), held=None)
    busy.on_report(30.0)
    idle.on_weight(2.0, held=0.0)
    assert busy.estimate == pytest.approx(idle.estimate) == 2.0
    assert cold_budget_share(idle, [busy, idle]) == pytest.approx(1.0)
    small = ServerSize("live")
    small.on_weight(0.1, held=None)
    small.on_restart()
    assert cold_budget_share(small, [busy, idle, small]) == pytest.approx(0.1 * 3 / 4.1)


def test_a_later_report_does_not_change_the_size_until_a_list_gives_a_new_weight() -> None:
    """The weight was sampled under an earlier load."""
    size = ServerSize("live")
    size.on_weight(0.1, held=9.0)
    size.on_report(99.0)
    assert size.estimate == pytest.approx(1.0)
    size.on_weight(0.01, held=99.0)
    assert size.estimate == pytest.approx(1.0)


def test_a_busy_server_keeps_the_size_that_it_showed_when_it_was_idle_over_a_restart() -> None:
    size = ServerSize("live")
    size.on_weight(1.0, held=0.0)
    size.on_weight(1 / 31, held=None)
    assert size.lower_bound == size.estimate == 1.0
    size.on_restart()
    assert size.estimate == 1.0


def test_a_small_cold_server_has_a_small_budget_among_busy_large_ones() -> None:
    """Guards against a budget that is counted by servers alone, as if all had the same size."""
    driver = Driver(settings(weights="live", cold_from=0.39, cold_for=8.1))
    busy = [ServerEntry(server, zone="a", weight=1 / 31) for server in (1, 2, 3)]
    driver.feed(ServerList(ListKind.SAVED, busy))
    servers = driver.balancer.servers
    for server in servers.known.values():
        servers.record_report(server, {"busy_reqs": 30.0}, driver.now)
    started = ServerEntry(4, zone="a", weight=0.02, started_at=driver.now)
    driver.feed(ServerList(ListKind.INCREMENTAL, [started]))
    assert servers.cold_budget_size(servers.known[4]) == pytest.approx(0.02 * 4 / 3.02)


def test_weights_that_mean_nothing_are_not_used() -> None:
    """WIRE: `off` is always 1."""
    driver = Driver(settings(weights="none"))
    entries = [ServerEntry(1, zone="a", weight=0.01), ServerEntry(2, zone="a", weight=50.0)]
    driver.feed(ServerList(ListKind.SAVED, entries))
    assert {server.size for server in driver.balancer.servers.known.values()} == {1.0}
