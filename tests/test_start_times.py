"""How long ago a server was started, as told by lists whose clock is not this machine's.

What could happen: a proxy started on a machine whose wall clock had been stepped an hour ahead took each cold
server for a warm one, and gave it its full share from its first moment on. Suspected from reading; the first
test showed it.

The cause: starts were placed by the wall clock of the moment at which the program was loaded.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest
from netkit import endpoint, listing, run

from granitepoint.faults.rig import soak_harness
from granitepoint.faults.syscalls import SyscallFault, build_library, compiler_path, fault_environment
from granitepoint.membership.start_times import OLDEST_NEWS, StartTimes
from granitepoint.net.listing import read_listing

OTHER_CLOCK = 1.7e9  # s that the clock of the lists is ahead of the instance's, unknown to it


@pytest.mark.skipif(compiler_path() is None, reason="needs a C compiler")
@pytest.mark.parametrize("step", ["0", "3600", "-3600", "5"])
def test_a_cold_server_is_spared_by_a_proxy_whose_clock_was_stepped_before_its_start(
    step: str, tmp_path: Path
) -> None:
    """Nine servers are warm. At 0.4 of its capacity, and half of three times that, the cold one may get six
    tenths of what the others get, in the mean over its first second."""

    async def test() -> None:
        async with soak_harness(tmp_path, 1, servers=10) as made:
            made.settings["contract"].update(cold=20.0, cold_from=0.1)
            made.discovery.entries["s-0000"].since_ms = int(time.time() * 1000)
            faults = [SyscallFault("clock", step, 1.0, 0.0, 60.0)] if step != "0" else []
            variables = fault_environment(build_library(tmp_path), faults, 1, tmp_path / "counts") if faults else {}
            proxy = await made.add_proxy(variables)
            await made.wait_until_ready()
            clients = made.start_clients(proxy, 12)
            await asyncio.sleep(2.0)
            made.clients[0].stopped = True
            await clients
            sent = {name: len(server.attempts) for name, server in made.servers.items()}
            warm = sum(many for name, many in sent.items() if name != "s-0000") / 9
            assert sent["s-0000"] < 0.45 * warm, sent

    run(test())


def test_a_start_is_never_placed_before_the_truth_and_keeps_its_distance_to_the_others() -> None:
    starts = StartTimes()
    found = starts.listed({"a": OTHER_CLOCK + 90.0, "b": OTHER_CLOCK + 97.0, "c": 0.0}, 100.0)
    assert found == pytest.approx({"a": 93.0, "b": 100.0, "c": 0.0})
    later = starts.listed({"a": OTHER_CLOCK + 90.0, "d": OTHER_CLOCK + 149.0}, 150.0)
    assert later == pytest.approx({"a": 93.0, "d": 149.0 + 1.0})  # the quickest list was 1 s late
    quick = starts.listed({"e": OTHER_CLOCK + 160.0, "f": OTHER_CLOCK + 158.0}, 160.0)
    assert quick == pytest.approx({"e": 160.0, "f": 158.0})


def test_the_same_start_is_placed_at_the_same_moment_in_every_list_and_a_further_one_later() -> None:
    """A server whose start seemed to move would be taken for one that was started again."""
    starts = StartTimes()
    first = starts.listed({"a": OTHER_CLOCK + 50.0}, 100.0)
    again = starts.listed({"a": OTHER_CLOCK + 50.0, "b": OTHER_CLOCK + 110.0}, 110.0)
    assert first["a"] == again["a"] == 100.0
    restarted = starts.listed({"a": OTHER_CLOCK + 90.0}, 111.0)
    assert again["a"] < restarted["a"] <= 111.0


@pytest.mark.parametrize("step", [3600.0, -3600.0, 8.0])
def test_where_one_server_has_a_clock_of_its_own_what_is_told_later_passes_for_no_older(step: float) -> None:
    """All machines read one clock: this is relied on. Broken, a start that is news is taken for just now."""
    starts = StartTimes()
    starts.listed({"a": OTHER_CLOCK + 100.0}, 100.0)
    starts.listed({"odd": OTHER_CLOCK + 110.0 + step}, 110.0)
    found = starts.listed({"b": OTHER_CLOCK + 119.0}, 120.0)
    assert found["b"] >= 119.0 - (step if 0 < step < OLDEST_NEWS else 0.0)


def test_a_list_that_is_old_makes_no_later_start_seem_older() -> None:
    """A process is started with the list that its forerunner had, perhaps an hour ago."""
    starts = StartTimes()
    starts.listed({"a": OTHER_CLOCK - 3600.0}, 100.0)
    assert starts.listed({"a": OTHER_CLOCK - 3600.0, "b": OTHER_CLOCK + 99.0}, 100.5)["b"] == 100.5


def test_the_wall_clock_is_not_asked(monkeypatch: pytest.MonkeyPatch) -> None:
    def step() -> float:
        raise AssertionError("the wall clock was read")

    monkeypatch.setattr(time, "time", step)
    raw = listing(1, endpoint("s-1", "127.0.0.1:1", since_ms=1.7e12), snapshot=True)
    (listed,) = read_listing(raw).backends
    assert 0 < time.monotonic() - listed.entry.started_at < 1.0


def test_servers_that_are_gone_are_forgotten() -> None:
    starts = StartTimes()
    raw = listing(
        1, *(endpoint(f"s-{n}", "127.0.0.1:1", since_ms=1.7e12 + n) for n in range(3)), snapshot=True
    )
    read_listing(raw, starts)
    read_listing(listing(2, endpoint("s-0", "127.0.0.1:1", "Gone", since_ms=1.7e12), snapshot=False), starts)
    assert sorted(starts.starts) == ["s-1", "s-2"]
    read_listing(listing(3, endpoint("s-2", "127.0.0.1:1", since_ms=1.7e12 + 2), snapshot=True), starts)
    assert sorted(starts.starts) == ["s-2"]


def test_a_server_whose_own_clock_was_stepped_makes_no_other_of_the_first_list_seem_older() -> None:
    """Taken for warm, a cold server gets more than slow start allows."""
    found = StartTimes().listed({"odd": OTHER_CLOCK + 99.0 + 3600.0, "b": OTHER_CLOCK + 99.0}, 100.0)
    assert found["b"] >= 99.0
