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
    Seen,
    held_address,
    proxy,
    read_message,
    response,
    run,
    serve_ok,
)

NOTIFIED_AFTER = 6.0  # s after discovery has a change from which it counts as told, answered or not
DRAIN_GRACE = 0.3  # s from there in which a request may still go out
OBSERVED_AFTER = 1.0  # s beyond that
CALLERS = 4  # at once, so that more than one server is used
SERVICE_TIME = 0.02  # s


class HealthCheckedBackend(Backend):
    """Serves whatever comes, also while it drains; its health check answers 503 from then on."""

    def __init__(self) -> None:
        super().__init__(self._serve)
        self.draining = False
        self.last_call_at = -1.0

    async def _serve(self, seen: Seen, writer: asyncio.StreamWriter) -> None:
        self.last_call_at = asyncio.get_running_loop().time()
        await asyncio.sleep(SERVICE_TIME)
        await serve_ok(seen, writer)

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                seen = Seen(*await read_message(reader), 0)
                if seen.target == "/load":
                    writer.write(response(503) if self.draining else response(200, b"inflight=0,queue=0"))
                else:
                    self.count += 1
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


class StoppableDiscovery(Discovery):
    """Told to go away it ends what is open, and nobody listens any more."""

    def __init__(self) -> None:
        super().__init__()
        self.writers: list[asyncio.StreamWriter] = []

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        await super()._connection(reader, writer)

    def stop_listening(self) -> None:
        assert self.server is not None
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


class Traffic:
    """Callers that ask one thing after another; each request has to be served."""

    def __init__(self, running_proxy: Proxy) -> None:
        self.running_proxy = running_proxy
        self.clock = asyncio.get_running_loop().time
        self.requests = count(1)

    async def until(self, finished: Callable[[], bool]) -> None:
        async with asyncio.TaskGroup() as callers:
            for _ in range(CALLERS):
                callers.create_task(self._caller(finished))

    async def until_time(self, end: float) -> None:
        await self.until(lambda: self.clock() >= end)

    async def _caller(self, finished: Callable[[], bool]) -> None:
        caller = await self.running_proxy.caller()
        while not finished():
            answer = await caller.call("canje", f"{next(self.requests):016x}", budget="5000m")
            assert answer.code == 200


def test_a_server_whose_drain_no_answer_told_of_gets_nothing_once_it_counts_as_told() -> None:
    """Both servers go on serving; one drains, and discovery is away from just before that. The list may be
    used for as long as it is; what tells of the drain is the health check."""

    async def test() -> None:
        draining_backend, healthy_backend = HealthCheckedBackend(), HealthCheckedBackend()
        discovery = StoppableDiscovery()
        await discovery.start()
        async with proxy({"s-1": draining_backend, "s-2": healthy_backend}, discovery) as running_proxy:
            traffic = Traffic(running_proxy)
            await traffic.until(lambda: draining_backend.count > CALLERS and healthy_backend.count > CALLERS)
            discovery.stop_listening()
            draining_backend.draining, drained_at = True, traffic.clock()
            notified_at = drained_at + NOTIFIED_AFTER + DRAIN_GRACE
            await traffic.until_time(notified_at + OBSERVED_AFTER)
            assert draining_backend.last_call_at < notified_at < healthy_backend.last_call_at

    run(test())


@pytest.mark.parametrize("failure_mode", ["failing", "refusing"])
def test_a_new_process_sends_nothing_at_all_before_its_first_list(failure_mode: str) -> None:
    """It has the list of before its start, and no one tells it how old that is. A server that left meanwhile
    may pass its health checks; before, those that passed were sent to."""

    async def test() -> None:
        draining_backend, healthy_backend = HealthCheckedBackend(), HealthCheckedBackend()
        draining_backend.draining = True
        with held_address() as closed_address:
            discovery = await FailingDiscovery().start()
            if failure_mode == "refusing":
                discovery.address = closed_address
            async with proxy({"s-1": draining_backend, "s-2": healthy_backend}, discovery) as running_proxy:
                answer = await (await running_proxy.caller()).call("canje", "1" * 16, budget="1000m")
                assert answer.code == 503 and float(answer.headers["retry-after"]) > 0
                assert draining_backend.count == healthy_backend.count == 0

    run(test())


def test_servers_that_are_well_are_used_however_long_discovery_is_away() -> None:
    """A discovery that nobody can reach is no reason to refuse, nor to crowd one of them."""

    async def test() -> None:
        one, other = HealthCheckedBackend(), HealthCheckedBackend()
        discovery = StoppableDiscovery()
        await discovery.start()
        async with proxy({"s-1": one, "s-2": other}, discovery) as running_proxy:
            traffic = Traffic(running_proxy)
            discovery.stop_listening()
            end = traffic.clock() + NOTIFIED_AFTER + OBSERVED_AFTER
            await traffic.until_time(end)
            assert min(one.last_call_at, other.last_call_at) > end - OBSERVED_AFTER

    run(test())
