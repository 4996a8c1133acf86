"""The commands of the command line.

A user's mistake is reported as one line on standard error, without a traceback, and exit code 2.
"""

from __future__ import annotations

import io
import json as json_module
import os
import platform
import sys
import tomllib
from collections.abc import Iterable, Sequence
from contextlib import suppress
from importlib.metadata import PackageNotFoundError
from importlib.metadata import version as installed_version
from pathlib import Path
from typing import Annotated, Any, Literal

import cyclopts
import msgspec

from granitepoint.cli import EXIT_BAD_INPUT
from granitepoint.cli import check as check_module
from granitepoint.cli import explain as explain_module
from granitepoint.cli import schema as schema_module
from granitepoint.net.config import ConfigError, load

EXIT_FAILED = 1  # exit code of an error that the user can't correct in the arguments or in a file
EXIT_OUTPUT_CLOSED = 141  # exit code when nobody reads the output: 128 + SIGPIPE (13), as shells report it
HELP_EPILOGUE = (
    "Units: times are in seconds (s), rates per second (1/s), memory in MB of 2^20 bytes, bodies in KB of "
    "2^10 bytes; a share is from 0 to 1; worth and prices are in points. Exit codes: 0 success, 1 failure, "
    "2 something to correct: a wrong argument, or a file that can't be used."
)

app = cyclopts.App(
    name="granitepoint",
    help="A load balancer for services that call services.",
    help_epilogue=HELP_EPILOGUE,
    version=lambda: _version(),
)
app.register_install_completion_command(add_to_startup=False)

ConfigPath = Annotated[Path, cyclopts.Parameter(env_var="EDGE_CONFIG", help="the JSON file")]
JsonFlag = Annotated[bool, cyclopts.Parameter(negative="", help="print JSON instead of text")]


def main(arguments: Sequence[str]) -> int:
    """Runs one command with its arguments and returns the exit code."""
    for stream in (sys.stdout, sys.stderr):
        if isinstance(stream, io.TextIOWrapper):
            stream.reconfigure(errors="backslashreplace")
    try:
        exit_code = app(arguments, exit_on_error=False, print_error=False, result_action="return_value")
        print(end="", flush=True)  # flushes now: a write error is handled below, not at exit
    except (cyclopts.CycloptsError, check_module.FileError, ConfigError) as error:
        return _print_error(str(error))
    except BrokenPipeError:
        _discard_output()
        return EXIT_OUTPUT_CLOSED
    except OSError as error:
        _discard_output()
        _print_error(str(error))
        return EXIT_FAILED
    return exit_code if isinstance(exit_code, int) else 0


def _discard_output() -> None:
    """Redirects standard output to /dev/null, or the flush at exit would fail and be reported again."""
    with suppress(OSError, ValueError):
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())


def _escape_unprintable(text: str) -> str:
    """Escapes control characters, line ends among them, in text that comes from a file or an argument."""
    return "".join(char if char.isprintable() else ascii(char)[1:-1] for char in text)


def _print_error(message: str) -> int:
    """Prints a message as one line on standard error and returns the exit code for bad input."""
    print("granitepoint:", _escape_unprintable(" ".join(message.split())), file=sys.stderr)
    return EXIT_BAD_INPUT


def _version() -> str:
    """Returns the version of the installed package, or else of the source tree that holds this file."""
    try:
        return installed_version("granitepoint")
    except PackageNotFoundError:
        path = Path(__file__).parent.parent.parent / "pyproject.toml"
        return str(tomllib.loads(path.read_text(encoding="utf-8"))["project"]["version"])


def _format_value(value: object) -> str:
    """Formats a value for the tables of `check` and `explain`; None means that there is no limit."""
    if value is None:
        return "no limit"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.6g}"
    if isinstance(value, tuple):
        return ",".join(value) or "-"
    return str(value) or "-"


def _format_with_unit(value: object, unit: str) -> str:
    return f"{_format_value(value)} {unit}".rstrip() if value is not None else _format_value(value)


