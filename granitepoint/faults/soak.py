"""The soak test: runs real proxies under random faults and checks the rules against the records."""

from __future__ import annotations

import asyncio
import signal
import tempfile
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from granitepoint.faults.discovery import Mode
from granitepoint.faults.harness import READY_TIMEOUT_S, SoakHarness, soak_harness
from granitepoint.faults.process import ProxyProcess
from granitepoint.faults.rules import Violation
from granitepoint.faults.syscalls import (
    SyscallFault,
    build_library,
    compiler_path,
    fault_environment,
    injected_counts,
)

FAULT_FREE_START_S = 1.5  # time without faults at the start of a run
FAULT_FREE_END_S = 1.0  # time at the end of a run in which no new fault starts
CLIENTS_PER_PROXY = 3
SUSPENSION_S = 0.15  # time between SIGSTOP and SIGCONT
SYSCALL_FAULTS = {
    "accept": ("ENFILE", "EMFILE", "ECONNABORTED", "ENOBUFS"),
    "connect": ("EADDRNOTAVAIL", "ENETUNREACH", "EHOSTUNREACH", "ENOBUFS", "ETIMEDOUT"),
    "socket": ("ENFILE", "EMFILE", "ENOBUFS"),
    "read": ("short", "EINTR"),
    "write": ("short", "EAGAIN"),
    "epoll": ("EINTR",),
    "clock": ("5", "-3600", "3600"),
}


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """A fault that is injected `at` seconds after the start of the clients.

    discovery: its mode and capacity change. leave: a server leaves with this status. restart: a proxy is
    killed and started again. terminate: it is restarted gracefully. reload: it gets a new address of
    discovery. hold: it is suspended for SUSPENSION_S.
    """

    at: float
    kind: str  # discovery, leave, restart, terminate, reload or hold
    target: str = ""  # name of the proxy, or of the server that leaves
    mode: Mode = Mode.ANSWERING
    calls_per_s: float = 1000.0
    status: str = "Gone"
    passes_checks: bool = True


@dataclass(slots=True)
class Plan:
    """What is run for one seed. `proxies` and `servers` are their numbers."""

    seed: int
    duration_s: float
    proxies: int
    servers: int
    faults: list[ScheduledFault]
    syscall_faults: dict[str, list[SyscallFault]]  # by the name of their proxy


@dataclass(slots=True)
class Report:
    """The result of a run: numbers of requests by their outcome, and the violations."""

    plan: Plan
    requests: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    injected: dict[str, int] = field(default_factory=dict)  # number of faults by system call and fault
    violations: list[Violation] = field(default_factory=list)

    @property
    def never_injected(self) -> list[str]:
        """The planned system call faults that never occurred: the run proves nothing about them."""
        return sorted(name for name, count in self.injected.items() if not count)


def draw_plan(seed: int, duration_s: float, proxies: int, servers: int) -> Plan:
    """Draws a random plan. The same arguments give the same plan."""
    random = Random(f"soak {seed}")
    proxy_names = [f"n{number}" for number in range(proxies)]
    end = duration_s - FAULT_FREE_END_S
    faults = []
    at = FAULT_FREE_START_S
    while at < end:
        mode = random.choice(list(Mode))
        calls_per_s = random.choice([1000.0, 4.0 * proxies, 1.0 * proxies])
        faults.append(ScheduledFault(at, "discovery", mode=mode, calls_per_s=calls_per_s))
        # A proxy is most likely to miss the departure of a server close to a change of discovery's mode.
        if random.random() < 0.6:
            server = f"s-{random.randrange(servers - 2):04x}"
            status = random.choice(["Gone", "Terminating"])
            passes = random.random() < 0.7
            leaves_at = max(FAULT_FREE_START_S, at + random.choice([-0.3, 0.0, 0.3]))
            faults.append(ScheduledFault(leaves_at, "leave", server, status=status, passes_checks=passes))
        at += random.choice([0.3, 1.0, 3.0, 8.0])
    for name in proxy_names:
        kind = random.choice(["restart", "terminate", "reload", "hold", "none", "none"])
        if kind != "none":
            faults.append(
                ScheduledFault(
                    random.uniform(FAULT_FREE_START_S, max(FAULT_FREE_START_S, end - 4.0)), kind, name
                )
            )
    syscall_faults = {name: _draw_syscall_faults(random, duration_s) for name in proxy_names}
    return Plan(
        seed, duration_s, proxies, servers, sorted(faults, key=lambda fault: fault.at), syscall_faults
    )


def _draw_syscall_faults(random: Random, duration_s: float) -> list[SyscallFault]:
    faults = []
    for call in random.sample(list(SYSCALL_FAULTS), 2):
        start = random.uniform(FAULT_FREE_START_S, duration_s / 2)
        share = 1.0 if call == "clock" else 0.3
        faults.append(
            SyscallFault(
                call, random.choice(SYSCALL_FAULTS[call]), share, round(start, 2), round(start + 2.0, 2)
            )
        )
    return faults


