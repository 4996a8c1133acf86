"""What the driver tells the module of a request."""

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
from granitepoint.net.server import Request


class NoReply:
    def answer(self, code: int, headers: Any, body: bytes) -> None:
        raise AssertionError("nothing is answered here")

    def gone(self) -> bool:
        return False


def request(came: float) -> Request:
    return Request(
        id=b"1",
        cls="safe",
        budget=1.9,
        tenant="",
        subject="",
        work=0.0,
        resent=False,
        head=b"",
        body=b"",
        came=came,
    )


def test_the_margins_of_a_call_take_no_more_than_a_share_of_its_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """They add up along a chain of calls: 28 times 40 ms are more than the whole of a second."""
    monkeypatch.setattr("granitepoint.net.driver.time", SimpleNamespace(monotonic=lambda: 100.0))

    async def test() -> None:
        nowhere = ("127.0.0.1", 9)
        config = Config("n0", nowhere, nowhere, 1, sockets=256, memory_mb=64.0, known={}, settings=settings())
        driver = Driver(config)
        left = {0.1: 0.096, 0.5: 0.48, 1.0: 0.96, 1.9: 1.86}
        for number, (budget, told) in enumerate(left.items()):
            asked = request(100.0)
            asked.id, asked.budget = b"%d" % number, budget
            driver.opened(asked, NoReply())
            arrival = driver.events[-1]
            assert isinstance(arrival, Arrival) and arrival.budget == pytest.approx(told)
        for call in driver.calls.values():
            assert call.timer is not None
            call.timer.cancel()
        if isinstance(driver.flush_at, asyncio.Handle):
            driver.flush_at.cancel()

    run(test())


def test_the_module_knows_when_a_proxy_that_ends_must_have_answered() -> None:
    """Told the client's budget alone, it sends what the end of the process cuts off as failed."""

    async def test() -> None:
        nowhere = ("127.0.0.1", 9)
        config = Config("n0", nowhere, nowhere, 1, sockets=256, memory_mb=64.0, known={}, settings=settings())
        driver = Driver(config)
        driver.opened(request(time.monotonic()), NoReply())
        usual = driver.events[-1]
        assert isinstance(usual, Arrival) and usual.budget > 1.5
        assert usual.stated_timeout == 1.9
        held = request(time.monotonic() - 0.4)  # it lay unread while this process stood still
        held.id = b"3"
        driver.opened(held, NoReply())
        late = driver.events[-1]
        assert isinstance(late, Arrival) and late.budget < 1.5 and late.stated_timeout == 1.9
        driver.end_by = time.monotonic() + 0.5
        second = request(time.monotonic())
        second.id = b"2"
        driver.opened(second, NoReply())
        last = driver.events[-1]
        assert isinstance(last, Arrival) and last.budget <= 0.5
        for call in driver.calls.values():
            assert call.timer is not None
            call.timer.cancel()
        if isinstance(driver.flush_at, asyncio.Handle):
            driver.flush_at.cancel()

    run(test())
