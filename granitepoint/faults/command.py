"""The command `soak`: runs seeds and prints for each what was injected, what was served and which rules were
violated."""

from __future__ import annotations

import asyncio

from granitepoint.faults.soak import report_lines, soak

EXIT_VIOLATIONS = 1


def parse_seeds(text: str) -> list[int]:
    """Parses one seed (`3`) or a range (`1-50`). Raises ValueError for other texts and empty ranges."""
    first, _, last = text.partition("-")
    seeds = list(range(int(first), int(last or first) + 1))
    if not seeds:
        raise ValueError(f"the range of seeds {text!r} is empty")
    return seeds


def run_soak(seeds: list[int], duration_s: float, proxies: int, servers: int, max_parallel: int) -> int:
    """Runs the seeds and prints their reports. Returns the exit code, which is 1 if a rule was violated."""
    reports = asyncio.run(soak(seeds, duration_s, proxies, servers, max_parallel))
    for report in reports:
        print("\n".join(report_lines(report)))
    violating_seeds = sum(bool(report.violations) for report in reports)
    print(f"{violating_seeds} of {len(reports)} seeds broke a rule")
    return EXIT_VIOLATIONS if violating_seeds else 0
