"""The event loop: a heap of moments, in simulated seconds."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any


class Loop:
    """Calls what is due in order of time; what is due at the same time in the order it was asked for."""

    __slots__ = ("_asked", "_heap", "now")

    def __init__(self) -> None:
        self.now = 0.0
        self._asked = 0
        self._heap: list[tuple[float, int, Callable[[Any], None], Any]] = []

    def at(self, time: float, what: Callable[[Any], None], about: object = None) -> None:
        """Call what(about) at `time`, in seconds; a time that has passed means now."""
        self._asked += 1
        heappush(self._heap, (time, self._asked, what, about))

    def run(self, until: float) -> int:
        """Run all that is due up to `until`, in seconds, and return how many moments that were."""
        heap, done = self._heap, 0
        while heap and heap[0][0] <= until:
            time, _, what, about = heappop(heap)
            if time > self.now:
                self.now = time
            done += 1
            what(about)
        self.now = until
        return done
