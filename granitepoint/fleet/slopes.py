"""The scale series: each figure over four sizes or more, with a straight line through the points."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial
from pathlib import Path

import msgspec
from rich.console import Console
from rich.table import Table

from granitepoint.fleet import results, state
from granitepoint.fleet.experiment import (
    CLASSES,
    BackendSizes,
    CallerSizes,
    Change,
    Experiment,
    ProxySizes,
    Restarts,
    Trouble,
)
from granitepoint.fleet.fit import fit_line, fit_plane
from granitepoint.fleet.measure import describe_machine, source_commit
from granitepoint.fleet.run import Report, run

SEED = 20260901
MB = 1e6
Records = Sequence[results.AnyRecord]


class Slope(msgspec.Struct, kw_only=True):
    """One figure of one series."""

    series: str
    figure: str
    unit: str
    per: str  # what x counts
    slope: float
    base: float
    residual: float  # root mean square, in units of y
    points: list[tuple[float, float]]
    commit: str
    load_average: object


class Series(msgspec.Struct, kw_only=True):
    """Experiments of growing size, and the figures that are read from each."""

    per: str
    sizes: list[tuple[float, Experiment]]
    figures: dict[str, tuple[str, Callable[[Records], float]]]  # name: unit, reader


# readers
def _of_role(records: Records, role: str) -> list[results.Process]:
    return [one for one in records if isinstance(one, results.Process) and one.role == role]


def cores_each(role: str) -> Callable[[Records], float]:
    """Cores spent for each proxy (or other thing) that the role's processes hold."""

    def read(records: Records) -> float:
        held = _of_role(records, role)
        return sum(one.cores for one in held) / max(1, sum(one.holds for one in held))

    return read


def cores(role: str) -> Callable[[Records], float]:
    return lambda records: sum(one.cores for one in _of_role(records, role))


def memory_each(role: str) -> Callable[[Records], float]:
    """Bytes for each of its processes."""

    def read(records: Records) -> float:
        held = _of_role(records, role)
        return sum(one.memory_end for one in held) / max(1, len(held))

    return read


def control(read: Callable[[results.Control], float]) -> Callable[[Records], float]:
    return lambda records: read(results.only(records, results.Control))


def calls(read: Callable[[results.Calls], float]) -> Callable[[Records], float]:
    return lambda records: read(results.only(records, results.Calls))


def stage(name: str, share: str) -> Callable[[Records], float]:
    return lambda records: results.only(records, results.Stages).histograms[name][share]


def last_in_force(records: Records) -> float:
    """Seconds until the last proxy had a change, at the worst change."""
    lasts = [
        float(one.figures.get("last_worst_s", 0.0))
        for one in records
        if isinstance(one, results.Event) and one.what.startswith("in force")
    ]
    return max(lasts, default=0.0)


def begun_per_call(first: bool = False) -> Callable[[Records], float]:
    """Requests begun at the deepest service, or at the first, for each call planned."""

    def read(records: Records) -> float:
        services = [one for one in records if isinstance(one, results.Backends)]
        at = (min if first else max)(services, key=lambda one: one.service)
        return at.counts.get("begun", 0) / max(1, results.only(records, results.Calls).planned)

    return read


def served_share(calls: results.Calls) -> float:
    return (calls.outcomes.get("served", 0) + calls.outcomes.get("late", 0)) / max(1, calls.planned)


def of_backends(count: str) -> Callable[[Records], float]:
    """A count of the backends, a second."""

    def read(records: Records) -> float:
        span = results.only(records, results.Control).span_s
        return sum(one.counts.get(count, 0) for one in records if isinstance(one, results.Backends)) / span

    return read


BYTES_EACH = control(lambda c: (c.bytes_in + c.bytes_out) / c.span_s / c.desks)
CALLS_EACH = control(lambda c: c.calls / c.span_s / c.desks)


