"""Failing system calls in a proxy: a plan, the C library that carries it out, and what it injected."""

from __future__ import annotations

import shutil
import struct
import subprocess
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

SOURCE = Path(__file__).with_name("syscalls.c")
MOST_RULES = 32
COUNT = struct.Struct(f"={MOST_RULES}Q")


@dataclass(frozen=True, slots=True)
class Fault:
    """One rule of a plan.

    `call` is accept, socket, connect, read, write, epoll, hold or clock. `fault` is an errno by name, short,
    or the seconds of a hold or of a step of the wall clock. Times are in s since the process started;
    `share` of the calls between them fail.
    """

    call: str
    fault: str
    share: float
    begin: float
    end: float

    def __str__(self) -> str:
        return f"{self.call} {self.fault} {self.share} {self.begin} {self.end}"


def compiler() -> str | None:
    """The machine's C compiler; None where there is none."""
    return shutil.which("cc") or shutil.which("gcc")


def build(folder: Path) -> Path:
    """Compiles the library into that folder. Raises RuntimeError where it can't be built."""
    library = folder / "faults.so"
    found = compiler()
    if found is None:
        raise RuntimeError("no C compiler: system calls can't be made to fail")
    flags = ["-O2", "-Wall", "-Wextra", "-shared", "-fPIC"]
    made = subprocess.run(
        [found, *flags, "-o", str(library), str(SOURCE), "-ldl"], capture_output=True, text=True, check=False
    )
    if made.returncode:
        raise RuntimeError(f"{SOURCE.name} does not compile: {made.stderr}")
    return library


def environment(library: Path, plan: Sequence[Fault], seed: int, counts: Path) -> dict[str, str]:
    """The variables with which a process carries out a plan."""
    if len(plan) > MOST_RULES:
        raise ValueError(f"a plan has {MOST_RULES} rules at most")
    return {
        "LD_PRELOAD": str(library),
        "FAULTS_PLAN": ";".join(str(fault) for fault in plan),
        "FAULTS_SEED": str(seed),
        "FAULTS_COUNTS": str(counts),
    }


def injected(plan: Sequence[Fault], counts: Path) -> dict[Fault, int]:
    """How often each rule struck."""
    raw = counts.read_bytes() if counts.exists() else bytes(COUNT.size)
    return dict(zip(plan, COUNT.unpack(raw[: COUNT.size].ljust(COUNT.size, b"\0")), strict=False))
