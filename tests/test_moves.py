"""A move to a new address of discovery: only changes are requested, and another service is recognized.

These tests guard against two failures. After SIGHUP, requests went to servers that had left, for up to 20 s.
When that was refused, proxies served nobody for seconds: all of them requested full lists at once, and the
last one got its list 16 s late.

The cause was that versions of the old address were taken to be meaningless at the new one, although both
belong to one service. A full list costs discovery two to three times as much as a small answer, and the watch
after it has to queue once more.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from netkit import endpoint, run
from test_discovery import ADDRESS, ReceivedCall, ScriptedDiscovery, states

from granitepoint.membership import move_deadlines
from granitepoint.membership.move_deadlines import NOTIFIED_AFTER_MOVE
from granitepoint.membership.version_history import MAX_REPEATED_ENTRIES, VersionHistory
from granitepoint.net import discovery as discovery_module
from granitepoint.net.discovery import DiscoveryCall, earliest_writing_time
from granitepoint.net.listing import Listing

CHANGED_SERVERS = {1, 2}
FULL_LIST_TARGET = "/v1/servers"


def history(version: int = 40) -> VersionHistory:
    """Version 40 is current, and the change from 39 to 40 is known."""
    versions = VersionHistory(version - 1)
    versions.record(version - 1, version, CHANGED_SERVERS)
    return versions


def test_the_last_change_is_requested_again() -> None:
    assert history().request_from == 39 and history().can_be_verified
    unchanged = VersionHistory(40)
    assert unchanged.request_from == 40 and not unchanged.can_be_verified


@pytest.mark.parametrize(
    ("version", "servers", "continues"),
    [
        (40, {1, 2}, True),
        (44, {1, 2, 7}, True),
        (39, {1, 2}, False),  # a lower version
        (0, set(), False),
        (40, set(), False),  # the same version, with other changes
        (40, {8, 9}, False),
        (90, {1, 9}, False),  # a higher version, with other servers
    ],
)
def test_another_service_is_recognized_by_its_version_and_by_the_missing_last_change(
    version: int, servers: set[int], continues: bool
) -> None:
    assert history().is_continued_by(version, servers) is continues


def test_a_full_list_or_a_large_change_leaves_nothing_to_compare() -> None:
    after_full_list = history()
    after_full_list.record(None, 41, {1, 2, 3})
    after_large_change = history()
    after_large_change.record(40, 41, range(MAX_REPEATED_ENTRIES + 1))
    for versions in (after_full_list, after_large_change):
        assert versions.request_from == 41 and not versions.can_be_verified
        assert versions.is_continued_by(41, set()) and not versions.is_continued_by(40, set())


def test_an_answer_without_changes_keeps_the_last_change() -> None:
    versions = history()
    versions.record(40, 40, set())
    assert versions.request_from == 39
    versions.record(39, 41, {1, 2, 5})  # the last change again, together with newer ones
    assert versions.request_from == 39 and not versions.is_continued_by(41, {1, 2})


@asynccontextmanager
async def moved_client(peer: ScriptedDiscovery) -> AsyncIterator[discovery_module.DiscoveryClient]:
    """A client that got version 2, with a change of s-1, and was then moved to another address."""
    async with peer.client() as client:
        client.watch(True)
        (await peer.next("/v1/servers?from=1&")).answer(2, endpoint("s-1", ADDRESS, "Terminating"))
        await peer.next("/v1/servers?from=2&")
        await peer.lists.get()
        client.move(client.address)
        yield client


def hold_ms(call: ReceivedCall) -> int:
    """Returns the hold that a call asks for, in milliseconds."""
    return int(call.target.rpartition("hold_ms=")[2])


async def watch_after_move(peer: ScriptedDiscovery) -> ReceivedCall:
    """Answers the first call to the new address, and returns the watch that follows."""
    (await peer.next("/v1/servers?from=1&")).answer(2, endpoint("s-1", ADDRESS, "Terminating"))
    return await peer.next("/v1/servers?from=2&")


def test_an_answer_at_the_deadline_of_a_move_covers_it(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a list that is used after SIGHUP although nothing has come since: the watch is held
    until the deadline and no longer, and the answer that nothing has changed is proof of that."""
    monkeypatch.setattr(move_deadlines, "NOTIFIED_AFTER_MOVE", 0.5)

    async def test() -> None:
        peer = ScriptedDiscovery()
        async with moved_client(peer) as client:
            deadline = client.move_deadlines.first
            watch = await watch_after_move(peer)
            call = client.newest_call
            assert call is not None
            hold_end = call.started_at + call.hold
            assert deadline <= hold_end < deadline + discovery_module.DEADLINE_TIMEOUT_S
            await asyncio.sleep(hold_end - time.monotonic())
            watch.answer(2)
            assert hold_ms(await peer.next("/v1/servers?from=2&")) == discovery_module.HOLD_MS
            await peer.lists.get()
            received = await peer.lists.get()
            assert received.written_after is not None and received.written_after >= deadline

    run(test())


