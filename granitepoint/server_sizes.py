"""The sizes of servers, from the weights that lists give them. No I/O, no clock.

What a weight means is a setting. It is a size, exactly or roughly, or it says nothing. A live weight is the
size divided by 1 + the requests that the server held per core when it was sampled, some time ago. So a busy
server has a small one, whatever its size, and an idle one has its size. Two things are known of a live
weight:

- It never exceeds the size, so the largest one seen of a server is a lower bound of its size.
- Multiplied by 1 + the requests that the server holds, it is about the size of a server with one core. With
  more cores it is too large, the more so the busier the server is, but servers of a kind that are about
  equally busy keep their proportions.
"""

from __future__ import annotations

from collections.abc import Iterable

MIN_WEIGHT = 1e-3  # smaller weights count as this, so that sizes stay above 0


class ServerSize:
    """The size of one server, relative to those of the others in the list."""

    __slots__ = ("_held_is_known", "_live", "_uniform", "estimate", "lower_bound", "weight")

    def __init__(self, meaning: str) -> None:
        """`meaning`: the meaning of weights, as in Settings.weights."""
        self._live = meaning == "live"
        self._uniform = meaning == "none"
        self.weight = MIN_WEIGHT  # as listed last
        self.lower_bound = MIN_WEIGHT  # of the size
        self.estimate = MIN_WEIGHT  # of the size
        self._held_is_known = False  # how many requests it held was known for the last weight

    def on_weight(self, weight: float, held: float | None) -> None:
        """A list gives the server a weight. `held`: how many requests it holds; None: not known."""
        earlier_weight, self.weight = self.weight, 1.0 if self._uniform else max(weight, MIN_WEIGHT)
        if not self._live:
            self.lower_bound = self.estimate = self.weight
            return
        self.lower_bound = max(self.lower_bound, self.weight)
        if self.weight != earlier_weight:
            self._held_is_known = held is not None
            self.estimate = max(self.lower_bound, self.weight * (1 + (held or 0.0)))

    def on_report(self, held: float) -> None:
        """The server reports how many requests it holds."""
        if self._live and not self._held_is_known:
            self._held_is_known = True
            self.estimate = max(self.lower_bound, self.weight * (1 + held))

    def on_restart(self) -> None:
        """The server has just started, so it holds nothing. A size outlasts the process."""
        if self._live:
            self._held_is_known = True
            self.estimate = self.lower_bound


def cold_budget_share(size: ServerSize, pool: Iterable[ServerSize]) -> float:
    """The part of the mean server's budget that a cold server may use, from 0 to 1, where weights are live.

    It errs towards too little: the lower bound of its size, as a part of what the others may have at most. A
    server that may be larger than the mean gets no more than that: an idle server has a large weight.
    """
    estimates = [other.estimate for other in pool]
    return min(1.0, size.lower_bound * len(estimates) / sum(estimates)) if estimates else 1.0
