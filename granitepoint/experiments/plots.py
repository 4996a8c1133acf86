"""Plots two runs over time, side by side on the same scales: the good one and the bad one."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

import matplotlib

matplotlib.use("agg")
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from granitepoint.emulator import statistics
from granitepoint.experiments.store import EmulatorRecord

COLOURS = ("#1b6ca8", "#d1495b", "#3a7d44", "#8d6a9f", "#c98b1d", "#4a4e69")
DOTS_PER_INCH = 100


@dataclass(frozen=True, slots=True)
class CellRun:
    """The records of one cell that its plots need."""

    title: str
    windows: list[statistics.Window]
    samples: list[statistics.Sample]  # of the proxies, which send to the first tier
    events: list[statistics.Seen]

    @property
    def times(self) -> list[float]:
        """The middle of each window, in seconds since the start of the day."""
        return [window.from_s + statistics.WINDOW_LENGTH / 2 for window in self.windows]


def from_records(title: str, records: Sequence[EmulatorRecord]) -> CellRun:
    """Selects the records to plot from all records of one cell, in the emulator's order."""
    return CellRun(
        title,
        [record for record in records if isinstance(record, statistics.Window)],
        [record for record in records if isinstance(record, statistics.Sample) and record.depth == 0],
        [record for record in records if isinstance(record, statistics.Seen)],
    )


def _percent(part: float, whole: float) -> float:
    return 100 * part / whole if whole else 0.0


def _plot_arrivals(axes: Axes, run: CellRun) -> None:
    axes.plot(run.times, [w.offered / statistics.WINDOW_LENGTH for w in run.windows], label="first tries")
    axes.plot(run.times, [w.tries / statistics.WINDOW_LENGTH for w in run.windows], label="with retries")


def _plot_in_time(axes: Axes, run: CellRun) -> None:
    for name in sorted({name for window in run.windows for name in window.offered_by}):
        percentages = [_percent(w.in_time_by.get(name, 0), w.offered_by.get(name, 0)) for w in run.windows]
        axes.plot(run.times, percentages, label=name)


def _plot_not_served(axes: Axes, run: CellRun) -> None:
    for outcome in ("refused", "failed", "timed_out"):
        percentages = [_percent(window.ends[outcome], window.offered) for window in run.windows]
        axes.plot(run.times, percentages, label=outcome.replace("_", " "))


def _plot_concurrency(axes: Axes, run: CellRun) -> None:
    times = [sample.at_s for sample in run.samples]
    axes.plot(times, [sample.window for sample in run.samples], label="limit")
    axes.plot(times, [sample.out / max(1, sample.instances) for sample in run.samples], label="in flight")


def _plot_reject_fraction(axes: Axes, run: CellRun) -> None:
    times = [sample.at_s for sample in run.samples]
    axes.plot(times, [100 * sample.drop for sample in run.samples], label="target reject rate")


def _plot_queued(axes: Axes, run: CellRun) -> None:
    axes.plot([s.at_s for s in run.samples], [s.held for s in run.samples], label="queued, all proxies")


def _plot_latency(axes: Axes, run: CellRun) -> None:
    for name in ("p50", "p99", "p99.9"):
        axes.plot(run.times, [window.latency.get(f"{name}_ms", 0.0) for window in run.windows], label=name)


# Title, unit, smallest upper end of the scale, and the function that plots a run.
Panel = tuple[str, str, float, Callable[[Axes, CellRun], None]]
PANELS: tuple[Panel, ...] = (
    ("arrivals", "requests/s", 1.0, _plot_arrivals),
    ("served in time, by class", "% of class", 100.0, _plot_in_time),
    ("refused, failed, timed out", "% of requests", 5.0, _plot_not_served),
    ("concurrency limit", "calls per proxy", 1.0, _plot_concurrency),
    ("load shedding", "% to be rejected", 5.0, _plot_reject_fraction),
    ("queue", "calls", 1.0, _plot_queued),
    ("latency of served requests", "ms", 1.0, _plot_latency),
)


def draw(good: CellRun, bad: CellRun, path: Path) -> None:
    """Writes a PNG image with one row per panel and the good run on the left. Raises OSError."""
    figure = Figure(figsize=(12, 2.1 * len(PANELS)), layout="constrained")
    rows = figure.subplots(len(PANELS), 2, sharex=True, sharey="row", squeeze=False)
    for row, (title, unit, min_scale, plot_panel) in zip(rows, PANELS, strict=True):
        for axes, run in zip(row, (good, bad), strict=True):
            axes.set_prop_cycle(color=COLOURS)
            plot_panel(axes, run)
            for event in run.events:
                axes.axvline(event.at_s, color="#999999", linewidth=0.8, linestyle=":")
            axes.set_title(title, loc="left", fontsize=9)
            axes.grid(alpha=0.25)
            axes.tick_params(labelsize=8)
        # Both runs share a scale from 0 to at least min_scale, so that values near 0 look small.
        row[0].set_ylim(0, max(row[0].get_ylim()[1], min_scale))
        row[0].set_ylabel(unit, fontsize=8)
        row[1].legend(fontsize=7, loc="upper left", bbox_to_anchor=(1.0, 1.0), frameon=False)
    for axes, run in zip(rows[0], (good, bad), strict=True):
        axes.set_title(f"{run.title}\n{axes.get_title(loc='left')}", loc="left", fontsize=9)
    for axes in rows[-1]:
        axes.set_xlabel("s since the start of the day", fontsize=8)
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=DOTS_PER_INCH, metadata={"Software": None})
