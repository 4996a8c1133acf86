"""The lease on the list: each assumption that it makes, and its rule under random histories of discovery.

test_stale_lists.py guards against the failure that led to the lease: something was taken as proof that the
list was current although it proved something else.
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
from granitepoint.membership.evidence import MIN_QUEUE_TIME, Failure, classify
from granitepoint.membership.list_lease import (
    GRACE_MARGIN,
    MAX_PROCESS_DELAY,
    MAX_WATCH_GAP,
    NOTIFIED_AFTER,
    NOTIFIED_AFTER_HOLD,
    ListLease,
)
from granitepoint.membership.move_deadlines import NOTIFIED_AFTER_MOVE
from granitepoint.net.discovery import HOLD_MS
from granitepoint.net.discovery_channel import classify_failure

DRAIN_GRACE = 0.3  # s of the grace period of a drain, with the slack of 50 ms on sockets
HOLD = 25.0  # s for which discovery holds a watch


def lease_after_list(at: float = 100.0) -> ListLease:
    """A lease whose list was written and received at `at`."""
    lease = ListLease(NOTIFIED_AFTER)
    lease.on_list(at, at)
    return lease


def test_the_lease_and_a_delay_of_the_process_fit_into_the_grace_period() -> None:
    assert lease_after_list().expires_at + MAX_PROCESS_DELAY < 100.0 + NOTIFIED_AFTER + DRAIN_GRACE
    assert ListLease(NOTIFIED_AFTER).expires_at == -math.inf  # a new process has no proof
    assert ListLease(math.inf).expires_at == math.inf


@pytest.mark.parametrize("grace", [0.0, 0.1, 0.2, 0.25, 2.0])
def test_the_lease_outlasts_the_notification_by_no_more_than_the_grace_that_the_settings_give(
    grace: float,
) -> None:
    """Guards against requests to draining servers where the grace is short: the setting was not used."""
    driver = asking_driver(drain_grace=grace)
    driver.feed(ServerList(ListKind.INCREMENTAL, written_after=driver.now))
    margin = driver.balancer.list_lease.expires_at - driver.now - NOTIFIED_AFTER
    assert 0 <= margin <= max(0.0, grace - MAX_PROCESS_DELAY) + 1e-9
    assert margin == pytest.approx(GRACE_MARGIN) or grace < 0.25


@pytest.mark.parametrize("failure", [Failure.WAITED, Failure.SILENT, Failure.LOCAL_ERROR, Failure.IMMEDIATE])
def test_a_failure_that_proves_nothing_does_not_extend_the_lease(failure: Failure) -> None:
    lease = lease_after_list()
    for started_at in (101.0, 103.0, 105.0):
        lease.on_failure(failure, started_at, started_at + 1.0)
    assert lease.expires_at == 100.0 + NOTIFIED_AFTER + GRACE_MARGIN


def test_a_refused_connection_is_proof_up_to_the_start_of_the_call() -> None:
    """Discovery may have started between the refusal and the moment at which it was noticed."""
    lease = lease_after_list()
    lease.on_failure(Failure.REFUSED, 104.0, 104.9)
    assert lease.expires_at == 104.0 + NOTIFIED_AFTER + GRACE_MARGIN


def test_a_call_that_is_rejected_at_once_proves_nothing_even_after_the_watch_was_lost() -> None:
    """Discovery may be back and send changes to others while it rejects this call. An overloaded one did so:
    48 of 100 proxies got a 503 within 0.01 s on their first call."""
    lease = lease_after_list()
    lease.on_watch_opened(100.0, HOLD)
    lease.on_failure(Failure.WATCH_LOST, 100.0, 104.0)
    lease.on_failure(Failure.IMMEDIATE, 105.0, 105.0)
    assert lease.expires_at == 100.0 + NOTIFIED_AFTER + GRACE_MARGIN


def test_only_a_list_renews_a_lease_that_has_ended() -> None:
    """Changes of which the proxy counted as notified while its calls were queued still count after discovery
    went down."""
    lease = lease_after_list()
    lease.on_failure(Failure.WAITED, 101.0, 103.0)
    lease.on_failure(Failure.REFUSED, 106.5, 106.5)
    assert lease.expires_at == 100.0 + NOTIFIED_AFTER + GRACE_MARGIN
    new_process = ListLease(NOTIFIED_AFTER)
    new_process.on_failure(Failure.REFUSED, 100.0, 100.0)
    assert not new_process.valid(100.0)


def test_a_watch_extends_the_lease_only_if_it_continues_one_that_was_answered() -> None:
    """Any other call may be queued, and the changes during that time are missed."""
    lease = lease_after_list()
    lease.on_watch_opened(100.0 + MAX_WATCH_GAP + 0.01, HOLD)
    assert lease.expires_at == 100.0 + NOTIFIED_AFTER + GRACE_MARGIN
    lease.on_watch_opened(100.0, HOLD)
    assert lease.expires_at == 100.0 + HOLD + NOTIFIED_AFTER_HOLD + GRACE_MARGIN


def test_a_silent_watch_extends_the_lease_only_until_changes_that_it_missed_count_as_known() -> None:
    lease = lease_after_list()
    lease.on_watch_opened(100.0, HOLD)
    lease.on_silence(118.0)
    assert lease.expires_at == 118.0 + NOTIFIED_AFTER + GRACE_MARGIN < 100.0 + HOLD + NOTIFIED_AFTER_HOLD
    lease.on_failure(Failure.WAITED, 118.0, 120.0)
    assert lease.valid(119.0) and not lease.valid(124.2)


def test_an_outage_does_not_extend_the_lease_beyond_what_a_silent_watch_may_have_missed() -> None:
    """A silent watch can't be told from one that has nothing to tell, also when it ends. What it missed
    counts as known 2 s after the end of its hold, though discovery can't be reached by then."""
    lease = lease_after_list()
    lease.on_watch_opened(100.0, HOLD)
    lease.on_failure(Failure.WATCH_LOST, 100.0, 117.0)
    for called_at in (118.0, 121.0, 124.0):
        lease.on_failure(Failure.REFUSED, called_at, called_at)
    assert lease.expires_at <= 100.0 + HOLD + NOTIFIED_AFTER_HOLD + GRACE_MARGIN


