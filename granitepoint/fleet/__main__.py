"""The command line: `python -m granitepoint.fleet run EXPERIMENT.toml --out DIR`, or `slopes --out DIR`.

Exit status: 0, or 1 if a process of the fleet failed, 2 for bad input, 130 after an interrupt.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Annotated

import cyclopts
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

from granitepoint.fleet import experiment as experiment_files
from granitepoint.fleet import run as fleet_run
from granitepoint.fleet import slopes as scale_series
from granitepoint.fleet.fleet import FleetError
from granitepoint.fleet.summary import print_summary

EXIT_BAD_INPUT, EXIT_FAILED, EXIT_INTERRUPTED = 2, 1, 130

app = cyclopts.App(name="python -m granitepoint.fleet", help="A fleet of stand-ins round the real proxy.")
console = Console()
error_console = Console(stderr=True, soft_wrap=True, highlight=False, markup=False)


@contextmanager
def progress_bar(name: str) -> Iterator[fleet_run.ProgressCallback]:
    """Shows a progress bar on standard error; yields the callback that updates it."""
    columns = (TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn())
    with Progress(*columns, console=error_console, transient=True) as display:
        task = display.add_task(name, total=1.0)
        yield lambda text, fraction_done: display.update(
            task, description=f"{name}: {text}", completed=fraction_done
        )


@app.command
def run(experiment: Path, *, out: Annotated[Path, cyclopts.Parameter(help="folder of the results")]) -> int:
    """Run one experiment file; the results go to OUT/NAME.jsonl."""
    try:
        loaded = experiment_files.load(experiment)
    except experiment_files.ExperimentError as error:
        error_console.print(f"fleet: {error}")
        return EXIT_BAD_INPUT
    path = out / f"{loaded.name}.jsonl"
    try:
        with progress_bar(loaded.name) as report_progress:
            complete = fleet_run.run(loaded, path, report_progress)
    except FleetError as error:
        error_console.print(f"fleet: {error}; what was measured is in {path}")
        return EXIT_FAILED
    print_summary(path, console)
    return 0 if complete else EXIT_INTERRUPTED


@app.command
def slopes(
    *,
    out: Annotated[Path, cyclopts.Parameter(help="folder of the results")],
    only: Annotated[list[str] | None, cyclopts.Parameter(help="names of series; else all")] = None,
) -> int:
    """Run the scale series, and fit a straight line to each figure; the lines go to OUT/slopes.jsonl."""
    unknown = [name for name in only or [] if name not in scale_series.SERIES]
    if unknown:
        error_console.print(
            f"fleet: no such series: {unknown[0]}; there are {', '.join(scale_series.SERIES)}"
        )
        return EXIT_BAD_INPUT
    try:
        for name in only or scale_series.SERIES:
            with progress_bar(name) as report_progress:
                complete = scale_series.run_series(name, out, report_progress)
            if not complete:
                return EXIT_INTERRUPTED
    except FleetError as error:
        error_console.print(f"fleet: {error}; what was measured is in {out}")
        return EXIT_FAILED
    scale_series.print_lines(out, console)
    return 0


if __name__ == "__main__":
    sys.exit(app(result_action="return_value"))
