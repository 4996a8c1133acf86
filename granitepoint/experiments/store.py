"""Stores results in a SQLite file: one row per cell, written when the cell ends.

A cell is one run of an experiment: one variant on one day with one seed. An interrupt loses only the cells
that are running.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import msgspec

from granitepoint.emulator import statistics

SCHEMA = """
CREATE TABLE IF NOT EXISTS about (key TEXT PRIMARY KEY, value TEXT NOT NULL);
CREATE TABLE IF NOT EXISTS cells (
    variant TEXT NOT NULL,
    day TEXT NOT NULL,
    seed INTEGER NOT NULL,
    digest TEXT NOT NULL,      -- of everything that determines the results
    commit_id TEXT NOT NULL,   -- of the decision module; empty: the work tree
    took_s REAL NOT NULL,      -- in real time
    fault TEXT NOT NULL,       -- error message; empty: the cell ran to its end
    records BLOB NOT NULL,     -- of the emulator, as JSON lines
    PRIMARY KEY (variant, day, seed)
);
"""
FORMAT_VERSION = "1"
EmulatorRecord = (
    statistics.Begin
    | statistics.Seen
    | statistics.Sample
    | statistics.Window
    | statistics.Group
    | statistics.Depth
    | statistics.Total
)


class StoreError(Exception):
    """The file or its content cannot be used; the message is one line."""


@dataclass(frozen=True, slots=True)
class Result:
    """The result of a cell that ran to its end or failed. The fields are the columns of the table `cells`."""

    variant: str
    day: str
    seed: int
    digest: str
    commit: str
    took_s: float  # real time
    fault: str  # error message; empty: the cell ran to its end
    records: bytes = b""

    def decode_records(self) -> list[EmulatorRecord]:
        """Decodes the records, in the order in which the emulator wrote them. Raises StoreError."""
        decoder: msgspec.json.Decoder[EmulatorRecord] = msgspec.json.Decoder(EmulatorRecord)
        try:
            return [decoder.decode(line) for line in self.records.splitlines()]
        except (msgspec.ValidationError, msgspec.DecodeError) as error:
            raise StoreError(f"{self.variant} {self.day} seed {self.seed}: {error}") from None

    def total(self) -> statistics.Total:
        """Returns the record with the totals of the cell. Raises StoreError if there is none."""
        for record in reversed(self.decode_records()):
            if isinstance(record, statistics.Total):
                return record
        raise StoreError(f"{self.variant} {self.day} seed {self.seed}: the results have no totals")


@contextmanager
def _sqlite_errors_as_store_errors(path: Path) -> Iterator[None]:
    try:
        yield
    except sqlite3.Error as error:
        raise StoreError(f"{path}: {error}") from None


class Store:
    """A file of results. Methods but get_metadata raise StoreError if the database reports an error."""

    def __init__(self, path: Path, *, create: bool = False) -> None:
        """Opens the file; `create` creates it if it does not exist. Raises StoreError."""
        self.path = path
        if not create and not path.is_file():
            raise StoreError(f"{path}: no such file")
        with _sqlite_errors_as_store_errors(path):
            self._db = sqlite3.connect(path)
            try:
                if create:
                    self._db.execute("PRAGMA journal_mode = WAL")
                    self._db.executescript(SCHEMA)
                    self._db.execute("INSERT OR IGNORE INTO about VALUES ('format', ?)", (FORMAT_VERSION,))
                    self._db.commit()
                stored_version = self.get_metadata("format")
            except BaseException:
                self._db.close()
                raise
        if stored_version != FORMAT_VERSION:
            self._db.close()
            raise StoreError(f"{path}: unsupported results format: {stored_version or 'none'}")

    def close(self) -> None:
        """Closes the database."""
        self._db.close()

    def get_metadata(self, key: str) -> str:
        """Returns the value of a key about the file as a whole; empty if it was never set.

        Raises sqlite3.Error.
        """
        row = self._db.execute("SELECT value FROM about WHERE key = ?", (key,)).fetchone()
        return str(row[0]) if row else ""

    def set_metadata(self, key: str, value: str) -> None:
        """Sets or replaces the value of a key about the file as a whole."""
        with _sqlite_errors_as_store_errors(self.path), self._db:
            self._db.execute("INSERT OR REPLACE INTO about VALUES (?, ?)", (key, value))

    def save(self, result: Result) -> None:
        """Adds the result or replaces that of the same cell."""
        with _sqlite_errors_as_store_errors(self.path), self._db:
            self._db.execute(
                "INSERT OR REPLACE INTO cells VALUES (?, ?, ?, ?, ?, ?, ?, ?)",
                (
                    result.variant, result.day, result.seed, result.digest, result.commit, result.took_s,
                    result.fault, result.records,
                ),
            )  # fmt: skip

    def digests(self) -> dict[tuple[str, str, int], str]:
        """Returns the digests of the cells that ran without an error, by variant, day and seed."""
        with _sqlite_errors_as_store_errors(self.path):
            rows = self._db.execute("SELECT variant, day, seed, digest FROM cells WHERE fault = ''")
            return {(variant, day, seed): digest for variant, day, seed, digest in rows}

    def keep_only(self, wanted: Iterable[tuple[str, str, int]]) -> int:
        """Deletes the results of all cells but `wanted` (variant, day, seed); returns the number deleted."""
        with _sqlite_errors_as_store_errors(self.path), self._db:
            obsolete = set(self._db.execute("SELECT variant, day, seed FROM cells")) - set(wanted)
            self._db.executemany("DELETE FROM cells WHERE variant = ? AND day = ? AND seed = ?", obsolete)
            return len(obsolete)

    def results(self) -> list[Result]:
        """Returns all results, ordered by day, seed and variant."""
        with _sqlite_errors_as_store_errors(self.path):
            rows = self._db.execute("SELECT * FROM cells ORDER BY day, seed, variant")
            return [Result(*row) for row in rows]

    def result(self, variant: str, day: str, seed: int) -> Result | None:
        """Returns the result of one cell, or None."""
        with _sqlite_errors_as_store_errors(self.path):
            row = self._db.execute(
                "SELECT * FROM cells WHERE variant = ? AND day = ? AND seed = ?", (variant, day, seed)
            ).fetchone()
            return Result(*row) if row else None
