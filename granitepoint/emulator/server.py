"""Model of one server: slots, a queue, cores shared by its requests, cold starts and chokes (overload)."""

from __future__ import annotations

import math
from collections import deque
from heapq import heappop, heappush
from random import Random
from typing import TYPE_CHECKING

from granitepoint.emulator.calls import Attempt, AttemptState, Call, CallResult, draw
from granitepoint.emulator.day import Tier
from granitepoint.interface import ServerEntry, ServerState, Status

if TYPE_CHECKING:
    from granitepoint.emulator.instance import Instance
    from granitepoint.emulator.world import World

WORK_FRACTION_BEFORE_CALLS = 0.5  # of an attempt's work; the rest follows its calls to the next tier
FAST_ERROR_TIME = 1e-3  # s from the arrival of a request to its failure during a FastErrors fault
WORK_EPSILON = 1e-9  # core seconds; less remaining work counts as none
# Fraction of the drain time in which new requests are still accepted, because lists arrive late.
DRAIN_ACCEPT_FRACTION = 0.5
REST_CHECKS = 4  # checks per `rest_s` of whether a choked server has rested


class Server:
    """A server whose running requests share its cores evenly; each uses at most one core.

    `depth` is the index of its tier. A request with calls to the next tier runs in two phases, one before and
    one after the calls.

    Times are in seconds, work is in seconds of a standard core. `progress` is the work that a request would
    have received if it had been running since the process started (the virtual time of processor sharing). A
    phase is done when `progress` reaches its value at the start of the phase plus the work of the phase.
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
        self.tier_counts = world.tally.depths[depth]
        self.random = random
        self.speed, self.cores = speed, tier.cores
        self.calls_to_next_tier = world.tiers[depth + 1].calls if depth + 1 < len(world.tiers) else 0.0
        self.instance: Instance | None = None  # sends its calls to the next tier; None at the last tier
        self.incarnation: int = 0  # changes with each start and end of the process
        self.up: bool = True
        self.draining = self.silent = self.hung = False
        self.rejects_from = math.inf  # time from which new requests are rejected
        self.error_share = 0.0
        self.report_phase = random.random() * tier.report_period_ms / 1e3
        self.probe_tokens, self.probe_tokens_at = tier.probes_per_s * tier.cores, 0.0
        self.started_at: float = 0.0
        self.warm_at = -math.inf
        self._reset_state()

    def _reset_state(self) -> None:
        self.open_connections = 0
        self.slots_used = self.active = (
            0  # requests in progress; of these, plus probes, those that need a core
        )
        self.wait_queue: deque[Attempt] = deque()
        self.calling: dict[Attempt, None] = {}  # in a slot, waiting for the next tier
        # Heap of running requests by the progress at which they are done; None stands for a probe.
        self.completions: list[tuple[float, int, Attempt | None]] = []
        self.sequence_number = 0
        self.progress = self.progress_rate = 0.0
        self.advanced_at = self.loop.now
        self.next_completion_at = math.inf
        # Requests sent to the cold process: (time, work, whether the sender was notified of its start).
        self.cold_sends: deque[tuple[float, float, bool]] = deque()
        self.cold_work = 0.0
        self.crowded_since = math.inf
        self.crowded_time = 0.0  # s; grows while crowded, falls while not
        self.choked_since = math.inf  # infinite: not choked
        self.busy_time = 0.0  # s; a second with a part of the cores in use counts as that part
        self.busy_time_samples: deque[float] = deque(maxlen=REST_CHECKS + 1)
        self.report_period_number = -1
        self.report_value = self.previous_report_value = 0.0

    # -- capacity
    def capacity_share(self, now: float) -> float:
        """Share of the full capacity that the process has at this time, below 1 while it is cold."""
        if now >= self.warm_at:
            return 1.0
        tier = self.tier
        return tier.cold_from + (1 - tier.cold_from) * (now - self.started_at) / tier.cold_s

    def _effective_time(self, now: float) -> float:
        """Equivalent seconds of full capacity from the process start to now (integral of the share)."""
        tier, age = self.tier, now - self.started_at
        cold = min(age, tier.cold_s)
        return tier.cold_from * cold + (1 - tier.cold_from) * cold * cold / (2 * tier.cold_s) + age - cold

    def _inverse_effective_time(self, effective_time: float) -> float:
        """The time at which `_effective_time` reaches this value."""
        tier = self.tier
        warm_up_effective_time = tier.cold_s * (1 + tier.cold_from) / 2
        if effective_time >= warm_up_effective_time or tier.cold_from >= 1:
            return self.started_at + tier.cold_s + effective_time - warm_up_effective_time
        initial_share, ramp_time = tier.cold_from, tier.cold_s / (1 - tier.cold_from)
        return (
            self.started_at
            + (math.sqrt(initial_share * initial_share + 2 * effective_time / ramp_time) - initial_share)
            * ramp_time
        )

    def advance(self) -> None:
        """Update `progress` and the times of crowding and use to now."""
        now, advanced_at = self.loop.now, self.advanced_at
        if now <= advanced_at:
            return
        self.advanced_at = now
        if self.tier.choke is not None:
            crowded_change = now - advanced_at if self.crowded_since < math.inf else advanced_at - now
            self.crowded_time = max(0.0, self.crowded_time + crowded_change)
        if self.active:
            if advanced_at >= self.warm_at:
                self.progress += (now - advanced_at) * self.progress_rate
            else:
                self.progress += (
                    self._effective_time(now) - self._effective_time(advanced_at)
                ) * self.progress_rate
            if self.tier.choke is not None:
                self.busy_time += (now - advanced_at) * min(1.0, self.active / self.cores)

    def held_requests(self) -> int:
        """Number of requests in progress or queued."""
        return self.slots_used + len(self.wait_queue)

    def update_rate(self) -> None:
        """Compute the progress rate after a change, and schedule the next completion."""
        tier, active = self.tier, self.active
        if not active:
            if self.crowded_since < math.inf:
                self._check_crowded()
            return
        rate = self.speed if active <= self.cores else self.speed * self.cores / active
        excess = self.slots_used + len(self.wait_queue) - tier.thrash_at * self.cores
        if excess > 0:
            rate /= 1 + tier.thrash * excess / self.cores
        if tier.full_tax:
            rate *= 1 - tier.full_tax * min(1.0, self.open_connections / tier.connections)
        if tier.choke is not None:
            self._check_crowded()
            if self.choked_since < math.inf:
                rate /= tier.choke.slower
        self.progress_rate = 0.0 if self.hung else rate
        self._schedule_completion()

    def _schedule_completion(self) -> None:
        completions = self.completions
        while completions:
            attempt = completions[0][2]
            if attempt is None or (
                attempt.state is AttemptState.RUNNING and attempt.finish_progress == completions[0][0]
            ):
                break
            heappop(completions)
        if not completions or self.progress_rate <= 0:
            return
        remaining = max(0.0, completions[0][0] - self.progress) / self.progress_rate
        now = self.loop.now
        due = (
            now + remaining
            if now >= self.warm_at
            else self._inverse_effective_time(self._effective_time(now) + remaining)
        )
        if due < self.next_completion_at:
            self.next_completion_at = due
            self.loop.call_at(due, self._on_completion_due, (due, self.incarnation))

    def _on_completion_due(self, argument: tuple[float, int]) -> None:
        """Complete the phases that are done. None is, if the rate has fallen since the call was scheduled."""
        if argument[1] != self.incarnation or argument[0] != self.next_completion_at or not self.up:
            return
        self.next_completion_at = math.inf
        self.advance()
        completions, finished = self.completions, []
        while completions and completions[0][0] <= self.progress + WORK_EPSILON:
            finish, _, attempt = heappop(completions)
            if attempt is None:
                self.active -= 1
            elif attempt.state is AttemptState.RUNNING and attempt.finish_progress == finish:
                self.active -= 1
                finished.append(attempt)
        incarnation = self.incarnation
        for attempt in finished:
            if incarnation == self.incarnation:
                self._on_phase_done(attempt)
        self.update_rate()

    # -- requests
    def receive(self, attempt: Attempt) -> None:
        """Handle an attempt that arrives over its connection."""
        if self.silent:
            return
        if attempt.incarnation != self.incarnation or not self.up:
            self.reply(attempt, Status.RESET)
            return
        request = attempt.call.request
        work = attempt.call.work * self.tier.work
        if request.cls.attempt_noise:
            work = draw(request.random, "lognormal", work, request.cls.attempt_noise)
        now = self.loop.now
        if now < self.warm_at and self._overloads_cold_process(attempt, work):
            return
        full = self.slots_used >= self.tier.slots and len(self.wait_queue) >= self.tier.room
        if full or now >= self.rejects_from:
            self.reply(attempt, Status.FULL)
            return
        if self.error_share and self.random.random() < self.error_share:
            attempt.state = AttemptState.FINISHED
            self.loop.call_at(now + FAST_ERROR_TIME, self._reply_error, attempt)
            return
        calls = self.calls_to_next_tier
        attempt.remaining_calls = int(calls) + (request.random.random() < calls % 1.0) if calls else 0
        work_before_calls = work * WORK_FRACTION_BEFORE_CALLS if attempt.remaining_calls else work
        attempt.work, attempt.work_after_calls = (
            work_before_calls + attempt.handshake_work,
            work - work_before_calls,
        )
        self.advance()
        self.update_report()
        if self.slots_used < self.tier.slots:
            self._start_in_slot(attempt)
        else:
            attempt.state = AttemptState.QUEUED
            self.wait_queue.append(attempt)
        self.update_rate()

    def _reply_error(self, attempt: Attempt) -> None:
        self.reply(
            attempt, Status.ERROR if attempt.incarnation == self.incarnation and self.up else Status.RESET
        )

    def _start_in_slot(self, attempt: Attempt) -> None:
        self.slots_used += 1
        self._start_phase(attempt)

    def _start_phase(self, attempt: Attempt) -> None:
        attempt.state = AttemptState.RUNNING
        attempt.finish_progress = self.progress + attempt.work
        self.active += 1
        self.sequence_number += 1
        heappush(self.completions, (attempt.finish_progress, self.sequence_number, attempt))

    def _on_phase_done(self, attempt: Attempt) -> None:
        attempt.work_spent += attempt.work - attempt.handshake_work
        attempt.handshake_work = 0.0
        if attempt.remaining_calls:
            attempt.state = AttemptState.CALLING
            self.calling[attempt] = None
            self._call_next_tier(attempt)
        elif attempt.call.request.random.random() < self.tier.error_rate:
            self._finish_attempt(attempt, Status.ERROR)
        else:
            self._finish_attempt(attempt, Status.OK)

    def _call_next_tier(self, attempt: Attempt) -> None:
        request, instance = attempt.call.request, self.instance
        budget = request.cls.deadline_ms / 1e3
        if self.world.day.passes_deadline:
            budget = attempt.deadline - self.loop.now
        if instance is None or not instance.alive or budget <= 0:
            self._finish_attempt(attempt, Status.ERROR)
            return
        work = self.world.clients.draw_work(request.cls, self.depth + 1, request.random)
        call = Call(self.world.next_call_id(), request, self, budget, work)
        call.calling_attempt, attempt.inner_call = attempt, call
        instance.accept(call)

    def on_call_ended(
        self, call: Call, result: CallResult, retry_after: float, attempt: Attempt | None
    ) -> None:
        """Continue the attempt whose call to the next tier has ended."""
        calling_attempt = call.calling_attempt
        if (
            calling_attempt is None
            or calling_attempt.state is not AttemptState.CALLING
            or calling_attempt.inner_call is not call
        ):
            return
        calling_attempt.inner_call = None
        self.advance()
        if result is not CallResult.SERVED or attempt is None:
            self._finish_attempt(calling_attempt, Status.ERROR)
        else:
            calling_attempt.inner_attempts.append(attempt)
            calling_attempt.remaining_calls -= 1
            if calling_attempt.remaining_calls:
                self._call_next_tier(calling_attempt)
            else:
                del self.calling[calling_attempt]
                calling_attempt.work = calling_attempt.work_after_calls
                self._start_phase(calling_attempt)
        self.update_rate()

    def _finish_attempt(self, attempt: Attempt, status: Status) -> None:
        """Free the slot, answer, and start queued requests."""
        self.update_report()
        self.calling.pop(attempt, None)
        self._mark_finished(attempt)
        self.slots_used -= 1
        self.reply(attempt, status)
        self._start_queued()

    def _mark_finished(self, attempt: Attempt) -> None:
        attempt.state = AttemptState.FINISHED
        self.tier_counts.work_done += attempt.work_spent

    def _start_queued(self) -> None:
        now = self.loop.now
        while self.wait_queue and self.slots_used < self.tier.slots:
            attempt = self.wait_queue.popleft()
            if self.tier.drops_expired and now > attempt.deadline:
                self._mark_finished(attempt)
            else:
                self._start_in_slot(attempt)

    def reply(self, attempt: Attempt, status: Status) -> None:
        """Send an answer, unless the instance has given up the attempt."""
        attempt.reply_status = status
        if attempt.status < 0:
            delay = self.world.delay(self.zone, attempt.instance.zone)
            self.loop.call_at(self.loop.now + delay, attempt.instance.on_reply, attempt)

    def abandon(self, attempt: Attempt) -> None:
        """Handle an attempt that the instance has given up. `Tier.cancel` says which work is stopped."""
        cancel = self.tier.cancel
        if (
            attempt.incarnation != self.incarnation
            or cancel == "none"
            or attempt.state in (AttemptState.IN_TRANSIT, AttemptState.FINISHED)
        ):
            return
        if attempt.state is AttemptState.QUEUED:
            self.advance()
            self.update_report()
            self.wait_queue.remove(attempt)
            self._mark_finished(attempt)
            self.update_rate()
        elif cancel == "running":
            self.advance()
            self.update_report()
            if attempt.state is AttemptState.RUNNING:
                remaining = max(0.0, attempt.finish_progress - self.progress)
                attempt.work_spent += max(0.0, attempt.work - attempt.handshake_work - remaining)
                self.active -= 1
            inner_call, attempt.inner_call = attempt.inner_call, None
            self.calling.pop(attempt, None)
            self._mark_finished(attempt)
            self.slots_used -= 1
            self._start_queued()
            self.update_rate()
            if inner_call is not None and inner_call.instance is not None:
                inner_call.instance.caller_left(inner_call)

    # -- cold starts, chokes, stop and start
    def _overloads_cold_process(self, attempt: Attempt, work: float) -> bool:
        """Count the work sent to a cold process, which crashes if it gets too much within `Rules.fall_s`.

        Too much is more than `Rules.fall_multiple` times the work that it can do in that time. To leave slack
        for random work, the newest request is not counted, and a request counts at most the work that the
        process can do in that time. Returns whether the process has crashed.
        """
        rules, now = self.world.day.rules, self.loop.now
        cold_sends = self.cold_sends
        while cold_sends and cold_sends[0][0] < now - rules.fall_s:
            self.cold_work -= cold_sends.popleft()[1]
        doable_work = self.speed * self.cores * self.capacity_share(now) * rules.fall_s
        if self.cold_work > rules.fall_multiple * doable_work:
            notified_work = sum(work_part for _, work_part, sender_notified in cold_sends if sender_notified)
            self.tally.record_event(now, f"server {self.id} of {self.tier.name} fell over while cold")
            if notified_work >= self.cold_work * 2 / 3:
                self.tally.violations["cold_fall"] += 1
            self.reply(attempt, Status.RESET)
            self.stop()
            self.world.registries[self.depth].on_lost(self, silent=True)
            return True
        counted_work = min(work, doable_work)
        cold_sends.append((now, counted_work, attempt.instance.knows_start(self)))
        self.cold_work += counted_work
        return False

    def _check_crowded(self) -> None:
        choke = self.tier.choke
        if choke is None or self.choked_since < math.inf:
            return
        if self.active + len(self.wait_queue) < choke.at * self.cores:
            self.crowded_since = math.inf
        elif self.crowded_since == math.inf:
            self.crowded_since = self.loop.now
            due = self.loop.now + choke.over_s - self.crowded_time
            self.loop.call_at(due, self._start_choke, (self.loop.now, self.incarnation))

    def _start_choke(self, argument: tuple[float, int]) -> None:
        choke = self.tier.choke
        if choke is None or argument != (self.crowded_since, self.incarnation):
            return
        self.advance()
        self.crowded_since, self.choked_since, self.crowded_time = math.inf, self.loop.now, 0.0
        self.tier_counts.chokes += 1
        self.busy_time_samples.clear()
        self.busy_time_samples.append(self.busy_time)
        self.loop.call_at(self.loop.now + choke.rest_s / REST_CHECKS, self._check_rested, self.incarnation)
        self.update_rate()

    def _check_rested(self, incarnation: int) -> None:
        choke = self.tier.choke
        if choke is None or incarnation != self.incarnation:
            return
        self.advance()
        busy_time_samples = self.busy_time_samples
        busy_time_samples.append(self.busy_time)
        rested = (
            len(busy_time_samples) > REST_CHECKS
            and (busy_time_samples[-1] - busy_time_samples[0]) / choke.rest_s < choke.below
        )
        if rested or self.loop.now - self.choked_since >= choke.most_s:
            self.choked_since = math.inf
            self.update_rate()
        else:
            self.loop.call_at(self.loop.now + choke.rest_s / REST_CHECKS, self._check_rested, incarnation)

    def stop(self, silent: bool = False) -> None:
        """End the process. The requests that it held are reset, or never answered if it goes silent."""
        self.advance()
        held_attempts = [
            one for _, _, one in self.completions if one is not None and one.state is AttemptState.RUNNING
        ]
        held_attempts += self.calling
        held_attempts += self.wait_queue
        self.up, self.silent, self.draining, self.hung = False, silent, False, False
        self.rejects_from = math.inf
        self.incarnation += 1
        for attempt in held_attempts:
            if attempt.state is AttemptState.RUNNING:
                remaining = max(0.0, attempt.finish_progress - self.progress)
                attempt.work_spent += max(0.0, attempt.work - attempt.handshake_work - remaining)
            attempt.inner_call = None
            self._mark_finished(attempt)
            if not silent:
                self.reply(attempt, Status.RESET)
        self._reset_state()
        if self.instance is not None:
            self.instance.terminate(silent)

    def start(self) -> None:
        """Start a new, cold process."""
        now = self.loop.now
        self.incarnation += 1
        self.up, self.silent, self.draining, self.hung = True, False, False, False
        self.started_at, self.warm_at = now, now + self.tier.cold_s
        self._reset_state()
        if self.instance is not None:
            self.instance.start()

    def drain(self, drain_time: float) -> None:
        """Drain for `drain_time` seconds; in the first part of it new requests are still accepted."""
        self.draining = True
        self.rejects_from = self.loop.now + DRAIN_ACCEPT_FRACTION * drain_time

    def hang(self, on: bool) -> None:
        """Stop or resume processing; requests are still accepted."""
        self.advance()
        self.hung = on
        self.update_rate()

    # -- probes and reports
    def answer_probe(self) -> tuple[Status, dict[str, float] | None]:
        """Answer a shallow probe: it bypasses the queue, makes no calls and costs a little work.

        Returns the status and the load report; FULL without a report above the rate limit of probes.
        """
        now, tier = self.loop.now, self.tier
        max_rate = tier.probes_per_s * self.cores
        self.probe_tokens = min(max_rate, self.probe_tokens + (now - self.probe_tokens_at) * max_rate)
        self.probe_tokens_at = now
        if self.probe_tokens < 1:
            return Status.FULL, None
        self.probe_tokens -= 1
        report = {"busy_reqs": self._reported_load(now)}
        if tier.probe_us > 0:
            self.advance()
            self.active += 1
            self.sequence_number += 1
            heappush(self.completions, (self.progress + tier.probe_us / 1e6, self.sequence_number, None))
            self.update_rate()
        return Status.OK, report

    def update_report(self) -> None:
        """Record the value of the latest reports. Called before the number of held requests changes."""
        period_number = int((self.loop.now - self.report_phase) * 1e3 / self.tier.report_period_ms)
        if period_number != self.report_period_number:
            held_count = float(self.held_requests())
            self.previous_report_value = (
                self.report_value if period_number == self.report_period_number + 1 else held_count
            )
            self.report_value, self.report_period_number = held_count, period_number

    def _reported_load(self, now: float) -> float:
        """Held requests according to the latest report that has been published by now, with noise."""
        tier = self.tier
        period_number = int(
            (now - tier.report_delay_ms / 1e3 - self.report_phase) * 1e3 / tier.report_period_ms
        )
        if period_number > self.report_period_number:
            value = float(self.held_requests())
        else:
            value = (
                self.report_value
                if period_number == self.report_period_number
                else self.previous_report_value
            )
        return max(0.0, value * (1 + tier.report_noise * self.random.gauss(0.0, 1.0)))

    def list_entry(self, state: ServerState) -> ServerEntry:
        """The server's entry on a list; its start is 0 if it ran before the day started."""
        return ServerEntry(
            self.id, self.zone, self.tier.name, self.cell, state, 1.0,
            self.started_at if self.warm_at > 0 else 0.0,
        )  # fmt: skip
