"""One proxy of the real net code and module between peers of the model, with the checks of what passes."""

from __future__ import annotations

import asyncio
import logging
import math
from dataclasses import dataclass
from typing import Any

import httptools

from granitepoint import __main__ as program
from granitepoint.interface import Effect, RequestClass, Settings
from granitepoint.membership.evidence import Failure
from granitepoint.modelcheck.sockets import Clock, Link, Loop, Peer
from granitepoint.modelcheck.world import RuleBroken
from granitepoint.net import discovery, driver, server, upstream
from granitepoint.net.config import Config
from granitepoint.net.listing import read_listing

NOWHERE = ("10.9.9.9", 9)
SOON = 0.02  # s
PEER_TIME = 3.0  # s from the connect in which one that asks nothing gets an error or a close
KILLED = 8.0  # s after SIGTERM by which it has surely ended
PIECE = 0.5  # s
ROUNDING = 1e-9  # s
LATE = 0.6  # s after its time by which an answer has come, or it is lost
CLASSES = [
    RequestClass("read", 1.0, 0.5, 1.2, 0.5),
    RequestClass("pay", 6.0, 0.8, 2.0, 0.5, Effect.BY_KEY, "zone", 0.4),
    RequestClass("order", 2.0, 0.8, 2.0, 0.5, Effect.ONCE),
]
BY_NAME = {cls.name: cls for cls in CLASSES}


