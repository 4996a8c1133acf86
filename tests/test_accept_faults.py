"""Descriptors that the machine has none of for a moment, while clients connect.

What users saw: 10 to 40 requests on new connections ended without an answer, all within one millisecond.

The order of events: accept gave ENFILE for three seconds, to six calls in ten. Clients that had connected and
sent their request were cut off.

The cause: the event loop's library answers ENFILE and EMFILE by giving up a spare descriptor to accept
whatever waits and close it. Those connections were the machine's for the proxy, with whole requests on them.

The evidence: with ECONNABORTED, ENOBUFS and EINTR, which it handles otherwise, none was lost; the end came
in the same millisecond for all that waited.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from netkit import run

from granitepoint.faults.rig import soak_harness
from granitepoint.faults.syscalls import SyscallFault, build_library, compiler_path, fault_environment, injected_counts

FROM, UNTIL = 0.5, 3.5  # s of the process's life
CLIENTS = 6


@pytest.mark.skipif(compiler_path() is None, reason="no C compiler")
@pytest.mark.parametrize("errno", ["ENFILE", "EMFILE", "ENOBUFS", "ECONNABORTED"])
def test_what_waits_while_accept_fails_is_accepted_later(errno: str, tmp_path: Path) -> None:
    async def test() -> None:
        plan = [SyscallFault("accept", errno, 0.6, FROM, UNTIL)]
        counts = tmp_path / "counts"
        async with soak_harness(tmp_path, 1, servers=2) as made:
            proxy = await made.add_proxy(fault_environment(build_library(tmp_path), plan, 1, counts))
            await made.wait_until_ready()
            clients = made.start_clients(proxy, CLIENTS)
            await asyncio.sleep(UNTIL)
            made.clients[0].stopped = True
            await clients
            assert injected_counts(plan, counts)[plan[0]] > 10
            assert made.find_violations() == []
            assert all(request.code == 200 for request in made.clients[0].requests)

    run(test())
