"""Runs of a small fleet with real and hollow proxies, faults and an interrupt.

The interrupt is sent when the run reports that it is measuring, not after a fixed time.
"""

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

SMALL_FLEET = """
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
FAULTS = """
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


def running_pids(records: list[results.AnyRecord]) -> list[int]:
    return [
        record.pid
        for record in records
        if isinstance(record, results.Process) and psutil.pid_exists(record.pid)
    ]


def test_a_small_fleet_serves_through_faults_and_ends_its_processes(tmp_path: Path) -> None:
    path = tmp_path / "small.jsonl"
    assert run(parse(SMALL_FLEET + FAULTS), path)
    records = results.read(path)
    begin, end = records[0], records[-1]
    assert isinstance(begin, results.Begin) and begin.experiment["seed"] == 3
    assert begin.machine["cores"] == os.cpu_count() and begin.commit
    assert isinstance(end, results.End) and end.complete
    processes = [record for record in records if isinstance(record, results.Process)]
    assert {record.role for record in processes} == {"backends", "discovery", "proxies", "callers", "proxy"}
    assert all(record.memory_end > 1_000_000 and record.span_s >= 2.4 for record in processes)
    calls = results.single_record(records, results.Calls)
    assert calls.planned == sum(calls.outcomes.values()) > 60
    assert calls.outcomes["served"] > 0 and set(calls.latency) == {"read", "order", "pay"}
    backend_records = [record for record in records if isinstance(record, results.Backends)]
    assert [record.service for record in backend_records] == [0, 1] and all(
        record.counts["served"] > 0 for record in backend_records
    )
    stages = results.single_record(records, results.Stages)
    assert stages.proxies == 9 and stages.histograms["whole"]["count"] > 0
    assert stages.histograms["prove"]["p50_ms"] >= 0.9  # the last byte is held back for 1 ms
    events = {record.what: record.figures for record in records if isinstance(record, results.Event)}
    change = events["in force: change"]  # one entry of each of the two services
    assert change["versions"] == 2 and change["told"] + change["never"] == 4 + 6 and change["told"] > 0
    assert {"in force: restart: back", "in force: outage: change", "the regions are healed"} <= set(events)
    assert results.single_record(records, results.Control).desks == 10
    assert not running_pids(records)


def test_an_interrupt_ends_all_processes_and_keeps_what_was_measured(tmp_path: Path) -> None:
    path = tmp_path / "small.jsonl"

    def interrupt_when_measuring(text: str, fraction_done: float) -> None:
        if text == "measuring":
            os.kill(os.getpid(), signal.SIGINT)

    text = SMALL_FLEET.replace("duration_s = 2.5", "duration_s = 300.0")
    # SIGINT is ignored where a shell has started the tests in the background.
    previous_handler = signal.signal(signal.SIGINT, signal.default_int_handler)
    try:
        assert not run(parse(text), path, interrupt_when_measuring)
    finally:
        signal.signal(signal.SIGINT, previous_handler)
    records = results.read(path)
    end = results.single_record(records, results.End)
    assert not end.complete and end.why == "interrupted"
    assert results.single_record(records, results.Control).desks == 10
    assert len([record for record in records if isinstance(record, results.Process)]) >= 5
    assert not running_pids(records)


def test_the_command_writes_results_and_prints_them(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    source = tmp_path / "tiny.toml"
    source.write_text(
        'name = "tiny"\nseed = 1\nduration_s = 0.3\nsettle_s = 0.0\n[callers]\nrate_per_s = 30.0\n'
    )
    assert app(["run", str(source), "--out", str(tmp_path)], result_action="return_value") == 0
    output = capsys.readouterr().out
    assert "tiny: complete" in output and "served" in output and "added by the proxy" in output
    assert results.single_record(results.read(tmp_path / "tiny.jsonl"), results.End).complete


def test_the_proxy_and_the_simulator_adapter_import_nothing_of_the_fleet() -> None:
    code = "import sys, granitepoint.__main__, granitepoint.simulator_adapter; print(*sorted(sys.modules))"
    loaded_modules = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    ).stdout
    own_packages = ("granitepoint.fleet", "granitepoint.modelcheck")
    for name in (*own_packages, "hypothesis", "msgspec", "numpy", "hdrh", "psutil", "rich", "cyclopts"):
        assert name not in loaded_modules.split()