@pytest.mark.parametrize("failure", list(Failure))
@pytest.mark.parametrize("ended_at", [100.1, 103.0, 105.9])
def test_after_the_end_of_a_watch_the_list_is_used_no_longer_than_without_one(
    failure: Failure, ended_at: float
) -> None:
    """Guards against requests to draining servers: a watch fell silent, servers began to drain, and then
    discovery went down. The end of the watch and each refused call were taken as proof that the list was
    current, so it was used all through the outage."""
    lease = lease_after_list()
    lease.on_watch_opened(100.0, HOLD)
    lease.on_failure(failure, 100.0, ended_at)
    for called_at in (104.0, 105.0, 106.0):
        lease.on_failure(Failure.REFUSED, called_at, called_at)
    assert lease.expires_at == 100.0 + NOTIFIED_AFTER + GRACE_MARGIN


def test_a_watch_that_ends_late_ends_the_lease_at_once() -> None:
    """By then discovery may have had a change for NOTIFIED_AFTER that the watch missed."""
    lease = lease_after_list()
    lease.on_watch_opened(100.0, HOLD)
    lease.on_failure(Failure.WATCH_LOST, 100.0, 117.0)
    assert lease.expires_at == 117.0 + GRACE_MARGIN


def test_a_watch_that_is_cut_soon_after_its_start_proves_nothing() -> None:
    """The answer with a change may have been queued."""
    lease = lease_after_list()
    lease.on_watch_opened(100.0, HOLD)
    lease.on_failure(Failure.WATCH_LOST, 100.0, 101.0)
    assert lease.expires_at == 100.0 + NOTIFIED_AFTER + GRACE_MARGIN


def test_a_late_answer_on_an_older_watch_does_not_end_the_newer_one() -> None:
    lease = lease_after_list()
    lease.on_watch_opened(100.0, HOLD)
    lease.on_list(101.0, 101.0, answers_newest_call=False)
    assert lease.expires_at == 100.0 + HOLD + NOTIFIED_AFTER_HOLD + GRACE_MARGIN


