"""A second answer to a request that comes late, when the next request may already be out.

Nothing in an answer names its request, so a connection rests after each answer (net/reuse_delay.py).
"""

from __future__ import annotations

import asyncio
import socket
import time

from netkit import TEST_TIMEOUT_S, age_idle_connections, response, run

from granitepoint.interface import ServerEntry, Status
from granitepoint.net.exchange import Exchange
from granitepoint.net.listing import ListedBackend, Listing
from granitepoint.net.reuse_delay import (
    EXTENSION_S,
    LATENESS_FACTOR,
    MAX_REUSE_DELAY_S,
    MIN_REUSE_DELAY_S,
    ReuseDelay,
)
from granitepoint.net.upstream import Upstreams

REQUEST = b"GET /stock HTTP/1.1\r\n\r\n"


class ScriptedBackend:
    """Accepts connections one by one, for tests that write each answer themselves."""

    def __init__(self, max_connections: int = 10) -> None:
        self.loop = asyncio.get_running_loop()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.upstreams = Upstreams(1.0, 30.0, max_connections)
        backend = ListedBackend(self.listener.getsockname(), ServerEntry(server=1))
        self.upstreams.apply(Listing(1, True, [backend]))
        self.sockets: list[socket.socket] = []

    def start(self) -> asyncio.Future[Exchange]:
        """Starts an exchange and returns its end."""
        done: asyncio.Future[Exchange] = self.loop.create_future()
        upstream = self.upstreams.by_id[1]
        self.upstreams.start(Exchange(upstream, lambda _: REQUEST, 5.0, lambda: True, done.set_result))
        return done

    async def accept(self) -> socket.socket:
        """Returns the next connection."""
        connection, _ = await self.loop.sock_accept(self.listener)
        self.sockets.append(connection)
        return connection

    async def receive(self, connection: socket.socket) -> None:
        """Reads one request to its last byte."""
        received = b""
        while not received.endswith(b"\r\n\r\n"):
            part = await self.loop.sock_recv(connection, 1000)
            assert part, "the proxy closed the connection"
            received += part

    async def closed_by_proxy(self, connection: socket.socket) -> bool:
        """Waits for the end of a connection; returns False if a byte comes instead."""
        try:
            return await self.loop.sock_recv(connection, 1) == b""
        except ConnectionError:
            return True

    def close(self) -> None:
        """Closes all sockets."""
        for item in (*self.sockets, self.listener):
            item.close()


def test_a_late_second_answer_is_not_the_answer_to_the_next_request() -> None:
    """Guards against an answer served to another request: the copy comes while the next request is out, which
    did not wait for the connection that the copy came on."""

    async def test() -> None:
        backend = ScriptedBackend()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            first = backend.start()
            connection = await backend.accept()
            await backend.receive(connection)
            connection.sendall(response(200, b"first"))
            assert (await first).body == b"first"
            second = backend.start()
            accepted = backend.loop.create_task(backend.accept())
            received = backend.loop.create_task(backend.receive(connection))
            await asyncio.wait((accepted, received), return_when=asyncio.FIRST_COMPLETED)
            connection.sendall(response(200, b"first"))
            used = connection if received.done() else await accepted
            if used is not connection:
                received.cancel()
                await backend.receive(used)
                assert await backend.closed_by_proxy(connection)
            used.sendall(response(200, b"second"))
            assert (await second).body == b"second"
        assert backend.upstreams.counts["unexpected data"] == 1
        backend.close()

    run(test())


def test_a_copy_that_comes_later_than_the_pause_is_not_the_answer_to_the_next_request() -> None:
    """Guards against the same as above where the copy is the first that comes later than connections rest:
    nothing in it tells that it is no answer to the request that is out."""

    async def test() -> None:
        backend = ScriptedBackend()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            first = backend.start()
            connection = await backend.accept()
            await backend.receive(connection)
            connection.sendall(response(200, b"first"))
            assert (await first).body == b"first"
            age_idle_connections(backend.upstreams.by_id[1], MIN_REUSE_DELAY_S)
            second = backend.start()
            await backend.receive(connection)
            connection.sendall(response(200, b"first"))
            assert (await second).body != b"first"
        backend.close()

    run(test())


def test_a_rested_connection_is_used_again() -> None:
    """Guards against a connection for each request: only the pause after an answer is kept."""

    async def test() -> None:
        backend = ScriptedBackend()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            for body in (b"first", b"second"):
                done = backend.start()
                connection = backend.sockets[0] if backend.sockets else await backend.accept()
                await backend.receive(connection)
                connection.sendall(response(200, body))
                assert (await done).body == body
                age_idle_connections(backend.upstreams.by_id[1], MIN_REUSE_DELAY_S)
        assert backend.upstreams.counts["opened"] == 1
        backend.close()

    run(test())


def test_at_the_connection_limit_a_request_waits_until_a_connection_has_rested() -> None:
    """Guards against refusals at the limit: a pause is shorter than what a refused request loses."""

    async def test() -> None:
        backend = ScriptedBackend(max_connections=1)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            first = backend.start()
            connection = await backend.accept()
            await backend.receive(connection)
            connection.sendall(response(200, b"first"))
            await first
            answered_at = backend.upstreams.by_id[1].idle[0].answered_at
            second = backend.start()
            await backend.receive(connection)
            assert backend.loop.time() - answered_at >= MIN_REUSE_DELAY_S
            connection.sendall(response(200, b"second"))
            ended = await second
            assert (ended.status, ended.body) == (Status.OK, b"second")
        assert backend.upstreams.counts["opened"] == 1
        backend.close()

    run(test())


def test_a_copy_that_is_seen_at_rest_makes_all_connections_rest_for_longer() -> None:
    """Guards against a series of copies that come later than the pause: the first one that is seen counts."""
    lateness = 2 * MIN_REUSE_DELAY_S

    async def test() -> None:
        backend = ScriptedBackend()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            first = backend.start()
            connection = await backend.accept()
            await backend.receive(connection)
            connection.sendall(response(200, b"first"))
            await first
            age_idle_connections(backend.upstreams.by_id[1], lateness)
            connection.sendall(response(200, b"first"))
            assert await backend.closed_by_proxy(connection)
        assert backend.upstreams.reuse_delay.at(time.monotonic()) >= LATENESS_FACTOR * lateness
        backend.close()

    run(test())


def test_an_answer_that_comes_later_than_the_pause_makes_the_next_pauses_longer() -> None:
    delay = ReuseDelay()
    assert delay.at(0.0) == MIN_REUSE_DELAY_S
    delay.on_unexpected_data(MIN_REUSE_DELAY_S / 4, 0.0)
    assert delay.at(0.0) == MIN_REUSE_DELAY_S
    delay.on_unexpected_data(0.2, 1.0)
    delay.on_unexpected_data(0.1, 2.0)
    assert delay.at(3.0) == LATENESS_FACTOR * 0.2
    assert delay.at(2.0 + EXTENSION_S) == MIN_REUSE_DELAY_S
    delay.on_unexpected_data(0.9, 100.0)
    assert delay.at(100.0) == MAX_REUSE_DELAY_S
    later = ReuseDelay()
    later.on_unexpected_data(1.1, 0.0)  # an error of the server before it closes an idle connection
    assert later.at(0.0) == MIN_REUSE_DELAY_S
