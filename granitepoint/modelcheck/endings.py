"""A state machine over both sides' connections: peers that close, reset, send early, more, late or slowly."""

from __future__ import annotations

from collections import Counter
from typing import Any, ClassVar

import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from granitepoint.modelcheck.proxy import BY_NAME, Backend, Client, Model, answer

GARBAGE = {
    "no HTTP": b"\x00garbage\r\n\r\n",
    "no class": b"GET / HTTP/1.1\r\n\r\n",
    "endless header": b"GET /read HTTP/1.1\r\nX: " + b"a" * 40000,
    "blank line": b"\r\n",
}
AFTER = [0.0, 0.001, 0.0015, 0.004, 0.02, 0.3]
SPANS = [0.0, 0.001, 0.003, 0.05, 0.3, 1.0, 3.5]


class Endings(RuleBasedStateMachine):
    model: Model
    checked: ClassVar[type[Model]] = Model
    figures: ClassVar[Counter[str] | None] = None  # of what was run

    @initialize(
        seed=st.integers(0, 99),
        backends=st.integers(1, 4),
        sockets=st.sampled_from([256, 64]),
        may_probe=st.booleans(),
        may_cancel=st.booleans(),
        conn_idle=st.sampled_from([0.4, 0.4, 5.0]),
        max_attempts=st.sampled_from([3, 1]),
    )
    def begin(
        self,
        seed: int,
        backends: int,
        sockets: int,
        may_probe: bool,
        may_cancel: bool,
        conn_idle: float,
        max_attempts: int,
    ) -> None:
        self.model = type(self).checked(
            seed, backends, sockets, may_probe=may_probe, conn_idle=conn_idle, max_attempts=max_attempts,
            may_cancel=may_cancel, cold_for=0.0, price_probe=0.06,
        )  # fmt: skip
        self.broken = False

    def client_at(self, which: int) -> Client | None:
        clients = [c for c in self.model.clients if not c.over and c.left_at is None]
        return clients[which % len(clients)] if clients else None

    @rule(
        which=st.integers(0, 9),
        new=st.booleans(),
        names=st.lists(st.sampled_from(sorted(BY_NAME)), min_size=1, max_size=3),
        budget=st.sampled_from([2.0, 1.0, 0.25, 0.05]),
        last=st.booleans(),
        cut=st.sampled_from([0, 0, 0, 1, 3, 30]),
        crossing=st.booleans(),
        span=st.sampled_from([0.01, -1.0, 0.0, 0.002, 0.1]),
    )
    def ask(
        self,
        which: int,
        new: bool,
        names: list[str],
        budget: float,
        last: bool,
        cut: int,
        crossing: bool,
        span: float,
    ) -> None:
        """Requests on one connection, one behind the other; the end of the last may be still to come, and a
        further one may cross the next answer."""
        client = None if new else self.client_at(which)
        if client is None:
            client = self.model.client()
        if client is None or not client.may_ask:
            return
        parts = [
            self.model.request(client, BY_NAME[name], budget, last and place == len(names) - 1)
            for place, name in enumerate(names)
        ]
        client.last, client.crossing = last, crossing
        for place in range(1, len(parts)):
            for asked in client.asked[-len(parts) + place :]:
                asked.ends_at += len(parts[place - 1])
        data = b"".join(parts)
        if cut and not last:
            client.half, data = data[-cut:], data[:-cut]
        client.send(data)
        if last:
            client.asked[-1].ends_at = client.sent
        self.run(span)

    @rule(count=st.integers(2, 8), name=st.sampled_from(sorted(BY_NAME)), span=st.sampled_from([0.01, 0.0]))
    def ask_many(self, count: int, name: str, span: float) -> None:
        for _ in range(count):
            client = self.model.client()
            if client is not None:
                client.send(self.model.request(client, BY_NAME[name], 2.0))
        self.run(span)

    @rule(which=st.integers(0, 9), how=st.sampled_from(["", "close", "reset"]), span=st.sampled_from(SPANS))
    def ask_much_and_go(self, which: int, how: str, span: float) -> None:
        """More than is read ahead of the answers, so that the end lies behind what is unread."""
        client = self.client_at(which)
        if client is None or not client.may_ask:
            return
        for _ in range(250):
            client.send(self.model.request(client, BY_NAME["read"], 1.0))
        self.run(0.0)
        if how:
            client.leave(how)
        self.run(span)

    @rule(which=st.integers(0, 9))
    def ask_when_answered(self, which: int) -> None:
        client = self.client_at(which)
        if client is not None and client.good and not client.half:
            client.crossing = True

    @rule(which=st.integers(0, 9), heard=st.booleans())
    def ask_the_rest(self, which: int, heard: bool) -> None:
        client = self.client_at(which)
        if client is not None and client.half:
            half, client.half = client.half, b""
            client.send(half)
            if heard:
                self.run(0.0)

    @rule(which=st.integers(0, 9), what=st.sampled_from(sorted(GARBAGE)))
    def ask_garbage(self, which: int, what: str) -> None:
        client = self.client_at(which) or self.model.client()
        if client is not None:
            client.good = False
            client.send(GARBAGE[what])
            self.run(0.0)

    @rule(
        which=st.integers(0, 9),
        how=st.sampled_from(["close", "reset"]),
        after=st.sampled_from(AFTER),
        span=st.sampled_from(SPANS),
    )
    def leave(self, which: int, how: str, after: float, span: float) -> None:
        client = self.client_at(which)
        if client is not None:
            self.model.clock.at(after, lambda: client.leave(how))
            self.run(span)

    @rule(which=st.integers(0, 9), taking=st.booleans())
    def take(self, which: int, taking: bool) -> None:
        client = self.client_at(which)
        if client is not None:
            client.slow = True
            self.model.call(lambda: client.link.peer_takes(taking))

    @precondition(lambda self: any(backend.runs for backend in self.model.backends))
    @rule(
        which=st.integers(0, 9),
        what=st.sampled_from(
            [
                "ok",
                "error",
                "turned away",
                "ok and more",
                "twice",
                "half",
                "garbage",
                "until close",
                "ok, close",
            ]
        ),
        then=st.sampled_from(["", "close", "reset"]),
        after=st.sampled_from(AFTER),
        heard=st.booleans(),
    )
    def backend_answers(self, which: int, what: str, then: str, after: float, heard: bool) -> None:
        running = [backend for backend in self.model.backends if backend.runs]
        backend, id = running[which % len(running)], running[which % len(running)].runs
        self.model.clock.at(after, lambda: self.reply(backend, id, what, then))
        if heard:
            self.run(0.0)

    def reply(self, backend: Backend, id: str | None, what: str, then: str) -> None:
        if id is None or backend.runs != id:
            return
        body = f"done {id}".encode()
        self.model.served.setdefault(id, set()).add(body)
        ok = answer(200, body)
        if what == "turned away":
            self.model.turned_away(backend)
        backend.answer({
            "ok": ok, "error": answer(500, b"no"), "turned away": answer(503, b"", "X-Rejected: 1"),
            "ok and more": ok + b"x", "twice": ok + ok, "half": ok[:-3], "garbage": b"\x00\x01\r\n\r\n",
            "until close": b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body,
            "ok, close": answer(200, body, "Connection: close"),
        }[what])  # fmt: skip
        if then == "close":
            backend.link.peer_closes()
        elif then == "reset" and what != "turned away":
            backend.link.peer_resets()

    @rule(after=st.sampled_from(AFTER), span=st.sampled_from([0.002, 0.02, 0.3]))
    def stand_still_soon(self, after: float, span: float) -> None:
        self.model.still += span
        self.model.loop.call_later(after, self.model.loop.stand_still, span)

    @precondition(lambda self: self.model.backends)
    @rule(
        which=st.integers(0, 9),
        how=st.sampled_from(["close", "end", "reset", "speak", "stop taking", "take"]),
        after=st.sampled_from(AFTER),
        heard=st.booleans(),
    )
    def backend_acts(self, which: int, how: str, after: float, heard: bool) -> None:
        backend = self.model.backends[which % len(self.model.backends)]
        self.model.clock.at(after, lambda: self.act(backend, how))
        if heard:
            self.run(0.0)

    def act(self, backend: Backend, how: str) -> None:
        link = backend.link
        if how == "close":
            link.peer_closes()
        elif how == "end":
            link.peer_ends()
        elif how == "reset":
            link.peer_resets()
        elif how == "speak":
            link.peer_sends(answer(200, b"early"))
            exchange = link.protocol.exchange
            if exchange is not None and exchange.sent:  # nobody can tell it from an answer
                self.model.served.setdefault(backend.id, set()).add(b"early")
        else:
            self.model.loop.call_soon(link.peer_takes, how == "take")

    @rule(how=st.sampled_from(["at once", "at once", "late", "never", "refused"]))
    def connects(self, how: str) -> None:
        self.model.how_to_connect = how

    @rule(
        number=st.integers(1, 4),
        state=st.sampled_from(["Ready", "Ready", "Ready", "Terminating", "Gone"]),
        whole=st.booleans(),
    )
    def list_changes(self, number: int, state: str, whole: bool) -> None:
        if number in self.model.states:
            self.guard(lambda: self.model.tell(number, state, whole))

    @rule(after=st.sampled_from([0.0, 0.03, 0.2]), rounds=st.integers(1, 3))
    def serve(self, after: float, rounds: int) -> None:
        """All that backends have is served."""
        for _ in range(rounds):
            self.run(after)
            for backend in self.model.backends:
                if backend.runs:
                    self.reply(backend, backend.runs, "ok", "")
        self.run(0.003)

    @rule(span=st.sampled_from(SPANS))
    def wait(self, span: float) -> None:
        self.run(span)

    @rule(span=st.sampled_from([0.02, 0.3, 1.0]))
    def stand_still(self, span: float) -> None:
        self.model.still += span
        self.model.loop.stand_still(span)
        self.run(0.0)

    @precondition(lambda self: self.model.ending is None)
    @rule(sure=st.integers(0, 2))
    def term(self, sure: int) -> None:
        if sure == 2:
            self.model.term()
            self.run(0.0)

    def run(self, span: float) -> None:
        """With a span below 0 nothing is heard yet: it comes together with what the next rule does."""
        if span >= 0:
            self.guard(lambda: self.model.run(span))

    def guard(self, do: Any) -> None:
        try:
            do()
        except BaseException:
            self.broken = True
            raise

    def teardown(self) -> None:
        if not hasattr(self, "model"):
            return
        try:
            if not self.broken:
                self.model.finish()
            if self.figures is not None:
                attempts = sum(len(ran) for ran in self.model.whole.values())
                ran = {"examples": 1, "connections": len(self.model.clients), "requests": self.model.ids}
                self.figures.update({**ran, "attempts": attempts})
        finally:
            self.model.stop()
