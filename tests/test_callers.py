"""Malformed, slow, oversized and missing requests get an error or a close; other callers are served."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import logging
import os
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from netkit import (
    GRADES,
    TEST_TIMEOUT_S,
    Backend,
    Caller,
    Proxy,
    ReceivedRequest,
    next_call,
    proxy,
    run,
    serve_ok,
)

from granitepoint.interface import Effect
from granitepoint.net.client_connection import ClientConnection
from granitepoint.net.logs import MAX_LINES_PER_EVENT, RateLimitFilter
from granitepoint.net.server import Server

# From the end of the request target on; without the empty line that ends the head.
COMMON_HEAD = b" HTTP/1.1\r\nHost: x\r\nX-Call-Id: 0011223344556677\r\nX-Budget: 500m\r\n"
HIDDEN_REQUEST = (
    b"POST /canje HTTP/1.1\r\nHost: x\r\nX-Call-Id: 8899aabbccddeeff\r\nX-Budget: 900m\r\n"
    b"Content-Length: 0\r\n\r\n"
)
CHUNKED = b"Transfer-Encoding: chunked\r\n"


async def read_rejection(caller: Caller) -> int:
    """Returns the code of the only answer, 0 if there is none, and waits until the connection has ended."""
    code = 0
    with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
        code = (await caller.answer()).code
    async with asyncio.timeout(TEST_TIMEOUT_S):
        with contextlib.suppress(ConnectionError):
            assert await caller.reader.read() == b""
    return code


async def write_forever(caller: Caller, data: bytes, pause: float = 0.0005) -> None:
    with contextlib.suppress(ConnectionError):
        while True:
            caller.writer.write(data)
            await caller.writer.drain()
            await asyncio.sleep(pause)


async def assert_still_serves(node: Proxy) -> None:
    reply = await (await node.caller()).call("stock", "2" * 16)
    assert (reply.code, reply.body) == (200, b"done " + b"2" * 16), (reply.headers, reply.body)


ENDLESS_REQUESTS = {
    "header": (431, b"GET /stock" + COMMON_HEAD + b"X-Long: ", b"a" * 1000),
    "headers": (431, b"GET /stock" + COMMON_HEAD, b"X-More: a\r\n" * 100),
    "target": (431, b"GET /stock?", b"a" * 1000),
    "chunk extension": (413, b"POST /canje" + COMMON_HEAD + CHUNKED + b"\r\n5;", b"a" * 20_000),
    "trailer": (413, b"POST /canje" + COMMON_HEAD + CHUNKED + b"\r\n0\r\nX-T: ", b"a" * 20_000),
}


@pytest.mark.parametrize(("code", "begin", "more"), ENDLESS_REQUESTS.values(), ids=ENDLESS_REQUESTS)
def test_an_endless_request_is_rejected_at_the_size_limit(code: int, begin: bytes, more: bytes) -> None:
    """The data is sent at full speed, so that it reaches the size limit long before the read timeout."""

    async def test() -> None:
        async with proxy({"s-1": Backend()}) as node:
            caller = await node.caller()
            caller.writer.write(begin)
            write_task = asyncio.create_task(write_forever(caller, more))
            started_at = asyncio.get_running_loop().time()
            assert (await caller.answer()).code == code
            assert asyncio.get_running_loop().time() - started_at < 1.5
            write_task.cancel()
            await assert_still_serves(node)

    run(test())


async def send_nothing(caller: Caller) -> None:
    return


async def send_half(caller: Caller) -> None:
    caller.writer.write(b"POST /canje" + COMMON_HEAD + b"Content-Length: 10\r\n\r\nhalf")


async def send_slowly(caller: Caller) -> None:
    caller.writer.write(b"GET /stock" + COMMON_HEAD + b"X-Slow: ")
    await write_forever(caller, b"a", 0.1)


async def send_whole_then_half(caller: Caller) -> None:
    assert (await caller.call("stock", "3" * 16)).code == 200
    await send_half(caller)


@pytest.mark.parametrize(
    ("act", "code"), [(send_nothing, 0), (send_half, 408), (send_slowly, 408), (send_whole_then_half, 408)]
)  # fmt: skip
def test_a_caller_that_sends_no_complete_request_is_rejected_within_3_s(
    act: Callable[[Caller], Awaitable[None]], code: int
) -> None:
    async def test() -> None:
        async with proxy({"s-1": Backend()}) as node:
            started_at = asyncio.get_running_loop().time()
            caller = await node.caller()
            act_task = asyncio.ensure_future(act(caller))
            if act is send_whole_then_half:
                await act_task
            assert await read_rejection(caller) == code
            assert 1.8 < asyncio.get_running_loop().time() - started_at < 3.0  # the read timeout is 2.2 s
            act_task.cancel()

    run(test())


def test_a_connection_with_a_request_in_progress_is_never_closed_for_its_age() -> None:
    async def test() -> None:
        may_answer = asyncio.Event()

        async def behave(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            await may_answer.wait()
            await serve_ok(seen, writer)

        backend = Backend(behave)
        grades = [{**grade, "objective": grade["deadline"]} for grade in GRADES]
        async with proxy({"s-1": backend}, grades=grades) as node:
            old, silent = await node.caller(), await node.caller()
            old.send("canje", "a" * 16, budget="6000m")
            await next_call(backend)
            assert await silent.closed_by_proxy()  # the read timeout has passed
            may_answer.set()
            assert (await old.answer()).code == 200
            assert (await old.call("canje", "b" * 16)).code == 200

    run(test())


def test_many_silent_callers_leave_connections_and_descriptors_for_others() -> None:
    """Of 256 descriptors those reserved for upstreams and discovery stay free, and a new caller is served."""

    async def test() -> None:
        async with proxy({"s-1": Backend()}, sockets=256) as node:
            max_descriptors = 0
            connects = [asyncio.open_connection(*node.address) for _ in range(400)]
            connections = await asyncio.gather(*connects)
            for number in range(20):
                caller = await node.caller()
                with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                    if (await caller.call("stock", f"{number:016x}")).code == 200:
                        break
                max_descriptors = max(max_descriptors, len(os.listdir(f"/proc/{node.process.pid}/fd")))
                await asyncio.sleep(0.05)  # for at most a second
            else:
                raise AssertionError("no caller was served")
            assert max_descriptors <= 256 * 0.6  # the two fifths reserved for upstreams are free
            closes = [Caller(*pair).closed_by_proxy() for pair in connections]
            async with asyncio.timeout(3.0):
                assert all(await asyncio.gather(*closes))
            assert node.process.returncode is None

    run(test())


def test_a_body_of_60_mb_gets_413() -> None:
    async def test() -> None:
        async with proxy({"s-1": Backend()}) as node:
            caller = await node.caller()
            length = 60 << 20
            caller.writer.write(b"POST /canje" + COMMON_HEAD + b"Content-Length: %d\r\n\r\n" % length)
            write_task = asyncio.create_task(write_forever(caller, bytes(1 << 20), 0.0))
            assert (await caller.answer()).code == 413
            async with asyncio.timeout(6.0):
                with contextlib.suppress(ConnectionError):
                    await caller.reader.read()
            write_task.cancel()
            await assert_still_serves(node)

    run(test())


SMUGGLING_REQUESTS = {
    "length, chunks": b"Content-Length: 5\r\n" + CHUNKED + b"\r\n0\r\n\r\n" + HIDDEN_REQUEST,
    "chunks, length": CHUNKED + b"Content-Length: 5\r\n\r\n0\r\n\r\n" + HIDDEN_REQUEST,
    "two lengths": b"Content-Length: 0\r\nContent-Length: %d\r\n\r\n" % len(HIDDEN_REQUEST) + HIDDEN_REQUEST,
    "one length twice": b"Content-Length: 0\r\nContent-Length: 0\r\n\r\n" + HIDDEN_REQUEST,
    "list of lengths": b"Content-Length: 0, 0\r\n\r\n" + HIDDEN_REQUEST,
    "negative": b"Content-Length: -1\r\n\r\n" + HIDDEN_REQUEST,
    "signed": b"Content-Length: +0\r\n\r\n" + HIDDEN_REQUEST,
    "hex": b"Content-Length: 0x10\r\n\r\n" + HIDDEN_REQUEST,
    "odd coding": b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + HIDDEN_REQUEST,
    "coding twice": CHUNKED * 2 + b"\r\n0\r\n\r\n" + HIDDEN_REQUEST,
    "unknown coding": b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + HIDDEN_REQUEST,
    "spaced name": b"Content-Length : 0\r\n\r\n" + HIDDEN_REQUEST,
    "bad chunk": CHUNKED + b"\r\n-1\r\n\r\n" + HIDDEN_REQUEST,
}


@pytest.mark.parametrize("rest", SMUGGLING_REQUESTS.values(), ids=SMUGGLING_REQUESTS)
def test_no_request_is_smuggled_in_a_body(rest: bytes) -> None:
    async def test() -> None:
        backend = Backend()
        async with proxy({"s-1": backend}) as node:
            caller = await node.caller()
            caller.writer.write(b"POST /canje" + COMMON_HEAD + rest)
            assert await read_rejection(caller) == 400
            await assert_still_serves(node)
        assert backend.call_count == 1  # that of assert_still_serves

    run(test())


def test_a_huge_length_is_refused_at_the_head() -> None:
    async def test() -> None:
        async with proxy({"s-1": Backend()}) as node:
            caller = await node.caller()
            caller.writer.write(b"POST /canje" + COMMON_HEAD + b"Content-Length: " + b"9" * 30 + b"\r\n\r\n")
            assert await read_rejection(caller) in (400, 413)

    run(test())


def test_the_number_of_large_requests_in_memory_is_limited() -> None:
    """Requests beyond the memory limit get 413; the others time out, as their bodies are never complete.

    The limit is 71 connections, so that none of the 60 is evicted.
    """

    async def test() -> None:
        async with proxy({"s-1": Backend()}, sockets=160) as node:
            begin = b"POST /canje" + COMMON_HEAD + b"Content-Length: 200000\r\n\r\n"
            callers = [await node.caller() for _ in range(60)]
            for caller in callers:
                caller.writer.write(begin + bytes(100_000))
            codes = await asyncio.gather(*(read_rejection(caller) for caller in callers))
            # Large requests may take a tenth of the memory beyond the 20 MB of the process, 0.5 MB each.
            assert 0 < codes.count(408) <= 0.1 * (192 - 20) / 0.5 and codes.count(413) >= 20
            assert set(codes) <= {408, 413}
            caller = await node.caller()
            assert (await caller.call("canje", "4" * 16, body=bytes(100_000))).code == 200

    run(test())


def test_trailers_are_not_forwarded_as_headers() -> None:
    async def test() -> None:
        backend = Backend()
        async with proxy({"s-1": backend}) as node:
            body = b"2\r\nhi\r\n0\r\nIdempotency-Key: k\r\nX-T: 1\r\n\r\n"
            data = b"POST /canje" + COMMON_HEAD + CHUNKED + b"\r\n" + body
            assert (await (await node.caller()).raw(data)).code == 200
            seen = await next_call(backend)
        assert seen.body == b"hi" and not {"x-t", "idempotency-key", "transfer-encoding"} & set(seen.headers)

    run(test())


@pytest.mark.parametrize("bad_header", [b"X-Note: a\x01b\r\n", b"X-Note: a\x7fb\r\n", b"X-Note: a\x00b\r\n"])
def test_control_characters_in_headers_are_rejected(bad_header: bytes) -> None:
    """A backend that can't parse a request closes the connection; to the proxy that is a backend failure."""

    async def test() -> None:
        backend = Backend()
        async with proxy({"s-1": backend}) as node:
            assert (
                await (await node.caller()).raw(b"GET /stock" + COMMON_HEAD + bad_header + b"\r\n")
            ).code == 400
        assert backend.call_count == 0

    run(test())