def test_after_a_move_the_old_list_is_used_until_the_changes_at_the_new_address_count_as_known() -> None:
    """Servers that had left the list got requests for up to 20 s when only health checks showed who left."""
    lease = lease_after_list()
    lease.on_watch_opened(100.0, HOLD)
    lease.on_move(110.0)
    assert lease.expires_at == 110.0 + NOTIFIED_AFTER_MOVE + GRACE_MARGIN
    for failure in Failure:  # only a list from the new address is proof
        lease.on_failure(failure, 111.0, 113.0)
    assert lease.expires_at == 110.0 + NOTIFIED_AFTER_MOVE + GRACE_MARGIN
    lease.on_list(113.5, 113.9)
    lease.on_watch_opened(113.9, HOLD)
    assert lease.expires_at == 110.0 + NOTIFIED_AFTER_MOVE + GRACE_MARGIN
    lease.on_list(114.0, 114.0)
    lease.on_watch_opened(114.0, HOLD)
    assert lease.expires_at == 114.0 + HOLD + NOTIFIED_AFTER_HOLD + GRACE_MARGIN


def test_an_open_watch_does_not_postpone_the_deadline_of_a_move() -> None:
    """Guards against requests to draining servers after SIGHUP: the watch that was opened at the new address
    had fallen silent, and its hold of 25 s was taken for the time until its silence counts. Requests went to
    a draining server for up to 13 s after the proxy counted as notified."""
    lease = lease_after_list()
    lease.on_move(101.0)
    lease.on_list(101.1, 101.2)
    lease.on_watch_opened(101.2, HOLD)
    assert lease.expires_at == 101.0 + NOTIFIED_AFTER_MOVE + GRACE_MARGIN
    lease.on_silence(105.3)
    assert not lease.valid(105.3)
    lease.on_list(105.3, 105.4)
    assert lease.valid(105.4)


def test_a_second_move_leaves_the_deadline_of_the_first_one_in_force() -> None:
    """Whatever discovery has 4 s after the first signal counts by then, at whichever address it is."""
    lease = lease_after_list()
    for moved_at in (101.0, 103.0):
        lease.on_move(moved_at)
        lease.on_list(moved_at + 0.1, moved_at + 0.1)
        lease.on_watch_opened(moved_at + 0.1, HOLD)
        assert lease.expires_at == 101.0 + NOTIFIED_AFTER_MOVE + GRACE_MARGIN
    lease.on_list(105.0, 105.0)
    lease.on_watch_opened(105.0, HOLD)
    assert lease.expires_at == 103.0 + NOTIFIED_AFTER_MOVE + GRACE_MARGIN
    lease.on_list(107.0, 107.0)
    lease.on_watch_opened(107.0, HOLD)
    assert lease.expires_at == 107.0 + HOLD + NOTIFIED_AFTER_HOLD + GRACE_MARGIN


def test_repeated_moves_neither_extend_the_time_nor_renew_a_lease_that_has_ended() -> None:
    lease = lease_after_list()
    lease.on_watch_opened(100.0, HOLD)
    for at in (101.0, 103.0, 104.9):
        lease.on_move(at)
    assert lease.expires_at == 101.0 + NOTIFIED_AFTER_MOVE + GRACE_MARGIN
    ended_lease = lease_after_list()
    ended_lease.on_move(107.0)
    assert not ended_lease.valid(107.0)
    moved_without_watch = lease_after_list()
    # Without a watch, changes missed before the move count as known as early as without the move.
    moved_without_watch.on_move(104.0)
    assert moved_without_watch.expires_at == 100.0 + NOTIFIED_AFTER + GRACE_MARGIN


def test_a_list_from_the_new_address_proves_nothing_about_later_changes() -> None:
    """Later changes count as known together with everything else at that address."""
    lease = lease_after_list()
    lease.on_move(101.0)
    lease.on_list(101.5, 101.6)
    assert lease.expires_at == 101.0 + NOTIFIED_AFTER_MOVE + GRACE_MARGIN
    lease.on_watch_opened(101.6, HOLD)
    assert lease.expires_at == 101.0 + NOTIFIED_AFTER_MOVE + GRACE_MARGIN
    lease.on_failure(Failure.WATCH_LOST, 101.6, 104.8)
    assert lease.expires_at == 101.0 + NOTIFIED_AFTER_MOVE + GRACE_MARGIN
    lease.on_list(105.0, 105.1)
    assert lease.expires_at == 105.0 + NOTIFIED_AFTER + GRACE_MARGIN


