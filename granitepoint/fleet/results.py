"""Results as JSON lines: one record a line, the machine and the experiment first, the end last."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import IO, Any, TypeVar

import msgspec


class Record(msgspec.Struct, tag_field="type", kw_only=True):
    pass


class Begin(Record, tag="begin"):
    """What ran, where and of which commit."""

    experiment: dict[str, Any]
    machine: dict[str, Any]
    commit: str
    began: str  # UTC


class Process(Record, tag="process"):
    """One process over the measured time."""

    role: str
    name: str
    pid: int
    holds: int  # proxies, backends or desks in it
    span_s: float
    cpu_s: float
    memory_begin: int  # bytes of its own
    memory_end: int

    @property
    def cores(self) -> float:
        return self.cpu_s / self.span_s if self.span_s > 0 else 0.0


class Calls(Record, tag="calls"):
    """What became of the calls, over all callers."""

    planned: int
    tries: int
    outcomes: dict[str, int]
    by_zone: dict[str, int]
    worst_second: dict[str, float]  # share served in time in it, and which it was
    latency: dict[str, dict[str, float]]  # from the planned send, by class
    added: dict[str, float]  # beyond the backend's own time, first tries
    late_sends: dict[str, float]  # the callers' own lateness
    front_looks: int  # at /healthz
    by_second: list[dict[str, int]]


class Stages(Record, tag="stages"):
    """The time of a call in the hollow proxies, by stage."""

    proxies: int
    histograms: dict[str, dict[str, float]]
    settling: int


class Control(Record, tag="control"):
    """Discovery, over the measured time and all callers."""

    desks: int
    span_s: float
    calls: int
    whole_lists: int
    changes: int
    empty: int
    entries: int
    refused: int
    watches_begun: int
    renewed: int
    bytes_in: int
    bytes_out: int
    busy_s: float  # of its one server
    most_bytes_of_one: int
    calls_by_100ms: dict[str, int]


class Backends(Record, tag="backends"):
    """What hollow backends saw, by service."""

    service: int
    holds: int
    counts: dict[str, int]


class Proxies(Record, tag="proxies"):
    """Hollow proxies' own counts, over the measured time."""

    holds: int
    totals: dict[str, int]


class Event(Record, tag="event"):
    """Something that a trouble did, or that was seen of it. Times since the measured time began."""

    at_s: float
    what: str
    figures: dict[str, Any] = {}


class End(Record, tag="end"):
    complete: bool  # False: it was stopped, and this is what had been measured
    why: str = ""


RecordType = TypeVar("RecordType", bound=Record)
AnyRecord = Begin | Process | Calls | Stages | Control | Backends | Proxies | Event | End


class ResultsError(Exception):
    """The file holds something else; the message names the line."""


class Writer:
    """Appends a record at once, so that what was measured is kept whatever comes."""

    def __init__(self, path: Path) -> None:
        path.parent.mkdir(parents=True, exist_ok=True)
        self.path = path
        self._file: IO[bytes] = path.open("wb")

    def write(self, record: Record) -> None:
        self._file.write(msgspec.json.encode(record) + b"\n")
        self._file.flush()

    def close(self) -> None:
        self._file.close()


def read(path: Path) -> list[AnyRecord]:
    """Raises ResultsError."""
    decoder: msgspec.json.Decoder[AnyRecord] = msgspec.json.Decoder(AnyRecord)
    records: list[AnyRecord] = []
    for number, line in enumerate(path.read_bytes().splitlines(), 1):
        try:
            records.append(decoder.decode(line))
        except (msgspec.ValidationError, msgspec.DecodeError) as error:
            raise ResultsError(f"{path}:{number}: {error}") from None
    return records


def single_record(records: Sequence[Record], record_type: type[RecordType]) -> RecordType:
    """The one record of this kind. Raises ResultsError."""
    found = [record for record in records if isinstance(record, record_type)]
    if len(found) != 1:
        raise ResultsError(f"{len(found)} records of kind {record_type.__name__.lower()}, not one")
    return found[0]
