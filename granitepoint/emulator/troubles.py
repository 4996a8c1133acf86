"""Fault injection: starts and ends the faults of a day on servers, lists, proxies and clients."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from granitepoint.emulator import day as days
from granitepoint.emulator.instance import Instance
from granitepoint.emulator.server import Server

if TYPE_CHECKING:
    from granitepoint.emulator.world import World

DrainingFault = days.Roll | days.Shrink
TemporaryFault = days.FastErrors | days.Hang | days.HeavyTail | days.StaleDiscovery | days.Burst


class FaultInjector:
    """Schedules the faults of a day; `random` chooses the affected servers."""

    def __init__(self, world: World, random: Random) -> None:
        self.world, self.loop, self.random = world, world.loop, random

    def start(self) -> None:
        """Schedule all faults of the day."""
        for fault in self.world.day.troubles:
            self.loop.call_at(fault.at_s, self._start_fault, fault)

    def _start_fault(self, fault: days.Fault) -> None:
        self._record_event(f"{fault.__struct_config__.tag} begins")
        if isinstance(fault, DrainingFault):
            self._schedule_drains(fault)
        elif isinstance(fault, days.ZoneLoss):
            self._start_zone_loss(fault)
        else:
            affected: list[Server] = []
            if isinstance(fault, days.FastErrors | days.Hang):
                affected = self._choose_servers(fault.tier, fault.servers)
            incarnations = [(server, server.incarnation) for server in affected]
            self._apply(fault, affected, on=True)
            self.loop.call_at(self.loop.now + fault.for_s, self._end_fault, (fault, incarnations))

    def _end_fault(self, argument: tuple[TemporaryFault, list[tuple[Server, int]]]) -> None:
        fault, incarnations = argument
        self._apply(
            fault,
            [server for server, incarnation in incarnations if server.incarnation == incarnation],
            on=False,
        )
        self._record_event(f"{fault.__struct_config__.tag} ends")

    def _record_event(self, what: str) -> None:
        self.world.tally.record_event(self.loop.now, what)

    def _choose_servers(self, tier: int, count: int) -> list[Server]:
        running = [server for server in self.world.servers_by_tier[tier] if server.up and not server.draining]
        return self.random.sample(running, min(count, len(running)))

    # -- servers that stop, and their replacements
    def _schedule_drains(self, fault: DrainingFault) -> None:
        server_count = self.world.tiers[fault.tier].servers
        batch_size = max(1, round(fault.batch * server_count)) if isinstance(fault, days.Roll) else 1
        chosen = self._choose_servers(fault.tier, max(1, round(fault.part * server_count)))
        offsets = range(0, len(chosen), batch_size)
        for offset in offsets:
            due = self.loop.now + fault.for_s * offset / batch_size / len(offsets)
            is_surge = isinstance(fault, days.Roll) and fault.surge
            callback = self._start_replacements if is_surge else self._drain
            self.loop.call_at(due, callback, (fault, chosen[offset : offset + batch_size]))

    def _start_replacements(self, argument: tuple[DrainingFault, list[Server]]) -> None:
        for server in argument[1]:
            if server.up and not server.draining:
                self.world.add_server(server.depth, server.zone, server.cell, server.speed)
        discovery = self.world.day.discovery
        self.loop.call_at(self.loop.now + discovery.add_s + discovery.period_s, self._drain, argument)

    def _drain(self, argument: tuple[DrainingFault, list[Server]]) -> None:
        fault, servers = argument
        for server in servers:
            if server.up and not server.draining:
                server.drain(fault.drain_s)
                self.world.registries[server.depth].on_draining(server)
                self.loop.call_at(self.loop.now + fault.drain_s, self._end_drain, (fault, server))

    def _end_drain(self, argument: tuple[DrainingFault, Server]) -> None:
        fault, server = argument
        if not server.draining:
            return  # it has been stopped in the meantime, by a zone loss or a crash while cold
        self.world.stop(server, silent=False)
        if isinstance(fault, days.Roll) and not fault.surge:
            self.world.add_server(server.depth, server.zone, server.cell, server.speed)

    def _start_zone_loss(self, fault: days.ZoneLoss) -> None:
        world = self.world
        servers = [server for server in world.servers.values() if server.zone == fault.zone and server.up]
        proxies = [proxy for proxy in world.proxies if proxy.zone == fault.zone and proxy.alive]
        for server in servers:
            world.stop(server, silent=True)
        for proxy in proxies:
            proxy.terminate(silent=True)
            world.front.on_proxy_lost(proxy)
        self._record_event(f"{len(servers)} servers and {len(proxies)} proxies are silent")
        self.loop.call_at(self.loop.now + fault.for_s, self._end_zone_loss, (servers, proxies))

    def _end_zone_loss(self, argument: tuple[list[Server], list[Instance]]) -> None:
        servers, proxies = argument
        for server in servers:
            self.world.start(server)
        for proxy in proxies:
            proxy.start()
            self.world.front.on_proxy_back(proxy)
        self._record_event("the zone is back, its servers cold")

    # -- faults that start and end
    def _apply(self, fault: TemporaryFault, affected: list[Server], on: bool) -> None:
        world = self.world
        if isinstance(fault, days.FastErrors):
            for server in affected:
                server.error_share = fault.share if on else 0.0
        elif isinstance(fault, days.Hang):
            for server in affected:
                server.hang(on)
        elif isinstance(fault, days.HeavyTail):
            if on:
                world.clients.heavy_tails[fault.cls, fault.tier] = (fault.share, fault.times)
            else:
                world.clients.heavy_tails.pop((fault.cls, fault.tier), None)
        elif isinstance(fault, days.StaleDiscovery):
            for registry in world.registries:
                registry.extra_delay = fault.behind_s if on else 0.0
        else:
            world.clients.burst_factor = fault.times if on else 1.0