def _print_table(rows: Sequence[Sequence[str]]) -> None:
    escaped_rows = [[_escape_unprintable(cell) for cell in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*escaped_rows, strict=True)]
    for row in escaped_rows:
        print("  " + "  ".join(map(str.ljust, row, widths)).rstrip())


def _print_json(value: Any) -> None:
    print(json_module.dumps(msgspec.to_builtins(value), indent=2))


@app.command
def run(
    *,
    log_format: Annotated[
        Literal["text", "json"], cyclopts.Parameter(env_var="EDGE_LOG_FORMAT", help="format of log lines")
    ] = "text",
    log_level: Annotated[
        Literal["debug", "info", "warning", "error"],
        cyclopts.Parameter(env_var="EDGE_LOG_LEVEL", help="debug also logs each request"),
    ] = "info",
) -> None:
    """Run one proxy in the foreground. This is also the default without a command.

    EDGE_CONFIG names the configuration file; EDGE_NAME, EDGE_LISTEN and EDGE_DISCOVERY override its values.
    SIGHUP rereads the address of discovery. SIGTERM starts a graceful shutdown: the proxy answers the
    requests that it has accepted and exits.
    """
    # Replaces this process with one that has not imported the command-line libraries, because the memory of a
    # proxy is limited and has a cost.
    log_variables = {"EDGE_LOG_FORMAT": log_format, "EDGE_LOG_LEVEL": log_level}
    os.execve(sys.executable, [sys.executable, "-m", "granitepoint", "run"], {**os.environ, **log_variables})


def _finding_rows(findings: Iterable[check_module.Finding], kind: str) -> list[list[str]]:
    return [[finding.path or "-", finding.message] for finding in findings if finding.kind == kind]


def _report_out_of_range(config: Path, result: check_module.CheckResult) -> int:
    errors = _finding_rows(result.findings, check_module.OUT_OF_RANGE)
    if not errors:
        return 0
    remainder = f" (and {len(errors) - 1} more)" if errors[1:] else ""
    return _print_error(f"{config}: out of range: {': '.join(errors[0])}{remainder}")


@app.command
def check(config: ConfigPath, /, *, json: JsonFlag = False) -> int:
    """Check a configuration: print the values that run would use, and every problem.

    Unknown keys, keys without effect and doubtful values (accepted, but probably mistakes) are listed with
    their paths and are not errors. A value out of range is an error: exit code 2. EDGE_NAME, EDGE_LISTEN and
    EDGE_DISCOVERY override the file, as for run.
    """
    result = check_module.check_content(check_module.read_file(config), os.environ)
    rows = [row for row in result.rows if row.in_force]
    if json:
        _print_json({"usable": result.usable, "in_force": rows, "findings": result.findings})
    else:
        print(f"in force{'' if result.usable else ' once the errors are corrected'}:")
        _print_table(
            [[row.path, _format_with_unit(row.value, row.unit), row.source] for row in rows] or [["-"]]
        )
        for kind in (
            check_module.NO_EFFECT,
            check_module.UNKNOWN,
            check_module.DOUBTFUL,
            check_module.OUT_OF_RANGE,
        ):
            if finding_rows := _finding_rows(result.findings, kind):
                print(f"{kind}:")
                _print_table(finding_rows)
    return _report_out_of_range(config, result)


@app.command
def explain(config: ConfigPath, /, *, json: JsonFlag = False) -> int:
    """Explain the effect of a configuration: attempts, times, quotas, budgets, connections and memory."""
    result = check_module.check_content(check_module.read_file(config), os.environ)
    if not result.usable:
        return _report_out_of_range(config, result)
    sections = explain_module.explain(load({**os.environ, "EDGE_CONFIG": str(config)}))
    if json:
        _print_json(
            {
                section.title: {entry.name: entry.as_json() for entry in section.entries}
                for section in sections
            }
        )
        return 0
    for section in sections:
        if section.entries:
            print(f"{_escape_unprintable(section.title)}:")
            _print_table(
                [
                    [entry.name, _format_with_unit(entry.value, entry.unit), entry.meaning]
                    for entry in section.entries
                ]
            )
    return 0


