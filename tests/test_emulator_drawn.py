"""Days that the simulator generated: conversion of units and fields, and files that are not such a day."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from granitepoint.emulator.day import FastErrors, HeavyTail, Roll
from granitepoint.emulator.simulator_days import load
from granitepoint.emulator.world import World
from granitepoint.fleet.experiment import ExperimentError


# fmt: off
def generated_day() -> dict[str, Any]:
    kind = dict(cores=2, slots=3, queue=5, thrash=0.1, knee=9.0, cold_from=0.5, cold=4_000_000,
                error_rate=0.0, cancel="none", drops_expired=False)
    tier = dict(name="gate", calls=1.0, work=0.4, kinds=[kind], report_period=200_000, report_delay=20_000,
                report_noise=0.1, handshake_rtts=1.0, handshake_work=1500.0, conn_idle=30_000_000,
                connect_timeout=250_000, conn_cap_per_core=600.5, conn_full_tax=0.2, probe_work=150.0,
                probe_cap_per_core=6.0, probe_timeout=300_000, stated_cold_from=0.4,
                stated_cold=8_000_000)
    choke = dict(at=5.0, stated_at=4.0, over=2_000_000, slower=3.0, rest=3_000_000, below=0.3,
                 most=20_000_000, price=0.1)
    cls = dict(name="pay", share=1.0, work=100_000.0, dist="pareto", cv=2.0, attempt_noise=0.3, aim=1_000_000,
               deadline=3_000_000, worth=2.0, late_worth=0.5, effect="unsafe", group="all",
               window=5_000_000)
    servers = [dict(tier=t, cell=0, speed=s, up=up) for t, s, up in
               [(0, 1.0, True), (0, 2.0, True), (0, 1.5, False), (1, 1.0, True)]]
    troubles = [
        dict(kind="deploy", at=1e6, len=2e6, tier=0, size=0.2, extra=1.5, on=[], which=0,
             steps=[dict(at=1e6, stop=[0], start=[2])]),
        dict(kind="fast_errors", at=1e6, len=2e6, tier=1, size=0.6, extra=0.0, on=[3], which=0, steps=[]),
        dict(kind="heavy_tail", at=1e6, len=2e6, tier=1, size=9.0, extra=0.02, on=[], which=0, steps=[]),
    ]
    return dict(
        site="here", kind="trouble", noise=2**33 + 5, length=3_000_000, tick=5000, zones=["a"],
        net=dict(same=200.0, cross=3000.0, client=500.0, jitter=0.1), front_notice=1_500_000,
        traffic=dict(load=0.5, shape=[[0.0, 0.9], [3.0, 1.1]], worth_by_work=True, over_share_worth=0.1),
        clients=dict(retries=1, try_share=0.6, backoff="fixed", backoff_us=70_000.0, honour=0.4,
                     max_retry_after=2_000_000, impatient=0.0),
        discovery=dict(ask=True, notice=2_000_000, silent_notice=6_000_000, add=1_000_000, period=500_000,
                       spread=100_000, lines_per_s=200.0, call_lines=50.0, timeout=2_000_000),
        allow=dict(max_attempts=3, second_copies=True, cancel=True, probes=True, retry_after=True),
        drain_grace=250_000, fall_multiple=3.0, fall_for=2_000_000,
        prices=dict(cross_zone=0.0, waste=0.25, probe=0.06, late_fail=0.05, handshake=0.02, discovery=0.005),
        classes=[cls], tenants=[dict(name="t", share=1.0, traffic=1.0, quota=0.8)],
        tiers=[tier, {**tier, "name": "store", "choke": choke}], servers=servers,
        balancers=[dict(tier=0, start=200_000), dict(tier=0, start=100_000), dict(tier=1, start=0)],
        troubles=troubles, fam=dict(passes_deadline=False),
    )
# fmt: on


def write(path: Path, day: dict[str, Any]) -> Path:
    path.write_text(json.dumps(day))
    return path


def test_a_generated_day_is_converted_and_runs(tmp_path: Path) -> None:
    day = load(write(tmp_path / "day.json", generated_day()))
    gate, store = day.tiers
    assert (day.seed, day.duration_s, day.tick_ms) == (5, 3.0, 5.0)
    assert (gate.speeds, gate.slots, gate.room, gate.connections) == ([1.0, 2.0], 6, 10, 1201)
    assert (day.front.proxies, day.front.start_spread_s) == (2, 0.2)
    assert store.choke is not None and (store.choke.over_s, store.choke.most_s) == (2.0, 20.0)
    assert (day.classes[0].work_ms, day.classes[0].window_ms, day.classes[0].effect) == (100.0, 0.0, "once")
    # The first tier has 2 cores of speed 1 and 2 of speed 2; the second, the bottleneck, has 2 of speed 1.
    assert day.rate() == pytest.approx(0.5 * 2 / (0.1 * 0.4))
    roll, errors, tail = day.troubles
    assert isinstance(roll, Roll) and (roll.part, roll.batch, roll.drain_s) == (0.5, 0.5, 1.5)
    assert isinstance(errors, FastErrors) and (errors.tier, errors.servers, errors.share) == (1, 1, 0.6)
    assert isinstance(tail, HeavyTail) and (tail.tier, tail.share, tail.times) == (1, 0.02, 9.0)
    world = World(day)
    world.run()
    assert world.tally.requests > 20 and world.tally.open_requests == 0


def test_an_unusable_file_is_reported_in_one_line(tmp_path: Path) -> None:
    missing_key = generated_day()
    del missing_key["net"]["same"]
    unknown = generated_day()
    unknown["troubles"][0]["kind"] = "flood"
    for day, text in ((missing_key, "same"), (unknown, "flood"), ({}, "not a day")):
        with pytest.raises(ExperimentError, match=text) as error:
            load(write(tmp_path / "day.json", day))
        assert "day.json" in str(error.value) and "\n" not in str(error.value)
    (tmp_path / "day.json").write_text("{")
    with pytest.raises(ExperimentError, match=r"day\.json"):
        load(tmp_path / "day.json")
