"""Service discovery: the list of each tier's servers, late by a delay, and the queue of calls."""

from __future__ import annotations

import math
from random import Random
from typing import TYPE_CHECKING

from granitepoint.interface import ListKind, ServerEntry, ServerState

if TYPE_CHECKING:
    from granitepoint.emulator.instance import Instance
    from granitepoint.emulator.server import Server
    from granitepoint.emulator.world import World


class DiscoveryQueue:
    """Queue of the discovery service, which all instances call.

    The service handles one call at a time, in order; a call takes a fixed time plus a time per list line.
    """

    def __init__(self, world: World) -> None:
        self.config, self.loop = world.day.discovery, world.loop
        self.free_at = 0.0  # time at which all queued calls are done

    def schedule_call(self, lines: int) -> tuple[float, bool]:
        """Queue a call whose answer has that many lines.

        Returns the time in seconds at which the call ends, and whether it is answered. It times out if its
        turn doesn't come within `timeout_s`.
        """
        now, config = self.loop.now, self.config
        start = max(now, self.free_at)
        if start > now + config.timeout_s:
            return now + config.timeout_s, False
        self.free_at = start + (config.call_lines + lines) / config.lines_per_s
        return self.free_at, True


class Registry:
    """The list of one tier's servers as discovery has it. `random` draws the delays of pushed changes."""

    def __init__(self, world: World, call_queue: DiscoveryQueue, random: Random) -> None:
        self.world, self.loop, self.config = world, world.loop, world.day.discovery
        self.call_queue, self.random = call_queue, random
        self.entries: dict[int, ServerEntry] = {}  # latest version of the list, by server id
        self.changes: list[ServerEntry] = []  # all changes; version n is the list after the first n of them
        self.watchers: dict[int, Instance] = {}  # instances that get changes, by their numbers
        self.push_scheduled = False
        self.extra_delay = 0.0  # s; additional delay of changes during a StaleDiscovery fault
        self._changes_by_version: dict[int, list[ServerEntry]] = {}

    # -- changes of servers
    def add_initial(self, server: Server) -> None:
        """Add a server that has been running since before the day started."""
        self.entries[server.id] = server.list_entry(ServerState.SERVING)

    def on_started(self, server: Server) -> None:
        """List a started server after `add_s`."""
        self._schedule_entry(server.list_entry(ServerState.SERVING), self.config.add_s)

    def on_draining(self, server: Server) -> None:
        """List a server as draining, with the next version."""
        self._schedule_entry(server.list_entry(ServerState.DRAINING), 0.0)

    def on_lost(self, server: Server, silent: bool) -> None:
        """Remove a server that has stopped, after `silent_notice_s` if it went silent, else `notice_s`."""
        config = self.config
        self._schedule_entry(
            server.list_entry(ServerState.GONE), config.silent_notice_s if silent else config.notice_s
        )

    def _schedule_entry(self, entry: ServerEntry, delay: float) -> None:
        """Schedule a change for the first version of the list after the delay, in seconds."""
        due = self.loop.now + delay + self.extra_delay
        version = math.floor(due / self.config.period_s) + 1
        self.loop.call_at(version * self.config.period_s, self._publish, (entry, self.loop.now))

    def _publish(self, argument: tuple[ServerEntry, float]) -> None:
        entry, occurred_at = argument
        listed = self.entries.get(entry.server)
        if listed is not None and listed.started_at > entry.started_at:
            return  # a newer process is listed already
        if entry.state is ServerState.GONE:
            server = self.world.servers[entry.server]
            if server.up and server.started_at > occurred_at:
                return  # it was started again before discovery noticed the loss
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
        """Give a started instance its saved list; in push mode it gets changes from now on."""
        instance.receive_list(ListKind.SAVED, list(self.entries.values()), len(self.changes))
        if self.config.mode == "push":
            self.watchers[instance.number] = instance

    def leave(self, instance: Instance) -> None:
        """Stop sending changes to the instance."""
        self.watchers.pop(instance.number, None)

    def watch(self, instance: Instance, on: bool) -> None:
        """Handle a call that starts a watch, or end the watch."""
        if not on:
            self.leave(instance)
            return
        due, answered = self.call_queue.schedule_call(len(self.changes) - instance.version)
        self.loop.call_at(
            due,
            self._on_watch_answered if answered else self._on_call_failed,
            (instance, instance.incarnation),
        )

    def fetch(self, instance: Instance) -> None:
        """Handle a call for the full list."""
        due, answered = self.call_queue.schedule_call(len(self.entries))
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
        """All changes after that version. The instances share the returned list and must not modify it."""
        if version not in self._changes_by_version:
            self._changes_by_version[version] = self.changes[version:]
        return self._changes_by_version[version]
