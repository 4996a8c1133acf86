"""Explains what a configuration means for a request: the limits, times and budgets that the proxy uses.

The values are read from the constants and objects of the proxy itself, so they match its behaviour.
"""

from __future__ import annotations

import asyncio
import time
from typing import Any

from msgspec import Struct

from granitepoint import __main__ as proxy_main
from granitepoint import admission, logic
from granitepoint.interface import Effect, ListKind, RequestClass, ServerList, Settings
from granitepoint.membership import backoff, list_lease
from granitepoint.net import discovery, driver, memory_account, request_reader, server, upstream
from granitepoint.net.config import Config, ConfigError
from granitepoint.net.listing import read_listing

SECONDS, PER_SECOND = "s", "1/s"


class Entry(Struct):
    """One value with its name, its unit and what it means."""

    name: str
    value: Any
    unit: str
    meaning: str

    def as_json(self) -> dict[str, Any]:
        """Returns what `explain --json` prints under the name."""
        return {"value": self.value, "unit": self.unit, "meaning": self.meaning}


class Section(Struct):
    """A titled group of entries."""

    title: str
    entries: list[Entry]


def _rounded(value: float) -> float:
    return float(f"{value:.6g}")


def _instance(config: Config) -> Section:
    settings = config.settings
    return Section("instance", [
        Entry("name", config.name, "", "as it appears in the log"),
        Entry("place", settings.me, "", f"index among the {settings.balancers} proxies of the tier, from 0"),
        Entry("tier", settings.stage, "", "tier 0 receives the requests of clients"),
        Entry("zone", settings.zone, "", "servers of this zone are preferred"),
        Entry("quantum", settings.quantum, SECONDS, "shortest time between two batches of decisions"),
        Entry("most open", settings.most_held or None, "requests",
              "beyond that, a request is answered 503 at once"),
    ])  # fmt: skip


def _retry_rule(cls: RequestClass) -> str:
    if cls.effect is Effect.REPEATABLE:
        return "a retry may go to any server"
    if cls.effect is Effect.ONCE:
        return "retried only if each earlier attempt provably never ran"
    where = "any server" if cls.group == "all" else f"servers of the same {cls.group}"
    return f"after an attempt that may have run, retried only on {where}, within the window"


def _request_class(cls: RequestClass, settings: Settings) -> Section:
    class_state = admission.ClassState(cls, settings.stage)
    answered_by = max(0.0, cls.deadline - driver.MIN_ANSWER_MARGIN_S)
    held_until = max(0.0, answered_by - driver.BALANCER_MARGIN_S - logic.ANSWER_MARGIN)
    refusable_always = cls.effect is Effect.REPEATABLE or (cls.effect is Effect.BY_KEY and cls.group == "all")
    extra_margin = driver.MAX_ANSWER_MARGIN_S - driver.MIN_ANSWER_MARGIN_S
    answered_by_meaning = f"at the latest; up to {extra_margin:g} s earlier under load"
    entries = [
        Entry("worth", cls.worth, "points", "under overload the lowest utility is refused first"),
        Entry("objective", cls.aim, SECONDS, f"a later answer counts for {cls.late_worth:g} of the worth"),
        Entry("deadline", cls.deadline, SECONDS, "upper limit of the budget that a request states"),
        Entry("answered by", _rounded(answered_by), SECONDS, answered_by_meaning),
        Entry(
            "held until",
            _rounded(held_until),
            SECONDS,
            "at the latest, in the queue before its first attempt",
        ),
        Entry(
            "target from",
            _rounded(class_state.min_target_latency),
            SECONDS,
            "slower answers lower the concurrency limit",
        ),
        Entry(
            "target to",
            _rounded(class_state.target_latency),
            SECONDS,
            "the target at the start; later it is learned",
        ),
        Entry("attempts", settings.max_attempts, "attempts", "at most; the proxy sends one at a time"),
        Entry("repeats", cls.effect.value, "", _retry_rule(cls)),
    ]
    if cls.effect is Effect.BY_KEY:
        entries.append(Entry("window", cls.window, SECONDS, "from the first attempt that may have run"))
    refusal = "at any time" if refusable_always else "only while no attempt may have run; later 502 or 504"
    entries.append(Entry("refused", 503, "", refusal))
    return Section(f"class {cls.name}", entries)


def _retries(settings: Settings) -> Section:
    advice = settings.max_wait_advice if settings.may_advise_wait else 0.0
    return Section("retries", [
        Entry("budget", logic.RETRY_RATIO, "attempts", "retries that each new request adds to the budget"),
        Entry("burst", logic.RETRY_BURST, "attempts", "retries that may be sent at once"),
        Entry("never ran", logic.NEVER_RAN_RETRY_COST, "attempts",
              "cost of a retry after an attempt that never ran"),
        Entry("cancel", settings.may_cancel, "", "whether a stuck attempt may be cancelled for another one"),
        Entry("advice", advice, SECONDS, "longest Retry-After of a refusal; 0: none is sent"),
    ])  # fmt: skip


