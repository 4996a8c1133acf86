"""Classifies how a call to discovery failed, by what the failure tells of the load on discovery.

The pause until the next call depends on it (`backoff`). Whether a failure also proves that a proxy has missed
no change is decided in `list_lease`; hardly any does.
"""

from __future__ import annotations

from enum import Enum

IMMEDIATE_FAILURE_TIME = 0.25  # s; a call that failed within it has not been queued
MIN_QUEUE_TIME = 1.5  # s; a call that failed sooner was not rejected for having been queued for too long


class Failure(Enum):
    """How a call to discovery failed."""

    REFUSED = "refused"  # the connection was refused: nobody listened
    WATCH_LOST = "watch lost"  # the end of a watch that discovery held and had not queued
    IMMEDIATE = "at once"  # rejected or reset without a wait
    WAITED = "waited"  # discovery accepted the call and queued it
    SILENT = "silent"  # no answer before a timeout, of the call or of its connection
    LOCAL_ERROR = "own fault"  # this machine could not make the call


def classify(waited: float, continued: bool) -> Failure:
    """Classifies a call that was answered with an error, or whose connection ended, after `waited` seconds.

    `continued`: the call continued a watch that had just been answered, so that it was not queued unless
    something changed.
    """
    if waited <= IMMEDIATE_FAILURE_TIME:
        return Failure.IMMEDIATE
    if continued and waited < MIN_QUEUE_TIME:
        return Failure.WATCH_LOST
    return Failure.WAITED
