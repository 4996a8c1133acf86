"""Types for the JSON file that EDGE_CONFIG names: keys, units, ranges and which keys have no effect.

`check` reads a file by these types, and docs/config.schema.json is generated from them. `run` has its own
reader (granitepoint.net.config); tests/test_config_file.py verifies that the two agree.
"""

from __future__ import annotations

import json
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from granitepoint.interface import MAX_COUNT

SECONDS, PER_SECOND, SHARE, POINTS, MEGABYTES, MICROSECONDS = "s", "1/s", "share", "points", "MB", "us"


def _meta(description: str, unit: str = "", attribute: str = "", no_effect: str = "", **bounds: Any) -> Meta:
    """Returns the metadata of a field.

    `attribute` is the attribute of the type in granitepoint.interface that holds the value. `no_effect` is
    the reason why the key has no effect on the proxy; empty if it has one. `bounds` (gt, ge, lt, le) apply
    to the value as read.
    """
    published = {key: value for key, value in (("unit", unit), ("noEffect", no_effect)) if value}
    extra = {"unit": unit, "attribute": attribute, "no_effect": no_effect}
    return Meta(description=description, extra=extra, extra_json_schema=published, **bounds)


_NOT_USED = "no decision uses it"
_WEIGHT_NOT_USED = "no decision uses the weights of the result"
_PRICE_NOT_USED = "no decision uses this price"


class Grade(Struct, kw_only=True):
    """A class of requests."""

    name: Annotated[str, _meta("name, the first part of a request's path", attribute="name")]
    value: Annotated[float, _meta("worth of one request", POINTS, "worth", ge=0)]
    objective: Annotated[float, _meta("an answer within this time has the full worth", SECONDS, "aim", gt=0)]
    deadline: Annotated[
        float, _meta("how long a client waits for an answer, over all its tries", SECONDS, "deadline", gt=0)
    ]
    effect: Annotated[
        Literal["repeatable", "by_key", "once"],
        _meta("what a second execution of a request would do", attribute="effect"),
    ]
    late_worth: Annotated[
        float,
        _meta(
            "part of the worth that an answer between objective and deadline keeps",
            SHARE,
            "late_worth",
            ge=0,
            le=1,
        ),
    ] = 0.0
    group: Annotated[
        Literal["all", "zone", "cell"],
        _meta("by_key: which servers drop a repeated request", attribute="group"),
    ] = "all"
    window: Annotated[float, _meta("by_key: how long they drop it", SECONDS, "window", ge=0)] = 0.0
    stream: Annotated[
        bool, _meta("whether the answer is streamed", attribute="stream", no_effect="answers are sent whole")
    ] = False
    aim_stretch: Annotated[
        float,
        _meta(
            "multiple of the request's work that is added to the objective",
            "",
            "aim_stretch",
            _NOT_USED,
            ge=0,
        ),
    ] = 0.0


class Tenant(Struct, kw_only=True):
    name: Annotated[str, _meta("name, as in the header X-Caller", attribute="name")]
    quota_rps: Annotated[
        float, _meta("quota of requests, over all proxies together", PER_SECOND, "quota_per_s", ge=0)
    ]
    portion: Annotated[float, _meta("share of the service", SHARE, "share", _NOT_USED, ge=0)] = 0.0


class Callers(Struct, kw_only=True):
    marks_retry: Annotated[
        bool, _meta("whether callers mark their retries", attribute="clients_mark_retries")
    ] = False


class Report(Struct, kw_only=True):
    """The servers' load reports."""

    names: Annotated[
        list[Literal["busy_reqs", "pending", "cpu_share", "svc_ms", "served_ps", "failed_ps"]],
        _meta(
            "values in a load report",
            attribute="report_names",
            no_effect="busy_reqs is used in every report that has it",
        ),
    ] = []
    via: Annotated[
        Literal["inline", "on_probe", "off"],
        _meta("reports come with answers and probes, with probes only, or not at all", attribute="reports"),
    ] = "on_probe"


