"""The processes of a fleet: starts them in order, sends them commands, and ends them.

Each worker process has a role, and simulates one or more members of the fleet: backends, proxies, endpoints
of discovery, or callers.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec
import psutil

from granitepoint.fleet import worker
from granitepoint.fleet.discovery import ListedBackend
from granitepoint.fleet.experiment import Experiment
from granitepoint.fleet.measure import Usage
from granitepoint.fleet.plan import DISCOVERY_BLOCK, Plan, derive_seed, loopback_address, make_plan
from granitepoint.fleet.worker import Command, Reply, Spec

MAX_MEMORY_SHARE = 0.5  # of the machine's memory, for all processes together
MAX_PROCESSES = 300
START_TIMEOUT = 90.0  # s from the assignment of a role until the process reports that it has started
COMMAND_TIMEOUT = 60.0  # s for the reply to a command
EXIT_TIMEOUT = 10.0  # s for a process to exit


class FleetError(Exception):
    """A part of the fleet failed; the message names it."""


class Worker:
    """The parent's handle of one worker process. Commands to the process are carried out one at a time."""

    def __init__(self, role: str, name: str, member_count: int, process: asyncio.subprocess.Process) -> None:
        self.role, self.name, self.member_count, self.process = role, name, member_count, process
        self.exchange_lock = asyncio.Lock()
        self.command_count = 0

    @classmethod
    async def start(cls, role: str, name: str, member_count: int) -> Worker:
        """Starts a worker process, which waits for its role."""
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "granitepoint.fleet.worker", stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE, limit=1 << 28, start_new_session=True,
        )  # fmt: skip
        return cls(role, name, member_count, process)

    async def _exchange(self, line: bytes, reply_number: int, timeout: float) -> dict[str, Any]:
        """Sends one line and returns the reply with this number; `timeout` in seconds. Raises FleetError."""
        assert self.process.stdin is not None and self.process.stdout is not None
        async with self.exchange_lock:
            try:
                async with asyncio.timeout(timeout):
                    self.process.stdin.write(line + b"\n")
                    await self.process.stdin.drain()
                    while reply_line := await self.process.stdout.readline():
                        reply: Reply = msgspec.json.decode(reply_line, type=Reply)
                        if reply.number == reply_number:  # others are late replies to commands that timed out
                            break
            except (ConnectionError, TimeoutError) as error:
                raise FleetError(f"{self.name}: {type(error).__name__}") from None
        if not reply_line:
            raise FleetError(f"{self.name}: the process has exited")
        if reply.error:
            raise FleetError(f"{self.name}: {reply.error}")
        return reply.told

    async def assign(self, spec: Spec) -> dict[str, Any]:
        """Gives the process its role; returns the reply once the role has started. Raises FleetError."""
        return await self._exchange(msgspec.json.encode(spec), 0, START_TIMEOUT)

    async def execute(
        self,
        command_name: str,
        names: Iterable[str] = (),
        args: dict[str, Any] | None = None,
        timeout: float = COMMAND_TIMEOUT,
    ) -> dict[str, Any]:
        """Sends one command and returns its result; `timeout` in seconds. Raises FleetError."""
        self.command_count += 1
        command = Command(self.command_count, command_name, list(names), args or {})
        return await self._exchange(msgspec.json.encode(command), command.number, timeout)

    async def end(self) -> None:
        """Closes the input of the process, and kills it if it has not exited after EXIT_TIMEOUT."""
        if self.process.stdin is not None:
            self.process.stdin.close()  # the process exits when its input ends
        try:
            async with asyncio.timeout(EXIT_TIMEOUT):
                await self.process.wait()
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


def _chunks(items: list[Any], size: int) -> list[list[Any]]:
    """Splits a list into lists of at most `size` items."""
    return [items[start : start + size] for start in range(0, len(items), size)]


