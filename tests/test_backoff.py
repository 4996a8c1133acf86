"""The pause after a failed call, against figures worked out by hand."""

from __future__ import annotations

from random import Random

import pytest
from helpers import Driver, settings

from granitepoint import ListKind, ServerList, Watch
from granitepoint.backoff import FIRST_PAUSE, JITTER, LONGEST_PAUSE, LONGEST_TURN, Backoff


class Least(Random):
    """No chance: what is drawn is always 0."""

    def random(self) -> float:
        return 0.0


def pauses(waited: float, count: int) -> list[float]:
    backoff = Backoff(Least())
    return [backoff.failed(waited) for _ in range(count)]


def test_the_pause_doubles_up_to_the_longest() -> None:
    assert pauses(0.0, 6) == [1.0, 2.0, 4.0, 8.0, 16.0, 16.0]
    assert pauses(0.0, 2000)[-1] == LONGEST_PAUSE


def test_a_call_that_waited_in_turn_asks_for_a_pause_of_that_wait_at_least() -> None:
    assert pauses(2.0, 5) == [2.0, 4.0, 8.0, 16.0, 16.0]
    assert pauses(LONGEST_TURN + 0.1, 1) == [FIRST_PAUSE]  # it was answered in turn, and held


def test_a_call_that_succeeds_starts_anew() -> None:
    backoff = Backoff(Least())
    for _ in range(4):
        backoff.failed(0.0)
    backoff.succeeded()
    assert backoff.failed(0.0) == FIRST_PAUSE


def test_pauses_differ_from_one_instance_to_the_next() -> None:
    first = [Backoff(Random(seed)).failed(0.0) for seed in range(50)]
    assert all(FIRST_PAUSE * (1 - JITTER) <= pause <= FIRST_PAUSE for pause in first)
    assert max(first) - min(first) > 0.8 * JITTER * FIRST_PAUSE


@pytest.mark.parametrize("must_ask_within, most", [(10.0, 10.0), (3.0, 3.0), (60.0, LONGEST_PAUSE)])
def test_an_instance_asks_again_later_after_each_failure_but_within_its_bound(
    must_ask_within: float, most: float
) -> None:
    """It counts as told if it goes without asking for longer."""
    made = Driver(settings(ask_for_list=True, must_ask_within=must_ask_within))
    made.wait(3.0)
    waits = []
    for _ in range(8):
        made.feed(ServerList(ListKind.FAILED))
        failed_at = made.now
        while not any(isinstance(action, Watch) for action in made.wait(0.05)):
            pass
        waits.append(made.now - failed_at)
    assert waits[0] <= LONGEST_TURN + 0.1
    assert max(waits) <= most + 0.1
    assert min(waits[5:]) >= most * (1 - JITTER) - 0.1
