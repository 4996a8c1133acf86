"""A fleet that asks one discovery, which handles calls in turn, in simulated time.

The clients of discovery and the decision modules are the real ones; the service, its queue and the clock are
models. A call costs a turn of a length that grows with the entries of its answer; a watch that goes on with
an answered one costs none while nothing has changed. Calls that would wait for too long are turned away.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import math
import selectors
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from random import Random
from statistics import median
from types import SimpleNamespace
from typing import Any
from urllib.parse import parse_qs

from granitepoint import interface as api
from granitepoint.logic import Balancer
from granitepoint.membership.list_lease import MAX_WATCH_GAP, NOTIFIED_AFTER
from granitepoint.net import discovery as net
from granitepoint.net.listing import Listing

CALL_LINES = 44  # lines of a list that the handling of a call costs as much as, without its entries
MOST_WAIT = 2.0  # s in turn beyond which a call is turned away, or after which one fails during an outage
TURNED_AWAY_AFTER = 0.008  # s
LEAST_WAIT = 1e-6  # s; less than that does not move a simulated clock on
TICK = 0.2  # s between two looks at each instance
LISTED = 57  # servers of each list
FIRST, SECOND = ("10.0.0.1", 8500), ("10.0.0.2", 8500)
STAGES = 3
BUSY, OK = 503, 200


class _SkipWaits(selectors.SelectSelector):
    """Moves the simulated clock on by the time that the loop would wait."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("nothing is due: the simulated fleet stands still")
        self.now += max(0.0, timeout)
        return []


class SimulatedLoop(asyncio.SelectorEventLoop):
    """An event loop whose time passes only where nothing is left to do."""

    def __init__(self) -> None:
        self.waits = _SkipWaits()
        super().__init__(self.waits)

    def time(self) -> float:
        return self.waits.now


@dataclass(slots=True)
class Service:
    """Discovery: one queue for all calls. Times are in seconds."""

    line: float  # s that one line of a list costs
    down: tuple[float, float] = (math.inf, math.inf)
    version: int = 0
    changed: dict[int, int] = field(default_factory=dict)  # the server that each version changed
    free_at: float = 0.0
    turned_away: int = 0
    answers: int = 0
    news: asyncio.Event = field(default_factory=asyncio.Event)

    def change(self) -> None:
        self.version += 1
        self.changed[self.version] = self.version % LISTED
        self._wake()

    def _wake(self) -> None:
        self.news.set()
        self.news = asyncio.Event()

    def go_down(self) -> None:
        self._wake()

    def is_down(self, now: float) -> bool:
        return self.down[0] <= now < self.down[1]

    def entries(self, since: int | None) -> list[int]:
        if since is None or since > self.version:
            return list(range(LISTED))
        return sorted({server for version, server in self.changed.items() if version > since})

    async def handle(self, since: int | None, hold: float, continued: bool) -> tuple[int, bytes]:
        loop = asyncio.get_running_loop()
        begun = loop.time()
        if self.is_down(begun):
            await asyncio.sleep(MOST_WAIT)
            return BUSY, b""
        if not continued or since != self.version:
            if self.free_at - begun > MOST_WAIT:
                self.turned_away += 1
                await asyncio.sleep(TURNED_AWAY_AFTER)
                return BUSY, b""
            self.free_at = max(begun, self.free_at) + self.line * (CALL_LINES + len(self.entries(since)))
            await asyncio.sleep(self.free_at - begun)
        while since == self.version and not self.is_down(loop.time()):
            left = begun + hold - loop.time()
            if left <= LEAST_WAIT:
                break
            await asyncio.wait([loop.create_task(self.news.wait())], timeout=left)
        if self.is_down(loop.time()):
            return BUSY, b""
        self.answers += 1
        return OK, self._listing(since)

    def _listing(self, since: int | None) -> bytes:
        endpoints = [
            {"name": f"s-{server}", "address": f"10.1.0.{server}:80", "status": "Ready"}
            for server in self.entries(since)
        ]
        whole = since is None or since > self.version
        return json.dumps({"index": self.version, "snapshot": whole, "endpoints": endpoints}).encode()


