"""The instants in which something is still owed while something else ends, each forced by the test's peer."""

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
    PATIENCE,
    SETTINGS,
    Backend,
    Behaviour,
    Caller,
    Seen,
    endpoint,
    listing,
    next_call,
    response,
    run,
    serve_ok,
)

from granitepoint import __main__ as program
from granitepoint.__main__ import drain
from granitepoint.benchlink import read_settings
from granitepoint.interface import Effect, Status
from granitepoint.net import upstream as up
from granitepoint.net.config import Config, flatten_settings
from granitepoint.net.driver import Driver
from granitepoint.net.listing import read_listing
from granitepoint.net.server import KEEP_ALIVE_TIMEOUT_S, REQUEST_READ_TIMEOUT_S, Request, Server

STOCK = b"GET /stock HTTP/1.1\r\nX-Call-Id: %016d\r\nX-Budget: 9000m\r\n\r\n"


class Held:
    """A handler that holds each request until the test answers it."""

    def __init__(self) -> None:
        self.taken: asyncio.Queue[tuple[Request, Any]] = asyncio.Queue()
        self.gone: asyncio.Queue[Request] = asyncio.Queue()

    def on_request(self, request: Request, reply: Any) -> Request:
        self.taken.put_nowait((request, reply))
        return request

    def on_disconnect(self, call: Request) -> None:
        self.gone.put_nowait(call)

    def ready(self) -> bool:
        return True


@contextlib.asynccontextmanager
async def callers_side(handler: Held, sockets: int = 256) -> AsyncIterator[tuple[Server, int]]:
    server = Server({"stock": Effect.REPEATABLE}, handler, sockets, 64)
    port = await server.listen("127.0.0.1", 0)
    try:
        async with asyncio.timeout(PATIENCE):
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


BEHIND = {
    "nothing": b"",
    "a request": STOCK % 2,
    "half a request": (STOCK % 2)[:30],
    "much": b"".join(STOCK % number for number in range(2, 3000)),
}


@pytest.mark.parametrize("end", [close, reset])
@pytest.mark.parametrize("behind", BEHIND.values(), ids=BEHIND)
def test_a_caller_that_leaves_is_seen_whatever_it_sent_behind_its_request(
    behind: bytes, end: Callable[[socket.socket], None]
) -> None:
    """Reading stops while a further request waits, and the end lies behind what is unread."""

    async def test() -> None:
        handler = Held()
        async with callers_side(handler) as (server, port):
            with socket.create_connection(("127.0.0.1", port)) as caller:
                caller.sendall(STOCK % 1 + behind)
                request, _ = await handler.taken.get()
                assert handler.gone.empty()
                end(caller)
            assert await handler.gone.get() is request
            while server.connections:
                await asyncio.sleep(0)
            assert handler.taken.empty() and not server.paused_connections

    run(test())


class Node:
    """The proxy's two sides and its module in this process, so that a test holds what lies between them."""

    def __init__(self, driver: Driver, server: Server, port: int, backend: Backend) -> None:
        self.driver, self.server, self.port, self.backend = driver, server, port, backend
        self.version = 1
        self.background: set[asyncio.Future[None]] = set()  # of the test's own, ended with the node

    async def caller(self) -> Caller:
        return Caller(*await asyncio.open_connection("127.0.0.1", self.port))

    def lists(self, status: str) -> None:
        """Discovery tells that the backend is in this state."""
        self.version += 1
        told = read_listing(listing(self.version, endpoint("s-1", self.backend.address, status)))
        self.driver._on_list(told)

    async def served(self, id: str) -> None:
        assert (await (await self.caller()).call("stock", id)).code == 200

    async def left(self) -> None:
        """The open calls are over because their callers were seen to leave, not because time ran out."""
        await self.until(lambda: not self.driver.calls)
        assert not [name for name in self.driver.counts if name.startswith("answer")]

    async def until(self, done: Callable[[], bool]) -> None:
        while not done():
            await asyncio.sleep(0)


