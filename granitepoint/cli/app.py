"""The commands. A fault of the user's is one plain line on standard error and exit code 2."""

from __future__ import annotations

import io
import json as jsons
import os
import platform
import sys
import tomllib
from collections.abc import Iterable, Sequence
from contextlib import suppress
from importlib.metadata import PackageNotFoundError
from importlib.metadata import version as version_of
from pathlib import Path
from typing import Annotated, Any, Literal

import cyclopts
import msgspec

from granitepoint.cli import BAD_INPUT
from granitepoint.cli import check as checking
from granitepoint.cli import explain as explaining
from granitepoint.cli import schema as schemas
from granitepoint.net.config import ConfigError, load

FAILED = 1
CLOSED = 141  # exit code where nobody reads the output any more
UNITS = (
    "Units: times are in seconds (s), rates per second (1/s), memory in MB of 2^20 bytes, bodies in KB of "
    "2^10 bytes; a share is from 0 to 1; worth and prices are in points. Exit codes: 0 done, 1 failed, "
    "2 something that you can mend: a wrong argument, or a file that can't be used."
)

app = cyclopts.App(
    name="granitepoint",
    help="A load balancer for services that call services.",
    help_epilogue=UNITS,
    version=lambda: _version(),
)
app.register_install_completion_command(add_to_startup=False)

Config = Annotated[Path, cyclopts.Parameter(env_var="EDGE_CONFIG", help="the JSON file")]
Json = Annotated[bool, cyclopts.Parameter(negative="", help="print JSON instead of text")]


def main(arguments: Sequence[str]) -> int:
    """Runs one command; returns its exit code."""
    for stream in (sys.stdout, sys.stderr):
        if isinstance(stream, io.TextIOWrapper):
            stream.reconfigure(errors="backslashreplace")
    try:
        code = app(arguments, exit_on_error=False, print_error=False, result_action="return_value")
        print(end="", flush=True)
    except (cyclopts.CycloptsError, checking.FileError, ConfigError) as fault:
        return _refuse(str(fault))
    except BrokenPipeError:
        _give_up_output()
        return CLOSED
    except OSError as fault:
        _give_up_output()
        _refuse(str(fault))
        return FAILED
    return code if isinstance(code, int) else 0


def _give_up_output() -> None:
    """What could not be written must not be tried, and told of, once more at the exit."""
    with suppress(OSError, ValueError):
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())


def _plain(text: str) -> str:
    """What a file or an argument holds, on one line and without control characters."""
    return "".join(char if char.isprintable() else ascii(char)[1:-1] for char in text)


def _refuse(message: str) -> int:
    print("granitepoint:", _plain(" ".join(message.split())), file=sys.stderr)
    return BAD_INPUT


def _version() -> str:
    """Of the package as installed, else of the source tree that this file is in."""
    try:
        return version_of("granitepoint")
    except PackageNotFoundError:
        path = Path(__file__).parent.parent.parent / "pyproject.toml"
        return str(tomllib.loads(path.read_text(encoding="utf-8"))["project"]["version"])


def _text(value: object) -> str:
    if value is None:
        return "no limit"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.6g}"
    if isinstance(value, tuple):
        return ",".join(value) or "-"
    return str(value) or "-"


def _figure(value: object, unit: str) -> str:
    return f"{_text(value)} {unit}".rstrip() if value is not None else _text(value)


def _print_table(rows: Sequence[Sequence[str]]) -> None:
    plain = [[_plain(cell) for cell in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*plain, strict=True)]
    for row in plain:
        print("  " + "  ".join(map(str.ljust, row, widths)).rstrip())


def _print_json(value: Any) -> None:
    print(jsons.dumps(msgspec.to_builtins(value), indent=2))


@app.command
def run(
    *,
    log_format: Annotated[
        Literal["text", "json"], cyclopts.Parameter(env_var="EDGE_LOG_FORMAT", help="of a log line")
    ] = "text",
    log_level: Annotated[
        Literal["debug", "info", "warning", "error"],
        cyclopts.Parameter(env_var="EDGE_LOG_LEVEL", help="debug tells each request's own lines"),
    ] = "info",
) -> None:
    """Start one proxy and keep to the foreground; the same as no command at all.

    EDGE_CONFIG names its file; EDGE_NAME, EDGE_LISTEN and EDGE_DISCOVERY come before what that says. SIGHUP
    rereads the address of discovery, SIGTERM answers what was taken and ends.
    """
    # The same process, but without what reads arguments: a proxy's memory is bounded and paid for.
    logged = {"EDGE_LOG_FORMAT": log_format, "EDGE_LOG_LEVEL": log_level}
    os.execve(sys.executable, [sys.executable, "-m", "granitepoint", "run"], {**os.environ, **logged})


def _findings(findings: Iterable[checking.Finding], kind: str) -> list[list[str]]:
    return [[finding.path or "-", finding.message] for finding in findings if finding.kind == kind]


def _refuse_faults(config: Path, reading: checking.Reading) -> int:
    faults = _findings(reading.findings, checking.OUT_OF_RANGE)
    if not faults:
        return 0
    more = f" (and {len(faults) - 1} more)" if faults[1:] else ""
    return _refuse(f"{config}: out of range: {': '.join(faults[0])}{more}")


