"""The balancer's decision logic. Its inputs and outputs are defined in granitepoint/interface.py.

Order of the file: tunables, safety rules, servers and server selection, the Balancer with its queue.
All times are in seconds. No I/O, no clock, no mutable globals; randomness comes from a seeded generator.
"""

from __future__ import annotations

import math
from bisect import insort
from random import Random

from granitepoint.admission import (
    MEMORY,
    SLACK,
    Admission,
    Kind,
    Mean,
)
from granitepoint.interface import (
    NEVER_RAN,
    Action,
    Arrival,
    Cancel,
    ClosedAtRest,
    CloseIdle,
    DiscoveryFailed,
    Effect,
    Event,
    Fail,
    Gone,
    ListKind,
    Outcome,
    Probe,
    Probed,
    Refuse,
    Send,
    ServerEntry,
    ServerList,
    ServerState,
    SetTimer,
    Settings,
    Status,
    StreamStarted,
    Timer,
    Watch,
    WatchLost,
    WatchOpened,
)
from granitepoint.membership.backoff import LONGEST_PAUSE, Backoff
from granitepoint.membership.evidence import AT_ONCE, Failure
from granitepoint.membership.health_checks import HealthLeases
from granitepoint.membership.list_lease import ListLease

# -- tunables ------------------------------------------------------------------------------------------
TICK = 0.05  # s between control steps: even the shortest calls worth steering span several
MAX_ENDED_CALL_IDS = 1000  # ids of ended calls that are kept, to recognise repeated arrivals
STALL_THRESHOLD = 4 * TICK  # s between batches above which measured times include this instance's own pause
ANSWER_MARGIN = 2 * TICK  # s before the client's deadline by which a queued call is answered
MIN_LATENCY = 1e-4  # s, lower bound of a measured latency, so that means stay above 0
MAX_LOCAL_POOL_SIZE = 10  # servers of its own zone that an instance uses
MAX_POOL_SIZE = 16  # servers that an instance uses in all zones
PRIOR_COUNT = 8.0  # samples that the prior estimate of a server's capacity counts as
CAPACITY_SAMPLE_DECAY = 0.9  # factor applied to a server's older samples at each new one
CAPACITY_DECAY_TIME = 30.0  # s, time constant of samples without new ones: a slow server is tried again
PROBES_PER_CALL = 0.05  # probes per arriving call; each request makes several calls
MIN_PROBE_RATE = 0.3  # probes per s, so that an idle instance still has load reports of its servers
MAX_LEASE_PROBE_DEBT = 5.0  # regular probes that health checks for leases may use up in advance
INITIAL_PROBES = 8.0  # probes at the start, over all zones: without reports an instance follows the crowd
MAX_PRE_SEND_PRICE = 0.006  # points per call: highest price of the probes sent for that call alone
PRE_SEND_PROBES = 3  # servers probed for one call; more than three current reports gain little
PRE_SEND_WAIT = 0.01  # s that a call waits for the answers to these probes
MAX_REPORT_DELAY = 0.5  # s by which a load report may lag behind: servers refresh it periodically
LOAD_DECAY_RATIO = 10.0  # decay time of a server's smoothed load over that of its last report
ZONE_LOAD_SAMPLES = 10  # reports in a zone's mean load: a few seconds of probes at one call per second
CROSSING_FACTOR = 3.0  # latency objectives that a full price of crossing zones counts as in a server's cost
TAIL_ALLOWANCE = 2.0  # mean latencies that a queued call needs when its turn comes, for long tails
RETRY_RATIO = 0.15  # further attempts per arriving call: a budget stops amplification across the tiers
RETRY_BURST = 5.0  # further attempts that may be sent at once
NEVER_RAN_RETRY_COST = 0.25  # further attempts that one after an attempt that never ran counts as
HEDGE_AGE = 4.0  # mean latencies after which an attempt counts as stuck
HEDGE_RATIO = 0.15  # work of mean calls, per arriving call, that all tiers together may spend on hedges
HEDGE_BURST = 5.0  # work of mean calls that may be spent on hedges at once
MAX_HEDGE_WORK = 20.0  # work of mean calls charged for a hedge: the mean may be a guess or of light calls
HEDGE_TIME_LEFT = 3.0  # mean latencies left when a stuck call is hedged: until then it may be answered
BASE_EJECTION = 0.5  # s, the first ejection; it doubles each time, up to MAX_EJECTION
MAX_EJECTION = 8.0  # s
MAX_EJECTED_SHARE = 0.34  # of the pool, on soft evidence: if more look unhealthy, the cause lies elsewhere
ALIVE_TIMEOUT = 1.0  # s since its last answer, of any kind, within which a server counts as alive
DEAD_AFTER_FAILURES = 3  # connections broken or refused since that answer, after which it counts as dead
FULL_AFTER_CONNECT_FAILURES = 2  # since a good connect, after which a live server is at its connection limit
AT_LIMIT_TIME = 5.0  # s for which a server at its connection limit gets no further connection
ERROR_EXCESS = 0.35  # error share above the pool's from which a server is at fault
FAILURE_SHARE_WEIGHT = 0.3  # weight of the newest answer in the share of a class's calls that a server fails
FAILURE_SHARE_DECAY_TIME = 5.0  # s, time constant of that share, so that the server is tried again
COLD_BUDGET_SHARE = 0.5  # of the allowed multiple of a cold server's capacity, for all instances together
PEAK_RATE_DECAY_TIME = 60.0  # s, of the highest send rate per unit of weight: long against a slow start
STALE_LIST_JITTER = 2.0  # s over which watches are renewed if servers contradict the list: all see it at once
STALE_LIST_INTERVAL = 8.0  # s after a watch or a list in which an instance does not suspect a stale list
MIN_IDLE_AGE = 0.2  # s; the loss of a connection that was used within it has other causes than idleness
IDLE_SAFETY_FACTOR = 0.7  # share of the age at which an idle connection was lost that is still used
IDLE_DOUBLING = 15.0  # s in which the maximum idle age doubles again
HIGH_CONNECT_COST = 1.5  # mean latencies for a new connection, above which an old idle one is risked instead
MIN_CONNECT_COST = 0.3  # mean latencies by which a server with an open connection is preferred at least
CONNECT_COST_SAMPLES = 30  # attempts over which new and open connections are compared
LIST_WAIT_SHARE = 0.4  # share of a call's time for which it waits for a list with a valid lease
MAX_START_DELAY = 2.0  # s, longest period over which all instances spread their first watch
START_DELAY_PER_INSTANCE = 0.02  # s of that period for each instance of each tier
WATCH_PAUSE_FACTOR = 4.0  # longest pause after a failed watch, in multiples of Settings.must_ask_within
ADVICE_FACTOR = 0.25  # latency estimates that a refused client is advised to wait
TICK_TOKEN, PRE_SEND_TOKEN = 1, 2
GOLDEN_RATIO_CONJUGATE = 0.6180339887498949  # its multiples modulo 1 are evenly spread, for any count
MAX_LATENCY_RATIO = 8.0  # most mean latencies that an attempt counts as; a failed one counts as that many


