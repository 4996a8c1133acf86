"""A discovery that many proxies call at once, in simulated time.

These tests guard against a congestion collapse of discovery. After an outage of some seconds, proxies kept
old lists for the rest of the day, and requests went to servers that had long left (see
test_unconfirmed_list.py).

All proxies lose their watches at once and call again when discovery returns. The calls wait in one queue. If
all of them together take longer than a call may wait, most fail, and the queue still works off calls whose
callers have left. When the retry delay after a failure did not grow, calls arrived faster than they could be
answered for as long as there were proxies without a list.

With 200 proxies and a retry delay of 0.1 s nearly every call failed after 2.0 s, from the outage until the
end of the day (b3f30b7d). With a delay of 1 s, doubled up to 8 s, no call failed later than 5 s after the
return (trial b981f26c).
"""

from __future__ import annotations

from heapq import heappop, heappush

import pytest
from helpers import Driver, settings

from granitepoint import ListKind, ServerList, Watch

STEP = 0.05  # seconds
MAX_QUEUE_TIME = 2.0  # seconds that a call waits before it fails
DOWN_AT, UP_AT = 5.0, 13.0  # seconds
PROXIES = 40


class QueueingDiscovery:
    """A service with one queue. A call that waits too long fails, but still takes its processing time."""

    def __init__(self, seconds_for_all: float) -> None:
        self.call_time = seconds_for_all / PROXIES  # seconds of processing for each call
        self.free_at = 0.0
        self.answers: list[tuple[float, int, bool]] = []  # time, proxy, and whether the call succeeded

    def call(self, now: float, proxy: int) -> None:
        """A call of a proxy arrives."""
        if DOWN_AT <= now < UP_AT:
            heappush(self.answers, (now + MAX_QUEUE_TIME, proxy, False))
            return
        self.free_at = max(now, self.free_at) + self.call_time
        answered = self.free_at - now <= MAX_QUEUE_TIME
        heappush(self.answers, (self.free_at if answered else now + MAX_QUEUE_TIME, proxy, answered))


def run_fleet(seconds_for_all: float, until: float, seed: int) -> list[float]:
    """Returns the seconds from the return of discovery to the first answer, for each proxy."""
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
