"""A day: sizes, rates, behaviour and troubles, read from a TOML file. A key's last part names its unit."""

from __future__ import annotations

import math
from pathlib import Path
from typing import Literal

import msgspec

from granitepoint.fleet.experiment import ExperimentError
from granitepoint.interface import Effect, RequestClass, Settings, Tenant


class _StrictStruct(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    pass


class Traffic(_StrictStruct, kw_only=True):
    """First tries of clients, drawn ahead of any answer. One of `rate_per_s` and `load` is given."""

    rate_per_s: float = 0.0
    load: float = 0.0  # share of what the tier that runs out first can do
    swing: float = 0.0  # share by which the rate waves up and down
    wave_s: float = 0.0  # length of a wave
    shape: list[tuple[float, float]] = []  # second and factor, linear between


class Clients(_StrictStruct):
    retries: int = 0
    try_share: float = 1.0  # of the deadline after which a try is given up that may be made again
    backoff: Literal["none", "fixed", "exp"] = "exp"
    backoff_ms: float = 100.0
    honour: float = 1.0  # share that stays away as long as a refusal advises
    impatient: float = 0.0  # share that leaves at a random moment of its wait


class Network(_StrictStruct):
    """One way, each message."""

    same_ms: float = 0.2  # within a zone
    cross_ms: float = 3.0
    client_ms: float = 0.5
    jitter: float = 0.2  # share by which a message's time varies


class Discovery(_StrictStruct):
    mode: Literal["ask", "push"] = "ask"
    add_s: float = 1.0  # until a started server is in the list
    notice_s: float = 2.0  # until a server that ended after a drain is gone from it
    silent_notice_s: float = 6.0  # until one that ended unannounced is
    period_s: float = 0.5  # between two versions of the list
    spread_s: float = 0.1  # most that a version takes to an instance
    lines_per_s: float = 2000.0  # what the service that is asked can answer
    call_lines: float = 50.0  # that a call costs beside the lines it brings
    timeout_s: float = 2.0  # a call whose turn comes later fails


class Front(_StrictStruct):
    proxies: int = 2
    notice_s: float = 2.0  # until the front leaves out a proxy that ended
    start_spread_s: float = 0.0  # proxies come up within it


class Limits(_StrictStruct):
    max_attempts: int = 3
    duplicates: bool = False
    cancel: bool = True
    probes: bool = True
    retry_after: bool = True
    max_retry_after_s: float = 2.0
    conn_idle_s: float = 30.0
    connect_timeout_ms: float = 250.0


class Rules(_StrictStruct):
    grace_to_answer_ms: float = 20.0
    drain_grace_ms: float = 250.0
    cold_from: float = 0.4  # as told to the instances; the servers' own is the tier's
    cold_s: float = 8.0
    fall_multiple: float = 3.0
    fall_s: float = 2.0
    must_ask_in_s: float = 10.0


class Prices(_StrictStruct):
    """As told to the instances; the emulator takes nothing off."""

    cross_zone: float = 0.0
    waste: float = 0.25
    probe: float = 0.06
    late_fail: float = 0.05
    handshake: float = 0.02
    discovery: float = 0.005


class Choke(_StrictStruct, kw_only=True):
    """A server with many requests for each core for a while turns slower until it has rested. Seconds without
    a crowd take back as many with one."""

    at: float  # requests that want a core, for each core
    over_s: float
    slower: float  # times
    rest_s: float
    below: float  # share of its cores in use while it rests
    most_s: float


class Tier(_StrictStruct, kw_only=True):
    name: str
    servers: int
    deep: int = 1  # so many tiers alike, one calling the next
    calls: float = 1.0  # on average that a request of the tier above makes here, one after another
    work: float = 1.0  # share of a class's work for each call
    cores: int = 1
    speed: float = 1.0  # mean
    speed_cv: float = 0.0
    speeds: list[float] = []  # of each server, in place of the draw
    cell_size: int = 8
    slots: int = 16  # requests in work, those that wait for the next tier among them
    room: int = 16  # requests that wait for a slot
    thrash: float = 0.0  # capacity lost by each request held beyond `thrash_at`: 1 / (1 + thrash x so many)
    thrash_at: float = 50.0
    cold_from: float = 0.5  # share of its capacity that a server starts with
    cold_s: float = 6.0  # until it has the whole, evenly
    error_rate: float = 0.0
    cancel: Literal["none", "queued", "running"] = "none"  # the work that ends when nobody waits any more
    drops_expired: bool = False  # what has waited beyond its caller's time is not begun
    handshake_rtts: float = 1.5
    handshake_us: float = 1000.0  # of the server's work
    connections: int = 800  # that a server accepts
    full_tax: float = 0.0  # capacity that a full table takes
    probe_us: float = 100.0
    probes_per_s: float = 8.0  # that a core answers
    probe_timeout_ms: float = 300.0
    report_period_ms: float = 200.0  # reports are refreshed so often
    report_delay_ms: float = 20.0  # and come so late
    report_noise: float = 0.1
    choke: Choke | None = None


class Class(_StrictStruct, kw_only=True):
    name: str
    share: float
    work_ms: float  # mean, on a standard core, over all tiers
    dist: Literal["fixed", "lognormal", "pareto"] = "lognormal"
    cv: float = 1.0
    attempt_noise: float = 0.0  # cv of what an attempt's work differs by
    aim_ms: float
    deadline_ms: float
    worth: float = 1.0
    late_worth: float = 0.0
    effect: Literal["repeatable", "by_key", "once"] = "repeatable"
    group: Literal["all", "zone", "cell"] = "all"
    window_ms: float = 0.0


class TenantShare(_StrictStruct, kw_only=True):
    name: str
    share: float  # of the service
    traffic: float  # share of the requests
    quota: float  # share of what the fleet can do


class Roll(_StrictStruct, kw_only=True, tag="roll", tag_field="kind"):
    """Servers of a tier drain and stop, a batch at a time, and cold new machines take their places."""

    at_s: float
    for_s: float
    tier: int = 0
    part: float = 1.0
    batch: float = 0.1  # share of the tier
    drain_s: float = 3.0
    surge: bool = False  # those that come are started first, and the others drain when the list has them


class Shrink(_StrictStruct, kw_only=True, tag="shrink", tag_field="kind"):
    """Servers of a tier drain and stop for good, one by one. The traffic is left to its own shape."""

    at_s: float
    for_s: float
    tier: int = 0
    part: float
    drain_s: float = 3.0


class ZoneLoss(_StrictStruct, kw_only=True, tag="zone_loss", tag_field="kind"):
    """A zone's servers and proxies go silent, and come back as new, cold processes."""

    at_s: float
    for_s: float
    zone: str


class FastErrors(_StrictStruct, kw_only=True, tag="fast_errors", tag_field="kind"):
    at_s: float
    for_s: float
    tier: int = 0
    servers: int = 1
    share: float = 0.5  # of their requests that they fail at once


class Hang(_StrictStruct, kw_only=True, tag="hang", tag_field="kind"):
    """Servers take requests and do nothing."""

    at_s: float
    for_s: float
    tier: int = 0
    servers: int = 1


class HeavyTail(_StrictStruct, kw_only=True, tag="heavy_tail", tag_field="kind"):
    at_s: float
    for_s: float
    tier: int = 0
    cls: str
    share: float  # of its calls to that tier
    times: float  # their work


class StaleDiscovery(_StrictStruct, kw_only=True, tag="stale_discovery", tag_field="kind"):
    at_s: float
    for_s: float
    behind_s: float


class Burst(_StrictStruct, kw_only=True, tag="burst", tag_field="kind"):
    at_s: float
    for_s: float
    times: float  # the rate


Fault = Roll | Shrink | ZoneLoss | FastErrors | Hang | HeavyTail | StaleDiscovery | Burst


class Day(_StrictStruct, kw_only=True):
    name: str
    seed: int = 1
    duration_s: float  # in which first tries come
    tick_ms: float = 5.0  # the shortest gap between two batches of an instance
    zones: list[str] = msgspec.field(default_factory=lambda: ["a"])
    passes_deadline: bool = False
    worth_by_work: bool = False
    over_share_worth: float = 1.0
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
        """Every tier that a call passes, from the first on."""
        tiers = []
        for tier in self.tiers:
            for number in range(tier.deep):
                name = tier.name if tier.deep == 1 else f"{tier.name}-{number + 1}"
                tiers.append(msgspec.structs.replace(tier, name=name, deep=1))
        return tiers

    def mean_work(self) -> float:
        """Core seconds of a request whose work at all tiers adds up to 1."""
        total_share = sum(cls.share for cls in self.classes)
        return sum(cls.share * cls.work_ms for cls in self.classes) / total_share / 1e3

    def capacity(self) -> float:
        """Requests each second that the tier which runs out first can do."""
        visits, lowest_rate = 1.0, math.inf
        for tier in self.expanded_tiers():
            visits *= tier.calls
            tier_speed = (sum(tier.speeds) or tier.servers * tier.speed) * tier.cores
            if visits * tier.work > 0:
                lowest_rate = min(lowest_rate, tier_speed / (self.mean_work() * tier.work * visits))
        return lowest_rate

    def rate(self) -> float:
        """First tries each second before waves and troubles."""
        return self.traffic.rate_per_s or self.traffic.load * self.capacity()

    def settings(self, stage: int, zone: str, me: int, balancers: int) -> Settings:
        """What an instance that sends to tier `stage` is told. Raises ExperimentError."""
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
    """What types can't say; a key that would have no effect is an error too. Raises ExperimentError."""
    _require(0 < day.duration_s <= 3600, "duration_s", "must be above 0 and at most 3600")
    _require(day.tick_ms > 0, "tick_ms", "must be above 0")
    _require(bool(day.zones) and len(set(day.zones)) == len(day.zones), "zones", "must name each zone once")
    _require(bool(day.classes), "classes", "there is none")
    _require(sum(cls.share for cls in day.classes) > 0, "classes", "the shares add up to 0")
    _require(bool(day.tiers), "tiers", "there is none")
    for number, tier in enumerate(day.tiers):
        _check_tier(day, tier, f"tiers[{number}]")
    _check_traffic(day)
    _require(1 <= day.front.proxies <= 10_000, "front.proxies", "must be from 1 to 10,000")
    _require(day.clients.retries >= 0, "clients.retries", "must not be below 0")
    _require(0 < day.clients.try_share <= 1, "clients.try_share", "must be above 0 and at most 1")
    _require(day.discovery.period_s > 0, "discovery.period_s", "must be above 0")
    _require(day.discovery.lines_per_s > 0, "discovery.lines_per_s", "must be above 0")
    _require(not day.tenants or sum(t.traffic for t in day.tenants) > 0, "tenants", "they send nothing")
    for number, cls in enumerate(day.classes):
        path = f"classes[{number}]"
        _require(cls.work_ms > 0, f"{path}.work_ms", "must be above 0")
        _require(cls.cv > 0 or cls.dist == "fixed", f"{path}.cv", "must be above 0")
        _require(cls.effect == "by_key" or not cls.window_ms, f"{path}.window_ms", "unused: not by_key")
        _require(cls.effect == "by_key" or cls.group == "all", f"{path}.group", "unused: not by_key")
    for number, fault in enumerate(day.troubles):
        _check_fault(day, fault, f"troubles[{number}]")
    day.settings(0, day.zones[0], 0, day.front.proxies)
    return day


def _check_tier(day: Day, tier: Tier, path: str) -> None:
    _require(1 <= tier.servers <= 20_000, f"{path}.servers", "must be from 1 to 20,000")
    _require(1 <= tier.deep <= 64, f"{path}.deep", "must be from 1 to 64")
    _require(not tier.speeds or len(tier.speeds) == tier.servers, f"{path}.speeds", "must name each server's")
    _require(not tier.speeds or not tier.speed_cv, f"{path}.speed_cv", "unused: the speeds are given")
    _require(min([tier.speed, *tier.speeds]) > 0, f"{path}.speed", "must be above 0")
    _require(min(tier.cores, tier.slots, tier.cell_size) >= 1, path, "cores, slots, cell_size: at least 1")
    _require(tier.room >= 0 and tier.calls >= 0 and tier.work >= 0, path, "room, calls, work: not below 0")
    _require(0 < tier.cold_from <= 1, f"{path}.cold_from", "must be above 0 and at most 1")
    _require(0 <= tier.full_tax < 1, f"{path}.full_tax", "must be from 0 to below 1")
    _require(tier.report_period_ms > 0, f"{path}.report_period_ms", "must be above 0")
    _require(tier.connections >= 1, f"{path}.connections", "must be at least 1")
    _require(tier is not day.tiers[0] or tier.calls == 1, f"{path}.calls", "unused: the first tier gets one")


def _check_traffic(day: Day) -> None:
    traffic = day.traffic
    _require((traffic.rate_per_s > 0) != (traffic.load > 0), "traffic", "give rate_per_s or load")
    _require(0 <= traffic.swing < 1, "traffic.swing", "must be from 0 to below 1")
    _require((traffic.swing > 0) == (traffic.wave_s > 0), "traffic.wave_s", "goes with swing")
    _require(not (traffic.swing and traffic.shape), "traffic.swing", "unused: the shape is given")
    times = [time for time, _ in traffic.shape]
    _require(times == sorted(times), "traffic.shape", "must be in order of time")
    _require(day.rate() <= 100_000, "traffic", "more than 100,000 requests a second")


def _check_fault(day: Day, fault: Fault, path: str) -> None:
    _require(0 <= fault.at_s < day.duration_s, f"{path}.at_s", "unused: the day is over by then")
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
    """Raises ExperimentError."""
    try:
        return check(msgspec.toml.decode(text, type=Day))
    except (msgspec.ValidationError, msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ExperimentError(" ".join(str(error).split())) from None


def load(path: Path) -> Day:
    """Raises ExperimentError, which names the file."""
    try:
        return parse(path.read_bytes())
    except (OSError, ExperimentError) as error:
        raise ExperimentError(f"{path}: {error}") from None
