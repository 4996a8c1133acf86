"""A cold server that many instances send to: their total load has to stay within the limit of the
contract."""

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
    Probed,
    RequestClass,
    Send,
    ServerEntry,
    ServerList,
    SetTimer,
    Status,
    Timer,
)

# A server starts with COLD_CAPACITY of its full capacity and reaches that after WARM_UP_TIME seconds. In any
# LOAD_WINDOW seconds it may get LOAD_MULTIPLE times the calls that it can serve.
LOAD_MULTIPLE, LOAD_WINDOW, COLD_CAPACITY, WARM_UP_TIME = 3.0, 2.0, 0.39, 8.0
COLD_SERVER, COLD_START, END = 99, 12.0, 20.0


def sends_to_cold(instances: int, warm: int, work: float, utilization: float, seed: int) -> list[float]:
    """Returns the times of the calls that the cold server gets.

    `warm` servers are warm from the start, `work` is the mean duration of a call in seconds, `utilization`
    the share of the capacity in use. Load differs between instances, and grows by half when the cold server
    starts.
    """
    random, sequence = Random(seed), count()
    cls = RequestClass("once", worth=1, aim=1.2, deadline=3.0, late_worth=0.5, effect=Effect.ONCE)
    weights = [0.2 + random.expovariate(1) for _ in range(instances)]
    rates = [utilization / work * (warm + 1) * weight / sum(weights) for weight in weights]
    schedule_heap: list[tuple[float, int, int, Event | None]] = []

    def schedule(event_time: float, instance: int, event: Event | None) -> None:
        heapq.heappush(schedule_heap, (event_time, next(sequence), instance, event))

    balancers: list[Balancer] = []
    for instance in range(instances):
        cold_settings: dict[str, Any] = {
            "fall_multiple": LOAD_MULTIPLE,
            "fall_within": LOAD_WINDOW,
            "cold_from": COLD_CAPACITY,
        }
        balancer_settings = settings(
            classes=[cls],
            me=instance,
            balancers=instances,
            cold_for=WARM_UP_TIME,
            may_probe=True,
            **cold_settings,
        )
        balancers.append(Balancer(balancer_settings, seed * 1000 + instance))
        balancers[-1].admission.window = 50.0  # so that only the slow start limits the calls
        schedule(0.0, instance, ServerList(ListKind.SAVED, [ServerEntry(s, zone="a") for s in range(warm)]))
        cold_server_list = ServerList(
            ListKind.INCREMENTAL, [ServerEntry(COLD_SERVER, zone="a", started_at=COLD_START)]
        )
        schedule(COLD_START + 0.3 * random.random(), instance, cold_server_list)
        schedule(random.expovariate(rates[instance]), instance, None)
    call_ends_by_server: dict[int, list[float]] = {}  # a server runs its calls one after another
    cold_sends: list[float] = []
    calls = count()
    while schedule_heap[0][0] < END:
        now, _, instance, event = heapq.heappop(schedule_heap)
        if event is None:
            schedule(
                now + random.expovariate(rates[instance] * (1.5 if now >= COLD_START else 1.0)),
                instance,
                None,
            )
            event = Arrival(next(calls), "once", 3.0)
        for action in balancers[instance].handle(now, [event]):
            if isinstance(action, SetTimer):
                schedule(now + action.delay, instance, Timer(action.token))
            elif isinstance(action, Probe):
                report = {"busy_reqs": 0.0 if action.server == COLD_SERVER else 20.0}  # it looks idle
                schedule(now, instance, Probed(action.server, Status.OK, 0.0, report))
            elif isinstance(action, Send):
                call_ends = call_ends_by_server[action.server] = [
                    end for end in call_ends_by_server.get(action.server, []) if end > now
                ]
                call_ends.append(max([now, *call_ends]) + random.expovariate(1 / work))
                duration = min(call_ends[-1] - now, action.timeout)
                status = Status.OK if duration < action.timeout else Status.TIMEOUT
                ended = status is Status.OK
                schedule(
                    now + duration, instance, Outcome(action.call, 0, action.server, status, duration, ended)
                )
                if action.server == COLD_SERVER:
                    cold_sends.append(now)
    return cold_sends


@pytest.mark.parametrize(
    ("instances", "warm", "work"), [(2, 3, 0.05), (30, 5, 0.05), (30, 5, 0.3), (60, 8, 0.3)]
)
def test_all_instances_together_keep_a_cold_server_s_budget(instances: int, warm: int, work: float) -> None:
    """Random variation may add 2 x sqrt(N) + 2 to a budget of N calls, however many instances send."""
    for seed in (1, 2):
        cold_sends = sends_to_cold(instances, warm, work, 0.9, seed)
        assert len(cold_sends) > 3
        for window_start in cold_sends:
            capacity = COLD_CAPACITY + (1 - COLD_CAPACITY) * min(
                1.0, (window_start - COLD_START) / WARM_UP_TIME
            )
            budget = LOAD_MULTIPLE * capacity * LOAD_WINDOW / work
            sent = sum(
                1 for send_time in cold_sends if window_start <= send_time < window_start + LOAD_WINDOW
            )
            assert sent <= budget + 2 * math.sqrt(budget) + 2, (window_start, sent, budget)
