"""The memory that the kernel counts for this process."""

from __future__ import annotations

import os
from pathlib import Path

MEBIBYTE = 1 << 20
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
STATM = Path("/proc/self/statm")  # proc(5): sizes in pages; the second is the resident one


def resident_mb() -> float | None:
    """Returns the resident memory of this process in MB, or None where the kernel does not tell it."""
    try:
        return int(STATM.read_text(encoding="ascii").split()[1]) * PAGE_BYTES / MEBIBYTE
    except (OSError, ValueError, IndexError):
        return None
