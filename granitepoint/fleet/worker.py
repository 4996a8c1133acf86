"""One worker process of a fleet: simulates members of one role, such as backends, as commanded over a pipe.

Standard input: the specification of the role, then commands, one JSON line each; standard output: a reply to
each. The process ends with its input, so that it doesn't outlive the run that started it, and after
MAX_LIFETIME in any case.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import json
import logging
import os
import signal
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

import msgspec
import numpy as np
import uvloop

from granitepoint.fleet import backends as simulated_backends
from granitepoint.fleet.callers import Callers, Front, ProxyTarget, call_next_service, proxy_targets
from granitepoint.fleet.discovery import CallCounts, Discovery, ListedBackend, ServiceList
from granitepoint.fleet.experiment import Experiment
from granitepoint.fleet.measure import Histogram
from granitepoint.fleet.plan import BackendPlan, ProxyPlan, derive_seed
from granitepoint.fleet.proxies import HollowProxy, StageTimes
from granitepoint.fleet.wire import Listener, Message, split_address
from granitepoint.net import logs
from granitepoint.net.config import Config, flatten_settings
from granitepoint.simulator_adapter import read_settings

MAX_LIFETIME = 900.0  # s after which the process ends in any case


class BackendsSpec(msgspec.Struct, tag="backends"):
    """The simulated backends of one worker process."""

    experiment: Experiment
    seed: int
    backends: list[BackendPlan]


class DiscoveryEndpointPlan(msgspec.Struct):
    """The discovery endpoint of one proxy: where it listens and which list it serves."""

    name: str
    service: int
    zone: str
    region: int
    host: str


class DiscoverySpec(msgspec.Struct, tag="discovery"):
    """The discovery service, with the server lists that it starts with."""

    experiment: Experiment
    lists: list[list[ListedBackend]]  # the first server list of each service
    addresses: dict[str, list[str]]  # backend: its address for each region
    desks: list[DiscoveryEndpointPlan]  # endpoints, one for each proxy


class ProxiesSpec(msgspec.Struct, tag="proxies"):
    """The hollow proxies of one worker process."""

    experiment: Experiment
    proxies: list[ProxyPlan]
    discovery: dict[str, str]  # proxy: its discovery address
    known: dict[str, dict[str, Any]]  # "SERVICE REGION" (indices): the server list in the configuration


class RealProxiesSpec(msgspec.Struct, tag="programs"):
    """All real proxies of the fleet: each is the program itself, in a process that the worker starts."""

    experiment: Experiment
    proxies: list[ProxyPlan]
    discovery: dict[str, str]  # as in ProxiesSpec
    known: dict[str, dict[str, Any]]
    folder: str  # of configurations and logs


class CallersSpec(msgspec.Struct, tag="callers"):
    """The callers of one worker process."""

    experiment: Experiment
    seed: int
    proxies: dict[str, str]  # proxies that the callers use: name, address
    zones: dict[str, str]  # their zones, by name


Spec = BackendsSpec | DiscoverySpec | ProxiesSpec | RealProxiesSpec | CallersSpec


class Command(msgspec.Struct):
    """One line of input after the role: the method `do_<do>` of the role is called with it."""

    number: int  # unique; the reply has the same number
    do: str
    names: list[str] = []  # members (for discovery: backends or zones) that it applies to
    args: dict[str, Any] = {}


class Reply(msgspec.Struct):
    """One line of output: the reply to a command, or the report that the role has started."""

    number: int = 0  # of the command; 0: the role has started
    told: dict[str, Any] = {}  # the result
    error: str = ""  # why the command failed


class Role:
    """Base of the roles: what a worker process simulates.

    `start` is called first; `do_X` carries out the command X. Their results are sent as replies. `end` is
    called when the input ends.
    """

    async def start(self) -> dict[str, Any]:
        """Starts all members; returns what other processes need, such as addresses."""
        raise NotImplementedError

    async def do_mark(self, command: Command) -> dict[str, Any]:
        """Starts the measured time: counts from before it are not reported."""
        return {}

    async def do_figures(self, command: Command) -> dict[str, Any]:
        """Returns what was counted since `do_mark`."""
        return {}

    async def end(self) -> None:
        """Stops what the role has started."""
        pass


class BackendsRole(Role):
    """Simulated backends, of one service or of several services."""

    def __init__(self, spec: BackendsSpec) -> None:
        """Creates the backends; those of every service but the last call the next service."""
        self.spec = spec
        sizes = spec.experiment.backends
        settings = spec.experiment.parsed_settings()
        self.classes = {cls.name: cls for cls in settings.classes}
        self.fronts: dict[str, Front] = {}
        self.next_call_count = 0
        failure_rng = np.random.default_rng(derive_seed(spec.seed, "fails"))
        failure_draws = iter(lambda: float(failure_rng.random()), None)
        service_times = simulated_backends.draw_service_times(sizes, derive_seed(spec.seed, "times"))
        last_service = sizes.services - 1
        self.backends = {
            plan.name: simulated_backends.Backend(
                plan.name, plan.zone, plan.hosts, sizes, settings, service_times, failure_draws,
                self._call_next_service if plan.service < last_service else None,
            )
            for plan in spec.backends
        }  # fmt: skip
        self.services = {plan.name: plan.service for plan in spec.backends}
        self.idle_sweep_task: asyncio.Task[None] | None = None

    async def start(self) -> dict[str, Any]:
        """Opens all listeners; returns the addresses of each backend, one for the proxies of each region."""
        for backend in self.backends.values():
            backend.start()
        self.idle_sweep_task = asyncio.create_task(
            simulated_backends.sweep_idle(list(self.backends.values()))
        )
        return {
            name: [listener.address for listener in backend.listeners]
            for name, backend in self.backends.items()
        }

    def _call_next_service(self, backend: simulated_backends.Backend, message: Message) -> asyncio.Task[bool]:
        """Makes a backend's own calls to the next service; whether all were served is the task's result."""
        cls = self.classes[message.target[1:].partition("?")[0].partition("/")[0]]
        budget_header = message.headers.get("x-budget", "")
        budget_s = (
            float(budget_header[:-1]) / (1e3 if budget_header.endswith("m") else 1e6)
            if budget_header
            else cls.deadline
        )
        self.next_call_count += 1
        call_id = f"{backend.name}-{self.next_call_count}"
        fanout = self.spec.experiment.backends.fanout
        return asyncio.get_running_loop().create_task(
            call_next_service(self.fronts[backend.name], cls, call_id, message.received_at + budget_s, fanout)
        )

    async def do_wire(self, command: Command) -> dict[str, Any]:
        """Sets the proxy through which each backend calls the next service."""
        for name, address in command.args.items():
            self.fronts[name] = Front([ProxyTarget(split_address(address), "", up=True)], 0.0)
        return {}

    async def do_start(self, command: Command) -> dict[str, Any]:
        """Starts the named backends again, cold."""
        for name in command.names:
            self.backends[name].start(cold=True)
        return {}

    async def do_drain(self, command: Command) -> dict[str, Any]:
        """Lets the named backends drain: they reject new requests."""
        for name in command.names:
            self.backends[name].drain()
        return {}

    async def do_stop(self, command: Command) -> dict[str, Any]:
        """Stops the named backends as if their processes were killed."""
        for name in command.names:
            self.backends[name].stop()
        return {}

    def _listeners(self, command: Command) -> list[Listener]:
        """The listeners of the named backends for the proxies of the given regions; none given: of all."""
        regions = command.args.get("regions")
        return [
            listener
            for name in command.names
            for region, listener in enumerate(self.backends[name].listeners)
            if regions is None or region in regions
        ]

    async def do_cut(self, command: Command) -> dict[str, Any]:
        """Makes the selected listeners silent, as in a network partition."""
        for listener in self._listeners(command):
            listener.partition()
        return {}

    async def do_heal(self, command: Command) -> dict[str, Any]:
        """Makes the selected listeners reachable again."""
        for listener in self._listeners(command):
            listener.heal()
        return {}

    async def do_mark(self, command: Command) -> dict[str, Any]:
        """Resets the counts of the backends."""
        for backend in self.backends.values():
            backend.counts.clear()
        return {}

    async def do_figures(self, command: Command) -> dict[str, Any]:
        """Returns the summed counts of the backends, by service."""
        counts: dict[int, Counter[str]] = {}
        for name, backend in self.backends.items():
            counts.setdefault(self.services[name], Counter()).update(backend.counts)
        return {str(service): dict(count) for service, count in counts.items()}

    async def end(self) -> None:
        """Stops closing idle connections."""
        if self.idle_sweep_task is not None:
            self.idle_sweep_task.cancel()


class DiscoveryRole(Role):
    """The simulated discovery service, with an endpoint of its own for each proxy."""

    def __init__(self, spec: DiscoverySpec) -> None:
        """Creates the server list of each service."""
        self.spec = spec
        self.discovery = Discovery(spec.experiment.discovery)
        for entries in spec.lists:
            service_list = ServiceList(spec.experiment.discovery.kept_changes)
            for entry in entries:
                service_list.add(entry, spec.addresses[entry.name])
            self.discovery.service_lists.append(service_list)
        self.bytes_at_mark: dict[str, tuple[int, int]] = {}
        self.busy_at_mark = 0.0

    async def start(self) -> dict[str, Any]:
        """Opens an endpoint for each proxy.

        Returns their addresses, and the first list of each service and region as proxies get it in their
        configuration.
        """
        endpoints = [
            self.discovery.add_endpoint(plan.name, plan.service, plan.zone, plan.region, plan.host)
            for plan in self.spec.desks
        ]
        known = {
            f"{service} {region}": msgspec.json.decode(service_list.answer(None, region)[0])
            for service, service_list in enumerate(self.discovery.service_lists)
            for region in range(len(self.spec.experiment.regions))
        }
        return {"desks": {endpoint.name: endpoint.listener.address for endpoint in endpoints}, "known": known}

    async def do_change(self, command: Command) -> dict[str, Any]:
        """Changes entries of one service's list; returns the new version and the monotonic time."""
        args = command.args
        version = self.discovery.change(
            args["service"], command.names, args.get("status", ""), args.get("weight", 0.0),
            args.get("since_ms", 0),
        )  # fmt: skip
        return {"version": version, "at": time.monotonic()}

    async def do_down(self, command: Command) -> dict[str, Any]:
        """Takes discovery down: connections are reset and new ones refused."""
        self.discovery.down()
        return {}

    async def do_up(self, command: Command) -> dict[str, Any]:
        """Brings discovery back; returns the monotonic time."""
        self.discovery.up()
        return {"at": time.monotonic()}

    async def do_cut(self, command: Command) -> dict[str, Any]:
        """Partitions the proxies of the named zones from discovery."""
        self.discovery.partition(command.names)
        return {}

    async def do_heal(self, command: Command) -> dict[str, Any]:
        """Makes all proxies reach discovery again; returns the monotonic time."""
        self.discovery.heal()
        return {"at": time.monotonic()}

    async def do_mark(self, command: Command) -> dict[str, Any]:
        """Resets the counts of all endpoints."""
        discovery = self.discovery
        discovery.calls_by_slot.clear()
        discovery.started_at = time.monotonic()
        self.busy_at_mark = discovery.work_queue.busy_time
        for name, endpoint in discovery.endpoints.items():
            endpoint.counts = CallCounts()
            self.bytes_at_mark[name] = endpoint.listener.bytes_in, endpoint.listener.bytes_out
        return {}

    async def do_figures(self, command: Command) -> dict[str, Any]:
        """Returns the counts of all proxies together.

        `most_bytes_of_one` is the largest number of bytes exchanged with one proxy. `told` has for each proxy
        the monotonic time at which each list version was first sent to it.
        """
        discovery = self.discovery
        names = (
            "calls",
            "whole_lists",
            "changes",
            "empty",
            "entries",
            "refused",
            "watches_begun",
            "renewed",
        )
        totals = Counter({name: 0 for name in names})
        max_bytes = bytes_in = bytes_out = 0
        for name, endpoint in discovery.endpoints.items():
            for count_name in names:
                totals[count_name] += getattr(endpoint.counts, count_name)
            bytes_at_mark = self.bytes_at_mark.get(name, (0, 0))
            bytes_received, bytes_sent = (
                endpoint.listener.bytes_in - bytes_at_mark[0],
                endpoint.listener.bytes_out - bytes_at_mark[1],
            )
            bytes_in, bytes_out, max_bytes = (
                bytes_in + bytes_received,
                bytes_out + bytes_sent,
                max(max_bytes, bytes_received + bytes_sent),
            )
        return {
            **totals,
            "desks": len(discovery.endpoints),
            "bytes_in": bytes_in,
            "bytes_out": bytes_out,
            "most_bytes_of_one": max_bytes,
            "busy_s": discovery.work_queue.busy_time - self.busy_at_mark,
            "calls_by_100ms": {str(slot): count for slot, count in sorted(discovery.calls_by_slot.items())},
            "told": {name: endpoint.counts.notified_at for name, endpoint in discovery.endpoints.items()},
        }


