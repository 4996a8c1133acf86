"""Checks a configuration file: all values in force and all problems, where `run` stops at the first."""

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

from granitepoint.cli import schema
from granitepoint.net.config import flatten_settings, parse_ipv4_address, parse_seed
from granitepoint.net.listing import read_listing
from granitepoint.net.logs import read_log_options
from granitepoint.net.memory_account import BASE_MEMORY_MB
from granitepoint.simulator_adapter import read_settings

MAX_FILE_BYTES = 64 << 20  # a list of 100,000 servers takes a third of it
MAX_PATH_NAMES = 5  # names of a path that are looked at: one more than settings.grades.0.name has
MAX_VALUE_CHARS, MAX_ERROR_CHARS = 60, 200  # longest value, and longest text of an exception, in a message
UNKNOWN, NO_EFFECT, DOUBTFUL, OUT_OF_RANGE = "unknown", "no effect", "doubtful", "out of range"
# In these settings `run` replaces an empty string by the default.
EMPTY_IS_DEFAULT = ("settings.weights", "settings.worth_by", "settings.report.via")


class FileError(Exception):
    """The file can't be read as JSON; the message is one line."""


class Row(Struct, omit_defaults=True):
    """One value of the configuration.

    `source` is "file", "default", "process limit" or the environment variable that overrides the file.
    """

    path: str
    value: Any
    unit: str
    source: str
    in_force: bool = True  # False: the value has no effect on the proxy


class Finding(Struct):
    """A problem with one value or key of the configuration."""

    kind: str  # UNKNOWN, NO_EFFECT, DOUBTFUL (in range, but probably a mistake) or OUT_OF_RANGE
    path: str
    message: str


class CheckResult(Struct):
    """The result of a check. `rows` holds each value that could be read, including those without effect."""

    rows: list[Row]
    findings: list[Finding]

    @property
    def usable(self) -> bool:
        """Whether `run` would start with this configuration."""
        return not any(finding.kind == OUT_OF_RANGE for finding in self.findings)


def read_file(path: Path) -> Any:
    """Returns the parsed JSON content of a file. Raises FileError."""
    try:
        with path.open("rb") as file:
            raw = file.read(MAX_FILE_BYTES + 1)
        if len(raw) > MAX_FILE_BYTES:
            raise FileError(f"{path}: larger than {MAX_FILE_BYTES >> 20} MB")
        return json.loads(raw.decode("utf-8"))
    except OSError as error:
        raise FileError(f"{path}: {error.strerror or error}") from None
    except UnicodeDecodeError as error:
        raise FileError(f"{path}: not UTF-8: byte {error.start}") from None
    except json.JSONDecodeError as error:
        raise FileError(f"{path}: not JSON: {error}") from None
    except RecursionError:
        raise FileError(f"{path}: nested too deeply") from None
    except ValueError as error:  # a null byte in the path, or a number with too many digits
        raise FileError(f"{path}: {error}") from None


def abbreviate(value: object) -> str:
    """Formats a value for a message: one line of ASCII, cut to MAX_VALUE_CHARS characters."""
    try:
        text = ascii(value)
    except RecursionError:
        return "a deeply nested value"
    return text if len(text) <= MAX_VALUE_CHARS else text[:MAX_VALUE_CHARS] + "..."


def _error_text(error: Exception) -> str:
    return " ".join(str(error)[:MAX_ERROR_CHARS].split())


