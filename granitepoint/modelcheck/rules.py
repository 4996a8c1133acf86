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
from granitepoint.modelcheck.world import Call, Place, Rule, World

TIMEOUT_FLOOR = 0.005  # s; a time-out is cut to what the client has left, so it may be stated a little longer
LONGEST_TIMER = 71 * 60.0  # s
ROUNDING = 1e-9  # s


class Answer(Rule):
    """One final answer for each request taken, at the latest when its budget is over; none after it."""

    name = "answer"

    def sent(self, world: World, call: Call | None, action: Send) -> None:
        self.check(call is not None and not call.over, f"{action} for a request that is over or unknown")
        assert call is not None
        self.check(world.now < call.deadline, f"{action} after its time was over")
        longest = max(call.deadline - world.now, TIMEOUT_FLOOR) + ROUNDING
        self.check(0 < action.timeout <= longest, f"{action}, {longest:g} s are left")

    def answered(self, world: World, call: Call | None, action: Refuse | Fail) -> None:
        self.check(call is not None, f"{action} for an unknown request")
        assert call is not None
        self.check(not call.answered, f"{action} is a second answer")
        # What a batch ends may still be answered for an earlier event of that batch: nobody hears it.
        unheard = call.ended_in == world.turns
        self.check(call.ended_in is None or unheard, f"{action} for a request that had ended")
        self.check(unheard or not call.streaming, f"{action} for a request whose stream has begun")
        late = world.now - call.answer_by
        self.check(late <= world.settings.answer_slack + ROUNDING, f"{action} comes {late:g} s too late")

    def turn_over(self, world: World) -> None:
        for call in world.open.values():
            if call.over or call.streaming:
                continue
            late = world.now - call.answer_by
            over = late > world.settings.answer_slack if call.cls is not None else late >= 0
            self.check(not over, f"no answer for call {call.id}, {late:g} s after its time")


class Repeat(Rule):
    """What may have run is not sent again beyond what its class allows, nor refused as if harmless."""

    name = "repeat"

    def sent(self, world: World, call: Call | None, action: Send) -> None:
        if call is None or call.cls is None:
            return
        settings, cls = world.settings, call.cls
        self.check(len(call.attempts) < settings.max_attempts, f"{action} is one attempt too many")
        out = len(call.out)
        self.check(out < 1 + settings.may_duplicate, f"{action} while {out} of its attempts are out")
        first = call.first_that_may_have_run
        if first is None or cls.effect is Effect.REPEATABLE:
            return
        self.check(cls.effect is Effect.BY_KEY, f"{action} of what may have run and must not run twice")
        entry = world.told.get(action.server)
        there = (entry.zone, entry.cell) if entry is not None else ("", 0)
        self.check(same_group(cls.group, first.place, there), f"{action} outside of the group {first.place}")
        left = first.sent_at + cls.window - world.now
        self.check(left > 0, f"{action} {-left:g} s after the window for repeats")
        self.check(action.within <= left + ROUNDING, f"{action} may go out after the window, {left:g} s left")

    def answered(self, world: World, call: Call | None, action: Refuse | Fail) -> None:
        if call is None or call.cls is None or isinstance(action, Fail):
            return
        cls = call.cls
        harmless = cls.effect is Effect.REPEATABLE or (cls.effect is Effect.BY_KEY and cls.group == "all")
        never_ran = all(attempt.status in NEVER_RAN for attempt in call.attempts)
        self.check(harmless or never_ran or call.ended_in is not None, f"{action} of what may have run")


def same_group(group: str, one: Place, other: Place) -> bool:
    """Whether two servers drop each other's repeats: all do, those of a zone, or those of a cell."""
    return group == "all" or (one[0] == other[0] and (group == "zone" or one == other))


class Drain(Rule):
    """Nothing is sent to a server that the instance was told drains or is gone."""

    name = "drain"

    def sent(self, world: World, call: Call | None, action: Send) -> None:
        entry = world.told.get(action.server)
        state = ServerState.GONE if entry is None else entry.state
        self.check(state is ServerState.SERVING, f"{action} to a server that is {state.value}")


class Permitted(Rule):
    """Nothing that the settings forbid, and nothing that names what the instance was never told of."""

    name = "permitted"

    def did(self, world: World, action: Action) -> None:
        settings = world.settings
        if isinstance(action, Send | Probe | CloseIdle):
            self.check(action.server in world.listed, f"{action} names a server of no list")
        if isinstance(action, Probe):
            self.check(settings.may_probe, f"{action} where probes are forbidden")
        elif isinstance(action, Cancel):
            self.check(settings.may_cancel, f"{action} where it is forbidden")
            call = world.calls.get(action.call)
            made = call is not None and action.attempt < len(call.attempts)
            self.check(made, f"{action} names an attempt that was not made")
        elif isinstance(action, Tell):
            self.check(settings.may_tell, f"{action} where it is forbidden")
        elif isinstance(action, SetTimer):
            self.check(0 <= action.delay <= LONGEST_TIMER, f"{action} is no delay")
        elif isinstance(action, Refuse):
            longest = settings.max_wait_advice if settings.may_advise_wait else 0.0
            self.check(
                0 <= action.retry_after <= longest < math.inf, f"{action} advises more than {longest:g}"
            )


class Kept(Rule):
    """What is over is forgotten: no request, attempt or place in the window is held for it."""

    name = "kept"

    def turn_over(self, world: World) -> None:
        balancer = world.balancer
        open = {call.id for call in world.open.values() if not call.over or call.out}
        open |= {call.id for call in world.open.values() if call.ended_in == world.turns}
        held = set(balancer.safety_rules.calls)
        self.check(held <= open, f"held although over: {sorted(held - open)}")
        out = {(call.id, attempt.number) for call in world.open.values() for attempt in call.out}
        # What was called off in this turn is told with the next batch.
        gone = set(balancer.attempts_in_flight) - out
        told = {(event.call, event.attempt) for event in world.pending if isinstance(event, Outcome)}
        self.check(gone <= told, f"attempts held although ended: {sorted(gone - told)}")
        self.check(
            0 <= balancer.busy <= len(balancer.attempts_in_flight),
            f"{balancer.busy} places taken of {len(out)}",
        )


RULES: tuple[type[Rule], ...] = (Answer, Repeat, Drain, Permitted, Kept)
