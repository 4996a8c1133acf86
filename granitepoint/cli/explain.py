"""What a configuration means for a request, in the figures that the module and the sockets really use."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from msgspec import Struct

from granitepoint import __main__ as program
from granitepoint import admission, logic
from granitepoint.interface import Effect, ListKind, RequestClass, ServerList, Settings
from granitepoint.membership import backoff, list_lease
from granitepoint.net import discovery, driver, server, upstream
from granitepoint.net.config import Config, ConfigError
from granitepoint.net.listing import read_listing

SECONDS, PER_SECOND = "s", "1/s"


class Entry(Struct):
    """One figure: its name, its value with the unit, and what it means."""

    name: str
    value: Any
    unit: str
    meaning: str

    def figure(self) -> dict[str, Any]:
        return {"value": self.value, "unit": self.unit, "meaning": self.meaning}


class Section(Struct):
    title: str
    entries: list[Entry]


def _rounded(value: float) -> float:
    return float(f"{value:.6g}")


def _instance(config: Config) -> Section:
    settings = config.settings
    return Section("instance", [
        Entry("name", config.name, "", "in the log"),
        Entry("place", settings.me, "", f"among {settings.balancers} of the tier, from 0"),
        Entry("tier", settings.stage, "", "0 takes clients' requests"),
        Entry("zone", settings.zone, "", "servers of this zone come first"),
        Entry("quantum", settings.quantum, SECONDS, "decisions come no more often"),
        Entry("most open", settings.most_held or None, "requests", "one more is answered 503 at once"),
    ])  # fmt: skip


def _repeats(cls: RequestClass) -> str:
    if cls.effect is Effect.REPEATABLE:
        return "any server may get a further attempt"
    if cls.effect is Effect.ONCE:
        return "a further attempt only once each before is proved never to have run"
    where = "any server" if cls.group == "all" else f"servers of the same {cls.group}"
    return f"after one that may have run, a further attempt only to {where}, within the window"


def _class(cls: RequestClass, settings: Settings) -> Section:
    kind = admission.ClassState(cls, settings.stage)
    answered = max(0.0, cls.deadline - driver.LEAST_MARGIN)
    held = max(0.0, answered - driver.MODULE_MARGIN - logic.ANSWER_MARGIN)
    always = cls.effect is Effect.REPEATABLE or (cls.effect is Effect.BY_KEY and cls.group == "all")
    earlier = driver.MOST_MARGIN - driver.LEAST_MARGIN
    busy = f"at the latest; up to {earlier:g} s earlier when busy"
    entries = [
        Entry("worth", cls.worth, "points", "under overload the least worth is refused first"),
        Entry("objective", cls.aim, SECONDS, f"a later answer has {cls.late_worth:g} of the worth"),
        Entry("deadline", cls.deadline, SECONDS, "the most that a request's own budget counts for"),
        Entry("answered by", _rounded(answered), SECONDS, busy),
        Entry("held until", _rounded(held), SECONDS, "at the latest, before its first attempt goes out"),
        Entry("target from", _rounded(kind.min_target_latency), SECONDS, "slower answers close the window"),
        Entry("target to", _rounded(kind.target_latency), SECONDS, "the same at the start; it is learned"),
        Entry("attempts", settings.max_attempts, "attempts", "at most, one at a time on sockets"),
        Entry("repeats", cls.effect.value, "", _repeats(cls)),
    ]
    if cls.effect is Effect.BY_KEY:
        entries.append(Entry("window", cls.window, SECONDS, "from the first attempt that may have run"))
    refusal = "at any time" if always else "only while nothing may have run; after that it fails: 502 or 504"
    entries.append(Entry("refused", 503, "", refusal))
    return Section(f"class {cls.name}", entries)


def _retries(settings: Settings) -> Section:
    advice = settings.max_wait_advice if settings.may_advise_wait else 0.0
    return Section("retries", [
        Entry("budget", logic.RETRY_SHARE, "attempts", "further ones that each new request allows"),
        Entry("burst", logic.RETRY_BURST, "attempts", "that may come at once"),
        Entry("never ran", logic.RETRY_UNSEEN, "attempts", "that one counts as, where nothing has run"),
        Entry("cancel", settings.may_cancel, "", "a stuck attempt may be given up for another"),
        Entry("advice", advice, SECONDS, "longest Retry-After of a refusal; 0: none is given"),
    ])  # fmt: skip


def _tenants(settings: Settings, balancer: logic.Balancer) -> Section:
    counted = "counted" if settings.stage == 0 else "only counted in the first tier"
    entries = [
        Entry(f"tenant {name}", _rounded(quota), PER_SECOND, f"here, at once {max(1.0, quota):g}; {counted}")
        for name, quota in balancer.quota.items()
    ]
    factor = Entry("past a quota", settings.over_share_worth, "share", "of its worth that it counts for")
    return Section("tenants", [*entries, factor] if entries else [])


def _servers(settings: Settings, balancer: logic.Balancer) -> Section:
    pool, known = balancer.servers.pool, balancer.servers.known
    first = settings.cold_from * logic.COLD_SHARE * settings.fall_multiple
    last = logic.COLD_SHARE * settings.fall_multiple
    mean = 1 / len(pool) if pool else 0.0
    return Section("servers", [
        Entry("known", len(known), "servers", "in the file's list"),
        Entry("used", len(pool), "servers", f"at most {logic.POOL}, of the own zone {logic.POOL_LOCAL}"),
        Entry("cold for", settings.cold_for, SECONDS, f"from {settings.cold_from:g} of its capacity"),
        Entry("cold budget, first", _rounded(first), "parts", "of the server's part of the peak rate"),
        Entry("cold budget, last", _rounded(last), "parts", "the same when it is almost warm"),
        Entry("a server's part", _rounded(mean), "share", "of the calls, at the mean weight of those used"),
        Entry("ejected for", logic.EJECT_FIRST, SECONDS, f"then doubled, up to {logic.EJECT_LONGEST:g} s"),
    ])  # fmt: skip


def _probes(settings: Settings, balancer: logic.Balancer) -> Section:
    if not settings.may_probe:
        return Section("probes", [Entry("allowed", False, "", "servers are never probed")])
    target = "/healthz" if settings.reports == "none" else "/load"
    return Section("probes", [
        Entry("allowed", True, "", f"GET {target}"),
        Entry("at the start", logic.FIRST_PROBES, "probes", "at most, over all zones"),
        Entry("per request", logic.PROBES_PER_CALL, "probes", "of the steady ones"),
        Entry("least", logic.PROBES_LEAST, PER_SECOND, "also when idle"),
        Entry("for one call", logic.ASK if balancer.asks else 0, "servers", "asked before it; 0: too dear"),
        Entry("timeout", driver.PROBE_TIMEOUT, SECONDS, "after which a probe has failed"),
        Entry("at once", driver.MOST_PROBES, "probes", "at most"),
    ])  # fmt: skip


def _discovery(config: Config) -> Section:
    settings = config.settings
    entries = [Entry("address", "{}:{}".format(*config.discovery), "", "may change on SIGHUP")]
    if settings.ask_for_list:
        instances = settings.balancers * settings.stages
        first = min(logic.FIRST_ASK, logic.FIRST_ASK_EACH * instances, settings.must_ask_within / 4)
        longest = min(backoff.MAX_PAUSE, logic.FAILED_ASK * settings.must_ask_within)
        growing = f"at most, after a call that waited in vain; growing with each, up to {longest:g} s"
        entries += [
            Entry("first watch", first, SECONDS, "at the latest after the start, at a random time"),
            Entry("asked again", min(backoff.OVERLOADED.first, longest), SECONDS, growing),
            Entry("while it is away", backoff.UNREACHABLE.maximum, SECONDS, "at most, after a refused call"),
            Entry("list used for", list_lease.NOTIFIED_AFTER, SECONDS, "after the last proof"),
            Entry("doubted", logic.DOUBT_SPACING, SECONDS, "without news, while a listed server refuses"),
        ]
    else:
        entries.append(Entry("asked again", discovery.PUSH_PAUSE, SECONDS, "after a watch that ended"))
    entries += [
        Entry("held", discovery.HOLD_MS / 1000, SECONDS, "a watch that discovery may hold open"),
        Entry("renewed", discovery.RENEW, SECONDS, "a watch that said nothing, beside the one before"),
        Entry("must ask in", settings.must_ask_within, SECONDS, "else lists count as told that were not"),
    ]
    return Section("discovery", entries)


async def _shares(config: Config) -> Section:
    """From the objects that bound them, made but never started."""
    handler: Any = None
    callers = server.Server({}, handler, config.sockets, config.memory_mb)
    settings = config.settings
    most = int(config.sockets * upstream.UPSTREAM_SHARE)
    servers = upstream.Upstreams(settings.connect_timeout, settings.conn_idle, most)
    reserve = min(server.RESERVE, config.sockets // 10)
    extra = callers.most_ever - callers.most_open
    long_kb = server.LONG_BODY // 1024
    return Section("connections and memory", [
        Entry("descriptors", config.sockets, "descriptors", "that the process may hold"),
        Entry("to servers", servers.most_open, "descriptors", "at most"),
        Entry("reserve", reserve, "descriptors", "for the listener, discovery, the loop and the log"),
        Entry("from callers", callers.most_open, "descriptors", f"then {extra} that are told of no room"),
        Entry("memory", config.memory_mb, "MB", f"of these {server.BASE_MEMORY} before it serves"),
        Entry("of a caller", server.CALLER_MEMORY, "MB", "at most: a request with its copy, and an answer"),
        Entry("long requests", callers.most_long, "requests", f"beyond {long_kb} KB, held at once"),
        Entry("request", server.MOST_BODY // 1024, "KB", "largest body; an answer's too"),
        Entry("connect", settings.connect_timeout, SECONDS, "after which the server was not reached"),
        Entry("idle", servers.idle_for, SECONDS, "after which a server's connection is closed from here"),
    ])  # fmt: skip


def _ending(settings: Settings) -> Section:
    longest = max(cls.deadline for cls in settings.classes)
    by = min(longest, program.LONGEST_WAIT) + program.KILL_SPARE - program.SPARE
    closing = _rounded(by - program.WIND_DOWN)
    return Section("after SIGTERM", [
        Entry("listens for", program.LAST_ACCEPT, SECONDS, "further, while the front takes notice"),
        Entry("winds down", closing, SECONDS, "then each answer closes its connection"),
        Entry("all answered", _rounded(by), SECONDS, "at the latest"),
    ])  # fmt: skip


def explain(config: Config) -> list[Section]:
    """All sections. Raises ConfigError where the list of servers or a number can't be used."""
    settings = config.settings
    try:
        balancer = logic.Balancer(settings, config.seed)
        known = read_listing(config.known).backends if config.known else []
        entries = [listed.entry for listed in known]
        balancer.handle(time.monotonic(), [ServerList(ListKind.SAVED, entries)])
        return [
            _instance(config),
            *(_class(cls, settings) for cls in settings.classes),
            _retries(settings),
            _tenants(settings, balancer),
            _servers(settings, balancer),
            _probes(settings, balancer),
            _discovery(config),
            asyncio.run(_shares(config)),
            _ending(settings),
        ]
    except ValueError as fault:
        raise ConfigError(f"bad configuration: known: {fault}") from None
