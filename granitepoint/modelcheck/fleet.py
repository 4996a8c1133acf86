"""Simulates many instances in front of the same servers under random traffic, to check cold starts."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from random import Random

from granitepoint.interface import (
    Arrival,
    Cancel,
    Effect,
    Event,
    ListKind,
    Outcome,
    Probe,
    Probed,
    RequestClass,
    Send,
    ServerEntry,
    ServerList,
    ServerState,
    SetTimer,
    Settings,
    Status,
    Timer,
)
from granitepoint.modelcheck.world import BalancerFactory, RuleViolation

IMMEDIATE_FAILURE_TIME = 0.005  # s until an attempt ends that fails in another way than by a timeout
DEFAULT_MAX_LIST_DELAY = 0.3  # s until the last instance has a list, unless a rule delays lists further
ROUGH_WEIGHT_RANGE = 0.8, 1.25  # a rough weight is the size times a factor from this range


@dataclass(slots=True)
class ColdStart:
    """A server's cold start and the attempts sent to the server since then, but for failed connects.

    `size` is the size of the server.

    An element of `sends` is the time and whether the sending instance had been notified of the start.
    """

    server: int
    started_at: float
    size: float = 1.0
    sends: list[tuple[float, bool]] = field(default_factory=list)


@dataclass(slots=True)
class SimulatedServer:
    """The actual state of a server: a queue that is served one call after another.

    `size` is its capacity, relative to that of a server of size 1. `weight` is what lists say of it.
    `failure_share` of its calls end with `status`, unless that is Status.OK.
    """

    size: float = 1.0
    weight: float = 1.0
    started_at: float = 0.0
    busy_until: float = 0.0  # when the work of all calls is done
    completion_times: list[float] = field(default_factory=list)  # of the calls in progress, ascending
    status: Status = Status.OK
    failure_share: float = 0.0


class ColdBudget:
    """Checks that all instances together send a cold server no more than the settings allow.

    If the settings allow N calls of mean work, N + 2 * sqrt(N) + 2 calls are accepted. It is a violation
    only if more than two thirds of the calls come from instances that were notified of the start.
    """

    name = "cold"

    def __init__(self, settings: Settings, work_per_call: float) -> None:
        self.settings, self.work_per_call = settings, work_per_call

    def allowed_calls(self, age: float, size: float = 1.0) -> float:
        """Returns the calls that a server may get in `settings.fall_within` s, if it started `age` s ago."""
        settings = self.settings
        warm_up_progress = min(1.0, age / settings.cold_for) if settings.cold_for else 1.0
        capacity = settings.cold_from + (1 - settings.cold_from) * warm_up_progress
        mean_calls = settings.fall_multiple * capacity * size * settings.fall_within / self.work_per_call
        return mean_calls + 2 * math.sqrt(mean_calls) + 2

    def peak_usage(self, start: ColdStart) -> tuple[float, float]:
        """Returns the largest used fraction of the budget, and the server's age at the start of that window.

        Only windows in which more than two thirds of the sends came from notified instances count.
        """
        max_usage, age_at_max, end_index = 0.0, 0.0, 0
        window, warm_at = self.settings.fall_within, start.started_at + self.settings.cold_for
        sends = [send for send in start.sends if send[0] < warm_at]
        for start_index, (window_start, _) in enumerate(sends):
            age = window_start - start.started_at
            while end_index < len(sends) and sends[end_index][0] < window_start + window:
                end_index += 1
            notified = sum(1 for _, notified in sends[start_index:end_index] if notified)
            usage = (end_index - start_index) / self.allowed_calls(age, start.size)
            if usage > max_usage and notified > (end_index - start_index) * 2 / 3:
                max_usage, age_at_max = usage, age
        return max_usage, age_at_max

    def check(self, start: ColdStart) -> None:
        """Raises RuleViolation if a cold start used more than its budget."""
        usage, age = self.peak_usage(start)
        if usage > 1:
            text = f"server {start.server} got {usage:.2f} times its budget, {age:.3f} s after its start"
            raise RuleViolation(self.name, text)


class Fleet:
    """Instances, servers and clients on one simulated clock.

    `work_per_call` is the mean work of a call, in seconds of a server of size 1. Instances are named by their
    index, servers by their id.
    """

    def __init__(
        self,
        settings: dict[str, object],
        instance_count: int,
        server_count: int,
        work_per_call: float,
        seed: int,
        balancer_factory: BalancerFactory,
        sizes: Sequence[float] = (1.0,),
        cores: int = 1,
        next_tier_latency: float = 0.0,
    ) -> None:
        """`sizes`: of the servers, repeated as often as needed. `cores`: of each server, for live weights.
        `next_tier_latency`: s for which a server holds a call after its own work on it."""
        self.rng = Random(seed)
        self.event_order = count()
        self.call_ids = count(1)
        self.work_per_call, self.balancer_factory, self.seed = work_per_call, balancer_factory, seed
        deadline = max(3.0, 10 * work_per_call) + 2 * next_tier_latency
        cls = RequestClass("call", 1.0, deadline * 0.4, deadline, 0.5, Effect.REPEATABLE)
        self.all_settings = [
            Settings([cls], me=instance, balancers=instance_count, zone="a", **settings)  # type: ignore[arg-type]
            for instance in range(instance_count)
        ]
        self.budget_rule = ColdBudget(self.all_settings[0], work_per_call)
        self.cores, self.next_tier_latency = cores, next_tier_latency
        self.servers = {
            server: SimulatedServer(sizes[server % len(sizes)]) for server in range(1, server_count + 1)
        }
        self.now = 100.0
        self.sample_weights()
        self.utilization = 0.5  # offered load as a share of the capacity of all warm servers
        self.traffic_weights = [1.0] * instance_count
        self.max_list_delay = DEFAULT_MAX_LIST_DELAY  # s
        self.instances = [
            self.balancer_factory(instance_settings, seed * 1000 + instance_settings.me)
            for instance_settings in self.all_settings
        ]
        # How often each instance was replaced. Events for an earlier generation are dropped.
        self.generations = [0] * instance_count
        self.stalled_until = [0.0] * instance_count
        # Per instance: the start time of each server, as far as the instance was notified of it.
        self.known_starts: list[dict[int, float]] = [{} for _ in range(instance_count)]
        # Per instance: the server of each attempt, by call and number of the attempt.
        self.attempts_in_flight: list[dict[tuple[int, int], int]] = [{} for _ in range(instance_count)]
        # Per instance: the number of attempts of each call so far.
        self.attempts_sent: list[dict[int, int]] = [{} for _ in range(instance_count)]
        self.cold_starts: dict[int, ColdStart] = {}  # the last one of each server that restarted
        self.earlier_starts: list[ColdStart] = []  # of servers that have restarted again since
        # Time, tie breaker, instance, its generation, and a function that makes the event.
        self.event_queue: list[tuple[float, int, int, int, Callable[[], Event | None]]] = []
        for instance in range(instance_count):
            self.start_instance(instance)
        self.next_arrival = self.now + self.interarrival_time()

    # Changes to instances, servers, lists and traffic.
    def start_instance(self, instance: int) -> None:
        """Schedules the first list of an instance, a saved one of all servers."""
        self.schedule(0.0, instance, partial(self.server_list, instance, ListKind.SAVED, list(self.servers)))

    def sample_weights(self) -> None:
        """Sets the weights that lists give from now on, according to their meaning in the settings."""
        for server, simulated in self.servers.items():
            meaning = self.all_settings[0].weights
            if meaning == "nominal":
                simulated.weight = simulated.size
            elif meaning == "rough":
                simulated.weight = simulated.size * self.rng.uniform(*ROUGH_WEIGHT_RANGE)
            elif meaning == "live":
                held_per_core = self.calls_in_progress(server) / self.cores
                simulated.weight = simulated.size / (1 + held_per_core)

    def server_entry(self, server: int) -> ServerEntry:
        """Returns the list entry of a server."""
        simulated = self.servers[server]
        return ServerEntry(server, zone="a", weight=simulated.weight, started_at=simulated.started_at)

    def server_list(self, instance: int, kind: ListKind, servers: list[int]) -> Event:
        """Makes a list of the current state and records that the instance was notified of it.

        It is called at the time of the delivery, so no list brings back an older state.
        """
        entries = [self.server_entry(server) for server in servers]
        for entry in entries:
            self.known_starts[instance][entry.server] = max(
                entry.started_at, self.known_starts[instance].get(entry.server, 0.0)
            )
        return ServerList(kind, entries)

    def restart_server(self, server: int) -> None:
        """Replaces a server by a cold process and sends all instances a list, each after its own delay.

        A live weight is that of the last sample, unless the weights are sampled again.
        """
        simulated = self.servers[server]
        simulated.started_at, simulated.completion_times = self.now, []
        simulated.busy_until = self.now
        if server in self.cold_starts:
            self.earlier_starts.append(self.cold_starts.pop(server))
        self.cold_starts[server] = ColdStart(server, self.now, simulated.size)
        self.publish_list([server])

    def publish_list(self, servers: list[int], kind: ListKind = ListKind.INCREMENTAL) -> None:
        """Sends all instances a list, each after a random delay of up to `max_list_delay`."""
        for instance in range(len(self.instances)):
            self.schedule(
                self.max_list_delay * self.rng.random(),
                instance,
                partial(self.server_list, instance, kind, servers),
            )

    def drop_from_list(self, server: int) -> None:
        """Sends all instances a full list without a server and soon after that one with it."""
        others = [other for other in self.servers if other != server]
        for instance in range(len(self.instances)):
            self.schedule(0.01, instance, partial(self.server_list, instance, ListKind.FULL, others))
            self.schedule(
                0.2, instance, partial(self.server_list, instance, ListKind.FULL, [*others, server])
            )

    def remove_and_restart(self, server: int) -> None:
        """Lists a server as gone and restarts it."""
        removed = [ServerEntry(server, zone="a", state=ServerState.GONE)]
        for instance in range(len(self.instances)):
            self.schedule(0.0, instance, lambda: ServerList(ListKind.INCREMENTAL, removed))
        self.restart_server(server)

    def restart_instance(self, instance: int) -> None:
        """Replaces an instance by a new process, which has no state."""
        self.generations[instance] += 1
        self.instances[instance] = self.balancer_factory(
            self.all_settings[instance], self.rng.randrange(1 << 30)
        )
        self.known_starts[instance], self.attempts_in_flight[instance], self.attempts_sent[instance] = (
            {},
            {},
            {},
        )
        self.start_instance(instance)

    def set_traffic_shares(self, seed: int, skew: float) -> None:
        """Redistributes the traffic between the instances; with more skew some get several times the mean."""
        rng = Random(seed)
        self.traffic_weights = [rng.expovariate(1) ** skew + 0.01 for _ in self.traffic_weights]

    def stall(self, instance: int, time_span: float) -> None:
        """Delays the events of an instance for a time span in seconds."""
        self.stalled_until[instance] = self.now + time_span

    # The event queue.
    def schedule(self, delay: float, instance: int, make_event: Callable[[], Event | None]) -> None:
        """Queues an event for an instance; `make_event` is called at that time and may return None."""
        heapq.heappush(
            self.event_queue,
            (self.now + delay, next(self.event_order), instance, self.generations[instance], make_event),
        )

    def run(self, time_span: float) -> None:
        """Lets time pass, in seconds, and checks the budget of each server's last cold start.

        Raises RuleViolation if a budget is exceeded.
        """
        end = self.now + time_span
        while True:
            at = self.event_queue[0][0] if self.event_queue else math.inf
            if self.next_arrival <= min(at, end):
                self.add_arrival()
                continue
            if at > end:
                break
            at, _, instance, generation, make_event = heapq.heappop(self.event_queue)
            if generation != self.generations[instance]:
                continue
            if at < self.stalled_until[instance]:
                heapq.heappush(
                    self.event_queue,
                    (self.stalled_until[instance], next(self.event_order), instance, generation, make_event),
                )
                continue
            self.now = max(self.now, at)
            event = make_event()
            if event is not None:
                self.deliver(instance, event)
        self.now = end
        for start in self.cold_starts.values():
            self.budget_rule.check(start)

    def deliver(self, instance: int, event: Event) -> None:
        """Gives an instance one event and carries out its actions."""
        for action in self.instances[instance].handle(self.now, [event]):
            if isinstance(action, SetTimer):
                self.schedule(action.delay, instance, partial(Timer, action.token))
            elif isinstance(action, Probe):
                self.answer_probe(instance, action.server)
            elif isinstance(action, Send):
                self.execute_send(instance, action)
            elif isinstance(action, Cancel):
                self.schedule_outcome(instance, action.call, action.attempt, Status.CANCELLED, 0.0)

    def interarrival_time(self) -> float:
        """Returns a random time until the next request, in seconds."""
        total_size = sum(simulated.size for simulated in self.servers.values())
        return self.rng.expovariate(self.utilization / self.work_per_call * total_size)

    def add_arrival(self) -> None:
        """Adds the next request, at an instance chosen by the traffic weights."""
        self.now = self.next_arrival
        self.next_arrival += self.interarrival_time()
        (instance,) = self.rng.choices(range(len(self.traffic_weights)), self.traffic_weights)
        arrival = Arrival(next(self.call_ids), "call", self.all_settings[instance].classes[0].deadline)
        self.schedule(0.0, instance, lambda: arrival)

    # Servers.
    def capacity_share(self, server: int) -> float:
        """Returns the capacity of a server as a share of that of a warm one."""
        settings = self.all_settings[0]
        age = self.now - self.servers[server].started_at
        if not self.servers[server].started_at or age >= settings.cold_for:
            return 1.0
        return settings.cold_from + (1 - settings.cold_from) * age / settings.cold_for

    def calls_in_progress(self, server: int) -> int:
        """Returns the number of calls that a server holds and forgets those that have ended."""
        simulated = self.servers[server]
        simulated.completion_times = [end for end in simulated.completion_times if end > self.now]
        return len(simulated.completion_times)

    def answer_probe(self, instance: int, server: int) -> None:
        """Schedules the result of a probe."""
        simulated = self.servers[server]
        unresponsive = (
            simulated.status in (Status.TIMEOUT, Status.CONNECT_FAILED) and simulated.failure_share >= 1
        )
        status = Status.TIMEOUT if unresponsive else Status.OK
        report = None if unresponsive else {"busy_reqs": float(self.calls_in_progress(server))}
        delay = 0.2 if unresponsive else 0.002
        self.schedule(delay, instance, lambda: Probed(server, status, delay, report))

    def execute_send(self, instance: int, action: Send) -> None:
        """Carries out an attempt: adds it to the server's queue, or fails it, and schedules its outcome."""
        server, simulated = action.server, self.servers[action.server]
        attempt = self.attempts_sent[instance].get(action.call, 0)
        self.attempts_sent[instance][action.call] = attempt + 1
        self.attempts_in_flight[instance][action.call, attempt] = server
        failing = simulated.status is not Status.OK and self.rng.random() < simulated.failure_share
        if server in self.cold_starts and not (failing and simulated.status is Status.CONNECT_FAILED):
            notified = self.known_starts[instance].get(server, 0.0) >= simulated.started_at
            self.cold_starts[server].sends.append((self.now, notified))
        if failing and simulated.status is not Status.TIMEOUT:
            self.schedule_outcome(instance, action.call, attempt, simulated.status, IMMEDIATE_FAILURE_TIME)
            return
        self.calls_in_progress(server)
        work = self.rng.expovariate(1 / self.work_per_call) / self.capacity_share(server) / simulated.size
        simulated.busy_until = max(self.now, simulated.busy_until) + work
        simulated.completion_times.append(simulated.busy_until + self.next_tier_latency)
        latency = simulated.completion_times[-1] - self.now
        if failing or latency >= action.timeout:
            self.schedule_outcome(instance, action.call, attempt, Status.TIMEOUT, action.timeout)
        else:
            self.schedule_outcome(instance, action.call, attempt, Status.OK, latency)

    def schedule_outcome(
        self, instance: int, call: int, attempt: int, status: Status, latency: float
    ) -> None:
        """Schedules the end of an attempt, unless it ends earlier in another way."""

        def outcome() -> Event | None:
            server = self.attempts_in_flight[instance].pop((call, attempt), None)
            if server is None:
                return None
            return Outcome(call, attempt, server, status, latency, status is Status.OK)

        self.schedule(latency, instance, outcome)
