"""Servers that record each attempt, and serve on regardless of their status in discovery."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from random import Random

from granitepoint.fleet.wire import Listener, Message, Peer

# Maximum time between the first and the last byte of an attempt on an open connection: the proxy sends the
# last byte separately, and the time of the attempt is that of its last byte.
MAX_LAST_BYTE_DELAY_S = 0.003


@dataclass(slots=True)
class Attempt:
    """A request as a server received it. Times are monotonic, in seconds."""

    call_id: str
    server: str
    received_at: float
    budget: float  # seconds that the proxy would wait for the answer, from its X-Budget header
    answered_at: float = 0.0  # 0: not answered


class Server:
    """One server: answers each request after a random service time, and health checks at once."""

    def __init__(self, name: str, random: Random, service_time: tuple[float, float] = (0.005, 0.04)) -> None:
        """`service_time`: its minimum and maximum in seconds."""
        self.name, self.random, self.service_time = name, random, service_time
        self.listener = Listener(self, "127.0.0.1")
        self.listener.open()
        self.attempts: list[Attempt] = []
        self.passes_checks = True
        self.hangs = False  # accepts requests and never answers
        self.reset_share = 0.0  # of the requests; their connection is reset instead of an answer
        self.check_count = 0

    @property
    def address(self) -> str:
        """Host and port, as "host:port"."""
        return self.listener.address

    def on_connect(self, peer: Peer) -> None:
        pass

    def on_disconnect(self, peer: Peer) -> None:
        pass

    def on_request(self, peer: Peer, message: Message) -> None:
        """Answers a health check, or records an attempt and answers it later."""
        if message.target in ("/load", "/healthz"):
            self.check_count += 1
            peer.answer(200 if self.passes_checks else 503, b"inflight=0,queue=0")
            return
        budget = int(message.headers["x-budget"].removesuffix("u")) / 1e6
        attempt = Attempt(message.headers["x-call-id"], self.name, message.received_at, budget)
        self.attempts.append(attempt)
        if self.hangs:
            return
        delay = self.random.uniform(*self.service_time)
        asyncio.get_running_loop().call_later(delay, self._answer, peer, attempt)

    def _answer(self, peer: Peer, attempt: Attempt) -> None:
        attempt.answered_at = time.monotonic()
        if self.random.random() < self.reset_share:
            peer.abort()
        else:
            peer.answer(200, b"done " + attempt.call_id.encode())
