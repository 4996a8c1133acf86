"""Stand-ins for the cases of this review: clients, backends and discovery on loopback sockets.

They follow the protocol page and use the standard library only. Proxies are started by the command `run` of
the deploy file, as processes of their own. All times are monotonic, in seconds.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# The settings that WIRE gives as its example of a first message (accra-swap, its second tier).
GRADES: list[dict[str, Any]] = [
    {"name": "swap-release", "deadline": 3.0, "effect": "once", "group": "all", "late_worth": 0.5,
     "objective": 1.2, "stream": False, "value": 2.0, "window": 5.0},
    {"name": "credit-topup", "deadline": 5.0, "effect": "by_key", "group": "cell", "late_worth": 0.2,
     "objective": 2.0, "stream": False, "value": 6.0, "window": 7.5},
]  # fmt: skip
SETTINGS: dict[str, Any] = {
    "balancers": 6, "me": 0, "stage": 1, "stages": ["station-gate", "swap-core", "ledger"],
    "zone": "tema-room", "dcs": ["tema-room"], "kinds": ["core-small"], "discovery": "ask", "family": "chain",
    "quantum": 0.005, "weights": "off", "worth_by": "work", "over_share_worth": 0.05, "grades": GRADES,
    "callers": {"marks_retry": False},
    "charges": {"connection": 0.0, "cross_zone": 0.0, "discovery": 0.005, "handshake": 0.02,
                "late_fail": 0.049, "peer": 0.0, "probe": 0.06, "waste": 0.25},
    "contract": {"cold": 8.1, "cold_from": 0.39, "drain_grace": 0.25, "fall_multiple": 3.0,
                 "grace_to_answer": 0.02, "must_ask_in": 10.0, "overload_for": 2.0},
    "objective_mix": {"whole": 0.45, "worst_class": 0.3, "worst_tenant": 0.1, "worst_window": 0.15},
    "policy_limits": {"conn_idle": 30.0, "connect_timeout": 0.25, "cpu_us_per_request": 0.0,
                      "cpu_us_per_s": 800000, "max_retry_after": 2.0, "may_cancel": True,
                      "may_duplicate": True, "most_held": 20000, "peers": False, "probes": True,
                      "retry_after": True, "send_cap": 3, "streams_per_conn": 1},
    "report": {"names": ["served_ps", "busy_reqs"], "via": "on_probe"},
    "specifics": {"passes_deadline": False},
    "tenants": [
        {"name": "okada-union", "portion": 0.4, "quota_rps": 42.0},
        {"name": "city-delivery", "portion": 0.27, "quota_rps": 28.0},
        {"name": "tricycle-coop", "portion": 0.23, "quota_rps": 24.0},
        {"name": "private-riders", "portion": 0.1, "quota_rps": 10.0},
    ],
}  # fmt: skip


class CannotRun(Exception):
    """The case could not be played, whatever the proxy does."""


class Record:
    """The lines of record.txt, each with its time since the start."""

    def __init__(self, folder: Path) -> None:
        self.started_at = time.monotonic()
        self.counts: Counter[str] = Counter()  # of the events
        self.file = (folder / "record.txt").open("w", encoding="utf-8")

    def write(self, event: str, **values: object) -> None:
        """Writes one event with its values."""
        self.counts[event] += 1
        at = time.monotonic() - self.started_at
        pairs = " ".join(f"{name}={value}" for name, value in values.items())
        self.file.write(f"{at:10.4f} {event} {pairs}\n")

    def close(self) -> None:
        """Ends the record."""
        self.file.close()


def free_port() -> int:
    """Returns a loopback port that nothing uses."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class Proxy:
    """One proxy under test, with the same name and addresses through its restarts."""

    def __init__(
        self,
        name: str,
        folder: Path,
        record: Record,
        discovery: str,
        known: dict[str, Any],
        settings: dict[str, Any],
        limits: dict[str, Any] | None = None,
    ) -> None:
        self.name, self.folder, self.record = name, folder, record
        self.port = free_port()
        self.config_path = folder / f"{name}.json"
        self.config: dict[str, Any] = {
            "name": name, "listen": f"127.0.0.1:{self.port}", "discovery": discovery, "seed": "",
            "limits": limits or {"cores": 1.0, "memory_mb": 80, "sockets": 512},
            "known": known, "settings": settings,
        }  # fmt: skip
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts a process by the deploy file's command `run`, with a new seed."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        self.config["seed"] = f"{random.getrandbits(64):016x}"
        self.config_path.write_text(json.dumps(self.config), encoding="utf-8")
        env = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
        env |= {
            "EDGE_CONFIG": str(self.config_path), "EDGE_NAME": self.name,
            "EDGE_LISTEN": self.config["listen"], "EDGE_DISCOVERY": self.config["discovery"],
            "TMPDIR": str(self.folder), "PYTHONDONTWRITEBYTECODE": "1",
        }  # fmt: skip
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(["sh", "-c", run], cwd=ROOT, env=env, stdout=log, stderr=log)
        self.record.write("proxy_started", proxy=self.name, pid=self.process.pid)

    async def wait_until_ready(self, timeout: float = 20.0) -> None:
        """Waits for a 200 to GET /healthz. Raises CannotRun."""
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            if self.process is None or self.process.poll() is not None:
                raise CannotRun(f"{self.name} ended before it was ready")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
                connection = await ClientConnection.open(self.port)
                answer = await connection.call(b"GET /healthz HTTP/1.1\r\nHost: service.internal\r\n\r\n")
                connection.close()
                if answer.code == 200:
                    self.record.write("proxy_ready", proxy=self.name)
                    return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} was not ready within {timeout} s")

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self.process is not None and self.running:
            self.record.write("signal", proxy=self.name, signal=number.name)
            self.process.send_signal(number)

    def stop(self) -> None:
        """Kills the process if it still runs."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()


class Answer:
    """A complete answer as a client read it."""

    def __init__(self, code: int, headers: dict[str, str], body: bytes) -> None:
        self.code, self.headers, self.body = code, headers, body


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Reads a start line and headers, with the headers' names in lower case."""
    return split_head(await reader.readuntil(b"\r\n\r\n"))


