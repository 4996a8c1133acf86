"""A new address of discovery: it is asked for changes, and is found out where it is another service.

What users saw: after SIGHUP requests went to servers that had left, for up to 20 s; where that was refused,
proxies served nobody for seconds. All asked for whole lists at once, and the last had its list 16 s late.

The cause: versions of the old address were taken to tell nothing of the new one, although it is one service.
A whole list costs discovery two to three times what a small answer does, and the watch after it a turn more.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from netkit import endpoint, run
from test_discovery import HERE, OnCommand, states

from granitepoint.membership.version_history import MAX_REPEATED_ENTRIES, VersionHistory
from granitepoint.net import discovery as net

CHANGED = {1, 2}
WHOLE = "/v1/servers"


def history(version: int = 40) -> VersionHistory:
    """Versions 39 and 40 are known, the last of them by what it changed."""
    made = VersionHistory(version - 1)
    made.record(version - 1, version, CHANGED)
    return made


def test_the_last_change_is_asked_for_once_more() -> None:
    assert history().request_from == 39 and history().comparable
    unchanged = VersionHistory(40)
    assert unchanged.request_from == 40 and not unchanged.comparable


@pytest.mark.parametrize(
    ("version", "servers", "goes_on"),
    [
        (40, {1, 2}, True),
        (44, {1, 2, 7}, True),
        (39, {1, 2}, False),  # a lower index
        (0, set(), False),
        (40, set(), False),  # an equal one, with other changes
        (40, {8, 9}, False),
        (90, {1, 9}, False),  # a higher one, with other names
    ],
)
def test_another_service_is_told_by_its_index_and_by_the_change_that_it_does_not_know(
    version: int, servers: set[int], goes_on: bool
) -> None:
    assert history().is_continued_by(version, servers) is goes_on


def test_a_whole_list_or_a_large_change_leaves_nothing_to_compare() -> None:
    whole = history()
    whole.record(None, 41, {1, 2, 3})
    large = history()
    large.record(40, 41, range(MAX_REPEATED_ENTRIES + 1))
    for made in (whole, large):
        assert made.request_from == 41 and not made.comparable
        assert made.is_continued_by(41, set()) and not made.is_continued_by(40, set())


def test_an_answer_without_news_leaves_the_last_change_in_place() -> None:
    made = history()
    made.record(40, 40, set())
    assert made.request_from == 39
    made.record(39, 41, {1, 2, 5})  # the same once more, with what came since
    assert made.request_from == 39 and not made.is_continued_by(41, {1, 2})


@asynccontextmanager
async def moved(peer: OnCommand) -> AsyncIterator[net.Discovery]:
    """A client that was told of version 2, with a change of s-1, and was then sent to another address."""
    async with peer.client() as client:
        client.watch(True)
        (await peer.next("/v1/servers?from=1&")).answer(2, endpoint("s-1", HERE, "Terminating"))
        await peer.next("/v1/servers?from=2&")
        await peer.lists.get()
        client.move(client.at)
        yield client


def test_the_change_that_comes_back_shows_that_the_new_address_goes_on_with_the_old() -> None:
    async def test() -> None:
        peer = OnCommand()
        async with moved(peer) as client:
            ask = await peer.next(f"/v1/servers?from=1&hold_ms={net.CONFIRM_HOLD_MS}")
            ask.answer(3, endpoint("s-1", HERE, "Gone"), endpoint("s-2", HERE))
            assert states(await peer.lists.get()) == ["gone", "serving"]
            await peer.next(f"/v1/servers?from=3&hold_ms={net.HOLD_MS}")
            assert client._verification is None and client.confirmed

    run(test())


@pytest.mark.parametrize(("index", "name"), [(1, "s-1"), (2, "s-9"), (30, "s-9")])
def test_the_whole_list_is_asked_for_where_the_new_address_is_another_service(index: int, name: str) -> None:
    """Nothing of its first answer is used, and it is no proof of what the address has."""

    async def test() -> None:
        peer = OnCommand()
        async with moved(peer) as client:
            (await peer.next("/v1/servers?from=1&")).answer(index, endpoint(name, HERE))
            whole = await peer.next(WHOLE)
            assert whole.target == WHOLE and peer.lists.empty() and not client.confirmed
            whole.answer(index, endpoint("s-9", HERE), snapshot=True)
            told = await peer.lists.get()
            assert told.whole and told.version == index
            await peer.next(f"/v1/servers?from={index}&")
            assert client.confirmed

    run(test())


def test_a_list_that_nothing_could_be_compared_with_is_asked_for_whole_later_and_until_it_comes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The watch goes on meanwhile, and what it was told since is not taken back."""
    monkeypatch.setattr(net, "VERIFY_AFTER", 0.1)
    monkeypatch.setattr(net, "VERIFY_SPREAD", 0.02)

    async def test() -> None:
        peer = OnCommand()
        async with peer.client() as client:
            client.move(client.at)
            (await peer.next("/v1/servers?from=1&")).answer(1)
            watched = await peer.next(f"/v1/servers?from=1&hold_ms={net.HOLD_MS}")
            assert (await peer.lists.get()).version == 1
            for _ in range(2):
                ask = await peer.next(WHOLE)
                assert ask.target == WHOLE
                ask.fail()
            (await peer.next(WHOLE)).answer(1, endpoint("s-2", HERE), snapshot=True)
            told = await peer.lists.get()
            assert told.whole and not told.ends_watch and peer.failures == 0
            assert client.confirmed and client._watch is not None and not client._watch.done()
            watched.answer(2, endpoint("s-2", HERE, "Terminating"))
            await peer.next("/v1/servers?from=2&")
            assert client._verification is not None
            await asyncio.wait([client._verification], timeout=1.0)
            assert client._verification.done()

    run(test())


def test_a_move_while_nothing_is_confirmed_asks_anew_and_a_second_one_before_the_first_list_too() -> None:
    async def test() -> None:
        old, new = OnCommand(), OnCommand()
        async with new.client() as there, moved(old) as client:
            await old.next("/v1/servers?from=1&")
            client.move(there.at)
            (await new.next("/v1/servers?from=1&")).answer(2, endpoint("s-1", HERE, "Terminating"))
            await new.next("/v1/servers?from=2&")
            assert (await old.lists.get()).version == 2 and old.lists.empty()

    run(test())
