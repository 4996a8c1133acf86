"""The clients: their requests, retries, and the front that distributes calls over the proxies.

First tries are an open loop: they depend on the day and its seed alone, not on any answer.
"""

from __future__ import annotations

import math
from random import Random
from typing import TYPE_CHECKING

from granitepoint.emulator.calls import Attempt, Call, CallResult, Request, draw
from granitepoint.emulator.day import Burst, Class
from granitepoint.emulator.instance import Instance

if TYPE_CHECKING:
    from granitepoint.emulator.world import World

MIN_BUDGET = 0.01  # s; a client retries only if more than this is left until its deadline
# s; a tenant's token bucket holds the requests that its quota allows in this time, but at least one.
QUOTA_BURST = 1.0


class Clients:
    """All clients of the day.

    `random` draws the first tries, `retry_random` what follows: proxies, retries and clients that leave.
    """

    def __init__(self, world: World, random: Random, retry_random: Random) -> None:
        self.world, self.loop, self.tally, self.day = world, world.loop, world.tally, world.day
        self.random, self.retry_random = random, retry_random
        self.behavior = self.day.clients
        self.network_delay = self.day.network.client_ms / 1e3
        self.base_rate = self.day.rate()
        factors = [factor for _, factor in self.day.traffic.shape] or [1 + self.day.traffic.swing]
        self.burst_factor: float = 1.0
        # (class, tier): (share of calls, factor of their work)
        self.heavy_tails: dict[tuple[str, int], tuple[float, float]] = {}
        bursts = [fault.times for fault in self.day.troubles if isinstance(fault, Burst)]
        self.max_rate = self.base_rate * max(factors) * max([1.0, *bursts])
        self.class_shares = [cls.share for cls in self.day.classes]
        self.tenant_traffic = [tenant.traffic for tenant in self.day.tenants]
        self.quotas = {t.name: t.quota * self.day.capacity() for t in self.day.tenants}
        self.quota_tokens = {name: quota * QUOTA_BURST for name, quota in self.quotas.items()}
        self.quota_updated_at = dict.fromkeys(self.quotas, 0.0)
        self.shape_index = 0  # index of the last point of `traffic.shape` that has been reached

    def start(self) -> None:
        """Schedule the first arrival."""
        self._schedule_arrival(None)

    def rate(self, now: float) -> float:
        """Rate of first tries at this time, per second."""
        traffic = self.day.traffic
        if traffic.shape:
            factor = self._shape_factor(now)
        elif traffic.swing:
            phase = now / traffic.wave_s % 1.0
            factor = 1 + traffic.swing * (4 * abs(phase - 0.5) - 1)
        else:
            factor = 1.0
        return self.base_rate * factor * self.burst_factor

    def _shape_factor(self, now: float) -> float:
        shape = self.day.traffic.shape
        while self.shape_index + 1 < len(shape) and shape[self.shape_index + 1][0] <= now:
            self.shape_index += 1
        start, factor = shape[self.shape_index]
        if self.shape_index + 1 == len(shape) or now <= start:
            return factor
        end, next_factor = shape[self.shape_index + 1]
        return factor + (next_factor - factor) * (now - start) / (end - start)

    def _schedule_arrival(self, _: object) -> None:
        """Schedule the next arrival at the highest rate; `_on_arrival` thins arrivals to the present rate."""
        now = self.loop.now
        due = now + self.random.expovariate(self.max_rate)
        if due < self.day.duration_s:
            self.loop.call_at(due, self._on_arrival, None)

    def _on_arrival(self, _: object) -> None:
        now, random = self.loop.now, self.random
        if random.random() * self.max_rate < self.rate(now):
            self._create_request(now)
        self._schedule_arrival(None)

    def _create_request(self, now: float) -> None:
        day, random = self.day, self.random
        cls = random.choices(day.classes, self.class_shares)[0]
        work = self.draw_work(cls, 0, random)
        tenant = random.choices(day.tenants, self.tenant_traffic)[0].name if day.tenants else ""
        zone = random.choice(day.zones) if len(day.zones) > 1 else day.zones[0]
        request_random = Random(random.getrandbits(64))
        request = Request(
            self.tally.requests, cls, tenant, zone, now, work, self.tally.window_at(now), request_random
        )
        request.honors_retry_after = random.random() < self.behavior.honour
        if day.worth_by_work:
            request.utility *= work
        if tenant and not self._take_quota_token(tenant, now):
            request.utility *= day.over_share_worth
        self.tally.request_started(request)
        self._send_try(request)

    def draw_work(self, cls: Class, depth: int, random: Random) -> float:
        """Draw the work of a call to the tier `depth` (0: the first), in core seconds.

        The factor Tier.work is not applied yet. Each call of a server is drawn independently; all tries
        of a client's request have the same work.
        """
        work = draw(random, cls.dist, cls.work_ms / 1e3, cls.cv)
        if self.heavy_tails:
            share, work_factor = self.heavy_tails.get((cls.name, depth), (0.0, 1.0))
            if random.random() < share:
                work *= work_factor
        return work

    def _take_quota_token(self, tenant: str, now: float) -> bool:
        quota = self.quotas[tenant]
        tokens = self.quota_tokens[tenant] + (now - self.quota_updated_at[tenant]) * quota
        tokens = min(max(1.0, quota * QUOTA_BURST), tokens)
        self.quota_updated_at[tenant] = now
        within = tokens >= 1
        self.quota_tokens[tenant] = tokens - within
        return within

    def _send_try(self, request: Request) -> None:
        now, behavior = self.loop.now, self.behavior
        budget = request.deadline - now
        if self._may_repeat(request, now):
            budget = min(budget, behavior.try_share * request.cls.deadline_ms / 1e3)
        request.tries += 1
        request.window.tries += 1
        call = Call(self.world.next_call_id(), request, self, budget, request.work)
        proxy = self.world.front.choose(request.zone, self.retry_random)
        if proxy is None:
            self.loop.call_at(now + 2 * self.network_delay, self._on_no_proxy, call)
            return
        self.loop.call_at(now + self.network_delay, proxy.accept, call)
        if behavior.impatient and self.retry_random.random() < behavior.impatient:
            self.loop.call_at(
                now + self.network_delay + budget * self.retry_random.random(),
                self._leave_early,
                (proxy, call),
            )

    def _on_no_proxy(self, call: Call) -> None:
        self.on_call_ended(call, CallResult.LOST, 0.0, None)

    def _leave_early(self, argument: tuple[Instance, Call]) -> None:
        proxy, call = argument
        if not call.ended:
            proxy.caller_left(call)
            self.tally.request_ended(call.request, "left", self.loop.now - call.request.created_at)

    def on_call_ended(
        self, call: Call, result: CallResult, retry_after: float, attempt: Attempt | None
    ) -> None:
        """Handle the end of a try. The client receives it after the network delay."""
        request = call.request
        received_at = self.loop.now + self.network_delay
        elapsed = received_at - request.created_at
        if result is CallResult.SERVED and elapsed <= request.cls.deadline_ms / 1e3:
            outcome = "in_time" if elapsed <= request.cls.aim_ms / 1e3 else "late"
            self.tally.request_ended(request, outcome, elapsed, attempt)
            return
        next_try_at = self._next_try_at(request, result, received_at, retry_after)
        if next_try_at + MIN_BUDGET < request.deadline:
            self.loop.call_at(next_try_at, self._send_try, request)
            return
        outcome = (
            "refused"
            if result is CallResult.REFUSED
            else "timed_out"
            if self.loop.now >= call.deadline
            else "failed"
        )
        self.tally.request_ended(request, outcome, elapsed)

    @staticmethod
    def _may_repeat(request: Request, now: float) -> bool:
        """Whether another try is allowed at `now` although the request may already have been executed."""
        cls = request.cls
        if cls.effect == "by_key":
            return cls.group == "all" and now < request.created_at + cls.window_ms / 1e3
        return cls.effect == "repeatable"

    def _next_try_at(
        self, request: Request, result: CallResult, received_at: float, retry_after: float
    ) -> float:
        """Time of the next try; infinite if the client doesn't try again."""
        behavior = self.behavior
        allowed = result in (CallResult.REFUSED, CallResult.LOST) or self._may_repeat(request, received_at)
        if request.tries > behavior.retries or not allowed:
            return math.inf
        wait = 0.0 if behavior.backoff == "none" else behavior.backoff_ms / 1e3
        if behavior.backoff == "exp":
            wait *= 2 ** (request.tries - 1)
        wait *= 0.5 + self.retry_random.random()
        if request.honors_retry_after:
            wait = max(wait, min(retry_after, self.day.limits.max_retry_after_s))
        return received_at + wait


