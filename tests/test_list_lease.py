"""The lease on the list: what it relies on, each broken by a test, and the rule itself over drawn histories.

What was wrong before stands in test_stale_lists.py: evidence of one thing was used as proof of another.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from itertools import accumulate

import pytest
from helpers import Driver, entries, sends, settings
from hypothesis import HealthCheck, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from granitepoint import DiscoveryFailed, ListKind, Refuse, ServerList, Watch, WatchLost, WatchOpened
from granitepoint.membership.evidence import MAX_QUEUE_TIME, MIN_QUEUE_TIME, Failure, classify
from granitepoint.membership.list_lease import (
    GRACE_MARGIN,
    MAX_WATCH_GAP,
    NOTIFIED_AFTER,
    NOTIFIED_AFTER_HOLD,
    NOTIFIED_AFTER_MOVE,
    ListLease,
)
from granitepoint.net.discovery_channel import tell_failure

DRAIN_GRACE, MAX_PROCESS_DELAY = 0.3, 0.15  # s of a drain on sockets; s that a process may stand between clock and write
HOLD = 25.0


def lease_after_list(at: float = 100.0) -> ListLease:
    lease = ListLease(NOTIFIED_AFTER)
    lease.on_list(at, at)
    return lease


def test_the_lease_and_a_hold_up_of_the_process_fit_into_the_grace() -> None:
    assert lease_after_list().expires_at + MAX_PROCESS_DELAY < 100.0 + NOTIFIED_AFTER + DRAIN_GRACE
    assert ListLease(NOTIFIED_AFTER).expires_at == -math.inf  # a new process knows of no time
    assert ListLease(math.inf).expires_at == math.inf


@pytest.mark.parametrize("failure", [Failure.WAITED, Failure.SILENT, Failure.LOCAL_ERROR, Failure.IMMEDIATE])
def test_what_is_no_proof_moves_nothing(failure: Failure) -> None:
    lease = lease_after_list()
    for started_at in (101.0, 103.0, 105.0):
        lease.on_failure(failure, started_at, started_at + 1.0)
    assert lease.expires_at == 100.0 + NOTIFIED_AFTER + GRACE_MARGIN


def test_a_refused_connection_is_proof_as_of_when_the_call_began() -> None:
    """Discovery may have come up between the refusal and the moment at which it was read."""
    lease = lease_after_list()
    lease.on_failure(Failure.REFUSED, 104.0, 104.9)
    assert lease.expires_at == 104.0 + NOTIFIED_AFTER + GRACE_MARGIN


def test_a_call_turned_away_at_once_proves_nothing_even_where_discovery_was_seen_to_go_down() -> None:
    """It may be back, tell others, and turn this one away. A crowded one did so: 48 of 100 proxies
    got a 503 within 0.01 s on their first call."""
    lease = lease_after_list()
    lease.on_watch_opened(100.0, HOLD)
    lease.on_failure(Failure.WATCH_LOST, 100.0, 110.0)
    lease.on_failure(Failure.IMMEDIATE, 111.0, 111.0)
    assert lease.expires_at == 110.0 + NOTIFIED_AFTER + GRACE_MARGIN


def test_a_lease_that_has_ended_comes_back_with_a_list_alone() -> None:
    """What counted as told while calls waited does not become untold when discovery goes away."""
    lease = lease_after_list()
    lease.on_failure(Failure.WAITED, 101.0, 103.0)
    lease.on_failure(Failure.REFUSED, 106.5, 106.5)
    assert lease.expires_at == 100.0 + NOTIFIED_AFTER + GRACE_MARGIN
    new_process = ListLease(NOTIFIED_AFTER)
    new_process.on_failure(Failure.REFUSED, 100.0, 100.0)
    assert not new_process.valid(100.0)


def test_a_watch_counts_only_where_it_goes_on_with_one_that_was_answered() -> None:
    """Another call may wait its turn, and what changes meanwhile is told to nobody."""
    lease = lease_after_list()
    lease.on_watch_opened(100.0 + MAX_WATCH_GAP + 0.01, HOLD)
    assert lease.expires_at == 100.0 + NOTIFIED_AFTER + GRACE_MARGIN
    lease.on_watch_opened(100.0, HOLD)
    assert lease.expires_at == 100.0 + HOLD + NOTIFIED_AFTER_HOLD + GRACE_MARGIN


def test_a_watch_that_falls_silent_is_trusted_no_longer_than_what_it_misses_goes_untold() -> None:
    lease = lease_after_list()
    lease.on_watch_opened(100.0, HOLD)
    lease.on_silence(118.0)
    assert lease.expires_at == 118.0 + NOTIFIED_AFTER + GRACE_MARGIN < 100.0 + HOLD + NOTIFIED_AFTER_HOLD
    lease.on_failure(Failure.WAITED, 118.0, 120.0, older_call_open=True)
    assert lease.valid(119.0) and not lease.valid(124.2)


def test_a_watch_cut_soon_after_it_began_proves_nothing_for_its_time() -> None:
    """It may have waited its turn to tell of a change."""
    lease = lease_after_list()
    lease.on_watch_opened(100.0, HOLD)
    lease.on_failure(Failure.WATCH_CUT, 100.0, 101.0)
    assert lease.expires_at == 100.0 + NOTIFIED_AFTER + GRACE_MARGIN


def test_a_late_answer_on_an_older_watch_does_not_end_the_newer_one() -> None:
    lease = lease_after_list()
    lease.on_watch_opened(100.0, HOLD)
    lease.on_list(101.0, 101.0, ends_watch=False)
    assert lease.expires_at == 100.0 + HOLD + NOTIFIED_AFTER_HOLD + GRACE_MARGIN


def test_after_a_move_a_list_is_used_until_what_the_new_address_has_counts_as_told() -> None:
    """Servers that had left got requests for up to 20 s: health checks alone told who left."""
    lease = lease_after_list()
    lease.on_watch_opened(100.0, HOLD)
    lease.on_move(110.0)
    assert lease.expires_at == 110.0 + NOTIFIED_AFTER_MOVE + GRACE_MARGIN
    for failure in Failure:  # nothing but a list of the new address is proof of what it has
        lease.on_failure(failure, 111.0, 113.0)
    assert lease.expires_at == 110.0 + NOTIFIED_AFTER_MOVE + GRACE_MARGIN
    lease.on_list(113.5, 113.9)
    lease.on_watch_opened(113.9, HOLD)
    assert lease.expires_at == 113.9 + HOLD + NOTIFIED_AFTER_HOLD + GRACE_MARGIN


def test_moves_in_a_row_give_no_more_time_and_bring_back_no_lease_that_has_ended() -> None:
    lease = lease_after_list()
    lease.on_watch_opened(100.0, HOLD)
    for at in (101.0, 103.0, 104.9):
        lease.on_move(at)
    assert lease.expires_at == 101.0 + NOTIFIED_AFTER_MOVE + GRACE_MARGIN
    ended_lease = lease_after_list()
    ended_lease.on_move(107.0)
    assert not ended_lease.valid(107.0)
    moved_without_watch = lease_after_list()
    moved_without_watch.on_move(104.0)  # without a watch, what went untold before the move counts as told when it did
    assert moved_without_watch.expires_at == 100.0 + NOTIFIED_AFTER + GRACE_MARGIN


def test_a_list_of_the_new_address_covers_what_it_had_then_and_no_more() -> None:
    """What comes after that counts as told with all else of that address, unless a watch tells it."""
    lease = lease_after_list()
    lease.on_move(101.0)
    lease.on_list(101.5, 101.6)
    assert lease.expires_at == 101.0 + NOTIFIED_AFTER_MOVE + GRACE_MARGIN
    lease.on_watch_opened(101.6, HOLD)
    assert lease.expires_at == 101.6 + HOLD + NOTIFIED_AFTER_HOLD + GRACE_MARGIN
    lease.on_failure(Failure.WATCH_LOST, 101.6, 104.8)
    assert lease.expires_at == 101.0 + NOTIFIED_AFTER_MOVE + GRACE_MARGIN
    lease.on_list(105.0, 105.1)
    assert lease.expires_at == 105.0 + NOTIFIED_AFTER + GRACE_MARGIN


def test_where_lists_are_pushed_a_move_leaves_its_time_too() -> None:
    lease = ListLease(notified_after=0.0)
    lease.on_list(100.0, 100.0)
    lease.on_watch_opened(100.0, HOLD)
    lease.on_move(105.0)
    lease.on_failure(Failure.WAITED, 105.0, 107.0)
    assert lease.expires_at == 105.0 + NOTIFIED_AFTER_MOVE + GRACE_MARGIN


def test_pushed_lists_are_used_while_the_watch_goes_on_and_not_a_moment_beyond() -> None:
    lease = ListLease(notified_after=0.0)
    lease.on_list(100.0, 100.0)
    lease.on_watch_opened(100.0, HOLD)
    assert lease.valid(110.0)
    lease.on_failure(Failure.WATCH_LOST, 100.0, 110.0)
    assert lease.expires_at == 110.0 + GRACE_MARGIN


@pytest.mark.parametrize(
    ("error", "asked", "waited", "continued", "failure"),
    [
        (ConnectionRefusedError(), False, 0.0, False, Failure.REFUSED),
        (TimeoutError(), True, 4.0, False, Failure.SILENT),
        (OSError(24, "EMFILE"), False, 0.0, False, Failure.LOCAL_ERROR),
        (OSError(101, "ENETUNREACH"), False, 0.0, False, Failure.LOCAL_ERROR),
        (OSError(113, "EHOSTUNREACH"), True, 9.0, True, Failure.SILENT),
        (ConnectionResetError(), True, 9.0, True, Failure.WATCH_LOST),
        (ConnectionResetError(), True, 2.9, True, Failure.WAITED),
        (ConnectionResetError(), True, 2.0, True, Failure.WAITED),
        (ConnectionResetError(), True, 9.0, False, Failure.WAITED),
        (ValueError("status 503"), True, 0.01, True, Failure.IMMEDIATE),
        (ValueError("status 503"), True, 0.6, True, Failure.WATCH_CUT),
        (ValueError("status 503"), True, 2.0, False, Failure.WAITED),
        (ValueError("malformed"), True, 3.5, False, Failure.WAITED),
    ],
)
def test_what_the_end_of_a_call_is_evidence_of(
    error: Exception, asked: bool, waited: float, continued: bool, failure: Failure
) -> None:
    assert tell_failure(error, asked, waited, continued) is failure


def test_a_watch_whose_answer_before_had_not_waited_was_held_sooner() -> None:
    """On a day of 60 proxies 24 watches that ended after 2 to 3 s were taken for calls in turn: their lists
    ran out 3 s early. A call in turn has failed by then, also where its end is seen half a second late."""
    waits = (1.0, 2.0, 2.4, 2.6, 2.9, 3.1)
    after_short_queue = [classify(waited, continued=True, short_queue=True) for waited in waits]
    assert after_short_queue == [Failure.WATCH_CUT] + [Failure.WAITED] * 2 + [Failure.WATCH_LOST] * 3
    after_queued_answer = [classify(waited, continued=True) for waited in waits]
    assert after_queued_answer == [Failure.WATCH_CUT] + [Failure.WAITED] * 4 + [Failure.WATCH_LOST]
    assert Failure.WATCH_LOST not in [classify(waited, continued=False, short_queue=True) for waited in waits]


def asking_driver(**changes: object) -> Driver:
    setup = settings(
        ask_for_list=True, notified_after=NOTIFIED_AFTER, may_advise_wait=True, max_wait_advice=2.0, **changes
    )
    return Driver(setup, servers=entries(1, 2))


def test_without_a_lease_a_request_waits_for_a_part_of_its_time_and_is_refused_with_advice() -> None:
    driver = asking_driver()
    assert sends(driver.arrive(1)) == []
    assert not any(isinstance(action, Refuse) for action in driver.wait(0.7))
    (refusal,) = (action for action in driver.wait(0.2) if isinstance(action, Refuse))
    assert refusal.retry_after > 0


def test_a_request_that_waits_is_sent_once_a_list_comes() -> None:
    driver = asking_driver()
    driver.arrive(1)
    assert [send.call for send in sends(driver.feed(ServerList(ListKind.INCREMENTAL)))] == [1]


def test_where_no_list_can_come_in_time_a_request_is_refused_at_once() -> None:
    driver = asking_driver()
    driver.wait(1.0)
    driver.feed(ServerList(ListKind.FAILED, failure=Failure.WAITED))
    driver.balancer.watch_at = driver.now + 5.0
    assert any(isinstance(action, Refuse) for action in driver.arrive(1, budget=1.0))


def test_a_call_that_may_have_run_is_not_refused_for_want_of_a_list() -> None:
    driver = asking_driver()
    driver.feed(ServerList(ListKind.INCREMENTAL))
    driver.arrive(1, "once")
    actions = driver.wait(NOTIFIED_AFTER + 1.0)
    assert not any(isinstance(action, Refuse) for action in actions)


# -- the rule over drawn histories ----------------------------------------------------------------------
# The last two: it tells others, and lets this one wait in vain, or turns it away at once.
MODES = ["answering", "refusing", "failing at once", "failing late", "silent", "crowded", "shedding"]
HINDERING_MODES = ("failing at once", "failing late", "silent", "crowded", "shedding")
UNREACHABLE_MODES = ("refusing",)
TIME_STEP = 0.05
QUEUE_TIME = 2.0  # s that a call waits before it fails
SILENCE_TIMEOUT = 6.0  # s after which a silent call is given up
WATCH_RENEWAL_TIME = 18.0  # s after which a watch is asked anew


class History:
    """Discovery in one mode after another, changes of the list at drawn times, and one instance."""

    def __init__(self, modes: Sequence[tuple[str, float]], changes: Sequence[float], restart: float) -> None:
        self.modes, self.changes, self.restart = modes, sorted(changes), restart
        self.end = sum(duration for _, duration in modes)
        self.restarted = False
        self.start_instance(100.0, 0)

    def __repr__(self) -> str:
        return f"History({self.modes}, {self.changes}, {self.restart})"

    def start_instance(self, now: float, received_changes: int) -> None:
        self.driver = asking_driver()
        self.driver.now = now
        self.driver.timers = [(now, token) for _, token in self.driver.timers]
        self.received_changes = received_changes  # changes that it has been told of
        self.hindered = True  # until its first list: a call waited, was turned away, or heard nothing
        self.call: tuple[float, str, bool] | None = None  # begun, mode at its begin, whether it is a watch

    def mode_at(self, t: float) -> str:
        for mode, duration in self.modes:
            if t < duration:
                return mode
            t -= duration
        return "answering"

    def notified_at(self, change: float) -> float:
        """Six seconds on end in which discovery had it and could be reached."""
        since, t = change, change
        while t < self.end + 20.0:
            if self.mode_at(t) in UNREACHABLE_MODES:
                since = t + TIME_STEP
            elif t - since >= NOTIFIED_AFTER:
                return t
            t += TIME_STEP
        return math.inf

    def changes_until(self, t: float) -> int:
        return sum(change <= t for change in self.changes)

    def run(self) -> None:
        notified_times = [self.notified_at(change) for change in self.changes]
        for step in range(int(self.end / TIME_STEP)):
            t = step * TIME_STEP
            if self.restart_due(t):
                self.start_instance(100.0 + t, min(self.received_changes, self.changes_until(t)))
            for action in self.driver.wait(100.0 + t - self.driver.now):
                if isinstance(action, Watch) and self.call is None:
                    self.call = t, self.mode_at(t), False
            self.hindered = self.hindered or self.mode_at(t) in HINDERING_MODES
            self._continue_call(t)
            usable = self.driver.balancer.list_lease.valid(100.0 + t)
            missed_changes = [at for at in notified_times[self.received_changes :] if at + DRAIN_GRACE < t]
            assert not (missed_changes and usable), f"sent at {t} by a list that missed what was told at {missed_changes}"
            assert usable or self.hindered, f"refused at {t} with neither a wait nor silence"

    def restart_due(self, t: float) -> bool:
        due = not self.restarted and t >= self.restart
        self.restarted = self.restarted or due
        return due

    def _continue_call(self, t: float) -> None:
        if self.call is None:
            return
        started_at, initial_mode, watch = self.call
        mode, now = self.mode_at(t), 100.0 + t
        waited = t - started_at
        if initial_mode == "silent" or (watch and mode == "silent"):
            self.call = (started_at, "silent", watch)
            self.hindered = True
            if waited >= SILENCE_TIMEOUT:
                self._fail(Failure.SILENT, started_at, now)
        elif watch:
            if mode in ("refusing", "failing at once", "failing late"):
                self.hindered = self.hindered or MIN_QUEUE_TIME <= waited <= MAX_QUEUE_TIME
                self._fail(classify(waited, continued=True), started_at, now)
            elif self.changes_until(t) > self.received_changes or waited >= WATCH_RENEWAL_TIME:
                self._receive_list(t)
        elif initial_mode == "refusing":
            self._fail(Failure.REFUSED, started_at, now)
        elif initial_mode in ("failing at once", "shedding"):
            self._fail(Failure.IMMEDIATE, started_at, now)
        elif initial_mode in ("failing late", "crowded"):
            self.hindered = True
            if waited >= QUEUE_TIME:
                self._fail(Failure.WAITED, started_at, now)
        else:
            self._receive_list(t)

    def _fail(self, failure: Failure, started_at: float, now: float) -> None:
        self.call = None
        self.driver.feed(
            WatchLost(),
            DiscoveryFailed(failure, 100.0 + started_at, now),
            ServerList(ListKind.FAILED, failure=failure),
        )

    def _receive_list(self, t: float) -> None:
        self.received_changes = self.changes_until(t)
        self.hindered = False
        started_at = 100.0 + t
        self.call = t, "answering", True
        self.driver.feed(ServerList(ListKind.INCREMENTAL, written_after=started_at), WatchOpened(started_at, HOLD))


@st.composite
def histories(draw: st.DrawFn) -> History:
    """Changes lie where the modes change, give or take some seconds."""
    duration = st.sampled_from([0.1, 0.3, 0.7, 1.5, 3.0, 7.0, 12.0, 20.0])
    drawn = draw(st.lists(st.tuples(st.sampled_from(MODES), duration), min_size=1, max_size=5))
    modes = [("answering", draw(st.sampled_from([1.0, 6.0]))), *drawn, ("answering", 9.0)]
    borders = list(accumulate(duration for _, duration in modes))
    near = st.tuples(st.sampled_from(borders), st.floats(-1.0, 3.0)).map(lambda at: max(0.1, sum(at)))
    return History(modes, draw(st.lists(near, min_size=1, max_size=4)), draw(near))


@given(history=histories())
@hypothesis_settings(max_examples=250, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
def test_nothing_is_sent_late_and_nothing_refused_without_wait_or_silence(history: History) -> None:
    """Whatever discovery does: no send later than told and grace, and while since the last list no call has
    waited, was turned away by a discovery that others reach, or heard nothing, the list may be used."""
    history.run()
