"""How long a connection to a backend rests after an answer before it carries another request.

HTTP/1.1 has no field that ties an answer to its request: what arrives on a connection is the answer to the
request that was sent on it last. A second answer to one request that arrives late would so answer the next
request. During the rest no request is out, and whatever arrives closes the connection. Requests do not wait
meanwhile: they take another connection.
"""

from __future__ import annotations

import math

# As long as the protocol's tolerance for anything that comes late on a socket.
MIN_REUSE_DELAY_S = 0.05
# Also the limit up to which unexpected data counts as a late answer: what comes later is, for example, the
# error that a server sends before it closes an idle connection.
MAX_REUSE_DELAY_S = 1.0
LATENESS_FACTOR = 2.0  # from the lateness of a second answer to the delay that covers the next ones
EXTENSION_S = 60.0  # after the latest second answer that came later than MIN_REUSE_DELAY_S covers


class ReuseDelay:
    """The delay for all connections, extended while answers come later than it covers.

    Times are in seconds, on the clock of the caller.
    """

    __slots__ = ("_extended_delay", "_extended_until")

    def __init__(self) -> None:
        self._extended_delay = MIN_REUSE_DELAY_S
        self._extended_until = -math.inf

    def at(self, now: float) -> float:
        """Returns the time that has to pass between an answer and the next request on its connection."""
        return self._extended_delay if now < self._extended_until else MIN_REUSE_DELAY_S

    def on_unexpected_data(self, lateness: float, now: float) -> None:
        """Data arrived on a connection `lateness` after its last answer, while no request was out."""
        wanted = min(LATENESS_FACTOR * lateness, MAX_REUSE_DELAY_S)
        if lateness > MAX_REUSE_DELAY_S or wanted <= MIN_REUSE_DELAY_S:
            return
        self._extended_delay = max(self.at(now), wanted)
        self._extended_until = now + EXTENSION_S
