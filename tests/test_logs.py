"""Tests the log: one line per event in both formats, for any value, and the request's id on its events."""

from __future__ import annotations

import asyncio
import io
import json
import logging
import os
import re
from collections.abc import Iterator
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from netkit import ROOT, Backend, ReceivedRequest, proxy, run, serve_ok

from granitepoint.cli import main
from granitepoint.net import logs

LOGFMT_WORD = re.compile(r'([\w.-]+)=("(?:[^"\\]|\\.)*"|[^ "=]+)(?: |$)')
LOG_VALUES = st.one_of(st.none(), st.integers(), st.floats(), st.text(), st.binary())


@pytest.fixture
def configure_log() -> Iterator[Any]:
    """Yields a function that configures the log and returns its output; restores logging at the end."""
    root = logging.getLogger()
    before = root.handlers[:], root.level
    flags = logging._srcfile, logging.logThreads, logging.logProcesses, logging.logMultiprocessing
    stream = io.StringIO()

    def configure(line_format: logs.Format, level: int = logging.INFO) -> io.StringIO:
        stream.seek(0)
        stream.truncate()
        root.handlers = []
        logs.configure(stream, line_format, level)
        return stream

    yield configure
    root.handlers, root.level = before
    logging._srcfile, logging.logThreads, logging.logProcesses, logging.logMultiprocessing = flags


def words(line: str) -> dict[str, str]:
    found = LOGFMT_WORD.findall(line)
    assert "".join(f"{key}={value} " for key, value in found) == line + " ", line
    return {key: json.loads(value) if value[0] == '"' else value for key, value in found}