def test_with_pushed_lists_the_old_list_is_used_for_the_same_time_after_a_move() -> None:
    lease = ListLease(notified_after=0.0)
    lease.on_list(100.0, 100.0)
    lease.on_watch_opened(100.0, HOLD)
    lease.on_move(105.0)
    lease.on_failure(Failure.WAITED, 105.0, 107.0)
    assert lease.expires_at == 105.0 + NOTIFIED_AFTER_MOVE + GRACE_MARGIN


def test_pushed_lists_are_used_only_while_the_watch_is_open() -> None:
    lease = ListLease(notified_after=0.0)
    lease.on_list(100.0, 100.0)
    lease.on_watch_opened(100.0, HOLD)
    assert lease.valid(110.0)
    lease.on_failure(Failure.WATCH_LOST, 100.0, 110.0)
    assert lease.expires_at == 110.0 + GRACE_MARGIN


@pytest.mark.parametrize(
    ("error", "request_sent", "waited", "continued", "failure"),
    [
        (ConnectionRefusedError(), False, 0.0, False, Failure.REFUSED),
        (TimeoutError(), True, 4.0, False, Failure.SILENT),
        (OSError(24, "EMFILE"), False, 0.0, False, Failure.LOCAL_ERROR),
        (OSError(101, "ENETUNREACH"), False, 0.0, False, Failure.LOCAL_ERROR),
        (OSError(113, "EHOSTUNREACH"), True, 9.0, True, Failure.SILENT),
        (ConnectionResetError(), True, 9.0, True, Failure.WAITED),
        (ConnectionResetError(), True, 2.9, True, Failure.WAITED),
        (ConnectionResetError(), True, 2.0, True, Failure.WAITED),
        (ConnectionResetError(), True, 9.0, False, Failure.WAITED),
        (ValueError("status 503"), True, 0.01, True, Failure.IMMEDIATE),
        (ValueError("status 503"), True, 0.6, True, Failure.WATCH_LOST),
        (ValueError("status 503"), True, 2.0, False, Failure.WAITED),
        (ValueError("malformed"), True, 3.5, False, Failure.WAITED),
    ],
)
def test_failed_calls_are_classified_by_what_they_prove(
    error: Exception, request_sent: bool, waited: float, continued: bool, failure: Failure
) -> None:
    assert classify_failure(error, request_sent, waited, continued) is failure


def test_a_watch_that_ended_while_it_was_held_was_not_queued() -> None:
    """Its next call follows after a short pause. Rejected calls that were queued are repeated in rounds."""
    waits = (0.1, 0.3, 1.4, 1.6, 2.6, 9.0)
    failures = [classify(waited, continued=True) for waited in waits]
    assert failures == [Failure.IMMEDIATE] + [Failure.WATCH_LOST] * 2 + [Failure.WAITED] * 3
    assert Failure.WATCH_LOST not in [classify(waited, continued=False) for waited in waits]
    assert HOLD_MS / 1000 <= MIN_QUEUE_TIME


def asking_driver(**changes: object) -> Driver:
    """An instance that requests its list, and has received none yet."""
    driver_settings = settings(
        ask_for_list=True, notified_after=NOTIFIED_AFTER, may_advise_wait=True, max_wait_advice=2.0, **changes
    )
    return Driver(driver_settings, servers=entries(1, 2))


def test_without_a_lease_a_request_waits_for_a_part_of_its_time_and_is_refused_with_retry_after() -> None:
    driver = asking_driver()
    assert sends(driver.arrive(1)) == []
    assert not any(isinstance(action, Refuse) for action in driver.wait(0.7))
    (refusal,) = (action for action in driver.wait(0.2) if isinstance(action, Refuse))
    assert refusal.retry_after > 0


def test_a_waiting_request_is_sent_once_a_list_arrives() -> None:
    driver = asking_driver()
    driver.arrive(1)
    assert [send.call for send in sends(driver.feed(ServerList(ListKind.INCREMENTAL)))] == [1]


def test_a_request_is_refused_at_once_if_no_list_can_arrive_in_time() -> None:
    driver = asking_driver()
    driver.wait(1.0)
    driver.feed(ServerList(ListKind.FAILED, failure=Failure.WAITED))
    driver.balancer.next_watch_at = driver.now + 5.0
    assert any(isinstance(action, Refuse) for action in driver.arrive(1, budget=1.0))


