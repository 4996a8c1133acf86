"""Reads a day that the simulator drew (`lbsim draw`) as a day of the emulator, as far as both know it."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import msgspec

from granitepoint.emulator.day import Day, check
from granitepoint.fleet.experiment import ExperimentError

EFFECTS = {"safe": "repeatable", "keyed": "by_key", "unsafe": "once"}
CHOKE = {
    "at": "at", "over": "over_s", "slower": "slower", "rest": "rest_s", "below": "below", "most": "most_s",
}  # fmt: skip


def load(path: Path) -> Day:
    """Raises ExperimentError, which names the file and what it lacks."""
    try:
        drawn = json.loads(path.read_text(encoding="utf-8"))
        fields = _day(drawn)
        return check(msgspec.convert({**fields, "troubles": _troubles(drawn, fields)}, type=Day))
    except (OSError, UnicodeDecodeError, ValueError, ExperimentError) as fault:
        raise ExperimentError(f"{path}: {fault}") from None
    except (KeyError, TypeError, IndexError) as fault:
        raise ExperimentError(f"{path}: not a day of the simulator: {type(fault).__name__} {fault}") from None


def _s(microseconds: float) -> float:
    return microseconds / 1e6


def _day(drawn: dict[str, Any]) -> dict[str, Any]:
    net, traffic, clients, allow = drawn["net"], drawn["traffic"], drawn["clients"], drawn["allow"]
    first = [one for one in drawn["balancers"] if one["tier"] == 0]
    conn = drawn["tiers"][0]
    discovery = drawn["discovery"]
    return {
        "name": f"{drawn['site']}-{drawn['kind']}",
        "seed": drawn["noise"] % 2**31,
        "duration_s": _s(drawn["length"]),
        "tick_ms": drawn["tick"] / 1e3,
        "zones": drawn["zones"],
        "passes_deadline": drawn["fam"]["passes_deadline"],
        "worth_by_work": traffic["worth_by_work"],
        "over_share_worth": traffic["over_share_worth"],
        "traffic": {"load": traffic["load"], "shape": traffic["shape"]},
        "clients": {
            "retries": clients["retries"],
            "try_share": clients["try_share"],
            "backoff": clients["backoff"],
            "backoff_ms": clients["backoff_us"] / 1e3,
            "honour": clients["honour"],
            "impatient": clients["impatient"],
        },
        "network": {
            "same_ms": net["same"] / 1e3,
            "cross_ms": net["cross"] / 1e3,
            "client_ms": net["client"] / 1e3,
            "jitter": net["jitter"],
        },
        "discovery": {
            "mode": "ask" if discovery["ask"] else "push",
            "add_s": _s(discovery["add"]),
            "notice_s": _s(discovery["notice"]),
            "silent_notice_s": _s(discovery["silent_notice"]),
            "period_s": _s(discovery["period"]),
            "spread_s": _s(discovery["spread"]),
            "lines_per_s": discovery["lines_per_s"],
            "call_lines": discovery["call_lines"],
            "timeout_s": _s(discovery["timeout"]),
        },
        "front": {
            "proxies": len(first),
            "notice_s": _s(drawn["front_notice"]),
            "start_spread_s": _s(max(one["start"] for one in first)),
        },
        "limits": {
            "max_attempts": allow["max_attempts"],
            "duplicates": allow["second_copies"],
            "cancel": allow["cancel"],
            "probes": allow["probes"],
            "retry_after": allow["retry_after"],
            "max_retry_after_s": _s(clients["max_retry_after"]),
            "conn_idle_s": _s(conn["conn_idle"]),
            "connect_timeout_ms": conn["connect_timeout"] / 1e3,
        },
        "rules": {
            "drain_grace_ms": drawn["drain_grace"] / 1e3,
            "cold_from": conn["stated_cold_from"],
            "cold_s": _s(conn["stated_cold"]),
            "fall_multiple": drawn["fall_multiple"],
            "fall_s": _s(drawn["fall_for"]),
        },
        "prices": {
            key: drawn["prices"][key]
            for key in ("cross_zone", "waste", "probe", "late_fail", "handshake", "discovery")
        },
        "tiers": [_tier(drawn, number) for number in range(len(drawn["tiers"]))],
        "classes": [_class(cls) for cls in drawn["classes"]],
        "tenants": [
            {"name": t["name"], "share": t["share"], "traffic": t["traffic"], "quota": t["quota"]}
            for t in drawn["tenants"]
        ],
    }


def _tier(drawn: dict[str, Any], number: int) -> dict[str, Any]:
    tier = drawn["tiers"][number]
    kind = tier["kinds"][0]
    servers = [one for one in drawn["servers"] if one["tier"] == number and one["up"]]
    cells = [one["cell"] for one in servers]
    tier_day = {
        "name": tier["name"],
        "servers": len(servers),
        "calls": tier["calls"],
        "work": tier["work"],
        "cores": kind["cores"],
        "speeds": [one["speed"] for one in servers],
        "cell_size": max(cells.count(cell) for cell in cells),
        "slots": kind["slots"] * kind["cores"],
        "room": kind["queue"] * kind["cores"],
        "thrash": kind["thrash"],
        "thrash_at": kind["knee"],
        "cold_from": kind["cold_from"],
        "cold_s": _s(kind["cold"]),
        "error_rate": kind["error_rate"],
        "cancel": kind["cancel"],
        "drops_expired": kind["drops_expired"],
        "handshake_rtts": tier["handshake_rtts"],
        "handshake_us": tier["handshake_work"],
        "connections": int(tier["conn_cap_per_core"] * kind["cores"]),
        "full_tax": tier["conn_full_tax"],
        "probe_us": tier["probe_work"],
        "probes_per_s": tier["probe_cap_per_core"],
        "probe_timeout_ms": tier["probe_timeout"] / 1e3,
        "report_period_ms": tier["report_period"] / 1e3,
        "report_delay_ms": tier["report_delay"] / 1e3,
        "report_noise": tier["report_noise"],
    }
    choke = tier.get("choke")
    if choke:
        tier_day["choke"] = {
            name: _s(choke[key]) if name.endswith("_s") else choke[key] for key, name in CHOKE.items()
        }
    return tier_day


def _class(cls: dict[str, Any]) -> dict[str, Any]:
    keyed = cls["effect"] == "keyed"
    return {
        "name": cls["name"],
        "share": cls["share"],
        "work_ms": cls["work"] / 1e3,
        "dist": cls["dist"],
        "cv": cls["cv"],
        "attempt_noise": cls["attempt_noise"],
        "aim_ms": cls["aim"] / 1e3,
        "deadline_ms": cls["deadline"] / 1e3,
        "worth": cls["worth"],
        "late_worth": cls["late_worth"],
        "effect": EFFECTS[cls["effect"]],
        "group": cls["group"] if keyed else "all",
        "window_ms": cls["window"] / 1e3 if keyed else 0.0,
    }


def _troubles(drawn: dict[str, Any], fields: dict[str, Any]) -> list[dict[str, Any]]:
    found = []
    for trouble in drawn["troubles"]:
        kind, tier = trouble["kind"], trouble["tier"]
        each: dict[str, Any] = {"at_s": _s(trouble["at"]), "for_s": _s(trouble["len"])}
        stopped = [len(step["stop"]) for step in trouble["steps"]]
        if kind == "deploy":
            size = fields["tiers"][tier]["servers"]
            each |= {"kind": "roll", "tier": tier, "drain_s": trouble["extra"]}
            each |= {"part": sum(stopped) / size, "batch": max(stopped) / size}
        elif kind == "shrink":
            each |= {"kind": "shrink", "tier": tier, "drain_s": trouble["extra"]}
            each |= {"part": sum(stopped) / fields["tiers"][tier]["servers"]}
        elif kind == "fast_errors":
            each |= {"kind": kind, "tier": tier, "servers": len(trouble["on"]), "share": trouble["size"]}
        elif kind == "heavy_tail":
            cls = fields["classes"][trouble["which"]]["name"]
            each |= {"kind": kind, "tier": tier, "cls": cls}
            each |= {"share": trouble["extra"], "times": trouble["size"]}
        elif kind == "discovery_stale":
            each |= {"kind": "stale_discovery", "behind_s": trouble["size"]}
        else:
            raise ExperimentError(f"troubles: {kind}: not known here")
        found.append(each)
    return found
