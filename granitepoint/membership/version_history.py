"""Whether a new address of discovery goes on with the versions of the one before.

Discovery is one service, so a proxy that is sent to another address asks there for what has changed since
the list that it holds: a fraction of the work of a whole list, which all proxies would ask for at once. A
service with a history of its own would leave the old list in place. So the last change is asked for once
more, and has to come back; where no change was ever told nothing can be compared, and the whole list comes
later.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

MOST_REPEATED = 64  # entries of a change that is asked for once more


@dataclass(frozen=True, slots=True)
class Change:
    """The last change that was told: the version before it, and the servers that it named."""

    before: int
    servers: frozenset[int]


class VersionHistory:
    """The version that is held, and what is known of how it came about."""

    def __init__(self, version: int) -> None:
        self.version = version
        self.change: Change | None = None

    @property
    def ask_from(self) -> int:
        """The version from which another address is asked for changes."""
        return self.version if self.change is None else self.change.before

    @property
    def comparable(self) -> bool:
        """Whether an answer of another address can show that its history is this one."""
        return self.change is not None

    def told(self, asked_from: int | None, version: int, servers: Collection[int]) -> None:
        """A list was taken. `asked_from`: None where it is whole, so that it tells nothing of changes."""
        if asked_from is None:
            self.change = None
        elif version > asked_from and servers:
            self.change = Change(asked_from, frozenset(servers)) if len(servers) <= MOST_REPEATED else None
        self.version = version

    def goes_on_with(self, version: int, servers: Collection[int]) -> bool:
        """Whether the changes that another address tells since `ask_from` can belong to this history."""
        if version < self.version:
            return False
        return self.change is None or self.change.servers <= set(servers)
