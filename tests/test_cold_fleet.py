"""Many instances before one cold server: what they send it together, against the rule's bound."""

from __future__ import annotations

import heapq
import math
from itertools import count
from random import Random
from typing import Any

import pytest
from helpers import settings

from granitepoint import (
    Arrival,
    Balancer,
    Effect,
    Event,
    ListKind,
    Outcome,
    Probe,
    ProbeResult,
    RequestClass,
    Send,
    ServerEntry,
    ServerList,
    SetTimer,
    Status,
    TimerFired,
)

MULTIPLE, WITHIN, COLD_FROM, COLD_FOR = 3.0, 2.0, 0.39, 8.0
COLD, BEGINS, ENDS = 99, 12.0, 20.0


def sends_to_cold(instances: int, warm: int, work: float, busy: float, seed: int) -> list[float]:
    """When the cold server gets calls. Traffic is uneven; from its start on there is half as much again."""
    chance, order = Random(seed), count()
    cls = RequestClass("once", worth=1, aim=1.2, deadline=3.0, late_worth=0.5, effect=Effect.ONCE)
    weights = [0.2 + chance.expovariate(1) for _ in range(instances)]
    rates = [busy / work * (warm + 1) * weight / sum(weights) for weight in weights]
    due: list[tuple[float, int, int, Event | None]] = []

    def later(at: float, instance: int, event: Event | None) -> None:
        heapq.heappush(due, (at, next(order), instance, event))

    many: list[Balancer] = []
    for me in range(instances):
        more: dict[str, Any] = {"fall_multiple": MULTIPLE, "fall_within": WITHIN, "cold_from": COLD_FROM}
        setup = settings(classes=[cls], me=me, balancers=instances, cold_for=COLD_FOR, may_probe=True, **more)
        many.append(Balancer(setup, seed * 1000 + me))
        many[-1].admission.concurrency_limit = 50.0  # what limits is the ramp alone
        later(0.0, me, ServerList(ListKind.SAVED, [ServerEntry(s, zone="a") for s in range(warm)]))
        told = ServerList(ListKind.INCREMENTAL, [ServerEntry(COLD, zone="a", started_at=BEGINS)])
        later(BEGINS + 0.3 * chance.random(), me, told)
        later(chance.expovariate(rates[me]), me, None)
    held: dict[int, list[float]] = {}  # by server: when its calls end, one after another
    cold: list[float] = []
    calls = count()
    while due[0][0] < ENDS:
        now, _, me, event = heapq.heappop(due)
        if event is None:
            later(now + chance.expovariate(rates[me] * (1.5 if now >= BEGINS else 1.0)), me, None)
            event = Arrival(next(calls), "once", 3.0)
        for action in many[me].handle(now, [event]):
            if isinstance(action, SetTimer):
                later(now + action.delay, me, TimerFired(action.token))
            elif isinstance(action, Probe):
                report = {"busy_reqs": 0.0 if action.server == COLD else 20.0}  # it looks idle to all
                later(now, me, ProbeResult(action.server, Status.OK, 0.0, report))
            elif isinstance(action, Send):
                ends = held[action.server] = [end for end in held.get(action.server, []) if end > now]
                ends.append(max([now, *ends]) + chance.expovariate(1 / work))
                took = min(ends[-1] - now, action.timeout)
                status = Status.OK if took < action.timeout else Status.TIMEOUT
                ended = status is Status.OK
                later(now + took, me, Outcome(action.call, 0, action.server, status, took, ended))
                if action.server == COLD:
                    cold.append(now)
    return cold


@pytest.mark.parametrize(
    ("instances", "warm", "work"), [(2, 3, 0.05), (30, 5, 0.05), (30, 5, 0.3), (60, 8, 0.3)]
)
def test_all_instances_together_keep_a_cold_server_s_budget(instances: int, warm: int, work: float) -> None:
    """What chance may add to a budget of N calls is 2 x root of N + 2, however many instances send."""
    for seed in (1, 2):
        cold = sends_to_cold(instances, warm, work, 0.9, seed)
        assert len(cold) > 3
        for begin in cold:
            capacity = COLD_FROM + (1 - COLD_FROM) * min(1.0, (begin - BEGINS) / COLD_FOR)
            budget = MULTIPLE * capacity * WITHIN / work
            sent = sum(1 for at in cold if begin <= at < begin + WITHIN)
            assert sent <= budget + 2 * math.sqrt(budget) + 2, (begin, sent, budget)
