"""Leases on servers while the list is not confirmed, against times worked out by hand."""

from __future__ import annotations

import math

import pytest
from helpers import Driver, entries, only_send, sends, settings

from granitepoint import Action, Event, ListKind, Probe, ProbeResult, ServerList, Status, WatchLost
from granitepoint.membership.health_checks import (
    LEASE_DURATION,
    MIN_LEASED_SERVERS,
    NOTIFIED_LEASE_DURATION,
    RENEW_AFTER,
)
from granitepoint.membership.list_lease import NOTIFIED_AFTER_MOVE

TOLD_AFTER = 6.0  # s after a change from which it counts as told, answered or not
CONNECT_TIMEOUT, HELD_UP = 0.25, 0.15  # s that an attempt may take from the decision to its first byte


class Checked(Driver):
    """An instance whose list was just confirmed, and servers that answer each health check at once."""

    def __init__(self, servers: int, **changes: object) -> None:
        self.health = dict.fromkeys(range(1, servers + 1), Status.OK)
        self.checks: list[int] = []  # the servers that were checked
        self.answering = True
        setup = settings(ask_for_list=True, may_probe=True, price_probe=1.0, **changes)
        super().__init__(setup, servers=entries(*self.health))
        self.feed(ServerList(ListKind.INCREMENTAL))

    def feed(self, *events: Event) -> list[Action]:
        actions = super().feed(*events)
        asked = [action.server for action in actions if isinstance(action, Probe)]
        self.checks += asked
        if asked and self.answering:
            actions = actions + self.feed(
                *(ProbeResult(server, self.health[server], 0.0) for server in asked)
            )
        return actions

    def lose(self, told_within: float = math.inf) -> None:
        self.feed(WatchLost(told_within))

    def stop_health_checks(self) -> None:
        """None reaches its server, so nothing is known against any of them."""
        self.health = dict.fromkeys(self.health, Status.FULL)


def test_a_lease_ends_before_an_untold_change_counts_as_told() -> None:
    assert LEASE_DURATION + CONNECT_TIMEOUT + HELD_UP < TOLD_AFTER
    assert NOTIFIED_LEASE_DURATION <= 1.0 < RENEW_AFTER < LEASE_DURATION


def test_the_list_alone_is_enough_for_one_lease_after_the_watch_is_lost() -> None:
    made = Checked(2)
    made.wait(100.0)
    made.stop_health_checks()
    made.lose()
    made.wait(LEASE_DURATION - 0.1)
    assert only_send(made.arrive(1)).server in (1, 2)
    made.wait(0.2)
    assert sends(made.arrive(2)) == []


def test_a_further_failed_call_is_no_new_lease() -> None:
    made = Checked(2)
    made.wait(100.0)
    made.stop_health_checks()
    made.lose()
    made.wait(LEASE_DURATION - 0.1)
    made.lose()
    made.wait(0.2)
    assert sends(made.arrive(1)) == []


@pytest.mark.parametrize("well", [1, 2])
def test_a_request_goes_to_the_server_that_passes_its_health_check(well: int) -> None:
    made = Checked(2)
    made.health[3 - well] = Status.ERROR
    made.lose()
    made.wait(10 * LEASE_DURATION)
    assert only_send(made.arrive(1)).server == well


def test_a_request_that_waits_for_a_health_check_goes_out_when_one_is_passed() -> None:
    made = Checked(1)
    made.stop_health_checks()
    made.lose()
    made.wait(LEASE_DURATION + 0.1)
    assert sends(made.arrive(1)) == []
    made.health[1] = Status.OK
    assert only_send(made.wait(0.6)).call == 1


def test_a_server_that_fails_its_health_check_loses_its_lease_at_once() -> None:
    made = Checked(1)
    made.lose()
    made.wait(LEASE_DURATION + 0.1)
    made.settle(only_send(made.arrive(1)), Status.OK)
    made.feed(ProbeResult(1, Status.ERROR, 0.0))
    made.stop_health_checks()
    assert sends(made.arrive(2)) == []


def test_a_list_confirms_all_that_it_leaves() -> None:
    made = Checked(2)
    made.stop_health_checks()
    made.lose()
    made.wait(LEASE_DURATION + 0.1)
    made.feed(ServerList(ListKind.INCREMENTAL))
    assert only_send(made.arrive(1)).server in (1, 2)


@pytest.mark.parametrize("checked_after", [False, True])
def test_after_a_move_no_earlier_health_check_counts_once_all_is_told(checked_after: bool) -> None:
    made = Checked(1)
    made.lose(NOTIFIED_AFTER_MOVE)
    made.wait(NOTIFIED_AFTER_MOVE - 0.2)
    made.settle(only_send(made.arrive(1)), Status.OK)
    if not checked_after:
        made.stop_health_checks()
    made.wait(0.15)
    assert len(sends(made.arrive(2) + made.wait(0.05))) == checked_after


def test_once_changes_count_as_told_at_once_a_health_check_is_good_for_a_moment_only() -> None:
    made = Checked(1)
    made.lose(NOTIFIED_AFTER_MOVE)
    made.wait(NOTIFIED_AFTER_MOVE)
    made.settle(only_send(made.arrive(1)), Status.OK)
    made.stop_health_checks()
    made.wait(NOTIFIED_LEASE_DURATION - 0.1)
    made.settle(only_send(made.arrive(2)), Status.OK)
    made.wait(0.2)
    assert sends(made.arrive(3)) == []


def test_where_health_checks_are_not_allowed_the_list_is_trusted_as_it_is() -> None:
    made = Driver(settings(ask_for_list=True))
    made.feed(WatchLost())
    made.wait(10 * LEASE_DURATION)
    assert only_send(made.arrive(1))


def test_only_calls_in_hand_make_health_checks_for_leases() -> None:
    """Beside the steady few that every instance makes."""
    made, idle = Checked(8), Checked(8)
    for each in (made, idle):
        each.stop_health_checks()
        each.lose()
        each.wait(10 * LEASE_DURATION)
        each.checks.clear()
        each.answering = False
    made.arrive(1)
    idle.feed()
    assert (len(made.checks), idle.checks) == (MIN_LEASED_SERVERS, [])
