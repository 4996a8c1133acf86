"""Lists of backends as discovery writes them."""

from __future__ import annotations

import math
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

from granitepoint.interface import ServerEntry, ServerState
from granitepoint.membership.start_times import StartTimes
from granitepoint.net.config import Address, address

MS = 1000  # of a second

STATES = {"Ready": ServerState.SERVING, "Terminating": ServerState.DRAINING, "Gone": ServerState.GONE}


@dataclass(slots=True)
class Listed:
    """A backend as a list names it."""

    address: Address
    entry: ServerEntry


@dataclass(slots=True)
class Listing:
    version: int
    whole: bool
    backends: list[Listed]
    written_after: float | None = None  # monotonic, when it was written at the earliest; None: unknown
    ends_watch: bool = True  # it came on the newest call; otherwise a watch is still out
    turn: float | None = None  # s that the call took without its hold; None: it went on with a watch


def server_id(name: str) -> int:
    """The module's number of a backend: the same at every proxy, whose rings of backends must agree."""
    return int.from_bytes(blake2b(name.encode(), digest_size=6).digest(), "big")


def read_listing(raw: object, starts: StartTimes | None = None) -> Listing:
    """`starts`: the starts that earlier lists have named. Raises ValueError where the list can't be used."""
    try:
        if not isinstance(raw, Mapping):
            raise ValueError("not an object")
        items = list(raw["endpoints"])
        listing = Listing(int(raw["index"]), bool(raw["snapshot"]), [_listed(item) for item in items])
        named = [(str(item["name"]), float(item.get("since_ms") or 0) / MS) for item in items]
        if not all(math.isfinite(start) for _, start in named):
            raise ValueError("a start of the list is not finite")
    except (KeyError, TypeError, AttributeError, OverflowError) as fault:
        raise ValueError(f"malformed list: {fault!r}") from None
    _tell_starts(listing, named, starts or StartTimes())
    return listing


def _tell_starts(listing: Listing, named: Sequence[tuple[str, float]], starts: StartTimes) -> None:
    """When each server was started, on this process's clock."""
    started = starts.to_local_times(dict(named), time.monotonic())
    for (name, _), listed in zip(named, listing.backends, strict=True):
        listed.entry.started_at = started[name]
        if listed.entry.state is ServerState.GONE:
            starts.remove(name)
    if listing.whole:
        starts.keep_only(set(started))


def _listed(item: Mapping[str, Any]) -> Listed:
    entry = ServerEntry(
        server=server_id(str(item["name"])),
        zone=str(item.get("zone", "")),
        kind=str(item.get("type", "")),
        cell=int(item.get("group", 0)),
        state=STATES[item["status"]],
        weight=float(item.get("weight", 1.0)),
    )
    if not math.isfinite(entry.weight):
        raise ValueError("a figure of the list is not finite")
    return Listed(address(item["address"]), entry)
