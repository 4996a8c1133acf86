"""What is measured, and how it travels between processes: histograms, a process's figures, the machine."""

from __future__ import annotations

import os
import platform
import subprocess
import time
from dataclasses import dataclass
from pathlib import Path

import psutil
from hdrh.histogram import HdrHistogram

LONGEST = 120_000_000  # us that a histogram holds
DIGITS = 3  # of each figure that are kept
SHARES = (50.0, 99.0, 99.9)


class Histogram:
    """Durations in seconds, kept in whole microseconds."""

    def __init__(self, packed: str = "") -> None:
        self._held = HdrHistogram.decode(packed) if packed else HdrHistogram(1, LONGEST, DIGITS)

    def add(self, seconds: float) -> None:
        self._held.record_value(min(LONGEST, max(0, round(seconds * 1e6))))

    def merge(self, other: Histogram) -> None:
        self._held.add(other._held)

    def pack(self) -> str:
        packed: bytes = self._held.encode()
        return packed.decode()

    @property
    def count(self) -> int:
        return int(self._held.get_total_count())

    def at(self, share: float) -> float:
        """Seconds within which that many in 100 lie; 0 where nothing was recorded."""
        return self._held.get_value_at_percentile(share) / 1e6 if self.count else 0.0

    @property
    def mean(self) -> float:
        return float(self._held.get_mean_value()) / 1e6 if self.count else 0.0

    def summary(self) -> dict[str, float]:
        """Milliseconds at the usual shares, with the count."""
        figures = {f"p{share:g}_ms": round(self.at(share) * 1e3, 3) for share in SHARES}
        return {"count": float(self.count), "mean_ms": round(self.mean * 1e3, 3), **figures}


@dataclass(frozen=True, slots=True)
class Usage:
    """A process at one moment."""

    at: float  # monotonic
    cpu_s: float  # user and system
    memory: int  # bytes that are its own (USS)
    switches: int  # voluntary context switches

    @staticmethod
    def of(pid: int) -> Usage:
        """Raises psutil.Error where the process is gone."""
        process = psutil.Process(pid)
        with process.oneshot():
            times = process.cpu_times()
            return Usage(
                at=time.monotonic(),
                cpu_s=times.user + times.system,
                memory=int(process.memory_full_info().uss),
                switches=int(process.num_ctx_switches().voluntary),
            )


def machine() -> dict[str, object]:
    """Cores, memory, processor and Python of this machine, and how busy it is."""
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


def commit() -> str:
    """Of the sources that run; with + where they have been changed since."""
    here = Path(__file__).parent
    try:
        made = _git("rev-parse", "--short=10", "HEAD", at=here)
        return made + ("+" if _git("status", "--porcelain", "-uno", at=here) else "")
    except (OSError, subprocess.SubprocessError):
        return "unknown"


def _git(*arguments: str, at: Path) -> str:
    done = subprocess.run(("git", *arguments), cwd=at, capture_output=True, check=True, text=True, timeout=10)
    return done.stdout.strip()
