"""The emulator: deterministic runs, the end of every request, and the models against manual calculations."""

from __future__ import annotations

import math
import subprocess
import sys
from pathlib import Path
from random import Random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from granitepoint.emulator import statistics
from granitepoint.emulator.calls import Attempt, AttemptState, Call, CallResult, Request, draw
from granitepoint.emulator.command import emulate
from granitepoint.emulator.day import Choke, parse
from granitepoint.emulator.instance import Instance
from granitepoint.emulator.server import Server
from granitepoint.emulator.world import World
from granitepoint.fleet.experiment import ExperimentError
from granitepoint.fleet.results import Record
from granitepoint.interface import ListKind, Probe, Refuse, Send, ServerState, Status

ROOT = Path(__file__).parent.parent
SMALL = """
name = "small"
seed = 5
duration_s = 4.0
[traffic]
rate_per_s = 40.0
[clients]
retries = 2
[[tiers]]
name = "one"
servers = 3
slots = 4
room = 4
[[tiers]]
name = "two"
servers = 3
slots = 2
room = 1
calls = 1.5
work = 0.5
[[classes]]
name = "read"
share = 0.7
work_ms = 40.0
aim_ms = 300.0
deadline_ms = 900.0
late_worth = 0.5
[[classes]]
name = "pay"
share = 0.3
work_ms = 60.0
aim_ms = 500.0
deadline_ms = 1500.0
worth = 3.0
effect = "once"
"""
FAULTS = """
[[troubles]]
kind = "roll"
at_s = 0.5
for_s = 2.0
drain_s = 0.5
batch = 0.34
[[troubles]]
kind = "fast_errors"
at_s = 1.0
for_s = 1.0
tier = 1
[[troubles]]
kind = "hang"
at_s = 2.0
for_s = 1.0
tier = 1
[[troubles]]
kind = "burst"
at_s = 2.0
for_s = 1.0
times = 4.0
[[troubles]]
kind = "heavy_tail"
at_s = 0.0
for_s = 3.0
cls = "read"
share = 0.05
times = 20.0
[[troubles]]
kind = "stale_discovery"
at_s = 0.0
for_s = 3.0
behind_s = 1.0
[[troubles]]
kind = "shrink"
at_s = 3.0
for_s = 0.5
tier = 1
part = 0.3
drain_s = 0.3
[[troubles]]
kind = "zone_loss"
at_s = 3.5
for_s = 0.5
zone = "a"
"""


class RecordingCaller:
    """Records the results of calls."""

    def __init__(self) -> None:
        self.results: list[CallResult] = []

    def on_call_ended(
        self, call: Call, result: CallResult, retry_after: float, attempt: Attempt | None
    ) -> None:
        self.results.append(result)


class Bench:
    """One server (1 core, speed 1) without network delay; the test sends it single attempts."""

    def __init__(self, **changes: object) -> None:
        day = parse(SMALL)
        tier = msgspec.structs.replace(day.tiers[0], servers=1, **changes)
        network = msgspec.structs.replace(day.network, same_ms=0.0, jitter=0.0)
        limits = msgspec.structs.replace(day.limits, probes=False)
        self.day = msgspec.structs.replace(day, tiers=[tier], network=network, limits=limits)
        self.world = World(self.day)
        self.loop = self.world.loop
        self.server: Server = self.world.servers_by_tier[0][0]
        self.instance = self.world.proxies[0]
        self.loop.run(0.0)
        self.done: dict[int, tuple[float, Status]] = {}
        self.instance.on_reply = self._on_reply  # type: ignore[method-assign]

    def _on_reply(self, attempt: Attempt) -> None:
        attempt.status = attempt.reply_status
        self.done[attempt.number] = (round(self.loop.now, 6), Status(attempt.reply_status))

    def send(self, number: int, at: float, work: float, deadline: float = 100.0) -> Attempt:
        """Send attempt `number` at a time, with an absolute deadline in seconds and work in core seconds."""
        cls = self.day.classes[0]
        request = Request(number, cls, "", "a", at, work, self.world.tally.window_at(at), Random(number))
        call = Call(self.world.next_call_id(), request, RecordingCaller(), deadline, work)
        attempt = Attempt(call, number, self.instance, self.server, at, deadline)
        self.loop.call_at(at, self.server.receive, attempt)
        return attempt