def split_head(head: bytes) -> tuple[str, dict[str, str]]:
    """Returns the start line and the headers, with the headers' names in lower case."""
    lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    return lines[0], {name.strip().lower(): value.strip() for name, _, value in pairs}


class ClientConnection:
    """A client's connection, which carries one request at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.usable = True

    @classmethod
    async def open(cls, port: int) -> ClientConnection:
        """Opens a connection to a proxy."""
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    async def call(self, request: bytes) -> Answer:
        """Sends a request and reads its answer. Raises OSError or IncompleteReadError if there is none."""
        self.writer.write(request)
        start_line, headers = await read_head(self.reader)
        body = await self.reader.readexactly(int(headers.get("content-length", "0")))
        self.usable = headers.get("connection", "").lower() != "close"
        return Answer(int(start_line.split(" ")[1]), headers, body)

    def close(self) -> None:
        """Closes the connection."""
        self.usable = False
        self.writer.close()


def encode_request(
    call_id: str, cls: dict[str, Any], budget: float, body: bytes = b"", caller: str = ""
) -> bytes:
    """Returns a request in the form of the protocol page."""
    method = "GET" if cls["effect"] == "repeatable" else "POST"
    lines = [
        f"{method} /{cls['name']} HTTP/1.1", "Host: service.internal", f"X-Call-Id: {call_id}",
        f"X-Budget: {int(budget * 1e6)}u",
    ]  # fmt: skip
    if caller:
        lines.append(f"X-Caller: {caller}")
    if cls["effect"] == "by_key":
        lines.append(f"Idempotency-Key: {call_id}{call_id}")
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


class Peer:
    """A connection as a backend or discovery holds it."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.first_byte_at = 0.0  # of the latest request
        self.host_lines = 0  # in it

    def answer(self, code: int, body: bytes = b"", *headers: str) -> bytes:
        """Writes an answer with its length, and returns its bytes."""
        lines = [f"HTTP/1.1 {code} Status", f"Content-Length: {len(body)}", *headers, "", ""]
        data = "\r\n".join(lines).encode() + body
        self.write(data)
        return data

    def write(self, data: bytes) -> None:
        """Writes bytes, unless the connection is closing."""
        if not self.writer.is_closing():
            self.writer.write(data)

    def reset(self) -> None:
        """Resets the connection."""
        transport: Any = self.writer.transport
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"  # on, for 0 s: the close sends a reset
        with contextlib.suppress(OSError):
            transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        transport.abort()


