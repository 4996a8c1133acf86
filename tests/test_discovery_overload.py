"""A discovery that many proxies ask at once, in simulated time.

What users saw: after discovery had been away for some seconds, proxies had old lists for the rest of the
day, and requests went to servers that had long left (see test_unconfirmed_list.py).

The order of events: all proxies lost their watches at once. At the return all asked, each call waited in
turn, and as all of them together took longer than a call may wait, most failed. They were made again at
once, behind those whose callers had left, which took their turn all the same. So discovery worked without
pause on calls that nobody waited for.

The cause: the pause after a failed call did not grow, so that calls came faster than they could be
answered for as long as there were proxies without a list.

The evidence: on a day of 200 proxies (b3f30b7d) nearly every call failed after 2.0 s and was followed by
the next after 0.1 s, from the loss of discovery until the end of the day; with a pause of 1 s, doubled up
to 8 s (trial b981f26c), none failed from 5 s after its return.
"""

from __future__ import annotations

from heapq import heappop, heappush

import pytest
from helpers import Driver, settings

from granitepoint import ListKind, ServerList, Watch

STEP = 0.05  # s
MAX_QUEUE_TIME = 2.0  # s that a call waits in turn before it fails
DOWN_AT, UP_AT = 5.0, 13.0  # s
PROXIES = 40


class QueueingDiscovery:
    """One service that takes calls in turn; a call that has waited too long fails, and costs its turn."""

    def __init__(self, seconds_for_all: float) -> None:
        self.call_time = seconds_for_all / PROXIES  # s for each call
        self.free_at = 0.0
        self.answers: list[tuple[float, int, bool]] = []  # when, to which proxy, whether it is an answer

    def call(self, now: float, proxy: int) -> None:
        if DOWN_AT <= now < UP_AT:
            heappush(self.answers, (now + MAX_QUEUE_TIME, proxy, False))
            return
        self.free_at = max(now, self.free_at) + self.call_time
        answered = self.free_at - now <= MAX_QUEUE_TIME
        heappush(self.answers, (self.free_at if answered else now + MAX_QUEUE_TIME, proxy, answered))


def run_fleet(seconds_for_all: float, until: float, seed: int) -> list[float]:
    """When each proxy has its first answer after the return, in s after it."""
    discovery = QueueingDiscovery(seconds_for_all)
    fleet = [Driver(settings(ask_for_list=True), seed=seed * PROXIES + number) for number in range(PROXIES)]
    started_at = fleet[0].now
    watch_open = [False] * PROXIES
    recovery_times = [float("inf")] * PROXIES
    for step in range(int(until / STEP)):
        now = step * STEP
        events: list[list[ServerList]] = [[] for _ in fleet]
        while discovery.answers and discovery.answers[0][0] <= now:
            _, proxy, answered = heappop(discovery.answers)
            watch_open[proxy] = answered
            events[proxy].append(ServerList(ListKind.INCREMENTAL if answered else ListKind.FAILED))
            if answered and now >= UP_AT:
                recovery_times[proxy] = min(recovery_times[proxy], now - UP_AT)
        if DOWN_AT <= now < UP_AT:
            for proxy in range(PROXIES):
                if watch_open[proxy]:  # watches end when discovery goes down
                    watch_open[proxy] = False
                    events[proxy].append(ServerList(ListKind.FAILED))
        for proxy, driver in enumerate(fleet):
            actions = driver.wait(started_at + now - driver.now)
            actions = actions + (driver.feed(*events[proxy]) if events[proxy] else [])
            for action in actions:
                if isinstance(action, Watch):
                    discovery.call(now, proxy)
    return recovery_times


@pytest.mark.parametrize("seconds_for_all", [5.0, 7.5])
def test_all_are_answered_after_discovery_returns_to_more_calls_than_it_can_answer(
    seconds_for_all: float,
) -> None:
    for seed in (1, 2):
        recovery_times = run_fleet(seconds_for_all, UP_AT + 30.0, seed)
        assert max(recovery_times) < 4 * seconds_for_all
        assert sorted(recovery_times)[PROXIES // 2] < 2 * seconds_for_all
