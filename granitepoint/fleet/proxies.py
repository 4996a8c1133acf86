"""Hollow proxies: the real driver, module, callers' side and discovery's side, many to a process.

Nothing of the proxy is replaced. Subclasses note the time at the seams where a call goes on to the next part.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from itertools import pairwise
from typing import Any

from granitepoint import interface as api
from granitepoint.fleet.measure import Histogram
from granitepoint.logic import Balancer
from granitepoint.net.config import Config
from granitepoint.net.driver import Driver, OpenCall
from granitepoint.net.listener import Listener
from granitepoint.net.listing import Listing
from granitepoint.net.server import ClientConnection, Reply, Request, Server
from granitepoint.net.upstream import LAST_BYTE_DELAY, REUSE_DELAY, Exchange

# The stages of a call in the proxy, in order. `read`: from the first byte read until the request is taken.
# `batch`: until the module is handed it. `pick`: until it is sent, held in the queue or not. `connect`: until
# its connection takes it, the pause after the answer before included. `prove`: until its last byte is
# written. `answer`: from when the answer is whole until it is written.
STAGES = ("read", "batch", "pick", "connect", "prove", "answer")


@dataclass(slots=True)
class Marks:
    """Monotonic times of one call that is open."""

    began: float
    taken: float
    handed: float = 0.0
    sent: float = 0.0
    connected: float = 0.0
    proved: float = 0.0


class Stages:
    """Histograms of each stage, of calls that were served at their first attempt."""

    def __init__(self) -> None:
        self.histograms = {name: Histogram() for name in (*STAGES, "whole")}
        self.settling = 0  # calls that waited for a connection to settle

    def note(self, marks: Marks, answered: float, written: float) -> None:
        times = (marks.began, marks.taken, marks.handed, marks.sent, marks.connected, marks.proved)
        spent = [late - early for early, late in pairwise(times)] + [written - answered]
        for name, span in zip(STAGES, spent, strict=True):
            self.histograms[name].add(span)
        self.histograms["whole"].add(sum(spent))
        self.settling += REUSE_DELAY / 2 < spent[3] < 3 * REUSE_DELAY


class TimedConnection(ClientConnection):
    """Notes when the first byte of a request was read."""

    __slots__ = ("began",)

    def data_received(self, data: bytes) -> None:
        if not self.in_message:
            self.began = time.monotonic()
        super().data_received(data)


class HollowServer(Server):
    """A server that can be ended as a killed process ends."""

    ended = False

    async def listen(self, host: str, port: int) -> int:
        self.listener = Listener(host, port, lambda: TimedConnection(self), self._evict_connection)
        self._sweep_later()
        return self.listener.port

    def _sweep_later(self) -> None:
        if not self.ended:
            super()._sweep_later()

    def end(self) -> None:
        self.ended = True
        self.stop_listening()
        for connection in list(self.connections):
            connection.abort()


class HandedBalancer(Balancer):
    """Tells when a batch is handed over."""

    handed_at = 0.0
    on_batch: Callable[[list[api.Event], float], None] | None = None

    def handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
        begun = time.monotonic()
        if self.on_batch is not None:
            self.on_batch(events, begun)
        return super().handle(now, events)


class HollowDriver(Driver):
    """Notes when each list came into force, and, where it is asked to, the stages of each call."""

    def __init__(self, config: Config, stages: Stages | None) -> None:
        self.ended = False
        self.stages = stages
        self.marks: dict[int, Marks] = {}
        self.in_force: dict[int, float] = {}  # version: monotonic
        self.whole_lists = self.list_failures = self.entries = self.probes_sent = 0
        super().__init__(config)
        if stages is not None:
            balancer = HandedBalancer(self.settings, config.seed)
            balancer.on_batch = self._on_batch
            self.balancer = balancer

    def end(self) -> None:
        """As a killed process: nothing is answered, connections break, timers tell nobody."""
        self.ended = True
        self.stop()
        for call in list(self.calls.values()):
            if call.timer is not None:
                call.timer.cancel()
        for upstream in self.upstreams.by_id.values():
            for connection in list(upstream.connections):
                connection.abandon()
        self.upstreams.by_id.clear()

    def _enqueue(self, event: api.Event) -> None:
        if not self.ended:
            super()._enqueue(event)

    def _on_statistics_due(self) -> None:
        if not self.ended:
            super()._on_statistics_due()

    def _on_list(self, listing: Listing) -> None:
        self.whole_lists += listing.full
        self.entries += len(listing.backends)
        super()._on_list(listing)
        self.in_force.setdefault(listing.version, time.monotonic())

    def _on_list_failed(self) -> None:
        self.list_failures += 1
        super()._on_list_failed()

    def _probe(self, action: api.Probe) -> None:
        self.probes_sent += 1
        super()._probe(action)

    # the stages of a call
    def on_request(self, request: Request, reply: Reply) -> OpenCall | None:
        call = super().on_request(request, reply)
        if self.stages is not None and call is not None:
            now = time.monotonic()
            self.marks[call.number] = Marks(getattr(reply, "began", now), now)
        return call

    def _on_batch(self, events: list[api.Event], now: float) -> None:
        for event in events:
            if type(event) is api.Arrival:
                marks = self.marks.get(event.call)
                if marks is not None:
                    marks.handed = now

    def _send(self, action: api.Send) -> None:
        marks = self.marks.get(action.call)
        if marks is None:
            super()._send(action)
            return
        marks.sent = time.monotonic()
        super()._send(action)
        exchange = self.in_flight.get(action.call)
        if exchange is None or self.calls[action.call].attempts > 1:
            self.marks.pop(action.call, None)  # what goes out twice is not one of the stages' calls
        elif exchange.connection is not None:
            self._connected(exchange, marks)
        else:
            self._watch_connect(exchange, marks)
        if exchange is not None:
            self._watch_end(exchange, action.call)

    def _watch_connect(self, exchange: Exchange, marks: Marks) -> None:
        may_start = exchange.may_start

        def asked() -> bool:
            self._connected(exchange, marks)
            return may_start()

        exchange.may_start = asked

    def _connected(self, exchange: Exchange, marks: Marks) -> None:
        marks.connected = time.monotonic()
        self.loop.call_later(LAST_BYTE_DELAY, self._proved, exchange, marks)

    def _proved(self, exchange: Exchange, marks: Marks) -> None:
        if exchange.sent:
            marks.proved = time.monotonic()
        elif exchange.status is None:
            self.loop.call_soon(self._proved, exchange, marks)

    def _watch_end(self, exchange: Exchange, number: int) -> None:
        done = exchange.on_done

        def ended(exchange: Exchange) -> None:
            answered = time.monotonic()
            done(exchange)
            marks = self.marks.pop(number, None)
            if marks is not None and marks.proved and exchange.status is api.Status.OK and self.stages:
                self.stages.note(marks, answered, time.monotonic())

        exchange.on_done = ended

    def _remove_call(self, call: OpenCall) -> None:
        super()._remove_call(call)
        if call.exchange is None and call.number in self.marks and not call.attempts:
            del self.marks[call.number]  # refused or left before it was sent


@dataclass(slots=True)
class Hollow:
    """One hollow proxy, through its lives."""

    config: Config
    timed: bool = False
    driver: HollowDriver | None = None
    server: HollowServer | None = None
    stages: Stages | None = None
    in_force: dict[int, float] = field(default_factory=dict)
    starts: list[float] = field(default_factory=list)  # monotonic, of each life
    totals: dict[str, int] = field(default_factory=dict)

    async def start(self) -> str:
        """Its address; the same in each of its lives."""
        if self.timed and self.stages is None:
            self.stages = Stages()
        self.starts.append(time.monotonic())
        self.driver = HollowDriver(self.config, self.stages)
        self.server = HollowServer(
            self.driver.effects, self.driver, self.config.sockets, self.config.memory_mb
        )
        self.driver.start()
        host, port = self.config.listen
        port = await self.server.listen(host, port)
        self.config = replace(self.config, listen=(host, port))
        return f"{host}:{port}"

    def end(self) -> None:
        if self.driver is not None and self.server is not None:
            self._take_over(self.driver)
            self.server.end()
            self.driver.end()
            self.driver = self.server = None

    def _take_over(self, driver: HollowDriver) -> None:
        """A driver's counts, once."""
        for version, at in driver.in_force.items():
            self.in_force.setdefault(version, at)
        for name in ("calls_taken", "whole_lists", "list_failures", "entries", "probes_sent"):
            self.totals[name] = self.totals.get(name, 0) + getattr(driver, name)

    def figures(self) -> dict[str, Any]:
        """All its lives so far."""
        totals = dict(self.totals)
        in_force = dict(self.in_force)
        driver = self.driver
        if driver is not None:
            for name in ("calls_taken", "whole_lists", "list_failures", "entries", "probes_sent"):
                totals[name] = totals.get(name, 0) + getattr(driver, name)
            in_force = {**driver.in_force, **in_force}
        return {
            "totals": totals,
            "in_force": in_force,
            "starts": self.starts,
            "version": driver.discovery.version if driver is not None else None,
            "serving": len(driver.balancer.servers.pool) if driver is not None else 0,
        }
