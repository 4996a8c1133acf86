"""The report: one HTML page with the comparison in tables, and the plots of a good play beside a bad one."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import jinja2

from granitepoint.emulator.tally import Total
from granitepoint.experiments import paired, plots
from granitepoint.experiments.plan import Experiment
from granitepoint.experiments.store import Result, StoreError

Key = tuple[str, str, int]

TEMPLATE = Path(__file__).with_name("page.html")


@dataclass(frozen=True, slots=True)
class Pair:
    """Two plays of a day to look at beside each other."""

    day: str
    file: str
    good: str
    bad: str


def choose(totals: dict[Key, Total], base: str, day: str) -> tuple[Key, Key] | None:
    """The good and the bad one of a day: on one seed, the baseline and the variant that lie furthest apart
    in the worth served; where nothing is to be compared, the best seed and the worst."""
    keys = sorted(key for key in totals if key[1] == day)
    worth = {key: totals[key].worth_served for key in keys}
    pairs = [(key, (base, day, key[2])) for key in keys if key[0] != base and (base, day, key[2]) in worth]
    if pairs:
        pair = max(pairs, key=lambda two: abs(worth[two[0]] - worth[two[1]]))
    elif len(keys) > 1:
        pair = (max(keys, key=lambda key: worth[key]), min(keys, key=lambda key: worth[key]))
    else:
        return None
    good, bad = sorted(pair, key=lambda key: -worth[key])
    return good, bad


def _title(key: Key, total: Total) -> str:
    return f"{key[0]}, seed {key[2]}: worth served {total.worth_served:.3f}"


def write(plan: Experiment, results: Sequence[Result], folder: Path) -> Path:
    """Writes `index.html` and its plots, and returns the page's path. Raises StoreError."""
    played = {(r.variant, r.day, r.seed): r for r in results if not r.fault}
    totals = {key: result.total() for key, result in played.items()}
    if not totals:
        raise StoreError("no cell was played to its end: there is nothing to report")
    names = [variant.name for variant in plan.variants]
    days = sorted({key[1] for key in totals})
    tables = [("All days", paired.differences(totals, plan.base, names))]
    if len(days) > 1:
        tables += [(day, paired.differences(totals, plan.base, names, day)) for day in days]
    pairs = []
    try:
        folder.mkdir(parents=True, exist_ok=True)
        for number, day in enumerate(days):
            chosen = choose(totals, plan.base, day)
            if chosen is None:
                continue
            good, bad = [plots.read(_title(key, totals[key]), played[key].read()) for key in chosen]
            file = f"day-{number}.png"
            plots.draw(good, bad, folder / file)
            pairs.append(Pair(day, file, good.title, bad.title))
        environment = jinja2.Environment(autoescape=True, trim_blocks=True, undefined=jinja2.StrictUndefined)
        html = environment.from_string(TEMPLATE.read_text(encoding="utf-8")).render(
            plan=plan,
            cells=len(results),
            faults=[result for result in results if result.fault],
            commits={result.variant: result.commit for result in results},
            interval=f"{paired.INTERVAL:g}",
            tables=[(title, rows) for title, rows in tables if rows],
            figures=list(paired.FIGURES),
            means=paired.means(totals, names),
            pairs=pairs,
        )
        path = folder / "index.html"
        path.write_text(html, encoding="utf-8")
    except OSError as fault:
        raise StoreError(str(fault)) from None
    return path
