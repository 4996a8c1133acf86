"""The JSON file that EDGE_CONFIG names, as types: names, units, ranges and what has no effect on the proxy.

`check` reads a file by these types, and docs/config.schema.json is made from them. `run` has its own reader
(granitepoint.net.config); a test holds the two together.
"""

from __future__ import annotations

import json
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from granitepoint.interface import MAX_COUNT

SECONDS, PER_SECOND, SHARE, POINTS, MEGABYTES, MICROSECONDS = "s", "1/s", "share", "points", "MB", "us"


def _meta(text: str, unit: str = "", reads: str = "", unused: str = "", **bounds: Any) -> Meta:
    """A field's description. `reads`: the attribute of the interface's type that holds it. `unused`: why it
    has no effect on the proxy. `bounds`: gt, ge, lt and le, of the value as read."""
    published = {key: value for key, value in (("unit", unit), ("noEffect", unused)) if value}
    extra = {"unit": unit, "reads": reads, "unused": unused}
    return Meta(description=text, extra=extra, extra_json_schema=published, **bounds)


_NO_RULE = "no decision needs it"
_GOAL = "the result's weights change no decision"
_PRICE = "no decision weighs this price"


class Grade(Struct, kw_only=True):
    """A class of requests."""

    name: Annotated[str, _meta("name, the first part of a request's path", reads="name")]
    value: Annotated[float, _meta("worth of one request", POINTS, "worth", ge=0)]
    objective: Annotated[float, _meta("an answer within it has the full worth", SECONDS, "aim", gt=0)]
    deadline: Annotated[float, _meta("how long a client waits over all its tries", SECONDS, "deadline", gt=0)]
    effect: Annotated[
        Literal["repeatable", "by_key", "once"], _meta("what a second execution would do", reads="effect")
    ]
    late_worth: Annotated[
        float, _meta("of the worth, left between objective and deadline", SHARE, "late_worth", ge=0, le=1)
    ] = 0.0
    group: Annotated[
        Literal["all", "zone", "cell"], _meta("by_key: which servers drop a repeat", reads="group")
    ] = "all"
    window: Annotated[float, _meta("by_key: for how long they do", SECONDS, "window", ge=0)] = 0.0
    stream: Annotated[
        bool, _meta("the answer is streamed", reads="stream", unused="answers go out whole")
    ] = False
    aim_stretch: Annotated[
        float,
        _meta("of the request's work, added to the objective", "", "aim_stretch", _NO_RULE, ge=0),
    ] = 0.0


class Tenant(Struct, kw_only=True):
    name: Annotated[str, _meta("name, as in X-Caller", reads="name")]
    quota_rps: Annotated[float, _meta("requests over all proxies", PER_SECOND, "quota_per_s", ge=0)]
    portion: Annotated[float, _meta("of the service", SHARE, "share", _NO_RULE, ge=0)] = 0.0


class Callers(Struct, kw_only=True):
    marks_retry: Annotated[bool, _meta("callers mark their retries", reads="clients_mark_retries")] = False


class Report(Struct, kw_only=True):
    """The servers' load reports."""

    names: Annotated[
        list[Literal["busy_reqs", "pending", "cpu_share", "svc_ms", "served_ps", "failed_ps"]],
        _meta("what they hold", reads="report_names", unused="busy_reqs is used wherever a report holds it"),
    ] = []
    via: Annotated[
        Literal["inline", "on_probe", "off"],
        _meta("they come with answers and probes, with probes only, or not at all", reads="reports"),
    ] = "on_probe"


