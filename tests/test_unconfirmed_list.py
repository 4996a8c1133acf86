"""Servers that drain while discovery answers nobody.

What users saw: a few requests went to servers that had been draining for longer than the grace period,
only in fleets with many times the usual number of servers.

The order of events: discovery was away for some seconds, and seven in ten of the first tier's proxies
were restarted. At its return more calls came to it than it could answer, each call waited 2 s in turn,
failed, and was made again at once, so no call ever came through. Servers began to drain. Six seconds
after discovery had that, each proxy counted as told, whether it had been answered or not; these had the
list of before, and went on sending.

The cause: a list was trusted for as long as no newer one came. Nothing bounded its age, although a server
that drains says so itself, on its health check.

The evidence: the log of each proxy at fault holds nothing but failed calls to discovery (2.0 s each, the
next one 0.1 s later) from 7 s before the drain until the break, and the break came 0.3 to 0.6 s after
those 6 s. In a run with each request's lines (3867bda5), probes to servers that drained got 503 from 2 s
before the list told of it, and not one got 200 after.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from itertools import count

import pytest
from netkit import (
    Backend,
    Discovery,
    Proxy,
    ReceivedRequest,
    proxy,
    read_message,
    reserved_address,
    response,
    run,
    serve_ok,
)

TOLD_AFTER = 6.0  # s after discovery has a change from which it counts as told, answered or not
GRACE = 0.3  # s from there in which a request may still go out
WATCHED = 1.0  # s beyond that
CALLERS = 4  # at once, so that more than one server is used
SERVICE_TIME = 0.02  # s


class HealthCheckedBackend(Backend):
    """Serves whatever comes, also while it drains; its health check answers 503 from then on."""

    def __init__(self) -> None:
        super().__init__(self._serve)
        self.draining = False
        self.last_call_at = -1.0

    async def _serve(self, seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        self.last_call_at = asyncio.get_running_loop().time()
        await asyncio.sleep(SERVICE_TIME)
        await serve_ok(seen, writer)

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                seen = ReceivedRequest(*await read_message(reader), 0)
                if seen.target == "/load":
                    writer.write(response(503) if self.draining else response(200, b"inflight=0,queue=0"))
                else:
                    self.call_count += 1
                    await self.behave(seen, writer)
        writer.close()


class FailingDiscovery(Discovery):
    """Answers what was put, and once that is over fails each call."""

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await read_message(reader)
                if not self.changes.empty():
                    writer.write(self.changes.get_nowait())
                    continue
                writer.write(response(503))
        writer.close()


class LeavingDiscovery(Discovery):
    """Told to go away it ends what is open, and nobody listens any more."""

    def __init__(self) -> None:
        super().__init__()
        self.writers: list[asyncio.StreamWriter] = []

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        await super()._connection(reader, writer)

    def go_away(self) -> None:
        assert self.server is not None
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


class Traffic:
    """Callers that ask one thing after another; each request has to be served."""

    def __init__(self, node: Proxy) -> None:
        self.node = node
        self.clock = asyncio.get_running_loop().time
        self.requests = count(1)

    async def until(self, over: Callable[[], bool]) -> None:
        async with asyncio.TaskGroup() as callers:
            for _ in range(CALLERS):
                callers.create_task(self._caller(over))

    async def until_time(self, end: float) -> None:
        await self.until(lambda: self.clock() >= end)

    async def _caller(self, over: Callable[[], bool]) -> None:
        caller = await self.node.caller()
        while not over():
            answer = await caller.call("canje", f"{next(self.requests):016x}", budget="5000m")
            assert answer.code == 200


def test_a_server_whose_drain_no_answer_told_of_gets_nothing_once_it_counts_as_told() -> None:
    """Both servers go on serving; one drains, and discovery is away from just before that. The list may be
    used for as long as it is; what tells of the drain is the health check."""

    async def test() -> None:
        leaving, staying = HealthCheckedBackend(), HealthCheckedBackend()
        discovery = LeavingDiscovery()
        await discovery.start()
        async with proxy({"s-1": leaving, "s-2": staying}, discovery) as node:
            traffic = Traffic(node)
            await traffic.until(lambda: leaving.call_count > CALLERS and staying.call_count > CALLERS)
            discovery.go_away()
            leaving.draining, drained_at = True, traffic.clock()
            told_at = drained_at + TOLD_AFTER + GRACE
            await traffic.until_time(told_at + WATCHED)
            assert leaving.last_call_at < told_at < staying.last_call_at

    run(test())


@pytest.mark.parametrize("away", ["failing", "refusing"])
def test_a_new_process_sends_nothing_at_all_before_its_first_list(away: str) -> None:
    """It has the list of before its start, and no one tells it how old that is. A server that left meanwhile
    may pass its health checks; before, those that passed were sent to."""

    async def test() -> None:
        leaving, staying = HealthCheckedBackend(), HealthCheckedBackend()
        leaving.draining = True
        with reserved_address() as nowhere:
            discovery = await FailingDiscovery().start()
            if away == "refusing":
                discovery.address = nowhere
            async with proxy({"s-1": leaving, "s-2": staying}, discovery) as node:
                answer = await (await node.caller()).call("canje", "1" * 16, budget="1000m")
                assert answer.code == 503 and float(answer.headers["retry-after"]) > 0
                assert leaving.call_count == staying.call_count == 0

    run(test())


def test_servers_that_are_well_are_used_however_long_discovery_is_away() -> None:
    """A discovery that nobody can reach is no reason to refuse, nor to crowd one of them."""

    async def test() -> None:
        one, other = HealthCheckedBackend(), HealthCheckedBackend()
        discovery = LeavingDiscovery()
        await discovery.start()
        async with proxy({"s-1": one, "s-2": other}, discovery) as node:
            traffic = Traffic(node)
            discovery.go_away()
            end = traffic.clock() + TOLD_AFTER + WATCHED
            await traffic.until_time(end)
            assert min(one.last_call_at, other.last_call_at) > end - WATCHED

    run(test())
