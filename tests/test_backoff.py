"""The pause after a failed call, compared with values that were calculated by hand."""

from __future__ import annotations

from collections import Counter
from itertools import pairwise
from random import Random

import pytest
from helpers import Driver, settings

from granitepoint import ListKind, ServerList, Watch
from granitepoint.membership.backoff import (
    CONSTANT_ROUNDS,
    MAX_PAUSE,
    MIN_MAX_ROUND_LENGTH,
    MIN_ROUND_LENGTH,
    OVERLOADED,
    PAUSE_POLICIES,
    REJECTED,
    UNREACHABLE,
    Backoff,
)
from granitepoint.membership.evidence import Failure
from granitepoint.membership.list_lease import NOTIFIED_AFTER


class MaximumRandom(Random):
    """Always returns the upper bound, for which the pause is longest."""

    def random(self) -> float:
        return 1.0


def pauses(failure: Failure, count: int) -> list[float]:
    """The pauses between calls that fail as soon as they are made."""
    backoff, now, results = Backoff(MaximumRandom()), 0.0, []
    for _ in range(count):
        results.append(backoff.failed(failure, now))
        now += results[-1]
    return results


def call_starts(backoff: Backoff, count: int, waited: float = 2.0) -> list[float]:
    """The start times, in s after the loss, of calls that are queued and fail; the first starts at the
    loss."""
    now, results = 0.0, [0.0]
    for _ in range(count):
        results.append(now + waited + backoff.failed(Failure.WAITED, now + waited))
        now = results[-1]
    return results


def test_the_pause_after_queued_calls_grows_to_the_maximum_if_the_service_time_is_unknown() -> None:
    """Prevents congestion collapse: calls may arrive faster than a service of any speed can answer them."""
    results = pauses(Failure.WAITED, 2000)
    assert results[1 : CONSTANT_ROUNDS + 1] == pytest.approx([MIN_ROUND_LENGTH] * CONSTANT_ROUNDS)
    assert results[CONSTANT_ROUNDS + 2] > MIN_ROUND_LENGTH and results[-1] == pytest.approx(MAX_PAUSE)
    assert pauses(Failure.SILENT, 2) == pauses(Failure.WAITED, 2)


@pytest.mark.parametrize(
    ("instances", "service_time", "maximum"),
    [(200, 0.001, MIN_MAX_ROUND_LENGTH), (200, 0.04, 16.0), (20, 0.3, 12.0)],
)
def test_after_a_long_outage_the_next_call_is_made_as_soon_as_discovery_can_answer_all(
    instances: int, service_time: float, maximum: float
) -> None:
    """Whatever the number of failures, the service may only have been down, and all need an answer soon."""
    backoff = Backoff(MaximumRandom(), instances=instances)
    backoff.succeeded(2.0)  # the call was queued, so the time is only an upper bound
    backoff.succeeded(service_time)
    starts = call_starts(backoff, 40)
    spacings = [next_start - start for start, next_start in pairwise(starts)]
    assert (
        max(spacings) == pytest.approx(maximum) and max(spacings[:CONSTANT_ROUNDS]) < MIN_ROUND_LENGTH + 2.0
    )
    backoff.succeeded(None)  # an answer of unknown service time does not reset the estimate
    assert backoff.max_round_length == pytest.approx(maximum)


@pytest.mark.parametrize("instances", [20, 60, 200, 880])
def test_failing_calls_arrive_evenly_for_any_number_of_instances_and_at_any_moment(instances: int) -> None:
    """Without a fixed phase the instances did not stay evenly spread, and in some seconds nobody called."""
    starts: list[float] = []
    for number in range(instances):
        phase = number * 0.6180339887498949 % 1.0
        starts += call_starts(Backoff(Random(number), instances=instances, phase=phase), CONSTANT_ROUNDS)[1:]
    counts = Counter(int(moment / 0.5) for moment in starts if 3.0 <= moment < 9.0)
    expected = instances * 0.5 / MIN_ROUND_LENGTH
    assert all(0.5 * expected - 1 <= counts[half] <= 1.8 * expected + 2 for half in range(6, 18)), counts


def test_the_first_calls_after_a_failure_start_no_further_apart_than_the_minimum_round() -> None:
    """Except for the first call, which may have been made right before the instance's phase of the round."""
    for seed in range(50):
        starts = call_starts(Backoff(Random(seed)), CONSTANT_ROUNDS)
        assert starts[1] <= MIN_ROUND_LENGTH + 2.0
        assert [next_start - start for start, next_start in pairwise(starts[1:])] == pytest.approx(
            [MIN_ROUND_LENGTH]
        )


def test_the_pause_after_a_refused_connection_stays_short_however_many_there_were() -> None:
    assert pauses(Failure.REFUSED, 2000)[-1] == UNREACHABLE.maximum == 1.0


def test_a_pause_after_a_proof_is_shorter_than_the_lease_that_the_proof_gives() -> None:
    """A pause of up to 10 s after a refused call outlasted the 6 s until a proxy counts as notified."""
    for failure in (Failure.REFUSED, Failure.IMMEDIATE, Failure.WATCH_LOST):
        assert max(pauses(failure, 100)) <= NOTIFIED_AFTER - 2.0  # s that the next call may be queued


def test_a_successful_call_resets_the_backoff() -> None:
    backoff = Backoff(MaximumRandom())
    for _ in range(4):
        backoff.failed(Failure.WAITED, 0.0)
    backoff.succeeded()
    assert backoff.failed(Failure.WAITED, 7.0) <= OVERLOADED.first
    assert backoff.failed(Failure.WAITED, 12.0) <= OVERLOADED.first


@pytest.mark.parametrize("failure", list(Failure))
def test_pauses_differ_from_one_instance_to_the_next(failure: Failure) -> None:
    policy = PAUSE_POLICIES[failure]
    first = [Backoff(Random(seed)).failed(failure, 0.0) for seed in range(50)]
    assert all(policy.first * policy.min_fraction <= pause <= policy.first for pause in first)
    assert max(first) - min(first) > 0.8 * (1 - policy.min_fraction) * policy.first


@pytest.mark.parametrize("must_ask_within, maximum", [(10.0, 40.0), (3.0, 12.0), (60.0, MAX_PAUSE)])
def test_an_instance_waits_longer_after_each_failure_but_no_longer_than_its_bound(
    must_ask_within: float, maximum: float
) -> None:
    """After a failed call an instance may go without another one for four times `must_ask_within`: from then
    on it counts as notified."""
    driver = Driver(settings(ask_for_list=True, must_ask_within=must_ask_within))
    driver.wait(3.0)
    waits = []
    for _ in range(30):
        driver.feed(ServerList(ListKind.FAILED, failure=Failure.WAITED))
        failed_at = driver.now
        while not any(isinstance(action, Watch) for action in driver.wait(0.05)):
            pass
        waits.append(driver.now - failed_at)
    assert waits[0] <= OVERLOADED.first + 0.1
    assert max(waits) <= maximum + 0.1
    assert max(waits[15:]) >= maximum * 0.6


def test_without_a_stated_failure_its_kind_is_derived_from_the_duration_of_the_call() -> None:
    """The simulator states no kind."""
    driver = Driver(settings(ask_for_list=True))
    while not any(isinstance(action, Watch) for action in driver.wait(0.05)):
        pass
    driver.feed(ServerList(ListKind.FAILED))
    failed_at = driver.now
    while not any(isinstance(action, Watch) for action in driver.wait(0.05)):
        pass
    assert driver.now - failed_at <= REJECTED.first + 0.1
