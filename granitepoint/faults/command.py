"""The command `soak`: plays seeds and prints what each injected, served and broke."""

from __future__ import annotations

import asyncio

from granitepoint.faults.soak import soak, story

BROKEN = 1


def parse_seeds(text: str) -> list[int]:
    """`3` or `1-50`. Raises ValueError."""
    first, _, last = text.partition("-")
    seeds = list(range(int(first), int(last or first) + 1))
    if not seeds:
        raise ValueError(f"no seeds in {text!r}")
    return seeds


def run_soak(seeds: list[int], seconds: float, proxies: int, servers: int, at_once: int) -> int:
    """Plays them; the exit code is 1 if a rule broke."""
    reports = asyncio.run(soak(seeds, seconds, proxies, servers, at_once))
    for report in reports:
        print("\n".join(story(report)))
    broken = sum(bool(report.breaks) for report in reports)
    print(f"{broken} of {len(reports)} seeds broke a rule")
    return BROKEN if broken else 0
