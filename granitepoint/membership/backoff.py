"""The pause after a failed call to a service that many instances call at once, by the kind of failure.

If calls were queued at the service, all instances together may send more calls than it can answer. So the
calls are spread over rounds. All instances that lose the service at the same moment start their rounds there,
and each makes its call at its own phase of the round. So the calls arrive evenly, at whatever moment the
service returns.

After several failures in a row the rounds grow. This prevents congestion collapse, in which the service
spends its time on calls whose callers no longer wait. The rounds grow no longer than the service needs to
answer every instance, estimated from the shortest time that an answer took: the service may only have been
down, and all instances have to get an answer soon after its return.

A refused connection costs the service nothing, so these pauses stay short: a list is needed soon after the
service returns.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from random import Random

from granitepoint.membership.evidence import Failure

MAX_PAUSE = 60.0  # s, the longest pause after a failure of any kind
MIN_ROUND_LENGTH = 4.0  # s; a round lasts from the start of a call that was queued to the instance's next
CONSTANT_ROUNDS = 2  # failures in a row before the rounds grow
# s to which the rounds may always grow, even if the service is so fast that shorter ones would do. While the
# service time is unknown they may grow to Backoff.max_pause.
MIN_MAX_ROUND_LENGTH = 8.0
# The maximum length of a round, as a multiple of the time in which the service can answer all instances.
MAX_ROUND_SERVICE_TIMES = 2.0


@dataclass(frozen=True, slots=True)
class PausePolicy:
    """The pause after one kind of failure. Times are in seconds."""

    first: float
    growth: float  # factor per earlier failure in a row; the first CONSTANT_ROUNDS do not lengthen rounds
    maximum: float
    min_fraction: float  # the lower bound of the random factor on the pause; the upper bound is 1
    # The pause lasts until the instance's phase in a round comes next. `first` is the initial length of the
    # rounds; `maximum` and `min_fraction` do not apply.
    in_rounds: bool = False


OVERLOADED = PausePolicy(
    first=MIN_ROUND_LENGTH, growth=1.15, maximum=MAX_PAUSE, min_fraction=0.0, in_rounds=True
)
REJECTED = PausePolicy(first=1.0, growth=1.1, maximum=2.0, min_fraction=0.5)
UNREACHABLE = PausePolicy(first=1.0, growth=1.0, maximum=1.0, min_fraction=0.5)
DISCONNECTED = PausePolicy(first=1.0, growth=1.0, maximum=1.0, min_fraction=0.1)
PAUSE_POLICIES = {
    Failure.WAITED: OVERLOADED,
    Failure.SILENT: OVERLOADED,
    Failure.IMMEDIATE: REJECTED,
    Failure.REFUSED: UNREACHABLE,
    Failure.WATCH_LOST: DISCONNECTED,
    Failure.LOCAL_ERROR: UNREACHABLE,
}


class Backoff:
    """How long to wait after each failure in a row. Times are in seconds."""

    def __init__(
        self, random: Random, max_pause: float = MAX_PAUSE, instances: int = 1, phase: float = 0.0
    ) -> None:
        """`instances`: how many instances call the same service. `phase`: the phase of this instance in a
        round, from 0 to 1. A random fraction of 1/`instances` is added, so that two instances with the same
        phase do not call at the same time."""
        self.random, self.max_pause, self.instances = random, max_pause, instances
        self.phase = (phase + random.random() / instances) % 1.0
        self.failures = 0  # in a row, of kinds whose pause grows
        self.round_started_at: float | None = None  # round 1 starts at the first failure; None: no failure
        self.round_length = 0.0
        self.min_service_time = math.inf  # the shortest time that an answer took

    @property
    def max_round_length(self) -> float:
        """The length up to which the rounds grow.

        The shortest time that an answer took is an upper bound of the service time: it is longer if every
        call was queued. So the rounds may be longer than necessary, but not too short.
        """
        max_from_service_time = MAX_ROUND_SERVICE_TIMES * self.min_service_time * self.instances
        return min(self.max_pause, max(MIN_MAX_ROUND_LENGTH, max_from_service_time))

    def succeeded(self, service_time: float | None = None) -> None:
        """Resets the number of failures and the rounds.

        `service_time`: how long the answer took, without the time that the service was asked to hold the
        call; None: unknown.
        """
        self.failures = 0
        self.round_started_at = None
        if service_time is not None:
            self.min_service_time = min(self.min_service_time, max(0.0, service_time))

    def failed(self, failure: Failure, now: float) -> float:
        """Records a failure and returns the pause from now on."""
        policy = PAUSE_POLICIES[failure]
        if self.round_started_at is None:
            self.round_started_at, self.round_length = now, 0.0
        constant_failures = CONSTANT_ROUNDS if policy.in_rounds else 0
        factor = policy.growth ** min(max(0, self.failures - constant_failures), 50)
        self.failures += policy.growth > 1
        if policy.in_rounds:
            return self._until_own_phase(now, min(policy.first * factor, self.max_round_length))
        random_factor = policy.min_fraction + (1 - policy.min_fraction) * self.random.random()
        return min(self.max_pause, policy.maximum, policy.first * factor) * random_factor

    def _until_own_phase(self, now: float, length: float) -> float:
        """The time until this instance's phase comes next. Rounds that start from now on have this length."""
        assert self.round_started_at is not None
        self.round_length = self.round_length or length
        while self.round_started_at + self.phase * self.round_length <= now:
            self.round_started_at += self.round_length
            self.round_length = length
        return self.round_started_at + self.phase * self.round_length - now
