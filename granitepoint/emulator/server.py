"""One server: slots, a waiting room, cores that its requests share, cold starts and chokes."""

from __future__ import annotations

import math
from collections import deque
from heapq import heappop, heappush
from random import Random
from typing import TYPE_CHECKING

from granitepoint.emulator.calls import Attempt, Call, End, State, draw
from granitepoint.emulator.day import Tier
from granitepoint.interface import ServerEntry, ServerState, Status

if TYPE_CHECKING:
    from granitepoint.emulator.instance import Instance
    from granitepoint.emulator.world import World

FIRST_PART = 0.5  # of an attempt's work that is done before its calls
FAST_ERROR = 1e-3  # s until a struck server has failed a request
DONE = 1e-9  # core seconds that count as none
TAKING = 0.5  # of a drain's time, in which new requests are still taken: the lists come late
REST_PARTS = 4  # of the time of rest, at which a choked server is looked at


class Server:
    """Its requests in work share its cores evenly, each at most one of them. Times in seconds, work in core
    seconds of a standard core.

    `progress` is the work that each request in work has been given since the process began; a request is
    done when it reaches the progress at which it began plus its work.
    """

    def __init__(
        self,
        world: World,
        depth: int,
        tier: Tier,
        id: int,
        zone: str,
        cell: int,
        speed: float,
        random: Random,
    ) -> None:
        self.world, self.loop, self.tally = world, world.loop, world.tally
        self.depth: int = depth
        self.zone: str = zone
        self.id: int = id
        self.tier, self.cell = tier, cell
        self.count = world.tally.depths[depth]
        self.random = random
        self.speed, self.cores = speed, tier.cores
        self.next_calls = world.tiers[depth + 1].calls if depth + 1 < len(world.tiers) else 0.0
        self.instance: Instance | None = None  # for its calls to the next tier
        self.life: int = 0  # which process
        self.up: bool = True
        self.draining = self.silent = self.hung = False
        self.closing_at = math.inf  # from then on it turns new requests away
        self.fail_share = 0.0
        self.report_phase = random.random() * tier.report_period_ms / 1e3
        self.probe_room, self.probed_at = tier.probes_per_s * tier.cores, 0.0
        self.started_at: float = 0.0
        self.warm_at = -math.inf
        self._empty()

    def _empty(self) -> None:
        self.open = 0  # connections
        self.slots_used = self.active = 0  # requests in work, and those of them that want a core
        self.waiting: deque[Attempt] = deque()
        self.away: dict[Attempt, None] = {}  # in work, but calling
        self.queue: list[tuple[float, int, Attempt | None]] = []  # by the progress at which they are done
        self.entered = 0
        self.progress = self.scale = 0.0
        self.mark = self.loop.now
        self.alarm = math.inf
        self.pressure: deque[tuple[float, float, bool]] = deque()  # sent while cold: when, work, told
        self.pressed = 0.0
        self.crowded_at = math.inf
        self.crowded_for = 0.0  # s, less those since in which it was not crowded
        self.choked_at = math.inf  # since when
        self.busy = 0.0  # seconds of all cores
        self.rests: deque[float] = deque(maxlen=REST_PARTS + 1)
        self.report_number = -1
        self.report_value = self.report_before = 0.0

    # -- capacity
    def share(self, now: float) -> float:
        """Of its capacity, that a process has which may still be cold."""
        if now >= self.warm_at:
            return 1.0
        tier = self.tier
        return tier.cold_from + (1 - tier.cold_from) * (now - self.started_at) / tier.cold_s

    def _gained(self, now: float) -> float:
        """Seconds of full capacity between its start and now."""
        tier, age = self.tier, now - self.started_at
        cold = min(age, tier.cold_s)
        return tier.cold_from * cold + (1 - tier.cold_from) * cold * cold / (2 * tier.cold_s) + age - cold

    def _when(self, gained: float) -> float:
        """When that many seconds of full capacity have passed since its start."""
        tier = self.tier
        whole = tier.cold_s * (1 + tier.cold_from) / 2
        if gained >= whole or tier.cold_from >= 1:
            return self.started_at + tier.cold_s + gained - whole
        low, span = tier.cold_from, tier.cold_s / (1 - tier.cold_from)
        return self.started_at + (math.sqrt(low * low + 2 * gained / span) - low) * span

    def advance(self) -> None:
        """Bring the progress up to now."""
        now, mark = self.loop.now, self.mark
        if now <= mark:
            return
        self.mark = now
        if self.tier.choke is not None:
            crowded = now - mark if self.crowded_at < math.inf else mark - now
            self.crowded_for = max(0.0, self.crowded_for + crowded)
        if self.active:
            if mark >= self.warm_at:
                self.progress += (now - mark) * self.scale
            else:
                self.progress += (self._gained(now) - self._gained(mark)) * self.scale
            if self.tier.choke is not None:
                self.busy += (now - mark) * min(1.0, self.active / self.cores)

    def held(self) -> int:
        return self.slots_used + len(self.waiting)

    def retune(self) -> None:
        """Set the pace after a change, and the moment at which the next request is done."""
        tier, active = self.tier, self.active
        if not active:
            if self.crowded_at < math.inf:
                self._look_for_crowd()
            return
        scale = self.speed if active <= self.cores else self.speed * self.cores / active
        over = self.slots_used + len(self.waiting) - tier.thrash_at * self.cores
        if over > 0:
            scale /= 1 + tier.thrash * over / self.cores
        if tier.full_tax:
            scale *= 1 - tier.full_tax * min(1.0, self.open / tier.connections)
        if tier.choke is not None:
            self._look_for_crowd()
            if self.choked_at < math.inf:
                scale /= tier.choke.slower
        self.scale = 0.0 if self.hung else scale
        self._set_alarm()

    def _set_alarm(self) -> None:
        queue = self.queue
        while queue:
            attempt = queue[0][2]
            if attempt is None or (attempt.state is State.RUNNING and attempt.finish == queue[0][0]):
                break
            heappop(queue)
        if not queue or self.scale <= 0:
            return
        left = max(0.0, queue[0][0] - self.progress) / self.scale
        now = self.loop.now
        due = now + left if now >= self.warm_at else self._when(self._gained(now) + left)
        if due < self.alarm:
            self.alarm = due
            self.loop.at(due, self._ring, (due, self.life))

    def _ring(self, which: tuple[float, int]) -> None:
        """The earliest request may be done; if the pace has fallen since, it is not yet."""
        if which[1] != self.life or which[0] != self.alarm or not self.up:
            return
        self.alarm = math.inf
        self.advance()
        queue, ended = self.queue, []
        while queue and queue[0][0] <= self.progress + DONE:
            finish, _, attempt = heappop(queue)
            if attempt is None:
                self.active -= 1
            elif attempt.state is State.RUNNING and attempt.finish == finish:
                self.active -= 1
                ended.append(attempt)
        life = self.life
        for attempt in ended:
            if life == self.life:
                self._part_done(attempt)
        self.retune()

    # -- requests
    def receive(self, attempt: Attempt) -> None:
        """An attempt comes in over its connection."""
        if self.silent:
            return
        if attempt.life != self.life or not self.up:
            self.reply(attempt, Status.RESET)
            return
        request = attempt.call.request
        work = attempt.call.work * self.tier.work
        if request.cls.attempt_noise:
            work = draw(request.random, "lognormal", work, request.cls.attempt_noise)
        now = self.loop.now
        if now < self.warm_at and self._pushed_over(attempt, work):
            return
        full = self.slots_used >= self.tier.slots and len(self.waiting) >= self.tier.room
        if full or now >= self.closing_at:
            self.reply(attempt, Status.FULL)
            return
        if self.fail_share and self.random.random() < self.fail_share:
            attempt.state = State.OVER
            self.loop.at(now + FAST_ERROR, self._fail_fast, attempt)
            return
        calls = self.next_calls
        attempt.calls_left = int(calls) + (request.random.random() < calls % 1.0) if calls else 0
        first = work * FIRST_PART if attempt.calls_left else work
        attempt.work, attempt.rest_work = first + attempt.overhead, work - first
        self.advance()
        self.note()
        if self.slots_used < self.tier.slots:
            self._start(attempt)
        else:
            attempt.state = State.WAITING
            self.waiting.append(attempt)
        self.retune()

    def _fail_fast(self, attempt: Attempt) -> None:
        self.reply(attempt, Status.ERROR if attempt.life == self.life and self.up else Status.RESET)

    def _start(self, attempt: Attempt) -> None:
        self.slots_used += 1
        self._run(attempt)

    def _run(self, attempt: Attempt) -> None:
        attempt.state = State.RUNNING
        attempt.finish = self.progress + attempt.work
        self.active += 1
        self.entered += 1
        heappush(self.queue, (attempt.finish, self.entered, attempt))

    def _part_done(self, attempt: Attempt) -> None:
        attempt.used += attempt.work - attempt.overhead
        attempt.overhead = 0.0
        if attempt.calls_left:
            attempt.state = State.CALLING
            self.away[attempt] = None
            self._call_next(attempt)
        elif attempt.call.request.random.random() < self.tier.error_rate:
            self._leave(attempt, Status.ERROR)
        else:
            self._leave(attempt, Status.OK)

    def _call_next(self, attempt: Attempt) -> None:
        request, instance = attempt.call.request, self.instance
        budget = request.cls.deadline_ms / 1e3
        if self.world.day.passes_deadline:
            budget = attempt.deadline - self.loop.now
        if instance is None or not instance.alive or budget <= 0:
            self._leave(attempt, Status.ERROR)
            return
        work = self.world.clients.draw_work(request.cls, self.depth + 1, request.random)
        call = Call(self.world.next_call(), request, self, budget, work)
        call.origin, attempt.inner = attempt, call
        instance.take(call)

    def answered(self, call: Call, end: End, retry_after: float, attempt: Attempt | None) -> None:
        """A call to the next tier has ended."""
        caller = call.origin
        if caller is None or caller.state is not State.CALLING or caller.inner is not call:
            return
        caller.inner = None
        self.advance()
        if end is not End.SERVED or attempt is None:
            self._leave(caller, Status.ERROR)
        else:
            caller.kids.append(attempt)
            caller.calls_left -= 1
            if caller.calls_left:
                self._call_next(caller)
            else:
                del self.away[caller]
                caller.work = caller.rest_work
                self._run(caller)
        self.retune()

    def _leave(self, attempt: Attempt, status: Status) -> None:
        """Free the slot, and let the next one in."""
        self.note()
        self.away.pop(attempt, None)
        self._close(attempt)
        self.slots_used -= 1
        self.reply(attempt, status)
        self._admit()

    def _close(self, attempt: Attempt) -> None:
        attempt.state = State.OVER
        self.count.work_done += attempt.used

    def _admit(self) -> None:
        now = self.loop.now
        while self.waiting and self.slots_used < self.tier.slots:
            attempt = self.waiting.popleft()
            if self.tier.drops_expired and now > attempt.deadline:
                self._close(attempt)
            else:
                self._start(attempt)

    def reply(self, attempt: Attempt, status: Status) -> None:
        attempt.reply = status
        if attempt.status < 0:
            delay = self.world.delay(self.zone, attempt.instance.zone)
            self.loop.at(self.loop.now + delay, attempt.instance.replied, attempt)

    def abandon(self, attempt: Attempt) -> None:
        """Nobody waits for it any more: what ends of it depends on the tier."""
        cancel = self.tier.cancel
        if attempt.life != self.life or cancel == "none" or attempt.state in (State.AWAY, State.OVER):
            return
        if attempt.state is State.WAITING:
            self.advance()
            self.note()
            self.waiting.remove(attempt)
            self._close(attempt)
            self.retune()
        elif cancel == "running":
            self.advance()
            self.note()
            if attempt.state is State.RUNNING:
                left = max(0.0, attempt.finish - self.progress)
                attempt.used += max(0.0, attempt.work - attempt.overhead - left)
                self.active -= 1
            inner, attempt.inner = attempt.inner, None
            self.away.pop(attempt, None)
            self._close(attempt)
            self.slots_used -= 1
            self._admit()
            self.retune()
            if inner is not None and inner.instance is not None:
                inner.instance.leave(inner)

    # -- cold starts, chokes and ends
    def _pushed_over(self, attempt: Attempt, work: float) -> bool:
        """Count the work sent to a cold process; too much of it within the stated time and it falls.

        Slack for chance: the newest, and what one request has beyond all that the process can do meanwhile.
        """
        rules, now = self.world.day.rules, self.loop.now
        pressure = self.pressure
        while pressure and pressure[0][0] < now - rules.fall_s:
            self.pressed -= pressure.popleft()[1]
        able = self.speed * self.cores * self.share(now) * rules.fall_s
        if self.pressed > rules.fall_multiple * able:
            told = sum(part for _, part, knew in pressure if knew)
            self.tally.saw(now, f"server {self.id} of {self.tier.name} fell over while cold")
            if told >= self.pressed * 2 / 3:
                self.tally.breaks["cold_fall"] += 1
            self.reply(attempt, Status.RESET)
            self.stop()
            self.world.registries[self.depth].lost(self, silent=True)
            return True
        sent = min(work, able)
        pressure.append((now, sent, attempt.instance.knows_start(self)))
        self.pressed += sent
        return False

    def _look_for_crowd(self) -> None:
        choke = self.tier.choke
        if choke is None or self.choked_at < math.inf:
            return
        if self.active + len(self.waiting) < choke.at * self.cores:
            self.crowded_at = math.inf
        elif self.crowded_at == math.inf:
            self.crowded_at = self.loop.now
            due = self.loop.now + choke.over_s - self.crowded_for
            self.loop.at(due, self._choke, (self.loop.now, self.life))

    def _choke(self, which: tuple[float, int]) -> None:
        choke = self.tier.choke
        if choke is None or which != (self.crowded_at, self.life):
            return
        self.advance()
        self.crowded_at, self.choked_at, self.crowded_for = math.inf, self.loop.now, 0.0
        self.count.chokes += 1
        self.rests.clear()
        self.rests.append(self.busy)
        self.loop.at(self.loop.now + choke.rest_s / REST_PARTS, self._look_for_rest, self.life)
        self.retune()

    def _look_for_rest(self, life: int) -> None:
        choke = self.tier.choke
        if choke is None or life != self.life:
            return
        self.advance()
        rests = self.rests
        rests.append(self.busy)
        rested = len(rests) > REST_PARTS and (rests[-1] - rests[0]) / choke.rest_s < choke.below
        if rested or self.loop.now - self.choked_at >= choke.most_s:
            self.choked_at = math.inf
            self.retune()
        else:
            self.loop.at(self.loop.now + choke.rest_s / REST_PARTS, self._look_for_rest, life)

    def stop(self, silent: bool = False) -> None:
        """The process ends: what it held is reset, or never answered where it went silent."""
        self.advance()
        held = [one for _, _, one in self.queue if one is not None and one.state is State.RUNNING]
        held += self.away
        held += self.waiting
        self.up, self.silent, self.draining, self.hung = False, silent, False, False
        self.closing_at = math.inf
        self.life += 1
        for attempt in held:
            if attempt.state is State.RUNNING:
                left = max(0.0, attempt.finish - self.progress)
                attempt.used += max(0.0, attempt.work - attempt.overhead - left)
            attempt.inner = None
            self._close(attempt)
            if not silent:
                self.reply(attempt, Status.RESET)
        self._empty()
        if self.instance is not None:
            self.instance.kill(silent)

    def start(self) -> None:
        """A new, cold process."""
        now = self.loop.now
        self.life += 1
        self.up, self.silent, self.draining, self.hung = True, False, False, False
        self.started_at, self.warm_at = now, now + self.tier.cold_s
        self._empty()
        if self.instance is not None:
            self.instance.start()

    def drain(self, span: float) -> None:
        """It ends in so many seconds. What comes in the first half of them is still taken."""
        self.draining = True
        self.closing_at = self.loop.now + TAKING * span

    def hang(self, on: bool) -> None:
        self.advance()
        self.hung = on
        self.retune()

    # -- probes and reports
    def probed(self) -> tuple[Status, dict[str, float] | None]:
        """A shallow probe: answered beside the queue, at the price of a little work."""
        now, tier = self.loop.now, self.tier
        most = tier.probes_per_s * self.cores
        self.probe_room = min(most, self.probe_room + (now - self.probed_at) * most)
        self.probed_at = now
        if self.probe_room < 1:
            return Status.FULL, None
        self.probe_room -= 1
        report = {"busy_reqs": self._reported(now)}
        if tier.probe_us > 0:
            self.advance()
            self.active += 1
            self.entered += 1
            heappush(self.queue, (self.progress + tier.probe_us / 1e6, self.entered, None))
            self.retune()
        return Status.OK, report

    def note(self) -> None:
        """Before the number of held requests changes: keep what the reports since the last change said."""
        number = int((self.loop.now - self.report_phase) * 1e3 / self.tier.report_period_ms)
        if number != self.report_number:
            held = float(self.held())
            self.report_before = self.report_value if number == self.report_number + 1 else held
            self.report_value, self.report_number = held, number

    def _reported(self, now: float) -> float:
        """Requests held when the report was last refreshed, as told by now, with noise."""
        tier = self.tier
        number = int((now - tier.report_delay_ms / 1e3 - self.report_phase) * 1e3 / tier.report_period_ms)
        if number > self.report_number:
            value = float(self.held())
        else:
            value = self.report_value if number == self.report_number else self.report_before
        return max(0.0, value * (1 + tier.report_noise * self.random.gauss(0.0, 1.0)))

    def entry(self, state: ServerState) -> ServerEntry:
        return ServerEntry(
            self.id, self.zone, self.tier.name, self.cell, state, 1.0,
            self.started_at if self.warm_at > 0 else 0.0,
        )  # fmt: skip
