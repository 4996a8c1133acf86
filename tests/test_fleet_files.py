"""Experiment files, plans, result files and least-squares fits of the fleet."""

from __future__ import annotations

import re
from pathlib import Path

import msgspec
import pytest

from granitepoint.emulator import day as emulator_days
from granitepoint.experiments import plan
from granitepoint.fleet import results, slopes
from granitepoint.fleet.__main__ import app
from granitepoint.fleet.experiment import Experiment, ExperimentError, check, load, parse
from granitepoint.fleet.fit import fit_line, fit_plane
from granitepoint.fleet.measure import Histogram
from granitepoint.fleet.plan import make_plan
from granitepoint.fleet.troubles import TrackedVersion, time_until_applied

ROOT = Path(__file__).parent.parent
REQUIRED = 'name = "x"\nseed = 1\nduration_s = 5.0\n'


@pytest.mark.parametrize("path", sorted((ROOT / "experiments").rglob("*.toml")), ids=lambda path: path.stem)
def test_every_committed_experiment_is_read(path: Path) -> None:
    """Files in days/ are for the emulator, those in compare/ combine days with variants."""
    if path.parent.name == "compare":
        comparison = plan.load(path)
        assert comparison.name == path.stem and plan.expand_cells(comparison, path.parent)
    else:
        loaded = emulator_days.load(path) if path.parent.name == "days" else load(path)
        assert loaded.name == path.stem


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("seed = 1\n", "name"),
        (REQUIRED + "colour = 1\n", "colour"),
        (REQUIRED + "[backends]\ncuont = 3\n", "cuont"),
        (REQUIRED + "[backends]\ncount = 'many'\n", "backends.count"),
        (REQUIRED + "[backends]\ncount = 0\n", "backends.count"),
        (REQUIRED + "[backends]\nfanout = 2\n", "backends.fanout"),  # no effect with one service
        (REQUIRED + "[backends]\nregions = [['a']]\n", "backends.regions"),
        (REQUIRED + "[proxies]\ntimed = true\n", "proxies.timed"),  # no effect without hollow proxies
        (REQUIRED + "[proxies]\nreal = 0\n", "proxies"),
        (REQUIRED + "[callers]\nmix = { raed = 1.0 }\n", "callers.mix.raed"),
        (
            REQUIRED + "[callers]\nrate_per_s = 0\nmix = { read = 1.0 }\n",
            "callers.mix",
        ),  # no effect without calls
        (REQUIRED + "[settings]\nquantom = 0.1\n", "settings.quantom"),
        (REQUIRED + "[settings.contract]\nclod = 1.0\n", "settings.contract.clod"),
        (REQUIRED + "[settings]\nquantum = -1.0\n", "quantum"),
        (REQUIRED + "[[troubles]]\nkind = 'fire'\nat_s = 1.0\n", "fire"),
        (
            REQUIRED + "[[troubles]]\nkind = 'change'\nat_s = 1.0\nfor_s = 2.0\n",
            "for_s",  # not a key of this kind of fault
        ),
        (REQUIRED + "[[troubles]]\nkind = 'change'\nat_s = 9.0\n", "troubles[0].at_s"),
        (
            REQUIRED + "[[troubles]]\nkind = 'zone_loss'\nat_s = 1.0\nfor_s = 2.0\nzone = 'q'\n",
            "troubles[0].zone",
        ),
        (REQUIRED + "[[troubles]]\nkind = 'region_cut'\nat_s = 1.0\nfor_s = 2.0\n", "troubles[0].kind"),
        (
            REQUIRED + "[[troubles]]\nkind = 'crash'\nat_s = 1.0\nfor_s = 2.0\ncount = 99\n",
            "troubles[0].count",
        ),
        ("name = ", "Invalid value"),
    ],
)
def test_an_invalid_file_gives_a_one_line_error_that_names_the_key(
    text: str, expected: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "bad.toml"
    path.write_text(text)
    assert app(["run", str(path), "--out", str(tmp_path)], result_action="return_value") == 2
    stderr = capsys.readouterr().err
    assert expected in stderr and str(path) in stderr and stderr.count("\n") == 1
    with pytest.raises(ExperimentError):
        parse(text)


def test_a_missing_file_or_an_unknown_series_is_an_error(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert app(["run", "nowhere.toml", "--out", str(tmp_path)], result_action="return_value") == 2
    assert app(["slopes", "--out", str(tmp_path), "--only", "colours"], result_action="return_value") == 2
    assert re.search(r"nowhere\.toml.*\n.*colours", capsys.readouterr().err)


def test_a_plan_gives_each_its_own_loopback_address_and_each_backend_of_a_chain_its_proxy() -> None:
    text = '[backends]\ncount = 300\nservices = 3\nzones = ["a", "b", "c"]\nregions = [["a", "b"], ["c"]]\n'
    plan = make_plan(parse(REQUIRED + text + "[proxies]\nreal = 2\nhollow = 5\n"))
    hosts = [host for backend in plan.backends for host in backend.hosts]
    hosts += [proxy.host for proxy in plan.proxies]
    assert len(set(hosts)) == len(hosts) == 2 * 900 + 7 + 600
    assert all(host.startswith("127.") and max(map(int, host.split("."))) < 256 for host in hosts)
    backend_proxies = [proxy for proxy in plan.proxies if proxy.of_backend]
    assert {proxy.service for proxy in backend_proxies} == {1, 2} and len(
        {proxy.of_backend for proxy in backend_proxies}
    ) == 600
    assert {proxy.region for proxy in plan.proxies if proxy.zone == "c"} == {1}


def test_results_are_read_as_written_and_a_malformed_line_is_named(tmp_path: Path) -> None:
    path = tmp_path / "deep" / "r.jsonl"
    writer = results.Writer(path)
    records: list[results.AnyRecord] = [
        results.Event(at_s=1.5, what="a change", figures={"told": 3}),
        results.Process(
            role="proxy", name="n", pid=1, holds=1, span_s=2.0, cpu_s=0.5, memory_begin=1, memory_end=2
        ),
        results.End(complete=False, why="interrupted"),
    ]
    for record in records:
        writer.write(record)
    assert results.read(path) == records  # also before the file is closed
    writer.close()
    assert results.single_record(records, results.Process).cores == 0.25
    with pytest.raises(results.ResultsError, match="0 records of kind calls"):
        results.single_record(records, results.Calls)
    path.write_bytes(path.read_bytes() + b'{"type":"process"}\n')
    with pytest.raises(results.ResultsError, match=r"r\.jsonl:4: .*role"):
        results.read(path)


def test_histograms_are_merged_and_packed_without_loss() -> None:
    one, two = Histogram(), Histogram()
    for number in range(1, 1001):
        (one if number % 2 else two).add(number / 1000)
    two.merge(Histogram(one.encode()))
    assert two.count == 1000 and two.percentile(99) == pytest.approx(0.99, rel=2e-3)
    assert two.summary()["p50_ms"] == pytest.approx(500, rel=2e-3)
    assert Histogram().summary()["p99_ms"] == 0.0


def test_a_line_through_points_has_its_slope_base_and_residual() -> None:
    line = fit_line([(110, 12.0), (220, 23.0), (440, 45.0), (880, 89.0)])
    assert [line.slope, line.base] == pytest.approx([0.1, 1.0])
    assert line.residual == pytest.approx(0.0, abs=1e-9) and line.at(1000) == pytest.approx(101.0)
    zigzag = fit_line([(0, 0.0), (1, 1.0), (2, 0.0), (3, 1.0)])
    assert zigzag.slope == pytest.approx(0.2) and zigzag.residual == pytest.approx(0.2**0.5)
    assert zigzag.relative_residual == pytest.approx(0.2**0.5)
    with pytest.raises(ValueError, match="different x"):
        fit_line([(1, 1.0), (1, 2.0)])


def test_the_costs_of_calls_and_probes_are_separated() -> None:
    rows = [(1.0, float(rate), probes) for rate, probes in ((10, 0.5), (10, 20.0), (40, 2.0), (40, 90.0))]
    weights, residual = fit_plane(rows, [0.01 + 0.001 * rate + 0.0002 * probes for _, rate, probes in rows])
    assert weights == pytest.approx([0.01, 0.001, 0.0002]) and residual == pytest.approx(0.0, abs=1e-9)
    with pytest.raises(ValueError, match="can't be determined"):
        fit_plane([(1.0, 2.0), (2.0, 4.0)], [1.0, 2.0])


@pytest.mark.parametrize("name", [name for name, make in slopes.SERIES.items() if make is not None])
def test_every_series_has_four_sizes_of_a_valid_experiment(name: str) -> None:
    make = slopes.SERIES[name]
    assert make is not None
    series = make()
    assert len({size for size, _ in series.sizes}) >= 4
    for _, experiment in series.sizes:
        plain = msgspec.to_builtins(experiment)
        assert check(experiment) == msgspec.convert(plain, Experiment)
    names = [experiment.name for _, experiment in series.sizes]
    assert len(set(names)) == len(names)


def test_a_series_is_run_read_and_fitted(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def fake_run(experiment: Experiment, path: Path) -> bool:
        writer = results.Writer(path)
        rate = experiment.callers.rate_per_s
        cpu_seconds = 0.1 + rate / 100
        writer.write(
            results.Process(
                role="proxy",
                name="n",
                pid=1,
                holds=1,
                span_s=10.0,
                cpu_s=cpu_seconds,
                memory_begin=1,
                memory_end=2,
            )
        )
        figures = {"p50_ms": 1.0, "p99_ms": 2.0, "p99.9_ms": 3.0}
        writer.write(
            results.Calls(
                planned=1, tries=1, outcomes={}, by_zone={}, worst_second={}, latency={}, added=figures,
                late_sends=figures, front_looks=0, by_second=[],
            )
        )  # fmt: skip
        names = [field for field in results.Control.__struct_fields__ if field != "calls_by_100ms"]
        writer.write(results.Control(**dict.fromkeys(names, 10), calls_by_100ms={}))
        writer.close()
        return True

    monkeypatch.setattr(slopes, "run", fake_run)
    assert slopes.run_series("rate", tmp_path, lambda text, fraction_done: None)
    lines = {line.figure: line for line in slopes.read_lines(tmp_path)}
    assert lines["cores of a real proxy"].slope == pytest.approx(0.001)
    assert lines["cores of a real proxy"].base == pytest.approx(0.01)
    assert lines["added by a real proxy, 99"].points[0] == (10.0, 2.0)
    monkeypatch.setattr(slopes, "run", lambda experiment, path: False)  # interrupted
    assert not slopes.run_series("depth", tmp_path, lambda text, fraction_done: None)
    assert not (tmp_path / "lines-depth.jsonl").exists()


def test_state_is_counted_for_each_backend_call_and_id(tmp_path: Path) -> None:
    assert slopes.run_series("state", tmp_path, lambda text, fraction_done: None)
    lines = slopes.read_lines(tmp_path)
    assert [line.per for line in lines] == ["backend", "open call", "remembered id"]
    assert all(50 < line.slope < 20_000 for line in lines)


def test_a_change_is_in_force_with_the_first_list_of_its_version_or_a_later_one() -> None:
    tracked = TrackedVersion("change", 0, version=5, counted_from=100.0, zones=frozenset("a"))
    assert time_until_applied(tracked, {4: 99.0, 6: 100.5, 7: 101.0}) == 0.5
    assert time_until_applied(tracked, {5: 99.9}) == 0.0 and time_until_applied(tracked, {4: 101.0}) is None
    assert (
        time_until_applied(tracked, {5: 103.0}, [90.0, 102.0, 104.0]) == 1.0
    )  # the proxy was down until 102
