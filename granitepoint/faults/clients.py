"""Clients that send one request after another to one proxy, and record how each ended."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random

from granitepoint.fleet.wire import Answer, HttpConnection

NEW_CONNECTION = 0.2  # share of the requests that are sent on a new connection
THINKS = (0.01, 0.08)  # s between an answer and the next request
SPARE = 1.0  # s beyond its time for which the end of a request is waited for


@dataclass(slots=True)
class Request:
    """One request, from its client's side. Times are monotonic, in seconds."""

    call: str
    cls: str
    proxy: str
    sent: float
    budget: float  # s that the client waits
    code: int = 0  # of the answer; 0: none
    ended: float = 0.0
    fault: str = ""  # why there was no answer
    new: bool = True  # sent on a new connection


@dataclass(slots=True)
class RequestKind:
    """What a client sends of one class."""

    name: str
    method: str
    keyed: bool
    budget: float  # s


@dataclass(slots=True)
class Clients:
    """Some clients of one proxy, until they are told to stop."""

    proxy: str
    address: tuple[str, int]
    kinds: list[RequestKind]
    random: Random
    requests: list[Request] = field(default_factory=list)
    numbers: Callable[[], int] = field(default_factory=lambda: count(1).__next__)
    stopped: bool = False
    opens: bool = True  # new connections; a front that has heard of a shutdown sends none any more

    async def run(self, many: int) -> None:
        async with asyncio.TaskGroup() as group:
            for _ in range(many):
                group.create_task(self._client())

    async def _client(self) -> None:
        link: HttpConnection | None = None
        while not self.stopped:
            if link is not None and (not link.reusable or self.random.random() < NEW_CONNECTION):
                link.abort()
                link = None
            if link is not None or self.opens:
                link = await self._request(link)
            await asyncio.sleep(self.random.uniform(*THINKS))
        if link is not None:
            link.abort()

    async def _request(self, link: HttpConnection | None) -> HttpConnection | None:
        kind = self.random.choice(self.kinds)
        call = f"{self.numbers():016x}"
        new = link is None
        try:
            if link is None:
                link = HttpConnection()
                await link.connect(*self.address)
        except OSError:
            return None  # the proxy has not taken it
        made = Request(call, kind.name, self.proxy, time.monotonic(), kind.budget, new=new)
        self.requests.append(made)
        try:
            async with asyncio.timeout(kind.budget + SPARE):
                answer: Answer = await link.send_request(message(kind, call))
            made.code, made.ended = answer.code, answer.received_at
            return link
        except (OSError, TimeoutError) as fault:
            made.fault, made.ended = type(fault).__name__, time.monotonic()
            link.abort()
            return None


def message(kind: RequestKind, call: str) -> bytes:
    """The request as PROTOCOL has it."""
    lines = [f"{kind.method} /{kind.name} HTTP/1.1", "Host: service", f"X-Call-Id: {call}"]
    lines.append(f"X-Budget: {kind.budget * 1e3:.0f}m")
    if kind.keyed:
        lines.append(f"Idempotency-Key: k{call}")
    if kind.method == "POST":
        lines.append("Content-Length: 0")
    return "\r\n".join([*lines, "", ""]).encode()