def total(records: list[Record]) -> statistics.Total:
    return next(record for record in records if isinstance(record, statistics.Total))


def run(text: str, **changes: object) -> statistics.Total:
    return total(World(msgspec.structs.replace(parse(text), **changes)).run())


# -- configuration files
@pytest.mark.parametrize(
    ("before", "after", "key"),
    [
        ("rate_per_s = 40.0", "rate_per_s = 40.0\nspede = 3", "spede"),
        ("rate_per_s = 40.0", "rate_per_s = 40.0\nload = 0.5", "traffic"),
        ('effect = "once"', 'effect = "once"\nwindow_ms = 100.0', "classes[1].window_ms"),
        ("slots = 4", "speeds = [1.0, 1.0, 1.0]\nspeed_cv = 0.1", "tiers[0].speed_cv"),
        ("slots = 4", "calls = 2.0", "tiers[0].calls"),
        ("slots = 4", "slots = 0", "tiers[0]"),
        ('name = "small"', 'name = "small"\nzones = ["a", "a"]', "zones"),
        ("[clients]", "swing = 0.1\n[clients]", "traffic.wave_s"),
    ],
)
def test_an_invalid_or_unused_key_is_named(before: str, after: str, key: str) -> None:
    assert before in SMALL
    with pytest.raises(ExperimentError, match=key.replace("[", r"\[").replace("]", r"\]")):
        parse(SMALL.replace(before, after, 1))


@pytest.mark.parametrize(
    "text",
    ['kind = "roll"\nat_s = 9.0\nfor_s = 1.0', 'kind = "zone_loss"\nat_s = 1.0\nfor_s = 1.0\nzone = "z"',
     'kind = "hang"\nat_s = 1.0\nfor_s = 1.0\ntier = 2', 'kind = "flood"\nat_s = 1.0\nfor_s = 1.0',
     'kind = "heavy_tail"\nat_s = 1.0\nfor_s = 1.0\ncls = "x"\nshare = 0.1\ntimes = 2.0'],
)  # fmt: skip
def test_a_fault_without_effect_is_an_error(text: str) -> None:
    with pytest.raises(ExperimentError, match="troubles"):
        parse(SMALL + "[[troubles]]\n" + text)


