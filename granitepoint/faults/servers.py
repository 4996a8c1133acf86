"""Servers that record each attempt, and go on serving whatever discovery says of them."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from random import Random

from granitepoint.fleet.wire import Listener, Message, Peer

LAST_BYTE = 0.003  # s at most between the first byte of an attempt on an open connection and its last one


@dataclass(slots=True)
class Attempt:
    """A request as a server got it. Times are monotonic, in seconds."""

    call: str
    server: str
    came: float
    budget: float  # s that the proxy said that it would wait
    ended: float = 0.0  # when it was answered; 0: not answered


class Server:
    """One server: serves all that comes after a while, and passes its health checks unless told not to."""

    def __init__(self, name: str, random: Random, service: tuple[float, float] = (0.005, 0.04)) -> None:
        self.name, self.random, self.service = name, random, service
        self.listener = Listener(self, "127.0.0.1")
        self.listener.open()
        self.attempts: list[Attempt] = []
        self.passes_checks = True
        self.hangs = False  # takes what comes and answers nothing
        self.reset_share = 0.0  # of the requests whose connection is reset in place of an answer
        self.checks = 0

    @property
    def address(self) -> str:
        return self.listener.address

    def on_connect(self, peer: Peer) -> None:
        pass

    def on_disconnect(self, peer: Peer) -> None:
        pass

    def on_request(self, peer: Peer, message: Message) -> None:
        if message.target in ("/load", "/healthz"):
            self.checks += 1
            peer.answer(200 if self.passes_checks else 503, b"inflight=0,queue=0")
            return
        budget = int(message.headers["x-budget"].removesuffix("u")) / 1e6
        attempt = Attempt(message.headers["x-call-id"], self.name, message.received_at, budget)
        self.attempts.append(attempt)
        if self.hangs:
            return
        wait = self.random.uniform(*self.service)
        asyncio.get_running_loop().call_later(wait, self._answer, peer, attempt)

    def _answer(self, peer: Peer, attempt: Attempt) -> None:
        attempt.ended = time.monotonic()
        if self.random.random() < self.reset_share:
            peer.abort()
        else:
            peer.answer(200, b"done " + attempt.call.encode())
