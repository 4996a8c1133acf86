"""The clients: first tries drawn ahead of any answer, retries, and the front that spreads them."""

from __future__ import annotations

import math
from random import Random
from typing import TYPE_CHECKING

from granitepoint.emulator.calls import Attempt, Call, End, Request, draw
from granitepoint.emulator.day import Burst, Class
from granitepoint.emulator.instance import Instance

if TYPE_CHECKING:
    from granitepoint.emulator.world import World

LEAST_BUDGET = 0.01  # s; a try that could have less is not made
QUOTA_BURST = 1.0  # s of a tenant's quota that may come at once


class Clients:
    """Open loop: what comes depends on the seed alone."""

    def __init__(self, world: World, random: Random, manners: Random) -> None:
        self.world, self.loop, self.tally, self.day = world, world.loop, world.tally, world.day
        self.random, self.manners = random, manners  # of first tries; of what follows
        self.habits = self.day.clients
        self.delay = self.day.network.client_ms / 1e3
        self.base = self.day.rate()
        factors = [factor for _, factor in self.day.traffic.shape] or [1 + self.day.traffic.swing]
        self.burst: float = 1.0
        self.heavy: dict[tuple[str, int], tuple[float, float]] = {}  # by class and tier: share, times
        bursts = [trouble.times for trouble in self.day.troubles if isinstance(trouble, Burst)]
        self.most = self.base * max(factors) * max([1.0, *bursts])
        self.shares = [cls.share for cls in self.day.classes]
        self.traffic = [tenant.traffic for tenant in self.day.tenants]
        self.quotas = {t.name: t.quota * self.day.capacity() for t in self.day.tenants}
        self.credit = {name: quota * QUOTA_BURST for name, quota in self.quotas.items()}
        self.credit_at = dict.fromkeys(self.quotas, 0.0)
        self.place = 0  # in the shape

    def begin(self) -> None:
        self._next(None)

    def rate(self, now: float) -> float:
        """First tries each second."""
        traffic = self.day.traffic
        if traffic.shape:
            factor = self._shaped(now)
        elif traffic.swing:
            phase = now / traffic.wave_s % 1.0
            factor = 1 + traffic.swing * (4 * abs(phase - 0.5) - 1)
        else:
            factor = 1.0
        return self.base * factor * self.burst

    def _shaped(self, now: float) -> float:
        shape = self.day.traffic.shape
        while self.place + 1 < len(shape) and shape[self.place + 1][0] <= now:
            self.place += 1
        begin, factor = shape[self.place]
        if self.place + 1 == len(shape) or now <= begin:
            return factor
        end, following = shape[self.place + 1]
        return factor + (following - factor) * (now - begin) / (end - begin)

    def _next(self, _: object) -> None:
        """Arrivals at the highest rate, thinned to the present one."""
        now = self.loop.now
        due = now + self.random.expovariate(self.most)
        if due < self.day.duration_s:
            self.loop.at(due, self._come, None)

    def _come(self, _: object) -> None:
        now, random = self.loop.now, self.random
        if random.random() * self.most < self.rate(now):
            self._request(now)
        self._next(None)

    def _request(self, now: float) -> None:
        day, random = self.day, self.random
        cls = random.choices(day.classes, self.shares)[0]
        work = self.draw_work(cls, 0, random)
        tenant = random.choices(day.tenants, self.traffic)[0].name if day.tenants else ""
        zone = random.choice(day.zones) if len(day.zones) > 1 else day.zones[0]
        own = Random(random.getrandbits(64))
        request = Request(self.tally.requests, cls, tenant, zone, now, work, self.tally.window(now), own)
        request.honours = random.random() < self.habits.honour
        if day.worth_by_work:
            request.worth *= work
        if tenant and not self._within_quota(tenant, now):
            request.worth *= day.over_share_worth
        self.tally.begin(request)
        self._try(request)

    def draw_work(self, cls: Class, depth: int, random: Random) -> float:
        """Core seconds of a call to that tier. Each call of a class has a draw of its own."""
        work = draw(random, cls.dist, cls.work_ms / 1e3, cls.cv)
        if self.heavy:
            share, times = self.heavy.get((cls.name, depth), (0.0, 1.0))
            if random.random() < share:
                work *= times
        return work

    def _within_quota(self, tenant: str, now: float) -> bool:
        quota = self.quotas[tenant]
        credit = self.credit[tenant] + (now - self.credit_at[tenant]) * quota
        credit = min(max(1.0, quota * QUOTA_BURST), credit)
        self.credit_at[tenant] = now
        within = credit >= 1
        self.credit[tenant] = credit - within
        return within

    def _try(self, request: Request) -> None:
        now, habits = self.loop.now, self.habits
        budget = request.deadline - now
        if self._may_repeat(request, now):
            budget = min(budget, habits.try_share * request.cls.deadline_ms / 1e3)
        request.tries += 1
        request.window.tries += 1
        call = Call(self.world.next_call(), request, self, budget, request.work)
        proxy = self.world.front.choose(request.zone, self.manners)
        if proxy is None:
            self.loop.at(now + 2 * self.delay, self._unreached, call)
            return
        self.loop.at(now + self.delay, proxy.take, call)
        if habits.impatient and self.manners.random() < habits.impatient:
            self.loop.at(now + self.delay + budget * self.manners.random(), self._leave, (proxy, call))

    def _unreached(self, call: Call) -> None:
        self.answered(call, End.LOST, 0.0, None)

    def _leave(self, about: tuple[Instance, Call]) -> None:
        proxy, call = about
        if not call.ended:
            proxy.leave(call)
            self.tally.end(call.request, "left", self.loop.now - call.request.born)

    def answered(self, call: Call, end: End, retry_after: float, attempt: Attempt | None) -> None:
        """One try has ended; the client hears of it a little later."""
        request = call.request
        heard = self.loop.now + self.delay
        elapsed = heard - request.born
        if end is End.SERVED and elapsed <= request.cls.deadline_ms / 1e3:
            how = "in_time" if elapsed <= request.cls.aim_ms / 1e3 else "late"
            self.tally.end(request, how, elapsed, attempt)
            return
        again = self._again_at(request, end, heard, retry_after)
        if again + LEAST_BUDGET < request.deadline:
            self.loop.at(again, self._try, request)
            return
        how = "refused" if end is End.REFUSED else "timed_out" if self.loop.now >= call.deadline else "failed"
        self.tally.end(request, how, elapsed)

    @staticmethod
    def _may_repeat(request: Request, now: float) -> bool:
        """Whether it may be sent again though it may have run."""
        cls = request.cls
        if cls.effect == "by_key":
            return cls.group == "all" and now < request.born + cls.window_ms / 1e3
        return cls.effect == "repeatable"

    def _again_at(self, request: Request, end: End, heard: float, retry_after: float) -> float:
        """When the next try begins; never, if none is due."""
        habits = self.habits
        free = end in (End.REFUSED, End.LOST) or self._may_repeat(request, heard)
        if request.tries > habits.retries or not free:
            return math.inf
        wait = 0.0 if habits.backoff == "none" else habits.backoff_ms / 1e3
        if habits.backoff == "exp":
            wait *= 2 ** (request.tries - 1)
        wait *= 0.5 + self.manners.random()
        if request.honours:
            wait = max(wait, min(retry_after, self.day.limits.max_retry_after_s))
        return heard + wait


class Front:
    """Spreads clients over the proxies of their zone; it knows late of one that has ended."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.loop = world.loop
        self.proxies: list[Instance] = []
        self.by_zone: dict[str, list[Instance]] = {}

    def add(self, proxy: Instance) -> None:
        self.proxies.append(proxy)
        self.by_zone.setdefault(proxy.zone, []).append(proxy)

    def lost(self, proxy: Instance) -> None:
        self.loop.at(self.loop.now + self.world.day.front.notice_s, self._remove, (proxy, proxy.life))

    def _remove(self, who: tuple[Instance, int]) -> None:
        proxy, life = who
        if proxy.life == life and proxy in self.proxies:
            self.proxies.remove(proxy)
            self.by_zone[proxy.zone].remove(proxy)

    def back(self, proxy: Instance) -> None:
        if proxy not in self.proxies:
            self.add(proxy)

    def choose(self, zone: str, random: Random) -> Instance | None:
        held = self.by_zone.get(zone) or self.proxies
        return held[int(random.random() * len(held))] if held else None