def _experiment(
    name: str,
    duration: float = 12.0,
    backends: BackendSizes | None = None,
    proxies: ProxySizes | None = None,
    callers: CallerSizes | None = None,
    troubles: Sequence[Trouble] = (),
    settings: dict[str, object] | None = None,
) -> Experiment:
    return Experiment(
        name=name,
        seed=SEED,
        duration_s=duration,
        settle_s=3.0,
        backends=backends or BackendSizes(),
        proxies=proxies or ProxySizes(),
        callers=callers or CallerSizes(rate_per_s=0.0),
        troubles=list(troubles),
        settings=settings or {},
    )


def _listed() -> Series:
    sizes = [
        (float(n), _experiment(f"listed-{n}", backends=BackendSizes(count=n), proxies=ProxySizes(real=4)))
        for n in (55, 110, 220, 440, 880)
    ]
    return Series(
        per="listed backend",
        sizes=sizes,
        figures={
            "cores of an idle real proxy": ("cores", cores_each("proxy")),
            "memory of an idle real proxy": ("bytes", memory_each("proxy")),
            "discovery bytes to an idle proxy": ("bytes/s", BYTES_EACH),
        },
    )


def _rate() -> Series:
    sizes = [
        (
            float(rate),
            _experiment(
                f"rate-{rate}", 15.0, BackendSizes(count=20), ProxySizes(real=1),
                CallerSizes(rate_per_s=float(rate)),
            ),
        )
        for rate in (10, 40, 72, 150)
    ]  # fmt: skip
    added = {
        f"added by a real proxy, {share}": ("ms", calls(lambda c, key=f"p{share}_ms": c.added[key]))  # type: ignore[misc]
        for share in ("50", "99", "99.9")
    }
    return Series(
        per="call a second",
        sizes=sizes,
        figures={
            "cores of a real proxy": ("cores", cores_each("proxy")),
            "memory of a real proxy": ("bytes", memory_each("proxy")),
            "probes": ("1/s", of_backends("probes")),
            "bytes of probes": ("bytes/s", of_backends("probe bytes")),
            "new connections to backends": ("1/s", of_backends("connections")),
            "callers' own lateness, 99": ("ms", calls(lambda c: c.late_sends["p99_ms"])),
            **added,
        },
    )


def _stages() -> Series:
    sizes = [
        (
            float(rate),
            _experiment(
                f"stages-{rate}", 15.0, BackendSizes(count=20), ProxySizes(real=0, hollow=1, timed=True),
                CallerSizes(rate_per_s=float(rate)),
            ),
        )
        for rate in (10, 40, 72, 150)
    ]  # fmt: skip
    names = ("read", "batch", "pick", "connect", "prove", "answer", "whole")
    return Series(
        per="call a second",
        sizes=sizes,
        figures={
            f"{name}, {share}": ("ms", stage(name, f"p{share}_ms"))
            for name in names
            for share in ("50", "99", "99.9")
        },
    )


def _watchers() -> Series:
    sizes = [
        (
            float(n),
            _experiment(
                f"watchers-{n}", 12.0, BackendSizes(count=100), ProxySizes(real=1, hollow=n - 1),
                troubles=[Change(at_s=1.0, times=10, every_s=1.0)],
            ),
        )
        for n in (110, 220, 440, 880)
    ]  # fmt: skip
    return Series(
        per="proxy",
        sizes=sizes,
        figures={
            "cores of the discovery stand-in": ("cores", cores("discovery")),
            "memory of the discovery stand-in": ("bytes", memory_each("discovery")),
            "calls to discovery": ("1/s", control(lambda c: c.calls / c.span_s)),
            "bytes of discovery": ("bytes/s", control(lambda c: (c.bytes_in + c.bytes_out) / c.span_s)),
            "bytes for each proxy": ("bytes/s", BYTES_EACH),
            "cores of hollow proxies": ("cores", cores("proxies")),
            "last proxy has a change": ("s", last_in_force),
        },
    )


