"""The fleet's stand-ins against the words of the protocol, on real sockets of port 0."""

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

from granitepoint.fleet.backends import Backend, draw_times
from granitepoint.fleet.callers import Callers, Front, Place, request
from granitepoint.fleet.discovery import RENEWAL, Book, Desk, Discovery, Endpoint, Turns
from granitepoint.fleet.experiment import DEFAULT_SETTINGS, BackendSizes, DiscoverySizes
from granitepoint.fleet.wire import Message, split_address
from granitepoint.interface import Effect, RequestClass, Settings

HERE = "127.0.0.1"
GET = b"GET %s HTTP/1.1\r\nHost: x\r\n\r\n"


def book(entries: int = 3, kept: int = 8) -> Book:
    made = Book(kept)
    for number in range(entries):
        entry = Endpoint(f"s-{number}", "", "a", "m1", 0, "Ready", 1.0, 0)
        made.add(entry, [f"127.0.0.1:{8000 + number}", f"127.0.0.2:{8000 + number}"])
    return made


def discovery(**sizes: Any) -> Discovery:
    made = Discovery(DiscoverySizes(**sizes))
    made.books.append(book())
    return made


async def connect(address: str) -> Caller:
    return Caller(*await asyncio.open_connection(*split_address(address)))


async def ask(caller: Caller, target: str) -> tuple[int, dict[str, Any]]:
    answer = await caller.raw(GET % target.encode())
    return answer.code, json.loads(answer.body) if answer.body else {}


# discovery
def test_a_list_has_the_form_and_the_address_of_the_readers_region() -> None:
    raw, entries, whole = book(1).answer(None, 1)
    assert json.loads(raw) == {
        "index": 1, "snapshot": True,
        "endpoints": [endpoint("s-0", "127.0.0.2:8000", type="m1")],
    }  # fmt: skip
    assert entries == 1 and whole


def test_changes_since_a_version_hold_each_entry_once_and_what_is_gone() -> None:
    made = book()
    made.change(["s-0"], status="Terminating")
    made.change(["s-0"], status="Gone")
    made.change(["s-1"], weight=2.0)
    told = json.loads(made.answer(1, 0)[0])
    assert (told["index"], told["snapshot"]) == (4, False)
    assert [(e["name"], e["status"], e["weight"]) for e in told["endpoints"]] == [
        ("s-0", "Gone", 1.0), ("s-1", "Ready", 2.0),
    ]  # fmt: skip
    names = [e["name"] for e in json.loads(made.answer(None, 0)[0])["endpoints"]]
    assert names == ["s-1", "s-2"]  # what is gone stands among changes only
    made.change(["s-0"], status="Ready", since_ms=5)
    assert json.loads(made.answer(4, 0)[0])["endpoints"][0]["since_ms"] == 5


def test_a_change_of_many_entries_is_kept_whole() -> None:
    made = book(entries=9, kept=2)
    made.change([f"s-{number}" for number in range(9)], weight=2.0)
    assert made.answer(1, 0)[1:] == (9, False)


@pytest.mark.parametrize("version", [0, 1, 99])
def test_who_is_too_far_behind_or_ahead_gets_the_whole_list(version: int) -> None:
    made = book(kept=2)
    for weight in (2.0, 3.0, 4.0):
        made.change(["s-0"], weight=weight)
    assert made.answer(version, 0)[2] and not made.answer(2, 0)[2]


def test_calls_are_done_in_turn_and_one_whose_turn_comes_too_late_is_not_done() -> None:
    turns = Turns(patience=1.0)
    assert turns.take(10.0, 0.6) == 10.6
    assert turns.take(10.0, 0.6) == 11.2
    assert turns.take(10.0, 0.6) is None  # it would wait 1.2 s
    assert turns.take(12.0, 0.5) == 12.5 and turns.busy == pytest.approx(1.7)


