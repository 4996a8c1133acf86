"""What a configuration file puts in force, and all that is wrong with it: `run` stops at the first fault."""

from __future__ import annotations

import json
import math
import resource
from collections.abc import Iterable, Mapping
from functools import cache
from itertools import accumulate
from pathlib import Path
from typing import Any

from msgspec import NODEFAULT, Struct
from msgspec import inspect as types

from granitepoint.benchlink import read_settings
from granitepoint.cli import schema
from granitepoint.net.config import flatten_settings, parse_ipv4_address, parse_seed
from granitepoint.net.listing import read_listing
from granitepoint.net.logs import read_log_options
from granitepoint.net.server import BASE_MEMORY_MB

LARGEST = 64 << 20  # bytes of a file; a list of 100,000 servers takes a third of it
DEEPEST = 5  # names in a path: one more than settings.grades.0.name has
MOST_SHOWN, MOST_SAID = 60, 200  # characters of a value in a message, and of one of the reader's own messages
UNKNOWN, NO_EFFECT, DOUBTFUL, OUT_OF_RANGE = "unknown", "no effect", "doubtful", "out of range"
EMPTY_IS_DEFAULT = ("settings.weights", "settings.worth_by", "settings.report.via")


class FileError(Exception):
    """The file can't be read as JSON; the message is one line."""


class Row(Struct, omit_defaults=True):
    """A value as read. `source`: "file", "default", "process limit" or the variable that comes first."""

    path: str
    value: Any
    unit: str
    source: str
    in_force: bool = True  # changes something


class Finding(Struct):
    kind: str  # UNKNOWN, NO_EFFECT, DOUBTFUL (in range, but hardly meant) or OUT_OF_RANGE
    path: str
    message: str


class Reading(Struct):
    """What a file says. Rows hold each value that could be read, also one without effect."""

    rows: list[Row]
    findings: list[Finding]

    @property
    def usable(self) -> bool:
        return not any(finding.kind == OUT_OF_RANGE for finding in self.findings)


def read_file(path: Path) -> Any:
    """The JSON of a file. Raises FileError."""
    try:
        with path.open("rb") as file:
            raw = file.read(LARGEST + 1)
        if len(raw) > LARGEST:
            raise FileError(f"{path}: larger than {LARGEST >> 20} MB")
        return json.loads(raw.decode("utf-8"))
    except OSError as fault:
        raise FileError(f"{path}: {fault.strerror or fault}") from None
    except UnicodeDecodeError as fault:
        raise FileError(f"{path}: not UTF-8: byte {fault.start}") from None
    except json.JSONDecodeError as fault:
        raise FileError(f"{path}: not JSON: {fault}") from None
    except RecursionError:
        raise FileError(f"{path}: nested too deeply") from None
    except ValueError as fault:  # a path or a number that can't be
        raise FileError(f"{path}: {fault}") from None


def shown(value: object) -> str:
    """A value in a message: one short line."""
    try:
        text = ascii(value)
    except RecursionError:
        return "what is nested so deeply"
    return text if len(text) <= MOST_SHOWN else text[:MOST_SHOWN] + "..."


def _said(fault: Exception) -> str:
    return " ".join(str(fault)[:MOST_SAID].split())


def _read_text(info: types.Type, text: str, micro: bool) -> Any:
    """A setting as `run` reads it. Raises ValueError."""
    if isinstance(info, types.IntType):
        try:
            return int(text)
        except ValueError:
            raise ValueError(f"{shown(text)} is not a whole number") from None
    if isinstance(info, types.FloatType):
        try:
            value = float(text)
        except ValueError:
            raise ValueError(f"{shown(text)} is not a number") from None
        if not math.isfinite(value):
            raise ValueError(f"{shown(text)} is not finite")
        return value / 1e6 if micro else value
    if isinstance(info, types.BoolType):
        if text not in ("1", "true", "0", "false"):
            raise ValueError(f"{shown(text)} is not a truth value")
        return text in ("1", "true")
    if isinstance(info, types.LiteralType):
        if text not in info.values:
            raise ValueError(f"{shown(text)} is none of {', '.join(map(str, info.values))}")
        return text
    if isinstance(info, types.ListType):
        words = info.item_type.values if isinstance(info.item_type, types.LiteralType) else None
        return tuple(name for name in text.split(",") if name and (words is None or name in words))
    return text