def proxy_settings(experiment: Experiment, plan: ProxyPlan) -> dict[str, Any]:
    """The settings object in the configuration of this proxy."""
    names = [f"tier{number}" for number in range(experiment.backends.services)]
    return {
        **experiment.raw_settings(),
        "me": plan.me,
        "balancers": plan.balancers,
        "stage": plan.service,
        "stages": names,
        "zone": plan.zone,
        "dcs": experiment.backends.zones,
    }


class ProxiesRole(Role):
    """Hollow proxies: the real driver and decision module, many to a process."""

    def __init__(self, spec: ProxiesSpec) -> None:
        """Creates the proxies without starting them."""
        self.spec = spec
        sizes = spec.experiment.proxies
        self.proxies: dict[str, HollowProxy] = {}
        for plan in spec.proxies:
            config = Config(
                name=plan.name,
                listen=(plan.host, 0),
                discovery=split_address(spec.discovery[plan.name]),
                seed=plan.seed,
                sockets=sizes.sockets,
                memory_mb=sizes.memory_mb,
                known=spec.known[f"{plan.service} {plan.region}"],
                settings=read_settings(flatten_settings(proxy_settings(spec.experiment, plan))),
            )
            self.proxies[plan.name] = HollowProxy(config, timed=sizes.timed)
        self.totals_at_mark: Counter[str] = Counter()

    async def start(self) -> dict[str, Any]:
        """Starts all proxies; returns the address of each."""
        return {name: await proxy.start() for name, proxy in self.proxies.items()}

    async def do_start(self, command: Command) -> dict[str, Any]:
        """Starts the named proxies again."""
        for name in command.names:
            await self.proxies[name].start()
        return {}

    async def do_stop(self, command: Command) -> dict[str, Any]:
        """Ends the named proxies as if their processes were killed."""
        for name in command.names:
            self.proxies[name].kill()
        return {}

    def _totals(self) -> Counter[str]:
        """The counts of all proxies since they were created."""
        totals: Counter[str] = Counter()
        for proxy in self.proxies.values():
            totals.update(proxy.statistics()["totals"])
        return totals

    async def do_mark(self, command: Command) -> dict[str, Any]:
        """Resets counts and stage times; collects garbage, and exempts what remains from later collection."""
        gc.collect()
        gc.freeze()
        self.totals_at_mark = self._totals()
        for proxy in self.proxies.values():
            if proxy.driver is not None and proxy.timed:
                proxy.driver.stages = proxy.stages = StageTimes()
        return {}

    async def do_figures(self, command: Command) -> dict[str, Any]:
        """Returns the summed counts, and the stage times of calls as encoded histograms.

        `in_force` and `starts` have for each proxy the monotonic times at which it applied list versions and
        at which it was started; `serving` has the number of servers in its pool.
        """
        totals = self._totals()
        totals.subtract(self.totals_at_mark)
        histograms: dict[str, Histogram] = {}
        reuse_delays = 0
        for proxy in self.proxies.values():
            if proxy.stages is not None:
                reuse_delays += proxy.stages.reuse_delays
                for name, histogram in proxy.stages.histograms.items():
                    histograms.setdefault(name, Histogram()).merge(histogram)
        figures = {name: proxy.statistics() for name, proxy in self.proxies.items()}
        return {
            "totals": dict(totals),
            "stages": {name: histogram.encode() for name, histogram in histograms.items()},
            "settling": reuse_delays,
            "in_force": {name: proxy_figures["in_force"] for name, proxy_figures in figures.items()},
            "starts": {name: proxy_figures["starts"] for name, proxy_figures in figures.items()},
            "serving": {name: proxy_figures["serving"] for name, proxy_figures in figures.items()},
        }

    async def end(self) -> None:
        """Ends all proxies as if their processes were killed."""
        for proxy in self.proxies.values():
            proxy.kill()


