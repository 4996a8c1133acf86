"""Stand-ins for the second review: a proxy process, discovery, backends and clients on loopback sockets.

They follow the pages PROTOCOL, DEPLOY and STANDING. All times are monotonic, in seconds since the start of
the case. Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import os
import signal
import socket
import struct
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SLACK_S = 0.05  # PROTOCOL, "The rules on sockets": every time limit is 50 ms longer
START = time.monotonic()

# The settings of accra-swap, as the site file and the brief give them.
GRADES: list[dict[str, Any]] = [
    {"name": "swap-release", "value": 2.0, "objective": 1.2, "deadline": 3.0, "late_worth": 0.5,
     "effect": "once", "group": "all", "window": 5.0, "stream": False},
    {"name": "credit-topup", "value": 6.0, "objective": 2.0, "deadline": 5.0, "late_worth": 0.2,
     "effect": "by_key", "group": "cell", "window": 7.5, "stream": False},
]  # fmt: skip
SETTINGS: dict[str, Any] = {
    "balancers": 2, "me": 0, "stage": 0, "stages": ["station-gate", "swap-core", "ledger"],
    "zone": "tema-room", "dcs": ["tema-room"], "kinds": ["gate-small"], "discovery": "ask", "quantum": 0.005,
    "family": "chain", "grades": GRADES, "tenants": [], "over_share_worth": 0.05, "weights": "off",
    "worth_by": "work", "callers": {"marks_retry": False},
    "report": {"names": ["served_ps", "busy_reqs"], "via": "on_probe"},
    "specifics": {"passes_deadline": False},
    "policy_limits": {
        "send_cap": 3, "may_duplicate": True, "may_cancel": True, "probes": True, "peers": False,
        "conn_idle": 30.0, "connect_timeout": 0.25, "most_held": 20000, "retry_after": True,
        "max_retry_after": 2.0, "streams_per_conn": 1, "cpu_us_per_request": 0.0, "cpu_us_per_s": 800000,
    },
    "contract": {
        "must_ask_in": 10.0, "grace_to_answer": 0.02, "drain_grace": 0.25, "cold_from": 0.39, "cold": 8.1,
        "fall_multiple": 3.0, "overload_for": 2.0,
    },
}  # fmt: skip


def now() -> float:
    """Seconds since the start of the case."""
    return time.monotonic() - START


class Record:
    """What was sent, answered and run, a line each, written to record.txt in the folder of the case."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "record.txt"
        self.lines: list[str] = []

    def add(self, what: str, at: float | None = None) -> None:
        """Adds a line; `at` is the time of the event, by default now."""
        self.lines.append(f"{now() if at is None else at:9.3f} {what}")

    def write(self) -> None:
        """Writes the lines in the order of their times."""
        self.path.write_text("\n".join(sorted(self.lines)) + "\n", encoding="utf-8")


def reserve_port() -> socket.socket:
    """Returns a socket bound to a free loopback port that doesn't listen, so that no one else gets it."""
    held = socket.socket()
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.bind(("127.0.0.1", 0))
    return held


def address_of(held: socket.socket) -> str:
    """Returns the address of a socket as host:port."""
    return "{}:{}".format(*held.getsockname())


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection, as the system does when a process dies."""
    with contextlib.suppress(OSError):
        linger = struct.pack("ii", 1, 0)
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Listener:
    """A server on an address of its own, which can be closed and opened again."""

    def __init__(self) -> None:
        self.held = reserve_port()
        self.address = address_of(self.held)
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Listens, from now on."""
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self._accept, host, int(port), backlog=1024)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            await self.serve(reader, writer)
        self.writers.discard(writer)
        writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection until it ends."""
        raise NotImplementedError

    def die(self) -> None:
        """Refuses new connections and resets the open ones, as when the process dies."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            reset(writer)

    def close(self) -> None:
        """Ends the stand-in."""
        self.die()
        self.held.close()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Reads the first line and the headers of a message; the names are in lower case."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.lower()] = value.strip()
    return lines[0], headers


@dataclass(eq=False, slots=True)
class Call:
    """A call to discovery that it holds until something changes."""

    version: int
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    silent: bool = False  # the watch has fallen silent: nothing more comes on its connection


