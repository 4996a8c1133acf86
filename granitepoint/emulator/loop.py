"""The event loop of the emulator: a heap of callbacks, ordered by simulated time in seconds."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any


class EventLoop:
    """Runs callbacks in the order of their times; callbacks of the same time in the order of scheduling."""

    __slots__ = ("_heap", "_scheduled_count", "now")

    def __init__(self) -> None:
        self.now = 0.0
        self._scheduled_count = 0
        self._heap: list[tuple[float, int, Callable[[Any], None], Any]] = []

    def call_at(self, time: float, callback: Callable[[Any], None], argument: object = None) -> None:
        """Schedule callback(argument) for `time`, in seconds; a time in the past means at once."""
        self._scheduled_count += 1
        heappush(self._heap, (time, self._scheduled_count, callback, argument))

    def run(self, until: float) -> int:
        """Run all callbacks due up to `until`, in seconds. Returns how many have run."""
        heap, callbacks_run = self._heap, 0
        while heap and heap[0][0] <= until:
            time, _, callback, argument = heappop(heap)
            if time > self.now:
                self.now = time
            callbacks_run += 1
            callback(argument)
        self.now = until
        return callbacks_run
