"""A run's results in a few lines."""

from __future__ import annotations

from pathlib import Path

from rich.console import Console
from rich.table import Table

from granitepoint.fleet import results


def print_summary(path: Path, console: Console) -> None:
    records = results.read(path)
    begin = results.only(records, results.Begin)
    end = results.only(records, results.End)
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
    for role, held in by_role.items():
        cores = sum(one.cores for one in held)
        memory = sum(one.memory_end for one in held) / len(held) / 1e6
        table.add_row(
            role, f"{len(held)}", f"{sum(one.holds for one in held)}", f"{cores:.3f}", f"{memory:.1f}"
        )
    if by_role:
        console.print(table)
    for record in records:
        if isinstance(record, results.Calls):
            console.print(
                f"calls: {record.planned} planned, {_counts(record.outcomes)}",
                highlight=False,
                soft_wrap=True,
            )
            for name, figures in [*record.latency.items(), ("added by the proxy", record.added)]:
                console.print(f"  {name}: {_counts(figures)}", highlight=False, soft_wrap=True)
        elif isinstance(record, results.Stages):
            for name, figures in record.histograms.items():
                console.print(f"  stage {name}: {_counts(figures)}", highlight=False, soft_wrap=True)
        elif isinstance(record, results.Control):
            each = record.desks * record.span_s
            console.print(
                f"discovery: {record.calls} calls, {record.whole_lists} whole lists, {record.refused} refused"
                f", {(record.bytes_in + record.bytes_out) / each:.0f} bytes/s for each proxy",
                highlight=False, soft_wrap=True,
            )  # fmt: skip
        elif isinstance(record, results.Event):
            console.print(
                f"{record.at_s:7.2f} s {record.what}  {_counts(record.figures)}",
                highlight=False,
                soft_wrap=True,
            )


def _counts(figures: dict[str, object] | dict[str, int] | dict[str, float]) -> str:
    return ", ".join(f"{name} {value:g}" if isinstance(value, float) else f"{name} {value}"
                     for name, value in figures.items())  # fmt: skip