def _parse_value(info: types.Type, text: str, in_microseconds: bool) -> Any:
    """Parses the text of a setting as `run` does. Raises ValueError.

    `in_microseconds`: the text is a number of microseconds; the result is in seconds.
    """
    if isinstance(info, types.IntType):
        try:
            return int(text)
        except ValueError:
            raise ValueError(f"{abbreviate(text)} is not a whole number") from None
    if isinstance(info, types.FloatType):
        try:
            value = float(text)
        except ValueError:
            raise ValueError(f"{abbreviate(text)} is not a number") from None
        if not math.isfinite(value):
            raise ValueError(f"{abbreviate(text)} is not finite")
        return value / 1e6 if in_microseconds else value
    if isinstance(info, types.BoolType):
        if text not in ("1", "true", "0", "false"):
            raise ValueError(f"{abbreviate(text)} is not a boolean")
        return text in ("1", "true")
    if isinstance(info, types.LiteralType):
        if text not in info.values:
            raise ValueError(f"{abbreviate(text)} is not one of {', '.join(map(str, info.values))}")
        return text
    if isinstance(info, types.ListType):
        allowed = info.item_type.values if isinstance(info.item_type, types.LiteralType) else None
        return tuple(name for name in text.split(",") if name and (allowed is None or name in allowed))
    return text


def _check_bounds(info: types.Type, value: Any) -> None:
    """Raises ValueError if a number is outside the range that its type allows."""
    if isinstance(info, types.IntType | types.FloatType):
        if info.gt is not None and not value > info.gt:
            raise ValueError(f"{abbreviate(value)} must be greater than {info.gt}")
        if info.ge is not None and not value >= info.ge:
            raise ValueError(f"{abbreviate(value)} must be at least {info.ge}")
        if info.lt is not None and not value < info.lt:
            raise ValueError(f"{abbreviate(value)} must be less than {info.lt}")
        if info.le is not None and not value <= info.le:
            raise ValueError(f"{abbreviate(value)} must be at most {info.le}")


def _split_metadata(info: types.Type) -> tuple[types.Type, dict[str, Any]]:
    """Returns a field's type without its metadata, and the `extra` dict that schema._meta put there."""
    if isinstance(info, types.Metadata):
        return info.type, info.extra or {}
    return info, {}


@cache
def _fields(struct: type[Struct]) -> tuple[types.Field, ...]:
    info = types.type_info(struct)
    assert isinstance(info, types.StructType)
    return info.fields


def _all_path_prefixes(paths: Iterable[str]) -> set[str]:
    return {prefix for path in paths for prefix in _path_prefixes(path)}


def _path_prefixes(path: str) -> Iterable[str]:
    """Yields `a`, `a.b` and so on, up to MAX_PATH_NAMES names: one more than the deepest setting has."""
    return accumulate(path.split(".", MAX_PATH_NAMES)[:MAX_PATH_NAMES], "{}.{}".format)


