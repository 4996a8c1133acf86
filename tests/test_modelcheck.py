"""The state machines find no violation in a short run, and find each defect that is injected here."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import Phase

from granitepoint import Balancer, Event, ListKind, Outcome, Refuse, ServerList, Settings, Status
from granitepoint.admission import ClassState
from granitepoint.calls import Attempt, Call
from granitepoint.logic import SafetyRules, Server, Servers
from granitepoint.modelcheck import __main__ as command
from granitepoint.modelcheck.__main__ import main
from granitepoint.modelcheck.check import CounterexampleFound, check
from granitepoint.modelcheck.proxy import CLASSES, ProxyModel
from granitepoint.modelcheck.world import BalancerFactory, RuleViolation
from granitepoint.net.client_connection import ClientConnection

GENERATE_ONLY = (Phase.generate,)  # without shrinking


@pytest.mark.parametrize(
    ("name", "examples", "steps"), [("instance", 30, 30), ("cold", 8, 15), ("endings", 25, 30)]
)
def test_a_short_run_finds_no_violation(name: str, examples: int, steps: int) -> None:
    check(name, examples, steps, 1, phases=GENERATE_ONLY)


class IgnoresDedupWindow(SafetyRules):
    def dedup_time_left(self, call: Call, now: float) -> float:
        return math.inf


class IgnoresDedupGroup(SafetyRules):
    @staticmethod
    def same_group(cls: ClassState, attempt: Attempt, server: Server) -> bool:
        return True


class RefusesEveryCall(SafetyRules):
    def may_refuse(self, call: Call) -> bool:
        return True


class AnswersTwice(SafetyRules):
    def answer(self, call: Call, retry_after: float = 0.0) -> None:
        super().answer(call, retry_after)
        self.actions.append(Refuse(call.id))


class NeverRemovesCalls(SafetyRules):
    def remove_if_done(self, call: Call) -> None:
        pass


def with_safety_rules(safety_rules: type[SafetyRules]) -> BalancerFactory:
    """Returns a Balancer class with other safety rules."""

    class ModifiedBalancer(Balancer):
        def __init__(self, settings: Settings, seed: int) -> None:
            super().__init__(settings, seed)
            self.safety_rules = safety_rules(settings, self.actions)

    return ModifiedBalancer


class KeepsUnlistedServers(Balancer):
    def on_server_list(self, event: ServerList) -> None:
        if event.kind is ListKind.FULL:
            event = ServerList(ListKind.INCREMENTAL, event.entries, event.version)
        super().on_server_list(event)


class IgnoresTimeouts(Balancer):
    def handle(self, now: float, events: list[Event]) -> list[Any]:
        timeouts = [
            e for e in events if isinstance(e, Outcome) and e.status == Status.TIMEOUT and not e.final
        ]
        return super().handle(now, [event for event in events if event not in timeouts])


class ProbesWithoutPermission(Balancer):
    def send_due_probes(self, interval: float) -> None:
        for server in self.servers.pool:
            if not server.probing:
                self.send_probe(server)


@pytest.mark.parametrize(
    ("rule", "balancer_factory"),
    [
        ("answer", with_safety_rules(AnswersTwice)),
        ("answer", IgnoresTimeouts),
        ("repeat", with_safety_rules(IgnoresDedupWindow)),
        ("repeat", with_safety_rules(IgnoresDedupGroup)),
        ("repeat", with_safety_rules(RefusesEveryCall)),
        ("drain", KeepsUnlistedServers),
        ("permitted", ProbesWithoutPermission),
        ("kept", with_safety_rules(NeverRemovesCalls)),
    ],
)
def test_a_defect_of_an_instance_is_found(rule: str, balancer_factory: BalancerFactory) -> None:
    with pytest.raises(CounterexampleFound, match=f"^{rule}: "):
        check(rule, 300, 40, 1, phases=GENERATE_ONLY, balancer_factory=balancer_factory)


def test_a_missing_slow_start_of_a_cold_server_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Servers, "slow_start_share", lambda self, server, now: 1.0)
    with pytest.raises(CounterexampleFound, match="^cold: "):
        check("cold", 100, 20, 1, phases=GENERATE_ONLY)


def close_despite_unread_data(self: ClientConnection) -> None:
    """Closes a connection with unread data, which resets it and may lose the last answer."""
    if self.transport is not None and not self.closing:
        self.closing = True
        self.server.set_table(self, self.server.closing)
        self.transport.close()


@pytest.mark.parametrize(
    ("name", "defect"),
    [("peer_closed", lambda self: False), ("close", close_despite_unread_data)],
)
def test_a_defect_of_the_client_side_is_found(
    name: str, defect: Callable[[ClientConnection], object], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(ClientConnection, name, defect)
    with pytest.raises(CounterexampleFound, match="^answer: "):
        check("endings", 200, 40, 2, phases=GENERATE_ONLY)


def test_a_counterexample_is_printed_as_a_test_that_fails(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(SafetyRules, "may_refuse", lambda self, call: True)
    with pytest.raises(CounterexampleFound) as counterexample:
        check("repeat", 100, 30, 1, phases=GENERATE_ONLY)
    names: dict[str, Any] = {}
    exec(counterexample.value.test_source, names)
    with pytest.raises(AssertionError, match="^repeat: "):
        names["test_found"]()


def test_the_exit_code_of_the_command_says_whether_a_violation_was_found(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    arguments = ["--examples", "2", "--steps", "2", "--rule", "repeat"]
    assert main(arguments) == 0
    assert "2 examples" in capsys.readouterr().out

    def report_violation(*_: object) -> None:
        raise CounterexampleFound(RuleViolation("repeat", "sent twice"), "def test_found() -> None: ...")

    monkeypatch.setattr(command, "check", report_violation)
    assert main(arguments) == 1
    assert "def test_found()" in capsys.readouterr().out


def test_requests_of_the_model_reach_its_backends() -> None:
    model = ProxyModel(0, 2, 64)
    try:
        client = model.connect_client()
        assert client is not None
        client.send(model.create_request(client, CLASSES[0], 1.0))
        model.run(0.1)
        assert model.received_attempts
    finally:
        model.close()


def test_requests_pipelined_behind_a_refused_one_on_a_connection_over_the_limit_are_refused_too() -> None:
    model = ProxyModel(0, 1, 64)
    try:
        for _ in range(model.server.max_served_connections):
            client = model.connect_client()
            assert client is not None
            client.send(model.create_request(client, CLASSES[0], 1.0))
        model.run(0.01)
        refused_client = model.connect_client()
        assert refused_client is not None
        refused_client.send(
            model.create_request(refused_client, CLASSES[0], 1.0)
            + model.create_request(refused_client, CLASSES[0], 1.0)
        )
        model.run(0.01)
        assert [request.code for request in refused_client.requests] == [503, 503]
    finally:
        model.close()
