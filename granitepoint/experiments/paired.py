"""Paired differences: each variant against the baseline on the same day and seed."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

import numpy as np

from granitepoint.emulator.tally import Total

RESAMPLES = 10_000
INTERVAL = 95.0  # in 100
FEWEST = 5  # pairs of a day: the interval of fewer is too narrow to tell anything apart
SEED = 1  # of the resampling: the same results give the same intervals
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
    """Of one figure: the variant less the baseline, in the figure's unit."""

    variant: str
    figure: str
    unit: str
    pairs: int
    base: float  # the baseline's mean over the pairs
    mean: float
    low: float  # ends of the bootstrap interval
    high: float
    fewest: int  # pairs of a day

    @property
    def verdict(self) -> str:
        """Whether the interval leaves out that there is no difference."""
        if self.fewest < FEWEST:
            return "too few seeds"
        return "told apart" if self.low > 0 or self.high < 0 else ""


def interval(strata: Sequence[Sequence[float]]) -> tuple[float, float]:
    """The percentile bootstrap interval of the mean of all values, each stratum resampled within itself.

    The strata are days: how days differ among each other is no chance that seeds could tell of. Raises
    ValueError where there is no value.
    """
    held = [np.asarray(values, dtype=float) for values in strata if len(values)]
    if not held:
        raise ValueError("nothing to resample")
    random = np.random.default_rng(SEED)
    sums = np.zeros(RESAMPLES)
    for values in held:
        picks = random.integers(0, len(values), size=(RESAMPLES, len(values)))
        sums += values[picks].sum(axis=1)
    means = sums / sum(len(values) for values in held)
    tail = (100 - INTERVAL) / 2
    low, high = np.percentile(means, [tail, 100 - tail])
    return float(low), float(high)


def means(
    totals: Mapping[tuple[str, str, int], Total], variants: Sequence[str]
) -> list[tuple[str, str, int, list[float]]]:
    """Each day's variants with the count of their cells and the means of all FIGURES, in that order."""
    rows = []
    for day in sorted({key[1] for key in totals}):
        for variant in variants:
            mine = [total for key, total in totals.items() if key[:2] == (variant, day)]
            if mine:
                figures = [sum(map(read, mine)) / len(mine) for _, read in FIGURES.values()]
                rows.append((day, variant, len(mine), figures))
    return rows


def differences(
    totals: dict[tuple[str, str, int], Total], base: str, variants: Sequence[str], day: str | None = None
) -> list[Difference]:
    """Of each variant but the baseline and each figure, over the cells that both have played. `totals` by
    variant, day and seed; `day`: over that one alone."""
    found = []
    for variant in variants:
        keys = [
            (of, seed)
            for name, of, seed in totals
            if name == variant and (base, of, seed) in totals and day in (None, of)
        ]
        if variant == base or not keys:
            continue
        for figure, (unit, read) in FIGURES.items():
            strata: dict[str, list[float]] = defaultdict(list)
            for of, seed in sorted(keys):
                strata[of].append(read(totals[variant, of, seed]) - read(totals[base, of, seed]))
            values = [value for stratum in strata.values() for value in stratum]
            low, high = interval(list(strata.values()))
            mean_of_base = float(np.mean([read(totals[base, of, seed]) for of, seed in keys]))
            mean = float(np.mean(values))
            fewest = min(len(stratum) for stratum in strata.values())
            found.append(
                Difference(variant, figure, unit, len(values), mean_of_base, mean, low, high, fewest)
            )
    return found
