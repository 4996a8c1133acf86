"""Lists of backends in the format of discovery."""

from __future__ import annotations

import json
import math
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

from granitepoint.interface import ServerEntry, ServerState
from granitepoint.membership.start_times import StartTimes
from granitepoint.net.config import Address, parse_address

MS_PER_SECOND = 1000
JSON_VALUE_BYTES = 64  # memory of a parsed value beside its characters, about
MAX_PARSED_RATIO = 4  # of the memory of a parsed list to the limit of its size as received

# Status of a server in a list -> its state in the balancer.
STATES_BY_STATUS = {
    "Ready": ServerState.SERVING,
    "Terminating": ServerState.DRAINING,
    "Gone": ServerState.GONE,
}


@dataclass(slots=True)
class ListedBackend:
    """A backend as an entry of a list."""

    address: Address
    entry: ServerEntry


@dataclass(slots=True)
class Listing:
    """A full list of backends, or the changes since an earlier version."""

    version: int
    full: bool
    backends: list[ListedBackend]
    written_after: float | None = None  # monotonic; earliest time at which it was written; None: unknown
    # Whether the list answers the newest call of the watch. If not, that call may still be open.
    answers_newest_call: bool = True
    # Seconds that discovery needed, without the time for which it held the call; None: unknown.
    service_time: float | None = None


def parse_document(text: bytes, max_size: int) -> object:
    """Parses the JSON of a list. `max_size` is the limit of its bytes as received.

    Raises ValueError if it is malformed, or if its values, which may be small, would take too much memory.
    """
    values = sum(text.count(mark) for mark in (b",", b"{", b"["))
    if len(text) + values * JSON_VALUE_BYTES > MAX_PARSED_RATIO * max_size:
        raise ValueError("the list would take too much memory")
    return json.loads(text)


def server_id(name: str) -> int:
    """Returns the number by which the balancer identifies a backend.

    It is the same at every proxy, as all proxies have to build the same hash ring.
    """
    return int.from_bytes(blake2b(name.encode(), digest_size=6).digest(), "big")


def read_listing(document: object, start_times: StartTimes | None = None) -> Listing:
    """Parses a list of discovery. Raises ValueError if it is malformed.

    `start_times` holds the start times of the servers in earlier lists, and is updated.
    """
    try:
        if not isinstance(document, Mapping):
            raise ValueError("not an object")
        items = list(document["endpoints"])
        listing = Listing(
            int(document["index"]), bool(document["snapshot"]), [_read_backend(item) for item in items]
        )
        unix_starts = [
            (str(item["name"]), float(item.get("since_ms") or 0) / MS_PER_SECOND) for item in items
        ]
        if not all(math.isfinite(start) for _, start in unix_starts):
            raise ValueError("a start time is not finite")
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise ValueError(f"malformed list: {error!r}") from None
    _set_start_times(listing, unix_starts, start_times or StartTimes())
    return listing


def _set_start_times(
    listing: Listing, unix_starts: Sequence[tuple[str, float]], start_times: StartTimes
) -> None:
    """Sets the start times of the listed servers, on the clock of this process.

    `unix_starts`: the name of each listed server, and the Unix time of its start in seconds.
    """
    started = start_times.to_local_times(dict(unix_starts), time.monotonic())
    for (name, _), listed in zip(unix_starts, listing.backends, strict=True):
        listed.entry.started_at = started[name]
        if listed.entry.state is ServerState.GONE:
            start_times.remove(name)
    if listing.full:
        start_times.keep_only(set(started))


def _read_backend(item: Mapping[str, Any]) -> ListedBackend:
    entry = ServerEntry(
        server=server_id(str(item["name"])),
        zone=str(item.get("zone", "")),
        kind=str(item.get("type", "")),
        cell=int(item.get("group", 0)),
        state=STATES_BY_STATUS[item["status"]],
        weight=float(item.get("weight", 1.0)),
    )
    if not math.isfinite(entry.weight):
        raise ValueError("a weight is not finite")
    return ListedBackend(parse_address(item["address"]), entry)