class Discovery(Listener):
    """Discovery as PROTOCOL describes it: whole lists, and watches that are held until something changes."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record = record
        self.version = 41
        self.entries: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, str]] = []  # version and name
        self.watches: set[Call] = set()
        self.written: list[tuple[float, int]] = []  # when which version was written to a proxy
        self.calls: list[tuple[float, float]] = []  # when each watch came, and its hold

    def put(self, name: str, address: str, status: str = "Ready", **more: Any) -> None:
        """Lists a backend, or changes its entry; each is a version of its own."""
        entry = {
            "name": name, "address": address, "zone": "tema-room", "type": "gate-small", "group": 0,
            "status": status, "weight": 1.0, "since_ms": 0,
        }  # fmt: skip
        self.version += 1
        self.entries[name] = {**self.entries.get(name, entry), "status": status, "address": address, **more}
        self.changes.append((self.version, name))
        self.record.add(f"discovery has version {self.version}: {name} {status}")
        for watch in self.watches:
            watch.changed.set()

    def listing(self, since: int | None) -> bytes:
        """Returns the list, or the changes since a version."""
        whole = since is None or since < 41 or since > self.version
        names = sorted(self.entries) if whole else sorted({n for v, n in self.changes if v > int(since or 0)})
        entries = [self.entries[name] for name in names]
        if whole:
            entries = [entry for entry in entries if entry["status"] != "Gone"]
        return json.dumps({"index": self.version, "snapshot": whole, "endpoints": entries}).encode()

    def silence(self) -> None:
        """All watches that are open now fall silent."""
        for watch in self.watches:
            watch.silent = True
        self.record.add(f"{len(self.watches)} open watches fall silent")

    async def write_list(self, writer: asyncio.StreamWriter, body: bytes) -> bool:
        """Writes an answer; returns whether the connection stays open."""
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        await writer.drain()
        return True

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers the calls of one connection in turn."""
        while True:
            line, _ = await read_head(reader)
            query = parse_qs(line.split(" ")[1].partition("?")[2])
            since = int(query["from"][0]) if "from" in query else None
            hold = min(60.0, float(query.get("hold_ms", ["0"])[0]) / 1000)
            if since == self.version:
                watch = Call(since)
                self.calls.append((now(), hold))
                self.watches.add(watch)
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(watch.changed.wait(), hold)
                self.watches.discard(watch)
                if watch.silent:
                    await reader.read()  # until the proxy closes the connection, or discovery dies
                    return
            body = self.listing(since)
            self.written.append((now(), self.version))
            self.record.add(f"discovery writes version {self.version} (asked since {since}, hold {hold:.2f})")
            if not await self.write_list(writer, body):
                return


@dataclass(slots=True)
class Run:
    """A request that came whole to a backend."""

    at: float  # of its last byte
    first_at: float  # of its first byte
    backend: str
    id: str
    line: str
    headers: dict[str, str]
    body: bytes
    connection: int


Behaviour = Callable[["Backend", Run, asyncio.StreamWriter], Awaitable[None]]