@app.command
def emulate(
    day: Path,
    /,
    *,
    json: Annotated[
        Path | None, cyclopts.Parameter(help="file for the results, one JSON record per line")
    ] = None,
    seed: Annotated[int | None, cyclopts.Parameter(help="random seed; overrides the one of the day")] = None,
) -> int:
    """Play a day (one scenario) of the emulator in simulated time.

    DAY is a TOML file, or a day that the simulator generated (.json).
    """
    try:
        from granitepoint.emulator.command import emulate as play
    except ModuleNotFoundError as error:
        return _report_missing_library("emulate", "fleet", error)
    return play(day, json=json, seed=seed)


def _report_missing_library(command: str, extra: str, error: ModuleNotFoundError) -> int:
    """Reports a missing library and the package extra that installs it; returns the exit code.

    Raises `error` again if the missing module belongs to this package.
    """
    if not error.name or error.name.startswith("granitepoint"):
        raise error
    return _print_error(f"{command} needs {error.name}: pip install 'granitepoint[{extra}]'")


@app.command
def experiment(
    file: Path,
    /,
    *,
    out: Annotated[
        Path | None,
        cyclopts.Parameter(help="SQLite file for the results; by default FILE with the suffix .sqlite"),
    ] = None,
    jobs: Annotated[
        int | None, cyclopts.Parameter(help="days played in parallel; by default one per core")
    ] = None,
) -> int:
    """Play variants of the decision module and its settings on days of the emulator; compare them in pairs.

    FILE combines each variant (a git revision, settings of the day) with each day and seed. Results that OUT
    already holds are not computed again, so an interrupted experiment continues where it stopped.
    """
    if jobs is not None and jobs < 1:
        return _print_error("experiment: jobs must be at least 1")
    try:
        from granitepoint.experiments.command import experiment as play
    except ModuleNotFoundError as error:
        return _report_missing_library("experiment", "report", error)
    return play(file, out, jobs)


@app.command
def report(
    results: Path,
    /,
    *,
    out: Annotated[
        Path | None, cyclopts.Parameter(help="output folder; by default RESULTS without its suffix")
    ] = None,
) -> int:
    """Write an HTML page with plots from the results of an experiment."""
    try:
        from granitepoint.experiments.command import report as write
    except ModuleNotFoundError as error:
        return _report_missing_library("report", "report", error)
    return write(results, out)


@app.command(name="soak")
def soak_command(
    *,
    seeds: Annotated[str, cyclopts.Parameter(help="one seed, or a range such as 1-50")] = "1",
    seconds: Annotated[float, cyclopts.Parameter(help="seconds of real time per seed")] = 16.0,
    proxies: Annotated[int, cyclopts.Parameter(help="real proxies per seed")] = 3,
    servers: Annotated[int, cyclopts.Parameter(help="test servers per seed")] = 6,
    at_once: Annotated[int, cyclopts.Parameter(help="seeds played in parallel")] = 4,
) -> int:
    """Play real proxies on loopback under random faults, and check the rules on what their peers recorded."""
    try:
        from granitepoint.faults.command import parse_seeds, run_soak
    except ModuleNotFoundError as error:
        return _report_missing_library("soak", "fleet", error)
    try:
        seed_list = parse_seeds(seeds)
    except ValueError:
        return _print_error(f"soak: seeds must be a number or a range, such as 3 or 1-50, not {seeds!r}")
    if seconds < 4 or proxies < 1 or servers < 3 or at_once < 1:
        return _print_error("soak: needs at least 4 seconds, 1 proxy, 3 servers and 1 seed at once")
    return run_soak(seed_list, seconds, proxies, servers, at_once)


@app.command
def schema() -> None:
    """Print the JSON Schema of the configuration, the content of docs/config.schema.json."""
    print(schema_module.render_json_schema(), end="")


@app.command
def version() -> None:
    """Print the versions of the package, Python and the libraries that the proxy uses."""
    print(f"granitepoint {_version()}")
    print(f"Python {platform.python_version()}")
    for package in ("uvloop", "httptools"):
        print(f"{package} {installed_version(package)}")
