"""Servers that leave the list while discovery tells it nothing, and go on serving.

What users saw: requests went to servers up to 0.3 s after the grace behind the moment at which their leaving
counted as told; they were answered, so no client noticed.

The order of events: discovery was away for 8 s. Each proxy's calls failed, and the pauses between them
doubled. It returned with a version that named ten servers as gone. Six seconds later that counted as told to
each proxy, asked or not; three of 15 were still pausing, and went on sending to servers of which ten in ten
passed their health checks.

The cause: two rules stood on evidence that proves something else. A passed health check proves that a server
is alive, not that it is listed. A call that failed proves nothing about the time that follows it, so a pause
after it may not be longer than the list may be used. Neither had an end of its own.

The evidence: each break lies between 6.3 s after the new version and the next call, which was answered within
0.02 s: discovery was free, nobody asked. The servers at fault had passed their checks up to then.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

from netkit import run

from granitepoint.faults.discovery import Mode
from granitepoint.faults.rig import soak_harness

TOLD = 6.3  # s after which a change counts as told, with the grace
CLIENTS = 4


def test_a_server_that_left_and_passes_its_health_checks_gets_nothing_once_that_counts_as_told(
    tmp_path: Path,
) -> None:
    """Every call to discovery waits and fails, so it could be reached, from the change on."""

    async def test() -> None:
        async with soak_harness(tmp_path, 1, servers=3) as made:
            proxy = await made.add_proxy()
            await made.wait_until_ready()
            clients = made.start_clients(proxy, CLIENTS)
            await asyncio.sleep(1.0)
            made.discovery.set_mode(Mode.FAILING_LATE)
            made.discovery.set_status("Gone", "s-0000")
            await asyncio.sleep(TOLD + 1.0)
            made.clients[0].stopped = True
            await clients
            assert made.servers["s-0000"].attempts
            assert made.find_violations() == []

    run(test())


def test_after_a_move_a_server_that_left_gets_nothing_once_that_counts_as_told(tmp_path: Path) -> None:
    """Four seconds after SIGHUP; the new address fails each call, and the server passes its checks."""

    async def test() -> None:
        async with soak_harness(tmp_path, 1, servers=3) as made:
            proxy = await made.add_proxy()
            await made.wait_until_ready()
            clients = made.start_clients(proxy, CLIENTS)
            await asyncio.sleep(1.2)
            made.discovery.set_mode(Mode.FAILING_LATE)
            made.discovery.set_status("Gone", "s-0000")
            made.move_discovery(proxy)
            await asyncio.sleep(TOLD + 0.5)
            made.clients[0].stopped = True
            await clients
            assert made.find_violations() == []

    run(test())
