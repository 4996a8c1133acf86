"""The late list of one tier's servers, and discovery, where every instance waits its turn to ask."""

from __future__ import annotations

import math
from random import Random
from typing import TYPE_CHECKING

from granitepoint.interface import ListKind, ServerEntry, ServerState

if TYPE_CHECKING:
    from granitepoint.emulator.instance import Instance
    from granitepoint.emulator.server import Server
    from granitepoint.emulator.world import World


class Desk:
    """The one service that all instances ask: calls are answered in turn, each at the price of its lines."""

    def __init__(self, world: World) -> None:
        self.sizes, self.loop = world.day.discovery, world.loop
        self.free_at = 0.0

    def ask(self, lines: int) -> tuple[float, bool]:
        """When a call that brings so many lines is over, and whether it is answered."""
        now, sizes = self.loop.now, self.sizes
        begin = max(now, self.free_at)
        if begin > now + sizes.timeout_s:
            return now + sizes.timeout_s, False
        self.free_at = begin + (sizes.call_lines + lines) / sizes.lines_per_s
        return self.free_at, True


class Registry:
    """What discovery says of a tier's servers. It knows of processes that run, drain or are gone."""

    def __init__(self, world: World, desk: Desk, random: Random) -> None:
        self.world, self.loop, self.sizes = world, world.loop, world.day.discovery
        self.desk, self.random = desk, random
        self.entries: dict[int, ServerEntry] = {}  # the present version
        self.log: list[ServerEntry] = []  # all changes; a version is a place in it
        self.watchers: dict[int, Instance] = {}
        self.push_due = False
        self.behind = 0.0  # s that everything comes later by, in a trouble
        self._slices: dict[int, list[ServerEntry]] = {}

    # -- what happens to servers
    def enrol(self, server: Server) -> None:
        """One that was there before the day began."""
        self.entries[server.id] = server.entry(ServerState.SERVING)

    def started(self, server: Server) -> None:
        self._announce(server.entry(ServerState.SERVING), self.sizes.add_s)

    def drains(self, server: Server) -> None:
        self._announce(server.entry(ServerState.DRAINING), 0.0)

    def lost(self, server: Server, silent: bool) -> None:
        sizes = self.sizes
        self._announce(server.entry(ServerState.GONE), sizes.silent_notice_s if silent else sizes.notice_s)

    def _announce(self, entry: ServerEntry, delay: float) -> None:
        """It is in the first version after the delay."""
        due = self.loop.now + delay + self.behind
        version = math.floor(due / self.sizes.period_s) + 1
        self.loop.at(version * self.sizes.period_s, self._publish, (entry, self.loop.now))

    def _publish(self, about: tuple[ServerEntry, float]) -> None:
        entry, known_at = about
        held = self.entries.get(entry.server)
        if held is not None and held.started_at > entry.started_at:
            return  # a later process is listed already
        if entry.state is ServerState.GONE:
            server = self.world.servers[entry.server]
            if server.up and server.started_at > known_at:
                return  # it came back before its loss was noticed
            self.entries.pop(entry.server, None)
        else:
            self.entries[entry.server] = entry
        self.log.append(entry)
        self._slices.clear()
        if not self.push_due:
            self.push_due = True
            self.loop.at(self.loop.now, self._push)

    def _push(self, _: object) -> None:
        self.push_due = False
        now, spread = self.loop.now, self.sizes.spread_s
        for instance in self.watchers.values():
            self.loop.at(now + spread * self.random.random(), self._tell, (instance, instance.life))

    # -- instances
    def join(self, instance: Instance) -> None:
        instance.post_list(ListKind.SAVED, list(self.entries.values()), len(self.log))
        if self.sizes.mode == "push":
            self.watchers[instance.number] = instance

    def leave(self, instance: Instance) -> None:
        self.watchers.pop(instance.number, None)

    def watch(self, instance: Instance, on: bool) -> None:
        if not on:
            self.leave(instance)
            return
        due, answered = self.desk.ask(len(self.log) - instance.version)
        self.loop.at(due, self._watched if answered else self._failed, (instance, instance.life))

    def fetch(self, instance: Instance) -> None:
        due, answered = self.desk.ask(len(self.entries))
        self.loop.at(due, self._fetched if answered else self._failed, (instance, instance.life))

    def _watched(self, who: tuple[Instance, int]) -> None:
        instance, life = who
        if instance.life == life:
            self.watchers[instance.number] = instance
            instance.post_list(ListKind.INCREMENTAL, self._since(instance.version), len(self.log))

    def _fetched(self, who: tuple[Instance, int]) -> None:
        instance, life = who
        if instance.life == life:
            instance.post_list(ListKind.FULL, list(self.entries.values()), len(self.log))

    def _failed(self, who: tuple[Instance, int]) -> None:
        instance, life = who
        if instance.life == life:
            self.leave(instance)
            instance.post_list(ListKind.FAILED, [], instance.version)

    def _tell(self, who: tuple[Instance, int]) -> None:
        instance, life = who
        if instance.life == life and instance.version < len(self.log):
            instance.post_list(ListKind.INCREMENTAL, self._since(instance.version), len(self.log))

    def _since(self, version: int) -> list[ServerEntry]:
        """All changes after that version; instances share the list and don't change it."""
        if version not in self._slices:
            self._slices[version] = self.log[version:]
        return self._slices[version]