class Front:
    """Distributes calls over the proxies of the client's zone, or over all if the zone has none.

    It notices after `front.notice_s` that a proxy has terminated.
    """

    def __init__(self, world: World) -> None:
        self.world = world
        self.loop = world.loop
        self.proxies: list[Instance] = []
        self.proxies_by_zone: dict[str, list[Instance]] = {}

    def add(self, proxy: Instance) -> None:
        """Add a proxy that gets calls from now on."""
        self.proxies.append(proxy)
        self.proxies_by_zone.setdefault(proxy.zone, []).append(proxy)

    def on_proxy_lost(self, proxy: Instance) -> None:
        """Remove a terminated proxy after the delay, unless it has been restarted by then."""
        self.loop.call_at(
            self.loop.now + self.world.day.front.notice_s, self._remove, (proxy, proxy.incarnation)
        )

    def _remove(self, argument: tuple[Instance, int]) -> None:
        proxy, incarnation = argument
        if proxy.incarnation == incarnation and proxy in self.proxies:
            self.proxies.remove(proxy)
            self.proxies_by_zone[proxy.zone].remove(proxy)

    def on_proxy_back(self, proxy: Instance) -> None:
        """Add a restarted proxy again, if the front has removed it."""
        if proxy not in self.proxies:
            self.add(proxy)

    def choose(self, zone: str, random: Random) -> Instance | None:
        """Choose a proxy at random for a client in the zone; None if no proxy is known."""
        candidates = self.proxies_by_zone.get(zone) or self.proxies
        return candidates[int(random.random() * len(candidates))] if candidates else None
