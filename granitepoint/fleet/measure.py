"""Measurements: latency histograms, resource usage of a process, and facts about the machine."""

from __future__ import annotations

import os
import platform
import subprocess
import time
from dataclasses import dataclass
from pathlib import Path

import psutil
from hdrh.histogram import HdrHistogram

MAX_DURATION_US = 120_000_000  # longer durations are recorded as this one
SIGNIFICANT_DIGITS = 3  # with which durations are recorded
PERCENTILES = (50.0, 99.0, 99.9)


class Histogram:
    """Histogram of durations in seconds, with a resolution of 1 us at best."""

    def __init__(self, encoded: str = "") -> None:
        """Creates an empty histogram, or one from the result of `encode`."""
        self._histogram = (
            HdrHistogram.decode(encoded) if encoded else HdrHistogram(1, MAX_DURATION_US, SIGNIFICANT_DIGITS)
        )

    def add(self, seconds: float) -> None:
        """Records a duration; negative ones count as 0."""
        self._histogram.record_value(min(MAX_DURATION_US, max(0, round(seconds * 1e6))))

    def merge(self, other: Histogram) -> None:
        """Adds all durations of another histogram to this one."""
        self._histogram.add(other._histogram)

    def encode(self) -> str:
        """Returns the histogram as text; `Histogram(text)` restores it, also in another process."""
        encoded: bytes = self._histogram.encode()
        return encoded.decode()

    @property
    def count(self) -> int:
        """Number of recorded durations."""
        return int(self._histogram.get_total_count())

    def percentile(self, percent: float) -> float:
        """Returns a percentile (0 to 100) in seconds; 0 if nothing was recorded."""
        return self._histogram.get_value_at_percentile(percent) / 1e6 if self.count else 0.0

    @property
    def mean(self) -> float:
        """Mean in seconds; 0 if nothing was recorded."""
        return float(self._histogram.get_mean_value()) / 1e6 if self.count else 0.0

    def summary(self) -> dict[str, float]:
        """Returns the count, and the mean and PERCENTILES in milliseconds."""
        values = {f"p{percent:g}_ms": round(self.percentile(percent) * 1e3, 3) for percent in PERCENTILES}
        return {"count": float(self.count), "mean_ms": round(self.mean * 1e3, 3), **values}


@dataclass(frozen=True, slots=True)
class Usage:
    """Resource usage of a process at one moment."""

    at: float  # monotonic, s
    cpu_s: float  # user and system time since its start
    memory_bytes: int  # unique set size (USS): memory that no other process shares
    context_switches: int  # voluntary ones since its start

    @staticmethod
    def of(pid: int) -> Usage:
        """Measures a process. Raises psutil.Error if it has ended."""
        process = psutil.Process(pid)
        with process.oneshot():
            times = process.cpu_times()
            return Usage(
                at=time.monotonic(),
                cpu_s=times.user + times.system,
                memory_bytes=int(process.memory_full_info().uss),
                context_switches=int(process.num_ctx_switches().voluntary),
            )


def describe_machine() -> dict[str, object]:
    """Returns this machine's cores, memory, processor, Python and system versions, and load average."""
    model = platform.processor()
    for line in Path("/proc/cpuinfo").read_text(encoding="utf-8").splitlines():
        if line.startswith("model name"):
            model = line.partition(":")[2].strip()
            break
    return {
        "cores": os.cpu_count(),
        "model": model,
        "memory_mb": round(psutil.virtual_memory().total / 1e6),
        "python": platform.python_version(),
        "system": f"{platform.system()} {platform.release()}",
        "load_average": round(os.getloadavg()[0], 2),
    }


def source_commit() -> str:
    """Returns the git commit of the running sources, or "unknown".

    A "+" is appended if tracked files differ from the commit.
    """
    folder = Path(__file__).parent
    try:
        commit = _git("rev-parse", "--short=10", "HEAD", folder=folder)
        return commit + ("+" if _git("status", "--porcelain", "-uno", folder=folder) else "")
    except (OSError, subprocess.SubprocessError):
        return "unknown"


def _git(*arguments: str, folder: Path) -> str:
    done = subprocess.run(
        ("git", *arguments), cwd=folder, capture_output=True, check=True, text=True, timeout=10
    )
    return done.stdout.strip()
