"""Tests the output and exit codes of the commands; a user's mistake is one line and exit code 2."""

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
    """Runs `granitepoint ARGUMENTS` in a process of its own, after the code `before`."""
    code = f"import sys; {before}; from granitepoint.__main__ import main; sys.exit(main())"
    command_line = [sys.executable, "-c", code, *map(str, arguments)]
    return subprocess.run(command_line, capture_output=True, text=True, cwd=ROOT, timeout=60)


def test_run_equals_no_arguments_and_does_not_import_the_command_line() -> None:
    for arguments in ([], ["run"]):
        process = subprocess.run(
            [sys.executable, "-X", "importtime", "-m", "granitepoint", *arguments],
            capture_output=True, text=True, cwd=ROOT, env={}, timeout=60,
        )  # fmt: skip
        assert process.returncode == 2
        assert process.stderr.endswith("granitepoint: bad configuration: EDGE_CONFIG is not set\n")
        imported = {line.rpartition("|")[2].strip() for line in process.stderr.splitlines()}
        assert "granitepoint.net.driver" in imported
        assert not imported & {"granitepoint.cli", "cyclopts", "msgspec", "rich"}


def test_a_missing_library_is_one_line_that_names_the_extra() -> None:
    result = command("version", before="sys.modules['cyclopts'] = None")
    line = "granitepoint: commands other than run need cyclopts: pip install 'granitepoint[cli]'\n"
    assert (result.returncode, result.stdout, result.stderr) == (2, "", line)
    result = command("emulate", "day.toml", before="sys.modules['hdrh.histogram'] = None")
    line = "granitepoint: emulate needs hdrh.histogram: pip install 'granitepoint[fleet]'\n"
    assert (result.returncode, result.stdout, result.stderr) == (2, "", line)


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
def test_an_unusable_file_is_reported_on_one_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], command: str, name: str, raw: bytes | None, line: str
) -> None:
    if raw is not None:
        (tmp_path / name).write_bytes(raw)
    if name == "huge.json":
        os.truncate(tmp_path / name, 1 << 30)
    assert main([command, str(tmp_path / name)]) == 2
    output = capsys.readouterr().err
    assert output.startswith("granitepoint: ") and line in output
    assert output.count("\n") == 1 and output.strip().isprintable()


def test_wrong_arguments_and_help(capsys: pytest.CaptureFixture[str]) -> None:
    for arguments, line in (
        (["chek"], 'Unknown command "chek". Did you mean "check"?'),
        (["check"], "parameter CONFIG requires an argument."),
        (["check", str(EXAMPLE), "--jsn"], "Unknown option: --jsn."),
        (["run", "fast"], "Unused Tokens: ['fast']."),
    ):
        assert main(arguments) == 2
        output = capsys.readouterr()
        assert line in output.err and output.err.count("\n") == 1 and not output.out
    for arguments in (["--help"], ["check", "--help"], ["explain", "--help"]):
        assert main(arguments) == 0
        assert "times are in seconds (s)" in capsys.readouterr().out


def test_check_applies_the_variables_and_prints_json(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setenv("EDGE_CONFIG", str(EXAMPLE))
    monkeypatch.setenv("EDGE_NAME", "other")
    assert main(["check", "--json"]) == 0
    output = json.loads(capsys.readouterr().out)
    assert output["in_force"][0] == {"path": "name", "value": "other", "unit": "", "source": "EDGE_NAME"}
    assert {"kind": "unknown", "path": "settings.colour", "message": "no such setting"} in output["findings"]
    monkeypatch.setenv("EDGE_LOG_FORMAT", "json")
    monkeypatch.setenv("EDGE_LOG_LEVEL", "loud")
    assert main(["check", "--json"]) == 2
    captured = capsys.readouterr()
    rows = {row["path"]: (row["value"], row["source"]) for row in json.loads(captured.out)["in_force"]}
    assert rows["EDGE_LOG_FORMAT"] == ("json", "EDGE_LOG_FORMAT") and "EDGE_LOG_LEVEL" not in rows
    assert "out of range: EDGE_LOG_LEVEL: EDGE_LOG_LEVEL is debug, info, warning or error" in captured.err


def test_full_or_closed_output_causes_no_traceback() -> None:
    no_reader = "import os; r, w = os.pipe(); os.close(r); os.dup2(w, 1)"
    full, closed = "sys.stdout = open('/dev/full', 'w')", "import os; os.close(1)"
    for before, code, lines in ((full, 1, 1), (closed, 1, 1), (no_reader, 141, 0)):
        result = command("check", EXAMPLE, before=before)
        assert (result.returncode, result.stderr.count("\n")) == (code, lines), result.stderr


def explained(tmp_path: Path, **changes: object) -> dict[str, dict[str, object]]:
    """Returns {section: {name: value}} of `explain` for a configuration with the given changes."""
    known = listing(1, endpoint("a", "127.0.0.1:9"), endpoint("b", "127.0.0.1:8", zone="b"))
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config("127.0.0.1:9", known, "127.0.0.1:8", **changes)))
    sections = explain(load({"EDGE_CONFIG": str(path)}))
    return {section.title: {entry.name: entry.value for entry in section.entries} for section in sections}


def test_explain_reports_the_values_in_use(tmp_path: Path) -> None:
    tenants = [{"name": "t", "quota_rps": 8.0}]
    rows = explained(tmp_path, tenants=tenants, balancers=4, charges={"probe": 1.0}, sockets=1000)
    assert rows["class stock"]["attempts"] == 5 and rows["class reserva"]["window"] == 6.0
    assert rows["class stock"]["answered by"] == 1.18 and "window" not in rows["class canje"]
    assert rows["tenants"] == {"tenant t": 2.0, "past a quota": 1.0}
    assert rows["servers"]["used"] == 2 and rows["servers"]["a server's part"] == 0.5
    assert rows["servers"]["cold budget, first"] == pytest.approx(0.16 * logic.COLD_BUDGET_SHARE * 3.0)
    assert rows["probes"]["for one call"] == 0 and rows["discovery"]["first watch"] == pytest.approx(4 * 0.02)
    assert rows["connections and memory"]["to servers"] == 400
    assert "doubted" not in explained(tmp_path, discovery="push")["discovery"]
    assert explained(tmp_path, stage=2000)["class stock"]["attempts"] == 5
    with pytest.raises(ConfigError, match="setting stage is out of range"):
        explained(tmp_path, stage=1 << 40)