class PolicyLimits(Struct, kw_only=True):
    """What the site permits."""

    send_cap: Annotated[int, _meta("attempts for a request", "attempts", "max_attempts", ge=1, le=MAX_COUNT)]
    may_duplicate: Annotated[bool, _meta("two attempts of a request at a time", reads="may_duplicate")]
    may_cancel: Annotated[bool, _meta("attempts may be cancelled", reads="may_cancel")]
    probes: Annotated[bool, _meta("servers may be probed", reads="may_probe")]
    peers: Annotated[
        bool, _meta("proxies may talk to each other", reads="may_tell", unused="proxies do not talk")
    ] = False
    most_held: Annotated[
        int, _meta("open requests; 0: no limit but the room", "requests", "most_held", ge=0, le=MAX_COUNT)
    ] = 0
    retry_after: Annotated[bool, _meta("callers heed Retry-After", reads="may_advise_wait")] = False
    max_retry_after: Annotated[
        float, _meta("longest Retry-After that they heed", SECONDS, "max_wait_advice", ge=0)
    ] = 0.0
    connect_timeout: Annotated[
        float, _meta("a connect that takes longer has failed", SECONDS, "connect_timeout", gt=0)
    ] = 0.25
    conn_idle: Annotated[
        float, _meta("servers close a connection unused for so long", SECONDS, "conn_idle", ge=0)
    ] = 15.0
    streams_per_conn: Annotated[
        int,
        _meta(
            "calls at a time on a connection",
            "calls",
            "calls_per_connection",
            "HTTP/1.1: one",
            ge=1,
            le=MAX_COUNT,
        ),
    ] = 1
    cpu_us_per_s: Annotated[
        float, _meta("processor time", "us/s", "cpu_per_s", "the platform holds it", ge=0)
    ] = 0.0
    cpu_us_per_request: Annotated[
        float, _meta("processor time of a request", MICROSECONDS, "cpu_per_call", "measured outside", ge=0)
    ] = 0.0


class Contract(Struct, kw_only=True):
    """Figures of the rules."""

    grace_to_answer: Annotated[
        float,
        _meta("after a deadline in which an answer counts", SECONDS, "answer_slack",
              "answers leave before the deadline", ge=0),
    ]  # fmt: skip
    drain_grace: Annotated[
        float,
        _meta("in which sends to a draining server end", SECONDS, "drain_grace", "they end at once", ge=0),
    ]
    cold_from: Annotated[
        float, _meta("of its capacity that a server starts with", SHARE, "cold_from", gt=0, le=1)
    ]
    cold: Annotated[float, _meta("after which a server is warm", SECONDS, "cold_for", ge=0)]
    fall_multiple: Annotated[
        float, _meta("multiple of its present capacity that a cold server bears", "", "fall_multiple", gt=0)
    ]
    overload_for: Annotated[
        float,
        _meta("for which it bears more", SECONDS, "fall_within", "the cold budget holds over any span", gt=0),
    ]
    must_ask_in: Annotated[
        float, _meta("longest time without a watch or a question", SECONDS, "must_ask_within", gt=0)
    ] = 10.0


class ObjectiveMix(Struct, kw_only=True):
    """Weights of the parts of the result."""

    whole: Annotated[float, _meta("the whole day", SHARE, "goal_whole", _GOAL, ge=0)] = 1.0
    worst_window: Annotated[float, _meta("the weakest span", SHARE, "goal_window", _GOAL, ge=0)] = 0.0
    worst_class: Annotated[float, _meta("the weakest class", SHARE, "goal_class", _GOAL, ge=0)] = 0.0
    worst_tenant: Annotated[float, _meta("the weakest tenant", SHARE, "goal_tenant", _GOAL, ge=0)] = 0.0


class Charges(Struct, kw_only=True):
    """Prices."""

    cross_zone: Annotated[float, _meta("of attempts across zones", POINTS, "price_crossing", ge=0)] = 0.0
    probe: Annotated[float, _meta("of probes", POINTS, "price_probe", ge=0)] = 0.0
    handshake: Annotated[float, _meta("of connects", POINTS, "price_handshake", _PRICE, ge=0)] = 0.0
    connection: Annotated[float, _meta("of open connections", POINTS, "price_connection", _PRICE, ge=0)] = 0.0
    waste: Annotated[float, _meta("of work for nothing", POINTS, "price_waste", _PRICE, ge=0)] = 0.0
    late_fail: Annotated[
        float, _meta("of failures past the objective", POINTS, "price_late_fail", _PRICE, ge=0)
    ] = 0.0
    peer: Annotated[float, _meta("of messages to peers", POINTS, "price_peer", _PRICE, ge=0)] = 0.0
    discovery: Annotated[float, _meta("of lists", POINTS, "price_discovery", _PRICE, ge=0)] = 0.0
    moves: Annotated[float, _meta("of moves", POINTS, unused=_PRICE)] = 0.0
    origin: Annotated[float, _meta("of fetches from the origin", POINTS, unused=_PRICE)] = 0.0
    fleet: Annotated[float, _meta("not used by the platform", POINTS, unused=_PRICE)] = 0.0


class Specifics(Struct, kw_only=True):
    """Facts about the kind of service."""

    passes_deadline: Annotated[
        bool, _meta("servers hand on the time left", reads="passes_deadline", unused=_NO_RULE)
    ] = False
    warm_keys: Annotated[bool, _meta("a key served lately takes less work", unused=_NO_RULE)] = False


