"""The rules that every instance must keep, each with a checker of the instance's actions."""

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

# An attempt may have this timeout even if its client has less time left; it then ends at the deadline.
MIN_TIMEOUT_S = 0.005
MAX_TIMER_S = 71 * 60.0  # longest delay of a timer
TIME_TOLERANCE_S = 1e-9  # for rounding errors


class AnswerRule(Rule):
    """Each accepted request gets exactly one final answer within its budget, and nothing is sent after it."""

    name = "answer"

    def on_send(self, world: World, call: Call | None, action: Send) -> None:
        self.check(
            call is not None and not call.ended, f"{action} for a request that has ended or is unknown"
        )
        assert call is not None
        self.check(world.now < call.deadline, f"{action} after the request's deadline")
        limit = max(call.deadline - world.now, MIN_TIMEOUT_S) + TIME_TOLERANCE_S
        self.check(
            0 < action.timeout <= limit,
            f"{action} has no timeout between 0 and the {limit:g} s left",
        )

    def on_answer(self, world: World, call: Call | None, action: Refuse | Fail) -> None:
        self.check(call is not None, f"{action} for an unknown request")
        assert call is not None
        self.check(not call.answered, f"{action} is a second answer to the request")
        # If a request ends with an event of this batch, the instance may still answer it because of an
        # earlier event of the batch. No client receives that answer.
        unobserved = call.ended_in_turn == world.turns
        self.check(call.ended_in_turn is None or unobserved, f"{action} for a request that had ended")
        self.check(unobserved or not call.streaming, f"{action} for a request whose stream has started")
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
            self.check(not overdue, f"no answer for call {call.id} {delay:g} s after it was due")


class RepeatRule(Rule):
    """A request that may have run is repeated only as its class allows, and refused only if that is harmless.

    A refusal tells the client that it may safely send the request again.
    """

    name = "repeat"

    def on_send(self, world: World, call: Call | None, action: Send) -> None:
        if call is None or call.cls is None:
            return
        settings, cls = world.settings, call.cls
        self.check(
            len(call.attempts) < settings.max_attempts, f"{action} exceeds the maximum number of attempts"
        )
        in_flight = len(call.in_flight)
        self.check(
            in_flight < 1 + settings.may_duplicate,
            f"{action} while {in_flight} attempts of the call are in flight",
        )
        first_execution = call.first_possible_execution
        if first_execution is None or cls.effect is Effect.REPEATABLE:
            return
        self.check(
            cls.effect is Effect.BY_KEY, f"{action} of a request that may have run and must not run twice"
        )
        entry = world.known_servers.get(action.server)
        location = (entry.zone, entry.cell) if entry is not None else ("", 0)
        self.check(
            same_group(cls.group, first_execution.location, location),
            f"{action} outside of the deduplication group of {first_execution.location}",
        )
        time_left = first_execution.sent_at + cls.window - world.now
        self.check(time_left > 0, f"{action} {-time_left:g} s after the end of the deduplication window")
        self.check(
            action.within <= time_left + TIME_TOLERANCE_S,
            f"{action} may be sent after the deduplication window, {time_left:g} s are left",
        )

    def on_answer(self, world: World, call: Call | None, action: Refuse | Fail) -> None:
        if call is None or call.cls is None or isinstance(action, Fail):
            return
        cls = call.cls
        harmless = cls.effect is Effect.REPEATABLE or (cls.effect is Effect.BY_KEY and cls.group == "all")
        never_ran = all(attempt.status in NEVER_RAN for attempt in call.attempts)
        self.check(
            harmless or never_ran or call.ended_in_turn is not None,
            f"{action} of a request that may have run",
        )


def same_group(group: str, first: Location, second: Location) -> bool:
    """Whether two servers deduplicate together: each drops repeats of requests that the other has run.

    Depending on the group, all servers do so, or those of one zone, or those of one cell.
    """
    return group == "all" or (first[0] == second[0] and (group == "zone" or first == second))


class DrainRule(Rule):
    """Nothing is sent to a server that is draining or gone by the lists that the instance received."""

    name = "drain"

    def on_send(self, world: World, call: Call | None, action: Send) -> None:
        entry = world.known_servers.get(action.server)
        state = ServerState.GONE if entry is None else entry.state
        self.check(state is ServerState.SERVING, f"{action} to a server in state {state.value}")


class PermissionRule(Rule):
    """No action is forbidden by the settings or names a server or an attempt unknown to the instance."""

    name = "permitted"

    def on_action(self, world: World, action: Action) -> None:
        settings = world.settings
        if isinstance(action, Send | Probe | CloseIdle):
            self.check(action.server in world.ever_listed, f"{action} names a server that was never listed")
        if isinstance(action, Probe):
            self.check(settings.may_probe, f"{action} although may_probe is off")
        elif isinstance(action, Cancel):
            self.check(settings.may_cancel, f"{action} although may_cancel is off")
            call = world.calls.get(action.call)
            exists = call is not None and action.attempt < len(call.attempts)
            self.check(exists, f"{action} names an attempt that does not exist")
        elif isinstance(action, Tell):
            self.check(settings.may_tell, f"{action} although may_tell is off")
        elif isinstance(action, SetTimer):
            self.check(0 <= action.delay <= MAX_TIMER_S, f"{action} has an invalid delay")
        elif isinstance(action, Refuse):
            limit = settings.max_wait_advice if settings.may_advise_wait else 0.0
            self.check(0 <= action.retry_after <= limit < math.inf, f"{action} advises more than {limit:g}")


class RetentionRule(Rule):
    """No request, attempt or place under the concurrency limit is kept after its end."""

    name = "kept"

    def on_turn_end(self, world: World) -> None:
        balancer = world.balancer
        allowed = {call.id for call in world.open_calls.values() if not call.ended or call.in_flight}
        allowed |= {call.id for call in world.open_calls.values() if call.ended_in_turn == world.turns}
        tracked = set(balancer.safety_rules.calls)
        self.check(tracked <= allowed, f"calls kept after their end: {sorted(tracked - allowed)}")
        in_flight = {
            (call.id, attempt.number) for call in world.open_calls.values() for attempt in call.in_flight
        }
        # The instance is notified of an attempt that it cancelled in this turn with the next batch.
        unknown = set(balancer.attempts_in_flight) - in_flight
        announced = {
            (event.call, event.attempt) for event in world.pending_events if isinstance(event, Outcome)
        }
        self.check(unknown <= announced, f"attempts kept after their end: {sorted(unknown - announced)}")
        self.check(
            0 <= balancer.busy <= len(balancer.attempts_in_flight),
            f"{balancer.busy} places in use by {len(in_flight)} attempts",
        )


RULES: tuple[type[Rule], ...] = (AnswerRule, RepeatRule, DrainRule, PermissionRule, RetentionRule)
