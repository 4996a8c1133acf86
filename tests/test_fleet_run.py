"""A small fleet: real and hollow proxies, troubles, an interrupt. The run's own events drive it."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

import psutil
import pytest

from granitepoint.fleet import results
from granitepoint.fleet.__main__ import app
from granitepoint.fleet.experiment import parse
from granitepoint.fleet.run import run

SMALL = """
name = "small"
seed = 3
duration_s = 2.5
settle_s = 1.0

[backends]
count = 6
services = 2
zones = ["a", "b"]
regions = [["a"], ["b"]]
service_ms = 4.0

[proxies]
real = 1
hollow = 3
timed = true

[callers]
rate_per_s = 60.0
retries = 2
"""
TROUBLES = """
[[troubles]]
kind = "change"
at_s = 0.1
entries = 2

[[troubles]]
kind = "discovery_outage"
at_s = 0.4
for_s = 0.2

[[troubles]]
kind = "restarts"
at_s = 0.2
count = 1
over_s = 0.1
drain_s = 0.1
down_s = 0.2

[[troubles]]
kind = "region_cut"
at_s = 1.0
for_s = 0.4
"""


def alive(records: list[results.AnyRecord]) -> list[int]:
    return [one.pid for one in records if isinstance(one, results.Process) and psutil.pid_exists(one.pid)]


def test_a_small_fleet_serves_through_troubles_and_ends_what_it_started(tmp_path: Path) -> None:
    path = tmp_path / "small.jsonl"
    assert run(parse(SMALL + TROUBLES), path)
    records = results.read(path)
    begin, end = records[0], records[-1]
    assert isinstance(begin, results.Begin) and begin.experiment["seed"] == 3
    assert begin.machine["cores"] == os.cpu_count() and begin.commit
    assert isinstance(end, results.End) and end.complete
    processes = [one for one in records if isinstance(one, results.Process)]
    assert {one.role for one in processes} == {"backends", "discovery", "proxies", "callers", "proxy"}
    assert all(one.memory_end > 1_000_000 and one.span_s >= 2.4 for one in processes)
    calls = results.single_record(records, results.Calls)
    assert calls.planned == sum(calls.outcomes.values()) > 60
    assert calls.outcomes["served"] > 0 and set(calls.latency) == {"read", "order", "pay"}
    deep = [one for one in records if isinstance(one, results.Backends)]
    assert [one.service for one in deep] == [0, 1] and all(one.counts["served"] > 0 for one in deep)
    stages = results.single_record(records, results.Stages)
    assert stages.proxies == 9 and stages.histograms["whole"]["count"] > 0
    assert stages.histograms["prove"]["p50_ms"] >= 0.9  # the last byte is held back for 1 ms
    told = {one.what: one.figures for one in records if isinstance(one, results.Event)}
    change = told["in force: change"]  # one entry of each service
    assert change["versions"] == 2 and change["told"] + change["never"] == 4 + 6 and change["told"] > 0
    assert {"in force: restart: back", "in force: outage: change", "the regions are healed"} <= set(told)
    assert results.single_record(records, results.Control).desks == 10
    assert not alive(records)


def test_an_interrupt_ends_all_and_keeps_what_was_measured(tmp_path: Path) -> None:
    path = tmp_path / "small.jsonl"

    def report(text: str, share: float) -> None:
        if text == "measuring":
            os.kill(os.getpid(), signal.SIGINT)

    text = SMALL.replace("duration_s = 2.5", "duration_s = 300.0")
    before = signal.signal(signal.SIGINT, signal.default_int_handler)  # ignored where a shell began the tests
    try:
        assert not run(parse(text), path, report)
    finally:
        signal.signal(signal.SIGINT, before)
    records = results.read(path)
    end = results.single_record(records, results.End)
    assert not end.complete and end.why == "interrupted"
    assert results.single_record(records, results.Control).desks == 10
    assert len([one for one in records if isinstance(one, results.Process)]) >= 5
    assert not alive(records)


def test_the_command_writes_results_and_prints_them(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    source = tmp_path / "tiny.toml"
    source.write_text(
        'name = "tiny"\nseed = 1\nduration_s = 0.3\nsettle_s = 0.0\n[callers]\nrate_per_s = 30.0\n'
    )
    assert app(["run", str(source), "--out", str(tmp_path)], result_action="return_value") == 0
    said = capsys.readouterr().out
    assert "tiny: complete" in said and "served" in said and "added by the proxy" in said
    assert results.single_record(results.read(tmp_path / "tiny.jsonl"), results.End).complete


def test_the_proxy_and_the_simulators_adapter_import_nothing_of_it() -> None:
    code = "import sys, granitepoint.__main__, granitepoint.benchlink; print(*sorted(sys.modules))"
    loaded = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout
    mine = ("granitepoint.fleet", "granitepoint.modelcheck")
    for name in (*mine, "hypothesis", "msgspec", "numpy", "hdrh", "psutil", "rich", "cyclopts"):
        assert name not in loaded.split()
