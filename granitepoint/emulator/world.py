"""The emulated system of a day, in one process: built from the day, run until all requests have ended."""

from __future__ import annotations

import gc
from random import Random

import msgspec

from granitepoint.emulator.calls import draw
from granitepoint.emulator.clients import Clients, Front
from granitepoint.emulator.day import Day
from granitepoint.emulator.instance import Instance
from granitepoint.emulator.loop import EventLoop
from granitepoint.emulator.registry import DiscoveryQueue, Registry
from granitepoint.emulator.server import Server
from granitepoint.emulator.statistics import Begin, EmulatorError, Sample, Tally
from granitepoint.emulator.troubles import FaultInjector
from granitepoint.fleet.plan import derive_seed
from granitepoint.fleet.results import Record
from granitepoint.interface import Settings

# s; for up to this time after the last request has ended, servers go on with the attempts that they hold. The
# work counts as wasted.
MAX_TRAILING_TIME = 5.0
END_CHECK_INTERVAL = 1.0  # s between two checks of whether all requests have ended
SAMPLE_INTERVAL = 1.0  # s between two samples of the instances' state


class World:
    """All clients, proxies, servers and registries of one run.

    A run is deterministic: it depends on the day and its seed only. Instances share no state. Each use of
    randomness has its own stream, seeded from its name.
    """

    def __init__(self, day: Day) -> None:
        self.day = day
        self.loop = EventLoop()
        self.tiers = day.expanded_tiers()
        self.tally = Tally(day, self.tiers)
        self._settings_cache: dict[tuple[int, str], Settings] = {}
        self._call_count = self._instance_count = 0
        self._network = self._random_stream("network")
        self._zone_delays = {
            (from_zone, to_zone): (day.network.same_ms if from_zone == to_zone else day.network.cross_ms)
            / 1e3
            for from_zone in day.zones
            for to_zone in day.zones
        }
        self.jitter = day.network.jitter
        self._ids = self._random_stream("ids")
        self.servers: dict[int, Server] = {}
        self.servers_by_tier: list[list[Server]] = [[] for _ in self.tiers]
        call_queue = DiscoveryQueue(self)
        depths = range(len(self.tiers))
        self.registries = [Registry(self, call_queue, self._random_stream("list", depth)) for depth in depths]
        self.front = Front(self)
        self.proxies: list[Instance] = []
        self.clients = Clients(self, self._random_stream("clients"), self._random_stream("manners"))
        self.faults = FaultInjector(self, self._random_stream("troubles"))
        self._build()

    def _random_stream(self, *names: object) -> Random:
        return Random(derive_seed(self.day.seed, *names))

    # -- building
    def _build(self) -> None:
        zones = self.day.zones
        for depth, tier in enumerate(self.tiers):
            speeds = self._random_stream("speeds", depth)
            for number in range(tier.servers):
                speed = draw(speeds, "lognormal", tier.speed, tier.speed_cv)
                if tier.speeds:
                    speed = tier.speeds[number]
                cell = number // len(zones) // tier.cell_size
                server = self._new_server(depth, zones[number % len(zones)], cell, speed)
                self.registries[depth].add_initial(server)
        starts = self._random_stream("starts")
        for number in range(self.day.front.proxies):
            zone, seed = zones[number % len(zones)], derive_seed(self.day.seed, "proxy", number)
            proxy = Instance(self, 0, zone, number, self.day.front.proxies, seed)
            self.proxies.append(proxy)
            self.front.add(proxy)
            self.loop.call_at(starts.random() * self.day.front.start_spread_s, self._start_proxy, proxy)
        for server in self.servers.values():
            if server.instance is not None:
                server.instance.start()

    @staticmethod
    def _start_proxy(proxy: Instance) -> None:
        proxy.start()

    def _new_server(self, depth: int, zone: str, cell: int, speed: float) -> Server:
        id = self._ids.getrandbits(32)
        while id in self.servers:
            id = self._ids.getrandbits(32)
        server = Server(
            self, depth, self.tiers[depth], id, zone, cell, speed, self._random_stream("server", id)
        )
        position = len(self.servers_by_tier[depth])
        self.servers[id] = server
        self.servers_by_tier[depth].append(server)
        if depth + 1 < len(self.tiers):
            seed = derive_seed(self.day.seed, "instance", id)
            server.instance = Instance(self, depth + 1, zone, position, self.tiers[depth].servers, seed)
        return server

    def settings(self, stage: int, zone: str, balancers: int) -> Settings:
        """Settings of the instances in a zone that send to tier `stage`, cached.

        Their `me` is 0: each instance copies them and sets its own.
        """
        key = (stage, zone)
        if key not in self._settings_cache:
            self._settings_cache[key] = self.day.settings(stage, zone, 0, balancers)
        return self._settings_cache[key]

    def next_call_id(self) -> int:
        """A new call id."""
        self._call_count += 1
        return self._call_count

    def next_instance_number(self) -> int:
        """A new instance number."""
        self._instance_count += 1
        return self._instance_count

    def delay(self, from_zone: str, to_zone: str) -> float:
        """Random network delay of a message between two zones, in seconds."""
        return self._zone_delays[from_zone, to_zone] * (1 + self.jitter * self._network.random())

    # -- servers that start and stop
    def add_server(self, depth: int, zone: str, cell: int, speed: float) -> None:
        """Add a new server, which starts cold."""
        server = self._new_server(depth, zone, cell, speed)
        server.start()
        self.registries[depth].on_started(server)

    def stop(self, server: Server, silent: bool) -> None:
        """Stop the process of a server; with `silent` it becomes unreachable."""
        server.stop(silent)
        self.registries[server.depth].on_lost(server, silent)

    def start(self, server: Server) -> None:
        """Start a new, cold process on a server that has stopped."""
        server.start()
        self.registries[server.depth].on_started(server)

    # -- running
    def run(self) -> list[Record]:
        """Play the day and return its records. Raises EmulatorError if an invariant is violated."""
        thresholds = gc.get_threshold()
        gc.collect()
        gc.freeze()
        gc.set_threshold(50_000, 20, 50)  # few reference cycles arise, so rare collections suffice
        try:
            return self._run()
        finally:
            gc.set_threshold(*thresholds)
            gc.unfreeze()

    def _sample(self, at: float) -> None:
        for depth in range(len(self.tiers)):
            alive = [one for one in self._instances_before(depth) if one.alive]
            if alive:
                concurrency_limits, reject_fractions, in_flight, queued = zip(
                    *[one.admission_state() for one in alive], strict=True
                )
                count = len(alive)
                self.tally.samples.append(
                    Sample(
                        at_s=at,
                        depth=depth,
                        instances=count,
                        window=round(sum(concurrency_limits) / count, 6),
                        drop=round(sum(reject_fractions) / count, 6),
                        out=sum(in_flight),
                        held=sum(queued),
                    )  # fmt: skip
                )
        if at + SAMPLE_INTERVAL <= self.day.duration_s:
            self.loop.call_at(at + SAMPLE_INTERVAL, self._sample, at + SAMPLE_INTERVAL)

    def _instances_before(self, depth: int) -> list[Instance]:
        if depth == 0:
            return self.proxies
        return [server.instance for server in self.servers_by_tier[depth - 1] if server.instance is not None]

    def _run(self) -> list[Record]:
        day = self.day
        begin = Begin(
            name=day.name,
            seed=day.seed,
            capacity_per_s=day.capacity(),
            rate_per_s=day.rate(),
            servers=len(self.servers),
            instances=self._instance_count,
            day=msgspec.to_builtins(day),
        )
        self.clients.start()
        self.faults.start()
        self.loop.call_at(SAMPLE_INTERVAL, self._sample, SAMPLE_INTERVAL)
        until = day.duration_s
        self.loop.run(until)
        latest = until + max(cls.deadline_ms for cls in day.classes) / 1e3 + END_CHECK_INTERVAL
        while self.tally.open_requests:
            until += END_CHECK_INTERVAL
            if until > latest + END_CHECK_INTERVAL:
                raise EmulatorError(f"{self.tally.open_requests} requests have not ended")
            self.loop.run(until)
        latest = until + MAX_TRAILING_TIME
        while until < latest and any(server.held_requests() for server in self.servers.values()):
            until += END_CHECK_INTERVAL
            self.loop.run(until)
        return self.tally.records(begin)
