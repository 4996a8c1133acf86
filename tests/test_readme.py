"""Runs the examples of the README and compares what they print with the page."""

from __future__ import annotations

import re
import shlex
import subprocess
import sys
from pathlib import Path

import pytest

README = Path(__file__).parent.parent / "README.md"


def test_example(capsys: pytest.CaptureFixture[str]) -> None:
    text = README.read_text(encoding="utf-8")
    (code,) = re.findall(r"```python\n(.*?)```", text, re.S)
    exec(compile(code, "README.md", "exec"), {"__name__": "readme"})
    assert capsys.readouterr().out == "call 42 goes out, to be answered within 0.5 s\n"


def test_command_line() -> None:
    """Each command prints what the page shows, except for version numbers."""
    text = README.read_text(encoding="utf-8")
    expected = "".join(re.findall(r"```console\n(.*?)```", text, re.S)).splitlines(True)
    actual: list[str] = []
    for line in expected:
        if line.startswith("$ "):
            program = f"{shlex.quote(sys.executable)} -m granitepoint "
            result = subprocess.run(
                ["sh", "-c", line[2:].replace("granitepoint ", program, 1)],
                stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, cwd=README.parent, timeout=60,
            )  # fmt: skip
            actual += [line, *result.stdout.splitlines(True)]
    version = re.compile(r"^(\w+) \d+(\.\w+)+$")
    assert [version.sub(r"\1", line) for line in actual] == [version.sub(r"\1", line) for line in expected]
    shown = set(re.findall(r"^\$ .*?granitepoint (\w+)", "".join(expected), re.M))
    assert shown == {"run", "check", "explain", "emulate", "experiment", "report", "schema", "version"}