class _SettingsReader:
    """Reads the flattened settings by the types in the schema. Records each error and continues after it."""

    def __init__(self, text_by_path: Mapping[str, str]) -> None:
        """`text_by_path`: the flattened settings, their paths with `settings.` in front."""
        self.text_by_path, self.result = text_by_path, CheckResult([], [])
        self.given_paths = _all_path_prefixes(text_by_path)  # including those of objects and list items
        self.read_paths: set[str] = set()  # looked up as the schema says, present in the file or not

    def add_error(self, path: str, message: str) -> None:
        """Adds a finding of the kind OUT_OF_RANGE, also for a missing or malformed value."""
        self.result.findings.append(Finding(OUT_OF_RANGE, path, message))

    def read_fields(self, fields: Iterable[types.Field], path: str) -> None:
        """Reads the fields of the object at a path."""
        for field in fields:
            self.read_field(field, f"{path}.{field.encode_name}")

    def read_field(self, field: types.Field, path: str) -> None:
        """Reads an object, a list of objects or a single value at a path."""
        info, extra = _split_metadata(field.type)
        if isinstance(info, types.StructType):
            self.read_fields(info.fields, path)
        elif isinstance(info, types.ListType) and isinstance(info.item_type, types.StructType):
            self.read_list(info.item_type, path, field.required)
        else:
            self.read_value(field, info, extra, path)

    def get_text(self, path: str) -> str | None:
        """Returns the text at a path, if there is one, and marks the path as known."""
        self.read_paths.add(path)
        return self.text_by_path.get(path)

    def read_list(self, info: types.StructType, path: str, required: bool) -> None:
        """Reads a list of objects: its length at `path.count`, its items at `path.0` and so on."""
        text = self.get_text(path + ".count")
        if self.text_by_path.get(path) == "":
            self.read_paths.add(path)  # an empty list is flattened to an empty text and a count of 0
        try:
            if text is None and required:
                raise ValueError("missing, or not a list of objects")
            count = 0 if text is None else _parse_value(types.IntType(), text, False)
            if required and count < 1:
                raise ValueError("must have at least one item")
        except ValueError as error:
            self.add_error(path, str(error))
            return
        names: dict[str, str] = {}  # path of the first item that has the name
        for number in range(count):
            item_path = f"{path}.{number}"
            if item_path not in self.given_paths:
                self.add_error(item_path, f"missing: the list has a count of {count}")
                return
            self.read_fields(info.fields, item_path)
            name = self.text_by_path.get(item_path + ".name")
            if required and name is not None and names.setdefault(name, item_path) != item_path:
                self.add_error(
                    item_path + ".name", f"{abbreviate(name)} is already the name of {names[name]}"
                )

    def read_value(self, field: types.Field, info: types.Type, extra: dict[str, Any], path: str) -> None:
        """Reads a number, boolean, string or list of strings."""
        text = self.get_text(path)
        if isinstance(info, types.ListType) and text == "":
            self.read_paths.add(path + ".count")  # an empty list, as in read_list
        unit, no_effect = extra.get("unit", ""), extra.get("no_effect", "")
        in_microseconds = unit.startswith(schema.MICROSECONDS)
        unit = unit[1:] if in_microseconds else unit  # us -> s, us/s -> s/s, as _parse_value converts
        if text is None or (text == "" and path in EMPTY_IS_DEFAULT):
            if field.required:
                self.add_error(path, "missing")
            else:
                default = field.default if field.default is not NODEFAULT else field.default_factory()
                value = tuple(default) if isinstance(default, list) else default
                self.result.rows.append(Row(path, value, unit, "default", not no_effect))
            return
        if no_effect:
            self.result.findings.append(Finding(NO_EFFECT, path, no_effect))
        if no_effect and not extra["attribute"]:
            return
        try:
            value = _parse_value(info, text, in_microseconds)
            _check_bounds(info, value)
        except ValueError as error:
            self.add_error(path, str(error))
            return
        self.result.rows.append(Row(path, value, unit, "file", not no_effect))

    def report_unknown(self) -> None:
        """Reports each path that the schema doesn't have, and each value in the place of an object or list.

        For an unknown nested object only its own path is reported.
        """
        known_paths = _all_path_prefixes(self.read_paths)
        messages: dict[str, str] = {}
        for path in self.text_by_path:
            if path not in self.read_paths:
                first = next((prefix for prefix in _path_prefixes(path) if prefix not in known_paths), None)
                messages[first or path] = "no such setting" if first else "not the expected type of value"
        self.result.findings += [Finding(UNKNOWN, path, message) for path, message in messages.items()]


def _check_settings(raw: object) -> CheckResult:
    if not isinstance(raw, dict):
        return CheckResult([], [Finding(OUT_OF_RANGE, "settings", "missing, or not an object")])
    try:
        pairs = flatten_settings(raw)
    except RecursionError:
        return CheckResult([], [Finding(OUT_OF_RANGE, "settings", "nested too deeply")])
    reader = _SettingsReader({f"settings.{path}": text for path, text in pairs.items()})
    reader.read_fields(_fields(schema.Settings), "settings")
    reader.report_unknown()
    if reader.result.usable:
        try:
            read_settings(pairs)
        except ValueError as error:  # a rule that only the reader used by `run` checks
            reader.add_error("settings", _error_text(error))
    return reader.result