@app.command
def check(config: Config, /, *, json: Json = False) -> int:
    """Read a configuration as run does: print what would be in force and all that is wrong.

    Keys that are unknown or have no effect, and values hardly meant, are listed with their paths, and
    are no fault. Each value out of range is one: exit code 2. EDGE_NAME, EDGE_LISTEN and EDGE_DISCOVERY come
    first, as for run.
    """
    reading = checking.read(checking.read_file(config), os.environ)
    rows = [row for row in reading.rows if row.in_force]
    if json:
        _print_json({"usable": reading.usable, "in_force": rows, "findings": reading.findings})
    else:
        print(f"in force{'' if reading.usable else ', were the rest usable'}:")
        _print_table([[row.path, _figure(row.value, row.unit), row.source] for row in rows] or [["-"]])
        for kind in (checking.NO_EFFECT, checking.UNKNOWN, checking.DOUBTFUL, checking.OUT_OF_RANGE):
            if found := _findings(reading.findings, kind):
                print(f"{kind}:")
                _print_table(found)
    return _refuse_faults(config, reading)


@app.command
def explain(config: Config, /, *, json: Json = False) -> int:
    """Print what a configuration means for a request: attempts, times, quotas, budgets and shares."""
    reading = checking.read(checking.read_file(config), os.environ)
    if not reading.usable:
        return _refuse_faults(config, reading)
    sections = explaining.explain(load({**os.environ, "EDGE_CONFIG": str(config)}))
    if json:
        _print_json({part.title: {each.name: each.figure() for each in part.entries} for part in sections})
        return 0
    for part in sections:
        if part.entries:
            print(f"{_plain(part.title)}:")
            _print_table([[each.name, _figure(each.value, each.unit), each.meaning] for each in part.entries])
    return 0


@app.command
def emulate(
    day: Path,
    /,
    *,
    json: Annotated[Path | None, cyclopts.Parameter(help="file of the results, a record a line")] = None,
    seed: Annotated[int | None, cyclopts.Parameter(help="in place of the day's own")] = None,
) -> int:
    """Play a day of the emulator in simulated time: a TOML file, or a day that the simulator drew (.json)."""
    try:
        from granitepoint.emulator.command import emulate as play
    except ModuleNotFoundError as fault:
        return _refuse_for("emulate", "fleet", fault)
    return play(day, json=json, seed=seed)


def _refuse_for(command: str, extra: str, fault: ModuleNotFoundError) -> int:
    """A library that is missing. Raises the fault where it is the program's own."""
    if not fault.name or fault.name.startswith("granitepoint"):
        raise fault
    return _refuse(f"{command} needs {fault.name}: pip install 'granitepoint[{extra}]'")


@app.command
def experiment(
    file: Path,
    /,
    *,
    out: Annotated[
        Path | None, cyclopts.Parameter(help="SQLite file of the results; FILE with .sqlite by default")
    ] = None,
    jobs: Annotated[int | None, cyclopts.Parameter(help="days played at a time; as many as cores")] = None,
) -> int:
    """Play variants of the module and its settings on days of the emulator, and compare them in pairs.

    FILE crosses variants (a git revision, settings of the day) with days and seeds. What OUT holds already is
    not played again; after a stop the rest is.
    """
    if jobs is not None and jobs < 1:
        return _refuse("experiment: jobs must be at least 1")
    try:
        from granitepoint.experiments.command import experiment as play
    except ModuleNotFoundError as fault:
        return _refuse_for("experiment", "report", fault)
    return play(file, out, jobs)


@app.command
def report(
    results: Path,
    /,
    *,
    out: Annotated[Path | None, cyclopts.Parameter(help="folder; RESULTS without its ending")] = None,
) -> int:
    """Write one HTML page and its plots from the results of an experiment."""
    try:
        from granitepoint.experiments.command import report as write
    except ModuleNotFoundError as fault:
        return _refuse_for("report", "report", fault)
    return write(results, out)


@app.command(name="soak")
def soak_command(
    *,
    seeds: Annotated[str, cyclopts.Parameter(help="a seed, or the first and the last: 1-50")] = "1",
    seconds: Annotated[float, cyclopts.Parameter(help="s of real time that each seed plays")] = 16.0,
    proxies: Annotated[int, cyclopts.Parameter(help="real proxies of each seed")] = 3,
    servers: Annotated[int, cyclopts.Parameter(help="stand-ins for servers of each seed")] = 6,
    at_once: Annotated[int, cyclopts.Parameter(help="seeds played at a time")] = 4,
) -> int:
    """Play real proxies on loopback under drawn faults, and hold the rules against what others recorded."""
    try:
        from granitepoint.faults.command import parse_seeds, run_soak
    except ModuleNotFoundError as fault:
        return _refuse_for("soak", "fleet", fault)
    try:
        wanted = parse_seeds(seeds)
    except ValueError:
        return _refuse(f"soak: seeds are like 3 or 1-50, not {seeds!r}")
    if seconds < 4 or proxies < 1 or servers < 3 or at_once < 1:
        return _refuse("soak: at least 4 seconds, 1 proxy, 3 servers and 1 seed at once")
    return run_soak(wanted, seconds, proxies, servers, at_once)


@app.command
def schema() -> None:
    """Print the JSON Schema of the configuration, as docs/config.schema.json holds it."""
    print(schemas.published(), end="")


@app.command
def version() -> None:
    """Print the versions of the package, Python and the libraries that the proxy runs on."""
    print(f"granitepoint {_version()}")
    print(f"Python {platform.python_version()}")
    for package in ("uvloop", "httptools"):
        print(f"{package} {version_of(package)}")
