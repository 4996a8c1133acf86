"""Experiments: files, versions, what is played again, paired differences, and the report."""

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
from granitepoint.emulator.tally import Total
from granitepoint.experiments import page, paired, plan, play, versions
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
FILE = """
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
    (tmp_path / "pair.toml").write_text(FILE)
    return tmp_path


def cells(folder: Path, text: str = FILE) -> list[plan.Cell]:
    return plan.cells(plan.check(msgspec.toml.decode(text, type=plan.Experiment)), folder)


def total(worth: float = 1.0, **changes: float) -> Total:
    zero = dict.fromkeys(("in_time", "late", "refused", "failed", "timed_out", "left"), 0)
    return Total(
        requests=1, ends=zero, in_time_share=worth, worth_served=worth, worst_10_s=worth,
        tries_per_request=1.0, attempts_per_request=1.0, calls=1, work_offered=1.0, work_done=1.0,
        wasted=0.0, chokes=0, steps=1, breaks={},
    )  # fmt: skip


def test_variants_are_crossed_with_days_and_seeds(folder: Path) -> None:
    found = cells(folder)
    assert [(c.variant, c.day, c.seed) for c in found] == [
        ("now", "small", 1), ("slow", "small", 1), ("now", "small", 2), ("slow", "small", 2),
    ]  # fmt: skip
    assert [(c.played.tiers[0].speed, c.played.seed) for c in found] == [(1, 1), (0.6, 1), (1, 2), (0.6, 2)]
    assert [c.seed for c in cells(folder, FILE.replace("seeds = 2", "seeds = [7, 9]"))] == [7, 7, 9, 9]


@pytest.mark.parametrize("old, new, fault", [
    ("seeds = 2", "seeds = 0", "seeds: there is none"),
    ("seeds = 2", "seeds = [3, 3]", "seeds: one stands twice"),
    ("seeds = 2", "sedes = 2", "unknown field `sedes`"),
    ('name = "slow"', 'name = "now"', "variants: two have one name"),
    ('name = "slow"', 'name = "a/b"', "variants[1].name: 60 letters"),
    ("tiers.0.speed", "tiers.1.speed", "tiers.1.speed: no such setting of a day"),
    ("tiers.0.speed", "tiers.0.sped", "tiers.0.sped: no such setting of a day"),
    ("0.6", "-1", "variant slow, day small: tiers[0].speed: must be above 0"),
    ("0.6", '"x"', "variant slow, day small: Expected `float`, got `str`"),
    ("small.toml", "none.toml", "No such file"),
    ('name = "slow"', 'name = "slow"\nrevision = "no-such"', "no such revision: no-such"),
    ('name = "slow"', 'name = "slow"\nrevision = "--all"', "variants[1].revision: not a revision"),
])  # fmt: skip
def test_a_file_that_cant_be_used_is_one_plain_line(
    folder: Path, capsys: pytest.CaptureFixture[str], old: str, new: str, fault: str
) -> None:
    (folder / "pair.toml").write_text(FILE.replace(old, new))
    assert main(["experiment", str(folder / "pair.toml")]) == 2
    said = capsys.readouterr().err
    assert fault in said and said.startswith("granitepoint: ") and said.count("\n") == 1


def test_a_cell_is_played_once_and_again_when_its_text_changes(
    folder: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    words = ["experiment", str(folder / "pair.toml"), "--jobs", "2"]
    assert main(words) == 0
    assert "4 cells: 0 held, 4 played, 0 failed" in capsys.readouterr().out
    (folder / "pair.toml").write_text(FILE.replace("0.6", "0.7").replace("seeds = 2", "seeds = 1"))
    assert main(words) == 0
    assert "2 cells: 1 held, 1 played, 0 failed" in capsys.readouterr().out
    assert main(["report", str(folder / "pair.sqlite")]) == 0
    html = (folder / "pair" / "index.html").read_text()
    assert "<h1>pair</h1>" in html and "work tree" in html and "too few seeds" in html
    assert (folder / "pair" / "day-0.png").read_bytes().startswith(b"\x89PNG")


def test_a_cell_that_fails_is_told_and_played_again(folder: Path, capsys: pytest.CaptureFixture[str]) -> None:
    (folder / "pair.toml").write_text("longest_s = 0.001\n" + FILE)
    words = ["experiment", str(folder / "pair.toml"), "--jobs", "4"]
    assert main(words) == 1
    said = capsys.readouterr()
    assert "0 held, 0 played, 4 failed" in said.out and "not at its end after 0.001 s" in said.err
    assert main(["report", str(folder / "pair.sqlite")]) == 2
    assert "no cell was played to its end" in capsys.readouterr().err
    (folder / "pair.toml").write_text(FILE)
    assert main(words) == 0
    assert "4 cells: 0 held, 4 played" in capsys.readouterr().out


def test_a_stop_keeps_what_has_ended(folder: Path) -> None:
    store = Store(folder / "kept.sqlite", create=True)
    read = plan.load(folder / "pair.toml")

    def stop(progress: play.Progress, result: Result) -> None:
        raise KeyboardInterrupt

    progress = play.run(read, folder, store, 1, stop)
    assert progress.stopped and progress.played == 1 and len(store.digests()) == 1
    progress = play.run(read, folder, store, 2, lambda progress, result: None)
    assert not progress.stopped and (progress.held, progress.played) == (1, 3)
    store.close()


def test_a_revision_brings_its_module_and_nothing_else(tmp_path: Path) -> None:
    """A repository of its own: the one at hand may be a copy without history."""
    root, into = tmp_path / "repo", tmp_path / "trees"
    (root / "granitepoint").mkdir(parents=True)
    (root / "deploy").mkdir()
    git = ["git", "-c", "user.name=a", "-c", "user.email=a@b", "-C", str(root)]
    files = {"logic.py": "first", "interface.py": "first", "__init__.py": "first", "other.py": "first"}
    (root / "deploy" / "balancer.toml").write_text('policy = ["granitepoint/logic.py"]\n')
    for step in ("first", "second"):
        for name in files:
            (root / "granitepoint" / name).write_text(step)
        if step == "first":
            for words in (["init", "-q"], ["add", "-A"], ["commit", "-q", "-m", "first"]):
                subprocess.run([*git, *words], check=True)
    found = versions.at_revision("HEAD", into, root)
    package = found.root / "granitepoint"
    assert {name: (package / name).read_text() for name in files} == {**files, "other.py": "second"}
    assert len(found.commit) == 40
    with pytest.raises(ExperimentError, match="no such revision: nowhere"):
        versions.at_revision("nowhere", into, root)
    with pytest.raises(ExperimentError, match="policy names no files"):
        versions.policy_files(b"policy = 3")


def test_a_cell_plays_as_the_emulator_does(folder: Path) -> None:
    (cell, *_) = cells(folder)
    played = play.Player(60.0).play(cell, versions.present())
    direct = folder / "direct.jsonl"
    assert main(["emulate", str(folder / "small.toml"), "--json", str(direct)]) == 0
    assert not played.fault and played.records == direct.read_bytes()
    assert played.total().requests > 0


def test_the_interval_by_hand() -> None:
    assert paired.interval([[2.0, 2.0], [2.0]]) == (2.0, 2.0)
    # One day of +1 and one of -1: resampled within themselves they never mix.
    assert paired.interval([[1.0] * 5, [-1.0] * 5]) == (0.0, 0.0)
    low, high = paired.interval([[0.0, 1.0] * 50])
    assert low == pytest.approx(0.40, abs=0.03) and high == pytest.approx(0.60, abs=0.03)
    with pytest.raises(ValueError, match="nothing to resample"):
        paired.interval([[], []])


@given(values=st.lists(st.floats(-100, 100), min_size=1, max_size=8), shift=st.floats(-50, 50))
def test_the_interval_lies_within_the_values_and_moves_with_them(values: list[float], shift: float) -> None:
    low, high = paired.interval([values])
    assert min(values) - 1e-9 <= low <= high <= max(values) + 1e-9
    moved = paired.interval([[value + shift for value in values]])
    assert moved == pytest.approx((low + shift, high + shift), abs=1e-6)


def test_differences_are_of_the_same_day_and_seed() -> None:
    totals = {("a", "d", n): total(0.5 + 0.1 * n) for n in range(5)}
    totals |= {("b", "d", n): total(0.52 + 0.1 * n) for n in range(5)}
    totals |= {("b", "d", 9): total(0.0)}  # without its pair
    rows = {row.figure: row for row in paired.differences(totals, "a", ["a", "b"])}
    worth = rows["worth served"]
    assert (worth.variant, worth.pairs, worth.fewest) == ("b", 5, 5)
    assert worth.mean == pytest.approx(2.0) and worth.base == pytest.approx(70.0)
    assert worth.verdict == "told apart" and rows["tries"].verdict == ""
    del totals["a", "d", 0]
    rows = {row.figure: row for row in paired.differences(totals, "a", ["a", "b"])}
    assert rows["worth served"].verdict == "too few seeds"


def test_means_are_of_each_day_and_variant() -> None:
    worth = {("b", "d", 1): 0.5, ("b", "d", 2): 0.7, ("a", "d", 1): 0.9, ("a", "c", 1): 1.0}
    rows = paired.means({key: total(value) for key, value in worth.items()}, ["a", "b"])
    assert [row[:3] for row in rows] == [("c", "a", 1), ("d", "a", 1), ("d", "b", 2)]
    served = [row[3][list(paired.FIGURES).index("worth served")] for row in rows]
    assert served == pytest.approx([100.0, 90.0, 60.0])


def test_the_good_and_the_bad_one_of_a_day() -> None:
    worth = {"a1": 0.9, "b1": 0.8, "a2": 0.5, "b2": 0.7, "b3": 0.0}
    totals = {(key[0], "d", int(key[1])): total(value) for key, value in worth.items()}
    assert page.choose(totals, "a", "d") == (("b", "d", 2), ("a", "d", 2))
    alone = {key: value for key, value in totals.items() if key[0] == "b"}
    assert page.choose(alone, "a", "d") == (("b", "d", 1), ("b", "d", 3))
    assert page.choose({("a", "d", 1): total()}, "a", "d") is None


def test_a_file_that_holds_no_results_is_refused(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    (tmp_path / "text").write_text("no database, but text that is long enough to be looked at")
    (tmp_path / "empty").touch()
    for name, fault in (("none", "no such file"), ("text", "not a database"), ("empty", "no such table")):
        assert main(["report", str(tmp_path / name)]) == 2
        said = capsys.readouterr().err
        assert fault in said and said.count("\n") == 1
    store = Store(tmp_path / "new", create=True)
    store.say("format", "9")
    store.close()
    with pytest.raises(StoreError, match="in another format: 9"):
        Store(tmp_path / "new")


def test_samples_tell_where_the_instances_stand(folder: Path) -> None:
    (cell, *_) = cells(folder)
    played = play.Player(60.0).play(cell, versions.present())
    lines = [json.loads(line) for line in played.records.splitlines()]
    samples = [line for line in lines if line["type"] == "sample"]
    assert [line["at_s"] for line in samples] == [1.0, 2.0, 3.0, 4.0, 5.0, 6.0]
    assert all(line["instances"] == 2 and line["window"] > 0 for line in samples)
    windows = [line for line in lines if line["type"] == "window"]
    assert [line["offered"] for line in windows] == [line["offered_by"]["read"] for line in windows]
    assert [line["ends"]["in_time"] for line in windows] == [line["in_time_by"]["read"] for line in windows]


def test_the_example_of_the_readme_is_an_experiment() -> None:
    path = ROOT / "experiments" / "compare" / "release-load.toml"
    assert {cell.day for cell in plan.cells(plan.load(path), path.parent)} == {"roll"}
    assert days.load(ROOT / "experiments" / "days" / "roll.toml").name == "roll"
