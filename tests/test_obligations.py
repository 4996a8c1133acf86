"""The safety rules at their boundaries, tested directly and through a whole Balancer."""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise

import pytest
from helpers import CLASSES, Driver, entries, only_send, sends, settings, state_update

from granitepoint import (
    Action,
    Arrival,
    Fail,
    Gone,
    ListKind,
    Probe,
    Probed,
    Refuse,
    Send,
    ServerList,
    ServerState,
    Status,
    StreamStarted,
    Timer,
    Watch,
)
from granitepoint.admission import ClassState
from granitepoint.calls import Call
from granitepoint.logic import SafetyRules, Server

NEVER_RAN = [Status.FULL, Status.CONNECT_FAILED, Status.MOOT]
MAY_HAVE_RUN = [Status.ERROR, Status.TIMEOUT, Status.RESET, Status.CANCELLED]


def rules_after_attempt(
    cls: str, status: Status | None, duplicate: bool = False, max_attempts: int = 3
) -> tuple[SafetyRules, Call]:
    """The rules, and a call with one attempt that was sent to server 1 at 100.0; status None: in flight."""
    safety_rules = SafetyRules(settings(may_duplicate=duplicate, max_attempts=max_attempts), [])
    class_state = ClassState(next(c for c in CLASSES if c.name == cls), 0)
    call = Call(7, class_state, 1.0, 100.0, 102.0, 101.0)
    safety_rules.calls[7] = call
    attempt = safety_rules.send(call, server(1), 100.0, 1.0, 0.0)
    assert attempt is not None
    if status is not None:
        safety_rules.finish_attempt(attempt, status, False)
    return safety_rules, call


def server(number: int, zone: str = "a", cell: int = 0, state: ServerState = ServerState.SERVING) -> Server:
    """A server with this state, as a list would name it."""
    (entry,) = entries(number, zone=zone, state=state)
    entry.cell = cell
    return Server(entry, 0.0)


@pytest.mark.parametrize("status", NEVER_RAN)
@pytest.mark.parametrize("cls", ["safe", "once", "zoned", "keyed"])
def test_a_call_that_never_ran_may_be_sent_again_and_refused(cls: str, status: Status) -> None:
    safety_rules, call = rules_after_attempt(cls, status)
    assert safety_rules.may_send(call, server(2, zone="b"), 100.6)
    assert safety_rules.may_refuse(call)


@pytest.mark.parametrize("status", MAY_HAVE_RUN)
def test_a_call_that_may_have_run_is_repeated_as_its_class_allows(status: Status) -> None:
    safety_rules, call = rules_after_attempt("safe", status)
    assert safety_rules.may_send(call, server(2, zone="b"), 101.9) and safety_rules.may_refuse(call)
    safety_rules, call = rules_after_attempt("once", status)
    assert not safety_rules.may_send(call, server(1), 100.1) and not safety_rules.may_refuse(call)
    safety_rules, call = rules_after_attempt("zoned", status)
    assert safety_rules.may_send(call, server(2), 100.49) and not safety_rules.may_refuse(call)
    assert not safety_rules.may_send(call, server(2, zone="b"), 100.1)
    assert not safety_rules.may_send(call, server(2), 100.5)
    safety_rules, call = rules_after_attempt("keyed", status)
    assert safety_rules.may_send(call, server(2, zone="b"), 100.49) and safety_rules.may_refuse(call)
    assert not safety_rules.may_send(call, server(2), 100.5)


def test_dedup_window_runs_from_the_first_attempt_that_may_have_run() -> None:
    safety_rules, call = rules_after_attempt("zoned", Status.FULL)
    second = safety_rules.send(call, server(2), 100.3, 1.0, 0.0)
    assert second is not None
    safety_rules.finish_attempt(second, Status.ERROR, False)
    assert safety_rules.may_send(call, server(3), 100.79)
    assert not safety_rules.may_send(call, server(3), 100.8)


def test_cell_group() -> None:
    safety_rules, call = rules_after_attempt("zoned", Status.ERROR)
    call.cls.group = "cell"
    assert safety_rules.may_send(call, server(2, cell=0), 100.1)
    assert not safety_rules.may_send(call, server(2, cell=1), 100.1)


def test_two_attempts_only_where_duplicates_are_allowed() -> None:
    safety_rules, call = rules_after_attempt("safe", None)
    assert not safety_rules.may_send(call, server(2), 100.1)
    safety_rules, call = rules_after_attempt("safe", None, duplicate=True)
    assert safety_rules.may_send(call, server(2), 100.1)
    safety_rules, call = rules_after_attempt("once", None, duplicate=True)
    assert not safety_rules.may_send(call, server(2), 100.1) and not safety_rules.may_refuse(call)


