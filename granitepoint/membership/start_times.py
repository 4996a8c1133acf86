"""Converts the start times of servers, as lists give them, to this instance's own clock.

Lists give the wall-clock time of a start. The wall clock of this machine may have been stepped before the
process started, so it does not tell how long ago that was: a server that has just started would be treated as
warm.

But a server is listed only after its start. So the clock of the lists is ahead of the local one by at least
the newest start in a list minus the local time at which the list came. All starts are converted by this
offset. The result is never earlier than the true start, and later by no more than the delay of the fastest
list.

This assumes one clock for all servers. If the clock of one server is ahead, the others seem older than they
are; for servers and starts that a later list names for the first time this is limited to MAX_NEW_START_AGE.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass

MAX_NEW_START_AGE = 60.0  # s; a new start in a later list that seems longer ago is treated as just now
MIN_START_GAP = 1e-3  # s between two starts of the same server


@dataclass(slots=True)
class ServerStart:
    """The last start of a server: the time that lists give, and the time on this instance's clock."""

    listed_time: float
    local_time: float


class StartTimes:
    """The starts that lists have named. Times are in seconds."""

    def __init__(self) -> None:
        # Lower bound of the time by which the clock of the lists is ahead of the local one.
        self.min_clock_offset = -math.inf
        self.starts: dict[str, ServerStart] = {}

    def to_local_times(self, listed_times: Mapping[str, float], now: float) -> dict[str, float]:
        """The start of each server on this instance's clock, from the times in a list.

        0 stays 0: a start long ago.
        """
        first_list = math.isinf(self.min_clock_offset)
        new_starts = {
            server: start
            for server, start in listed_times.items()
            if start > 0 and (server not in self.starts or self.starts[server].listed_time != start)
        }
        self.min_clock_offset = max([self.min_clock_offset, *(start - now for start in new_starts.values())])
        for server, start in new_starts.items():
            self.starts[server] = ServerStart(start, self._local_time(server, start, now, first_list))
        return {
            server: self.starts[server].local_time if start > 0 else 0.0
            for server, start in listed_times.items()
        }

    def _local_time(self, server: str, listed_time: float, now: float, first_list: bool) -> float:
        local_time = min(now, listed_time - self.min_clock_offset)
        if not first_list and now - local_time > MAX_NEW_START_AGE:
            local_time = now
        previous = self.starts.get(server)
        return (
            max(local_time, previous.local_time + MIN_START_GAP)
            if previous is not None
            else max(local_time, MIN_START_GAP)
        )

    def remove(self, server: str) -> None:
        """Forgets a server that is gone."""
        self.starts.pop(server, None)

    def keep_only(self, servers: Collection[str]) -> None:
        """Forgets all servers but these."""
        self.starts = {server: start for server, start in self.starts.items() if server in servers}
