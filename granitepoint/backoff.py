"""The pause after a failed call to a service that many ask at once: it doubles with each failure in a row.

Guards against congestion collapse: where calls wait in turn and fail, and each is made again at once, the
service works on calls that nobody waits for any more, and never gets through. With pauses that grow,
calls become fewer than it can answer, whatever their number was. Harm: one that asks alone waits longer
than it would have to.
"""

from __future__ import annotations

from random import Random

FIRST_PAUSE = 1.0  # s
LONGEST_PAUSE = 16.0  # s
LONGEST_TURN = 3.0  # s; a call that was out for longer was no longer waiting in turn
JITTER = 0.5  # share by which a pause may be shorter: all that lost one service would ask in step


class Backoff:
    """How long to wait after each failure in a row, in seconds."""

    def __init__(self, random: Random, longest: float = LONGEST_PAUSE) -> None:
        self.random, self.longest = random, longest
        self.failures = 0

    def succeeded(self) -> None:
        self.failures = 0

    def failed(self, waited: float) -> float:
        """The pause after a call that failed after `waited` seconds: one that waited in turn tells that there
        are more calls than can be answered in that time."""
        first = max(FIRST_PAUSE, waited) if waited <= LONGEST_TURN else FIRST_PAUSE
        pause = min(self.longest, first * 2.0 ** min(self.failures, 10))
        self.failures += 1
        return pause * (1 - JITTER * self.random.random())
