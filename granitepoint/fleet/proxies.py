"""Hollow proxies: many proxies in one process, with the real driver, balancer, server and discovery client.

No part of the proxy is replaced by a simulation. Subclasses only record when a call passes from one part to
the next, and can end a proxy as if its process was killed.
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
from granitepoint.net.backend_connection import LAST_BYTE_DELAY_S
from granitepoint.net.client_connection import ClientConnection, Reply
from granitepoint.net.config import Config
from granitepoint.net.driver import Driver, OpenCall
from granitepoint.net.exchange import Exchange
from granitepoint.net.listener import Listener
from granitepoint.net.listing import Listing
from granitepoint.net.requests import Request
from granitepoint.net.reuse_delay import MIN_REUSE_DELAY_S
from granitepoint.net.server import Server

# The stages of a call in the proxy, in order:
#   read:     from the first byte read until the request is accepted
#   batch:    until it is delivered to the balancer
#   pick:     until it is sent to a server, including the time in the balancer's queue
#   connect:  until a connection starts to send it, including the time to open a connection or the pause after
#             the previous answer on it
#   prove:    until its last byte is written (last-byte check)
#   answer:   from the complete answer of the backend until it is written to the caller
# The time of the backend itself, between prove and answer, is not a stage.
STAGES = ("read", "batch", "pick", "connect", "prove", "answer")


@dataclass(slots=True)
class CallTimes:
    """Monotonic times at which one open call passed from stage to stage; 0: not yet."""

    first_byte_at: float
    accepted_at: float
    delivered_at: float = 0.0
    sent_at: float = 0.0
    connected_at: float = 0.0
    last_byte_at: float = 0.0


class StageTimes:
    """Histograms of the time in each stage, of calls that were served at their first attempt."""

    def __init__(self) -> None:
        self.histograms = {name: Histogram() for name in (*STAGES, "whole")}
        # Calls whose connect stage took about MIN_REUSE_DELAY_S: at the limit of connections they probably
        # waited for the end of the pause after the previous answer on their connection.
        self.reuse_delays = 0

    def record(self, times: CallTimes, answered_at: float, written_at: float) -> None:
        """Adds a call whose answer was complete and written at these monotonic times."""
        boundaries = (
            times.first_byte_at,
            times.accepted_at,
            times.delivered_at,
            times.sent_at,
            times.connected_at,
            times.last_byte_at,
        )
        durations = [later - earlier for earlier, later in pairwise(boundaries)] + [written_at - answered_at]
        for name, duration in zip(STAGES, durations, strict=True):
            self.histograms[name].add(duration)
        self.histograms["whole"].add(sum(durations))
        self.reuse_delays += MIN_REUSE_DELAY_S / 2 < durations[3] < 3 * MIN_REUSE_DELAY_S


class TimedConnection(ClientConnection):
    """Records when the first byte of a request was read."""

    __slots__ = ("first_byte_at",)

    def data_received(self, data: bytes) -> None:
        """Implements asyncio.Protocol."""
        if not self.reader.in_message:
            self.first_byte_at = time.monotonic()
        super().data_received(data)


class HollowServer(Server):
    """A server that can be ended as if its process was killed."""

    killed = False

    async def listen(self, host: str, port: int) -> int:
        """Starts listening and returns the port."""
        self.listener = Listener(
            host, port, lambda: TimedConnection(self), self._evict_connection, self._free_places
        )
        self._sweep_later()
        return self.listener.port

    def _sweep_later(self) -> None:
        if not self.killed:
            super()._sweep_later()

    def kill(self) -> None:
        """Resets all connections and stops listening, without a graceful shutdown."""
        self.killed = True
        self.stop_listening()
        for connection in list(self.connections):
            connection.abort()


class ObservedBalancer(Balancer):
    """Reports each batch of events before the balancer handles it."""

    delivered_at = 0.0
    on_batch: Callable[[list[api.Event], float], None] | None = None

    def handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Calls `on_batch` with the events and the monotonic time, then handles them."""
        started_at = time.monotonic()
        if self.on_batch is not None:
            self.on_batch(events, started_at)
        return super().handle(now, events)