Handler = Callable[[Peer, str, dict[str, str], bytes], Awaitable[None]]


class HttpService:
    """Listens on a loopback port and hands each whole request, with its body, to a handler."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.port = 0
        self.server: asyncio.Server | None = None
        self.peers: set[Peer] = set()

    async def open(self) -> None:
        """Starts to listen, after the first time on the same port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    def kill(self) -> None:
        """Acts like a process that dies: resets all connections, and new ones are refused."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for peer in list(self.peers):
            peer.reset()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = Peer(reader, writer)
        self.peers.add(peer)
        try:
            while True:
                first = await reader.readexactly(1)
                peer.first_byte_at = time.monotonic()
                head = await reader.readuntil(b"\r\n\r\n")
                start_line, headers = split_head(first + head)
                peer.host_lines = head.lower().count(b"\nhost:")
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                await self.handler(peer, start_line.split(" ")[1], headers, body)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass  # the connection has ended, or the case has
        finally:
            self.peers.discard(peer)
            writer.close()


class Discovery:
    """Discovery by the protocol page: whole lists, and watches held until something is newer."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.version = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed_at: dict[str, int] = {}  # version in which an entry changed last
        self.changed = asyncio.Event()

    def set(self, name: str, address: str, status: str = "Ready", **fields: Any) -> None:
        """Adds or changes an entry, in a version of its own."""
        self.version += 1
        old = self.entries.get(name, {"zone": "tema-room", "type": "core-small", "group": 0, "weight": 1.0})
        self.entries[name] = {
            **old,
            "since_ms": 0,
            "name": name,
            "address": address,
            "status": status,
            **fields,
        }
        self.changed_at[name] = self.version
        self.record.write("listed", version=self.version, name=name, address=address, status=status)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def document(self, since: int | None) -> dict[str, Any]:
        """Returns the whole list, or the changes since a version."""
        if since is None:
            listed = [entry for entry in self.entries.values() if entry["status"] != "Gone"]
            return {"index": self.version, "snapshot": True, "endpoints": listed}
        listed = [entry for name, entry in self.entries.items() if self.changed_at[name] > since]
        return {"index": self.version, "snapshot": False, "endpoints": listed}

    async def handle(self, peer: Peer, target: str, headers: dict[str, str], body: bytes) -> None:
        """Answers a call."""
        query = parse_qs(target.partition("?")[2])
        since = int(query["from"][0]) if "from" in query else None
        until = time.monotonic() + min(float(query.get("hold_ms", ["0"])[0]), 60_000) / 1000
        while since is not None and since >= self.version and time.monotonic() < until:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
        await self.answer_call(peer, since)

    async def answer_call(self, peer: Peer, since: int | None) -> None:
        """Writes the list, or the changes since a version."""
        peer.answer(200, json.dumps(self.document(since)).encode())
        self.record.write("list_written", since=since, version=self.version)


def play(
    case: str, scene: Callable[[Path, Record, list[Proxy], list[HttpService]], Awaitable[bool]], limit: float
) -> int:
    """Plays a case and returns the exit code: 1 if its rule was broken, 0 if it held, 2 if it couldn't run.

    The scene adds the proxies and services that it starts to the two lists, and returns whether the rule
    held.
    """
    record = Record(Path(case).resolve().parent)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # by way of `finally`, which ends the proxies
    proxies: list[Proxy] = []
    services: list[HttpService] = []

    async def run() -> bool:
        async with asyncio.timeout(limit):
            return await scene(Path(folder), record, proxies, services)

    with tempfile.TemporaryDirectory() as folder:
        try:
            held = asyncio.run(run())
            for proxy in proxies:
                if not proxy.running:
                    raise CannotRun(f"{proxy.name} has ended")
            if not record.counts["got"]:
                raise CannotRun("no request was answered")
        except Exception as error:  # whatever it is, it says nothing about the rule
            record.write("could_not_run", reason=repr(error))
            print(f"could not run: {error!r}")
            return 2
        finally:
            for proxy in proxies:
                proxy.stop()
            for service in services:
                if service.server is not None:
                    service.server.close()
            record.close()
    print("the rule held" if held else "the rule was broken")
    return 0 if held else 1
