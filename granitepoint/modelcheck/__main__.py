"""The command line: `python -m granitepoint.modelcheck --examples N --steps N --seed S [--rule NAME]`."""

from __future__ import annotations

import argparse
import sys
import time
from collections import Counter

from granitepoint.modelcheck.check import CHECKS, CounterexampleFound, check

# A check with more examples is split into several runs of hypothesis, each with a seed of its own: hypothesis
# keeps some hundred KB of each example until the run is over.
MAX_EXAMPLES_PER_RUN = 500


def parse_positive(text: str) -> int:
    """Parses an integer of 1 or more; raises ValueError or argparse.ArgumentTypeError."""
    number = int(text)
    if number < 1:
        raise argparse.ArgumentTypeError("must be 1 or more")
    return number


def parse_arguments(arguments: list[str] | None) -> argparse.Namespace:
    """Parses the command line; None stands for sys.argv."""
    parser = argparse.ArgumentParser(
        prog="python -m granitepoint.modelcheck",
        description="Searches for violations of the rules. Exit code 1: one was found, and is printed.",
    )
    parser.add_argument(
        "--examples", type=parse_positive, default=200, help="number of runs for each rule or group of rules"
    )
    parser.add_argument("--steps", type=parse_positive, default=50, help="maximum number of steps of a run")
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument(
        "--rule",
        choices=sorted(CHECKS),
        action="append",
        help="may be repeated; default: all rules, in three checks",
    )
    return parser.parse_args(arguments)


def print_report(name: str, seconds: float, statistics: Counter[str]) -> None:
    """Prints one line with the duration and the counters of a check."""
    summary = ", ".join(f"{statistics[label]} {label}" for label in statistics)
    print(f"{name}: {seconds:.1f} s, {summary}", flush=True)


def main(arguments: list[str] | None = None) -> int:
    """Runs the chosen checks and returns the exit code: 1 if a violation was found, else 0."""
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
