"""The moments at which a proxy counts as notified of all changes because discovery had got a new address.

Some seconds after each change of the address, the proxy counts as notified of every change that discovery has
by then. Only a list that was written at that moment or later covers these changes: an open watch may have
fallen silent, and one that does looks like a list that does not change.
"""

from __future__ import annotations

import math

# s from a change of the address of discovery until the proxy counts as notified.
NOTIFIED_AFTER_MOVE = 4.0


class MoveDeadlines:
    """The deadlines that no list covers yet. Times are in seconds, on the clock of the events."""

    __slots__ = ("_deadlines",)

    def __init__(self) -> None:
        self._deadlines: list[float] = []  # in ascending order

    @property
    def first(self) -> float:
        """The first deadline that no list covers; infinite if there is none."""
        return self._deadlines[0] if self._deadlines else math.inf

    def on_move(self, moved_at: float) -> None:
        """Discovery has a new address from `moved_at` on. Earlier deadlines stay in force."""
        self._deadlines.append(moved_at + NOTIFIED_AFTER_MOVE)

    def on_list(self, written_after: float) -> None:
        """A list arrived that was written at `written_after` or later."""
        self._deadlines = [deadline for deadline in self._deadlines if deadline > written_after]
