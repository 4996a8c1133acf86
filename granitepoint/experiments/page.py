"""The report: one HTML page with tables of the comparison, and plots of a good and a bad run side by side.

A cell is one run of an experiment: one variant on one day with one seed.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import jinja2

from granitepoint.emulator.statistics import Total
from granitepoint.experiments import comparison, plots
from granitepoint.experiments.plan import Experiment
from granitepoint.experiments.store import Result, StoreError

CellKey = tuple[str, str, int]  # variant, day, seed

TEMPLATE = Path(__file__).with_name("page.html")


@dataclass(frozen=True, slots=True)
class PlotPair:
    """An image with the plots of two runs of a day. The template reads these fields."""

    day: str
    file: str  # name of the image in the report's folder
    good: str  # title of the better run, on the left
    bad: str


def choose_cells(totals: dict[CellKey, Total], base: str, day: str) -> tuple[CellKey, CellKey] | None:
    """Chooses the good and the bad cell of a day to plot, by `worth_served`.

    They are the baseline and the variant that differ most on the same seed. Without such a pair they are the
    best and the worst cell of the day; None if the day has fewer than two cells.
    """
    keys = sorted(key for key in totals if key[1] == day)
    worth_served = {key: totals[key].worth_served for key in keys}
    candidates = [
        (key, (base, day, key[2])) for key in keys if key[0] != base and (base, day, key[2]) in worth_served
    ]
    if candidates:
        chosen = max(candidates, key=lambda pair: abs(worth_served[pair[0]] - worth_served[pair[1]]))
    elif len(keys) > 1:
        chosen = (max(keys, key=lambda key: worth_served[key]), min(keys, key=lambda key: worth_served[key]))
    else:
        return None
    good, bad = sorted(chosen, key=lambda key: -worth_served[key])
    return good, bad


def _plot_title(key: CellKey, total: Total) -> str:
    return f"{key[0]}, seed {key[2]}: worth served {total.worth_served:.3f}"


def write_report(plan: Experiment, results: Sequence[Result], folder: Path) -> Path:
    """Writes `index.html` and its plots to `folder`; returns the path of the page.

    Raises StoreError if no cell ran without an error, a result is invalid or a file cannot be written.
    """
    completed = {(r.variant, r.day, r.seed): r for r in results if not r.fault}
    totals = {key: result.total() for key, result in completed.items()}
    if not totals:
        raise StoreError("no cell ran to its end without an error: there is nothing to report")
    variant_names = [variant.name for variant in plan.variants]
    days = sorted({key[1] for key in totals})
    tables = [("All days", comparison.differences(totals, plan.base, variant_names))]
    if len(days) > 1:
        tables += [(day, comparison.differences(totals, plan.base, variant_names, day)) for day in days]
    pairs = []
    try:
        folder.mkdir(parents=True, exist_ok=True)
        for number, day in enumerate(days):
            chosen = choose_cells(totals, plan.base, day)
            if chosen is None:
                continue
            good, bad = [
                plots.from_records(_plot_title(key, totals[key]), completed[key].decode_records())
                for key in chosen
            ]
            file = f"day-{number}.png"
            plots.draw(good, bad, folder / file)
            pairs.append(PlotPair(day, file, good.title, bad.title))
        environment = jinja2.Environment(autoescape=True, trim_blocks=True, undefined=jinja2.StrictUndefined)
        html = environment.from_string(TEMPLATE.read_text(encoding="utf-8")).render(
            plan=plan,
            cells=len(results),
            faults=[result for result in results if result.fault],
            commits={result.variant: result.commit for result in results},
            interval=f"{comparison.CONFIDENCE_PERCENT:g}",
            tables=[(title, rows) for title, rows in tables if rows],
            figures=list(comparison.FIGURES),
            means=comparison.means(totals, variant_names),
            pairs=pairs,
        )
        path = folder / "index.html"
        path.write_text(html, encoding="utf-8")
    except OSError as error:
        raise StoreError(str(error)) from None
    return path
