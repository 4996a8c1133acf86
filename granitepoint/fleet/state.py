"""Bytes of state in one proxy's process: what more backends, open calls or remembered ids hold.

Counted by tracemalloc on the real driver and module, without sockets; the kernel's buffers come on top.
"""

from __future__ import annotations

import asyncio
import gc
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from granitepoint.benchlink import read_settings
from granitepoint.fleet.experiment import DEFAULT_SETTINGS
from granitepoint.net.config import Config, flatten_settings
from granitepoint.net.driver import Driver
from granitepoint.net.server import Request

NOWHERE = ("127.0.0.1", 9)


class _NoReply:
    def answer(self, code: int, headers: Any, body: bytes) -> None:
        pass

    def peer_closed(self) -> bool:
        return False


def _driver(backends: int) -> Driver:
    entries = [
        {"name": f"b0-{number}", "address": f"127.20.{number // 250}.{number % 250 + 1}:8081", "zone": "a",
         "type": "m1", "group": number // 3, "status": "Ready", "weight": 1.0, "since_ms": 0}
        for number in range(backends)
    ]  # fmt: skip
    raw = {**DEFAULT_SETTINGS, "me": 0, "balancers": 1, "zone": "a"}
    known = {"index": 1, "snapshot": True, "endpoints": entries}
    config = Config("n0", NOWHERE, NOWHERE, 1, 1024, 192.0, known, read_settings(flatten_settings(raw)))
    return Driver(config)


def _request(number: int) -> Request:
    call_id = f"{number:016x}".encode()
    head = b"GET /read HTTP/1.1\r\nhost: service.internal\r\nx-call-id: " + call_id + b"\r\n"
    return Request(call_id, "read", 1.0, "", "", 0.0, False, head, b"", time.monotonic())


def _held_by(make: Callable[[], object]) -> int:
    """Bytes that what `make` gives holds."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = make()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return after - before


async def of_backends(count: int) -> int:
    """Listed, with none of their connections."""
    return _held_by(lambda: _driver(count))


async def of_open_calls(count: int) -> int:
    """Taken, and handed to the module's queue."""
    driver = _driver(16)
    driver.balancer.handle(time.monotonic(), driver.events)
    driver.events = []

    def take() -> object:
        for number in range(count):
            driver.on_request(_request(number), _NoReply())
        driver.balancer.handle(time.monotonic(), driver.events)
        driver.events = []
        return driver

    held = _held_by(take)
    _cancel(driver)
    return held


def _cancel(driver: Driver) -> None:
    for call in driver.calls.values():
        if call.timer is not None:
            call.timer.cancel()
    if driver.flush_handle is not None:
        driver.flush_handle.cancel()


async def of_remembered(count: int) -> int:
    driver = _driver(16)

    def remember() -> object:
        for number in range(count):
            driver.balancer.safety_rules.record_ended(1_000_000 + number)
        return driver

    return _held_by(remember)


MEASURES = {"backend": of_backends, "open call": of_open_calls, "remembered id": of_remembered}
SIZES = {
    "backend": (110, 220, 440, 880),
    "open call": (50, 100, 200, 400),
    "remembered id": (125, 250, 500, 1000),
}


def measure(what: str) -> list[tuple[float, float]]:
    """Size and bytes, for each size."""
    return [(float(size), float(asyncio.run(MEASURES[what](size)))) for size in SIZES[what]]