class RealProxiesRole(Role):
    """Starts, restarts and kills real proxies."""

    def __init__(self, spec: RealProxiesSpec) -> None:
        self.spec = spec
        self.plans = {plan.name: plan for plan in spec.proxies}
        self.ports: dict[str, int] = {}
        self.processes: dict[str, asyncio.subprocess.Process] = {}

    async def start(self) -> dict[str, Any]:
        """Starts all real proxies; returns their addresses and process ids."""
        import socket

        for name, plan in self.plans.items():
            # The port that is chosen here stays free until the proxy listens on it, as no other process uses
            # this loopback address.
            with socket.socket() as temporary_socket:
                temporary_socket.bind((plan.host, 0))
                self.ports[name] = temporary_socket.getsockname()[1]
            await self._launch(name)
        return self._addresses_and_pids()

    def _addresses_and_pids(self) -> dict[str, Any]:
        """The addresses and the process ids of all real proxies, by name."""
        return {
            "addresses": {name: f"{plan.host}:{self.ports[name]}" for name, plan in self.plans.items()},
            "pids": {name: process.pid for name, process in self.processes.items()},
        }

    async def _launch(self, name: str) -> None:
        """Writes the configuration of a proxy and starts its process, which logs to a file beside it."""
        plan, sizes = self.plans[name], self.spec.experiment.proxies
        listen = f"{plan.host}:{self.ports[name]}"
        config = {
            "name": name,
            "listen": listen,
            "discovery": self.spec.discovery[name],
            "seed": f"{plan.seed:x}",
            "limits": {"cores": 1.0, "memory_mb": sizes.memory_mb, "sockets": sizes.sockets},
            "known": self.spec.known[f"{plan.service} {plan.region}"],
            "settings": proxy_settings(self.spec.experiment, plan),
        }
        folder = Path(self.spec.folder)
        path = folder / f"{name}.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        environment = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
        environment["EDGE_CONFIG"] = str(path)
        with (folder / f"{name}.log").open("ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "granitepoint", env=environment, stdin=asyncio.subprocess.DEVNULL,
                stdout=log, stderr=log,
            )  # fmt: skip

    async def do_start(self, command: Command) -> dict[str, Any]:
        """Starts the named proxies again; returns the addresses and process ids of all."""
        for name in command.names:
            await self._launch(name)
        return self._addresses_and_pids()

    async def do_stop(self, command: Command) -> dict[str, Any]:
        """Kills the named proxies."""
        for name in command.names:
            self.processes[name].kill()
            await self.processes[name].wait()
        return {}

    async def do_figures(self, command: Command) -> dict[str, Any]:
        """Returns the names of the proxies whose process has exited or was killed."""
        return {"ended": [name for name, process in self.processes.items() if process.returncode is not None]}

    async def end(self) -> None:
        """Kills all proxies."""
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.kill()  # all measurements are done, so a graceful shutdown would only take time
            await process.wait()


