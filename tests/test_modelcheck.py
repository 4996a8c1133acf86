"""The state machines find no breach in a short run, and find each of the faults made here on purpose."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import Phase

from granitepoint import Balancer, Event, ListKind, Outcome, Refuse, ServerList, Settings, Status
from granitepoint.admission import ClassState
from granitepoint.logic import Attempt, Call, SafetyRules, Server, Servers
from granitepoint.modelcheck import __main__ as command
from granitepoint.modelcheck.__main__ import main
from granitepoint.modelcheck.check import Found, check
from granitepoint.modelcheck.proxy import CLASSES, Model
from granitepoint.modelcheck.world import Make, RuleBroken
from granitepoint.net.server import ClientConnection

FIRST_FOUND = (Phase.generate,)  # not made shorter


@pytest.mark.parametrize(
    ("name", "examples", "steps"), [("instance", 30, 30), ("cold", 8, 15), ("endings", 25, 30)]
)
def test_a_short_run_finds_no_breach(name: str, examples: int, steps: int) -> None:
    check(name, examples, steps, 1, phases=FIRST_FOUND)


class ForgetsTheWindow(SafetyRules):
    def dedup_time_left(self, call: Call, now: float) -> float:
        return math.inf


class ForgetsTheGroup(SafetyRules):
    @staticmethod
    def same_group(cls: ClassState, attempt: Attempt, server: Server) -> bool:
        return True


class RefusesAll(SafetyRules):
    def may_refuse(self, call: Call) -> bool:
        return True


class AnswersTwice(SafetyRules):
    def answer(self, call: Call, retry_after: float = 0.0) -> None:
        super().answer(call, retry_after)
        self.actions.append(Refuse(call.id))


class NeverForgets(SafetyRules):
    def remove_if_done(self, call: Call) -> None:
        pass


def with_gate(gate: type[SafetyRules]) -> Make:
    class Changed(Balancer):
        def __init__(self, settings: Settings, seed: int) -> None:
            super().__init__(settings, seed)
            self.safety_rules = gate(settings, self.actions)

    return Changed


class KeepsWhatAListLeavesOut(Balancer):
    def on_server_list(self, event: ServerList) -> None:
        if event.kind is ListKind.FULL:
            event = ServerList(ListKind.INCREMENTAL, event.entries, event.version)
        super().on_server_list(event)


class WaitsInVain(Balancer):
    def handle(self, now: float, events: list[Event]) -> list[Any]:
        late = [e for e in events if isinstance(e, Outcome) and e.status == Status.TIMEOUT and not e.final]
        return super().handle(now, [event for event in events if event not in late])


class ProbesAlways(Balancer):
    def send_due_probes(self, interval: float) -> None:
        for server in self.servers.pool:
            if not server.probing:
                self.send_probe(server)


@pytest.mark.parametrize(
    ("rule", "make"),
    [
        ("answer", with_gate(AnswersTwice)),
        ("answer", WaitsInVain),
        ("repeat", with_gate(ForgetsTheWindow)),
        ("repeat", with_gate(ForgetsTheGroup)),
        ("repeat", with_gate(RefusesAll)),
        ("drain", KeepsWhatAListLeavesOut),
        ("permitted", ProbesAlways),
        ("kept", with_gate(NeverForgets)),
    ],
)
def test_a_fault_of_an_instance_is_found(rule: str, make: Make) -> None:
    with pytest.raises(Found, match=f"^{rule}: "):
        check(rule, 300, 40, 1, phases=FIRST_FOUND, make=make)


def test_a_cold_server_that_gets_all_it_seems_fit_for_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Servers, "slow_start_share", lambda self, server, now: 1.0)
    with pytest.raises(Found, match="^cold: "):
        check("cold", 100, 20, 1, phases=FIRST_FOUND)


def close_on_unread(self: ClientConnection) -> None:
    if self.transport is not None and not self.closing:
        self.closing = True
        self.server.set_table(self, self.server.closing)
        self.transport.close()


@pytest.mark.parametrize(
    ("name", "fault"),
    [("peer_closed", lambda self: False), ("close", close_on_unread)],
)
def test_a_fault_of_the_callers_side_is_found(
    name: str, fault: Callable[[ClientConnection], object], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(ClientConnection, name, fault)
    with pytest.raises(Found, match="^answer: "):
        check("endings", 200, 40, 2, phases=FIRST_FOUND)


def test_a_case_is_told_as_a_test_that_fails(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(SafetyRules, "may_refuse", lambda self, call: True)
    with pytest.raises(Found) as found:
        check("repeat", 100, 30, 1, phases=FIRST_FOUND)
    names: dict[str, Any] = {}
    exec(found.value.test, names)
    with pytest.raises(AssertionError, match="^repeat: "):
        names["test_found"]()


def test_the_command_tells_by_its_exit_code_whether_a_breach_was_found(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    asked = ["--examples", "2", "--steps", "2", "--rule", "repeat"]
    assert main(asked) == 0
    assert "2 examples" in capsys.readouterr().out

    def breach(*_: object) -> None:
        raise Found(RuleBroken("repeat", "sent twice"), "def test_found() -> None: ...")

    monkeypatch.setattr(command, "check", breach)
    assert main(asked) == 1
    assert "def test_found()" in capsys.readouterr().out


def test_what_stands_behind_a_refused_request_on_a_connection_without_room_is_refused_too() -> None:
    model = Model(0, 1, 64)
    try:
        for _ in range(model.server.max_served_connections):
            caller = model.client()
            assert caller is not None
            caller.send(model.request(caller, CLASSES[0], 1.0))
        model.run(0.01)
        late = model.client()
        assert late is not None
        late.send(model.request(late, CLASSES[0], 1.0) + model.request(late, CLASSES[0], 1.0))
        model.run(0.01)
        assert [asked.code for asked in late.asked] == [503, 503]
    finally:
        model.stop()
