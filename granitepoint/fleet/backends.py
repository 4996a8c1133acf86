"""Simulated backends: servers, many to a process, that answer after a randomly drawn service time.

They follow the specification PROTOCOL but do no work while a request runs, so that a process can hold
hundreds of them.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter, deque
from collections.abc import Callable, Iterator

import numpy as np

from granitepoint.fleet.experiment import BackendSizes
from granitepoint.fleet.wire import Listener, Message, Peer
from granitepoint.interface import Settings

DRAW_BATCH_SIZE = 4096  # service times that are drawn by one call of numpy
IDLE_SWEEP_INTERVAL_S = 1.0
# Starts the calls that a backend makes to the next service in order to serve a request; the result of the
# task is whether all of them were served.
NextServiceCalls = Callable[["Backend", Message], asyncio.Task[bool]]


def draw_service_times(sizes: BackendSizes, seed: int) -> Iterator[float]:
    """Yields service times in seconds, log-normally distributed with the configured mean and spread."""
    rng = np.random.default_rng(seed)
    mean = sizes.service_ms / 1000
    while True:
        if sizes.spread <= 0 or mean <= 0:
            yield from [mean] * DRAW_BATCH_SIZE
        else:
            log_mean = np.log(mean) - sizes.spread**2 / 2
            yield from rng.lognormal(log_mean, sizes.spread, DRAW_BATCH_SIZE).tolist()


class Backend:
    """One server of a service: stopped, serving or draining.

    After a restart it is cold for a while: its capacity is reduced, and it crashes under too much work.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        hosts: list[str],
        sizes: BackendSizes,
        settings: Settings,
        service_times: Iterator[float],
        failure_draws: Iterator[float],
        call_next: NextServiceCalls | None = None,
    ) -> None:
        self.name, self.zone, self.sizes, self.settings = name, zone, sizes, settings
        self.service_times, self.failure_draws, self.call_next = service_times, failure_draws, call_next
        self.listeners = [Listener(self, host) for host in hosts]  # one for the proxies of each region
        self.counts: Counter[str] = Counter()
        self.draining = False
        self.cold_since = 0.0  # monotonic; 0: warm
        self.generation = 0  # counts the stops; a request that was running at a stop is never answered
        self.running = 0
        self.queue: deque[tuple[Peer, Message, float]] = deque()
        # Of each request accepted while cold: its monotonic time and its service time in seconds.
        self.cold_work: deque[tuple[float, float]] = deque()
        self.cold_work_sum = 0.0  # seconds of service time in `cold_work`
        self.next_call_tasks: set[asyncio.Task[bool]] = set()

    # Lifecycle
    def start(self, cold: bool = False) -> None:
        """Starts serving; with `cold`, at a reduced capacity that grows to the full one."""
        self.draining = False
        self.cold_since = time.monotonic() if cold else 0.0
        self.cold_work.clear()
        self.cold_work_sum = 0.0
        for listener in self.listeners:
            listener.open()

    def drain(self) -> None:
        """From now on, rejects new requests; those accepted before are still served."""
        self.draining = True

    def stop(self) -> None:
        """Simulates a killed process: connections are reset and new ones refused."""
        self.generation += 1
        self.running = 0
        self.queue.clear()
        for task in self.next_call_tasks:
            task.cancel()
        for listener in self.listeners:
            listener.refuse()

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return sum(len(listener.peers) for listener in self.listeners)

    def capacity(self, now: float) -> float:
        """Returns the present fraction of the full capacity.

        It grows linearly from `cold_from` to 1 in the `cold_for` seconds after a cold start.
        """
        if not self.cold_since:
            return 1.0
        age = (now - self.cold_since) / max(1e-9, self.settings.cold_for)
        return min(1.0, self.settings.cold_from + (1 - self.settings.cold_from) * age)

    def close_idle(self) -> None:
        """Closes connections that have been idle for longer than the settings allow."""
        idle_limit = time.monotonic() - self.settings.conn_idle
        for listener in self.listeners:
            for peer in list(listener.peers):
                if peer.last_active_at < idle_limit and not peer.silent:
                    peer.close()

    # Connection events
    def on_connect(self, peer: Peer) -> None:
        """Implements ConnectionHandler: counts the connection."""
        self.counts["connections"] += 1

    def on_disconnect(self, peer: Peer) -> None:
        """Implements ConnectionHandler: requests of the connection run on."""
        pass

    def on_request(self, peer: Peer, message: Message) -> None:
        """Implements ConnectionHandler: answers a probe, rejects a request or accepts it."""
        path = message.target.partition("?")[0]
        if path in ("/load", "/healthz") and self.settings.may_probe:
            self._answer_probe(peer, path, message.size)
        elif not message.headers.get("x-call-id"):
            peer.answer(404)
        elif self.draining:
            self._reject(peer, "draining")
        elif self.connections > self.sizes.connections and peer.request_count == 1:
            self._reject(peer, "too many connections")
        elif len(self.queue) >= self.sizes.queue and self.running >= self.sizes.cores:
            self._reject(peer, "queue full")
        else:
            self._accept(peer, message)

    def _answer_probe(self, peer: Peer, path: str, size: int) -> None:
        self.counts["probes"] += 1
        before = peer.listener.bytes_out
        if path == "/load" and self.settings.reports == "none":
            peer.answer(404)
        else:
            report = f"inflight={self.running + len(self.queue)},queue={len(self.queue)}".encode()
            peer.answer(503 if self.draining else 200, report if path == "/load" else b"ok\n")
        self.counts["probe bytes"] += size + peer.listener.bytes_out - before

    def _reject(self, peer: Peer, reason: str) -> None:
        self.counts[f"turned away: {reason}"] += 1
        peer.answer(503, reason.encode() + b"\n", X_Rejected="1")

    def _accept(self, peer: Peer, message: Message) -> None:
        now = time.monotonic()
        capacity = self.capacity(now)
        work = next(self.service_times) + (self.sizes.handshake_ms / 1000 if peer.request_count == 1 else 0.0)
        self.counts["begun"] += 1
        if capacity < 1 and self._crashes_cold(now, capacity, work):
            self.counts["fell over cold"] += 1
            self.stop()
            return
        self.queue.append((peer, message, work / capacity))
        self._serve_next()

    def _crashes_cold(self, now: float, capacity: float, work: float) -> bool:
        """Adds a request of `work` seconds; returns whether it makes the cold backend crash from overload.

        It crashes if the work received in the last `fall_within` seconds exceeds `fall_multiple` times what
        its reduced capacity can do in that time.
        """
        span = self.settings.fall_within
        self.cold_work.append((now, work))
        self.cold_work_sum += work
        while self.cold_work[0][0] < now - span:
            self.cold_work_sum -= self.cold_work.popleft()[1]
        return self.cold_work_sum > self.settings.fall_multiple * capacity * self.sizes.cores * span

    def _serve_next(self) -> None:
        loop = asyncio.get_running_loop()
        while self.queue and self.running < self.sizes.cores:
            peer, message, service_time = self.queue.popleft()
            self.running += 1
            loop.call_later(service_time, self._on_served, self.generation, peer, message)

    def _on_served(self, generation: int, peer: Peer, message: Message) -> None:
        if generation != self.generation:
            return
        self.running -= 1
        self._serve_next()
        if next(self.failure_draws) < self.sizes.fail_share:
            self.counts["failed"] += 1
            peer.answer(500)
        elif self.call_next is None:
            self._answer(peer, message)
        else:
            task = self.call_next(self, message)
            self.next_call_tasks.add(task)
            task.add_done_callback(lambda done: self._on_next_calls_done(done, peer, message))

    def _on_next_calls_done(self, task: asyncio.Task[bool], peer: Peer, message: Message) -> None:
        self.next_call_tasks.discard(task)
        if task.cancelled():
            return
        if task.exception() is None and task.result():
            self._answer(peer, message)
        else:
            self.counts["failed below"] += 1
            peer.answer(500)

    def _answer(self, peer: Peer, message: Message) -> None:
        """Answers with 200. X-Span holds the times, in monotonic us, at which the last byte of the request
        was received and the answer was written."""
        span = f"{message.received_at * 1e6:.0f},{time.monotonic() * 1e6:.0f}"
        body = message.headers["x-call-id"].encode()
        written = peer.answer(200, body, X_Span=span)
        self.counts["served" if written else "served to nobody"] += 1


async def sweep_idle(backends: list[Backend]) -> None:
    """Closes idle connections of these backends periodically, until cancelled."""
    while True:
        await asyncio.sleep(IDLE_SWEEP_INTERVAL_S)
        for backend in backends:
            backend.close_idle()
