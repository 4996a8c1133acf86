"""Experiments: files, module versions, reuse of stored results, paired differences, and the report."""

from __future__ import annotations

import json
import subprocess
from pathlib import Path

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from netkit import ROOT

from granitepoint.cli import main
from granitepoint.emulator import day as days
from granitepoint.emulator.statistics import Total
from granitepoint.experiments import comparison, page, plan, play, versions
from granitepoint.experiments.store import Result, Store, StoreError
from granitepoint.fleet.experiment import ExperimentError

DAY = """
name = "small"
duration_s = 6.0
[traffic]
rate_per_s = 20.0
[[tiers]]
name = "one"
servers = 2
[[classes]]
name = "read"
share = 1.0
work_ms = 20.0
aim_ms = 300.0
deadline_ms = 900.0
"""
EXPERIMENT = """
name = "pair"
days = ["small.toml"]
seeds = 2
[[variants]]
name = "now"
[[variants]]
name = "slow"
set = { "tiers.0.speed" = 0.6 }
"""


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    (tmp_path / "small.toml").write_text(DAY)
    (tmp_path / "pair.toml").write_text(EXPERIMENT)
    return tmp_path


def expand(folder: Path, text: str = EXPERIMENT) -> list[plan.Cell]:
    return plan.expand_cells(plan.check(msgspec.toml.decode(text, type=plan.Experiment)), folder)


def total(worth_served: float = 1.0, **changes: float) -> Total:
    zero_counts = dict.fromkeys(("in_time", "late", "refused", "failed", "timed_out", "left"), 0)
    return Total(
        requests=1, ends=zero_counts, in_time_share=worth_served, worth_served=worth_served,
        worst_10_s=worth_served, tries_per_request=1.0, attempts_per_request=1.0, calls=1, work_offered=1.0,
        work_done=1.0, wasted=0.0, chokes=0, steps=1, breaks={},
    )  # fmt: skip


def test_variants_are_crossed_with_days_and_seeds(folder: Path) -> None:
    found = expand(folder)
    assert [(c.variant, c.day, c.seed) for c in found] == [
        ("now", "small", 1), ("slow", "small", 1), ("now", "small", 2), ("slow", "small", 2),
    ]  # fmt: skip
    assert [(c.configured_day.tiers[0].speed, c.configured_day.seed) for c in found] == [
        (1, 1),
        (0.6, 1),
        (1, 2),
        (0.6, 2),
    ]
    assert [c.seed for c in expand(folder, EXPERIMENT.replace("seeds = 2", "seeds = [7, 9]"))] == [7, 7, 9, 9]


@pytest.mark.parametrize("old, new, message", [
    ("seeds = 2", "seeds = 0", "seeds: at least one is required"),
    ("seeds = 2", "seeds = [3, 3]", "seeds: must be unique"),
    ("seeds = 2", "sedes = 2", "unknown field `sedes`"),
    ('name = "slow"', 'name = "now"', "variants: names must be unique"),
    ('name = "slow"', 'name = "a/b"', "variants[1].name: must be 1 to 60 letters"),
    ("tiers.0.speed", "tiers.1.speed", "tiers.1.speed: a day has no such setting"),
    ("tiers.0.speed", "tiers.0.sped", "tiers.0.sped: a day has no such setting"),
    ("0.6", "-1", "variant slow, day small: tiers[0].speed: must be above 0"),
    ("0.6", '"x"', "variant slow, day small: Expected `float`, got `str`"),
    ("small.toml", "none.toml", "No such file"),
    ('name = "slow"', 'name = "slow"\nrevision = "no-such"', "no such revision: no-such"),
    ('name = "slow"', 'name = "slow"\nrevision = "--all"', "variants[1].revision: must not start with -"),
])  # fmt: skip
def test_an_invalid_file_gives_a_one_line_error(
    folder: Path, capsys: pytest.CaptureFixture[str], old: str, new: str, message: str
) -> None:
    (folder / "pair.toml").write_text(EXPERIMENT.replace(old, new))
    assert main(["experiment", str(folder / "pair.toml")]) == 2
    stderr = capsys.readouterr().err
    assert message in stderr and stderr.startswith("granitepoint: ") and stderr.count("\n") == 1


