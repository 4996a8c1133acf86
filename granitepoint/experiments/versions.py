"""Module versions: the present program with the decision module of a git revision in it."""

from __future__ import annotations

import hashlib
import io
import shutil
import subprocess
import tarfile
import tomllib
from dataclasses import dataclass
from pathlib import Path

from granitepoint.fleet.experiment import ExperimentError

PACKAGE = Path(__file__).resolve().parent.parent
ROOT = PACKAGE.parent
DEPLOY = "deploy/balancer.toml"
# What goes in and out of the module, and what the package exports of both: a later one names events that an
# earlier interface does not have.
INTERFACE = ("granitepoint/interface.py", "granitepoint/__init__.py")
PLAYS = ("emulator", "fleet")  # the packages that a cell's figures come from, beside the module


@dataclass(frozen=True, slots=True)
class Version:
    """A tree to run from. `digest` stands for all text that its figures come from."""

    root: Path
    commit: str  # empty: the work tree
    digest: str


def _git(*words: str, root: Path) -> bytes:
    done = subprocess.run(["git", *words], cwd=root, capture_output=True, check=False)
    if done.returncode:
        told = done.stderr.decode(errors="replace").strip().splitlines()
        raise ExperimentError(told[-1] if told else f"git {words[0]} failed")
    return done.stdout


def _digest(package: Path) -> str:
    """Of the module and of all that plays it."""
    text = hashlib.sha256()
    files = [*package.glob("*.py"), *(path for name in PLAYS for path in (package / name).glob("*.py"))]
    policy = package / "policy"
    for path in sorted([*files, *policy.glob("*.py")]):
        text.update(path.relative_to(package).as_posix().encode() + b"\0" + path.read_bytes() + b"\0")
    return text.hexdigest()


def present() -> Version:
    """The tree that this program runs from."""
    return Version(ROOT, "", _digest(PACKAGE))


def policy_files(deploy: bytes) -> list[str]:
    """The files of the module that a deploy file names, with its interface. Raises ExperimentError."""
    try:
        named = tomllib.loads(deploy.decode("utf-8")).get("policy")
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as fault:
        raise ExperimentError(f"{DEPLOY}: {fault}") from None
    if not isinstance(named, list) or not all(isinstance(each, str) for each in named):
        raise ExperimentError(f"{DEPLOY}: policy names no files")
    return [*named, *INTERFACE]


def at_revision(revision: str, into: Path, root: Path = ROOT) -> Version:
    """A copy of the present package with the module of that revision. Raises ExperimentError."""
    try:
        told = _git("rev-parse", "--verify", "--quiet", f"{revision}^{{commit}}", root=root)
    except ExperimentError:
        raise ExperimentError(f"no such revision: {revision}") from None
    commit = told.decode().strip()
    files = policy_files(_git("show", f"{commit}:{DEPLOY}", root=root))
    copied = into / commit
    package = copied / "granitepoint"
    if not package.exists():
        shutil.copytree(root / "granitepoint", package, ignore=shutil.ignore_patterns("__pycache__"))
        for path in policy_files((root / DEPLOY).read_bytes()):
            (copied / path).unlink(missing_ok=True)
        packed = _git("archive", commit, *files, root=root)
        with tarfile.open(fileobj=io.BytesIO(packed)) as archive:
            archive.extractall(copied, filter="data")
    return Version(copied, commit, _digest(package))
