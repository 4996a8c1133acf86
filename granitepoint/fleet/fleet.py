"""A fleet of processes: starts them in order, tells them what to do, and ends what it started."""

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
from granitepoint.fleet.plan import DESKS, Plan, derive, host, make_plan
from granitepoint.fleet.worker import Command, Reply, Spec

MEMORY_SHARE = 0.5  # of the machine's, that all processes together may hold
MOST_PROCESSES = 300
START_PATIENCE = 90.0  # s until all is ready
ANSWER_PATIENCE = 60.0  # s for an answer to a command
END_PATIENCE = 10.0  # s for a process to end


class FleetError(Exception):
    """Something of the fleet failed; the message says what."""


class Worker:
    """One process, with one command at a time."""

    def __init__(self, role: str, name: str, holds: int, process: asyncio.subprocess.Process) -> None:
        self.role, self.name, self.holds, self.process = role, name, holds, process
        self.turn = asyncio.Lock()
        self.orders = 0

    @classmethod
    async def start(cls, role: str, name: str, holds: int) -> Worker:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "granitepoint.fleet.worker", stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE, limit=1 << 28, start_new_session=True,
        )  # fmt: skip
        return cls(role, name, holds, process)

    async def _exchange(self, line: bytes, number: int, patience: float) -> dict[str, Any]:
        assert self.process.stdin is not None and self.process.stdout is not None
        async with self.turn:
            try:
                async with asyncio.timeout(patience):
                    self.process.stdin.write(line + b"\n")
                    await self.process.stdin.drain()
                    while answer := await self.process.stdout.readline():
                        reply: Reply = msgspec.json.decode(answer, type=Reply)
                        if reply.number == number:  # else to an order that was not waited for
                            break
            except (ConnectionError, TimeoutError) as fault:
                raise FleetError(f"{self.name}: {type(fault).__name__}") from None
        if not answer:
            raise FleetError(f"{self.name} has ended")
        if reply.error:
            raise FleetError(f"{self.name}: {reply.error}")
        return reply.told

    async def begin(self, spec: Spec) -> dict[str, Any]:
        return await self._exchange(msgspec.json.encode(spec), 0, START_PATIENCE)

    async def ask(
        self,
        do: str,
        names: Iterable[str] = (),
        args: dict[str, Any] | None = None,
        patience: float = ANSWER_PATIENCE,
    ) -> dict[str, Any]:
        self.orders += 1
        command = Command(self.orders, do, list(names), args or {})
        return await self._exchange(msgspec.json.encode(command), command.number, patience)

    async def end(self) -> None:
        if self.process.stdin is not None:
            self.process.stdin.close()  # it ends with its input
        try:
            async with asyncio.timeout(END_PATIENCE):
                await self.process.wait()
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


def _portions(items: list[Any], size: int) -> list[list[Any]]:
    return [items[at : at + size] for at in range(0, len(items), size)]


