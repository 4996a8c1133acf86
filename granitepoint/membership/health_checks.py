"""Leases on servers: which of the listed ones are used while nothing confirms the list.

A list is confirmed for as long as a watch of discovery goes on, since every change is told on it. From
the moment at which the watch ends, fails or falls silent, a server may begin to drain and nobody tells.
Each server then holds a lease, counted from that moment, and each health check that it passes is a new
one; without a valid lease it gets no attempt. This is a filter within the lease on the list, which
`list_lease` bounds: most servers that drain fail their health checks, but one that passes may be gone all
the same.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Protocol, TypeVar

from granitepoint.interface import ServerState

LEASE = 5.5  # s; an untold change counts as told 6 s after it was made
TOLD_LEASE = 1.0  # s; the same from the moment on from which changes count as told at once
CUT_BEFORE = 0.1  # s before that moment at which every lease so far ends
RENEW_AFTER = 4.5  # s of a lease after which the next health check is due
CHECK_SPACING = 0.5  # s until a server that did not pass its health check is checked again
LEAST_LEASED = 2  # servers for one call: the first that is checked may be the one that drains


class Leased(Protocol):
    """What a lease needs to know of a server. Times are in seconds, on the clock of the events."""

    state: ServerState
    checked_at: float  # when the last health check that it passed was sent; -inf: none, or one failed since
    probed_at: float  # when the last health check was sent
    probe_out: bool
    used_at: float
    ejected_until: float  # 0: in use


Checked = TypeVar("Checked", bound=Leased)


class HealthLeases:
    """Whether the list is confirmed, and what holds for a server while it is not."""

    def __init__(self, confirmed: bool, checkable: bool) -> None:
        """`confirmed`: changes are told from the start. `checkable`: health checks are allowed; where they
        are not, nothing can renew a lease, and the list is trusted as it is."""
        self.checkable = checkable
        # A new process does not know how old the list is that it was started with.
        self.unconfirmed_since = math.inf if confirmed else -math.inf
        self.cut_at = math.inf  # from then on no earlier health check counts

    def confirm(self) -> None:
        """A list came, on a watch that goes on."""
        self.unconfirmed_since = self.cut_at = math.inf

    def lose(self, now: float, told_within: float) -> None:
        """From now on changes may go untold, until the next list. `told_within`: s from now after which they
        count as told at once nevertheless; infinite where each does so a while after it was made."""
        self.unconfirmed_since = min(self.unconfirmed_since, now)
        self.cut_at = min(self.cut_at, now + told_within - CUT_BEFORE)

    @property
    def confirmed(self) -> bool:
        """Whether a watch goes on, so that changes are told."""
        return self.unconfirmed_since == math.inf

    def needed(self, now: float) -> bool:
        """Whether the list alone is no ground to send on."""
        return self.checkable and (now - self.unconfirmed_since > LEASE or now >= self.cut_at)

    def valid(self, server: Leased, now: float) -> bool:
        return not self.needed(now) or self._checked(server, now)

    def _checked(self, server: Leased, now: float) -> bool:
        if now < self.cut_at:
            return now - server.checked_at <= LEASE
        return now - server.checked_at <= TOLD_LEASE and server.checked_at >= self.cut_at

    def due(self, pool: Sequence[Checked], now: float, calls: int) -> list[Checked]:
        """The servers to check now, so that there are as many leases as calls in hand: those in use are
        renewed, the others are tried in turn where there are too few."""
        if not calls or not self.needed(now + LEASE - RENEW_AFTER):
            return []
        wanted = max(LEAST_LEASED, calls)
        usable = [s for s in pool if s.state is ServerState.SERVING and not s.ejected_until]
        leased = [s for s in usable if self._checked(s, now)]
        others = [s for s in usable if not self._checked(s, now)]
        leased.sort(key=lambda server: -server.used_at)
        others.sort(key=lambda server: server.probed_at)
        spare = max(0, wanted - len(leased) - sum(server.probe_out for server in others))
        renewed = [s for s in leased[:wanted] if now - s.checked_at >= RENEW_AFTER]
        tried = [s for s in others if not s.probe_out][:spare]
        return [s for s in (*renewed, *tried) if not s.probe_out and self._may_check(s, now)]

    @staticmethod
    def _may_check(server: Leased, now: float) -> bool:
        passed_last = server.checked_at == server.probed_at
        return passed_last or now - server.probed_at >= CHECK_SPACING
