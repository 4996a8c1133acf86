"""A second answer that comes some milliseconds late is served as the answer to the next request."""

from __future__ import annotations

import asyncio
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

BACKENDS = 3
CLIENTS = 2  # each sends one request after another, like a server that calls the next tier
RUN_S = 30.0
WORK_S = (0.02, 0.06)
SECOND_SHARE = 0.05  # of the answers come twice
SECOND_DELAY_S = (0.002, 0.008)  # from an answer to its copy


class Backend:
    """Serves each request after some work, and sends some answers a second time."""

    def __init__(self, name: str, record: Record, made: dict[str, bytes]) -> None:
        self.name, self.record, self.made = name, record, made
        self.service = HttpService(self.handle)

    async def handle(self, peer: Peer, target: str, headers: dict[str, str], body: bytes) -> None:
        """Answers one request."""
        if target in ("/load", "/healthz"):
            peer.answer(200, b"qps=10,inflight=1")
            return
        call_id = headers["x-call-id"]
        self.record.write("run", backend=self.name, id=call_id)
        await asyncio.sleep(random.uniform(*WORK_S))
        made = self.made[call_id] = f"receipt of {call_id} by {self.name}".encode()
        data = peer.answer(200, made)
        self.record.write("answered", backend=self.name, id=call_id)
        if TROUBLE and random.random() < SECOND_SHARE:
            asyncio.get_running_loop().call_later(
                random.uniform(*SECOND_DELAY_S), self.send_again, peer, call_id, data
            )

    def send_again(self, peer: Peer, call_id: str, data: bytes) -> None:
        """Sends the copy of an answer."""
        self.record.write("second_answer", backend=self.name, id=call_id)
        peer.write(data)


async def client(number: int, proxy: Proxy, record: Record, made: dict[str, bytes], until: float) -> int:
    """Sends requests one after another; returns how many were served with what was not made for them."""
    wrong = count = 0
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
        foreign = answer.code == 200 and answer.body != made.get(call_id)
        wrong += foreign
        record.write(
            "FOREIGN" if foreign else "got", id=call_id, code=answer.code, body=answer.body.decode().strip()
        )
        if answer.code != 200:
            await asyncio.sleep(0.05)
    if connection is not None:
        connection.close()
    return wrong


async def scene(folder: Path, record: Record, proxies: list[Proxy], services: list[HttpService]) -> bool:
    """Plays the case; returns whether every 200 carried what a backend had made for that request."""
    made: dict[str, bytes] = {}
    discovery = Discovery(record)
    listing = HttpService(discovery.handle)
    services.append(listing)
    await listing.open()
    for number in range(BACKENDS):
        backend = Backend(f"s-{number}", record, made)
        services.append(backend.service)
        await backend.service.open()
        discovery.set(backend.name, f"127.0.0.1:{backend.service.port}")
    proxy = Proxy("n0", folder, record, f"127.0.0.1:{listing.port}", discovery.document(None), SETTINGS)
    proxies.append(proxy)
    proxy.start()
    await proxy.wait_until_ready()
    until = time.monotonic() + RUN_S
    wrong = await asyncio.gather(*(client(n, proxy, record, made, until) for n in range(CLIENTS)))
    print(f"{len(made)} answers made, {sum(wrong)} requests served with the answer to another one")
    return not sum(wrong)


if __name__ == "__main__":
    sys.exit(play(__file__, scene, limit=100.0))
