"""The lease on the list of servers: until when a proxy may send requests to the listed servers.

A proxy counts as notified of a change some seconds after discovery had the change and could be reached,
whether its calls were answered or not: from then on it must not send according to an older list. So a list
may be used for that time after the latest moment up to which the proxy is known to have missed no change.

Only proof moves that moment forward: a list, or a refused connection where no watch has been open since the
last list. A watch may fall silent, and what a silent one misses can't be told from a list that does not
change. So a watch proves nothing by staying open or by its end, and no later failure makes up for that. A
queued call, a passed health check or the passing of time proves nothing either. Without a valid lease nothing
is sent: requests wait for a list during a part of their time and are then refused.

While a watch is open, what it may have missed counts some time after the end of its hold. Once a call has
failed, every change counts NOTIFIED_AFTER after discovery had it, so the lease counts from the last list. To
bridge short outages all the same, discovery is asked to answer often (net/discovery.py).
"""

from __future__ import annotations

import math

from granitepoint.membership.evidence import Failure
from granitepoint.membership.move_deadlines import MoveDeadlines

# s after which a proxy counts as notified of a change, from when discovery had it and could be reached.
NOTIFIED_AFTER = 6.0
# s; the same for changes that a silent watch missed, counted from the moment up to which discovery may hold
# the call open without an answer.
NOTIFIED_AFTER_HOLD = 2.0
MAX_WATCH_GAP = 0.2  # s between an answer and the next call that continues the same watch
# s by which the lease outlasts these times at most: a part of a drain's grace period. The rest is for a
# process that is held up between the decision to send and the first byte.
GRACE_MARGIN = 0.1
MAX_PROCESS_DELAY = 0.15  # s for which a process may be held up


class ListLease:
    """Decides what counts as proof, and until when. Times are in seconds, on the clock of the events."""

    def __init__(self, notified_after: float, confirmed: bool = False, drain_grace: float = math.inf) -> None:
        """`notified_after`: the time after a change until the proxy counts as notified of it; infinite if it
        never does; 0 if lists are pushed: then a list is used only while a watch is open. `confirmed`: every
        change is received without a call to discovery, so the lease never ends. `drain_grace`: how long a
        server may get requests after its drain was notified."""
        self.notified_after = notified_after
        self.confirmed = confirmed
        self.grace_margin = max(0.0, min(GRACE_MARGIN, drain_grace - MAX_PROCESS_DELAY))
        # Every change up to this time has been received. A new process knows of no such time.
        self.verified_until = -math.inf
        self.answered_at = -math.inf  # when the last list came; -inf: none came from the current address
        # While a watch is open: until then the proxy does not count as notified of changes that it missed.
        self.watch_valid_until = -math.inf
        self.watched_since_list = False  # a watch has been open since the last list
        self.move_deadlines = MoveDeadlines()
        # Until the first list from a new address: until when the list from the old one may be used.
        self.old_list_until: float | None = None

    @property
    def expires_at(self) -> float:
        """When the lease ends, if no further proof comes; infinite if it never does."""
        if math.isinf(self.notified_after) or self.confirmed:
            return math.inf
        return self._not_notified_until + self.grace_margin

    @property
    def _not_notified_until(self) -> float:
        """Until when this proxy cannot count as notified of any change that it missed."""
        if self.old_list_until is not None:
            return self.old_list_until
        # An open watch may have fallen silent, so it does not postpone the deadline of a move.
        not_notified_until = max(self.verified_until + self.notified_after, self.watch_valid_until)
        return min(not_notified_until, self.move_deadlines.first)

    def valid(self, now: float) -> bool:
        """Whether requests may be sent to the listed servers."""
        return now <= self.expires_at

    def on_list(self, written_after: float, answered_at: float, answers_newest_call: bool = True) -> None:
        """A list arrived that was written at `written_after` or later.

        `answers_newest_call`: otherwise a later watch is still open.
        """
        self.verified_until = max(self.verified_until, written_after)
        self.answered_at = answered_at
        if answers_newest_call:
            self.watch_valid_until = -math.inf
            self.watched_since_list = False
        self.old_list_until = None
        self.move_deadlines.on_list(written_after)

    def on_watch_opened(self, started_at: float, hold: float) -> None:
        """A call was made that discovery holds for up to `hold` seconds.

        It extends the lease only if it continues a watch: if it stays silent, the proxy counts as notified of
        the changes that it missed some time after the end of the hold.
        """
        if started_at - self.answered_at <= MAX_WATCH_GAP:
            self.watch_valid_until = started_at + max(NOTIFIED_AFTER, hold + NOTIFIED_AFTER_HOLD)
            self.watched_since_list = True

    def on_failure(self, failure: Failure, started_at: float, ended_at: float) -> None:
        """The newest call failed, which was noticed at `ended_at`. An earlier one may still be open."""
        # An error answer does not prove that discovery is unreachable, however soon it comes: it may reject a
        # change that had been queued.
        if failure is Failure.REFUSED and not self.watched_since_list:
            self._extend_verified(started_at)
        # What the watch missed did not count while it was open, so the lease does not end in the past.
        self.watch_valid_until = min(self.watch_valid_until, ended_at)

    def _extend_verified(self, moment: float) -> None:
        """Moves `verified_until` forward, unless the lease has ended by then.

        A change of which the proxy counts as notified by then stays one that it may have missed, so only a
        list renews a lease that has ended. Hence a new process has no lease before its first list, whatever
        it finds out about discovery.
        """
        if moment <= self._not_notified_until:
            self.verified_until = max(self.verified_until, moment)

    def on_silence(self, now: float) -> None:
        """The open watch has been silent for so long that another call is made in parallel."""
        self.watch_valid_until = min(self.watch_valid_until, now + NOTIFIED_AFTER)

    def on_move(self, moved_at: float) -> None:
        """Discovery has a new address from `moved_at` on.

        NOTIFIED_AFTER_MOVE later the proxy counts as notified of every change that discovery has there,
        whether the proxy has asked or not, and only a list from that address is proof. Repeated moves do not
        extend the time.
        """
        self.move_deadlines.on_move(moved_at)
        self.old_list_until = self._not_notified_until
        self.watch_valid_until = self.answered_at = -math.inf