def test_a_call_that_may_have_been_executed_is_not_refused_for_lack_of_a_list() -> None:
    driver = asking_driver()
    driver.feed(ServerList(ListKind.INCREMENTAL))
    driver.arrive(1, "once")
    actions = driver.wait(NOTIFIED_AFTER + 1.0)
    assert not any(isinstance(action, Refuse) for action in actions)


# -- the rule under random histories --------------------------------------------------------------------
# What discovery does. In the last two modes it answers other proxies, while it queues the calls of this one
# until they fail, or rejects them at once.
MODES = ["answering", "refusing", "failing at once", "failing late", "silent", "crowded", "shedding"]
# Calls are queued, rejected or not answered: the lease may end.
HINDERING_MODES = ("failing at once", "failing late", "silent", "crowded", "shedding")
UNREACHABLE_MODES = ("refusing",)
TIME_STEP = 0.05  # s
QUEUE_TIME = 2.0  # s that a call is queued before it fails
SILENCE_TIMEOUT = 6.0  # s after which a call without an answer is abandoned
MODEL_HOLD = HOLD_MS / 1000  # s after which discovery answers a watch without changes


class History:
    """Discovery passes through a sequence of modes and the list changes at random times, for one instance.

    `modes`: pairs of a mode and its duration. `changes`: the times of the changes. `restart`: when the
    instance is restarted. Times are in seconds; the instance's own clock is 100 s ahead.
    """

    def __init__(self, modes: Sequence[tuple[str, float]], changes: Sequence[float], restart: float) -> None:
        self.modes, self.changes, self.restart = modes, sorted(changes), restart
        self.end = sum(duration for _, duration in modes)
        self.restarted = False
        self.start_instance(100.0, 0)

    def __repr__(self) -> str:
        return f"History({self.modes}, {self.changes}, {self.restart})"

    def start_instance(self, now: float, received_changes: int) -> None:
        """Starts the instance anew with the list that has the first `received_changes` changes."""
        self.driver = asking_driver()
        self.driver.now = now
        self.driver.timers = [(now, token) for _, token in self.driver.timers]
        self.received_changes = received_changes  # how many changes its list has
        # Whether a call was queued, rejected or not answered since the last list, or there has been no list.
        self.hindered = True
        self.call: tuple[float, str, bool] | None = None  # start, mode at the start, whether it is a watch
        self.list_written_at = -math.inf
        self.unreachable = False  # nobody could reach discovery at some time since the last list
        # When the last watch fell silent, and when what it misses counts, whatever happens to discovery.
        self.silent_since, self.silence_counts_at = math.inf, math.inf

    def mode_at(self, moment: float) -> str:
        """The mode of discovery at a time."""
        for mode, duration in self.modes:
            if moment < duration:
                return mode
            moment -= duration
        return "answering"

    def notified_at(self, change: float) -> float:
        """When the instance counts as notified of a change: discovery had it and could be reached for
        NOTIFIED_AFTER without interruption."""
        since, moment = change, change
        while moment < self.end + 20.0:
            if self.mode_at(moment) in UNREACHABLE_MODES:
                since = moment + TIME_STEP
            elif moment - since >= NOTIFIED_AFTER:
                return moment
            moment += TIME_STEP
        return math.inf

    def changes_until(self, moment: float) -> int:
        """The number of changes up to a time."""
        return sum(change <= moment for change in self.changes)

    def run(self) -> None:
        """Plays the history. Raises AssertionError where the lease is valid too long or ends without need."""
        notified_times = [self.notified_at(change) for change in self.changes]
        for step in range(int(self.end / TIME_STEP)):
            moment = step * TIME_STEP
            if self.restart_due(moment):
                self.start_instance(100.0 + moment, min(self.received_changes, self.changes_until(moment)))
            for action in self.driver.wait(100.0 + moment - self.driver.now):
                if isinstance(action, Watch) and self.call is None:
                    self.call = moment, self.mode_at(moment), False
            self.hindered = self.hindered or self.mode_at(moment) in HINDERING_MODES
            self._continue_call(moment)
            usable = self.driver.balancer.list_lease.valid(100.0 + moment)
            missed_changes = [
                change
                for change, at in zip(self.changes, notified_times, strict=True)
                if self.changes_until(change) > self.received_changes
                and min(at, self.notified_by_silence_at(change)) + DRAIN_GRACE < moment
            ]
            assert not (
                missed_changes and usable
            ), f"may send at {moment} by a list that lacks changes known since {missed_changes}"
            self.unreachable = self.unreachable or self.mode_at(moment) in UNREACHABLE_MODES
            outage_outlasts_lease = self.unreachable and moment > self.list_written_at + NOTIFIED_AFTER
            assert (
                usable or self.hindered or outage_outlasts_lease
            ), f"the lease ended at {moment} although no call was queued, rejected or without an answer"

    def notified_by_silence_at(self, change: float) -> float:
        """When a change counts because the last watch had fallen silent before it; infinity if it had not."""
        return self.silence_counts_at if change >= self.silent_since else math.inf

    def restart_due(self, moment: float) -> bool:
        """Whether the instance has to be restarted now; True only once."""
        due = not self.restarted and moment >= self.restart
        self.restarted = self.restarted or due
        return due

    def _continue_call(self, moment: float) -> None:
        if self.call is None:
            return
        started_at, initial_mode, watch = self.call
        mode, now = self.mode_at(moment), 100.0 + moment
        waited = moment - started_at
        if initial_mode == "silent" or (watch and mode == "silent"):
            self.call = (started_at, "silent", watch)
            self.hindered = True
            if watch and initial_mode != "silent":
                self.silent_since = moment
                self.silence_counts_at = max(
                    moment + NOTIFIED_AFTER, started_at + MODEL_HOLD + NOTIFIED_AFTER_HOLD
                )
            if waited >= SILENCE_TIMEOUT:
                self._fail(Failure.SILENT, started_at, now)
        elif watch:
            if mode in ("refusing", "failing at once", "failing late"):
                self.hindered = self.hindered or waited >= MIN_QUEUE_TIME
                self._fail(classify(waited, continued=True), started_at, now)
            elif self.changes_until(moment) > self.received_changes or waited >= MODEL_HOLD:
                self._receive_list(moment)
        elif initial_mode == "refusing":
            self._fail(Failure.REFUSED, started_at, now)
        elif initial_mode in ("failing at once", "shedding"):
            self._fail(Failure.IMMEDIATE, started_at, now)
        elif initial_mode in ("failing late", "crowded"):
            self.hindered = True
            if waited >= QUEUE_TIME:
                self._fail(Failure.WAITED, started_at, now)
        else:
            self._receive_list(moment)

    def _fail(self, failure: Failure, started_at: float, now: float) -> None:
        self.call = None
        self.driver.feed(
            WatchLost(),
            DiscoveryFailed(failure, 100.0 + started_at, now),
            ServerList(ListKind.FAILED, failure=failure),
        )

    def _receive_list(self, moment: float) -> None:
        self.received_changes = self.changes_until(moment)
        self.hindered = False
        self.list_written_at, self.unreachable = moment, False
        self.silent_since = self.silence_counts_at = math.inf
        started_at = 100.0 + moment
        self.call = moment, "answering", True
        self.driver.feed(
            ServerList(ListKind.INCREMENTAL, written_after=started_at), WatchOpened(started_at, MODEL_HOLD)
        )


