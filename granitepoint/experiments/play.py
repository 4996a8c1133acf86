"""Runs the cells of an experiment in parallel, one process each, and stores each result as it arrives.

A cell is one variant on one day with one seed.
"""

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

from granitepoint.experiments.plan import Cell, Experiment, expand_cells
from granitepoint.experiments.store import Result, Store
from granitepoint.experiments.versions import Version, version_at_revision, work_tree_version

MAX_ERROR_CHARS = 500


@dataclass(slots=True)
class Progress:
    """Counts of the cells of a run."""

    cells: int
    reused: int  # stored results of an earlier run that are still valid
    finished: int = 0  # run now, including those that failed
    failures: int = 0
    interrupted: bool = False  # the run ended before all cells had run


class RunStopped(Exception):
    """The whole run is being stopped: the cell has been killed and has no result."""


class CellRunner:
    """Runs each cell in its own process. The methods are called from different threads."""

    def __init__(self, max_duration: float) -> None:
        """`max_duration` is the limit of real time for one cell, in seconds."""
        self.max_duration = max_duration
        self.processes: set[subprocess.Popen[bytes]] = set()
        self.stopped = False

    def stop(self) -> None:
        """Kills the running processes and makes each further run_cell raise RunStopped."""
        self.stopped = True
        for process in list(self.processes):
            process.kill()

    def run_cell(self, cell: Cell, version: Version) -> Result:
        """Runs a cell to its end. A failure or timeout is recorded in the result. Raises RunStopped."""
        started_at = time.monotonic()
        environ = {**os.environ, "PYTHONPATH": str(version.root)}
        process = subprocess.Popen(
            [sys.executable, "-P", "-m", "granitepoint.experiments.cell"],
            cwd=version.root, env=environ, stdin=subprocess.PIPE, stdout=subprocess.PIPE,
            stderr=subprocess.PIPE, process_group=0,
        )  # fmt: skip
        self.processes.add(process)
        try:
            # stop() may have run before the process was in the set.
            if self.stopped:
                process.kill()
            stdout, stderr = process.communicate(
                msgspec.json.encode(cell.configured_day), timeout=self.max_duration
            )
            fault = (
                "" if process.returncode == 0 else _last_line(stderr) or f"ended with {process.returncode}"
            )
        except subprocess.TimeoutExpired:
            process.kill()
            process.communicate()
            stdout, fault = b"", f"not at its end after {self.max_duration:g} s"
        finally:
            self.processes.discard(process)
        if self.stopped:
            raise RunStopped
        duration = time.monotonic() - started_at
        records = b"" if fault else stdout
        return Result(
            cell.variant,
            cell.day,
            cell.seed,
            cell_digest(cell, version),
            version.commit,
            duration,
            fault,
            records,
        )


def _last_line(stderr: bytes) -> str:
    """Returns the last line, which is the error if the text is a traceback."""
    lines = stderr.decode(errors="replace").strip().splitlines()
    return lines[-1][:MAX_ERROR_CHARS] if lines else ""


def cell_digest(cell: Cell, version: Version) -> str:
    """Hashes the cell's version and configured day; a stored result with another digest is outdated."""
    return sha256(version.digest.encode() + msgspec.json.encode(cell.configured_day)).hexdigest()


def prepare_versions(plan: Experiment, folder: Path) -> dict[str, Version]:
    """Returns the version of each variant, by the variant's name. Raises ExperimentError.

    The source trees of versions at a git revision are written to `folder`.
    """
    versions: dict[str, Version] = {}
    for variant in plan.variants:
        versions[variant.name] = (
            version_at_revision(variant.revision, folder) if variant.revision else work_tree_version()
        )
    return versions


def run(
    plan: Experiment, folder: Path, store: Store, jobs: int, on_result: Callable[[Progress, Result], None]
) -> Progress:
    """Runs the cells that have no valid result in the store. A KeyboardInterrupt stops it; results are kept.

    `folder` is the folder of the experiment file, `jobs` the number of parallel processes. `on_result` is
    called after each result. Raises ExperimentError and StoreError.
    """
    all_cells = expand_cells(plan, folder)
    with tempfile.TemporaryDirectory(prefix="granitepoint-") as trees_folder:
        versions = prepare_versions(plan, Path(trees_folder))
        store.keep_only((cell.variant, cell.day, cell.seed) for cell in all_cells)
        store.set_metadata("experiment", msgspec.json.encode(plan).decode())
        stored = store.digests()
        pending = [
            c
            for c in all_cells
            if stored.get((c.variant, c.day, c.seed)) != cell_digest(c, versions[c.variant])
        ]
        progress = Progress(len(all_cells), len(all_cells) - len(pending))
        _run_cells(pending, versions, CellRunner(plan.longest_s), jobs, store, progress, on_result)
    return progress


def _run_cells(
    pending: Iterable[Cell],
    versions: Mapping[str, Version],
    runner: CellRunner,
    jobs: int,
    store: Store,
    progress: Progress,
    on_result: Callable[[Progress, Result], None],
) -> None:
    with ThreadPoolExecutor(jobs) as pool:
        unfinished: set[Future[Result]] = {
            pool.submit(runner.run_cell, cell, versions[cell.variant]) for cell in pending
        }
        try:
            while unfinished:
                done, unfinished = wait(unfinished, return_when=FIRST_COMPLETED)
                for future in done:
                    result = future.result()
                    store.save(result)
                    progress.finished += 1
                    progress.failures += bool(result.fault)
                    on_result(progress, result)
        except KeyboardInterrupt:
            progress.interrupted = True
        finally:
            for future in unfinished:
                future.cancel()
            runner.stop()
