"""The command: `python -m granitepoint.fleet run EXPERIMENT.toml --out DIR`, and `slopes --out DIR`."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Annotated

import cyclopts
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

from granitepoint.fleet import experiment as experiments
from granitepoint.fleet import run as runs
from granitepoint.fleet import slopes as series
from granitepoint.fleet.fleet import FleetError
from granitepoint.fleet.summary import print_summary

BAD_INPUT, FAILED, INTERRUPTED = 2, 1, 130

app = cyclopts.App(name="python -m granitepoint.fleet", help="A fleet of stand-ins round the real proxy.")
console = Console()
errors = Console(stderr=True, soft_wrap=True, highlight=False, markup=False)


@contextmanager
def progress(name: str) -> Iterator[runs.Report]:
    columns = (TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn())
    with Progress(*columns, console=errors, transient=True) as bar:
        task = bar.add_task(name, total=1.0)
        yield lambda text, share: bar.update(task, description=f"{name}: {text}", completed=share)


@app.command
def run(experiment: Path, *, out: Annotated[Path, cyclopts.Parameter(help="folder of the results")]) -> int:
    """Run one experiment file; the results go to OUT/NAME.jsonl."""
    try:
        read = experiments.load(experiment)
    except experiments.ExperimentError as fault:
        errors.print(f"fleet: {fault}")
        return BAD_INPUT
    path = out / f"{read.name}.jsonl"
    try:
        with progress(read.name) as report:
            complete = runs.run(read, path, report)
    except FleetError as fault:
        errors.print(f"fleet: {fault}; what was measured is in {path}")
        return FAILED
    print_summary(path, console)
    return 0 if complete else INTERRUPTED


@app.command
def slopes(
    *,
    out: Annotated[Path, cyclopts.Parameter(help="folder of the results")],
    only: Annotated[list[str] | None, cyclopts.Parameter(help="names of series; else all")] = None,
) -> int:
    """Run the scale series, and fit a straight line to each figure; the lines go to OUT/slopes.jsonl."""
    unknown = [name for name in only or [] if name not in series.SERIES]
    if unknown:
        errors.print(f"fleet: no such series: {unknown[0]}; there are {', '.join(series.SERIES)}")
        return BAD_INPUT
    try:
        for name in only or series.SERIES:
            with progress(name) as report:
                complete = series.run_series(name, out, report)
            if not complete:
                return INTERRUPTED
    except FleetError as fault:
        errors.print(f"fleet: {fault}; what was measured is in {out}")
        return FAILED
    series.print_lines(out, console)
    return 0


if __name__ == "__main__":
    sys.exit(app(result_action="return_value"))
