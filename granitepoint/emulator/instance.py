"""One instance of the decision module and its environment: batches, attempts, connections and probes."""

from __future__ import annotations

import copy
import math
from typing import TYPE_CHECKING

from granitepoint import interface as api
from granitepoint.emulator.calls import Attempt, Call, CallResult
from granitepoint.emulator.server import Server
from granitepoint.logic import Balancer

if TYPE_CHECKING:
    from granitepoint.emulator.world import World

NEVER_RAN = frozenset(int(status) for status in api.NEVER_RAN)


class ConnectionPool:
    """Idle connections to one server, as (incarnation of the server process, time of the last use)."""

    __slots__ = ("expiry_scheduled", "idle", "server")

    def __init__(self, server: Server) -> None:
        self.server = server
        self.idle: list[tuple[int, float]] = []
        self.expiry_scheduled = False  # whether a call of Instance._close_expired is scheduled


class Instance:
    """Executes the actions of the decision module as a real proxy does.

    The rules of the platform are not enforced: violations are counted in Tally.violations. `stage` is the
    index of the tier that the instance sends to, `me` its number among the `balancers` that do so. Times are
    in simulated seconds.
    """

    def __init__(self, world: World, stage: int, zone: str, me: int, balancers: int, seed: int) -> None:
        self.world, self.loop, self.tally, self.day = world, world.loop, world.tally, world.day
        self.zone: str = zone
        self.seed = seed
        self.settings = copy.copy(world.settings(stage, zone, balancers))
        self.settings.me = me
        self.tier_counts = world.tally.depths[stage]
        self.registry = world.registries[stage]
        self.number: int = world.next_instance_number()
        self.tick_length = self.day.tick_ms / 1e3
        self.idle_timeout = self.day.limits.conn_idle_s
        self.connect_timeout = self.day.limits.connect_timeout_ms / 1e3
        self.max_attempts = self.day.limits.max_attempts
        self.alive: bool = False
        self.silent = False  # unreachable: connections to it time out instead of being refused
        self.incarnation: int = 0  # changes with each start and end of the process
        self._reset_state()

    def _reset_state(self) -> None:
        self.inbox: list[api.Event] = []
        self.next_batch_tick = -1  # -1: no batch is scheduled
        self.calls: dict[int, Call] = {}
        self.attempts_in_flight: dict[Attempt, None] = {}
        self.pools: dict[int, ConnectionPool] = {}
        self.listed_servers: set[int] = set()  # servers that have been on any of its lists
        # For each server that drains or is gone: when the instance was notified of it.
        self.leaving_since: dict[int, float] = {}
        # Latest listed start time of each server; none for servers that ran before the day started.
        self.notified_starts: dict[int, float] = {}
        self.version = 0
        self.watching = False

    def start(self) -> None:
        """Start a new process, which begins with the saved list of servers."""
        self._reset_state()
        self.incarnation += 1
        self.alive, self.silent = True, False
        self.balancer = Balancer(self.settings, self.seed + self.incarnation)
        self.registry.join(self)

    def terminate(self, silent: bool = False) -> None:
        """End the process with everything that it holds.

        Its calls are lost; the callers notice at once, or at their deadlines if the instance went silent.
        """
        if not self.alive:
            return
        self.alive, self.silent = False, silent
        self.incarnation += 1
        self.registry.leave(self)
        for pool in self.pools.values():
            pool.server.open_connections -= sum(
                1 for incarnation, _ in pool.idle if incarnation == pool.server.incarnation
            )
        calls, in_flight = list(self.calls.values()), list(self.attempts_in_flight)
        self._reset_state()
        for attempt in in_flight:
            attempt.status = int(api.Status.RESET)
            attempt.call.in_flight -= 1
            self._drop_connection(attempt)
            attempt.server.abandon(attempt)
        for call in calls:
            if not call.ended:
                call.ended = True
                self.loop.call_at(call.deadline if silent else self.loop.now, self._report_lost, call)

    def admission_state(self) -> tuple[float, float, int, int]:
        """Concurrency limit, fraction to reject, attempts in flight, and calls in the queue."""
        balancer = self.balancer
        return (
            balancer.admission.window,
            balancer.admission.drop(),
            balancer.busy,
            len(balancer.queue),
        )

    # -- batches
    def post(self, event: api.Event) -> None:
        """Add an event to the next batch, which is handled at the next tick."""
        self.inbox.append(event)
        if self.next_batch_tick < 0:
            self.next_batch_tick = int(self.loop.now / self.tick_length) + 1
            self.loop.call_at(
                self.next_batch_tick * self.tick_length,
                self._run_batch,
                (self.incarnation, self.next_batch_tick),
            )

    def receive_list(self, kind: api.ListKind, entries: list[api.ServerEntry], version: int) -> None:
        """Record a list from discovery for the checks of rules, and deliver it to the module."""
        if kind is not api.ListKind.FAILED:
            now = self.loop.now
            for entry in entries:
                self.listed_servers.add(entry.server)
                if entry.started_at:
                    self.notified_starts[entry.server] = entry.started_at
                if entry.state is api.ServerState.SERVING:
                    self.leaving_since.pop(entry.server, None)
                else:
                    self.leaving_since.setdefault(entry.server, now)
            if kind is not api.ListKind.INCREMENTAL:
                listed = {entry.server for entry in entries}
                for server in self.listed_servers:
                    if server not in listed:
                        self.leaving_since.setdefault(server, now)
            self.version = version
        self.post(api.ServerList(kind, entries, version))

    def knows_start(self, server: Server) -> bool:
        """Whether the instance has been notified of the latest start of the server."""
        return self.notified_starts.get(server.id, -1.0) >= server.started_at

    def _run_batch(self, argument: tuple[int, int]) -> None:
        if argument == (self.incarnation, self.next_batch_tick):
            self.next_batch_tick = -1
            self._handle()

    def _on_timer(self, argument: tuple[int, int]) -> None:
        if argument[0] == self.incarnation:
            self.inbox.append(api.Timer(argument[1]))
            self.next_batch_tick = -1
            self._handle()

    def _handle(self) -> None:
        events, self.inbox = self.inbox, []
        self.tally.steps += 1
        for action in self.balancer.handle(self.loop.now, events):
            kind = type(action)
            if kind is api.SetTimer:
                self._set_timer(action)  # type: ignore[arg-type]
            elif kind is api.Send:
                self._send(action)  # type: ignore[arg-type]
            elif kind is api.Probe:
                self._send_probe(action.server)  # type: ignore[union-attr]
            else:
                self._perform(action)

    def _perform(self, action: api.Action) -> None:
        if isinstance(action, api.Refuse):
            self._answer(action.call, CallResult.REFUSED, action.retry_after)
        elif isinstance(action, api.Fail):
            self._answer(action.call, CallResult.FAILED, 0.0)
        elif isinstance(action, api.Cancel):
            self._cancel(action)
        elif isinstance(action, api.CloseIdle):
            self._close_idle(action.server)
        elif isinstance(action, api.Watch):
            self.registry.watch(self, action.on)
        elif isinstance(action, api.Fetch):
            self.registry.fetch(self)
        elif not isinstance(action, api.Log):
            self.tally.violations["out_of_place"] += 1

    def _set_timer(self, action: api.SetTimer) -> None:
        tick = max(math.ceil((self.loop.now + action.delay) / self.tick_length - 1e-6), 1)
        self.loop.call_at(tick * self.tick_length, self._on_timer, (self.incarnation, action.token))

    # -- calls
    def accept(self, call: Call) -> None:
        """Accept a call. It is lost if the instance is not running."""
        if call.ended:
            return
        if not self.alive:
            call.ended = True
            self.loop.call_at(self.loop.now + self.connect_timeout * self.silent, self._report_lost, call)
            return
        call.instance = self
        call.deadline = self.loop.now + call.event.budget
        self.calls[call.id] = call
        self.tier_counts.calls += 1
        slack = self.day.rules.grace_to_answer_ms / 1e3 + 1e-9
        self.loop.call_at(call.deadline + slack, self._on_overdue, call)
        self.post(call.event)

    @staticmethod
    def _report_lost(call: Call) -> None:
        call.caller.on_call_ended(call, CallResult.LOST, 0.0, None)

    def caller_left(self, call: Call) -> None:
        """End a call whose caller no longer waits for it; on_call_ended is not called."""
        if not call.ended:
            call.ended = True
            if not call.in_flight:
                self.calls.pop(call.id, None)
            if self.alive:
                self.post(api.Gone(call.id))

    def _on_overdue(self, call: Call) -> None:
        if not call.ended:
            self.tally.violations["unanswered"] += 1
            self.caller_left(call)
            call.caller.on_call_ended(call, CallResult.LOST, 0.0, None)

    def _answer(self, id: int, result: CallResult, retry_after: float) -> None:
        call = self.calls.get(id)
        if call is None or call.ended:
            return  # the call has ended in the meantime
        if result is CallResult.REFUSED and not self._may_refuse(call):
            self.tally.violations["repeat"] += 1
        if result is CallResult.REFUSED:
            self.tier_counts.refused += 1
        else:
            self.tier_counts.failed += 1
        self._end_call(call, result, retry_after, None)

    def _end_call(self, call: Call, result: CallResult, retry_after: float, attempt: Attempt | None) -> None:
        call.ended = True
        if not call.in_flight:
            self.calls.pop(call.id, None)
        call.caller.on_call_ended(call, result, retry_after, attempt)

    def _may_refuse(self, call: Call) -> bool:
        cls = call.request.cls
        if cls.effect == "repeatable" or (cls.effect == "by_key" and cls.group == "all"):
            return True
        return all(one.status in NEVER_RAN for one in call.attempts)

    def _may_repeat(self, call: Call, server: Server) -> bool:
        """Whether the rule against duplicate effects allows another attempt at this server now."""
        cls = call.request.cls
        if call.in_flight and not self.day.limits.duplicates:
            return False
        # The first attempt that may have been executed.
        first_executed = next((one for one in call.attempts if one.status not in NEVER_RAN), None)
        if first_executed is None or cls.effect == "repeatable":
            return True
        if cls.effect == "once" or self.loop.now > first_executed.sent_at + cls.window_ms / 1e3:
            return False
        if cls.group == "all":
            return True
        first_server = first_executed.server
        return first_server.zone == server.zone and (cls.group == "zone" or first_server.cell == server.cell)

    # -- attempts
    def _send(self, action: api.Send) -> None:
        call, server, now = self.calls.get(action.call), self.world.servers.get(action.server), self.loop.now
        if call is None or server is None or server.id not in self.listed_servers:
            self.tally.violations["out_of_place"] += 1
            return
        number = len(call.attempts)
        deadline = min(call.deadline, now + action.timeout) if action.timeout > 0 else call.deadline
        attempt = Attempt(call, number, self, server, now, deadline)
        if call.ended or number >= self.max_attempts or deadline <= now:
            call.attempts.append(attempt)
            call.in_flight += 1
            self._finish_attempt(attempt, api.Status.MOOT)
            return
        if number and not self._may_repeat(call, server):
            self.tally.violations["repeat"] += 1
        if (
            server.id in self.leaving_since
            and now > self.leaving_since[server.id] + self.day.rules.drain_grace_ms / 1e3
        ):
            self.tally.violations["drain"] += 1
        call.attempts.append(attempt)
        call.in_flight += 1
        self.attempts_in_flight[attempt] = None
        self.tier_counts.attempts += 1
        call.request.window.attempts += 1
        self._transmit(attempt, action)

    def _transmit(self, attempt: Attempt, action: api.Send) -> None:
        """Send the attempt over an idle connection, or over a new one.

        `action.trust` is the largest idle age of a connection that may be used. `action.within` is the time
        within which the last byte has to be sent; the attempt is moot if the handshake takes longer.
        """
        server, loop = attempt.server, self.loop
        delay = self.world.delay(self.zone, server.zone)
        idle_for = self._take_idle_connection(server, action.trust)
        if idle_for is not None:
            attempt.idle_for = max(idle_for, 1e-9)
            loop.call_at(loop.now + delay, server.receive, attempt)
        elif server.silent or (server.up and server.open_connections >= server.tier.connections):
            attempt.incarnation = -1  # no connection
            loop.call_at(loop.now + self.connect_timeout, self._on_connect_failed, attempt)
        elif not server.up:
            attempt.incarnation = -1
            loop.call_at(loop.now + 2 * delay, self._on_connect_failed, attempt)
        else:
            tier = server.tier
            delay *= 1 + 2 * tier.handshake_rtts
            server.open_connections += 1
            attempt.handshake_work = tier.handshake_us / 1e6
            self.tier_counts.handshakes += 1
            if delay > action.within:
                server.open_connections -= 1
                attempt.incarnation = -1
                self._finish_attempt(attempt, api.Status.MOOT)
                return
            loop.call_at(loop.now + delay, server.receive, attempt)
        loop.call_at(attempt.deadline, self._on_timeout, attempt)

    def _on_connect_failed(self, attempt: Attempt) -> None:
        if attempt.status < 0:
            self._finish_attempt(attempt, api.Status.CONNECT_FAILED)

    def _on_timeout(self, attempt: Attempt) -> None:
        if attempt.status < 0:
            self._drop_connection(attempt)
            self._finish_attempt(attempt, api.Status.TIMEOUT)
            attempt.server.abandon(attempt)

    def _cancel(self, action: api.Cancel) -> None:
        call = self.calls.get(action.call)
        if call is None or not 0 <= action.attempt < len(call.attempts):
            return
        attempt = call.attempts[action.attempt]
        if attempt.status < 0:
            self._drop_connection(attempt)
            self._finish_attempt(attempt, api.Status.CANCELLED)
            attempt.server.abandon(attempt)

    def on_reply(self, attempt: Attempt) -> None:
        """Handle the answer of the server."""
        if attempt.status >= 0:
            return
        if attempt.reply_status != api.Status.RESET and attempt.incarnation == attempt.server.incarnation:
            self._keep_connection(attempt.server)
        self._finish_attempt(attempt, api.Status(attempt.reply_status))

    def _finish_attempt(self, attempt: Attempt, status: api.Status) -> None:
        call, now = attempt.call, self.loop.now
        attempt.status = int(status)
        call.in_flight -= 1
        self.attempts_in_flight.pop(attempt, None)
        self._count_status(status)
        if status == api.Status.OK and not call.ended:
            self.tier_counts.served += 1
            self._end_call(call, CallResult.SERVED, 0.0, attempt)
        elif call.ended and not call.in_flight:
            self.calls.pop(call.id, None)
        self.post(
            api.Outcome(
                call.id, attempt.number, attempt.server.id, int(status), now - attempt.sent_at, call.ended,
                None, attempt.idle_for,
            )
        )  # fmt: skip

    def _count_status(self, status: api.Status) -> None:
        counts = self.tier_counts
        if status == api.Status.FULL:
            counts.full += 1
        elif status == api.Status.ERROR:
            counts.errors += 1
        elif status == api.Status.TIMEOUT:
            counts.timeouts += 1
        elif status == api.Status.CONNECT_FAILED:
            counts.connect_failed += 1
        elif status == api.Status.RESET:
            counts.resets += 1

    # -- connections
    def _take_idle_connection(self, server: Server, max_idle_age: float) -> float | None:
        """Take an idle connection of at most that age. Returns how long it was idle; None: there is none."""
        pool = self.pools.get(server.id)
        while pool is not None and pool.idle:
            incarnation, used_at = pool.idle.pop()
            idle_for = self.loop.now - used_at
            if incarnation != server.incarnation and not server.silent:
                continue  # closed when the server process ended
            if idle_for <= min(max_idle_age, self.idle_timeout):
                return idle_for
            if incarnation == server.incarnation:
                server.open_connections -= 1
        return None

    def _keep_connection(self, server: Server) -> None:
        pool = self.pools.get(server.id)
        if pool is None:
            pool = self.pools[server.id] = ConnectionPool(server)
        pool.idle.append((server.incarnation, self.loop.now))
        if not pool.expiry_scheduled:
            pool.expiry_scheduled = True
            self.loop.call_at(
                self.loop.now + self.idle_timeout, self._close_expired, (self.incarnation, pool)
            )

    def _close_expired(self, argument: tuple[int, ConnectionPool]) -> None:
        incarnation, pool = argument
        if incarnation != self.incarnation:
            return
        expiry_cutoff = self.loop.now - self.idle_timeout
        while pool.idle and pool.idle[0][1] <= expiry_cutoff + 1e-9:
            if pool.idle.pop(0)[0] == pool.server.incarnation:
                pool.server.open_connections -= 1
        pool.expiry_scheduled = bool(pool.idle)
        if pool.idle:
            self.loop.call_at(pool.idle[0][1] + self.idle_timeout, self._close_expired, argument)

    def _drop_connection(self, attempt: Attempt) -> None:
        """Close the connection of an attempt: the answer on it is no longer wanted."""
        if attempt.incarnation == attempt.server.incarnation and attempt.server.up:
            attempt.server.open_connections -= 1

    def _close_idle(self, id: int) -> None:
        pool = self.pools.get(id)
        if pool is not None:
            pool.server.open_connections -= sum(
                1 for incarnation, _ in pool.idle if incarnation == pool.server.incarnation
            )
            pool.idle.clear()

    # -- probes
    def _send_probe(self, id: int) -> None:
        server = self.world.servers.get(id)
        if server is None or id not in self.listed_servers:
            self.tally.violations["out_of_place"] += 1
            return
        self.tier_counts.probes += 1
        delay = self.world.delay(self.zone, server.zone)
        self.loop.call_at(
            self.loop.now + delay, self._on_probe_arrived, (self.incarnation, server, self.loop.now, delay)
        )

    def _on_probe_arrived(self, argument: tuple[int, Server, float, float]) -> None:
        incarnation, server, sent_at, delay = argument
        status, report = api.Status.CONNECT_FAILED, None
        returns_at = self.loop.now + delay
        if server.silent:
            status, returns_at = api.Status.TIMEOUT, sent_at + server.tier.probe_timeout_ms / 1e3
        elif server.up:
            status, report = server.answer_probe()
        event = api.Probed(server.id, int(status), returns_at - sent_at, report)
        self.loop.call_at(returns_at, self._on_probe_returned, (incarnation, event))

    def _on_probe_returned(self, argument: tuple[int, api.Probed]) -> None:
        if argument[0] == self.incarnation:
            self.post(argument[1])
