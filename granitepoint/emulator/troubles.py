"""Troubles by time: what each does to servers, lists, proxies and clients, and undoes."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from granitepoint.emulator import day as days
from granitepoint.emulator.instance import Instance
from granitepoint.emulator.server import Server

if TYPE_CHECKING:
    from granitepoint.emulator.world import World

Going = days.Roll | days.Shrink
Passing = days.FastErrors | days.Hang | days.HeavyTail | days.StaleDiscovery | days.Burst


class Troubles:
    def __init__(self, world: World, random: Random) -> None:
        self.world, self.loop, self.random = world, world.loop, random

    def begin(self) -> None:
        """Plan them all."""
        for trouble in self.world.day.troubles:
            self.loop.at(trouble.at_s, self._begin, trouble)

    def _begin(self, trouble: days.Trouble) -> None:
        self._say(f"{trouble.__struct_config__.tag} begins")
        if isinstance(trouble, Going):
            self._plan(trouble)
        elif isinstance(trouble, days.ZoneLoss):
            self._lose_zone(trouble)
        else:
            struck: list[Server] = []
            if isinstance(trouble, days.FastErrors | days.Hang):
                struck = self._some(trouble.tier, trouble.servers)
            lives = [(server, server.life) for server in struck]
            self._set(trouble, struck, on=True)
            self.loop.at(self.loop.now + trouble.for_s, self._undo, (trouble, lives))

    def _undo(self, about: tuple[Passing, list[tuple[Server, int]]]) -> None:
        trouble, lives = about
        self._set(trouble, [server for server, life in lives if server.life == life], on=False)
        self._say(f"{trouble.__struct_config__.tag} ends")

    def _say(self, what: str) -> None:
        self.world.tally.saw(self.loop.now, what)

    def _some(self, tier: int, count: int) -> list[Server]:
        running = [server for server in self.world.by_tier[tier] if server.up and not server.draining]
        return self.random.sample(running, min(count, len(running)))

    # -- servers that go, and that come for them
    def _plan(self, trouble: Going) -> None:
        size = self.world.tiers[trouble.tier].servers
        batch = max(1, round(trouble.batch * size)) if isinstance(trouble, days.Roll) else 1
        chosen = self._some(trouble.tier, max(1, round(trouble.part * size)))
        places = range(0, len(chosen), batch)
        for place in places:
            due = self.loop.now + trouble.for_s * place / batch / len(places)
            surges = isinstance(trouble, days.Roll) and trouble.surge
            step = self._start_for if surges else self._drain
            self.loop.at(due, step, (trouble, chosen[place : place + batch]))

    def _start_for(self, about: tuple[Going, list[Server]]) -> None:
        for server in about[1]:
            if server.up and not server.draining:
                self.world.add_server(server.depth, server.zone, server.cell, server.speed)
        sizes = self.world.day.discovery
        self.loop.at(self.loop.now + sizes.add_s + sizes.period_s, self._drain, about)

    def _drain(self, about: tuple[Going, list[Server]]) -> None:
        trouble, servers = about
        for server in servers:
            if server.up and not server.draining:
                server.drain(trouble.drain_s)
                self.world.registries[server.depth].drains(server)
                self.loop.at(self.loop.now + trouble.drain_s, self._end, (trouble, server))

    def _end(self, about: tuple[Going, Server]) -> None:
        trouble, server = about
        if not server.draining:
            return  # a further trouble ended it
        self.world.stop(server, silent=False)
        if isinstance(trouble, days.Roll) and not trouble.surge:
            self.world.add_server(server.depth, server.zone, server.cell, server.speed)

    def _lose_zone(self, trouble: days.ZoneLoss) -> None:
        world = self.world
        servers = [server for server in world.servers.values() if server.zone == trouble.zone and server.up]
        proxies = [proxy for proxy in world.proxies if proxy.zone == trouble.zone and proxy.alive]
        for server in servers:
            world.stop(server, silent=True)
        for proxy in proxies:
            proxy.kill(silent=True)
            world.front.lost(proxy)
        self._say(f"{len(servers)} servers and {len(proxies)} proxies are silent")
        self.loop.at(self.loop.now + trouble.for_s, self._regain_zone, (servers, proxies))

    def _regain_zone(self, about: tuple[list[Server], list[Instance]]) -> None:
        servers, proxies = about
        for server in servers:
            self.world.start(server)
        for proxy in proxies:
            proxy.start()
            self.world.front.back(proxy)
        self._say("the zone is back, its servers cold")

    # -- what is done and undone
    def _set(self, trouble: Passing, struck: list[Server], on: bool) -> None:
        world = self.world
        if isinstance(trouble, days.FastErrors):
            for server in struck:
                server.fail_share = trouble.share if on else 0.0
        elif isinstance(trouble, days.Hang):
            for server in struck:
                server.hang(on)
        elif isinstance(trouble, days.HeavyTail):
            if on:
                world.clients.heavy[trouble.cls, trouble.tier] = (trouble.share, trouble.times)
            else:
                world.clients.heavy.pop((trouble.cls, trouble.tier), None)
        elif isinstance(trouble, days.StaleDiscovery):
            for registry in world.registries:
                registry.behind = trouble.behind_s if on else 0.0
        else:
            world.clients.burst = trouble.times if on else 1.0