def _changes() -> Series:
    sizes = [
        (
            rate,
            _experiment(
                f"changes-{rate:g}", 12.0, BackendSizes(count=100), ProxySizes(real=4),
                troubles=[Change(at_s=0.5, times=int(11 * rate), every_s=1 / rate)],
            ),
        )
        for rate in (1.0, 2.0, 4.0, 8.0)
    ]  # fmt: skip
    return Series(
        per="change a second",
        sizes=sizes,
        figures={
            "cores of an idle real proxy": ("cores", cores_each("proxy")),
            "bytes for each proxy": ("bytes/s", BYTES_EACH),
            "calls of each proxy": ("1/s", CALLS_EACH),
            "last proxy has a change": ("s", last_in_force),
        },
    )


def _entries() -> Series:
    sizes = [
        (
            float(n),
            _experiment(
                f"entries-{n}", 12.0, BackendSizes(count=880), ProxySizes(real=4),
                troubles=[Change(at_s=0.5, entries=n, times=11)],
            ),
        )
        for n in (1, 110, 440, 880)
    ]  # fmt: skip
    return Series(
        per="entry changed a second",
        sizes=sizes,
        figures={
            "cores of an idle real proxy": ("cores", cores_each("proxy")),
            "bytes for each proxy": ("bytes/s", BYTES_EACH),
        },
    )


def _restarts() -> Series:
    sizes = [
        (
            n / 12.0,
            _experiment(
                f"restarts-{n}", 18.0, BackendSizes(count=220), ProxySizes(real=2, hollow=218),
                troubles=[Restarts(at_s=1.0, count=n, over_s=12.0, proxies=True)],
            ),
        )
        for n in (12, 24, 48, 96)
    ]  # fmt: skip
    return Series(
        per="restart a second of 220 backends with their proxies",
        sizes=sizes,
        figures={
            "calls to discovery": ("1/s", control(lambda c: c.calls / c.span_s)),
            "bytes for each proxy": ("bytes/s", BYTES_EACH),
            "whole lists": ("1", control(lambda c: float(c.whole_lists))),
            "cores of the discovery stand-in": ("cores", cores("discovery")),
            "cores of an idle real proxy": ("cores", cores_each("proxy")),
            "last proxy has a change": ("s", last_in_force),
        },
    )


def _depth(deadline: float = 1.0) -> Series:
    """One answer in a hundred is an error, so that retries at each depth show what they multiply."""
    proxies = ProxySizes(real=1, hollow=3, per_process=14)  # few: a loop's lag is taken off each budget
    callers = CallerSizes(rate_per_s=20.0, mix={"read": 1.0}, retries=2)
    classes = [{**CLASSES[0], "deadline": deadline, "objective": 0.3 * deadline}]
    sizes = []
    for depth in (1, 4, 8, 16, 28):
        backends = BackendSizes(count=4, services=depth, service_ms=5.0, fail_share=0.01)
        name = f"depth-{depth}-of-{deadline:g}s"
        settings: dict[str, object] = {"grades": classes}
        sizes.append((float(depth), _experiment(name, 12.0, backends, proxies, callers, (), settings)))
    return Series(
        per="service in the chain",
        sizes=sizes,
        figures={
            "begun at the first for each call": ("1", begun_per_call(first=True)),
            "begun at the deepest for each call": ("1", begun_per_call()),
            "tries for each call": ("1", calls(lambda c: c.tries / max(1, c.planned))),
            "served share": ("1", calls(served_share)),
            "latency of read, 50": ("ms", calls(lambda c: c.latency.get("read", {}).get("p50_ms", 0.0))),
            "latency of read, 99": ("ms", calls(lambda c: c.latency.get("read", {}).get("p99_ms", 0.0))),
        },
    )


def _probes() -> Series:
    sizes = []
    for price in (0.06, 0.001):  # the cheap one makes the module ask a call's candidates first
        for rate in (10, 20, 40, 72):
            sizes.append(
                (
                    float(rate),
                    _experiment(
                        f"probes-{price:g}-{rate}", 10.0, BackendSizes(count=20, service_ms=40.0),
                        ProxySizes(real=1), CallerSizes(rate_per_s=float(rate)),
                        settings={"charges": {"probe": price}},
                    ),
                )
            )  # fmt: skip
    return Series(
        per="call a second", sizes=sizes, figures={"cores of a real proxy": ("cores", cores("proxy"))}
    )


