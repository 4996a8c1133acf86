"""A whole fleet and a discovery that answers in turn, in simulated time: who is told when."""

from __future__ import annotations

import pytest

from granitepoint.faults.turns import Day, play
from granitepoint.membership.list_lease import NOTIFIED_AFTER, NOTIFIED_AFTER_MOVE

QUEUE = 2.0  # s that a call waits in turn at most


@pytest.mark.parametrize("proxies", [20, 60])
def test_a_move_tells_everybody_before_what_the_new_address_has_counts_as_told(proxies: int) -> None:
    """A round of 3.5 s, with a change each second and a fifth of the fleet restarted meanwhile. With whole
    lists for all, a third had none 4 s after the move, and the last after 16 s."""
    told = play(Day(proxies, round=3.5, end=40.0, move_at=20.0, restarts=proxies // 5))
    assert told.last_wait < NOTIFIED_AFTER_MOVE and told.never == 0
    assert told.longest_without < NOTIFIED_AFTER_MOVE  # a restarted one, until its first list


@pytest.mark.parametrize("proxies", [20, 60])
def test_a_return_tells_everybody_within_a_round_and_the_wait_in_turn(proxies: int) -> None:
    told = play(Day(proxies, round=5.0, end=40.0, down=(15.0, 23.0), restarts=proxies // 5))
    assert told.last_wait < 5.0 + QUEUE and told.never == 0
    assert told.median_wait < NOTIFIED_AFTER / 2 + 0.5


def test_a_day_is_the_same_again() -> None:
    day = Day(9, round=3.0, end=25.0, move_at=15.0, restarts=2)
    assert play(day) == play(day)


def test_an_outage_twice_as_long_as_usual_leaves_most_of_a_day() -> None:
    """Nothing proves that discovery is away where it takes calls and fails them late, so proxies refuse from
    6 s on. Of 50 s with an outage of 16 s at least three fifths are left to each."""
    told = play(Day(20, round=5.0, end=60.0, down=(12.0, 28.0)))
    assert told.without_list < 0.4 * 20 * 50.0
    assert told.last_wait < 5.0 + QUEUE and told.never == 0


def test_a_day_of_which_most_is_an_outage_is_served_for_half_of_it() -> None:
    """The gate wants half of what is served otherwise, however long discovery fails calls late."""
    told = play(Day(9, round=5.0, end=60.0, down=(12.0, 44.0)))
    assert told.without_list < 0.5 * 9 * 50.0
