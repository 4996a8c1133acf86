"""Command line entry point: `python -m granitepoint.emulator`."""

import sys

import cyclopts

from granitepoint.emulator.command import emulate

app = cyclopts.App(
    name="python -m granitepoint.emulator", help="Plays a day (one scenario) in simulated time."
)
app.default(emulate)

if __name__ == "__main__":
    sys.exit(app(result_action="return_value"))
