"""The command: `python -m granitepoint.modelcheck --examples N --steps N --seed S [--rule NAME]`."""

from __future__ import annotations

import argparse
import sys
import time
from collections import Counter

from granitepoint.modelcheck.check import CHECKS, CounterexampleFound, check

MAX_EXAMPLES_PER_RUN = 500  # examples with one seed: what hypothesis keeps of each comes to some hundred KB


def parse_positive(text: str) -> int:
    number = int(text)
    if number < 1:
        raise argparse.ArgumentTypeError("has to be 1 or more")
    return number


def parse_arguments(arguments: list[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="python -m granitepoint.modelcheck",
        description="Looks for a breach of the rules. Exit code 1: one was found, and is printed.",
    )
    parser.add_argument(
        "--examples", type=parse_positive, default=200, help="runs for each rule or group of rules"
    )
    parser.add_argument("--steps", type=parse_positive, default=50, help="steps of each, at most")
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--rule", choices=sorted(CHECKS), action="append", help="else all, in three runs")
    return parser.parse_args(arguments)


def print_report(name: str, seconds: float, statistics: Counter[str]) -> None:
    summary = ", ".join(f"{statistics[label]} {label}" for label in statistics)
    print(f"{name}: {seconds:.1f} s, {summary}", flush=True)


def main(arguments: list[str] | None = None) -> int:
    options = parse_arguments(arguments)
    names = options.rule or ["instance", "cold", "endings"]
    failed = False
    for name in names:
        started_at = time.monotonic()
        statistics: Counter[str] = Counter()
        try:
            for offset in range(0, options.examples, MAX_EXAMPLES_PER_RUN):
                count = min(MAX_EXAMPLES_PER_RUN, options.examples - offset)
                check(name, count, options.steps, options.seed + offset, statistics)
        except CounterexampleFound as counterexample:
            failed = True
            print(f"{name}: FOUND {counterexample}\n\n{counterexample.test_source}")
        print_report(name, time.monotonic() - started_at, statistics)
    print("a breach was found" if failed else "no breach was found")
    return int(failed)


if __name__ == "__main__":
    sys.exit(main())
