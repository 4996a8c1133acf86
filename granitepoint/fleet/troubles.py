"""Fault injection: injects the faults of an experiment (its `troubles`) into a running fleet.

It also records the versions of the server lists that each fault creates, so that the time until every proxy
has applied them can be measured.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass
from functools import partial
from typing import Any

from granitepoint.fleet.experiment import (
    Change,
    Crash,
    DiscoveryOutage,
    Fault,
    RegionCut,
    Restarts,
    ZoneLoss,
)
from granitepoint.fleet.fleet import Fleet


@dataclass(frozen=True, slots=True)
class TrackedVersion:
    """A version of a service's list that the proxies of some zones are expected to apply."""

    label: str  # kind of change, as in the "in force" events of the results
    service: int
    version: int
    counted_from: float  # monotonic time from which the time until it is applied counts
    zones: frozenset[str]  # of the proxies that are expected to apply it


class FaultInjector:
    """Injects the faults of one experiment at their times."""

    def __init__(
        self, fleet: Fleet, started_at: float, record_event: Callable[[str, dict[str, Any]], None]
    ) -> None:
        self.fleet, self.started_at, self.record_event = fleet, started_at, record_event
        self.tracked_versions: list[TrackedVersion] = []
        self.all_zones = frozenset(fleet.experiment.backends.zones)
        self.marks = 0  # not used

    async def run(self, faults: Iterable[Fault]) -> None:
        """Injects all faults, concurrently, and returns when the last of them is over."""
        handlers: dict[type, Callable[[Any], Coroutine[Any, Any, None]]] = {
            Change: self.change,
            Restarts: self.restarts,
            Crash: self.crash,
            DiscoveryOutage: self.discovery_outage,
            ZoneLoss: self.zone_loss,
            RegionCut: self.region_cut,
        }
        async with asyncio.TaskGroup() as group:
            for fault in faults:
                group.create_task(handlers[type(fault)](fault))

    async def sleep_until(self, at_s: float) -> None:
        """Sleeps until `at_s` seconds after the start of the measurement."""
        await asyncio.sleep(max(0.0, self.started_at + at_s - time.monotonic()))

    def now_ms(self) -> int:
        """Returns the wall-clock time in ms, as in the `since_ms` of a listed backend."""
        return round(time.time() * 1000)

    async def change_list(
        self,
        label: str,
        names: Iterable[str],
        counted_from: float | None = None,
        zones: frozenset[str] | None = None,
        **changes: Any,
    ) -> None:
        """Changes these backends in discovery: one new list version for each service that has any of them.

        Each version is tracked (see TrackedVersion); by default, `counted_from` is the time at which the
        version was created, and `zones` are all zones.
        """
        by_service: dict[int, list[str]] = {}
        for name in names:
            by_service.setdefault(self.fleet.backends[name].service, []).append(name)
        for service, group in by_service.items():
            reply = await self.fleet.send_to_discovery("change", group, service=service, **changes)
            start = reply["at"] if counted_from is None else counted_from
            self.tracked_versions.append(
                TrackedVersion(label, service, reply["version"], start, zones or self.all_zones)
            )

    def pick_backends(self, count: int) -> list[str]:
        """Returns the names of `count` backends: the first of each service, then the second of each, etc."""
        services = self.fleet.experiment.backends.services
        return [f"b{number % services}-{number // services}" for number in range(count)]

    def members_of_zone(self, zone: str) -> tuple[list[str], list[str]]:
        """Returns the names of the zone's backends and of its proxies."""
        backends = [name for name, plan in self.fleet.backends.items() if plan.zone == zone]
        return backends, [name for name, plan in self.fleet.proxies.items() if plan.zone == zone]

    # One method for each kind of fault; the classes in experiment.py describe the faults.
    async def change(self, fault: Change) -> None:
        """Changes the weights of some backends `times` times."""
        for number in range(fault.times):
            await self.sleep_until(fault.at_s + number * fault.every_s)
            await self.change_list("change", self.pick_backends(fault.entries), weight=2.0 - number % 2)

    async def restarts(self, fault: Restarts) -> None:
        """Restarts some backends, evenly spread over time."""
        self.record_event("restarts", {"count": fault.count, "over_s": fault.over_s})
        spacing = fault.over_s / fault.count
        async with asyncio.TaskGroup() as group:
            for number, name in enumerate(self.pick_backends(fault.count)):
                at_s = fault.at_s + number * spacing
                group.create_task(self._restart(name, at_s, fault.drain_s, fault.down_s, fault.proxies))

    async def _restart(self, name: str, at_s: float, drain_s: float, down_s: float, proxies: bool) -> None:
        """Restarts a backend and the proxy that carries its calls.

        With `proxies`, a backend of the first service is restarted together with the hollow proxy of that
        service that has the same number.
        """
        await self.sleep_until(at_s)
        companions = [f"n0-{name.partition('-')[2]}"] if proxies and name.startswith("b0-") else []
        companions = [
            companion
            for companion in companions
            if companion in self.fleet.proxies and not self.fleet.proxies[companion].real
        ]
        companions += [plan.name for plan in self.fleet.proxies.values() if plan.of_backend == name]
        await self.change_list("restart: draining", [name], status="Terminating")
        await asyncio.sleep(drain_s)
        await self.fleet.send_to_holders("stop", [name])
        if companions:
            await self.fleet.send_to_holders("stop", companions)
        await self.change_list("restart: gone", [name], status="Gone")
        await asyncio.sleep(down_s)
        if companions:
            await self.fleet.send_to_holders("start", companions)
        await self.fleet.send_to_holders("start", [name])
        await self.change_list("restart: back", [name], status="Ready", since_ms=self.now_ms())

    async def crash(self, fault: Crash) -> None:
        """Kills some backends; discovery removes them from the lists `notice_s` later."""
        await self.sleep_until(fault.at_s)
        names = self.pick_backends(fault.count)
        self.record_event("crash", {"backends": len(names)})
        await self.fleet.send_to_holders("stop", names)
        await asyncio.sleep(min(fault.notice_s, fault.for_s))
        await self.change_list("crash: gone", names, status="Gone")
        await self.sleep_until(fault.at_s + fault.for_s)
        await self.fleet.send_to_holders("start", names)
        await self.change_list("crash: back", names, status="Ready", since_ms=self.now_ms())

    async def discovery_outage(self, fault: DiscoveryOutage) -> None:
        """Stops discovery; a change made right before its return reaches the proxies after the return."""
        await self.sleep_until(fault.at_s)
        await self.fleet.send_to_discovery("down")
        self.record_event("discovery is down", {})
        await self.sleep_until(fault.at_s + fault.for_s)
        first_index = len(self.tracked_versions)
        await self.change_list("outage: change", self.pick_backends(1), weight=2.0)
        up_at = (await self.fleet.send_to_discovery("up"))["at"]
        self._set_counted_from(first_index, up_at)
        self.record_event("discovery is back", {})

    def _set_counted_from(self, first_index: int, counted_from: float) -> None:
        """Replaces `counted_from` of all tracked versions from this index on."""
        for index in range(first_index, len(self.tracked_versions)):
            tracked = self.tracked_versions[index]
            self.tracked_versions[index] = TrackedVersion(
                tracked.label, tracked.service, tracked.version, counted_from, tracked.zones
            )

    async def zone_loss(self, fault: ZoneLoss) -> None:
        """Partitions a zone and kills its proxies; backends and proxies come back as new processes."""
        await self.sleep_until(fault.at_s)
        backends, proxies = self.members_of_zone(fault.zone)
        others = self.all_zones - {fault.zone}
        await asyncio.gather(
            self.fleet.send_to_holders("cut", backends),
            self.fleet.send_to_holders("stop", proxies),
            self.fleet.send_to_discovery("cut", [fault.zone]),
        )
        self.record_event("a zone is lost", {"backends": len(backends), "proxies": len(proxies)})
        await asyncio.sleep(min(fault.notice_s, fault.for_s))
        await self.change_list("zone: gone", backends, zones=others, status="Gone")
        await self.sleep_until(fault.at_s + fault.for_s)
        await self.fleet.send_to_holders("stop", backends)
        await self.fleet.send_to_discovery("heal")
        await self.fleet.send_to_holders("start", proxies)
        await self.fleet.send_to_holders("start", backends)
        await self.change_list("zone: back", backends, status="Ready", since_ms=self.now_ms())
        self.record_event("the zone is back, cold", {})

    async def region_cut(self, fault: RegionCut) -> None:
        """Partitions the regions from each other.

        Discovery is in the first region. One change is made during the partition; the other regions see it
        after the heal.
        """
        regions = self.fleet.experiment.regions
        await self.sleep_until(fault.at_s)
        region_senders = []  # each sends a command to all backends of one region
        for region, zones in enumerate(regions):
            others = [number for number in range(len(regions)) if number != region]
            names = [name for name, plan in self.fleet.backends.items() if plan.zone in zones]
            region_senders.append(partial(self.fleet.send_to_holders, names=names, regions=others))
        far_zones = [zone for zones in regions[1:] for zone in zones]
        await asyncio.gather(
            *(send("cut") for send in region_senders), self.fleet.send_to_discovery("cut", far_zones)
        )
        self.record_event("the regions are cut", {})
        await self.sleep_until(fault.at_s + fault.for_s / 2)
        near_zones = frozenset(regions[0])
        await self.change_list(
            "cut: change, first region", self.pick_backends(1), zones=near_zones, weight=2.0
        )
        tracked = self.tracked_versions[-1]
        await self.sleep_until(fault.at_s + fault.for_s)
        await asyncio.gather(*(send("heal") for send in region_senders))
        healed_at = (await self.fleet.send_to_discovery("heal"))["at"]
        self.tracked_versions.append(
            TrackedVersion(
                "cut: change, others after the heal", 0, tracked.version, healed_at, frozenset(far_zones)
            )
        )
        self.record_event("the regions are healed", {})


def time_until_applied(
    tracked: TrackedVersion, applied_at: dict[int, float], start_times: Iterable[float] = ()
) -> float | None:
    """Returns the seconds until a proxy had applied a version or a later one; None: never.

    If the proxy was started after `tracked.counted_from`, but before it applied the version, they count from
    that start. `applied_at` has the monotonic time for each version that the proxy applied.
    """
    times = [at for version, at in applied_at.items() if version >= tracked.version]
    if not times:
        return None
    first_applied = min(times)
    start = max([tracked.counted_from, *(started for started in start_times if started <= first_applied)])
    return max(0.0, first_applied - start)
