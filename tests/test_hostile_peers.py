"""Crowds and floods of hostile clients against a real proxy: its memory, and the answers to other clients."""

from __future__ import annotations

import asyncio
import sys
from dataclasses import dataclass
from pathlib import Path

import pytest
from netkit import run

from granitepoint.faults.clients import Request
from granitepoint.faults.harness import SoakHarness, soak_harness
from granitepoint.faults.hostile_peers import CROWDS, FLOODS
from granitepoint.faults.process import ProxyProcess

HOSTILE_S = 3.0
WARM_UP_S = 0.5
SERVED_SHARE = 0.9  # of the requests of ordinary clients
MAX_GROWTH_MB = 1.0  # in the second half of a flood
MEMORY_MB, LEAST_MEMORY_MB = 192, 32


@dataclass(slots=True)
class Impact:
    """What a proxy and its ordinary clients saw while hostile clients were there."""

    peak_mb: float
    growth_mb: float  # from the middle to the end
    requests: list[Request]  # of the ordinary clients

    @property
    def served_share(self) -> float:
        """Share of the ordinary requests that were answered with 200 in time."""
        served = [
            each for each in self.requests if each.code == 200 and each.ended_at <= each.sent_at + each.budget
        ]
        return len(served) / len(self.requests)


def resident_mb(proxy: ProxyProcess, field: str) -> float:
    """Returns a field of the process's status, such as VmRSS or its peak VmHWM, in MB."""
    assert proxy.process is not None and proxy.process.returncode is None
    lines = Path(f"/proc/{proxy.process.pid}/status").read_text(encoding="ascii").splitlines()
    return next(int(line.split()[1]) / 1024 for line in lines if line.startswith(field + ":"))


async def play(harness: SoakHarness, kind: str, size: int, memory_mb: int) -> Impact:
    harness.limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024}
    proxy = await harness.add_proxy()
    await harness.wait_until_ready()
    clients_task = harness.start_clients(proxy, 5)
    await asyncio.sleep(WARM_UP_S)
    arguments = [*map(str, proxy.address), kind, str(size), str(HOSTILE_S)]
    hostile = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "granitepoint.faults.hostile_peers",
        *arguments,
        stdout=asyncio.subprocess.DEVNULL,
    )
    await asyncio.sleep(HOSTILE_S / 2)
    middle_mb = resident_mb(proxy, "VmRSS")
    assert await hostile.wait() == 0
    growth_mb = resident_mb(proxy, "VmRSS") - middle_mb
    harness.clients[0].stopped = True
    await clients_task
    return Impact(resident_mb(proxy, "VmHWM"), growth_mb, harness.clients[0].requests)


def play_against(kind: str, size: int, memory_mb: int, folder: Path) -> Impact:
    impacts: list[Impact] = []

    async def test() -> None:
        async with soak_harness(folder, seed=44, servers=3) as harness:
            impacts.append(await play(harness, kind, size, memory_mb))

    run(test())
    return impacts[0]


@pytest.mark.parametrize("memory_mb", [MEMORY_MB, LEAST_MEMORY_MB])
@pytest.mark.parametrize("kind", CROWDS)
def test_a_crowd_of_unfinished_requests_does_not_exceed_the_memory_limit(
    kind: str, memory_mb: int, tmp_path: Path
) -> None:
    impact = play_against(kind, 900, memory_mb, tmp_path)
    assert impact.peak_mb <= memory_mb


@pytest.mark.parametrize("kind", CROWDS)
def test_beside_a_crowd_of_unfinished_requests_others_are_served_in_time(kind: str, tmp_path: Path) -> None:
    impact = play_against(kind, 300, MEMORY_MB, tmp_path)
    assert impact.served_share >= SERVED_SHARE


@pytest.mark.parametrize("kind", FLOODS)
def test_beside_a_flood_on_one_connection_others_are_served_in_time_and_memory_does_not_grow(
    kind: str, tmp_path: Path
) -> None:
    impact = play_against(kind, 1, LEAST_MEMORY_MB, tmp_path)
    assert impact.peak_mb <= LEAST_MEMORY_MB and impact.growth_mb <= MAX_GROWTH_MB
    assert impact.served_share >= SERVED_SHARE