def test_a_watch_waits_for_a_change_or_for_its_hold_and_is_counted_for_its_caller() -> None:
    async def test() -> None:
        here = discovery()
        one, other = (here.add_desk(name, 0, "a", 0, HERE) for name in ("one", "other"))
        caller = await connect(one.listener.address)
        assert (await ask(caller, "/v1/servers"))[1]["snapshot"]
        code, told = await ask(caller, "/v1/servers?from=1&hold_ms=1")
        assert (code, told["endpoints"], told["snapshot"]) == (200, [], False)
        watch = asyncio.create_task(ask(caller, "/v1/servers?from=1&hold_ms=20000"))
        while not one.waits:
            await asyncio.sleep(0)
        here.change(0, ["s-1"], status="Terminating")
        assert (await watch)[1]["endpoints"][0]["status"] == "Terminating"
        counts = one.counts
        assert (counts.calls, counts.whole_lists, counts.empty, counts.changes, counts.entries) == (
            3,
            1,
            1,
            1,
            4,
        )
        assert set(counts.told) == {1, 2} and other.counts.calls == 0
        assert one.listener.bytes_in > 0 and one.listener.bytes_out > len(json.dumps(endpoint("s", "a")))
        assert (await ask(caller, "/v1/other"))[0] == 404
        assert (await ask(caller, "/v1/servers?from=x"))[0] == 400
        here.down()

    run(test())


class Nobody:
    """Takes what a desk answers."""

    def answer(self, code: int, body: bytes = b"", **headers: str) -> bool:
        return True


def test_a_watch_goes_on_if_the_next_call_comes_within_200_ms_of_the_answer() -> None:
    async def test() -> None:
        desk = Desk(discovery(), "n", book(), "a", 0, HERE)
        peer: Any = Nobody()

        def call(came: float) -> tuple[int, int]:
            desk.asked(peer, Message("GET", "/v1/servers?from=1&hold_ms=0", {}, b"", came))
            return desk.counts.watches_begun, desk.counts.renewed

        assert call(time.monotonic()) == (1, 0)
        desk._write(peer, 1)
        answered = desk.watching_until - RENEWAL
        assert call(answered + 0.2) == (1, 1)
        assert call(answered + 0.201) == (2, 1)

    run(test())


def test_a_call_that_waits_too_long_ends_with_503() -> None:
    async def test() -> None:
        here = discovery(capacity_per_s=0.001, patience_s=0.01)  # the first call takes it for long
        desk = here.add_desk("one", 0, "a", 0, HERE)
        busy, late = await connect(desk.listener.address), await connect(desk.listener.address)
        first = asyncio.create_task(ask(busy, "/v1/servers"))
        while not desk.counts.calls:
            await asyncio.sleep(0)
        assert (await ask(late, "/v1/servers"))[0] == 503 and desk.counts.refused == 1
        first.cancel()
        here.down()

    run(test())


def test_an_outage_ends_watches_and_refuses_and_the_address_stays() -> None:
    async def test() -> None:
        here = discovery()
        desk = here.add_desk("one", 0, "a", 0, HERE)
        caller = await connect(desk.listener.address)
        caller.writer.write(GET % b"/v1/servers?from=1&hold_ms=20000")
        while not desk.waits:
            await asyncio.sleep(0)
        here.down()
        assert await caller.closed_by_proxy() and not desk.waits
        with pytest.raises(ConnectionRefusedError):
            await connect(desk.listener.address)
        here.change(0, ["s-0"], weight=3.0)
        here.up()
        caller = await connect(desk.listener.address)
        assert (await ask(caller, "/v1/servers?from=1&hold_ms=20000"))[1]["index"] == 2
        here.down()

    run(test())


def test_a_cut_is_silent_new_connections_never_come_up_and_the_heal_resets_what_was_open() -> None:
    async def test() -> None:
        here = discovery()
        near, far = here.add_desk("near", 0, "a", 0, HERE), here.add_desk("far", 0, "b", 0, HERE)
        caller = await connect(far.listener.address)
        assert (await ask(caller, "/v1/servers"))[0] == 200
        here.cut(["b"])
        caller.writer.write(GET % b"/v1/servers")
        waiting = asyncio.create_task(connect(far.listener.address))
        again = await connect(near.listener.address)
        assert (await ask(again, "/v1/servers"))[0] == 200  # the other zone is served meanwhile
        here.change(0, ["s-0"], weight=2.0)
        assert far.counts.calls == 1 and not waiting.done()
        waiting.cancel()
        here.heal()
        assert await caller.closed_by_proxy()
        assert (await ask(await connect(far.listener.address), "/v1/servers"))[1]["index"] == 2
        here.down()

    run(test())


