"""Races between a request or an answer and the end of a connection, a timeout or the shutdown.

Each test forces one order of events, with the proxy's code running in the process of the test.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import pytest
from netkit import (
    SETTINGS,
    TEST_TIMEOUT_S,
    Backend,
    Behaviour,
    Caller,
    ReceivedRequest,
    endpoint,
    listing,
    next_call,
    response,
    run,
    serve_ok,
)

from granitepoint import __main__ as proxy_main
from granitepoint.__main__ import drain
from granitepoint.interface import Effect, Status
from granitepoint.net import backend_connection
from granitepoint.net.backend_connection import Connection
from granitepoint.net.config import Config, flatten_settings
from granitepoint.net.driver import Driver
from granitepoint.net.exchange import Exchange
from granitepoint.net.listing import read_listing
from granitepoint.net.requests import Request
from granitepoint.net.server import KEEP_ALIVE_TIMEOUT_S, REQUEST_READ_TIMEOUT_S, Server
from granitepoint.simulator_adapter import read_settings

STOCK_REQUEST = b"GET /stock HTTP/1.1\r\nHost: x\r\nX-Call-Id: %016d\r\nX-Budget: 9000m\r\n\r\n"


class HoldingHandler:
    """A handler that leaves each request open until the test answers it."""

    def __init__(self) -> None:
        self.requests: asyncio.Queue[tuple[Request, Any]] = asyncio.Queue()
        self.disconnected: asyncio.Queue[Request] = asyncio.Queue()

    def on_request(self, request: Request, reply: Any) -> Request:
        self.requests.put_nowait((request, reply))
        return request

    def on_disconnect(self, call: Request) -> None:
        self.disconnected.put_nowait(call)

    def ready(self) -> bool:
        return True


@contextlib.asynccontextmanager
async def running_server(handler: HoldingHandler, sockets: int = 256) -> AsyncIterator[tuple[Server, int]]:
    server = Server({"stock": Effect.REPEATABLE}, handler, sockets, 64)
    port = await server.listen("127.0.0.1", 0)
    try:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            yield server, port
    finally:
        server.stop_listening()
        for connection in list(server.connections):
            connection.abort()


def close(caller: socket.socket) -> None:
    caller.close()


def reset(caller: socket.socket) -> None:
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    caller.close()


FOLLOWING_DATA = {
    "nothing": b"",
    "a request": STOCK_REQUEST % 2,
    "half a request": (STOCK_REQUEST % 2)[:30],
    "much": b"".join(STOCK_REQUEST % number for number in range(2, 3000)),
}


@pytest.mark.parametrize("end", [close, reset])
@pytest.mark.parametrize("behind", FOLLOWING_DATA.values(), ids=FOLLOWING_DATA)
def test_a_disconnect_is_noticed_whatever_was_sent_behind_the_request(
    behind: bytes, end: Callable[[socket.socket], None]
) -> None:
    """Reading pauses while pipelined requests wait, so the end of the connection is behind unread bytes."""

    async def test() -> None:
        handler = HoldingHandler()
        async with running_server(handler) as (server, port):
            with socket.create_connection(("127.0.0.1", port)) as caller:
                caller.sendall(STOCK_REQUEST % 1 + behind)
                request, _ = await handler.requests.get()
                assert handler.disconnected.empty()
                end(caller)
            assert await handler.disconnected.get() is request
            while server.connections:
                await asyncio.sleep(0)
            assert handler.requests.empty() and not server.paused_connections

    run(test())


class InProcessProxy:
    """The driver, the server and a backend in this process: a test controls the events between them."""

    def __init__(self, driver: Driver, server: Server, port: int, backend: Backend) -> None:
        self.driver, self.server, self.port, self.backend = driver, server, port, backend
        self.version = 1
        self.background: set[asyncio.Future[None]] = set()  # tasks of the test, cancelled with the proxy

    async def caller(self) -> Caller:
        return Caller(*await asyncio.open_connection("127.0.0.1", self.port))

    def set_backend_status(self, status: str) -> None:
        """Delivers a list in which the backend has this state."""
        self.version += 1
        changes = read_listing(listing(self.version, endpoint("s-1", self.backend.address, status)))
        self.driver._on_list(changes)

    async def expect_served(self, id: str) -> None:
        assert (await (await self.caller()).call("stock", id)).code == 200

    async def wait_until_disconnected(self) -> None:
        """Waits until no call is open; checks that all ended by a disconnect, none by a timeout."""
        await self.wait_until(lambda: not self.driver.calls)
        assert not [name for name in self.driver.counts if name.startswith("answer")]

    async def wait_until(self, done: Callable[[], bool]) -> None:
        while not done():
            await asyncio.sleep(0)


@contextlib.asynccontextmanager
async def in_process_proxy(
    behave: Behaviour = serve_ok, status: str = "Ready", **changes: Any
) -> AsyncIterator[InProcessProxy]:
    backend = await Backend(behave).start()
    known = listing(1, endpoint("s-1", backend.address, status))
    settings = read_settings(flatten_settings({**SETTINGS, **changes}))
    nowhere = ("127.0.0.1", 9)
    driver = Driver(Config("n0", nowhere, nowhere, 1, 256, 64.0, known, settings))
    driver.balancer.list_lease.confirmed = True  # there is no discovery; the test delivers the lists
    server = Server(driver.effects, driver, 256, 64)
    driver.start()
    port = await server.listen("127.0.0.1", 0)
    proxy = InProcessProxy(driver, server, port, backend)
    try:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            yield proxy
    finally:
        for task in proxy.background:
            task.cancel()
        server.stop_listening()
        driver.stop()
        for connection in list(server.connections):
            connection.abort()
        await backend.stop()


def rejected(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(response(503, X_Rejected="1"))


FIRST_ID, SECOND_ID = "f" * 16, "e" * 16


@pytest.mark.parametrize("behind", [b"", STOCK_REQUEST % 2], ids=["alone", "with bytes behind it"])
def test_a_queued_request_is_not_sent_after_its_caller_disconnects(behind: bytes) -> None:
    async def test() -> None:
        async with in_process_proxy(status="Terminating") as proxy:
            caller = await proxy.caller()
            caller.send("canje", FIRST_ID, budget="6000m")
            caller.writer.write(behind)
            await proxy.wait_until(lambda: bool(proxy.driver.balancer.queue))
            caller.writer.close()
            await proxy.wait_until_disconnected()
            proxy.set_backend_status("Ready")
            await proxy.expect_served(SECOND_ID)
            assert (await next_call(proxy.backend)).headers["x-call-id"] == SECOND_ID
            assert proxy.backend.call_count == 1 and not proxy.driver.active_ids

    run(test())


@pytest.mark.parametrize("behind", [b"", STOCK_REQUEST % 2], ids=["alone", "with bytes behind it"])
def test_a_request_is_not_sent_if_its_caller_disconnects_during_the_connect(
    behind: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with in_process_proxy(
            policy_limits={**SETTINGS["policy_limits"], "connect_timeout": TEST_TIMEOUT_S}
        ) as proxy:
            loop = asyncio.get_running_loop()
            connect, started, allowed = loop.create_connection, asyncio.Event(), asyncio.Event()

            async def slow_connect(*args: Any) -> Any:
                started.set()
                await allowed.wait()
                return await connect(*args)

            caller = await proxy.caller()
            other = await proxy.caller()
            monkeypatch.setattr(proxy.driver.upstreams.loop, "create_connection", slow_connect)
            caller.send("canje", FIRST_ID, budget="6000m")
            caller.writer.write(behind)
            await started.wait()
            caller.writer.close()
            await proxy.wait_until_disconnected()
            allowed.set()
            assert (await other.call("stock", SECOND_ID)).code == 200
            assert (await next_call(proxy.backend)).headers["x-call-id"] == SECOND_ID
            assert proxy.backend.call_count == 1 and not proxy.driver.active_ids

    run(test())


def test_the_budget_sent_with_an_attempt_excludes_a_slow_connect(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with in_process_proxy(
            policy_limits={**SETTINGS["policy_limits"], "connect_timeout": TEST_TIMEOUT_S}
        ) as proxy:
            connect, allowed = proxy.driver.loop.create_connection, asyncio.Event()

            async def slow_connect(*args: Any) -> Any:
                await allowed.wait()
                return await connect(*args)

            caller = await proxy.caller()
            proxy.driver.balancer.health_leases.confirm()  # so that no slow health check is waited for
            monkeypatch.setattr(proxy.driver.upstreams.loop, "create_connection", slow_connect)
            caller.send("canje", FIRST_ID, budget="6000m")
            await proxy.wait_until(lambda: bool(proxy.driver.in_flight))
            (exchange,) = proxy.driver.in_flight.values()
            exchange.deadline -= 4.0  # as if the connect had taken 4 s
            allowed.set()
            sent_budget = (await next_call(proxy.backend)).headers["x-budget"]
            assert 0 < int(sent_budget[:-1]) <= 2_000_000
            assert (await caller.answer()).code == 200

    run(test())


@pytest.mark.parametrize("moment", ["before its first byte", "before its last byte"])
def test_no_further_attempt_is_sent_after_the_deduplication_window(
    moment: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The attempt is decided within the window, but its connect or its last-byte check ends after it.

    Servers drop repeats only within the window, so a later attempt could run the call twice.
    """

    async def test() -> None:
        connect_allowed = asyncio.Event()
        limits = {**SETTINGS["policy_limits"], "connect_timeout": TEST_TIMEOUT_S, "send_cap": 2}

        async def behave(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(response(500, Connection="close"))  # it may have run

        async with in_process_proxy(behave, policy_limits=limits) as proxy:
            connect = proxy.driver.loop.create_connection

            async def slow_connect(*args: Any) -> Any:
                await connect_allowed.wait()
                return await connect(*args)

            caller = await proxy.caller()
            caller.send("reserva", FIRST_ID, budget="4000m")
            await next_call(proxy.backend)
            monkeypatch.setattr(proxy.driver.loop, "create_connection", slow_connect)
            await proxy.wait_until(lambda: any(call.may_have_run for call in proxy.driver.calls.values()))
            await proxy.wait_until(lambda: bool(proxy.driver.in_flight))
            (exchange,) = proxy.driver.in_flight.values()
            assert exchange.send_deadline < exchange.started_at + 6.0  # the deduplication window of the class
            if moment == "before its last byte":
                monkeypatch.setattr(backend_connection, "LAST_BYTE_DELAY_S", TEST_TIMEOUT_S)
                connect_allowed.set()
                await proxy.wait_until(lambda: exchange.connection is not None)
                exchange.send_deadline = 0.0
                assert exchange.connection is not None
                exchange.connection._send_last_byte(exchange)
            else:
                exchange.send_deadline = 0.0
                connect_allowed.set()
            assert (await caller.answer()).code in (502, 504)
            assert exchange.status is Status.MOOT and not exchange.sent and proxy.backend.call_count == 1

    run(test())


@pytest.mark.parametrize("behind", [b"", STOCK_REQUEST % 2], ids=["alone", "with bytes behind it"])
def test_a_request_is_not_retried_after_its_caller_disconnects(behind: bytes) -> None:
    async def test() -> None:
        release_rejection = asyncio.Event()

        async def behave(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            if seen.headers["x-call-id"] == FIRST_ID:
                await release_rejection.wait()
                rejected(seen, writer)
            else:
                await serve_ok(seen, writer)

        async with in_process_proxy(behave) as proxy:
            caller = await proxy.caller()
            caller.send("canje", FIRST_ID, budget="6000m")
            caller.writer.write(behind)
            assert (await next_call(proxy.backend)).headers["x-call-id"] == FIRST_ID
            proxy.set_backend_status("Terminating")  # the next attempt has to wait in the queue
            release_rejection.set()
            await proxy.wait_until(lambda: bool(proxy.driver.balancer.queue))
            caller.writer.close()
            await proxy.wait_until_disconnected()
            proxy.set_backend_status("Ready")
            await proxy.expect_served(SECOND_ID)
            assert (await next_call(proxy.backend)).headers["x-call-id"] == SECOND_ID
            assert proxy.backend.call_count == 2 and not proxy.driver.active_ids

    run(test())


async def on_a_new_connection(proxy: InProcessProxy) -> int:
    return 1


async def on_a_kept_connection(proxy: InProcessProxy) -> int:
    await proxy.expect_served("a" * 16)
    proxy.driver.counts.clear()
    return 1


async def on_a_retry(proxy: InProcessProxy) -> int:
    async def behave(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        proxy.backend.behave = serve_ok
        proxy.set_backend_status("Terminating")  # the next attempt has to wait in the queue
        rejected(seen, writer)

    async def resume() -> None:
        await proxy.wait_until(lambda: proxy.backend.behave is serve_ok and bool(proxy.driver.balancer.queue))
        proxy.set_backend_status("Ready")

    proxy.backend.behave = behave
    proxy.background.add(asyncio.ensure_future(resume()))
    return 2


@pytest.mark.parametrize("end", [close, reset])
@pytest.mark.parametrize("behind", [b"", STOCK_REQUEST % 2], ids=["alone", "with bytes behind it"])
@pytest.mark.parametrize("attempt", [on_a_new_connection, on_a_kept_connection, on_a_retry])
def test_no_attempt_starts_for_a_caller_whose_disconnect_is_unread(
    attempt: Callable[[InProcessProxy], Awaitable[int]],
    behind: bytes,
    end: Callable[[socket.socket], None],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The caller disconnects right before the first byte is sent; the event loop has not read that yet."""

    async def test() -> None:
        async with in_process_proxy() as proxy:
            last = await attempt(proxy)
            caller = socket.create_connection(("127.0.0.1", proxy.port))
            started, written_requests = 0, []
            run_on, start_exchange = (
                Exchange.run_on,
                Connection.start_exchange,
            )

            def disconnect_first(exchange: Exchange, connection: Connection) -> None:
                nonlocal started
                if FIRST_ID.encode() in exchange.build_request(1.0):
                    started += 1
                    if started == last:
                        end(caller)
                run_on(exchange, connection)

            def record(connection: Connection, exchange: Exchange) -> None:
                written_requests.append(exchange.build_request(1.0))
                start_exchange(connection, exchange)

            monkeypatch.setattr(Exchange, "run_on", disconnect_first)
            monkeypatch.setattr(Connection, "start_exchange", record)
            head = (
                b"POST /canje HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\nX-Budget: 6000m\r\n" % FIRST_ID.encode()
            )
            caller.sendall(head + b"Content-Length: 0\r\n\r\n" + behind)
            await proxy.wait_until(lambda: started == last)
            await proxy.wait_until_disconnected()
            await proxy.expect_served(SECOND_ID)
            assert sum(FIRST_ID.encode() in request for request in written_requests) == last - 1
            assert not proxy.driver.active_ids and not proxy.driver.in_flight

    run(test())


def test_the_budgets_of_pipelined_requests_run_from_their_arrival() -> None:
    """Pipelined requests are read at once: one read after the previous answer would get a later deadline."""

    async def test() -> None:
        handler = HoldingHandler()
        async with running_server(handler) as (server, port):
            with socket.create_connection(("127.0.0.1", port)) as caller:
                caller.sendall(STOCK_REQUEST % 1)
                _, reply = await handler.requests.get()
                (connection,) = server.connections
                for behind in (2, 3):
                    caller.sendall(STOCK_REQUEST % behind)
                    while len(connection.reader.unparsed) < behind - 1:
                        await asyncio.sleep(0)
                answered = time.monotonic()
                for _ in range(2):
                    reply.answer(200, (), b"")
                    request, reply = await handler.requests.get()
                    assert request.received_at < answered

    run(test())


async def connection_with_unread_request(server: Server, port: int, handler: HoldingHandler) -> socket.socket:
    """Returns an answered caller whose next request is in the socket, unread by the event loop."""
    caller = socket.create_connection(("127.0.0.1", port))
    caller.sendall(STOCK_REQUEST % 1)
    _, reply = await handler.requests.get()
    reply.answer(200, (), b"")
    assert server.idle
    caller.sendall(STOCK_REQUEST % 2)
    return caller


def close_idle(server: Server) -> None:
    server.close_idle()


def expire_keep_alive(server: Server) -> None:
    for connection in server.idle:
        connection.table_since -= KEEP_ALIVE_TIMEOUT_S
    server._sweep()


def evict_connection(server: Server) -> None:
    for connection in server.idle:
        connection.table_since -= KEEP_ALIVE_TIMEOUT_S
    assert not server._evict_connection()


@pytest.mark.parametrize("end", [close_idle, expire_keep_alive, evict_connection])
def test_a_connection_with_an_unread_request_is_not_closed(end: Callable[[Server], None]) -> None:
    """The request arrived before the close: closing would lose it or make the caller resend it."""

    async def test() -> None:
        handler = HoldingHandler()
        async with running_server(handler) as (server, port):
            with await connection_with_unread_request(server, port, handler):
                end(server)
                request, _ = await handler.requests.get()
                assert request.id == b"%016d" % 2

    run(test())


def test_a_request_unread_at_the_end_of_the_shutdown_is_refused() -> None:
    """It is unread when the proxy stops serving; a close without an answer would lose it."""

    async def test() -> None:
        handler = HoldingHandler()
        async with running_server(handler) as (server, port):
            with await connection_with_unread_request(server, port, handler) as caller:
                server.draining = True
                server.reject_partial_requests()
                other = Caller(*await asyncio.open_connection(sock=caller.dup()))
                assert (await other.answer()).code == 200  # to the first request
                answer = await other.answer()
                assert (answer.code, answer.headers["connection"]) == (503, "close")
                assert await other.closed_by_proxy() and handler.requests.empty()

    run(test())


def test_a_first_request_that_arrives_at_the_read_timeout_is_accepted() -> None:
    async def test() -> None:
        handler = HoldingHandler()
        async with running_server(handler) as (server, port):
            with socket.create_connection(("127.0.0.1", port)) as caller:
                while not server.awaiting_request:
                    await asyncio.sleep(0)
                for connection in server.awaiting_request:
                    connection.table_since -= REQUEST_READ_TIMEOUT_S
                caller.sendall(STOCK_REQUEST % 1)
                server._sweep()
                assert (await handler.requests.get())[0].id == b"%016d" % 1

    run(test())


def test_the_last_answer_arrives_though_bytes_are_unread_behind_its_request() -> None:
    """Closing a socket with unread bytes resets the connection, which loses the unsent part of the answer."""

    async def test() -> None:
        handler = HoldingHandler()
        loop = asyncio.get_running_loop()
        async with running_server(handler) as (_, port):
            with socket.socket() as caller:
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                caller.connect(("127.0.0.1", port))
                caller.setblocking(False)
                caller.send((STOCK_REQUEST % 1).replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
                _, reply = await handler.requests.get()
                caller.send(b"more")
                body = bytes(60_000)
                reply.answer(200, (), body)
                received = b""
                while part := await loop.sock_recv(caller, 1 << 16):
                    received += part
                assert received.endswith(b"\r\n\r\n" + body)

    run(test())


def test_a_connection_sending_its_last_answer_is_not_evicted_first() -> None:
    """A connection without a request is evicted before one that is still sending its last answer."""

    async def test() -> None:
        handler = HoldingHandler()
        loop = asyncio.get_running_loop()
        async with running_server(handler) as (server, port):
            with socket.socket() as caller:
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                caller.connect(("127.0.0.1", port))
                caller.setblocking(False)
                caller.send((STOCK_REQUEST % 1).replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
                _, reply = await handler.requests.get()
                silent = Caller(*await asyncio.open_connection("127.0.0.1", port))
                while not server.awaiting_request:
                    await asyncio.sleep(0)
                for connection in server.awaiting_request:
                    connection.table_since -= REQUEST_READ_TIMEOUT_S
                body = bytes(8 << 20)  # more than the socket buffers hold
                reply.answer(200, (), body)
                assert server.closing and server._evict_connection() and not server.awaiting_request
                assert await silent.closed_by_proxy()
                received = 0
                while part := await loop.sock_recv(caller, 1 << 20):
                    received += len(part)
                assert received > len(body)

    run(test())


@pytest.mark.parametrize("already_read", [True, False], ids=["read", "unread"])
def test_a_pipelined_request_is_answered_during_the_shutdown(already_read: bool) -> None:
    """It has arrived: closing the connection with the first answer would lose it."""

    async def test() -> None:
        handler = HoldingHandler()
        async with running_server(handler) as (server, port):
            caller = Caller(*await asyncio.open_connection("127.0.0.1", port))
            caller.writer.write(STOCK_REQUEST % 1)
            _, reply = await handler.requests.get()
            server.draining = True
            caller.writer.write(STOCK_REQUEST % 2)
            while already_read and not any(connection.reader.unparsed for connection in server.connections):
                await asyncio.sleep(0)
            reply.answer(200, (), b"first")
            assert (await caller.answer()).body == b"first"
            request, reply = await handler.requests.get()
            assert request.id == b"%016d" % 2
            reply.answer(200, (), b"second")
            answer = await caller.answer()
            assert (answer.body, answer.headers["connection"]) == (b"second", "close")
            assert await caller.closed_by_proxy()

    run(test())


@pytest.mark.parametrize("completed", [True, False], ids=["completed", "not completed"])
def test_a_partial_request_received_with_the_previous_one_is_noticed_during_the_shutdown(
    completed: bool,
) -> None:
    async def test() -> None:
        handler = HoldingHandler()
        async with running_server(handler) as (server, port):
            caller = Caller(*await asyncio.open_connection("127.0.0.1", port))
            cut = len(STOCK_REQUEST % 1) + 40
            caller.writer.write((STOCK_REQUEST % 1 + STOCK_REQUEST % 2)[:cut])  # in one write
            _, reply = await handler.requests.get()
            server.draining = True
            reply.answer(200, (), b"first")
            assert (await caller.answer()).body == b"first"
            server.close_idle()
            assert server.has_partial_request
            if completed:
                caller.writer.write((STOCK_REQUEST % 1 + STOCK_REQUEST % 2)[cut:])
                request, reply = await handler.requests.get()
                assert request.id == b"%016d" % 2
                reply.answer(200, (), b"second")
            else:
                server.reject_partial_requests()
            answer = await caller.answer()
            assert (answer.code, answer.headers["connection"]) == (200 if completed else 503, "close")
            assert await caller.closed_by_proxy()

    run(test())


def test_a_connection_in_the_backlog_is_served_when_the_listener_closes() -> None:
    """The connection and its request are in the kernel's backlog; the event loop has not accepted it yet."""

    async def test() -> None:
        handler = HoldingHandler()
        async with running_server(handler) as (server, port):
            with socket.create_connection(("127.0.0.1", port)) as caller:
                caller.sendall(STOCK_REQUEST % 1)
                await server.accept_pending(time.monotonic() + TEST_TIMEOUT_S)
                _, reply = await handler.requests.get()
                reply.answer(200, (), b"served")
                reader, writer = await asyncio.open_connection(sock=caller.dup())
                assert (await Caller(reader, writer).answer()).body == b"served"
                writer.close()
            with pytest.raises(ConnectionRefusedError):
                socket.create_connection(("127.0.0.1", port))

    run(test())


async def start_shutdown(proxy: InProcessProxy) -> asyncio.Task[None]:
    """Starts the graceful shutdown; waits for its last phase, in which each answer closes its connection."""
    shutdown = asyncio.ensure_future(drain(proxy.server, proxy.driver))
    await proxy.wait_until(lambda: proxy.server.draining)
    return shutdown


@pytest.fixture
def immediate_shutdown(monkeypatch: pytest.MonkeyPatch) -> None:
    """The last phase of the graceful shutdown starts right after SIGTERM."""
    monkeypatch.setattr(proxy_main, "SHUTDOWN_ACCEPT_S", 0.0)
    monkeypatch.setattr(proxy_main, "SHUTDOWN_CLOSING_S", TEST_TIMEOUT_S)


@pytest.mark.usefixtures("immediate_shutdown")
def test_a_partial_request_completed_during_the_shutdown_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(proxy_main, "SHUTDOWN_PARTIAL_REQUEST_S", TEST_TIMEOUT_S)

    async def test() -> None:
        async with in_process_proxy() as proxy:
            caller = await proxy.caller()
            caller.writer.write((STOCK_REQUEST % 1)[:40])
            await proxy.wait_until(lambda: proxy.server.has_partial_request)
            shutdown = await start_shutdown(proxy)
            caller.writer.write((STOCK_REQUEST % 1)[40:])
            answer = await caller.answer()
            assert (answer.code, answer.headers["connection"]) == (200, "close")
            await shutdown

    run(test())


@pytest.mark.usefixtures("immediate_shutdown")
def test_a_request_incomplete_at_the_end_of_the_shutdown_is_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(proxy_main, "SHUTDOWN_PARTIAL_REQUEST_S", 0.0)

    async def test() -> None:
        async with in_process_proxy() as proxy:
            caller = await proxy.caller()
            caller.writer.write((STOCK_REQUEST % 1)[:40])
            await proxy.wait_until(lambda: proxy.server.has_partial_request)
            shutdown = await start_shutdown(proxy)
            answer = await caller.answer()
            assert (answer.code, answer.headers["connection"]) == (503, "close")
            caller.writer.close()
            await shutdown

    run(test())


@pytest.mark.parametrize("further", [600, 50_000], ids=["45 KB", "3.6 MB"])
def test_no_retry_starts_for_a_caller_that_has_closed_behind_much_unread_input(further: int) -> None:
    async def test() -> None:
        may_reset = asyncio.Event()

        async def reset_later(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            await may_reset.wait()
            writer.transport.abort()

        async with in_process_proxy(reset_later) as proxy:
            with socket.socket() as caller:
                caller.setblocking(False)
                loop = asyncio.get_running_loop()
                await loop.sock_connect(caller, ("127.0.0.1", proxy.port))
                requests = b"".join(STOCK_REQUEST % number for number in range(1, further + 2))
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(0.3):
                        await loop.sock_sendall(caller, requests)
                assert (await next_call(proxy.backend)).headers["x-call-id"] == f"{1:016d}"
            await asyncio.sleep(0.1)  # until then an attempt may begin for a caller that has closed
            attempts = proxy.backend.call_count
            may_reset.set()
            await proxy.wait_until(lambda: not proxy.server.connections and not proxy.driver.in_flight)
            assert proxy.backend.call_count == attempts

    run(test())


def test_a_request_is_refused_while_more_is_sent_behind_it_than_may_be_read() -> None:
    """Whether its caller has closed can't be seen, so no attempt may begin; the connection stays usable."""

    async def test() -> None:
        async with in_process_proxy() as proxy:
            proxy.server.memory.read_ahead.limit = 200_000
            caller = await proxy.caller()
            number = 4000
            caller.writer.write(b"".join(STOCK_REQUEST % each for each in range(number)))
            assert (await caller.answer()).code == 503
            assert not proxy.backend.call_count
            assert {(await caller.answer()).code for _ in range(number - 1)} <= {200, 503}
            assert (await caller.call("stock", FIRST_ID)).code == 200

    run(test())


@pytest.mark.parametrize("cls", ["stock", "reserva", "canje"])
def test_an_id_that_comes_again_after_its_caller_left_during_the_attempt_does_not_run_twice(cls: str) -> None:
    async def test() -> None:
        async def never_answer(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            return

        async with in_process_proxy(never_answer) as proxy:
            first = await proxy.caller()
            first.send(cls, FIRST_ID)
            await next_call(proxy.backend)
            first.writer.close()
            await proxy.wait_until(lambda: not proxy.driver.calls)
            await proxy.wait_until(lambda: not proxy.driver.in_flight)
            again = await proxy.caller()
            assert (await again.call(cls, FIRST_ID)).code == 409
            assert proxy.backend.call_count == 1

    run(test())


def test_an_id_whose_first_request_never_ran_is_served_when_it_comes_again() -> None:
    async def test() -> None:
        async with in_process_proxy(status="Terminating") as proxy:
            first = await proxy.caller()
            first.send("canje", FIRST_ID)
            await proxy.wait_until(lambda: bool(proxy.driver.calls))
            first.writer.close()
            proxy.set_backend_status("Ready")
            again = await proxy.caller()
            assert (await again.call("canje", FIRST_ID)).code == 200
            assert proxy.backend.call_count == 1

    run(test())