class Fleet:
    """All processes of one experiment; the end of `async with` ends them, also after an error."""

    def __init__(self, experiment: Experiment, folder: Path) -> None:
        self.experiment, self.folder = experiment, folder
        self.plan: Plan = make_plan(experiment)
        self.workers: list[Worker] = []
        self.unassigned: list[Worker] = []  # started, without a role
        self.discovery_worker: Worker | None = None
        self.caller_workers: list[Worker] = []
        self.real_proxy_worker: Worker | None = None
        self.pids: dict[str, int] = {}  # of real proxies, by name
        self.worker_by_member: dict[str, Worker] = {}  # the process that holds each backend or proxy
        self.addresses: dict[str, str] = {}  # of proxies, by name
        # The plans of backends and proxies, by name.
        self.backends = {plan.name: plan for plan in self.plan.backends}
        self.proxies = {plan.name: plan for plan in self.plan.proxies}

    async def __aenter__(self) -> Fleet:
        return self

    async def __aexit__(self, *_: object) -> None:
        await asyncio.gather(
            *(worker_process.end() for worker_process in (*self.workers, *self.unassigned)),
            return_exceptions=True,
        )

    async def _assign(
        self, role: str, name: str, member_count: int, spec: Spec
    ) -> tuple[Worker, dict[str, Any]]:
        """Gives an unassigned process a role; returns the process and its first reply."""
        worker_process = self.unassigned.pop()
        worker_process.role, worker_process.name, worker_process.member_count = role, name, member_count
        self.workers.append(worker_process)
        return worker_process, await worker_process.assign(spec)

    async def _start_workers(self) -> None:
        """Starts all worker processes at once, because each spends its first second on imports."""
        experiment = self.experiment
        hollow_count = sum(not plan.real for plan in self.plan.proxies)
        worker_count = 1 + experiment.callers.processes + (experiment.proxies.real > 0)
        worker_count += -(-len(self.plan.backends) // experiment.backends.per_process) + -(
            -hollow_count // experiment.proxies.per_process
        )
        if worker_count + experiment.proxies.real > MAX_PROCESSES:
            raise FleetError(
                f"{worker_count + experiment.proxies.real} processes needed, at most {MAX_PROCESSES} allowed"
            )
        for number in range(worker_count):
            self.unassigned.append(await Worker.start("spare", f"spare-{number}", 0))

    async def start(self) -> None:
        """Starts backends, discovery, proxies and callers in this order, each when those before are ready.

        Raises FleetError.
        """
        await self._start_workers()
        backend_addresses = await self._start_backends()
        discovery_addresses, known_lists = await self._start_discovery(backend_addresses)
        await self._start_proxies(discovery_addresses, known_lists)
        await self._start_callers()

    async def _start_backends(self) -> dict[str, list[str]]:
        """Starts the backends; returns the addresses of each, one for the proxies of each region."""
        experiment = self.experiment
        backend_addresses: dict[str, list[str]] = {}
        chunks = _chunks(self.plan.backends, experiment.backends.per_process)
        assignments = []
        for number, chunk in enumerate(chunks):
            spec = worker.BackendsSpec(experiment, derive_seed(experiment.seed, "backends", number), chunk)
            assignments.append(self._assign("backends", f"backends-{number}", len(chunk), spec))
        for chunk, (worker_process, addresses) in zip(
            chunks, await asyncio.gather(*assignments), strict=True
        ):
            backend_addresses.update(addresses)
            self.worker_by_member.update((plan.name, worker_process) for plan in chunk)
        return backend_addresses

    async def _start_discovery(
        self, backend_addresses: dict[str, list[str]]
    ) -> tuple[dict[str, str], dict[str, Any]]:
        """Starts discovery.

        Returns the discovery address of each proxy, and the first server lists by "SERVICE REGION" (indices).
        """
        experiment = self.experiment
        lists: list[list[ListedBackend]] = [[] for _ in range(experiment.backends.services)]
        for plan in self.plan.backends:
            listed_backend = ListedBackend(plan.name, "", plan.zone, "m1", plan.cell, "Ready", 1.0, 0)
            lists[plan.service].append(listed_backend)
        endpoint_plans = [
            worker.DiscoveryEndpointPlan(
                plan.name, plan.service, plan.zone, plan.region, loopback_address(DISCOVERY_BLOCK, number)
            )
            for number, plan in enumerate(self.plan.proxies)
        ]
        spec = worker.DiscoverySpec(experiment, lists, backend_addresses, endpoint_plans)
        self.discovery_worker, reply = await self._assign("discovery", "discovery", len(endpoint_plans), spec)
        return reply["desks"], reply["known"]

    async def _start_proxies(self, discovery_addresses: dict[str, str], known_lists: dict[str, Any]) -> None:
        """Starts real and hollow proxies, and gives each backend of a chain the address of its proxy."""
        experiment = self.experiment
        real = [plan for plan in self.plan.proxies if plan.real]
        if real:
            spec = worker.RealProxiesSpec(
                experiment, real, discovery_addresses, known_lists, str(self.folder)
            )
            self.real_proxy_worker, reply = await self._assign("programs", "programs", len(real), spec)
            self.pids.update(reply["pids"])
            self.addresses.update(reply["addresses"])
            self.worker_by_member.update((plan.name, self.real_proxy_worker) for plan in real)
        hollow = [plan for plan in self.plan.proxies if not plan.real]
        chunks = _chunks(hollow, experiment.proxies.per_process)
        assignments = []
        for number, chunk in enumerate(chunks):
            names = {plan.name for plan in chunk}
            chunk_discovery = {
                name: address for name, address in discovery_addresses.items() if name in names
            }
            proxies_spec = worker.ProxiesSpec(experiment, chunk, chunk_discovery, known_lists)
            assignments.append(self._assign("proxies", f"proxies-{number}", len(chunk), proxies_spec))
        for chunk, (worker_process, addresses) in zip(
            chunks, await asyncio.gather(*assignments), strict=True
        ):
            self.addresses.update(addresses)
            self.worker_by_member.update((plan.name, worker_process) for plan in chunk)
        proxies_of_backends: dict[Worker, dict[str, str]] = {}
        for plan in hollow:
            if plan.of_backend:
                proxies_of_backends.setdefault(self.worker_by_member[plan.of_backend], {})[
                    plan.of_backend
                ] = self.addresses[plan.name]
        await asyncio.gather(
            *(
                worker_process.execute("wire", args=proxy_by_backend)
                for worker_process, proxy_by_backend in proxies_of_backends.items()
            )
        )

    async def _start_callers(self) -> None:
        """Starts the callers, which call the proxies of the first service."""
        experiment = self.experiment
        zone_by_proxy = {plan.name: plan.zone for plan in self.plan.proxies if not plan.of_backend}
        addresses = {name: self.addresses[name] for name in zone_by_proxy}
        assignments = []
        for number in range(experiment.callers.processes):
            spec = worker.CallersSpec(
                experiment, derive_seed(experiment.seed, "callers", number), addresses, zone_by_proxy
            )
            assignments.append(self._assign("callers", f"callers-{number}", 1, spec))
        self.caller_workers = [worker_process for worker_process, _ in await asyncio.gather(*assignments)]

    # Commands
    async def send_to_holders(
        self, command_name: str, names: Iterable[str], **args: Any
    ) -> list[dict[str, Any]]:
        """Sends a command to each process that holds any of the named members; returns the replies."""
        groups: dict[Worker, list[str]] = {}
        for name in names:
            groups.setdefault(self.worker_by_member[name], []).append(name)
        replies = await asyncio.gather(
            *(worker_process.execute(command_name, group, args) for worker_process, group in groups.items())
        )
        for worker_process, reply in zip(groups, replies, strict=True):
            if worker_process is self.real_proxy_worker and "pids" in reply:
                self.pids.update(reply["pids"])
        return replies

    async def send_to_discovery(
        self, command_name: str, names: Iterable[str] = (), **args: Any
    ) -> dict[str, Any]:
        """Sends a command to discovery; returns the reply."""
        assert self.discovery_worker is not None
        return await self.discovery_worker.execute(command_name, names, args)

    async def send_to_role(
        self, role: str, command_name: str, timeout: float = COMMAND_TIMEOUT, **args: Any
    ) -> list[dict[str, Any]]:
        """Sends a command to every process of a role; returns the replies in the order of the processes."""
        of_role = [worker_process for worker_process in self.workers if worker_process.role == role]
        return await asyncio.gather(
            *(worker_process.execute(command_name, (), args, timeout) for worker_process in of_role)
        )

    # Measurements
    def processes(self) -> list[tuple[str, str, int, int]]:
        """Role, name, process id and number of members of each process.

        Real proxies are listed themselves, and not the worker process that started them.
        """
        workers = [
            (
                worker_process.role,
                worker_process.name,
                worker_process.process.pid,
                worker_process.member_count,
            )
            for worker_process in self.workers
        ]
        real_proxies = [("proxy", name, pid, 1) for name, pid in self.pids.items()]
        return [entry for entry in workers if entry[0] != "programs"] + real_proxies

    def usage(self) -> dict[int, Usage]:
        """The resource usage so far of each running process, by process id."""
        usage_by_pid = {}
        for _, _, pid, _ in self.processes():
            with contextlib.suppress(psutil.Error):
                usage_by_pid[pid] = Usage.of(pid)
        return usage_by_pid

    async def watch_memory(self) -> None:
        """Checks the memory of all processes until cancelled. Raises FleetError above MAX_MEMORY_SHARE."""
        limit_bytes = MAX_MEMORY_SHARE * psutil.virtual_memory().total
        while True:
            used_bytes = 0
            for _, _, pid, _ in self.processes():
                with contextlib.suppress(psutil.Error):
                    used_bytes += psutil.Process(pid).memory_info().rss
            if used_bytes > limit_bytes:
                raise FleetError(f"{used_bytes / 1e6:.0f} MB in use, more than half of the machine's memory")
            await asyncio.sleep(2.0)
