"""Leases on servers: which listed servers are used while nothing confirms the list.

A list is confirmed while a watch of discovery is open, since every change is sent on the watch. From the
moment at which the watch ends, fails or becomes silent, a server may begin to drain without notice. Each
server then holds a lease that is counted from that moment, and each health check that it passes renews it. A
server without a valid lease gets no attempt.

This is a filter in addition to the lease on the list (`list_lease`). Most draining servers fail their health
checks, but a server that passes them may still have been removed from the list.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Protocol, TypeVar

from granitepoint.interface import ServerState

# s for which a server has a lease after the list was confirmed last, or after a health check that it passed.
# An instance counts as notified of a change after 6 s (list_lease.py), even without receiving it.
LEASE_DURATION = 5.5
# s, the same for health checks since HealthLeases.cutoff_at, which is CUTOFF_MARGIN before the instance
# counts as notified of every change.
NOTIFIED_LEASE_DURATION = 1.0
CUTOFF_MARGIN = 0.1  # s by which earlier leases end before the instance counts as notified of every change
RENEW_AFTER = 4.5  # s of a lease after which the next health check is due
CHECK_RETRY_INTERVAL = 0.5  # s until a server that failed its health check is checked again
MIN_LEASED_SERVERS = 2  # even for a single call: the first server that is checked may be the draining one


class LeasedServer(Protocol):
    """What the leases need to know about a server. Times are in seconds, on the clock of the events."""

    state: ServerState
    checked_at: float  # when the last passed health check was sent; -inf: none, or one has failed since
    probed_at: float  # when the last health check was sent
    probing: bool  # a health check is in flight
    used_at: float  # when the last attempt was sent or answered
    ejected_until: float  # 0: not ejected


AnyLeasedServer = TypeVar("AnyLeasedServer", bound=LeasedServer)


class HealthLeases:
    """Whether the list is confirmed, and which servers hold a lease while it is not.

    Times are in seconds, on the clock of the events.
    """

    def __init__(self, confirmed: bool, may_check: bool) -> None:
        """`confirmed`: changes are received from the start. `may_check`: health checks are allowed;
        otherwise nothing could renew a lease, so none is needed and the list is used as it is."""
        self.may_check = may_check
        # A new process does not know the age of the list that it was started with.
        self.unconfirmed_since = math.inf if confirmed else -math.inf
        self.cutoff_at = math.inf  # from then on no earlier health check counts

    def confirm(self) -> None:
        """A list arrived on a watch that stays open."""
        self.unconfirmed_since = self.cutoff_at = math.inf

    def lose_confirmation(self, now: float, notified_within: float) -> None:
        """From now on changes may be missed, until the next list.

        `notified_within`: time from now until the instance counts as notified of all changes together;
        infinite if it counts as notified of each change a fixed time after that change.
        """
        self.unconfirmed_since = min(self.unconfirmed_since, now)
        self.cutoff_at = min(self.cutoff_at, now + notified_within - CUTOFF_MARGIN)

    @property
    def confirmed(self) -> bool:
        """Whether a watch is open, so that changes are received."""
        return self.unconfirmed_since == math.inf

    def required(self, now: float) -> bool:
        """Whether a server needs a lease of its own, because the list is not confirmed any more."""
        return self.may_check and (now - self.unconfirmed_since > LEASE_DURATION or now >= self.cutoff_at)

    def valid(self, server: LeasedServer, now: float) -> bool:
        """Whether attempts may be sent to a server."""
        return not self.required(now) or self._has_lease(server, now)

    def _has_lease(self, server: LeasedServer, now: float) -> bool:
        if now < self.cutoff_at:
            return now - server.checked_at <= LEASE_DURATION
        return now - server.checked_at <= NOTIFIED_LEASE_DURATION and server.checked_at >= self.cutoff_at

    def due_checks(self, pool: Sequence[AnyLeasedServer], now: float, calls: int) -> list[AnyLeasedServer]:
        """The servers to send a health check to now, so that there are as many leases as open `calls`.

        `pool`: the servers that this instance uses. Leases of the most recently used ones are renewed. If
        there are too few leases, the other servers are checked in turn. With any call open, there are to be
        at least MIN_LEASED_SERVERS.
        """
        if not calls or not self.required(now + LEASE_DURATION - RENEW_AFTER):
            return []
        wanted_leases = max(MIN_LEASED_SERVERS, calls)
        usable = [s for s in pool if s.state is ServerState.SERVING and not s.ejected_until]
        leased = [s for s in usable if self._has_lease(s, now)]
        others = [s for s in usable if not self._has_lease(s, now)]
        leased.sort(key=lambda server: -server.used_at)
        others.sort(key=lambda server: server.probed_at)
        missing = max(0, wanted_leases - len(leased) - sum(server.probing for server in others))
        to_renew = [s for s in leased[:wanted_leases] if now - s.checked_at >= RENEW_AFTER]
        to_try = [s for s in others if not s.probing][:missing]
        return [s for s in (*to_renew, *to_try) if not s.probing and self._past_retry_interval(s, now)]

    @staticmethod
    def _past_retry_interval(server: LeasedServer, now: float) -> bool:
        passed_last = server.checked_at == server.probed_at
        return passed_last or now - server.probed_at >= CHECK_RETRY_INTERVAL
