"""The event loop: a heap of moments, in simulated seconds."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any


class EventLoop:
    """Calls what is due in order of time; what is due at the same time in the order it was asked for."""

    __slots__ = ("_scheduled_count", "_heap", "now")

    def __init__(self) -> None:
        self.now = 0.0
        self._scheduled_count = 0
        self._heap: list[tuple[float, int, Callable[[Any], None], Any]] = []

    def call_at(self, time: float, callback: Callable[[Any], None], argument: object = None) -> None:
        """Call what(about) at `time`, in seconds; a time that has passed means now."""
        self._scheduled_count += 1
        heappush(self._heap, (time, self._scheduled_count, callback, argument))

    def run(self, until: float) -> int:
        """Run all that is due up to `until`, in seconds, and return how many moments that were."""
        heap, callbacks_run = self._heap, 0
        while heap and heap[0][0] <= until:
            time, _, callback, argument = heappop(heap)
            if time > self.now:
                self.now = time
            callbacks_run += 1
            callback(argument)
        self.now = until
        return callbacks_run
