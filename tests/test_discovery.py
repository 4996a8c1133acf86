"""Discovery's side on real sockets: what falls silent, fails or comes in another order than asked for."""

from __future__ import annotations

import asyncio
import contextlib
import json
from random import Random
from typing import Any

import pytest
from netkit import (
    PATIENCE,
    Backend,
    Discovery,
    endpoint,
    listing,
    next_call,
    proxy,
    read_message,
    response,
    run,
)

from granitepoint.interface import WatchLost
from granitepoint.membership import backoff
from granitepoint.membership.evidence import MAX_QUEUE_TIME, Failure
from granitepoint.membership.health_checks import LEASE_DURATION
from granitepoint.membership.list_lease import NOTIFIED_AFTER as SILENT_TOLD
from granitepoint.membership.list_lease import NOTIFIED_AFTER_HOLD
from granitepoint.net import discovery as net
from granitepoint.net.discovery_channel import Channel
from granitepoint.net.listing import Listing

HERE = "127.0.0.1:9"
# What a new address is asked where version 1 is held, or the only change that was told began from it.
FIRST = f"/v1/servers?from=1&hold_ms={net.CONFIRM_HOLD_MS}"


class Ask:
    """A call as discovery got it, answered when the test says so."""

    def __init__(self, target: str, connection: int, writer: asyncio.StreamWriter) -> None:
        self.target, self.connection, self.writer = target, connection, writer

    def answer(self, index: int, *endpoints: dict[str, Any], snapshot: bool = False) -> None:
        self.writer.write(response(200, json.dumps(listing(index, *endpoints, snapshot=snapshot)).encode()))

    def fail(self) -> None:
        self.writer.write(response(503))


class OnCommand:
    """A discovery that says nothing unless told to, on any number of connections, and what the client made
    of it."""

    def __init__(self) -> None:
        self.asks: asyncio.Queue[Ask] = asyncio.Queue()
        self.lists: asyncio.Queue[Listing] = asyncio.Queue()
        self.failures = 0
        self.connections = 0

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        number = self.connections
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                line, _, _ = await read_message(reader)
                self.asks.put_nowait(Ask(line.split(" ")[1], number, writer))
        writer.close()

    def _failed(self) -> None:
        self.failures += 1

    @contextlib.asynccontextmanager
    async def client(self, pushed: bool = False) -> Any:
        server = await asyncio.start_server(self._connection, "127.0.0.1", 0)
        at = server.sockets[0].getsockname()[:2]
        client = net.Discovery(at, 1, self.lists.put_nowait, self._failed, Random(1), pushed)
        try:
            async with asyncio.timeout(PATIENCE):
                yield client
        finally:
            client.stop()
            server.close()

    async def next(self, target: str) -> Ask:
        ask = await self.asks.get()
        assert ask.target.startswith(target), ask.target
        return ask


def silent_after(monkeypatch: pytest.MonkeyPatch, wait: float) -> None:
    """How long a watch is waited for before it is asked anew, whether or not the list is confirmed, in s."""
    monkeypatch.setattr(net, "RENEW", wait)
    monkeypatch.setattr(net, "CONFIRM_WAIT", wait)


def states(told: Listing) -> list[str]:
    return [listed.entry.state.value for listed in told.backends]


def test_a_watch_is_renewed_early_enough_to_be_tried_again_before_silence_counts_as_told() -> None:
    in_turn = 2.0  # s that a call may wait, and then fail
    told = net.HOLD_MS / 1000 + 2.0
    assert told - net.RENEW >= in_turn + in_turn + in_turn  # the pause is no longer than the wait before it
    assert told - net.RENEW >= LEASE_DURATION  # after the first that fails, leases hold
    assert net.HOLD_MS <= 60_000


