"""Real proxies between stand-ins: starts them, drives clients through them, and keeps every record."""

from __future__ import annotations

import asyncio
import copy
import json
import math
import signal
import time
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from random import Random
from typing import Any

from granitepoint.faults.clients import Clients, RequestKind
from granitepoint.faults.discovery import Desk, Discovery, Entry
from granitepoint.faults.process import ProxyProcess
from granitepoint.faults.rules import Break, Records, check
from granitepoint.faults.servers import Server

READY_WITHIN = 20.0  # s
NEW_CONNECTIONS = 0.3  # s after SIGTERM in which new ones still come
LONGEST_WAIT, KILL_SPARE = 3.0, 0.7  # s after SIGTERM to SIGKILL: the longest deadline, and this much more
KILL_NOTICED = 0.1  # s after a kill in which a request may still be sent into it
CLASSES: list[dict[str, Any]] = [
    {"name": "look-up", "value": 1.0, "objective": 0.5, "deadline": 1.0, "effect": "repeatable"},
    {"name": "top-up", "value": 2.0, "objective": 0.8, "deadline": 1.5, "effect": "by_key", "group": "zone",
     "window": 4.0},
    {"name": "release", "value": 2.0, "objective": 1.0, "deadline": 2.0, "effect": "once"},
]  # fmt: skip
SETTINGS: dict[str, Any] = {
    "balancers": 1, "me": 0, "stage": 0, "stages": ["front"], "zone": "a", "dcs": ["a"], "discovery": "ask",
    "quantum": 0.005, "grades": CLASSES, "tenants": [],
    "report": {"names": ["busy_reqs", "pending"], "via": "on_probe"},
    "policy_limits": {
        "send_cap": 3, "may_duplicate": False, "may_cancel": True, "probes": True, "conn_idle": 30.0,
        "connect_timeout": 0.25, "most_held": 20000, "retry_after": True, "max_retry_after": 2.0,
    },
    "contract": {
        "must_ask_in": 10.0, "grace_to_answer": 0.02, "drain_grace": 0.25, "cold_from": 0.4, "cold": 5.0,
        "fall_multiple": 3.0, "overload_for": 2.0,
    },
}  # fmt: skip