def _tenants(settings: Settings, balancer: logic.Balancer) -> Section:
    where_counted = "counted in this tier" if settings.stage == 0 else "counted only in tier 0"
    entries = [
        Entry(
            f"tenant {name}",
            _rounded(quota),
            PER_SECOND,
            f"for this proxy, burst {max(1.0, quota):g}; {where_counted}",
        )
        for name, quota in balancer.quota_per_s.items()
    ]
    factor = Entry(
        "past a quota", settings.over_share_worth, "share", "of the worth, for requests beyond the quota"
    )
    return Section("tenants", [*entries, factor] if entries else [])


def _servers(settings: Settings, balancer: logic.Balancer) -> Section:
    pool, known = balancer.servers.pool, balancer.servers.known
    first_budget = settings.cold_from * logic.COLD_BUDGET_SHARE * settings.fall_multiple
    last_budget = logic.COLD_BUDGET_SHARE * settings.fall_multiple
    mean_share = 1 / len(pool) if pool else 0.0
    return Section("servers", [
        Entry("known", len(known), "servers", "in the list of the configuration file"),
        Entry("used", len(pool), "servers",
              f"at most {logic.MAX_POOL_SIZE}; {logic.MAX_LOCAL_POOL_SIZE} of the own zone"),
        Entry("cold for", settings.cold_for, SECONDS,
              f"slow start of a new server, from {settings.cold_from:g} of its capacity"),
        Entry("cold budget, first", _rounded(first_budget), "parts",
              "of the server's share of the peak rate, at its start"),
        Entry("cold budget, last", _rounded(last_budget), "parts", "the same, at the end of the slow start"),
        Entry("a server's part", _rounded(mean_share), "share", "of the calls, for a server of mean size"),
        Entry("ejected for", logic.BASE_EJECTION, SECONDS, f"then doubled, up to {logic.MAX_EJECTION:g} s"),
    ])  # fmt: skip


def _probes(settings: Settings, balancer: logic.Balancer) -> Section:
    if not settings.may_probe:
        return Section("probes", [Entry("allowed", False, "", "servers are never probed")])
    path = "/healthz" if settings.reports == "none" else "/load"
    return Section("probes", [
        Entry("allowed", True, "", f"GET {path}"),
        Entry("at the start", logic.INITIAL_PROBES, "probes", "at most, over all zones together"),
        Entry("per request", logic.PROBES_PER_CALL, "probes", "steady probes that each request adds"),
        Entry("least", logic.MIN_PROBE_RATE, PER_SECOND, "lowest rate of probes, also without requests"),
        Entry("for one call", logic.PRE_SEND_PROBES if balancer.probes_before_send else 0, "servers",
              "probed before the call is sent; 0: probes are too expensive"),
        Entry("timeout", driver.PROBE_TIMEOUT_S, SECONDS, "after which a probe has failed"),
        Entry("at once", driver.MAX_CONCURRENT_PROBES, "probes", "in progress, at most"),
    ])  # fmt: skip


def _discovery(config: Config) -> Section:
    settings = config.settings
    entries = [Entry("address", "{}:{}".format(*config.discovery), "", "read again on SIGHUP")]
    if settings.ask_for_list:
        instances = settings.balancers * settings.stages
        first_watch = min(
            logic.MAX_START_DELAY, logic.START_DELAY_PER_INSTANCE * instances, settings.must_ask_within / 4
        )
        longest_pause = min(backoff.MAX_PAUSE, logic.WATCH_PAUSE_FACTOR * settings.must_ask_within)
        pause_meaning = (
            f"at most, after a call that waited without success; grows with each, up to {longest_pause:g} s"
        )
        entries += [
            Entry("first watch", first_watch, SECONDS, "after the start, at most; at a random time"),
            Entry("asked again", min(backoff.OVERLOADED.first, longest_pause), SECONDS, pause_meaning),
            Entry(
                "while it is away",
                backoff.UNREACHABLE.maximum,
                SECONDS,
                "at most, while discovery refuses connections",
            ),
            Entry("list used for", list_lease.NOTIFIED_AFTER, SECONDS, "after the last answer of discovery"),
            Entry(
                "doubted",
                logic.STALE_LIST_INTERVAL,
                SECONDS,
                "without news, before a server that refuses makes the list suspect",
            ),
        ]
    else:
        entries.append(
            Entry("asked again", discovery.PUSH_RETRY_DELAY_S, SECONDS, "after the end of a watch")
        )
    asks = settings.ask_for_list
    hold_ms = discovery.HOLD_MS if asks else discovery.PUSHED_HOLD_MS
    renew_after = discovery.RENEW_AFTER_S if asks else discovery.PUSHED_RENEW_AFTER_S
    entries += [
        Entry("held", hold_ms / 1000, SECONDS, "longest time for which discovery may hold a watch"),
        Entry("renewed", renew_after, SECONDS, "silence after which a second watch is opened"),
        Entry(
            "must ask in",
            settings.must_ask_within,
            SECONDS,
            "longest time without a watch or a request to discovery; after it all changes count as notified",
        ),
    ]
    return Section("discovery", entries)