def test_a_first_call_that_is_silent_is_asked_anew_in_time_and_none_that_waits_its_turn() -> None:
    """What a silent one misses counts as told 6 s after it fell silent: its hold is short."""
    in_turn, hold = 2.0, net.CONFIRM_HOLD_MS / 1000
    assert in_turn + hold < net.CONFIRM_WAIT * (1 - net.EARLIER)
    assert net.CONFIRM_WAIT + in_turn + hold < SILENT_TOLD == max(SILENT_TOLD, hold + NOTIFIED_AFTER_HOLD)
    assert in_turn + hold < net.HOLD_MS / 1000 + NOTIFIED_AFTER_HOLD - net.RENEW


@pytest.mark.parametrize("confirmed", [False, True])
def test_a_watch_that_falls_silent_is_told_with_the_time_until_all_that_it_misses_counts(
    confirmed: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Once that has come, no lease is long enough, so it has to be known."""

    async def test() -> None:
        peer = OnCommand()
        evidence: list[net.Evidence] = []
        async with peer.client() as client:
            client.on_evidence = evidence.append
            monkeypatch.setattr(net, "RENEW", 0.05)
            client.watch(True)
            ask = await peer.next("/v1/servers?from=1&")
            if confirmed:
                ask.answer(1)
                await peer.next("/v1/servers?from=1&")
                await peer.next(f"/v1/servers?from=1&hold_ms={net.CONFIRM_HOLD_MS}")
            else:
                silent_after(monkeypatch, 0.05)
                client.watch(True)
                await peer.next("/v1/servers?from=1&")
                await peer.next(f"/v1/servers?from=1&hold_ms={net.CONFIRM_HOLD_MS}")
            told = net.HOLD_MS / 1000 + NOTIFIED_AFTER_HOLD if confirmed else SILENT_TOLD
            lost = [each for each in evidence if isinstance(each, WatchLost)]
            assert told - 1.0 < lost[0].notified_within < told and not client.confirmed
            assert lost[0].silent and not lost[0].moved

    run(test())


def test_a_call_that_ends_after_a_later_one_was_answered_loses_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        peer = OnCommand()
        async with peer.client() as client:
            silent_after(monkeypatch, 0.05)
            client.watch(True)
            silent = await peer.next("/v1/servers?from=1&")
            second = await peer.next("/v1/servers?from=1&")
            silent_after(monkeypatch, PATIENCE)
            second.answer(2)
            await peer.next("/v1/servers?from=2&")
            silent.writer.transport.abort()
            while any(not ask.done() for ask in list(client._asks)[:1]):
                await asyncio.sleep(0)
            assert client.confirmed

    run(test())


def test_a_first_list_is_not_asked_for_twice_while_the_call_waits_its_turn() -> None:
    """All proxies move at once, and twice the calls take twice as long."""
    assert net.MOVE_AGAIN * (1 - net.EARLIER) > MAX_QUEUE_TIME * 0.9 > 2.0


def test_a_silent_watch_is_asked_anew_beside_the_open_one(monkeypatch: pytest.MonkeyPatch) -> None:
    """Nothing ends the first call: no answer, no close. The change that it missed comes with the second."""
    silent_after(monkeypatch, 0.05)

    async def test() -> None:
        peer = OnCommand()
        async with peer.client() as client:
            client.watch(True)
            silent = await peer.next("/v1/servers?from=1&hold_ms=")
            second = await peer.next("/v1/servers?from=1&hold_ms=")
            assert second.connection != silent.connection
            silent_after(monkeypatch, PATIENCE)
            second.answer(2, endpoint("s-1", HERE, "Terminating"))
            assert states(await peer.lists.get()) == ["draining"]
            await peer.next("/v1/servers?from=")
            assert not silent.writer.is_closing() and peer.failures == 0

    run(test())


def test_a_change_told_on_the_watch_that_is_being_renewed_is_taken(monkeypatch: pytest.MonkeyPatch) -> None:
    """What discovery writes counts as told, whichever of the two calls it is written to."""
    silent_after(monkeypatch, 0.05)

    async def test() -> None:
        peer = OnCommand()
        async with peer.client() as client:
            client.watch(True)
            first = await peer.next("/v1/servers?from=1&")
            await peer.next("/v1/servers?from=1&")
            first.answer(2, endpoint("s-1", HERE, "Terminating"))
            assert states(await peer.lists.get()) == ["draining"]

    run(test())


def test_a_renewal_that_fails_is_tried_again_while_the_watch_before_it_waits(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The module's pause after a failure would be longer than what is left."""
    silent_after(monkeypatch, 0.05)
    monkeypatch.setitem(backoff.PAUSE_POLICIES, Failure.IMMEDIATE, backoff.PausePolicy(0.01, 1.0, 0.01, 1.0))

    async def test() -> None:
        peer = OnCommand()
        async with peer.client() as client:
            client.watch(True)
            first = await peer.next("/v1/servers?from=1&")
            silent_after(monkeypatch, PATIENCE)
            (await peer.next("/v1/servers?from=1&")).fail()
            (await peer.next("/v1/servers?from=1&")).fail()
            (await peer.next("/v1/servers?from=1&")).answer(2)
            assert (await peer.lists.get()).version == 2 and peer.failures == 0
            first.writer.transport.abort()  # the one before it ends: no failure while a later one is open
            last = await peer.next("/v1/servers?from=2&")
            assert peer.failures == 0
            last.fail()  # nothing else is out: the module decides when to ask again
            while not peer.failures:
                await asyncio.sleep(0)

    run(test())


def test_the_first_list_of_a_new_address_is_asked_for_again_if_the_call_is_silent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(net, "MOVE_AGAIN", 0.05)

    async def test() -> None:
        peer = OnCommand()
        async with peer.client() as client:
            client.move(client.at)
            silent = await peer.next(FIRST)
            second = await peer.next(FIRST)
            assert silent.connection != second.connection
            monkeypatch.setattr(net, "MOVE_AGAIN", PATIENCE)
            second.answer(9, endpoint("s-1", HERE), snapshot=True)
            while (await peer.asks.get()).target == FIRST:
                pass  # a third may have gone out meanwhile
            assert (await peer.lists.get()).version == 9 and peer.failures == 0

    run(test())


def test_a_whole_list_that_was_asked_for_before_a_newer_change_came_is_dropped() -> None:
    """It would bring a draining backend back."""

    async def test() -> None:
        peer = OnCommand()
        async with peer.client() as client:
            client.fetch()
            fetched = await peer.next("/v1/servers")
            client.watch(True)
            watched = await peer.next("/v1/servers?from=1&")
            watched.answer(7, endpoint("s-1", HERE, "Terminating"))
            assert states(await peer.lists.get()) == ["draining"]
            next_watch = await peer.next("/v1/servers?from=7&")
            fetched.answer(6, endpoint("s-1", HERE), snapshot=True)
            while client._fetches:
                await asyncio.sleep(0)
            next_watch.answer(8, endpoint("s-2", HERE))
            await peer.next("/v1/servers?from=8&")
            assert (await peer.lists.get()).version == 8 and peer.lists.empty()

    run(test())


def test_lower_versions_of_a_discovery_that_started_anew_are_taken() -> None:
    """Asked for after the last list came, so it is no older than that."""

    async def test() -> None:
        peer = OnCommand()
        async with peer.client() as client:
            client.watch(True)
            (await peer.next("/v1/servers?from=1&")).answer(7, endpoint("s-1", HERE))
            (await peer.next("/v1/servers?from=7&")).answer(2, endpoint("s-2", HERE), snapshot=True)
            await peer.next("/v1/servers?from=2&")
            assert [(await peer.lists.get()).version for _ in range(2)] == [7, 2]

    run(test())


def test_a_watch_on_pushed_lists_that_ends_is_opened_again_by_itself() -> None:
    """What is pushed counts as told whether or not a watch is open, so there is no pause to decide on."""

    async def test() -> None:
        peer = OnCommand()
        async with peer.client(pushed=True) as client:
            client.watch(True)
            (await peer.next("/v1/servers?from=1&")).fail()
            (await peer.next("/v1/servers?from=1&")).writer.transport.abort()
            (await peer.next("/v1/servers?from=1&")).answer(2, endpoint("s-1", HERE, "Terminating"))
            await peer.next("/v1/servers?from=2&")
            assert states(await peer.lists.get()) == ["draining"] and peer.failures == 0
            client.move(client.at)  # SIGHUP: its first list, however often that fails
            for _ in range(net.MOVE_TRIES + 1):
                (await peer.next(FIRST)).fail()  # from before the last change
            (await peer.next(FIRST)).answer(9, snapshot=True)
            await peer.next("/v1/servers?from=9&")
            assert peer.failures == 0

    run(test())


def test_a_proxy_whose_lists_are_pushed_keeps_to_them() -> None:
    async def test() -> None:
        discovery = await Discovery().start()
        one, two = Backend(), await Backend().start()
        async with proxy({"s-1": one}, discovery, discovery="push") as node:
            async with asyncio.timeout(PATIENCE):
                await discovery.until_asked(f"/v1/servers?from=1&hold_ms={net.HOLD_MS}")
                discovery.put(2, endpoint("s-1", one.address, "Terminating"), endpoint("s-2", two.address))
                await discovery.until_asked("/v1/servers?from=2&")
            assert (await (await node.caller()).call("canje", "1" * 16)).code == 200
            await next_call(two)
            assert one.count == 0
        await two.stop()

    run(test())


def test_a_watch_asked_for_again_leaves_the_call_that_is_out() -> None:
    """The module doubts a list just when it changes: what is written to the open watch counts as told."""

    async def test() -> None:
        peer = OnCommand()
        async with peer.client() as client:
            client.watch(True)
            first = await peer.next("/v1/servers?from=1&")
            client.watch(True)
            await peer.next("/v1/servers?from=1&")
            first.answer(2, endpoint("s-1", HERE, "Terminating"))
            assert states(await peer.lists.get()) == ["draining"]

    run(test())


def test_the_first_list_of_a_new_address_is_asked_for_once_when_the_module_asks_too(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """After SIGHUP there are 4 s: a call that is given up and made anew waits its turn from the start. The
    module's first watch comes at a random time within 2 s of the start, so also while that call is out."""
    monkeypatch.setattr(net, "MOVE_AGAIN", PATIENCE)

    async def test() -> None:
        peer = OnCommand()
        async with peer.client() as client:
            for round in (1, 2):  # the second move ends a watch that goes on
                client.move(client.at)
                client.watch(True)
                first = await peer.next(FIRST if round == 1 else "/v1/servers?from=1&hold_ms=")
                client.watch(True)
                first.answer(round, endpoint("s-1", HERE, "Terminating"), snapshot=True)
                assert states(await peer.lists.get()) == ["draining"]
                await peer.next(f"/v1/servers?from={round}&")
                client.watch(True)  # with a list the module is heard
                await peer.next(f"/v1/servers?from={round}&")

    run(test())


def test_a_first_list_that_was_asked_for_in_vain_is_asked_for_when_the_module_asks(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The watch that was to go on by itself has ended, and a move has put another in its place."""
    monkeypatch.setattr(net, "Backoff", lambda random, **rest: backoff.Backoff(random, max_pause=0.001))

    async def test() -> None:
        peer = OnCommand()
        async with peer.client() as client:
            client.on_failed = lambda: client.watch(True)
            client.move(client.at)
            client.move(client.at)  # the first has not asked yet
            for _ in range(net.MOVE_TRIES + 1):
                (await peer.next(FIRST)).fail()
            (await peer.next(FIRST)).answer(3, snapshot=True)
            await peer.next("/v1/servers?from=3&")

    run(test())


def test_a_call_that_failed_is_left_to_the_module() -> None:
    """Calls that are made again at once, by all that wait, keep a crowded discovery from answering any."""

    async def test() -> None:
        peer = OnCommand()
        async with peer.client() as client:
            for failures in range(1, 4):
                client.watch(True)
                ask = await peer.next("/v1/servers?from=1&")
                ask.fail()
                while peer.failures < failures:
                    await asyncio.sleep(0)
                assert client._watch is None and peer.asks.empty()

    run(test())


def test_the_first_call_after_a_failed_one_is_answered_soon_where_nothing_changes() -> None:
    """Until an answer comes the list is not confirmed; a watch may be silent for as long as it is held."""

    async def test() -> None:
        peer = OnCommand()
        async with peer.client() as client:
            client.watch(True)
            ask = await peer.next(f"/v1/servers?from=1&hold_ms={net.CONFIRM_HOLD_MS}")
            ask.answer(1)
            ask = await peer.next(f"/v1/servers?from=1&hold_ms={net.HOLD_MS}")
            assert client.confirmed
            ask.fail()
            while not peer.failures:
                await asyncio.sleep(0)
            assert not client.confirmed
            client.watch(True)
            await peer.next(f"/v1/servers?from=1&hold_ms={net.CONFIRM_HOLD_MS}")

    run(test())


def test_nothing_is_heard_of_a_server_that_was_left() -> None:
    async def test() -> None:
        old, new = OnCommand(), OnCommand()
        async with new.client() as there, old.client() as client:
            client.watch(True)
            left = await old.next("/v1/servers?from=1&")
            client.move(there.at)
            asked = await new.next(FIRST)
            left.answer(50, endpoint("s-1", HERE))
            asked.answer(3, endpoint("s-2", HERE), snapshot=True)
            await new.next("/v1/servers?from=3&")
            assert (await old.lists.get()).version == 3 and old.lists.empty()

    run(test())


class Lost(net.Discovery):
    """One of many that lost the same discovery: each call fails at once, and no pause takes time."""

    def __init__(self, seed: int, pushed: bool) -> None:
        super().__init__(("127.0.0.1", 9), 1, lambda told: None, self._failed, Random(seed), pushed)
        self.failed = asyncio.Event()
        self.pauses: list[float] = []

    def _failed(self) -> None:
        self.failed.set()

    async def _ask(self, channel: Any, timeout: float, ask: net.Ask) -> bool:
        self.failure = Failure.WAITED
        if len(self.pauses) >= 10:
            self.failed.set()
        return False


@pytest.mark.parametrize("way", ["pushed", "moved", "renewing"])
def test_those_that_lost_one_discovery_do_not_ask_in_step(way: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """At its return all their calls would come at once, and wait in turn behind each other."""

    async def test() -> None:
        sleep = asyncio.sleep
        many = [Lost(seed, way == "pushed") for seed in (*range(40), 0)]
        waits: dict[asyncio.Task[Any] | None, Lost] = {}

        async def noted(pause: float) -> None:
            waits[asyncio.current_task()].pauses.append(pause)
            await sleep(0)

        monkeypatch.setattr(asyncio, "sleep", noted)
        for one in many:
            if way == "moved":
                one.move(one.at)
            else:
                one.watch(True)
            if way == "renewing":  # the watch before is still open
                one._asks[asyncio.ensure_future(one.failed.wait())] = Channel()
            waits[one._watch] = one
        async with asyncio.timeout(PATIENCE):
            for one in many:
                await one.failed.wait()
        for one in many:
            one.stop()
        assert many[0].pauses == pytest.approx(many[-1].pauses, abs=0.05)  # one seed, one course
        longest = 0.15 if way == "pushed" else backoff.MAX_PAUSE
        assert all(0 < pause <= longest for one in many for pause in one.pauses)
        at = sorted(sum(one.pauses[:8]) for one in many[:40])
        spacing = sum(many[0].pauses[:8]) / 8
        closest = [sum(abs(other - this) < spacing / 20 for other in at) for this in at]
        assert max(closest) <= 10  # of 40, within a tenth of a pause

    run(test())
