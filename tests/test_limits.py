"""Checks the limits of the policy modules: each is short, and none reads a clock or a socket."""

from __future__ import annotations

import ast
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
MAX_MODULE_LINES = 1200  # non-blank lines
ALLOWED_IMPORTS = {
    "__future__", "bisect", "collections", "dataclasses", "enum", "granitepoint", "math", "random", "typing",
}  # fmt: skip


def policy_files() -> list[Path]:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    return [ROOT / name for name in deploy["policy"]]


def imported(file: Path) -> set[str]:
    """Returns the top-level packages that a file imports."""
    names: set[str] = set()
    for node in ast.walk(ast.parse(file.read_text("utf-8"))):
        if isinstance(node, ast.Import):
            names |= {alias.name.split(".")[0] for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            names.add((node.module or "").split(".")[0])
    return names


def test_policy_files_are_short() -> None:
    for file in policy_files():
        lines = file.read_text("utf-8").splitlines()
        assert 0 < sum(1 for line in lines if line.strip()) <= MAX_MODULE_LINES
        assert max(map(len, lines)) <= 110


def test_policy_files_import_nothing_that_reads_a_clock_or_does_input_or_output() -> None:
    for file in policy_files():
        assert imported(file) <= ALLOWED_IMPORTS, file


def test_the_modules_that_decide_are_named_as_policy() -> None:
    """Every module of this package that logic.py imports, except interface.py, is in the policy list."""
    named = {file.relative_to(ROOT).as_posix() for file in policy_files()}
    text = (ROOT / "granitepoint" / "logic.py").read_text("utf-8")
    modules = [node.module or "" for node in ast.walk(ast.parse(text)) if isinstance(node, ast.ImportFrom)]
    own = {f"{name.replace('.', '/')}.py" for name in modules if name.startswith("granitepoint.")}
    assert own - {"granitepoint/interface.py"} <= named


def test_module_names_its_interface_at_the_top() -> None:
    assert (
        "granitepoint/interface.py" in (ROOT / "granitepoint" / "logic.py").read_text("utf-8").split("\n")[0]
    )
