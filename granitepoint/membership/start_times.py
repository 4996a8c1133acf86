"""When servers were started, on this instance's own clock, from what lists say of it on another.

Lists give the wall time of a start. The wall clock of this machine may have been stepped before the process
began, so it tells nothing of how long ago that was: a server that has just started would pass for one that
is warm. But a server is listed after its start. So the other clock is at least as far on as the newest
start that a list names, and each start lies at that distance from it. What is found is never earlier than
the truth, and late by no more than the quickest list was. It relies on one clock for all servers. Where one
is ahead, the others seem old; of what a later list tells for the first time that is not believed.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass

OLDEST_NEWS = 60.0  # s ago that a server may have been started of which a list tells for the first time
NEXT = 1e-3  # s by which a start is later than the one before it


@dataclass(slots=True)
class Start:
    """The last start of a server: as lists name it, and on this instance's clock."""

    named: float
    at: float


class StartTimes:
    """The starts that lists have named. Times are in seconds."""

    def __init__(self) -> None:
        self.ahead = -math.inf  # of this instance's clock, by which the one of the lists is at least
        self.starts: dict[str, Start] = {}

    def listed(self, named: Mapping[str, float], now: float) -> dict[str, float]:
        """The start of each server on this instance's clock, from those that a list names on its own; 0 stays
        0, a start of long ago."""
        first = math.isinf(self.ahead)
        news = {
            server: start
            for server, start in named.items()
            if start > 0 and (server not in self.starts or self.starts[server].named != start)
        }
        self.ahead = max([self.ahead, *(start - now for start in news.values())])
        for server, start in news.items():
            self.starts[server] = Start(start, self._at(server, start, now, first))
        return {server: self.starts[server].at if start > 0 else 0.0 for server, start in named.items()}

    def _at(self, server: str, named: float, now: float, first: bool) -> float:
        at = min(now, named - self.ahead)
        if not first and now - at > OLDEST_NEWS:
            at = now
        before = self.starts.get(server)
        return max(at, before.at + NEXT) if before is not None else max(at, NEXT)

    def forget(self, server: str) -> None:
        """The server is gone."""
        self.starts.pop(server, None)

    def keep(self, servers: Collection[str]) -> None:
        """There are no others."""
        self.starts = {server: start for server, start in self.starts.items() if server in servers}
