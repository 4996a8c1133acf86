"""The proxy process: loads the configuration, serves, reloads on SIGHUP and shuts down on SIGTERM."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
import time

import uvloop

from granitepoint.net import logs
from granitepoint.net.answer_memory import AnswerMemory
from granitepoint.net.config import Config, ConfigError, load, reload_discovery_address
from granitepoint.net.driver import AT_CAPACITY_RETRY_AFTER_S, Driver
from granitepoint.net.memory_account import BASE_MEMORY_MB
from granitepoint.net.process_memory import resident_mb
from granitepoint.net.server import Server

log = logs.EventLogger("granitepoint.main")

# Of gc.set_threshold: new objects, and collections of the younger generation, before a collection.
COLLECTION_THRESHOLDS = (2_000, 10, 10)

# Graceful shutdown. The time that the platform leaves between SIGTERM and SIGKILL is the longest deadline of
# the classes, but at most SHUTDOWN_MAX_DEADLINE_S, plus SHUTDOWN_KILL_DELAY_S.

# From SIGTERM until the listener closes. By then the front, which distributes the clients' calls over the
# proxies, has noticed the shutdown.
SHUTDOWN_ACCEPT_S = 0.6
SHUTDOWN_MAX_DEADLINE_S = 3.0
SHUTDOWN_KILL_DELAY_S = 0.7
SHUTDOWN_KILL_MARGIN_S = 0.4  # before SIGKILL; every request is answered this long before it, at the latest
# Length of the last phase of the shutdown, in which each answer closes its connection. It ends when every
# request has to be answered.
SHUTDOWN_CLOSING_S = 1.0
SHUTDOWN_PARTIAL_REQUEST_S = 0.2  # from the start of that phase, for partial requests to become complete
SHUTDOWN_POLL_INTERVAL_S = 0.01  # between checks whether every request is answered
SHUTDOWN_LINGER_S = 1.0  # after the last answer, for the peers to receive it; SIGKILL may come earlier


async def drain(server: Server, driver: Driver) -> None:
    """Shuts down gracefully: every request is answered in time before the SIGKILL.

    Returns when every connection is closed, or SHUTDOWN_LINGER_S after the last answer.

    Open connections are served as usual for as long as all requests can still be answered in time, because
    the callers' other proxies may be few, or restarting too. Then each answer closes its connection and idle
    connections are closed. A request that is still incomplete after SHUTDOWN_PARTIAL_REQUEST_S is refused.
    """
    longest_deadline = max(cls.deadline for cls in driver.settings.classes)
    time_to_answer = (
        min(longest_deadline, SHUTDOWN_MAX_DEADLINE_S) + SHUTDOWN_KILL_DELAY_S - SHUTDOWN_KILL_MARGIN_S
    )
    driver.shutdown_deadline = time.monotonic() + time_to_answer
    log.info("sigterm", connections=len(server.connections), calls=len(driver.calls))
    await asyncio.sleep(SHUTDOWN_ACCEPT_S)
    await server.accept_pending(driver.shutdown_deadline)
    await asyncio.sleep(driver.shutdown_deadline - SHUTDOWN_CLOSING_S - time.monotonic())
    log.info("winding_down", connections=len(server.connections), calls=len(driver.calls))
    server.draining = True
    partial_requests_until = time.monotonic() + SHUTDOWN_PARTIAL_REQUEST_S
    while driver.calls or (server.has_partial_request and time.monotonic() < partial_requests_until):
        server.close_idle()
        await asyncio.sleep(SHUTDOWN_POLL_INTERVAL_S)
    # Every complete request is answered; the last bytes may still be in transit to a slow peer.
    for _ in range(int(SHUTDOWN_LINGER_S / SHUTDOWN_POLL_INTERVAL_S)):
        server.reject_partial_requests()
        if not server.connections:
            return
        await asyncio.sleep(SHUTDOWN_POLL_INTERVAL_S)
    server.abort_closing()


def reload(driver: Driver) -> None:
    """Rereads the discovery address, the only setting that can change at run time; called on SIGHUP.

    An invalid file is logged and changes nothing.
    """
    try:
        discovery_address = reload_discovery_address(os.environ)
    except ConfigError as error:
        log.error("reload_failed", fault=str(error), effect="configuration unchanged")
        return
    log.info("reloaded", discovery="{}:{}".format(*discovery_address))
    driver.discovery.move(discovery_address)


async def serve(config: Config) -> None:
    """Runs the proxy until SIGTERM or SIGINT. Raises ConfigError or OSError if it can't start."""
    loop = asyncio.get_running_loop()
    terminated = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, terminated.set)
    driver = Driver(config)
    over_limit_headers = driver.retry_after_headers(AT_CAPACITY_RETRY_AFTER_S)
    process_mb = resident_mb() or BASE_MEMORY_MB
    server = Server(driver.effects, driver, config.sockets, config.memory_mb, over_limit_headers, process_mb)
    driver.discovery.max_answer_bytes = server.memory.list_size
    driver.upstreams.answers = AnswerMemory(server.memory.backend_answers)
    driver.caller_counts, driver.caller_figures = server.counts, server.figures
    # SIGHUP is handled before the proxy is ready, and also during the shutdown.
    loop.add_signal_handler(signal.SIGHUP, reload, driver)
    driver.start()
    await server.listen(*config.listen)
    log.info("listening", address="{}:{}".format(*config.listen), ready=driver.ready())
    # These objects live until the process ends: frozen, they don't lengthen collections, which delay calls.
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTION_THRESHOLDS)
    await terminated.wait()
    await drain(server, driver)
    driver.log_statistics()
    driver.stop()


def main() -> int:
    """Runs the proxy, or another command of the command line; returns the exit code."""
    if sys.argv[1:] not in ([], ["run"]):
        from granitepoint.cli import main as command_line

        return command_line(sys.argv[1:])
    return run()


def run() -> int:
    """Runs one proxy; returns the exit code: 2 for an invalid configuration, 1 for another start error."""
    # Ignored until serve() handles it, as its default action would end the process. One that comes before
    # load() is not needed: load() reads the new file anyway.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
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
