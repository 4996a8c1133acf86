"""Plays an experiment's cells on all cores, a process each, and keeps each result as it comes."""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterable, Mapping
from concurrent.futures import FIRST_COMPLETED, Future, ThreadPoolExecutor, wait
from dataclasses import dataclass
from hashlib import sha256
from pathlib import Path

import msgspec

from granitepoint.experiments.plan import Cell, Experiment, cells
from granitepoint.experiments.store import Result, Store
from granitepoint.experiments.versions import Version, at_revision, present

MOST_SAID = 500  # characters of a fault


@dataclass(slots=True)
class Progress:
    """What became of the cells so far."""

    cells: int
    held: int  # results of an earlier run that still stand
    played: int = 0
    faults: int = 0
    stopped: bool = False  # before all were played


class Stopped(Exception):
    """The run is to end: cells in play are ended, their results not kept."""


class Player:
    """One process a cell. `stop` ends those in play and keeps further ones from starting."""

    def __init__(self, longest: float) -> None:
        self.longest = longest
        self.running: set[subprocess.Popen[bytes]] = set()
        self.stopped = False

    def stop(self) -> None:
        self.stopped = True
        for process in list(self.running):
            process.kill()

    def play(self, cell: Cell, version: Version) -> Result:
        """Raises Stopped."""
        begun = time.monotonic()
        environ = {**os.environ, "PYTHONPATH": str(version.root)}
        process = subprocess.Popen(
            [sys.executable, "-P", "-m", "granitepoint.experiments.cell"],
            cwd=version.root, env=environ, stdin=subprocess.PIPE, stdout=subprocess.PIPE,
            stderr=subprocess.PIPE, process_group=0,
        )  # fmt: skip
        self.running.add(process)
        try:
            if self.stopped:
                process.kill()
            out, told = process.communicate(msgspec.json.encode(cell.played), timeout=self.longest)
            fault = "" if process.returncode == 0 else _said(told) or f"ended with {process.returncode}"
        except subprocess.TimeoutExpired:
            process.kill()
            process.communicate()
            out, fault = b"", f"not at its end after {self.longest:g} s"
        finally:
            self.running.discard(process)
        if self.stopped:
            raise Stopped
        took = time.monotonic() - begun
        records = b"" if fault else out
        return Result(
            cell.variant, cell.day, cell.seed, digest(cell, version), version.commit, took, fault, records
        )


def _said(told: bytes) -> str:
    """The last line: of a traceback it is the error."""
    lines = told.decode(errors="replace").strip().splitlines()
    return lines[-1][:MOST_SAID] if lines else ""


def digest(cell: Cell, version: Version) -> str:
    """Stands for all that a cell's figures come from: a result with another one is played again."""
    return sha256(version.digest.encode() + msgspec.json.encode(cell.played)).hexdigest()


def versions(plan: Experiment, into: Path) -> dict[str, Version]:
    """The tree of each variant. Raises ExperimentError."""
    found: dict[str, Version] = {}
    for variant in plan.variants:
        found[variant.name] = at_revision(variant.revision, into) if variant.revision else present()
    return found


def run(
    plan: Experiment, beside: Path, store: Store, jobs: int, tell: Callable[[Progress, Result], None]
) -> Progress:
    """Plays what the store does not hold yet. A KeyboardInterrupt ends it, and what has ended is kept.

    `beside`: the folder of the experiment's file. `jobs`: processes at a time. `tell` hears of each result.
    Raises ExperimentError, StoreError.
    """
    wanted = cells(plan, beside)
    with tempfile.TemporaryDirectory(prefix="granitepoint-") as folder:
        trees = versions(plan, Path(folder))
        store.keep_only((cell.variant, cell.day, cell.seed) for cell in wanted)
        store.say("experiment", msgspec.json.encode(plan).decode())
        held = store.digests()
        due = [c for c in wanted if held.get((c.variant, c.day, c.seed)) != digest(c, trees[c.variant])]
        progress = Progress(len(wanted), len(wanted) - len(due))
        _play_all(due, trees, Player(plan.longest_s), jobs, store, progress, tell)
    return progress


def _play_all(
    due: Iterable[Cell],
    trees: Mapping[str, Version],
    player: Player,
    jobs: int,
    store: Store,
    progress: Progress,
    tell: Callable[[Progress, Result], None],
) -> None:
    with ThreadPoolExecutor(jobs) as pool:
        open_: set[Future[Result]] = {pool.submit(player.play, cell, trees[cell.variant]) for cell in due}
        try:
            while open_:
                done, open_ = wait(open_, return_when=FIRST_COMPLETED)
                for future in done:
                    result = future.result()
                    store.keep(result)
                    progress.played += 1
                    progress.faults += bool(result.fault)
                    tell(progress, result)
        except KeyboardInterrupt:
            progress.stopped = True
        finally:
            for future in open_:
                future.cancel()
            player.stop()