# backends
def module_settings(**changes: Any) -> Settings:
    cls = RequestClass("read", 1.0, 0.3, 1.0)
    figures: dict[str, Any] = {"may_probe": True, "cold_from": 0.5, "cold_for": 10.0, **changes}
    return Settings(classes=[cls], **figures)


@contextlib.asynccontextmanager
async def backend(settings: Settings | None = None, **sizes: Any) -> AsyncIterator[tuple[Backend, Caller]]:
    read = BackendSizes(**{"service_ms": 0.0, **sizes})
    times = draw_times(read, 1)
    made = Backend("b", "a", [HERE], read, settings or module_settings(), times, itertools.repeat(0.5))
    made.start()
    try:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            yield made, await connect(made.listeners[0].address)
    finally:
        made.stop()


def call(number: int) -> bytes:
    return request(RequestClass("read", 1.0, 0.3, 1.0), f"{number:x}", 1.0, False)


def test_a_backend_serves_what_has_an_id_and_tells_its_load() -> None:
    async def test() -> None:
        async with backend() as (made, caller):
            answer = await caller.raw(call(1))
            assert (answer.code, answer.body) == (200, b"1")
            came, left = map(float, answer.headers["x-span"].split(","))
            assert came <= left <= time.monotonic() * 1e6
            assert (await caller.raw(GET % b"/read")).code == 404
            assert (await caller.raw(GET % b"/load")).body == b"inflight=0,queue=0"
            assert (await caller.raw(GET % b"/healthz")).code == 200
            made.drain()
            assert (await caller.raw(GET % b"/healthz")).code == 503
            away = await caller.raw(call(2))
            assert (away.code, away.headers["x-rejected"]) == (503, "1")
            made.stop()
            assert await caller.closed_by_proxy()
            with pytest.raises(ConnectionRefusedError):
                await connect(made.listeners[0].address)
            made.start()
            assert (await (await connect(made.listeners[0].address)).raw(call(3))).code == 200
            assert (made.counts["served"], made.counts["probes"]) == (2, 3)
            assert made.counts["probe bytes"] > 3 * len(GET % b"/load")

    run(test())


@pytest.mark.parametrize(("probes", "reports", "code"), [(False, "probe", 404), (True, "none", 404)])
def test_where_probes_or_reports_are_not_allowed_they_get_404(probes: bool, reports: str, code: int) -> None:
    async def test() -> None:
        async with backend(module_settings(may_probe=probes, reports=reports)) as (_, caller):
            assert (await caller.raw(GET % b"/load")).code == code

    run(test())


def test_a_full_queue_turns_away_what_has_not_run_and_an_error_may_have_run() -> None:
    async def test() -> None:
        async with backend(cores=1, queue=1, service_ms=3_600_000.0) as (made, caller):
            for number in (1, 2):
                (caller if number == 1 else await connect(made.listeners[0].address)).writer.write(
                    call(number)
                )
            while made.counts["begun"] < 2:
                await asyncio.sleep(0)
            third = await connect(made.listeners[0].address)
            assert (await third.raw(call(3))).headers["x-rejected"] == "1"
        async with backend(fail_share=0.6) as (_, caller):
            answer = await caller.raw(call(4))
            assert answer.code == 500 and "x-rejected" not in answer.headers

    run(test())


def test_a_cold_backend_warms_evenly_and_falls_over_under_too_much() -> None:
    async def test() -> None:
        strict = module_settings(fall_multiple=1.0, fall_within=1.0)
        async with backend(strict, cores=1, spread=0.0, service_ms=300.0) as (made, caller):
            made.start(cold=True)
            begin = made.cold_since
            assert [made.capacity(begin + age) for age in (0.0, 5.0, 20.0)] == [0.5, 0.75, 1.0]
            for number in (1, 2):
                other = await connect(made.listeners[0].address)
                other.writer.write(call(number))
            assert await caller.closed_by_proxy()
            assert made.counts["fell over cold"] == 1

    run(test())


