"""All that a day holds, in one process: built from the day, run to the end of its last request."""

from __future__ import annotations

import gc
from random import Random

import msgspec

from granitepoint.emulator.calls import draw
from granitepoint.emulator.clients import Clients, Front
from granitepoint.emulator.day import Day
from granitepoint.emulator.instance import Instance
from granitepoint.emulator.loop import Loop
from granitepoint.emulator.registry import Desk, Registry
from granitepoint.emulator.server import Server
from granitepoint.emulator.tally import Begin, EmulatorFault, Sample, Tally
from granitepoint.emulator.troubles import Troubles
from granitepoint.fleet.plan import derive_seed
from granitepoint.fleet.results import Record
from granitepoint.interface import Settings

TAIL = 5.0  # s after the last request has ended, in which what servers still do for nothing counts
SLICE = 1.0  # s between two looks at whether all has ended
SAMPLE = 1.0  # s between two looks at where instances stand


class World:
    """Same day and seed, same run. Instances share nothing; chance comes from streams named for their use."""

    def __init__(self, day: Day) -> None:
        self.day = day
        self.loop = Loop()
        self.tiers = day.depths()
        self.tally = Tally(day, self.tiers)
        self._settings: dict[tuple[int, str], Settings] = {}
        self._calls = self._instances = 0
        self._network = self._random("network")
        self._delays = {
            (one, other): (day.network.same_ms if one == other else day.network.cross_ms) / 1e3
            for one in day.zones
            for other in day.zones
        }
        self.jitter = day.network.jitter
        self._ids = self._random("ids")
        self.servers: dict[int, Server] = {}
        self.by_tier: list[list[Server]] = [[] for _ in self.tiers]
        desk = Desk(self)
        depths = range(len(self.tiers))
        self.registries = [Registry(self, desk, self._random("list", depth)) for depth in depths]
        self.front = Front(self)
        self.proxies: list[Instance] = []
        self.clients = Clients(self, self._random("clients"), self._random("manners"))
        self.troubles = Troubles(self, self._random("troubles"))
        self._build()

    def _random(self, *names: object) -> Random:
        return Random(derive_seed(self.day.seed, *names))

    # -- building
    def _build(self) -> None:
        zones = self.day.zones
        for depth, tier in enumerate(self.tiers):
            speeds = self._random("speeds", depth)
            for number in range(tier.servers):
                speed = draw(speeds, "lognormal", tier.speed, tier.speed_cv)
                if tier.speeds:
                    speed = tier.speeds[number]
                cell = number // len(zones) // tier.cell_size
                server = self._new_server(depth, zones[number % len(zones)], cell, speed)
                self.registries[depth].enrol(server)
        starts = self._random("starts")
        for number in range(self.day.front.proxies):
            zone, seed = zones[number % len(zones)], derive_seed(self.day.seed, "proxy", number)
            proxy = Instance(self, 0, zone, number, self.day.front.proxies, seed)
            self.proxies.append(proxy)
            self.front.add(proxy)
            self.loop.at(starts.random() * self.day.front.start_spread_s, self._start_proxy, proxy)
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
        server = Server(self, depth, self.tiers[depth], id, zone, cell, speed, self._random("server", id))
        place = len(self.by_tier[depth])
        self.servers[id] = server
        self.by_tier[depth].append(server)
        if depth + 1 < len(self.tiers):
            seed = derive_seed(self.day.seed, "instance", id)
            server.instance = Instance(self, depth + 1, zone, place, self.tiers[depth].servers, seed)
        return server

    def settings(self, stage: int, zone: str, balancers: int) -> Settings:
        key = (stage, zone)
        if key not in self._settings:
            self._settings[key] = self.day.settings(stage, zone, 0, balancers)
        return self._settings[key]

    def next_call(self) -> int:
        self._calls += 1
        return self._calls

    def next_instance(self) -> int:
        self._instances += 1
        return self._instances

    def delay(self, one: str, other: str) -> float:
        """Seconds that a message takes between two zones."""
        return self._delays[one, other] * (1 + self.jitter * self._network.random())

    # -- servers that come and go
    def add_server(self, depth: int, zone: str, cell: int, speed: float) -> None:
        """A new machine, cold."""
        server = self._new_server(depth, zone, cell, speed)
        server.start()
        self.registries[depth].started(server)

    def stop(self, server: Server, silent: bool) -> None:
        server.stop(silent)
        self.registries[server.depth].lost(server, silent)

    def start(self, server: Server) -> None:
        """The same machine with a new process, cold."""
        server.start()
        self.registries[server.depth].started(server)

    # -- running
    def run(self) -> list[Record]:
        """The records of the day. Raises EmulatorFault where the world contradicts itself."""
        thresholds = gc.get_threshold()
        gc.collect()
        gc.freeze()
        gc.set_threshold(50_000, 20, 50)  # nearly nothing here goes in circles
        try:
            return self._run()
        finally:
            gc.set_threshold(*thresholds)
            gc.unfreeze()

    def _sample(self, at: float) -> None:
        for depth in range(len(self.tiers)):
            alive = [one for one in self._instances_before(depth) if one.alive]
            if alive:
                windows, drops, out, held = zip(*[one.state() for one in alive], strict=True)
                count = len(alive)
                self.tally.samples.append(
                    Sample(
                        at_s=at,
                        depth=depth,
                        instances=count,
                        window=round(sum(windows) / count, 6),
                        drop=round(sum(drops) / count, 6),
                        out=sum(out),
                        held=sum(held),
                    )  # fmt: skip
                )
        if at + SAMPLE <= self.day.duration_s:
            self.loop.at(at + SAMPLE, self._sample, at + SAMPLE)

    def _instances_before(self, depth: int) -> list[Instance]:
        if depth == 0:
            return self.proxies
        return [server.instance for server in self.by_tier[depth - 1] if server.instance is not None]

    def _run(self) -> list[Record]:
        day = self.day
        begin = Begin(
            name=day.name,
            seed=day.seed,
            capacity_per_s=day.capacity(),
            rate_per_s=day.rate(),
            servers=len(self.servers),
            instances=self._instances,
            day=msgspec.to_builtins(day),
        )
        self.clients.begin()
        self.troubles.begin()
        self.loop.at(SAMPLE, self._sample, SAMPLE)
        until = day.duration_s
        self.loop.run(until)
        latest = until + max(cls.deadline_ms for cls in day.classes) / 1e3 + SLICE
        while self.tally.open:
            until += SLICE
            if until > latest + SLICE:
                raise EmulatorFault(f"{self.tally.open} requests have not ended")
            self.loop.run(until)
        latest = until + TAIL
        while until < latest and any(server.held() for server in self.servers.values()):
            until += SLICE
            self.loop.run(until)
        return self.tally.records(begin)
