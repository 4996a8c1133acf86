"""The balancer's decision logic. Its inputs and outputs are defined in granitepoint/interface.py.

Order of the file: tunables, safety rules, servers and server selection, the Balancer with its queue.
All times are in seconds. No I/O, no clock, no mutable globals; randomness comes from a seeded generator."""

from __future__ import annotations

import math
from bisect import insort
from random import Random

from granitepoint.admission import AVERAGING_TIME, UNRESTRICTED_FRACTION, Admission, ClassState, RunningMean
from granitepoint.calls import Attempt, Call
from granitepoint.interface import (
    NEVER_RAN,
    Action,
    Arrival,
    Cancel,
    CloseIdle,
    DiscoveryFailed,
    Effect,
    Event,
    Fail,
    Gone,
    IdleConnectionClosed,
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
from granitepoint.membership.backoff import MAX_PAUSE, Backoff
from granitepoint.membership.evidence import IMMEDIATE_FAILURE_TIME, Failure
from granitepoint.membership.health_checks import HealthLeases
from granitepoint.membership.list_lease import ListLease
from granitepoint.server_sizes import ServerSize, cold_budget_share

# -- tunables ------------------------------------------------------------------------------------------
TICK = 0.05  # s between control steps: the shortest calls whose balancing matters take several of these
MAX_ENDED_CALL_IDS = 1000  # ids of ended calls that are kept, to recognise repeated arrivals
STALL_THRESHOLD = 4 * TICK  # s between control steps above which measured times include a process pause
ANSWER_MARGIN = 2 * TICK  # s before the client's deadline by which a queued call is answered
MIN_LATENCY = 1e-4  # s, lower bound of a measured latency, so that means stay above 0
MAX_LOCAL_POOL_SIZE = 10  # servers of its own zone that an instance uses
MAX_POOL_SIZE = 16  # servers that an instance uses in all zones
PRIOR_COUNT = 8.0  # samples: weight of the prior in the estimate of a server's capacity
CAPACITY_SAMPLE_DECAY = 0.9  # factor applied to a server's older samples at each new one
CAPACITY_DECAY_TIME = 30.0  # s, time constant with which samples decay, so that a slow server is tried again
PROBES_PER_CALL = 0.05  # probes per arriving call; each request makes several calls, over all tiers
MIN_PROBE_RATE = 0.3  # probes per s, so that an idle instance still has load reports of its servers
MAX_LEASE_PROBE_DEBT = 5.0  # regular probes that health checks for leases may use up in advance
INITIAL_PROBES = 8.0  # probes at the start, over all zones: without load reports all use the nearest servers
MAX_PRE_SEND_PRICE = 0.006  # points: highest price of the probes that are sent for a single call
PRE_SEND_PROBES = 3  # servers probed for a single call; more than three current reports gain little
PRE_SEND_WAIT = 0.01  # s that a call waits for the answers to these probes
MAX_REPORT_DELAY = 0.5  # s by which a load report may lag behind: servers refresh it periodically
LOAD_DECAY_RATIO = 10.0  # decay time of a server's smoothed load, as a multiple of that of its last report
ZONE_LOAD_SAMPLES = 10  # reports in a zone's mean load: a few seconds of probes at one call per second
CROSSING_FACTOR = 3.0  # latency objectives per point of price_crossing, in the cost of another zone's server
TAIL_ALLOWANCE = 2.0  # mean latencies that a call needs after its wait in the queue, for long tails
RETRY_RATIO = 0.15  # retry tokens per arriving call: this budget stops amplification across the tiers
RETRY_BURST = 5.0  # retry tokens that may be spent at once
NEVER_RAN_RETRY_COST = 0.25  # retry tokens for a retry after an attempt that never ran; other retries take 1
HEDGE_AGE = 4.0  # mean latencies after which an attempt counts as stuck
HEDGE_RATIO = 0.15  # hedge tokens per arriving call, over all tiers; a token pays for the work of a mean call
HEDGE_BURST = 5.0  # hedge tokens that may be spent at once
MAX_HEDGE_WORK = 20.0  # hedge tokens charged at most: the mean may be a guess, or come from light calls
HEDGE_TIME_LEFT = 3.0  # mean latencies of useful time; with more left, a stuck attempt may yet answer
BASE_EJECTION = 0.5  # s, the first ejection; it doubles each time, up to MAX_EJECTION
MAX_EJECTION = 8.0  # s
MAX_EJECTED_SHARE = 0.34  # of the pool, for slowness or errors; if more look so, no single one is at fault
ALIVE_TIMEOUT = 1.0  # s since its last answer, of any kind, within which a server counts as alive
DEAD_AFTER_FAILURES = 3  # connections broken or refused since that answer, after which it counts as dead
FULL_AFTER_CONNECT_FAILURES = 2  # failed connects in a row: a live server is then at its connection limit
AT_LIMIT_TIME = 5.0  # s for which a server at its connection limit gets no further connection
ERROR_EXCESS = 0.35  # error or failure rate above the pool's mean from which a server is at fault
FAILURE_RATE_WEIGHT = 0.3  # weight of the newest answer in a server's failure rate, from 0 to 1, for a class
FAILURE_RATE_DECAY_TIME = 5.0  # s, time constant of that rate without answers: the server is tried again
COLD_BUDGET_SHARE = 0.5  # of Settings.fall_multiple: what all instances together send to a cold server
PEAK_RATE_DECAY_TIME = 60.0  # s, of the peak send rate per unit of size: long compared to a slow start
STALE_LIST_JITTER = 2.0  # s over which instances spread their new watches: all suspect the list at once
STALE_LIST_INTERVAL = 8.0  # s after a watch or a list before a stale list is suspected and the watch renewed
MIN_IDLE_AGE = 0.2  # s; a connection that was idle for less was lost for another reason than its idleness
IDLE_SAFETY_FACTOR = 0.7  # of the idle age at which a connection was lost: the new maximum idle age
IDLE_RECOVERY = 15.0  # s, time constant with which the maximum idle age grows again after it was lowered
HIGH_CONNECT_COST = 1.5  # mean latencies per new connection; if it costs more, old idle ones are used too
MIN_CONNECT_COST = 0.3  # mean latencies by which a server with an open connection is preferred at least
CONNECT_COST_SAMPLES = 30  # attempts over which new and open connections are compared
LIST_WAIT_SHARE = 0.4  # share of a call's time for which it waits for a list with a valid lease
MAX_START_DELAY = 2.0  # s, longest period over which all instances spread their first watch
START_DELAY_PER_INSTANCE = 0.02  # s of that period for each instance of each tier
WATCH_PAUSE_FACTOR = 4.0  # longest pause after a failed watch, in multiples of Settings.must_ask_within
ADVICE_FACTOR = 0.25  # latency estimates that a refused client is advised to wait
TICK_TOKEN, PRE_SEND_TOKEN = 1, 2  # SetTimer.token: for the next control step; for the end of PRE_SEND_WAIT
GOLDEN_RATIO_CONJUGATE = 0.6180339887498949  # its multiples modulo 1 are evenly spread, for any count
MAX_LATENCY_RATIO = 8.0  # most mean latencies that an attempt counts as; a failed one counts as that many


# -- safety rules ----------------------------------------------------------------------------------------
class SafetyRules:
    """Checks and issues every attempt and every final answer, whatever the heuristics ask for: repeated
    execution, deadlines, drained servers, and leases on the list and its servers."""

    def __init__(self, settings: Settings, actions: list[Action]) -> None:
        self.settings = settings
        self.list_lease = ListLease(settings.notified_after, drain_grace=settings.drain_grace)
        self.health_leases = HealthLeases(confirmed=not settings.ask_for_list, may_check=settings.may_probe)
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
        return first.sent_at + call.cls.dedup_window - now

    @staticmethod
    def same_group(cls: ClassState, attempt: Attempt, server: Server) -> bool:
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

    def __init__(self, entry: ServerEntry, slow_start_tokens: float, weights: str = "nominal") -> None:
        """`weights`: the meaning of weights, as in Settings.weights."""
        self.id = entry.server
        self.slow_start_tokens = slow_start_tokens  # attempts that may be sent to it while it is cold
        self.listed_size = ServerSize(weights)
        self.listed_size.on_weight(entry.weight, None)
        self.update(entry)
        self.in_flight = 0  # attempts of this instance
        self.ejected_until = 0.0  # 0: not ejected
        self.ejections = 0  # in a row, which set the length of the next one
        self.on_probation = False  # readmitted after an ejection: one call at a time until one succeeds
        self.last_ok = 0.0  # when its last successful answer to a call came
        self.probing = False  # a probe is in flight
        self.probed_at = -math.inf  # when the last probe was sent
        self.reset_statistics()

    def update(self, entry: ServerEntry) -> None:
        """Copies what the list says of the server."""
        self.zone, self.cell, self.state = entry.zone, entry.cell, entry.state
        self.started_at = self.slow_start_from = entry.started_at

    @property
    def size(self) -> float:
        """Its size, as far as it is known; only the proportions to other servers have a meaning."""
        return self.listed_size.estimate

    def reset_statistics(self) -> None:
        """Discards what was learned, for a new or restarted process."""
        self.last_answer_at = -math.inf  # to a call or a probe, whatever it said
        self.broken_connections = 0  # connections broken or refused since that answer
        self.newest_served_sent_at = -math.inf  # when the newest of the calls that it has served was sent
        self.load_sum = self.latency_sum = 0.0  # decaying sums over attempts: load, latency ratio
        self.error_rate = 0.0  # moving average
        self.failure_rates: dict[str, tuple[float, float]] = {}  # by class: failure rate, as of when
        self.smoothed_load = self.reported_load = 0.0  # calls: moving average of the reports; the last report
        self.reported_at = -math.inf  # when the last report came
        self.net_sends_since_report = 0  # own sends minus own answers
        self.slow_streak = 0  # stuck or timed-out attempts in a row
        self.used_at = -math.inf  # the last send or answer
        self.checked_at = -math.inf  # when the last health check that it passed was sent
        self.call_limit, self.call_limit_until = 0, 0.0  # applies while it is at its connection limit
        self.connect_failures = 0  # since the last new connection on which a call succeeded
        self.failed_probe_streak = 0


class Servers:
    """The listed servers, the pool that this instance uses, server health and server selection."""

    def __init__(self, settings: Settings, random: Random) -> None:
        self.settings = settings
        self.random = random
        self.known: dict[int, Server] = {}
        self.pool: list[Server] = []
        self.mean_load = RunningMean(1.0)
        self.zone_load: dict[str, RunningMean] = {}  # reported calls per unit of size
        self.live_weights = settings.weights == "live"
        self.error_rate = RunningMean(0.0)
        self.send_rate = self.peak_rate = 0.0  # attempts per s; their peak per s and unit of size
        self.pool_size = 0.0  # size of the pool, smoothed; the number of its servers where weights are live
        self.mean_latency = 0.1  # s, of a call
        self.latency_objective = max(cls.aim for cls in settings.classes)  # s
        self.max_idle_age = settings.conn_idle  # s without use after which a connection is not relied on
        # Latency of attempts on open and on new connections, in mean latencies of their class.
        self.open_latency, self.new_latency = RunningMean(1.0), RunningMean(1.0)

    def apply_list(self, event: ServerList, now: float) -> None:
        """Updates the known servers and the pool from a list, unless it failed or has no changes."""
        if event.kind is ListKind.FAILED or (event.kind is ListKind.INCREMENTAL and not event.entries):
            return
        listed_ids = set()
        for entry in event.entries:
            listed_ids.add(entry.server)
            server = self.known.get(entry.server)
            if server is None:
                if entry.state is not ServerState.GONE:
                    server = Server(entry, self.random.random(), self.settings.weights)
                    if self.slow_start_share(server, now) < 1:
                        server.listed_size.on_restart()
                    self.known[entry.server] = server
                continue
            restarted = entry.started_at > server.started_at
            slow_start_from = server.slow_start_from
            server.update(entry)
            server.listed_size.on_weight(entry.weight, self.held_requests(server))
            if restarted:
                server.listed_size.on_restart()
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
        zones = {server.zone for server in self.known.values()}
        self.zone_load = {zone: load for zone, load in self.zone_load.items() if zone in zones}
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
        size = sum(1.0 if self.live_weights else server.size for server in self.pool)
        multiple = COLD_BUDGET_SHARE * self.settings.fall_multiple
        # Smoothed like the send rate: what went to many servers is no measure of what the few left can serve.
        self.pool_size += (size - self.pool_size) * (
            min(1.0, span / AVERAGING_TIME) if self.pool_size else 1.0
        )
        # The peak, not the current rate: otherwise few sends would allow even fewer, and a fleet in a rolling
        # restart would stay cold.
        current_rate = self.send_rate / self.pool_size if self.pool_size else 0.0
        self.peak_rate = max(current_rate, self.peak_rate * (1 - span / PEAK_RATE_DECAY_TIME))
        for server in self.pool:
            share = self.slow_start_share(server, now)
            if share < 1:
                rate = self.peak_rate * self.cold_budget_size(server) * share * multiple
                server.slow_start_tokens = min(1.0 + rate * TICK, server.slow_start_tokens + rate * span)

    def cold_budget_size(self, server: Server) -> float:
        """The size by which the budget of a cold server is counted, in the unit of `pool_size`."""
        if not self.live_weights:
            return server.size
        return cold_budget_share(server.listed_size, [other.listed_size for other in self.pool])

    def held_requests(self, server: Server) -> float | None:
        """How many requests a server holds, of all instances together; None if that is not known."""
        if server.reported_at > -math.inf:
            return server.reported_load
        return server.in_flight * self.settings.balancers if server.in_flight else None

    @property
    def mean_size(self) -> float:
        """Mean size of the pool, which must not be empty."""
        return sum(server.size for server in self.pool) / len(self.pool)

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
        where calls and so reports are few, servers that were not probed would look idle and be overloaded.
        Cost: one busy server makes its unprobed neighbours look busy too."""
        decay_time = 2 * self.mean_latency + TICK
        zone = self.zone_load.get(server.zone)
        expected = server.smoothed_load
        if zone is not None:
            age = server.reported_at - now  # negative
            expected = zone.value * server.size
            expected += (server.smoothed_load - expected) * math.exp(age / (LOAD_DECAY_RATIO * decay_time))
        load = expected + server.net_sends_since_report
        if server.reported_load != expected:
            load += (server.reported_load - expected) * math.exp((server.reported_at - now) / decay_time)
        return max(load, server.in_flight)

    def record_failure_rate(self, server: Server, cls: ClassState, failed: bool, now: float) -> None:
        """Adds the newest answer to a server's failure rate for a class."""
        rate = self.failure_rate(server, cls, now)
        server.failure_rates[cls.name] = rate + (failed - rate) * FAILURE_RATE_WEIGHT, now

    def failure_rate(self, server: Server, cls: ClassState, now: float) -> float:
        """Share of a class's calls that a server fails, from 0 to 1; it decays while there are no answers."""
        rate, at = server.failure_rates.get(cls.name, (0.0, now))
        return rate * math.exp((at - now) / FAILURE_RATE_DECAY_TIME)

    def pool_failure_rate(self, cls: ClassState, now: float) -> float:
        """Mean failure rate of the pool for a class. A server that rejects or fails a class of requests (bad
        version, a limit, its own data store down), at once or slowly, may serve other classes well and so
        look idle and fast, so servers with a rate above this mean are picked less. What all servers fail
        counts against none. Cost: under overload, chance makes some servers look worse."""
        return sum(self.failure_rate(server, cls, now) for server in self.pool) / max(1, len(self.pool))

    def pick(self, call: Call, safety_rules: SafetyRules, now: float) -> tuple[Server, float] | None:
        """The cheapest server that may take an attempt of the call, and its load; None if there is none. The
        cost is in mean latencies: the expected latency plus penalties."""
        best: Server | None = None
        best_cost = best_load = math.inf
        tried = {attempt.server.id for attempt in call.attempts}
        mean_size = self.mean_size if self.pool else 1.0
        crossing = CROSSING_FACTOR * self.settings.price_crossing * self.latency_objective / self.mean_latency
        connect_cost = self.connect_cost
        zone = self.settings.zone
        prior = PRIOR_COUNT * self.mean_load.value / mean_size
        pool_rate = self.pool_failure_rate(call.cls, now)
        for server in self.pool:
            if not self.usable(server, now):
                continue
            load = self.load(server, now)
            cost = (load + 1) * (PRIOR_COUNT + server.latency_sum) / (prior * server.size + server.load_sum)
            if server.slow_start_from > 0:
                cost /= self.slow_start_share(server, now)
            if server.zone != zone:
                cost += crossing
            if not server.in_flight and now - server.used_at > self.max_idle_age:
                cost += connect_cost
            if server.id in tried:
                cost += MAX_LATENCY_RATIO
            cost += MAX_LATENCY_RATIO * max(0.0, self.failure_rate(server, call.cls, now) - pool_rate)
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
        Keeps calls on open connections where handshakes are slow, whatever the cause. Cost: fewer servers get
        the calls, so this is only added to the cost of the load."""
        return max(MIN_CONNECT_COST, self.new_latency.value - self.open_latency.value)

    def detect_idle_drop(self, attempt: Attempt, reset: bool) -> bool:
        """Whether an attempt failed because its idle connection had been dropped unnoticed on the way, and so
        was reset at once (`reset`) or never answered. Then the connection is at fault: connections of that
        age are closed before use, and a reset does not eject the server. Cost: if the server was at fault
        after all, it gets one more call, and some good connections are replaced."""
        if attempt.idle_time < MIN_IDLE_AGE or (not reset and attempt.server.last_ok >= attempt.sent_at):
            return False  # not idle for long, or just a slow call: the server has answered others since
        self.lower_max_idle_age(attempt.idle_time)
        return True

    def lower_max_idle_age(self, idle_time: float) -> None:
        """Learns from a connection that was lost after `idle_time` s without use. Where idle connections are
        closed at some age, a call sent at about that age fails. A close that is seen while no call uses the
        connection reveals that age without a failed call."""
        if idle_time >= MIN_IDLE_AGE:
            self.max_idle_age = max(MIN_IDLE_AGE, min(self.max_idle_age, IDLE_SAFETY_FACTOR * idle_time))

    def alive(self, server: Server, now: float) -> bool:
        """Whether a server has answered so recently that a broken connection does not mean that it is dead.
        Resets hit connections one by one (a network that drops them, a middlebox, a worker or listener that
        restarts behind the address): when each counted as a dead server, the pool became empty although all
        requests were answered. A process that died breaks several at once and answers none: it is ejected at
        the third. Cost: one that dies with few calls in flight gets up to two more, refused at once."""
        return now - server.last_answer_at < ALIVE_TIMEOUT and server.broken_connections < DEAD_AFTER_FAILURES

    # health
    def record_answer(self, server: Server, now: float) -> None:
        """Notes that a server answered a call or a probe, whatever it said."""
        server.last_answer_at, server.broken_connections = now, 0

    def eject(self, server: Server, now: float, hard: bool) -> bool:
        """Takes a server out of use for a while, unless it is already; `hard`: connections or probes fail."""
        if server.ejected_until:
            return False
        # If most servers are slow or fail, no single one is at fault.
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
        server.error_rate = 0.0
        server.slow_streak = server.failed_probe_streak = 0
        server.net_sends_since_report = server.in_flight

    def record_report(self, server: Server, report: dict[str, float] | None, now: float) -> None:
        """Stores a load report; one without a finite `busy_reqs` of at least 0 is ignored."""
        load = report.get("busy_reqs") if report else None
        if load is None or not 0 <= load < math.inf:
            return
        server.smoothed_load += (load - server.smoothed_load) * (0.3 if server.reported_at > 0 else 1.0)
        server.reported_load = load
        zone = self.zone_load.setdefault(server.zone, RunningMean(0.0))
        server.listed_size.on_report(load)
        zone.add(load / server.size, ZONE_LOAD_SAMPLES)
        server.reported_at = now
        server.net_sends_since_report = 0


# -- balancer --------------------------------------------------------------------------------------------
class Balancer:
    """The decisions of one instance, from events to actions. All times are in seconds.

    `handle` processes all events of a batch, then queues new calls, then sends by descending utility."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """Creates an instance that holds no list yet. `seed` determines all its random choices."""
        self.settings = settings
        self.random = Random(seed)
        self.actions: list[Action] = []
        self.safety_rules = SafetyRules(settings, self.actions)
        self.list_lease, self.health_leases = self.safety_rules.list_lease, self.safety_rules.health_leases
        self.class_states = {cls.name: ClassState(cls, settings.stage) for cls in settings.classes}
        self.admission = Admission(settings.stage, self.random)
        self.servers = Servers(settings, self.random)
        self.quota_per_s = {t.name: t.quota_per_s / settings.balancers for t in settings.tenants}
        self.quota_tokens = {name: quota for name, quota in self.quota_per_s.items()}
        self.queue: list[Call] = []
        self.attempts_in_flight: dict[tuple[int, int], Attempt] = {}  # by call id and attempt number
        self.busy = 0  # attempts that count against the concurrency limit
        self.arrivals_in_step = self.sends_in_step = 0
        self.retry_tokens = RETRY_BURST
        self.hedge_tokens = HEDGE_BURST
        self.probe_tokens = INITIAL_PROBES
        # Whether probes are cheap enough to probe the candidates of a single call before it is sent.
        self.probes_before_send = (
            settings.may_probe and PRE_SEND_PROBES * settings.price_probe <= MAX_PRE_SEND_PRICE
        )
        self.now = 0.0
        self.last_step_at = -1.0
        self.resumed_after_stall = False  # whether this process was paused before this batch
        self.step_timer_set = False
        self.watch_active = not settings.ask_for_list
        self.next_watch_at = -1.0
        self.last_watch_call_at = 0.0  # start of the last watch call, as far as known
        max_pause = min(MAX_PAUSE, WATCH_PAUSE_FACTOR * settings.must_ask_within)
        instances = settings.balancers * settings.stages
        phase = (settings.me + settings.stage / settings.stages) * GOLDEN_RATIO_CONJUGATE % 1.0
        self.backoff = Backoff(self.random, max_pause, instances, phase)
        self.last_list_or_watch_at = 0.0  # when the last list came or the last watch was started
        self.recheck_list_at = math.inf  # when to replace an active watch; inf: no need

    def handle(self, now: float, events: list[Event]) -> list[Action]:
        """Processes a batch of events at `now`, on the clock of the events, and returns the actions."""
        self.now = now
        self.resumed_after_stall = 0 <= self.last_step_at < now - STALL_THRESHOLD
        self.actions.clear()
        new_calls: list[Call] = []
        for event in events:
            if type(event) is Outcome:
                self.on_outcome(event)
            elif type(event) is Arrival:
                self.on_arrival(event, new_calls)
            elif type(event) is Timer:
                if event.token == TICK_TOKEN:
                    self.step_timer_set = False
            elif type(event) is Probed:
                self.on_probe_result(event)
            elif type(event) is ServerList:
                self.on_server_list(event)
            elif type(event) is WatchLost:
                self.on_watch_lost(event)
            elif type(event) is WatchOpened:
                self.list_lease.on_watch_opened(event.started_at, event.hold)
            elif type(event) is DiscoveryFailed:
                self.last_watch_call_at = event.started_at
                self.list_lease.on_failure(event.failure, event.started_at, event.ended_at)
            elif type(event) is IdleConnectionClosed:
                self.servers.lower_max_idle_age(event.idle_for)
            elif type(event) is Gone:
                self.on_client_gone(event)
            elif type(event) is StreamStarted:
                self.on_stream_started(event)
        if self.last_step_at < 0:
            self.start()
        elif now - self.last_step_at >= TICK - 1e-9:
            self.control_step()
        for call in new_calls:
            if not call.ended:  # the client may leave in the batch in which its call arrived
                self.admit_or_refuse(call)
        if self.list_lease.valid(now):
            self.dispatch()
        else:
            self.expire_calls_waiting_for_list()
        self.trim_queue()
        if not self.step_timer_set:
            self.step_timer_set = True
            self.actions.append(SetTimer(TICK, TICK_TOKEN))
        return list(self.actions)

    def start(self) -> None:
        """Starts the control steps and schedules the first watch."""
        self.last_step_at = self.now
        # Discovery has little capacity and all instances may start at once: their first calls are spread out.
        instances = self.settings.balancers * self.settings.stages
        spread = min(MAX_START_DELAY, START_DELAY_PER_INSTANCE * instances, self.settings.must_ask_within / 4)
        self.next_watch_at = self.now + self.random.random() * spread

    # Events
    def on_watch_lost(self, event: WatchLost) -> None:
        """Handles a watch that failed, fell silent or moved: changes may be missed until the next list."""
        self.health_leases.lose_confirmation(self.now, event.notified_within)
        if event.moved_at is not None:
            self.list_lease.on_move(event.moved_at)
        elif event.silent:
            self.list_lease.on_silence(self.now)

    def on_server_list(self, event: ServerList) -> None:
        """Applies a list of servers, or schedules the next watch after a failed call to discovery."""
        if event.kind is ListKind.FAILED:
            self.health_leases.lose_confirmation(self.now, math.inf)
            self.watch_active = False
            waited = self.now - self.last_watch_call_at
            failure = event.failure or (
                Failure.IMMEDIATE if waited <= IMMEDIATE_FAILURE_TIME else Failure.WAITED
            )
            self.next_watch_at = self.now + self.backoff.failed(failure, self.now)
        else:
            if event.kind is not ListKind.SAVED:
                self.health_leases.confirm()
                written_after = self.now if event.written_after is None else event.written_after
                self.list_lease.on_list(written_after, self.now, event.answers_newest_call)
                self.backoff.succeeded(event.service_time)
                self.last_list_or_watch_at, self.recheck_list_at = self.now, math.inf
            self.servers.apply_list(event, self.now)
            self.admission.set_min_limit(len(self.servers.known), self.settings.balancers)

    def on_arrival(self, event: Arrival, new_calls: list[Call]) -> None:
        """Appends the call of a request to `new_calls`; ignores known ids, refuses invalid requests."""
        if event.call in self.safety_rules.calls or event.call in self.safety_rules.ended_ids:
            return
        cls = self.class_states.get(event.class_name)
        if cls is None or not 0 < event.budget < math.inf:
            self.safety_rules.refuse_invalid(event.call)
            return
        self.arrivals_in_step += 1
        now = self.now
        utility = cls.utility
        if self.settings.worth_by_work and event.work > 0:
            utility *= event.work
        if self.settings.stage == 0 and event.tenant in self.quota_per_s:
            if self.quota_tokens[event.tenant] >= 1:
                self.quota_tokens[event.tenant] -= 1
            else:
                utility *= self.settings.over_share_worth
        # The budget as the client stated it, not what is left of it: a pause of this process is no time that
        # the client has waited over its earlier tries.
        stated_budget = event.stated_timeout if 0 < event.stated_timeout < math.inf else event.budget
        remaining_objective = self.remaining_latency_objective(cls, stated_budget, event.resent)
        useful_time = event.budget if cls.late_answers_count else min(event.budget, remaining_objective)
        call = Call(event.call, cls, utility, now, now + event.budget, now + useful_time)
        self.safety_rules.calls[call.id] = call
        self.admission.recent_utilities.append(utility)
        self.retry_tokens = min(RETRY_BURST, self.retry_tokens + RETRY_RATIO)
        self.hedge_tokens = min(HEDGE_BURST, self.hedge_tokens + HEDGE_RATIO / self.settings.stages)
        new_calls.append(call)

    def admit_or_refuse(self, call: Call) -> None:
        """Enqueues a new call, or refuses it because of its utility or because its useful time is over."""
        # The concurrency limit grows only while it is nearly reached. If calls were refused for their utility
        # below that, the limit could not grow and the utility threshold would keep itself in force.
        has_slack = self.busy + len(self.queue) + 1 <= UNRESTRICTED_FRACTION * self.admission.window
        if (has_slack or self.admission.admits(call.utility)) and call.useful_until > self.now:
            self.enqueue(call)
        else:
            self.refuse(call)

    def remaining_latency_objective(self, cls: ClassState, budget: float, is_retry: bool) -> float:
        """Returns how much of the latency objective of a call's class is left, in s.

        In an inner tier the stated `budget` (s) is the useful time that the caller's instance had left, so
        the objective applies in full. In the first tier, a budget below the usual one means that the client's
        total time is running out, and shows how long it has waited over its earlier tries. This prevents work
        for answers that come too late. The usual budget is the median, not the maximum, since a few odd
        budgets would make every first try look late. Where clients mark their retries, a call without the
        mark is a first try. Cost: the answer to a client that omits the mark may come too late."""
        is_first_try = self.settings.clients_mark_retries and not is_retry
        # This also records the budget, so it is called for marked first tries too.
        usual_budget = cls.record_budget(budget)
        if self.settings.stage or is_first_try or budget >= usual_budget - TICK:
            return cls.latency_objective
        return cls.latency_objective - (cls.deadline - budget)

    def enqueue(self, call: Call) -> None:
        """Inserts a call into the queue, which is ordered by utility, then by arrival."""
        call.queued = True
        insort(self.queue, call)

    def retry_after_advice(self) -> float:
        """Returns the wait that a refused client is advised, in s; 0: no advice.

        By then some of the calls that fill the concurrency limit now have been answered. A client without
        advice comes back sooner, into the same overload."""
        if not self.settings.may_advise_wait:
            return 0.0
        return min(self.settings.max_wait_advice, max(TICK, ADVICE_FACTOR * self.admission.latency_estimate))

    def refuse(self, call: Call) -> None:
        """Gives the final answer to a call that is not sent, or not sent again."""
        self.safety_rules.answer(call, self.retry_after_advice())

    def on_client_gone(self, event: Gone) -> None:
        """Ends a call whose client left or whose time ran out."""
        call = self.safety_rules.calls.get(event.call)
        if call is None or call.ended:
            return
        if call.queued:
            self.queue.remove(call)
            call.queued = False
        self.safety_rules.end(call)
        self.cancel_attempts_in_flight(call)

    def cancel_attempts_in_flight(self, call: Call) -> None:
        """Cancels what is still in flight for a call, where that is allowed and no answer is streaming."""
        if call.in_flight and self.settings.may_cancel and not call.streaming:
            for attempt in call.attempts:
                if attempt.status < 0:
                    self.actions.append(Cancel(call.id, attempt.number))

    def on_stream_started(self, event: StreamStarted) -> None:
        """Stops counting an attempt against the concurrency limit when its answer starts to stream."""
        attempt = self.attempts_in_flight.get((event.call, event.attempt))
        if attempt is not None:
            attempt.call.streaming = True
            if attempt.has_slot:
                attempt.has_slot = False
                self.busy -= 1

    def on_outcome(self, event: Outcome) -> None:
        """Records how an attempt ended, then retries or answers its call if no other attempt is pending."""
        attempt = self.attempts_in_flight.pop((event.call, event.attempt), None)
        if attempt is None:
            return
        call, server, cls, now = attempt.call, attempt.server, attempt.call.cls, self.now
        status = event.status
        in_flight_before = self.busy
        server.in_flight -= 1
        if status != Status.MOOT:
            server.net_sends_since_report -= 1
        if status == Status.OK:
            server.used_at = now
        if attempt.has_slot:
            self.busy -= 1
        if event.idle_for is not None:
            attempt.idle_time, attempt.opened = event.idle_for, event.idle_for <= 0
        already_ended = call.ended
        self.safety_rules.finish_attempt(attempt, status, event.final)
        self.servers.record_report(server, event.report, now)
        self.record_outcome(attempt, status, event.elapsed, in_flight_before)
        if call.ended:
            if not already_ended:
                if call.queued:
                    self.queue.remove(call)
                    call.queued = False
                self.cancel_attempts_in_flight(call)
            return
        if call.in_flight or call.queued:
            return
        remaining = call.useful_until - now
        # An attempt that never ran has multiplied no work, so a retry after it costs less. Giving the call up
        # in an inner tier would waste the work of the tiers above.
        cost = NEVER_RAN_RETRY_COST if status in NEVER_RAN else 1.0
        if (
            self.safety_rules.may_attempt_again(call)
            and remaining > cls.mean_latency.value
            and self.retry_tokens >= cost
        ):
            self.retry_tokens -= cost
            self.enqueue(call)
        else:
            self.refuse(call)

    def record_outcome(self, attempt: Attempt, status: int, elapsed: float, in_flight_before: int) -> None:
        """Updates the latency estimate, the concurrency limit and the server's statistics.

        `elapsed` is in s; `in_flight_before` counts attempts against the limit before this one ended."""
        cls, server, admission, servers = attempt.call.cls, attempt.server, self.admission, self.servers
        now = self.now
        if status in (Status.CANCELLED, Status.MOOT):
            return
        if self.resumed_after_stall and status in (Status.OK, Status.TIMEOUT):
            # This process was paused: what looks slow or overdue was answered long ago. Otherwise it would
            # take its own pause for slow servers, lower the concurrency limit and eject them. Cost: answers
            # that were slow in the meantime are noticed one batch later.
            if status == Status.OK:
                server.last_ok = now
                servers.record_answer(server, now)
            return
        if attempt.connection_stalled and status == Status.TIMEOUT:
            return
        elapsed = max(elapsed, MIN_LATENCY)
        ok = status == Status.OK
        at_fault = servers.failure_rate(server, cls, now) > servers.pool_failure_rate(cls, now) + ERROR_EXCESS
        if ok or status in (Status.ERROR, Status.FULL):
            servers.record_answer(server, now)
            servers.record_failure_rate(server, cls, not ok, now)
        connection_broken = status in (Status.CONNECT_FAILED, Status.RESET)
        server.broken_connections += connection_broken
        idle_connection_lost = status == Status.RESET and servers.detect_idle_drop(attempt, reset=True)
        only_connection_failed = connection_broken and (idle_connection_lost or servers.alive(server, now))
        if ok or (status == Status.TIMEOUT and not server.ejected_until):
            admission.observe_latency(elapsed)
            cls.record_latency(elapsed)
        # An error does not show how many calls the servers can take: most come from a tier below, after a
        # reset or a refusal there. When errors counted as overload, one failed call in eight kept the
        # concurrency limit low although the servers were healthy.
        if ok and elapsed <= cls.target_latency:
            admission.on_within_target(in_flight_before)
        elif status == Status.FULL and at_fault:
            pass  # a fault of this server alone, no overload
        elif connection_broken and attempt.over_target and not attempt.connection_stalled:
            # Its age has lowered the concurrency limit, but its connection was at fault: undo that.
            admission.window += admission.limit_step()
        elif status == Status.TIMEOUT and elapsed < cls.target_latency:
            pass  # it had less time than an answer may take, so it shows no overload
        elif not attempt.over_target and attempt.has_slot and (ok or status in (Status.TIMEOUT, Status.FULL)):
            admission.on_over_target()
        # The server's capacity is estimated from its load and the latency, in multiples of the class's mean.
        latency_ratio = elapsed / cls.mean_latency.value
        if ok or (status == Status.CONNECT_FAILED and elapsed > 0.1 * cls.mean_latency.value):
            ratio = min(MAX_LATENCY_RATIO, latency_ratio + (not ok))
            (servers.new_latency if attempt.opened else servers.open_latency).add(ratio, CONNECT_COST_SAMPLES)
        if not ok:
            # A server that fails fast looks idle, so a failure counts as a slow answer.
            latency_ratio = MAX_LATENCY_RATIO
        # A failure of the connection alone does not show the server's speed.
        if status not in (Status.FULL, Status.CONNECT_FAILED) and not only_connection_failed:
            latency_ratio = min(latency_ratio, MAX_LATENCY_RATIO)
            server.latency_sum = server.latency_sum * CAPACITY_SAMPLE_DECAY + latency_ratio
            server.load_sum = server.load_sum * CAPACITY_SAMPLE_DECAY + attempt.load + 1
            servers.mean_load.add(attempt.load + 1, 100)
        failed = status in (Status.ERROR, Status.RESET)
        server.error_rate += (failed - server.error_rate) * 0.2
        servers.error_rate.add(float(failed), 100)
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
        elif connection_broken:
            if not only_connection_failed:
                self.eject(server, hard=True)
            elif status == Status.CONNECT_FAILED:
                # The server answers other calls of this instance, so it has reached its connection limit.
                # Ejecting it would move its calls and connections to the other servers: use the open ones
                # only. A single failure may be chance.
                server.connect_failures += 1
                if server.connect_failures >= FULL_AFTER_CONNECT_FAILURES:
                    server.call_limit, server.call_limit_until = max(1, server.in_flight), now + AT_LIMIT_TIME
            failed = False  # without an answer it is unknown whether the server fails its calls
        elif status == Status.TIMEOUT:
            servers.detect_idle_drop(attempt, reset=False)
            server.slow_streak += 1
            if server.on_probation or (server.slow_streak >= 3 and server.last_ok < attempt.sent_at):
                self.eject(server, hard=False)
        if failed and (server.on_probation or server.error_rate > servers.error_rate.value + ERROR_EXCESS):
            self.eject(server, hard=False)

    def eject(self, server: Server, hard: bool) -> None:
        """Ejects a server; its attempts no longer count against the concurrency limit.

        `hard`: failed connections or probes, to which the limit on ejected servers does not apply."""
        if not self.servers.eject(server, self.now, hard):
            return
        for attempt in self.attempts_in_flight.values():
            if attempt.server is server and attempt.has_slot:
                attempt.has_slot = False
                self.busy -= 1
        self.servers.rebuild_pool(self.now)

    def on_probe_result(self, event: Probed) -> None:
        """Updates a server's load and health from a probe, which may end, prolong or cause an ejection."""
        server = self.servers.known.get(event.server)
        if server is None:
            return
        server.probing = False
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
                server.checked_at = -math.inf  # it answered, but is draining or unhealthy
            server.failed_probe_streak += 1
            if server.ejected_until:
                if event.status in (Status.CONNECT_FAILED, Status.ERROR):
                    self.suspect_stale_list()
                server.ejected_until = self.now + min(MAX_EJECTION, BASE_EJECTION * 2**server.ejections)
                server.ejections = min(server.ejections + 1, 6)
            elif server.failed_probe_streak >= 2 and server.last_ok < self.now - self.servers.mean_latency:
                self.eject(server, hard=True)

    # Control step
    def control_step(self) -> None:
        """Updates what depends on time: rates, quotas, token budgets, attempt ages, probes, the threshold."""
        now = self.now
        span = now - self.last_step_at
        self.last_step_at = now
        admission, servers = self.admission, self.servers
        admission.observe_rate(self.arrivals_in_step, span)
        servers.send_rate += (self.sends_in_step / span - servers.send_rate) * min(1.0, span / AVERAGING_TIME)
        self.arrivals_in_step = self.sends_in_step = 0
        for name, quota in self.quota_per_s.items():
            self.quota_tokens[name] = min(max(1.0, quota), self.quota_tokens[name] + quota * span)
        for cls in self.class_states.values():
            cls.update_target(span)
        self.start_watch_if_due()
        self.check_attempt_ages()
        if admission.mean_latency.count:
            servers.mean_latency = max(admission.mean_latency.value, 1e-3)
        servers.refill_slow_start_tokens(now, span)
        servers.decay_capacity(span)
        servers.max_idle_age = min(self.settings.conn_idle, servers.max_idle_age * (1 + span / IDLE_RECOVERY))
        self.send_due_probes(span)
        admission.update_threshold()

    def start_watch_if_due(self) -> None:
        """Starts a watch of discovery when none is active, or when the list is suspected to be stale."""
        if (not self.watch_active and self.now >= self.next_watch_at) or self.now >= self.recheck_list_at:
            self.watch_active = True
            self.last_watch_call_at = self.last_list_or_watch_at = self.now
            self.recheck_list_at = math.inf
            self.actions.append(Watch(True))

    def suspect_stale_list(self) -> None:
        """Schedules a new watch because a server that is ejected, but still listed, fails its probes.

        If no list came for a while, the active watch may hang or have been lost unnoticed, or the list is
        late; a new watch returns at once what was missed. Cost: where servers crash, each instance that sees
        it makes one more call to discovery, spread over time and no more than one in STALE_LIST_INTERVAL."""
        if self.settings.ask_for_list and self.watch_active and math.isinf(self.recheck_list_at):
            earliest = max(self.now, self.last_list_or_watch_at + STALE_LIST_INTERVAL)
            self.recheck_list_at = earliest + self.random.random() * STALE_LIST_JITTER

    def check_attempt_ages(self) -> None:
        """Detects stuck attempts by their age, since on a hung server they end only at their timeout."""
        now = self.now
        total_age = counted_attempts = 0.0
        stuck_attempts: list[Attempt] = []
        for attempt in self.attempts_in_flight.values():
            age = now - attempt.sent_at
            cls = attempt.call.cls
            if age > HEDGE_AGE * cls.mean_latency.value and self.connection_seems_stalled(attempt):
                self.mark_connection_stalled(attempt)
            if attempt.has_slot:
                total_age += age
                counted_attempts += 1
                if not attempt.over_target and age > cls.target_latency:
                    attempt.over_target = True
                    self.admission.on_over_target()
            if age > HEDGE_AGE * cls.mean_latency.value and not attempt.hedged:
                stuck_attempts.append(attempt)
        self.admission.mean_age_in_flight = total_age / counted_attempts if counted_attempts else 0.0
        for stuck in stuck_attempts:
            server, cls = stuck.server, stuck.call.cls
            latency_known = cls.mean_latency.count > 0
            if server.last_ok < stuck.sent_at and not server.ejected_until and not stuck.charged_to_server:
                stuck.charged_to_server = True
                server.slow_streak += 1
                if server.slow_streak >= 2 or server.on_probation:
                    self.eject(server, hard=False)
            # Before its first answer an instance does not know how long the tiers below take, and the hedges
            # of instances that have all just started would multiply along a chain of tiers. Cost: the first
            # calls on a hung server stay there until they are over the target latency.
            if latency_known or now - stuck.sent_at > cls.target_latency:
                self.hedge(stuck)

    def connection_seems_stalled(self, attempt: Attempt) -> bool:
        """Returns whether an attempt's server seems not to work on it, so that its connection has stalled.

        The server has answered a later attempt, or reports fewer calls than this instance alone has in flight
        there. It is probed if its last report is too old to include this attempt."""
        server = attempt.server
        if attempt.connection_stalled or server.newest_served_sent_at > attempt.sent_at:
            return True
        recent = server.reported_at >= attempt.sent_at + MAX_REPORT_DELAY
        probe_due = not recent and not server.probing and self.now >= server.probed_at + MAX_REPORT_DELAY
        if probe_due and self.settings.may_probe and server.state is ServerState.SERVING:
            self.send_probe(server)
        return recent and server.reported_load + 0.5 < server.in_flight - server.net_sends_since_report

    def mark_connection_stalled(self, attempt: Attempt) -> None:
        """Stops counting an attempt whose connection has stalled: its server does not work on it.

        Otherwise such attempts would count against the concurrency limit until their deadline, and their
        waits, which are not work, would raise the latency estimate. Both made the instance refuse calls
        although servers were idle. Cost: a call that only takes long stops counting too early."""
        if attempt.connection_stalled:
            return
        attempt.connection_stalled = True
        if attempt.has_slot:
            attempt.has_slot = False
            self.busy -= 1
        if attempt.over_target:
            # Its age has lowered the concurrency limit, but it is no sign of overload: undo that.
            self.admission.window += self.admission.limit_step()

    def hedge(self, attempt: Attempt) -> None:
        """Makes a further attempt for a call that seems stuck, where its class and the settings allow it.

        Most such calls are heavy: the work done so far goes on or is lost, and it is repeated, at each tier
        below too. So a hedge costs tokens in proportion to that work; otherwise heavy calls would overload
        healthy servers by being executed twice. Cost: where many connections stall, some calls wait on them
        until their time is over."""
        call = attempt.call
        if call.ended or call.streaming or call.queued or call.in_flight > 1:
            return
        mean = call.cls.mean_latency.value
        remaining = call.useful_until - self.now
        may_finish = (
            remaining > max(HEDGE_TIME_LEFT * mean, mean + 2 * TICK) and not attempt.server.ejected_until
        )
        if may_finish or remaining < mean or min(self.retry_tokens, self.hedge_tokens) < 1:
            return
        if call.cls.effect is not Effect.REPEATABLE or not self.safety_rules.may_attempt_again(call):
            return
        attempt.hedged = True
        self.hedge_tokens -= min(MAX_HEDGE_WORK, (self.now - attempt.sent_at) / max(mean, MIN_LATENCY))
        if self.settings.may_duplicate:
            self.retry_tokens -= 1
            self.enqueue(call)
        elif self.settings.may_cancel:
            self.actions.append(Cancel(call.id, attempt.number))

    def renew_health_leases(self) -> None:
        """Sends due health checks, charged to later regular probes, since they bring load reports too."""
        for server in self.health_leases.due_checks(self.servers.pool, self.now, self.busy + len(self.queue)):
            self.probe_tokens = max(-MAX_LEASE_PROBE_DEBT, self.probe_tokens - 1)
            self.send_probe(server)

    def send_due_probes(self, span: float) -> None:
        """Sends health checks for leases, probes that may end ejections, and regular probes for load reports.

        No regular probes where calls probe their candidates. `span`: s since the last control step."""
        if not self.settings.may_probe or not self.servers.pool:
            return
        now = self.now
        self.renew_health_leases()
        probe_rate = max(MIN_PROBE_RATE, PROBES_PER_CALL * self.admission.arrival_rate)
        self.probe_tokens = max(self.probe_tokens, min(2.0, self.probe_tokens + probe_rate * span))
        for server in self.servers.known.values():
            probe_due = server.ejected_until and now >= server.ejected_until and not server.probing
            if probe_due and server.state is ServerState.SERVING:
                self.send_probe(server)
        while self.probe_tokens >= 1 and not self.probes_before_send:
            candidates = [s for s in self.servers.pool if not s.probing and not s.ejected_until]
            if not candidates:
                break
            self.probe_tokens -= 1
            oldest_probe_at = min(s.probed_at for s in candidates)
            self.send_probe(self.random.choice([s for s in candidates if s.probed_at == oldest_probe_at]))

    def must_wait_for_probes(self, call: Call) -> bool:
        """Returns whether a call still has to wait for probes of its candidate servers.

        The first time, it chooses and probes them: only where probes are cheap and calls so few that regular
        reports are older than a call's latency. This avoids picks by stale reports where many instances share
        few calls."""
        if call.probed_candidates is None:
            call.probed_candidates = []
            servers = self.servers
            rate = max(MIN_PROBE_RATE, PROBES_PER_CALL * self.admission.arrival_rate)
            if call.attempts or call.deadline - self.now < 3 * PRE_SEND_WAIT:
                return False
            if len(servers.pool) < rate * servers.mean_latency or servers.mean_latency < 2 * PRE_SEND_WAIT:
                return False
            usable = [s for s in servers.pool if servers.usable(s, self.now)]
            connected = [s for s in usable if servers.has_open_connection(s, self.now)]
            call.probed_candidates = self.random.sample(connected, min(PRE_SEND_PROBES - 1, len(connected)))
            others = [s for s in usable if s not in call.probed_candidates]
            call.probed_candidates += self.random.sample(
                others, min(PRE_SEND_PROBES - len(call.probed_candidates), len(others))
            )
            for server in call.probed_candidates:
                if not server.probing:
                    self.send_probe(server)
            call.probe_end = self.now + PRE_SEND_WAIT
            self.actions.append(SetTimer(PRE_SEND_WAIT, PRE_SEND_TOKEN))
        return self.now < call.probe_end - 1e-9 and any(server.probing for server in call.probed_candidates)

    def send_probe(self, server: Server) -> None:
        """Probes a server. A random shift of up to 1 ms varies the order of servers probed at once."""
        server.probing = True
        server.probed_at = self.now + self.random.random() * 1e-3
        self.actions.append(Probe(server.id))

    # Queue
    def dispatch(self) -> None:
        """Sends queued calls in the order of their utility, up to the concurrency limit."""
        position = 0
        now = self.now
        queue, servers = self.queue, self.servers
        while position < len(queue) and self.busy + 1 <= self.admission.window:
            call = queue[position]
            if self.busy and call.useful_until - now < call.cls.mean_latency.value and not call.in_flight:
                # The answer would most likely come too late, so the work would be wasted. With no other
                # attempt in flight the call is sent anyway, so that a mean that rose too far can fall.
                del queue[position]
                call.queued = False
                self.refuse(call)
                continue
            if self.probes_before_send and self.must_wait_for_probes(call):
                position += 1
                continue
            choice = servers.pick(call, self.safety_rules, now)
            if choice is None:
                if self.health_leases.required(now):
                    self.renew_health_leases()
                if not call.attempts:
                    return
                if servers.no_server_left(call, self.safety_rules, now):
                    del queue[position]
                    call.queued = False
                    if not call.in_flight:
                        self.refuse(call)
                else:
                    position += 1
                continue
            server, load = choice
            give_up_at = call.deadline if call.cls.late_answers_count else max(call.useful_until, now + TICK)
            idle_time = servers.idle_time(server, now)
            if idle_time > servers.max_idle_age and servers.connect_cost < HIGH_CONNECT_COST:
                self.actions.append(CloseIdle(server.id))
                idle_time, server.used_at = 0.0, -math.inf
            new_connection = server.used_at < now - self.settings.conn_idle
            max_idle_age = servers.max_idle_age if servers.connect_cost < HIGH_CONNECT_COST else math.inf
            attempt = self.safety_rules.send(call, server, now, give_up_at - now, load, max_idle_age)
            del queue[position]
            call.queued = False
            if attempt is None:
                continue
            self.attempts_in_flight[(call.id, attempt.number)] = attempt
            attempt.idle_time, attempt.opened, server.used_at = idle_time, new_connection, now
            server.in_flight += 1
            server.net_sends_since_report += 1
            if servers.slow_start_share(server, now) < 1:
                server.slow_start_tokens -= 1
            self.busy += 1
            self.sends_in_step += 1

    def expire_calls_waiting_for_list(self) -> None:
        """Answers queued calls that waited too long while no list is valid, so that nothing may be sent.

        A call is refused after a share of its time, or at once if no list can come within it, so that its
        client has time left to go elsewhere."""
        earliest_list_at = self.now if self.watch_active else self.next_watch_at
        kept: list[Call] = []
        for call in self.queue:
            wait_until = call.arrived_at + LIST_WAIT_SHARE * (call.deadline - call.arrived_at)
            if self.now < wait_until and earliest_list_at < wait_until:
                kept.append(call)
                continue
            call.queued = False
            if not call.in_flight:
                self.safety_rules.answer(call, self.retry_after_advice_without_list(earliest_list_at))
        self.queue[:] = kept

    def retry_after_advice_without_list(self, earliest_list_at: float) -> float:
        """Returns the advised wait of a refused client, in s, until a list may have come; 0: no advice."""
        if not self.settings.may_advise_wait:
            return 0.0
        return min(self.settings.max_wait_advice, max(self.retry_after_advice(), earliest_list_at - self.now))

    def trim_queue(self) -> None:
        """Answers queued calls that would be sent too late to be useful.

        The wait at a position of the queue is about (position + 1) * latency estimate / concurrency limit,
        and has to fit into the call's remaining useful time. The first call is exempt from this."""
        if not self.queue:
            return
        now = self.now
        wait_per_call = self.admission.latency_estimate / self.admission.window
        kept: list[Call] = []
        for call in self.queue:
            remaining = call.useful_until - now
            fits = (
                not kept
                or (len(kept) + 1) * wait_per_call + TAIL_ALLOWANCE * call.cls.mean_latency.value <= remaining
            )
            # A call that waits for probes is sent, or checked here again, before its deadline. With less than
            # a mean latency left it would be wasted work, above all on overloaded servers.
            awaiting_probes = now < call.probe_end - 1e-9 and remaining > call.cls.mean_latency.value
            if fits and remaining > 0 and (awaiting_probes or call.deadline - now > ANSWER_MARGIN):
                kept.append(call)
            else:
                call.queued = False
                if not call.in_flight:
                    self.refuse(call)
        self.queue[:] = kept
