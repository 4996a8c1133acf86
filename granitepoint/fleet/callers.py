"""Open-loop load generator: simulated callers that reach the proxies through a load balancer, the front.

Latency counts from the planned send, so that the delay of calls that were sent too late because of a slow
answer is not left out (coordinated omission).
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass, field

import numpy as np

from granitepoint.fleet.measure import Histogram
from granitepoint.fleet.wire import Answer, HttpConnection, split_address
from granitepoint.interface import Effect, RequestClass

# Callers poll the clock for this time before a planned send: timers of the event loop are too coarse.
BUSY_WAIT_S = 0.0015
HEALTH_CHECK_TIMEOUT_S = 1.0


class NoProxyAvailable(Exception):
    """The front knows of no live proxy, or the chosen one refused the connection."""


class ConnectionLost(Exception):
    """The connection failed, or was closed, before the answer was complete."""


@dataclass(slots=True)
class ProxyTarget:
    """A proxy as the front knows it."""

    address: tuple[str, int]
    zone: str
    up: bool = False  # the last health check succeeded
    idle_connections: list[HttpConnection] = field(default_factory=list)


class Front:
    """Load balancer in front of the proxies.

    It takes the live proxies of a zone in round-robin order, or those of all zones if that zone has none.
    """

    def __init__(self, proxies: list[ProxyTarget], health_check_interval: float) -> None:
        # `health_check_interval`: seconds between two health checks of the same proxy.
        self.proxies, self.health_check_interval = proxies, health_check_interval
        self.choice_counts: Counter[str] = Counter()  # calls of `choose`, by zone
        self.live_by_zone: dict[str, list[ProxyTarget]] = {}
        self.health_checks = 0
        self._update_live()

    def _update_live(self) -> None:
        self.live_by_zone.clear()
        for proxy in self.proxies:
            if proxy.up:
                self.live_by_zone.setdefault(proxy.zone, []).append(proxy)

    async def check_health(self, proxy: ProxyTarget) -> None:
        """Requests /healthz once and updates the proxy's state."""
        self.health_checks += 1
        connection = HttpConnection()
        try:
            async with asyncio.timeout(HEALTH_CHECK_TIMEOUT_S):
                await connection.connect(*proxy.address)
                proxy.up = (
                    await connection.send_request(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
                ).code == 200
        except (OSError, TimeoutError):
            proxy.up = False
        finally:
            connection.abort()
            self._update_live()

    async def wait_until_ready(self) -> None:
        """Checks all proxies until each has answered 200."""
        while waiting := [proxy for proxy in self.proxies if not proxy.up]:
            await asyncio.gather(*(self.check_health(proxy) for proxy in waiting[:64]))
            await asyncio.sleep(0.02)

    async def run_health_checks(self) -> None:
        """Checks each proxy every `health_check_interval` seconds, evenly spread, until cancelled."""
        while True:
            for proxy in list(self.proxies):
                await asyncio.sleep(self.health_check_interval / len(self.proxies))
                await self.check_health(proxy)

    def choose(self, zone: str) -> ProxyTarget:
        """Returns the next live proxy in turn for callers of this zone. Raises NoProxyAvailable."""
        proxies = self.live_by_zone.get(zone) or [proxy for proxy in self.proxies if proxy.up]
        if not proxies:
            raise NoProxyAvailable
        self.choice_counts[zone] += 1
        return proxies[self.choice_counts[zone] % len(proxies)]

    async def send_request(self, zone: str, data: bytes) -> Answer:
        """Sends a serialized request to the proxy that `choose` returns, and returns the answer.

        If a reused connection ends before any part of the answer, the proxy has probably closed it as idle
        when the request was sent: the request is then sent once more, on a new connection. Raises
        NoProxyAvailable and ConnectionLost.
        """
        proxy = self.choose(zone)
        while proxy.idle_connections:
            connection = proxy.idle_connections.pop()
            if connection.transport is not None and not connection.transport.is_closing():
                try:
                    return await self._send_on(proxy, connection, data)
                except ConnectionError:
                    if connection.answer_started:
                        raise ConnectionLost from None
                    break
        connection = HttpConnection()
        try:
            await connection.connect(*proxy.address)
            return await self._send_on(proxy, connection, data)
        except ConnectionRefusedError:
            raise NoProxyAvailable from None
        except OSError:
            raise ConnectionLost from None

    @staticmethod
    async def _send_on(proxy: ProxyTarget, connection: HttpConnection, data: bytes) -> Answer:
        try:
            answer = await connection.send_request(data)
        except BaseException:
            connection.abort()
            raise
        if connection.reusable:
            proxy.idle_connections.append(connection)
        else:
            connection.abort()
        return answer


def build_request(cls: RequestClass, call_id: str, budget: float, is_retry: bool) -> bytes:
    """Returns a serialized request as the specification PROTOCOL describes it; `budget` is in seconds."""
    method = "GET" if cls.effect is Effect.REPEATABLE else "POST"
    lines = [f"{method} /{cls.name} HTTP/1.1", "Host: service.internal", f"X-Call-Id: {call_id}"]
    lines.append(f"X-Budget: {max(1, round(budget * 1e6))}u")
    if is_retry:
        lines.append("X-Again: 1")
    if cls.effect is Effect.BY_KEY:
        lines.append(f"Idempotency-Key: k{call_id}")
    if method == "POST":
        lines.append("Content-Length: 0")
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


class Tally:
    """Outcomes and latencies of the calls."""

    def __init__(self) -> None:
        # Of served calls, by class: the time from the planned send to the last byte of the answer.
        self.latency: dict[str, Histogram] = {}
        # Of calls served at the first try: the time from the try to the answer, less the backend's own time.
        self.added_latency = Histogram()
        # From the planned to the actual send of the first try; caused by the callers themselves.
        self.send_delay = Histogram()
        self.by_second: dict[int, Counter[str]] = {}  # second of the planned send: calls by outcome
        self.tries = 0
        self.by_zone: Counter[str] = Counter()  # calls by "ZONE OUTCOME"

    def record_outcome(self, second: int, zone: str, outcome: str) -> None:
        """Counts a call that has ended; `second` is that of its planned send, from the start of the
        measurement."""
        self.by_second.setdefault(second, Counter())[outcome] += 1
        self.by_zone[f"{zone} {outcome}"] += 1


class Callers:
    """Sends calls at planned times, whether earlier calls have been answered or not."""

    def __init__(
        self,
        front: Front,
        classes: list[RequestClass],
        mix: dict[str, float],
        zones: list[str],
        retries: int,
        retry_wait: float,
        seed: int,
    ) -> None:
        self.front, self.zones = front, zones
        self.classes = [cls for cls in classes if mix.get(cls.name, 0.0 if mix else 1.0) > 0]
        shares = np.array([mix.get(cls.name, 1.0) for cls in self.classes])
        self.shares = shares / shares.sum()
        # `retries`: most retries of a call. `retry_wait`: mean wait in seconds before the first of them,
        # doubled for each further one.
        self.retries, self.retry_wait = retries, retry_wait
        self.seed = seed
        self.rng = np.random.default_rng(seed)
        self.tally = Tally()
        self.measured_from = 0.0  # monotonic; calls planned for an earlier time are not counted
        self.calls: set[asyncio.Task[None]] = set()
        self.call_ids = self._generate_call_ids()

    def _generate_call_ids(self) -> Iterator[str]:
        number = 0
        while True:
            number += 1
            yield f"{self.seed & 0xFFFFFFFF:08x}{number:08x}"

    def plan_sends(self, rate: float, begin: float, end: float) -> list[float]:
        """Draws the send times of a Poisson process with `rate` calls per second, in order.

        `begin`, `end` and the results are monotonic times in seconds. The times are fixed in advance and
        don't depend on how calls end.
        """
        if rate <= 0 or end <= begin:
            return []
        max_count = int(rate * (end - begin) + 10 * (rate * (end - begin)) ** 0.5 + 10)
        times = begin + np.cumsum(self.rng.exponential(1 / rate, max_count))
        return [float(time) for time in times[times < end]]

    async def run(self, rate: float, begin: float, end: float) -> None:
        """Plans and sends calls (see `plan_sends`), and returns when all have ended."""
        planned = self.plan_sends(rate, begin, end)
        class_indices = self.rng.choice(len(self.classes), size=len(planned), p=self.shares).tolist()
        zone_indices = self.rng.integers(0, len(self.zones), size=len(planned)).tolist()
        loop = asyncio.get_running_loop()
        for planned_at, class_index, zone_index in zip(planned, class_indices, zone_indices, strict=True):
            wait = planned_at - time.monotonic()
            if wait > BUSY_WAIT_S:
                await asyncio.sleep(wait - BUSY_WAIT_S)
            while time.monotonic() < planned_at:
                await asyncio.sleep(0)
            task = loop.create_task(self.call(self.classes[class_index], self.zones[zone_index], planned_at))
            self.calls.add(task)
            task.add_done_callback(self.calls.discard)
        if self.calls:
            await asyncio.wait(set(self.calls))

    async def call(self, cls: RequestClass, zone: str, planned_at: float) -> None:
        """Makes one call, with retries, and records its outcome; `planned_at` is a monotonic time.

        Only a refused call, one that found no proxy, or one of a repeatable class is retried.
        """
        deadline = planned_at + cls.deadline
        tally, counted = self.tally, planned_at >= self.measured_from
        outcome, tries, wait = "failed", 0, self.retry_wait
        while True:
            started_at = time.monotonic()
            if counted and not tries:
                tally.send_delay.add(started_at - planned_at)
            tries += 1
            answer: Answer | None = None
            data = build_request(cls, next(self.call_ids), deadline - started_at, tries > 1)
            tally.tries += counted
            try:
                async with asyncio.timeout(deadline - started_at):
                    answer = await self.front.send_request(zone, data)
                code = answer.code
                outcome = "served" if code == 200 else "refused" if code in (429, 503) else "failed"
            except NoProxyAvailable:
                outcome = "no proxy"
            except ConnectionLost:
                outcome = "broken"
            except TimeoutError:
                outcome = "timed out"
            if outcome == "served" and answer is not None:
                if counted:
                    self._record_served(cls, planned_at, started_at, answer, tries)
                if answer.received_at - planned_at > cls.aim:
                    outcome = "late"
                break
            safe_to_retry = outcome in ("refused", "no proxy") or cls.effect is Effect.REPEATABLE
            if tries > self.retries or not safe_to_retry or time.monotonic() + wait >= deadline:
                break
            await asyncio.sleep(wait * float(self.rng.uniform(0.5, 1.5)))
            wait *= 2
        if counted:
            tally.record_outcome(int(planned_at - self.measured_from), zone, outcome)

    def _record_served(
        self, cls: RequestClass, planned_at: float, started_at: float, answer: Answer, tries: int
    ) -> None:
        self.tally.latency.setdefault(cls.name, Histogram()).add(answer.received_at - planned_at)
        span = answer.headers.get("x-span", "")
        if tries == 1 and span:
            backend_received, backend_answered = (float(part) / 1e6 for part in span.split(","))
            self.tally.added_latency.add(
                answer.received_at - started_at - (backend_answered - backend_received)
            )


async def call_next_service(
    front: Front, cls: RequestClass, call_id: str, deadline: float, count: int
) -> bool:
    """Makes a backend's own calls to the next service, one after another.

    Returns whether all `count` calls were served before the monotonic time `deadline`.
    """
    for number in range(count):
        time_left = deadline - time.monotonic()
        if time_left <= 0:
            return False
        with suppress(NoProxyAvailable, ConnectionLost, TimeoutError):
            async with asyncio.timeout(time_left):
                answer = await front.send_request(
                    "", build_request(cls, f"{call_id}.{number}", time_left, False)
                )
            if answer.code == 200:
                continue
        return False
    return True


def proxy_targets(addresses: dict[str, str], zones: dict[str, str]) -> list[ProxyTarget]:
    """Returns a target for each proxy; both arguments are by proxy name."""
    return [ProxyTarget(split_address(address), zones[name]) for name, address in addresses.items()]
