"""A backend restarts and comes back cold, where the weights of the list are `live`."""

from __future__ import annotations

import asyncio
import copy
import math
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig2 import (  # noqa: E402
    SETTINGS,
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
)

PROXIES, BACKENDS = 8, 8  # a later tier: each backend of the tier before has a proxy of its own
RATE, PERIOD_S = 200.0, 2.4  # requests per second of all callers, and between two of one caller
WORK_S, NEXT_TIER_S = 1 / 30, 1.2  # one core per backend; it keeps the slot while it waits for the next tier
CONTRACT = SETTINGS["contract"]
COLD_FROM, COLD_S = CONTRACT["cold_from"], CONTRACT["cold"]
MULTIPLE, WITHIN_S = CONTRACT["fall_multiple"], CONTRACT["overload_for"]


class Core(Backend):
    """A backend of one core, whose capacity grows evenly after a start."""

    def __init__(self, name: str, record: Record) -> None:
        super().__init__(name, record, self.work)
        self.started_at = -math.inf
        self.busy_until = 0.0

    def share(self, at: float) -> float:
        """The share of its full capacity that it has at a time."""
        return min(1.0, COLD_FROM + (1 - COLD_FROM) * (at - self.started_at) / COLD_S)

    @property
    def live_weight(self) -> float:
        """WIRE: size divided by 1 + requests held per core."""
        return round(1 / (1 + self.held_now), 4)

    async def work(self, _: Backend, run: Run, writer: asyncio.StreamWriter) -> None:
        """Does the work of a request on the core, then waits for the next tier."""
        self.busy_until = max(now(), self.busy_until) + WORK_S / self.share(now())
        await asyncio.sleep(self.busy_until - now() + NEXT_TIER_S)
        writer.write(answer(200, f"{self.name} did {run.id}".encode()))


def allowed(backend: Core, until: float) -> float:
    """How many requests a cold backend bears within the stated time (STANDING), as of its end."""
    most = MULTIPLE * backend.share(until) / WORK_S * WITHIN_S
    return most + (2 * math.sqrt(most) + 2 if most >= 30 else 3 * math.sqrt(most) + 3)


async def case(record: Record, folder: Path) -> bool:
    """Returns whether the cold backend got more than it bears."""
    discovery = Discovery(record)
    await discovery.open()
    backends = [Core(f"b{number}", record) for number in range(BACKENDS)]
    for backend in backends:
        await backend.open()
        discovery.put(backend.name, backend.address)
    proxies = []
    for number in range(PROXIES):
        settings = copy.deepcopy(SETTINGS)
        settings.update(weights="live", stage=1, balancers=PROXIES, me=number)
        proxies.append(Proxy(f"n{number}", folder, discovery.address, settings, known=known_list(discovery)))
    stopped = asyncio.Event()

    async def caller(number: int) -> None:
        connection, count = Connection(proxies[number % PROXIES].address, record), 0
        await asyncio.sleep(PERIOD_S * number / (RATE * PERIOD_S))
        while not stopped.is_set():
            began = now()
            sent = Sent(f"{number:04x}{count:012x}", "credit-topup", 5.0, f"{number:x}-{count:x}", b"kiosk")
            count += 1
            await connection.send(sent, "by_key")
            await asyncio.sleep(max(0.0, began + PERIOD_S - now()))
        connection.close()

    tasks: list[asyncio.Task[None]] = []
    try:
        await asyncio.gather(*(proxy.start() for proxy in proxies))
        tasks = [asyncio.create_task(caller(number)) for number in range(int(RATE * PERIOD_S))]
        await asyncio.sleep(8)
        for backend in backends:  # discovery takes a new sample of what the backends hold
            discovery.put(backend.name, backend.address, weight=backend.live_weight)
            record.add(f"{backend.name} holds {backend.held_now} requests: weight {backend.live_weight}")
        await asyncio.sleep(4)
        cold = backends[0]
        if TROUBLE:
            cold.die()
            discovery.put(cold.name, cold.address, "Gone")
            await asyncio.sleep(3)
            await cold.open()
            cold.started_at = now()
            cold.busy_until = 0.0
            discovery.put(cold.name, cold.address, since_ms=int(time.time() * 1000), weight=cold.live_weight)
        await asyncio.sleep(COLD_S)
        stopped.set()
        await asyncio.gather(*tasks)
        times = [run.at for run in cold.runs if run.at >= cold.started_at] if TROUBLE else []
        worst = 0.0
        for first in times:
            got = sum(first <= at < first + WITHIN_S for at in times)
            most = allowed(cold, first + WITHIN_S)
            if got > most and got / most > worst:
                worst = got / most
                after = first - cold.started_at
                can_do = cold.share(first + WITHIN_S) / WORK_S * WITHIN_S
                record.add(
                    f"BROKEN: {cold.name} gets {got} requests in {WITHIN_S:g} s, {after:.2f} s after its "
                    f"start: it bears {most:.1f}, and can do {can_do:.1f}"
                )
        return worst > 0
    finally:
        stopped.set()
        for task in tasks:
            task.cancel()
        for proxy in proxies:
            await proxy.close()
        discovery.close()
        for backend in backends:
            backend.close()


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER))