# -- safety rules ----------------------------------------------------------------------------------------
class Attempt:
    """One attempt of a call on one server."""

    __slots__ = (
        "call",
        "cell",
        "charged_to_server",
        "has_slot",
        "hedged",
        "idle_time",
        "load",
        "number",
        "opened",
        "over_target",
        "sent_at",
        "server",
        "stalled_connection",
        "status",
        "zone",
    )

    def __init__(self, call: Call, number: int, server: Server, sent_at: float, load: float) -> None:
        """`load`: the estimated number of calls on the server when this attempt was sent."""
        self.call, self.number, self.server, self.sent_at, self.load = call, number, server, sent_at, load
        self.zone, self.cell = server.zone, server.cell  # copied: a later list may move the server
        self.status = -1  # in flight; later a Status
        self.has_slot = True  # counts toward the concurrency limit
        self.over_target = False  # has been reported to admission control as late
        self.idle_time = 0.0  # s for which the connection had not been used; 0: in use or new
        self.opened = False  # the connection was opened for this attempt
        self.charged_to_server = False  # has been counted against its server
        self.hedged = False
        self.stalled_connection = False  # long overtaken: its connection is at fault, not its server


class Call:
    """A request in progress, with its attempts. Calls sort by utility, highest first, then by arrival."""

    __slots__ = (
        "arrived_at",
        "attempts",
        "cls",
        "deadline",
        "ended",
        "id",
        "in_flight",
        "probe_end",
        "probed_candidates",
        "queued",
        "sort_key",
        "streaming",
        "useful_until",
        "utility",
    )

    def __init__(
        self, id: int, cls: Kind, utility: float, arrived_at: float, deadline: float, useful_until: float
    ) -> None:
        """`useful_until`: when an answer loses its utility, at the latest at the deadline."""
        self.id, self.cls, self.utility, self.arrived_at = id, cls, utility, arrived_at
        self.deadline, self.useful_until = deadline, useful_until
        self.sort_key = (-utility, arrived_at, id)
        self.attempts: list[Attempt] = []
        self.in_flight = 0  # attempts without an outcome
        self.ended = self.streaming = self.queued = False
        self.probed_candidates: list[Server] | None = None  # servers probed for this call alone
        self.probe_end = 0.0  # until when the call waits for their answers

    def __lt__(self, other: Call) -> bool:
        return self.sort_key < other.sort_key


class SafetyRules:
    """Checks and issues every attempt and every final answer, whatever the heuristics ask for: repeated
    execution, deadlines, drained servers, and leases on the list and its servers."""

    def __init__(self, settings: Settings, actions: list[Action]) -> None:
        self.settings = settings
        self.list_lease = ListLease(settings.told_after)
        self.health_leases = HealthLeases(confirmed=not settings.ask_for_list, checkable=settings.may_probe)
        self.actions = actions  # sends and answers are appended to it
        self.calls: dict[int, Call] = {}
        self.ended_ids: dict[int, None] = {}  # ids of the latest ended calls, oldest first

    @staticmethod
    def first_possible_execution(call: Call) -> Attempt | None:
        """The earliest attempt that ran, may have run or may still run."""
        for attempt in call.attempts:
            if attempt.status not in NEVER_RAN:
                return attempt
        return None

    def may_send(self, call: Call, server: Server, now: float) -> bool:
        """Whether an attempt of the call may go to the server now."""
        leased = self.list_lease.valid(now) and self.health_leases.valid(server, now)
        return leased and self.may_send_if_leased(call, server, now)

    def may_send_if_leased(self, call: Call, server: Server, now: float) -> bool:
        """Like `may_send`, without the leases, which a list or a health check may renew at any moment."""
        if call.streaming or now >= call.deadline or server.state is not ServerState.SERVING:
            return False
        if not call.attempts:
            return not call.ended
        if not self.may_attempt_again(call) or (call.in_flight and not self.settings.may_duplicate):
            return False
        first = self.first_possible_execution(call)
        if first is None or call.cls.effect is Effect.REPEATABLE:
            return True
        return self.same_group(call.cls, first, server) and self.dedup_time_left(call, now) > 0

    def dedup_time_left(self, call: Call, now: float) -> float:
        """Seconds for which servers still drop a further attempt as a duplicate of one that may have run. It
        counts from the decision to send that one, slightly before it was sent."""
        first = self.first_possible_execution(call)
        if first is None or call.cls.effect is not Effect.BY_KEY:
            return math.inf
        return first.sent_at + call.cls.window - now

    @staticmethod
    def same_group(cls: Kind, attempt: Attempt, server: Server) -> bool:
        """Whether a server belongs to the group that drops duplicates of an attempt."""
        if cls.group == "all":
            return True
        if cls.group == "zone":
            return attempt.zone == server.zone
        return attempt.zone == server.zone and attempt.cell == server.cell

    def may_refuse(self, call: Call) -> bool:
        """Whether a refusal, which invites the client to try again, is safe."""
        effect = call.cls.effect
        if effect is Effect.REPEATABLE or (effect is Effect.BY_KEY and call.cls.group == "all"):
            return True
        return self.first_possible_execution(call) is None

    def may_attempt_again(self, call: Call) -> bool:
        """Whether a further attempt could still be allowed, on some server."""
        if call.ended or call.streaming or len(call.attempts) >= self.settings.max_attempts:
            return False
        return call.cls.effect is not Effect.ONCE or self.first_possible_execution(call) is None

    def send(
        self, call: Call, server: Server, now: float, timeout: float, load: float, max_idle: float = math.inf
    ) -> Attempt | None:
        """Sends an attempt, or returns None where the rules forbid it. `timeout` (s) is cut to the deadline;
        connections that have been idle for more than `max_idle` (s) are not used."""
        if not self.may_send(call, server, now):
            return None
        dedup_time_left = self.dedup_time_left(call, now)
        attempt = Attempt(call, len(call.attempts), server, now, load)
        call.attempts.append(attempt)
        call.in_flight += 1
        attempt_timeout = max(TICK / 10, min(timeout, call.deadline - now))
        self.actions.append(Send(call.id, server.id, attempt_timeout, max_idle, dedup_time_left))
        return attempt

    def answer(self, call: Call, retry_after: float = 0.0) -> None:
        """Gives the final answer: a refusal where a further try is harmless, else a failure. `retry_after`:
        seconds that a refused client is advised to wait; 0: no advice."""
        if call.ended:
            return
        if self.may_refuse(call):
            self.actions.append(Refuse(call.id, retry_after))
        else:
            self.actions.append(Fail(call.id))
        self.end(call)

    def refuse_invalid(self, id: int) -> None:
        """Refuses an arrival that cannot become a call: its class is unknown or it has no time left."""
        self.actions.append(Refuse(id))
        self.record_ended(id)

    def record_ended(self, id: int) -> None:
        """Keeps the id of an ended call, so that a repeated arrival is ignored."""
        self.ended_ids[id] = None
        if len(self.ended_ids) > MAX_ENDED_CALL_IDS:
            del self.ended_ids[next(iter(self.ended_ids))]

    def end(self, call: Call) -> None:
        """Marks a call as answered, or as abandoned by its client."""
        call.ended = True
        self.remove_if_done(call)

    def finish_attempt(self, attempt: Attempt, status: int, final: bool) -> None:
        """Records how an attempt ended. `final`: its answer has gone to the client, which ends the call."""
        call = attempt.call
        if attempt.status < 0:
            call.in_flight -= 1
        attempt.status = status
        if final:
            call.ended = True
        self.remove_if_done(call)

    def remove_if_done(self, call: Call) -> None:
        """Removes a call that has ended and has no attempt in flight."""
        if call.ended and not call.in_flight:
            self.calls.pop(call.id, None)
            self.record_ended(call.id)


