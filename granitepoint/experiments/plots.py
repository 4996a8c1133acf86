"""Plots of two plays beside each other, by time: the good one and the bad one, on the same scales."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

import matplotlib

matplotlib.use("agg")
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from granitepoint.emulator import tally
from granitepoint.experiments.store import Records

COLOURS = ("#1b6ca8", "#d1495b", "#3a7d44", "#8d6a9f", "#c98b1d", "#4a4e69")
DOTS = 100  # per inch


@dataclass(frozen=True, slots=True)
class Play:
    """One cell, read for its plots."""

    title: str
    windows: list[tally.Window]
    samples: list[tally.Sample]  # of the first tier's instances
    seen: list[tally.Seen]

    @property
    def times(self) -> list[float]:
        """The middles of its windows, in s."""
        return [window.from_s + tally.WINDOW_LENGTH / 2 for window in self.windows]


def read(title: str, records: Sequence[Records]) -> Play:
    """`records`: of one cell, in any order."""
    return Play(
        title,
        [record for record in records if isinstance(record, tally.Window)],
        [record for record in records if isinstance(record, tally.Sample) and record.depth == 0],
        [record for record in records if isinstance(record, tally.Seen)],
    )


def _percent(part: float, whole: float) -> float:
    return 100 * part / whole if whole else 0.0


def _arrival(axes: Axes, play: Play) -> None:
    axes.plot(play.times, [w.offered / tally.WINDOW_LENGTH for w in play.windows], label="first tries")
    axes.plot(play.times, [w.tries / tally.WINDOW_LENGTH for w in play.windows], label="with retries")


def _served(axes: Axes, play: Play) -> None:
    for name in sorted({name for window in play.windows for name in window.offered_by}):
        shares = [_percent(w.in_time_by.get(name, 0), w.offered_by.get(name, 0)) for w in play.windows]
        axes.plot(play.times, shares, label=name)


def _refused(axes: Axes, play: Play) -> None:
    for how in ("refused", "failed", "timed_out"):
        shares = [_percent(window.ends[how], window.offered) for window in play.windows]
        axes.plot(play.times, shares, label=how.replace("_", " "))


def _limit(axes: Axes, play: Play) -> None:
    times = [sample.at_s for sample in play.samples]
    axes.plot(times, [sample.window for sample in play.samples], label="limit")
    axes.plot(times, [sample.out / max(1, sample.instances) for sample in play.samples], label="in flight")


def _cut(axes: Axes, play: Play) -> None:
    times = [sample.at_s for sample in play.samples]
    axes.plot(times, [100 * sample.drop for sample in play.samples], label="target drop rate")


def _held(axes: Axes, play: Play) -> None:
    axes.plot([s.at_s for s in play.samples], [s.held for s in play.samples], label="held, all proxies")


def _latency(axes: Axes, play: Play) -> None:
    for name in ("p50", "p99", "p99.9"):
        axes.plot(play.times, [window.latency.get(f"{name}_ms", 0.0) for window in play.windows], label=name)


Panel = tuple[str, str, float, Callable[[Axes, Play], None]]  # title, unit, least height of the scale
PANELS: tuple[Panel, ...] = (
    ("arrival", "requests/s", 1.0, _arrival),
    ("served in time, by class", "% of class", 100.0, _served),
    ("refused, failed, timed out", "% of requests", 5.0, _refused),
    ("limit of calls in flight", "calls a proxy", 1.0, _limit),
    ("cut", "% to be dropped", 5.0, _cut),
    ("held", "calls", 1.0, _held),
    ("latency of what was served", "ms", 1.0, _latency),
)


def draw(good: Play, bad: Play, path: Path) -> None:
    """One PNG: a row a panel, the good play on the left. Raises OSError."""
    figure = Figure(figsize=(12, 2.1 * len(PANELS)), layout="constrained")
    rows = figure.subplots(len(PANELS), 2, sharex=True, sharey="row", squeeze=False)
    for row, (title, unit, least, panel) in zip(rows, PANELS, strict=True):
        for axes, play in zip(row, (good, bad), strict=True):
            axes.set_prop_cycle(color=COLOURS)
            panel(axes, play)
            for event in play.seen:
                axes.axvline(event.at_s, color="#999999", linewidth=0.8, linestyle=":")
            axes.set_title(title, loc="left", fontsize=9)
            axes.grid(alpha=0.25)
            axes.tick_params(labelsize=8)
        # One scale for both, from 0, and no wider than to show that nothing is there.
        row[0].set_ylim(0, max(row[0].get_ylim()[1], least))
        row[0].set_ylabel(unit, fontsize=8)
        row[1].legend(fontsize=7, loc="upper left", bbox_to_anchor=(1.0, 1.0), frameon=False)
    for axes, play in zip(rows[0], (good, bad), strict=True):
        axes.set_title(f"{play.title}\n{axes.get_title(loc='left')}", loc="left", fontsize=9)
    for axes in rows[-1]:
        axes.set_xlabel("s of the day", fontsize=8)
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=DOTS, metadata={"Software": None})
