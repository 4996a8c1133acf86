"""Prints the results of a run: a table of its processes, and a few lines of figures."""

from __future__ import annotations

from pathlib import Path

from rich.console import Console
from rich.table import Table

from granitepoint.fleet import results


def print_summary(path: Path, console: Console) -> None:
    """Prints the results in the file `path`. Raises ResultsError."""
    records = results.read(path)
    begin = results.single_record(records, results.Begin)
    end = results.single_record(records, results.End)
    state = "complete" if end.complete else f"not complete: {end.why}"
    console.print(
        f"{begin.experiment['name']}: {state}; commit {begin.commit}, load at start "
        f"{begin.machine['load_average']}, {path}",
        highlight=False, soft_wrap=True,
    )  # fmt: skip
    table = Table("role", "processes", "holds", "cores", "MB each", title="processes")
    by_role: dict[str, list[results.Process]] = {}
    for record in records:
        if isinstance(record, results.Process):
            by_role.setdefault(record.role, []).append(record)
    for role, processes in by_role.items():
        cores = sum(process.cores for process in processes)
        memory = sum(process.memory_end for process in processes) / len(processes) / 1e6
        table.add_row(
            role,
            f"{len(processes)}",
            f"{sum(process.holds for process in processes)}",
            f"{cores:.3f}",
            f"{memory:.1f}",
        )
    if by_role:
        console.print(table)
    for record in records:
        if isinstance(record, results.Calls):
            console.print(
                f"calls: {record.planned} planned, {_format_figures(record.outcomes)}",
                highlight=False,
                soft_wrap=True,
            )
            for name, figures in [*record.latency.items(), ("added by the proxy", record.added)]:
                console.print(f"  {name}: {_format_figures(figures)}", highlight=False, soft_wrap=True)
        elif isinstance(record, results.Stages):
            for name, figures in record.histograms.items():
                console.print(f"  stage {name}: {_format_figures(figures)}", highlight=False, soft_wrap=True)
        elif isinstance(record, results.Control):
            proxy_seconds = record.desks * record.span_s  # number of proxies times the measured seconds
            console.print(
                f"discovery: {record.calls} calls, {record.whole_lists} whole lists, {record.refused} refused"
                f", {(record.bytes_in + record.bytes_out) / proxy_seconds:.0f} bytes/s for each proxy",
                highlight=False, soft_wrap=True,
            )  # fmt: skip
        elif isinstance(record, results.Event):
            console.print(
                f"{record.at_s:7.2f} s {record.what}  {_format_figures(record.figures)}",
                highlight=False,
                soft_wrap=True,
            )


def _format_figures(figures: dict[str, object] | dict[str, int] | dict[str, float]) -> str:
    """The figures as one line of names and values."""
    return ", ".join(f"{name} {value:g}" if isinstance(value, float) else f"{name} {value}"
                     for name, value in figures.items())  # fmt: skip