class ModelChannel:
    """What a client of discovery takes for its connection."""

    def __init__(self, service: Service) -> None:
        self.service = service
        self.request_sent = False
        self.watched: tuple[Any, float] = (None, -math.inf)  # the address of the last watch, and its answer

    def close(self) -> None:
        self.watched = (None, -math.inf)

    async def get(self, at: Any, target: str, timeout: float) -> tuple[int, bytes]:
        loop = asyncio.get_running_loop()
        self.request_sent = True
        query = parse_qs(target.partition("?")[2])
        since = int(query["from"][0]) if "from" in query else None
        hold = float(query.get("hold_ms", ["0"])[0]) / 1000
        continued = self.watched[0] == at and loop.time() - self.watched[1] <= MAX_WATCH_GAP
        async with asyncio.timeout(timeout):
            answer = await self.service.handle(since, hold, continued)
        self.watched = (at if since is not None and answer[0] == OK else None, loop.time())
        return answer


@dataclass(slots=True)
class Instance:
    """One proxy's client of discovery and its decision module."""

    number: int
    instances: int
    seed: int
    waits: list[float] = field(default_factory=list)  # s from a start or a move to the first list after it
    without_list: float = 0.0  # s in which it may not send
    longest: float = 0.0  # s of that on end
    asked_at: float | None = None
    unusable_since: float | None = None
    balancer: Balancer = field(init=False)
    discovery: net.DiscoveryClient = field(init=False)

    def start(self) -> None:
        """A new process, with the list of the beginning."""
        now = asyncio.get_running_loop().time()
        cls = api.RequestClass("read", worth=1, aim=0.2, deadline=0.5, late_worth=0.5)
        settings = api.Settings(
            classes=[cls], zone="a", balancers=self.instances // STAGES, stages=STAGES,
            stage=self.number % STAGES, me=self.number // STAGES, ask_for_list=True, notified_after=NOTIFIED_AFTER,
        )  # fmt: skip
        self.seed += 1
        self.balancer = Balancer(settings, self.seed)
        self.discovery = net.DiscoveryClient(
            FIRST, 0, self._on_list, self._on_failed, Random(self.seed), on_evidence=self._feed,
            instances=self.instances,
        )  # fmt: skip
        self.asked_at = now
        entry = api.ServerEntry(1, zone="a", cell=0)
        self._feed(api.ServerList(api.ListKind.SAVED, [entry]))

    def move(self, at: Any) -> None:
        self.asked_at = asyncio.get_running_loop().time()
        self.discovery.move(at)

    def _on_list(self, told: Listing) -> None:
        if self.asked_at is not None:
            self.waits.append(asyncio.get_running_loop().time() - self.asked_at)
            self.asked_at = None
        kind = api.ListKind.FULL if told.full else api.ListKind.INCREMENTAL
        entries = [listed.entry for listed in told.backends]
        self._feed(
            api.ServerList(
                kind, entries, told.version, told.written_after, told.ends_watch, service_time=told.queue_time
            )
        )

    def _on_failed(self) -> None:
        self._feed(api.ServerList(api.ListKind.FAILED, failure=self.discovery.last_failure))

    def _feed(self, event: api.Event) -> None:
        for action in self.balancer.handle(asyncio.get_running_loop().time(), [event]):
            if isinstance(action, api.Watch):
                self.discovery.watch(action.on)

    def tick(self) -> None:
        now = asyncio.get_running_loop().time()
        self._feed(api.Timer(1))
        if self.balancer.list_lease.valid(now):
            self.unusable_since = None
            return
        if self.unusable_since is None:
            self.unusable_since = now
        self.without_list += TICK
        self.longest = max(self.longest, now - self.unusable_since)


@dataclass(frozen=True, slots=True)
class Day:
    """What happens to the fleet; times in s."""

    proxies: int
    round: float  # in which discovery answers every proxy once, with nothing new
    end: float = 45.0
    move_at: float | None = None
    restarts: int = 0  # of these proxies, one after the other from the move or the return on
    down: tuple[float, float] = (math.inf, math.inf)
    seed: int = 1


MOVES_FASTER = 0.6  # share of a round in which all proxies are told of the new address
QUIET = 10.0  # s at the beginning after which what happens is counted


@dataclass(frozen=True, slots=True)
class Outcome:
    """Times in s: to the first list after each move and start, and without a list."""

    median_wait: float
    last_wait: float
    turned_away: int
    without_list: float  # of all proxies together
    longest_without: float
    never: int  # proxies still without it at the end


