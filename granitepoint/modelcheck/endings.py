"""A state machine over the connections to clients and backends.

The peers close and reset connections, send data early, late, slowly or in excess, and stop reading.
The parameter `which` of a rule selects an element by its index, modulo the number of elements. With
`handle_now` the proxy handles an event at once, else together with the events of the next rule.
"""

from __future__ import annotations

from collections import Counter
from typing import Any, ClassVar

import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from granitepoint.modelcheck.proxy import CLASS_BY_NAME, Backend, Client, ProxyModel, build_answer

MALFORMED_INPUTS = {
    "no HTTP": b"\x00garbage\r\n\r\n",
    "no class": b"GET / HTTP/1.1\r\n\r\n",
    "endless header": b"GET /read HTTP/1.1\r\nX: " + b"a" * 40000,
    "blank line": b"\r\n",
}
# Seconds, until a scheduled action and for which time passes.
DELAYS = [0.0, 0.001, 0.0015, 0.004, 0.02, 0.3]
DURATIONS = [0.0, 0.001, 0.003, 0.05, 0.3, 1.0, 3.5]


class ConnectionMachine(RuleBasedStateMachine):
    """Checks one proxy between misbehaving clients and backends; the checks are those of ProxyModel."""

    model: ProxyModel
    model_class: ClassVar[type[ProxyModel]] = ProxyModel
    statistics: ClassVar[Counter[str] | None] = None  # counters of what was run

    @initialize(
        seed=st.integers(0, 99),
        backend_count=st.integers(1, 4),
        socket_limit=st.sampled_from([256, 64]),
        may_probe=st.booleans(),
        may_cancel=st.booleans(),
        conn_idle=st.sampled_from([0.4, 0.4, 5.0]),
        max_attempts=st.sampled_from([3, 1]),
    )
    def begin(
        self,
        seed: int,
        backend_count: int,
        socket_limit: int,
        may_probe: bool,
        may_cancel: bool,
        conn_idle: float,
        max_attempts: int,
    ) -> None:
        """Starts a proxy with these settings and its backends."""
        self.model = type(self).model_class(
            seed, backend_count, socket_limit, may_probe=may_probe, conn_idle=conn_idle,
            max_attempts=max_attempts, may_cancel=may_cancel, cold_for=0.0, price_probe=0.06,
        )  # fmt: skip
        self.failed = False

    def client_at(self, which: int) -> Client | None:
        """Returns one of the connected clients, or None if there is none."""
        clients = [c for c in self.model.clients if not c.closed and c.disconnected_at is None]
        return clients[which % len(clients)] if clients else None

    @rule(
        which=st.integers(0, 9),
        new_connection=st.booleans(),
        names=st.lists(st.sampled_from(sorted(CLASS_BY_NAME)), min_size=1, max_size=3),
        budget=st.sampled_from([2.0, 1.0, 0.25, 0.05]),
        last_closes=st.booleans(),
        cut_bytes=st.sampled_from([0, 0, 0, 1, 3, 30]),
        cross_next_answer=st.booleans(),
        time_span=st.sampled_from([0.01, -1.0, 0.0, 0.002, 0.1]),
    )
    def send_requests(
        self,
        which: int,
        new_connection: bool,
        names: list[str],
        budget: float,
        last_closes: bool,
        cut_bytes: int,
        cross_next_answer: bool,
        time_span: float,
    ) -> None:
        """Sends pipelined requests on one connection.

        With `last_closes` the last one has the header Connection: close. `cut_bytes` at the end of the last
        request are held back. With `cross_next_answer` a further request is sent at the moment in which the
        next answer arrives.
        """
        client = None if new_connection else self.client_at(which)
        if client is None:
            client = self.model.connect_client()
        if client is None or not client.can_send_request:
            return
        messages = [
            self.model.create_request(
                client, CLASS_BY_NAME[name], budget, last_closes and position == len(names) - 1
            )
            for position, name in enumerate(names)
        ]
        client.close_requested, client.request_on_answer = last_closes, cross_next_answer
        for position in range(1, len(messages)):
            for request in client.requests[-len(messages) + position :]:
                request.end_offset += len(messages[position - 1])
        data = b"".join(messages)
        if cut_bytes and not last_closes:
            client.unsent_rest, data = data[-cut_bytes:], data[:-cut_bytes]
        client.send(data)
        if last_closes:
            client.requests[-1].end_offset = client.bytes_sent
        self.run(time_span)

    @rule(
        count=st.integers(2, 8),
        name=st.sampled_from(sorted(CLASS_BY_NAME)),
        time_span=st.sampled_from([0.01, 0.0]),
    )
    def connect_and_request(self, count: int, name: str, time_span: float) -> None:
        """Opens several connections and sends one request on each."""
        for _ in range(count):
            client = self.model.connect_client()
            if client is not None:
                client.send(self.model.create_request(client, CLASS_BY_NAME[name], 2.0))
        self.run(time_span)

    @rule(
        which=st.integers(0, 9),
        how=st.sampled_from(["", "close", "reset"]),
        time_span=st.sampled_from(DURATIONS),
    )
    def flood_and_disconnect(self, which: int, how: str, time_span: float) -> None:
        """Sends more requests than the proxy reads ahead.

        Then it closes or resets the connection if `how` says so, and the end lies behind unread data.
        """
        client = self.client_at(which)
        if client is None or not client.can_send_request:
            return
        for _ in range(250):
            client.send(self.model.create_request(client, CLASS_BY_NAME["read"], 1.0))
        self.run(0.0)
        if how:
            client.disconnect(how)
        self.run(time_span)

    @rule(which=st.integers(0, 9))
    def request_at_next_answer(self, which: int) -> None:
        """Lets a client send a request at the moment in which its next answer arrives."""
        client = self.client_at(which)
        if client is not None and client.input_valid and not client.unsent_rest:
            client.request_on_answer = True

    @rule(which=st.integers(0, 9), handle_now=st.booleans())
    def send_rest(self, which: int, handle_now: bool) -> None:
        """Sends the part of a request that was held back."""
        client = self.client_at(which)
        if client is not None and client.unsent_rest:
            unsent_rest, client.unsent_rest = client.unsent_rest, b""
            client.send(unsent_rest)
            if handle_now:
                self.run(0.0)

    @rule(which=st.integers(0, 9), kind=st.sampled_from(sorted(MALFORMED_INPUTS)))
    def send_malformed(self, which: int, kind: str) -> None:
        """Sends input that is no valid request."""
        client = self.client_at(which) or self.model.connect_client()
        if client is not None:
            client.input_valid = False
            client.send(MALFORMED_INPUTS[kind])
            self.run(0.0)

    @rule(
        which=st.integers(0, 9),
        how=st.sampled_from(["close", "reset"]),
        delay=st.sampled_from(DELAYS),
        time_span=st.sampled_from(DURATIONS),
    )
    def client_disconnects(self, which: int, how: str, delay: float, time_span: float) -> None:
        """Closes or resets a client's connection after a delay."""
        client = self.client_at(which)
        if client is not None:
            self.model.clock.schedule(delay, lambda: client.disconnect(how))
            self.run(time_span)

    @rule(which=st.integers(0, 9), reading=st.booleans())
    def switch_reading(self, which: int, reading: bool) -> None:
        """Makes a client stop or resume reading."""
        client = self.client_at(which)
        if client is not None:
            client.has_paused_reading = True
            self.model.run_callback(lambda: client.link.peer_reads(reading))

    @precondition(lambda self: any(backend.running_id for backend in self.model.backend_connections))
    @rule(
        which=st.integers(0, 9),
        variant=st.sampled_from(
            [
                "ok",
                "error",
                "rejected",
                "ok and more",
                "twice",
                "half",
                "garbage",
                "until close",
                "ok, close",
            ]
        ),
        then=st.sampled_from(["", "close", "reset"]),
        delay=st.sampled_from(DELAYS),
        handle_now=st.booleans(),
    )
    def backend_answers(self, which: int, variant: str, then: str, delay: float, handle_now: bool) -> None:
        """Lets a backend answer after a delay, correctly or not, and then close or reset the connection."""
        running = [backend for backend in self.model.backend_connections if backend.running_id]
        backend, request_id = running[which % len(running)], running[which % len(running)].running_id
        self.model.clock.schedule(delay, lambda: self.reply(backend, request_id, variant, then))
        if handle_now:
            self.run(0.0)

    def reply(self, backend: Backend, request_id: str | None, variant: str, then: str) -> None:
        """Sends an answer of a backend, unless the request has been answered or the connection reused."""
        if request_id is None or backend.running_id != request_id:
            return
        body = f"done {request_id}".encode()
        self.model.served_bodies.setdefault(request_id, set()).add(body)
        ok_answer = build_answer(200, body)
        if variant == "rejected":
            self.model.on_attempts_rejected(backend)
        backend.send_answer({
            "ok": ok_answer, "error": build_answer(500, b"no"),
            "rejected": build_answer(503, b"", "X-Rejected: 1"),
            "ok and more": ok_answer + b"x", "twice": ok_answer + ok_answer, "half": ok_answer[:-3],
            "garbage": b"\x00\x01\r\n\r\n",
            "until close": b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body,
            "ok, close": build_answer(200, body, "Connection: close"),
        }[variant])  # fmt: skip
        if then == "close":
            backend.link.peer_closes()
        elif then == "reset" and variant != "rejected":
            backend.link.peer_resets()

    @rule(delay=st.sampled_from(DELAYS), time_span=st.sampled_from([0.002, 0.02, 0.3]))
    def stall_later(self, delay: float, time_span: float) -> None:
        """Stalls the process after a delay."""
        self.model.stall_time += time_span
        self.model.loop.call_later(delay, self.model.loop.stall, time_span)

    @precondition(lambda self: self.model.backend_connections)
    @rule(
        which=st.integers(0, 9),
        how=st.sampled_from(["close", "end", "reset", "send early", "stop reading", "read"]),
        delay=st.sampled_from(DELAYS),
        handle_now=st.booleans(),
    )
    def backend_acts(self, which: int, how: str, delay: float, handle_now: bool) -> None:
        """Lets a backend do something else than answer, after a delay."""
        backend = self.model.backend_connections[which % len(self.model.backend_connections)]
        self.model.clock.schedule(delay, lambda: self.perform(backend, how))
        if handle_now:
            self.run(0.0)

    def perform(self, backend: Backend, how: str) -> None:
        """Performs an action of `backend_acts` on a backend's connection."""
        link = backend.link
        if how == "close":
            link.peer_closes()
        elif how == "end":
            link.peer_ends()
        elif how == "reset":
            link.peer_resets()
        elif how == "send early":
            link.peer_sends(build_answer(200, b"early"))
            exchange = link.protocol.exchange
            if exchange is not None and exchange.sent:  # cannot be distinguished from an answer to it
                self.model.served_bodies.setdefault(backend.request_id, set()).add(b"early")
        else:
            self.model.loop.call_soon(link.peer_reads, how == "read")

    @rule(how=st.sampled_from(["at once", "at once", "late", "never", "refused"]))
    def set_connect_mode(self, how: str) -> None:
        """Sets what happens to new connections to backends."""
        self.model.connect_mode = how

    @rule(
        number=st.integers(1, 4),
        state=st.sampled_from(["Ready", "Ready", "Ready", "Terminating", "Gone"]),
        whole_list=st.booleans(),
    )
    def list_changes(self, number: int, state: str, whole_list: bool) -> None:
        """Publishes another state of a backend, as a change or in a full list."""
        if number in self.model.backend_states:
            self.guard(lambda: self.model.publish_state(number, state, whole_list))

    @rule(delay=st.sampled_from([0.0, 0.03, 0.2]), rounds=st.integers(1, 3))
    def serve(self, delay: float, rounds: int) -> None:
        """Lets time pass and the backends answer all requests that they hold, both `rounds` times."""
        for _ in range(rounds):
            self.run(delay)
            for backend in self.model.backend_connections:
                if backend.running_id:
                    self.reply(backend, backend.running_id, "ok", "")
        self.run(0.003)

    @rule(time_span=st.sampled_from(DURATIONS))
    def wait(self, time_span: float) -> None:
        """Lets time pass."""
        self.run(time_span)

    @rule(time_span=st.sampled_from([0.02, 0.3, 1.0]))
    def stall(self, time_span: float) -> None:
        """Stalls the process: time passes, but it gets no processor time."""
        self.model.stall_time += time_span
        self.model.loop.stall(time_span)
        self.run(0.0)

    @precondition(lambda self: self.model.shutdown_task is None)
    @rule(choice=st.integers(0, 2))
    def terminate(self, choice: int) -> None:
        """Starts a graceful shutdown for one of three values, so that most examples run on without it."""
        if choice == 2:
            self.model.terminate()
            self.run(0.0)

    def run(self, time_span: float) -> None:
        """Runs the proxy for a time span in seconds.

        If it is negative, the proxy does not run: it handles the data together with that of the next rule.
        """
        if time_span >= 0:
            self.guard(lambda: self.model.run(time_span))

    def guard(self, operation: Any) -> None:
        """Runs an operation; after an exception the final checks are skipped."""
        try:
            operation()
        except BaseException:
            self.failed = True
            raise

    def teardown(self) -> None:
        """Shuts the proxy down, checks its final state and adds the counters of this example."""
        if not hasattr(self, "model"):
            return
        try:
            if not self.failed:
                self.model.finish()
            if self.statistics is not None:
                attempts = sum(len(received) for received in self.model.received_attempts.values())
                totals = {
                    "examples": 1,
                    "connections": len(self.model.clients),
                    "requests": self.model.request_count,
                }
                self.statistics.update({**totals, "attempts": attempts})
        finally:
            self.model.close()
