"""Admission control: how many calls an instance accepts, and which ones it refuses under overload.

Each class of requests has a target latency, derived from its latency objective and its unloaded latency.
Answers over the target lower the concurrency limit, answers within it raise it. If more calls arrive than the
limit supports, those of the lowest utility are refused.

The limit is adapted like a congestion window: it counts the attempts that may be in flight at once, rises in
small steps and falls when answers are late. `Admission.window` is this limit.

All times are in seconds. There is no I/O and no clock here; random numbers come from the given generator.
"""

from __future__ import annotations

import math
from collections import deque
from random import Random

from granitepoint.interface import RequestClass

# s, averaging time of the arrival rate and the latency: long compared to a call, short compared to an outage
AVERAGING_TIME = 2.0
MIN_SAMPLES = 10  # calls; with fewer in the latency or the recent utilities nothing is refused
MAX_RECENT_UTILITIES = 300  # calls; the fraction refused then errs by about 3 percentage points
MAX_RECENT_BUDGETS = 64  # calls of a class whose time budgets are kept, for their median
# Of the latency objective: the minimum of the target, in the first tier. The target is the time in which all
# but OVER_TARGET_FRACTION of the answers should come.
MIN_TARGET_FRACTION = 0.35
# Of the concurrency limit: up to here no call is refused for its utility, and beyond it the limit may grow.
UNRESTRICTED_FRACTION = 0.8
OVER_TARGET_FRACTION = 0.2  # of the answers; with this fraction over the target, the limit stays the same
# The target is at least this multiple of the mean unloaded latency: with a long-tailed distribution too many
# answers would exceed a lower one.
MIN_TARGET_RATIO = 1.75
UNLOADED_MIN_SAMPLES = 50  # answers before the unloaded latency is derived from them
# Answers in the mean from which the unloaded latency is derived. The minimum of means over fewer answers is
# far too low if the distribution has a long tail.
UNLOADED_MEAN_SAMPLES = 200
UNLOADED_RISE_TIME = 60.0  # s in which the unloaded latency follows a lasting increase
MAX_TARGET_FRACTION = 0.9  # of the latency objective: the maximum and the initial value of the target
MIN_CONCURRENCY_LIMIT = 2.0  # calls; a lower limit does not recover well
# Calls per server, divided among the instances of the first tier where these outnumber the servers.
MIN_CALLS_PER_SERVER = 2.0
MAX_STEP_FRACTION = 0.3  # of the concurrency limit: the maximum change for one call
INITIAL_CONCURRENCY_LIMIT = 4.0  # calls
# Added per stage to the factor on the supported rate: a refusal loses the work done in the tiers above.
SUNK_COST_PER_STAGE = 0.5


