"""Simulates a fleet of proxies that call one discovery service, which handles its calls one after another.

The clients of discovery and the balancers are the real ones; the service, its queue and the clock are models.
The time that a call takes grows with the number of entries in its answer. A call that follows the answer to a
watch within MAX_WATCH_GAP, at the same address, continues that watch: it skips the queue while nothing has
changed. Calls that would wait in the queue for too long are rejected.
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

CALL_COST_ENTRIES = 44  # fixed cost of a call: the time in which this many entries of a list are handled
# A call that would be queued for longer is rejected. During an outage each call fails after this time.
MAX_QUEUE_TIME_S = 2.0
REJECTION_DELAY_S = 0.008  # until a rejected call gets its answer 503
MIN_WAIT_S = 1e-6  # a shorter wait may not advance the simulated clock
TICK_S = 0.2  # interval at which the timer of each instance fires and its list is checked
SERVER_COUNT = 57  # servers in the full list
FIRST_ADDRESS, SECOND_ADDRESS = ("10.0.0.1", 8500), ("10.0.0.2", 8500)
STAGE_COUNT = 3
SERVICE_UNAVAILABLE, OK = 503, 200


class _SimulatedSelector(selectors.SelectSelector):
    """Advances the simulated clock by the time for which the loop would wait."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("the simulation has stopped: no event is scheduled")
        self.now += max(0.0, timeout)
        return []


class SimulatedLoop(asyncio.SelectorEventLoop):
    """An event loop with a simulated clock, which advances only when no callback is ready to run."""

    def __init__(self) -> None:
        self.simulated_selector = _SimulatedSelector()
        super().__init__(self.simulated_selector)

    def time(self) -> float:
        """Simulated seconds since the loop was created."""
        return self.simulated_selector.now


