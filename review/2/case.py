"""After a new configuration, a watch that falls silent keeps the old list in use for longer than 4 s."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import sys
import time
from pathlib import Path
from urllib.parse import parse_qs

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

BACKENDS = 4
CLIENTS = 4
WORK_S = (0.02, 0.06)
BEFORE_SIGNAL_S = 3.0
OLD_ADDRESS_CLOSES_S = 1.5  # after the signal
SILENT_AT_S = 2.0  # after the signal: all open watches fall silent, once
DRAIN_AT_S = 2.5  # after the signal: a quarter of the backends begins to drain, and stays up to the end
TOLD_AT_S = 4.0  # after the signal: what discovery has to tell counts as told
DRAIN_GRACE_S = 0.25  # the setting contract.drain_grace
SLACK_S = 0.05  # "every time limit is 50 ms longer" on sockets
END_S = 30.0  # after the signal


class MovingDiscovery(Discovery):
    """Discovery at two addresses, one after the other, whose open watches can fall silent once."""

    def __init__(self, record: Record) -> None:
        super().__init__(record)
        self.watching: set[Peer] = set()
        self.silent: set[Peer] = set()

    async def handle(self, peer: Peer, target: str, headers: dict[str, str], body: bytes) -> None:
        """Answers a call, unless its watch falls silent meanwhile."""
        query = parse_qs(target.partition("?")[2])
        self.record.write("discovery_called", since=query.get("from"), hold_ms=query.get("hold_ms"))
        self.watching.add(peer)
        try:
            await super().handle(peer, target, headers, body)
        finally:
            self.watching.discard(peer)

    async def answer_call(self, peer: Peer, since: int | None) -> None:
        """Writes the list; on a connection that has fallen silent nothing is written any more."""
        if peer in self.silent:
            await asyncio.Event().wait()
        await super().answer_call(peer, since)

    def fall_silent(self, address: HttpService) -> None:
        """All open watches at an address fall silent: they stay open, and nothing comes on them any more."""
        silent = self.watching & address.peers
        self.silent |= silent
        self.record.write("watches_silent", count=len(silent))


class Backend:
    """Serves each request after some work, also while it drains."""

    def __init__(self, name: str, record: Record) -> None:
        self.name, self.record = name, record
        self.service = HttpService(self.handle)
        self.drain_told_at = float("inf")
        self.late = 0

    async def handle(self, peer: Peer, target: str, headers: dict[str, str], body: bytes) -> None:
        """Answers one request."""
        if target in ("/load", "/healthz"):
            peer.answer(200, b"qps=10,inflight=1")
            return
        since_told = peer.first_byte_at - self.drain_told_at
        late = since_told > DRAIN_GRACE_S + SLACK_S
        self.late += late
        event = "AFTER_DRAIN" if late else "run"
        self.record.write(event, backend=self.name, id=headers["x-call-id"], since_told=f"{since_told:.3f}")
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
            await asyncio.sleep(0.05)
            continue
        record.write("got", id=call_id, code=answer.code)
        await asyncio.sleep(0.05)
    if connection is not None:
        connection.close()


async def scene(folder: Path, record: Record, proxies: list[Proxy], services: list[HttpService]) -> bool:
    """Plays the case; returns whether the draining backend got nothing after the grace."""
    discovery = MovingDiscovery(record)
    old_address, new_address = HttpService(discovery.handle), HttpService(discovery.handle)
    services += [old_address, new_address]
    await old_address.open()
    await new_address.open()
    backends = []
    for number in range(BACKENDS):
        backend = Backend(f"s-{number}", record)
        backends.append(backend)
        services.append(backend.service)
        await backend.service.open()
        discovery.set(backend.name, f"127.0.0.1:{backend.service.port}")
    known = discovery.document(None)
    proxy = Proxy("n0", folder, record, f"127.0.0.1:{old_address.port}", known, SETTINGS)
    proxies.append(proxy)
    proxy.start()
    await proxy.wait_until_ready()
    loop = asyncio.get_running_loop()
    signal_at = time.monotonic() + BEFORE_SIGNAL_S
    clients = [
        loop.create_task(client(number, proxy, record, signal_at + END_S)) for number in range(CLIENTS)
    ]
    # A change like many: it leads the versions on, so that a new address has something to compare.
    discovery.set("s-3", f"127.0.0.1:{backends[3].service.port}", weight=1.01)

    await asyncio.sleep(signal_at - time.monotonic())
    proxy.config["discovery"] = f"127.0.0.1:{new_address.port}"
    proxy.config_path.write_text(json.dumps(proxy.config), encoding="utf-8")
    signal_at = time.monotonic()
    proxy.send_signal(signal.SIGHUP)
    if old_address.server is not None:
        old_address.server.close()  # takes no new connections
    await asyncio.sleep(signal_at + OLD_ADDRESS_CLOSES_S - time.monotonic())
    old_address.kill()
    await asyncio.sleep(signal_at + SILENT_AT_S - time.monotonic())
    if TROUBLE:
        discovery.fall_silent(new_address)
    await asyncio.sleep(signal_at + DRAIN_AT_S - time.monotonic())
    backends[0].drain_told_at = signal_at + TOLD_AT_S
    discovery.set("s-0", f"127.0.0.1:{backends[0].service.port}", "Terminating")
    await asyncio.gather(*clients)
    print(f"{backends[0].late} requests sent to the draining backend after the grace")
    return not backends[0].late


if __name__ == "__main__":
    sys.exit(play(__file__, scene, limit=100.0))
