"""The soak: real proxies under drawn faults, and the rules held against the records of all that took part."""

from __future__ import annotations

import asyncio
import signal
import tempfile
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from granitepoint.faults.discovery import Mode
from granitepoint.faults.process import ProxyProcess
from granitepoint.faults.rig import READY_WITHIN, Rig, rig
from granitepoint.faults.rules import Break
from granitepoint.faults.syscalls import Fault, build, compiler, environment, injected

CALM = 1.5  # s at the start without trouble
LAST_CALM = 1.0  # s before the end in which no new trouble begins
CLIENTS = 3  # of each proxy
HELD_UP = 0.15  # s
ERRNOS = {
    "accept": ("ENFILE", "EMFILE", "ECONNABORTED", "ENOBUFS"),
    "connect": ("EADDRNOTAVAIL", "ENETUNREACH", "EHOSTUNREACH", "ENOBUFS", "ETIMEDOUT"),
    "socket": ("ENFILE", "EMFILE", "ENOBUFS"),
    "read": ("short", "EINTR"),
    "write": ("short", "EAGAIN"),
    "epoll": ("EINTR",),
    "clock": ("5", "-3600", "3600"),
}


@dataclass(frozen=True, slots=True)
class Trouble:
    """One thing that happens at a time of the run, in s since clients began."""

    at: float
    kind: str  # discovery, leave, restart, terminate, reload, hold
    who: str = ""
    mode: Mode = Mode.ANSWERING
    calls_per_s: float = 1000.0
    status: str = "Gone"
    passes_checks: bool = True


@dataclass(slots=True)
class Plan:
    """What one seed plays."""

    seed: int
    seconds: float
    proxies: int
    servers: int
    troubles: list[Trouble]
    faults: dict[str, list[Fault]]  # system calls that fail, by proxy


@dataclass(slots=True)
class Report:
    """What was played and found."""

    plan: Plan
    requests: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    injected: dict[str, int] = field(default_factory=dict)  # faults of system calls, by call and errno
    breaks: list[Break] = field(default_factory=list)

    @property
    def missing(self) -> list[str]:
        """Faults that were to strike and never did: a run that injected nothing shows nothing."""
        return sorted(name for name, many in self.injected.items() if not many)


def draw(seed: int, seconds: float, proxies: int, servers: int) -> Plan:
    """A plan, the same for the same arguments."""
    random = Random(f"soak {seed}")
    names = [f"n{number}" for number in range(proxies)]
    until = seconds - LAST_CALM
    troubles = []
    at = CALM
    while at < until:
        mode = random.choice(list(Mode))
        calls = random.choice([1000.0, 4.0 * proxies, 1.0 * proxies])
        troubles.append(Trouble(at, "discovery", mode=mode, calls_per_s=calls))
        if random.random() < 0.6:  # what leaves just as the mode changes is told least surely
            who = f"s-{random.randrange(servers - 2):04x}"
            status = random.choice(["Gone", "Terminating"])
            passes = random.random() < 0.7
            near = max(CALM, at + random.choice([-0.3, 0.0, 0.3]))
            troubles.append(Trouble(near, "leave", who, status=status, passes_checks=passes))
        at += random.choice([0.3, 1.0, 3.0, 8.0])
    for name in names:
        kind = random.choice(["restart", "terminate", "reload", "hold", "none", "none"])
        if kind != "none":
            troubles.append(Trouble(random.uniform(CALM, max(CALM, until - 4.0)), kind, name))
    faults = {name: _draw_faults(random, seconds) for name in names}
    return Plan(seed, seconds, proxies, servers, sorted(troubles, key=lambda each: each.at), faults)


def _draw_faults(random: Random, seconds: float) -> list[Fault]:
    plan = []
    for call in random.sample(list(ERRNOS), 2):
        begin = random.uniform(CALM, seconds / 2)
        share = 1.0 if call == "clock" else 0.3
        plan.append(Fault(call, random.choice(ERRNOS[call]), share, round(begin, 2), round(begin + 2.0, 2)))
    return plan