def _bound(info: types.Type, value: Any) -> None:
    """Raises ValueError where a number is out of its range."""
    if isinstance(info, types.IntType | types.FloatType):
        if info.gt is not None and not value > info.gt:
            raise ValueError(f"{shown(value)} must be more than {info.gt}")
        if info.ge is not None and not value >= info.ge:
            raise ValueError(f"{shown(value)} must be at least {info.ge}")
        if info.lt is not None and not value < info.lt:
            raise ValueError(f"{shown(value)} must be less than {info.lt}")
        if info.le is not None and not value <= info.le:
            raise ValueError(f"{shown(value)} must be at most {info.le}")


def _plain(info: types.Type) -> tuple[types.Type, dict[str, Any]]:
    """A type without its description, and what that holds for this reader."""
    if isinstance(info, types.Metadata):
        return info.type, info.extra or {}
    return info, {}


@cache
def _fields(struct: type[Struct]) -> tuple[types.Field, ...]:
    info = types.type_info(struct)
    assert isinstance(info, types.StructType)
    return info.fields


def _prefixes(paths: Iterable[str]) -> set[str]:
    return {prefix for path in paths for prefix in _steps(path)}


def _steps(path: str) -> Iterable[str]:
    """`a`, `a.b` and so on, no deeper than one step below any setting."""
    return accumulate(path.split(".", DEEPEST)[:DEEPEST], "{}.{}".format)


class _Settings:
    """Reads the flat settings by the types of the schema, and goes on after each fault."""

    def __init__(self, pairs: Mapping[str, str]) -> None:
        self.pairs, self.reading = pairs, Reading([], [])
        self.held = _prefixes(pairs)
        self.asked: set[str] = set()

    def fault(self, path: str, message: str) -> None:
        self.reading.findings.append(Finding(OUT_OF_RANGE, path, message))

    def fields(self, fields: Iterable[types.Field], path: str) -> None:
        for field in fields:
            self.field(field, f"{path}.{field.encode_name}")

    def field(self, field: types.Field, path: str) -> None:
        info, extra = _plain(field.type)
        if isinstance(info, types.StructType):
            self.fields(info.fields, path)
        elif isinstance(info, types.ListType) and isinstance(info.item_type, types.StructType):
            self.items(info.item_type, path, field.required)
        else:
            self.leaf(field, info, extra, path)

    def take(self, path: str) -> str | None:
        self.asked.add(path)
        return self.pairs.get(path)

    def items(self, info: types.StructType, path: str, required: bool) -> None:
        text = self.take(path + ".count")
        if self.pairs.get(path) == "":
            self.asked.add(path)  # an empty list
        try:
            if text is None and required:
                raise ValueError("missing, or not a list of objects")
            count = 0 if text is None else _read_text(types.IntType(), text, False)
            if required and count < 1:
                raise ValueError("must hold at least one")
        except ValueError as fault:
            self.fault(path, str(fault))
            return
        names: dict[str, str] = {}
        for number in range(count):
            item = f"{path}.{number}"
            if item not in self.held:
                self.fault(item, f"missing, of {count}")
                return
            self.fields(info.fields, item)
            name = self.pairs.get(item + ".name")
            if required and name is not None and names.setdefault(name, item) != item:
                self.fault(item + ".name", f"{shown(name)} is the name of {names[name]} too")

    def leaf(self, field: types.Field, info: types.Type, extra: dict[str, Any], path: str) -> None:
        text = self.take(path)
        if isinstance(info, types.ListType) and text == "":
            self.asked.add(path + ".count")  # an empty list
        unit, unused = extra.get("unit", ""), extra.get("unused", "")
        micro = unit.startswith(schema.MICROSECONDS)
        unit = unit[1:] if micro else unit  # read in seconds
        if text is None or (text == "" and path in EMPTY_IS_DEFAULT):
            if field.required:
                self.fault(path, "missing")
            else:
                default = field.default if field.default is not NODEFAULT else field.default_factory()
                value = tuple(default) if isinstance(default, list) else default
                self.reading.rows.append(Row(path, value, unit, "default", not unused))
            return
        if unused:
            self.reading.findings.append(Finding(NO_EFFECT, path, unused))
        if unused and not extra["reads"]:
            return
        try:
            value = _read_text(info, text, micro)
            _bound(info, value)
        except ValueError as fault:
            self.fault(path, str(fault))
            return
        self.reading.rows.append(Row(path, value, unit, "file", not unused))

    def unknown(self) -> None:
        known = _prefixes(self.asked)
        found: dict[str, str] = {}
        for path in self.pairs:
            if path not in self.asked:
                first = next((step for step in _steps(path) if step not in known), None)
                found[first or path] = "no such setting" if first else "not in a form that is read"
        self.reading.findings += [Finding(UNKNOWN, path, message) for path, message in found.items()]


