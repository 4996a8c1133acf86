"""The troubles of an experiment, carried out on a running fleet, and what is to be seen of each."""

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
    RegionCut,
    Restarts,
    Fault,
    ZoneLoss,
)
from granitepoint.fleet.fleet import Fleet


@dataclass(frozen=True, slots=True)
class Landmark:
    """A version of a list that is to come into force: at whose proxies, and counted from when."""

    label: str
    service: int
    version: int
    since: float  # monotonic
    zones: frozenset[str]


class Troubles:
    """Carries out one experiment's troubles; remembers what happened when."""

    def __init__(self, fleet: Fleet, began: float, note: Callable[[str, dict[str, Any]], None]) -> None:
        self.fleet, self.began, self.note = fleet, began, note
        self.landmarks: list[Landmark] = []
        self.every_zone = frozenset(fleet.experiment.backends.zones)
        self.marks = 0

    async def run(self, troubles: Iterable[Fault]) -> None:
        """Until the last of them is over."""
        kinds: dict[type, Callable[[Any], Coroutine[Any, Any, None]]] = {
            Change: self.change,
            Restarts: self.restarts,
            Crash: self.crash,
            DiscoveryOutage: self.discovery_outage,
            ZoneLoss: self.zone_loss,
            RegionCut: self.region_cut,
        }
        async with asyncio.TaskGroup() as group:
            for trouble in troubles:
                group.create_task(kinds[type(trouble)](trouble))

    async def until(self, at_s: float) -> None:
        await asyncio.sleep(max(0.0, self.began + at_s - time.monotonic()))

    def since_ms(self) -> int:
        return round(time.time() * 1000)

    async def tell_list(
        self,
        label: str,
        names: Iterable[str],
        since: float | None = None,
        zones: frozenset[str] | None = None,
        **changes: Any,
    ) -> None:
        """One change for each service that these backends belong to."""
        by_service: dict[int, list[str]] = {}
        for name in names:
            by_service.setdefault(self.fleet.backends[name].service, []).append(name)
        for service, group in by_service.items():
            told = await self.fleet.send_to_discovery("change", group, service=service, **changes)
            at = told["at"] if since is None else since
            self.landmarks.append(Landmark(label, service, told["version"], at, zones or self.every_zone))

    def some(self, count: int) -> list[str]:
        """Backends of all services in turn, and of each service the first."""
        services = self.fleet.experiment.backends.services
        return [f"b{number % services}-{number // services}" for number in range(count)]

    def of_zone(self, zone: str) -> tuple[list[str], list[str]]:
        """Its backends and proxies."""
        backends = [name for name, plan in self.fleet.backends.items() if plan.zone == zone]
        return backends, [name for name, plan in self.fleet.proxies.items() if plan.zone == zone]

    # each trouble
    async def change(self, trouble: Change) -> None:
        for number in range(trouble.times):
            await self.until(trouble.at_s + number * trouble.every_s)
            await self.tell_list("change", self.some(trouble.entries), weight=2.0 - number % 2)

    async def restarts(self, trouble: Restarts) -> None:
        self.note("restarts", {"count": trouble.count, "over_s": trouble.over_s})
        spacing = trouble.over_s / trouble.count
        async with asyncio.TaskGroup() as group:
            for number, name in enumerate(self.some(trouble.count)):
                at_s = trouble.at_s + number * spacing
                group.create_task(self._restart(name, at_s, trouble.drain_s, trouble.down_s, trouble.proxies))

    async def _restart(self, name: str, at_s: float, drain: float, down: float, proxies: bool) -> None:
        await self.until(at_s)
        mates = [f"n0-{name.partition('-')[2]}"] if proxies and name.startswith("b0-") else []
        mates = [mate for mate in mates if mate in self.fleet.proxies and not self.fleet.proxies[mate].real]
        mates += [plan.name for plan in self.fleet.proxies.values() if plan.of_backend == name]
        await self.tell_list("restart: draining", [name], status="Terminating")
        await asyncio.sleep(drain)
        await self.fleet.send_to_holders("stop", [name])
        if mates:
            await self.fleet.send_to_holders("stop", mates)
        await self.tell_list("restart: gone", [name], status="Gone")
        await asyncio.sleep(down)
        if mates:
            await self.fleet.send_to_holders("start", mates)
        await self.fleet.send_to_holders("start", [name])
        await self.tell_list("restart: back", [name], status="Ready", since_ms=self.since_ms())

    async def crash(self, trouble: Crash) -> None:
        await self.until(trouble.at_s)
        names = self.some(trouble.count)
        self.note("crash", {"backends": len(names)})
        await self.fleet.send_to_holders("stop", names)
        await asyncio.sleep(min(trouble.notice_s, trouble.for_s))
        await self.tell_list("crash: gone", names, status="Gone")
        await self.until(trouble.at_s + trouble.for_s)
        await self.fleet.send_to_holders("start", names)
        await self.tell_list("crash: back", names, status="Ready", since_ms=self.since_ms())

    async def discovery_outage(self, trouble: DiscoveryOutage) -> None:
        """A change is made while it is down, to be told once it is back."""
        await self.until(trouble.at_s)
        await self.fleet.send_to_discovery("down")
        self.note("discovery is down", {})
        await self.until(trouble.at_s + trouble.for_s)
        before = len(self.landmarks)
        await self.tell_list("outage: change", self.some(1), weight=2.0)
        up = (await self.fleet.send_to_discovery("up"))["at"]
        self._count_from(before, up)
        self.note("discovery is back", {})

    def _count_from(self, first: int, since: float) -> None:
        for place in range(first, len(self.landmarks)):
            mark = self.landmarks[place]
            self.landmarks[place] = Landmark(mark.label, mark.service, mark.version, since, mark.zones)

    async def zone_loss(self, trouble: ZoneLoss) -> None:
        await self.until(trouble.at_s)
        backends, proxies = self.of_zone(trouble.zone)
        others = self.every_zone - {trouble.zone}
        await asyncio.gather(
            self.fleet.send_to_holders("cut", backends),
            self.fleet.send_to_holders("stop", proxies),
            self.fleet.send_to_discovery("cut", [trouble.zone]),
        )
        self.note("a zone is lost", {"backends": len(backends), "proxies": len(proxies)})
        await asyncio.sleep(min(trouble.notice_s, trouble.for_s))
        await self.tell_list("zone: gone", backends, zones=others, status="Gone")
        await self.until(trouble.at_s + trouble.for_s)
        await self.fleet.send_to_holders("stop", backends)
        await self.fleet.send_to_discovery("heal")
        await self.fleet.send_to_holders("start", proxies)
        await self.fleet.send_to_holders("start", backends)
        await self.tell_list("zone: back", backends, status="Ready", since_ms=self.since_ms())
        self.note("the zone is back, cold", {})

    async def region_cut(self, trouble: RegionCut) -> None:
        """Discovery stands in the first region. One change is made meanwhile, one at the heal."""
        regions = self.fleet.experiment.regions
        await self.until(trouble.at_s)
        cut = []
        for region, zones in enumerate(regions):
            others = [number for number in range(len(regions)) if number != region]
            names = [name for name, plan in self.fleet.backends.items() if plan.zone in zones]
            cut.append(partial(self.fleet.send_to_holders, names=names, regions=others))
        far = [zone for zones in regions[1:] for zone in zones]
        await asyncio.gather(*(one("cut") for one in cut), self.fleet.send_to_discovery("cut", far))
        self.note("the regions are cut", {})
        await self.until(trouble.at_s + trouble.for_s / 2)
        near = frozenset(regions[0])
        await self.tell_list("cut: change, first region", self.some(1), zones=near, weight=2.0)
        version = self.landmarks[-1]
        await self.until(trouble.at_s + trouble.for_s)
        await asyncio.gather(*(one("heal") for one in cut))
        healed = (await self.fleet.send_to_discovery("heal"))["at"]
        self.landmarks.append(
            Landmark("cut: change, others after the heal", 0, version.version, healed, frozenset(far))
        )
        self.note("the regions are healed", {})


def in_force_after(
    landmark: Landmark, in_force: dict[int, float], starts: Iterable[float] = ()
) -> float | None:
    """Seconds until a proxy had this version or a later one, counted from its own start where it started
    later; None: never."""
    times = [at for version, at in in_force.items() if version >= landmark.version]
    if not times:
        return None
    had = min(times)
    since = max([landmark.since, *(start for start in starts if start <= had)])
    return max(0.0, had - since)
