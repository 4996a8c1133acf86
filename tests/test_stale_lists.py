"""Servers that leave the list while the proxy gets no list from discovery, and that go on serving.

Guards against this failure: requests went to servers that had left, up to 0.3 s after the end of the grace
period that follows the moment at which the proxy counts as notified. They were answered, so no client
noticed.

Discovery was down for 8 s. Each proxy's calls failed, and the pauses between them doubled. Discovery returned
with a version that named ten servers as gone. Six seconds later each proxy counted as notified, whether it
had made a call or not. Three of 15 were still in a pause, and went on sending to servers that all passed
their health checks. Their next calls were answered within 0.02 s, so discovery was not overloaded; the
proxies just had not called it.

The cause was that two rules took something as proof that proves something else. A passed health check proves
that a server is alive, but not that it is in the list. A failed call proves nothing about the time after it,
so the pause after it must not be longer than the list may be used. Neither use of the list had a limit of its
own.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

from netkit import run

from granitepoint.faults.discovery import Mode
from granitepoint.faults.harness import soak_harness

NOTIFIED_AFTER = 6.3  # s after a change until the proxy counts as notified, including the grace period
CLIENTS = 4  # concurrent clients


def test_a_removed_server_that_passes_its_health_checks_gets_no_requests_after_the_proxy_counts_as_notified(
    tmp_path: Path,
) -> None:
    """From the change on every call to discovery is queued and fails, so discovery could be reached."""

    async def test() -> None:
        async with soak_harness(tmp_path, 1, servers=3) as test_rig:
            proxy = await test_rig.add_proxy()
            await test_rig.wait_until_ready()
            clients = test_rig.start_clients(proxy, CLIENTS)
            await asyncio.sleep(1.0)
            test_rig.discovery.set_mode(Mode.FAILING_LATE)
            test_rig.discovery.set_status("Gone", "s-0000")
            await asyncio.sleep(NOTIFIED_AFTER + 1.0)
            test_rig.clients[0].stopped = True
            await clients
            assert test_rig.servers["s-0000"].attempts
            assert test_rig.find_violations() == []

    run(test())


def test_after_a_move_a_removed_server_gets_no_requests_after_the_proxy_counts_as_notified(
    tmp_path: Path,
) -> None:
    """That is 4 s after SIGHUP. The new address fails every call, and the server passes its checks."""

    async def test() -> None:
        async with soak_harness(tmp_path, 1, servers=3) as test_rig:
            proxy = await test_rig.add_proxy()
            await test_rig.wait_until_ready()
            clients = test_rig.start_clients(proxy, CLIENTS)
            await asyncio.sleep(1.2)
            test_rig.discovery.set_mode(Mode.FAILING_LATE)
            test_rig.discovery.set_status("Gone", "s-0000")
            test_rig.move_discovery(proxy)
            await asyncio.sleep(NOTIFIED_AFTER + 0.5)
            test_rig.clients[0].stopped = True
            await clients
            assert test_rig.find_violations() == []

    run(test())
