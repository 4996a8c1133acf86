"""Makes system calls of a proxy fail: a plan, the C library that carries it out, and the failure counts."""

from __future__ import annotations

import shutil
import struct
import subprocess
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

SOURCE = Path(__file__).with_name("syscalls.c")
MAX_RULES = 32  # in a plan; the same constant as in syscalls.c
# The file that FAULTS_COUNTS names holds the number of faults of each rule, as 64-bit integers.
COUNTS_FORMAT = struct.Struct(f"={MAX_RULES}Q")


@dataclass(frozen=True, slots=True)
class SyscallFault:
    """One rule of a plan.

    `call` is accept, socket, connect, read, write, epoll (the wait for events), hold (a delay of calls that
    read the monotonic clock) or clock (a step of the wall clock). `fault` is the name of an errno, `short`
    (a read or write of 1 to 3 bytes), the seconds of the delay, or the whole seconds of the step. `share` of
    the calls between `start` and `end` fail; both are in seconds after the start of the process. A step of
    the clock happens at `start` and lasts, whatever `share` and `end` are.
    """

    call: str
    fault: str
    share: float
    start: float
    end: float

    def __str__(self) -> str:
        return f"{self.call} {self.fault} {self.share} {self.start} {self.end}"


def compiler_path() -> str | None:
    """Returns the path of a C compiler, or None if there is none."""
    return shutil.which("cc") or shutil.which("gcc")


def build_library(folder: Path) -> Path:
    """Compiles the library into a folder. Raises RuntimeError without a compiler or if compilation fails."""
    library = folder / "faults.so"
    compiler = compiler_path()
    if compiler is None:
        raise RuntimeError("no C compiler found: cannot build the library that makes system calls fail")
    flags = ["-O2", "-Wall", "-Wextra", "-shared", "-fPIC"]
    result = subprocess.run(
        [compiler, *flags, "-o", str(library), str(SOURCE), "-ldl"],
        capture_output=True,
        text=True,
        check=False,
    )
    if result.returncode:
        raise RuntimeError(f"{SOURCE.name} does not compile: {result.stderr}")
    return library


def fault_environment(
    library: Path, plan: Sequence[SyscallFault], seed: int, counts_path: Path
) -> dict[str, str]:
    """Returns the environment variables that make a process carry out a plan.

    Raises ValueError if the plan has more than MAX_RULES rules.
    """
    if len(plan) > MAX_RULES:
        raise ValueError(f"a plan can have at most {MAX_RULES} rules")
    return {
        "LD_PRELOAD": str(library),
        "FAULTS_PLAN": ";".join(str(fault) for fault in plan),
        "FAULTS_SEED": str(seed),
        "FAULTS_COUNTS": str(counts_path),
    }


def injected_counts(plan: Sequence[SyscallFault], counts_path: Path) -> dict[SyscallFault, int]:
    """Reads how often each rule of a plan was applied to a call."""
    raw = counts_path.read_bytes() if counts_path.exists() else bytes(COUNTS_FORMAT.size)
    return dict(
        zip(
            plan,
            COUNTS_FORMAT.unpack(raw[: COUNTS_FORMAT.size].ljust(COUNTS_FORMAT.size, b"\0")),
            strict=False,
        )
    )