class Fleet:
    """All processes of one experiment. `async with` ends them whatever happens."""

    def __init__(self, experiment: Experiment, folder: Path) -> None:
        self.experiment, self.folder = experiment, folder
        self.plan: Plan = make_plan(experiment)
        self.workers: list[Worker] = []
        self.spare: list[Worker] = []  # started, with no role yet
        self.discovery: Worker | None = None
        self.callers: list[Worker] = []
        self.programs: Worker | None = None
        self.pids: dict[str, int] = {}  # of real proxies
        self.holder: dict[str, Worker] = {}  # of each backend and proxy
        self.addresses: dict[str, str] = {}  # of proxies
        self.backends = {plan.name: plan for plan in self.plan.backends}
        self.proxies = {plan.name: plan for plan in self.plan.proxies}

    async def __aenter__(self) -> Fleet:
        return self

    async def __aexit__(self, *_: object) -> None:
        await asyncio.gather(*(one.end() for one in (*self.workers, *self.spare)), return_exceptions=True)

    async def _launch(self, role: str, name: str, holds: int, spec: Spec) -> tuple[Worker, dict[str, Any]]:
        one = self.spare.pop()
        one.role, one.name, one.holds = role, name, holds
        self.workers.append(one)
        return one, await one.begin(spec)

    async def _spawn(self) -> None:
        """All processes at once: each spends its first second on imports."""
        e = self.experiment
        hollow = sum(not plan.real for plan in self.plan.proxies)
        count = 1 + e.callers.processes + (e.proxies.real > 0)
        count += -(-len(self.plan.backends) // e.backends.per_process) + -(-hollow // e.proxies.per_process)
        if count + e.proxies.real > MOST_PROCESSES:
            raise FleetError(f"{count + e.proxies.real} processes, more than {MOST_PROCESSES}")
        for number in range(count):
            self.spare.append(await Worker.start("spare", f"spare-{number}", 0))

    async def start(self) -> None:
        """Raises FleetError. Backends first, then discovery, proxies and callers; each waits for the last."""
        await self._spawn()
        listed = await self._start_backends()
        desks, known = await self._start_discovery(listed)
        await self._start_proxies(desks, known)
        await self._start_callers()

    async def _start_backends(self) -> dict[str, list[str]]:
        e = self.experiment
        listed: dict[str, list[str]] = {}
        portions = _portions(self.plan.backends, e.backends.per_process)
        jobs = []
        for number, portion in enumerate(portions):
            spec = worker.BackendsSpec(e, derive(e.seed, "backends", number), portion)
            jobs.append(self._launch("backends", f"backends-{number}", len(portion), spec))
        for portion, (one, told) in zip(portions, await asyncio.gather(*jobs), strict=True):
            listed.update(told)
            self.holder.update((plan.name, one) for plan in portion)
        return listed

    async def _start_discovery(self, listed: dict[str, list[str]]) -> tuple[dict[str, str], dict[str, Any]]:
        e = self.experiment
        lists: list[list[ListedBackend]] = [[] for _ in range(e.backends.services)]
        for plan in self.plan.backends:
            entry = ListedBackend(plan.name, "", plan.zone, "m1", plan.cell, "Ready", 1.0, 0)
            lists[plan.service].append(entry)
        desks = [
            worker.DeskPlan(plan.name, plan.service, plan.zone, plan.region, host(DESKS, number))
            for number, plan in enumerate(self.plan.proxies)
        ]
        spec = worker.DiscoverySpec(e, lists, listed, desks)
        self.discovery, told = await self._launch("discovery", "discovery", len(desks), spec)
        return told["desks"], told["known"]

    async def _start_proxies(self, desks: dict[str, str], known: dict[str, Any]) -> None:
        e = self.experiment
        real = [plan for plan in self.plan.proxies if plan.real]
        if real:
            spec = worker.ProgramsSpec(e, real, desks, known, str(self.folder))
            self.programs, told = await self._launch("programs", "programs", len(real), spec)
            self.pids.update(told["pids"])
            self.addresses.update(told["addresses"])
            self.holder.update((plan.name, self.programs) for plan in real)
        hollow = [plan for plan in self.plan.proxies if not plan.real]
        portions = _portions(hollow, e.proxies.per_process)
        jobs = []
        for number, portion in enumerate(portions):
            names = {plan.name for plan in portion}
            asks = {name: address for name, address in desks.items() if name in names}
            of_proxies = worker.ProxiesSpec(e, portion, asks, known)
            jobs.append(self._launch("proxies", f"proxies-{number}", len(portion), of_proxies))
        for portion, (one, addresses) in zip(portions, await asyncio.gather(*jobs), strict=True):
            self.addresses.update(addresses)
            self.holder.update((plan.name, one) for plan in portion)
        wires: dict[Worker, dict[str, str]] = {}
        for plan in hollow:
            if plan.of_backend:
                wires.setdefault(self.holder[plan.of_backend], {})[plan.of_backend] = self.addresses[
                    plan.name
                ]
        await asyncio.gather(*(one.ask("wire", args=wire) for one, wire in wires.items()))

    async def _start_callers(self) -> None:
        e = self.experiment
        first = {plan.name: plan.zone for plan in self.plan.proxies if not plan.of_backend}
        addresses = {name: self.addresses[name] for name in first}
        jobs = []
        for number in range(e.callers.processes):
            spec = worker.CallersSpec(e, derive(e.seed, "callers", number), addresses, first)
            jobs.append(self._launch("callers", f"callers-{number}", 1, spec))
        self.callers = [one for one, _ in await asyncio.gather(*jobs)]

    # orders
    async def tell(self, do: str, names: Iterable[str], **args: Any) -> list[dict[str, Any]]:
        """The same order to whoever holds each of these backends or proxies."""
        groups: dict[Worker, list[str]] = {}
        for name in names:
            groups.setdefault(self.holder[name], []).append(name)
        answers = await asyncio.gather(*(one.ask(do, group, args) for one, group in groups.items()))
        for one, answer in zip(groups, answers, strict=True):
            if one is self.programs and "pids" in answer:
                self.pids.update(answer["pids"])
        return answers

    async def ask_discovery(self, do: str, names: Iterable[str] = (), **args: Any) -> dict[str, Any]:
        assert self.discovery is not None
        return await self.discovery.ask(do, names, args)

    async def all(
        self, role: str, do: str, patience: float = ANSWER_PATIENCE, **args: Any
    ) -> list[dict[str, Any]]:
        """From every process of a role, in order."""
        of_role = [one for one in self.workers if one.role == role]
        return await asyncio.gather(*(one.ask(do, (), args, patience) for one in of_role))

    # measures
    def processes(self) -> list[tuple[str, str, int, int]]:
        """Role, name, process id and what it holds, of all that count as a role."""
        held = [(one.role, one.name, one.process.pid, one.holds) for one in self.workers]
        real = [("proxy", name, pid, 1) for name, pid in self.pids.items()]
        return [one for one in held if one[0] != "programs"] + real

    def usage(self) -> dict[int, Usage]:
        """Of each process that runs."""
        found = {}
        for _, _, pid, _ in self.processes():
            with contextlib.suppress(psutil.Error):
                found[pid] = Usage.of(pid)
        return found

    async def keep_in_bounds(self) -> None:
        """Raises FleetError where the processes hold too much memory; looks until cancelled."""
        bound = MEMORY_SHARE * psutil.virtual_memory().total
        while True:
            held = 0
            for _, _, pid, _ in self.processes():
                with contextlib.suppress(psutil.Error):
                    held += psutil.Process(pid).memory_info().rss
            if held > bound:
                raise FleetError(f"{held / 1e6:.0f} MB held, more than half of the machine's memory")
            await asyncio.sleep(2.0)
