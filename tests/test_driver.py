"""The events that the driver gives the balancer for a request."""

from __future__ import annotations

import asyncio
import time
from types import SimpleNamespace
from typing import Any

import pytest
from helpers import settings
from netkit import run

from granitepoint.interface import Arrival
from granitepoint.net.config import Config
from granitepoint.net.driver import Driver
from granitepoint.net.requests import Request


class UnusedReply:
    end_out_of_sight = False

    def answer(self, code: int, headers: Any, body: bytes) -> None:
        raise AssertionError("nothing is answered here")

    def peer_closed(self) -> bool:
        return False


def request(received_at: float) -> Request:
    return Request(
        id=b"1",
        cls="safe",
        budget=1.9,
        tenant="",
        session_id="",
        work=0.0,
        resent=False,
        head=b"",
        body=b"",
        received_at=received_at,
    )


def test_the_margins_of_a_call_take_no_more_than_a_share_of_its_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """The margins add up along a chain of calls: 28 times 40 ms would be more than a whole second."""
    monkeypatch.setattr("granitepoint.net.driver.time", SimpleNamespace(monotonic=lambda: 100.0))

    async def test() -> None:
        nowhere = ("127.0.0.1", 9)
        config = Config("n0", nowhere, nowhere, 1, sockets=256, memory_mb=64.0, known={}, settings=settings())
        driver = Driver(config)
        expected_budgets = {0.1: 0.096, 0.5: 0.48, 1.0: 0.96, 1.9: 1.86}
        for number, (budget, expected) in enumerate(expected_budgets.items()):
            client_request = request(100.0)
            client_request.id, client_request.budget = b"%d" % number, budget
            driver.on_request(client_request, UnusedReply())
            arrival = driver.events[-1]
            assert isinstance(arrival, Arrival) and arrival.budget == pytest.approx(expected)
        for call in driver.calls.values():
            assert call.timer is not None
            call.timer.cancel()
        if isinstance(driver.flush_handle, asyncio.Handle):
            driver.flush_handle.cancel()

    run(test())


def test_the_balancer_is_given_the_deadline_of_a_proxy_that_shuts_down() -> None:
    """With the client's budget alone it would send attempts that the end of the process cuts off as
    failures."""

    async def test() -> None:
        nowhere = ("127.0.0.1", 9)
        config = Config("n0", nowhere, nowhere, 1, sockets=256, memory_mb=64.0, known={}, settings=settings())
        driver = Driver(config)
        driver.on_request(request(time.monotonic()), UnusedReply())
        first = driver.events[-1]
        assert isinstance(first, Arrival) and first.budget > 1.5
        assert first.stated_timeout == 1.9
        delayed = request(time.monotonic() - 0.4)  # it was unread while this process was stalled
        delayed.id = b"3"
        driver.on_request(delayed, UnusedReply())
        delayed_arrival = driver.events[-1]
        assert (
            isinstance(delayed_arrival, Arrival)
            and delayed_arrival.budget < 1.5
            and delayed_arrival.stated_timeout == 1.9
        )
        driver.shutdown_deadline = time.monotonic() + 0.5
        second = request(time.monotonic())
        second.id = b"2"
        driver.on_request(second, UnusedReply())
        last = driver.events[-1]
        assert isinstance(last, Arrival) and last.budget <= 0.5
        for call in driver.calls.values():
            assert call.timer is not None
            call.timer.cancel()
        if isinstance(driver.flush_handle, asyncio.Handle):
            driver.flush_handle.cancel()

    run(test())