def test_no_call_is_held_beyond_the_deadline_of_its_class() -> None:
    async def test() -> None:
        async def behave(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            return

        backend = Backend(behave)
        async with proxy({"s-1": backend}) as node:
            started_at = asyncio.get_running_loop().time()
            reply = await (await node.caller()).call("stock", "a" * 16, budget="999999999999m")
            assert reply.code == 503
            assert asyncio.get_running_loop().time() - started_at < 2.0

    run(test())


def test_a_closed_connection_leaves_no_reference_cycle_and_no_table_entry() -> None:
    async def test() -> None:
        class Handler:
            def on_request(self, request: Any, reply: Any) -> object:
                reply.answer(200, (), b"")
                return None

            def on_disconnect(self, call: Any) -> None: ...

            def ready(self) -> bool:
                return True

        server = Server({"stock": Effect.REPEATABLE}, Handler(), 256, 64)
        port = await server.listen("127.0.0.1", 0)
        caller = Caller(*await asyncio.open_connection("127.0.0.1", port))
        assert (await caller.call("stock", "a" * 16)).code == 200
        connection: ClientConnection = next(iter(server.connections))
        assert connection.reader.parser is not None and connection in server.idle
        caller.writer.close()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while server.connections:
                await asyncio.sleep(0)
        assert connection.reader.parser is None
        assert not (server.awaiting_request or server.idle or server.closing)
        server.stop_listening()

    run(test())


@pytest.mark.parametrize("path", [b"/unknown", b"/stock"], ids=["unknown class", "no id"])
def test_a_rejected_request_leaves_no_reference_cycle(path: bytes) -> None:
    """The frames of an exception that is kept would hold a connection's buffers until the next collection."""

    async def test() -> None:
        handler: Any = None
        server = Server({"stock": Effect.REPEATABLE}, handler, 256, 64)
        port = await server.listen("127.0.0.1", 0)
        caller = Caller(*await asyncio.open_connection("127.0.0.1", port))
        request = b"GET " + path + b" HTTP/1.1\r\nHost: x\r\n\r\n"
        assert (await caller.raw(request)).code in (400, 404)
        gc.collect()
        gc.disable()
        try:
            caller.writer.write(request * 100)
            for _ in range(100):
                assert (await caller.answer()).code in (400, 404)
            assert gc.collect() < 100
        finally:
            gc.enable()
            server.stop_listening()
            caller.writer.close()

    run(test())


def test_repeated_warnings_are_rate_limited() -> None:
    rate_limit = RateLimitFilter()
    record = logging.LogRecord("x", logging.WARNING, "", 0, "fault %d", (1,), None)
    other = logging.LogRecord("x", logging.WARNING, "", 0, "other", (), None)
    assert (
        sum(bool(rate_limit.filter(record)) for _ in range(10 * MAX_LINES_PER_EVENT)) == MAX_LINES_PER_EVENT
    )
    assert rate_limit.filter(other)
