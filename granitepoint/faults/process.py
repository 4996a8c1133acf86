"""A real proxy in a process of its own, started from a configuration file."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

REPOSITORY_ROOT = Path(__file__).parent.parent.parent


def reserve_address() -> tuple[socket.socket, str]:
    """Returns a bound socket that doesn't listen, and its loopback address.

    No other process is given the port while the socket is open.
    """
    reserved_socket = socket.socket()
    reserved_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved_socket.bind(("127.0.0.1", 0))
    return reserved_socket, "{}:{}".format(*reserved_socket.getsockname())


@dataclass(slots=True)
class ProxyProcess:
    """One proxy, with the same address and configuration file through all its restarts."""

    name: str
    folder: Path
    config: dict[str, Any]
    environment: Mapping[str, str] = field(default_factory=dict)  # added to that of this process
    process: asyncio.subprocess.Process | None = None
    started_at: float = 0.0  # monotonic, in seconds
    ready_at: float = 0.0  # monotonic, in seconds
    start_count: int = 0
    reserved_socket: socket.socket | None = None

    @property
    def address(self) -> tuple[str, int]:
        """Host and port at which the proxy listens."""
        host, _, port = self.config["listen"].rpartition(":")
        return host, int(port)

    @property
    def config_path(self) -> Path:
        """The configuration file."""
        return self.folder / f"{self.name}.json"

    @property
    def log_path(self) -> Path:
        """The file that gets the standard error stream of all processes of this proxy."""
        return self.folder / f"{self.name}.log"

    async def start(self) -> None:
        """Writes the configuration file and starts a process."""
        if self.reserved_socket is None:
            self.reserved_socket, self.config["listen"] = reserve_address()
        self.config_path.write_text(json.dumps(self.config), encoding="utf-8")
        inherited = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
        environment = {**inherited, **self.environment, "EDGE_CONFIG": str(self.config_path)}
        self.start_count += 1
        self.started_at, self.ready_at = time.monotonic(), 0.0
        with self.log_path.open("ab") as log_file:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "granitepoint", cwd=REPOSITORY_ROOT, env=environment, stderr=log_file
            )

    async def wait_until_ready(self, timeout: float) -> None:
        """Waits until the health check passes, for `timeout` seconds at most.

        Raises TimeoutError, or RuntimeError if the process has exited.
        """
        async with asyncio.timeout(timeout):
            while not await self._is_ready():
                if self.process is None or self.process.returncode is not None:
                    raise RuntimeError(f"{self.name} has exited: {self.log_path.read_text()[-2000:]}")
                await asyncio.sleep(0.02)
        self.ready_at = time.monotonic()

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(*self.address)
            writer.write(b"GET /healthz HTTP/1.1\r\nHost: proxy\r\nConnection: close\r\n\r\n")
            status_line = await reader.readline()
            writer.close()
        except OSError:
            return False
        return status_line.startswith(b"HTTP/1.1 200")

    def reload(self, discovery_address: str) -> None:
        """Writes another address of discovery to the configuration file and sends SIGHUP."""
        self.config["discovery"] = discovery_address
        new_path = self.config_path.with_suffix(".new")
        new_path.write_text(json.dumps(self.config), encoding="utf-8")
        new_path.replace(self.config_path)
        self.send_signal(signal.SIGHUP)

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Sends a signal to the process if it is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal_number)

    async def kill(self) -> None:
        """Sends SIGKILL and waits for the process to exit."""
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def close(self) -> None:
        """Kills the process and releases its address."""
        await self.kill()
        if self.reserved_socket is not None:
            self.reserved_socket.close()
            self.reserved_socket = None
