"""The command: `python -m granitepoint.emulator DAY.toml [--json FILE] [--seed N]`."""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import Annotated

import cyclopts
import msgspec

from granitepoint.emulator import drawn, tally
from granitepoint.emulator.day import load
from granitepoint.emulator.world import World
from granitepoint.fleet.experiment import ExperimentError

BAD_INPUT, FAILED = 2, 1


def emulate(
    day: Path,
    *,
    json: Annotated[Path | None, cyclopts.Parameter(help="file of the results, a record a line")] = None,
    seed: Annotated[int | None, cyclopts.Parameter(help="in place of the day's own")] = None,
) -> int:
    """Run one day in simulated time: a TOML file, or a day that the simulator drew (.json).

    The results go to standard output, how long it took to standard error. Returns the exit code.
    """
    try:
        read = drawn.load(day) if day.suffix == ".json" else load(day)
    except ExperimentError as fault:
        print(f"emulator: {fault}", file=sys.stderr)
        return BAD_INPUT
    if seed is not None:
        read = msgspec.structs.replace(read, seed=seed)
    begun, used = time.monotonic(), time.process_time()
    world = World(read)
    built = time.monotonic() - begun
    try:
        records = world.run()
        if json is not None:
            tally.write(records, json)
    except (tally.EmulatorFault, OSError) as fault:
        print(f"emulator: {fault}", file=sys.stderr)
        return FAILED
    span, cpu = time.monotonic() - begun, time.process_time() - used
    calls = sum(record.calls for record in records if isinstance(record, tally.Total))
    print(tally.text(records), end="")
    print(
        f"{span:.1f} s ({built:.1f} s of it to build), {cpu:.1f} s of a core, {calls / max(cpu, 1e-9):.0f} "
        "calls for each second of it",
        file=sys.stderr,
    )
    return 0
