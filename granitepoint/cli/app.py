"""The commands. A fault of the user's is one plain line on standard error and exit code 2."""

from __future__ import annotations

import platform
import sys
import tomllib
from collections.abc import Sequence
from importlib.metadata import PackageNotFoundError
from importlib.metadata import version as version_of
from pathlib import Path

import cyclopts

from granitepoint.cli import BAD_INPUT

app = cyclopts.App(
    name="granitepoint", help="A load balancer for services that call services.", version_flags=()
)


def main(arguments: Sequence[str]) -> int:
    """Runs one command; returns its exit code."""
    try:
        code = app(arguments, exit_on_error=False, print_error=False, result_action="return_value")
    except cyclopts.CycloptsError as fault:
        print(f"granitepoint: {' '.join(str(fault).split())}", file=sys.stderr)
        return BAD_INPUT
    return code if isinstance(code, int) else 0


def _version() -> str:
    """Of the package as installed, else of the source tree that this file is in."""
    try:
        return version_of("granitepoint")
    except PackageNotFoundError:
        path = Path(__file__).parent.parent.parent / "pyproject.toml"
        return str(tomllib.loads(path.read_text(encoding="utf-8"))["project"]["version"])


@app.command
def version() -> None:
    """Print the versions of the package, Python and the libraries that the proxy runs on."""
    print(f"granitepoint {_version()}")
    print(f"Python {platform.python_version()}")
    for package in ("uvloop", "httptools"):
        print(f"{package} {version_of(package)}")