def test_a_watch_that_is_silent_at_the_deadline_of_a_move_is_followed_by_another_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against seconds without a list: the list may not be used until an answer comes."""
    monkeypatch.setattr(move_deadlines, "NOTIFIED_AFTER_MOVE", 0.3)

    async def test() -> None:
        peer = ScriptedDiscovery()
        async with moved_client(peer) as client:
            deadline = client.move_deadlines.first
            await watch_after_move(peer)
            renewed = await peer.next(f"/v1/servers?from=2&hold_ms={discovery_module.CONFIRM_HOLD_MS}")
            assert deadline <= time.monotonic() < deadline + discovery_module.CONFIRM_TIMEOUT_S
            renewed.answer(2)
            assert hold_ms(await peer.next("/v1/servers?from=2&")) == discovery_module.HOLD_MS

    run(test())


def test_an_early_answer_without_changes_does_not_cover_the_rest_of_its_hold() -> None:
    unchanged = Listing(version=2, full=False, backends=[])
    call = DiscoveryCall(100.0, hold=4.0, continued=True, since_version=2)
    assert earliest_writing_time(unchanged, call, 101.0) == 101.0 - discovery_module.MAX_READ_DELAY_S
    assert earliest_writing_time(unchanged, call, 104.01) == 104.0
    newer = Listing(version=3, full=False, backends=[])
    assert earliest_writing_time(newer, call, 104.01) == 104.01 - discovery_module.MAX_READ_DELAY_S


def test_a_repeated_change_shows_that_the_new_address_continues_the_history() -> None:
    async def test() -> None:
        peer = ScriptedDiscovery()
        async with moved_client(peer) as client:
            call = await peer.next(f"/v1/servers?from=1&hold_ms={discovery_module.CONFIRM_HOLD_MS}")
            call.answer(3, endpoint("s-1", ADDRESS, "Gone"), endpoint("s-2", ADDRESS))
            assert states(await peer.lists.get()) == ["gone", "serving"]
            assert hold_ms(await peer.next("/v1/servers?from=3&")) <= NOTIFIED_AFTER_MOVE * 1000
            assert client._verification_task is None and client.confirmed

    run(test())


@pytest.mark.parametrize(("index", "name"), [(1, "s-1"), (2, "s-9"), (30, "s-9")])
def test_the_full_list_is_requested_if_the_new_address_is_another_service(index: int, name: str) -> None:
    """Nothing of the first answer is used, and it does not confirm a list."""

    async def test() -> None:
        peer = ScriptedDiscovery()
        async with moved_client(peer) as client:
            (await peer.next("/v1/servers?from=1&")).answer(index, endpoint(name, ADDRESS))
            full_list_call = await peer.next(FULL_LIST_TARGET)
            assert full_list_call.target == FULL_LIST_TARGET and peer.lists.empty() and not client.confirmed
            full_list_call.answer(index, endpoint("s-9", ADDRESS), snapshot=True)
            received = await peer.lists.get()
            assert received.full and received.version == index
            await peer.next(f"/v1/servers?from={index}&")
            assert client.confirmed

    run(test())


def test_a_list_that_could_not_be_compared_is_verified_later_until_a_full_list_comes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The watch continues in the meantime, and newer changes that it brings are kept."""
    monkeypatch.setattr(discovery_module, "VERIFY_DELAY_S", 0.1)
    monkeypatch.setattr(discovery_module, "VERIFY_SPREAD_S", 0.02)

    async def test() -> None:
        peer = ScriptedDiscovery()
        async with peer.client() as client:
            client.move(client.address)
            (await peer.next("/v1/servers?from=1&")).answer(1)
            watched = await peer.next("/v1/servers?from=1&")
            assert hold_ms(watched) <= NOTIFIED_AFTER_MOVE * 1000
            assert (await peer.lists.get()).version == 1
            for _ in range(2):
                call = await peer.next(FULL_LIST_TARGET)
                assert call.target == FULL_LIST_TARGET
                call.fail()
            (await peer.next(FULL_LIST_TARGET)).answer(1, endpoint("s-2", ADDRESS), snapshot=True)
            received = await peer.lists.get()
            assert received.full and not received.answers_newest_call and peer.failures == 0
            assert client.confirmed and client._watch_task is not None and not client._watch_task.done()
            watched.answer(2, endpoint("s-2", ADDRESS, "Terminating"))
            await peer.next("/v1/servers?from=2&")
            assert client._verification_task is not None
            await asyncio.wait([client._verification_task], timeout=1.0)
            assert client._verification_task.done()

    run(test())


def test_a_second_move_before_the_first_list_calls_the_newest_address() -> None:
    async def test() -> None:
        old, new = ScriptedDiscovery(), ScriptedDiscovery()
        async with new.client() as other, moved_client(old) as client:
            await old.next("/v1/servers?from=1&")
            client.move(other.address)
            (await new.next("/v1/servers?from=1&")).answer(2, endpoint("s-1", ADDRESS, "Terminating"))
            await new.next("/v1/servers?from=2&")
            assert (await old.lists.get()).version == 2 and old.lists.empty()

    run(test())