def test_attempt_limit_deadline_end_and_server_state_forbid_sending() -> None:
    safety_rules, call = rules_after_attempt("safe", Status.ERROR, max_attempts=1)
    assert not safety_rules.may_send(call, server(2), 100.1)
    safety_rules, call = rules_after_attempt("safe", Status.ERROR)
    assert safety_rules.may_send(call, server(2), 101.999) and not safety_rules.may_send(
        call, server(2), 102.0
    )
    for state in (ServerState.DRAINING, ServerState.GONE):
        assert not safety_rules.may_send(call, server(2, state=state), 100.1)
    safety_rules.answer(call)
    assert not safety_rules.may_send(call, server(2), 100.1)
    answered = list(safety_rules.actions)
    safety_rules.answer(call)
    assert safety_rules.actions == answered


def test_answer_is_a_refusal_only_where_a_retry_is_harmless() -> None:
    for cls, status, kind in (
        ("once", Status.ERROR, Fail),
        ("once", Status.FULL, Refuse),
        ("safe", Status.ERROR, Refuse),
        ("zoned", Status.TIMEOUT, Fail),
        ("keyed", Status.TIMEOUT, Refuse),
    ):
        safety_rules, call = rules_after_attempt(cls, status)
        safety_rules.answer(call)
        assert type(safety_rules.actions[-1]) is kind


def test_drained_servers_get_nothing_new() -> None:
    for state in (ServerState.DRAINING, ServerState.GONE):
        driver = Driver(settings(), servers=entries(1, 2))
        driver.feed(state_update(1, state))
        for call in range(20):
            for send in sends(driver.arrive(call)):
                assert send.server == 2
                driver.finish(send, Status.OK)


def test_absence_from_a_full_list_is_removal() -> None:
    driver = Driver(settings(), servers=entries(1, 2))
    driver.feed(ServerList(ListKind.FULL, entries(2)))
    assert {send.server for call in range(9) for send in sends(driver.arrive(call))} == {2}


def test_without_servers_a_call_is_queued_and_then_refused_in_time() -> None:
    driver = Driver(settings(), servers=[])
    assert not sends(driver.arrive(1, "once", budget=0.8))
    actions = driver.wait(0.8)
    assert Refuse(1) in actions and not sends(actions)


def test_queued_call_is_sent_once_a_server_is_listed() -> None:
    driver = Driver(settings(), servers=[])
    driver.arrive(1)
    assert only_send(driver.feed(ServerList(ListKind.FULL, entries(5)))).server == 5


def test_timeout_at_the_deadline_is_answered_at_once() -> None:
    driver = Driver(settings())
    send = only_send(driver.arrive(1, "once", budget=0.9))
    driver.now += 0.9
    assert Fail(1) in driver.finish(send, Status.TIMEOUT, elapsed=0.9)


def test_client_that_leaves_in_the_batch_of_its_arrival_gets_no_answer() -> None:
    # On an overloaded day, arrivals were processed after all other events of a batch, so that a client that
    # left in the same batch was overlooked.
    driver = Driver(settings())
    actions = driver.feed(Arrival(9, "safe", 2.0), Gone(9))
    actions += driver.wait(3.0)
    assert not any(isinstance(a, Refuse | Fail) or sends([a]) for a in actions)


def test_unknown_ids_and_stale_timers_change_nothing() -> None:
    driver = Driver(settings())
    send = only_send(driver.arrive(1))
    driver.finish(send, Status.OK)
    actions: list[Action] = driver.finish(send, Status.OK)
    actions += driver.feed(Gone(1), Gone(99), StreamStarted(1, 0, 1))
    assert not [a for a in actions if isinstance(a, Fail | Refuse) or sends([a])]
    assert not [a for a in driver.feed(Arrival(1, "safe", 2.0)) if isinstance(a, Fail | Refuse) or sends([a])]


def test_started_stream_is_left_alone() -> None:
    driver = Driver(settings(may_cancel=True))
    send = only_send(driver.arrive(1))
    driver.feed(StreamStarted(1, 0, send.server))
    actions = driver.wait(4.0)
    assert not [a for a in actions if isinstance(a, Fail | Refuse) or sends([a])]
    assert driver.balancer.busy == 0


