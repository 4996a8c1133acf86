"""Runs real proxies with test clients, test servers and a test discovery service, and keeps all records."""

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

from granitepoint.faults.clients import Clients, RequestTemplate
from granitepoint.faults.discovery import Discovery, DiscoveryEndpoint, Entry
from granitepoint.faults.process import ProxyProcess
from granitepoint.faults.rules import Records, Violation, check
from granitepoint.faults.servers import Server

READY_TIMEOUT_S = 20.0
NEW_CONNECTIONS_S = 0.3  # time after SIGTERM during which clients still open connections
# Time from SIGTERM to SIGKILL: the longest deadline of a class, but at most SHUTDOWN_MAX_DEADLINE_S, plus
# SHUTDOWN_KILL_DELAY_S.
SHUTDOWN_MAX_DEADLINE_S, SHUTDOWN_KILL_DELAY_S = 3.0, 0.7
# Time after SIGKILL during which a client may still send a request to the killed process.
KILL_DETECTION_S = 0.1
REQUEST_CLASSES: list[dict[str, Any]] = [
    {"name": "look-up", "value": 1.0, "objective": 0.5, "deadline": 1.0, "effect": "repeatable"},
    {"name": "top-up", "value": 2.0, "objective": 0.8, "deadline": 1.5, "effect": "by_key", "group": "zone",
     "window": 4.0},
    {"name": "release", "value": 2.0, "objective": 1.0, "deadline": 2.0, "effect": "once"},
]  # fmt: skip
SETTINGS: dict[str, Any] = {
    "balancers": 1, "me": 0, "stage": 0, "stages": ["front"], "zone": "a", "dcs": ["a"], "discovery": "ask",
    "quantum": 0.005, "grades": REQUEST_CLASSES, "tenants": [],
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
class SoakHarness:
    """The proxies, servers, discovery service, clients and records of one run."""

    folder: Path
    random: Random
    discovery: Discovery = field(default_factory=Discovery)
    servers: dict[str, Server] = field(default_factory=dict)
    proxies: list[ProxyProcess] = field(default_factory=list)
    endpoints: dict[str, list[DiscoveryEndpoint]] = field(default_factory=dict)  # by the name of their proxy
    clients: list[Clients] = field(default_factory=list)
    exempt_calls: set[str] = field(
        default_factory=set
    )  # ids of calls that were lost because a proxy was killed
    settings: dict[str, Any] = field(default_factory=lambda: copy.deepcopy(SETTINGS))
    limits: dict[str, float] = field(
        default_factory=lambda: {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
    )  # of each proxy
    next_call_number: Any = field(default_factory=lambda: count(1).__next__)

    def add_server(self) -> Server:
        """Adds a server that is listed as ready. This makes no new version of the list."""
        name = f"s-{len(self.servers):04x}"
        server = self.servers[name] = Server(name, Random(self.random.random()))
        self.discovery.entries[name] = Entry(name, server.address)
        return server

    async def add_proxy(self, environment: Mapping[str, str] | None = None) -> ProxyProcess:
        """Starts one more proxy.

        Its configuration holds the current list, for use until discovery answers.
        """
        number = len(self.proxies)
        endpoint = self.discovery.add_endpoint()
        settings = {**self.settings, "me": number, "balancers": max(1, self.settings["balancers"])}
        config = {
            "name": f"n{number}", "discovery": endpoint.address,
            "seed": f"{self.random.getrandbits(64):016x}",
            "limits": dict(self.limits),
            "known": self.current_list(), "settings": settings,
        }  # fmt: skip
        proxy = ProxyProcess(f"n{number}", self.folder, config, environment or {})
        self.proxies.append(proxy)
        self.endpoints[proxy.name] = [endpoint]
        await proxy.start()
        return proxy

    def current_list(self) -> dict[str, Any]:
        """Returns the full list as discovery would send it now."""
        return dict(json.loads(self.discovery.encode_list(None)))

    async def restart(self, proxy: ProxyProcess, delay: float = 0.3) -> None:
        """Kills a proxy without warning and starts it again `delay` seconds after the kill is complete.

        Its calls in progress are exempt from the rule on answers. The configuration of the new process still
        holds the list from when the proxy was added.
        """
        await self.kill(proxy)
        await asyncio.sleep(delay)
        await self.start_new_process(proxy)

    async def kill(self, proxy: ProxyProcess) -> None:
        """Kills a proxy, and exempts the calls that are lost by that from the rule on answers."""
        killed_at = time.monotonic()
        await proxy.kill()
        await asyncio.sleep(KILL_DETECTION_S)
        for clients in self.clients:
            if clients.proxy_name == proxy.name:
                self.exempt_calls.update(
                    request.call_id
                    for request in clients.requests
                    if not request.code and request.sent_at <= killed_at + KILL_DETECTION_S
                    and (not request.ended_at or request.ended_at >= killed_at)
                )  # fmt: skip

    async def start_new_process(self, proxy: ProxyProcess) -> None:
        """Starts a proxy again, with another seed."""
        proxy.config["seed"] = f"{self.random.getrandbits(64):016x}"
        self.reset_notifications(proxy)
        await proxy.start()

    async def restart_gracefully(self, proxy: ProxyProcess) -> None:
        """Restarts a proxy as planned: SIGTERM, and SIGKILL as early as the rules allow.

        All rules apply to its calls in progress.
        """
        proxy.send_signal(signal.SIGTERM)
        proxy_clients = [clients for clients in self.clients if clients.proxy_name == proxy.name]
        await asyncio.sleep(NEW_CONNECTIONS_S)
        for clients in proxy_clients:
            clients.opens_connections = False
        max_deadline = min(SHUTDOWN_MAX_DEADLINE_S, max(cls["deadline"] for cls in self.settings["grades"]))
        await asyncio.sleep(max_deadline + SHUTDOWN_KILL_DELAY_S - NEW_CONNECTIONS_S)
        await proxy.kill()
        await self.start_new_process(proxy)
        await proxy.wait_until_ready(READY_TIMEOUT_S)
        for clients in proxy_clients:
            clients.opens_connections = True

    def reset_notifications(self, proxy: ProxyProcess) -> None:
        """Clears the records of what a proxy was sent: a new process knows nothing of it."""
        for endpoint in self.endpoints[proxy.name]:
            endpoint.sent_versions.clear()
            endpoint.silent_watches.clear()
            endpoint.moved_at = math.inf

    def move_discovery(self, proxy: ProxyProcess) -> None:
        """Gives a proxy a new address of discovery and sends it SIGHUP."""
        endpoint = self.discovery.add_endpoint()
        endpoint.moved_at = time.monotonic()
        self.endpoints[proxy.name].append(endpoint)
        proxy.reload(endpoint.address)

    def start_clients(self, proxy: ProxyProcess, client_count: int) -> asyncio.Task[None]:
        """Starts clients of a proxy that send requests of all classes."""
        random = Random(self.random.random())
        templates = [
            RequestTemplate(
                cls["name"],
                "GET" if cls["effect"] == "repeatable" else "POST",
                cls["effect"] == "by_key",
                cls["deadline"],
            )
            for cls in self.settings["grades"]
        ]
        clients = Clients(
            proxy.name, proxy.address, templates, random, next_call_number=self.next_call_number
        )
        self.clients.append(clients)
        return asyncio.create_task(clients.run(client_count))

    async def wait_until_ready(self) -> None:
        """Waits for all proxies. Raises TimeoutError, or RuntimeError if one has exited."""
        for proxy in self.proxies:
            await proxy.wait_until_ready(READY_TIMEOUT_S)

    def find_violations(self) -> list[Violation]:
        """Checks the rules against the records."""
        non_repeatable_classes = frozenset(
            c["name"] for c in self.settings["grades"] if c["effect"] == "once"
        )
        return check(
            Records(
                self.discovery,
                self.endpoints,
                [attempt for server in self.servers.values() for attempt in server.attempts],
                [request for clients in self.clients for request in clients.requests],
                non_repeatable_classes,
                self.settings["contract"]["drain_grace"],
                frozenset(self.exempt_calls),
            )
        )

    async def close(self) -> None:
        """Stops the clients, the proxies, discovery and the servers."""
        for clients in self.clients:
            clients.stopped = True
        for proxy in self.proxies:
            await proxy.close()
        self.discovery.close()
        for server in self.servers.values():
            server.listener.refuse()


@asynccontextmanager
async def soak_harness(folder: Path, seed: int, servers: int) -> AsyncIterator[SoakHarness]:
    """Creates a harness with this many servers and no proxies, and closes it at the end."""
    harness = SoakHarness(folder, Random(seed))
    for _ in range(servers):
        harness.add_server()
    try:
        yield harness
    finally:
        await harness.close()