class ClassState:
    """The settings of a class of requests and the statistics gathered about it.

    `deadline` is a duration: how long a client waits in total, over all its tries.
    """

    def __init__(self, cls: RequestClass, stage: int) -> None:
        """`stage`: the index of the tier of this instance, from 0."""
        self.name = cls.name
        self.utility, self.latency_objective, self.deadline, self.effect = (
            cls.worth, cls.aim, cls.deadline, cls.effect,
        )  # fmt: skip
        self.group, self.dedup_window = cls.group, cls.window
        self.late_answers_count = cls.late_worth > 0  # an answer past the objective still has some utility
        # Inner tiers have a lower target: a caller makes about two calls, one after the other, at each tier.
        self.min_target_latency = MIN_TARGET_FRACTION * cls.aim * 0.5**stage
        # The target starts at its maximum, until the unloaded latency is known. Where an instance handles
        # about one call per second, too low a guess of the unloaded latency lowers the concurrency limit
        # although there is little load, and keeps it low.
        self.target_latency = MAX_TARGET_FRACTION * cls.aim
        self.unloaded_latency = math.inf  # the mean latency at low load
        self.mean_latency = RunningMean(self.min_target_latency / 2)
        self.long_mean_latency = RunningMean(
            self.min_target_latency / 2
        )  # over more answers, for unloaded_latency
        self.recent_budgets: deque[float] = deque(maxlen=MAX_RECENT_BUDGETS)
        self.median_budget, self.budgets_since_median = 0.0, 0

    def record_latency(self, elapsed: float) -> None:
        """Adds the latency of an answer to the statistics."""
        self.mean_latency.add(elapsed, 50)
        self.long_mean_latency.add(elapsed, UNLOADED_MEAN_SAMPLES)

    def update_target(self, span: float) -> None:
        """Updates the unloaded latency and the target; `span`: time since the last update.

        A target below the latency of an unloaded server would lower the concurrency limit at low load.
        """
        mean = self.long_mean_latency
        if mean.count >= UNLOADED_MIN_SAMPLES:
            increase = (
                0.0
                if math.isinf(self.unloaded_latency)
                else (mean.value - self.unloaded_latency) * span / UNLOADED_RISE_TIME
            )
            self.unloaded_latency = min(mean.value, self.unloaded_latency + increase)
            self.target_latency = max(
                self.min_target_latency,
                min(MIN_TARGET_RATIO * self.unloaded_latency, MAX_TARGET_FRACTION * self.latency_objective),
            )

    def record_budget(self, budget: float) -> float:
        """Adds a time budget. Returns the median of the recent ones.

        While few are known it is computed at each call, later only at every (MAX_RECENT_BUDGETS // 4)th.
        """
        self.recent_budgets.append(budget)
        self.budgets_since_median += 1
        if (
            self.budgets_since_median >= MAX_RECENT_BUDGETS // 4
            or len(self.recent_budgets) < MAX_RECENT_BUDGETS // 4
        ):
            self.budgets_since_median = 0
            self.median_budget = sorted(self.recent_budgets)[len(self.recent_budgets) // 2]
        return self.median_budget


class RunningMean:
    """An exponentially weighted running mean that starts at a prior."""

    __slots__ = ("count", "value")

    def __init__(self, prior: float) -> None:
        """`prior`: the value until the first sample."""
        self.value = prior
        self.count = 0.0

    def add(self, sample: float, max_samples: float) -> None:
        """Adds a sample; the mean covers about the last `max_samples` samples."""
        self.count = min(self.count + 1, max_samples)
        self.value += (sample - self.value) / self.count


class Admission:
    """The concurrency limit, and the utility below which calls are refused under overload."""

    def __init__(self, stage: int, random: Random) -> None:
        """`stage`: the index of the tier of this instance, from 0."""
        self.stage = stage
        self.random = random
        self.mean_latency = RunningMean(0.0)
        self.mean_age_in_flight = 0.0  # mean time that the calls in flight have taken so far
        self.arrival_rate = 0.0  # calls per second
        self.rate_span = 0.0  # time over which the arrival rate has been averaged so far
        self.recent_utilities: deque[float] = deque(maxlen=MAX_RECENT_UTILITIES)
        self.window = INITIAL_CONCURRENCY_LIMIT  # calls; the concurrency limit
        self.min_concurrency_limit = MIN_CONCURRENCY_LIMIT  # calls
        # As in TCP's slow start, the limit doubles per round trip until the first answer over its target.
        self.limit_doubles = True
        # Calls of a lower utility are refused, and those at the threshold with this probability.
        self.utility_threshold, self.tie_reject_probability = -math.inf, 0.0

    @property
    def latency_estimate(self) -> float:
        """The expected latency of a call.

        A hung server finishes no calls, so the age of the calls in flight counts too.
        """
        return max(self.mean_latency.value, 0.5 * self.mean_age_in_flight)

    def observe_rate(self, arrivals: int, span: float) -> None:
        """Records the number of calls that arrived in the last `span` seconds."""
        self.rate_span = min(self.rate_span + span, AVERAGING_TIME)
        self.arrival_rate += (arrivals / span - self.arrival_rate) * min(1.0, span / self.rate_span)

    def observe_latency(self, latency: float) -> None:
        """Records the latency of an answer."""
        self.mean_latency.add(latency, max(MIN_SAMPLES, self.arrival_rate * AVERAGING_TIME))

    def set_min_limit(self, servers: int, balancers: int) -> None:
        """Lowers the minimum of the limit where there are many instances per server.

        With more instances than servers, MIN_CONCURRENCY_LIMIT calls of each instance would overload every
        server. Inner tiers keep their minimum: a refusal there loses the work done in the tiers above.
        `servers` and `balancers`: how many servers there are, and how many instances call them.
        """
        if self.stage == 0:
            self.min_concurrency_limit = min(
                MIN_CONCURRENCY_LIMIT, max(1.0, MIN_CALLS_PER_SERVER * servers / balancers)
            )

    def limit_step(self) -> float:
        """By how much one call over its target lowers the limit, in calls."""
        return min(MAX_STEP_FRACTION * self.window, 1 / math.sqrt(self.window))

    def on_within_target(self, busy: float) -> None:
        """Raises the limit for an answer within its target, but only if the limit is nearly used up.

        `busy`: the attempts that counted against the limit before this answer.
        """
        if busy + 1 >= UNRESTRICTED_FRACTION * self.window:
            self.window += (
                0.5
                if self.limit_doubles
                else OVER_TARGET_FRACTION / (1 - OVER_TARGET_FRACTION) * self.limit_step()
            )

    def on_over_target(self) -> None:
        """Lowers the limit for a call that took longer than its target, or was rejected by a full server."""
        self.limit_doubles = False
        self.window = max(self.min_concurrency_limit, self.window - self.limit_step())

    def drop(self) -> float:
        """The fraction of the arriving calls to refuse, from 0 to 1: what exceeds the supported rate."""
        if (
            self.mean_latency.count < MIN_SAMPLES
            or len(self.recent_utilities) < MIN_SAMPLES
            or self.arrival_rate <= 0
        ):
            return 0.0
        supported_rate = (
            self.window / max(self.latency_estimate, 1e-6) * (1 + SUNK_COST_PER_STAGE * self.stage)
        )
        return max(0.0, 1 - supported_rate / self.arrival_rate)

    def update_threshold(self) -> None:
        """Sets the utility threshold so that the fraction `drop()` of the recent calls would be refused."""
        to_refuse = self.drop()
        if to_refuse <= 0:
            self.utility_threshold, self.tie_reject_probability = -math.inf, 0.0
            return
        count = len(self.recent_utilities)
        below = 0.0
        counts: dict[float, int] = {}
        for utility in self.recent_utilities:
            counts[utility] = counts.get(utility, 0) + 1
        for utility in sorted(counts):
            fraction = counts[utility] / count
            if below + fraction >= to_refuse - 1e-12:
                # Many calls have the same utility: of those at the threshold a random part is refused.
                self.utility_threshold, self.tie_reject_probability = utility, (to_refuse - below) / fraction
                return
            below += fraction

    def admits(self, utility: float) -> bool:
        """Whether a call of this utility is accepted; at the threshold itself this is random."""
        if utility == self.utility_threshold:
            return self.random.random() >= self.tie_reject_probability
        return utility > self.utility_threshold
