"""Plays one day: the day as JSON on standard input, the records on standard output, a JSON line each.

A process of its own for each cell, run from the tree of its version, so no state and no module is shared.
"""

from __future__ import annotations

import sys

import msgspec

from granitepoint.emulator.day import Day, check
from granitepoint.emulator.tally import EmulatorError
from granitepoint.emulator.world import World
from granitepoint.fleet.experiment import ExperimentError


def main() -> int:
    try:
        day = check(msgspec.json.decode(sys.stdin.buffer.read(), type=Day))
        records = World(day).run()
    except (msgspec.MsgspecError, ExperimentError, EmulatorError) as fault:
        print(" ".join(str(fault).split()), file=sys.stderr)
        return 1
    for record in records:
        sys.stdout.buffer.write(msgspec.json.encode(record) + b"\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