def _read_settings(raw: object) -> Reading:
    if not isinstance(raw, dict):
        return Reading([], [Finding(OUT_OF_RANGE, "settings", "missing, or not an object")])
    try:
        pairs = flatten_settings(raw)
    except RecursionError:
        return Reading([], [Finding(OUT_OF_RANGE, "settings", "nested too deeply")])
    reader = _Settings({f"settings.{path}": text for path, text in pairs.items()})
    reader.fields(_fields(schema.Settings), "settings")
    reader.unknown()
    if reader.reading.usable:
        try:
            read_settings(pairs)
        except ValueError as fault:  # what only `run`'s own reader knows
            reader.fault("settings", _said(fault))
    return reader.reading


class _Top:
    """Reads what stands beside the settings."""

    def __init__(self, raw: dict[str, Any], environ: Mapping[str, str]) -> None:
        self.raw, self.environ, self.reading = raw, environ, Reading([], [])

    def fault(self, path: str, message: str) -> None:
        self.reading.findings.append(Finding(OUT_OF_RANGE, path, message))

    def unknown(self, held: Iterable[str], struct: type[Struct], path: str) -> None:
        fields = {field.encode_name for field in _fields(struct)}
        for key in held:
            if key not in fields:
                self.reading.findings.append(Finding(UNKNOWN, path + key, "no such key"))

    def put(self, path: str, value: Any, unit: str = "", source: str = "file") -> None:
        self.reading.rows.append(Row(path, value, unit, source))

    def addresses(self) -> None:
        for key in ("listen", "discovery"):
            variable = "EDGE_" + key.upper()
            told = self.environ.get(variable)
            if not told and self.raw.get(key) is None:
                self.fault(key, "missing")
                continue
            try:
                parse_ipv4_address(told or self.raw.get(key))
                self.put(key, told or self.raw.get(key), source=variable if told else "file")
            except ValueError as fault:
                self.fault(key, _said(fault) + f", from {variable}" * bool(told))

    def name(self) -> None:
        told = self.environ.get("EDGE_NAME")
        source = "EDGE_NAME" if told else "file" if "name" in self.raw else "default"
        try:
            self.put("name", told or str(self.raw.get("name", "")), source=source)
        except RecursionError:
            self.fault("name", "nested too deeply")

    def log(self) -> None:
        for variable, default in (("EDGE_LOG_FORMAT", "text"), ("EDGE_LOG_LEVEL", "info")):
            told = self.environ.get(variable)
            try:
                read_log_options({variable: told or ""})
                self.put(variable, told or default, source=variable if told else "default")
            except ValueError as fault:
                self.fault(variable, _said(fault))

    def seed(self) -> None:
        seed = self.raw.get("seed", 0)
        try:
            value = parse_seed(seed)
            self.put("seed", f"{value:x}", "hex", "file" if "seed" in self.raw else "default")
        except (ValueError, RecursionError):
            self.fault("seed", f"{shown(seed)} is no whole number or hex digits, of 256 bits at most")

    def limits(self) -> None:
        limits = self.raw.get("limits") or {}
        if not isinstance(limits, dict):
            self.fault("limits", "not an object")
            return
        soft = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        if soft == resource.RLIM_INFINITY:
            soft = 1 << 20
        self.sockets(limits)
        self.memory(limits)
        self.unknown(limits, schema.Limits, "limits.")
        if "cores" in limits:
            self.reading.findings.append(Finding(NO_EFFECT, "limits.cores", "the platform holds it"))

    def sockets(self, limits: dict[str, Any]) -> None:
        soft = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        if soft == resource.RLIM_INFINITY:
            soft = 1 << 20
        told = limits.get("sockets", soft)
        try:
            sockets = min(int(told), soft)
        except (ValueError, TypeError, OverflowError):
            self.fault("limits.sockets", f"{shown(told)} is not a whole number")
            return
        if sockets < 64:
            self.fault("limits.sockets", f"{sockets} must be at least 64")
            return
        source = "process limit" if "sockets" not in limits or int(told) > soft else "file"
        self.put("limits.sockets", sockets, "descriptors", source)

    def memory(self, limits: dict[str, Any]) -> None:
        told = limits.get("memory_mb", 192)
        try:
            memory = float(told)
        except (ValueError, TypeError, OverflowError):
            self.fault("limits.memory_mb", f"{shown(told)} is not a number")
            return
        if not 0 < memory < 1 << 30:
            self.fault("limits.memory_mb", f"{memory} must be more than 0 and less than {1 << 30}")
            return
        self.put("limits.memory_mb", memory, schema.MEGABYTES, "file" if "memory_mb" in limits else "default")

    def known(self) -> None:
        known = self.raw.get("known") or {}
        if not isinstance(known, dict):
            self.fault("known", "not an object")
            return
        self.unknown(known, schema.Known, "known.")
        if not known:
            self.put("known.endpoints", 0, "servers", "default")
            return
        try:
            self.put("known.endpoints", len(read_listing(known).backends), "servers")
        except (ValueError, RecursionError):
            self.known_faults(known)
        servers = known.get("endpoints")
        for number, server in enumerate(servers if isinstance(servers, list) else ()):
            if isinstance(server, dict):
                self.unknown(server, schema.Endpoint, f"known.endpoints.{number}.")

    def known_faults(self, known: dict[str, Any]) -> None:
        """Each server of a list that can't be used; where none is at fault, the list is."""
        before = len(self.reading.findings)
        servers = known.get("endpoints")
        for number, server in enumerate(servers if isinstance(servers, list) else ()):
            try:
                read_listing({"index": 0, "snapshot": True, "endpoints": [server]})
            except (ValueError, RecursionError) as fault:
                self.fault(f"known.endpoints.{number}", _said(fault))
        try:
            read_listing({**known, "endpoints": []})
        except (ValueError, RecursionError) as fault:
            self.fault("known", _said(fault))
        if len(self.reading.findings) == before:
            self.fault("known.endpoints", "missing, or not a list of servers")


