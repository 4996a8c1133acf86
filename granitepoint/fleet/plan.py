"""The plan of a fleet: names, zones and loopback addresses of all backends and proxies of an experiment."""

from __future__ import annotations

import zlib

import msgspec

from granitepoint.fleet.experiment import Experiment

# Blocks of loopback addresses, each given by the second octet of its first address.
BACKEND_BLOCK, PROXY_BLOCK, REAL_PROXY_BLOCK, DISCOVERY_BLOCK = (
    20,
    40,
    60,
    70,
)
ADDRESSES_PER_BLOCK = 250 * 250  # with the same second octet; a larger block goes on with the next octet


class BackendPlan(msgspec.Struct):
    """Name, service, location and addresses of one backend."""

    name: str
    service: int  # index of the service that it belongs to
    zone: str
    cell: int  # index of its group: every three backends of a service in a zone are one
    hosts: list[str]  # an address for the proxies of each region


class ProxyPlan(msgspec.Struct):
    """Name, service, location, address and seed of one proxy."""

    name: str
    service: int  # index of the service that it sends to
    zone: str
    region: int  # index of the region
    host: str
    me: int  # index among the proxies of its service
    balancers: int  # number of proxies of its service
    seed: int
    real: bool = False
    of_backend: str = ""  # the backend whose calls it carries; empty: it carries those of the callers


class Plan(msgspec.Struct):
    """All backends and proxies of an experiment."""

    backends: list[BackendPlan]
    proxies: list[ProxyPlan]


def loopback_address(block: int, number: int) -> str:
    """The loopback address with this number in a block; each number has another one."""
    number, last_octet = divmod(number, 250)
    block_offset, third_octet = divmod(number, 250)
    return f"127.{block + block_offset}.{third_octet}.{last_octet + 1}"


def derive_seed(seed: int, *names: object) -> int:
    """A seed for the named part of an experiment; it depends on `seed` and the names only."""
    return zlib.crc32(" ".join(map(str, (seed, *names))).encode())


def make_plan(experiment: Experiment) -> Plan:
    """Distributes backends and proxies over the zones.

    Each backend of a chain of services, except for those of the last, gets a proxy of its own to the next
    service.
    """
    sizes, zones = experiment.backends, experiment.backends.zones
    backends = []
    region_count = len(experiment.regions)
    for number in range(sizes.count * sizes.services):
        service, index = divmod(number, sizes.count)
        zone = zones[index % len(zones)]
        hosts = [
            loopback_address(BACKEND_BLOCK, number * region_count + region) for region in range(region_count)
        ]
        backends.append(BackendPlan(f"b{service}-{index}", service, zone, index // len(zones) // 3, hosts))
    proxies: list[ProxyPlan] = []
    caller_proxy_count = experiment.proxies.real + experiment.proxies.hollow
    for number in range(caller_proxy_count):
        zone = zones[number % len(zones)]
        real = number < experiment.proxies.real
        proxies.append(
            _proxy(experiment, f"n0-{number}", 0, zone, number, caller_proxy_count, len(proxies), real=real)
        )
    for backend in backends:
        if backend.service + 1 < sizes.services:
            index = int(backend.name.rpartition("-")[2])
            name = f"n{backend.service + 1}-{index}"
            proxies.append(
                _proxy(experiment, name, backend.service + 1, backend.zone, index, sizes.count, len(proxies),
                       of_backend=backend.name)
            )  # fmt: skip
    return Plan(backends, proxies)


def _proxy(
    experiment: Experiment,
    name: str,
    service: int,
    zone: str,
    me: int,
    balancers: int,
    number: int,
    real: bool = False,
    of_backend: str = "",
) -> ProxyPlan:
    """The plan of one proxy; `number` is its index among all proxies of the experiment."""
    return ProxyPlan(
        name=name,
        service=service,
        zone=zone,
        region=experiment.region_of(zone),
        host=loopback_address(REAL_PROXY_BLOCK if real else PROXY_BLOCK, number),
        me=me,
        balancers=balancers,
        seed=derive_seed(experiment.seed, name),
        real=real,
        of_backend=of_backend,
    )