# -- servers ---------------------------------------------------------------------------------------------
class Server:
    """A listed server and what this instance has learned of it."""

    def __init__(self, entry: ServerEntry, slow_start_tokens: float) -> None:
        self.id = entry.server
        self.slow_start_tokens = slow_start_tokens  # attempts that may be sent to it while it is cold
        self.update(entry)
        self.in_flight = 0  # attempts of this instance
        self.ejected_until = 0.0  # 0: in use
        self.ejections = 0  # in a row, which set the length of the next one
        self.on_probation = False  # readmitted after an ejection: one call at a time until one succeeds
        self.last_ok = 0.0  # when its last successful answer to a call came
        self.probe_out = False
        self.probed_at = -math.inf
        self.reset_statistics()

    def update(self, entry: ServerEntry) -> None:
        """Takes over what the list says of the server."""
        self.zone, self.cell, self.state = entry.zone, entry.cell, entry.state
        self.weight, self.started_at = max(entry.weight, 1e-3), entry.started_at
        self.slow_start_from = entry.started_at

    def reset_statistics(self) -> None:
        """Discards what was learned, for a new or restarted process."""
        self.last_answer_at = -math.inf  # to a call or a probe, whatever it said
        self.broken_connections = 0  # connections broken or refused since that answer
        self.newest_served_sent_at = -math.inf  # when the newest of the calls that it has served was sent
        self.load_sum = self.latency_sum = 0.0  # decaying sums over the capacity samples
        self.error_share = 0.0  # moving average
        self.failure_shares: dict[str, tuple[float, float]] = {}  # by class: share of failures, as of when
        self.smoothed_load = self.reported_load = 0.0  # calls: moving average of the reports; the last report
        self.reported_at = -math.inf
        self.net_sends_since_report = 0  # own sends minus own answers
        self.slow_streak = 0  # stuck or timed-out attempts in a row
        self.used_at = -math.inf  # the last send or answer
        self.checked_at = -math.inf  # when the last health check that it passed was sent
        self.call_limit, self.call_limit_until = 0, 0.0  # applies while it is at its connection limit
        self.connect_failures = 0  # failed connects since the last one that served
        self.failed_probe_streak = 0


