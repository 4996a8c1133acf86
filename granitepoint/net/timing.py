"""The order in which the event loop runs timers and reads sockets, which time limits have to allow for."""

from __future__ import annotations

# Delay from which a timer assumes that the process was stalled. As timers run before sockets are read, it
# then lets the sockets be read once more: what it waits for may have arrived.
STALL_THRESHOLD_S = 0.01
NEXT_LOOP_ITERATION_S = 0.001  # the event loop reads its sockets before a timer of this length fires