class PolicyLimits(Struct, kw_only=True):
    """What the site permits."""

    send_cap: Annotated[
        int,
        _meta("maximum number of attempts for a request", "attempts", "max_attempts", ge=1, le=MAX_COUNT),
    ]
    may_duplicate: Annotated[
        bool, _meta("whether two attempts of a request may run at the same time", attribute="may_duplicate")
    ]
    may_cancel: Annotated[bool, _meta("whether attempts may be cancelled", attribute="may_cancel")]
    probes: Annotated[bool, _meta("whether servers may be probed", attribute="may_probe")]
    peers: Annotated[
        bool,
        _meta(
            "whether proxies may send messages to each other",
            attribute="may_tell",
            no_effect="proxies send each other no messages",
        ),
    ] = False
    most_held: Annotated[
        int,
        _meta(
            "maximum number of open requests; 0: limited only by connections and memory",
            "requests",
            "most_held",
            ge=0,
            le=MAX_COUNT,
        ),
    ] = 0
    retry_after: Annotated[bool, _meta("whether callers honour Retry-After", attribute="may_advise_wait")] = (
        False
    )
    max_retry_after: Annotated[
        float, _meta("longest Retry-After that callers honour", SECONDS, "max_wait_advice", ge=0)
    ] = 0.0
    connect_timeout: Annotated[
        float, _meta("a connection attempt that takes longer has failed", SECONDS, "connect_timeout", gt=0)
    ] = 0.25
    conn_idle: Annotated[
        float, _meta("servers close a connection that has been idle for longer", SECONDS, "conn_idle", ge=0)
    ] = 15.0
    streams_per_conn: Annotated[
        int,
        _meta(
            "maximum number of calls at a time on a connection",
            "calls",
            "calls_per_connection",
            "HTTP/1.1 allows one",
            ge=1,
            le=MAX_COUNT,
        ),
    ] = 1
    cpu_us_per_s: Annotated[
        float,
        _meta(
            "CPU time that the proxy may use; 0: no limit",
            "us/s",
            "cpu_per_s",
            "enforced by the platform",
            ge=0,
        ),
    ] = 0.0
    cpu_us_per_request: Annotated[
        float,
        _meta("CPU time for a request", MICROSECONDS, "cpu_per_call", "measured outside the proxy", ge=0),
    ] = 0.0


class Contract(Struct, kw_only=True):
    """Parameters of the platform's rules."""

    grace_to_answer: Annotated[
        float,
        _meta("time after a deadline in which an answer still counts", SECONDS, "answer_slack",
              "answers are sent before the deadline", ge=0),
    ]  # fmt: skip
    drain_grace: Annotated[
        float,
        _meta(
            "time in which a draining server may still get attempts",
            SECONDS,
            "drain_grace",
            ge=0,
        ),
    ]
    cold_from: Annotated[
        float, _meta("part of its capacity that a server has when it starts", SHARE, "cold_from", gt=0, le=1)
    ]
    cold: Annotated[float, _meta("time until a server has its full capacity", SECONDS, "cold_for", ge=0)]
    fall_multiple: Annotated[
        float,
        _meta(
            "multiple of its current capacity that a cold server withstands",
            "",
            "fall_multiple",
            gt=0,
        ),
    ]
    overload_for: Annotated[
        float,
        _meta(
            "how long a cold server withstands a higher load",
            SECONDS,
            "fall_within",
            "the budget of a cold server holds over any time span",
            gt=0,
        ),
    ]
    must_ask_in: Annotated[
        float,
        _meta(
            "longest time without a watch at discovery or a request to it", SECONDS, "must_ask_within", gt=0
        ),
    ] = 10.0


class ObjectiveMix(Struct, kw_only=True):
    """Weights of the parts of the overall score."""

    whole: Annotated[float, _meta("the whole day", SHARE, "goal_whole", _WEIGHT_NOT_USED, ge=0)] = 1.0
    worst_window: Annotated[
        float, _meta("the worst time window", SHARE, "goal_window", _WEIGHT_NOT_USED, ge=0)
    ] = 0.0
    worst_class: Annotated[float, _meta("the worst class", SHARE, "goal_class", _WEIGHT_NOT_USED, ge=0)] = 0.0
    worst_tenant: Annotated[
        float, _meta("the worst tenant", SHARE, "goal_tenant", _WEIGHT_NOT_USED, ge=0)
    ] = 0.0


class Charges(Struct, kw_only=True):
    """Prices."""

    cross_zone: Annotated[float, _meta("price of attempts across zones", POINTS, "price_crossing", ge=0)] = (
        0.0
    )
    probe: Annotated[float, _meta("price of probes", POINTS, "price_probe", ge=0)] = 0.0
    handshake: Annotated[
        float, _meta("price of new connections", POINTS, "price_handshake", _PRICE_NOT_USED, ge=0)
    ] = 0.0
    connection: Annotated[
        float, _meta("price of open connections", POINTS, "price_connection", _PRICE_NOT_USED, ge=0)
    ] = 0.0
    waste: Annotated[float, _meta("price of wasted work", POINTS, "price_waste", _PRICE_NOT_USED, ge=0)] = 0.0
    late_fail: Annotated[
        float,
        _meta("price of failures after the objective", POINTS, "price_late_fail", _PRICE_NOT_USED, ge=0),
    ] = 0.0
    peer: Annotated[
        float, _meta("price of messages to other proxies", POINTS, "price_peer", _PRICE_NOT_USED, ge=0)
    ] = 0.0
    discovery: Annotated[
        float, _meta("price of lists from discovery", POINTS, "price_discovery", _PRICE_NOT_USED, ge=0)
    ] = 0.0
    moves: Annotated[float, _meta("price of moves", POINTS, no_effect=_PRICE_NOT_USED)] = 0.0
    origin: Annotated[float, _meta("price of fetches from the origin", POINTS, no_effect=_PRICE_NOT_USED)] = (
        0.0
    )
    fleet: Annotated[float, _meta("not used by the platform", POINTS, no_effect=_PRICE_NOT_USED)] = 0.0


