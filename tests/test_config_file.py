"""Verifies that the schema of the configuration file, `check` and `run` agree on any JSON content."""

from __future__ import annotations

import ast
import copy
import json
import math
import re
import tempfile
from collections.abc import Callable
from functools import reduce
from typing import Any

import msgspec
import pytest
from hypothesis import HealthCheck, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from netkit import ROOT, config, endpoint, listing

from granitepoint.cli import schema
from granitepoint.cli.check import DOUBTFUL, NO_EFFECT, OUT_OF_RANGE, UNKNOWN, check_content
from granitepoint.interface import Effect, Settings
from granitepoint.net.config import Config, ConfigError, load
from granitepoint.net.listing import read_listing
from granitepoint.simulator_adapter import REPORT_CHANNELS, WEIGHT_MEANINGS

PROPERTY_TEST = hypothesis_settings(
    max_examples=100, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck)
)


def complete_file() -> dict[str, Any]:
    """Returns the content of a file that has every key of the schema."""
    raw = config("127.0.0.1:9", listing(1, endpoint("b0", "127.0.0.1:9")), "127.0.0.1:8")
    raw["settings"] |= {
        "tenants": [{"name": "t", "quota_rps": 4.0, "portion": 0.5}, {"name": "u", "quota_rps": 0}],
        "kinds": ["m"], "weights": "off", "worth_by": "work", "over_share_worth": 0.5, "family": "chain",
        "callers": {"marks_retry": True}, "specifics": {"passes_deadline": False, "warm_keys": False},
        "objective_mix": {"whole": 0.5, "worst_window": 0.5, "worst_class": 0, "worst_tenant": 0},
        "charges": {key: 0.1 for key in schema.Charges.__struct_fields__},
    }  # fmt: skip
    raw["settings"]["policy_limits"] |= {"peers": False, "streams_per_conn": 1, "cpu_us_per_s": 5e5,
                                         "cpu_us_per_request": 0.0}  # fmt: skip
    raw["settings"]["grades"][1] |= {"stream": False, "aim_stretch": 0.0, "late_worth": 0.5}
    return raw