class HollowDriver(Driver):
    """A driver that records when it applied each list and, if `stages` is given, the stages of each call."""

    def __init__(self, config: Config, stages: StageTimes | None) -> None:
        self.killed = False
        self.stages = stages
        self.call_times: dict[int, CallTimes] = {}  # by call number
        self.applied_at: dict[int, float] = {}  # monotonic, by version of the list
        self.whole_lists = self.list_failures = self.entries = self.probes_sent = 0
        super().__init__(config)
        if stages is not None:
            balancer = ObservedBalancer(self.settings, config.seed)
            balancer.on_batch = self._on_batch
            self.balancer = balancer

    def kill(self) -> None:
        """Simulates a killed process: calls get no answer, connections are reset, timers have no effect."""
        self.killed = True
        self.stop()
        for call in list(self.calls.values()):
            if call.timer is not None:
                call.timer.cancel()
        for upstream in self.upstreams.by_id.values():
            for connection in list(upstream.connections):
                connection.abandon()
        self.upstreams.by_id.clear()

    def _enqueue(self, event: api.Event) -> None:
        if not self.killed:
            super()._enqueue(event)

    def _on_statistics_due(self) -> None:
        if not self.killed:
            super()._on_statistics_due()

    def _on_list(self, listing: Listing) -> None:
        self.whole_lists += listing.full
        self.entries += len(listing.backends)
        super()._on_list(listing)
        self.applied_at.setdefault(listing.version, time.monotonic())

    def _on_list_failed(self) -> None:
        self.list_failures += 1
        super()._on_list_failed()

    def _probe(self, action: api.Probe) -> None:
        self.probes_sent += 1
        super()._probe(action)

    # Stages of a call
    def on_request(self, request: Request, reply: Reply) -> OpenCall | None:
        """Implements the server's Handler: accepts a request and starts recording its times."""
        call = super().on_request(request, reply)
        if self.stages is not None and call is not None:
            now = time.monotonic()
            self.call_times[call.number] = CallTimes(getattr(reply, "first_byte_at", now), now)
        return call

    def _on_batch(self, events: list[api.Event], now: float) -> None:
        for event in events:
            if type(event) is api.Arrival:
                times = self.call_times.get(event.call)
                if times is not None:
                    times.delivered_at = now

    def _send(self, action: api.Send) -> None:
        times = self.call_times.get(action.call)
        if times is None:
            super()._send(action)
            return
        times.sent_at = time.monotonic()
        super()._send(action)
        exchange = self.in_flight.get(action.call)
        if exchange is None or self.calls[action.call].attempts > 1:
            self.call_times.pop(action.call, None)  # calls with several attempts are not recorded
        elif exchange.connection is not None:
            self._on_connected(exchange, times)
        else:
            self._observe_connect(exchange, times)
        if exchange is not None:
            self._observe_end(exchange, action.call)

    def _observe_connect(self, exchange: Exchange, times: CallTimes) -> None:
        may_start = exchange.may_start

        def observed_may_start() -> bool:
            self._on_connected(exchange, times)
            return may_start()

        exchange.may_start = observed_may_start

    def _on_connected(self, exchange: Exchange, times: CallTimes) -> None:
        times.connected_at = time.monotonic()
        self.loop.call_later(LAST_BYTE_DELAY_S, self._check_last_byte, exchange, times)

    def _check_last_byte(self, exchange: Exchange, times: CallTimes) -> None:
        if exchange.sent:
            times.last_byte_at = time.monotonic()
        elif exchange.status is None:
            self.loop.call_soon(self._check_last_byte, exchange, times)

    def _observe_end(self, exchange: Exchange, number: int) -> None:
        on_done = exchange.on_done

        def observed_on_done(exchange: Exchange) -> None:
            answered_at = time.monotonic()
            on_done(exchange)
            times = self.call_times.pop(number, None)
            if times is not None and times.last_byte_at and exchange.status is api.Status.OK and self.stages:
                self.stages.record(times, answered_at, time.monotonic())

        exchange.on_done = observed_on_done

    def _remove_call(self, call: OpenCall) -> None:
        super()._remove_call(call)
        if call.exchange is None and call.number in self.call_times and not call.attempts:
            # The call has ended before an attempt was sent: refused, or the caller has disconnected.
            del self.call_times[call.number]


@dataclass(slots=True)
class HollowProxy:
    """One hollow proxy, which can be killed and started again."""

    config: Config
    timed: bool = False  # whether it records the stages of calls
    driver: HollowDriver | None = None  # None: not running
    server: HollowServer | None = None
    stages: StageTimes | None = None
    # The `applied_at` of all drivers that were killed: for each version, the earliest driver that applied it.
    applied_at: dict[int, float] = field(default_factory=dict)
    start_times: list[float] = field(default_factory=list)  # monotonic
    totals: dict[str, int] = field(default_factory=dict)  # counts of the drivers that were killed

    async def start(self) -> str:
        """Starts the proxy and returns its address, which is the same at each start."""
        if self.timed and self.stages is None:
            self.stages = StageTimes()
        self.start_times.append(time.monotonic())
        self.driver = HollowDriver(self.config, self.stages)
        self.server = HollowServer(
            self.driver.effects, self.driver, self.config.sockets, self.config.memory_mb
        )
        self.driver.start()
        host, port = self.config.listen
        port = await self.server.listen(host, port)
        self.config = replace(self.config, listen=(host, port))
        return f"{host}:{port}"

    def kill(self) -> None:
        """Ends the proxy as if its process was killed; its counts are kept."""
        if self.driver is not None and self.server is not None:
            self._add_counts(self.driver)
            self.server.kill()
            self.driver.kill()
            self.driver = self.server = None

    def _add_counts(self, driver: HollowDriver) -> None:
        """Adds the counts of a driver that ends; to be called once for each."""
        for version, at in driver.applied_at.items():
            self.applied_at.setdefault(version, at)
        for name in ("calls_taken", "whole_lists", "list_failures", "entries", "probes_sent"):
            self.totals[name] = self.totals.get(name, 0) + getattr(driver, name)

    def statistics(self) -> dict[str, Any]:
        """Returns counts and times since the first start, and the state of the running driver."""
        totals = dict(self.totals)
        applied_at = dict(self.applied_at)
        driver = self.driver
        if driver is not None:
            for name in ("calls_taken", "whole_lists", "list_failures", "entries", "probes_sent"):
                totals[name] = totals.get(name, 0) + getattr(driver, name)
            applied_at = {**driver.applied_at, **applied_at}
        return {
            "totals": totals,
            "in_force": applied_at,
            "starts": self.start_times,
            "version": driver.discovery.version if driver is not None else None,
            "serving": len(driver.balancer.servers.pool) if driver is not None else 0,
        }
