"""Memory of one proxy's state: the bytes for listed backends, open calls and remembered ids of ended calls.

They are counted by tracemalloc on the real driver and balancer without sockets; the kernel's socket buffers
are not included.
"""

from __future__ import annotations

import asyncio
import gc
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from granitepoint.fleet.experiment import DEFAULT_SETTINGS
from granitepoint.net.config import Config, flatten_settings
from granitepoint.net.driver import Driver
from granitepoint.net.requests import Request
from granitepoint.simulator_adapter import read_settings

UNUSED_ADDRESS = ("127.0.0.1", 9)  # the driver never listens or connects


class _DiscardingReply:
    """Takes the place of the connection that a request came from; answers are dropped."""

    def answer(self, code: int, headers: Any, body: bytes) -> None:
        pass

    end_out_of_sight = False

    def peer_closed(self) -> bool:
        return False


def _make_driver(backends: int) -> Driver:
    entries = [
        {"name": f"b0-{number}", "address": f"127.20.{number // 250}.{number % 250 + 1}:8081", "zone": "a",
         "type": "m1", "group": number // 3, "status": "Ready", "weight": 1.0, "since_ms": 0}
        for number in range(backends)
    ]  # fmt: skip
    raw = {**DEFAULT_SETTINGS, "me": 0, "balancers": 1, "zone": "a"}
    known = {"index": 1, "snapshot": True, "endpoints": entries}
    config = Config(
        "n0", UNUSED_ADDRESS, UNUSED_ADDRESS, 1, 1024, 192.0, known, read_settings(flatten_settings(raw))
    )
    return Driver(config)


def _make_request(number: int) -> Request:
    call_id = f"{number:016x}".encode()
    head = b"GET /read HTTP/1.1\r\nhost: service.internal\r\nx-call-id: " + call_id + b"\r\n"
    return Request(call_id, "read", 1.0, "", "", 0.0, False, head, b"", time.monotonic())


def _measure_bytes(create: Callable[[], object]) -> int:
    """Returns the bytes that are allocated by `create` and kept alive by its result."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    result = create()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del result
    return after - before


async def measure_backends(count: int) -> int:
    """Returns the bytes allocated for a driver with `count` listed backends and no connection to them."""
    return _measure_bytes(lambda: _make_driver(count))


async def measure_open_calls(count: int) -> int:
    """Returns the bytes allocated for `count` calls that were accepted and are in the balancer's queue."""
    driver = _make_driver(16)
    driver.balancer.handle(time.monotonic(), driver.events)
    driver.events = []

    def accept_calls() -> object:
        for number in range(count):
            driver.on_request(_make_request(number), _DiscardingReply())
        driver.balancer.handle(time.monotonic(), driver.events)
        driver.events = []
        return driver

    allocated = _measure_bytes(accept_calls)
    _cancel_timers(driver)
    return allocated


def _cancel_timers(driver: Driver) -> None:
    for call in driver.calls.values():
        if call.timer is not None:
            call.timer.cancel()
    if driver.flush_handle is not None:
        driver.flush_handle.cancel()


async def measure_remembered_ids(count: int) -> int:
    """Returns the bytes allocated to remember the ids of `count` ended calls."""
    driver = _make_driver(16)

    def remember() -> object:
        for number in range(count):
            driver.balancer.safety_rules.record_ended(1_000_000 + number)
        return driver

    return _measure_bytes(remember)


MEASUREMENTS = {
    "backend": measure_backends,
    "open call": measure_open_calls,
    "remembered id": measure_remembered_ids,
}
SIZES = {  # numbers of objects at which each measurement is made
    "backend": (110, 220, 440, 880),
    "open call": (50, 100, 200, 400),
    "remembered id": (125, 250, 500, 1000),
}


def measure(what: str) -> list[tuple[float, float]]:
    """Runs one of MEASUREMENTS at each of its SIZES; returns pairs of size and bytes."""
    return [(float(size), float(asyncio.run(MEASUREMENTS[what](size)))) for size in SIZES[what]]