async def _connections_and_memory(config: Config) -> Section:
    """Reads the limits from a Server and an Upstreams object that are created but open no sockets."""
    handler: Any = None
    caller_server = server.Server({}, handler, config.sockets, config.memory_mb)
    settings = config.settings
    max_connections = int(config.sockets * upstream.UPSTREAM_DESCRIPTOR_SHARE)
    upstreams = upstream.Upstreams(settings.connect_timeout, settings.conn_idle, max_connections)
    reserved = min(server.RESERVED_DESCRIPTORS, config.sockets // 10)
    over_limit = caller_server.max_connections - caller_server.max_served_connections
    per_connection = memory_account.CONNECTION_BYTES + caller_server.memory.read_size
    large_body_kb = request_reader.LARGE_BODY_BYTES // 1024
    return Section("connections and memory", [
        Entry("descriptors", config.sockets, "descriptors", "that the process may have open"),
        Entry("to servers", upstreams.max_connections, "descriptors", "for connections to servers, at most"),
        Entry("reserve", reserved, "descriptors", "for the listener, discovery, the event loop and the log"),
        Entry("from callers", caller_server.max_served_connections, "descriptors",
              f"for callers, at most; {over_limit} more connections are accepted only to be refused"),
        Entry("memory", config.memory_mb, "MB",
              f"of these about {memory_account.BASE_MEMORY_MB:.0f} in use before it serves"),
        Entry("of a caller", per_connection / 1024, "KB",
              "set aside for each connection: its objects and what it may hold of input without a charge"),
        Entry("requests", caller_server.memory.requests.limit // 1024, "KB",
              "shared by the requests beyond that; the ones unfinished for the longest are refused"),
        Entry("read ahead", caller_server.memory.read_ahead.limit // 1024, "KB",
              "shared by input behind an open request, which is read to see the end of its connection"),
        Entry("answers", caller_server.memory.answers.limit // 1024, "KB",
              "shared by answers that callers do not read"),
        Entry("long requests", caller_server.max_large_requests, "requests",
              f"larger than {large_body_kb} KB, at a time"),
        Entry("request", request_reader.MAX_BODY_BYTES // 1024, "KB",
              "largest body of a request, and of an answer"),
        Entry("connect", settings.connect_timeout, SECONDS, "after which a connection attempt has failed"),
        Entry("idle", upstreams.idle_timeout, SECONDS,
              "after which the proxy closes an unused connection to a server"),
    ])  # fmt: skip


def _shutdown(settings: Settings) -> Section:
    longest_deadline = max(cls.deadline for cls in settings.classes)
    answered_by = (
        min(longest_deadline, proxy_main.SHUTDOWN_MAX_DEADLINE_S)
        + proxy_main.SHUTDOWN_KILL_DELAY_S
        - proxy_main.SHUTDOWN_KILL_MARGIN_S
    )
    closing_from = _rounded(answered_by - proxy_main.SHUTDOWN_CLOSING_S)
    return Section("after SIGTERM", [
        Entry("listens for", proxy_main.SHUTDOWN_ACCEPT_S, SECONDS,
              "further, until the front has noticed the shutdown"),
        Entry("winds down", closing_from, SECONDS, "from then on each answer closes its connection"),
        Entry("all answered", _rounded(answered_by), SECONDS, "at the latest"),
    ])  # fmt: skip


def explain(config: Config) -> list[Section]:
    """Returns all sections. Raises ConfigError if the list of servers or a value can't be used."""
    settings = config.settings
    try:
        balancer = logic.Balancer(settings, config.seed)
        known = read_listing(config.known).backends if config.known else []
        entries = [listed.entry for listed in known]
        balancer.handle(time.monotonic(), [ServerList(ListKind.SAVED, entries)])
        return [
            _instance(config),
            *(_request_class(cls, settings) for cls in settings.classes),
            _retries(settings),
            _tenants(settings, balancer),
            _servers(settings, balancer),
            _probes(settings, balancer),
            _discovery(config),
            asyncio.run(_connections_and_memory(config)),
            _shutdown(settings),
        ]
    except ValueError as error:
        raise ConfigError(f"bad configuration: known: {error}") from None