class Specifics(Struct, kw_only=True):
    """Properties of the kind of service."""

    passes_deadline: Annotated[
        bool,
        _meta(
            "whether servers pass the remaining time on with their own calls",
            attribute="passes_deadline",
            no_effect=_NOT_USED,
        ),
    ] = False
    warm_keys: Annotated[
        bool, _meta("whether a recently served key takes less work", no_effect=_NOT_USED)
    ] = False


class Settings(Struct, kw_only=True):
    """What the platform tells a proxy about the site and its place in it."""

    grades: Annotated[list[Grade], Meta(min_length=1, description="the classes; their names are unique")]
    me: Annotated[
        int, _meta("this proxy's number among `balancers`, from 0", attribute="me", ge=0, le=MAX_COUNT)
    ]
    balancers: Annotated[int, _meta("proxies of this tier", "proxies", "balancers", ge=1, le=MAX_COUNT)]
    discovery: Annotated[
        Literal["push", "ask"],
        _meta("push: discovery sends changes unasked; ask: proxies watch for them", attribute="ask_for_list"),
    ]
    policy_limits: PolicyLimits
    contract: Contract
    tenants: Annotated[list[Tenant], Meta(description="the tenants, where there are any")] = []
    zone: Annotated[str, _meta("this proxy's zone", attribute="zone")] = ""
    dcs: Annotated[
        list[str], _meta("the zones", attribute="zones", no_effect="lists name each server's zone")
    ] = []
    kinds: Annotated[list[str], _meta("types of machines", attribute="kinds", no_effect=_NOT_USED)] = []
    quantum: Annotated[
        float, _meta("shortest time between two batches of events", SECONDS, "quantum", ge=0)
    ] = 0.0
    stage: Annotated[
        int, _meta("this tier's place in `stages`, from 0", attribute="stage", ge=0, le=MAX_COUNT)
    ] = 0
    stages: Annotated[
        list[str], _meta("the tiers; they share the budget of hedged requests", attribute="stages")
    ] = []
    weights: Annotated[
        Literal["off", "nominal", "rough", "live"],
        _meta("what a listed weight means: nothing, a size, or a size over a load", attribute="weights"),
    ] = "nominal"
    worth_by: Annotated[
        Literal["request", "work"],
        _meta("whether `value` is per request or per unit of its work", attribute="worth_by_work"),
    ] = "request"
    over_share_worth: Annotated[
        float,
        _meta(
            "part of the worth that a request beyond a tenant's quota keeps",
            SHARE,
            "over_share_worth",
            ge=0,
            le=1,
        ),
    ] = 1.0
    callers: Callers = msgspec.field(default_factory=Callers)
    report: Report = msgspec.field(default_factory=Report)
    objective_mix: ObjectiveMix = msgspec.field(default_factory=ObjectiveMix)
    charges: Charges = msgspec.field(default_factory=Charges)
    specifics: Specifics = msgspec.field(default_factory=Specifics)
    family: Annotated[str, _meta("kind of service", no_effect=_NOT_USED)] = ""


class Endpoint(Struct, kw_only=True):
    """A server as discovery lists it."""

    name: str
    address: Annotated[str, Meta(description="host:port, a numeric host")]
    status: Literal["Ready", "Terminating", "Gone"]
    zone: str = ""
    type: str = ""  # of its machine
    group: int = 0  # its cell
    weight: float = 1.0
    since_ms: Annotated[float | None, _meta("Unix time of its latest start; 0: long ago", "ms")] = 0.0


class Known(Struct, kw_only=True):
    """The saved list of servers."""

    index: int  # version of the list
    snapshot: bool  # a full list, not only the changes since an earlier version
    endpoints: list[Endpoint]


class Limits(Struct, kw_only=True):
    sockets: Annotated[
        int, _meta("file descriptors; the limit of the process is an upper bound", "descriptors", ge=64)
    ] = 1 << 20
    memory_mb: Annotated[float, _meta("memory of the process", MEGABYTES, gt=0, lt=1 << 30)] = 192.0
    cores: Annotated[float, _meta("CPU cores", "cores", no_effect="enforced by the platform")] = 1.0


class ConfigFile(Struct, kw_only=True):
    """The file that EDGE_CONFIG names."""

    settings: Settings
    listen: Annotated[str, Meta(description="host:port, a numeric host; EDGE_LISTEN overrides it")] = ""
    discovery: Annotated[str, Meta(description="host:port, a numeric host; EDGE_DISCOVERY overrides it")] = ""
    name: Annotated[str, Meta(description="name of the proxy; EDGE_NAME overrides it")] = ""
    seed: Annotated[int | str, Meta(description="random seed; a string is hexadecimal")] = 0
    limits: Limits = msgspec.field(default_factory=Limits)
    known: Known | None = None


def render_json_schema() -> str:
    """Returns the JSON Schema of the file, the content of docs/config.schema.json."""
    schema: dict[str, Any] = {"$schema": "https://json-schema.org/draft/2020-12/schema"}
    schema |= msgspec.json.schema(ConfigFile)
    return json.dumps(schema, indent=2) + "\n"
