"""The commands as a user meets them: what they print, and one plain line and exit code 2 for each fault."""

from __future__ import annotations

import subprocess
import sys

from netkit import ROOT


def command(*arguments: str, before: str = "pass") -> subprocess.CompletedProcess[str]:
    """`granitepoint ARGUMENTS` as a process of its own; `before` is code that runs first."""
    code = f"import sys; {before}; from granitepoint.__main__ import main; sys.exit(main())"
    return subprocess.run(
        [sys.executable, "-c", code, *arguments], capture_output=True, text=True, cwd=ROOT, timeout=60
    )


def test_run_alone_is_as_no_argument_and_imports_nothing_of_the_command_line() -> None:
    for arguments in ([], ["run"]):
        started = subprocess.run(
            [sys.executable, "-X", "importtime", "-m", "granitepoint", *arguments],
            capture_output=True, text=True, cwd=ROOT, env={}, timeout=60,
        )  # fmt: skip
        assert started.returncode == 2
        assert started.stderr.endswith("granitepoint: bad configuration: EDGE_CONFIG is not set\n")
        imported = {line.rpartition("|")[2].strip() for line in started.stderr.splitlines()}
        assert "granitepoint.net.driver" in imported
        assert not imported & {"granitepoint.cli", "cyclopts", "msgspec", "rich"}


def test_a_missing_library_is_one_line_that_names_the_extra() -> None:
    done = command("version", before="sys.modules['cyclopts'] = None")
    assert (done.returncode, done.stdout) == (2, "")
    assert done.stderr == (
        "granitepoint: commands other than run need cyclopts: pip install 'granitepoint[cli]'\n"
    )


def test_version() -> None:
    done = command("version")
    assert done.returncode == 0
    assert [line.split()[0] for line in done.stdout.splitlines()] == [
        "granitepoint", "Python", "uvloop", "httptools",
    ]  # fmt: skip
