"""Shares the turns of the event loop among the connections that have input to process.

A peer that sends small requests at full speed could keep the loop busy for seconds. So each connection
processes one slice of its input in a turn; what is left waits behind the other connections.
"""

from __future__ import annotations

import asyncio
import time
from typing import Protocol

MAX_TURN_S = 0.004  # for the input of all connections in one turn; a slice that has begun is finished


class Worker(Protocol):
    """A connection with input."""

    def work(self) -> bool:
        """Processes one slice of the input; returns whether there is more that can be processed now."""
        ...


class FairTurns:
    """Runs slices of work: at once while there is time in this turn, else in the order of their arrival."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._waiting: dict[Worker, None] = {}
        self._scheduled = False  # a turn for those that wait is due
        self._turn = -1.0  # the loop's time, which is the same all through a turn of uvloop
        self._turn_end = 0.0  # monotonic

    def run(self, worker: Worker) -> None:
        """Runs a slice of the worker's input, unless it waits for its turn already."""
        if worker not in self._waiting and (not self._has_time() or worker.work()):
            self.wait(worker)

    def wait(self, worker: Worker) -> None:
        """Runs a slice in a later turn."""
        self._waiting[worker] = None
        self._schedule()

    def remove(self, worker: Worker) -> None:
        """Forgets a worker that has ended."""
        self._waiting.pop(worker, None)

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            self._loop.call_soon(self._run_waiting)

    def _has_time(self) -> bool:
        turn = self._loop.time()
        now = time.monotonic()
        if turn != self._turn:
            self._turn, self._turn_end = turn, now + MAX_TURN_S
        return now < self._turn_end

    def _run_waiting(self) -> None:
        self._scheduled = False
        end = time.monotonic() + MAX_TURN_S
        try:
            for _ in range(len(self._waiting)):
                worker = next(iter(self._waiting), None)
                if worker is None:
                    break
                del self._waiting[worker]
                if worker.work():
                    self._waiting[worker] = None  # behind the others
                if time.monotonic() > end:
                    break
        finally:
            if self._waiting:
                self._schedule()