class Settings(Struct, kw_only=True):
    """What the platform tells an instance of the site and its place in it."""

    grades: Annotated[list[Grade], Meta(min_length=1, description="the classes, each of its own name")]
    me: Annotated[
        int, _meta("this proxy's number among `balancers`, from 0", reads="me", ge=0, le=MAX_COUNT)
    ]
    balancers: Annotated[int, _meta("proxies of this tier", "proxies", "balancers", ge=1, le=MAX_COUNT)]
    discovery: Annotated[
        Literal["push", "ask"], _meta("changes come unasked, or on a watch", reads="ask_for_list")
    ]
    policy_limits: PolicyLimits
    contract: Contract
    tenants: Annotated[list[Tenant], Meta(description="the tenants, where there are any")] = []
    zone: Annotated[str, _meta("this proxy's zone", reads="zone")] = ""
    dcs: Annotated[list[str], _meta("the zones", reads="zones", unused="lists name each server's zone")] = []
    kinds: Annotated[list[str], _meta("kinds of machine", reads="kinds", unused=_NO_RULE)] = []
    quantum: Annotated[float, _meta("least time between two batches", SECONDS, "quantum", ge=0)] = 0.0
    stage: Annotated[
        int, _meta("this tier's place in `stages`, from 0", reads="stage", ge=0, le=MAX_COUNT)
    ] = 0
    stages: Annotated[
        list[str], _meta("the tiers, which share the budget of calls done anew", reads="stages")
    ] = []
    weights: Annotated[
        Literal["off", "nominal", "rough", "live"],
        _meta("what a listed weight means", reads="weights", unused="weights are used as listed"),
    ] = "nominal"
    worth_by: Annotated[
        Literal["request", "work"], _meta("value is of a request, or of its work", reads="worth_by_work")
    ] = "request"
    over_share_worth: Annotated[
        float, _meta("of the worth, beyond a tenant's quota", SHARE, "over_share_worth", ge=0, le=1)
    ] = 1.0
    callers: Callers = msgspec.field(default_factory=Callers)
    report: Report = msgspec.field(default_factory=Report)
    objective_mix: ObjectiveMix = msgspec.field(default_factory=ObjectiveMix)
    charges: Charges = msgspec.field(default_factory=Charges)
    specifics: Specifics = msgspec.field(default_factory=Specifics)
    family: Annotated[str, _meta("kind of service", unused=_NO_RULE)] = ""


class Endpoint(Struct, kw_only=True):
    """A server as discovery lists it."""

    name: str
    address: Annotated[str, Meta(description="host:port, the host numeric")]
    status: Literal["Ready", "Terminating", "Gone"]
    zone: str = ""
    type: str = ""
    group: int = 0
    weight: float = 1.0
    since_ms: Annotated[float | None, _meta("wall time of its latest start; 0: long ago", "ms")] = 0.0


class Known(Struct, kw_only=True):
    """The list of servers as last held."""

    index: int
    snapshot: bool
    endpoints: list[Endpoint]


class Limits(Struct, kw_only=True):
    sockets: Annotated[
        int, _meta("file descriptors; at most what the process may open", "descriptors", ge=64)
    ] = 1 << 20
    memory_mb: Annotated[float, _meta("memory", MEGABYTES, gt=0, lt=1 << 30)] = 192.0
    cores: Annotated[float, _meta("processor", "cores", unused="the platform holds it")] = 1.0


class ConfigFile(Struct, kw_only=True):
    """The file that EDGE_CONFIG names."""

    settings: Settings
    listen: Annotated[str, Meta(description="host:port, the host numeric; EDGE_LISTEN comes first")] = ""
    discovery: Annotated[str, Meta(description="host:port, the host numeric; EDGE_DISCOVERY comes first")] = (
        ""
    )
    name: Annotated[str, Meta(description="of the proxy; EDGE_NAME comes first")] = ""
    seed: Annotated[int | str, Meta(description="of chance; a string is hexadecimal")] = 0
    limits: Limits = msgspec.field(default_factory=Limits)
    known: Known | None = None


def published() -> str:
    """The JSON Schema of the file, as docs/config.schema.json holds it."""
    schema: dict[str, Any] = {"$schema": "https://json-schema.org/draft/2020-12/schema"}
    schema |= msgspec.json.schema(ConfigFile)
    return json.dumps(schema, indent=2) + "\n"
