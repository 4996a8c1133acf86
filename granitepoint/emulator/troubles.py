"""Troubles by time: what each does to servers, lists, proxies and clients, and undoes."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING

from granitepoint.emulator import day as days
from granitepoint.emulator.server import Server

if TYPE_CHECKING:
    from granitepoint.emulator.world import World


class Troubles:
    def __init__(self, world: World, random: Random) -> None:
        self.world, self.loop, self.random = world, world.loop, random

    def begin(self) -> None:
        """Plan them all."""
        for trouble in self.world.day.troubles:
            self.loop.at(trouble.at_s, self._begin, trouble)

    def _begin(self, trouble: days.Trouble) -> None:
        kind = trouble.__struct_config__.tag
        self._say(f"{kind} begins")
        if isinstance(trouble, days.Roll | days.Shrink):
            self._step_through(trouble)
        elif isinstance(trouble, days.ZoneLoss):
            self._lose_zone(trouble)
        else:
            undo = self._strike(trouble)
            self._later(trouble.for_s, lambda: (undo(), self._say(f"{kind} ends")))

    def _say(self, what: str) -> None:
        self.world.tally.saw(self.loop.now, what)

    def _later(self, delay: float, what: Callable[[], object]) -> None:
        self.loop.at(self.loop.now + delay, lambda _: what())

    def _some(self, tier: int, count: int) -> list[Server]:
        running = [server for server in self.world.by_tier[tier] if server.up and not server.draining]
        return self.random.sample(running, min(count, len(running)))

    # -- servers that go, and that come for them
    def _step_through(self, trouble: days.Roll | days.Shrink) -> None:
        size = len(self.world.by_tier[trouble.tier])
        count = max(1, round(trouble.part * size))
        batch = max(1, round(trouble.batch * size)) if isinstance(trouble, days.Roll) else 1
        chosen = self._some(trouble.tier, count)
        batches = [chosen[place : place + batch] for place in range(0, len(chosen), batch)]
        for number, servers in enumerate(batches):
            self._later(trouble.for_s * number / len(batches), lambda servers=servers: self._drain(trouble, servers))

    def _drain(self, trouble: days.Roll | days.Shrink, servers: list[Server]) -> None:
        for server in servers:
            if server.up and not server.draining:
                server.drain(trouble.drain_s)
                self.world.registries[server.depth].drains(server)
                self._later(trouble.drain_s, lambda server=server: self._end(trouble, server))

    def _end(self, trouble: days.Roll | days.Shrink, server: Server) -> None:
        if not server.draining:
            return  # a further trouble ended it
        self.world.stop(server, silent=False)
        if isinstance(trouble, days.Roll):
            self.world.add_server(server.depth, server.zone, server.cell, server.speed)

    def _lose_zone(self, trouble: days.ZoneLoss) -> None:
        world = self.world
        servers = [s for s in world.servers.values() if s.zone == trouble.zone and s.up]
        proxies = [p for p in world.proxies if p.zone == trouble.zone and p.alive]
        for server in servers:
            world.stop(server, silent=True)
        for proxy in proxies:
            proxy.kill()
            world.front.lost(proxy)
        self._say(f"{len(servers)} servers and {len(proxies)} proxies are silent")
        self._later(trouble.for_s, lambda: self._regain(servers, proxies))

    def _regain(self, servers: list[Server], proxies: list[object]) -> None:
        for server in servers:
            self.world.start(server)
        for proxy in self.world.proxies:
            if proxy in proxies:
                proxy.start()
                self.world.front.back(proxy)
        self._say("the zone is back, its servers cold")

    # -- what is done and undone
    def _strike(self, trouble: days.Trouble) -> Callable[[], object]:
        world = self.world
        if isinstance(trouble, days.FastErrors):
            return self._set_each(self._some(trouble.tier, trouble.servers), "fail_share", trouble.share)
        if isinstance(trouble, days.Hang):
            struck = [(server, server.life) for server in self._some(trouble.tier, trouble.servers)]
            for server, _ in struck:
                server.hang(True)
            return lambda: [server.hang(False) for server, life in struck if server.life == life]
        if isinstance(trouble, days.HeavyTail):
            key = (trouble.cls, trouble.tier)
            world.clients.heavy[key] = (trouble.share, trouble.times)
            return lambda: world.clients.heavy.pop(key, None)
        if isinstance(trouble, days.StaleDiscovery):
            return self._set_each(list(world.registries), "behind", trouble.behind_s)
        if isinstance(trouble, days.Burst):
            return self._set_each([world.clients], "burst", trouble.times)
        raise TypeError(f"not a trouble that is undone: {trouble!r}")

    @staticmethod
    def _set_each(owners: list[object] | list[Server], name: str, value: float) -> Callable[[], object]:
        before = [getattr(owner, name) for owner in owners]
        for owner in owners:
            setattr(owner, name, value)
        return lambda: [setattr(owner, name, held) for owner, held in zip(owners, before, strict=True)]