async def play(plan: Plan, folder: Path) -> Report:
    """Plays one plan. Raises RuntimeError where a proxy ends by itself or does not get ready."""
    library = build(folder) if compiler() is not None else None
    async with rig(folder, plan.seed, plan.servers) as made:
        made.settings["balancers"] = plan.proxies
        counts = {}
        for name, faults in plan.faults.items():
            counts[name] = folder / f"{name}.counts"
            variables = environment(library, faults, plan.seed, counts[name]) if library else {}
            await made.add_proxy(variables)
        await made.ready()
        clients = [made.start_clients(proxy, CLIENTS) for proxy in made.proxies]
        await _trouble(made, plan)
        for each in made.clients:
            each.stopped = True
        await asyncio.gather(*clients)
        report = Report(plan, breaks=made.breaks())
        for request in (request for each in made.clients for request in each.requests):
            report.requests += 1
            report.served += request.code == 200
            report.refused += request.code in (429, 503)
            report.failed += request.code not in (0, 200, 429, 503)
        if library is not None:
            for name, faults in plan.faults.items():
                for fault, many in injected(faults, counts[name]).items():
                    key = f"{fault.call} {fault.fault}"
                    report.injected[key] = report.injected.get(key, 0) + many
        return report


async def _trouble(made: Rig, plan: Plan) -> None:
    loop = asyncio.get_running_loop()
    begun = loop.time()
    async with asyncio.TaskGroup() as group:
        for trouble in plan.troubles:
            await asyncio.sleep(max(0.0, begun + trouble.at - loop.time()))
            group.create_task(_happen(made, trouble))
        await asyncio.sleep(max(0.0, begun + plan.seconds - loop.time()))


async def _happen(made: Rig, trouble: Trouble) -> None:
    if trouble.kind == "discovery":
        made.discovery.calls_per_s = trouble.calls_per_s
        made.discovery.set_mode(trouble.mode)
        return
    if trouble.kind == "leave":
        server = made.servers[trouble.who]
        if made.discovery.entries[trouble.who].status != "Gone":
            server.passes_checks = trouble.passes_checks
            made.discovery.change(trouble.status, trouble.who)
        return
    proxy = next(each for each in made.proxies if each.name == trouble.who)
    await PROXY_TROUBLES[trouble.kind](made, proxy)


async def _restart(made: Rig, proxy: ProxyProcess) -> None:
    await made.restart(proxy)
    await proxy.until_ready(READY_WITHIN)


async def _reload(made: Rig, proxy: ProxyProcess) -> None:
    made.move(proxy)


async def _hold(made: Rig, proxy: ProxyProcess) -> None:
    proxy.send(signal.SIGSTOP)
    await asyncio.sleep(HELD_UP)
    proxy.send(signal.SIGCONT)


PROXY_TROUBLES: dict[str, Callable[[Rig, ProxyProcess], Awaitable[None]]] = {
    "restart": _restart,
    "terminate": lambda made, proxy: made.terminate(proxy),
    "reload": _reload,
    "hold": _hold,
}


async def soak(
    seeds: Sequence[int], seconds: float, proxies: int, servers: int, at_once: int
) -> list[Report]:
    """Plays these seeds, some at once; the reports are in their order."""
    places = asyncio.Semaphore(at_once)

    async def one(seed: int) -> Report:
        async with places:
            with tempfile.TemporaryDirectory() as folder:
                return await play(draw(seed, seconds, proxies, servers), Path(folder))

    return list(await asyncio.gather(*(one(seed) for seed in seeds)))


def story(report: Report) -> list[str]:
    """The report as lines: what was played, what broke, and how to play it again."""
    plan = report.plan
    lines = [
        f"seed {plan.seed}: {report.requests} requests, {report.served} served, {report.refused} refused, "
        f"{report.failed} failed, {sum(report.injected.values())} failing calls, {len(report.breaks)} breaks"
    ]
    if report.missing:
        lines.append(f"  never struck: {', '.join(report.missing)}")
    for each in report.breaks[:5]:
        lines.append(f"  {each.rule}: {each.call}: {each.text}")
    if report.breaks:
        size = f"--seconds {plan.seconds:g} --proxies {plan.proxies} --servers {plan.servers}"
        lines.append(f"  again: granitepoint soak --seeds {plan.seed} {size}")
        for trouble in plan.troubles:
            told = trouble.mode.value if trouble.kind == "discovery" else trouble.status
            lines.append(f"  {trouble.at:.1f} {trouble.kind} {trouble.who} {told}")
        for name, faults in plan.faults.items():
            lines.append(f"  {name}: {'; '.join(map(str, faults))}")
    return lines