class Servers:
    """The listed servers, the pool that this instance uses, server health and server selection."""

    def __init__(self, settings: Settings, random: Random) -> None:
        self.settings = settings
        self.random = random
        self.known: dict[int, Server] = {}
        self.pool: list[Server] = []
        self.mean_load = Mean(1.0)
        self.zone_load: dict[str, Mean] = {}  # reported calls per unit of weight
        self.error_share = Mean(0.0)
        self.send_rate = self.peak_rate = 0.0  # attempts per s; their peak per s and unit of weight
        self.pool_weight = 0.0  # weight of the pool, smoothed
        self.mean_latency = 0.1  # s, of a call
        self.latency_objective = max(cls.aim for cls in settings.classes)  # s
        self.max_idle_age = settings.conn_idle  # s without use after which a connection is not relied on
        self.open_latency, self.new_latency = Mean(1.0), Mean(1.0)  # by connection, in mean latencies

    def apply_list(self, event: ServerList, now: float) -> None:
        """Updates the known servers and the pool from a list; a failed one changes nothing."""
        if event.kind is ListKind.FAILED:
            return
        listed_ids = set()
        for entry in event.entries:
            listed_ids.add(entry.server)
            server = self.known.get(entry.server)
            if server is None:
                if entry.state is not ServerState.GONE:
                    self.known[entry.server] = Server(entry, self.random.random())
                continue
            restarted = entry.started_at > server.started_at
            slow_start_from = server.slow_start_from
            server.update(entry)
            if restarted:
                server.reset_statistics()
                server.slow_start_tokens = self.random.random()
                server.ejected_until, server.on_probation = 0.0, False
            else:
                server.slow_start_from = max(slow_start_from, entry.started_at)
        if event.kind is not ListKind.INCREMENTAL:
            for server in self.known.values():
                if server.id not in listed_ids:
                    server.state = ServerState.GONE
        for server in [s for s in self.known.values() if s.state is ServerState.GONE and not s.in_flight]:
            del self.known[server.id]
        self.rebuild_pool(now)

    def rebuild_pool(self, now: float) -> None:
        """Selects a bounded pool, so that probes and connections do not grow as instances x servers. Each
        zone's servers form a ring; instances start at positions spread evenly by their number."""
        zones: dict[str, list[Server]] = {}
        for id in sorted(self.known):
            server = self.known[id]
            if server.state is ServerState.SERVING:
                zones.setdefault(server.zone, []).append(server)
        position = self.settings.me * GOLDEN_RATIO_CONJUGATE % 1.0
        pool: list[Server] = []
        others: list[list[Server]] = []
        for zone in sorted(zones):
            ring = zones[zone]
            start = int(position * len(ring))
            ring = ring[start:] + ring[:start]
            ring = [s for s in ring if not s.ejected_until] + [s for s in ring if s.ejected_until]
            if zone == self.settings.zone:
                pool = ring[:MAX_LOCAL_POOL_SIZE]
            else:
                others.append(ring)
        index = 0
        while len(pool) < MAX_POOL_SIZE and any(len(ring) > index for ring in others):
            for ring in others:
                if len(ring) > index and len(pool) < MAX_POOL_SIZE:
                    pool.append(ring[index])
            index += 1
        self.pool = pool

    def decay_capacity(self, span: float) -> None:
        """Lets the capacity samples decay over `span` s. Otherwise a few slow answers, whatever their cause,
        would keep a server without calls for good. Cost: a slow server gets a call now and then."""
        factor = math.exp(-span / CAPACITY_DECAY_TIME)
        for server in self.pool:
            server.load_sum *= factor
            server.latency_sum *= factor

    def slow_start_share(self, server: Server, now: float) -> float:
        """Share of its full capacity that a server has by now: it warms up at least linearly."""
        age = now - server.slow_start_from
        if server.slow_start_from <= 0 or age >= self.settings.cold_for:
            return 1.0
        initial_share = self.settings.cold_from
        return initial_share + (1 - initial_share) * max(0.0, age) / self.settings.cold_for

    def refill_slow_start_tokens(self, now: float, span: float) -> None:
        """Refills the tokens of cold servers over `span` s. A cold server looks idle to all instances: each
        may send no more than its fair share of what the server can serve by now, so that all together stay
        within the budget of any time window."""
        size = sum(server.weight for server in self.pool)
        multiple = COLD_BUDGET_SHARE * self.settings.fall_multiple
        # Smoothed like the send rate: what went to many servers is no measure of what the few left can serve.
        self.pool_weight += (size - self.pool_weight) * (min(1.0, span / MEMORY) if self.pool_weight else 1.0)
        # The peak, not the current rate: otherwise few sends would allow even fewer, and a fleet in a rolling
        # restart would stay cold.
        current_rate = self.send_rate / self.pool_weight if self.pool_weight else 0.0
        self.peak_rate = max(current_rate, self.peak_rate * (1 - span / PEAK_RATE_DECAY_TIME))
        for server in self.pool:
            share = self.slow_start_share(server, now)
            if share < 1:
                rate = self.peak_rate * server.weight * share * multiple
                server.slow_start_tokens = min(1.0 + rate * TICK, server.slow_start_tokens + rate * span)

    @property
    def mean_weight(self) -> float:
        """Mean weight of the pool, which must not be empty."""
        return sum(server.weight for server in self.pool) / len(self.pool)

    def usable(self, server: Server, now: float) -> bool:
        """Whether a server's health, connection limit and slow start allow a further attempt now."""
        if server.state is not ServerState.SERVING or server.ejected_until:
            return False
        if server.on_probation and server.in_flight:
            return False
        if server.in_flight >= server.call_limit and now < server.call_limit_until:
            return False
        return server.slow_start_tokens >= 1 or self.slow_start_share(server, now) >= 1

    def load(self, server: Server, now: float) -> float:
        """Estimated number of calls on a server. What is unknown or outdated is taken from its zone's mean:
        where calls and so reports are few, servers that were not probed would look idle and get crowded.
        Cost: one busy server makes its unprobed neighbours look busy too."""
        decay_time = 2 * self.mean_latency + TICK
        zone = self.zone_load.get(server.zone)
        expected = server.smoothed_load
        if zone is not None:
            age = server.reported_at - now  # negative
            expected = zone.value * server.weight
            expected += (server.smoothed_load - expected) * math.exp(age / (LOAD_DECAY_RATIO * decay_time))
        load = expected + server.net_sends_since_report
        if server.reported_load != expected:
            load += (server.reported_load - expected) * math.exp((server.reported_at - now) / decay_time)
        return max(load, server.in_flight)

    def record_failure_share(self, server: Server, cls: Kind, failed: bool, now: float) -> None:
        """Adds the newest answer to the share of a class's calls that a server fails."""
        share = self.failure_share(server, cls, now)
        server.failure_shares[cls.name] = share + (failed - share) * FAILURE_SHARE_WEIGHT, now

    def failure_share(self, server: Server, cls: Kind, now: float) -> float:
        """Share of a class's calls that a server fails; it decays while there are no answers."""
        share, at = server.failure_shares.get(cls.name, (0.0, now))
        return share * math.exp((at - now) / FAILURE_SHARE_DECAY_TIME)

    def pool_failure_share(self, cls: Kind, now: float) -> float:
        """Mean failure share of the pool for a class. A server that rejects or fails one kind of request (bad
        version, a limit, its own data store down), at once or slowly, may serve other classes well and so
        look idle and fast: its excess over this mean keeps calls away. What all servers fail counts against
        none. Cost: under overload, chance makes some servers look worse."""
        return sum(self.failure_share(server, cls, now) for server in self.pool) / max(1, len(self.pool))

    def pick(self, call: Call, safety_rules: SafetyRules, now: float) -> tuple[Server, float] | None:
        """The cheapest server that may take an attempt of the call, and its load; None if there is none. The
        cost is in mean latencies: the expected latency plus penalties."""
        best: Server | None = None
        best_cost = best_load = math.inf
        tried = {attempt.server.id for attempt in call.attempts}
        mean_weight = self.mean_weight if self.pool else 1.0
        crossing = CROSSING_FACTOR * self.settings.price_crossing * self.latency_objective / self.mean_latency
        connect_cost = self.connect_cost
        zone = self.settings.zone
        prior = PRIOR_COUNT * self.mean_load.value / mean_weight
        pool_share = self.pool_failure_share(call.cls, now)
        for server in self.pool:
            if not self.usable(server, now):
                continue
            load = self.load(server, now)
            cost = (load + 1) * (PRIOR_COUNT + server.latency_sum) / (prior * server.weight + server.load_sum)
            if server.slow_start_from > 0:
                cost /= self.slow_start_share(server, now)
            if server.zone != zone:
                cost += crossing
            if not server.in_flight and now - server.used_at > self.max_idle_age:
                cost += connect_cost
            if server.id in tried:
                cost += MAX_LATENCY_RATIO
            cost += MAX_LATENCY_RATIO * max(0.0, self.failure_share(server, call.cls, now) - pool_share)
            cost *= 1 + 0.01 * self.random.random()
            if cost < best_cost and safety_rules.may_send(call, server, now):
                best, best_cost, best_load = server, cost, load
        return (best, best_load) if best is not None else None

    def no_server_left(self, call: Call, safety_rules: SafetyRules, now: float) -> bool:
        """Whether no server can take a further attempt of a call that may have run: its group has none left,
        its deduplication window is over, or the remaining servers return from ejection too late. A call that
        never ran may go to any server that is listed later, and waits like a new one."""
        return safety_rules.first_possible_execution(call) is not None and not any(
            server.ejected_until < call.useful_until and safety_rules.may_send_if_leased(call, server, now)
            for server in self.pool
        )

    # connections
    def idle_time(self, server: Server, now: float) -> float:
        """Seconds since the connection to a server was used; 0: it is in use, or there is none."""
        age = now - server.used_at
        return 0.0 if server.in_flight or age >= self.settings.conn_idle else age

    def has_open_connection(self, server: Server, now: float) -> bool:
        """Whether a connection to the server is in use, or was used recently enough to be relied on."""
        return server.in_flight > 0 or now - server.used_at <= self.max_idle_age

    @property
    def connect_cost(self) -> float:
        """Mean latencies that a new connection adds, as measured; with few samples it errs by a few tenths.
        Keeps calls on open connections where handshakes are slow, whatever the cause. Cost: they crowd fewer
        servers, so it is only added to the cost of the load."""
        return max(MIN_CONNECT_COST, self.new_latency.value - self.open_latency.value)

    def detect_idle_drop(self, attempt: Attempt, reset: bool) -> bool:
        """Whether an attempt failed because its idle connection had been dropped unnoticed on the way, and so
        was reset at once (`reset`) or never answered. The connection is at fault then: the server stays, and
        connections of that age are closed before use. Cost: if the server was at fault after all, it gets one
        more call, and some good connections are opened anew."""
        if attempt.idle_time < MIN_IDLE_AGE or (not reset and attempt.server.last_ok >= attempt.sent_at):
            return False  # not idle for long, or just a slow call: the server has answered others since
        self.lower_max_idle_age(attempt.idle_time)
        return True

    def lower_max_idle_age(self, idle_time: float) -> None:
        """Learns from a connection that was lost after `idle_time` s without use. Where idle connections are
        closed at some age, a call sent at about that age fails. A close seen while idle reveals the age at no
        call's cost; one sooner than MIN_IDLE_AGE has other causes than idleness."""
        if idle_time >= MIN_IDLE_AGE:
            self.max_idle_age = max(MIN_IDLE_AGE, min(self.max_idle_age, IDLE_SAFETY_FACTOR * idle_time))

    def alive(self, server: Server, now: float) -> bool:
        """Whether a server has answered so recently that a broken connection is no sign against it. Resets
        hit connections one by one (a network that drops them, a middlebox, a worker or listener that restarts
        behind the address): taken for dead servers they emptied the pool, although all that was sent was
        answered. A process that died breaks several at once and answers none: it is ejected at the third.
        Cost: one that dies with few calls in flight gets up to two more, which are refused at once."""
        return now - server.last_answer_at < ALIVE_TIMEOUT and server.broken_connections < DEAD_AFTER_FAILURES

    # health
    def record_answer(self, server: Server, now: float) -> None:
        """Notes that a server answered a call or a probe, whatever it said."""
        server.last_answer_at, server.broken_connections = now, 0

    def eject(self, server: Server, now: float, hard: bool) -> bool:
        """Takes a server out of use for a while, unless it is already; `hard`: on firm evidence."""
        if server.ejected_until:
            return False
        # When everything is slow, no single server is at fault.
        if not hard and sum(1 for s in self.pool if s.ejected_until) + 1 > MAX_EJECTED_SHARE * len(self.pool):
            return False
        length = min(MAX_EJECTION, BASE_EJECTION * 2**server.ejections)
        server.ejections += 1
        server.ejected_until = now + length * (0.75 + 0.5 * self.random.random())
        server.on_probation = False
        return True

    def readmit(self, server: Server, now: float) -> None:
        """Ends an ejection: the server is used again, on probation."""
        server.ejected_until = 0.0
        server.on_probation = True
        server.error_share = 0.0
        server.slow_streak = server.failed_probe_streak = 0
        server.net_sends_since_report = server.in_flight

    def record_report(self, server: Server, report: dict[str, float] | None, now: float) -> None:
        """Takes over a load report; one without a finite `busy_reqs` of at least 0 is ignored."""
        load = report.get("busy_reqs") if report else None
        if load is None or not 0 <= load < math.inf:
            return
        server.smoothed_load += (load - server.smoothed_load) * (0.3 if server.reported_at > 0 else 1.0)
        server.reported_load = load
        zone = self.zone_load.setdefault(server.zone, Mean(0.0))
        zone.add(load / server.weight, ZONE_LOAD_SAMPLES)
        server.reported_at = now
        server.net_sends_since_report = 0


