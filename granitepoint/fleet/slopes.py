"""The scale series: measures figures at four or more sizes, and fits a straight line to each."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial
from pathlib import Path

import msgspec
from rich.console import Console
from rich.table import Table

from granitepoint.fleet import results, state
from granitepoint.fleet.experiment import (
    DEFAULT_CLASSES,
    BackendSizes,
    CallerSizes,
    Change,
    Experiment,
    Fault,
    ProxySizes,
    Restarts,
)
from granitepoint.fleet.fit import fit_line, fit_plane
from granitepoint.fleet.measure import describe_machine, source_commit
from granitepoint.fleet.run import ProgressCallback, run

SEED = 20260901
BYTES_PER_MB = 1e6
Records = Sequence[results.AnyRecord]


class Slope(msgspec.Struct, kw_only=True):
    """The line fitted to one figure of one series: figure = base + slope * x."""

    series: str
    figure: str
    unit: str
    per: str  # what x counts
    slope: float
    base: float
    residual: float  # root mean square, in units of the figure
    points: list[tuple[float, float]]
    commit: str
    load_average: object


class Series(msgspec.Struct, kw_only=True):
    """Experiments of growing size, and the figures that are read from the results of each."""

    per: str  # what x counts
    sizes: list[tuple[float, Experiment]]  # x and the experiment of this size
    figures: dict[str, tuple[str, Callable[[Records], float]]]  # name: unit, function that computes it


# Functions that compute a figure from the records of a run, and functions that return such a function.
def _processes_of_role(records: Records, role: str) -> list[results.Process]:
    return [record for record in records if isinstance(record, results.Process) and record.role == role]


def cores_per_member(role: str) -> Callable[[Records], float]:
    """The cores used by the processes of the role, for each member (such as a proxy) that they simulate."""

    def read(records: Records) -> float:
        processes = _processes_of_role(records, role)
        return sum(process.cores for process in processes) / max(
            1, sum(process.holds for process in processes)
        )

    return read


def total_cores(role: str) -> Callable[[Records], float]:
    """The cores used by all processes of the role together."""
    return lambda records: sum(process.cores for process in _processes_of_role(records, role))


def memory_per_process(role: str) -> Callable[[Records], float]:
    """The mean memory of a process of the role, in bytes."""

    def read(records: Records) -> float:
        processes = _processes_of_role(records, role)
        return sum(process.memory_end for process in processes) / max(1, len(processes))

    return read


def from_control(read: Callable[[results.Control], float]) -> Callable[[Records], float]:
    """The result of `read` for the record of the load on discovery."""
    return lambda records: read(results.single_record(records, results.Control))


def from_calls(read: Callable[[results.Calls], float]) -> Callable[[Records], float]:
    """The result of `read` for the record of the calls."""
    return lambda records: read(results.single_record(records, results.Calls))


def stage_latency(name: str, percentile: str) -> Callable[[Records], float]:
    """A percentile of the time in a stage of the hollow proxies, in ms; it is given by its key, "p99_ms"."""
    return lambda records: results.single_record(records, results.Stages).histograms[name][percentile]


def max_propagation_time(records: Records) -> float:
    """Seconds until the last proxy had applied a change, for the slowest change of the run."""
    propagation_times = [
        float(record.figures.get("last_worst_s", 0.0))
        for record in records
        if isinstance(record, results.Event) and record.what.startswith("in force")
    ]
    return max(propagation_times, default=0.0)


def accepted_per_call(at_first_service: bool = False) -> Callable[[Records], float]:
    """The requests accepted by the last service of a chain, or by the first, for each planned call."""

    def read(records: Records) -> float:
        backend_records = [record for record in records if isinstance(record, results.Backends)]
        selected = (min if at_first_service else max)(backend_records, key=lambda record: record.service)
        return selected.counts.get("begun", 0) / max(1, results.single_record(records, results.Calls).planned)

    return read


def served_share(calls: results.Calls) -> float:
    """The share of the calls that were served, within the latency objective of their class or later."""
    return (calls.outcomes.get("served", 0) + calls.outcomes.get("late", 0)) / max(1, calls.planned)


def backend_count_per_s(counter: str) -> Callable[[Records], float]:
    """A count, summed over all backends, for each second of the measurement."""

    def read(records: Records) -> float:
        span = results.single_record(records, results.Control).span_s
        return (
            sum(record.counts.get(counter, 0) for record in records if isinstance(record, results.Backends))
            / span
        )

    return read


# Rates of each proxy: bytes/s and calls/s.
DISCOVERY_BYTES_PER_PROXY = from_control(lambda c: (c.bytes_in + c.bytes_out) / c.span_s / c.desks)
DISCOVERY_CALLS_PER_PROXY = from_control(lambda c: c.calls / c.span_s / c.desks)


def _experiment(
    name: str,
    duration_s: float = 12.0,
    backends: BackendSizes | None = None,
    proxies: ProxySizes | None = None,
    callers: CallerSizes | None = None,
    troubles: Sequence[Fault] = (),
    settings: dict[str, object] | None = None,
) -> Experiment:
    return Experiment(
        name=name,
        seed=SEED,
        duration_s=duration_s,
        settle_s=3.0,
        backends=backends or BackendSizes(),
        proxies=proxies or ProxySizes(),
        callers=callers or CallerSizes(rate_per_s=0.0),
        troubles=list(troubles),
        settings=settings or {},
    )


def _listed_series() -> Series:
    """Idle real proxies with a growing number of listed backends."""
    sizes = [
        (
            float(count),
            _experiment(f"listed-{count}", backends=BackendSizes(count=count), proxies=ProxySizes(real=4)),
        )
        for count in (55, 110, 220, 440, 880)
    ]
    return Series(
        per="listed backend",
        sizes=sizes,
        figures={
            "cores of an idle real proxy": ("cores", cores_per_member("proxy")),
            "memory of an idle real proxy": ("bytes", memory_per_process("proxy")),
            "discovery bytes to an idle proxy": ("bytes/s", DISCOVERY_BYTES_PER_PROXY),
        },
    )


def _rate_series() -> Series:
    """One real proxy at a growing rate of calls, in calls a second."""
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
    added_latency = {
        f"added by a real proxy, {percentile}": (
            "ms",
            from_calls(lambda c, key=f"p{percentile}_ms": c.added[key]),  # type: ignore[misc]
        )
        for percentile in ("50", "99", "99.9")
    }
    return Series(
        per="call a second",
        sizes=sizes,
        figures={
            "cores of a real proxy": ("cores", cores_per_member("proxy")),
            "memory of a real proxy": ("bytes", memory_per_process("proxy")),
            "probes": ("1/s", backend_count_per_s("probes")),
            "bytes of probes": ("bytes/s", backend_count_per_s("probe bytes")),
            "new connections to backends": ("1/s", backend_count_per_s("connections")),
            "callers' own lateness, 99": ("ms", from_calls(lambda c: c.late_sends["p99_ms"])),
            **added_latency,
        },
    )


def _stages_series() -> Series:
    """The stages of calls in one hollow proxy, at a growing rate of calls."""
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
    stages = ("read", "batch", "pick", "connect", "prove", "answer", "whole")
    return Series(
        per="call a second",
        sizes=sizes,
        figures={
            f"{name}, {percentile}": ("ms", stage_latency(name, f"p{percentile}_ms"))
            for name in stages
            for percentile in ("50", "99", "99.9")
        },
    )


def _watchers_series() -> Series:
    """Discovery with a growing number of proxies that watch a list, which changes once a second."""
    sizes = [
        (
            float(count),
            _experiment(
                f"watchers-{count}", 12.0, BackendSizes(count=100), ProxySizes(real=1, hollow=count - 1),
                troubles=[Change(at_s=1.0, times=10, every_s=1.0)],
            ),
        )
        for count in (110, 220, 440, 880)
    ]  # fmt: skip
    return Series(
        per="proxy",
        sizes=sizes,
        figures={
            "cores of the discovery stand-in": ("cores", total_cores("discovery")),
            "memory of the discovery stand-in": ("bytes", memory_per_process("discovery")),
            "calls to discovery": ("1/s", from_control(lambda c: c.calls / c.span_s)),
            "bytes of discovery": ("bytes/s", from_control(lambda c: (c.bytes_in + c.bytes_out) / c.span_s)),
            "bytes for each proxy": ("bytes/s", DISCOVERY_BYTES_PER_PROXY),
            "cores of hollow proxies": ("cores", total_cores("proxies")),
            "last proxy has a change": ("s", max_propagation_time),
        },
    )


def _changes_series() -> Series:
    """A growing rate of changes of a server list, each of one entry."""
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
            "cores of an idle real proxy": ("cores", cores_per_member("proxy")),
            "bytes for each proxy": ("bytes/s", DISCOVERY_BYTES_PER_PROXY),
            "calls of each proxy": ("1/s", DISCOVERY_CALLS_PER_PROXY),
            "last proxy has a change": ("s", max_propagation_time),
        },
    )


def _entries_series() -> Series:
    """A growing number of entries in each change, at one change a second."""
    sizes = [
        (
            float(count),
            _experiment(
                f"entries-{count}", 12.0, BackendSizes(count=880), ProxySizes(real=4),
                troubles=[Change(at_s=0.5, entries=count, times=11)],
            ),
        )
        for count in (1, 110, 440, 880)
    ]  # fmt: skip
    return Series(
        per="entry changed a second",
        sizes=sizes,
        figures={
            "cores of an idle real proxy": ("cores", cores_per_member("proxy")),
            "bytes for each proxy": ("bytes/s", DISCOVERY_BYTES_PER_PROXY),
        },
    )


def _restarts_series() -> Series:
    """A growing rate of restarts of backends together with their proxies."""
    sizes = [
        (
            count / 12.0,
            _experiment(
                f"restarts-{count}", 18.0, BackendSizes(count=220), ProxySizes(real=2, hollow=218),
                troubles=[Restarts(at_s=1.0, count=count, over_s=12.0, proxies=True)],
            ),
        )
        for count in (12, 24, 48, 96)
    ]  # fmt: skip
    return Series(
        per="restart a second of 220 backends with their proxies",
        sizes=sizes,
        figures={
            "calls to discovery": ("1/s", from_control(lambda c: c.calls / c.span_s)),
            "bytes for each proxy": ("bytes/s", DISCOVERY_BYTES_PER_PROXY),
            "whole lists": ("1", from_control(lambda c: float(c.whole_lists))),
            "cores of the discovery stand-in": ("cores", total_cores("discovery")),
            "cores of an idle real proxy": ("cores", cores_per_member("proxy")),
            "last proxy has a change": ("s", max_propagation_time),
        },
    )


def _depth_series(deadline_s: float = 1.0) -> Series:
    """A growing number of services in a chain.

    One answer in a hundred of each service is an error, to show by how much retries at each depth multiply.
    """
    # Only 14 proxies share a process: a proxy deducts the lag of its event loop, which grows with the number
    # of proxies in the process, from the budgets of its calls.
    proxies = ProxySizes(real=1, hollow=3, per_process=14)
    callers = CallerSizes(rate_per_s=20.0, mix={"read": 1.0}, retries=2)
    classes = [{**DEFAULT_CLASSES[0], "deadline": deadline_s, "objective": 0.3 * deadline_s}]
    sizes = []
    for depth in (1, 4, 8, 16, 28):
        backends = BackendSizes(count=4, services=depth, service_ms=5.0, fail_share=0.01)
        name = f"depth-{depth}-of-{deadline_s:g}s"
        settings: dict[str, object] = {"grades": classes}
        sizes.append((float(depth), _experiment(name, 12.0, backends, proxies, callers, (), settings)))
    return Series(
        per="service in the chain",
        sizes=sizes,
        figures={
            "begun at the first for each call": ("1", accepted_per_call(at_first_service=True)),
            "begun at the deepest for each call": ("1", accepted_per_call()),
            "tries for each call": ("1", from_calls(lambda c: c.tries / max(1, c.planned))),
            "served share": ("1", from_calls(served_share)),
            "latency of read, 50": ("ms", from_calls(lambda c: c.latency.get("read", {}).get("p50_ms", 0.0))),
            "latency of read, 99": ("ms", from_calls(lambda c: c.latency.get("read", {}).get("p99_ms", 0.0))),
        },
    )


def _probes_series() -> Series:
    """One real proxy at a growing rate of calls, at the usual and at a low price of a probe.

    The price is the setting `charges.probe`: what a probe costs the proxy in its decisions.
    """
    sizes = []
    for price in (0.06, 0.001):  # at the low price, servers are probed before a call is sent to one
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
        per="call a second", sizes=sizes, figures={"cores of a real proxy": ("cores", total_cores("proxy"))}
    )


SERIES: dict[str, Callable[[], Series] | None] = {
    "state": None,  # bytes of a proxy's state; measured in this process, without a fleet
    "listed": _listed_series,
    "rate": _rate_series,
    "stages": _stages_series,
    "watchers": _watchers_series,
    "changes": _changes_series,
    "entries": _entries_series,
    "restarts": _restarts_series,
    "probes": _probes_series,
    "depth": _depth_series,
    "deep": partial(_depth_series, 5.0),  # a deadline that suffices for every depth
}


def run_series(name: str, out: Path, report_progress: ProgressCallback) -> bool:
    """Runs one series and writes its fitted lines; returns whether it was complete. Raises FleetError."""
    make_series = SERIES[name]
    out.mkdir(parents=True, exist_ok=True)
    machine_info = describe_machine()
    lines: list[Slope] = []

    def add_line(figure: str, unit: str, per: str, points: Sequence[tuple[float, float]]) -> None:
        line = fit_line(points)
        lines.append(
            Slope(series=name, figure=figure, unit=unit, per=per, slope=line.slope, base=line.base,
                  residual=line.residual, points=line.points, commit=source_commit(),
                  load_average=machine_info["load_average"])
        )  # fmt: skip

    if make_series is None:
        for item in state.MEASUREMENTS:
            report_progress(item, 0.0)
            add_line(f"state of each {item}", "bytes", item, state.measure(item))
    else:
        series = make_series()
        runs: list[tuple[float, Records]] = []
        for number, (size, experiment) in enumerate(series.sizes):
            path = out / f"{experiment.name}.jsonl"
            fraction_done = number / len(series.sizes)
            report_progress(experiment.name, fraction_done)
            if not run(experiment, path):
                return False
            runs.append((size, results.read(path)))
        for figure, (unit, read_figure) in series.figures.items():
            add_line(figure, unit, series.per, [(size, read_figure(records)) for size, records in runs])
        if name == "probes":
            lines += _probe_cost_lines(name, runs, machine_info["load_average"])
    with (out / f"lines-{name}.jsonl").open("wb") as file:
        for slope in lines:
            file.write(msgspec.json.encode(slope) + b"\n")
    return True


def _probe_cost_lines(name: str, runs: Sequence[tuple[float, Records]], load_average: object) -> list[Slope]:
    """The CPU cost of a call and of a probe, as two lines.

    A fit over runs with few and with many probes separates them from each other and from the cost of an idle
    proxy.
    """
    rows, cores_used = [], []
    for rate, records in runs:
        (process,) = _processes_of_role(records, "proxy")
        probes = sum(
            record.counts.get("probes", 0) for record in records if isinstance(record, results.Backends)
        )
        rows.append((1.0, rate, probes / process.span_s))
        cores_used.append(process.cores)
    weights, residual = fit_plane(rows, cores_used)
    points = [(row[2], cores) for row, cores in zip(rows, cores_used, strict=True)]
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
            load_average=load_average,
        )
        for per, weight in zip(("call a second", "probe a second"), weights[1:], strict=True)
    ]


def read_lines(out: Path) -> list[Slope]:
    """Returns all fitted lines that were written to this folder, in the order of SERIES."""
    decoder: msgspec.json.Decoder[Slope] = msgspec.json.Decoder(Slope)
    paths = [out / f"lines-{name}.jsonl" for name in SERIES]
    return [
        decoder.decode(line) for path in paths if path.exists() for line in path.read_bytes().splitlines()
    ]


def print_lines(out: Path, console: Console) -> None:
    """Prints a table of all fitted lines that were written to this folder."""
    table = Table("series", "figure", "base", "slope", "unit for each", "residual")
    for line in read_lines(out):
        table.add_row(
            line.series, line.figure, f"{line.base:.4g}", f"{line.slope:.4g}", f"{line.unit} / {line.per}",
            f"{line.residual:.2g}",
        )  # fmt: skip
    console.print(table)
