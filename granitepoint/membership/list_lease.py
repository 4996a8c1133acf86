"""The lease on the list of servers: until when may a proxy send by the list that it has?

A change counts as told some seconds after discovery had it and could be reached, whether or not it was
answered. So each list may be used that long beyond the newest moment up to which no change can have gone
untold. Only proof moves that moment on: a list, a watch that goes on, a discovery that nobody could reach.
Waits, silence, passed health checks and the mere passing of time are no proof. Without a lease nothing is
sent: requests wait for a list for a part of their time and are then refused.
"""

from __future__ import annotations

import math

from granitepoint.membership.evidence import Failure

TOLD_AFTER = 6.0  # s after discovery had a change, and could be reached, from which it counts as told
HOLD_TOLD = 2.0  # s after the end of its hold from which what a silent watch misses counts as told
CONTINUES = 0.2  # s after an answer within which the next call goes on with the same watch
MOVE_TOLD = 4.0  # s after a move from which all that the new address has counts as told
SPARE = 0.1  # s of the grace of a drain that may pass between this decision and the first byte


class ListLease:
    """Which evidence is proof, and until when. Times are in seconds, on the clock of the events."""

    def __init__(self, told_after: float, confirmed: bool = False) -> None:
        """`told_after`: s after which an untold change counts as told; 0 where lists are pushed, infinite
        where there is no such time. `confirmed`: changes are told without a call for them."""
        self.told_after = told_after
        self.confirmed = confirmed
        self.proven_until = -math.inf  # no change before it went untold; a new process knows of none
        self.answered_at = -math.inf
        self.watch_until = -math.inf  # what a watch that is out would have missed counts from then
        self.moved_told_at = -math.inf  # when what the latest address has counts as told
        # Until the first list of a new address: until when the list of the old one may be used.
        self.bridged_until: float | None = None

    @property
    def expires_at(self) -> float:
        """When the lease ends, if nothing more comes; infinite where it never does."""
        if math.isinf(self.told_after) or self.confirmed:
            return math.inf
        return self._untold_until + SPARE

    @property
    def _untold_until(self) -> float:
        """Up to when no change that this instance missed can count as told."""
        if self.bridged_until is not None:
            return self.bridged_until
        untold_until = self.proven_until + self.told_after
        if self.proven_until < self.moved_told_at:
            untold_until = min(untold_until, self.moved_told_at)
        return max(untold_until, self.watch_until)

    def valid(self, now: float) -> bool:
        return now <= self.expires_at

    def listed(self, written_after: float, answered_at: float, ends_watch: bool = True) -> None:
        """A list came that was written no sooner than `written_after`. `ends_watch`: on the newest call."""
        self.proven_until = max(self.proven_until, written_after)
        self.answered_at = answered_at
        if ends_watch:
            self.watch_until = -math.inf
        self.bridged_until = None

    def watching(self, begun: float, hold: float) -> None:
        """A call is out that discovery holds for up to `hold` s. It counts where it goes on with a watch:
        what it misses if it is silent counts as told after its hold."""
        if begun - self.answered_at <= CONTINUES:
            self.watch_until = begun + max(TOLD_AFTER, hold + HOLD_TOLD)

    def failed(self, failure: Failure, begun: float, ended: float, beside: bool = False) -> None:
        """The newest call failed, `ended` being when that was seen. `beside`: an older one is still out."""
        # An answer is no proof of absence, whatever it says and however soon it comes: see Failure.
        if failure is Failure.REFUSED:
            self._prove(begun)
        elif failure is Failure.WATCH_LOST:
            self._prove(ended)
        if beside:
            self.watch_until = min(self.watch_until, begun + TOLD_AFTER)
        else:
            self.watch_until = -math.inf

    def _prove(self, moment: float) -> None:
        """What counts as told by then stays told: only a list can bring a lease back that has ended. So a new
        process has none before its first list, whatever it learns of discovery."""
        if moment <= self._untold_until:
            self.proven_until = max(self.proven_until, moment)

    def silent(self, now: float) -> None:
        """The watch that is out has said nothing for so long that another call is made beside it."""
        self.watch_until = min(self.watch_until, now + TOLD_AFTER)

    def move(self, now: float) -> None:
        """Discovery has another address from `now` on. What the new one has counts as told MOVE_TOLD later,
        asked or not, and a list of it alone is proof. Moves in a row give no more time."""
        self.moved_told_at = now + MOVE_TOLD
        self.bridged_until = min(self._untold_until, self.moved_told_at)
        self.watch_until = self.answered_at = -math.inf
