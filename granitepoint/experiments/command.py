"""What the commands `experiment` and `report` do."""

from __future__ import annotations

import os
import signal
import sys
from collections.abc import Sequence
from pathlib import Path

import msgspec
from rich.console import Console
from rich.table import Table

from granitepoint.emulator.tally import Total
from granitepoint.experiments import paired, play
from granitepoint.experiments.plan import Experiment, load
from granitepoint.experiments.store import Result, Store, StoreError
from granitepoint.fleet.experiment import ExperimentError

WIDTH = 150  # columns of the tables, whatever reads them
BAD_INPUT, FAILED, STOPPED = 2, 1, 130


def totals_of(results: Sequence[Result]) -> dict[tuple[str, str, int], Total]:
    """By variant, day and seed, of the cells that were played to their end. Raises StoreError."""
    return {(r.variant, r.day, r.seed): r.total() for r in results if not r.fault}


def plan_of(store: Store) -> Experiment:
    """The experiment that a file of results was made by. Raises StoreError."""
    try:
        return msgspec.json.decode(store.about("experiment"), type=Experiment)
    except msgspec.MsgspecError as fault:
        raise StoreError(f"{store.path}: no experiment stands in it: {fault}") from None


def _console() -> Console:
    return Console(highlight=False, markup=False, width=WIDTH)


def print_results(plan: Experiment, totals: dict[tuple[str, str, int], Total], console: Console) -> None:
    """Each variant's means, and what it differs by from the baseline."""
    names = [variant.name for variant in plan.variants]
    title = f"{plan.name}: means"
    table = Table("day", "variant", "cells", *paired.FIGURES, title=title, title_justify="left")
    for day, name, count, means in paired.means(totals, names):
        table.add_row(day, name, str(count), *[f"{mean:.4g}" for mean in means])
    console.print(table)
    found = paired.differences(totals, plan.base, names)
    if not found:
        return
    table = Table(
        "variant", "figure", "unit", "pairs", plan.base, "less it", f"{paired.INTERVAL:g}% interval",
        "verdict", title="differences, paired by day and seed", title_justify="left",
    )  # fmt: skip
    for row in found:
        table.add_row(
            row.variant, row.figure, row.unit, str(row.pairs), f"{row.base:.4g}", f"{row.mean:+.4g}",
            f"{row.low:+.4g} to {row.high:+.4g}", row.verdict,
        )  # fmt: skip
    console.print(table)


def experiment(file: Path, out: Path | None, jobs: int | None) -> int:
    """Plays what is missing, prints the comparison; returns the exit code."""
    path = out or file.with_suffix(".sqlite")
    console, errors = _console(), Console(stderr=True, highlight=False, soft_wrap=True, markup=False)

    def tell(progress: play.Progress, result: Result) -> None:
        done = progress.held + progress.played
        how = result.fault or f"{result.took_s:.1f} s"
        errors.print(f"{done}/{progress.cells} {result.variant} {result.day} seed {result.seed}: {how}")

    def end(*_: object) -> None:
        raise KeyboardInterrupt

    before = signal.signal(signal.SIGTERM, end)  # as Ctrl-C: what runs is ended, what has ended is kept
    try:
        plan = load(file)
        path.parent.mkdir(parents=True, exist_ok=True)
        store = Store(path, create=True)
    except (ExperimentError, StoreError) as fault:
        print(f"granitepoint: {fault}", file=sys.stderr)
        return BAD_INPUT
    try:
        progress = play.run(plan, file.parent, store, jobs or os.cpu_count() or 1, tell)
        results = store.results()
        print_results(plan, totals_of(results), console)
    except (ExperimentError, StoreError) as fault:
        print(f"granitepoint: {fault}", file=sys.stderr)
        return BAD_INPUT
    finally:
        store.close()
        signal.signal(signal.SIGTERM, before)
    console.print(
        f"{progress.cells} cells: {progress.held} held, {progress.played - progress.faults} played, "
        f"{progress.faults} failed{', stopped' if progress.stopped else ''}; {path}"
    )
    return STOPPED if progress.stopped else FAILED if progress.faults else 0


def report(results: Path, out: Path | None) -> int:
    """Writes the page and its plots; returns the exit code."""
    from granitepoint.experiments import page

    folder = out or results.with_suffix("")
    try:
        store = Store(results)
        try:
            plan, held = plan_of(store), store.results()
        finally:
            store.close()
        path = page.write(plan, held, folder)
    except StoreError as fault:
        print(f"granitepoint: {fault}", file=sys.stderr)
        return BAD_INPUT
    print(path)
    return 0