class CallersRole(Role):
    """Callers that send at a planned rate, through a front that chooses a proxy of their zone."""

    def __init__(self, spec: CallersSpec) -> None:
        self.spec = spec
        sizes = spec.experiment.callers
        self.front = Front(proxy_targets(spec.proxies, spec.zones), sizes.notice_s)
        settings = spec.experiment.parsed_settings()
        self.callers = Callers(
            self.front,
            settings.classes,
            sizes.mix,
            spec.experiment.backends.zones,
            sizes.retries,
            sizes.retry_wait_s,
            spec.seed,
        )
        self.tasks: list[asyncio.Task[None]] = []
        self.planned = 0

    async def start(self) -> dict[str, Any]:
        """Waits until every proxy is healthy."""
        await self.front.wait_until_ready()
        return {}

    async def do_call(self, command: Command) -> dict[str, Any]:
        """Sends calls from `begin` to `end` and counts those planned from `mark` on (all monotonic times)."""
        args = command.args
        self.callers.measured_from = args["mark"]
        if args["rate"] > 0:
            self.tasks.append(asyncio.create_task(self.front.run_health_checks()))
            calls = self.callers.run(args["rate"], args["begin"], args["end"])
            self.tasks.append(asyncio.create_task(calls))
        return {}

    async def do_figures(self, command: Command) -> dict[str, Any]:
        """Returns the results of the calls; waits until the last call has ended, unless `now` is set."""
        for task in self.tasks[1:]:
            if not command.args.get("now"):
                await task
        tally = self.callers.tally
        return {
            "tries": tally.tries,
            "by_second": {str(second): dict(counts) for second, counts in tally.by_second.items()},
            "by_zone": dict(tally.by_zone),
            "latency": {name: histogram.encode() for name, histogram in tally.latency.items()},
            "added": tally.added_latency.encode(),
            "late_sends": tally.send_delay.encode(),
            "looks": self.front.health_checks,
        }

    async def end(self) -> None:
        """Cancels calls and health checks."""
        for task in self.tasks:
            task.cancel()


