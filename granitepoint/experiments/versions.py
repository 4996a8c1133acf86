"""Module versions: source trees of the present program, with the decision module of a git revision."""

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

PACKAGE_FOLDER = Path(__file__).resolve().parent.parent
PROJECT_FOLDER = PACKAGE_FOLDER.parent
DEPLOY_FILE = "deploy/balancer.toml"
# The events and actions of the decision module, and the package's exports of them. They are replaced together
# with the module, because later exports name events that an earlier interface does not have.
INTERFACE_FILES = ("granitepoint/interface.py", "granitepoint/__init__.py")
SIMULATION_PACKAGES = ("emulator", "fleet")  # besides the decision module, they determine a cell's results


@dataclass(frozen=True, slots=True)
class Version:
    """A source tree to run cells from."""

    root: Path
    commit: str  # of the decision module; empty: the work tree
    digest: str  # of the source files that `_digest` covers


def _git(*arguments: str, root: Path) -> bytes:
    completed = subprocess.run(["git", *arguments], cwd=root, capture_output=True, check=False)
    if completed.returncode:
        stderr_lines = completed.stderr.decode(errors="replace").strip().splitlines()
        raise ExperimentError(stderr_lines[-1] if stderr_lines else f"git {arguments[0]} failed")
    return completed.stdout


def _digest(package: Path) -> str:
    """Hashes the paths and contents of source files that determine the results of a cell.

    They are the top-level modules of `package`, the modules of its folder `policy` if it has one, and the
    modules of SIMULATION_PACKAGES. The folder `membership`, a part of the decision module, is not covered.
    """
    hasher = hashlib.sha256()
    files = [
        *package.glob("*.py"),
        *(path for name in SIMULATION_PACKAGES for path in (package / name).glob("*.py")),
    ]
    policy = package / "policy"
    for path in sorted([*files, *policy.glob("*.py")]):
        hasher.update(path.relative_to(package).as_posix().encode() + b"\0" + path.read_bytes() + b"\0")
    return hasher.hexdigest()


def work_tree_version() -> Version:
    """Returns the source tree of this program."""
    return Version(PROJECT_FOLDER, "", _digest(PACKAGE_FOLDER))


def policy_files(deploy: bytes) -> list[str]:
    """Returns the files of the decision module and its interface. `deploy` is the content of a deploy file.

    Raises ExperimentError if it has no list of file names under `policy`.
    """
    try:
        names = tomllib.loads(deploy.decode("utf-8")).get("policy")
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise ExperimentError(f"{DEPLOY_FILE}: {error}") from None
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise ExperimentError(f"{DEPLOY_FILE}: policy must be a list of file names")
    return [*names, *INTERFACE_FILES]


def version_at_revision(revision: str, folder: Path, root: Path = PROJECT_FOLDER) -> Version:
    """Copies the package of the work tree at `root` to `folder`, with the decision module of a git revision.

    An existing copy of the same commit is used again. Raises ExperimentError.
    """
    try:
        output = _git("rev-parse", "--verify", "--quiet", f"{revision}^{{commit}}", root=root)
    except ExperimentError:
        raise ExperimentError(f"no such revision: {revision}") from None
    commit = output.decode().strip()
    files = policy_files(_git("show", f"{commit}:{DEPLOY_FILE}", root=root))
    copy_root = folder / commit
    package = copy_root / "granitepoint"
    if not package.exists():
        shutil.copytree(root / "granitepoint", package, ignore=shutil.ignore_patterns("__pycache__"))
        for path in policy_files((root / DEPLOY_FILE).read_bytes()):
            (copy_root / path).unlink(missing_ok=True)
        archive_bytes = _git("archive", commit, *files, root=root)
        with tarfile.open(fileobj=io.BytesIO(archive_bytes)) as archive:
            archive.extractall(copy_root, filter="data")
    return Version(copy_root, commit, _digest(package))
