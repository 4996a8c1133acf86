"""Paired comparison: the difference of each variant from the baseline on the same day and seed.

A cell is one run of an experiment: one variant on one day with one seed.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

import numpy as np

from granitepoint.emulator.statistics import Total

BOOTSTRAP_RESAMPLES = 10_000
CONFIDENCE_PERCENT = 95.0
MIN_PAIRS_PER_DAY = 5  # with fewer pairs the bootstrap interval is too narrow to be relied on
BOOTSTRAP_SEED = 1  # fixed, so that the same results give the same intervals
# Name of each figure in the tables: its unit and how it is computed from a cell's total.
FIGURES: dict[str, tuple[str, Callable[[Total], float]]] = {
    "in time": ("% of requests", lambda total: 100 * total.in_time_share),
    "worth served": ("% of what was asked for", lambda total: 100 * total.worth_served),
    "worst 10 s": ("% of its worth", lambda total: 100 * total.worst_10_s),
    "refused": ("% of requests", lambda total: 100 * total.ends["refused"] / max(1, total.requests)),
    "tries": ("for each request", lambda total: total.tries_per_request),
    "attempts": ("for each request", lambda total: total.attempts_per_request),
    "wasted work": ("% of what was offered", lambda total: round(100 * total.wasted, 9)),
    "rules broken": ("times", lambda total: float(sum(total.breaks.values()))),
}


@dataclass(frozen=True, slots=True)
class Difference:
    """The mean difference of one figure, variant minus baseline, in the figure's unit."""

    variant: str
    figure: str
    unit: str
    pairs: int
    base: float  # the baseline's mean over the pairs
    mean: float
    low: float  # lower end of the bootstrap interval of the mean
    high: float  # its upper end
    min_pairs_per_day: int  # pairs of the day that has the fewest

    @property
    def verdict(self) -> str:
        """The text in the tables: a difference is significant ("told apart") if the interval excludes 0."""
        if self.min_pairs_per_day < MIN_PAIRS_PER_DAY:
            return "too few seeds"
        return "told apart" if self.low > 0 or self.high < 0 else ""


def bootstrap_interval(strata: Sequence[Sequence[float]]) -> tuple[float, float]:
    """Returns the percentile bootstrap interval of the mean of all values, from a stratified resampling.

    Each stratum holds the values of one day and is resampled on its own: how days differ from each other is
    not random variation that seeds could sample. Raises ValueError if there are no values.
    """
    samples = [np.asarray(values, dtype=float) for values in strata if len(values)]
    if not samples:
        raise ValueError("no values to resample")
    generator = np.random.default_rng(BOOTSTRAP_SEED)
    sums = np.zeros(BOOTSTRAP_RESAMPLES)
    for values in samples:
        indices = generator.integers(0, len(values), size=(BOOTSTRAP_RESAMPLES, len(values)))
        sums += values[indices].sum(axis=1)
    means = sums / sum(len(values) for values in samples)
    tail_percent = (100 - CONFIDENCE_PERCENT) / 2
    low, high = np.percentile(means, [tail_percent, 100 - tail_percent])
    return float(low), float(high)


def means(
    totals: Mapping[tuple[str, str, int], Total], variants: Sequence[str]
) -> list[tuple[str, str, int, list[float]]]:
    """Returns a row per day and variant: day, variant, number of cells, and means in the order of FIGURES."""
    rows = []
    for day in sorted({key[1] for key in totals}):
        for variant in variants:
            matching = [total for key, total in totals.items() if key[:2] == (variant, day)]
            if matching:
                figures = [sum(map(compute, matching)) / len(matching) for _, compute in FIGURES.values()]
                rows.append((day, variant, len(matching), figures))
    return rows


def differences(
    totals: dict[tuple[str, str, int], Total], base: str, variants: Sequence[str], day: str | None = None
) -> list[Difference]:
    """Compares each variant with the baseline, figure by figure, over the cells for which both have a total.

    The keys of `totals` are (variant, day, seed). `day` limits the comparison to that day.
    """
    rows = []
    for variant in variants:
        pairs = [
            (cell_day, seed)
            for name, cell_day, seed in totals
            if name == variant and (base, cell_day, seed) in totals and day in (None, cell_day)
        ]
        if variant == base or not pairs:
            continue
        for figure, (unit, compute) in FIGURES.items():
            strata: dict[str, list[float]] = defaultdict(list)
            for cell_day, seed in sorted(pairs):
                strata[cell_day].append(
                    compute(totals[variant, cell_day, seed]) - compute(totals[base, cell_day, seed])
                )
            values = [value for stratum in strata.values() for value in stratum]
            low, high = bootstrap_interval(list(strata.values()))
            mean_of_baseline = float(
                np.mean([compute(totals[base, cell_day, seed]) for cell_day, seed in pairs])
            )
            mean = float(np.mean(values))
            min_pairs = min(len(stratum) for stratum in strata.values())
            rows.append(
                Difference(variant, figure, unit, len(values), mean_of_baseline, mean, low, high, min_pairs)
            )
    return rows
