"""Hollow backends: they answer as PROTOCOL has it after a drawn time, and do no work meanwhile."""

from __future__ import annotations

import asyncio
import time
from collections import Counter, deque
from collections.abc import Callable, Iterator

import numpy as np

from granitepoint.fleet.experiment import BackendSizes
from granitepoint.fleet.wire import Listener, Message, Peer
from granitepoint.interface import Settings

BLOCK = 4096  # draws at a time
SWEEP = 1.0  # s between looks for idle connections
Inner = Callable[["Backend", Message], asyncio.Task[bool]]  # calls below; whether all were served


def draw_times(sizes: BackendSizes, seed: int) -> Iterator[float]:
    """Seconds of service, log-normal about the stated mean."""
    rng = np.random.default_rng(seed)
    mean = sizes.service_ms / 1000
    while True:
        if sizes.spread <= 0 or mean <= 0:
            yield from [mean] * BLOCK
        else:
            centre = np.log(mean) - sizes.spread**2 / 2
            yield from rng.lognormal(centre, sizes.spread, BLOCK).tolist()


class Backend:
    """One machine of a service. Its states: stopped, serving (cold at first, after a restart), draining."""

    def __init__(
        self,
        name: str,
        zone: str,
        hosts: list[str],
        sizes: BackendSizes,
        settings: Settings,
        times: Iterator[float],
        fails: Iterator[float],
        inner: Inner | None = None,
    ) -> None:
        self.name, self.zone, self.sizes, self.settings = name, zone, sizes, settings
        self.times, self.fails, self.inner = times, fails, inner
        self.listeners = [Listener(self, host) for host in hosts]  # one for the callers of each region
        self.counts: Counter[str] = Counter()
        self.draining = False
        self.cold_since = 0.0  # monotonic; 0: warm
        self.life = 0  # of the process: what an earlier one had begun is void
        self.running = 0
        self.waiting: deque[tuple[Peer, Message, float]] = deque()
        self.offered: deque[tuple[float, float]] = deque()  # work that came while cold: when, s
        self.offered_sum = 0.0
        self.inner_tasks: set[asyncio.Task[bool]] = set()

    # life
    def start(self, cold: bool = False) -> None:
        self.draining = False
        self.cold_since = time.monotonic() if cold else 0.0
        self.offered.clear()
        self.offered_sum = 0.0
        for listener in self.listeners:
            listener.open()

    def drain(self) -> None:
        self.draining = True

    def stop(self) -> None:
        """As a killed process: connections are reset, new ones refused."""
        self.life += 1
        self.running = 0
        self.waiting.clear()
        for task in self.inner_tasks:
            task.cancel()
        for listener in self.listeners:
            listener.refuse()

    @property
    def connections(self) -> int:
        return sum(len(listener.peers) for listener in self.listeners)

    def capacity(self, now: float) -> float:
        """Share of its full capacity: a cold one warms evenly."""
        if not self.cold_since:
            return 1.0
        age = (now - self.cold_since) / max(1e-9, self.settings.cold_for)
        return min(1.0, self.settings.cold_from + (1 - self.settings.cold_from) * age)

    def close_idle(self) -> None:
        before = time.monotonic() - self.settings.conn_idle
        for listener in self.listeners:
            for peer in list(listener.peers):
                if peer.used_at < before and not peer.silent:
                    peer.close()

    # connections
    def joined(self, peer: Peer) -> None:
        self.counts["connections"] += 1

    def left(self, peer: Peer) -> None:
        pass

    def asked(self, peer: Peer, message: Message) -> None:
        path = message.target.partition("?")[0]
        if path in ("/load", "/healthz") and self.settings.may_probe:
            self._probed(peer, path, message.size)
        elif not message.headers.get("x-call-id"):
            peer.answer(404)
        elif self.draining:
            self._turn_away(peer, "draining")
        elif self.connections > self.sizes.connections and peer.taken == 1:
            self._turn_away(peer, "too many connections")
        elif len(self.waiting) >= self.sizes.queue and self.running >= self.sizes.cores:
            self._turn_away(peer, "queue full")
        else:
            self._take(peer, message)

    def _probed(self, peer: Peer, path: str, size: int) -> None:
        self.counts["probes"] += 1
        before = peer.listener.bytes_out
        if path == "/load" and self.settings.reports == "none":
            peer.answer(404)
        else:
            report = f"inflight={self.running + len(self.waiting)},queue={len(self.waiting)}".encode()
            peer.answer(503 if self.draining else 200, report if path == "/load" else b"ok\n")
        self.counts["probe bytes"] += size + peer.listener.bytes_out - before

    def _turn_away(self, peer: Peer, why: str) -> None:
        self.counts[f"turned away: {why}"] += 1
        peer.answer(503, why.encode() + b"\n", X_Rejected="1")

    def _take(self, peer: Peer, message: Message) -> None:
        now = time.monotonic()
        capacity = self.capacity(now)
        work = next(self.times) + (self.sizes.handshake_ms / 1000 if peer.taken == 1 else 0.0)
        self.counts["begun"] += 1
        if capacity < 1 and self._falls(now, capacity, work):
            self.counts["fell over cold"] += 1
            self.stop()
            return
        self.waiting.append((peer, message, work / capacity))
        self._serve_next()

    def _falls(self, now: float, capacity: float, work: float) -> bool:
        """Whether a cold backend has been sent more than it can bear within the span of the settings."""
        span = self.settings.fall_within
        self.offered.append((now, work))
        self.offered_sum += work
        while self.offered[0][0] < now - span:
            self.offered_sum -= self.offered.popleft()[1]
        return self.offered_sum > self.settings.fall_multiple * capacity * self.sizes.cores * span

    def _serve_next(self) -> None:
        loop = asyncio.get_running_loop()
        while self.waiting and self.running < self.sizes.cores:
            peer, message, takes = self.waiting.popleft()
            self.running += 1
            loop.call_later(takes, self._served, self.life, peer, message)

    def _served(self, life: int, peer: Peer, message: Message) -> None:
        if life != self.life:
            return
        self.running -= 1
        self._serve_next()
        if next(self.fails) < self.sizes.fail_share:
            self.counts["failed"] += 1
            peer.answer(500)
        elif self.inner is None:
            self._answer(peer, message)
        else:
            task = self.inner(self, message)
            self.inner_tasks.add(task)
            task.add_done_callback(lambda done: self._inner_ended(done, peer, message))

    def _inner_ended(self, task: asyncio.Task[bool], peer: Peer, message: Message) -> None:
        self.inner_tasks.discard(task)
        if task.cancelled():
            return
        if task.exception() is None and task.result():
            self._answer(peer, message)
        else:
            self.counts["failed below"] += 1
            peer.answer(500)

    def _answer(self, peer: Peer, message: Message) -> None:
        """The header tells when the request's last byte came and when the answer left, in monotonic us."""
        span = f"{message.came * 1e6:.0f},{time.monotonic() * 1e6:.0f}"
        body = message.headers["x-call-id"].encode()
        done = peer.answer(200, body, X_Span=span)
        self.counts["served" if done else "served to nobody"] += 1


async def sweep_idle(backends: list[Backend]) -> None:
    """Closes idle connections, until cancelled."""
    while True:
        await asyncio.sleep(SWEEP)
        for backend in backends:
            backend.close_idle()