def test_a_line_holds_the_event_and_its_values(configure_log: Any) -> None:
    for line_format in logs.Format:
        stream = configure_log(line_format)
        events = logs.EventLogger("granitepoint.net.part")
        odd = {"empty": "", "fault": 'a "b" = c', "no": None}
        events.info("thing_done", id=b"0123", after_s=0.12345678, count=3, **odd)
        line = stream.getvalue().rstrip("\n")
        logged = words(line) if line_format is logs.Format.TEXT else json.loads(line)
        assert re.fullmatch(r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z", logged.pop("time"))
        numbers: tuple[object, object] = (
            ("0.123457", "3") if line_format is logs.Format.TEXT else (0.123457, 3)
        )
        assert logged == {
            "level": "info", "event": "thing_done", "part": "part", "id": "0123",
            "after_s": numbers[0], "count": numbers[1], "empty": "", "fault": 'a "b" = c',
        }  # fmt: skip


@given(values=st.dictionaries(st.from_regex(r"[a-z]{1,8}", fullmatch=True), LOG_VALUES, max_size=4))
def test_any_value_is_logged_on_a_single_line(values: dict[str, object]) -> None:
    record = logging.LogRecord("a.part", logging.INFO, "", 0, "thing_done", (), None)
    given = {f"x{key}": value for key, value in values.items()}
    record.__dict__["values"] = given
    line = logs.LineFormatter(logs.Format.TEXT).format(record)
    assert line.isascii() and line.isprintable()
    present = {key for key, value in given.items() if value is not None}
    assert set(words(line)) - {"time", "level", "event", "part"} == present
    line = logs.LineFormatter(logs.Format.JSON).format(record)
    assert "\n" not in line and "Infinity" not in line and "NaN" not in line
    assert set(json.loads(line)) - {"time", "level", "event", "part"} == present


def test_any_class_name_is_turned_into_a_valid_key(configure_log: Any) -> None:
    stream = configure_log(logs.Format.TEXT)
    logs.EventLogger("x").info("figures", **{'target.a b="c\n_s': 0.5})
    assert words(stream.getvalue().rstrip("\n"))["target.a_b_c__s"] == "0.5"


def test_an_exception_is_one_line_with_its_traceback(configure_log: Any) -> None:
    stream = configure_log(logs.Format.TEXT)
    try:
        raise ValueError("two\nlines")
    except ValueError:
        logs.EventLogger("x").exception("thing_failed")
    (line,) = stream.getvalue().splitlines()
    assert words(line)["traceback"].endswith("ValueError: two\nlines")


def test_debug_lines_are_not_rate_limited(configure_log: Any) -> None:
    stream = configure_log(logs.Format.TEXT, logging.DEBUG)
    events = logs.EventLogger("x")
    for _ in range(3 * logs.MAX_LINES_PER_EVENT):
        events.debug("call_taken")
        events.info("thing_done")
    log_lines = [words(line)["event"] for line in stream.getvalue().splitlines()]
    assert (log_lines.count("call_taken"), log_lines.count("thing_done")) == (
        3 * logs.MAX_LINES_PER_EVENT,
        logs.MAX_LINES_PER_EVENT,
    )
    configure_log(logs.Format.TEXT)
    assert not events.debug_enabled


def log_of_one_request(line_format: logs.Format) -> list[str]:
    """Returns the whole log of a proxy that served one request after its first attempt was reset."""
    log_lines: list[str] = []

    async def test() -> None:
        async def behave(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            if backend.call_count == 1:
                writer.transport.abort()
            else:
                await serve_ok(seen, writer)

        backend = Backend(behave)
        variables = {"EDGE_LOG_FORMAT": line_format.value, "EDGE_LOG_LEVEL": "debug"}
        async with proxy({"s-1": backend}, variables=variables) as node:
            assert (await (await node.caller()).call("stock", "7" * 16)).code == 200
            node.terminate()
            assert await node.exit_code() == 0 and node.process.stderr is not None
            log_lines.extend((await node.process.stderr.read()).decode().splitlines())

    run(test())
    return log_lines


def test_all_events_of_a_request_have_its_id() -> None:
    log_lines = [json.loads(line) for line in log_of_one_request(logs.Format.JSON)]
    request_lines = [line for line in log_lines if line.get("id") == "7" * 16]
    assert [line["event"] for line in request_lines if line["level"] == "debug"] == [
        "call_taken", "attempt_begun", "attempt_ended", "attempt_begun", "attempt_ended", "call_answered",
    ]  # fmt: skip
    assert [line["status"] for line in request_lines if line["event"] == "attempt_ended"] == ["reset", "ok"]
    rest = [line["event"] for line in request_lines if line["level"] == "info"]
    assert rest == ["attempt_reset", "attempt_given_up"]
    (figures,) = [line for line in log_lines if line["event"] == "figures"]
    assert (figures["calls"], figures["answer.200"], figures["attempt.reset"]) == (1, 1, 1)
    assert figures["servers.serving"] == 1 and figures["window"] > 0


def test_the_readme_shows_such_a_request_as_it_is_logged() -> None:
    (block,) = re.findall(r"```logfmt\n(.*?)```", (ROOT / "README.md").read_text(encoding="utf-8"), re.S)
    shown = [words(line) for line in block.splitlines()]
    request_lines = [
        line for line in map(words, log_of_one_request(logs.Format.TEXT)) if line.get("id") == "7" * 16
    ]
    assert [(line["event"], list(line)) for line in request_lines] == [
        (line["event"], list(line)) for line in shown
    ]


def test_the_log_options_of_the_command_line_are_passed_to_the_proxy(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    started: list[tuple[list[str], dict[str, str]]] = []
    monkeypatch.setattr(os, "execve", lambda path, words, environ: started.append((words[1:], environ)))
    assert main(["run", "--log-format", "json", "--log-level", "debug"]) == 0
    ((words, environ),) = started
    assert words == ["-m", "granitepoint", "run"]
    assert logs.read_log_options(environ) == (logs.Format.JSON, logging.DEBUG)
    assert main(["run", "--log-format", "xml"]) == 2
    assert capsys.readouterr().err.count("\n") == 1


@pytest.mark.parametrize("name", ["EDGE_LOG_FORMAT", "EDGE_LOG_LEVEL"])
def test_an_unknown_log_format_or_level_is_rejected(name: str) -> None:
    with pytest.raises(ValueError, match=f"{name} is .*, not 'loud'"):
        logs.read_log_options({name: "loud"})
    assert logs.read_log_options({name: ""}) == logs.read_log_options({}) == (logs.Format.TEXT, logging.INFO)
