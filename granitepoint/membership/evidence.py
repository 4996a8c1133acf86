"""What the end of a call to discovery is proof of.

The question asked of each: could a change have been told at that moment? A list answers it. So does a refused
connection: nobody listened. A 503 does not, however soon it came: a crowded discovery turns some away at once
while it tells others, and one that lets calls wait in turn gives the same 503 in the end.
"""

from __future__ import annotations

from enum import Enum

AT_ONCE = 0.25  # s within which a call has failed at once: it did not wait in turn
SHORTEST_TURN = 1.5  # s; a call that failed sooner did not fail for having waited too long
LONGEST_TURN = 3.0  # s; one that was out for longer was no longer waiting in turn: it was held
FREE_TURN = 2.5  # s; the same where the answer just before had not waited, so that hardly anyone was in turn


class Failure(Enum):
    """How a call to discovery failed."""

    REFUSED = "refused"  # nobody listens there: nothing can be told at that moment
    WATCH_LOST = "watch lost"  # a held watch ended: until then every change was told
    WATCH_CUT = "watch cut"  # the same soon after it began: it may have had a change to tell
    AT_ONCE = "at once"  # turned away or reset without a wait
    WAITED = "waited"  # discovery took the call, and others may have been told
    SILENT = "silent"  # no word in time
    OWN_FAULT = "own fault"  # this machine could not make the call: says nothing of discovery


def classify(waited: float, continued: bool, free: bool = False) -> Failure:
    """Of a call that was answered with an error, or whose connection ended, after `waited` s. `continued`:
    it went on with a watch that had just been answered; `free`: that answer had not waited in turn."""
    if waited <= AT_ONCE:
        return Failure.AT_ONCE
    if continued and waited < SHORTEST_TURN:
        return Failure.WATCH_CUT
    if continued and waited > (FREE_TURN if free else LONGEST_TURN):
        return Failure.WATCH_LOST
    return Failure.WAITED
