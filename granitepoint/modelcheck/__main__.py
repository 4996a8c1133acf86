"""The command: `python -m granitepoint.modelcheck --examples N --steps N --seed S [--rule NAME]`."""

from __future__ import annotations

import argparse
import sys
import time
from collections import Counter

from granitepoint.modelcheck.check import CHECKS, Found, check

BATCH = 500  # examples with one seed: what hypothesis keeps of each comes to some hundred KB


def positive(text: str) -> int:
    number = int(text)
    if number < 1:
        raise argparse.ArgumentTypeError("has to be 1 or more")
    return number


def read(arguments: list[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="python -m granitepoint.modelcheck",
        description="Looks for a breach of the rules. Exit code 1: one was found, and is printed.",
    )
    parser.add_argument("--examples", type=positive, default=200, help="runs for each rule or group of rules")
    parser.add_argument("--steps", type=positive, default=50, help="steps of each, at most")
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--rule", choices=sorted(CHECKS), action="append", help="else all, in three runs")
    return parser.parse_args(arguments)


def report(name: str, seconds: float, figures: Counter[str]) -> None:
    told = ", ".join(f"{figures[what]} {what}" for what in figures)
    print(f"{name}: {seconds:.1f} s, {told}", flush=True)


def main(arguments: list[str] | None = None) -> int:
    asked = read(arguments)
    names = asked.rule or ["instance", "cold", "endings"]
    failed = False
    for name in names:
        begun = time.monotonic()
        figures: Counter[str] = Counter()
        try:
            for first in range(0, asked.examples, BATCH):
                batch = min(BATCH, asked.examples - first)
                check(name, batch, asked.steps, asked.seed + first, figures)
        except Found as found:
            failed = True
            print(f"{name}: FOUND {found}\n\n{found.test}")
        report(name, time.monotonic() - begun, figures)
    print("a breach was found" if failed else "no breach was found")
    return int(failed)


if __name__ == "__main__":
    sys.exit(main())
