"""Simulates a whole fleet and a discovery service with a queue: how soon every proxy gets a list."""

from __future__ import annotations

import pytest

from granitepoint.faults.turns import Day, play
from granitepoint.membership.list_lease import NOTIFIED_AFTER
from granitepoint.membership.move_deadlines import NOTIFIED_AFTER_MOVE

MAX_QUEUE_TIME_S = 2.0


@pytest.mark.parametrize("proxies", [20, 60])
def test_after_a_move_every_proxy_gets_a_list_before_the_changes_at_the_new_address_count_as_notified(
    proxies: int,
) -> None:
    """Discovery can answer all proxies once in 3.5 s (a round). The list changes each second, and a fifth of
    the fleet restarts meanwhile.

    When all proxies requested full lists, a third had none 4 s after the move. The last one got its
    list after 16 s.
    """
    result = play(Day(proxies, round_length=3.5, end=40.0, move_at=20.0, restarts=proxies // 5))
    assert result.last_wait < NOTIFIED_AFTER_MOVE and result.still_waiting == 0
    assert result.longest_without_list < NOTIFIED_AFTER_MOVE  # of a restarted proxy, until its first list


@pytest.mark.parametrize("proxies", [20, 60])
def test_after_an_outage_every_proxy_gets_a_list_within_a_round_and_the_queue_time(proxies: int) -> None:
    result = play(Day(proxies, round_length=5.0, end=40.0, outage=(15.0, 23.0), restarts=proxies // 5))
    assert result.last_wait < 5.0 + MAX_QUEUE_TIME_S and result.still_waiting == 0
    assert result.median_wait < NOTIFIED_AFTER / 2 + 0.5


def test_a_day_gives_the_same_result_again() -> None:
    day = Day(9, round_length=3.0, end=25.0, move_at=15.0, restarts=2)
    assert play(day) == play(day)


def test_an_outage_twice_as_long_as_usual_leaves_most_of_a_day() -> None:
    """Nothing proves that discovery is unreachable while it accepts calls and fails them late, so proxies
    refuse requests from 6 s on. Of 50 s with an outage of 16 s, they serve at least 3/5 on average."""
    result = play(Day(20, round_length=5.0, end=60.0, outage=(12.0, 28.0)))
    assert result.time_without_list < 0.4 * 20 * 50.0
    assert result.last_wait < 5.0 + MAX_QUEUE_TIME_S and result.still_waiting == 0


def test_a_day_of_which_most_is_an_outage_is_served_for_half_of_it() -> None:
    """However long calls to discovery fail late, half of what is served without an outage is required.

    So proxies may be without a usable list for at most 25 s of the 50 s that are measured, on average.
    """
    result = play(Day(9, round_length=5.0, end=60.0, outage=(12.0, 44.0)))
    assert result.time_without_list < 0.5 * 9 * 50.0