def test_cold_server_is_sent_no_more_than_its_budget() -> None:
    driver = Driver(settings(), servers=entries(1, 2, 3, 4))
    driver.balancer.admission.window = 20.0
    call, in_flight = 0, list[Send]()
    for _ in range(200):  # with warm servers, so that the instance learns its own rate: 40 calls per second
        call += 1
        driver.wait(0.025)
        in_flight.append(only_send(driver.arrive(call)))
        if len(in_flight) > 6:
            driver.finish(in_flight.pop(0), Status.OK, elapsed=0.15)
    driver.feed(ServerList(ListKind.INCREMENTAL, entries(4, started_at=driver.now)))
    cold_since = driver.now
    cold_sends: list[float] = []
    for _ in range(400):
        call += 1
        driver.wait(0.025)
        in_flight.append(only_send(driver.arrive(call)))
        cold_sends += [driver.now - cold_since] * (in_flight[-1].server == 4)
        driver.finish(in_flight.pop(0), Status.OK, elapsed=0.15)
    fair_rate = 40 / 4  # calls per second to a warm server
    for start in cold_sends:
        sent = sum(1 for t in cold_sends if start <= t < start + 1.5)
        capacity = (0.3 + 0.7 * start / 10) * fair_rate * 1.5
        assert sent <= 3.0 * capacity + 1
    assert cold_sends


@pytest.mark.parametrize(("cls", "budget"), [("unheard of", 2.0), ("safe", 0.0), ("once", -1.0)])
def test_an_invalid_call_is_refused_once_and_at_once(cls: str, budget: float) -> None:
    driver = Driver(settings())
    actions = driver.arrive(5, cls, budget) + driver.arrive(5, cls, budget) + driver.wait(3.0)
    answers = [a for a in actions if isinstance(a, Refuse | Fail) or sends([a])]
    assert answers == [Refuse(5)]


def test_unexpected_events_change_nothing() -> None:
    driver = Driver(settings(may_probe=True))
    driver.feed(Probed(77, Status.OK, 0.1, {"busy_reqs": 1.0}), Timer(12345), ServerList(ListKind.FULL, []))
    driver.feed(Probed(1, Status.OK, 0.1, {"busy_reqs": float("nan")}), ServerList(ListKind.FULL, entries(1)))
    for _ in range(3):  # the clock does not advance
        driver.feed(Timer(1))
    assert only_send(driver.arrive(1)).server == 1


def test_a_listed_server_that_refuses_probes_renews_the_watch_but_seldom() -> None:
    # In incident r2219cc the watch was silent for 24 s while three of four servers were replaced. A listed
    # server that refuses probes shows that the list may be stale: the instance opens a new watch.
    driver = Driver(settings(ask_for_list=True, may_probe=True), servers=entries(1, 2))

    def wait(span: float, status: Status) -> None:
        for _ in range(round(span / 0.05)):
            probes = [action for action in driver.wait(0.05) if isinstance(action, Probe)]
            driver.feed(*[Probed(action.server, status, 0.001) for action in probes])

    wait(15.0, Status.OK)
    assert driver.actions.count(Watch(True)) == 1
    wait(20.0, Status.CONNECT_FAILED)
    assert 2 <= driver.actions.count(Watch(True)) - 1 <= 3


def test_failed_watches_are_renewed_within_the_configured_time() -> None:
    # One site counts an instance that has not asked for four seconds as notified of every drain; after a
    # failed call it allows four times that.
    driver = Driver(settings(ask_for_list=True, must_ask_within=4.0))
    watch_times: list[float] = []
    while driver.now < 140.0:
        if Watch(True) in driver.wait(0.05):
            watch_times.append(driver.now)
            driver.wait(0.5)
            driver.feed(ServerList(ListKind.FAILED))
    gaps = [later - earlier for earlier, later in pairwise([100.0, *watch_times])]
    assert gaps[0] <= 4.0 and max(gaps) <= 0.5 + 4 * 4.0 + 0.1


@pytest.mark.parametrize("group", ["zone", "cell"])
def test_dedup_group_is_that_of_the_server_when_the_attempt_was_sent(group: str) -> None:
    """A later list that moves the server to another zone or cell does not move the attempt that may have run
    on it, so duplicates are still dropped only by the old group."""
    class_state = ClassState(replace(next(c for c in CLASSES if c.name == "zoned"), group=group), 0)
    safety_rules = SafetyRules(settings(), [])
    call = Call(7, class_state, 1.0, 100.0, 102.0, 101.0)
    safety_rules.calls[7] = call
    server_of_attempt = server(1, zone="a")
    attempt = safety_rules.send(call, server_of_attempt, 100.0, 1.0, 0.0)
    assert attempt is not None
    safety_rules.finish_attempt(attempt, Status.RESET, False)
    server_of_attempt.zone, server_of_attempt.cell = "b", 1
    assert not safety_rules.may_send(call, server(2, zone="b", cell=1), 100.1)
    assert safety_rules.may_send(call, server(2, zone="a"), 100.1)
