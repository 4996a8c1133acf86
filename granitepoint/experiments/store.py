"""Results in one SQLite file, a row a cell, written when it has ended: a stop loses what was in play."""

from __future__ import annotations

import sqlite3
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import msgspec

from granitepoint.emulator import tally

SCHEMA = """
CREATE TABLE IF NOT EXISTS about (key TEXT PRIMARY KEY, value TEXT NOT NULL);
CREATE TABLE IF NOT EXISTS cells (
    variant TEXT NOT NULL,
    day TEXT NOT NULL,
    seed INTEGER NOT NULL,
    digest TEXT NOT NULL,      -- of all that its figures come from
    commit_id TEXT NOT NULL,   -- of the module; empty: the work tree
    took_s REAL NOT NULL,      -- of real time
    fault TEXT NOT NULL,       -- empty: it was played to its end
    records BLOB NOT NULL,     -- the emulator's, a JSON line each
    PRIMARY KEY (variant, day, seed)
);
"""
FORMAT = "1"
Records = tally.Begin | tally.Seen | tally.Sample | tally.Window | tally.Group | tally.Depth | tally.Total


class StoreError(Exception):
    """The file can't be used; the message is one line."""


@dataclass(frozen=True, slots=True)
class Result:
    """A cell that was played, or that ended in a fault."""

    variant: str
    day: str
    seed: int
    digest: str
    commit: str
    took_s: float
    fault: str
    records: bytes = b""

    def read(self) -> list[Records]:
        """Its records, in the emulator's order. Raises StoreError."""
        decoder: msgspec.json.Decoder[Records] = msgspec.json.Decoder(Records)
        try:
            return [decoder.decode(line) for line in self.records.splitlines()]
        except (msgspec.ValidationError, msgspec.DecodeError) as fault:
            raise StoreError(f"{self.variant} {self.day} seed {self.seed}: {fault}") from None

    def total(self) -> tally.Total:
        """Raises StoreError."""
        for record in reversed(self.read()):
            if isinstance(record, tally.Total):
                return record
        raise StoreError(f"{self.variant} {self.day} seed {self.seed}: no total")


@contextmanager
def _plain(path: Path) -> Iterator[None]:
    try:
        yield
    except sqlite3.Error as fault:
        raise StoreError(f"{path}: {fault}") from None


class Store:
    """One file of results. Raises StoreError."""

    def __init__(self, path: Path, *, create: bool = False) -> None:
        self.path = path
        if not create and not path.is_file():
            raise StoreError(f"{path}: no such file")
        with _plain(path):
            self._db = sqlite3.connect(path)
            try:
                if create:
                    self._db.execute("PRAGMA journal_mode = WAL")
                    self._db.executescript(SCHEMA)
                    self._db.execute("INSERT OR IGNORE INTO about VALUES ('format', ?)", (FORMAT,))
                    self._db.commit()
                held = self.about("format")
            except BaseException:
                self._db.close()
                raise
        if held != FORMAT:
            self._db.close()
            raise StoreError(f"{path}: results in another format: {held or 'none'}")

    def close(self) -> None:
        self._db.close()

    def about(self, key: str) -> str:
        """Empty where nothing was said."""
        row = self._db.execute("SELECT value FROM about WHERE key = ?", (key,)).fetchone()
        return str(row[0]) if row else ""

    def say(self, key: str, value: str) -> None:
        with _plain(self.path), self._db:
            self._db.execute("INSERT OR REPLACE INTO about VALUES (?, ?)", (key, value))

    def keep(self, result: Result) -> None:
        with _plain(self.path), self._db:
            self._db.execute(
                "INSERT OR REPLACE INTO cells VALUES (?, ?, ?, ?, ?, ?, ?, ?)",
                (
                    result.variant, result.day, result.seed, result.digest, result.commit, result.took_s,
                    result.fault, result.records,
                ),
            )  # fmt: skip

    def digests(self) -> dict[tuple[str, str, int], str]:
        """Of the cells that were played to their end."""
        with _plain(self.path):
            rows = self._db.execute("SELECT variant, day, seed, digest FROM cells WHERE fault = ''")
            return {(variant, day, seed): digest for variant, day, seed, digest in rows}

    def keep_only(self, wanted: Iterable[tuple[str, str, int]]) -> int:
        """Drops the cells that the experiment no longer has; returns how many."""
        with _plain(self.path), self._db:
            held = set(self._db.execute("SELECT variant, day, seed FROM cells")) - set(wanted)
            self._db.executemany("DELETE FROM cells WHERE variant = ? AND day = ? AND seed = ?", held)
            return len(held)

    def results(self) -> list[Result]:
        """All, in the order of day, seed and variant, with their records."""
        with _plain(self.path):
            rows = self._db.execute("SELECT * FROM cells ORDER BY day, seed, variant")
            return [Result(*row) for row in rows]

    def result(self, variant: str, day: str, seed: int) -> Result | None:
        with _plain(self.path):
            row = self._db.execute(
                "SELECT * FROM cells WHERE variant = ? AND day = ? AND seed = ?", (variant, day, seed)
            ).fetchone()
            return Result(*row) if row else None