@contextmanager
def _simulated(loop: SimulatedLoop, service: Service) -> Iterator[None]:
    """The client's clock and connections are the model's meanwhile."""
    names = vars(net)
    before = {name: names[name] for name in ("time", "Channel", "log")}
    names["time"] = SimpleNamespace(monotonic=loop.time)
    names["Channel"] = lambda: ModelChannel(service)
    names["log"] = SimpleNamespace(info=_ignore, warning=_ignore)
    try:
        yield
    finally:
        names.update(before)


def _ignore(event: str, **values: object) -> None:
    pass


def play(day: Day) -> Outcome:
    """One day of a whole fleet, the same for the same arguments."""
    loop = SimulatedLoop()
    service = Service(day.round / day.proxies / CALL_LINES, day.down)
    try:
        with _simulated(loop, service):
            return loop.run_until_complete(_play(day, service))
    finally:
        loop.close()


async def _play(day: Day, service: Service) -> Outcome:
    loop = asyncio.get_running_loop()
    random = Random(day.seed)
    fleet = [Instance(number, day.proxies, day.seed * 10**6 + 1000 * number) for number in range(day.proxies)]
    for instance in fleet:
        loop.call_at(random.random(), instance.start)
        loop.call_at(1.0 + TICK * random.random(), _tick, instance)
        if day.down[1] < day.end:
            loop.call_at(day.down[1], _lost, instance)
    for second in range(int(QUIET), int(day.end)):
        loop.call_at(float(second), _change, service)
    loop.call_at(min(day.down[0], day.end + 1.0), service.go_down)
    begun = day.move_at if day.move_at is not None else min(day.down[1], day.end)
    restarted = random.sample(fleet, day.restarts)
    for place, instance in enumerate(restarted):
        loop.call_at(begun + place * day.round / day.proxies, _restart, instance)
    if day.move_at is not None:
        for place, instance in enumerate(random.sample(fleet, len(fleet))):
            at = day.move_at + MOVES_FASTER * day.round * place / day.proxies
            loop.call_at(at, instance.move, SECOND)
    await asyncio.sleep(QUIET)
    before = service.turned_away
    for instance in fleet:
        instance.waits, instance.without_list, instance.longest = [], 0.0, 0.0
    await asyncio.sleep(day.end - QUIET)
    waits = [wait for instance in fleet for wait in instance.waits]
    outcome = Outcome(
        median(waits) if waits else math.nan, max(waits, default=math.nan), service.turned_away - before,
        sum(instance.without_list for instance in fleet), max(instance.longest for instance in fleet),
        sum(instance.asked_at is not None for instance in fleet),
    )  # fmt: skip
    for instance in fleet:
        instance.discovery.stop()
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)
    return outcome


def _change(service: Service) -> None:
    if not service.is_down(asyncio.get_running_loop().time()):
        service.change()


def _lost(instance: Instance) -> None:
    """Discovery is back, and this instance has heard nothing of it."""
    instance.asked_at = asyncio.get_running_loop().time()


def _tick(instance: Instance) -> None:
    instance.tick()
    asyncio.get_running_loop().call_later(TICK, _tick, instance)


def _restart(instance: Instance) -> None:
    """A new process asks the address of its own file, which by now is the new one where there is one."""
    at = instance.discovery.address
    instance.discovery.stop()
    instance.start()
    instance.discovery.address = at


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--proxies", type=int, nargs="+", default=[20, 60, 200])
    parser.add_argument("--round", type=float, default=5.0, help="s in which discovery answers all once")
    parser.add_argument("--seed", type=int, default=1)
    asked = parser.parse_args()
    print("day      proxies  first list: median, last s  never  turned away  s without a list: all, longest")
    for proxies in asked.proxies:
        restarts = proxies // 5
        days = {
            "move": Day(proxies, asked.round, move_at=20.0, restarts=restarts, seed=asked.seed),
            "return": Day(proxies, asked.round, restarts=restarts, down=(15.0, 23.0), seed=asked.seed),
            "long": Day(proxies, asked.round, end=110.0, down=(15.0, 75.0), seed=asked.seed),
        }
        for name, day in days.items():
            told = play(day)
            print(
                f"{name:8} {proxies:7}  {told.median_wait:18.2f}, {told.last_wait:6.2f}  {told.never:5}"
                f"  {told.turned_away:11}  {told.without_list:22.1f}, {told.longest_without:7.1f}"
            )


if __name__ == "__main__":
    main()
