"""One instance and what the world round it knows: requests, attempts, lists, timers and the clock."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from granitepoint.interface import (
    NEVER_RAN,
    Action,
    Arrival,
    Cancel,
    Event,
    Fail,
    Gone,
    ListKind,
    Outcome,
    Probe,
    Probed,
    Refuse,
    RequestClass,
    Send,
    ServerEntry,
    ServerList,
    ServerState,
    SetTimer,
    Settings,
    Status,
    StreamStarted,
    Timer,
)
from granitepoint.logic import Balancer

Make = Callable[[Settings, int], Balancer]
Place = tuple[str, int]  # of a server: its zone and cell


class RuleBroken(AssertionError):
    """A rule does not hold; `rule` is the name of the checker."""

    def __init__(self, rule: str, text: str) -> None:
        super().__init__(f"{rule}: {text}")
        self.rule = rule


@dataclass(slots=True)
class Attempt:
    number: int
    server: int
    place: Place
    sent_at: float
    due: float  # when it times out at the latest
    status: Status | None = None  # None: still out
    streaming: bool = False

    @property
    def may_have_run(self) -> bool:
        return self.status not in NEVER_RAN


@dataclass(slots=True)
class Call:
    """A request that the instance has taken, as its client sees it."""

    id: int
    cls: RequestClass | None  # None: of no known class, or with no time: owed an answer at once
    budget: float  # from the batch that it came with
    deadline: float = math.inf  # unknown before that
    attempts: list[Attempt] = field(default_factory=list)
    answered: bool = False  # by the instance
    ended_in: int | None = None  # the turn in which the instance was told of its end
    answer_by: float = math.inf  # later than its deadline where the instance stood still

    @property
    def over(self) -> bool:
        return self.answered or self.ended_in is not None

    @property
    def out(self) -> list[Attempt]:
        return [attempt for attempt in self.attempts if attempt.status is None]

    @property
    def streaming(self) -> bool:
        return any(attempt.streaming for attempt in self.attempts)

    @property
    def first_that_may_have_run(self) -> Attempt | None:
        return next((attempt for attempt in self.attempts if attempt.may_have_run), None)


class Rule:
    """Checks one rule. The world calls it before it takes in what the instance did."""

    name = ""

    def sent(self, world: World, call: Call | None, action: Send) -> None:
        """The instance sends an attempt."""

    def answered(self, world: World, call: Call | None, action: Refuse | Fail) -> None:
        """The instance gives a final answer."""

    def did(self, world: World, action: Action) -> None:
        """The instance does anything at all."""

    def turn_over(self, world: World) -> None:
        """A turn is over."""

    def check(self, holds: bool, text: str) -> None:
        if not holds:
            raise RuleBroken(self.name, text)


class World:
    """Hands an instance its batches and keeps what it was told and did. Times are in seconds.

    An event that is added comes with the next batch. Timers and time-outs that are due come in time, except
    while the instance stands still.
    """

    def __init__(
        self, settings: Settings, seed: int, rules: Sequence[Rule], make: Make = Balancer, now: float = 100.0
    ) -> None:
        self.settings, self.rules = settings, rules
        self.balancer = make(settings, seed)
        self.now = now
        self.turns = 0
        self.broken = False  # a rule, or the instance itself: nothing that comes after it tells anything
        self.last_turn = -math.inf
        self.classes = {cls.name: cls for cls in settings.classes}
        self.calls: dict[int, Call] = {}
        self.open: dict[int, Call] = {}  # neither over nor without attempts out
        self.told: dict[int, ServerEntry] = {}  # by the lists so far, without what is gone
        self.listed: set[int] = set()  # ever
        self.timers: list[tuple[float, int]] = []
        self.probing: list[int] = []
        self.pending: list[Event] = []

    # what happens round the instance
    def arrive(self, event: Arrival) -> None:
        self.pending.append(event)
        if event.call in self.calls:
            return
        known = event.class_name in self.classes and 0 < event.budget < math.inf
        call = Call(
            event.call, self.classes[event.class_name] if known else None, event.budget if known else 0.0
        )
        self.calls[call.id] = self.open[call.id] = call

    def settle(
        self,
        call: Call,
        attempt: Attempt,
        status: Status,
        report: dict[str, float] | None = None,
        rested: float | None = None,
    ) -> None:
        """The one end of an attempt. A served one ends its request, and so does the break of a stream."""
        attempt.status = status
        if not call.over and (status is Status.OK or attempt.streaming):
            call.ended_in = self.turns
        elapsed = self.now - attempt.sent_at
        self.pending.append(
            Outcome(call.id, attempt.number, attempt.server, status, elapsed, call.over, report, rested)
        )

    def start_stream(self, call: Call, attempt: Attempt) -> None:
        attempt.streaming, attempt.due = True, math.inf
        elapsed = self.now - attempt.sent_at
        self.pending.append(StreamStarted(call.id, attempt.number, attempt.server, elapsed))

    def leave(self, call: Call) -> None:
        call.ended_in = self.turns
        self.pending.append(Gone(call.id))

    def tell(self, told: ServerList) -> None:
        self.pending.append(told)
        if told.kind is ListKind.FAILED:
            return
        if told.kind is not ListKind.INCREMENTAL:
            self.told = {}
        for entry in told.entries:
            self.listed.add(entry.server)
            if entry.state is ServerState.GONE:
                self.told.pop(entry.server, None)
            else:
                self.told[entry.server] = entry

    def end_probe(self, place: int, status: Status, report: dict[str, float] | None) -> None:
        server = self.probing.pop(place)
        self.pending.append(Probed(server, status, 0.01, report))

    # the clock
    def next_due(self) -> float:
        """When the next timer or time-out is due; what has happened already, as after a call-off, at once."""
        if self.pending:
            return self.now
        dues = [at for at, _ in self.timers]
        dues += [attempt.due for call in self.open.values() for attempt in call.out]
        return min(dues, default=math.inf)

    def wait(self, span: float) -> None:
        """Lets time pass, with a turn for each thing that is due, though no more often than the quantum."""
        end = self.now + span
        self.turn()
        while True:
            at = max(self.next_due(), self.last_turn + self.settings.quantum)
            if at > end:
                break
            self.now = max(self.now, at)
            self.turn()
        self.now = end

    def stand_still(self, span: float, due_first: bool = False) -> None:
        """The instance gets no turn meanwhile; then all that was due comes in one batch."""
        self.now += span
        for call in self.open.values():
            call.answer_by = max(call.answer_by, self.now)
        self.turn(due_first)

    def turn(self, due_first: bool = False) -> None:
        """One batch: what was added and what is due, in this order or in the other."""
        added, self.pending = self.pending, []
        for call in self.open.values():
            if call.deadline == math.inf:
                call.deadline = call.answer_by = self.now + call.budget
            for attempt in call.out:
                if attempt.due <= self.now:
                    self.settle(call, attempt, Status.TIMEOUT)
        self.pending += [Timer(token) for at, token in self.timers if at <= self.now]
        self.timers = [(at, token) for at, token in self.timers if at > self.now]
        due, self.pending = self.pending, []
        events = due + added if due_first else added + due
        self.last_turn, self.broken = self.now, True
        for action in self.balancer.handle(self.now, events):
            self.take(action)
        for rule in self.rules:
            rule.turn_over(self)
        self.broken = False
        self.turns += 1
        self.open = {id: call for id, call in self.open.items() if not call.over or call.out}

    def take(self, action: Action) -> None:
        for rule in self.rules:
            rule.did(self, action)
        if isinstance(action, Send):
            self.take_send(action)
        elif isinstance(action, Refuse | Fail):
            call = self.calls.get(action.call)
            for rule in self.rules:
                rule.answered(self, call, action)
            if call is not None:
                call.answered = True
        elif isinstance(action, SetTimer):
            self.timers.append((self.now + max(action.delay, 1e-6), action.token))
        elif isinstance(action, Probe):
            self.probing.append(action.server)
        elif isinstance(action, Cancel):
            self.take_cancel(action)

    def take_send(self, action: Send) -> None:
        call = self.calls.get(action.call)
        for rule in self.rules:
            rule.sent(self, call, action)
        if call is None:
            return
        entry = self.told.get(action.server)
        place = (entry.zone, entry.cell) if entry is not None else ("", 0)
        due = min(self.now + action.timeout, max(call.deadline, self.now))
        call.attempts.append(Attempt(len(call.attempts), action.server, place, self.now, due))

    def take_cancel(self, action: Cancel) -> None:
        """A call-off is the end of its attempt, unless another one or a stream came first."""
        call = self.calls.get(action.call)
        if call is not None and action.attempt < len(call.attempts):
            attempt = call.attempts[action.attempt]
            if attempt.status is None and not attempt.streaming:
                self.settle(call, attempt, Status.CANCELLED)

    def finish(self) -> None:
        """Lets all that is open come to its end: streams end, the rest times out."""
        for call in list(self.open.values()):
            for attempt in call.out:
                if attempt.streaming:
                    self.settle(call, attempt, Status.OK)
        for _ in range(1000):
            if not self.open:
                break
            self.wait(0.1)
