"""The memory that callers' bytes may take: how it is divided, charged and released."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from collections.abc import AsyncIterator
from typing import Any

import pytest
from netkit import TEST_TIMEOUT_S, Caller, endpoint, listing, run

from granitepoint.interface import Effect
from granitepoint.net.answer_memory import AnswerMemory
from granitepoint.net.listing import parse_document, read_listing
from granitepoint.net.memory_account import CONNECTION_BYTES, MIN_SPARE_MB, MemoryAccount, plan_memory
from granitepoint.net.process_memory import MEBIBYTE, resident_mb
from granitepoint.net.server import REQUEST_READ_TIMEOUT_S, Server

HEAD = b"POST /canje HTTP/1.1\r\nHost: x\r\nX-Call-Id: %016d\r\nX-Budget: 900m\r\nContent-Length: %d\r\n\r\n"
CHECK = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"


class AnsweringHandler:
    """Answers each request at once with a body of `size` bytes."""

    size = 0

    def on_request(self, request: Any, reply: Any) -> object:
        reply.answer(200, (), bytes(self.size))
        return None

    def on_disconnect(self, call: object) -> None: ...

    def ready(self) -> bool:
        return True


@contextlib.asynccontextmanager
async def small_server(handler: AnsweringHandler) -> AsyncIterator[tuple[Server, int]]:
    """A server of a process with the least memory that is ever divided."""
    server = Server({"canje": Effect.ONCE}, handler, 256, MIN_SPARE_MB, process_mb=0.0)
    port = await server.listen("127.0.0.1", 0)
    try:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            yield server, port
    finally:
        server.stop_listening()
        for connection in list(server.connections):
            connection.abort()


async def wait_until_released(server: Server) -> None:
    while server.connections:
        await asyncio.sleep(0)
    memory = server.memory
    assert (memory.requests.charged, memory.read_ahead.charged, memory.answers.charged) == (0, 0, 0)
    assert not server.unfinished and not server.write_blocked


def test_an_account_charges_no_more_than_its_limit() -> None:
    account = MemoryAccount(100)
    assert account.try_charge(60) and not account.try_charge(41) and account.free == 40
    assert account.try_charge(-10) and account.try_charge(50) and account.free == 0


def list_of(servers: int) -> bytes:
    """Returns a list of this many servers as discovery writes it."""
    endpoints = [endpoint(f"s-{number:08x}", "127.127.127.127:8081") for number in range(servers)]
    return json.dumps(listing(1, *endpoints)).encode()


@pytest.mark.parametrize("process_mb", [14.0, 23.0, 26.0, 40.0])
@pytest.mark.parametrize("memory_mb", [32.0, 64.0, 192.0])
def test_the_parts_of_the_memory_fit_into_its_limit(memory_mb: float, process_mb: float) -> None:
    plan = plan_memory(memory_mb, process_mb, wanted_connections=590)
    shared = plan.requests.limit + plan.read_ahead.limit + plan.answers.limit + plan.backend_answers.limit
    planned = shared + plan.max_connections * (CONNECTION_BYTES + plan.read_size)
    assert planned <= max(MIN_SPARE_MB, memory_mb - process_mb) * MEBIBYTE
    assert 8 <= plan.max_connections <= 590
    assert len(list_of(3200)) <= plan.list_size


def test_without_memory_the_request_that_is_unfinished_for_the_longest_is_refused() -> None:
    async def test() -> None:
        async with small_server(AnsweringHandler()) as (server, port):
            callers = [Caller(*await asyncio.open_connection("127.0.0.1", port)) for _ in range(4)]
            for number, caller in enumerate(callers):
                caller.writer.write(HEAD % (number, 60_000) + bytes(59_999))
                earlier = set(server.unfinished)
                while not any(each.reader.partial_size > 60_000 for each in set(server.unfinished) - earlier):
                    await asyncio.sleep(0)
            assert (await callers[0].answer()).code == 503 and await callers[0].closed_by_proxy()
            callers[3].writer.write(b"b")
            assert (await callers[3].answer()).code == 200
            assert server.memory.requests.charged <= server.memory.requests.limit
            for caller in callers:
                caller.writer.close()
            await wait_until_released(server)

    run(test())


def test_without_memory_the_answer_that_is_unread_for_the_longest_is_given_up() -> None:
    async def test() -> None:
        handler = AnsweringHandler()
        handler.size = 16 << 20  # more than the buffers of the sockets hold
        async with small_server(handler) as (server, port):
            with socket.create_connection(("127.0.0.1", port)) as first:
                first.sendall(HEAD % (1, 0))
                while not server.write_blocked:
                    await asyncio.sleep(0)
                second = Caller(*await asyncio.open_connection("127.0.0.1", port))
                second.writer.write(HEAD % (2, 0) + CHECK)
                answer = await second.answer()
                assert len(answer.body) == handler.size
                assert (await second.answer()).body == b"ok\n"
                assert server.counts["caller ended unread answer"] == 1
                second.writer.close()
            await wait_until_released(server)

    run(test())


def test_requests_behind_an_unread_answer_are_refused_at_the_read_timeout_and_none_is_lost() -> None:
    async def test() -> None:
        handler = AnsweringHandler()
        handler.size = 16 << 20
        async with small_server(handler) as (server, port):
            with socket.create_connection(("127.0.0.1", port)) as client:
                client.sendall(HEAD % (1, 0) + HEAD % (2, 0) + CHECK + HEAD % (3, 5))
                while not server.write_blocked:
                    await asyncio.sleep(0)
                for _ in range(2):
                    for connection in server.awaiting_request:
                        connection.table_since -= 2 * REQUEST_READ_TIMEOUT_S
                    server._sweep()
                    await asyncio.sleep(0.01)
                caller = Caller(*await asyncio.open_connection(sock=client.dup()))
                codes = [(await caller.answer()).code for _ in range(4)]
                assert codes == [200, 503, 200, 408]
                assert await caller.closed_by_proxy()

    run(test())


def test_a_request_in_single_bytes_is_charged_as_what_it_takes() -> None:
    async def test() -> None:
        async with small_server(AnsweringHandler()) as (server, port):
            caller = Caller(*await asyncio.open_connection("127.0.0.1", port))
            caller.writer.write(HEAD % (1, 20_000))
            while not (server.connections and any(each.reader.partial_size for each in server.connections)):
                await asyncio.sleep(0)
            (connection,) = server.connections
            for _ in range(19_000):
                connection.data_received(b"b")
            assert 19_000 <= connection.reader.partial_size <= 2 * 19_000
            assert server.memory.requests.charged == connection.charged_requests > 0
            caller.writer.close()
            await wait_until_released(server)

    run(test())


class Receiver:
    def __init__(self) -> None:
        self.resumed = 0

    def resume_answer(self) -> None:
        self.resumed += 1


def test_answers_of_backends_for_which_there_is_no_memory_arrive_one_after_another() -> None:
    memory = AnswerMemory(MemoryAccount(100_000))
    first, second, third = Receiver(), Receiver(), Receiver()
    assert memory.hold(first, 80_000) and not memory.hold(second, 80_000) and not memory.hold(third, 80_000)
    assert memory.hold(first, 200_000)  # the oldest gets on whatever the limit
    memory.release(first)
    assert (second.resumed, third.resumed) == (1, 0)
    assert memory.hold(second, 90_000)
    memory.release(second)
    assert third.resumed == 1
    memory.release(third)
    assert memory.account.charged == 0 and memory.hold(first, 10_000) and memory.account.charged == 0


@pytest.mark.parametrize("value", [b"{}", b"[]", b'"ab"', b"1.5"])
def test_a_list_of_small_values_that_would_take_many_times_its_size_is_not_parsed(value: bytes) -> None:
    max_size = plan_memory(32, 26, 590).list_size
    assert len(read_listing(parse_document(list_of(3200), max_size)).backends) == 3200
    hostile = b'{"index":2,"snapshot":true,"endpoints":[' + b",".join([value] * 100_000) + b"]}"
    assert len(hostile) <= max_size
    with pytest.raises(ValueError, match="too much memory"):
        parse_document(hostile, max_size)


def test_the_resident_memory_is_that_of_this_process() -> None:
    assert 5 < (resident_mb() or 0) < 4096
