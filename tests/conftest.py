"""Known failures: tests that are listed in KNOWN-RED.txt must fail, and are reported at the end of a run."""

from __future__ import annotations

from pathlib import Path

import pytest
from _pytest.terminal import TerminalReporter

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_failures() -> dict[str, str]:
    """Maps the node id of each listed test to its cause; each line is `test, cause, issue`."""
    if not KNOWN_RED.exists():
        return {}
    lines = [line.strip() for line in KNOWN_RED.read_text(encoding="utf-8").splitlines() if line.strip()]
    return {test.strip(): cause.strip() for test, _, cause in (line.partition(",") for line in lines)}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Marks the listed tests as expected failures."""
    listed = known_failures()
    for item in items:
        cause = listed.get(item.nodeid)
        if cause is not None:
            # Strict: a listed test that passes fails the run, as it must be taken off the list.
            item.add_marker(pytest.mark.xfail(reason=cause, strict=True))


def pytest_terminal_summary(terminalreporter: TerminalReporter) -> None:
    """Prints the known failures of the run."""
    for report in terminalreporter.stats.get("xfailed", []):
        terminalreporter.write_line(f"known failure: {report.nodeid}, {report.wasxfail}")
