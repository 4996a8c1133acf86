"""Clients that send requests to one proxy, one after another, and record the outcome of each."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random

from granitepoint.fleet.wire import Answer, HttpConnection

NEW_CONNECTION_SHARE = 0.2  # of the requests
THINK_TIME_S = (0.01, 0.08)  # minimum and maximum time between an answer and the next request
# Time after the end of a request's budget at which its client stops waiting for the answer.
ANSWER_WAIT_MARGIN_S = 1.0


@dataclass(slots=True)
class Request:
    """One request as its client saw it. Times are monotonic, in seconds."""

    call_id: str
    class_name: str
    proxy_name: str
    sent_at: float
    budget: float  # seconds that the client allows for the answer
    code: int = 0  # HTTP status of the answer; 0: none
    ended_at: float = 0.0
    error: str = ""  # type of the exception that ended a request without an answer; empty: none
    new_connection: bool = True  # sent on a connection that was opened for it


@dataclass(slots=True)
class RequestTemplate:
    """What a client sends for one class of requests."""

    class_name: str
    method: str
    has_idempotency_key: bool
    budget: float  # seconds


@dataclass(slots=True)
class Clients:
    """Several clients of one proxy. They run until `stopped` is set."""

    proxy_name: str
    address: tuple[str, int]
    templates: list[RequestTemplate]
    random: Random
    requests: list[Request] = field(default_factory=list)
    next_call_number: Callable[[], int] = field(default_factory=lambda: count(1).__next__)
    stopped: bool = False
    # False from shortly after the proxy's SIGTERM until it is ready again. The clients stand for a front end,
    # which learns of the shutdown after a moment and then opens no new connections.
    opens_connections: bool = True

    async def run(self, client_count: int) -> None:
        """Runs this many clients until `stopped` is set."""
        async with asyncio.TaskGroup() as group:
            for _ in range(client_count):
                group.create_task(self._run_client())

    async def _run_client(self) -> None:
        connection: HttpConnection | None = None
        while not self.stopped:
            if connection is not None and (
                not connection.reusable or self.random.random() < NEW_CONNECTION_SHARE
            ):
                connection.abort()
                connection = None
            if connection is not None or self.opens_connections:
                connection = await self._send_request(connection)
            await asyncio.sleep(self.random.uniform(*THINK_TIME_S))
        if connection is not None:
            connection.abort()

    async def _send_request(self, connection: HttpConnection | None) -> HttpConnection | None:
        """Sends a request and records it; returns its connection, or None without an answer."""
        template = self.random.choice(self.templates)
        call_id = f"{self.next_call_number():016x}"
        new_connection = connection is None
        try:
            if connection is None:
                connection = HttpConnection()
                await connection.connect(*self.address)
        except OSError:
            return None  # the proxy never accepted it, so no request is recorded
        request = Request(
            call_id,
            template.class_name,
            self.proxy_name,
            time.monotonic(),
            template.budget,
            new_connection=new_connection,
        )
        self.requests.append(request)
        try:
            async with asyncio.timeout(template.budget + ANSWER_WAIT_MARGIN_S):
                answer: Answer = await connection.send_request(encode_request(template, call_id))
            request.code, request.ended_at = answer.code, answer.received_at
            return connection
        except (OSError, TimeoutError) as error:
            request.error, request.ended_at = type(error).__name__, time.monotonic()
            connection.abort()
            return None


def encode_request(template: RequestTemplate, call_id: str) -> bytes:
    """Encodes a request as the protocol specification (PROTOCOL) describes it."""
    lines = [f"{template.method} /{template.class_name} HTTP/1.1", "Host: service", f"X-Call-Id: {call_id}"]
    lines.append(f"X-Budget: {template.budget * 1e3:.0f}m")
    if template.has_idempotency_key:
        lines.append(f"Idempotency-Key: k{call_id}")
    if template.method == "POST":
        lines.append("Content-Length: 0")
    return "\r\n".join([*lines, "", ""]).encode()
