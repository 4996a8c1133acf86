"""The pause after a failed call to a service that many ask at once, by what the failure is evidence of.

Where calls waited in turn, all together come faster than they can be answered: pauses grow with each failure
in a row, and are drawn from a wide span, for all that failed together would else come together again. That
guards against congestion collapse: a service that works on calls that nobody waits for any more. Where nobody
listens a call costs the service nothing, and each is proof that it is away: pauses stay short against
the time that a list may be used after such a proof. Harm: one that asks alone waits longer than it needs to.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from granitepoint.membership.evidence import Failure

LONGEST_PAUSE = 60.0  # s


@dataclass(frozen=True, slots=True)
class Pause:
    """The pause after one kind of failure, in seconds."""

    first: float
    growth: float  # by which each failure in a row makes it longer
    longest: float
    least_share: float  # of it that chance leaves at least


CROWDED = Pause(first=4.0, growth=1.2, longest=LONGEST_PAUSE, least_share=0.1)
TURNED_AWAY = Pause(first=1.5, growth=1.3, longest=4.0, least_share=0.2)
AWAY = Pause(first=1.0, growth=1.0, longest=1.0, least_share=0.5)
BROKEN = Pause(first=1.0, growth=1.0, longest=1.0, least_share=0.1)
PAUSES = {
    Failure.WAITED: CROWDED,
    Failure.SILENT: CROWDED,
    Failure.AT_ONCE: TURNED_AWAY,
    Failure.REFUSED: AWAY,
    Failure.WATCH_LOST: BROKEN,
    Failure.WATCH_CUT: BROKEN,
    Failure.OWN_FAULT: AWAY,
}


class Backoff:
    """How long to wait after each failure in a row, in seconds."""

    def __init__(self, random: Random, longest: float = LONGEST_PAUSE) -> None:
        self.random, self.longest = random, longest
        self.failures = 0  # in a row, of calls that discovery took

    def succeeded(self) -> None:
        self.failures = 0

    def failed(self, failure: Failure) -> float:
        kind = PAUSES[failure]
        pause = min(self.longest, kind.longest, kind.first * kind.growth ** min(self.failures, 50))
        self.failures += kind.growth > 1
        return pause * (kind.least_share + (1 - kind.least_share) * self.random.random())
