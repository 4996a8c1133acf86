"""The real proxy as a process of its own, started from a configuration file."""

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

ROOT = Path(__file__).parent.parent.parent


def hold_address() -> tuple[socket.socket, str]:
    """A loopback address that nobody else is given while the socket is kept: bound, and not listened on."""
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind(("127.0.0.1", 0))
    return holder, "{}:{}".format(*holder.getsockname())


@dataclass(slots=True)
class ProxyProcess:
    """One proxy through its lives."""

    name: str
    folder: Path
    raw: dict[str, Any]  # the configuration
    environment: Mapping[str, str] = field(default_factory=dict)
    process: asyncio.subprocess.Process | None = None
    started_at: float = 0.0  # monotonic
    ready_at: float = 0.0
    lives: int = 0
    holder: socket.socket | None = None

    @property
    def address(self) -> tuple[str, int]:
        host, _, port = self.raw["listen"].rpartition(":")
        return host, int(port)

    @property
    def path(self) -> Path:
        return self.folder / f"{self.name}.json"

    @property
    def log(self) -> Path:
        return self.folder / f"{self.name}.log"

    async def start(self) -> None:
        if self.holder is None:
            self.holder, self.raw["listen"] = hold_address()
        self.path.write_text(json.dumps(self.raw), encoding="utf-8")
        kept = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
        environment = {**kept, **self.environment, "EDGE_CONFIG": str(self.path)}
        self.lives += 1
        self.started_at, self.ready_at = time.monotonic(), 0.0
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "granitepoint", cwd=ROOT, env=environment, stderr=log
            )

    async def until_ready(self, within: float) -> None:
        """Raises TimeoutError, and RuntimeError if the process has ended."""
        async with asyncio.timeout(within):
            while not await self._is_ready():
                if self.process is None or self.process.returncode is not None:
                    raise RuntimeError(f"{self.name} has ended: {self.log.read_text()[-2000:]}")
                await asyncio.sleep(0.02)
        self.ready_at = time.monotonic()

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(*self.address)
            writer.write(b"GET /healthz HTTP/1.1\r\nHost: proxy\r\nConnection: close\r\n\r\n")
            line = await reader.readline()
            writer.close()
        except OSError:
            return False
        return line.startswith(b"HTTP/1.1 200")

    def reload(self, discovery: str) -> None:
        """Another address of discovery, with SIGHUP."""
        self.raw["discovery"] = discovery
        new = self.path.with_suffix(".new")
        new.write_text(json.dumps(self.raw), encoding="utf-8")
        new.replace(self.path)
        self.send(signal.SIGHUP)

    def send(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def close(self) -> None:
        await self.kill()
        if self.holder is not None:
            self.holder.close()
            self.holder = None
