"""What is no request of HTTP/1.1 is answered with an error, wherever on a connection it comes.

The parser alone takes first lines of other versions and protocols for requests.
"""

from __future__ import annotations

import asyncio
from itertools import pairwise

import pytest
from netkit import Backend, Caller, proxy, run

from granitepoint.interface import Effect
from granitepoint.net.client_connection import Reply
from granitepoint.net.request_lines import BadRequest, RequestSplitter
from granitepoint.net.requests import Request
from granitepoint.net.server import Server

REST = b"\r\nHost: x\r\nX-Call-Id: 0123456789abcdef\r\nX-Budget: 900m\r\nContent-Length: 0\r\n\r\n"
IMPROPER_LINES = {
    b"POST /canje": 400,
    b"POST /canje RTSP/1.0": 400,
    b"POST /canje RTSP/1.1": 400,
    b"POST /canje ICE/1.1": 400,
    b"POST /canje HTTP/0.9": 505,
    b"POST /canje HTTP/1.0": 505,
    b"POST /canje HTTP/2.0": 505,
    b"POST /canje HTTP/3.0": 505,
    b"POST /canje HTTP/1.1 ": 400,
    b"POST  /canje HTTP/1.1": 400,
    b"POST /canje  HTTP/1.1": 400,
    b"POST\t/canje\tHTTP/1.1": 400,
    b"GET /healthz HTTP/1.0": 505,
    b"GET /healthz": 400,
}
BLANK_LINES = b"\n\r\n\r\n"  # as a body: it looks like the end of a head
PROPER_REQUESTS = {
    "no body": b"GET /stock HTTP/1.1\r\nHost: x\r\nX-Call-Id: 1\r\nX-Budget: 900m\r\n\r\n",
    "no headers": b"GET /stock HTTP/1.1\r\n\r\n",
    "length": b"POST /canje HTTP/1.1\r\nHost: x\r\nX-Call-Id: 2\r\nX-Budget: 900m\r\n"
    b"Content-Length: 5\r\n\r\n" + BLANK_LINES,
    "chunks": b"POST /canje HTTP/1.1\r\nHost: x\r\nX-Call-Id: 3\r\nX-Budget: 900m\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n5;a=b\r\n" + BLANK_LINES + b"\r\n0\r\nX-T: 1\r\n\r\n",
    "blank lines before": b"\r\n\r\nGET /stock HTTP/1.1\r\nHost: x\r\nX-Call-Id: 4\r\nX-Budget: 9m\r\n\r\n",
}


class Recorder:
    """Answers each request at once and records its id."""

    def __init__(self) -> None:
        self.ids: list[bytes] = []

    def on_request(self, request: Request, reply: Reply) -> object:
        self.ids.append(request.id)
        reply.answer(200, (), b"")
        return None

    def on_disconnect(self, call: object) -> None: ...

    def ready(self) -> bool:
        return True


@pytest.mark.parametrize(("line", "code"), IMPROPER_LINES.items(), ids=map(repr, IMPROPER_LINES))
def test_a_request_that_is_not_of_http_1_1_is_neither_run_nor_served(line: bytes, code: int) -> None:
    """Guards against requests of other versions and protocols that are forwarded as HTTP/1.1: alone, behind a
    proper request in the same packet, and in single bytes."""

    async def test() -> None:
        handler = Recorder()
        server = Server({"stock": Effect.REPEATABLE, "canje": Effect.ONCE}, handler, 256, 64)
        port = await server.listen("127.0.0.1", 0)
        for before in (b"", *PROPER_REQUESTS.values()):
            caller = Caller(*await asyncio.open_connection("127.0.0.1", port))
            handler.ids.clear()
            caller.writer.write(before + line + REST)
            if before:
                await caller.answer()
            assert (await caller.answer()).code == code
            assert await caller.closed_by_proxy()
            assert b"0123456789abcdef" not in handler.ids
        server.stop_listening()

    run(test())


@pytest.mark.parametrize("hosts", [b"", b"Host: x\r\nHost: x\r\n", b"Host: x\r\nHost: y\r\n"])
def test_a_request_without_exactly_one_host_is_neither_run_nor_served(hosts: bytes) -> None:
    """Guards against requests that HTTP/1.1 tells a server to reject and that a backend may not read."""

    async def test() -> None:
        handler = Recorder()
        server = Server({"stock": Effect.REPEATABLE}, handler, 256, 64)
        port = await server.listen("127.0.0.1", 0)
        caller = Caller(*await asyncio.open_connection("127.0.0.1", port))
        head = b"GET /stock HTTP/1.1\r\nX-Call-Id: 1\r\nX-Budget: 900m\r\n"
        assert (await caller.raw(head + hosts + b"\r\n")).code == 400
        assert (await caller.raw(head + b"Host: x\r\n\r\n")).code == 200
        assert handler.ids == [b"1"]
        server.stop_listening()

    run(test())


@pytest.mark.parametrize("step", [1, 2, 3, 7, 64, 1000])
def test_proper_requests_in_pieces_of_any_size_are_all_taken(step: int) -> None:
    """Guards against a request whose begin is looked for in the middle of another one."""

    async def test() -> None:
        handler = Recorder()
        server = Server({"stock": Effect.REPEATABLE, "canje": Effect.ONCE}, handler, 256, 64)
        port = await server.listen("127.0.0.1", 0)
        caller = Caller(*await asyncio.open_connection("127.0.0.1", port))
        connection = None
        sent = b"".join(PROPER_REQUESTS.values()) * 2
        while connection is None:
            await asyncio.sleep(0)
            connection = next(iter(server.connections), None)
        for start, end in pairwise([*range(0, len(sent), step), len(sent)]):
            connection.data_received(sent[start:end])
            await asyncio.sleep(0)
        codes = [(await caller.answer()).code for _ in range(2 * len(PROPER_REQUESTS))]
        assert codes == [200, 400, 200, 200, 200] * 2
        assert handler.ids == [b"1", b"2", b"3", b"4"] * 2
        server.stop_listening()

    run(test())


@pytest.mark.parametrize("cut", range(1, len(b"POST /canje HTTP/2.0\r\n")))
def test_a_line_that_comes_in_two_parts_is_checked_as_one(cut: int) -> None:
    line = b"POST /canje HTTP/2.0\r\n"
    splitter = RequestSplitter()
    assert list(splitter.split(line[:cut])) == [line[:cut]]
    with pytest.raises(BadRequest) as rejection:
        list(splitter.split(line[cut:]))
    assert rejection.value.rejection.code == 505


def test_a_proxy_runs_no_request_of_another_protocol() -> None:
    async def test() -> None:
        backend = Backend()
        async with proxy({"s-1": backend}) as node:
            for line, code in IMPROPER_LINES.items():
                assert (await (await node.caller()).raw(line + REST)).code == code
            assert (await (await node.caller()).call("stock", "a" * 16)).code == 200
        assert backend.call_count == 1

    run(test())
