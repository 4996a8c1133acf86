"""The configuration of one proxy: the JSON file and the EDGE_* variables, read into one typed object."""

from __future__ import annotations

import json
import logging
import resource
from collections.abc import Mapping
from dataclasses import dataclass
from ipaddress import IPv4Address
from pathlib import Path
from typing import Any

from granitepoint.interface import Settings
from granitepoint.net import logs
from granitepoint.simulator_adapter import read_settings

Address = tuple[str, int]  # host and port
MAX_SEED = 1 << 256  # seeds are between -MAX_SEED and MAX_SEED, both excluded


class ConfigError(Exception):
    """The configuration is invalid; the message is one line."""


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one proxy. An address is a numeric host with a port."""

    name: str
    listen: Address
    discovery: Address
    seed: int  # of the random number generators
    sockets: int  # limit of open file descriptors
    memory_mb: float
    known: Mapping[str, Any]  # list of servers to start with: the last known one, in discovery's format
    settings: Settings
    log_options: tuple[logs.Format, int] = (logs.Format.TEXT, logging.INFO)  # format and minimum level


def parse_address(text: object) -> Address:
    """Parses `host:port` or `[host]:port`; the host is neither checked nor resolved. Raises ValueError."""
    if not isinstance(text, str):
        raise ValueError(f"not an address: {text!r}")
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 <= int(port) <= 65535:
        raise ValueError(f"not an address: {text!r}")
    return host.strip("[]"), int(port)


def parse_ipv4_address(text: object) -> Address:
    """Parses `host:port` with an IPv4 host: the proxy's sockets are IPv4 only. Raises ValueError."""
    host, port = parse_address(text)
    return str(IPv4Address(host)), port


def flatten_settings(value: object, path: str = "", into: dict[str, str] | None = None) -> dict[str, str]:
    """Converts the settings object to the simulator's flat path=value pairs: one parser reads both forms."""
    pairs = {} if into is None else into
    if isinstance(value, dict):
        for key, item in value.items():
            flatten_settings(item, f"{path}.{key}" if path else str(key), pairs)
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        pairs[path + ".count"] = str(len(value))
        for number, item in enumerate(value):
            flatten_settings(item, f"{path}.{number}", pairs)
    elif isinstance(value, list):
        pairs[path] = ",".join(str(item) for item in value)
        if not value:
            pairs[path + ".count"] = "0"
    elif isinstance(value, bool):
        pairs[path] = "true" if value else "false"
    elif value is not None:
        pairs[path] = str(value)
    return pairs


def parse_seed(text: object) -> int:
    """Parses a seed: a string of hexadecimal digits, or an integer, at most 256 bits. Raises ValueError."""
    seed = int(text, 16) if isinstance(text, str) else int(str(text))
    if abs(seed) >= MAX_SEED:
        raise ValueError("seed is longer than 256 bits")
    return seed


def _read_file(environ: Mapping[str, str]) -> dict[str, Any]:
    path = environ.get("EDGE_CONFIG")
    if not path:
        raise ValueError("EDGE_CONFIG is not set")
    raw = json.loads(Path(path).read_text(encoding="utf-8"))
    if not isinstance(raw, dict) or not isinstance(raw.get("settings"), dict):
        raise ValueError("the file has no settings object")
    return raw


def _config_error(error: Exception) -> ConfigError:
    """Returns the error with a one-line message, control characters from the file escaped."""
    text = " ".join(f"bad configuration: {error}".split())
    return ConfigError("".join(char if char.isprintable() else ascii(char)[1:-1] for char in text))


def load(environ: Mapping[str, str]) -> Config:
    """Reads the file named by EDGE_CONFIG; the other EDGE_* variables override it. Raises ConfigError."""
    try:
        raw = _read_file(environ)
        known = raw.get("known") or {}
        limits = raw.get("limits") or {}
        if not isinstance(known, dict) or not isinstance(limits, dict):
            raise ValueError("known and limits must be objects")
        soft_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        if soft_limit == resource.RLIM_INFINITY:
            soft_limit = 1 << 20
        sockets = min(int(limits.get("sockets", soft_limit)), soft_limit)
        if sockets < 64:
            raise ValueError(f"limits.sockets is below 64: {sockets}")
        memory_mb = float(limits.get("memory_mb", 192))
        if not 0 < memory_mb < 1 << 30:
            raise ValueError(f"limits.memory_mb is out of range: {memory_mb}")
        return Config(
            name=environ.get("EDGE_NAME") or str(raw.get("name", "")),
            listen=parse_ipv4_address(environ.get("EDGE_LISTEN") or raw.get("listen")),
            discovery=parse_ipv4_address(environ.get("EDGE_DISCOVERY") or raw.get("discovery")),
            seed=parse_seed(raw.get("seed", 0)),
            sockets=sockets,
            memory_mb=memory_mb,
            known=known,
            settings=read_settings(flatten_settings(raw["settings"])),
            log_options=logs.read_log_options(environ),
        )
    except (OSError, ValueError, TypeError, AttributeError, OverflowError, RecursionError) as error:
        raise _config_error(error) from None


def reload_discovery_address(environ: Mapping[str, str]) -> Address:
    """Reads the discovery address from the file again. Raises ConfigError.

    EDGE_DISCOVERY does not override it here: the variables of a running process don't change, so a reload
    could never change the address.
    """
    try:
        return parse_ipv4_address(_read_file(environ).get("discovery"))
    except (OSError, ValueError, RecursionError) as error:
        raise _config_error(error) from None