class _TopLevelReader:
    """Reads the top-level keys other than `settings`, and the environment variables."""

    def __init__(self, raw: dict[str, Any], environ: Mapping[str, str]) -> None:
        self.raw, self.environ, self.result = raw, environ, CheckResult([], [])

    def add_error(self, path: str, message: str) -> None:
        """Adds a finding of the kind OUT_OF_RANGE, also for a missing or malformed value."""
        self.result.findings.append(Finding(OUT_OF_RANGE, path, message))

    def report_unknown(self, keys: Iterable[str], struct: type[Struct], path: str) -> None:
        """Reports each key that a type of the schema doesn't have; `path` goes before the key."""
        fields = {field.encode_name for field in _fields(struct)}
        for key in keys:
            if key not in fields:
                self.result.findings.append(Finding(UNKNOWN, path + key, "no such key"))

    def add_row(self, path: str, value: Any, unit: str = "", source: str = "file") -> None:
        """Adds a value in force."""
        self.result.rows.append(Row(path, value, unit, source))

    def read_addresses(self) -> None:
        """Reads the addresses of the listener and of discovery."""
        for key in ("listen", "discovery"):
            variable = "EDGE_" + key.upper()
            override = self.environ.get(variable)
            if not override and self.raw.get(key) is None:
                self.add_error(key, "missing")
                continue
            try:
                parse_ipv4_address(override or self.raw.get(key))
                self.add_row(key, override or self.raw.get(key), source=variable if override else "file")
            except ValueError as error:
                self.add_error(key, _error_text(error) + f" (from {variable})" * bool(override))

    def read_name(self) -> None:
        """Reads the name of the proxy."""
        override = self.environ.get("EDGE_NAME")
        source = "EDGE_NAME" if override else "file" if "name" in self.raw else "default"
        try:
            self.add_row("name", override or str(self.raw.get("name", "")), source=source)
        except RecursionError:
            self.add_error("name", "nested too deeply")

    def read_log_options(self) -> None:
        """Reads the format and the level of the log from the environment."""
        for variable, default in (("EDGE_LOG_FORMAT", "text"), ("EDGE_LOG_LEVEL", "info")):
            override = self.environ.get(variable)
            try:
                read_log_options({variable: override or ""})
                self.add_row(variable, override or default, source=variable if override else "default")
            except ValueError as error:
                self.add_error(variable, _error_text(error))

    def read_random_seed(self) -> None:
        """Reads the random seed."""
        seed = self.raw.get("seed", 0)
        try:
            value = parse_seed(seed)
            self.add_row("seed", f"{value:x}", "hex", "file" if "seed" in self.raw else "default")
        except (ValueError, RecursionError):
            self.add_error(
                "seed", f"{abbreviate(seed)} is not a whole number or hex string of at most 256 bits"
            )

    def read_limits(self) -> None:
        """Reads the limits of the process."""
        limits = self.raw.get("limits") or {}
        if not isinstance(limits, dict):
            self.add_error("limits", "not an object")
            return
        soft_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        if soft_limit == resource.RLIM_INFINITY:
            soft_limit = 1 << 20
        self.read_socket_limit(limits)
        self.read_memory_limit(limits)
        self.report_unknown(limits, schema.Limits, "limits.")
        if "cores" in limits:
            self.result.findings.append(Finding(NO_EFFECT, "limits.cores", "enforced by the platform"))

    def read_socket_limit(self, limits: dict[str, Any]) -> None:
        """Reads the limit of file descriptors; that of the process is an upper bound."""
        soft_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        if soft_limit == resource.RLIM_INFINITY:
            soft_limit = 1 << 20
        configured = limits.get("sockets", soft_limit)
        try:
            sockets = min(int(configured), soft_limit)
        except (ValueError, TypeError, OverflowError):
            self.add_error("limits.sockets", f"{abbreviate(configured)} is not a whole number")
            return
        if sockets < 64:
            self.add_error("limits.sockets", f"{sockets} must be at least 64")
            return
        source = "process limit" if "sockets" not in limits or int(configured) > soft_limit else "file"
        self.add_row("limits.sockets", sockets, "descriptors", source)

    def read_memory_limit(self, limits: dict[str, Any]) -> None:
        """Reads the memory limit in MB."""
        configured = limits.get("memory_mb", 192)
        try:
            memory = float(configured)
        except (ValueError, TypeError, OverflowError):
            self.add_error("limits.memory_mb", f"{abbreviate(configured)} is not a number")
            return
        if not 0 < memory < 1 << 30:
            self.add_error("limits.memory_mb", f"{memory} must be greater than 0 and less than {1 << 30}")
            return
        self.add_row(
            "limits.memory_mb", memory, schema.MEGABYTES, "file" if "memory_mb" in limits else "default"
        )

    def read_known_servers(self) -> None:
        """Reads `known`, the saved list of servers. Reports each of them that makes the list unusable."""
        known = self.raw.get("known") or {}
        if not isinstance(known, dict):
            self.add_error("known", "not an object")
            return
        self.report_unknown(known, schema.Known, "known.")
        if not known:
            self.add_row("known.endpoints", 0, "servers", "default")
            return
        try:
            self.add_row("known.endpoints", len(read_listing(known).backends), "servers")
        except (ValueError, RecursionError):
            self.report_known_errors(known)
        servers = known.get("endpoints")
        for number, server in enumerate(servers if isinstance(servers, list) else ()):
            if isinstance(server, dict):
                self.report_unknown(server, schema.Endpoint, f"known.endpoints.{number}.")

    def report_known_errors(self, known: dict[str, Any]) -> None:
        """Reports each unusable server of the list, and errors of the list itself."""
        findings_before = len(self.result.findings)
        servers = known.get("endpoints")
        for number, server in enumerate(servers if isinstance(servers, list) else ()):
            try:
                read_listing({"index": 0, "snapshot": True, "endpoints": [server]})
            except (ValueError, RecursionError) as error:
                self.add_error(f"known.endpoints.{number}", _error_text(error))
        try:
            read_listing({**known, "endpoints": []})
        except (ValueError, RecursionError) as error:
            self.add_error("known", _error_text(error))
        if len(self.result.findings) == findings_before:
            self.add_error("known.endpoints", "missing, or not a list of servers")