@st.composite
def histories(draw: st.DrawFn) -> History:
    """Random histories. The changes lie within some seconds of the changes of the mode."""
    duration = st.sampled_from([0.1, 0.3, 0.7, 1.5, 3.0, 7.0, 12.0, 20.0])
    drawn = draw(st.lists(st.tuples(st.sampled_from(MODES), duration), min_size=1, max_size=5))
    modes = [("answering", draw(st.sampled_from([1.0, 6.0]))), *drawn, ("answering", 9.0)]
    borders = list(accumulate(duration for _, duration in modes))
    near = st.tuples(st.sampled_from(borders), st.floats(-1.0, 3.0)).map(lambda at: max(0.1, sum(at)))
    return History(modes, draw(st.lists(near, min_size=1, max_size=4)), draw(near))


@given(history=histories())
@hypothesis_settings(
    max_examples=250, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck)
)
def test_the_lease_ends_before_changes_count_as_known_and_never_without_need(history: History) -> None:
    """Whatever discovery does, nothing is sent by a list later than the grace period after the instance
    counts as notified of a change that the list lacks. And the list may be used while, since it arrived, no
    call has been queued, rejected by a discovery that others reach, or left without an answer; while nobody
    reaches discovery, for NOTIFIED_AFTER from the last answer."""
    history.run()
