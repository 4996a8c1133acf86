"""Checks whether a new address of discovery continues the version history of the previous one.

Discovery is one service. So after a change of its address a proxy asks only for the changes since the list
that it has. This costs discovery a fraction of a whole list, which all proxies would request at the same
time. But a service with a history of its own would leave the old list in place. So the proxy requests the
last change once more, and the answer has to contain it. If no change has been sent yet there is nothing to
compare, and the proxy requests the whole list later.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

MAX_REPEATED_ENTRIES = 64  # servers in a change that is requested once more


@dataclass(frozen=True, slots=True)
class Change:
    """The last change that discovery sent: the version before it, and the ids of the servers in it."""

    base_version: int
    servers: frozenset[int]


class VersionHistory:
    """The version of the current list, and the last change that led to it."""

    def __init__(self, version: int) -> None:
        self.version = version
        self.last_change: Change | None = None

    @property
    def request_from(self) -> int:
        """The version since which changes are requested from a new address."""
        return self.version if self.last_change is None else self.last_change.base_version

    @property
    def can_be_verified(self) -> bool:
        """Whether a change is known that the answer of a new address has to contain."""
        return self.last_change is not None

    def record(self, since_version: int | None, version: int, servers: Collection[int]) -> None:
        """A list was accepted.

        `since_version`: the version since which changes were requested; None for a whole list, which says
        nothing about changes. `servers`: the ids of the servers in the list.
        """
        if since_version is None:
            self.last_change = None
        elif version > since_version and servers:
            self.last_change = (
                Change(since_version, frozenset(servers)) if len(servers) <= MAX_REPEATED_ENTRIES else None
            )
        self.version = version

    def is_continued_by(self, version: int, servers: Collection[int]) -> bool:
        """Whether the changes since `request_from` that a new address sent can belong to this history.

        `version` and `servers`: the version of its answer, and the ids of the servers in it.
        """
        if version < self.version:
            return False
        return self.last_change is None or self.last_change.servers <= set(servers)