def paths(value: object, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Returns the path of every value inside a JSON value, as tuples of keys and indices."""
    inner = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    return [path] * bool(path) + [found for key, item in inner for found in paths(item, (*path, key))]


SCALARS: list[Any] = [
    None, True, False, 0, 1, -1, 63, 64, 1 << 70, -0.0, 0.5, 1.5, 5.0, -1e-320, 1e-320, math.nan, math.inf,
    "", "0", " 5 ", "1_0", "1e3", "true", "none", "ask", "once", "cell", "a,b", "live", "off", "127.0.0.1:80",
]  # fmt: skip
CONTAINERS: list[Any] = [
    [], ["a"], ["busy_reqs", "x"], [{}], {}, {"count": 1}, {"count": "", "0": {}}, {"a": None},
    {"endpoints": []}, {"index": 1, "snapshot": 0, "endpoints": []}, {"sockets": None}, {"memory_mb": "9"},
]  # fmt: skip
UNUSUAL_VALUES: st.SearchStrategy[Any] = st.sampled_from(SCALARS + CONTAINERS)
KEYS = st.text(max_size=8) | st.sampled_from(["contract.cold", "grades.count", "grades.0.name"])
ANY_JSON: st.SearchStrategy[Any] = st.recursive(
    UNUSUAL_VALUES | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner, max_size=3),
    max_leaves=6,
)


@st.composite
def files(draw: st.DrawFn) -> Any:
    """Draws a complete file with up to three values set, removed, added or doubled; at times any JSON."""
    raw = complete_file()
    for _ in range(draw(st.integers(0, 3))):
        *outer, last = draw(st.sampled_from(paths(raw)))
        holder = reduce(lambda value, key: value[key], outer, raw)
        change = draw(st.sampled_from(["set", "remove", "add", "double"]))
        if change == "set":
            holder[last] = copy.deepcopy(draw(ANY_JSON))  # a value from CONTAINERS is shared between draws
        elif change == "remove":
            del holder[last]
        elif change == "double" and isinstance(holder, list):
            holder.append(copy.deepcopy(holder[last]))
        elif isinstance(holder, dict):
            holder[draw(KEYS)] = copy.deepcopy(draw(ANY_JSON))
    return raw if draw(st.integers(0, 9)) else draw(ANY_JSON)


def load_as_run(text: str) -> Config | ConfigError:
    """Loads a file and the list of servers in it, as `run` does. Returns the error if there is one."""
    with tempfile.NamedTemporaryFile("w", encoding="utf-8", suffix=".json") as file:
        file.write(text)
        file.flush()
        try:
            config = load({"EDGE_CONFIG": file.name})
            if config.known:
                read_listing(config.known)
            return config
        except (ConfigError, ValueError) as error:
            return ConfigError(str(error))


STRUCTS: dict[str, Any] = {field.name: field.type for field in msgspec.structs.fields(schema.Settings)}
STRUCTS = {name: kind for name, kind in STRUCTS.items() if isinstance(kind, type)}
STRUCTS |= {"settings": schema.Settings, "grades": schema.Grade, "tenants": schema.Tenant}
# The last two names in the path of a setting -> the `extra` dict of its metadata, from schema._meta.
FIELD_METADATA: dict[str, dict[str, str]] = {
    f"{name}.{field.name}": field.type.__metadata__[0].extra
    for name, struct in STRUCTS.items()
    for field in msgspec.structs.fields(struct)
    if hasattr(field.type, "__metadata__") and field.type.__metadata__[0].extra
}
# Attribute of interface.Settings -> conversion of what `check` reads to the value that the attribute holds.
TO_SETTINGS_VALUE: dict[str, Callable[[Any, Any], Any]] = {
    "effect": lambda value, settings: Effect(value),
    "ask_for_list": lambda value, settings: value == "ask",
    "weights": lambda value, settings: WEIGHT_MEANINGS[value],
    "worth_by_work": lambda value, settings: value == "work",
    "reports": lambda value, settings: REPORT_CHANNELS[value],
    "stages": lambda value, settings: len(value) or settings.stage + 1,
}


def settings_hold(path: str, value: Any, settings: Settings) -> bool:
    """Returns whether the settings of `run` hold the value that `check` read at a path."""
    steps = path.split(".")
    lists: dict[str, Any] = {"grades": settings.classes, "tenants": settings.tenants}
    owner = lists[steps[1]][int(steps[2])] if steps[1] in lists else settings
    attribute = FIELD_METADATA[".".join([step for step in steps if not step.isdigit()][-2:])]["attribute"]
    convert = TO_SETTINGS_VALUE.get(attribute, lambda value, settings: value)
    return not attribute or getattr(owner, attribute) == convert(value, settings)


def assert_check_and_run_agree(raw: Any) -> None:
    """Both accept the content and read the same values, or both reject it and `check` names the path."""
    text = json.dumps(raw)
    loaded, result = load_as_run(text), check_content(json.loads(text), {})
    errors = [finding for finding in result.findings if finding.kind == OUT_OF_RANGE]
    assert isinstance(loaded, Config) == (not errors), (loaded, errors)
    assert not [error for error in errors if error.path == "settings" and "missing" not in error.message]
    if isinstance(loaded, ConfigError):
        assert len(str(loaded).splitlines()) == 1
        return
    rows = {row.path: row for row in result.rows}
    checked = [rows[path].value for path in ("name", "limits.sockets", "limits.memory_mb", "seed")]
    assert checked == [loaded.name, loaded.sockets, loaded.memory_mb, f"{loaded.seed:x}"]
    for path, row in rows.items():
        assert not path.startswith("settings.") or settings_hold(path, row.value, loaded.settings), path


@PROPERTY_TEST
@given(files())
def test_check_and_run_agree_on_any_json(raw: Any) -> None:
    assert_check_and_run_agree(raw)


def test_check_and_run_agree_on_each_key_at_its_edges() -> None:
    edges: list[Any] = [-1, 0, 0.5, 1, 1.5, 63, 64, 1 << 30, "", "other", None, True, []]
    for *outer, last in paths(complete_file()):
        for value in edges:
            raw = complete_file()
            reduce(lambda inner, key: inner[key], outer, raw)[last] = value
            assert_check_and_run_agree(raw)


@PROPERTY_TEST
@given(files())
def test_what_fits_the_published_schema_is_in_range(raw: Any) -> None:
    """Except for what the schema can't express: two classes with the same name; 5.0, which `run` rejects as a
    whole number; a key with a dot, which `run` reads as a nested key."""
    try:
        text = json.dumps(raw, allow_nan=False)
        msgspec.convert(raw, schema.ConfigFile)
    except ValueError:  # ValidationError is one
        return
    not_in_schema = ("listen", "discovery", "seed", "limits.sockets", "known")
    for finding in check_content(raw, {}).findings if not re.search(r'"[^"]*\.[^"]*": ', text) else ():
        if finding.kind == OUT_OF_RANGE and not finding.path.startswith(not_in_schema):
            assert re.search("is already the name of|not a whole", finding.message), finding


@pytest.mark.parametrize("field, value, message", [
    ("settings.grades.1.deadline", 0, "0.0 must be greater than 0"),
    ("settings.grades.1.name", "stock", "'stock' is already the name of settings.grades.0"),
    ("settings.tenants.0.quota_rps", math.inf, "'inf' is not finite"),
    ("known.endpoints.0", {"name": "b"}, "malformed list: KeyError('status')"),
])  # fmt: skip
def test_an_error_is_reported_with_its_path(field: str, value: Any, message: str) -> None:
    raw = complete_file()
    *outer, last = [int(step) if step.isdigit() else step for step in field.split(".")]
    reduce(lambda inner, key: inner[key], outer, raw)[last] = value  # type: ignore[index]
    errors = [finding for finding in check_content(raw, {}).findings if finding.kind == OUT_OF_RANGE]
    assert [(error.path, error.message) for error in errors] == [(field, message)]


def test_all_errors_and_unknown_keys_are_reported_and_variables_override_the_file() -> None:
    raw = complete_file()
    assert {finding.kind for finding in check_content(raw, {}).findings} == {NO_EFFECT}
    msgspec.convert(raw, schema.ConfigFile)
    raw |= {"limits": {"sockets": 10, "memory_mb": -1, "cores": 1}, "extra": 1, "discovery": "nowhere"}
    raw["settings"] |= {"me": -1, "quantum": "soon", "colour": {"a": 1, "b": {"c": 2}}}
    del raw["settings"]["contract"]["cold"]
    findings = check_content(raw, {"EDGE_DISCOVERY": "127.0.0.1:7"}).findings
    found = {(finding.kind, finding.path) for finding in findings}
    assert {path for kind, path in found if kind == OUT_OF_RANGE} == {
        "limits.sockets", "limits.memory_mb", "settings.me", "settings.quantum", "settings.contract.cold",
    }  # fmt: skip
    assert {path for kind, path in found if kind == UNKNOWN} == {"extra", "settings.colour"}
    assert {(NO_EFFECT, "limits.cores"), (NO_EFFECT, "settings.family")} <= found


def test_doubtful_values_are_reported_and_are_no_errors() -> None:
    raw = complete_file() | {"limits": {"memory_mb": 19}}
    raw["settings"] |= {"me": 1, "stage": 1}
    raw["settings"]["grades"][1] |= {"window": 0, "objective": 5.0}
    result = check_content(raw, {})
    settings = ["me", "stage", "grades.1.objective", "grades.1.window"]
    doubtful = {"limits.memory_mb"} | {f"settings.{path}" for path in settings}
    assert result.usable
    assert {finding.path for finding in result.findings if finding.kind == DOUBTFUL} == doubtful


@pytest.mark.parametrize("host", ["[::1]", "[]", "here", "\x00", "..", "1.2.3", ""])
@pytest.mark.parametrize("key", ["listen", "discovery"])
def test_a_host_that_is_no_ipv4_address_is_out_of_range(key: str, host: str) -> None:
    raw = complete_file() | {key: f"{host}:80"}
    findings = check_content(raw, {}).findings
    assert [finding.path for finding in findings if finding.kind == OUT_OF_RANGE] == [key]
    assert isinstance(load_as_run(json.dumps(raw)), ConfigError)


@pytest.mark.parametrize("seed", ["f" * 65, 1 << 256, -(1 << 256)], ids=["text", "over", "under"])
def test_a_seed_over_256_bits_is_out_of_range(seed: object) -> None:
    raw = complete_file() | {"seed": seed}
    findings = check_content(raw, {}).findings
    assert [finding.path for finding in findings if finding.kind == OUT_OF_RANGE] == ["seed"]
    assert isinstance(load_as_run(json.dumps(raw)), ConfigError)


def test_an_error_message_has_no_control_characters_of_the_file() -> None:
    raw = complete_file()
    raw["settings"]["grades"][0] |= {"name": "\x1b[31mred", "deadline": -1}
    error = load_as_run(json.dumps(raw))
    assert isinstance(error, ConfigError) and "[31mred deadline" in str(error) and str(error).isprintable()


def test_the_published_schema_is_current() -> None:
    assert (ROOT / "docs" / "config.schema.json").read_text(encoding="utf-8") == schema.render_json_schema()


def test_keys_without_effect_are_used_nowhere_and_all_others_are_used() -> None:
    used: dict[str, set[str]] = {"settings": set(), "cls": set(), "t": set()}
    package = ROOT / "granitepoint"
    parts = [path for part in ("net", "membership") for path in (package / part).glob("*.py")]
    for path in [package / "logic.py", package / "admission.py", *parts]:
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.Attribute):
                owner = getattr(node.value, "attr", getattr(node.value, "id", ""))
                used.get(owner, set()).add(node.attr)
    for key, described in FIELD_METADATA.items():
        owner = {"grades": "cls", "tenants": "t"}.get(key.partition(".")[0], "settings")
        if described["attribute"]:
            assert (described["attribute"] in used[owner]) == (not described["no_effect"]), key