def answer(code: int, body: bytes, *headers: str) -> bytes:
    """Returns an answer with a length."""
    lines = [f"HTTP/1.1 {code} X", f"Content-Length: {len(body)}", *headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def serve_ok(backend: Backend, run: Run, writer: asyncio.StreamWriter) -> None:
    """Serves a request after 20 ms."""
    await asyncio.sleep(0.02)
    writer.write(answer(200, f"{backend.name} did {run.id}".encode()))


class Backend(Listener):
    """A backend: runs each request that comes whole, and answers the probes."""

    def __init__(self, name: str, record: Record, behave: Behaviour = serve_ok) -> None:
        super().__init__()
        self.name, self.record, self.behave = name, record, behave
        self.runs: list[Run] = []
        self.probes = self.connections = self.held_now = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Reads and serves the requests of one connection."""
        self.connections += 1
        number = self.connections
        while True:
            first = await reader.readexactly(1)
            first_at = now()
            line, headers = await read_head(reader)
            line = first.decode("latin-1") + line
            body = await reader.readexactly(int(headers.get("content-length", 0)))
            if line.split(" ")[1] in ("/load", "/healthz"):
                self.probes += 1
                writer.write(answer(200, b"qps=%d,inflight=%d" % (len(self.runs), self.held_now)))
                continue
            run = Run(now(), first_at, self.name, headers.get("x-call-id", ""), line, headers, body, number)
            self.runs.append(run)
            self.record.add(f"{self.name} gets {run.id} ({line.split(' ')[1]})", run.at)
            self.held_now += 1
            try:
                await self.behave(self, run, writer)
                await writer.drain()
            finally:
                self.held_now -= 1


@dataclass
class Proxy:
    """One proxy, started with the command `run` of the deploy file."""

    name: str
    folder: Path
    discovery: str
    settings: dict[str, Any] = field(default_factory=lambda: copy.deepcopy(SETTINGS))
    known: dict[str, Any] = field(default_factory=dict)
    limits: dict[str, Any] = field(default_factory=lambda: {"cores": 1.0, "memory_mb": 192, "sockets": 1024})
    log_level: str = "info"
    process: asyncio.subprocess.Process | None = None
    held: socket.socket | None = None

    @property
    def address(self) -> tuple[str, int]:
        """Where clients connect."""
        assert self.held is not None
        host, port = self.held.getsockname()
        return str(host), int(port)

    def write_config(self) -> None:
        """Replaces the configuration file."""
        config = {
            "name": self.name, "listen": "{}:{}".format(*self.address), "discovery": self.discovery,
            "seed": os.urandom(8).hex(), "limits": self.limits, "known": self.known,
            "settings": self.settings,
        }  # fmt: skip
        new = self.folder / f"{self.name}.new"
        new.write_text(json.dumps(config), encoding="utf-8")
        new.replace(self.folder / f"{self.name}.json")

    async def start(self) -> None:
        """Starts the process, and waits until it is ready."""
        self.held = self.held or reserve_port()
        self.write_config()
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
        environment = {
            **{key: value for key, value in os.environ.items() if not key.startswith("EDGE_")},
            "EDGE_NAME": self.name,
            "EDGE_LISTEN": "{}:{}".format(*self.address),
            "EDGE_DISCOVERY": self.discovery,
            "EDGE_CONFIG": str(self.folder / f"{self.name}.json"),
            "EDGE_LOG_LEVEL": self.log_level,
            "TMPDIR": str(self.folder),
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        until = now() + 20
        while not await self.ready():
            if now() > until or self.process.returncode is not None:
                raise RuntimeError(f"{self.name} does not start")
            await asyncio.sleep(0.05)

    async def ready(self) -> bool:
        """Whether GET /healthz answers 200."""
        try:
            reader, writer = await asyncio.open_connection(*self.address)
            writer.write(b"GET /healthz HTTP/1.1\r\nHost: proxy\r\nConnection: close\r\n\r\n")
            line = await reader.readline()
            writer.close()
        except OSError:
            return False
        return line.startswith(b"HTTP/1.1 200")

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the program that `run` started."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def close(self) -> None:
        """Kills the process."""
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
        if self.held is not None:
            self.held.close()


@dataclass(slots=True)
class Sent:
    """A request of a client, and how it ended."""

    id: str
    cls: str
    budget: float
    key: str
    body: bytes
    sent_at: float = 0.0  # of its last byte
    ended_at: float = 0.0
    code: int = 0  # 0: no whole answer
    answer: bytes = b""
    fault: str = ""
    left_at: float = 0.0  # when the client closed its connection without waiting any longer


class Connection:
    """One connection of a client, which carries one request at a time."""

    def __init__(self, proxy: tuple[str, int], record: Record) -> None:
        self.proxy, self.record = proxy, record
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.used = 0

    async def connect(self) -> None:
        """Connects, unless that is done."""
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(*self.proxy)
            self.used = 0

    def close(self) -> None:
        """Closes the connection: the client has gone."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    @staticmethod
    def head(sent: Sent, effect: str) -> bytes:
        """Returns the head of a request."""
        lines = [
            f"{'GET' if effect == 'repeatable' else 'POST'} /{sent.cls} HTTP/1.1", "Host: service.internal",
            f"X-Call-Id: {sent.id}", "X-Caller: okada-union", f"X-Budget: {sent.budget * 1000:.0f}m",
        ]  # fmt: skip
        if effect == "by_key":
            lines.append(f"Idempotency-Key: {sent.key}")
        if effect != "repeatable":
            lines.append(f"Content-Length: {len(sent.body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def send(self, sent: Sent, effect: str) -> None:
        """Sends a request and reads its answer, until one second after its time at the latest."""
        try:
            await self.connect()
            assert self.writer is not None
            self.writer.write(self.head(sent, effect) + sent.body)
            await self.writer.drain()
            sent.sent_at = now()
            self.used += 1
            self.record.add(f"client sends {sent.id} {sent.cls} budget {sent.budget:.3f}", sent.sent_at)
            async with asyncio.timeout(sent.budget + 1.0):
                await self._read_answer(sent)
        except TimeoutError:
            sent.fault = "no answer"
            self.close()
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            sent.fault = f"{type(error).__name__}: {error}"
            self.close()
        sent.ended_at = now()
        self.record.add(f"client has {sent.code or sent.fault} for {sent.id}", sent.ended_at)

    async def _read_answer(self, sent: Sent) -> None:
        assert self.reader is not None
        line, headers = await read_head(self.reader)
        sent.answer = await self.reader.readexactly(int(headers["content-length"]))
        sent.code = int(line.split(" ")[1])
        if headers.get("connection") == "close":
            self.close()


def known_list(discovery: Discovery) -> dict[str, Any]:
    """Returns the list that a proxy had last, for its configuration."""
    return dict(json.loads(discovery.listing(None)))


def run_case(case: Callable[[Record, Path], Awaitable[bool]], folder: Path) -> int:
    """Runs a case; returns the exit code: 0 if the rule held, 1 if it was broken, 2 if it couldn't run."""
    record = Record(folder)
    with tempfile.TemporaryDirectory() as temporary:
        try:
            broken = asyncio.run(_limited(case(record, Path(temporary))))
        except Exception as error:
            record.add(f"the case couldn't run: {type(error).__name__}: {error}")
            record.write()
            return 2
    record.add("the rule was broken" if broken else "the rule held")
    record.write()
    print(record.lines[-1])
    return 1 if broken else 0


async def _limited(case: Awaitable[bool]) -> bool:
    return await asyncio.wait_for(case, 110)