class Quiet(logging.Handler):
    """Keeps what is logged as an error: a fault that a callback has caught."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.lines.append(self.format(record))


@dataclass(slots=True)
class Asked:
    """A request as its client sent it."""

    id: str
    cls: RequestClass
    budget: float
    ends_at: int  # place of its last byte in all that the client has sent
    beyond: bool  # sent behind one that asked for the close
    read_at: float | None = None  # when the proxy had read it whole
    code: int = 0
    body: bytes = b""
    answered_at: float = 0.0


@dataclass(slots=True)
class Ran:
    """An attempt that came whole to a backend."""

    at: float
    zone: int
    backend: Backend
    unseen: bool = False  # it was turned away


class Client(Peer):
    """Sends requests and reads their answers, in order."""

    def __init__(self, model: Model) -> None:
        self.model = model
        self.asked: list[Asked] = []
        self.sent = 0
        self.left_at: float | None = None
        self.made_at = model.clock.now
        self.heard_at = 0.0  # the last bytes
        self.good = True  # has sent nothing but whole requests
        self.last = False  # has asked for the close of the connection
        self.slow = False  # has not taken what came, for a while
        self.told_close = False
        self.read_at_close = math.inf  # bytes that the proxy had read when it told its close
        self.over = False
        self.parser = httptools.HttpResponseParser(self)
        self.body = b""
        self.crossing = False  # its next request goes out in the moment in which an answer comes
        self.half = b""  # the rest of a request that has begun

    @property
    def unanswered(self) -> list[Asked]:
        return [asked for asked in self.asked if not asked.code]

    @property
    def may_ask(self) -> bool:
        """Whether a further request makes sense behind what it has sent."""
        return not (self.half or self.told_close or self.last)

    def owed(self, asked: Asked) -> bool:
        """Whether the proxy owes it an answer: it has read it, and had done so when it told its close."""
        if self.left_at is not None or not self.good or self.slow or asked.beyond:
            return False
        return asked.ends_at <= min(self.link.was_read, self.read_at_close)

    def send(self, data: bytes) -> None:
        self.sent += len(data)
        self.link.peer_sends(data)

    def leave(self, how: str) -> None:
        if self.over or self.left_at is not None:
            return
        if how == "reset":
            self.link.peer_resets()
        else:
            self.link.peer_closes()
        self.left_at = self.model.clock.now

    def got(self, data: bytes) -> None:
        self.heard_at = self.model.clock.now
        if self.crossing and self.left_at is None and not self.half:
            self.crossing = False
            self.send(self.model.request(self, BY_NAME["read"], 1.0))
        if self.left_at is None:
            self.parser.feed_data(data)

    def ended(self) -> None:
        self.over = True
        self.model.client_ended(self)

    def lost(self) -> None:
        self.over = True
        self.model.client_ended(self)

    # parser callbacks
    def on_body(self, chunk: bytes) -> None:
        self.body += chunk

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"connection" and value.lower() == b"close":
            self.told_close = True
            self.read_at_close = self.link.was_read

    def on_message_complete(self) -> None:
        code, body, self.body = self.parser.get_status_code(), self.body, b""
        if code != 100:
            self.model.answered(self, code, body)


class Backend(Peer):
    """A connection at a backend: requests as they come, and what has been answered."""

    def __init__(self, model: Model, address: tuple[str, int]) -> None:
        self.model, self.number = model, int(address[0].rpartition(".")[2])
        self.parser = httptools.HttpRequestParser(self)
        self.id = ""
        self.runs: str | None = None  # a request that has come whole and has no answer
        self.probe = False

    def made(self) -> None:
        self.model.backends.append(self)

    def got(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def lost(self) -> None:
        self.model.backends.remove(self)

    def answer(self, data: bytes) -> None:
        self.runs = None
        self.link.peer_sends(data)

    # parser callbacks
    def on_message_begin(self) -> None:
        self.id = ""

    def on_url(self, target: bytes) -> None:
        self.probe = target in (b"/load", b"/healthz")

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"x-call-id":
            self.id = value.decode()
            self.model.attempt_begins(self.id, self)

    def on_message_complete(self) -> None:
        if self.probe:
            self.link.peer_sends(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\ninflight=1")
            return
        self.runs = self.id
        self.model.attempt_whole(self.id, self)


class Discovery:
    """Stands in for the client of discovery: lists come from the model alone."""

    pushed = False
    version = 0
    last_failure = Failure.SILENT

    def watch(self, on: bool) -> None:
        pass

    def fetch(self) -> None:
        pass

    def stop(self) -> None:
        pass


class Model:
    """One proxy between clients and backends, with the checks of what passes through it."""

    def __init__(self, seed: int, backends: int, sockets: int, **changes: Any) -> None:
        self.clock = Clock(1000.0)
        self.loop = Loop(self.clock, self.connect, seed)
        self.modules = [discovery, driver, server, upstream, program]
        self.kept = [
            (module, name, getattr(module, name, None))
            for module in self.modules
            for name in ("time", "select")
        ]
        for module, name, old in self.kept:
            if old is not None:
                setattr(module, name, getattr(self.clock, name))
        self.errors = Quiet()
        logging.getLogger("granitepoint").addHandler(self.errors)
        self.level = logging.getLogger("granitepoint").level
        logging.getLogger("granitepoint").setLevel(logging.ERROR)
        logging.getLogger("granitepoint").propagate = False
        self.clients: list[Client] = []
        self.backends: list[Backend] = []  # their open connections
        self.asked: dict[str, Asked] = {}
        self.owner: dict[str, Client] = {}
        self.whole: dict[str, list[Ran]] = {}  # by id
        self.served: dict[str, set[bytes]] = {}
        self.how_to_connect = "at once"
        self.ids = 0
        self.breaches: list[RuleBroken] = []
        self.version = 1
        self.ending: asyncio.Task[None] | None = None
        self.told_to_end_at = math.inf
        self.ended = False  # the process
        self.still = 0.0  # s that the process has stood still in all
        settings = Settings(CLASSES, zone="a", **{"answer_slack": 0.02, "quantum": 0.005, **changes})
        self.states = {number: "Ready" for number in range(1, backends + 1)}
        self.told = dict(self.states)  # as the proxy has heard of it
        config = Config("n", NOWHERE, NOWHERE, seed, sockets, 64.0, self.listing(True), settings)

        async def start() -> None:
            self.driver = driver.Driver(config)
            self.driver.discovery = Discovery()  # type: ignore[assignment]
            self.driver.balancer.list_lease.confirmed = True
            advice = self.driver.retry_after_headers(driver.AT_CAPACITY_RETRY_AFTER_S)
            self.server = server.Server(self.driver.effects, self.driver, sockets, 64.0, advice)
            self.driver.start()
            self.server._sweep_later()

        self.loop.run_until_complete(start())

    def listing(self, whole: bool, *numbers: int) -> dict[str, Any]:
        named = [
            {"name": f"s-{number}", "address": f"10.0.0.{number}:80", "zone": "ab"[number % 2], "type": "m",
             "group": 0, "status": self.states[number], "since_ms": 0}
            for number in numbers or self.states if not whole or self.states[number] != "Gone"
        ]  # fmt: skip
        return {"index": self.version, "snapshot": whole, "endpoints": named}

    def tell(self, number: int, state: str, whole: bool) -> None:
        """Discovery lists a backend in another state, among changes or in a whole list."""
        self.version += 1
        self.states[number] = state
        listing = self.listing(True) if whole else self.listing(False, number)

        def hear() -> None:
            self.told = dict(self.states)
            self.driver._on_list(read_listing(listing))

        self.call(hear)

    async def connect(self, address: tuple[str, int]) -> Peer:
        how = self.how_to_connect
        if how == "refused":
            raise ConnectionRefusedError("refused")
        if how == "late":
            await asyncio.sleep(0.1)
        elif how == "never":
            await asyncio.sleep(100.0)
        return Backend(self, address)

    def call(self, do: Any) -> None:
        self.loop.call_soon(do)
        self.run(0.0)

    def run(self, span: float) -> None:
        """In pieces, so that nothing is asked of a process that has ended."""
        end = self.clock.now + span
        while not self.ended:
            self.loop.run_for(min(PIECE, max(0.0, end - self.clock.now)))
            self.check()
            if self.clock.now >= end - ROUNDING:
                break

    def breach(self, rule: str, text: str) -> None:
        """Kept until the turn is over: the proxy would take an exception here for its own."""
        if not self.ended:
            self.breaches.append(RuleBroken(rule, text))

    # the clients
    def client(self) -> Client | None:
        """None: nobody listens any more."""
        if self.clock.now > self.told_to_end_at + program.SHUTDOWN_ACCEPT_S:
            return None
        client = Client(self)

        def made() -> None:
            protocol = server.ClientConnection(self.server)
            link = Link(self.loop, protocol, client)
            protocol.connection_made(link)

        self.clients.append(client)
        self.call(made)
        return client

    def request(self, client: Client, cls: RequestClass, budget: float, last: bool = False) -> bytes:
        """A further request of this client, to be sent behind all that it has sent. `budget` is in s; the
        last one asks for the close of the connection."""
        self.ids += 1
        id = f"{self.ids:016d}"
        method = "GET" if cls.effect is Effect.REPEATABLE else "POST"
        lines = [f"{method} /{cls.name} HTTP/1.1", f"X-Call-Id: {id}", f"X-Budget: {budget * 1e3:.0f}m"]
        lines += ["Idempotency-Key: k"] * (cls.effect is Effect.BY_KEY)
        lines += ["Content-Length: 4"] * (method == "POST") + ["Connection: close"] * last
        data = ("\r\n".join(lines) + "\r\n\r\n" + "body" * (method == "POST")).encode()
        before = client.sent + len(client.half)
        asked = Asked(id, cls, min(budget, cls.deadline), before + len(data), client.last)
        client.asked.append(asked)
        self.asked[id], self.owner[id] = asked, client
        return data

    def overdue_peer(self, client: Client) -> bool:
        """Whether it was left for 3 s with neither a close nor an error, and asks nothing whole."""
        quiet = self.clock.now - max(client.made_at, client.heard_at)
        waits = not client.good or not any(a.ends_at <= client.sent for a in client.unanswered)
        return waits and not client.heard_at and quiet > PEER_TIME + self.still

    def answered(self, client: Client, code: int, body: bytes) -> None:
        if not client.good:
            return  # nobody can tell what it answers
        waiting = client.unanswered
        if not waiting:
            if not (code == 408 and client.half):
                self.breach("answer", f"an answer {code} that nobody asked for")
            return
        asked = waiting[0]
        asked.code, asked.body, asked.answered_at = code, body, self.clock.now
        if code == 200 and body not in self.served.get(asked.id, set()):
            self.breach("answer", f"call {asked.id} is served with what no backend made for it")
        if code in (429, 503):
            group_all = asked.cls.effect is Effect.BY_KEY and asked.cls.group == "all"
            ran = [ran for ran in self.whole.get(asked.id, []) if not ran.unseen]
            if ran and asked.cls.effect is not Effect.REPEATABLE and not group_all:
                self.breach("repeat", f"call {asked.id} may have run and is refused as if harmless")

    def client_ended(self, client: Client) -> None:
        """The proxy ends a connection: all that it has read there whole is answered."""
        if client.left_at is not None or not client.good or client.slow:
            return
        lost = [asked.id for asked in client.asked if asked.code and asked.answered_at == self.clock.now]
        if lost and client.link.gone and client.link.reset_by_proxy:
            self.breach("answer", f"the answer to {lost} goes with a reset")
        owed = [asked.id for asked in client.unanswered if client.owed(asked)]
        if owed:
            self.breach("answer", f"a connection ends with {owed} unanswered")

    # the backends
    def attempt_begins(self, id: str, backend: Backend) -> None:
        client = self.owner.get(id)
        if client is None:
            self.breach("repeat", f"call {id} came from no client")
            return
        if client.left_at is not None and client.left_at < self.clock.now:
            self.breach(
                "answer", f"call {id} is sent on {self.clock.now - client.left_at:g} s after its caller left"
            )
        if self.asked[id].code:
            self.breach("answer", f"call {id} is sent on after its answer")
        if self.told[backend.number] != "Ready":
            self.breach(
                "drain", f"call {id} is sent to backend {backend.number}: {self.told[backend.number]}"
            )

    def attempt_whole(self, id: str, backend: Backend) -> None:
        cls = self.asked[id].cls
        zone = backend.number % 2
        earlier = self.whole.setdefault(id, [])
        first = next((ran for ran in earlier if not ran.unseen), None)
        if first is not None and cls.effect is Effect.ONCE:
            self.breach("repeat", f"call {id} came a second time")
        if first is not None and cls.effect is Effect.BY_KEY:
            if cls.group == "zone" and zone != first.zone:
                self.breach("repeat", f"call {id} came to another zone")
            if self.clock.now - first.at > cls.window:
                self.breach("repeat", f"call {id} came again after its window")
        earlier.append(Ran(self.clock.now, zone, backend))

    def turned_away(self, backend: Backend) -> None:
        """What has come whole there is answered as never seen."""
        assert backend.runs is not None
        for ran in self.whole[backend.runs]:
            ran.unseen = ran.unseen or ran.backend is backend

    # all
    def check(self) -> None:
        """Raises RuleBroken. Called whenever time has passed."""
        if self.breaches:
            raise self.breaches[0]
        if self.ending is not None and self.ending.done() and not self.ended:
            self.ended = True
            self.check_end()
        for fault in self.loop.faults:
            raise RuleBroken("callback", f"{fault.get('message')}: {fault.get('exception')!r}")
        if self.errors.lines:
            raise RuleBroken("callback", self.errors.lines[0])
        now = self.clock.now
        for client in self.clients:
            if client.left_at is None and not client.over and not client.slow and self.overdue_peer(client):
                raise RuleBroken("peer", f"a connection that asks nothing is {now - client.made_at:g} s old")
            for asked in client.asked:
                if asked.read_at is None and asked.ends_at <= client.link.was_read:
                    asked.read_at = now
                if asked.read_at is None or asked.code or not client.owed(asked):
                    continue
                if client.unanswered[0] is not asked:
                    continue
                late = now - asked.read_at - asked.budget
                behind = max([other.answered_at for other in client.asked if other.code], default=0.0)
                if late > LATE + self.still and now - behind - asked.budget > LATE + self.still:
                    raise RuleBroken("answer", f"call {asked.id} has no answer {late:g} s after its time")

    def term(self) -> None:
        """SIGTERM."""
        self.told_to_end_at = self.clock.now
        self.ending = self.loop.create_task(program.drain(self.server, self.driver))

    def finish(self) -> None:
        """The proxy is told to end, and has ended by the time of its SIGKILL; nothing is left open."""
        if self.ending is None:
            self.term()
        self.run(KILLED)
        if not self.ended:
            raise RuleBroken("kept", "the proxy does not end")

    def check_end(self) -> None:
        assert self.ending is not None
        self.ending.result()
        asked = [asked for client in self.clients for asked in client.unanswered if client.owed(asked)]
        if asked:
            raise RuleBroken("answer", f"{[each.id for each in asked]} are unanswered at the end")
        left = {
            "calls": len(self.driver.calls),
            # The process ends on attempts whose callers have left: nobody waits for these.
            "ids beside those of attempts": len(self.driver.active_ids) - len(self.driver.in_flight),
            "connections of callers": sum(not each.closing for each in self.server.connections),
        }
        if any(left.values()):
            raise RuleBroken("kept", f"left open: {left}")
        for backend in self.backends:
            held = backend.link.protocol
            in_use = held.exchange is not None or self.clock.now - held.idle_since < SOON
            if not (in_use or backend.link.closing or held in held.upstream.idle):
                raise RuleBroken("kept", f"a connection to backend {backend.number} is of no use and open")
        if self.driver.upstreams.open_connections != len(self.backends):
            raise RuleBroken(
                "kept",
                f"{self.driver.upstreams.open_connections} connections counted, {len(self.backends)} open",
            )

    def stop(self) -> None:
        """Puts back what stood in the modules before. The model can't be used any more."""
        for module, name, old in self.kept:
            if old is not None:
                setattr(module, name, old)
        log = logging.getLogger("granitepoint")
        log.removeHandler(self.errors)
        log.setLevel(self.level)
        log.propagate = True
        while tasks := asyncio.all_tasks(self.loop):
            for task in tasks:
                task.cancel()
            self.loop.run_until_complete(asyncio.wait(tasks))
        self.loop.close()


def answer(code: int, body: bytes, *headers: str) -> bytes:
    lines = [f"HTTP/1.1 {code} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
