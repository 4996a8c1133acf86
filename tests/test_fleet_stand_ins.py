"""The simulated services of the fleet follow the specification PROTOCOL.

The tests use real sockets with ports that the kernel chooses.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import time
from collections.abc import AsyncIterator
from typing import Any

import pytest
from netkit import TEST_TIMEOUT_S, Caller, endpoint, run

from granitepoint.fleet.backends import Backend, draw_service_times
from granitepoint.fleet.callers import Callers, Front, ProxyTarget, build_request
from granitepoint.fleet.discovery import (
    MAX_WATCH_GAP_S,
    Discovery,
    DiscoveryEndpoint,
    ListedBackend,
    ServiceList,
    WorkQueue,
)
from granitepoint.fleet.experiment import DEFAULT_SETTINGS, BackendSizes, DiscoverySizes
from granitepoint.fleet.wire import Message, split_address
from granitepoint.interface import Effect, RequestClass, Settings

HOST = "127.0.0.1"
GET_REQUEST = b"GET %s HTTP/1.1\r\nHost: x\r\n\r\n"


def make_list(entries: int = 3, kept_changes: int = 8) -> ServiceList:
    service_list = ServiceList(kept_changes)
    for number in range(entries):
        entry = ListedBackend(f"s-{number}", "", "a", "m1", 0, "Ready", 1.0, 0)
        service_list.add(entry, [f"127.0.0.1:{8000 + number}", f"127.0.0.2:{8000 + number}"])
    return service_list


def make_discovery(**sizes: Any) -> Discovery:
    discovery = Discovery(DiscoverySizes(**sizes))
    discovery.service_lists.append(make_list())
    return discovery


async def connect(address: str) -> Caller:
    return Caller(*await asyncio.open_connection(*split_address(address)))


async def ask(caller: Caller, target: str) -> tuple[int, dict[str, Any]]:
    answer = await caller.raw(GET_REQUEST % target.encode())
    return answer.code, json.loads(answer.body) if answer.body else {}


# Discovery
def test_a_full_list_has_the_addresses_of_the_readers_region() -> None:
    raw, entries, full = make_list(1).answer(None, 1)
    assert json.loads(raw) == {
        "index": 1, "snapshot": True,
        "endpoints": [endpoint("s-0", "127.0.0.2:8000", type="m1")],
    }  # fmt: skip
    assert entries == 1 and full


def test_changes_since_a_version_have_each_entry_once_and_include_removed_ones() -> None:
    service_list = make_list()
    service_list.change(["s-0"], status="Terminating")
    service_list.change(["s-0"], status="Gone")
    service_list.change(["s-1"], weight=2.0)
    document = json.loads(service_list.answer(1, 0)[0])
    assert (document["index"], document["snapshot"]) == (4, False)
    assert [(e["name"], e["status"], e["weight"]) for e in document["endpoints"]] == [
        ("s-0", "Gone", 1.0), ("s-1", "Ready", 2.0),
    ]  # fmt: skip
    names = [e["name"] for e in json.loads(service_list.answer(None, 0)[0])["endpoints"]]
    assert names == ["s-1", "s-2"]  # removed backends are in changes only
    service_list.change(["s-0"], status="Ready", since_ms=5)
    assert json.loads(service_list.answer(4, 0)[0])["endpoints"][0]["since_ms"] == 5


def test_a_change_of_many_entries_counts_as_one_kept_change() -> None:
    service_list = make_list(entries=9, kept_changes=2)
    service_list.change([f"s-{number}" for number in range(9)], weight=2.0)
    assert service_list.answer(1, 0)[1:] == (9, False)


@pytest.mark.parametrize("version", [0, 1, 99])
def test_a_reader_too_far_behind_or_ahead_gets_the_full_list(version: int) -> None:
    service_list = make_list(kept_changes=2)
    for weight in (2.0, 3.0, 4.0):
        service_list.change(["s-0"], weight=weight)
    assert service_list.answer(version, 0)[2] and not service_list.answer(2, 0)[2]


def test_work_is_done_in_order_and_rejected_if_it_would_wait_too_long() -> None:
    queue = WorkQueue(max_wait=1.0)
    assert queue.schedule(10.0, 0.6) == 10.6
    assert queue.schedule(10.0, 0.6) == 11.2
    assert queue.schedule(10.0, 0.6) is None  # it would wait 1.2 s
    assert queue.schedule(12.0, 0.5) == 12.5 and queue.busy_time == pytest.approx(1.7)


def test_a_watch_is_held_until_a_change_or_the_end_of_its_hold_and_counted_per_proxy() -> None:
    async def test() -> None:
        discovery = make_discovery()
        one, other = (discovery.add_endpoint(name, 0, "a", 0, HOST) for name in ("one", "other"))
        caller = await connect(one.listener.address)
        assert (await ask(caller, "/v1/servers"))[1]["snapshot"]
        code, document = await ask(caller, "/v1/servers?from=1&hold_ms=1")
        assert (code, document["endpoints"], document["snapshot"]) == (200, [], False)
        watch = asyncio.create_task(ask(caller, "/v1/servers?from=1&hold_ms=20000"))
        while not one.watches:
            await asyncio.sleep(0)
        discovery.change(0, ["s-1"], status="Terminating")
        assert (await watch)[1]["endpoints"][0]["status"] == "Terminating"
        counts = one.counts
        assert (counts.calls, counts.whole_lists, counts.empty, counts.changes, counts.entries) == (
            3,
            1,
            1,
            1,
            4,
        )
        assert set(counts.notified_at) == {1, 2} and other.counts.calls == 0
        assert one.listener.bytes_in > 0 and one.listener.bytes_out > len(json.dumps(endpoint("s", "a")))
        assert (await ask(caller, "/v1/other"))[0] == 404
        assert (await ask(caller, "/v1/servers?from=x"))[0] == 400
        discovery.down()

    run(test())


class DiscardingPeer:
    """Stands in for a connection; answers are dropped."""

    def answer(self, code: int, body: bytes = b"", **headers: str) -> bool:
        return True


def test_a_watch_continues_if_the_next_call_comes_within_200_ms_of_the_answer() -> None:
    async def test() -> None:
        proxy_endpoint = DiscoveryEndpoint(make_discovery(), "n", make_list(), "a", 0, HOST)
        peer: Any = DiscardingPeer()

        def call(received_at: float) -> tuple[int, int]:
            proxy_endpoint.on_request(
                peer, Message("GET", "/v1/servers?from=1&hold_ms=0", {}, b"", received_at)
            )
            return proxy_endpoint.counts.watches_begun, proxy_endpoint.counts.renewed

        assert call(time.monotonic()) == (1, 0)
        proxy_endpoint._write(peer, 1)
        answered_at = proxy_endpoint.watch_continues_until - MAX_WATCH_GAP_S
        assert call(answered_at + 0.2) == (1, 1)
        assert call(answered_at + 0.201) == (2, 1)

    run(test())


def test_a_call_that_waits_too_long_ends_with_503() -> None:
    async def test() -> None:
        discovery = make_discovery(capacity_per_s=0.001, patience_s=0.01)  # the first call keeps it busy
        proxy_endpoint = discovery.add_endpoint("one", 0, "a", 0, HOST)
        busy, late = (
            await connect(proxy_endpoint.listener.address),
            await connect(proxy_endpoint.listener.address),
        )
        first = asyncio.create_task(ask(busy, "/v1/servers"))
        while not proxy_endpoint.counts.calls:
            await asyncio.sleep(0)
        assert (await ask(late, "/v1/servers"))[0] == 503 and proxy_endpoint.counts.refused == 1
        first.cancel()
        discovery.down()

    run(test())


def test_an_outage_ends_watches_and_refuses_connections_and_keeps_the_address() -> None:
    async def test() -> None:
        discovery = make_discovery()
        proxy_endpoint = discovery.add_endpoint("one", 0, "a", 0, HOST)
        caller = await connect(proxy_endpoint.listener.address)
        caller.writer.write(GET_REQUEST % b"/v1/servers?from=1&hold_ms=20000")
        while not proxy_endpoint.watches:
            await asyncio.sleep(0)
        discovery.down()
        assert await caller.closed_by_proxy() and not proxy_endpoint.watches
        with pytest.raises(ConnectionRefusedError):
            await connect(proxy_endpoint.listener.address)
        discovery.change(0, ["s-0"], weight=3.0)
        discovery.up()
        caller = await connect(proxy_endpoint.listener.address)
        assert (await ask(caller, "/v1/servers?from=1&hold_ms=20000"))[1]["index"] == 2
        discovery.down()

    run(test())


def test_a_partition_is_silent_to_old_and_new_connections_and_the_heal_resets_them() -> None:
    async def test() -> None:
        discovery = make_discovery()
        near, far = (
            discovery.add_endpoint("near", 0, "a", 0, HOST),
            discovery.add_endpoint("far", 0, "b", 0, HOST),
        )
        caller = await connect(far.listener.address)
        assert (await ask(caller, "/v1/servers"))[0] == 200
        discovery.partition(["b"])
        caller.writer.write(GET_REQUEST % b"/v1/servers")
        waiting = asyncio.create_task(connect(far.listener.address))
        again = await connect(near.listener.address)
        assert (await ask(again, "/v1/servers"))[0] == 200  # the other zone is still served
        discovery.change(0, ["s-0"], weight=2.0)
        assert far.counts.calls == 1 and not waiting.done()
        waiting.cancel()
        discovery.heal()
        assert await caller.closed_by_proxy()
        assert (await ask(await connect(far.listener.address), "/v1/servers"))[1]["index"] == 2
        discovery.down()

    run(test())


# Backends
def module_settings(**changes: Any) -> Settings:
    cls = RequestClass("read", 1.0, 0.3, 1.0)
    values: dict[str, Any] = {"may_probe": True, "cold_from": 0.5, "cold_for": 10.0, **changes}
    return Settings(classes=[cls], **values)


@contextlib.asynccontextmanager
async def running_backend(
    settings: Settings | None = None, **sizes: Any
) -> AsyncIterator[tuple[Backend, Caller]]:
    backend_sizes = BackendSizes(**{"service_ms": 0.0, **sizes})
    service_times = draw_service_times(backend_sizes, 1)
    backend = Backend(
        "b", "a", [HOST], backend_sizes, settings or module_settings(), service_times, itertools.repeat(0.5)
    )
    backend.start()
    try:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            yield backend, await connect(backend.listeners[0].address)
    finally:
        backend.stop()


def call_request(number: int) -> bytes:
    return build_request(RequestClass("read", 1.0, 0.3, 1.0), f"{number:x}", 1.0, False)


def test_a_backend_serves_requests_with_an_id_and_reports_its_load() -> None:
    async def test() -> None:
        async with running_backend() as (backend, caller):
            answer = await caller.raw(call_request(1))
            assert (answer.code, answer.body) == (200, b"1")
            received_us, answered_us = map(float, answer.headers["x-span"].split(","))
            assert received_us <= answered_us <= time.monotonic() * 1e6
            assert (await caller.raw(GET_REQUEST % b"/read")).code == 404
            assert (await caller.raw(GET_REQUEST % b"/load")).body == b"inflight=0,queue=0"
            assert (await caller.raw(GET_REQUEST % b"/healthz")).code == 200
            backend.drain()
            assert (await caller.raw(GET_REQUEST % b"/healthz")).code == 503
            rejected = await caller.raw(call_request(2))
            assert (rejected.code, rejected.headers["x-rejected"]) == (503, "1")
            backend.stop()
            assert await caller.closed_by_proxy()
            with pytest.raises(ConnectionRefusedError):
                await connect(backend.listeners[0].address)
            backend.start()
            assert (await (await connect(backend.listeners[0].address)).raw(call_request(3))).code == 200
            assert (backend.counts["served"], backend.counts["probes"]) == (2, 3)
            assert backend.counts["probe bytes"] > 3 * len(GET_REQUEST % b"/load")

    run(test())


@pytest.mark.parametrize(("probes", "reports", "code"), [(False, "probe", 404), (True, "none", 404)])
def test_disallowed_probes_and_reports_get_404(probes: bool, reports: str, code: int) -> None:
    async def test() -> None:
        async with running_backend(module_settings(may_probe=probes, reports=reports)) as (_, caller):
            assert (await caller.raw(GET_REQUEST % b"/load")).code == code

    run(test())


def test_a_full_queue_marks_the_request_as_not_run_and_an_error_does_not() -> None:
    async def test() -> None:
        async with running_backend(cores=1, queue=1, service_ms=3_600_000.0) as (backend, caller):
            for number in (1, 2):
                (caller if number == 1 else await connect(backend.listeners[0].address)).writer.write(
                    call_request(number)
                )
            while backend.counts["begun"] < 2:
                await asyncio.sleep(0)
            third = await connect(backend.listeners[0].address)
            assert (await third.raw(call_request(3))).headers["x-rejected"] == "1"
        async with running_backend(fail_share=0.6) as (_, caller):
            answer = await caller.raw(call_request(4))
            assert answer.code == 500 and "x-rejected" not in answer.headers

    run(test())


def test_a_cold_backend_warms_up_linearly_and_crashes_under_overload() -> None:
    async def test() -> None:
        strict = module_settings(fall_multiple=1.0, fall_within=1.0)
        async with running_backend(strict, cores=1, spread=0.0, service_ms=300.0) as (backend, caller):
            backend.start(cold=True)
            begin = backend.cold_since
            assert [backend.capacity(begin + age) for age in (0.0, 5.0, 20.0)] == [0.5, 0.75, 1.0]
            for number in (1, 2):
                other = await connect(backend.listeners[0].address)
                other.writer.write(call_request(number))
            assert await caller.closed_by_proxy()
            assert backend.counts["fell over cold"] == 1

    run(test())


def test_service_times_have_the_configured_mean_and_are_reproducible() -> None:
    sizes = BackendSizes(service_ms=20.0, spread=0.7)
    times = list(itertools.islice(draw_service_times(sizes, 3), 20_000))
    assert times == list(itertools.islice(draw_service_times(sizes, 3), 20_000))
    assert sum(times) / len(times) == pytest.approx(0.020, rel=0.03) and len(set(times)) > 19_000


# Callers
def test_a_request_has_the_method_and_the_headers_of_its_class() -> None:
    keyed = RequestClass("order", 1.0, 0.3, 1.0, effect=Effect.BY_KEY)
    text = build_request(keyed, "ab", 0.25, True).decode()
    assert text.startswith("POST /order HTTP/1.1\r\n") and "X-Again: 1" in text
    assert "X-Budget: 250000u" in text and "Idempotency-Key: kab" in text and "X-Call-Id: ab" in text
    once = build_request(RequestClass("pay", 1.0, 0.3, 1.0, effect=Effect.ONCE), "c", 1.0, False).decode()
    assert once.startswith("POST ") and "Idempotency-Key" not in once and "X-Again" not in once


def make_callers(*targets: ProxyTarget, retries: int = 0) -> Callers:
    cls = RequestClass("read", 1.0, 0.3, 20.0)
    return Callers(Front(list(targets), 1.0), [cls], {}, ["a", "b"], retries, 0.001, 5)


def test_planned_sends_are_reproducible_ordered_and_at_the_given_rate() -> None:
    sends, same = make_callers().plan_sends(200.0, 10.0, 60.0), make_callers().plan_sends(200.0, 10.0, 60.0)
    assert sends == same == sorted(sends) and sends[0] > 10.0 and sends[-1] < 60.0
    assert len(sends) == pytest.approx(10_000, rel=0.05)
    assert make_callers().plan_sends(0.0, 0.0, 1.0) == []


def test_latency_counts_from_the_planned_send_even_if_the_caller_is_late() -> None:
    async def test() -> None:
        async with running_backend() as (backend, _):
            target = ProxyTarget(split_address(backend.listeners[0].address), "a", up=True)
            callers = make_callers(target)
            await callers.call(callers.classes[0], "a", time.monotonic() - 2.5)
            tally = callers.tally
            assert tally.latency["read"].percentile(50) >= 2.5 and tally.send_delay.percentile(50) >= 2.5
            assert tally.added_latency.percentile(50) < 2.5  # counts from the actual send
            assert sum(tally.by_second.values(), start=type(tally.by_zone)())["late"] == 1

    run(test())


def test_a_request_on_a_closed_connection_is_resent_and_a_zone_without_proxies_uses_others() -> None:
    async def test() -> None:
        async with running_backend() as (backend, _):
            target = ProxyTarget(split_address(backend.listeners[0].address), "b", up=True)
            callers = make_callers(target)
            await callers.call(callers.classes[0], "a", time.monotonic())
            backend.stop()
            backend.start()  # resets the idle connection, which the front still takes for open
            await callers.call(callers.classes[0], "a", time.monotonic())
            assert callers.tally.by_zone["a served"] == 2 and backend.counts["begun"] == 2

    run(test())


def test_a_refusing_proxy_counts_as_unavailable_and_fails_its_health_check() -> None:
    async def test() -> None:
        async with running_backend() as (backend, _):
            target = ProxyTarget(split_address(backend.listeners[0].address), "a")
            front = Front([target], 1.0)
            await front.wait_until_ready()
            assert target.up and front.health_checks == 1
            callers = make_callers(target, retries=2)
            backend.stop()
            await callers.call(callers.classes[0], "a", time.monotonic())
            assert callers.tally.by_zone["a no proxy"] == 1 and callers.tally.tries == 3
            await front.check_health(target)
            assert not target.up

    run(test())


def test_the_settings_of_the_fleet_have_the_documented_keys() -> None:
    assert {"grades", "policy_limits", "contract", "report", "discovery", "quantum"} <= set(DEFAULT_SETTINGS)
