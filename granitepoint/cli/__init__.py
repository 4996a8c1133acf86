"""The commands beside `run`. Only they need the libraries of the `cli` extra; `run` imports none of this."""

from __future__ import annotations

import sys
from collections.abc import Sequence

BAD_INPUT = 2  # exit code of all that the user can mend


def main(arguments: Sequence[str]) -> int:
    """Runs one command; returns its exit code."""
    try:
        from granitepoint.cli import app
    except ModuleNotFoundError as fault:
        if not fault.name or fault.name.startswith("granitepoint"):
            raise
        print(
            f"granitepoint: commands other than run need {fault.name}: pip install 'granitepoint[cli]'",
            file=sys.stderr,
        )
        return BAD_INPUT
    return app.main(arguments)