def test_an_invalid_file_is_reported_in_one_line_with_exit_code_2(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "bad.toml"
    path.write_text(SMALL + "\nnonsense = 1\n")
    assert emulate(path) == 2
    captured = capsys.readouterr()
    assert captured.out == "" and captured.err.count("\n") == 1 and "nonsense" in captured.err


def test_capacity_is_that_of_the_bottleneck_tier() -> None:
    # 46 ms per request: the first tier serves 3 / 0.046 per second, the second 3 / (0.046 x 0.5 x 1.5).
    assert parse(SMALL).capacity() == pytest.approx(3 / 0.046)


# -- whole runs
def test_the_same_seed_gives_the_same_bytes_in_another_process(tmp_path: Path) -> None:
    path = tmp_path / "day.toml"
    path.write_text(SMALL + FAULTS)
    outputs = []
    for number, salt in enumerate(("1", "2", "3")):
        out = tmp_path / f"{number}.jsonl"
        command = [sys.executable, "-m", "granitepoint.emulator", str(path), "--json", str(out)]
        command += ["--seed", "6"] if number == 2 else []
        completed = subprocess.run(command, capture_output=True, check=True, env={"PYTHONHASHSEED": salt},
                              cwd=ROOT, timeout=120)  # fmt: skip
        outputs.append((completed.stdout, out.read_bytes()))
    assert outputs[0] == outputs[1]
    assert outputs[0] != outputs[2]


@settings(max_examples=6, deadline=None)
@given(st.integers(0, 10_000), st.sampled_from(["none", "queued", "running"]), st.booleans())
def test_every_request_ends_exactly_once_during_faults(seed: int, cancel: str, passes: bool) -> None:
    text = SMALL.replace("slots = 4", f'slots = 4\ncancel = "{cancel}"\ndrops_expired = true')
    world = World(msgspec.structs.replace(parse(text + FAULTS), seed=seed, passes_deadline=passes))
    records = world.run()
    total_record = total(records)
    assert sum(total_record.ends.values()) == total_record.requests > 100
    assert world.tally.open_requests == 0
    classes = [
        record for record in records if isinstance(record, statistics.Group) and record.kind == "class"
    ]
    windows = [record for record in records if isinstance(record, statistics.Window)]
    for groups in (classes, windows):
        assert sum(sum(one.ends.values()) for one in groups) == total_record.requests
    for depth in (record for record in records if isinstance(record, statistics.Depth)):
        assert depth.work_served <= depth.work_done + 1e-6
    for server in world.servers.values():
        incarnations = [
            incarnation
            for owner, incarnations in _pools(world)
            if owner is server
            for incarnation in incarnations
        ]
        assert incarnations.count(server.incarnation) <= server.open_connections
    assert total_record.breaks["out_of_place"] == total_record.breaks["unanswered"] == 0


def _pools(world: World) -> list[tuple[Server, list[int]]]:
    instances: list[Instance] = [*world.proxies, *(s.instance for s in world.servers.values() if s.instance)]
    return [
        (pool.server, [incarnation for incarnation, _ in pool.idle])
        for i in instances
        for pool in i.pools.values()
    ]


def test_a_request_that_ends_twice_is_an_emulator_error() -> None:
    bench = Bench()
    request = bench.send(1, 0.0, 1.0).call.request
    bench.world.tally.request_started(request)
    bench.world.tally.request_ended(request, "refused", 1.0)
    with pytest.raises(statistics.EmulatorError, match="ended twice"):
        bench.world.tally.request_ended(request, "refused", 1.0)


def test_first_tries_do_not_depend_on_the_answers() -> None:
    slow = SMALL.replace("slots = 4", "slots = 1")
    assert run(SMALL).requests == run(slow).requests


def test_a_fleet_with_spare_capacity_serves_all_in_time_and_wastes_nothing() -> None:
    text = SMALL.replace("rate_per_s = 40.0", "rate_per_s = 2.0").replace("aim_ms = 300.0", "aim_ms = 900.0")
    # All calls have the same work: the module cancels long ones and retries them, which wastes work.
    text = text.replace("aim_ms", 'dist = "fixed"\naim_ms')
    total_record = run(text, duration_s=10.0)
    assert total_record.ends["in_time"] == total_record.requests > 10
    assert (
        total_record.worth_served == 1.0
        and total_record.wasted == 0.0
        and not any(total_record.breaks.values())
    )
    assert total_record.tries_per_request == 1.0


# -- the server model against manual calculations
def test_running_requests_share_the_core_evenly() -> None:
    bench = Bench()
    bench.send(1, 0.0, 1.0)
    bench.send(2, 0.5, 1.0)
    bench.loop.run(10.0)
    # The first runs alone until 0.5 s, then both run at half speed. The first has 0.5 core seconds left and
    # is done at 1.5 s; the second then has 0.5 left, runs alone and is done at 2.0 s.
    assert bench.done == {1: (1.5, Status.OK), 2: (2.0, Status.OK)}


def test_two_cores_serve_two_requests_at_full_speed() -> None:
    bench = Bench(cores=2, speed=2.0)
    for number in range(2):
        bench.send(number, 0.0, 1.0)
    bench.loop.run(10.0)
    assert bench.done == {0: (0.5, Status.OK), 1: (0.5, Status.OK)}


def test_requests_are_rejected_when_slots_and_queue_are_full() -> None:
    bench = Bench(slots=1, room=1)
    for number in range(3):
        bench.send(number, number * 0.1, 1.0)
    bench.loop.run(10.0)
    assert bench.done == {0: (1.0, Status.OK), 1: (2.0, Status.OK), 2: (0.2, Status.FULL)}


def test_an_expired_request_is_dropped_from_the_queue_if_the_tier_does_so() -> None:
    bench = Bench(slots=1, room=2, drops_expired=True)
    bench.send(0, 0.0, 1.0)
    dropped = bench.send(1, 0.1, 1.0, deadline=0.8)
    bench.send(2, 0.2, 1.0)
    bench.loop.run(10.0)
    assert bench.done == {0: (1.0, Status.OK), 2: (2.0, Status.OK)}
    assert dropped.state is AttemptState.FINISHED and dropped.work_spent == 0


@pytest.mark.parametrize(("cancel", "done_at", "work_spent"), [("none", 2.0, 1.0), ("running", 1.25, 0.25)])
def test_the_tier_says_whether_a_cancel_stops_running_work(
    cancel: str, done_at: float, work_spent: float
) -> None:
    bench = Bench(cancel=cancel)
    abandoned = bench.send(0, 0.0, 1.0)
    bench.send(1, 0.0, 1.0)
    bench.loop.call_at(0.5, bench.server.abandon, abandoned)
    bench.loop.run(10.0)
    # At 0.5 s each has received 0.25 core seconds. If the first is stopped, the second needs 0.75 s more.
    assert bench.done[1][0] == done_at
    assert abandoned.work_spent == pytest.approx(work_spent)


def test_holding_too_many_requests_costs_capacity() -> None:
    bench = Bench(slots=4, thrash=0.5, thrash_at=2.0)
    for number in range(4):
        bench.send(number, 0.0, 1.0)
    bench.loop.run(20.0)
    # Two requests beyond thrash_at = 2: 1 / (1 + 0.5 x 2) is half speed, for 4 core seconds of work.
    assert {at for at, _ in bench.done.values()} == {8.0}


@pytest.mark.parametrize("work", [0.5, 2.0, 5.0, 9.0])
def test_a_cold_server_gains_its_capacity_linearly(work: float) -> None:
    bench = Bench(cold_from=0.25, cold_s=8.0)
    bench.server.stop()
    bench.server.start()
    bench.send(1, 0.0, work)
    bench.loop.run(50.0)
    # Work done by time t: 0.25 t + 0.75 t^2 / 16 until 8 s, when it is 5; then 1 per second.
    expected = 8.0 + work - 5.0 if work >= 5 else (-0.25 + math.sqrt(0.0625 + 4 * work * 0.046875)) / 0.09375
    assert bench.done[1][0] == pytest.approx(expected, abs=1e-6)


def test_an_overloaded_cold_server_crashes_and_it_violates_the_rule_if_the_senders_were_notified() -> None:
    for notified in (True, False):
        bench = Bench(cold_from=0.25, cold_s=8.0, slots=50)
        bench.loop.run(1.0)
        bench.server.stop()
        bench.server.start()
        if notified:
            bench.instance.receive_list(
                ListKind.INCREMENTAL, [bench.server.list_entry(ServerState.SERVING)], 1
            )
        # The limit is 3 x 0.25 x 2 s = 1.5 core seconds; one request counts at most 0.5.
        for number, work in enumerate([9.0, 0.4, 0.4]):
            bench.send(number, 1.0, work)
        bench.loop.run(1.001)
        assert bench.server.up
        # The sum is 1.3. The first request after the sum has passed 1.5 crashes the server.
        for number in (3, 4):
            bench.send(number, 1.001, 0.4)
        bench.loop.run(2.0)
        assert not bench.server.up
        assert {status for _, status in bench.done.values()} == {Status.RESET}
        assert bench.world.tally.violations["cold_fall"] == notified


def test_a_crowded_server_chokes_and_recovers_after_a_rest() -> None:
    choke = Choke(at=3.0, over_s=1.0, slower=2.0, rest_s=2.0, below=0.5, most_s=30.0)
    bench = Bench(choke=choke)
    for number in range(3):
        bench.send(number, 0.0, 1.0)
    bench.send(9, 20.0, 1.0)
    bench.loop.run(50.0)
    # 1 core second is done when it chokes at 1 s; the remaining 2 take 4 s. By 20 s it has recovered.
    assert [at for at, _ in bench.done.values()] == [5.0, 5.0, 5.0, 21.0]
    assert bench.world.tally.depths[0].chokes == 1


def test_time_without_crowding_takes_back_crowded_time() -> None:
    choke = Choke(at=2.0, over_s=1.0, slower=2.0, rest_s=2.0, below=0.5, most_s=30.0)
    bench = Bench(choke=choke)
    for number, (at, work) in enumerate([(0.0, 0.5), (0.2, 0.3), (1.2, 5.0), (1.3, 5.0)]):
        bench.send(number, at, work)
    bench.loop.run(1.0)
    # It is crowded from 0.2 s to 0.8 s. The 0.5 s without crowding until 1.3 s leave 0.1 s of those 0.6 s, so
    # it chokes after 0.9 s more, at 2.2 s.
    assert [at for at, _ in bench.done.values()] == [0.8, 0.8]
    bench.loop.run(2.19)
    assert bench.server.choked_since == math.inf
    bench.loop.run(2.21)
    assert bench.server.choked_since == pytest.approx(2.2)


def test_a_hung_server_does_no_work_until_it_resumes() -> None:
    bench = Bench()
    bench.send(1, 0.0, 1.0)
    bench.loop.call_at(0.5, lambda _: bench.server.hang(True))
    bench.loop.call_at(3.5, lambda _: bench.server.hang(False))
    bench.loop.run(10.0)
    assert bench.done == {1: (4.0, Status.OK)}


def test_reports_lag_by_their_period_and_delay() -> None:
    bench = Bench(report_period_ms=1000.0, report_delay_ms=100.0, report_noise=0.0, probe_us=0.0)
    server = bench.server
    server.report_phase = 0.0
    reports: list[tuple[float, float]] = []

    def probe(_: object) -> None:
        report = server.answer_probe()[1]
        assert report is not None
        reports.append((bench.loop.now, report["busy_reqs"]))

    bench.send(1, 0.5, 1.0)  # held from 0.5 s to 1.5 s
    for at in (0.8, 1.05, 1.2, 1.9, 2.05, 2.2):
        bench.loop.call_at(at, probe)
    bench.loop.run(5.0)
    assert reports == [(0.8, 0.0), (1.05, 0.0), (1.2, 1.0), (1.9, 1.0), (2.05, 1.0), (2.2, 0.0)]


def test_a_draining_server_accepts_requests_at_first_and_resets_the_remaining_ones_at_its_end() -> None:
    bench = Bench()
    bench.loop.call_at(1.0, lambda _: bench.server.drain(4.0))
    bench.loop.call_at(5.0, lambda _: bench.world.stop(bench.server, silent=False))
    bench.send(1, 2.0, 1.0)
    bench.send(2, 2.5, 9.0)
    bench.send(3, 3.5, 1.0)
    bench.loop.run(9.0)
    assert [status for _, status in bench.done.values()] == [Status.FULL, Status.OK, Status.RESET]


def test_connections_are_limited_reused_and_closed_after_the_idle_timeout() -> None:
    bench = Bench(connections=2, handshake_us=0.0)
    instance, server, idle_timeout = bench.instance, bench.server, bench.day.limits.conn_idle_s
    instance._handle = instance.inbox.clear  # type: ignore[method-assign]  # the decision module is not called
    request = bench.send(1, 99.0, 0.1).call.request
    calls: list[Call] = []
    for _ in range(3):
        calls.append(Call(bench.world.next_call_id(), request, RecordingCaller(), 1.0, 0.1))
        instance.accept(calls[-1])
        instance._send(Send(calls[-1].id, server.id, 1.0))
    del instance.on_reply
    bench.loop.run(0.5)
    assert [call.attempts[0].status for call in calls] == [Status.OK, Status.OK, Status.CONNECT_FAILED]
    assert (server.open_connections, bench.world.tally.depths[0].handshakes) == (2, 2)
    instance._send(Send(calls[2].id, server.id, 0.5))
    bench.loop.run(1.0)
    assert calls[2].attempts[1].status == Status.OK
    assert calls[2].attempts[1].idle_for > 0 and bench.world.tally.depths[0].handshakes == 2
    bench.loop.run(idle_timeout + 2.0)
    assert server.open_connections == 0 and not any(pool.idle for pool in instance.pools.values())


@pytest.mark.parametrize(("surge", "min_running"), [(True, 3), (False, 2)])
def test_a_roll_replaces_each_server_and_with_surge_never_has_fewer_running(
    surge: bool, min_running: int
) -> None:
    roll = '[[troubles]]\nkind = "roll"\nat_s = 0.5\nfor_s = 3.0\ndrain_s = 0.2\n'
    roll += f"surge = {str(surge).lower()}\n"
    world = World(parse(SMALL.replace("duration_s = 4.0", "duration_s = 8.0") + roll))
    before = list(world.servers_by_tier[0])
    running_counts: list[int] = []

    def sample(_: object) -> None:
        running_counts.append(sum(server.up and not server.draining for server in world.servers_by_tier[0]))
        world.loop.call_at(world.loop.now + 0.05, sample)

    world.loop.call_at(0.0, sample)
    world.run()
    assert not any(server.up for server in before)
    assert sum(server.up for server in world.servers_by_tier[0]) == 3
    assert min(running_counts) == min_running


# -- violations of rules are counted
def test_a_send_after_a_drain_and_an_unsafe_repeat_or_refusal_are_counted() -> None:
    bench = Bench()
    instance, world = bench.instance, bench.world
    request = bench.send(1, 50.0, 1.0).call.request
    request.cls = bench.day.classes[1]  # must not run twice
    call = Call(world.next_call_id(), request, RecordingCaller(), 5.0, 1.0)
    instance.accept(call)
    instance.receive_list(ListKind.INCREMENTAL, [bench.server.list_entry(ServerState.DRAINING)], 1)
    bench.loop.now = 0.2
    instance._send(Send(call.id, bench.server.id, 1.0))
    assert world.tally.violations["drain"] == 0
    instance._send(Send(call.id, bench.server.id, 1.0))
    assert world.tally.violations["repeat"] == 1
    bench.loop.now = 0.3
    instance._perform(Refuse(call.id))
    assert world.tally.violations["repeat"] == 2
    other = Call(world.next_call_id(), request, RecordingCaller(), 5.0, 1.0)
    instance.accept(other)
    instance._send(Send(other.id, bench.server.id, 1.0))
    assert world.tally.violations["drain"] == 1
    instance._send(Send(other.id, 12345, 1.0))
    instance._send_probe(Probe(12345).server)
    assert world.tally.violations["out_of_place"] == 2


@pytest.mark.parametrize("dist", ["lognormal", "pareto"])
def test_draws_have_the_given_mean(dist: str) -> None:
    random = Random(1)
    count = 200_000
    assert sum(draw(random, dist, 3.0, 0.8) for _ in range(count)) / count == pytest.approx(3.0, rel=0.02)


def test_discovery_handles_calls_in_order_and_fails_those_that_wait_too_long() -> None:
    day = parse(SMALL)
    discovery = msgspec.structs.replace(day.discovery, lines_per_s=100.0, call_lines=90.0, timeout_s=1.5)
    call_queue = World(msgspec.structs.replace(day, discovery=discovery)).registries[0].call_queue
    assert [call_queue.schedule_call(10) for _ in range(3)] == [(1.0, True), (2.0, True), (1.5, False)]


def test_the_proxy_and_the_simulator_adapter_do_not_import_the_emulator() -> None:
    code = "import sys, granitepoint.__main__, granitepoint.simulator_adapter as b; assert b\n"
    code += "assert not [name for name in sys.modules if 'emulator' in name]"
    subprocess.run([sys.executable, "-c", code], check=True, cwd=ROOT, timeout=60)
