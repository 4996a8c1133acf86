"""Classifies how a call to discovery failed, by what the failure proves.

The question for each kind is: could discovery have sent a change of the list to some instance at that moment?
If not, this instance has missed none, and its list may be used for longer (`list_lease`). A list that arrives
settles the question, and so does a refused connection: nobody listened. A 503 does not, however soon it came:
an overloaded discovery rejects some calls at once while it answers others, and one that queues its calls
sends the same 503 after the wait.
"""

from __future__ import annotations

from enum import Enum

IMMEDIATE_FAILURE_TIME = 0.25  # s; a call that failed within it has not been queued
MIN_QUEUE_TIME = 1.5  # s; a call that failed sooner was not rejected for having been queued for too long
MAX_QUEUE_TIME = 3.0  # s; a call that was open for longer was no longer queued: discovery held it as a watch
# s; the same if the call before it was not queued, so that the queue is nearly empty.
MAX_SHORT_QUEUE_TIME = 2.5


class Failure(Enum):
    """How a call to discovery failed."""

    REFUSED = "refused"  # the connection was refused: nobody can get a change at that moment
    WATCH_LOST = "watch lost"  # a watch that discovery held ended; every change up to then has been received
    WATCH_CUT = "watch cut"  # the same soon after the watch started: discovery may have had a change to send
    IMMEDIATE = "at once"  # rejected or reset without a wait
    WAITED = "waited"  # discovery accepted the call and queued it; it may have sent changes to others
    SILENT = "silent"  # no answer before a timeout, of the call or of its connection
    LOCAL_ERROR = "own fault"  # this machine could not make the call; this proves nothing about discovery


def classify(waited: float, continued: bool, previous_unqueued: bool = False) -> Failure:
    """Classifies a call that was answered with an error, or whose connection ended, after `waited` seconds.

    `continued`: the call continued a watch that had just been answered. `previous_unqueued`: the call
    that this answer belonged to had not been queued.
    """
    if waited <= IMMEDIATE_FAILURE_TIME:
        return Failure.IMMEDIATE
    if continued and waited < MIN_QUEUE_TIME:
        return Failure.WATCH_CUT
    if continued and waited > (MAX_SHORT_QUEUE_TIME if previous_unqueued else MAX_QUEUE_TIME):
        return Failure.WATCH_LOST
    return Failure.WAITED
