"""The log: one event a line in both forms, whatever the values hold, and one request followed by its id."""

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
from netkit import ROOT, Backend, Seen, proxy, run, serve_ok

from granitepoint.cli import main
from granitepoint.net import logs

WORD = re.compile(r'([\w.-]+)=("(?:[^"\\]|\\.)*"|[^ "=]+)(?: |$)')
VALUES = st.one_of(st.none(), st.integers(), st.floats(), st.text(), st.binary())


@pytest.fixture
def lines() -> Iterator[Any]:
    """Gives what starts the log in a form, and what was written since. All is as before at the end."""
    root = logging.getLogger()
    before = root.handlers[:], root.level
    flags = logging._srcfile, logging.logThreads, logging.logProcesses, logging.logMultiprocessing
    stream = io.StringIO()

    def begin(form: logs.Format, level: int = logging.INFO) -> io.StringIO:
        stream.seek(0)
        stream.truncate()
        root.handlers = []
        logs.configure(stream, form, level)
        return stream

    yield begin
    root.handlers, root.level = before
    logging._srcfile, logging.logThreads, logging.logProcesses, logging.logMultiprocessing = flags


def words(line: str) -> dict[str, str]:
    found = WORD.findall(line)
    assert "".join(f"{key}={value} " for key, value in found) == line + " ", line
    return {key: json.loads(value) if value[0] == '"' else value for key, value in found}


def test_a_line_holds_the_event_and_its_values(lines: Any) -> None:
    for form in logs.Format:
        stream = lines(form)
        events = logs.EventLogger("granitepoint.net.part")
        odd = {"empty": "", "fault": 'a "b" = c', "no": None}
        events.info("thing_done", id=b"0123", after_s=0.12345678, count=3, **odd)
        line = stream.getvalue().rstrip("\n")
        said = words(line) if form is logs.Format.TEXT else json.loads(line)
        assert re.fullmatch(r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z", said.pop("time"))
        numbers: tuple[object, object] = ("0.123457", "3") if form is logs.Format.TEXT else (0.123457, 3)
        assert said == {
            "level": "info", "event": "thing_done", "part": "part", "id": "0123",
            "after_s": numbers[0], "count": numbers[1], "empty": "", "fault": 'a "b" = c',
        }  # fmt: skip


@given(values=st.dictionaries(st.from_regex(r"[a-z]{1,8}", fullmatch=True), VALUES, max_size=4))
def test_whatever_a_value_holds_a_line_stays_one_line(values: dict[str, object]) -> None:
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


def test_a_class_of_any_name_makes_a_key(lines: Any) -> None:
    stream = lines(logs.Format.TEXT)
    logs.EventLogger("x").info("figures", **{'target.a b="c\n_s': 0.5})
    assert words(stream.getvalue().rstrip("\n"))["target.a_b_c__s"] == "0.5"


def test_an_exception_is_one_line_with_its_traceback(lines: Any) -> None:
    stream = lines(logs.Format.TEXT)
    try:
        raise ValueError("two\nlines")
    except ValueError:
        logs.EventLogger("x").exception("thing_failed")
    (line,) = stream.getvalue().splitlines()
    assert words(line)["traceback"].endswith("ValueError: two\nlines")


def test_lines_for_debugging_are_not_thinned_out(lines: Any) -> None:
    stream = lines(logs.Format.TEXT, logging.DEBUG)
    events = logs.EventLogger("x")
    for _ in range(3 * logs.MAX_LINES_PER_EVENT):
        events.debug("call_taken")
        events.info("thing_done")
    told = [words(line)["event"] for line in stream.getvalue().splitlines()]
    assert (told.count("call_taken"), told.count("thing_done")) == (
        3 * logs.MAX_LINES_PER_EVENT,
        logs.MAX_LINES_PER_EVENT,
    )
    lines(logs.Format.TEXT)
    assert not events.debug_enabled


def followed(form: logs.Format) -> list[str]:
    """What a proxy logs of one request whose first attempt the backend resets, from its start to SIGTERM."""
    told: list[str] = []

    async def test() -> None:
        async def behave(seen: Seen, writer: asyncio.StreamWriter) -> None:
            if backend.count == 1:
                writer.transport.abort()
            else:
                await serve_ok(seen, writer)

        backend = Backend(behave)
        variables = {"EDGE_LOG_FORMAT": form.value, "EDGE_LOG_LEVEL": "debug"}
        async with proxy({"s-1": backend}, variables=variables) as node:
            assert (await (await node.caller()).call("stock", "7" * 16)).code == 200
            node.terminate()
            assert await node.code() == 0 and node.process.stderr is not None
            told.extend((await node.process.stderr.read()).decode().splitlines())

    run(test())
    return told


def test_a_request_is_followed_by_its_id() -> None:
    told = [json.loads(line) for line in followed(logs.Format.JSON)]
    mine = [line for line in told if line.get("id") == "7" * 16]
    assert [line["event"] for line in mine if line["level"] == "debug"] == [
        "call_taken", "attempt_begun", "attempt_ended", "attempt_begun", "attempt_ended", "call_answered",
    ]  # fmt: skip
    assert [line["status"] for line in mine if line["event"] == "attempt_ended"] == ["reset", "ok"]
    rest = [line["event"] for line in mine if line["level"] == "info"]
    assert rest == ["attempt_reset", "attempt_given_up"]
    (figures,) = [line for line in told if line["event"] == "figures"]
    assert (figures["calls"], figures["answer.200"], figures["attempt.reset"]) == (1, 1, 1)
    assert figures["servers.serving"] == 1 and figures["window"] > 0


def test_the_readme_shows_such_a_request_as_it_is_logged() -> None:
    (block,) = re.findall(r"```logfmt\n(.*?)```", (ROOT / "README.md").read_text(encoding="utf-8"), re.S)
    shown = [words(line) for line in block.splitlines()]
    mine = [line for line in map(words, followed(logs.Format.TEXT)) if line.get("id") == "7" * 16]
    assert [(line["event"], list(line)) for line in mine] == [(line["event"], list(line)) for line in shown]


def test_the_command_line_hands_its_choice_to_a_proxy_without_libraries(
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
def test_a_form_or_a_level_that_is_none_is_refused(name: str) -> None:
    with pytest.raises(ValueError, match=f"{name} is .*, not 'loud'"):
        logs.read_log_options({name: "loud"})
    assert logs.read_log_options({name: ""}) == logs.read_log_options({}) == (logs.Format.TEXT, logging.INFO)
