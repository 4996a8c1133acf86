"""The input and output types of a Balancer: settings, events and actions, independent of any protocol.

All times and durations are in seconds. Points in time are on the clock of the event batches, the `now` of
Balancer.handle. A call is a request in progress, with all attempts that an instance makes for it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum, IntEnum

from granitepoint.membership.evidence import Failure


class Effect(Enum):
    """What happens if a request is executed a second time."""

    REPEATABLE = "repeatable"  # a second execution is harmless on any server
    BY_KEY = "by_key"  # the servers of one group drop a duplicate for a limited time
    ONCE = "once"  # a second execution does harm


class Status(IntEnum):
    """The result of an attempt or a probe."""

    OK = 0
    ERROR = 1  # the server answered with an error; the request may have been executed
    FULL = 2  # rejected before it was read: never executed
    TIMEOUT = 3
    CONNECT_FAILED = 4  # never executed
    RESET = 5
    CANCELLED = 6
    MOOT = 7  # no longer needed and never sent


# The request was certainly not executed in these cases.
NEVER_RAN = (Status.FULL, Status.CONNECT_FAILED, Status.MOOT)


class ServerState(Enum):
    """The state of a server as the list of servers gives it."""

    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"  # removed from the list


class ListKind(Enum):
    """How a ServerList relates to the list that the instance already has."""

    SAVED = "saved"  # the complete list as it was last stored; it may be out of date
    FULL = "full"  # the complete current list
    INCREMENTAL = "incremental"  # only the servers that changed
    FAILED = "failed"  # no list: a watch or a fetch failed, or the watch was interrupted


# The upper bound of every integer setting. Values computed from it must still fit into a float.
MAX_COUNT = 1 << 31
# The lower bounds of the integer settings.
MIN_COUNTS = {
    "balancers": 1, "me": 0, "stage": 0, "stages": 1, "max_attempts": 1, "most_held": 0,
    "calls_per_connection": 1,
}  # fmt: skip


def _require(ok: bool, key: str, value: object) -> None:
    """Raises ValueError, naming the setting `key`, unless `ok`."""
    if not ok:
        raise ValueError(f"setting {key} is out of range: {value!r}")


def _require_positive(owner: object, prefix: str, *keys: str) -> None:
    """Raises ValueError unless each of these attributes of `owner` is finite and above 0."""
    for key in keys:
        value = getattr(owner, key)
        _require(math.isfinite(value) and value > 0, prefix + key, value)


def _require_non_negative(owner: object, prefix: str, *keys: str) -> None:
    """Raises ValueError unless each of these attributes of `owner` is finite and at least 0."""
    for key in keys:
        value = getattr(owner, key)
        _require(math.isfinite(value) and value >= 0, prefix + key, value)


@dataclass(slots=True)
class RequestClass:
    """The settings of a class of requests. Raises ValueError for a value out of range."""

    name: str
    worth: float  # the utility: points for an answer in time; with `worth_by_work`, per core second of work
    aim: float  # the latency objective: an answer within it has the full utility
    deadline: float  # how long a client waits in total, over all its tries
    late_worth: float = 0.0  # the fraction of the utility that an answer between `aim` and `deadline` has
    effect: Effect = Effect.REPEATABLE
    group: str = "all"  # BY_KEY only: the servers that drop a duplicate: "all", "zone" or "cell"
    window: float = 0.0  # BY_KEY only: how long they recognize a duplicate
    stream: bool = False  # the answer is a stream
    aim_stretch: float = 0.0  # the objective is extended by this multiple of the request's own work

    def __post_init__(self) -> None:
        """Checks the ranges of all values."""
        _require_positive(self, f"class {self.name} ", "aim", "deadline")
        _require_non_negative(self, f"class {self.name} ", "worth", "window", "aim_stretch", "late_worth")
        _require(self.late_worth <= 1, f"class {self.name} late_worth", self.late_worth)
        _require(self.group in ("all", "zone", "cell"), f"class {self.name} group", self.group)


@dataclass(slots=True)
class Tenant:
    """The settings of a tenant. Raises ValueError for a value out of range."""

    name: str
    quota_per_s: float  # requests per second, over all instances of the tier
    share: float = 0.0  # the fraction of the service

    def __post_init__(self) -> None:
        """Checks the ranges of all values."""
        _require_non_negative(self, f"tenant {self.name} ", "quota_per_s", "share")


@dataclass(slots=True)
class Settings:
    """The settings of an instance. Prices are in points per unit of what their comment names.

    Raises ValueError for a value out of range.
    """

    classes: list[RequestClass]
    tenants: list[Tenant] = field(default_factory=list)
    zone: str = ""
    me: int = 0  # the index of this instance among the `balancers` of its tier
    balancers: int = 1
    stage: int = 0  # the index of the tier; 0 takes requests of clients, the others take calls of servers
    stages: int = 1  # the number of tiers
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()  # machine types
    quantum: float = 0.0  # the minimum time between two batches of events
    ask_for_list: bool = False  # changes are requested with a watch; otherwise they are pushed
    must_ask_within: float = 10.0  # the maximum time without a watch or a call to discovery
    # How long after a change an instance counts as notified of it, even if it has not received the change:
    # from then on it must not use an older list (membership/list_lease.py). Not a setting of the
    # configuration: the process that runs the Balancer sets it.
    notified_after: float = math.inf
    max_attempts: int = 1  # attempts per request
    may_duplicate: bool = False  # several attempts of a request may be in flight at once
    may_cancel: bool = False
    may_probe: bool = False
    may_tell: bool = False  # messages to other instances are allowed
    most_held: int = 0  # the maximum number of open requests of an instance; 0: no limit
    clients_mark_retries: bool = False
    may_advise_wait: bool = False  # refusals may carry a Retry-After
    max_wait_advice: float = 0.0
    over_share_worth: float = 1.0  # the factor on the utility of a tenant's requests beyond its quota
    worth_by_work: bool = False  # the utility is scaled by the expected work of the request
    passes_deadline: bool = False  # servers forward the time that is left for a request
    # The fields of a load report: of busy_reqs, pending, cpu_share, svc_ms, served_ps, failed_ps.
    report_names: tuple[str, ...] = ()
    reports: str = "probe"  # where load reports come: "answer" (and probes), "probe" or "none"
    weights: str = "nominal"  # what a listed weight means: "none", "nominal", "rough" or "live"
    conn_idle: float = 15.0  # servers close a connection that has been idle for this time
    connect_timeout: float = 0.25
    calls_per_connection: int = 1  # concurrent calls on a connection
    cpu_per_s: float = 0.0  # CPU seconds per second that an instance may use; 0: no limit
    cpu_per_call: float = 0.0  # CPU seconds
    goal_whole: float = 1.0  # the weights of the parts of the overall score
    goal_window: float = 0.0
    goal_class: float = 0.0
    goal_tenant: float = 0.0
    answer_slack: float = 0.0  # how long after a request's deadline its answer may still be given
    drain_grace: float = 0.0  # how long after its drain was announced a server may still get requests
    cold_from: float = 1.0  # the fraction of its capacity that a server has right after its start
    cold_for: float = 0.0  # the time until a started server has its full capacity
    # A cold server crashes if the work that it gets within `fall_within` exceeds `fall_multiple` times what
    # its reduced capacity can do in that time.
    fall_multiple: float = 1.0
    fall_within: float = 1.0
    price_crossing: float = 0.0  # attempts across zones
    price_probe: float = 0.0  # probes
    price_handshake: float = 0.0  # new connections
    price_connection: float = 0.0  # open connections
    price_waste: float = 0.0  # wasted work
    price_late_fail: float = 0.0  # failures after the objective
    price_peer: float = 0.0  # messages to other instances
    price_discovery: float = 0.0  # lists from discovery

    def __post_init__(self) -> None:
        """Checks the ranges of all values."""
        _require(bool(self.classes), "classes", self.classes)
        for key, minimum in MIN_COUNTS.items():
            _require(minimum <= getattr(self, key) <= MAX_COUNT, key, getattr(self, key))
        _require(0 < self.cold_from <= 1, "cold_from", self.cold_from)
        _require(0 <= self.over_share_worth <= 1, "over_share_worth", self.over_share_worth)
        _require(self.reports in ("answer", "probe", "none"), "reports", self.reports)
        _require(self.weights in ("none", "nominal", "rough", "live"), "weights", self.weights)
        names = [cls.name for cls in self.classes]
        _require(len(set(names)) == len(names), "classes", names)
        _require_positive(self, "", "must_ask_within", "fall_multiple", "fall_within", "connect_timeout")
        _require_non_negative(
            self,
            "",
            "max_wait_advice",
            "conn_idle",
            "answer_slack",
            "drain_grace",
            "cold_for",
            "price_crossing",
            "price_probe",
            "price_handshake",
            "price_connection",
            "price_waste",
            "price_late_fail",
            "price_peer",
            "price_discovery",
            "goal_whole",
            "goal_window",
            "goal_class",
            "goal_tenant",
            "cpu_per_s",
            "cpu_per_call",
            "quantum",
        )


# -- events ------------------------------------------------------------------------------------------


@dataclass(slots=True)
class ServerEntry:
    """One server of a list."""

    server: int  # the id of the server
    zone: str = ""
    kind: str = ""  # the machine type
    cell: int = 0
    state: ServerState = ServerState.SERVING
    weight: float = 1.0  # relative capacity
    started_at: float = 0.0  # the time of its last start, on the clock of the event batches; 0: long ago


@dataclass(slots=True)
class ServerList:
    """A list of servers arrived from discovery, or the request for one failed."""

    kind: ListKind
    entries: list[ServerEntry] = field(default_factory=list)
    version: int = 0
    written_after: float | None = None  # the earliest time at which it was written; None: just now
    answers_newest_call: bool = True  # otherwise a later watch is still open
    failure: Failure | None = None  # FAILED only; None: derived from the duration of the call
    service_time: float | None = None  # time that discovery needed, without its hold; None: unknown


@dataclass(slots=True)
class WatchLost:
    """The watch of discovery failed, became silent or moved. Changes may be missed until the next list."""

    notified_within: float = math.inf  # time from now until the instance counts as notified of every change
    moved_at: float | None = None  # when discovery got a new address, on the clock of the event batches
    silent: bool = False  # the watch stays open, and another call is made in parallel


@dataclass(slots=True)
class WatchOpened:
    """A call was made that discovery may hold open for up to `hold` seconds."""

    started_at: float  # on the clock of the event batches
    hold: float


@dataclass(slots=True)
class DiscoveryFailed:
    """A call to discovery failed. Times are on the clock of the event batches."""

    failure: Failure
    started_at: float
    ended_at: float


@dataclass(slots=True)
class Arrival:
    """A request arrived."""

    call: int  # the id of the call that the request becomes
    class_name: str
    budget: float  # the time until the client gives up this try
    tenant: str = ""
    work: float = 0.0  # expected work in core seconds; 0: unknown
    resent: bool = False  # the client marked it as a retry
    write: bool = False
    key: str = ""  # identifies the object that the request is about, if there is one
    # How long the client said it waits, in s from when it sent this try; 0: it did not say, and `budget` is
    # used instead.
    stated_timeout: float = 0.0


@dataclass(slots=True)
class Outcome:
    """An attempt ended."""

    call: int
    attempt: int  # the number of the attempt within the call
    server: int
    status: int  # a Status
    elapsed: float  # since the attempt was sent
    final: bool  # the call ended with this attempt
    report: dict[str, float] | None = None  # the load report of the server, by field name
    idle_for: float | None = None  # how long its connection had been idle; 0: it was new; None: unknown


@dataclass(slots=True)
class StreamStarted:
    """The first part of a streamed answer arrived."""

    call: int
    attempt: int
    server: int
    elapsed: float = 0.0  # since the attempt was sent


@dataclass(slots=True)
class Gone:
    """The client disconnected, or its time is over: the call needs no answer any more."""

    call: int


@dataclass(slots=True)
class Probed:
    """A probe ended."""

    server: int
    status: int  # a Status
    elapsed: float  # since the probe was sent
    report: dict[str, float] | None = None  # the load report of the server, by field name


@dataclass(slots=True)
class Timer:
    """The delay of a SetTimer is over."""

    token: int  # the token of the SetTimer


@dataclass(slots=True)
class IdleConnectionClosed:
    """The server closed an idle connection. Only real sockets report this."""

    server: int
    idle_for: float


@dataclass(slots=True)
class PeerMessage:
    """Another instance sent a message."""

    sender: int
    data: bytes


Event = (
    ServerList
    | WatchLost
    | WatchOpened
    | DiscoveryFailed
    | Arrival
    | Outcome
    | StreamStarted
    | Gone
    | Probed
    | Timer
    | IdleConnectionClosed
    | PeerMessage
)

# -- actions -----------------------------------------------------------------------------------------


@dataclass(slots=True)
class Send:
    """Send an attempt of a call to a server."""

    call: int
    server: int
    timeout: float
    trust: float = math.inf  # the largest idle age of a connection that may be used; an older one is closed
    within: float = math.inf  # the time within which the last byte has to be sent: later it might run twice


@dataclass(slots=True)
class Refuse:
    """Answer that the request was not executed, or that it is harmless to send it again."""

    call: int
    retry_after: float = 0.0  # the wait that is advised to the client; 0: none


@dataclass(slots=True)
class Fail:
    """Answer that the request failed and may have been executed."""

    call: int


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt that is in flight."""

    call: int
    attempt: int


@dataclass(slots=True)
class Probe:
    """Send a health check, which also asks for a load report."""

    server: int


@dataclass(slots=True)
class Watch:
    """Start or stop watching discovery for changes of the list."""

    on: bool = True


@dataclass(slots=True)
class Fetch:
    """Request the complete list from discovery."""

    pass


@dataclass(slots=True)
class SetTimer:
    """Deliver a Timer event with this token after a delay."""

    delay: float
    token: int


@dataclass(slots=True)
class CloseIdle:
    """Close the idle connections to a server."""

    server: int


@dataclass(slots=True)
class Tell:
    """Send a message to one other instance or to all. Only where Settings.may_tell."""

    data: bytes
    peer: int | None = None  # None: all


@dataclass(slots=True)
class Log:
    """Write a line to the log."""

    text: str


Action = Send | Refuse | Fail | Cancel | Probe | Watch | Fetch | SetTimer | CloseIdle | Tell | Log