@dataclass(slots=True)
class Rig:
    """Everything of one run."""

    folder: Path
    random: Random
    discovery: Discovery = field(default_factory=Discovery)
    servers: dict[str, Server] = field(default_factory=dict)
    proxies: list[ProxyProcess] = field(default_factory=list)
    desks: dict[str, list[Desk]] = field(default_factory=dict)
    clients: list[Clients] = field(default_factory=list)
    excused: set[str] = field(default_factory=set)
    settings: dict[str, Any] = field(default_factory=lambda: copy.deepcopy(SETTINGS))
    numbers: Any = field(default_factory=lambda: count(1).__next__)

    def add_server(self) -> Server:
        """One more server, listed as ready; discovery tells of it as of any change."""
        name = f"s-{len(self.servers):04x}"
        server = self.servers[name] = Server(name, Random(self.random.random()))
        self.discovery.entries[name] = Entry(name, server.address)
        return server

    async def add_proxy(self, environment: Mapping[str, str] | None = None) -> ProxyProcess:
        """One more proxy, started with the present list as the one that it last had."""
        number = len(self.proxies)
        desk = self.discovery.open_desk()
        settings = {**self.settings, "me": number, "balancers": max(1, self.settings["balancers"])}
        raw = {
            "name": f"n{number}", "discovery": desk.address, "seed": f"{self.random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self.known(), "settings": settings,
        }  # fmt: skip
        proxy = ProxyProcess(f"n{number}", self.folder, raw, environment or {})
        self.proxies.append(proxy)
        self.desks[proxy.name] = [desk]
        await proxy.start()
        return proxy

    def known(self) -> dict[str, Any]:
        """The whole list as it is now, in discovery's form."""
        return dict(json.loads(self.discovery.listing(None)))

    async def restart(self, proxy: ProxyProcess, after: float = 0.3) -> None:
        """Killed outright; what was out at it is lost by the kill. Its list is that of its first start."""
        await self.kill(proxy)
        await asyncio.sleep(after)
        await self.start_anew(proxy)

    async def kill(self, proxy: ProxyProcess) -> None:
        killed_at = time.monotonic()
        await proxy.kill()
        await asyncio.sleep(KILL_NOTICED)
        for clients in self.clients:
            if clients.proxy == proxy.name:
                self.excused.update(
                    request.call
                    for request in clients.requests
                    if not request.code and request.sent <= killed_at + KILL_NOTICED
                    and (not request.ended or request.ended >= killed_at)
                )  # fmt: skip

    async def start_anew(self, proxy: ProxyProcess) -> None:
        proxy.raw["seed"] = f"{self.random.getrandbits(64):016x}"
        self.discovery_written_anew(proxy)
        await proxy.start()

    async def terminate(self, proxy: ProxyProcess) -> None:
        """A planned restart: SIGTERM, and SIGKILL as early as the rules allow. Nothing is excused."""
        proxy.send(signal.SIGTERM)
        mine = [clients for clients in self.clients if clients.proxy == proxy.name]
        await asyncio.sleep(NEW_CONNECTIONS)
        for clients in mine:
            clients.opens = False
        longest = min(LONGEST_WAIT, max(cls["deadline"] for cls in self.settings["grades"]))
        await asyncio.sleep(longest + KILL_SPARE - NEW_CONNECTIONS)
        await proxy.kill()
        await self.start_anew(proxy)
        await proxy.until_ready(READY_WITHIN)
        for clients in mine:
            clients.opens = True

    def discovery_written_anew(self, proxy: ProxyProcess) -> None:
        """A new process has not been told what its forerunner was."""
        for desk in self.desks[proxy.name]:
            desk.written.clear()
            desk.silenced.clear()
            desk.moved_at = math.inf

    def move(self, proxy: ProxyProcess) -> None:
        """A new address of discovery, with SIGHUP."""
        desk = self.discovery.open_desk()
        desk.moved_at = time.monotonic()
        self.desks[proxy.name].append(desk)
        proxy.reload(desk.address)

    def start_clients(self, proxy: ProxyProcess, many: int) -> asyncio.Task[None]:
        random = Random(self.random.random())
        kinds = [
            RequestKind(
                cls["name"],
                "GET" if cls["effect"] == "repeatable" else "POST",
                cls["effect"] == "by_key",
                cls["deadline"],
            )
            for cls in self.settings["grades"]
        ]
        clients = Clients(proxy.name, proxy.address, kinds, random, numbers=self.numbers)
        self.clients.append(clients)
        return asyncio.create_task(clients.run(many))

    async def ready(self) -> None:
        for proxy in self.proxies:
            await proxy.until_ready(READY_WITHIN)

    def breaks(self) -> list[Break]:
        """What the records say of the rules."""
        once = frozenset(c["name"] for c in self.settings["grades"] if c["effect"] == "once")
        return check(
            Records(
                self.discovery,
                self.desks,
                [attempt for server in self.servers.values() for attempt in server.attempts],
                [request for clients in self.clients for request in clients.requests],
                once,
                self.settings["contract"]["drain_grace"],
                frozenset(self.excused),
            )
        )

    async def close(self) -> None:
        for clients in self.clients:
            clients.stopped = True
        for proxy in self.proxies:
            await proxy.close()
        self.discovery.close()
        for server in self.servers.values():
            server.listener.refuse()


@asynccontextmanager
async def rig(folder: Path, seed: int, servers: int) -> AsyncIterator[Rig]:
    """Stand-ins without proxies; ended with all that was started."""
    made = Rig(folder, Random(seed))
    for _ in range(servers):
        made.add_server()
    try:
        yield made
    finally:
        await made.close()
