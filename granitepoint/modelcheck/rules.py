"""The rules that every instance keeps, each as a checker of what it does."""

from __future__ import annotations

import math

from granitepoint.interface import (
    NEVER_RAN,
    Action,
    Cancel,
    CloseIdle,
    Effect,
    Fail,
    Outcome,
    Probe,
    Refuse,
    Send,
    ServerState,
    SetTimer,
    Tell,
)
from granitepoint.modelcheck.world import Call, Location, Rule, World

MIN_TIMEOUT_S = 0.005  # s; a time-out is cut to what the client has left, so it may be stated a little longer
MAX_TIMER_S = 71 * 60.0  # s
TIME_TOLERANCE_S = 1e-9  # s


class AnswerRule(Rule):
    """One final answer for each request taken, at the latest when its budget is over; none after it."""

    name = "answer"

    def on_send(self, world: World, call: Call | None, action: Send) -> None:
        self.check(call is not None and not call.ended, f"{action} for a request that is over or unknown")
        assert call is not None
        self.check(world.now < call.deadline, f"{action} after its time was over")
        limit = max(call.deadline - world.now, MIN_TIMEOUT_S) + TIME_TOLERANCE_S
        self.check(0 < action.timeout <= limit, f"{action}, {limit:g} s are left")

    def on_answer(self, world: World, call: Call | None, action: Refuse | Fail) -> None:
        self.check(call is not None, f"{action} for an unknown request")
        assert call is not None
        self.check(not call.answered, f"{action} is a second answer")
        # What a batch ends may still be answered for an earlier event of that batch: nobody hears it.
        unobserved = call.ended_in_turn == world.turns
        self.check(call.ended_in_turn is None or unobserved, f"{action} for a request that had ended")
        self.check(unobserved or not call.streaming, f"{action} for a request whose stream has begun")
        delay = world.now - call.answer_due_at
        self.check(
            delay <= world.settings.answer_slack + TIME_TOLERANCE_S, f"{action} comes {delay:g} s too late"
        )

    def on_turn_end(self, world: World) -> None:
        for call in world.open_calls.values():
            if call.ended or call.streaming:
                continue
            delay = world.now - call.answer_due_at
            overdue = delay > world.settings.answer_slack if call.cls is not None else delay >= 0
            self.check(not overdue, f"no answer for call {call.id}, {delay:g} s after its time")


class RepeatRule(Rule):
    """What may have run is not sent again beyond what its class allows, nor refused as if harmless."""

    name = "repeat"

    def on_send(self, world: World, call: Call | None, action: Send) -> None:
        if call is None or call.cls is None:
            return
        settings, cls = world.settings, call.cls
        self.check(len(call.attempts) < settings.max_attempts, f"{action} is one attempt too many")
        in_flight = len(call.in_flight)
        self.check(
            in_flight < 1 + settings.may_duplicate, f"{action} while {in_flight} of its attempts are out"
        )
        first_execution = call.first_possible_execution
        if first_execution is None or cls.effect is Effect.REPEATABLE:
            return
        self.check(cls.effect is Effect.BY_KEY, f"{action} of what may have run and must not run twice")
        entry = world.known_servers.get(action.server)
        location = (entry.zone, entry.cell) if entry is not None else ("", 0)
        self.check(
            same_group(cls.group, first_execution.location, location),
            f"{action} outside of the group {first_execution.location}",
        )
        time_left = first_execution.sent_at + cls.window - world.now
        self.check(time_left > 0, f"{action} {-time_left:g} s after the window for repeats")
        self.check(
            action.within <= time_left + TIME_TOLERANCE_S,
            f"{action} may go out after the window, {time_left:g} s left",
        )

    def on_answer(self, world: World, call: Call | None, action: Refuse | Fail) -> None:
        if call is None or call.cls is None or isinstance(action, Fail):
            return
        cls = call.cls
        harmless = cls.effect is Effect.REPEATABLE or (cls.effect is Effect.BY_KEY and cls.group == "all")
        never_ran = all(attempt.status in NEVER_RAN for attempt in call.attempts)
        self.check(harmless or never_ran or call.ended_in_turn is not None, f"{action} of what may have run")


def same_group(group: str, first: Location, second: Location) -> bool:
    """Whether two servers drop each other's repeats: all do, those of a zone, or those of a cell."""
    return group == "all" or (first[0] == second[0] and (group == "zone" or first == second))


class DrainRule(Rule):
    """Nothing is sent to a server that the instance was told drains or is gone."""

    name = "drain"

    def on_send(self, world: World, call: Call | None, action: Send) -> None:
        entry = world.known_servers.get(action.server)
        state = ServerState.GONE if entry is None else entry.state
        self.check(state is ServerState.SERVING, f"{action} to a server that is {state.value}")


class PermissionRule(Rule):
    """Nothing that the settings forbid, and nothing that names what the instance was never told of."""

    name = "permitted"

    def on_action(self, world: World, action: Action) -> None:
        settings = world.settings
        if isinstance(action, Send | Probe | CloseIdle):
            self.check(action.server in world.ever_listed, f"{action} names a server of no list")
        if isinstance(action, Probe):
            self.check(settings.may_probe, f"{action} where probes are forbidden")
        elif isinstance(action, Cancel):
            self.check(settings.may_cancel, f"{action} where it is forbidden")
            call = world.calls.get(action.call)
            exists = call is not None and action.attempt < len(call.attempts)
            self.check(exists, f"{action} names an attempt that was not made")
        elif isinstance(action, Tell):
            self.check(settings.may_tell, f"{action} where it is forbidden")
        elif isinstance(action, SetTimer):
            self.check(0 <= action.delay <= MAX_TIMER_S, f"{action} is no delay")
        elif isinstance(action, Refuse):
            limit = settings.max_wait_advice if settings.may_advise_wait else 0.0
            self.check(0 <= action.retry_after <= limit < math.inf, f"{action} advises more than {limit:g}")


class RetentionRule(Rule):
    """What is over is forgotten: no request, attempt or place in the window is held for it."""

    name = "kept"

    def on_turn_end(self, world: World) -> None:
        balancer = world.balancer
        allowed = {call.id for call in world.open_calls.values() if not call.ended or call.in_flight}
        allowed |= {call.id for call in world.open_calls.values() if call.ended_in_turn == world.turns}
        tracked = set(balancer.safety_rules.calls)
        self.check(tracked <= allowed, f"held although over: {sorted(tracked - allowed)}")
        in_flight = {
            (call.id, attempt.number) for call in world.open_calls.values() for attempt in call.in_flight
        }
        # What was called off in this turn is told with the next batch.
        unknown = set(balancer.attempts_in_flight) - in_flight
        announced = {
            (event.call, event.attempt) for event in world.pending_events if isinstance(event, Outcome)
        }
        self.check(unknown <= announced, f"attempts held although ended: {sorted(unknown - announced)}")
        self.check(
            0 <= balancer.counted_in_flight <= len(balancer.attempts_in_flight),
            f"{balancer.counted_in_flight} places taken of {len(in_flight)}",
        )


RULES: tuple[type[Rule], ...] = (AnswerRule, RepeatRule, DrainRule, PermissionRule, RetentionRule)
