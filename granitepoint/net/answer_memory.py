"""Lets large answers of backends arrive one after another where there is no memory for all at once."""

from __future__ import annotations

from typing import Protocol

from granitepoint.net.memory_account import MemoryAccount

FREE_ANSWER_BYTES = 16 * 1024  # of each answer, that are not charged
UNLIMITED_BYTES = 1 << 40


class Holder(Protocol):
    """A connection on which an answer arrives."""

    def resume_answer(self) -> None:
        """Reads on after `hold` has returned False."""
        ...


class AnswerMemory:
    """The account of answers that have arrived in part. The oldest always gets on, so all do in turn."""

    def __init__(self, account: MemoryAccount | None = None) -> None:
        self.account = account or MemoryAccount(UNLIMITED_BYTES)
        self._holders: dict[Holder, int] = {}  # bytes charged, by holder; the oldest first
        self._paused: set[Holder] = set()

    def hold(self, holder: Holder, size: int) -> bool:
        """Charges an answer of which `size` bytes are held; False: the holder reads on when it is resumed."""
        if size <= FREE_ANSWER_BYTES and holder not in self._holders:
            return True
        more = size - self._holders.get(holder, 0)
        self._holders[holder] = size
        fits = self.account.free >= more
        self.account.charge(more)
        if fits or holder is next(iter(self._holders)):
            return True
        self._paused.add(holder)
        return False

    def release(self, holder: Holder) -> None:
        """The answer is complete or given up: the next holders that there is memory for are resumed."""
        size = self._holders.pop(holder, None)
        if size is None:
            return
        self._paused.discard(holder)
        self.account.charge(-size)
        for number, other in enumerate(list(self._holders)):
            if other in self._paused and (number == 0 or self.account.free):
                self._paused.discard(other)
                other.resume_answer()
