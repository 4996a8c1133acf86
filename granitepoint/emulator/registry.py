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


class DiscoveryEndpoint:
    """The one service that all instances ask: calls are answered in turn, each at the price of its lines."""

    def __init__(self, world: World) -> None:
        self.config, self.loop = world.day.discovery, world.loop
        self.free_at = 0.0

    def schedule_call(self, lines: int) -> tuple[float, bool]:
        """When a call that brings so many lines is over, and whether it is answered."""
        now, config = self.loop.now, self.config
        start = max(now, self.free_at)
        if start > now + config.timeout_s:
            return now + config.timeout_s, False
        self.free_at = start + (config.call_lines + lines) / config.lines_per_s
        return self.free_at, True


class Registry:
    """What discovery says of a tier's servers. It knows of processes that run, drain or are gone."""

    def __init__(self, world: World, endpoint: DiscoveryEndpoint, random: Random) -> None:
        self.world, self.loop, self.config = world, world.loop, world.day.discovery
        self.endpoint, self.random = endpoint, random
        self.entries: dict[int, ServerEntry] = {}  # the present version
        self.changes: list[ServerEntry] = []  # all changes; a version is a place in it
        self.watchers: dict[int, Instance] = {}
        self.push_scheduled = False
        self.extra_delay = 0.0  # s that everything comes later by, in a trouble
        self._changes_by_version: dict[int, list[ServerEntry]] = {}

    # -- what happens to servers
    def add_initial(self, server: Server) -> None:
        """One that was there before the day began."""
        self.entries[server.id] = server.list_entry(ServerState.SERVING)

    def on_started(self, server: Server) -> None:
        self._schedule_entry(server.list_entry(ServerState.SERVING), self.config.add_s)

    def on_draining(self, server: Server) -> None:
        self._schedule_entry(server.list_entry(ServerState.DRAINING), 0.0)

    def on_lost(self, server: Server, silent: bool) -> None:
        config = self.config
        self._schedule_entry(
            server.list_entry(ServerState.GONE), config.silent_notice_s if silent else config.notice_s
        )

    def _schedule_entry(self, entry: ServerEntry, delay: float) -> None:
        """It is in the first version after the delay."""
        due = self.loop.now + delay + self.extra_delay
        version = math.floor(due / self.config.period_s) + 1
        self.loop.call_at(version * self.config.period_s, self._publish, (entry, self.loop.now))

    def _publish(self, argument: tuple[ServerEntry, float]) -> None:
        entry, occurred_at = argument
        listed = self.entries.get(entry.server)
        if listed is not None and listed.started_at > entry.started_at:
            return  # a later process is listed already
        if entry.state is ServerState.GONE:
            server = self.world.servers[entry.server]
            if server.up and server.started_at > occurred_at:
                return  # it came back before its loss was noticed
            self.entries.pop(entry.server, None)
        else:
            self.entries[entry.server] = entry
        self.changes.append(entry)
        self._changes_by_version.clear()
        if not self.push_scheduled:
            self.push_scheduled = True
            self.loop.call_at(self.loop.now, self._push)

    def _push(self, _: object) -> None:
        self.push_scheduled = False
        now, spread = self.loop.now, self.config.spread_s
        for instance in self.watchers.values():
            self.loop.call_at(
                now + spread * self.random.random(), self._send_changes, (instance, instance.incarnation)
            )

    # -- instances
    def join(self, instance: Instance) -> None:
        instance.receive_list(ListKind.SAVED, list(self.entries.values()), len(self.changes))
        if self.config.mode == "push":
            self.watchers[instance.number] = instance

    def leave(self, instance: Instance) -> None:
        self.watchers.pop(instance.number, None)

    def watch(self, instance: Instance, on: bool) -> None:
        if not on:
            self.leave(instance)
            return
        due, answered = self.endpoint.schedule_call(len(self.changes) - instance.version)
        self.loop.call_at(
            due,
            self._on_watch_answered if answered else self._on_call_failed,
            (instance, instance.incarnation),
        )

    def fetch(self, instance: Instance) -> None:
        due, answered = self.endpoint.schedule_call(len(self.entries))
        self.loop.call_at(
            due,
            self._on_fetch_answered if answered else self._on_call_failed,
            (instance, instance.incarnation),
        )

    def _on_watch_answered(self, argument: tuple[Instance, int]) -> None:
        instance, incarnation = argument
        if instance.incarnation == incarnation:
            self.watchers[instance.number] = instance
            instance.receive_list(
                ListKind.INCREMENTAL, self._changes_since(instance.version), len(self.changes)
            )

    def _on_fetch_answered(self, argument: tuple[Instance, int]) -> None:
        instance, incarnation = argument
        if instance.incarnation == incarnation:
            instance.receive_list(ListKind.FULL, list(self.entries.values()), len(self.changes))

    def _on_call_failed(self, argument: tuple[Instance, int]) -> None:
        instance, incarnation = argument
        if instance.incarnation == incarnation:
            self.leave(instance)
            instance.receive_list(ListKind.FAILED, [], instance.version)

    def _send_changes(self, argument: tuple[Instance, int]) -> None:
        instance, incarnation = argument
        if instance.incarnation == incarnation and instance.version < len(self.changes):
            instance.receive_list(
                ListKind.INCREMENTAL, self._changes_since(instance.version), len(self.changes)
            )

    def _changes_since(self, version: int) -> list[ServerEntry]:
        """All changes after that version; instances share the list and don't change it."""
        if version not in self._changes_by_version:
            self._changes_by_version[version] = self.changes[version:]
        return self._changes_by_version[version]
