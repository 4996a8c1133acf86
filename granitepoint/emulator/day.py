"""Configuration of a day (one scenario that is played), read from a TOML file.

A day describes the fleet, the traffic, the behavior of clients and the faults. The last part of a key
names its unit.
"""

from __future__ import annotations

import math
from pathlib import Path
from typing import Literal

import msgspec

from granitepoint.fleet.experiment import ExperimentError
from granitepoint.interface import Effect, RequestClass, Settings, Tenant


class _StrictStruct(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Base of all tables of a day; unknown keys are errors."""

    pass


class Traffic(_StrictStruct, kw_only=True):
    """Rate of first tries, independent of answers. Exactly one of `rate_per_s` and `load` is set."""

    rate_per_s: float = 0.0
    load: float = 0.0  # rate as a share of the capacity of the bottleneck tier
    swing: float = 0.0  # amplitude of a triangle wave, as a share of the rate
    wave_s: float = 0.0  # period of the wave
    shape: list[tuple[float, float]] = []  # (time in s, factor of the rate), interpolated linearly


class Clients(_StrictStruct):
    """Behavior of clients after their first try."""

    retries: int = 0
    try_share: float = 1.0  # time limit of a try that may be repeated, as a share of the deadline
    backoff: Literal["none", "fixed", "exp"] = "exp"
    backoff_ms: float = 100.0
    honour: float = 1.0  # share of requests whose retries wait for Retry-After (at most `max_retry_after_s`)
    impatient: float = 0.0  # share of tries that the client leaves at a random moment of its wait


class Network(_StrictStruct):
    """Network delay of each message, one way."""

    same_ms: float = 0.2  # within a zone
    cross_ms: float = 3.0
    client_ms: float = 0.5
    jitter: float = 0.2  # random extra delay, up to this share


class Discovery(_StrictStruct):
    """Service discovery: how late the lists of servers are, and the capacity of the service."""

    mode: Literal["ask", "push"] = "ask"
    add_s: float = 1.0  # until a started server is added to the next version of the list
    notice_s: float = 2.0  # until a server that stopped after a drain is removed from the list
    silent_notice_s: float = 6.0  # until a server that stopped unannounced is removed
    period_s: float = 0.5  # between two versions of the list
    spread_s: float = 0.1  # maximum delay of a pushed version to an instance
    lines_per_s: float = 2000.0  # list lines that the discovery service can send
    call_lines: float = 50.0  # cost of a call in addition to its list lines
    timeout_s: float = 2.0  # a call that is not started within this time fails


class Front(_StrictStruct):
    """The front, which distributes the clients' calls over the proxies."""

    proxies: int = 2
    notice_s: float = 2.0  # until the front stops using a proxy that has terminated
    start_spread_s: float = 0.0  # proxies start at random times within this time


class Limits(_StrictStruct):
    """What instances may do: attempts, hedging, cancels, probes and advice to wait (Retry-After)."""

    max_attempts: int = 3  # per call
    duplicates: bool = False  # several attempts of a call may be in flight at once
    cancel: bool = True  # attempts in flight may be cancelled
    probes: bool = True
    retry_after: bool = True  # refusals may carry a Retry-After
    max_retry_after_s: float = 2.0
    conn_idle_s: float = 30.0  # idle connections are closed after this time
    connect_timeout_ms: float = 250.0


class Rules(_StrictStruct):
    """Rules of the platform. The emulator counts violations of them; see Tally.violations."""

    grace_to_answer_ms: float = 20.0  # how long after a call's deadline its answer may still be given
    drain_grace_ms: float = 250.0  # how long a server may get attempts after its drain was announced
    # As configured for the instances; the servers' real values are Tier.cold_from and Tier.cold_s.
    cold_from: float = 0.4
    cold_s: float = 8.0
    # A cold server crashes if the work that it gets within `fall_s` exceeds `fall_multiple` times what it can
    # do in that time.
    fall_multiple: float = 3.0
    fall_s: float = 2.0
    must_ask_in_s: float = 10.0  # maximum time without a watch or a call to discovery; not checked


class Prices(_StrictStruct):
    """Prices as configured for the instances, in points of worth. The emulator doesn't charge them."""

    cross_zone: float = 0.0
    waste: float = 0.25
    probe: float = 0.06
    late_fail: float = 0.05
    handshake: float = 0.02
    discovery: float = 0.005


class Choke(_StrictStruct, kw_only=True):
    """Overload that outlasts its cause: a server that was crowded for `over_s` is choked (slower).

    A server is crowded while it has at least `at` requests per core. Each second without crowding takes back
    one second of crowded time. A choke ends when the server has rested, that is when its cores were little
    used for `rest_s`, or after `most_s`.
    """

    at: float  # requests that need a core (running or queued), per core
    over_s: float  # crowded time that starts a choke
    slower: float  # factor by which a choked server is slower
    rest_s: float  # period over which the use of the cores is averaged
    below: float  # the server has rested if the used share of its cores is on average below this
    most_s: float  # maximum duration of a choke


class Tier(_StrictStruct, kw_only=True):
    """Servers of one tier and their capacity."""

    name: str
    servers: int
    deep: int = 1  # number of equal tiers in a chain, each of which calls the next
    calls: float = 1.0  # mean number of sequential calls per request of the previous tier
    work: float = 1.0  # work of a call here, as a share of the drawn work of the class
    cores: int = 1
    speed: float = 1.0  # mean, relative to a standard core
    speed_cv: float = 0.0
    speeds: list[float] = []  # of each server; replaces the random draw
    cell_size: int = 8
    slots: int = 16  # requests in progress, including those that wait for the next tier
    room: int = 16  # maximum number of requests queued for a slot
    # Each request held beyond `thrash_at`, per core, costs capacity: 1 / (1 + thrash x their number) remains.
    thrash: float = 0.0
    thrash_at: float = 50.0
    cold_from: float = 0.5  # share of its capacity that a server has at its start
    cold_s: float = 6.0  # until it has its full capacity; the share grows linearly
    error_rate: float = 0.0
    cancel: Literal["none", "queued", "running"] = "none"  # work that is stopped when its attempt is given up
    drops_expired: bool = False  # a queued request is dropped if its deadline has passed
    handshake_rtts: float = 1.5
    handshake_us: float = 1000.0  # CPU time of the server, on a standard core
    connections: int = 800  # maximum number of connections of a server
    full_tax: float = 0.0  # share of capacity lost when all connections are in use
    probe_us: float = 100.0  # CPU time of a probe, on a standard core
    probes_per_s: float = 8.0  # probes answered per core
    probe_timeout_ms: float = 300.0
    report_period_ms: float = 200.0  # interval at which load reports are refreshed
    report_delay_ms: float = 20.0  # additional delay of load reports
    report_noise: float = 0.1  # standard deviation of reported loads, relative
    choke: Choke | None = None


class Class(_StrictStruct, kw_only=True):
    """A class of requests."""

    name: str
    share: float  # of the requests; relative to the other classes
    work_ms: float  # mean work of a request over all tiers whose `work` adds up to 1, on a standard core
    dist: Literal["fixed", "lognormal", "pareto"] = "lognormal"
    cv: float = 1.0
    attempt_noise: float = 0.0  # coefficient of variation of work between attempts of one call
    aim_ms: float  # latency objective: an answer within it is in time
    deadline_ms: float  # time that a client waits in total, over all its tries
    worth: float = 1.0  # utility of an answer in time, in points
    late_worth: float = 0.0  # share of `worth` that an answer between `aim_ms` and `deadline_ms` has
    # What may happen if it is executed twice: nothing; nothing if servers recognize the duplicate; harm.
    effect: Literal["repeatable", "by_key", "once"] = "repeatable"
    group: Literal["all", "zone", "cell"] = "all"  # by_key only: the servers that recognize a duplicate
    window_ms: float = 0.0  # by_key only: how long they recognize it


class TenantShare(_StrictStruct, kw_only=True):
    """A tenant: its share of the service, its traffic and its quota."""

    name: str
    share: float  # of the service
    traffic: float  # share of the requests; relative to the other tenants
    quota: float  # share of the fleet's capacity


class Roll(_StrictStruct, kw_only=True, tag="roll", tag_field="kind"):
    """Rolling restart: servers of a tier drain and stop in batches, and cold new machines replace them."""

    at_s: float
    for_s: float
    tier: int = 0
    part: float = 1.0  # share of the tier that is replaced
    batch: float = 0.1  # share of the tier
    drain_s: float = 3.0
    surge: bool = False  # replacements start first; the old servers drain when those should be on the list


class Shrink(_StrictStruct, kw_only=True, tag="shrink", tag_field="kind"):
    """Servers of a tier drain and stop for good, one by one. The traffic doesn't change."""

    at_s: float
    for_s: float
    tier: int = 0
    part: float
    drain_s: float = 3.0


class ZoneLoss(_StrictStruct, kw_only=True, tag="zone_loss", tag_field="kind"):
    """All servers and proxies of a zone become unreachable. They come back as new, cold processes."""

    at_s: float
    for_s: float
    zone: str


class FastErrors(_StrictStruct, kw_only=True, tag="fast_errors", tag_field="kind"):
    """Servers answer a share of their requests with errors at once."""

    at_s: float
    for_s: float
    tier: int = 0
    servers: int = 1
    share: float = 0.5  # of their requests that fail at once


class Hang(_StrictStruct, kw_only=True, tag="hang", tag_field="kind"):
    """Servers accept requests but don't process them."""

    at_s: float
    for_s: float
    tier: int = 0
    servers: int = 1


class HeavyTail(_StrictStruct, kw_only=True, tag="heavy_tail", tag_field="kind"):
    """A share of the calls of a class to a tier takes a multiple of the work."""

    at_s: float
    for_s: float
    tier: int = 0
    cls: str
    share: float  # of the calls of the class to the tier
    times: float  # factor of their work


class StaleDiscovery(_StrictStruct, kw_only=True, tag="stale_discovery", tag_field="kind"):
    """Discovery learns of changes later than usual."""

    at_s: float
    for_s: float
    behind_s: float  # additional delay


class Burst(_StrictStruct, kw_only=True, tag="burst", tag_field="kind"):
    """The rate of first tries is a multiple of the usual one."""

    at_s: float
    for_s: float
    times: float  # factor of the rate


Fault = Roll | Shrink | ZoneLoss | FastErrors | Hang | HeavyTail | StaleDiscovery | Burst


class Day(_StrictStruct, kw_only=True):
    """A day: one scenario that is played."""

    name: str
    seed: int = 1
    duration_s: float  # period in which clients send first tries
    tick_ms: float = 5.0  # shortest time between two batches of events of an instance
    zones: list[str] = msgspec.field(default_factory=lambda: ["a"])
    passes_deadline: bool = False  # servers pass the remaining time on to the calls that they make
    worth_by_work: bool = False  # the worth of a request is multiplied by its work in core seconds
    over_share_worth: float = 1.0  # factor on the worth of a tenant's requests beyond its quota
    traffic: Traffic
    clients: Clients = msgspec.field(default_factory=Clients)
    network: Network = msgspec.field(default_factory=Network)
    discovery: Discovery = msgspec.field(default_factory=Discovery)
    front: Front = msgspec.field(default_factory=Front)
    limits: Limits = msgspec.field(default_factory=Limits)
    rules: Rules = msgspec.field(default_factory=Rules)
    prices: Prices = msgspec.field(default_factory=Prices)
    tiers: list[Tier]
    classes: list[Class]
    tenants: list[TenantShare] = []
    troubles: list[Fault] = []

    def expanded_tiers(self) -> list[Tier]:
        """All tiers that a call passes, in order; a tier with `deep` > 1 becomes that many tiers."""
        tiers = []
        for tier in self.tiers:
            for number in range(tier.deep):
                name = tier.name if tier.deep == 1 else f"{tier.name}-{number + 1}"
                tiers.append(msgspec.structs.replace(tier, name=name, deep=1))
        return tiers

    def mean_work(self) -> float:
        """Mean core seconds of a request over all classes, if the `work` of the tiers adds up to 1."""
        total_share = sum(cls.share for cls in self.classes)
        return sum(cls.share * cls.work_ms for cls in self.classes) / total_share / 1e3

    def capacity(self) -> float:
        """Requests per second that the bottleneck tier can serve."""
        calls_per_request, lowest_rate = 1.0, math.inf
        for tier in self.expanded_tiers():
            calls_per_request *= tier.calls
            tier_speed = (sum(tier.speeds) or tier.servers * tier.speed) * tier.cores
            if calls_per_request * tier.work > 0:
                lowest_rate = min(
                    lowest_rate, tier_speed / (self.mean_work() * tier.work * calls_per_request)
                )
        return lowest_rate

    def rate(self) -> float:
        """Base rate of first tries per second, without wave, shape and faults."""
        return self.traffic.rate_per_s or self.traffic.load * self.capacity()

    def settings(self, stage: int, zone: str, me: int, balancers: int) -> Settings:
        """Settings of the instance `me` in `zone` that sends to tier `stage`, one of `balancers`.

        Raises ExperimentError if they are invalid.
        """
        limits, rules, prices = self.limits, self.rules, self.prices
        tiers = self.expanded_tiers()
        try:
            return Settings(
                classes=[
                    RequestClass(
                        name=cls.name,
                        worth=cls.worth,
                        aim=cls.aim_ms / 1e3,
                        deadline=cls.deadline_ms / 1e3,
                        late_worth=cls.late_worth,
                        effect=Effect(cls.effect),
                        group=cls.group,
                        window=cls.window_ms / 1e3,
                    )
                    for cls in self.classes
                ],
                tenants=[Tenant(t.name, t.quota * self.capacity(), t.share) for t in self.tenants],
                zone=zone,
                me=me,
                balancers=balancers,
                stage=stage,
                stages=len(tiers),
                zones=tuple(self.zones),
                kinds=(tiers[stage].name,),
                quantum=self.tick_ms / 1e3,
                ask_for_list=self.discovery.mode == "ask",
                must_ask_within=rules.must_ask_in_s,
                max_attempts=limits.max_attempts,
                may_duplicate=limits.duplicates,
                may_cancel=limits.cancel,
                may_probe=limits.probes,
                may_advise_wait=limits.retry_after,
                max_wait_advice=limits.max_retry_after_s,
                over_share_worth=self.over_share_worth,
                worth_by_work=self.worth_by_work,
                passes_deadline=self.passes_deadline,
                report_names=("busy_reqs", "served_ps"),
                reports="probe",
                weights="none",
                conn_idle=limits.conn_idle_s,
                connect_timeout=limits.connect_timeout_ms / 1e3,
                answer_slack=rules.grace_to_answer_ms / 1e3,
                drain_grace=rules.drain_grace_ms / 1e3,
                cold_from=rules.cold_from,
                cold_for=rules.cold_s,
                fall_multiple=rules.fall_multiple,
                fall_within=rules.fall_s,
                price_crossing=prices.cross_zone,
                price_probe=prices.probe,
                price_handshake=prices.handshake,
                price_waste=prices.waste,
                price_late_fail=prices.late_fail,
                price_discovery=prices.discovery,
            )
        except ValueError as error:
            raise ExperimentError(str(error)) from None


def _require(ok: bool, key: str, text: str) -> None:
    if not ok:
        raise ExperimentError(f"{key}: {text}")


def check(day: Day) -> Day:
    """Check what types can't express, and return the day. A key without effect is an error too.

    Raises ExperimentError, which names the key.
    """
    _require(0 < day.duration_s <= 3600, "duration_s", "must be above 0 and at most 3600")
    _require(day.tick_ms > 0, "tick_ms", "must be above 0")
    _require(bool(day.zones) and len(set(day.zones)) == len(day.zones), "zones", "must name each zone once")
    _require(bool(day.classes), "classes", "must not be empty")
    _require(sum(cls.share for cls in day.classes) > 0, "classes", "the shares add up to 0")
    _require(bool(day.tiers), "tiers", "must not be empty")
    for number, tier in enumerate(day.tiers):
        _check_tier(day, tier, f"tiers[{number}]")
    _check_traffic(day)
    _require(1 <= day.front.proxies <= 10_000, "front.proxies", "must be from 1 to 10,000")
    _require(day.clients.retries >= 0, "clients.retries", "must not be below 0")
    _require(0 < day.clients.try_share <= 1, "clients.try_share", "must be above 0 and at most 1")
    _require(day.discovery.period_s > 0, "discovery.period_s", "must be above 0")
    _require(day.discovery.lines_per_s > 0, "discovery.lines_per_s", "must be above 0")
    _require(
        not day.tenants or sum(t.traffic for t in day.tenants) > 0,
        "tenants",
        "the traffic shares add up to 0",
    )
    for number, cls in enumerate(day.classes):
        path = f"classes[{number}]"
        _require(cls.work_ms > 0, f"{path}.work_ms", "must be above 0")
        _require(cls.cv > 0 or cls.dist == "fixed", f"{path}.cv", "must be above 0")
        _require(
            cls.effect == "by_key" or not cls.window_ms,
            f"{path}.window_ms",
            "has no effect: the effect is not by_key",
        )
        _require(
            cls.effect == "by_key" or cls.group == "all",
            f"{path}.group",
            "has no effect: the effect is not by_key",
        )
    for number, fault in enumerate(day.troubles):
        _check_fault(day, fault, f"troubles[{number}]")
    day.settings(0, day.zones[0], 0, day.front.proxies)
    return day


def _check_tier(day: Day, tier: Tier, path: str) -> None:
    _require(1 <= tier.servers <= 20_000, f"{path}.servers", "must be from 1 to 20,000")
    _require(1 <= tier.deep <= 64, f"{path}.deep", "must be from 1 to 64")
    _require(
        not tier.speeds or len(tier.speeds) == tier.servers,
        f"{path}.speeds",
        "must have one value per server",
    )
    _require(not tier.speeds or not tier.speed_cv, f"{path}.speed_cv", "has no effect: speeds is set")
    _require(min([tier.speed, *tier.speeds]) > 0, f"{path}.speed", "must be above 0")
    _require(
        min(tier.cores, tier.slots, tier.cell_size) >= 1,
        path,
        "cores, slots and cell_size must be at least 1",
    )
    _require(
        tier.room >= 0 and tier.calls >= 0 and tier.work >= 0,
        path,
        "room, calls and work must not be below 0",
    )
    _require(0 < tier.cold_from <= 1, f"{path}.cold_from", "must be above 0 and at most 1")
    _require(0 <= tier.full_tax < 1, f"{path}.full_tax", "must be from 0 to below 1")
    _require(tier.report_period_ms > 0, f"{path}.report_period_ms", "must be above 0")
    _require(tier.connections >= 1, f"{path}.connections", "must be at least 1")
    _require(
        tier is not day.tiers[0] or tier.calls == 1,
        f"{path}.calls",
        "has no effect: the first tier gets one call",
    )


def _check_traffic(day: Day) -> None:
    traffic = day.traffic
    _require(
        (traffic.rate_per_s > 0) != (traffic.load > 0), "traffic", "set exactly one of rate_per_s and load"
    )
    _require(0 <= traffic.swing < 1, "traffic.swing", "must be from 0 to below 1")
    _require((traffic.swing > 0) == (traffic.wave_s > 0), "traffic.wave_s", "must be set together with swing")
    _require(not (traffic.swing and traffic.shape), "traffic.swing", "has no effect: shape is set")
    times = [time for time, _ in traffic.shape]
    _require(times == sorted(times), "traffic.shape", "must be sorted by time")
    _require(day.rate() <= 100_000, "traffic", "more than 100,000 requests per second")


def _check_fault(day: Day, fault: Fault, path: str) -> None:
    _require(0 <= fault.at_s < day.duration_s, f"{path}.at_s", "has no effect: the day ends before")
    _require(fault.for_s > 0, f"{path}.for_s", "must be above 0")
    if isinstance(fault, Roll | Shrink | FastErrors | Hang | HeavyTail):
        tiers = day.expanded_tiers()
        _require(0 <= fault.tier < len(tiers), f"{path}.tier", f"no such tier: {fault.tier}")
        if isinstance(fault, FastErrors | Hang):
            max_servers = tiers[fault.tier].servers
            _require(1 <= fault.servers <= max_servers, f"{path}.servers", f"must be from 1 to {max_servers}")
        elif isinstance(fault, Roll | Shrink):
            _require(0 < fault.part <= 1, f"{path}.part", "must be above 0 and at most 1")
    if isinstance(fault, ZoneLoss):
        _require(fault.zone in day.zones, f"{path}.zone", f"no such zone: {fault.zone}")
    if isinstance(fault, HeavyTail):
        class_names = [cls.name for cls in day.classes]
        _require(fault.cls in class_names, f"{path}.cls", f"no such class: {fault.cls}")


def parse(text: str | bytes) -> Day:
    """Parse and check a day in TOML. Raises ExperimentError."""
    try:
        return check(msgspec.toml.decode(text, type=Day))
    except (msgspec.ValidationError, msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ExperimentError(" ".join(str(error).split())) from None


def load(path: Path) -> Day:
    """Read and check a day from a TOML file. Raises ExperimentError, which names the file."""
    try:
        return parse(path.read_bytes())
    except (OSError, ExperimentError) as error:
        raise ExperimentError(f"{path}: {error}") from None