@contextlib.asynccontextmanager
async def node(behave: Behaviour = serve_ok, status: str = "Ready", **changes: Any) -> AsyncIterator[Node]:
    backend = await Backend(behave).start()
    known = listing(1, endpoint("s-1", backend.address, status))
    settings = read_settings(flatten_settings({**SETTINGS, **changes}))
    nowhere = ("127.0.0.1", 9)
    driver = Driver(Config("n0", nowhere, nowhere, 1, 256, 64.0, known, settings))
    driver.balancer.list_lease.confirmed = True  # there is no discovery here; lists come from the test
    server = Server(driver.effects, driver, 256, 64)
    driver.start()
    port = await server.listen("127.0.0.1", 0)
    here = Node(driver, server, port, backend)
    try:
        async with asyncio.timeout(PATIENCE):
            yield here
    finally:
        for task in here.background:
            task.cancel()
        server.stop_listening()
        driver.stop()
        for connection in list(server.connections):
            connection.abort()
        await backend.stop()


def rejected(seen: Seen, writer: asyncio.StreamWriter) -> None:
    writer.write(response(503, X_Rejected="1"))


FIRST, SECOND = "f" * 16, "e" * 16


@pytest.mark.parametrize("behind", [b"", STOCK % 2], ids=["alone", "with bytes behind it"])
def test_a_request_whose_caller_left_while_it_was_queued_is_not_sent_on(behind: bytes) -> None:
    async def test() -> None:
        async with node(status="Terminating") as here:
            caller = await here.caller()
            caller.send("canje", FIRST, budget="6000m")
            caller.writer.write(behind)
            await here.until(lambda: bool(here.driver.balancer.queue))
            caller.writer.close()
            await here.left()
            here.lists("Ready")
            await here.served(SECOND)
            assert (await next_call(here.backend)).headers["x-call-id"] == SECOND
            assert here.backend.count == 1 and not here.driver.ids

    run(test())


