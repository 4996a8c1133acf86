"""Servers that drain while discovery answers nobody.

Guards against this failure: some requests went to servers that had been draining for longer than the grace
period. It was seen only in fleets with many times the usual number of servers.

Discovery was down for some seconds while seven in ten of the first tier's proxies were restarted. When it
returned, more calls arrived than it could answer. Each call was queued for 2 s, failed, and was repeated 0.1
s later, so no call succeeded. Then servers began to drain. Six seconds after discovery had that change each
proxy counted as notified, whether its calls were answered or not; these proxies still had the old list and
went on sending, and the rule was broken 0.3 to 0.6 s after those 6 s.

The cause was that a list was used for as long as no newer one came, with no limit on its age. Yet a draining
server fails its own health check: in the recorded run, probes to draining servers got 503 from 2 s before the
list told of the drain, and none got 200 after that.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
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

from granitepoint.net.discovery import HOLD_MS

HOLD = HOLD_MS / 1000  # s between two answers of discovery while nothing changes
NOTIFIED_AFTER = 6.0  # s after discovery has a change a proxy counts as notified, answered or not
DRAIN_GRACE = 0.3  # s after that in which a request may still be sent
OBSERVED_AFTER = 1.0  # s after that for which the test goes on
CALLERS = 4  # concurrent callers, so that more than one server is used
SERVICE_TIME = 0.02  # s


class HealthCheckedBackend(Backend):
    """Serves every request, also while it drains; from then on its health check answers 503."""

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
    """Sends the answers that were queued for it, and after them fails every call."""

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
    """Can be stopped: then it closes all connections and refuses new ones."""

    def __init__(self) -> None:
        super().__init__()
        self.writers: list[asyncio.StreamWriter] = []

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        await super()._connection(reader, writer)

    def stop_listening(self) -> None:
        """Closes the listener and all connections."""
        assert self.server is not None
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


class Traffic:
    """Concurrent callers that send one request after another.

    Each has to be served. Only those sent from `may_refuse_from` on, on the clock of the event loop, may be
    refused with advice when to try again.
    """

    def __init__(self, running_proxy: Proxy) -> None:
        self.running_proxy = running_proxy
        self.may_refuse_from = math.inf
        self.refusals = 0
        self.clock = asyncio.get_running_loop().time
        self.requests = count(1)

    async def until(self, finished: Callable[[], bool]) -> None:
        """Runs the callers until `finished` returns True."""
        async with asyncio.TaskGroup() as callers:
            for _ in range(CALLERS):
                callers.create_task(self._caller(finished))

    async def until_time(self, end: float) -> None:
        """Runs the callers until a time on the clock of the event loop."""
        await self.until(lambda: self.clock() >= end)

    async def _caller(self, finished: Callable[[], bool]) -> None:
        caller = await self.running_proxy.caller()
        while not finished():
            sent_at = self.clock()
            answer = await caller.call("canje", f"{next(self.requests):016x}", budget="5000m")
            if sent_at >= self.may_refuse_from and answer.code == 503:
                assert float(answer.headers["retry-after"]) > 0
                self.refusals += 1
            else:
                assert answer.code == 200


def test_a_draining_server_gets_no_requests_after_the_proxy_counts_as_notified_without_an_answer() -> None:
    """Both servers go on serving. One begins to drain just after discovery went down."""

    async def test() -> None:
        draining_backend, healthy_backend = HealthCheckedBackend(), HealthCheckedBackend()
        discovery = StoppableDiscovery()
        await discovery.start()
        async with proxy({"s-1": draining_backend, "s-2": healthy_backend}, discovery) as running_proxy:
            traffic = Traffic(running_proxy)
            await traffic.until(
                lambda: draining_backend.call_count > CALLERS and healthy_backend.call_count > CALLERS
            )
            discovery.stop_listening()
            draining_backend.draining, drained_at = True, traffic.clock()
            lease_end = drained_at + NOTIFIED_AFTER - HOLD
            traffic.may_refuse_from = lease_end
            notified_at = drained_at + NOTIFIED_AFTER + DRAIN_GRACE
            await traffic.until_time(notified_at + OBSERVED_AFTER)
            assert draining_backend.last_call_at < notified_at
            assert lease_end - 2 * SERVICE_TIME < healthy_backend.last_call_at < notified_at

    run(test())


@pytest.mark.parametrize("failure_mode", ["failing", "refusing"])
def test_a_new_process_sends_nothing_at_all_before_its_first_list(failure_mode: str) -> None:
    """It has the list from before its start, of unknown age. A server that has left the list since then may
    still pass its health checks; servers that passed them got requests before the lease on the list was
    introduced."""

    async def test() -> None:
        draining_backend, healthy_backend = HealthCheckedBackend(), HealthCheckedBackend()
        draining_backend.draining = True
        with reserved_address() as closed_address:
            discovery = await FailingDiscovery().start()
            if failure_mode == "refusing":
                discovery.address = closed_address
            async with proxy({"s-1": draining_backend, "s-2": healthy_backend}, discovery) as running_proxy:
                answer = await (await running_proxy.caller()).call("canje", "1" * 16, budget="1000m")
                assert answer.code == 503 and float(answer.headers["retry-after"]) > 0
                assert draining_backend.call_count == healthy_backend.call_count == 0

    run(test())


def test_healthy_servers_are_used_for_the_rest_of_the_lease_when_discovery_goes_down() -> None:
    """Until then requests are neither refused nor all sent to one server. The watch may have been silent
    since the last answer, so later ones are refused, although nothing has changed."""

    async def test() -> None:
        first_backend, second_backend = HealthCheckedBackend(), HealthCheckedBackend()
        discovery = StoppableDiscovery()
        await discovery.start()
        async with proxy({"s-1": first_backend, "s-2": second_backend}, discovery) as running_proxy:
            traffic = Traffic(running_proxy)
            await traffic.until(lambda: bool(first_backend.call_count))
            discovery.stop_listening()
            down_at = traffic.clock()
            traffic.may_refuse_from = lease_end = down_at + NOTIFIED_AFTER - HOLD
            await traffic.until_time(down_at + NOTIFIED_AFTER + DRAIN_GRACE + OBSERVED_AFTER)
            last_calls = first_backend.last_call_at, second_backend.last_call_at
            assert lease_end - OBSERVED_AFTER < min(last_calls)
            assert max(last_calls) < down_at + NOTIFIED_AFTER + DRAIN_GRACE
            assert traffic.refusals >= CALLERS

    run(test())
