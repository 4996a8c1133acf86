"""Open-loop callers behind a front. Latency counts from the planned send, so that a slow answer can't hide
the calls that should have been sent meanwhile."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass, field

import numpy as np

from granitepoint.fleet.measure import Histogram
from granitepoint.fleet.wire import Answer, Link, split_address
from granitepoint.interface import Effect, RequestClass

SPIN = 0.0015  # s before a planned send from which the loop is not left to its timers, which are coarse
LOOK = 1.0  # s that a look at /healthz may take


class NoProxy(Exception):
    """The front knows of none."""


class Left(Exception):
    """The connection ended before an answer."""


@dataclass(slots=True)
class Place:
    """A proxy as the front knows it."""

    address: tuple[str, int]
    zone: str
    up: bool = False
    links: list[Link] = field(default_factory=list)


class Front:
    """Deals out connections among the proxies of a zone; of all zones, where the own has none left."""

    def __init__(self, places: list[Place], notice: float) -> None:
        self.places, self.notice = places, notice
        self.turn: Counter[str] = Counter()
        self.by_zone: dict[str, list[Place]] = {}
        self.looks = 0  # at /healthz
        self._sort()

    def _sort(self) -> None:
        self.by_zone.clear()
        for place in self.places:
            if place.up:
                self.by_zone.setdefault(place.zone, []).append(place)

    async def look(self, place: Place) -> None:
        """One look at /healthz."""
        self.looks += 1
        link = Link()
        try:
            async with asyncio.timeout(LOOK):
                await link.connect(*place.address)
                place.up = (await link.ask(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")).code == 200
        except (OSError, TimeoutError):
            place.up = False
        finally:
            link.abort()
            self._sort()

    async def until_ready(self) -> None:
        """Until every proxy has answered 200."""
        while waiting := [place for place in self.places if not place.up]:
            await asyncio.gather(*(self.look(place) for place in waiting[:64]))
            await asyncio.sleep(0.02)

    async def keep_looking(self) -> None:
        """Until cancelled: each proxy once in `notice` seconds, spread evenly."""
        while True:
            for place in list(self.places):
                await asyncio.sleep(self.notice / len(self.places))
                await self.look(place)

    def choose(self, zone: str) -> Place:
        """Raises NoProxy."""
        places = self.by_zone.get(zone) or [place for place in self.places if place.up]
        if not places:
            raise NoProxy
        self.turn[zone] += 1
        return places[self.turn[zone] % len(places)]

    async def ask(self, zone: str, data: bytes) -> Answer:
        """A request that crosses the close of a kept connection is sent once more, on a new one."""
        place = self.choose(zone)
        while place.links:
            link = place.links.pop()
            if link.transport is not None and not link.transport.is_closing():
                try:
                    return await self._on(place, link, data)
                except ConnectionError:
                    if link.heard:
                        raise Left from None
                    break
        link = Link()
        try:
            await link.connect(*place.address)
            return await self._on(place, link, data)
        except ConnectionRefusedError:
            raise NoProxy from None
        except OSError:
            raise Left from None

    @staticmethod
    async def _on(place: Place, link: Link, data: bytes) -> Answer:
        try:
            answer = await link.ask(data)
        except BaseException:
            link.abort()
            raise
        if link.reusable:
            place.links.append(link)
        else:
            link.abort()
        return answer


def request(cls: RequestClass, call_id: str, budget: float, again: bool) -> bytes:
    """As PROTOCOL has it; `budget` in seconds."""
    method = "GET" if cls.effect is Effect.REPEATABLE else "POST"
    lines = [f"{method} /{cls.name} HTTP/1.1", "Host: service.internal", f"X-Call-Id: {call_id}"]
    lines.append(f"X-Budget: {max(1, round(budget * 1e6))}u")
    if again:
        lines.append("X-Again: 1")
    if cls.effect is Effect.BY_KEY:
        lines.append(f"Idempotency-Key: k{call_id}")
    if method == "POST":
        lines.append("Content-Length: 0")
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


class Tally:
    """What became of the calls, by class and by second of their planned send."""

    def __init__(self) -> None:
        self.latency: dict[str, Histogram] = {}  # planned send to last byte, of what was served
        self.added = Histogram()  # what a first try took beyond its backend's own time
        self.late_sends = Histogram()  # by how much the caller itself was late
        self.by_second: dict[int, Counter[str]] = {}
        self.sent = 0  # tries
        self.by_zone: Counter[str] = Counter()

    def note(self, second: int, zone: str, outcome: str) -> None:
        self.by_second.setdefault(second, Counter())[outcome] += 1
        self.by_zone[f"{zone} {outcome}"] += 1


class Callers:
    """Sends what is planned when it is planned, whatever has become of the calls before."""

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
        self.retries, self.retry_wait = retries, retry_wait
        self.seed = seed
        self.rng = np.random.default_rng(seed)
        self.tally = Tally()
        self.counting_from = 0.0  # monotonic: what is planned before is not counted
        self.calls: set[asyncio.Task[None]] = set()
        self.ids = self._ids()

    def _ids(self) -> Iterator[str]:
        number = 0
        while True:
            number += 1
            yield f"{self.seed & 0xFFFFFFFF:08x}{number:08x}"

    def plan(self, rate: float, begin: float, end: float) -> list[float]:
        """The times of a Poisson process; none is moved by what happens."""
        if rate <= 0 or end <= begin:
            return []
        most = int(rate * (end - begin) + 10 * (rate * (end - begin)) ** 0.5 + 10)
        times = begin + np.cumsum(self.rng.exponential(1 / rate, most))
        return [float(time) for time in times[times < end]]

    async def run(self, rate: float, begin: float, end: float) -> None:
        """Until all calls that were planned have ended."""
        planned = self.plan(rate, begin, end)
        kinds = self.rng.choice(len(self.classes), size=len(planned), p=self.shares).tolist()
        zones = self.rng.integers(0, len(self.zones), size=len(planned)).tolist()
        loop = asyncio.get_running_loop()
        for at, kind, zone in zip(planned, kinds, zones, strict=True):
            wait = at - time.monotonic()
            if wait > SPIN:
                await asyncio.sleep(wait - SPIN)
            while time.monotonic() < at:
                await asyncio.sleep(0)
            task = loop.create_task(self.call(self.classes[kind], self.zones[zone], at))
            self.calls.add(task)
            task.add_done_callback(self.calls.discard)
        if self.calls:
            await asyncio.wait(set(self.calls))

    async def call(self, cls: RequestClass, zone: str, planned: float) -> None:
        deadline = planned + cls.deadline
        tally, counted = self.tally, planned >= self.counting_from
        outcome, tries, wait = "failed", 0, self.retry_wait
        while True:
            begun = time.monotonic()
            if counted and not tries:
                tally.late_sends.add(begun - planned)
            tries += 1
            answer: Answer | None = None
            data = request(cls, next(self.ids), deadline - begun, tries > 1)
            tally.sent += counted
            try:
                async with asyncio.timeout(deadline - begun):
                    answer = await self.front.ask(zone, data)
                code = answer.code
                outcome = "served" if code == 200 else "refused" if code in (429, 503) else "failed"
            except NoProxy:
                outcome = "no proxy"
            except Left:
                outcome = "broken"
            except TimeoutError:
                outcome = "timed out"
            if outcome == "served" and answer is not None:
                if counted:
                    self._served(cls, planned, begun, answer, tries)
                if answer.came - planned > cls.aim:
                    outcome = "late"
                break
            harmless = outcome in ("refused", "no proxy") or cls.effect is Effect.REPEATABLE
            if tries > self.retries or not harmless or time.monotonic() + wait >= deadline:
                break
            await asyncio.sleep(wait * float(self.rng.uniform(0.5, 1.5)))
            wait *= 2
        if counted:
            tally.note(int(planned - self.counting_from), zone, outcome)

    def _served(self, cls: RequestClass, planned: float, begun: float, answer: Answer, tries: int) -> None:
        self.tally.latency.setdefault(cls.name, Histogram()).add(answer.came - planned)
        span = answer.headers.get("x-span", "")
        if tries == 1 and span:
            came, left = (float(part) / 1e6 for part in span.split(","))
            self.tally.added.add(answer.came - begun - (left - came))


async def call_below(front: Front, cls: RequestClass, call_id: str, deadline: float, count: int) -> bool:
    """A backend's own calls to the next service, one after another; whether all were served."""
    for number in range(count):
        left = deadline - time.monotonic()
        if left <= 0:
            return False
        with suppress(NoProxy, Left, TimeoutError):
            async with asyncio.timeout(left):
                answer = await front.ask("", request(cls, f"{call_id}.{number}", left, False))
            if answer.code == 200:
                continue
        return False
    return True


def places(addresses: dict[str, str], zones: dict[str, str]) -> list[Place]:
    return [Place(split_address(address), zones[name]) for name, address in addresses.items()]
