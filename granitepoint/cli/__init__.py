"""The commands other than `run`. They need the libraries of the `cli` extra, so `run` never imports this."""

from __future__ import annotations

import sys
from collections.abc import Sequence

EXIT_BAD_INPUT = 2  # exit code: the arguments, a file or the installation must be corrected


def main(arguments: Sequence[str]) -> int:
    """Runs one command with its arguments and returns the exit code."""
    try:
        from granitepoint.cli import app
    except ModuleNotFoundError as error:
        if not error.name or error.name.startswith("granitepoint"):
            raise
        print(
            f"granitepoint: commands other than run need {error.name}: pip install 'granitepoint[cli]'",
            file=sys.stderr,
        )
        return EXIT_BAD_INPUT
    return app.main(arguments)
