"""What is not a proper HTTP/1.1 request is forwarded, run by a backend and served with 200."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections import Counter
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
    read_head,
)

BACKENDS = 3
CLIENTS = 4
RUN_S = 30.0
WORK_S = (0.02, 0.06)
BAD_PEER_EVERY_S = 0.25
WINDOW_S = 3.0  # within which a bad peer is owed an error or a close, from its connect
# By name: the request line and the Host lines of what a bad peer sends. The rest is as in a proper request.
IMPROPER = {
    "no version": (b"POST /swap-release", b"Host: service.internal\r\n"),
    "another protocol": (b"POST /swap-release RTSP/1.0", b"Host: service.internal\r\n"),
    "HTTP/2 in plain text": (b"POST /swap-release HTTP/2.0", b"Host: service.internal\r\n"),
    "HTTP/0.9 with headers": (b"POST /swap-release HTTP/0.9", b"Host: service.internal\r\n"),
    "no Host": (b"POST /swap-release HTTP/1.1", b""),
    "two Hosts": (b"POST /swap-release HTTP/1.1", b"Host: service.internal\r\nHost: b.internal\r\n"),
    "no protocol at all": (b"\x16\x03\x01\x02\x00", b""),
    "unknown class": (b"POST /no-such-class HTTP/1.1", b"Host: service.internal\r\n"),
}


class Backend:
    """Serves each request after some work; like a sound HTTP/1.1 server it wants exactly one Host."""

    def __init__(self, name: str, record: Record, bad: dict[str, str], run: Counter[str]) -> None:
        self.name, self.record, self.bad, self.run = name, record, bad, run
        self.service = HttpService(self.handle)

    async def handle(self, peer: Peer, target: str, headers: dict[str, str], body: bytes) -> None:
        """Answers one request."""
        if target in ("/load", "/healthz"):
            peer.answer(200, b"qps=10,inflight=1")
            return
        call_id = headers["x-call-id"]
        if peer.host_lines != 1:
            self.record.write("rejected", backend=self.name, id=call_id, hosts=peer.host_lines)
            peer.answer(400, b"one Host is needed\n")
            return
        kind = self.bad.get(call_id)
        self.record.write(
            "run", backend=self.name, id=call_id, sent_by="client" if kind is None else "bad peer"
        )
        if kind is not None:
            self.run[kind] += 1
        await asyncio.sleep(random.uniform(*WORK_S))
        peer.answer(200, f"receipt of {call_id}".encode())


async def client(number: int, proxy: Proxy, record: Record, until: float) -> None:
    """Sends proper requests one after another."""
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


async def bad_peers(
    proxy: Proxy, record: Record, bad: dict[str, str], served: Counter[str], left: Counter[str], until: float
) -> None:
    """Sends one thing after another that is no proper request, each on a connection of its own."""
    count = 0
    while time.monotonic() < until:
        await asyncio.sleep(BAD_PEER_EVERY_S)
        count += 1
        kind = list(IMPROPER)[count % len(IMPROPER)]
        call_id = f"bad0{count:012x}"
        bad[call_id] = kind
        line, hosts = IMPROPER[kind]
        rest = f"X-Call-Id: {call_id}\r\nX-Budget: 3000m\r\nContent-Length: 0\r\n\r\n".encode()
        reader, writer = await asyncio.open_connection("127.0.0.1", proxy.port)
        record.write("sent_improper", id=call_id, kind=repr(kind), line=line)
        writer.write(line + b"\r\n" + hosts + rest)
        try:
            start_line, _ = await asyncio.wait_for(read_head(reader), WINDOW_S)
            code = int(start_line.split(" ")[1])
            record.write("SERVED" if code == 200 else "got", id=call_id, code=code, kind=repr(kind))
            served[kind] += code == 200
        except TimeoutError:
            record.write("LEFT", id=call_id, kind=repr(kind))
            left[kind] += 1
        except (OSError, asyncio.IncompleteReadError):
            record.write("closed", id=call_id, kind=repr(kind))
        writer.close()


async def scene(folder: Path, record: Record, proxies: list[Proxy], services: list[HttpService]) -> bool:
    """Plays the case; returns whether no improper request was run or served, and none left without an end."""
    bad: dict[str, str] = {}  # what bad peers sent, by id
    run: Counter[str] = Counter()
    served: Counter[str] = Counter()
    left: Counter[str] = Counter()
    discovery = Discovery(record)
    listing = HttpService(discovery.handle)
    services.append(listing)
    await listing.open()
    for number in range(BACKENDS):
        backend = Backend(f"s-{number}", record, bad, run)
        services.append(backend.service)
        await backend.service.open()
        discovery.set(backend.name, f"127.0.0.1:{backend.service.port}")
    proxy = Proxy("n0", folder, record, f"127.0.0.1:{listing.port}", discovery.document(None), SETTINGS)
    proxies.append(proxy)
    proxy.start()
    await proxy.wait_until_ready()
    until = time.monotonic() + RUN_S
    players = [client(number, proxy, record, until) for number in range(CLIENTS)]
    if TROUBLE:
        players.append(bad_peers(proxy, record, bad, served, left, until))
    await asyncio.gather(*players)
    for kind in IMPROPER:
        sent = list(bad.values()).count(kind)
        print(
            f"{kind}: sent {sent}, run {run[kind]}, served {served[kind]}, left without an end {left[kind]}"
        )
    return not run and not served.total() and not left


if __name__ == "__main__":
    sys.exit(play(__file__, scene, limit=100.0))
