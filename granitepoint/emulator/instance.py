"""One instance of the decision module with what surrounds it: batches, attempts, connections and probes."""

from __future__ import annotations

import copy
import math
from typing import TYPE_CHECKING

from granitepoint import interface as api
from granitepoint.emulator.calls import Attempt, Call, End
from granitepoint.emulator.server import Server
from granitepoint.logic import Balancer

if TYPE_CHECKING:
    from granitepoint.emulator.world import World

NEVER_RAN = frozenset(int(status) for status in api.NEVER_RAN)


class Pool:
    """Idle connections to one server: the process that each leads to, and when it was last used."""

    __slots__ = ("idle", "server", "swept")

    def __init__(self, server: Server) -> None:
        self.server = server
        self.idle: list[tuple[int, float]] = []
        self.swept = False  # a look at their age is due


class Instance:
    """What the module says is done here as a real proxy does it; the rules are watched, not enforced."""

    def __init__(self, world: World, stage: int, zone: str, me: int, balancers: int, seed: int) -> None:
        self.world, self.loop, self.tally, self.day = world, world.loop, world.tally, world.day
        self.zone: str = zone
        self.seed = seed
        self.settings = copy.copy(world.settings(stage, zone, balancers))
        self.settings.me = me
        self.count = world.tally.depths[stage]
        self.registry = world.registries[stage]
        self.number: int = world.next_instance()
        self.quantum = self.day.tick_ms / 1e3
        self.idle_for = self.day.limits.conn_idle_s
        self.connect_timeout = self.day.limits.connect_timeout_ms / 1e3
        self.max_attempts = self.day.limits.max_attempts
        self.alive: bool = False
        self.silent = False  # it does not even refuse connections
        self.life: int = 0
        self._empty()

    def _empty(self) -> None:
        self.inbox: list[api.Event] = []
        self.due = -1  # the tick of the next batch; -1: none
        self.calls: dict[int, Call] = {}
        self.out: dict[Attempt, None] = {}
        self.pools: dict[int, Pool] = {}
        self.known: set[int] = set()  # servers that its lists have named
        self.left: dict[int, float] = {}  # servers that drain or are gone, and since when it knows
        self.told: dict[int, float] = {}  # the start that the last list told of each server
        self.version = 0
        self.watching = False

    def start(self) -> None:
        """A new process: it knows the list as last held."""
        self._empty()
        self.life += 1
        self.alive, self.silent = True, False
        self.balancer = Balancer(self.settings, self.seed + self.life)
        self.registry.join(self)

    def kill(self, silent: bool = False) -> None:
        """The process ends with all that it held. Where it went silent its callers wait in vain."""
        if not self.alive:
            return
        self.alive, self.silent = False, silent
        self.life += 1
        self.registry.leave(self)
        for pool in self.pools.values():
            pool.server.open -= sum(1 for life, _ in pool.idle if life == pool.server.life)
        calls, out = list(self.calls.values()), list(self.out)
        self._empty()
        for attempt in out:
            attempt.status = int(api.Status.RESET)
            attempt.call.out -= 1
            self._drop_connection(attempt)
            attempt.server.abandon(attempt)
        for call in calls:
            if not call.ended:
                call.ended = True
                self.loop.at(call.deadline if silent else self.loop.now, self._lost, call)

    def state(self) -> tuple[float, float, int, int]:
        """Its limit of calls in flight, the share it means to refuse, attempts in flight and calls held."""
        balancer = self.balancer
        return (
            balancer.admission.window,
            balancer.admission.drop(),
            balancer.busy,
            len(balancer.queue),
        )

    # -- batches
    def post(self, event: api.Event) -> None:
        """Put an event into the next batch."""
        self.inbox.append(event)
        if self.due < 0:
            self.due = int(self.loop.now / self.quantum) + 1
            self.loop.at(self.due * self.quantum, self._batch, (self.life, self.due))

    def post_list(self, kind: api.ListKind, entries: list[api.ServerEntry], version: int) -> None:
        if kind is not api.ListKind.FAILED:
            now = self.loop.now
            for entry in entries:
                self.known.add(entry.server)
                if entry.started_at:
                    self.told[entry.server] = entry.started_at
                if entry.state is api.ServerState.SERVING:
                    self.left.pop(entry.server, None)
                else:
                    self.left.setdefault(entry.server, now)
            if kind is not api.ListKind.INCREMENTAL:
                named = {entry.server for entry in entries}
                for server in self.known:
                    if server not in named:
                        self.left.setdefault(server, now)
            self.version = version
        self.post(api.ServerList(kind, entries, version))

    def knows_start(self, server: Server) -> bool:
        return self.told.get(server.id, -1.0) >= server.started_at

    def _batch(self, which: tuple[int, int]) -> None:
        if which == (self.life, self.due):
            self.due = -1
            self._handle()

    def _timer(self, which: tuple[int, int]) -> None:
        if which[0] == self.life:
            self.inbox.append(api.Timer(which[1]))
            self.due = -1
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
                self._probe(action.server)  # type: ignore[union-attr]
            else:
                self._do(action)

    def _do(self, action: api.Action) -> None:
        if isinstance(action, api.Refuse):
            self._answer(action.call, End.REFUSED, action.retry_after)
        elif isinstance(action, api.Fail):
            self._answer(action.call, End.FAILED, 0.0)
        elif isinstance(action, api.Cancel):
            self._cancel(action)
        elif isinstance(action, api.CloseIdle):
            self._close_idle(action.server)
        elif isinstance(action, api.Watch):
            self.registry.watch(self, action.on)
        elif isinstance(action, api.Fetch):
            self.registry.fetch(self)
        elif not isinstance(action, api.Log):
            self.tally.breaks["out_of_place"] += 1

    def _set_timer(self, action: api.SetTimer) -> None:
        tick = max(math.ceil((self.loop.now + action.delay) / self.quantum - 1e-6), 1)
        self.loop.at(tick * self.quantum, self._timer, (self.life, action.token))

    # -- calls
    def take(self, call: Call) -> None:
        """A call comes in. What can't reach a live instance is lost."""
        if call.ended:
            return
        if not self.alive:
            call.ended = True
            self.loop.at(self.loop.now + self.connect_timeout * self.silent, self._lost, call)
            return
        call.instance = self
        call.deadline = self.loop.now + call.event.budget
        self.calls[call.id] = call
        self.count.calls += 1
        slack = self.day.rules.grace_to_answer_ms / 1e3 + 1e-9
        self.loop.at(call.deadline + slack, self._overdue, call)
        self.post(call.event)

    @staticmethod
    def _lost(call: Call) -> None:
        call.asker.answered(call, End.LOST, 0.0, None)

    def leave(self, call: Call) -> None:
        """Its asker waits no longer."""
        if not call.ended:
            call.ended = True
            if not call.out:
                self.calls.pop(call.id, None)
            if self.alive:
                self.post(api.Gone(call.id))

    def _overdue(self, call: Call) -> None:
        if not call.ended:
            self.tally.breaks["unanswered"] += 1
            self.leave(call)
            call.asker.answered(call, End.LOST, 0.0, None)

    def _answer(self, id: int, end: End, retry_after: float) -> None:
        call = self.calls.get(id)
        if call is None or call.ended:
            return  # it has ended meanwhile
        if end is End.REFUSED and not self._may_refuse(call):
            self.tally.breaks["repeat"] += 1
        if end is End.REFUSED:
            self.count.refused += 1
        else:
            self.count.failed += 1
        self._end(call, end, retry_after, None)

    def _end(self, call: Call, end: End, retry_after: float, attempt: Attempt | None) -> None:
        call.ended = True
        if not call.out:
            self.calls.pop(call.id, None)
        call.asker.answered(call, end, retry_after, attempt)

    def _may_refuse(self, call: Call) -> bool:
        cls = call.request.cls
        if cls.effect == "repeatable" or (cls.effect == "by_key" and cls.group == "all"):
            return True
        return all(one.status in NEVER_RAN for one in call.attempts)

    def _may_repeat(self, call: Call, server: Server) -> bool:
        """Whether the rule on double effects lets a further attempt go to this server now."""
        cls = call.request.cls
        if call.out and not self.day.limits.duplicates:
            return False
        first = next((one for one in call.attempts if one.status not in NEVER_RAN), None)
        if first is None or cls.effect == "repeatable":
            return True
        if cls.effect == "once" or self.loop.now > first.sent_at + cls.window_ms / 1e3:
            return False
        if cls.group == "all":
            return True
        there = first.server
        return there.zone == server.zone and (cls.group == "zone" or there.cell == server.cell)

    # -- attempts
    def _send(self, action: api.Send) -> None:
        call, server, now = self.calls.get(action.call), self.world.servers.get(action.server), self.loop.now
        if call is None or server is None or server.id not in self.known:
            self.tally.breaks["out_of_place"] += 1
            return
        number = len(call.attempts)
        deadline = min(call.deadline, now + action.timeout) if action.timeout > 0 else call.deadline
        attempt = Attempt(call, number, self, server, now, deadline)
        if call.ended or number >= self.max_attempts or deadline <= now:
            call.attempts.append(attempt)
            call.out += 1
            self._settle(attempt, api.Status.MOOT)
            return
        if number and not self._may_repeat(call, server):
            self.tally.breaks["repeat"] += 1
        if server.id in self.left and now > self.left[server.id] + self.day.rules.drain_grace_ms / 1e3:
            self.tally.breaks["drain"] += 1
        call.attempts.append(attempt)
        call.out += 1
        self.out[attempt] = None
        self.count.attempts += 1
        call.request.window.attempts += 1
        self._carry(attempt, action)

    def _carry(self, attempt: Attempt, action: api.Send) -> None:
        """Send it over an idle connection, or open one for it."""
        server, loop = attempt.server, self.loop
        delay = self.world.delay(self.zone, server.zone)
        rested = self._take_idle(server, action.trust)
        if rested is not None:
            attempt.rested = max(rested, 1e-9)
            loop.at(loop.now + delay, server.receive, attempt)
        elif server.silent or (server.up and server.open >= server.tier.connections):
            attempt.life = -1  # no connection
            loop.at(loop.now + self.connect_timeout, self._not_connected, attempt)
        elif not server.up:
            attempt.life = -1
            loop.at(loop.now + 2 * delay, self._not_connected, attempt)
        else:
            tier = server.tier
            delay *= 1 + 2 * tier.handshake_rtts
            server.open += 1
            attempt.overhead = tier.handshake_us / 1e6
            self.count.handshakes += 1
            if delay > action.within:
                server.open -= 1
                attempt.life = -1
                self._settle(attempt, api.Status.MOOT)
                return
            loop.at(loop.now + delay, server.receive, attempt)
        loop.at(attempt.deadline, self._timed_out, attempt)

    def _not_connected(self, attempt: Attempt) -> None:
        if attempt.status < 0:
            self._settle(attempt, api.Status.CONNECT_FAILED)

    def _timed_out(self, attempt: Attempt) -> None:
        if attempt.status < 0:
            self._drop_connection(attempt)
            self._settle(attempt, api.Status.TIMEOUT)
            attempt.server.abandon(attempt)

    def _cancel(self, action: api.Cancel) -> None:
        call = self.calls.get(action.call)
        if call is None or not 0 <= action.attempt < len(call.attempts):
            return
        attempt = call.attempts[action.attempt]
        if attempt.status < 0:
            self._drop_connection(attempt)
            self._settle(attempt, api.Status.CANCELLED)
            attempt.server.abandon(attempt)

    def replied(self, attempt: Attempt) -> None:
        """Its server's answer comes back."""
        if attempt.status >= 0:
            return
        if attempt.reply != api.Status.RESET and attempt.life == attempt.server.life:
            self._keep_connection(attempt.server)
        self._settle(attempt, api.Status(attempt.reply))

    def _settle(self, attempt: Attempt, status: api.Status) -> None:
        call, now = attempt.call, self.loop.now
        attempt.status = int(status)
        call.out -= 1
        self.out.pop(attempt, None)
        self._count(status)
        if status == api.Status.OK and not call.ended:
            self.count.served += 1
            self._end(call, End.SERVED, 0.0, attempt)
        elif call.ended and not call.out:
            self.calls.pop(call.id, None)
        self.post(
            api.Outcome(
                call.id, attempt.number, attempt.server.id, int(status), now - attempt.sent_at, call.ended,
                None, attempt.rested,
            )
        )  # fmt: skip

    def _count(self, status: api.Status) -> None:
        count = self.count
        if status == api.Status.FULL:
            count.full += 1
        elif status == api.Status.ERROR:
            count.errors += 1
        elif status == api.Status.TIMEOUT:
            count.timeouts += 1
        elif status == api.Status.CONNECT_FAILED:
            count.connect_failed += 1
        elif status == api.Status.RESET:
            count.resets += 1

    # -- connections
    def _take_idle(self, server: Server, trust: float) -> float | None:
        """How long the one that is taken had not been used; None: there is none."""
        pool = self.pools.get(server.id)
        while pool is not None and pool.idle:
            life, used_at = pool.idle.pop()
            rested = self.loop.now - used_at
            if life != server.life and not server.silent:
                continue  # its end was seen when the process ended
            if rested <= min(trust, self.idle_for):
                return rested
            if life == server.life:
                server.open -= 1
        return None

    def _keep_connection(self, server: Server) -> None:
        pool = self.pools.get(server.id)
        if pool is None:
            pool = self.pools[server.id] = Pool(server)
        pool.idle.append((server.life, self.loop.now))
        if not pool.swept:
            pool.swept = True
            self.loop.at(self.loop.now + self.idle_for, self._sweep, (self.life, pool))

    def _sweep(self, which: tuple[int, Pool]) -> None:
        life, pool = which
        if life != self.life:
            return
        oldest = self.loop.now - self.idle_for
        while pool.idle and pool.idle[0][1] <= oldest + 1e-9:
            if pool.idle.pop(0)[0] == pool.server.life:
                pool.server.open -= 1
        pool.swept = bool(pool.idle)
        if pool.idle:
            self.loop.at(pool.idle[0][1] + self.idle_for, self._sweep, which)

    def _drop_connection(self, attempt: Attempt) -> None:
        """It still carries an answer that nobody waits for: it is closed."""
        if attempt.life == attempt.server.life and attempt.server.up:
            attempt.server.open -= 1

    def _close_idle(self, id: int) -> None:
        pool = self.pools.get(id)
        if pool is not None:
            pool.server.open -= sum(1 for life, _ in pool.idle if life == pool.server.life)
            pool.idle.clear()

    # -- probes
    def _probe(self, id: int) -> None:
        server = self.world.servers.get(id)
        if server is None or id not in self.known:
            self.tally.breaks["out_of_place"] += 1
            return
        self.count.probes += 1
        delay = self.world.delay(self.zone, server.zone)
        self.loop.at(self.loop.now + delay, self._probe_there, (self.life, server, self.loop.now, delay))

    def _probe_there(self, about: tuple[int, Server, float, float]) -> None:
        life, server, sent_at, delay = about
        status, report = api.Status.CONNECT_FAILED, None
        back = self.loop.now + delay
        if server.silent:
            status, back = api.Status.TIMEOUT, sent_at + server.tier.probe_timeout_ms / 1e3
        elif server.up:
            status, report = server.probed()
        event = api.Probed(server.id, int(status), back - sent_at, report)
        self.loop.at(back, self._probe_back, (life, event))

    def _probe_back(self, about: tuple[int, api.Probed]) -> None:
        if about[0] == self.life:
            self.post(about[1])
