"""An experiment file: which variants run on which days, with which seeds."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

import msgspec

from granitepoint.emulator import day as days
from granitepoint.emulator import simulator_days
from granitepoint.fleet.experiment import ExperimentError

MAX_CELLS = 100_000
VARIANT_NAME = re.compile(r"[\w.-]{1,60}", re.ASCII)  # safe as the name of a folder of plots


class Variant(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """One side of the comparison: a version of the decision module, and changes to each day's settings."""

    name: str
    revision: str = ""  # git revision of the decision module; empty: the work tree
    set: dict[str, Any] = {}  # settings of the day by dotted path, such as "limits.max_attempts"


class Experiment(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """The content of an experiment file."""

    name: str
    days: list[str]  # paths relative to this file: days of the emulator, or .json days from the simulator
    seeds: int | list[int] = 4  # a count, starting with the day's own seed; or a list of seeds
    variants: list[Variant]
    baseline: str = ""  # name of a variant; empty: the first one
    longest_s: float = 1800.0  # limit of real time for one cell

    @property
    def base(self) -> str:
        """The name of the baseline variant."""
        return self.baseline or self.variants[0].name


class Cell(msgspec.Struct, frozen=True):
    """One run of the experiment: one variant on one day with one seed."""

    variant: str
    day: str  # name of the day's file, without its suffix
    seed: int
    configured_day: days.Day  # with the variant's settings and the seed applied

    @property
    def label(self) -> str:
        """The cell's name in messages."""
        return f"{self.variant} {self.day} seed {self.seed}"


def _require(condition: object, key: str, text: str) -> None:
    if not condition:
        raise ExperimentError(f"{key}: {text}")


def check(plan: Experiment) -> Experiment:
    """Checks what the types of the fields cannot express, and returns the plan. Raises ExperimentError."""
    _require(plan.days, "days", "at least one is required")
    _require(plan.variants, "variants", "at least one is required")
    names = [variant.name for variant in plan.variants]
    _require(len(set(names)) == len(names), "variants", "names must be unique")
    for number, variant in enumerate(plan.variants):
        path = f"variants[{number}]"
        _require(
            VARIANT_NAME.fullmatch(variant.name), f"{path}.name", "must be 1 to 60 letters, digits or _ . -"
        )
        _require(not variant.revision.startswith("-"), f"{path}.revision", "must not start with -")
    _require(not plan.baseline or plan.baseline in names, "baseline", f"no such variant: {plan.baseline}")
    seeds = plan.seeds
    _require(seeds > 0 if isinstance(seeds, int) else seeds, "seeds", "at least one is required")
    _require(isinstance(seeds, int) or len(set(seeds)) == len(seeds), "seeds", "must be unique")
    _require(plan.longest_s > 0, "longest_s", "must be above 0")
    count = len(names) * len(plan.days) * (seeds if isinstance(seeds, int) else len(seeds))
    _require(count <= MAX_CELLS, "seeds", f"{count} cells exceed the limit of {MAX_CELLS}")
    return plan


def load(path: Path) -> Experiment:
    """Reads and checks an experiment file. Raises ExperimentError, which names the file."""
    try:
        return check(msgspec.toml.decode(path.read_bytes(), type=Experiment))
    except (OSError, ExperimentError) as error:
        raise ExperimentError(f"{path}: {error}") from None
    except (msgspec.ValidationError, msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ExperimentError(f"{path}: {' '.join(str(error).split())}") from None


def _set_by_path(settings: dict[str, Any], path: str, value: Any) -> None:
    """Sets the value at a dotted path, in which a number is an index of a list.

    A path of a single key may add that key to `settings`. Raises ExperimentError for any other unknown key or
    index.
    """
    *parents, last = path.split(".")
    container: Any = settings
    for key in parents:
        if isinstance(container, list) and key.isdecimal() and int(key) < len(container):
            container = container[int(key)]
        elif isinstance(container, dict) and key in container:
            container = container[key]
        else:
            raise ExperimentError(f"{path}: a day has no such setting")
    if isinstance(container, list) and last.isdecimal() and int(last) < len(container):
        container[int(last)] = value
    elif isinstance(container, dict) and (last in container or container is settings):
        container[last] = value
    else:
        raise ExperimentError(f"{path}: a day has no such setting")


def apply_variant(day: days.Day, variant: Variant, seed: int) -> days.Day:
    """Returns a copy of the day with the variant's settings and the seed. Raises ExperimentError."""
    settings = msgspec.to_builtins(day)
    for path, value in variant.set.items():
        _set_by_path(settings, path, value)
    settings["seed"] = seed
    try:
        return days.check(msgspec.convert(settings, type=days.Day))
    except (msgspec.ValidationError, ExperimentError) as error:
        raise ExperimentError(f"variant {variant.name}, day {day.name}: {error}") from None


def expand_cells(plan: Experiment, folder: Path) -> list[Cell]:
    """Returns all cells of the experiment, ordered by day, seed and variant.

    `folder` is the folder of the experiment file, from which the paths of its days start. Raises
    ExperimentError.
    """
    cells: list[Cell] = []
    day_names: set[str] = set()
    for name in plan.days:
        path = folder / name
        day = simulator_days.load(path) if path.suffix == ".json" else days.load(path)
        day_name = path.stem
        _require(day_name not in day_names, "days", f"two files have the name {day_name}")
        day_names.add(day_name)
        seeds = [day.seed + n for n in range(plan.seeds)] if isinstance(plan.seeds, int) else plan.seeds
        for seed in seeds:
            cells += [Cell(v.name, day_name, seed, apply_variant(day, v, seed)) for v in plan.variants]
    return cells
