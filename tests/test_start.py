"""Tests signals that arrive while the proxy process starts."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
NEW_DISCOVERY = "127.0.0.2:1"  # nobody listens there
# Starts the proxy in a process of its own. Right after the configuration is read, the file gets a new address
# of discovery and SIGHUP is sent. Once the proxy listens it gets SIGTERM and prints the address that it uses.
PROGRAM = """
import json, os, signal, sys
from pathlib import Path
from granitepoint import __main__ as program

load, listen = program.load, program.Server.listen

def load_then_reload(environ):
    config = load(environ)
    path = Path(environ["EDGE_CONFIG"])
    path.write_text(json.dumps({**json.loads(path.read_text()), "discovery": sys.argv[1]}))
    os.kill(os.getpid(), signal.SIGHUP)
    return config

async def listen_then_terminate(server, *address):
    await listen(server, *address)
    os.kill(os.getpid(), signal.SIGTERM)

async def print_discovery(server, driver):
    print("{}:{}".format(*driver.discovery.address))

program.load, program.Server.listen, program.drain = load_then_reload, listen_then_terminate, print_discovery
sys.exit(program.run())
"""


def test_a_reload_between_the_read_of_the_configuration_and_the_start_is_not_lost(tmp_path: Path) -> None:
    """SIGHUP is ignored until the event loop handles it, so the new address of discovery would be unused."""
    path = tmp_path / "config.json"
    example = json.loads((ROOT / "docs" / "example.json").read_text(encoding="utf-8"))
    path.write_text(json.dumps({**example, "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1"}))
    environ = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
    result = subprocess.run(
        [sys.executable, "-c", PROGRAM, NEW_DISCOVERY],
        cwd=ROOT, env={**environ, "EDGE_CONFIG": str(path)}, capture_output=True, text=True, timeout=60,
    )  # fmt: skip
    assert result.returncode == 0, result.stderr
    assert result.stdout.split() == [NEW_DISCOVERY], result.stderr
