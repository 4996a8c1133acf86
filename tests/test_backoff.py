"""The pause after a failed call, against figures worked out by hand."""

from __future__ import annotations

from random import Random

import pytest
from helpers import Driver, settings

from granitepoint import ListKind, ServerList, Watch
from granitepoint.membership.backoff import AWAY, CROWDED, LONGEST_PAUSE, PAUSES, TURNED_AWAY, Backoff
from granitepoint.membership.evidence import Failure
from granitepoint.membership.list_lease import TOLD_AFTER


class Most(Random):
    """No chance: what is drawn is always the longest pause."""

    def random(self) -> float:
        return 1.0


def pauses(failure: Failure, count: int) -> list[float]:
    backoff = Backoff(Most())
    return [backoff.failed(failure) for _ in range(count)]


def test_the_pause_after_calls_that_waited_grows_up_to_the_longest() -> None:
    assert pauses(Failure.WAITED, 3) == pytest.approx([4.0, 4.8, 5.76])
    assert pauses(Failure.WAITED, 2000)[-1] == LONGEST_PAUSE
    assert pauses(Failure.SILENT, 2) == pauses(Failure.WAITED, 2)


def test_the_pause_after_a_refused_connection_stays_short_however_many_there_were() -> None:
    assert pauses(Failure.REFUSED, 2000)[-1] == AWAY.longest == 1.0


def test_no_pause_that_follows_a_proof_is_as_long_as_a_list_may_be_used_after_it() -> None:
    """A pause of up to 10 s after a refused call outlasted the 6 s by which each change counts as told."""
    for failure in (Failure.REFUSED, Failure.AT_ONCE, Failure.WATCH_LOST, Failure.WATCH_CUT):
        assert max(pauses(failure, 100)) <= TOLD_AFTER - 2.0  # s that the next call may wait in turn


def test_a_call_that_succeeds_starts_anew() -> None:
    backoff = Backoff(Most())
    for _ in range(4):
        backoff.failed(Failure.WAITED)
    backoff.succeeded()
    assert backoff.failed(Failure.WAITED) == CROWDED.first


@pytest.mark.parametrize("failure", list(Failure))
def test_pauses_differ_from_one_instance_to_the_next(failure: Failure) -> None:
    kind = PAUSES[failure]
    first = [Backoff(Random(seed)).failed(failure) for seed in range(50)]
    assert all(kind.first * kind.least_share <= pause <= kind.first for pause in first)
    assert max(first) - min(first) > 0.8 * (1 - kind.least_share) * kind.first


@pytest.mark.parametrize("must_ask_within, most", [(10.0, 40.0), (3.0, 12.0), (60.0, LONGEST_PAUSE)])
def test_an_instance_asks_again_later_after_each_failure_but_within_its_bound(
    must_ask_within: float, most: float
) -> None:
    """It counts as told if it goes without asking for four times the settings' time after a failed call."""
    made = Driver(settings(ask_for_list=True, must_ask_within=must_ask_within))
    made.wait(3.0)
    waits = []
    for _ in range(30):
        made.feed(ServerList(ListKind.FAILED, failure=Failure.WAITED))
        failed_at = made.now
        while not any(isinstance(action, Watch) for action in made.wait(0.05)):
            pass
        waits.append(made.now - failed_at)
    assert waits[0] <= CROWDED.first + 0.1
    assert max(waits) <= most + 0.1
    assert max(waits[15:]) >= most * 0.6


def test_the_kind_of_a_failure_is_told_from_its_time_where_nothing_else_tells_it() -> None:
    """As in the simulator."""
    made = Driver(settings(ask_for_list=True))
    while not any(isinstance(action, Watch) for action in made.wait(0.05)):
        pass
    made.feed(ServerList(ListKind.FAILED))
    failed_at = made.now
    while not any(isinstance(action, Watch) for action in made.wait(0.05)):
        pass
    assert made.now - failed_at <= TURNED_AWAY.first + 0.1
