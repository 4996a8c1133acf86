"""The commands as a user meets them: what they print, and one plain line and exit code 2 for each fault."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest
from netkit import ROOT, config, endpoint, listing

from granitepoint import logic
from granitepoint.cli import main
from granitepoint.cli.explain import explain
from granitepoint.net.config import ConfigError, load

EXAMPLE = ROOT / "docs" / "example.json"


def command(*arguments: object, before: str = "pass") -> subprocess.CompletedProcess[str]:
    """`granitepoint ARGUMENTS` as a process of its own; `before` is code that runs first."""
    code = f"import sys; {before}; from granitepoint.__main__ import main; sys.exit(main())"
    words = [sys.executable, "-c", code, *map(str, arguments)]
    return subprocess.run(words, capture_output=True, text=True, cwd=ROOT, timeout=60)


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
    line = "granitepoint: commands other than run need cyclopts: pip install 'granitepoint[cli]'\n"
    assert (done.returncode, done.stdout, done.stderr) == (2, "", line)
    done = command("emulate", "day.toml", before="sys.modules['hdrh.histogram'] = None")
    line = "granitepoint: emulate needs hdrh.histogram: pip install 'granitepoint[fleet]'\n"
    assert (done.returncode, done.stdout, done.stderr) == (2, "", line)


@pytest.mark.parametrize("name, raw, line", [
    ("none.json", None, "none.json: No such file or directory"),
    (".", None, "Is a directory"),
    ("cut.json", b"{", "cut.json: not JSON: Expecting property name"),
    ("latin.json", b'{"name": "\xe9"}', "latin.json: not UTF-8: byte 10"),
    ("deep.json", b"[" * 100_000, "deep.json: nested too deeply"),
    ("huge.json", b"{", "huge.json: larger than 64 MB"),
    ("list.json", b"[]", "list.json: out of range: -: the file does not hold an object\n"),
    ("empty.json", b"{}", "empty.json: out of range: listen: missing (and 2 more)"),
    ("odd\n\x1b.json", None, "odd \\x1b.json: No such file or directory"),
])  # fmt: skip
@pytest.mark.parametrize("command", ["check", "explain"])
def test_a_file_that_cant_be_used_is_one_plain_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], command: str, name: str, raw: bytes | None, line: str
) -> None:
    if raw is not None:
        (tmp_path / name).write_bytes(raw)
    if name == "huge.json":
        os.truncate(tmp_path / name, 1 << 30)
    assert main([command, str(tmp_path / name)]) == 2
    said = capsys.readouterr().err
    assert said.startswith("granitepoint: ") and line in said
    assert said.count("\n") == 1 and said.strip().isprintable()


def test_wrong_arguments_and_help(capsys: pytest.CaptureFixture[str]) -> None:
    for arguments, line in (
        (["chek"], 'Unknown command "chek". Did you mean "check"?'),
        (["check"], "parameter CONFIG requires an argument."),
        (["check", str(EXAMPLE), "--jsn"], "Unknown option: --jsn."),
        (["run", "fast"], "Unused Tokens: ['fast']."),
    ):
        assert main(arguments) == 2
        said = capsys.readouterr()
        assert line in said.err and said.err.count("\n") == 1 and not said.out
    for arguments in (["--help"], ["check", "--help"], ["explain", "--help"]):
        assert main(arguments) == 0
        assert "times are in seconds (s)" in capsys.readouterr().out


def test_check_heeds_the_variables_and_prints_json(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setenv("EDGE_CONFIG", str(EXAMPLE))
    monkeypatch.setenv("EDGE_NAME", "other")
    assert main(["check", "--json"]) == 0
    said = json.loads(capsys.readouterr().out)
    assert said["in_force"][0] == {"path": "name", "value": "other", "unit": "", "source": "EDGE_NAME"}
    assert {"kind": "unknown", "path": "settings.colour", "message": "no such setting"} in said["findings"]
    monkeypatch.setenv("EDGE_LOG_FORMAT", "json")
    monkeypatch.setenv("EDGE_LOG_LEVEL", "loud")
    assert main(["check", "--json"]) == 2
    told = capsys.readouterr()
    rows = {row["path"]: (row["value"], row["source"]) for row in json.loads(told.out)["in_force"]}
    assert rows["EDGE_LOG_FORMAT"] == ("json", "EDGE_LOG_FORMAT") and "EDGE_LOG_LEVEL" not in rows
    assert "out of range: EDGE_LOG_LEVEL: EDGE_LOG_LEVEL is debug, info, warning or error" in told.err


def test_output_that_finds_no_room_or_no_reader_is_no_traceback() -> None:
    nobody = "import os; r, w = os.pipe(); os.close(r); os.dup2(w, 1)"
    full, closed = "sys.stdout = open('/dev/full', 'w')", "import os; os.close(1)"
    for before, code, lines in ((full, 1, 1), (closed, 1, 1), (nobody, 141, 0)):
        done = command("check", EXAMPLE, before=before)
        assert (done.returncode, done.stderr.count("\n")) == (code, lines), done.stderr


def explained(tmp_path: Path, **changes: object) -> dict[str, dict[str, object]]:
    known = listing(1, endpoint("a", "127.0.0.1:9"), endpoint("b", "127.0.0.1:8", zone="b"))
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config("127.0.0.1:9", known, "127.0.0.1:8", **changes)))
    sections = explain(load({"EDGE_CONFIG": str(path)}))
    return {part.title: {entry.name: entry.value for entry in part.entries} for part in sections}


def test_explain_tells_the_figures_that_are_used(tmp_path: Path) -> None:
    tenants = [{"name": "t", "quota_rps": 8.0}]
    said = explained(tmp_path, tenants=tenants, balancers=4, charges={"probe": 1.0}, sockets=1000)
    assert said["class stock"]["attempts"] == 5 and said["class reserva"]["window"] == 6.0
    assert said["class stock"]["answered by"] == 1.18 and "window" not in said["class canje"]
    assert said["tenants"] == {"tenant t": 2.0, "past a quota": 1.0}
    assert said["servers"]["used"] == 2 and said["servers"]["a server's part"] == 0.5
    assert said["servers"]["cold budget, first"] == pytest.approx(0.16 * logic.COLD_BUDGET_SHARE * 3.0)
    assert said["probes"]["for one call"] == 0 and said["discovery"]["first watch"] == pytest.approx(4 * 0.02)
    assert said["connections and memory"]["to servers"] == 400
    assert "doubted" not in explained(tmp_path, discovery="push")["discovery"]
    assert explained(tmp_path, stage=2000)["class stock"]["attempts"] == 5
    with pytest.raises(ConfigError, match="setting stage is out of range"):
        explained(tmp_path, stage=1 << 40)