def test_a_stored_result_is_reused_until_the_settings_of_its_cell_change(
    folder: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    arguments = ["experiment", str(folder / "pair.toml"), "--jobs", "2"]
    assert main(arguments) == 0
    assert "4 cells: 0 held, 4 played, 0 failed" in capsys.readouterr().out
    (folder / "pair.toml").write_text(EXPERIMENT.replace("0.6", "0.7").replace("seeds = 2", "seeds = 1"))
    assert main(arguments) == 0
    assert "2 cells: 1 held, 1 played, 0 failed" in capsys.readouterr().out
    assert main(["report", str(folder / "pair.sqlite")]) == 0
    html = (folder / "pair" / "index.html").read_text()
    assert "<h1>pair</h1>" in html and "work tree" in html and "too few seeds" in html
    assert (folder / "pair" / "day-0.png").read_bytes().startswith(b"\x89PNG")


def test_a_cell_that_fails_is_reported_and_run_again(
    folder: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (folder / "pair.toml").write_text("longest_s = 0.001\n" + EXPERIMENT)
    arguments = ["experiment", str(folder / "pair.toml"), "--jobs", "4"]
    assert main(arguments) == 1
    output = capsys.readouterr()
    assert "0 held, 0 played, 4 failed" in output.out and "not at its end after 0.001 s" in output.err
    assert main(["report", str(folder / "pair.sqlite")]) == 2
    assert "no cell ran to its end without an error" in capsys.readouterr().err
    (folder / "pair.toml").write_text(EXPERIMENT)
    assert main(arguments) == 0
    assert "4 cells: 0 held, 4 played" in capsys.readouterr().out


def test_an_interrupt_keeps_the_results_of_cells_that_have_ended(folder: Path) -> None:
    store = Store(folder / "kept.sqlite", create=True)
    experiment = plan.load(folder / "pair.toml")

    def interrupt(progress: play.Progress, result: Result) -> None:
        raise KeyboardInterrupt

    progress = play.run(experiment, folder, store, 1, interrupt)
    assert progress.interrupted and progress.finished == 1 and len(store.digests()) == 1
    progress = play.run(experiment, folder, store, 2, lambda progress, result: None)
    assert not progress.interrupted and (progress.reused, progress.finished) == (1, 3)
    store.close()


def test_a_revision_replaces_the_decision_module_and_nothing_else(tmp_path: Path) -> None:
    """Uses a repository of its own, because this source tree may be a copy without git history."""
    root, trees = tmp_path / "repo", tmp_path / "trees"
    (root / "granitepoint").mkdir(parents=True)
    (root / "deploy").mkdir()
    git = ["git", "-c", "user.name=a", "-c", "user.email=a@b", "-C", str(root)]
    files = {"logic.py": "first", "interface.py": "first", "__init__.py": "first", "other.py": "first"}
    (root / "deploy" / "balancer.toml").write_text('policy = ["granitepoint/logic.py"]\n')
    for step in ("first", "second"):
        for name in files:
            (root / "granitepoint" / name).write_text(step)
        if step == "first":
            for arguments in (["init", "-q"], ["add", "-A"], ["commit", "-q", "-m", "first"]):
                subprocess.run([*git, *arguments], check=True)
    found = versions.version_at_revision("HEAD", trees, root)
    package = found.root / "granitepoint"
    assert {name: (package / name).read_text() for name in files} == {**files, "other.py": "second"}
    assert len(found.commit) == 40
    with pytest.raises(ExperimentError, match="no such revision: nowhere"):
        versions.version_at_revision("nowhere", trees, root)
    with pytest.raises(ExperimentError, match="policy must be a list of file names"):
        versions.policy_files(b"policy = 3")


def test_a_cell_gives_the_same_records_as_the_emulator_command(folder: Path) -> None:
    (cell, *_) = expand(folder)
    result = play.CellRunner(60.0).run_cell(cell, versions.work_tree_version())
    direct = folder / "direct.jsonl"
    assert main(["emulate", str(folder / "small.toml"), "--json", str(direct)]) == 0
    assert not result.fault and result.records == direct.read_bytes()
    assert result.total().requests > 0


def test_the_bootstrap_interval_of_known_values() -> None:
    assert comparison.bootstrap_interval([[2.0, 2.0], [2.0]]) == (2.0, 2.0)
    # One day of +1 and one of -1: each is resampled on its own, so the mean is always 0.
    assert comparison.bootstrap_interval([[1.0] * 5, [-1.0] * 5]) == (0.0, 0.0)
    low, high = comparison.bootstrap_interval([[0.0, 1.0] * 50])
    assert low == pytest.approx(0.40, abs=0.03) and high == pytest.approx(0.60, abs=0.03)
    with pytest.raises(ValueError, match="no values to resample"):
        comparison.bootstrap_interval([[], []])


@given(values=st.lists(st.floats(-100, 100), min_size=1, max_size=8), shift=st.floats(-50, 50))
def test_the_bootstrap_interval_lies_within_the_values_and_shifts_with_them(
    values: list[float], shift: float
) -> None:
    low, high = comparison.bootstrap_interval([values])
    assert min(values) - 1e-9 <= low <= high <= max(values) + 1e-9
    shifted = comparison.bootstrap_interval([[value + shift for value in values]])
    assert shifted == pytest.approx((low + shift, high + shift), abs=1e-6)


def test_differences_are_paired_by_day_and_seed() -> None:
    totals = {("a", "d", n): total(0.5 + 0.1 * n) for n in range(5)}
    totals |= {("b", "d", n): total(0.52 + 0.1 * n) for n in range(5)}
    totals |= {("b", "d", 9): total(0.0)}  # the baseline has no such seed
    rows = {row.figure: row for row in comparison.differences(totals, "a", ["a", "b"])}
    difference = rows["worth served"]
    assert (difference.variant, difference.pairs, difference.min_pairs_per_day) == ("b", 5, 5)
    assert difference.mean == pytest.approx(2.0) and difference.base == pytest.approx(70.0)
    assert difference.verdict == "told apart" and rows["tries"].verdict == ""
    del totals["a", "d", 0]
    rows = {row.figure: row for row in comparison.differences(totals, "a", ["a", "b"])}
    assert rows["worth served"].verdict == "too few seeds"


def test_means_are_grouped_by_day_and_variant() -> None:
    worth_served = {("b", "d", 1): 0.5, ("b", "d", 2): 0.7, ("a", "d", 1): 0.9, ("a", "c", 1): 1.0}
    rows = comparison.means({key: total(value) for key, value in worth_served.items()}, ["a", "b"])
    assert [row[:3] for row in rows] == [("c", "a", 1), ("d", "a", 1), ("d", "b", 2)]
    served = [row[3][list(comparison.FIGURES).index("worth served")] for row in rows]
    assert served == pytest.approx([100.0, 90.0, 60.0])


def test_the_plotted_cells_are_the_most_different_pair_or_the_best_and_the_worst() -> None:
    worth_served = {"a1": 0.9, "b1": 0.8, "a2": 0.5, "b2": 0.7, "b3": 0.0}
    totals = {(key[0], "d", int(key[1])): total(value) for key, value in worth_served.items()}
    assert page.choose_cells(totals, "a", "d") == (("b", "d", 2), ("a", "d", 2))
    without_baseline = {key: value for key, value in totals.items() if key[0] == "b"}
    assert page.choose_cells(without_baseline, "a", "d") == (("b", "d", 1), ("b", "d", 3))
    assert page.choose_cells({("a", "d", 1): total()}, "a", "d") is None


def test_a_file_without_results_is_rejected(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    (tmp_path / "text").write_text("no database, but text that is long enough to be looked at")
    (tmp_path / "empty").touch()
    for name, message in (("none", "no such file"), ("text", "not a database"), ("empty", "no such table")):
        assert main(["report", str(tmp_path / name)]) == 2
        stderr = capsys.readouterr().err
        assert message in stderr and stderr.count("\n") == 1
    store = Store(tmp_path / "new", create=True)
    store.set_metadata("format", "9")
    store.close()
    with pytest.raises(StoreError, match="unsupported results format: 9"):
        Store(tmp_path / "new")


def test_samples_and_windows_describe_the_instances_and_the_classes(folder: Path) -> None:
    (cell, *_) = expand(folder)
    result = play.CellRunner(60.0).run_cell(cell, versions.work_tree_version())
    lines = [json.loads(line) for line in result.records.splitlines()]
    samples = [line for line in lines if line["type"] == "sample"]
    assert [line["at_s"] for line in samples] == [1.0, 2.0, 3.0, 4.0, 5.0, 6.0]
    assert all(line["instances"] == 2 and line["window"] > 0 for line in samples)
    windows = [line for line in lines if line["type"] == "window"]
    assert [line["offered"] for line in windows] == [line["offered_by"]["read"] for line in windows]
    assert [line["ends"]["in_time"] for line in windows] == [line["in_time_by"]["read"] for line in windows]


def test_the_example_in_the_readme_is_a_valid_experiment() -> None:
    path = ROOT / "experiments" / "compare" / "release-load.toml"
    assert {cell.day for cell in plan.expand_cells(plan.load(path), path.parent)} == {"roll"}
    assert days.load(ROOT / "experiments" / "days" / "roll.toml").name == "roll"
