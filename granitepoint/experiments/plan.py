"""An experiment file: which variants are played on which days, with which seeds."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

import msgspec

from granitepoint.emulator import day as days
from granitepoint.emulator import drawn
from granitepoint.fleet.experiment import ExperimentError

MOST_CELLS = 100_000
NAME = re.compile(r"[\w.-]{1,60}", re.ASCII)  # of a variant: it names a folder of plots too


class Variant(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """What is compared: a module, and changes to each day's own settings."""

    name: str
    revision: str = ""  # of git, whose decision module plays; empty: the one of the work tree
    set: dict[str, Any] = {}  # of a day, by dotted path, such as "limits.max_attempts"


class Experiment(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """As the file has it. The first variant is the baseline unless another is named."""

    name: str
    days: list[str]  # files of the emulator's days, or of days that the simulator drew, beside this one
    seeds: int | list[int] = 4  # how many, counted from the day's own; or which
    variants: list[Variant]
    baseline: str = ""
    longest_s: float = 1800.0  # of real time for one cell

    @property
    def base(self) -> str:
        return self.baseline or self.variants[0].name


class Cell(msgspec.Struct, frozen=True):
    """One day with one seed, played by one variant."""

    variant: str
    day: str  # its name
    seed: int
    played: days.Day  # with the variant's settings and the seed in it

    @property
    def label(self) -> str:
        return f"{self.variant} {self.day} seed {self.seed}"


def _need(ok: object, key: str, text: str) -> None:
    if not ok:
        raise ExperimentError(f"{key}: {text}")


def check(plan: Experiment) -> Experiment:
    """What types can't say. Raises ExperimentError."""
    _need(plan.days, "days", "there is none")
    _need(plan.variants, "variants", "there is none")
    names = [variant.name for variant in plan.variants]
    _need(len(set(names)) == len(names), "variants", "two have one name")
    for number, variant in enumerate(plan.variants):
        path = f"variants[{number}]"
        _need(NAME.fullmatch(variant.name), f"{path}.name", "60 letters, digits, _ . - at most")
        _need(not variant.revision.startswith("-"), f"{path}.revision", "not a revision")
    _need(not plan.baseline or plan.baseline in names, "baseline", f"no such variant: {plan.baseline}")
    seeds = plan.seeds
    _need(seeds > 0 if isinstance(seeds, int) else seeds, "seeds", "there is none")
    _need(isinstance(seeds, int) or len(set(seeds)) == len(seeds), "seeds", "one stands twice")
    _need(plan.longest_s > 0, "longest_s", "must be above 0")
    count = len(names) * len(plan.days) * (seeds if isinstance(seeds, int) else len(seeds))
    _need(count <= MOST_CELLS, "seeds", f"{count} cells are more than {MOST_CELLS}")
    return plan


def load(path: Path) -> Experiment:
    """Raises ExperimentError, which names the file."""
    try:
        return check(msgspec.toml.decode(path.read_bytes(), type=Experiment))
    except (OSError, ExperimentError) as fault:
        raise ExperimentError(f"{path}: {fault}") from None
    except (msgspec.ValidationError, msgspec.DecodeError, UnicodeDecodeError) as fault:
        raise ExperimentError(f"{path}: {' '.join(str(fault).split())}") from None


def _override(raw: dict[str, Any], path: str, value: Any) -> None:
    """Sets what stands at a dotted path, numbers standing for places in lists. Raises ExperimentError."""
    *parents, last = path.split(".")
    at: Any = raw
    for key in parents:
        if isinstance(at, list) and key.isdecimal() and int(key) < len(at):
            at = at[int(key)]
        elif isinstance(at, dict) and key in at:
            at = at[key]
        else:
            raise ExperimentError(f"{path}: no such setting of a day")
    if isinstance(at, list) and last.isdecimal() and int(last) < len(at):
        at[int(last)] = value
    elif isinstance(at, dict) and (last in at or at is raw):
        at[last] = value
    else:
        raise ExperimentError(f"{path}: no such setting of a day")


def varied(day: days.Day, variant: Variant, seed: int) -> days.Day:
    """The day with the variant's settings in it. Raises ExperimentError."""
    raw = msgspec.to_builtins(day)
    for path, value in variant.set.items():
        _override(raw, path, value)
    raw["seed"] = seed
    try:
        return days.check(msgspec.convert(raw, type=days.Day))
    except (msgspec.ValidationError, ExperimentError) as fault:
        raise ExperimentError(f"variant {variant.name}, day {day.name}: {fault}") from None


def cells(plan: Experiment, beside: Path) -> list[Cell]:
    """All that is to be played, day by day. `beside`: the folder of the file. Raises ExperimentError."""
    found: list[Cell] = []
    names: set[str] = set()
    for name in plan.days:
        path = beside / name
        day = drawn.load(path) if path.suffix == ".json" else days.load(path)
        label = path.stem
        _need(label not in names, "days", f"two are called {label}")
        names.add(label)
        seeds = [day.seed + n for n in range(plan.seeds)] if isinstance(plan.seeds, int) else plan.seeds
        for seed in seeds:
            found += [Cell(v.name, label, seed, varied(day, v, seed)) for v in plan.variants]
    return found
