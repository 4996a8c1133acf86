"""Leases on servers while the list is not confirmed, compared with times that were calculated by hand."""

from __future__ import annotations

import math

import pytest
from helpers import Driver, entries, only_send, sends, settings

from granitepoint import Action, Event, ListKind, Probe, Probed, ServerList, Status, WatchLost
from granitepoint.membership.health_checks import (
    LEASE_DURATION,
    MIN_LEASED_SERVERS,
    NOTIFIED_LEASE_DURATION,
    RENEW_AFTER,
)
from granitepoint.membership.move_deadlines import NOTIFIED_AFTER_MOVE

NOTIFIED_AFTER = 6.0  # s after a change the proxy counts as notified, whether its calls were answered or not
# s that an attempt may take from the decision to its first byte
CONNECT_TIMEOUT, MAX_PROCESS_DELAY = 0.25, 0.15


class HealthCheckedDriver(Driver):
    """An instance whose list was just confirmed, and servers that answer each health check immediately."""

    def __init__(self, servers: int, **changes: object) -> None:
        self.health = dict.fromkeys(range(1, servers + 1), Status.OK)
        self.checks: list[int] = []  # the ids of the servers that were checked, in order
        self.checks_answered = True
        driver_settings = settings(ask_for_list=True, may_probe=True, price_probe=1.0, **changes)
        super().__init__(driver_settings, servers=entries(*self.health))
        self.feed(ServerList(ListKind.INCREMENTAL))

    def feed(self, *events: Event) -> list[Action]:
        """Delivers events, and the results of the health checks that follow, if `checks_answered`."""
        actions = super().feed(*events)
        probed = [action.server for action in actions if isinstance(action, Probe)]
        self.checks += probed
        if probed and self.checks_answered:
            actions = actions + self.feed(*(Probed(server, self.health[server], 0.0) for server in probed))
        return actions

    def lose_watch(self, notified_within: float = math.inf) -> None:
        """Reports that the watch was lost."""
        self.feed(WatchLost(notified_within))

    def stop_health_checks(self) -> None:
        """No health check reaches its server any more, so none of them fails its check either."""
        self.health = dict.fromkeys(self.health, Status.FULL)


def test_a_lease_ends_before_the_proxy_counts_as_notified_of_a_missed_change() -> None:
    assert LEASE_DURATION + CONNECT_TIMEOUT + MAX_PROCESS_DELAY < NOTIFIED_AFTER
    assert NOTIFIED_LEASE_DURATION <= 1.0 < RENEW_AFTER < LEASE_DURATION


def test_every_server_has_one_lease_after_the_watch_is_lost() -> None:
    driver = HealthCheckedDriver(2)
    driver.wait(100.0)
    driver.stop_health_checks()
    driver.lose_watch()
    driver.wait(LEASE_DURATION - 0.1)
    assert only_send(driver.arrive(1)).server in (1, 2)
    driver.wait(0.2)
    assert sends(driver.arrive(2)) == []


def test_another_failed_call_does_not_renew_a_lease() -> None:
    driver = HealthCheckedDriver(2)
    driver.wait(100.0)
    driver.stop_health_checks()
    driver.lose_watch()
    driver.wait(LEASE_DURATION - 0.1)
    driver.lose_watch()
    driver.wait(0.2)
    assert sends(driver.arrive(1)) == []


@pytest.mark.parametrize("healthy", [1, 2])
def test_a_request_goes_to_the_server_that_passes_its_health_check(healthy: int) -> None:
    driver = HealthCheckedDriver(2)
    driver.health[3 - healthy] = Status.ERROR
    driver.lose_watch()
    driver.wait(10 * LEASE_DURATION)
    assert only_send(driver.arrive(1)).server == healthy


def test_a_waiting_request_is_sent_when_a_server_passes_its_health_check() -> None:
    driver = HealthCheckedDriver(1)
    driver.stop_health_checks()
    driver.lose_watch()
    driver.wait(LEASE_DURATION + 0.1)
    assert sends(driver.arrive(1)) == []
    driver.health[1] = Status.OK
    assert only_send(driver.wait(0.6)).call == 1


def test_a_server_that_fails_its_health_check_loses_its_lease_at_once() -> None:
    driver = HealthCheckedDriver(1)
    driver.lose_watch()
    driver.wait(LEASE_DURATION + 0.1)
    driver.finish(only_send(driver.arrive(1)), Status.OK)
    driver.feed(Probed(1, Status.ERROR, 0.0))
    driver.stop_health_checks()
    assert sends(driver.arrive(2)) == []


def test_a_list_confirms_every_server_that_stays_in_it() -> None:
    driver = HealthCheckedDriver(2)
    driver.stop_health_checks()
    driver.lose_watch()
    driver.wait(LEASE_DURATION + 0.1)
    driver.feed(ServerList(ListKind.INCREMENTAL))
    assert only_send(driver.arrive(1)).server in (1, 2)


@pytest.mark.parametrize("checked_after", [False, True])
def test_after_a_move_health_checks_before_the_cutoff_do_not_count(checked_after: bool) -> None:
    driver = HealthCheckedDriver(1)
    driver.lose_watch(NOTIFIED_AFTER_MOVE)
    driver.wait(NOTIFIED_AFTER_MOVE - 0.2)
    driver.finish(only_send(driver.arrive(1)), Status.OK)
    if not checked_after:
        driver.stop_health_checks()
    driver.wait(0.15)
    assert len(sends(driver.arrive(2) + driver.wait(0.05))) == checked_after


def test_after_the_cutoff_a_health_check_gives_only_the_short_lease() -> None:
    driver = HealthCheckedDriver(1)
    driver.lose_watch(NOTIFIED_AFTER_MOVE)
    driver.wait(NOTIFIED_AFTER_MOVE)
    driver.finish(only_send(driver.arrive(1)), Status.OK)
    driver.stop_health_checks()
    driver.wait(NOTIFIED_LEASE_DURATION - 0.1)
    driver.finish(only_send(driver.arrive(2)), Status.OK)
    driver.wait(0.2)
    assert sends(driver.arrive(3)) == []


def test_if_health_checks_are_not_allowed_the_list_is_used_as_it_is() -> None:
    driver = Driver(settings(ask_for_list=True))
    driver.feed(WatchLost())
    driver.wait(10 * LEASE_DURATION)
    assert only_send(driver.arrive(1))


def test_health_checks_for_leases_are_sent_only_for_open_calls() -> None:
    """The few periodic health checks that every instance makes are not counted here."""
    driver, idle = HealthCheckedDriver(8), HealthCheckedDriver(8)
    for instance in (driver, idle):
        instance.stop_health_checks()
        instance.lose_watch()
        instance.wait(10 * LEASE_DURATION)
        instance.checks.clear()
        instance.checks_answered = False
    driver.arrive(1)
    idle.feed()
    assert (len(driver.checks), idle.checks) == (MIN_LEASED_SERVERS, [])