# -- the balancer ----------------------------------------------------------------------------------------
class Balancer:
    """One instance. `handle` takes in all events of a batch, then queues, then dispatches the worthiest."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.actions: list[Action] = []
        self.gate = SafetyRules(settings, self.actions)
        self.list_lease, self.health = self.gate.list_lease, self.gate.health_leases
        self.kinds = {cls.name: Kind(cls, settings.stage) for cls in settings.classes}
        self.admission = Admission(settings.stage, self.random)
        self.servers = Servers(settings, self.random)
        self.quota = {t.name: t.quota_per_s / settings.balancers for t in settings.tenants}
        self.quota_left = {name: quota for name, quota in self.quota.items()}
        self.queue: list[Call] = []
        self.out: dict[tuple[int, int], Attempt] = {}
        self.busy = 0  # attempts that take a place in W
        self.arrivals = self.sends = 0
        self.retry_tokens = RETRY_BURST
        self.rescue_tokens = HEDGE_BURST
        self.probe_tokens = INITIAL_PROBES
        self.asks = settings.may_probe and PRE_SEND_PROBES * settings.price_probe <= MAX_PRE_SEND_PRICE
        self.now = 0.0
        self.last_step = -1.0
        self.stalled = False  # this batch comes after a pause of the instance's own
        self.timer_set = False
        self.watching = not settings.ask_for_list
        self.watch_at = -1.0
        self.asked_at = 0.0  # the begin of the last call of a watch, as far as known
        longest_pause = min(LONGEST_PAUSE, WATCH_PAUSE_FACTOR * settings.must_ask_within)
        instances = settings.balancers * settings.stages
        place = (settings.me + settings.stage / settings.stages) * GOLDEN_RATIO_CONJUGATE % 1.0
        self.backoff = Backoff(self.random, longest_pause, instances, place)
        self.told_at = 0.0  # the last list, or the start of a watch
        self.doubt_at = math.inf  # when to ask although a watch is on

    def handle(self, now: float, events: list[Event]) -> list[Action]:
        self.now = now
        self.stalled = 0 <= self.last_step < now - STALL_THRESHOLD
        self.actions.clear()
        fresh: list[Call] = []
        for event in events:
            if type(event) is Outcome:
                self.on_outcome(event)
            elif type(event) is Arrival:
                self.on_arrival(event, fresh)
            elif type(event) is Timer:
                if event.token == TICK_TOKEN:
                    self.timer_set = False
            elif type(event) is Probed:
                self.on_probed(event)
            elif type(event) is ServerList:
                self.on_list(event)
            elif type(event) is WatchLost:
                self.on_watch_lost(event)
            elif type(event) is WatchOpened:
                self.list_lease.watching(event.begun, event.hold)
            elif type(event) is DiscoveryFailed:
                self.asked_at = event.begun
                self.list_lease.failed(event.failure, event.begun, event.ended, event.beside)
            elif type(event) is ClosedAtRest:
                self.servers.lower_max_idle_age(event.rested)
            elif type(event) is Gone:
                self.on_gone(event)
            elif type(event) is StreamStarted:
                self.on_stream(event)
        if self.last_step < 0:
            self.start()
        elif now - self.last_step >= TICK - 1e-9:
            self.step()
        for call in fresh:
            if not call.ended:  # the client may leave within the batch that it came in
                self.admit(call)
        if self.list_lease.valid(now):
            self.dispatch()
        else:
            self.wait_for_list()
        self.shrink()
        if not self.timer_set:
            self.timer_set = True
            self.actions.append(SetTimer(TICK, TICK_TOKEN))
        return list(self.actions)

    def start(self) -> None:
        self.last_step = self.now
        # Discovery is small and all instances may start at once: the first call is spread out.
        instances = self.settings.balancers * self.settings.stages
        spread = min(MAX_START_DELAY, START_DELAY_PER_INSTANCE * instances, self.settings.must_ask_within / 4)
        self.watch_at = self.now + self.random.random() * spread

    # events
    def on_watch_lost(self, event: WatchLost) -> None:
        self.health.lose(self.now, event.told_within)
        if event.moved:
            self.list_lease.move(self.now)
        elif event.silent:
            self.list_lease.silent(self.now)

    def on_list(self, event: ServerList) -> None:
        if event.kind is ListKind.FAILED:
            self.health.lose(self.now, math.inf)
            self.watching = False
            waited = self.now - self.asked_at
            failure = event.failure or (Failure.AT_ONCE if waited <= AT_ONCE else Failure.WAITED)
            self.watch_at = self.now + self.backoff.failed(failure, self.now)
        else:
            if event.kind is not ListKind.SAVED:
                self.health.confirm()
                written_after = self.now if event.written_after is None else event.written_after
                self.list_lease.listed(written_after, self.now, event.ends_watch)
                self.backoff.succeeded(event.turn)
                self.told_at, self.doubt_at = self.now, math.inf
            self.servers.apply_list(event, self.now)
            self.admission.set_least(len(self.servers.known), self.settings.balancers)

    def on_arrival(self, event: Arrival, fresh: list[Call]) -> None:
        if event.call in self.gate.calls or event.call in self.gate.ended_ids:
            return
        cls = self.kinds.get(event.cls)
        if cls is None or not 0 < event.budget < math.inf:
            self.gate.refuse_invalid(event.call)
            return
        self.arrivals += 1
        now = self.now
        worth = cls.worth
        if self.settings.worth_by_work and event.work > 0:
            worth *= event.work
        if self.settings.stage == 0 and event.tenant in self.quota:
            if self.quota_left[event.tenant] >= 1:
                self.quota_left[event.tenant] -= 1
            else:
                worth *= self.settings.over_share_worth
        # What the client said, not what is left of it: a pause of this instance is no wait of the client's.
        stated = event.stated if 0 < event.stated < math.inf else event.budget
        left = self.aim_left(cls, stated, event.resent)
        useful = event.budget if cls.late_counts else min(event.budget, left)
        call = Call(event.call, cls, worth, now, now + event.budget, now + useful)
        self.gate.calls[call.id] = call
        self.admission.history.append(worth)
        self.retry_tokens = min(RETRY_BURST, self.retry_tokens + RETRY_RATIO)
        self.rescue_tokens = min(HEDGE_BURST, self.rescue_tokens + HEDGE_RATIO / self.settings.stages)
        fresh.append(call)

    def admit(self, call: Call) -> None:
        # W grows only while it is what limits. A cut that keeps it from filling would keep itself in force.
        slack = self.busy + len(self.queue) + 1 <= SLACK * self.admission.window
        if (slack or self.admission.admits(call.utility)) and call.useful_until > self.now:
            self.hold(call)
        else:
            self.refuse(call)

    def aim_left(self, cls: Kind, budget: float, resent: bool) -> float:
        """What is left of the aim. An inner call's budget is what its caller's instance left it: its useful
        time. At the first tier a budget below the usual one tells that the client's whole time runs out, so
        how long it has waited over its earlier tries. Guards against work for answers that come too late,
        and (the median, not the longest) against a few odd budgets making every first try look late. Where
        clients mark their retries, one that is not marked has not waited, however short its budget. Harm: a
        client that forgets the mark gets work that comes too late."""
        first = self.settings.clients_mark_retries and not resent
        usual = cls.usual_budget(budget)  # also learned from first tries
        if self.settings.stage or first or budget >= usual - TICK:
            return cls.aim
        return cls.aim - (cls.deadline - budget)

    def hold(self, call: Call) -> None:
        call.queued = True
        insort(self.queue, call)

    def advice(self) -> float:
        """When a refused client should come back: by then the calls that fill W now have been answered. A
        client that is told nothing comes back sooner, into the same crowd."""
        if not self.settings.may_advise_wait:
            return 0.0
        return min(self.settings.max_wait_advice, max(TICK, ADVICE_FACTOR * self.admission.proc))

    def refuse(self, call: Call) -> None:
        self.gate.answer(call, self.advice())

    def on_gone(self, event: Gone) -> None:
        call = self.gate.calls.get(event.call)
        if call is None or call.ended:
            return
        if call.queued:
            self.queue.remove(call)
            call.queued = False
        self.gate.end(call)
        self.cancel_others(call)

    def cancel_others(self, call: Call) -> None:
        if call.in_flight and self.settings.may_cancel and not call.streaming:
            for attempt in call.attempts:
                if attempt.status < 0:
                    self.actions.append(Cancel(call.id, attempt.number))

    def on_stream(self, event: StreamStarted) -> None:
        attempt = self.out.get((event.call, event.attempt))
        if attempt is not None:
            attempt.call.streaming = True
            if attempt.has_slot:
                attempt.has_slot = False
                self.busy -= 1

    def on_outcome(self, event: Outcome) -> None:
        attempt = self.out.pop((event.call, event.attempt), None)
        if attempt is None:
            return
        call, server, cls, now = attempt.call, attempt.server, attempt.call.cls, self.now
        status = event.status
        busy = self.busy
        server.in_flight -= 1
        if status != Status.MOOT:
            server.net_sends_since_report -= 1
        if status == Status.OK:
            server.used_at = now
        if attempt.has_slot:
            self.busy -= 1
        if event.rested is not None:
            attempt.idle_time, attempt.opened = event.rested, event.rested <= 0
        was_ended = call.ended
        self.gate.finish_attempt(attempt, status, event.final)
        self.servers.record_report(server, event.report, now)
        self.learn(attempt, status, event.elapsed, busy)
        if call.ended:
            if not was_ended:
                if call.queued:
                    self.queue.remove(call)
                    call.queued = False
                self.cancel_others(call)
            return
        if call.in_flight or call.queued:
            return
        left = call.useful_until - now
        # What never ran has multiplied no work; in an inner tier giving it up wastes the work above.
        price = NEVER_RAN_RETRY_COST if status in NEVER_RAN else 1.0
        if self.gate.may_attempt_again(call) and left > cls.mean.value and self.retry_tokens >= price:
            self.retry_tokens -= price
            self.hold(call)
        else:
            self.refuse(call)

    def learn(self, attempt: Attempt, status: int, elapsed: float, busy: int) -> None:
        """What an outcome says of procQ, W and the server."""
        cls, server, admission, servers = attempt.call.cls, attempt.server, self.admission, self.servers
        now = self.now
        if status in (Status.CANCELLED, Status.MOOT):
            return
        if self.stalled and status in (Status.OK, Status.TIMEOUT):
            # The instance stood still: what looks slow or overdue was answered long ago. Guards against
            # reading one's own pause as slow servers, closing W and ejecting them. Harm: what was slow
            # meanwhile is learned a turn later.
            if status == Status.OK:
                server.last_ok = now
                servers.record_answer(server, now)
            return
        if attempt.stalled_connection and status == Status.TIMEOUT:
            return
        elapsed = max(elapsed, MIN_LATENCY)
        ok = status == Status.OK
        own = servers.failure_share(server, cls, now) > servers.pool_failure_share(cls, now) + ERROR_EXCESS
        if ok or status in (Status.ERROR, Status.FULL):
            servers.record_answer(server, now)
            servers.record_failure_share(server, cls, not ok, now)
        broken = status in (Status.CONNECT_FAILED, Status.RESET)
        server.broken_connections += broken
        lost = status == Status.RESET and servers.detect_idle_drop(attempt, reset=True)
        excused = broken and (lost or servers.alive(server, now))
        if ok or (status == Status.TIMEOUT and not server.ejected_until):
            admission.observe_latency(elapsed)
            cls.took(elapsed)
        # An error tells nothing of how much the servers can hold: most come from a tier below, for a reset or
        # a refusal there. Counted as a bad sign, one call failing in eight kept W shut on sound servers.
        if ok and elapsed <= cls.target:
            admission.good(busy)
        elif status == Status.FULL and own:
            pass  # this server's own fault too
        elif broken and attempt.over_target and not attempt.stalled_connection:
            admission.window += admission.step()  # a broken connection, not a crowd, kept it so long
        elif status == Status.TIMEOUT and elapsed < cls.target:
            pass  # it had less time than an answer may take
        elif not attempt.over_target and attempt.has_slot and (ok or status in (Status.TIMEOUT, Status.FULL)):
            admission.bad()
        # capacity: calls held against latency in units of the class's mean
        latency = elapsed / cls.mean.value
        if ok or (status == Status.CONNECT_FAILED and elapsed > 0.1 * cls.mean.value):
            spent = min(MAX_LATENCY_RATIO, latency + (not ok))
            (servers.new_latency if attempt.opened else servers.open_latency).add(spent, CONNECT_COST_SAMPLES)
        if not ok:
            # A fast-failing server looks idle: a failure counts as a slow answer.
            latency = MAX_LATENCY_RATIO
        # What was only the connection's fault tells nothing of its server's pace.
        if status not in (Status.FULL, Status.CONNECT_FAILED) and not excused:
            latency = min(latency, MAX_LATENCY_RATIO)
            server.latency_sum = server.latency_sum * CAPACITY_SAMPLE_DECAY + latency
            server.load_sum = server.load_sum * CAPACITY_SAMPLE_DECAY + attempt.load + 1
            servers.mean_load.add(attempt.load + 1, 100)
        failed = status in (Status.ERROR, Status.RESET)
        server.error_share += (failed - server.error_share) * 0.2
        servers.error_share.add(float(failed), 100)
        if ok:
            server.last_ok = now
            server.newest_served_sent_at = max(server.newest_served_sent_at, attempt.sent_at)
            if attempt.opened:
                server.connect_failures = 0
            server.slow_streak = server.failed_probe_streak = 0
            if server.on_probation:
                server.on_probation = False
            elif server.ejections and not server.ejected_until:
                server.ejections = 0
        elif broken:
            if not excused:
                self.eject(server, hard=True)
            elif status == Status.CONNECT_FAILED:
                # It answers others of ours, so it has no room for a further connection: ejecting it would
                # push its calls, and connections, onto the rest. Use what is open. One failure may be chance.
                server.connect_failures += 1
                if server.connect_failures >= FULL_AFTER_CONNECT_FAILURES:
                    server.call_limit, server.call_limit_until = max(1, server.in_flight), now + AT_LIMIT_TIME
            failed = False  # nothing was answered: no sign of one that fails what it gets
        elif status == Status.TIMEOUT:
            servers.detect_idle_drop(attempt, reset=False)
            server.slow_streak += 1
            if server.on_probation or (server.slow_streak >= 3 and server.last_ok < attempt.sent_at):
                self.eject(server, hard=False)
        if failed and (server.on_probation or server.error_share > servers.error_share.value + ERROR_EXCESS):
            self.eject(server, hard=False)

    def eject(self, server: Server, hard: bool) -> None:
        if not self.servers.eject(server, self.now, hard):
            return
        for attempt in self.out.values():
            if attempt.server is server and attempt.has_slot:
                attempt.has_slot = False
                self.busy -= 1
        self.servers.rebuild_pool(self.now)

    def on_probed(self, event: Probed) -> None:
        server = self.servers.known.get(event.server)
        if server is None:
            return
        server.probe_out = False
        if event.status == Status.OK:
            server.checked_at = server.probed_at
            self.servers.record_answer(server, self.now)
            server.failed_probe_streak = 0
            self.servers.record_report(server, event.report, self.now)
            if server.ejected_until and self.now >= server.ejected_until:
                self.servers.readmit(server, self.now)
                self.servers.rebuild_pool(self.now)
        elif event.status != Status.FULL:
            if event.status == Status.ERROR:
                server.checked_at = -math.inf  # it answered, and drains or is ill
            server.failed_probe_streak += 1
            if server.ejected_until:
                if event.status in (Status.CONNECT_FAILED, Status.ERROR):
                    self.doubt()
                server.ejected_until = self.now + min(MAX_EJECTION, BASE_EJECTION * 2**server.ejections)
                server.ejections = min(server.ejections + 1, 6)
            elif server.failed_probe_streak >= 2 and server.last_ok < self.now - self.servers.mean_latency:
                self.eject(server, hard=True)

    # the control step
    def step(self) -> None:
        now = self.now
        span = now - self.last_step
        self.last_step = now
        admission, servers = self.admission, self.servers
        admission.observe_rate(self.arrivals, span)
        servers.send_rate += (self.sends / span - servers.send_rate) * min(1.0, span / MEMORY)
        self.arrivals = self.sends = 0
        for name, quota in self.quota.items():
            self.quota_left[name] = min(max(1.0, quota), self.quota_left[name] + quota * span)
        for cls in self.kinds.values():
            cls.learn_base(span)
        self.watch()
        self.watch_ages()
        if admission.latency.count:
            servers.mean_latency = max(admission.latency.value, 1e-3)
        servers.refill_slow_start_tokens(now, span)
        servers.decay_capacity(span)
        servers.max_idle_age = min(self.settings.conn_idle, servers.max_idle_age * (1 + span / IDLE_DOUBLING))
        self.probe(span)
        admission.set_cut()

    def watch(self) -> None:
        if (not self.watching and self.now >= self.watch_at) or self.now >= self.doubt_at:
            self.watching = True
            self.asked_at = self.told_at = self.now
            self.doubt_at = math.inf
            self.actions.append(Watch(True))

    def doubt(self) -> None:
        """A listed server that goes on refusing contradicts the list, and nothing was told for a while: the
        watch may be held by what no longer answers. A new one tells at once what was missed. Guards against
        watches that hang or are lost unseen, and lists that are late. Harm: where servers crash, each
        instance that sees it asks once more in DOUBT_SPACING, spread out."""
        if self.settings.ask_for_list and self.watching and math.isinf(self.doubt_at):
            soonest = max(self.now, self.told_at + STALE_LIST_INTERVAL)
            self.doubt_at = soonest + self.random.random() * STALE_LIST_JITTER

    def watch_ages(self) -> None:
        """A hung server finishes nothing: the calls that are out tell by their age."""
        now = self.now
        total = counted = 0.0
        stuck: list[Attempt] = []
        for attempt in self.out.values():
            age = now - attempt.sent_at
            cls = attempt.call.cls
            if age > HEDGE_AGE * cls.mean.value and self.overtaken(attempt):
                self.lose(attempt)
            if attempt.has_slot:
                total += age
                counted += 1
                if not attempt.over_target and age > cls.target:
                    attempt.over_target = True
                    self.admission.bad()
            if age > HEDGE_AGE * cls.mean.value and not attempt.hedged:
                stuck.append(attempt)
        self.admission.age = total / counted if counted else 0.0
        for attempt in stuck:
            server, cls = attempt.server, attempt.call.cls
            known = cls.mean.count > 0
            if server.last_ok < attempt.sent_at and not server.ejected_until and not attempt.charged_to_server:
                attempt.charged_to_server = True
                server.slow_streak += 1
                if server.slow_streak >= 2 or server.on_probation:
                    self.eject(server, hard=False)
            # Before its first answer an instance knows nothing of what lies below, and the further attempts
            # of all that have just started multiply along a chain. Harm: first calls on a hung server stay.
            if known or now - attempt.sent_at > cls.target:
                self.rescue(attempt)

    def overtaken(self, attempt: Attempt) -> bool:
        """Whether its server has served what was sent after it, or reports fewer calls in hand than this
        instance alone has out there; it is asked where its last report says nothing of this attempt."""
        server = attempt.server
        if attempt.stalled_connection or server.newest_served_sent_at > attempt.sent_at:
            return True
        fresh = server.reported_at >= attempt.sent_at + MAX_REPORT_DELAY
        due = not fresh and not server.probe_out and self.now >= server.probed_at + MAX_REPORT_DELAY
        if due and self.settings.may_probe and server.state is ServerState.SERVING:
            self.send_probe(server)
        return fresh and server.reported_load + 0.5 < server.in_flight - server.net_sends_since_report

    def lose(self, attempt: Attempt) -> None:
        """Its server has long overtaken it: the connection went silent, and nothing is at
        work on it. Guards against places of W held until the deadline, and procQ raised by waits that are no
        work: both refused calls before idle servers. Harm: a long call's place is given away early."""
        if attempt.stalled_connection:
            return
        attempt.stalled_connection = True
        if attempt.has_slot:
            attempt.has_slot = False
            self.busy -= 1
        if attempt.over_target:
            self.admission.window += self.admission.step()  # it was no sign of a crowd

    def rescue(self, attempt: Attempt) -> None:
        """A further attempt for a call that seems stuck, where its class allows it. Most such calls are
        heavy: what was done goes on or is lost, and is done anew, at each tier below too. So it is paid for
        by that work. Guards against heavy calls that crowd sound servers by being done twice. Harm: where
        many connections go silent, some calls wait on them until their time is over."""
        call = attempt.call
        if call.ended or call.streaming or call.queued or call.in_flight > 1:
            return
        mean = call.cls.mean.value
        left = call.useful_until - self.now
        time_yet = left > max(HEDGE_TIME_LEFT * mean, mean + 2 * TICK) and not attempt.server.ejected_until
        if time_yet or left < mean or min(self.retry_tokens, self.rescue_tokens) < 1:
            return
        if call.cls.effect is not Effect.REPEATABLE or not self.gate.may_attempt_again(call):
            return
        attempt.hedged = True
        self.rescue_tokens -= min(MAX_HEDGE_WORK, (self.now - attempt.sent_at) / max(mean, MIN_LATENCY))
        if self.settings.may_duplicate:
            self.retry_tokens -= 1
            self.hold(call)
        elif self.settings.may_cancel:
            self.actions.append(Cancel(call.id, attempt.number))

    def renew_leases(self) -> None:
        """Paid for by the steady probes that come after, for these bring reports too."""
        for server in self.health.due(self.servers.pool, self.now, self.busy + len(self.queue)):
            self.probe_tokens = max(-MAX_LEASE_PROBE_DEBT, self.probe_tokens - 1)
            self.send_probe(server)

    def probe(self, span: float) -> None:
        if not self.settings.may_probe or not self.servers.pool:
            return
        now = self.now
        self.renew_leases()
        rate = max(MIN_PROBE_RATE, PROBES_PER_CALL * self.admission.rate)
        self.probe_tokens = max(self.probe_tokens, min(2.0, self.probe_tokens + rate * span))
        for server in self.servers.known.values():
            due = server.ejected_until and now >= server.ejected_until and not server.probe_out
            if due and server.state is ServerState.SERVING:
                self.send_probe(server)
        while self.probe_tokens >= 1 and not self.asks:
            idle = [s for s in self.servers.pool if not s.probe_out and not s.ejected_until]
            if not idle:
                break
            self.probe_tokens -= 1
            oldest = min(s.probed_at for s in idle)
            self.send_probe(self.random.choice([s for s in idle if s.probed_at == oldest]))

    def must_wait(self, call: Call) -> bool:
        """Where calls are so few that steady reports are older than a call's latency, and probes are cheap,
        a call's candidates are asked before it is sent. Guards against picks on stale reports when many
        instances share few calls."""
        if call.probed_candidates is None:
            call.probed_candidates = []
            servers = self.servers
            pace = max(MIN_PROBE_RATE, PROBES_PER_CALL * self.admission.rate)
            if call.attempts or call.deadline - self.now < 3 * PRE_SEND_WAIT:
                return False
            if len(servers.pool) < pace * servers.mean_latency or servers.mean_latency < 2 * PRE_SEND_WAIT:
                return False
            usable = [s for s in servers.pool if servers.usable(s, self.now)]
            warm = [s for s in usable if servers.has_open_connection(s, self.now)]
            call.probed_candidates = self.random.sample(warm, min(PRE_SEND_PROBES - 1, len(warm)))
            others = [s for s in usable if s not in call.probed_candidates]
            call.probed_candidates += self.random.sample(others, min(PRE_SEND_PROBES - len(call.probed_candidates), len(others)))
            for server in call.probed_candidates:
                if not server.probe_out:
                    self.send_probe(server)
            call.probe_end = self.now + PRE_SEND_WAIT
            self.actions.append(SetTimer(PRE_SEND_WAIT, PRE_SEND_TOKEN))
        return self.now < call.probe_end - 1e-9 and any(server.probe_out for server in call.probed_candidates)

    def send_probe(self, server: Server) -> None:
        server.probe_out = True
        server.probed_at = self.now + self.random.random() * 1e-3
        self.actions.append(Probe(server.id))

    # the queue
    def dispatch(self) -> None:
        place = 0
        now = self.now
        queue, servers = self.queue, self.servers
        while place < len(queue) and self.busy + 1 <= self.admission.window:
            call = queue[place]
            if self.busy and call.useful_until - now < call.cls.mean.value and not call.in_flight:
                # It would most likely end too late: work for nothing. With nothing else out it is sent all
                # the same, so that a mean that rose too far can fall again.
                del queue[place]
                call.queued = False
                self.refuse(call)
                continue
            if self.asks and self.must_wait(call):
                place += 1
                continue
            choice = servers.pick(call, self.gate, now)
            if choice is None:
                if self.health.needed(now):
                    self.renew_leases()
                if not call.attempts:
                    return
                if servers.no_server_left(call, self.gate, now):
                    del queue[place]
                    call.queued = False
                    if not call.in_flight:
                        self.refuse(call)
                else:
                    place += 1
                continue
            server, load = choice
            until = call.deadline if call.cls.late_counts else max(call.useful_until, now + TICK)
            idle = servers.idle_time(server, now)
            if idle > servers.max_idle_age and servers.connect_cost < HIGH_CONNECT_COST:
                self.actions.append(CloseIdle(server.id))
                idle, server.used_at = 0.0, -math.inf
            opened = server.used_at < now - self.settings.conn_idle
            trust = servers.max_idle_age if servers.connect_cost < HIGH_CONNECT_COST else math.inf
            attempt = self.gate.send(call, server, now, until - now, load, trust)
            del queue[place]
            call.queued = False
            if attempt is None:
                continue
            self.out[(call.id, attempt.number)] = attempt
            attempt.idle_time, attempt.opened, server.used_at = idle, opened, now
            server.in_flight += 1
            server.net_sends_since_report += 1
            if servers.slow_start_share(server, now) < 1:
                server.slow_start_tokens -= 1
            self.busy += 1
            self.sends += 1

    def wait_for_list(self) -> None:
        """Nothing may be sent by the list that is held. What has waited for a part of its time, or would for
        nothing, is answered: its client has time left to go elsewhere."""
        soonest = self.now if self.watching else self.watch_at
        kept: list[Call] = []
        for call in self.queue:
            until = call.arrived_at + LIST_WAIT_SHARE * (call.deadline - call.arrived_at)
            if self.now < until and soonest < until:
                kept.append(call)
                continue
            call.queued = False
            if not call.in_flight:
                self.gate.answer(call, self.advice_without_list(soonest))
        self.queue[:] = kept

    def advice_without_list(self, soonest: float) -> float:
        """When a refused client should come back: once a list may have come."""
        if not self.settings.may_advise_wait:
            return 0.0
        return min(self.settings.max_wait_advice, max(self.advice(), soonest - self.now))

    def shrink(self) -> None:
        """A held call's wait is about (place+1)*procQ/W and must fit what is left of its usefulness."""
        if not self.queue:
            return
        now = self.now
        wait = self.admission.proc / self.admission.window
        kept: list[Call] = []
        for call in self.queue:
            left = call.useful_until - now
            fits = not kept or (len(kept) + 1) * wait + TAIL_ALLOWANCE * call.cls.mean.value <= left
            # A call that asks its candidates goes out or comes back here before its deadline; one with less
            # than a mean latency left would be work for nothing, most of all where servers are crowded.
            asking = now < call.probe_end - 1e-9 and left > call.cls.mean.value
            if fits and left > 0 and (asking or call.deadline - now > ANSWER_MARGIN):
                kept.append(call)
            else:
                call.queued = False
                if not call.in_flight:
                    self.refuse(call)
        self.queue[:] = kept
