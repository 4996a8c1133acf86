"""hypothesis strategies for settings, load reports and server lists."""

from __future__ import annotations

import math

import hypothesis.strategies as st

from granitepoint.interface import Effect, ListKind, RequestClass, ServerEntry, ServerState, Tenant

CLASS_NAMES = ("order", "pay", "read", "feed")
ZONES = ("a", "b", "c")
MAX_SERVERS = 9  # server ids are 1 to 9
# Seconds that pass in one step of a state machine.
DURATIONS = (0.0, 0.001, 0.005, 0.01, 0.03, 0.05, 0.1, 0.3, 1.0, 2.5)

request_classes = st.builds(
    RequestClass,
    name=st.sampled_from(CLASS_NAMES),
    worth=st.sampled_from([0.0, 1.0, 6.0]),
    aim=st.sampled_from([1.2, 0.5, 0.05]),
    deadline=st.sampled_from([3.0, 1.0, 0.3]),
    late_worth=st.sampled_from([0.0, 0.5]),
    effect=st.sampled_from(Effect),
    group=st.sampled_from(["all", "zone", "cell"]),
    window=st.sampled_from([5.0, 0.4, 0.05, 0.0]),
    stream=st.booleans(),
)

# Keyword arguments of Settings.
options = st.fixed_dictionaries(
    {
        "classes": st.lists(request_classes, min_size=1, max_size=4, unique_by=lambda cls: cls.name),
        "tenants": st.sampled_from([[], [Tenant("acme", 5.0, 0.4), Tenant("beta", 0.0, 0.1)]]),
        "zone": st.sampled_from(ZONES),
        "me": st.integers(0, 3),
        "balancers": st.sampled_from([1, 4, 30]),
        "stage": st.integers(0, 2),
        "quantum": st.sampled_from([0.0, 0.005]),
        "ask_for_list": st.booleans(),
        "must_ask_within": st.sampled_from([1.0, 10.0]),
        "max_attempts": st.sampled_from([3, 2, 5, 1]),
        "may_duplicate": st.booleans(),
        "may_cancel": st.booleans(),
        "may_probe": st.booleans(),
        "clients_mark_retries": st.booleans(),
        "may_advise_wait": st.booleans(),
        "max_wait_advice": st.sampled_from([0.0, 2.0]),
        "over_share_worth": st.sampled_from([0.0, 0.05, 1.0]),
        "worth_by_work": st.booleans(),
        "reports": st.sampled_from(["answer", "probe", "none"]),
        "conn_idle": st.sampled_from([0.1, 15.0]),
        "price_probe": st.sampled_from([0.0, 0.001, 0.06]),
        "price_crossing": st.sampled_from([0.0, 1.0]),
        "answer_slack": st.just(0.02),
        "cold_from": st.sampled_from([0.1, 0.39, 1.0]),
        "cold_for": st.sampled_from([0.0, 8.1]),
        "fall_multiple": st.sampled_from([1.0, 3.0]),
        "fall_within": st.sampled_from([1.0, 2.0]),
    }
)


def location(server: int) -> tuple[str, int]:
    """Returns the zone and the cell of a server; each zone has two cells."""
    return ZONES[server % len(ZONES)], server // len(ZONES) % 2


def server_entry(
    server: int, state: ServerState = ServerState.SERVING, started_at: float = 0.0, weight: float = 1.0
) -> ServerEntry:
    """Returns the list entry of a server, in the zone and the cell of `location`."""
    zone, cell = location(server)
    return ServerEntry(server, zone, "", cell, state, weight, started_at)


# Server id, state, whether the server has just started, weight.
EntryParameters = tuple[int, ServerState, bool, float]
entry_parameters = st.tuples(
    st.integers(1, MAX_SERVERS),
    st.sampled_from([ServerState.SERVING, ServerState.DRAINING, ServerState.GONE]),
    st.booleans(),
    st.sampled_from([0.0, 0.5, 1.0, 4.0]),
)
list_kinds = st.sampled_from([*[ListKind.FULL, ListKind.INCREMENTAL] * 2, ListKind.SAVED, ListKind.FAILED])
report_values = st.sampled_from([0.0, 1.0, 7.5, 40.0, 1e6, -1.0, math.inf])
load_reports = st.one_of(
    st.none(), st.dictionaries(st.sampled_from(["busy_reqs", "pending", "odd"]), report_values)
)
