"""Malformed and unusual answers of backends, and connections to backends that break.

A valid answer is served completely. Any other answer ends its attempt at once as one that may have run.
Nothing is ever served as the answer to another request.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import time
from typing import Any

import httptools
import pytest
from netkit import (
    LIMITS_WITHOUT_PROBES,
    TEST_TIMEOUT_S,
    Backend,
    ReceivedRequest,
    age_idle_connections,
    proxy,
    response,
    run,
)

from granitepoint.interface import ServerEntry, ServerState, Status
from granitepoint.net import backend_connection
from granitepoint.net.backend_connection import Connection
from granitepoint.net.driver import read_report
from granitepoint.net.exchange import Exchange
from granitepoint.net.listing import ListedBackend, Listing
from granitepoint.net.reuse_delay import MIN_REUSE_DELAY_S
from granitepoint.net.upstream import Upstreams

OK = b"HTTP/1.1 200 OK\r\n"
MALFORMED_ANSWERS = {
    "noise": b"\x00\x17\x88 noise, and no more",
    "a bad status": b"HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nok",
    "negative length": OK + b"Content-Length: -5\r\n\r\nhello",
    "no number": OK + b"Content-Length: many\r\n\r\nhello",
    "two lengths": OK + b"Content-Length: 5\r\nContent-Length: 4\r\n\r\nhello",
    "one length twice": OK + b"Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
    "length and chunks": OK + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "odd coding": OK + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "no length": OK + b"\r\nhello",
    "3 GB": OK + b"Content-Length: 3000000000\r\n\r\nhello",
    "huge length": OK + b"Content-Length: 99999999999999999999999999\r\n\r\nhello",
    "bad chunk": OK + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nhello",
    "HTTP/2.0": b"HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/0.9": b"HTTP/0.9 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "RTSP/1.1": b"RTSP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "ICE/1.0": b"ICE/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/2.0 behind 1xx": b"HTTP/1.1 103 X\r\n\r\nHTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "thousands of headers": OK + b"ab:\r\n" * 4000 + b"Content-Length: 2\r\n\r\nok",
    "upgrade": b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
}
ENDLESS_ANSWERS = {
    "head": (OK + b"X-Long: ", b"a" * 1000),
    "headers": (OK, b"X-More: a\r\n" * 100),
    "1xx": (b"", b"HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n" * 30),
    "chunk extension": (OK + b"Transfer-Encoding: chunked\r\n\r\n5;", b"a" * 20_000),
    "trailer": (OK + b"Transfer-Encoding: chunked\r\n\r\n0\r\n", b"X-T: a\r\n" * 2000),
    "body": (OK + b"Connection: close\r\n\r\n", b"a" * 20_000),
}


async def assert_attempt_fails_at_once(backend: Backend) -> None:
    """Calls the backend once and checks that its answer ends the attempt.

    Budget and attempt timeout are several seconds, so only the answer itself can end the attempt this soon.
    """
    async with proxy({"s-1": backend}) as node:
        caller = await node.caller()
        started = asyncio.get_running_loop().time()
        reply = await caller.call("canje", "a" * 16, budget="5000m")
        assert reply.code == 502 and "retry-after" not in reply.headers
        assert asyncio.get_running_loop().time() - started < 1.5
        assert backend.call_count == 1
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await backend.closed.get()


@pytest.mark.parametrize("malformed", MALFORMED_ANSWERS.values(), ids=MALFORMED_ANSWERS)
def test_a_malformed_answer_ends_its_attempt_at_once(malformed: bytes) -> None:
    async def behave(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(malformed)

    run(assert_attempt_fails_at_once(Backend(behave)))


@pytest.mark.parametrize(("start", "repeated"), ENDLESS_ANSWERS.values(), ids=ENDLESS_ANSWERS)
def test_an_endless_answer_ends_its_attempt_at_once(start: bytes, repeated: bytes) -> None:
    async def behave(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(start)
        with contextlib.suppress(ConnectionError):
            while True:
                writer.write(repeated)
                await writer.drain()
                await asyncio.sleep(0.001)

    run(assert_attempt_fails_at_once(Backend(behave)))


VALID_ANSWERS = {
    "1xx ahead": (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                  + OK + b"Content-Length: 2\r\n\r\nme", True),
    "HTTP/1.0": (b"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nme", False),
    "HTTP/1.0, kept": (b"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nme", True),
    "chunks and a trailer": (OK + b"Transfer-Encoding: chunked\r\n\r\n2\r\nme\r\n0\r\nX-T: 1\r\n\r\n", True),
    "noise behind": (OK + b"Content-Length: 2\r\n\r\nme\x00\x01noise", False),
    "a copy behind": ((OK + b"Content-Length: 2\r\n\r\nme") * 2, False),
    "half a copy behind": (OK + b"Content-Length: 2\r\n\r\nmeHTTP", False),
    "blanks round values": (OK + b"Content-Length: \t 2 \t\r\n\r\nme", True),
    "blanks round a coding": (OK + b"Transfer-Encoding:   chunked \r\n\r\n02;a=1\r\nme\r\n0\r\n\r\n", True),
    "bad report": (OK + b"X-Load-Report: inflight=,,=\r\nContent-Length: 2\r\n\r\nme", True),
}  # fmt: skip


@pytest.mark.parametrize(("answer", "reused"), VALID_ANSWERS.values(), ids=VALID_ANSWERS)
def test_a_valid_answer_is_served_without_the_data_that_follows_it(answer: bytes, reused: bool) -> None:
    async def test() -> None:
        async def behave(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(answer if seen.headers["x-call-id"] == "a" * 16 else response(200, b"other"))

        backend = Backend(behave)
        async with proxy({"s-1": backend}, policy_limits=LIMITS_WITHOUT_PROBES) as node:
            caller = await node.caller()
            reply = await caller.call("canje", "a" * 16)
            assert (reply.code, reply.body) == (200, b"me")
            assert not {"link", "x-t", "x-load-report"} & set(reply.headers)
            for number in range(3):
                await asyncio.sleep(MIN_REUSE_DELAY_S)
                assert (await caller.call("canje", f"{number:016x}")).body == b"other"
            numbers = [(await backend.calls.get()).connection for _ in range(4)]
            assert (numbers[0] == numbers[1]) == reused

    run(test())


@pytest.mark.parametrize("blank", [b"", b" "])
def test_an_answer_may_end_with_its_connection_if_its_headers_say_so(blank: bytes) -> None:
    async def test() -> None:
        async def behave(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(OK + b"Connection: close" + blank + b"\r\n\r\nme")
            await writer.drain()
            writer.close()

        async with proxy({"s-1": Backend(behave)}) as node:
            reply = await (await node.caller()).call("canje", "a" * 16)
            assert (reply.code, reply.body) == (200, b"me")

    run(test())


async def receive_request(backend: socket.socket) -> None:
    """Reads a complete request. A backend starts to run a request when its last byte has arrived."""
    received = b""
    while not received.endswith(b"\r\n\r\n"):
        part = await asyncio.get_running_loop().sock_recv(backend, 1000)
        assert part
        received += part


def reset(backend: socket.socket) -> None:
    backend.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    backend.close()


@pytest.mark.parametrize("answers_before", [1, 0], ids=["kept", "new"])
def test_a_connection_that_breaks_before_the_last_byte_has_run_nothing(
    answers_before: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The connection was lost unnoticed. As its last byte was not sent, the request can't have run: it is
    sent on another connection if this one was reused, and ends as a failed connect if it was new."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        owner = Upstreams(1.0, 30.0, max_connections=10)
        entry = ServerEntry(server=1, state=ServerState.SERVING)
        owner.apply(Listing(1, True, [ListedBackend(listener.getsockname(), entry)]))
        finished: asyncio.Queue[Exchange] = asyncio.Queue()

        def start() -> None:
            request = b"POST /canje HTTP/1.1\r\n\r\n"
            owner.start(Exchange(owner.by_id[1], lambda _: request, 5.0, lambda: True, finished.put_nowait))

        async with asyncio.timeout(TEST_TIMEOUT_S):
            if not answers_before:
                # The connection breaks before the last byte.
                monkeypatch.setattr(backend_connection, "LAST_BYTE_DELAY_S", TEST_TIMEOUT_S)
            start()
            backend, _ = await loop.sock_accept(listener)
            for _ in range(answers_before):
                await receive_request(backend)
                backend.sendall(response(200, b"first"))
                assert (await finished.get()).body == b"first"
                monkeypatch.setattr(backend_connection, "LAST_BYTE_DELAY_S", TEST_TIMEOUT_S)
                age_idle_connections(owner.by_id[1], MIN_REUSE_DELAY_S)
                start()
            assert await loop.sock_recv(backend, 1000)
            monkeypatch.setattr(backend_connection, "LAST_BYTE_DELAY_S", 0.001)
            reset(backend)
            if answers_before:
                backend, _ = await loop.sock_accept(listener)
                await receive_request(backend)
                backend.sendall(response(200, b"second"))
                last = await finished.get()
                assert last.status is Status.OK and last.body == b"second"
            else:
                last = await finished.get()
                assert last.status is Status.CONNECT_FAILED and not last.sent
            assert owner.counts["broken before the last byte"] == 1
        backend.close()
        listener.close()

    run(test())


def test_a_connection_that_was_idle_for_longer_than_the_maximum_age_is_closed() -> None:
    async def test() -> None:
        backend = await Backend().start()
        idle_times: asyncio.Queue[float] = asyncio.Queue()
        owner = Upstreams(1.0, 30.0, 10, lambda _, idle_for: idle_times.put_nowait(idle_for))
        host, _, port = backend.address.rpartition(":")
        entry = ServerEntry(server=1, state=ServerState.SERVING)
        owner.apply(Listing(1, True, [ListedBackend((host, int(port)), entry)]))
        finished: asyncio.Queue[Exchange] = asyncio.Queue()

        async def idle_time_of_next_exchange(max_idle_age: float) -> float | None:
            request = b"GET /stock HTTP/1.1\r\nX-Call-Id: 1\r\n\r\n"
            owner.start(
                Exchange(
                    owner.by_id[1], lambda _: request, 5.0, lambda: True, finished.put_nowait, max_idle_age
                )
            )
            return (await finished.get()).idle_for

        async with asyncio.timeout(TEST_TIMEOUT_S):
            assert await idle_time_of_next_exchange(5.0) == 0.0
            age_idle_connections(owner.by_id[1], 4.0)
            idle_for = await idle_time_of_next_exchange(5.0)
            assert idle_for is not None and idle_for >= 4.0 and backend.connections == 1
            age_idle_connections(owner.by_id[1], 6.0)
            assert await idle_time_of_next_exchange(5.0) == 0.0
            assert await backend.closed.get() == 1 and backend.connections == 2
            assert idle_times.empty()  # closed by this side
            age_idle_connections(owner.by_id[1], 3.0)
            await backend.stop()
            assert await idle_times.get() >= 3.0

    run(test())


def test_unread_bytes_never_answer_the_next_request() -> None:
    """A copy of the answer is in the socket before the next request is sent; the event loop has not read it
    yet."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        owner = Upstreams(1.0, 30.0, max_connections=10)
        entry = ServerEntry(server=1, state=ServerState.SERVING)
        owner.apply(Listing(1, True, [ListedBackend(listener.getsockname(), entry)]))
        finished: asyncio.Queue[Exchange] = asyncio.Queue()

        def start() -> None:
            def done(exchange: Exchange) -> None:
                if finished.empty() and exchange.body == b"old":
                    backend.sendall(response(200, b"old"))
                    start()
                finished.put_nowait(exchange)

            request = b"GET /stock HTTP/1.1\r\n\r\n"
            owner.start(Exchange(owner.by_id[1], lambda _: request, 5.0, lambda: True, done))

        async with asyncio.timeout(TEST_TIMEOUT_S):
            start()
            backend, _ = await loop.sock_accept(listener)
            await receive_request(backend)
            backend.sendall(response(200, b"old"))
            assert (await finished.get()).body == b"old"
            second, _ = await loop.sock_accept(listener)
            await receive_request(second)
            second.sendall(response(200, b"new"))
            assert (await finished.get()).body == b"new"
        for item in (backend, second, listener):
            item.close()

    run(test())


