"""A proxy with the real network code and balancer between simulated peers, with checks of its traffic."""

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
from granitepoint.modelcheck.world import RuleViolation
from granitepoint.net import (
    backend_connection,
    client_connection,
    discovery,
    driver,
    exchange,
    fair_turns,
    server,
    upstream,
)
from granitepoint.net.config import Config
from granitepoint.net.listing import read_listing

UNUSED_ADDRESS = ("10.9.9.9", 9)
# At the exit, a connection to a backend may be neither in use nor pooled for this long after its last answer.
RELEASE_GRACE_S = 0.02
IDLE_CLIENT_TIMEOUT_S = 3.0  # from the connect: a client without a request gets an error or a close by then
SHUTDOWN_LIMIT_S = 8.0  # from SIGTERM: the process has exited by then
RUN_STEP_S = 0.5
TIME_TOLERANCE_S = 1e-9  # for rounding errors
MAX_ANSWER_DELAY_S = 0.6  # from the end of the budget: an answer that comes later counts as missing
CLASSES = [
    RequestClass("read", 1.0, 0.5, 1.2, 0.5),
    RequestClass("pay", 6.0, 0.8, 2.0, 0.5, Effect.BY_KEY, "zone", 0.4),
    RequestClass("order", 2.0, 0.8, 2.0, 0.5, Effect.ONCE),
]
CLASS_BY_NAME = {cls.name: cls for cls in CLASSES}