ROLES: dict[type, type[Any]] = {
    BackendsSpec: BackendsRole,
    DiscoverySpec: DiscoveryRole,
    ProxiesSpec: ProxiesRole,
    RealProxiesSpec: RealProxiesRole,
    CallersSpec: CallersRole,
}


async def serve() -> None:
    """Carries out the commands on standard input until it ends."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=1 << 28)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)

    def send_reply(reply: Reply) -> None:
        sys.stdout.buffer.write(msgspec.json.encode(reply) + b"\n")
        sys.stdout.buffer.flush()

    spec: Spec = msgspec.json.decode(await reader.readline(), type=Spec)
    role: Role = ROLES[type(spec)](spec)
    try:
        send_reply(Reply(told=await role.start()))
        while line := await reader.readline():
            command: Command = msgspec.json.decode(line, type=Command)
            try:
                send_reply(Reply(command.number, await getattr(role, f"do_{command.do}")(command)))
            except Exception as error:
                send_reply(Reply(command.number, error=f"{command.do}: {error!r}"))
    finally:
        await role.end()


async def serve_with_time_limit() -> None:
    """As `serve`, for at most MAX_LIFETIME. Raises TimeoutError."""
    async with asyncio.timeout(MAX_LIFETIME):
        await serve()


def main() -> int:
    """Runs the worker process; returns its exit status."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the run ends this process, also on an interrupt
    logs.configure(sys.stderr, level=logging.ERROR)
    asyncio.Runner(loop_factory=uvloop.new_event_loop).run(serve_with_time_limit())
    return 0


if __name__ == "__main__":
    sys.exit(main())
