"""Tests SIGHUP and SIGTERM on the proxy process: a new discovery address, invalid files, planned restarts."""

from __future__ import annotations

import asyncio

import pytest
from netkit import (
    TEST_TIMEOUT_S,
    Backend,
    Discovery,
    ReceivedRequest,
    endpoint,
    next_call,
    proxy,
    run,
    serve_ok,
)

from granitepoint.net.discovery import CONFIRM_HOLD_MS, HOLD_MS

FIRST_WATCH = f"/v1/servers?from=1&hold_ms={CONFIRM_HOLD_MS}"  # first request to a new address


async def next_request(discovery: Discovery) -> str:
    async with asyncio.timeout(TEST_TIMEOUT_S):
        return await discovery.requests.get()


def test_a_reload_requests_changes_from_the_new_address_and_accepts_a_full_list() -> None:
    """EDGE_DISCOVERY must not override the file on a reload, or the address could never change.

    Only the changes since the known version are requested from the new address: otherwise all proxies would
    fetch full lists at once.
    """

    async def test() -> None:
        one, two = Backend(), await Backend().start()
        async with proxy({"s-1": one}) as node:
            caller = await node.caller()
            assert (await caller.call("stock", "1" * 16)).code == 200
            held = 1
            for version, backend in enumerate([two, one, two], start=2):
                server = await Discovery().start()
                server.publish(version, endpoint(f"s-{version}", backend.address), snapshot=True)
                node.reload(discovery=server.address)
                assert await next_request(server) == f"/v1/servers?from={held}&hold_ms={CONFIRM_HOLD_MS}"
                assert (await next_request(server)).startswith(f"/v1/servers?from={version}&hold_ms=")
                before = backend.call_count
                assert (await caller.call("canje", f"{version:016x}")).code == 200
                assert backend.call_count == before + 1
                held = version
        await two.stop()

    run(test())


def test_a_reload_retries_at_once_while_the_new_address_is_unavailable() -> None:
    """A change must be in force 4 s after its publication; the balancer's pause after a failure is longer."""

    async def test() -> None:
        new = Discovery()
        await new.start()
        two = await Backend().start()
        async with proxy({"s-1": Backend()}) as node:
            new.changes.put_nowait(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
            new.publish(9, endpoint("s-2", two.address), snapshot=True)
            started_at = asyncio.get_running_loop().time()
            node.reload(discovery=new.address)
            assert await next_request(new) == await next_request(new) == FIRST_WATCH
            assert "from=9" in await next_request(new)
            assert asyncio.get_running_loop().time() - started_at < 2.0
            assert (await (await node.caller()).call("canje", "1" * 16)).code == 200
            assert two.call_count == 1
        await two.stop()

    run(test())


DEEPLY_NESTED = pytest.param("[" * 100_000, id="deep")


@pytest.mark.parametrize("text", ["", "{", "[]", "{}", '{"settings": {}, "discovery": 3}', DEEPLY_NESTED])
def test_an_invalid_file_changes_nothing(text: str) -> None:
    async def test() -> None:
        backend, discovery = Backend(), await Discovery().start()
        async with proxy({"s-1": backend}, discovery) as node:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await discovery.wait_for_request(f"/v1/servers?from=1&hold_ms={HOLD_MS}")
            node.reload(text=text)
            async with asyncio.timeout(TEST_TIMEOUT_S):
                assert node.process.stderr is not None
                while b"event=reload_failed" not in await node.process.stderr.readline():
                    pass
            discovery.publish(2)
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await discovery.wait_for_request("/v1/servers?from=2&")  # the watch continues
            assert (await (await node.caller()).call("stock", "1" * 16)).code == 200
            assert node.process.returncode is None

    run(test())


def test_a_reload_during_the_shutdown_does_not_end_it() -> None:
    async def test() -> None:
        release = asyncio.Event()

        async def behave(seen: object, writer: asyncio.StreamWriter) -> None:
            await release.wait()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

        backend, new = Backend(behave), await Discovery().start()
        async with proxy({"s-1": backend}) as node:
            caller, idle = await node.caller(), await node.caller()
            caller.send("canje", "a" * 16, budget="6000m")
            await next_call(backend)
            node.terminate()
            assert await idle.closed_by_proxy()
            node.reload(discovery=new.address)
            assert await next_request(new) == FIRST_WATCH
            release.set()
            assert (await caller.answer()).code == 200
            assert await node.exit_code() == 0

    run(test())


def test_after_sigterm_open_connections_are_served_and_all_calls_answered_before_sigkill() -> None:
    """The other proxies of a zone may be few, or restarting too. SIGKILL may follow SIGTERM after 3.7 s."""

    async def test() -> None:
        async def behave(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            if seen.headers["x-call-id"] != "a" * 16:
                await serve_ok(seen, writer)

        loop = asyncio.get_running_loop()
        async with proxy({f"s-{number}": Backend(behave) for number in range(3)}) as node:
            caller, stuck = await node.caller(), await node.caller()
            assert (await caller.call("stock", "1" * 16)).code == 200
            started_at = loop.time()
            node.terminate()
            number = 2
            while loop.time() < started_at + 1.5:
                reply = await caller.call("stock", f"{number:016x}")
                assert reply.code == 200 and "connection" not in reply.headers
                number += 1
                if number == 3:
                    stuck.send("canje", "a" * 16, budget="6000m")
                await asyncio.sleep(0.1)
            assert (await stuck.answer()).code in (502, 504)
            assert await node.exit_code() == 0
            assert loop.time() - started_at < 3.6

    run(test())