async def run_plan(plan: Plan, folder: Path) -> Report:
    """Runs a plan.

    Raises RuntimeError if the library can't be built or a proxy exits before it is ready, and TimeoutError if
    a proxy is not ready in time; as part of an ExceptionGroup if that happens at a restart.
    """
    library = build_library(folder) if compiler_path() is not None else None
    async with soak_harness(folder, plan.seed, plan.servers) as harness:
        harness.settings["balancers"] = plan.proxies
        counts_paths = {}
        for name, faults in plan.syscall_faults.items():
            counts_paths[name] = folder / f"{name}.counts"
            variables = fault_environment(library, faults, plan.seed, counts_paths[name]) if library else {}
            await harness.add_proxy(variables)
        await harness.wait_until_ready()
        client_tasks = [harness.start_clients(proxy, CLIENTS_PER_PROXY) for proxy in harness.proxies]
        await _inject_faults(harness, plan)
        for clients in harness.clients:
            clients.stopped = True
        await asyncio.gather(*client_tasks)
        report = Report(plan, violations=harness.find_violations())
        for request in (request for clients in harness.clients for request in clients.requests):
            report.requests += 1
            report.served += request.code == 200
            report.refused += request.code in (429, 503)
            report.failed += request.code not in (0, 200, 429, 503)
        if library is not None:
            for name, faults in plan.syscall_faults.items():
                for fault, count in injected_counts(faults, counts_paths[name]).items():
                    key = f"{fault.call} {fault.fault}"
                    report.injected[key] = report.injected.get(key, 0) + count
        return report


async def _inject_faults(harness: SoakHarness, plan: Plan) -> None:
    """Injects each fault at its time, and returns at the end of the run."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    async with asyncio.TaskGroup() as group:
        for fault in plan.faults:
            await asyncio.sleep(max(0.0, started_at + fault.at - loop.time()))
            group.create_task(_inject_fault(harness, fault))
        await asyncio.sleep(max(0.0, started_at + plan.duration_s - loop.time()))


async def _inject_fault(harness: SoakHarness, fault: ScheduledFault) -> None:
    if fault.kind == "discovery":
        harness.discovery.calls_per_s = fault.calls_per_s
        harness.discovery.set_mode(fault.mode)
        return
    if fault.kind == "leave":
        server = harness.servers[fault.target]
        if harness.discovery.entries[fault.target].status != "Gone":
            server.passes_checks = fault.passes_checks
            harness.discovery.set_status(fault.status, fault.target)
        return
    proxy = next(each for each in harness.proxies if each.name == fault.target)
    await PROXY_FAULTS[fault.kind](harness, proxy)


async def _restart(harness: SoakHarness, proxy: ProxyProcess) -> None:
    await harness.restart(proxy)
    await proxy.wait_until_ready(READY_TIMEOUT_S)


async def _reload(harness: SoakHarness, proxy: ProxyProcess) -> None:
    harness.move_discovery(proxy)


async def _suspend(harness: SoakHarness, proxy: ProxyProcess) -> None:
    proxy.send_signal(signal.SIGSTOP)
    await asyncio.sleep(SUSPENSION_S)
    proxy.send_signal(signal.SIGCONT)


PROXY_FAULTS: dict[str, Callable[[SoakHarness, ProxyProcess], Awaitable[None]]] = {
    "restart": _restart,
    "terminate": lambda harness, proxy: harness.restart_gracefully(proxy),
    "reload": _reload,
    "hold": _suspend,
}


async def soak(
    seeds: Sequence[int], duration_s: float, proxies: int, servers: int, max_parallel: int
) -> list[Report]:
    """Runs the plans of these seeds, at most `max_parallel` at a time. Returns their reports in order.

    Raises the same errors as `run_plan`.
    """
    slots = asyncio.Semaphore(max_parallel)

    async def run_seed(seed: int) -> Report:
        async with slots:
            with tempfile.TemporaryDirectory() as folder:
                return await run_plan(draw_plan(seed, duration_s, proxies, servers), Path(folder))

    return list(await asyncio.gather(*(run_seed(seed) for seed in seeds)))


def report_lines(report: Report) -> list[str]:
    """Formats a report for printing, with the plan and the command that repeats it if a rule was violated."""
    plan = report.plan
    lines = [
        f"seed {plan.seed}: {report.requests} requests, {report.served} served, {report.refused} refused, "
        f"{report.failed} failed, {sum(report.injected.values())} failing calls, "
        f"{len(report.violations)} breaks"
    ]
    if report.never_injected:
        lines.append(f"  never struck: {', '.join(report.never_injected)}")
    for violation in report.violations[:5]:
        lines.append(f"  {violation.rule}: {violation.call_id}: {violation.text}")
    if report.violations:
        size = f"--seconds {plan.duration_s:g} --proxies {plan.proxies} --servers {plan.servers}"
        lines.append(f"  again: granitepoint soak --seeds {plan.seed} {size}")
        for fault in plan.faults:
            detail = fault.mode.value if fault.kind == "discovery" else fault.status
            lines.append(f"  {fault.at:.1f} {fault.kind} {fault.target} {detail}")
        for name, faults in plan.syscall_faults.items():
            lines.append(f"  {name}: {'; '.join(map(str, faults))}")
    return lines