@dataclass(slots=True)
class DiscoveryService:
    """Discovery with one queue for all calls. Times are in seconds."""

    time_per_entry: float  # to handle one entry of a list
    outage: tuple[float, float] = (math.inf, math.inf)  # its start and end
    version: int = 0
    changed_servers: dict[int, int] = field(default_factory=dict)  # the server that each version changed
    queue_free_at: float = 0.0
    rejected_calls: int = 0
    answer_count: int = 0
    wakeup: asyncio.Event = field(default_factory=asyncio.Event)

    def publish_change(self) -> None:
        """Changes one server in a new version of the list."""
        self.version += 1
        self.changed_servers[self.version] = self.version % SERVER_COUNT
        self._wake_watches()

    def _wake_watches(self) -> None:
        self.wakeup.set()
        self.wakeup = asyncio.Event()

    def start_outage(self) -> None:
        """Makes the open watches fail; `outage` has to include the present time."""
        self._wake_watches()

    def is_down(self, now: float) -> bool:
        """Whether there is an outage at this time."""
        return self.outage[0] <= now < self.outage[1]

    def servers_since(self, since_version: int | None) -> list[int]:
        """Returns the servers that changed since a version; all if it is None or newer than the list."""
        if since_version is None or since_version > self.version:
            return list(range(SERVER_COUNT))
        return sorted({server for version, server in self.changed_servers.items() if version > since_version})

    async def handle(self, since_version: int | None, hold: float, continued: bool) -> tuple[int, bytes]:
        """Returns the status code and the body of the answer to a call.

        `hold`: seconds for which a watch may be held. `continued`: the call continues an answered watch.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        if self.is_down(started_at):
            await asyncio.sleep(MAX_QUEUE_TIME_S)
            return SERVICE_UNAVAILABLE, b""
        if not continued or since_version != self.version:
            if self.queue_free_at - started_at > MAX_QUEUE_TIME_S:
                self.rejected_calls += 1
                await asyncio.sleep(REJECTION_DELAY_S)
                return SERVICE_UNAVAILABLE, b""
            self.queue_free_at = max(started_at, self.queue_free_at) + self.time_per_entry * (
                CALL_COST_ENTRIES + len(self.servers_since(since_version))
            )
            await asyncio.sleep(self.queue_free_at - started_at)
        while since_version == self.version and not self.is_down(loop.time()):
            time_left = started_at + hold - loop.time()
            if time_left <= MIN_WAIT_S:
                break
            await asyncio.wait([loop.create_task(self.wakeup.wait())], timeout=time_left)
        if self.is_down(loop.time()):
            return SERVICE_UNAVAILABLE, b""
        self.answer_count += 1
        return OK, self._encode_list(since_version)

    def _encode_list(self, since_version: int | None) -> bytes:
        encoded_entries = [
            {"name": f"s-{server}", "address": f"10.1.0.{server}:80", "status": "Ready"}
            for server in self.servers_since(since_version)
        ]
        full = since_version is None or since_version > self.version
        return json.dumps({"index": self.version, "snapshot": full, "endpoints": encoded_entries}).encode()


class ModelChannel:
    """Replaces the connection of a client of discovery (net.discovery_channel.Channel)."""

    def __init__(self, service: DiscoveryService) -> None:
        self.service = service
        self.request_sent = False
        self.previous_answer_at = -math.inf  # this service answers no call twice
        self.last_watch: tuple[Any, float] = (None, -math.inf)  # its address, and the time of its answer

    def close(self) -> None:
        """Discards the last watch: the next call does not continue it."""
        self.last_watch = (None, -math.inf)

    async def get(self, address: Any, request_target: str, timeout: float) -> tuple[int, bytes]:
        """Calls the service. Raises TimeoutError after `timeout` seconds."""
        loop = asyncio.get_running_loop()
        self.request_sent = True
        query = parse_qs(request_target.partition("?")[2])
        since_version = int(query["from"][0]) if "from" in query else None
        hold = float(query.get("hold_ms", ["0"])[0]) / 1000
        continued = self.last_watch[0] == address and loop.time() - self.last_watch[1] <= MAX_WATCH_GAP
        async with asyncio.timeout(timeout):
            answer = await self.service.handle(since_version, hold, continued)
        self.last_watch = (
            address if since_version is not None and answer[0] == OK else None,
            loop.time(),
        )
        return answer


@dataclass(slots=True)
class Instance:
    """The client of discovery and the balancer of one proxy. Times are in seconds."""

    number: int
    instance_count: int  # of the whole fleet
    seed: int
    # From each start, move or end of an outage to the first list after it.
    list_waits: list[float] = field(default_factory=list)
    time_without_list: float = 0.0  # total time during which it had no list that it could use
    longest_without_list: float = 0.0  # longest such period
    list_awaited_since: float | None = None
    unusable_since: float | None = None
    balancer: Balancer = field(init=False)
    discovery: net.DiscoveryClient = field(init=False)

    def start(self) -> None:
        """Starts a new process that knows an old list."""
        now = asyncio.get_running_loop().time()
        cls = api.RequestClass("read", worth=1, aim=0.2, deadline=0.5, late_worth=0.5)
        settings = api.Settings(
            classes=[cls], zone="a", balancers=self.instance_count // STAGE_COUNT, stages=STAGE_COUNT,
            stage=self.number % STAGE_COUNT, me=self.number // STAGE_COUNT, ask_for_list=True,
            notified_after=NOTIFIED_AFTER,
        )  # fmt: skip
        self.seed += 1
        self.balancer = Balancer(settings, self.seed)
        self.discovery = net.DiscoveryClient(
            FIRST_ADDRESS, 0, self._on_list, self._on_failed, Random(self.seed), on_evidence=self._handle,
            instances=self.instance_count,
        )  # fmt: skip
        self.list_awaited_since = now
        entry = api.ServerEntry(1, zone="a", cell=0)
        self._handle(api.ServerList(api.ListKind.SAVED, [entry]))

    def move(self, address: Any) -> None:
        """Uses another address of discovery."""
        self.list_awaited_since = asyncio.get_running_loop().time()
        self.discovery.move(address)

    def _on_list(self, listing: Listing) -> None:
        if self.list_awaited_since is not None:
            self.list_waits.append(asyncio.get_running_loop().time() - self.list_awaited_since)
            self.list_awaited_since = None
        kind = api.ListKind.FULL if listing.full else api.ListKind.INCREMENTAL
        entries = [backend.entry for backend in listing.backends]
        self._handle(
            api.ServerList(
                kind,
                entries,
                listing.version,
                listing.written_after,
                listing.answers_newest_call,
                service_time=listing.service_time,
            )
        )

    def _on_failed(self) -> None:
        self._handle(api.ServerList(api.ListKind.FAILED, failure=self.discovery.last_failure))

    def _handle(self, event: api.Event) -> None:
        """Passes an event to the balancer, and opens or ends the watch if the balancer says so."""
        for action in self.balancer.handle(asyncio.get_running_loop().time(), [event]):
            if isinstance(action, api.Watch):
                self.discovery.watch(action.on)

    def tick(self) -> None:
        """Runs the timer of the balancer and measures the time without a usable list."""
        now = asyncio.get_running_loop().time()
        self._handle(api.Timer(1))
        if self.balancer.list_lease.valid(now):
            self.unusable_since = None
            return
        if self.unusable_since is None:
            self.unusable_since = now
        self.time_without_list += TICK_S
        self.longest_without_list = max(self.longest_without_list, now - self.unusable_since)


@dataclass(frozen=True, slots=True)
class Day:
    """A scenario. Times are in seconds."""

    proxies: int
    round_length: float  # in which discovery can answer every proxy once if nothing has changed
    end: float = 45.0
    move_at: float | None = None
    # Number of proxies that restart, one after another, from the move on or, without one, from the end of the
    # outage on.
    restarts: int = 0
    outage: tuple[float, float] = (math.inf, math.inf)  # its start and end
    seed: int = 1


# All proxies are moved to the new address within this share of a round, so faster than discovery can answer.
MOVE_ROUND_SHARE = 0.6
WARM_UP_S = 10.0  # results are measured after this time


@dataclass(frozen=True, slots=True)
class Result:
    """What was measured. Times are in seconds.

    A wait is that for the first list after a start, a move or the end of an outage.
    """

    median_wait: float
    last_wait: float
    rejected_calls: int
    time_without_list: float  # sum over all proxies
    longest_without_list: float
    still_waiting: int  # proxies that were waiting for that list at the end


@contextmanager
def _simulated_network(loop: SimulatedLoop, service: DiscoveryService) -> Iterator[None]:
    """Replaces the clock and the connections of the clients of discovery by those of the model."""
    names = vars(net)
    originals = {name: names[name] for name in ("time", "Channel", "log")}
    names["time"] = SimpleNamespace(monotonic=loop.time)
    names["Channel"] = lambda max_answer_bytes: ModelChannel(service)
    names["log"] = SimpleNamespace(debug=_ignore, info=_ignore, warning=_ignore)
    try:
        yield
    finally:
        names.update(originals)


def _ignore(event: str, **values: object) -> None:
    pass


def play(day: Day) -> Result:
    """Simulates a day of a whole fleet. The same arguments give the same result."""
    loop = SimulatedLoop()
    service = DiscoveryService(day.round_length / day.proxies / CALL_COST_ENTRIES, day.outage)
    try:
        with _simulated_network(loop, service):
            return loop.run_until_complete(_play(day, service))
    finally:
        loop.close()


async def _play(day: Day, service: DiscoveryService) -> Result:
    loop = asyncio.get_running_loop()
    random = Random(day.seed)
    fleet = [Instance(number, day.proxies, day.seed * 10**6 + 1000 * number) for number in range(day.proxies)]
    for instance in fleet:
        loop.call_at(random.random(), instance.start)
        loop.call_at(1.0 + TICK_S * random.random(), _tick, instance)
        if day.outage[1] < day.end:
            loop.call_at(day.outage[1], _await_list, instance)
    for second in range(int(WARM_UP_S), int(day.end)):
        loop.call_at(float(second), _publish_change, service)
    loop.call_at(min(day.outage[0], day.end + 1.0), service.start_outage)
    restarts_from = day.move_at if day.move_at is not None else min(day.outage[1], day.end)
    restarting = random.sample(fleet, day.restarts)
    for index, instance in enumerate(restarting):
        loop.call_at(restarts_from + index * day.round_length / day.proxies, _restart, instance)
    if day.move_at is not None:
        for index, instance in enumerate(random.sample(fleet, len(fleet))):
            at = day.move_at + MOVE_ROUND_SHARE * day.round_length * index / day.proxies
            loop.call_at(at, instance.move, SECOND_ADDRESS)
    await asyncio.sleep(WARM_UP_S)
    rejected_in_warm_up = service.rejected_calls
    for instance in fleet:
        instance.list_waits, instance.time_without_list, instance.longest_without_list = [], 0.0, 0.0
    await asyncio.sleep(day.end - WARM_UP_S)
    waits = [wait for instance in fleet for wait in instance.list_waits]
    result = Result(
        median(waits) if waits else math.nan, max(waits, default=math.nan),
        service.rejected_calls - rejected_in_warm_up,
        sum(instance.time_without_list for instance in fleet),
        max(instance.longest_without_list for instance in fleet),
        sum(instance.list_awaited_since is not None for instance in fleet),
    )  # fmt: skip
    for instance in fleet:
        instance.discovery.stop()
    open_tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in open_tasks:
        task.cancel()
    await asyncio.gather(*open_tasks, return_exceptions=True)
    return result


def _publish_change(service: DiscoveryService) -> None:
    if not service.is_down(asyncio.get_running_loop().time()):
        service.publish_change()


def _await_list(instance: Instance) -> None:
    """Starts to measure the wait for a list: discovery is back, and the instance has not noticed that yet."""
    instance.list_awaited_since = asyncio.get_running_loop().time()


def _tick(instance: Instance) -> None:
    instance.tick()
    asyncio.get_running_loop().call_later(TICK_S, _tick, instance)


def _restart(instance: Instance) -> None:
    """Starts a new process, which uses the address in its configuration file: the new one after a move."""
    address = instance.discovery.address
    instance.discovery.stop()
    instance.start()
    instance.discovery.address = address


def main() -> None:
    """Simulates three scenarios (a move, a short and a long outage) and prints a table of the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--proxies", type=int, nargs="+", default=[20, 60, 200])
    parser.add_argument("--round", type=float, default=5.0, help="s in which discovery answers all once")
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    print("day      proxies  first list: median, last s  never  turned away  s without a list: all, longest")
    for proxies in arguments.proxies:
        restarts = proxies // 5
        days = {
            "move": Day(proxies, arguments.round, move_at=20.0, restarts=restarts, seed=arguments.seed),
            "return": Day(
                proxies, arguments.round, restarts=restarts, outage=(15.0, 23.0), seed=arguments.seed
            ),
            "long": Day(proxies, arguments.round, end=110.0, outage=(15.0, 75.0), seed=arguments.seed),
        }
        for name, day in days.items():
            result = play(day)
            print(
                f"{name:8} {proxies:7}  {result.median_wait:18.2f}, {result.last_wait:6.2f}"
                f"  {result.still_waiting:5}  {result.rejected_calls:11}  {result.time_without_list:22.1f}"
                f", {result.longest_without_list:7.1f}"
            )


if __name__ == "__main__":
    main()
