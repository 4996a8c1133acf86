"""The command `python -m granitepoint.emulator DAY.toml [--json FILE] [--seed N]`."""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import Annotated

import cyclopts
import msgspec

from granitepoint.emulator import simulator_days, statistics
from granitepoint.emulator.day import load
from granitepoint.emulator.world import World
from granitepoint.fleet.experiment import ExperimentError

EXIT_BAD_INPUT, EXIT_FAILED = 2, 1


def emulate(
    day: Path,
    *,
    json: Annotated[
        Path | None, cyclopts.Parameter(help="write the results to this file, one record per line")
    ] = None,
    seed: Annotated[int | None, cyclopts.Parameter(help="random seed, overrides that of the day")] = None,
) -> int:
    """Play a day (one scenario) in simulated time.

    DAY is a TOML file, or a day that the simulator generated with `lbsim draw` (.json). The results go to
    standard output, the run time to standard error. Returns the exit code.
    """
    try:
        loaded_day = simulator_days.load(day) if day.suffix == ".json" else load(day)
    except ExperimentError as error:
        print(f"emulator: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    if seed is not None:
        loaded_day = msgspec.structs.replace(loaded_day, seed=seed)
    started_at, cpu_started_at = time.monotonic(), time.process_time()
    world = World(loaded_day)
    build_time = time.monotonic() - started_at
    try:
        records = world.run()
        if json is not None:
            statistics.write(records, json)
    except (statistics.EmulatorError, OSError) as error:
        print(f"emulator: {error}", file=sys.stderr)
        return EXIT_FAILED
    elapsed, cpu_time = time.monotonic() - started_at, time.process_time() - cpu_started_at
    calls = sum(record.calls for record in records if isinstance(record, statistics.Total))
    print(statistics.text(records), end="")
    print(
        f"{elapsed:.1f} s ({build_time:.1f} s of it to build), {cpu_time:.1f} s CPU time, "
        f"{calls / max(cpu_time, 1e-9):.0f} calls per second of CPU time",
        file=sys.stderr,
    )
    return 0
