"""Counters of one run, and the records and the report made from them.

Nothing here depends on the machine, so a day and a seed always give the same output.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

from granitepoint.emulator.calls import Attempt, Request
from granitepoint.emulator.day import Day, Tier
from granitepoint.fleet.measure import Histogram
from granitepoint.fleet.results import Record, Writer

OUTCOMES = ("in_time", "late", "refused", "failed", "timed_out", "left")
WINDOW_LENGTH = 5.0  # s of a window of the results
WINDOW_HEADER = (
    "  from offered in-time%  late% refused%  fail%  t/o%  left%    p50 ms    p99 ms tries/r  att/r worth%"
)
DEPTH_HEADER = (
    "  depth tier               calls  served refused  failed attempts  full errors   t/o  conn reset"
    "   work done  served%"
)


def _zero_outcomes() -> dict[str, int]:
    return dict.fromkeys(OUTCOMES, 0)


class Depth(Record, kw_only=True, tag="depth"):
    """Counts of one tier. Work is in seconds of a standard core."""

    depth: int
    name: str
    calls: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    attempts: int = 0
    full: int = 0  # attempts rejected with status FULL
    errors: int = 0
    timeouts: int = 0
    connect_failed: int = 0
    resets: int = 0
    probes: int = 0
    handshakes: int = 0
    chokes: int = 0
    work_done: float = 0.0  # of all finished attempts
    work_served: float = 0.0  # part of it for answers that clients received within their deadlines


class Window(Record, kw_only=True, tag="window"):
    """Requests whose first try was sent in a window of WINDOW_LENGTH, whenever they ended."""

    from_s: float
    offered: int = 0  # requests
    ends: dict[str, int] = msgspec.field(default_factory=_zero_outcomes)  # requests by outcome
    tries: int = 0
    attempts: int = 0  # at all tiers
    worth_offered: float = 0.0
    worth_served: float = 0.0
    latency: dict[str, float] = msgspec.field(default_factory=dict)  # Histogram.summary of served requests
    offered_by: dict[str, int] = msgspec.field(default_factory=dict)  # by class
    in_time_by: dict[str, int] = msgspec.field(default_factory=dict)  # by class


class Sample(Record, kw_only=True, tag="sample"):
    """State of the instances that send to one tier, at one time. Only running instances are included."""

    at_s: float
    depth: int
    instances: int
    window: float  # mean concurrency limit
    drop: float  # mean fraction of calls to reject
    out: int  # attempts in flight, sum
    held: int  # calls queued for a first or a further attempt, sum


class Group(Record, kw_only=True, tag="group"):
    """Counts of the requests of one class or one tenant."""

    kind: str
    name: str
    offered: int = 0
    ends: dict[str, int] = msgspec.field(default_factory=_zero_outcomes)
    worth_offered: float = 0.0
    worth_served: float = 0.0
    latency: dict[str, float] = msgspec.field(default_factory=dict)


class Seen(Record, kw_only=True, tag="event"):
    """An event of the day: an effect of a fault."""

    at_s: float
    what: str


class Begin(Record, kw_only=True, tag="begin"):
    """First record: the day and its size."""

    name: str
    seed: int
    capacity_per_s: float
    rate_per_s: float
    servers: int
    instances: int
    day: dict[str, Any]


class Total(Record, kw_only=True, tag="total"):
    """Last record: results of the whole run."""

    requests: int
    ends: dict[str, int]
    in_time_share: float
    worth_served: float  # as a share of the worth offered
    worst_10_s: float  # lowest share of worth served in two adjacent windows (10 s)
    tries_per_request: float
    attempts_per_request: float
    calls: int  # to all instances
    work_offered: float  # core seconds
    work_done: float
    wasted: float  # work done without a served request, as a share of the work offered
    chokes: int
    steps: int  # batches of events that instances handled
    breaks: dict[str, int]  # violations of each rule


class EmulatorError(Exception):
    """An invariant of the emulator is violated: a bug in the emulator."""


class Tally:
    """Counts the requests, calls, attempts and rule violations of one run."""

    def __init__(self, day: Day, tiers: list[Tier]) -> None:
        self.day = day
        self.depths = [Depth(depth=number, name=tier.name) for number, tier in enumerate(tiers)]
        self.windows: list[Window] = []
        self.classes = {cls.name: Group(kind="class", name=cls.name) for cls in day.classes}
        self.tenants = {t.name: Group(kind="tenant", name=t.name) for t in day.tenants}
        # unanswered: a call had no answer in time. repeat: a call was sent again, or refused, although it may
        # have been executed. drain: an attempt was sent to a server that drains or is gone. cold_fall: a cold
        # server crashed, and most of its work came from instances that had been notified of its start.
        # out_of_place: an action that is not possible.
        self.violations = {"unanswered": 0, "repeat": 0, "drain": 0, "cold_fall": 0, "out_of_place": 0}
        self.seen_events: list[Seen] = []
        self.samples: list[Sample] = []
        self.requests = self.open_requests = self.steps = 0
        self.work_offered = 0.0
        self._latency: dict[int | str, Histogram] = {}
        # Mean work of a request at all tiers, relative to the work of its class.
        calls_per_request, self.mean_work_factor = 1.0, 0.0
        for tier in tiers:
            calls_per_request *= tier.calls
            self.mean_work_factor += calls_per_request * tier.work

    def window_at(self, now: float) -> Window:
        """The window that contains this time; missing windows are created."""
        while len(self.windows) <= now / WINDOW_LENGTH:
            self.windows.append(Window(from_s=len(self.windows) * WINDOW_LENGTH))
        return self.windows[int(now / WINDOW_LENGTH)]

    def groups_of(self, request: Request) -> list[Window | Group]:
        """The window, class and tenant in which a request is counted."""
        groups: list[Window | Group] = [request.window, self.classes[request.cls.name]]
        if request.tenant:
            groups.append(self.tenants[request.tenant])
        return groups

    def request_started(self, request: Request) -> None:
        """Count a new request."""
        self.requests += 1
        self.open_requests += 1
        self.work_offered += request.cls.work_ms / 1e3 * self.mean_work_factor
        by_class = request.window.offered_by
        by_class[request.cls.name] = by_class.get(request.cls.name, 0) + 1
        for group in self.groups_of(request):
            group.offered += 1
            group.worth_offered += request.utility

    def request_ended(
        self, request: Request, outcome: str, elapsed: float, attempt: Attempt | None = None
    ) -> None:
        """Count the end of a request, `elapsed` seconds after its first try. `outcome` is one of OUTCOMES.

        Raises EmulatorError if the request has ended before.
        """
        if request.ended:
            raise EmulatorError(f"request {request.number} ended twice")
        request.ended = True
        self.open_requests -= 1
        if outcome == "in_time":
            by_class = request.window.in_time_by
            by_class[request.cls.name] = by_class.get(request.cls.name, 0) + 1
        utility = {"in_time": 1.0, "late": request.cls.late_worth}.get(outcome, 0.0) * request.utility
        for group in self.groups_of(request):
            group.ends[outcome] += 1
            group.worth_served += utility
        if outcome in ("in_time", "late"):
            for key in (request.cls.name, int(request.created_at / WINDOW_LENGTH)):
                if key not in self._latency:
                    self._latency[key] = Histogram()
                self._latency[key].add(elapsed)
        if attempt is not None:
            self.add_served_work(attempt)

    def add_served_work(self, attempt: Attempt) -> None:
        """Count the work of an attempt and of all attempts at the tiers behind it as served."""
        pending = [attempt]
        while pending:
            one = pending.pop()
            self.depths[one.server.depth].work_served += one.work_spent
            pending += one.inner_attempts

    def record_event(self, at: float, what: str) -> None:
        """Add an event of the day, at a time in seconds."""
        self.seen_events.append(Seen(at_s=round(at, 6), what=what))

    def total(self) -> Total:
        """Results of the whole run."""
        ends = dict.fromkeys(OUTCOMES, 0)
        for window in self.windows:
            for outcome, count in window.ends.items():
                ends[outcome] += count
        done = sum(depth.work_done for depth in self.depths)
        served = sum(depth.work_served for depth in self.depths)
        count = max(1, self.requests)
        pairs = list(zip(self.windows, self.windows[1:], strict=False))
        return Total(
            requests=self.requests,
            ends=ends,
            in_time_share=ends["in_time"] / count,
            worth_served=_served_utility_share(self.windows),
            worst_10_s=min(
                [_served_utility_share(pair) for pair in pairs], default=_served_utility_share(self.windows)
            ),
            tries_per_request=sum(w.tries for w in self.windows) / count,
            attempts_per_request=sum(w.attempts for w in self.windows) / count,
            calls=sum(depth.calls for depth in self.depths),
            work_offered=self.work_offered,
            work_done=done,
            wasted=max(0.0, done - served) / max(self.work_offered, 1e-9),
            chokes=sum(depth.chokes for depth in self.depths),
            steps=self.steps,
            breaks=self.violations,
        )

    def records(self, begin: Begin) -> list[Record]:
        """All records of the run, in the order in which they are written."""
        for window in self.windows:
            key = int(window.from_s / WINDOW_LENGTH)
            if key in self._latency:
                window.latency = self._latency[key].summary()
        for group in self.classes.values():
            if group.name in self._latency:
                group.latency = self._latency[group.name].summary()
        windows = [window for window in self.windows if window.offered]
        groups = [*self.classes.values(), *self.tenants.values()]
        return [begin, *self.seen_events, *self.samples, *windows, *groups, *self.depths, self.total()]


def _served_utility_share(groups: Iterable[Window | Group]) -> float:
    """The utility (worth) served as a share of the utility offered."""
    group_list = list(groups)
    offered = sum(group.worth_offered for group in group_list)
    return sum(group.worth_served for group in group_list) / offered if offered else 0.0


def write(records: list[Record], path: Path) -> None:
    """Write one record per line. Raises OSError."""
    writer = Writer(path)
    try:
        for record in records:
            writer.write(record)
    finally:
        writer.close()


def text(records: list[Record]) -> str:
    """Format the records as a report of a few dozen lines."""
    lines: list[str] = []
    for record in records:
        if isinstance(record, Begin):
            lines.append(
                f"{record.name}: seed {record.seed}, {record.servers} servers, {record.instances} instances, "
                f"{record.rate_per_s:.1f} requests/s of {record.capacity_per_s:.1f}"
            )
        elif isinstance(record, Seen):
            lines.append(f"{record.at_s:9.2f} s  {record.what}")
    lines.append(WINDOW_HEADER)
    for record in records:
        if isinstance(record, Window):
            lines.append(_window_line(record))
    for record in records:
        if isinstance(record, Group):
            lines.append(_group_line(record))
    lines.append(DEPTH_HEADER)
    for record in records:
        if isinstance(record, Depth):
            lines.append(_depth_line(record))
        elif isinstance(record, Total):
            lines += _total_lines(record)
    return "\n".join(lines) + "\n"


def _depth_line(depth: Depth) -> str:
    share = 100 * depth.work_served / depth.work_done if depth.work_done else 0.0
    return (
        f"  {depth.depth:5} {depth.name:16} {depth.calls:7} {depth.served:7} {depth.refused:7} "
        f"{depth.failed:7} {depth.attempts:8} {depth.full:5} {depth.errors:6} {depth.timeouts:5} "
        f"{depth.connect_failed:5} {depth.resets:5} {depth.work_done:11.2f} {share:8.1f}"
    )


def _group_line(group: Group) -> str:
    line = f"{group.kind} {group.name:24} {group.offered:8} worth served {_served_utility_share([group]):.4f}"
    latency = group.latency
    if not latency:
        return line
    percentiles = "  ".join(f"{name} {latency[f'{name}_ms']:.1f}" for name in ("p50", "p99", "p99.9"))
    return f"{line}  {percentiles} ms"


def _window_line(window: Window) -> str:
    count = max(1, window.offered)
    ends = window.ends
    shares = [100 * ends[outcome] / count for outcome in OUTCOMES]
    latency = window.latency or {"p50_ms": 0.0, "p99_ms": 0.0}
    utility = 100 * _served_utility_share([window])
    return (
        f"{window.from_s:6.0f} {window.offered:7} {shares[0]:8.1f} {shares[1]:6.1f} {shares[2]:8.1f} "
        f"{shares[3]:6.1f} {shares[4]:5.1f} {shares[5]:6.1f} {latency['p50_ms']:9.1f} "
        f"{latency['p99_ms']:9.1f} {window.tries / count:7.2f} {window.attempts / count:6.2f} {utility:6.1f}"
    )


def _total_lines(total: Total) -> list[str]:
    violations = ", ".join(f"{name} {count}" for name, count in total.breaks.items() if count)
    ends = ", ".join(f"{outcome} {count}" for outcome, count in total.ends.items())
    return [
        f"requests {total.requests}: {ends}",
        f"in time {total.in_time_share:.4f}, worth served {total.worth_served:.4f} (worst 10 s "
        f"{total.worst_10_s:.4f}), refused {total.ends['refused'] / max(1, total.requests):.4f}",
        f"tries/request {total.tries_per_request:.3f}, attempts/request {total.attempts_per_request:.3f}, "
        f"wasted work {total.wasted:.4f} of what was offered, chokes {total.chokes}",
        f"rules broken: {violations or 'none'}",
    ]
