"""Implements the commands `experiment` and `report`.

A cell is one run of an experiment: one variant on one day with one seed.
"""

from __future__ import annotations

import os
import signal
import sys
from collections.abc import Sequence
from pathlib import Path

import msgspec
from rich.console import Console
from rich.table import Table

from granitepoint.emulator.statistics import Total
from granitepoint.experiments import comparison, play
from granitepoint.experiments.plan import Experiment, load
from granitepoint.experiments.store import Result, Store, StoreError
from granitepoint.fleet.experiment import ExperimentError

TABLE_WIDTH = 150  # characters; fixed, so that the output is the same in a terminal, a pipe or a file
EXIT_BAD_INPUT, EXIT_FAILED, EXIT_INTERRUPTED = 2, 1, 130


def totals_by_cell(results: Sequence[Result]) -> dict[tuple[str, str, int], Total]:
    """Returns the totals of the cells that ran without error, by variant, day and seed. Raises StoreError."""
    return {(r.variant, r.day, r.seed): r.total() for r in results if not r.fault}


def stored_experiment(store: Store) -> Experiment:
    """Returns the experiment whose results the store holds.

    Raises StoreError if it is invalid, sqlite3.Error if the database reports an error.
    """
    try:
        return msgspec.json.decode(store.get_metadata("experiment"), type=Experiment)
    except msgspec.MsgspecError as error:
        raise StoreError(f"{store.path}: contains no valid experiment: {error}") from None


def _console() -> Console:
    return Console(highlight=False, markup=False, width=TABLE_WIDTH)


def print_results(plan: Experiment, totals: dict[tuple[str, str, int], Total], console: Console) -> None:
    """Prints the means of each variant and its differences from the baseline."""
    variant_names = [variant.name for variant in plan.variants]
    title = f"{plan.name}: means"
    table = Table("day", "variant", "cells", *comparison.FIGURES, title=title, title_justify="left")
    for day, name, count, means in comparison.means(totals, variant_names):
        table.add_row(day, name, str(count), *[f"{mean:.4g}" for mean in means])
    console.print(table)
    differences = comparison.differences(totals, plan.base, variant_names)
    if not differences:
        return
    table = Table(
        "variant", "figure", "unit", "pairs", plan.base, "less it",
        f"{comparison.CONFIDENCE_PERCENT:g}% interval", "verdict",
        title="differences, paired by day and seed", title_justify="left",
    )  # fmt: skip
    for row in differences:
        table.add_row(
            row.variant, row.figure, row.unit, str(row.pairs), f"{row.base:.4g}", f"{row.mean:+.4g}",
            f"{row.low:+.4g} to {row.high:+.4g}", row.verdict,
        )  # fmt: skip
    console.print(table)


def experiment(file: Path, out: Path | None, jobs: int | None) -> int:
    """Runs the cells that have no valid result yet and prints the comparison. Returns the exit code.

    `out` is the results file, by default `file` with the suffix .sqlite; `jobs` is the number of parallel
    processes, by default one per core.
    """
    path = out or file.with_suffix(".sqlite")
    console, error_console = _console(), Console(stderr=True, highlight=False, soft_wrap=True, markup=False)

    def print_progress(progress: play.Progress, result: Result) -> None:
        done = progress.reused + progress.finished
        outcome = result.fault or f"{result.took_s:.1f} s"
        error_console.print(
            f"{done}/{progress.cells} {result.variant} {result.day} seed {result.seed}: {outcome}"
        )

    def interrupt(*_: object) -> None:
        raise KeyboardInterrupt

    # SIGTERM acts as Ctrl-C: running cells are killed, finished results are kept.
    previous_handler = signal.signal(signal.SIGTERM, interrupt)
    try:
        plan = load(file)
        path.parent.mkdir(parents=True, exist_ok=True)
        store = Store(path, create=True)
    except (ExperimentError, StoreError) as error:
        print(f"granitepoint: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    try:
        progress = play.run(plan, file.parent, store, jobs or os.cpu_count() or 1, print_progress)
        results = store.results()
        print_results(plan, totals_by_cell(results), console)
    except (ExperimentError, StoreError) as error:
        print(f"granitepoint: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    finally:
        store.close()
        signal.signal(signal.SIGTERM, previous_handler)
    console.print(
        f"{progress.cells} cells: {progress.reused} held, {progress.finished - progress.failures} played, "
        f"{progress.failures} failed{', stopped' if progress.interrupted else ''}; {path}"
    )
    return EXIT_INTERRUPTED if progress.interrupted else EXIT_FAILED if progress.failures else 0


def report(results: Path, out: Path | None) -> int:
    """Writes the HTML page and its plots to the folder `out`. Returns the exit code.

    By default the folder has the path of the results file without its suffix.
    """
    from granitepoint.experiments import page

    folder = out or results.with_suffix("")
    try:
        store = Store(results)
        try:
            plan, stored_results = stored_experiment(store), store.results()
        finally:
            store.close()
        path = page.write_report(plan, stored_results, folder)
    except StoreError as error:
        print(f"granitepoint: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    print(path)
    return 0