def _suspicious_values(rows: Iterable[Row]) -> Iterable[tuple[str, str]]:
    """Yields the path of each value that `run` accepts but that is probably a mistake, and the reason."""
    values = {row.path: row.value for row in rows}
    if values.get("settings.me", 0) >= values.get("settings.balancers", math.inf):
        yield "settings.me", "not less than balancers; proxies are numbered from 0"
    if 0 < len(values.get("settings.stages", ())) <= values.get("settings.stage", 0):
        yield "settings.stage", "not an index into stages"
    if values.get("limits.memory_mb", math.inf) <= BASE_MEMORY_MB:
        yield "limits.memory_mb", f"the process alone needs {BASE_MEMORY_MB} MB"
    for path, value in values.items():
        parent, _, name = path.rpartition(".")
        if name == "deadline" and values.get(parent + ".objective", 0.0) > value:
            yield parent + ".objective", "longer than the deadline"
        if name == "effect" and value == "by_key" and values.get(parent + ".window") == 0:
            yield parent + ".window", "a window of 0 s leaves no time for a retry"


def check_content(raw: object, environ: Mapping[str, str]) -> CheckResult:
    """Checks the parsed content of a file, with the environment variables that override parts of it.

    Returns every value that `run` would read and every problem. Raises nothing for bad content.
    """
    if not isinstance(raw, dict):
        return CheckResult([], [Finding(OUT_OF_RANGE, "", "the file does not hold an object")])
    reader = _TopLevelReader(raw, environ)
    reader.read_name()
    reader.read_addresses()
    reader.read_random_seed()
    reader.read_limits()
    reader.read_known_servers()
    reader.read_log_options()
    reader.report_unknown(raw, schema.ConfigFile, "")
    settings = _check_settings(raw.get("settings"))
    rows = reader.result.rows + settings.rows
    doubtful = [Finding(DOUBTFUL, path, message) for path, message in _suspicious_values(rows)]
    return CheckResult(rows, reader.result.findings + settings.findings + doubtful)