SERIES: dict[str, Callable[[], Series] | None] = {
    "state": None,  # in this process, without a fleet
    "listed": _listed,
    "rate": _rate,
    "stages": _stages,
    "watchers": _watchers,
    "changes": _changes,
    "entries": _entries,
    "restarts": _restarts,
    "probes": _probes,
    "depth": _depth,
    "deep": partial(_depth, 5.0),  # time enough
}


def run_series(name: str, out: Path, report: Report) -> bool:
    """Runs one series and writes its lines; whether it was complete. Raises FleetError."""
    make = SERIES[name]
    out.mkdir(parents=True, exist_ok=True)
    here = describe_machine()
    lines: list[Slope] = []

    def keep(figure: str, unit: str, per: str, points: Sequence[tuple[float, float]]) -> None:
        line = fit_line(points)
        lines.append(
            Slope(series=name, figure=figure, unit=unit, per=per, slope=line.slope, base=line.base,
                  residual=line.residual, points=line.points, commit=source_commit(),
                  load_average=here["load_average"])
        )  # fmt: skip

    if make is None:
        for what in state.MEASUREMENTS:
            report(what, 0.0)
            keep(f"state of each {what}", "bytes", what, state.measure(what))
    else:
        series = make()
        read: list[tuple[float, Records]] = []
        for number, (size, experiment) in enumerate(series.sizes):
            path = out / f"{experiment.name}.jsonl"
            share = number / len(series.sizes)
            report(experiment.name, share)
            if not run(experiment, path):
                return False
            read.append((size, results.read(path)))
        for figure, (unit, of) in series.figures.items():
            keep(figure, unit, series.per, [(size, of(records)) for size, records in read])
        if name == "probes":
            lines += _cost_of_probes(name, read, here["load_average"])
    with (out / f"lines-{name}.jsonl").open("wb") as file:
        for slope in lines:
            file.write(msgspec.json.encode(slope) + b"\n")
    return True


def _cost_of_probes(name: str, read: Sequence[tuple[float, Records]], load: object) -> list[Slope]:
    """The time of an idle second, of a call and of a probe, told apart over runs with few and many probes."""
    rows, spent = [], []
    for rate, records in read:
        (process,) = _of_role(records, "proxy")
        probes = sum(one.counts.get("probes", 0) for one in records if isinstance(one, results.Backends))
        rows.append((1.0, rate, probes / process.span_s))
        spent.append(process.cores)
    weights, residual = fit_plane(rows, spent)
    points = [(row[2], y) for row, y in zip(rows, spent, strict=True)]
    return [
        Slope(
            series=name,
            figure=f"cores of a real proxy, for each {per}",
            unit="cores",
            per=per,
            slope=weight,
            base=weights[0],
            residual=residual,
            points=points,
            commit=source_commit(),
            load_average=load,
        )
        for per, weight in zip(("call a second", "probe a second"), weights[1:], strict=True)
    ]


def read_lines(out: Path) -> list[Slope]:
    decoder: msgspec.json.Decoder[Slope] = msgspec.json.Decoder(Slope)
    paths = [out / f"lines-{name}.jsonl" for name in SERIES]
    return [
        decoder.decode(line) for path in paths if path.exists() for line in path.read_bytes().splitlines()
    ]


def print_lines(out: Path, console: Console) -> None:
    table = Table("series", "figure", "base", "slope", "unit for each", "residual")
    for line in read_lines(out):
        table.add_row(
            line.series, line.figure, f"{line.base:.4g}", f"{line.slope:.4g}", f"{line.unit} / {line.per}",
            f"{line.residual:.2g}",
        )  # fmt: skip
    console.print(table)
