"""Shares the turns of the event loop among the connections that have input to process.

A peer that sends small requests at full speed could keep the loop busy for seconds. So each connection
processes one slice of its input in a turn; what is left waits behind the other connections.
"""

from __future__ import annotations

import asyncio
import time
from typing import Protocol

# For the input of all connections in one turn, and again for those that have waited; a slice that has begun
# is finished.
MAX_TURN_S = 0.001


class Worker(Protocol):
    """A connection with input."""

    def work(self) -> bool:
        """Processes one slice of the input; returns whether there is more that can be processed now."""
        ...


class FairTurns:
    """Runs slices of work: at once while there is time in this turn, else in a later one.

    Connections that wait for their first slice come before those with more input than one slice.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._first: dict[Worker, None] = {}  # wait for a first slice, in the order of arrival
        self._further: dict[Worker, None] = {}  # wait for a further one
        self._scheduled = False  # a turn for those that wait is due
        self._turn = -1.0  # the loop's time, which is the same all through a turn of uvloop
        self._turn_end = 0.0  # monotonic

    def run(self, worker: Worker) -> None:
        """Runs a slice of the worker's input, unless it waits for its turn already."""
        if worker in self._first or worker in self._further:
            return
        if not self._has_time():
            self._first[worker] = None
            self._schedule()
        elif worker.work():
            self.wait(worker)

    def wait(self, worker: Worker) -> None:
        """Runs a further slice in a later turn."""
        self._further[worker] = None
        self._schedule()

    def remove(self, worker: Worker) -> None:
        """Forgets a worker that has ended."""
        self._first.pop(worker, None)
        self._further.pop(worker, None)

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
        """Runs slices while there is time, of each kind at least one: neither starves the other."""
        self._scheduled = False
        end = time.monotonic() + MAX_TURN_S
        try:
            for waiting in (self._first, self._further):
                for _ in range(len(waiting)):
                    self._run_next(waiting)
                    if time.monotonic() >= end:
                        break
        finally:
            if self._first or self._further:
                self._schedule()

    def _run_next(self, waiting: dict[Worker, None]) -> None:
        worker = next(iter(waiting), None)
        if worker is not None:
            del waiting[worker]
            if worker.work():
                self._further[worker] = None  # behind the others
