"""The pause after a failed call to a service that many ask at once, by what the failure is evidence of.

Where calls waited in turn, all together may come faster than they can be answered. So they are spread over
rounds. All that lose the service at one moment count their rounds from there, and each calls at its own
place in them, so that calls come evenly at whatever moment it returns. After some failures in a row rounds
grow, which guards against congestion collapse (a service that works on calls that nobody waits for any
more). They grow no further than the service needs to answer every instance, as far as that can be told from
the least time that an answer took: it may only be away, and all have to be told soon after its return.
Where nobody listens a call costs the service nothing, and each is proof that it is away: pauses stay short
against the time that a list may be used after such a proof.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from random import Random

from granitepoint.membership.evidence import Failure

LONGEST_PAUSE = 60.0  # s
SHORTEST_ROUND = 4.0  # s between the begins of two calls that waited
STEADY_ROUNDS = 2  # failures in a row before rounds grow
LONGEST_ROUND = 8.0  # s to which rounds grow at least
MEASURED_GROWTH = 2.0  # times what discovery needs for all, to which rounds grow at most where that is known


@dataclass(frozen=True, slots=True)
class Pause:
    """The pause after one kind of failure, in seconds."""

    first: float
    growth: float  # by which each failure in a row makes it longer, of rounds each one after the first few
    longest: float
    least_share: float  # of it that chance leaves at least
    in_rounds: bool = False  # until the instance's place in a round that is this long at least


CROWDED = Pause(first=SHORTEST_ROUND, growth=1.15, longest=LONGEST_PAUSE, least_share=0.0, in_rounds=True)
TURNED_AWAY = Pause(first=1.0, growth=1.1, longest=2.0, least_share=0.5)
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

    def __init__(
        self, random: Random, longest: float = LONGEST_PAUSE, instances: int = 1, place: float = 0.0
    ) -> None:
        """`instances`: how many ask the same service. `place`: of this one among them, from 0 to 1; it is
        anywhere in the part of a round that it has for itself, lest two of one number call in step."""
        self.random, self.longest, self.instances = random, longest, instances
        self.place = (place + random.random() / instances) % 1.0
        self.failures = 0  # in a row, of calls that discovery took
        self.round_from: float | None = None  # the begin of the present round; the first is at the loss
        self.round_length = 0.0
        self.least_turn = math.inf  # s, the shortest that an answer took

    @property
    def longest_round(self) -> float:
        """To which rounds may grow, in seconds. The least time of an answer is at least that of a turn, and
        more where each call had to wait: rounds may be longer than they need to be, and not shorter."""
        for_all = MEASURED_GROWTH * self.least_turn * self.instances
        return min(self.longest, max(LONGEST_ROUND, for_all))

    def succeeded(self, turn: float | None = None) -> None:
        """`turn`: s that the answer took, without what the service was asked to wait; None: not known."""
        self.failures = 0
        self.round_from = None
        if turn is not None:
            self.least_turn = min(self.least_turn, max(0.0, turn))

    def failed(self, failure: Failure, now: float) -> float:
        """The pause from now on."""
        kind = PAUSES[failure]
        if self.round_from is None:
            self.round_from, self.round_length = now, 0.0
        steady = STEADY_ROUNDS if kind.in_rounds else 0
        stretch = kind.growth ** min(max(0, self.failures - steady), 50)
        self.failures += kind.growth > 1
        if kind.in_rounds:
            return self._until_own_place(now, min(kind.first * stretch, self.longest_round))
        drawn = kind.least_share + (1 - kind.least_share) * self.random.random()
        return min(self.longest, kind.longest, kind.first * stretch) * drawn

    def _until_own_place(self, now: float, length: float) -> float:
        """The time to this instance's next place, where further rounds have that length."""
        assert self.round_from is not None
        self.round_length = self.round_length or length
        while self.round_from + self.place * self.round_length <= now:
            self.round_from += self.round_length
            self.round_length = length
        return self.round_from + self.place * self.round_length - now
