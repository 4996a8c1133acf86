"""A quarter of the backends drain while the watch is silent; then discovery is down for a while."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig2 import (  # noqa: E402
    SETTINGS,
    SLACK_S,
    TROUBLE,
    Backend,
    Connection,
    Discovery,
    Proxy,
    Record,
    Run,
    Sent,
    answer,
    known_list,
    now,
    run_case,
    serve_ok,
)

BACKENDS, DRAINING, CLIENTS = 8, 2, 30
NOTIFIED_AFTER_S = 6.0  # STANDING: after discovery had the change and could be reached
NOTIFIED_AFTER_HOLD_S = 2.0  # STANDING: after the wait of a long poll that fell silent
REACHABLE_S, OUTAGE_S = 9.0, 45.0


async def case(record: Record, folder: Path) -> bool:
    """Returns whether a draining backend got a request after the proxy counted as told."""
    draining: set[str] = set()

    async def behave(backend: Backend, run: Run, writer: asyncio.StreamWriter) -> None:
        if backend.name in draining:  # it finishes what it has and turns the rest away
            writer.write(answer(503, b"draining", "X-Rejected: 1"))
        else:
            await asyncio.sleep(0.08)
            await serve_ok(backend, run, writer)

    discovery = Discovery(record)
    await discovery.open()
    backends = [Backend(f"b{number}", record, behave) for number in range(BACKENDS)]
    for backend in backends:
        await backend.open()
        discovery.put(backend.name, backend.address)
    proxy = Proxy("n0", folder, discovery.address, known=known_list(discovery))
    stopped = asyncio.Event()

    async def client(number: int) -> None:
        connection, count = Connection(proxy.address, record), 0
        while not stopped.is_set():
            sent = Sent(f"{number:04x}{count:012x}", "swap-release", 1.5, "", b"kiosk")
            count += 1
            await connection.send(sent, "once")
            await asyncio.sleep(0.4)
        connection.close()

    tasks: list[asyncio.Task[None]] = []
    try:
        await proxy.start()
        tasks = [asyncio.create_task(client(number)) for number in range(CLIENTS)]
        await asyncio.sleep(3)
        silent_at = now()
        if TROUBLE:
            discovery.silence()
        await asyncio.sleep(1)
        changed_at = now()
        for backend in backends[:DRAINING]:
            draining.add(backend.name)
            discovery.put(backend.name, backend.address, "Terminating")
        version = discovery.version
        await asyncio.sleep(REACHABLE_S)
        if TROUBLE:
            record.add("discovery goes down: it resets its connections and refuses new ones")
            discovery.die()
        await asyncio.sleep(OUTAGE_S)
        stopped.set()
        await asyncio.gather(*tasks)
        written = [at for at, written_version in discovery.written if written_version >= version]
        called_at, hold = max(call for call in discovery.calls if call[0] <= silent_at)
        clocks = [changed_at + NOTIFIED_AFTER_S, silent_at + NOTIFIED_AFTER_S]
        clocks.append(called_at + hold + NOTIFIED_AFTER_HOLD_S)
        told_at = min([*written, max(clocks)])  # the latest moment that any sentence of the pages allows
        until = told_at + SETTINGS["contract"]["drain_grace"] + SLACK_S
        record.add(
            f"the proxy counts as told at {told_at:.3f}, at the latest; sends are allowed to {until:.3f}"
        )
        late = [run for backend in backends[:DRAINING] for run in backend.runs if run.first_at > until]
        for run in late:
            record.add(f"BROKEN: {run.backend} gets {run.id} {run.first_at - told_at:.3f} s later")
        record.add(f"{len(late)} requests to draining backends after that time")
        return bool(late)
    finally:
        stopped.set()
        for task in tasks:
            task.cancel()
        await proxy.close()
        discovery.close()
        for backend in backends:
            backend.close()


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER))
