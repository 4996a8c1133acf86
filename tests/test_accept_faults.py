"""Connections that arrive while accept() lacks descriptors must be accepted later, not closed.

On ENFILE and EMFILE the event loop's own library frees a spare descriptor, accepts whatever waits in the
backlog and closes it. When accept failed with ENFILE for three seconds, in six calls of ten, 10 to 40
requests that had been sent on new connections ended without an answer, all within one millisecond.
ECONNABORTED, ENOBUFS and EINTR, which the library handles otherwise, lost none.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from netkit import run

from granitepoint.faults.harness import soak_harness
from granitepoint.faults.syscalls import (
    SyscallFault,
    build_library,
    compiler_path,
    fault_environment,
    injected_counts,
)

ERRORS_FROM_S, ERRORS_UNTIL_S = 0.5, 3.5  # since the start of the process
CLIENTS = 6


@pytest.mark.skipif(compiler_path() is None, reason="no C compiler")
@pytest.mark.parametrize("errno", ["ENFILE", "EMFILE", "ENOBUFS", "ECONNABORTED"])
def test_connections_in_the_backlog_are_accepted_after_accept_errors(errno: str, tmp_path: Path) -> None:
    async def test() -> None:
        plan = [SyscallFault("accept", errno, 0.6, ERRORS_FROM_S, ERRORS_UNTIL_S)]
        counts = tmp_path / "counts"
        async with soak_harness(tmp_path, 1, servers=2) as test_rig:
            proxy = await test_rig.add_proxy(fault_environment(build_library(tmp_path), plan, 1, counts))
            await test_rig.wait_until_ready()
            clients = test_rig.start_clients(proxy, CLIENTS)
            await asyncio.sleep(ERRORS_UNTIL_S)
            test_rig.clients[0].stopped = True
            await clients
            assert injected_counts(plan, counts)[plan[0]] > 10
            assert test_rig.find_violations() == []
            assert all(request.code == 200 for request in test_rig.clients[0].requests)

    run(test())