def test_a_connection_that_was_established_during_a_stall_is_used(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The stall is longer than the connect timeout, and after it the timer runs before the socket is read."""

    async def test() -> None:
        backend = await Backend().start()
        host, _, port = backend.address.rpartition(":")
        owner = Upstreams(0.02, 30.0, max_connections=10)
        owner.apply(Listing(1, True, [ListedBackend((host, int(port)), ServerEntry(server=1))]))
        connect = owner.loop.create_connection

        async def stalled(factory: Any, host: str, port: int) -> Any:
            connecting = owner.loop.create_task(connect(factory, host, port))
            await asyncio.sleep(0)  # lets the connect start
            time.sleep(0.1)
            return await connecting

        monkeypatch.setattr(owner.loop, "create_connection", stalled)
        finished: asyncio.Queue[Exchange] = asyncio.Queue()
        request = b"GET /stock HTTP/1.1\r\nX-Call-Id: 1\r\n\r\n"
        owner.start(Exchange(owner.by_id[1], lambda _: request, 5.0, lambda: True, finished.put_nowait))
        async with asyncio.timeout(TEST_TIMEOUT_S):
            assert (await finished.get()).status is Status.OK
        await backend.stop()

    run(test())


def test_bytes_before_the_last_byte_never_answer_the_request(monkeypatch: pytest.MonkeyPatch) -> None:
    """A second answer arrives between a request and its last byte, and the last byte is due before the event
    loop reads the socket: after a stall timers run first."""
    start_exchange = Connection.start_exchange
    backends: list[socket.socket] = []

    def stalled(connection: Connection, exchange: Exchange) -> None:
        start_exchange(connection, exchange)
        if connection.exchange_count == 2:
            backends[0].sendall(response(200, b"old"))
            while not connection.has_unread_data():
                pass
            connection._send_last_byte(exchange)

    monkeypatch.setattr(Connection, "start_exchange", stalled)

    async def test() -> None:
        loop = asyncio.get_running_loop()
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        owner = Upstreams(1.0, 30.0, max_connections=10)
        entry = ServerEntry(server=1, state=ServerState.SERVING)
        owner.apply(Listing(1, True, [ListedBackend(listener.getsockname(), entry)]))
        finished: asyncio.Queue[Exchange] = asyncio.Queue()
        request = b"GET /stock HTTP/1.1\r\n\r\n"
        async with asyncio.timeout(TEST_TIMEOUT_S):
            for body in (b"old", b"new"):
                upstream = owner.by_id[1]
                owner.start(Exchange(upstream, lambda _: request, 5.0, lambda: True, finished.put_nowait))
                backend, _ = await loop.sock_accept(listener)
                backends.append(backend)
                await receive_request(backend)
                backend.sendall(response(200, body))
                assert (await finished.get()).body == body
                age_idle_connections(upstream, MIN_REUSE_DELAY_S)
        assert owner.counts["broken before the last byte"] == 1
        for item in (*backends, listener):
            item.close()

    run(test())


def test_a_closed_connection_leaves_no_reference_cycle() -> None:
    """Parser and connection refer to each other. The cycle is broken explicitly, as the garbage collector
    seldom visits old objects."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        listener = socket.create_server(("127.0.0.1", 0))
        owner = Upstreams(1.0, 30.0, max_connections=10)
        entry = ServerEntry(server=1, state=ServerState.SERVING)
        owner.apply(Listing(1, True, [ListedBackend(listener.getsockname(), entry)]))
        finished: asyncio.Future[Connection] = loop.create_future()

        def done(exchange: Exchange) -> None:
            connection = next(iter(owner.by_id[1].connections))
            assert isinstance(connection.parser, httptools.HttpResponseParser)
            finished.set_result(connection)

        request = b"GET / HTTP/1.1\r\n\r\n"
        owner.start(Exchange(owner.by_id[1], lambda _: request, 0.05, lambda: True, done))
        async with asyncio.timeout(TEST_TIMEOUT_S):
            connection = await finished
            while connection.transport is not None:
                await asyncio.sleep(0)
        assert connection.parser is None and not owner.by_id[1].connections and owner.descriptors_in_use == 0
        listener.close()

    run(test())


def test_one_reset_connection_does_not_eject_a_live_backend() -> None:
    """The backend has just answered other calls. Four concurrent calls go to both backends; if the one that
    reset a connection was ejected, all would go to the other."""

    async def test() -> None:
        release = asyncio.Event()

        async def behave(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            if seen.headers["x-call-id"].startswith("dead"):
                writer.transport.abort()
            if seen.headers["x-call-id"].startswith("hold"):
                await release.wait()
            writer.write(response(200, b"done"))

        backends = {"s-1": Backend(behave), "s-2": Backend(behave)}
        async with proxy(backends) as node:
            callers = [await node.caller() for _ in range(4)]
            for number in range(6):
                for position, caller in enumerate(callers):
                    caller.send("canje", f"{number:015x}{position}")
                assert [(await caller.answer()).code for caller in callers] == [200] * 4
            before = [backend.call_count for backend in backends.values()]
            assert (await callers[0].call("canje", "dead" + "0" * 12)).code == 502
            resetting_backend = next(
                b for b, count in zip(backends.values(), before, strict=True) if b.call_count > count
            )
            count = resetting_backend.call_count
            for number, caller in enumerate(callers):
                caller.send("canje", f"hold{number:012x}", budget="5000m")
            async with asyncio.timeout(TEST_TIMEOUT_S):
                while sum(backend.call_count for backend in backends.values()) < sum(before) + 5:
                    await asyncio.sleep(0.001)
            assert resetting_backend.call_count > count
            release.set()
            assert [(await caller.answer()).code for caller in callers] == [200] * 4

    run(test())


def test_a_class_that_one_backend_rejects_goes_to_the_other() -> None:
    """The backend serves the other classes, and by its load alone it looks idle. In this test it rejects at
    once; other backends may take longer to reject."""

    async def test() -> None:
        rejected = 0

        async def behave(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            nonlocal rejected
            if seen.target.startswith("/canje"):
                rejected += 1
                writer.write(response(503, X_Rejected="1"))
            else:
                writer.write(response(200, b"done"))

        healthy = Backend()
        async with proxy({"s-1": Backend(behave), "s-2": healthy}) as node:
            caller = await node.caller()
            for number in range(40):
                assert (await caller.call("canje", f"c{number:015x}")).code == 200
                assert (await caller.call("stock", f"s{number:015x}")).code == 200
        assert rejected <= 6  # load alone would send about half of the 40 there

    run(test())


@pytest.mark.parametrize(
    "text", ["", "x", "inflight=", "inflight=-1", "inflight=1e300", "inflight=nan", "inflight=inf",
             "inflight=1,inflight=9", "inflight=1,busy_reqs=9", "inflight=3,queue=-2", "inflight=7;queue=1"]
)  # fmt: skip
def test_an_impossible_load_report_is_ignored(text: str) -> None:
    assert read_report(text.encode()) is None
    assert read_report(b"inflight=7,queue=2") == {"busy_reqs": 7.0, "pending": 2.0}
