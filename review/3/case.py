"""A list that discovery writes without a length is dropped, and requests go on to the backends that drain."""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    GRADES,
    SETTINGS,
    TROUBLE,
    ClientConnection,
    Discovery,
    HttpService,
    Peer,
    Proxy,
    Record,
    encode_request,
    play,
)

BACKENDS = 8
CLIENTS = 4
RUN_S = 80.0
WORK_S = (0.02, 0.06)
BEFORE_DRAIN_S = 2.0  # rolling deploys, one after another: each replaces 7 of 8 backends within 35 s
DRAIN_S = 3.0  # from the begin of a drain until the backend ends
DRAIN_GRACE_S = 0.25  # the setting contract.drain_grace
SLACK_S = 0.05  # "every time limit is 50 ms longer" on sockets
NO_LENGTH_SHARE = 0.5  # of discovery's answers


class ListService(Discovery):
    """Discovery, some of whose answers have no length: they end with the connection, and say so."""

    def __init__(self, record: Record) -> None:
        super().__init__(record)
        self.told_at: dict[str, float] = {}  # by backend: when its drain had been written to the proxy
        self.trouble = False

    async def answer_call(self, peer: Peer, since: int | None) -> None:
        """Writes the list, and notes which drains it tells."""
        data = json.dumps(self.document(since)).encode()
        plain = not (self.trouble and random.random() < NO_LENGTH_SHARE)
        if plain:
            peer.answer(200, data)
        else:
            peer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n" + data
            )
            peer.writer.close()
        now = time.monotonic()
        for name, entry in self.entries.items():
            if entry["status"] != "Ready" and (since is None or self.changed_at[name] > since):
                self.told_at.setdefault(name, now)
        self.record.write("list_written", since=since, version=self.version, length="yes" if plain else "no")


class Backend:
    """Serves each request after some work, also while it drains, until it ends."""

    def __init__(self, name: str, record: Record, discovery: ListService) -> None:
        self.name, self.record, self.discovery = name, record, discovery
        self.service = HttpService(self.handle)
        self.late = 0

    async def handle(self, peer: Peer, target: str, headers: dict[str, str], body: bytes) -> None:
        """Answers one request."""
        if target in ("/load", "/healthz"):
            peer.answer(200, b"qps=10,inflight=1")
            return
        told_at = self.discovery.told_at.get(self.name)
        since_told = peer.first_byte_at - told_at if told_at else -1.0
        if since_told > DRAIN_GRACE_S + SLACK_S:
            self.late += 1
            self.record.write(
                "AFTER_DRAIN", backend=self.name, id=headers["x-call-id"], since_told=f"{since_told:.3f}"
            )
        else:
            self.record.write("run", backend=self.name, id=headers["x-call-id"])
        await asyncio.sleep(random.uniform(*WORK_S))
        peer.answer(200, f"receipt of {headers['x-call-id']}".encode())


async def client(number: int, proxy: Proxy, record: Record, until: float) -> None:
    """Sends requests one after another."""
    count = 0
    connection: ClientConnection | None = None
    while time.monotonic() < until:
        count += 1
        call_id = f"{number:04x}{count:012x}"
        cls = random.choice(GRADES)
        try:
            if connection is None or not connection.usable:
                connection = await ClientConnection.open(proxy.port)
            record.write("sent", id=call_id, cls=cls["name"])
            answer = await connection.call(encode_request(call_id, cls, cls["deadline"]))
        except (OSError, asyncio.IncompleteReadError) as error:
            record.write("no_answer", id=call_id, error=type(error).__name__)
            connection = None
            continue
        record.write("got", id=call_id, code=answer.code)
        await asyncio.sleep(0.01 if answer.code == 200 else 0.05)
    if connection is not None:
        connection.close()


async def deploy(
    backends: list[Backend], discovery: ListService, record: Record, services: list[HttpService], until: float
) -> None:
    """Replaces one backend after another: it drains, its successor joins, and it ends."""
    number = len(backends)
    for old in backends:  # the successors too, which are appended meanwhile
        await asyncio.sleep(BEFORE_DRAIN_S)
        if time.monotonic() > until - DRAIN_S - 1.0:
            return
        discovery.set(old.name, f"127.0.0.1:{old.service.port}", "Terminating")
        await asyncio.sleep(DRAIN_S)
        old.service.kill()
        discovery.set(old.name, f"127.0.0.1:{old.service.port}", "Gone")
        record.write("ended", backend=old.name)
        new = Backend(f"s-{number}", record, discovery)
        number += 1
        await new.service.open()
        services.append(new.service)
        backends.append(new)
        discovery.set(new.name, f"127.0.0.1:{new.service.port}", since_ms=int(time.time() * 1000))


async def scene(folder: Path, record: Record, proxies: list[Proxy], services: list[HttpService]) -> bool:
    """Plays the case; returns whether no request went to a backend after the grace of its drain."""
    discovery = ListService(record)
    listing = HttpService(discovery.handle)
    services.append(listing)
    await listing.open()
    backends = []
    for number in range(BACKENDS):
        backend = Backend(f"s-{number}", record, discovery)
        backends.append(backend)
        services.append(backend.service)
        await backend.service.open()
        discovery.set(backend.name, f"127.0.0.1:{backend.service.port}")
    proxy = Proxy("n0", folder, record, f"127.0.0.1:{listing.port}", discovery.document(None), SETTINGS)
    proxies.append(proxy)
    proxy.start()
    await proxy.wait_until_ready()
    discovery.trouble = TROUBLE
    until = time.monotonic() + RUN_S
    await asyncio.gather(
        deploy(backends, discovery, record, services, until),
        *(client(number, proxy, record, until) for number in range(CLIENTS)),
    )
    late = sum(backend.late for backend in backends)
    print(f"{len(discovery.told_at)} drains told, {late} requests sent more than the grace afterwards")
    return not late


if __name__ == "__main__":
    sys.exit(play(__file__, scene, limit=110.0))
