"""Ids of requests that may have run, kept for as long as an attempt may still run.

A client that has left may send a request again under the same id. Ids are kept as hashes, so that a peer's
names take the same memory whatever their length. None is forgotten before its time: when there is no room, no
further request may begin. All times are in seconds, on the clock of the caller.
"""

from __future__ import annotations

# How long an id is kept after its attempt, in longest deadlines, and the bounds of that: a server may still
# run what was cancelled.
KEPT_DEADLINES, MIN_KEPT_S, MAX_KEPT_S = 2.0, 10.0, 60.0
GENERATIONS = 4  # the oldest is forgotten as a whole, so no id needs a time of its own


def time_to_keep(longest_deadline: float) -> float:
    """Returns for how long ids are kept where this is the longest deadline of a class."""
    return min(MAX_KEPT_S, max(MIN_KEPT_S, KEPT_DEADLINES * longest_deadline))


class ExecutedIds:
    """The ids of the last `keep_for` seconds, `limit` of them at most."""

    __slots__ = ("_count", "_generations", "_rotate_at", "_span", "limit")

    def __init__(self, keep_for: float, limit: int) -> None:
        self.limit = limit
        self._span = keep_for / (GENERATIONS - 1)
        self._generations: list[set[int]] = [set() for _ in range(GENERATIONS)]  # the newest first
        self._rotate_at = 0.0
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(self, id: bytes, now: float) -> None:
        """Keeps the id of a request of which an attempt has ended and may have run."""
        self._forget_oldest(now)
        key = hash(id)
        if not self._contains(key):
            self._generations[0].add(key)
            self._count += 1

    def contains(self, id: bytes, now: float) -> bool:
        """Whether a request with this id may have run, or may still run."""
        self._forget_oldest(now)
        return self._contains(hash(id))

    def has_room(self, now: float, pending: int) -> bool:
        """Whether the ids of `pending` more requests can be kept."""
        self._forget_oldest(now)
        return self._count + pending <= self.limit

    def _contains(self, key: int) -> bool:
        return any(key in generation for generation in self._generations)

    def _forget_oldest(self, now: float) -> None:
        if now < self._rotate_at:
            return
        if now >= self._rotate_at + (GENERATIONS - 1) * self._span:
            for generation in self._generations:
                generation.clear()
            self._rotate_at = now + self._span
        while now >= self._rotate_at:
            self._generations.insert(0, set())
            self._generations.pop()
            self._rotate_at += self._span
        self._count = sum(len(generation) for generation in self._generations)