class ErrorLogHandler(logging.Handler):
    """Collects log records of level ERROR: exceptions that a callback has caught."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.lines.append(self.format(record))


@dataclass(slots=True)
class SentRequest:
    """A request as its client sent it, with its answer. Times are in seconds."""

    id: str
    cls: RequestClass
    budget: float
    end_offset: int  # of its last byte in all data of the client
    after_close_request: bool  # sent after a request with Connection: close
    read_at: float | None = None  # when `check` first found that the proxy had read it completely
    code: int = 0
    body: bytes = b""
    answered_at: float = 0.0


@dataclass(slots=True)
class ReceivedAttempt:
    """An attempt that a backend received completely."""

    received_at: float
    zone: int
    backend: Backend
    rejected: bool = False  # by an answer that says that it never ran


class Client(Peer):
    """A client connection: sends requests and reads their answers, in order."""

    def __init__(self, model: ProxyModel) -> None:
        self.model = model
        self.requests: list[SentRequest] = []
        self.bytes_sent = 0
        self.disconnected_at: float | None = None
        self.connected_at = model.clock.now
        self.last_received_at = 0.0
        self.input_valid = True  # has sent no malformed data
        self.close_requested = False  # has sent a request with Connection: close
        self.has_paused_reading = False  # missing answers are no violation then
        self.close_announced = False  # the proxy has sent Connection: close
        self.bytes_read_at_close = math.inf  # what the proxy had read when it announced the close
        self.closed = False
        self.parser = httptools.HttpResponseParser(self)
        self.body = b""
        self.request_on_answer = False  # sends a request when an answer arrives
        self.unsent_rest = b""  # of a request that was sent in part

    @property
    def unanswered(self) -> list[SentRequest]:
        """The requests that have no answer yet."""
        return [request for request in self.requests if not request.code]

    @property
    def can_send_request(self) -> bool:
        """Whether a further request can be sent after the data sent so far."""
        return not (self.unsent_rest or self.close_announced or self.close_requested)

    def is_owed(self, request: SentRequest) -> bool:
        """Whether the proxy must answer a request: it has read it, and did so before it announced a close.

        That is not required if the client has disconnected, paused reading or sent malformed data, or has
        sent the request after one with Connection: close.
        """
        if (
            self.disconnected_at is not None
            or not self.input_valid
            or self.has_paused_reading
            or request.after_close_request
        ):
            return False
        return request.end_offset <= min(self.link.bytes_read, self.bytes_read_at_close)

    def send(self, data: bytes) -> None:
        """Sends data to the proxy."""
        self.bytes_sent += len(data)
        self.link.peer_sends(data)

    def disconnect(self, how: str) -> None:
        """Closes the connection, or resets it if `how` is "reset"."""
        if self.closed or self.disconnected_at is not None:
            return
        if how == "reset":
            self.link.peer_resets()
        else:
            self.link.peer_closes()
        self.disconnected_at = self.model.clock.now

    def on_data(self, data: bytes) -> None:
        self.last_received_at = self.model.clock.now
        if self.request_on_answer and self.disconnected_at is None and not self.unsent_rest:
            self.request_on_answer = False
            self.send(self.model.create_request(self, CLASS_BY_NAME["read"], 1.0))
        if self.disconnected_at is None:
            self.parser.feed_data(data)

    def on_eof(self) -> None:
        self.closed = True
        self.model.on_client_closed(self)

    def on_closed(self) -> None:
        self.closed = True
        self.model.on_client_closed(self)

    # Callbacks of the parser.
    def on_body(self, chunk: bytes) -> None:
        self.body += chunk

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"connection" and value.lower() == b"close":
            self.close_announced = True
            self.bytes_read_at_close = self.link.bytes_read

    def on_message_complete(self) -> None:
        code, body, self.body = self.parser.get_status_code(), self.body, b""
        if code != 100:
            self.model.on_answer(self, code, body)


class Backend(Peer):
    """A connection to a backend, which receives requests and sends answers when the model says so."""

    def __init__(self, model: ProxyModel, address: tuple[str, int]) -> None:
        self.model, self.number = model, int(address[0].rpartition(".")[2])
        self.parser = httptools.HttpRequestParser(self)
        self.request_id = ""
        self.running_id: str | None = None  # id of a complete request without an answer
        self.is_probe = False

    def on_connected(self) -> None:
        self.model.backend_connections.append(self)

    def on_data(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_closed(self) -> None:
        self.model.backend_connections.remove(self)

    def send_answer(self, data: bytes) -> None:
        """Sends the answer to the request that the backend holds."""
        self.running_id = None
        self.link.peer_sends(data)

    # Callbacks of the parser.
    def on_message_begin(self) -> None:
        self.request_id = ""

    def on_url(self, target: bytes) -> None:
        self.is_probe = target in (b"/load", b"/healthz")

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"x-call-id":
            self.request_id = value.decode()
            self.model.on_attempt_started(self.request_id, self)

    def on_message_complete(self) -> None:
        if self.is_probe:
            self.link.peer_sends(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\ninflight=1")
            return
        self.running_id = self.request_id
        self.model.on_attempt_received(self.request_id, self)


class DiscoveryStub:
    """Stand-in for DiscoveryClient: all lists come from the model."""

    pushed = False
    version = 0
    last_failure = Failure.SILENT

    def watch(self, on: bool) -> None:
        pass

    def fetch(self) -> None:
        pass

    def stop(self) -> None:
        pass


class ProxyModel:
    """A proxy in this process between simulated clients and backends, with checks of its traffic.

    It replaces `time` and `select` in the modules of the proxy until `close` is called.
    """

    def __init__(self, seed: int, backend_count: int, socket_limit: int, **settings_overrides: Any) -> None:
        self.clock = Clock(1000.0)
        self.loop = Loop(self.clock, self.connect, seed)
        self.patched_modules = [
            backend_connection, client_connection, discovery, driver, exchange, fair_turns, server, upstream,
            program,
        ]  # fmt: skip
        self.saved_attributes = [
            (module, name, getattr(module, name, None))
            for module in self.patched_modules
            for name in ("time", "select", "os")
            if module is not program or name != "os"
        ]
        for module, name, original in self.saved_attributes:
            if original is not None:
                setattr(module, name, getattr(self.clock, name))
        self.error_log = ErrorLogHandler()
        logging.getLogger("granitepoint").addHandler(self.error_log)
        self.saved_log_level = logging.getLogger("granitepoint").level
        logging.getLogger("granitepoint").setLevel(logging.ERROR)
        logging.getLogger("granitepoint").propagate = False
        self.clients: list[Client] = []
        self.backend_connections: list[Backend] = []
        self.requests: dict[str, SentRequest] = {}
        self.client_by_request: dict[str, Client] = {}
        self.received_attempts: dict[str, list[ReceivedAttempt]] = {}  # by request id
        self.served_bodies: dict[str, set[bytes]] = {}  # what backends sent, by request id
        self.connect_mode = "at once"  # or late, never, refused
        self.request_count = 0
        self.violations: list[RuleViolation] = []
        self.version = 1  # of the server list
        self.shutdown_task: asyncio.Task[None] | None = None
        self.sigterm_at = math.inf
        self.exited = False  # the proxy's process
        self.stall_time = 0.0  # s, in total
        settings = Settings(
            CLASSES, zone="a", **{"answer_slack": 0.02, "quantum": 0.005, **settings_overrides}
        )
        self.backend_states = {number: "Ready" for number in range(1, backend_count + 1)}
        self.notified_states = dict(self.backend_states)  # by the lists that the proxy received
        config = Config(
            "n", UNUSED_ADDRESS, UNUSED_ADDRESS, seed, socket_limit, 64.0, self.list_document(True), settings
        )

        async def start() -> None:
            self.driver = driver.Driver(config)
            self.driver.discovery = DiscoveryStub()  # type: ignore[assignment]
            self.driver.balancer.list_lease.confirmed = True
            advice = self.driver.retry_after_headers(driver.AT_CAPACITY_RETRY_AFTER_S)
            self.server = server.Server(self.driver.effects, self.driver, socket_limit, 64.0, advice)
            self.driver.start()
            self.server._sweep_later()

        self.loop.run_until_complete(start())

    def list_document(self, full: bool, *numbers: int) -> dict[str, Any]:
        """Returns a list of discovery: all backends, or the given ones as changes."""
        endpoints = [
            {"name": f"s-{number}", "address": f"10.0.0.{number}:80", "zone": "ab"[number % 2], "type": "m",
             "group": 0, "status": self.backend_states[number], "since_ms": 0}
            for number in numbers or self.backend_states if not full or self.backend_states[number] != "Gone"
        ]  # fmt: skip
        return {"index": self.version, "snapshot": full, "endpoints": endpoints}

    def publish_state(self, number: int, state: str, full: bool) -> None:
        """Publishes another state of a backend, as a change or in a full list."""
        self.version += 1
        self.backend_states[number] = state
        list_document = self.list_document(True) if full else self.list_document(False, number)

        def deliver() -> None:
            self.notified_states = dict(self.backend_states)
            self.driver._on_list(read_listing(list_document))

        self.run_callback(deliver)

    async def connect(self, address: tuple[str, int]) -> Peer:
        """Decides about a new connection to a backend as `connect_mode` says.

        Raises ConnectionRefusedError if it is refused.
        """
        how = self.connect_mode
        if how == "refused":
            raise ConnectionRefusedError("refused")
        if how == "late":
            await asyncio.sleep(0.1)
        elif how == "never":
            await asyncio.sleep(100.0)
        return Backend(self, address)

    def run_callback(self, callback: Any) -> None:
        """Runs a callback in the event loop and checks the rules."""
        self.loop.call_soon(callback)
        self.run(0.0)

    def run(self, time_span: float) -> None:
        """Lets time pass, in seconds, and checks the rules every RUN_STEP_S until the process exits.

        Raises RuleViolation.
        """
        end = self.clock.now + time_span
        while not self.exited:
            self.loop.run_for(min(RUN_STEP_S, max(0.0, end - self.clock.now)))
            self.check()
            if self.clock.now >= end - TIME_TOLERANCE_S:
                break

    def record_violation(self, rule: str, text: str) -> None:
        """Records a violation for `check`: the proxy would handle an exception here as one of its own."""
        if not self.exited:
            self.violations.append(RuleViolation(rule, text))

    # Clients.
    def connect_client(self) -> Client | None:
        """Opens a client connection; returns None if the proxy does not listen any more."""
        if self.clock.now > self.sigterm_at + program.SHUTDOWN_ACCEPT_S:
            return None
        client = Client(self)

        def accept() -> None:
            protocol = client_connection.ClientConnection(self.server)
            link = Link(self.loop, protocol, client)
            protocol.connection_made(link)

        self.clients.append(client)
        self.run_callback(accept)
        return client

    def create_request(
        self, client: Client, cls: RequestClass, budget: float, close_requested: bool = False
    ) -> bytes:
        """Returns a new request, to be sent after all data of this client. `budget` is in seconds.

        With `close_requested` the request has the header Connection: close.
        """
        self.request_count += 1
        id = f"{self.request_count:016d}"
        method = "GET" if cls.effect is Effect.REPEATABLE else "POST"
        lines = [
            f"{method} /{cls.name} HTTP/1.1",
            "Host: x",
            f"X-Call-Id: {id}",
            f"X-Budget: {budget * 1e3:.0f}m",
        ]
        lines += ["Idempotency-Key: k"] * (cls.effect is Effect.BY_KEY)
        lines += ["Content-Length: 4"] * (method == "POST") + ["Connection: close"] * close_requested
        data = ("\r\n".join(lines) + "\r\n\r\n" + "body" * (method == "POST")).encode()
        start_offset = client.bytes_sent + len(client.unsent_rest)
        request = SentRequest(
            id, cls, min(budget, cls.deadline), start_offset + len(data), client.close_requested
        )
        client.requests.append(request)
        self.requests[id], self.client_by_request[id] = request, client
        return data

    def is_overdue(self, client: Client) -> bool:
        """Whether a client without a complete request got neither an error nor a close in time."""
        idle_time = self.clock.now - max(client.connected_at, client.last_received_at)
        no_request_pending = not client.input_valid or not any(
            a.end_offset <= client.bytes_sent for a in client.unanswered
        )
        return (
            no_request_pending
            and not client.last_received_at
            and idle_time > IDLE_CLIENT_TIMEOUT_S + self.stall_time
        )

    def on_answer(self, client: Client, code: int, body: bytes) -> None:
        """Checks an answer that a client received."""
        if not client.input_valid:
            return  # unknown which request it answers
        unanswered = client.unanswered
        if not unanswered:
            if not (code == 408 and client.unsent_rest):
                self.record_violation("answer", f"an answer {code} without a request")
            return
        request = unanswered[0]
        request.code, request.body, request.answered_at = code, body, self.clock.now
        if code == 200 and body not in self.served_bodies.get(request.id, set()):
            self.record_violation("answer", f"call {request.id} is answered with a body of no backend")
        if code in (429, 503):
            group_all = request.cls.effect is Effect.BY_KEY and request.cls.group == "all"
            may_have_run = [
                attempt for attempt in self.received_attempts.get(request.id, []) if not attempt.rejected
            ]
            if may_have_run and request.cls.effect is not Effect.REPEATABLE and not group_all:
                self.record_violation(
                    "repeat", f"call {request.id} may have run but is refused as safe to retry"
                )

    def on_client_closed(self, client: Client) -> None:
        """Checks a connection that the proxy closes: it has answered all requests that it had read there.

        A close that resets the connection must not lose an answer either.
        """
        if client.disconnected_at is not None or not client.input_valid or client.has_paused_reading:
            return
        just_answered = [
            request.id
            for request in client.requests
            if request.code and request.answered_at == self.clock.now
        ]
        if just_answered and client.link.closed and client.link.reset_by_proxy:
            self.record_violation("answer", f"the answer to {just_answered} is lost by a reset")
        unanswered_ids = [request.id for request in client.unanswered if client.is_owed(request)]
        if unanswered_ids:
            self.record_violation("answer", f"a connection is closed with {unanswered_ids} unanswered")

    # Backends.
    def on_attempt_started(self, id: str, backend: Backend) -> None:
        """Checks an attempt of which a backend has received the id."""
        client = self.client_by_request.get(id)
        if client is None:
            self.record_violation("repeat", f"call {id} was sent by no client")
            return
        if client.disconnected_at is not None and client.disconnected_at < self.clock.now:
            self.record_violation(
                "answer",
                f"call {id} is forwarded {self.clock.now - client.disconnected_at:g} s after its client left",
            )
        if self.requests[id].code:
            self.record_violation("answer", f"call {id} is forwarded after its answer")
        if self.notified_states[backend.number] != "Ready":
            self.record_violation(
                "drain",
                f"call {id} is forwarded to backend {backend.number}: {self.notified_states[backend.number]}",
            )

    def on_attempt_received(self, id: str, backend: Backend) -> None:
        """Checks and records an attempt that a backend has received completely."""
        cls = self.requests[id].cls
        zone = backend.number % 2
        earlier = self.received_attempts.setdefault(id, [])
        first = next((attempt for attempt in earlier if not attempt.rejected), None)
        if first is not None and cls.effect is Effect.ONCE:
            self.record_violation("repeat", f"call {id} may run a second time")
        if first is not None and cls.effect is Effect.BY_KEY:
            if cls.group == "zone" and zone != first.zone:
                self.record_violation("repeat", f"call {id} is repeated in another zone")
            if self.clock.now - first.received_at > cls.window:
                self.record_violation("repeat", f"call {id} is repeated after its deduplication window")
        earlier.append(ReceivedAttempt(self.clock.now, zone, backend))

    def on_attempts_rejected(self, backend: Backend) -> None:
        """Records that the backend rejects the request that it holds, so that it never ran there."""
        assert backend.running_id is not None
        for attempt in self.received_attempts[backend.running_id]:
            attempt.rejected = attempt.rejected or attempt.backend is backend

    # The whole proxy.
    def check(self) -> None:
        """Raises RuleViolation if a rule is violated. Called whenever time has passed."""
        if self.violations:
            raise self.violations[0]
        if self.shutdown_task is not None and self.shutdown_task.done() and not self.exited:
            self.exited = True
            self.check_final_state()
        for error in self.loop.callback_errors:
            raise RuleViolation("callback", f"{error.get('message')}: {error.get('exception')!r}")
        if self.error_log.lines:
            raise RuleViolation("callback", self.error_log.lines[0])
        now = self.clock.now
        for client in self.clients:
            if (
                client.disconnected_at is None
                and not client.closed
                and not client.has_paused_reading
                and self.is_overdue(client)
            ):
                raise RuleViolation(
                    "peer", f"a connection without a request is {now - client.connected_at:g} s old"
                )
            for request in client.requests:
                if request.read_at is None and request.end_offset <= client.link.bytes_read:
                    request.read_at = now
                if request.read_at is None or request.code or not client.is_owed(request):
                    continue
                if client.unanswered[0] is not request:
                    continue
                delay = now - request.read_at - request.budget
                previous_answer_at = max(
                    [other.answered_at for other in client.requests if other.code], default=0.0
                )
                if (
                    delay > MAX_ANSWER_DELAY_S + self.stall_time
                    and now - previous_answer_at - request.budget > MAX_ANSWER_DELAY_S + self.stall_time
                ):
                    raise RuleViolation(
                        "answer", f"call {request.id} has no answer {delay:g} s after its budget"
                    )

    def terminate(self) -> None:
        """Starts the graceful shutdown, as SIGTERM does."""
        self.sigterm_at = self.clock.now
        self.shutdown_task = self.loop.create_task(program.drain(self.server, self.driver))

    def finish(self) -> None:
        """Shuts the proxy down and checks that it exits before a SIGKILL and leaves nothing open."""
        if self.shutdown_task is None:
            self.terminate()
        self.run(SHUTDOWN_LIMIT_S)
        if not self.exited:
            raise RuleViolation("kept", "the proxy does not exit")

    def check_final_state(self) -> None:
        """Checks after the exit that no request is unanswered and nothing is left open.

        Raises RuleViolation, or the exception that ended the shutdown.
        """
        assert self.shutdown_task is not None
        self.shutdown_task.result()
        unanswered = [
            request for client in self.clients for request in client.unanswered if client.is_owed(request)
        ]
        if unanswered:
            raise RuleViolation("answer", f"{[each.id for each in unanswered]} are unanswered at exit")
        remaining = {
            "calls": len(self.driver.calls),
            # The process may exit during attempts whose clients have disconnected: nobody waits for these.
            "ids without an attempt": len(self.driver.active_ids) - len(self.driver.in_flight),
            "client connections": sum(not each.closing for each in self.server.connections),
        }
        if any(remaining.values()):
            raise RuleViolation("kept", f"left open: {remaining}")
        for backend in self.backend_connections:
            connection = backend.link.protocol
            # The process may exit in the moment in which a connection comes up.
            used_at = max(connection.idle_since, connection.connected_at)
            in_use = connection.exchange is not None or self.clock.now - used_at < RELEASE_GRACE_S
            if not (in_use or backend.link.closing or connection in connection.upstream.idle):
                raise RuleViolation("kept", f"a connection to backend {backend.number} is unused but open")
        if self.driver.upstreams.open_connections != len(self.backend_connections):
            raise RuleViolation(
                "kept",
                f"{self.driver.upstreams.open_connections} connections are counted, "
                f"{len(self.backend_connections)} are open",
            )

    def close(self) -> None:
        """Restores the patched modules and logging; the model cannot be used any more."""
        for module, name, original in self.saved_attributes:
            if original is not None:
                setattr(module, name, original)
        log = logging.getLogger("granitepoint")
        log.removeHandler(self.error_log)
        log.setLevel(self.saved_log_level)
        log.propagate = True
        while tasks := asyncio.all_tasks(self.loop):
            for task in tasks:
                task.cancel()
            self.loop.run_until_complete(asyncio.wait(tasks))
        self.loop.close()


def build_answer(code: int, body: bytes, *headers: str) -> bytes:
    """Returns the bytes of an HTTP answer."""
    lines = [f"HTTP/1.1 {code} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