@pytest.mark.parametrize("behind", [b"", STOCK % 2], ids=["alone", "with bytes behind it"])
def test_a_request_whose_caller_left_while_it_connected_is_not_sent_on(
    behind: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with node(policy_limits={**SETTINGS["policy_limits"], "connect_timeout": PATIENCE}) as here:
            loop = asyncio.get_running_loop()
            connect, asked, up = loop.create_connection, asyncio.Event(), asyncio.Event()

            async def slow(*args: Any) -> Any:
                asked.set()
                await up.wait()
                return await connect(*args)

            caller = await here.caller()
            other = await here.caller()
            monkeypatch.setattr(here.driver.upstreams.loop, "create_connection", slow)
            caller.send("canje", FIRST, budget="6000m")
            caller.writer.write(behind)
            await asked.wait()
            caller.writer.close()
            await here.left()
            up.set()
            assert (await other.call("stock", SECOND)).code == 200
            assert (await next_call(here.backend)).headers["x-call-id"] == SECOND
            assert here.backend.count == 1 and not here.driver.ids

    run(test())


def test_the_time_that_an_attempt_tells_is_what_is_left_after_a_slow_connect(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with node(policy_limits={**SETTINGS["policy_limits"], "connect_timeout": PATIENCE}) as here:
            connect, up = here.driver.loop.create_connection, asyncio.Event()

            async def slow(*args: Any) -> Any:
                await up.wait()
                return await connect(*args)

            caller = await here.caller()
            here.driver.balancer.health.confirm()  # so that it waits for no health check, slow too
            monkeypatch.setattr(here.driver.upstreams.loop, "create_connection", slow)
            caller.send("canje", FIRST, budget="6000m")
            await here.until(lambda: bool(here.driver.out))
            (exchange,) = here.driver.out.values()
            exchange.ends_at -= 4.0  # as if the connect had taken so long
            up.set()
            told = (await next_call(here.backend)).headers["x-budget"]
            assert 0 < int(told[:-1]) <= 2_000_000
            assert (await caller.answer()).code == 200

    run(test())


@pytest.mark.parametrize("moment", ["before its first byte", "before its last byte"])
def test_a_further_attempt_does_not_go_out_once_the_window_for_repeats_is_over(
    moment: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It was decided within the window; its connect, or the wait before its last byte, takes too long."""

    async def test() -> None:
        connect_held = asyncio.Event()
        limits = {**SETTINGS["policy_limits"], "connect_timeout": PATIENCE, "send_cap": 2}

        async def behave(seen: Seen, writer: asyncio.StreamWriter) -> None:
            writer.write(response(500, Connection="close"))  # it may have run

        async with node(behave, policy_limits=limits) as here:
            connect = here.driver.loop.create_connection

            async def held(*args: Any) -> Any:
                await connect_held.wait()
                return await connect(*args)

            caller = await here.caller()
            caller.send("reserva", FIRST, budget="4000m")
            await next_call(here.backend)
            monkeypatch.setattr(here.driver.loop, "create_connection", held)
            await here.until(lambda: any(call.ran for call in here.driver.calls.values()))
            await here.until(lambda: bool(here.driver.out))
            (exchange,) = here.driver.out.values()
            assert exchange.send_by < exchange.started_at + 6.0  # the window of the class
            if moment == "before its last byte":
                monkeypatch.setattr(up, "PROVE", PATIENCE)
                connect_held.set()
                await here.until(lambda: exchange.connection is not None)
                exchange.send_by = 0.0
                assert exchange.connection is not None
                exchange.connection._finish(exchange)
            else:
                exchange.send_by = 0.0
                connect_held.set()
            assert (await caller.answer()).code in (502, 504)
            assert exchange.status is Status.MOOT and not exchange.sent and here.backend.count == 1

    run(test())


@pytest.mark.parametrize("behind", [b"", STOCK % 2], ids=["alone", "with bytes behind it"])
def test_a_request_whose_caller_left_between_attempts_is_not_sent_again(behind: bytes) -> None:
    async def test() -> None:
        turn_away = asyncio.Event()

        async def behave(seen: Seen, writer: asyncio.StreamWriter) -> None:
            if seen.headers["x-call-id"] == FIRST:
                await turn_away.wait()
                rejected(seen, writer)
            else:
                await serve_ok(seen, writer)

        async with node(behave) as here:
            caller = await here.caller()
            caller.send("canje", FIRST, budget="6000m")
            caller.writer.write(behind)
            assert (await next_call(here.backend)).headers["x-call-id"] == FIRST
            here.lists("Terminating")  # so the next attempt has to wait
            turn_away.set()
            await here.until(lambda: bool(here.driver.balancer.queue))
            caller.writer.close()
            await here.left()
            here.lists("Ready")
            await here.served(SECOND)
            assert (await next_call(here.backend)).headers["x-call-id"] == SECOND
            assert here.backend.count == 2 and not here.driver.ids

    run(test())


async def on_a_new_connection(here: Node) -> int:
    return 1


async def on_a_kept_connection(here: Node) -> int:
    await here.served("a" * 16)
    here.driver.counts.clear()
    return 1


async def again(here: Node) -> int:
    async def behave(seen: Seen, writer: asyncio.StreamWriter) -> None:
        here.backend.behave = serve_ok
        here.lists("Terminating")  # so the next attempt has to wait
        rejected(seen, writer)

    async def resume() -> None:
        await here.until(lambda: here.backend.behave is serve_ok and bool(here.driver.balancer.queue))
        here.lists("Ready")

    here.backend.behave = behave
    here.background.add(asyncio.ensure_future(resume()))
    return 2


@pytest.mark.parametrize("end", [close, reset])
@pytest.mark.parametrize("behind", [b"", STOCK % 2], ids=["alone", "with bytes behind it"])
@pytest.mark.parametrize("attempt", [on_a_new_connection, on_a_kept_connection, again])
def test_no_attempt_begins_for_a_caller_whose_leaving_lies_unread(
    attempt: Callable[[Node], Awaitable[int]],
    behind: bytes,
    end: Callable[[socket.socket], None],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It leaves right before the first byte would go out, and the loop has not looked at its socket since."""

    async def test() -> None:
        async with node() as here:
            last = await attempt(here)
            caller = socket.create_connection(("127.0.0.1", here.port))
            started, begun = 0, []
            run_on, begin = up.Exchange.run_on, up.Connection.begin

            def leave_first(exchange: up.Exchange, connection: up.Connection) -> None:
                nonlocal started
                if FIRST.encode() in exchange.request(1.0):
                    started += 1
                    if started == last:
                        end(caller)
                run_on(exchange, connection)

            def note(connection: up.Connection, exchange: up.Exchange) -> None:
                begun.append(exchange.request(1.0))
                begin(connection, exchange)

            monkeypatch.setattr(up.Exchange, "run_on", leave_first)
            monkeypatch.setattr(up.Connection, "begin", note)
            head = b"POST /canje HTTP/1.1\r\nX-Call-Id: %s\r\nX-Budget: 6000m\r\n" % FIRST.encode()
            caller.sendall(head + b"Content-Length: 0\r\n\r\n" + behind)
            await here.until(lambda: started == last)
            await here.left()
            await here.served(SECOND)
            assert sum(FIRST.encode() in request for request in begun) == last - 1
            assert not here.driver.ids and not here.driver.out

    run(test())


def test_the_time_of_requests_that_come_at_once_runs_for_all_of_them() -> None:
    """One that is read when the one before is answered seems to have come then: its answer would be late."""

    async def test() -> None:
        handler = Held()
        async with callers_side(handler) as (server, port):
            with socket.create_connection(("127.0.0.1", port)) as caller:
                caller.sendall(STOCK % 1)
                _, reply = await handler.taken.get()
                (connection,) = server.connections
                for behind in (2, 3):
                    caller.sendall(STOCK % behind)
                    while len(connection.pending_requests) < behind - 1:
                        await asyncio.sleep(0)
                answered = time.monotonic()
                for _ in range(2):
                    reply.answer(200, (), b"")
                    request, reply = await handler.taken.get()
                    assert request.received_at < answered

    run(test())


async def asked_while_the_loop_looks_away(server: Server, port: int, handler: Held) -> socket.socket:
    """A caller that was answered; its next request lies in the socket, and the loop has not run since."""
    caller = socket.create_connection(("127.0.0.1", port))
    caller.sendall(STOCK % 1)
    _, reply = await handler.taken.get()
    reply.answer(200, (), b"")
    assert server.idle
    caller.sendall(STOCK % 2)
    return caller


def end_idle(server: Server) -> None:
    server.close_idle()


def end_kept_for_long(server: Server) -> None:
    for connection in server.idle:
        connection.table_since -= KEEP_ALIVE_TIMEOUT_S
    server._sweep()


def make_room(server: Server) -> None:
    for connection in server.idle:
        connection.table_since -= KEEP_ALIVE_TIMEOUT_S
    assert not server._evict_connection()


@pytest.mark.parametrize("end", [end_idle, end_kept_for_long, make_room])
def test_a_close_that_crosses_a_request_leaves_the_connection(end: Callable[[Server], None]) -> None:
    """The request came before the close: closing on it would lose it, or make the caller send it anew."""

    async def test() -> None:
        handler = Held()
        async with callers_side(handler) as (server, port):
            with await asked_while_the_loop_looks_away(server, port, handler):
                end(server)
                request, _ = await handler.taken.get()
                assert request.id == b"%016d" % 2

    run(test())


def test_a_request_that_crosses_the_end_of_the_wind_down_is_refused() -> None:
    """It lies in the socket when nothing more is served; a close that answers nothing would lose it."""

    async def test() -> None:
        handler = Held()
        async with callers_side(handler) as (server, port):
            with await asked_while_the_loop_looks_away(server, port, handler) as caller:
                server.draining = True
                server.reject_partial_requests()
                other = Caller(*await asyncio.open_connection(sock=caller.dup()))
                assert (await other.answer()).code == 200  # the one before
                answer = await other.answer()
                assert (answer.code, answer.headers["connection"]) == (503, "close")
                assert await other.ended() and handler.taken.empty()

    run(test())


def test_a_first_request_that_comes_as_its_time_ends_is_taken() -> None:
    async def test() -> None:
        handler = Held()
        async with callers_side(handler) as (server, port):
            with socket.create_connection(("127.0.0.1", port)) as caller:
                while not server.awaiting_request:
                    await asyncio.sleep(0)
                for connection in server.awaiting_request:
                    connection.table_since -= REQUEST_READ_TIMEOUT_S
                caller.sendall(STOCK % 1)
                server._sweep()
                assert (await handler.taken.get())[0].id == b"%016d" % 1

    run(test())


def test_the_last_answer_arrives_though_bytes_lie_unread_behind_its_request() -> None:
    """A close on unread bytes is a reset, and takes along what of the answer has not left yet."""

    async def test() -> None:
        handler = Held()
        loop = asyncio.get_running_loop()
        async with callers_side(handler) as (_, port):
            with socket.socket() as caller:
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                caller.connect(("127.0.0.1", port))
                caller.setblocking(False)
                caller.send((STOCK % 1).replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
                _, reply = await handler.taken.get()
                caller.send(b"more")
                body = bytes(60_000)
                reply.answer(200, (), body)
                come = b""
                while part := await loop.sock_recv(caller, 1 << 16):
                    come += part
                assert come.endswith(b"\r\n\r\n" + body)

    run(test())


def test_a_last_answer_that_is_on_its_way_is_not_cut_off_to_make_room() -> None:
    """One that asks nothing makes room first."""

    async def test() -> None:
        handler = Held()
        loop = asyncio.get_running_loop()
        async with callers_side(handler) as (server, port):
            with socket.socket() as caller:
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                caller.connect(("127.0.0.1", port))
                caller.setblocking(False)
                caller.send((STOCK % 1).replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
                _, reply = await handler.taken.get()
                silent = Caller(*await asyncio.open_connection("127.0.0.1", port))
                while not server.awaiting_request:
                    await asyncio.sleep(0)
                for connection in server.awaiting_request:
                    connection.table_since -= REQUEST_READ_TIMEOUT_S
                body = bytes(8 << 20)  # more than the system holds for a connection
                reply.answer(200, (), body)
                assert server.closing and server._evict_connection() and not server.awaiting_request
                assert await silent.ended()
                come = 0
                while part := await loop.sock_recv(caller, 1 << 20):
                    come += len(part)
                assert come > len(body)

    run(test())


@pytest.mark.parametrize("looked", [True, False], ids=["read", "unread"])
def test_a_request_that_came_behind_another_is_answered_in_the_wind_down(looked: bool) -> None:
    """It has been taken: the close that comes with the first answer would lose it."""

    async def test() -> None:
        handler = Held()
        async with callers_side(handler) as (server, port):
            caller = Caller(*await asyncio.open_connection("127.0.0.1", port))
            caller.writer.write(STOCK % 1)
            _, reply = await handler.taken.get()
            server.draining = True
            caller.writer.write(STOCK % 2)
            while looked and not any(connection.pending_requests for connection in server.connections):
                await asyncio.sleep(0)
            reply.answer(200, (), b"first")
            assert (await caller.answer()).body == b"first"
            request, reply = await handler.taken.get()
            assert request.id == b"%016d" % 2
            reply.answer(200, (), b"second")
            answer = await caller.answer()
            assert (answer.body, answer.headers["connection"]) == (b"second", "close")
            assert await caller.ended()

    run(test())


@pytest.mark.parametrize("whole", [True, False], ids=["comes whole", "does not"])
def test_half_a_request_that_came_with_the_one_before_is_seen_in_the_wind_down(whole: bool) -> None:
    async def test() -> None:
        handler = Held()
        async with callers_side(handler) as (server, port):
            caller = Caller(*await asyncio.open_connection("127.0.0.1", port))
            cut = len(STOCK % 1) + 40
            caller.writer.write((STOCK % 1 + STOCK % 2)[:cut])  # in one piece
            _, reply = await handler.taken.get()
            server.draining = True
            reply.answer(200, (), b"first")
            assert (await caller.answer()).body == b"first"
            server.close_idle()
            assert server.has_partial_request
            if whole:
                caller.writer.write((STOCK % 1 + STOCK % 2)[cut:])
                request, reply = await handler.taken.get()
                assert request.id == b"%016d" % 2
                reply.answer(200, (), b"second")
            else:
                server.reject_partial_requests()
            answer = await caller.answer()
            assert (answer.code, answer.headers["connection"]) == (200 if whole else 503, "close")
            assert await caller.ended()

    run(test())


def test_who_has_connected_when_the_listener_closes_is_served() -> None:
    """The kernel has taken the connection and the request; the loop has not accepted it yet."""

    async def test() -> None:
        handler = Held()
        async with callers_side(handler) as (server, port):
            with socket.create_connection(("127.0.0.1", port)) as caller:
                caller.sendall(STOCK % 1)
                await server.accept_pending(time.monotonic() + PATIENCE)
                _, reply = await handler.taken.get()
                reply.answer(200, (), b"served")
                reader, writer = await asyncio.open_connection(sock=caller.dup())
                assert (await Caller(reader, writer).answer()).body == b"served"
                writer.close()
            with pytest.raises(ConnectionRefusedError):
                socket.create_connection(("127.0.0.1", port))

    run(test())


async def wind_down(here: Node) -> asyncio.Task[None]:
    """The node's own way to end, in its last part by now."""
    ending = asyncio.ensure_future(drain(here.server, here.driver))
    await here.until(lambda: here.server.draining)
    return ending


@pytest.fixture
def soon(monkeypatch: pytest.MonkeyPatch) -> None:
    """SIGTERM is followed by the wind-down at once."""
    monkeypatch.setattr(program, "SHUTDOWN_ACCEPT_S", 0.0)
    monkeypatch.setattr(program, "SHUTDOWN_CLOSING_S", PATIENCE)


@pytest.mark.usefixtures("soon")
def test_a_request_of_which_the_rest_comes_in_the_wind_down_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(program, "SHUTDOWN_PARTIAL_REQUEST_S", PATIENCE)

    async def test() -> None:
        async with node() as here:
            caller = await here.caller()
            caller.writer.write((STOCK % 1)[:40])
            await here.until(lambda: here.server.has_partial_request)
            ending = await wind_down(here)
            caller.writer.write((STOCK % 1)[40:])
            answer = await caller.answer()
            assert (answer.code, answer.headers["connection"]) == (200, "close")
            await ending

    run(test())


@pytest.mark.usefixtures("soon")
def test_a_request_that_does_not_come_whole_before_the_end_is_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(program, "SHUTDOWN_PARTIAL_REQUEST_S", 0.0)

    async def test() -> None:
        async with node() as here:
            caller = await here.caller()
            caller.writer.write((STOCK % 1)[:40])
            await here.until(lambda: here.server.has_partial_request)
            ending = await wind_down(here)
            answer = await caller.answer()
            assert (answer.code, answer.headers["connection"]) == (503, "close")
            caller.writer.close()
            await ending

    run(test())
