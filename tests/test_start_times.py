"""How long ago servers were started, given by lists whose clock is not this machine's clock.

Guards against this failure: a proxy on a machine whose wall clock had been stepped an hour ahead treated each
cold server as warm, and gave it its full share of requests from the start. The cause was that starts were
placed by the wall clock at the moment at which the program was loaded.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest
from netkit import endpoint, listing, run

from granitepoint.faults.harness import soak_harness
from granitepoint.faults.syscalls import SyscallFault, build_library, compiler_path, fault_environment
from granitepoint.membership.start_times import MAX_NEW_START_AGE, StartTimes
from granitepoint.net.listing import read_listing

OTHER_CLOCK = 1.7e9  # s that the clock of the lists is ahead of the instance's clock, unknown to the instance


@pytest.mark.skipif(compiler_path() is None, reason="needs a C compiler")
@pytest.mark.parametrize("clock_step", ["0", "3600", "-3600", "5"])
def test_a_proxy_whose_clock_was_stepped_before_its_start_limits_the_load_of_a_cold_server(
    clock_step: str, tmp_path: Path
) -> None:
    """Nine servers are warm. In its first second the cold server may get on average 0.6 of what each other
    server gets: its capacity is 0.4 of theirs, and all instances may use half of three times that."""

    async def test() -> None:
        async with soak_harness(tmp_path, 1, servers=10) as test_rig:
            test_rig.settings["contract"].update(cold=20.0, cold_from=0.1)
            test_rig.discovery.entries["s-0000"].since_ms = int(time.time() * 1000)
            faults = [SyscallFault("clock", clock_step, 1.0, 0.0, 60.0)] if clock_step != "0" else []
            environment_variables = (
                fault_environment(build_library(tmp_path), faults, 1, tmp_path / "counts") if faults else {}
            )
            proxy = await test_rig.add_proxy(environment_variables)
            await test_rig.wait_until_ready()
            clients = test_rig.start_clients(proxy, 12)
            await asyncio.sleep(2.0)
            test_rig.clients[0].stopped = True
            await clients
            sent = {name: len(server.attempts) for name, server in test_rig.servers.items()}
            warm = sum(attempts for name, attempts in sent.items() if name != "s-0000") / 9
            assert sent["s-0000"] < 0.45 * warm, sent

    run(test())


def test_a_start_is_never_placed_too_early_and_keeps_its_distance_to_the_others() -> None:
    starts = StartTimes()
    local_times = starts.to_local_times({"a": OTHER_CLOCK + 90.0, "b": OTHER_CLOCK + 97.0, "c": 0.0}, 100.0)
    assert local_times == pytest.approx({"a": 93.0, "b": 100.0, "c": 0.0})
    later = starts.to_local_times({"a": OTHER_CLOCK + 90.0, "d": OTHER_CLOCK + 149.0}, 150.0)
    assert later == pytest.approx({"a": 93.0, "d": 149.0 + 1.0})  # the fastest list was 1 s late
    quick = starts.to_local_times({"e": OTHER_CLOCK + 160.0, "f": OTHER_CLOCK + 158.0}, 160.0)
    assert quick == pytest.approx({"e": 160.0, "f": 158.0})


def test_the_same_start_has_the_same_local_time_in_every_list_and_a_restart_a_later_one() -> None:
    """If its start time moved, a server would be treated as restarted."""
    starts = StartTimes()
    first = starts.to_local_times({"a": OTHER_CLOCK + 50.0}, 100.0)
    again = starts.to_local_times({"a": OTHER_CLOCK + 50.0, "b": OTHER_CLOCK + 110.0}, 110.0)
    assert first["a"] == again["a"] == 100.0
    restarted = starts.to_local_times({"a": OTHER_CLOCK + 90.0}, 111.0)
    assert again["a"] < restarted["a"] <= 111.0


@pytest.mark.parametrize("clock_step", [3600.0, -3600.0, 8.0])
def test_if_one_server_has_another_clock_starts_in_later_lists_do_not_seem_older(clock_step: float) -> None:
    """StartTimes assumes one clock for all machines. Otherwise a start that is new in a list counts as
    now."""
    starts = StartTimes()
    starts.to_local_times({"a": OTHER_CLOCK + 100.0}, 100.0)
    starts.to_local_times({"odd": OTHER_CLOCK + 110.0 + clock_step}, 110.0)
    local_times = starts.to_local_times({"b": OTHER_CLOCK + 119.0}, 120.0)
    assert local_times["b"] >= 119.0 - (clock_step if 0 < clock_step < MAX_NEW_START_AGE else 0.0)


def test_an_old_list_makes_no_later_start_seem_older() -> None:
    """A process starts with the list that its predecessor had, perhaps an hour ago."""
    starts = StartTimes()
    starts.to_local_times({"a": OTHER_CLOCK - 3600.0}, 100.0)
    assert starts.to_local_times({"a": OTHER_CLOCK - 3600.0, "b": OTHER_CLOCK + 99.0}, 100.5)["b"] == 100.5


def test_the_wall_clock_is_not_read(monkeypatch: pytest.MonkeyPatch) -> None:
    def read_wall_clock() -> float:
        raise AssertionError("the wall clock was read")

    monkeypatch.setattr(time, "time", read_wall_clock)
    raw = listing(1, endpoint("s-1", "127.0.0.1:1", since_ms=1.7e12), snapshot=True)
    (listed,) = read_listing(raw).backends
    assert 0 < time.monotonic() - listed.entry.started_at < 1.0


def test_servers_that_are_gone_are_removed() -> None:
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
    """A cold server that is treated as warm gets more requests than slow start allows."""
    local_times = StartTimes().to_local_times(
        {"odd": OTHER_CLOCK + 99.0 + 3600.0, "b": OTHER_CLOCK + 99.0}, 100.0
    )
    assert local_times["b"] >= 99.0
