"""One real proxy: reads the configuration, starts, rereads it on SIGHUP, and ends on SIGTERM."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
import time

import uvloop

from granitepoint.net import logs
from granitepoint.net.config import Config, ConfigError, load, reload_discovery_address
from granitepoint.net.driver import NO_ROOM_ADVICE, Driver
from granitepoint.net.server import Server

log = logs.EventLogger("granitepoint.main")

SHUTDOWN_ACCEPT_S = 0.6  # s after SIGTERM at which the listener closes; the front has taken notice by then
SHUTDOWN_MAX_DEADLINE_S = 3.0  # s of the longest deadline that the platform waits for after SIGTERM
SHUTDOWN_KILL_DELAY_S = 0.7  # s that it waits beyond that
SHUTDOWN_KILL_MARGIN_S = 0.4  # s before its SIGKILL by which all is answered
SHUTDOWN_CLOSING_S = 1.0  # s before that in which each answer is the last on its connection
SHUTDOWN_PARTIAL_REQUEST_S = (
    0.2  # s of the wind-down in which a request that has begun to come may come whole
)
SHUTDOWN_POLL_INTERVAL_S = 0.01  # s between looks whether all is answered
SHUTDOWN_LINGER_S = 1.0  # s for the last answers to be taken


async def drain(server: Server, driver: Driver) -> None:
    """Callers go on using a connection that stays open, and are served on it for as long as all can still
    be answered before the SIGKILL: their other proxies may be few, or restarting too. Then each answer closes
    its own, those that ask nothing close, and the process ends when nothing is owed any more."""
    longest_deadline = max(cls.deadline for cls in driver.settings.classes)
    answer_period = (
        min(longest_deadline, SHUTDOWN_MAX_DEADLINE_S) + SHUTDOWN_KILL_DELAY_S - SHUTDOWN_KILL_MARGIN_S
    )
    driver.end_by = time.monotonic() + answer_period
    log.info("sigterm", connections=len(server.connections), calls=len(driver.calls))
    await asyncio.sleep(SHUTDOWN_ACCEPT_S)
    await server.accept_pending(driver.end_by)
    await asyncio.sleep(driver.end_by - SHUTDOWN_CLOSING_S - time.monotonic())
    log.info("winding_down", connections=len(server.connections), calls=len(driver.calls))
    server.draining = True
    partial_requests_until = time.monotonic() + SHUTDOWN_PARTIAL_REQUEST_S
    while driver.calls or (server.has_partial_request and time.monotonic() < partial_requests_until):
        server.close_idle()
        await asyncio.sleep(SHUTDOWN_POLL_INTERVAL_S)
    # All is answered; the last bytes may still be on their way to a slow peer.
    for _ in range(int(SHUTDOWN_LINGER_S / SHUTDOWN_POLL_INTERVAL_S)):
        server.reject_partial_requests()
        if not server.connections:
            return
        await asyncio.sleep(SHUTDOWN_POLL_INTERVAL_S)
    server.abort_closing()


def reload(driver: Driver) -> None:
    """On SIGHUP: the discovery address is what may change while the proxy runs. A file that can't be used
    changes nothing."""
    try:
        discovery_address = reload_discovery_address(os.environ)
    except ConfigError as error:
        log.error("reload_failed", fault=str(error), effect="all stays as it was")
        return
    log.info("reloaded", discovery="{}:{}".format(*discovery_address))
    driver.discovery.move(discovery_address)


async def serve(config: Config) -> None:
    loop = asyncio.get_running_loop()
    terminated = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, terminated.set)
    driver = Driver(config)
    over_limit_headers = driver.advice(NO_ROOM_ADVICE)
    server = Server(driver.effects, driver, config.sockets, config.memory_mb, over_limit_headers)
    loop.add_signal_handler(signal.SIGHUP, reload, driver)  # before it is ready, and for good
    driver.start()
    await server.listen(*config.listen)
    log.info("listening", address="{}:{}".format(*config.listen), ready=driver.ready())
    # What is alive now stays alive: it need not be looked at again and again in pauses that calls wait for.
    gc.collect()
    gc.freeze()
    gc.set_threshold(50_000, 20, 50)
    await terminated.wait()
    await drain(server, driver)
    driver.write_figures()
    driver.stop()


def main() -> int:
    if sys.argv[1:] not in ([], ["run"]):
        from granitepoint.cli import main as command_line

        return command_line(sys.argv[1:])
    return run()


def run() -> int:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # one that comes while it starts finds the new file read
    try:
        config = load(os.environ)
        logs.configure(sys.stderr, *config.log_options)
        asyncio.Runner(loop_factory=uvloop.new_event_loop).run(serve(config))
    except ConfigError as error:
        print(f"granitepoint: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"granitepoint: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
