"""An experiment file in TOML: the sizes of a fleet, the faults to inject and a seed.

Times are in seconds unless the key names another unit. In a fault, `at_s` counts from the start of the
measurement, and `for_s` is the duration.
"""

from __future__ import annotations

import copy
from pathlib import Path
from typing import Any

import msgspec

from granitepoint.interface import Settings
from granitepoint.net.config import flatten_settings
from granitepoint.simulator_adapter import read_settings


class ExperimentError(Exception):
    """The file can't be used; the message is one line that names the key."""


class _Strict(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A table of the file in which unknown keys are errors."""

    pass


class DiscoverySizes(_Strict):
    """The simulated discovery service, which answers one call at a time."""

    capacity_per_s: float = 2000.0  # answers a second
    entry_us: float = 2.0  # simulated processing time for each entry of an answer
    patience_s: float = 2.0  # a call that would have to wait longer is answered with 503 after this time
    kept_changes: int = 512  # versions; a watch from an older version is answered with the whole list


class BackendSizes(_Strict):
    """The simulated backends."""

    count: int = 20  # of each service
    services: int = 1  # above 1: a chain; each backend calls the next service through a proxy of its own
    fanout: int = 1  # calls of a backend to the next service for each request, one after another
    zones: list[str] = msgspec.field(default_factory=lambda: ["a", "b"])
    regions: list[list[str]] = []  # the zones of each region; none: a single region
    service_ms: float = 12.0  # mean of the service time
    spread: float = 0.5  # sigma of the log-normal service times; 0: constant
    fail_share: float = 0.0  # share of accepted requests that are answered with 500
    cores: int = 4  # requests that run at the same time
    queue: int = 64  # requests that may wait for a core
    connections: int = 256  # above this number, the first request on a new connection is rejected
    handshake_ms: float = 0.0  # added to the service time of the first request on a connection
    per_process: int = 200  # backends in one worker process


class ProxySizes(_Strict):
    """The proxies in front of the first service.

    A real proxy is the program in a process of its own. Hollow proxies run the same driver and decision
    module, many to a process.
    """

    real: int = 1  # real proxies of the first service
    hollow: int = 0  # hollow proxies of the first service; those of a chain's backends are added
    per_process: int = 110  # hollow proxies in one worker process
    timed: bool = False  # hollow proxies measure how long each call spends in each stage
    sockets: int = 1024  # file descriptors that each proxy may use
    memory_mb: float = 192.0  # memory that each proxy may use


class CallerSizes(_Strict):
    """The simulated callers and the front through which they reach the proxies."""

    rate_per_s: float = 50.0  # planned calls of all zones together
    processes: int = 1
    mix: dict[str, float] = {}  # share of each class in the calls; none: equal shares
    retries: int = 0  # most retries of a call; see Callers.call for the calls that are retried
    retry_wait_s: float = 0.05  # before the first retry; doubles with each
    notice_s: float = 3.0  # between the front's health checks of a proxy


class Change(_Strict, tag="change", tag_field="kind"):
    """Changes the weights of `entries` backends `times` times, with one new list version for each service."""

    at_s: float
    entries: int = 1
    times: int = 1
    every_s: float = 1.0


class Restarts(_Strict, tag="restarts", tag_field="kind"):
    """Restarts `count` backends, evenly spread over `over_s`: listed as draining, killed, started cold."""

    at_s: float
    count: int
    over_s: float
    drain_s: float = 1.0  # from the change of a backend's status to Terminating until it is killed
    down_s: float = 2.0  # until it is started again
    proxies: bool = False  # hollow proxies of the first service with the same numbers restart too


class Crash(_Strict, tag="crash", tag_field="kind"):
    """Kills backends; discovery removes them from the lists only later. They come back cold."""

    at_s: float
    count: int
    for_s: float
    notice_s: float = 2.0  # from the crash until discovery removes the backends


class DiscoveryOutage(_Strict, tag="discovery_outage", tag_field="kind"):
    """Takes discovery down. A change that is made just before it is back has to reach each proxy then."""

    at_s: float
    for_s: float


class ZoneLoss(_Strict, tag="zone_loss", tag_field="kind"):
    """Cuts a zone off from the network: its backends become silent, and its proxies are killed.

    At the end, backends and proxies are started as new processes, the backends cold.
    """

    at_s: float
    for_s: float
    zone: str
    notice_s: float = 2.0  # from the cut until discovery removes the backends


class RegionCut(_Strict, tag="region_cut", tag_field="kind"):
    """Separates the regions: none reaches another's backends, and only the first reaches discovery."""

    at_s: float
    for_s: float


Fault = Change | Restarts | Crash | DiscoveryOutage | ZoneLoss | RegionCut

# Request classes and settings of the proxies, in the form of a proxy's configuration.
DEFAULT_CLASSES: list[dict[str, Any]] = [
    {"name": "read", "value": 1.0, "objective": 0.3, "deadline": 1.0, "effect": "repeatable",
     "late_worth": 0.3, "group": "all", "stream": False},
    {"name": "order", "value": 4.0, "objective": 0.5, "deadline": 1.5, "effect": "by_key",
     "late_worth": 0.5, "group": "zone", "window": 3.0, "stream": False},
    {"name": "pay", "value": 8.0, "objective": 0.8, "deadline": 2.0, "effect": "once",
     "late_worth": 0.5, "group": "all", "stream": False},
]  # fmt: skip
DEFAULT_SETTINGS: dict[str, Any] = {
    "discovery": "ask", "quantum": 0.005, "grades": DEFAULT_CLASSES, "tenants": [], "weights": "off",
    "report": {"names": ["busy_reqs", "pending"], "via": "on_probe"},
    "policy_limits": {
        "send_cap": 3, "may_duplicate": False, "may_cancel": True, "probes": True, "conn_idle": 30.0,
        "connect_timeout": 0.25, "most_held": 20000, "retry_after": True, "max_retry_after": 2.0,
    },
    "contract": {
        "must_ask_in": 10.0, "grace_to_answer": 0.02, "drain_grace": 1.0, "cold_from": 0.2, "cold": 10.0,
        "fall_multiple": 3.0, "overload_for": 2.0,
    },
    "charges": {"probe": 0.06},
}  # fmt: skip


class Experiment(_Strict):
    """An experiment file."""

    name: str
    seed: int
    duration_s: float  # of the measurement, which starts when the fleet has settled
    settle_s: float = 3.0  # from the first call to the measurement; calls are not counted in this time
    discovery: DiscoverySizes = msgspec.field(default_factory=DiscoverySizes)
    backends: BackendSizes = msgspec.field(default_factory=BackendSizes)
    proxies: ProxySizes = msgspec.field(default_factory=ProxySizes)
    callers: CallerSizes = msgspec.field(default_factory=CallerSizes)
    settings: dict[str, Any] = {}  # replace keys of DEFAULT_SETTINGS
    troubles: list[Fault] = []

    def raw_settings(self) -> dict[str, Any]:
        """The settings that all proxies share, in the form of their configuration. Raises ExperimentError."""
        return _merge_settings(DEFAULT_SETTINGS, self.settings, "settings")

    def parsed_settings(self) -> Settings:
        """The settings as the decision module reads them. Raises ExperimentError."""
        raw = {**self.raw_settings(), "me": 0, "balancers": 1}
        try:
            return read_settings(flatten_settings(raw))
        except ValueError as error:
            raise ExperimentError(f"settings: {error}") from None

    @property
    def regions(self) -> list[list[str]]:
        """The zones of each region."""
        return self.backends.regions or [self.backends.zones]

    def region_of(self, zone: str) -> int:
        """The index of the region of this zone."""
        return next(number for number, zones in enumerate(self.regions) if zone in zones)


def _merge_settings(base: dict[str, Any], changes: dict[str, Any], path: str) -> dict[str, Any]:
    """`base` with the given changes, nested tables merged. Raises ExperimentError for an unknown key."""
    merged = copy.deepcopy(base)
    for key, value in changes.items():
        if key not in base:
            raise ExperimentError(f"{path}.{key}: no such key")
        nested = isinstance(value, dict) and isinstance(base[key], dict)
        merged[key] = _merge_settings(base[key], value, f"{path}.{key}") if nested else value
    return merged


def _require(condition: bool, key: str, requirement: str) -> None:
    """Raises ExperimentError, which names the key, unless the condition holds."""
    if not condition:
        raise ExperimentError(f"{key}: {requirement}")


def check(experiment: Experiment) -> Experiment:
    """Checks what the types don't cover; a key without effect is an error too.

    Returns the experiment. Raises ExperimentError.
    """
    e = experiment
    _require(0 < e.duration_s <= 600, "duration_s", "must be above 0 and at most 600")
    _require(0 <= e.settle_s <= 60, "settle_s", "must be from 0 to 60")
    _require(e.discovery.capacity_per_s > 0, "discovery.capacity_per_s", "must be above 0")
    _require(e.backends.count >= 1, "backends.count", "must be at least 1")
    _require(1 <= e.backends.services <= 64, "backends.services", "must be from 1 to 64")
    _require(e.backends.cores >= 1, "backends.cores", "must be at least 1")
    _require(e.backends.service_ms >= 0, "backends.service_ms", "must not be below 0")
    _require(bool(e.backends.zones), "backends.zones", "must name a zone")
    backend_count = e.backends.count * e.backends.services
    _require(backend_count <= 20_000, "backends.count", "must be at most 20,000 in all services together")
    zones_of_regions = [zone for region in e.regions for zone in region]
    _require(
        sorted(zones_of_regions) == sorted(e.backends.zones), "backends.regions", "must name each zone once"
    )
    _require(0 <= e.proxies.real <= 64, "proxies.real", "must be from 0 to 64")
    _require(0 <= e.proxies.hollow <= 4000, "proxies.hollow", "must be from 0 to 4000")
    _require(e.proxies.real + e.proxies.hollow > 0, "proxies", "must be at least one, real or hollow")
    _require(min(e.proxies.per_process, e.backends.per_process) >= 1, "per_process", "must be at least 1")
    _require(
        e.proxies.hollow > 0 or not e.proxies.timed, "proxies.timed", "has no effect without hollow proxies"
    )
    _require(
        e.backends.services > 1 or e.backends.fanout == 1,
        "backends.fanout",
        "has no effect with a single service",
    )
    _require(0 <= e.callers.rate_per_s <= 50_000, "callers.rate_per_s", "must be from 0 to 50,000")
    _require(1 <= e.callers.processes <= 32, "callers.processes", "must be from 1 to 32")
    _require(e.callers.rate_per_s > 0 or not e.callers.mix, "callers.mix", "has no effect without calls")
    class_names = {cls.name for cls in e.parsed_settings().classes}
    for name, share in e.callers.mix.items():
        _require(name in class_names, f"callers.mix.{name}", "no such class in the settings")
        _require(share >= 0, f"callers.mix.{name}", "must not be below 0")
    _require(not e.callers.mix or sum(e.callers.mix.values()) > 0, "callers.mix", "must have a share above 0")
    for number, fault in enumerate(e.troubles):
        _check_fault(e, fault, f"troubles[{number}]")
    return e


def _check_fault(experiment: Experiment, fault: Fault, path: str) -> None:
    """Checks one of the `troubles`; `path` names it in errors."""
    backend_count = experiment.backends.count * experiment.backends.services
    _require(
        0 <= fault.at_s < experiment.duration_s, f"{path}.at_s", "has no effect: the run is over by then"
    )
    if isinstance(fault, ZoneLoss):
        _require(fault.zone in experiment.backends.zones, f"{path}.zone", f"no such zone: {fault.zone}")
    if isinstance(fault, RegionCut):
        _require(len(experiment.regions) > 1, f"{path}.kind", "has no effect with a single region")
    if isinstance(fault, Restarts | Crash):
        _require(
            1 <= fault.count <= backend_count,
            f"{path}.count",
            f"must be from 1 to {backend_count}, all backends",
        )
    if isinstance(fault, Change):
        _require(
            1 <= fault.entries <= backend_count,
            f"{path}.entries",
            f"must be from 1 to {backend_count}, all backends",
        )
        _require(
            fault.times >= 1 and fault.every_s > 0,
            f"{path}.times",
            "must be at least 1, with every_s above 0",
        )


def parse(text: str | bytes) -> Experiment:
    """Reads and checks the TOML text of an experiment. Raises ExperimentError."""
    try:
        return check(msgspec.toml.decode(text, type=Experiment))
    except (msgspec.ValidationError, msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ExperimentError(" ".join(str(error).split())) from None


def load(path: Path) -> Experiment:
    """Reads and checks an experiment file. Raises ExperimentError, which names the file."""
    try:
        return parse(path.read_bytes())
    except (OSError, ExperimentError) as error:
        raise ExperimentError(f"{path}: {error}") from None