def test_draws_have_the_stated_mean_and_are_the_same_for_a_seed() -> None:
    sizes = BackendSizes(service_ms=20.0, spread=0.7)
    one = list(itertools.islice(draw_times(sizes, 3), 20_000))
    assert one == list(itertools.islice(draw_times(sizes, 3), 20_000))
    assert sum(one) / len(one) == pytest.approx(0.020, rel=0.03) and len(set(one)) > 19_000


# callers
def test_a_request_has_the_method_and_the_headers_of_its_class() -> None:
    keyed = RequestClass("order", 1.0, 0.3, 1.0, effect=Effect.BY_KEY)
    text = request(keyed, "ab", 0.25, True).decode()
    assert text.startswith("POST /order HTTP/1.1\r\n") and "X-Again: 1" in text
    assert "X-Budget: 250000u" in text and "Idempotency-Key: kab" in text and "X-Call-Id: ab" in text
    once = request(RequestClass("pay", 1.0, 0.3, 1.0, effect=Effect.ONCE), "c", 1.0, False).decode()
    assert once.startswith("POST ") and "Idempotency-Key" not in once and "X-Again" not in once


def callers(*places: Place, retries: int = 0) -> Callers:
    cls = RequestClass("read", 1.0, 0.3, 20.0)
    return Callers(Front(list(places), 1.0), [cls], {}, ["a", "b"], retries, 0.001, 5)


def test_planned_sends_are_drawn_once_at_the_rate_and_in_order() -> None:
    one, same = callers().plan(200.0, 10.0, 60.0), callers().plan(200.0, 10.0, 60.0)
    assert one == same == sorted(one) and one[0] > 10.0 and one[-1] < 60.0
    assert len(one) == pytest.approx(10_000, rel=0.05)
    assert callers().plan(0.0, 0.0, 1.0) == []


def test_latency_counts_from_the_planned_send_also_where_the_caller_is_late() -> None:
    async def test() -> None:
        async with backend() as (made, _):
            place = Place(split_address(made.listeners[0].address), "a", up=True)
            sent = callers(place)
            await sent.call(sent.classes[0], "a", time.monotonic() - 2.5)
            tally = sent.tally
            assert tally.latency["read"].at(50) >= 2.5 and tally.late_sends.at(50) >= 2.5
            assert tally.added.at(50) < 2.5  # what the proxy adds counts from the send itself
            assert sum(tally.by_second.values(), start=type(tally.by_zone)())["late"] == 1

    run(test())


def test_a_request_that_crosses_a_close_goes_out_once_more_and_a_zone_without_proxies_uses_the_others() -> (
    None
):
    async def test() -> None:
        async with backend() as (made, _):
            place = Place(split_address(made.listeners[0].address), "b", up=True)
            sent = callers(place)
            await sent.call(sent.classes[0], "a", time.monotonic())
            made.stop()
            made.start()  # the kept connection is gone, and the front does not know yet
            await sent.call(sent.classes[0], "a", time.monotonic())
            assert sent.tally.by_zone["a served"] == 2 and made.counts["begun"] == 2

    run(test())


def test_a_proxy_that_refuses_connections_counts_as_none_and_the_front_notices() -> None:
    async def test() -> None:
        async with backend() as (made, _):
            place = Place(split_address(made.listeners[0].address), "a")
            front = Front([place], 1.0)
            await front.until_ready()
            assert place.up and front.looks == 1
            sent = callers(place, retries=2)
            made.stop()
            await sent.call(sent.classes[0], "a", time.monotonic())
            assert sent.tally.by_zone["a no proxy"] == 1 and sent.tally.sent == 3
            await front.look(place)
            assert not place.up

    run(test())


def test_the_settings_of_a_fleet_are_those_of_the_settings_page() -> None:
    assert {"grades", "policy_limits", "contract", "report", "discovery", "quantum"} <= set(DEFAULT_SETTINGS)