def _doubts(rows: Iterable[Row]) -> Iterable[tuple[str, str]]:
    """Paths and what is odd about them, though `run` takes it."""
    values = {row.path: row.value for row in rows}
    if values.get("settings.me", 0) >= values.get("settings.balancers", math.inf):
        yield "settings.me", "not less than balancers"
    if 0 < len(values.get("settings.stages", ())) <= values.get("settings.stage", 0):
        yield "settings.stage", "not a place in stages"
    if values.get("limits.memory_mb", math.inf) <= BASE_MEMORY_MB:
        yield "limits.memory_mb", f"the process alone takes {BASE_MEMORY_MB} MB"
    for path, value in values.items():
        item, _, last = path.rpartition(".")
        if last == "deadline" and values.get(item + ".objective", 0.0) > value:
            yield item + ".objective", "longer than the deadline"
        if last == "effect" and value == "by_key" and values.get(item + ".window") == 0:
            yield item + ".window", "no repeat is ever in time"


def read(raw: object, environ: Mapping[str, str]) -> Reading:
    """What `run` would make of a file with this content, under these variables: all values and all faults."""
    if not isinstance(raw, dict):
        return Reading([], [Finding(OUT_OF_RANGE, "", "the file does not hold an object")])
    top = _Top(raw, environ)
    top.name()
    top.addresses()
    top.seed()
    top.limits()
    top.known()
    top.log()
    top.unknown(raw, schema.ConfigFile, "")
    settings = _read_settings(raw.get("settings"))
    rows = top.reading.rows + settings.rows
    doubts = [Finding(DOUBTFUL, path, message) for path, message in _doubts(rows)]
    return Reading(rows, top.reading.findings + settings.findings + doubts)
