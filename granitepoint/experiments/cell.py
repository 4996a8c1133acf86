"""Runs one day in the emulator: reads the day as JSON on standard input, writes its records as JSON lines.

Each cell of an experiment (one variant on one day with one seed) runs in its own process, from the source
tree of its version, so that cells share no state and no imported modules. The records go to standard output.
"""

from __future__ import annotations

import sys

import msgspec

from granitepoint.emulator.day import Day, check
from granitepoint.emulator.statistics import EmulatorError
from granitepoint.emulator.world import World
from granitepoint.fleet.experiment import ExperimentError


def main() -> int:
    """Returns the exit code: 1, after a message on standard error, if the day is invalid or its run fails."""
    try:
        day = check(msgspec.json.decode(sys.stdin.buffer.read(), type=Day))
        records = World(day).run()
    except (msgspec.MsgspecError, ExperimentError, EmulatorError) as error:
        print(" ".join(str(error).split()), file=sys.stderr)
        return 1
    for record in records:
        sys.stdout.buffer.write(msgspec.json.encode(record) + b"\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
