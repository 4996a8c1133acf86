"""Results of a run as JSON lines, one record a line; the first says what ran, the last how it ended."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import IO, Any, TypeVar

import msgspec


class Record(msgspec.Struct, tag_field="type", kw_only=True):
    """Base of all records; in the file, the key `type` names the type of the record."""

    pass


class Begin(Record, tag="begin"):
    """The first record: what ran, where and from which commit."""

    experiment: dict[str, Any]
    machine: dict[str, Any]
    commit: str
    began: str  # time of the start, UTC, ISO 8601


class Process(Record, tag="process"):
    """The CPU time and memory of one process during the measurement."""

    role: str
    name: str
    pid: int
    holds: int  # number of proxies, backends or discovery addresses in it
    span_s: float  # measured time
    cpu_s: float  # CPU time used in it
    memory_begin: int  # bytes, without shared pages
    memory_end: int

    @property
    def cores(self) -> float:
        """CPU time used in each second, that is, the mean number of cores in use."""
        return self.cpu_s / self.span_s if self.span_s > 0 else 0.0


class Calls(Record, tag="calls"):
    """The outcomes and latencies of the calls of all callers."""

    planned: int  # calls that have ended; in a complete run, all that were planned
    tries: int  # with retries of the callers
    outcomes: dict[str, int]
    by_zone: dict[str, int]  # calls by "ZONE OUTCOME"
    worst_second: dict[str, float]  # second with the smallest share of calls served in time, and that share
    latency: dict[str, dict[str, float]]  # of served calls, by class, from the planned send
    added: dict[str, float]  # latency less the backend's own time, of calls served at the first try
    late_sends: dict[str, float]  # from the planned to the actual first try; caused by the callers
    front_looks: int  # health checks by the front
    by_second: list[dict[str, int]]  # calls by outcome, for each second of the planned send


class Stages(Record, tag="stages"):
    """How long calls spent in each stage of the hollow proxies (see proxies.STAGES)."""

    proxies: int
    histograms: dict[str, dict[str, float]]
    settling: int  # calls probably delayed by the pause after the previous answer on their connection


class Control(Record, tag="control"):
    """The load on discovery from all proxies during the measurement."""

    desks: int  # addresses, one for each proxy
    span_s: float
    calls: int
    whole_lists: int  # answers with the whole list
    changes: int  # answers with changed entries
    empty: int  # answers without entries
    entries: int  # in all answers
    refused: int
    watches_begun: int
    renewed: int  # calls that continued a watch
    bytes_in: int
    bytes_out: int
    busy_s: float  # simulated processing time of the calls
    most_bytes_of_one: int  # largest sum of bytes in and out of one proxy
    calls_by_100ms: dict[str, int]  # by number of the 100 ms slot since the start of the measurement


class Backends(Record, tag="backends"):
    """The counts of the simulated backends of one service during the measurement."""

    service: int
    holds: int
    counts: dict[str, int]


class Proxies(Record, tag="proxies"):
    """The counts of the hollow proxies during the measurement."""

    holds: int
    totals: dict[str, int]


class Event(Record, tag="event"):
    """An injected fault or an observed effect; `at_s` counts from the start of the measurement."""

    at_s: float
    what: str
    figures: dict[str, Any] = {}


class End(Record, tag="end"):
    """The last record: whether the run was complete."""

    complete: bool  # False: the run was stopped early, and the records cover the time until then
    why: str = ""  # reason of an incomplete run


RecordType = TypeVar("RecordType", bound=Record)
AnyRecord = Begin | Process | Calls | Stages | Control | Backends | Proxies | Event | End


class ResultsError(Exception):
    """A malformed file, or not exactly one record of a type; the message names the line or the type."""


class Writer:
    """Writes each record to the file at once, so that an aborted run keeps what was measured."""

    def __init__(self, path: Path) -> None:
        """Creates the file, or empties an existing one; creates its folder if necessary."""
        path.parent.mkdir(parents=True, exist_ok=True)
        self.path = path
        self._file: IO[bytes] = path.open("wb")

    def write(self, record: Record) -> None:
        """Appends one record."""
        self._file.write(msgspec.json.encode(record) + b"\n")
        self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


def read(path: Path) -> list[AnyRecord]:
    """All records of a file. Raises ResultsError, which names the line."""
    decoder: msgspec.json.Decoder[AnyRecord] = msgspec.json.Decoder(AnyRecord)
    records: list[AnyRecord] = []
    for number, line in enumerate(path.read_bytes().splitlines(), 1):
        try:
            records.append(decoder.decode(line))
        except (msgspec.ValidationError, msgspec.DecodeError) as error:
            raise ResultsError(f"{path}:{number}: {error}") from None
    return records


def single_record(records: Sequence[Record], record_type: type[RecordType]) -> RecordType:
    """Returns the record of this type. Raises ResultsError if there is none or more than one."""
    found = [record for record in records if isinstance(record, record_type)]
    if len(found) != 1:
        raise ResultsError(f"{len(found)} records of kind {record_type.__name__.lower()}, not one")
    return found[0]
