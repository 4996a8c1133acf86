"""Converts a day that the simulator generated (`lbsim draw`) to a day of the emulator.

Only what both of them model is converted. The simulator's file has times in microseconds.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import msgspec

from granitepoint.emulator.day import Day, check
from granitepoint.fleet.experiment import ExperimentError

# Maps values and keys of the simulator's file to those of a day of the emulator.
EFFECTS = {"safe": "repeatable", "keyed": "by_key", "unsafe": "once"}
CHOKE_FIELDS = {
    "at": "at", "over": "over_s", "slower": "slower", "rest": "rest_s", "below": "below", "most": "most_s",
}  # fmt: skip


def load(path: Path) -> Day:
    """Read, convert and check a generated day (JSON).

    Raises ExperimentError, which names the file and the missing key or the unsupported value.
    """
    try:
        generated = json.loads(path.read_text(encoding="utf-8"))
        fields = _day(generated)
        return check(msgspec.convert({**fields, "troubles": _faults(generated, fields)}, type=Day))
    except (OSError, UnicodeDecodeError, ValueError, ExperimentError) as error:
        raise ExperimentError(f"{path}: {error}") from None
    except (KeyError, TypeError, IndexError) as error:
        raise ExperimentError(f"{path}: not a day of the simulator: {type(error).__name__} {error}") from None


def _seconds(microseconds: float) -> float:
    return microseconds / 1e6


def _day(generated: dict[str, Any]) -> dict[str, Any]:
    net, traffic, clients, allow = (
        generated["net"],
        generated["traffic"],
        generated["clients"],
        generated["allow"],
    )
    proxies = [one for one in generated["balancers"] if one["tier"] == 0]
    first_tier = generated["tiers"][0]
    discovery = generated["discovery"]
    return {
        "name": f"{generated['site']}-{generated['kind']}",
        "seed": generated["noise"] % 2**31,
        "duration_s": _seconds(generated["length"]),
        "tick_ms": generated["tick"] / 1e3,
        "zones": generated["zones"],
        "passes_deadline": generated["fam"]["passes_deadline"],
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
            "add_s": _seconds(discovery["add"]),
            "notice_s": _seconds(discovery["notice"]),
            "silent_notice_s": _seconds(discovery["silent_notice"]),
            "period_s": _seconds(discovery["period"]),
            "spread_s": _seconds(discovery["spread"]),
            "lines_per_s": discovery["lines_per_s"],
            "call_lines": discovery["call_lines"],
            "timeout_s": _seconds(discovery["timeout"]),
        },
        "front": {
            "proxies": len(proxies),
            "notice_s": _seconds(generated["front_notice"]),
            "start_spread_s": _seconds(max(one["start"] for one in proxies)),
        },
        "limits": {
            "max_attempts": allow["max_attempts"],
            "duplicates": allow["second_copies"],
            "cancel": allow["cancel"],
            "probes": allow["probes"],
            "retry_after": allow["retry_after"],
            "max_retry_after_s": _seconds(clients["max_retry_after"]),
            "conn_idle_s": _seconds(first_tier["conn_idle"]),
            "connect_timeout_ms": first_tier["connect_timeout"] / 1e3,
        },
        "rules": {
            "drain_grace_ms": generated["drain_grace"] / 1e3,
            "cold_from": first_tier["stated_cold_from"],
            "cold_s": _seconds(first_tier["stated_cold"]),
            "fall_multiple": generated["fall_multiple"],
            "fall_s": _seconds(generated["fall_for"]),
        },
        "prices": {
            key: generated["prices"][key]
            for key in ("cross_zone", "waste", "probe", "late_fail", "handshake", "discovery")
        },
        "tiers": [_tier(generated, number) for number in range(len(generated["tiers"]))],
        "classes": [_class(cls) for cls in generated["classes"]],
        "tenants": [
            {"name": t["name"], "share": t["share"], "traffic": t["traffic"], "quota": t["quota"]}
            for t in generated["tenants"]
        ],
    }


def _tier(generated: dict[str, Any], number: int) -> dict[str, Any]:
    tier = generated["tiers"][number]
    kind = tier["kinds"][0]
    servers = [one for one in generated["servers"] if one["tier"] == number and one["up"]]
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
        "cold_s": _seconds(kind["cold"]),
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
            name: _seconds(choke[key]) if name.endswith("_s") else choke[key]
            for key, name in CHOKE_FIELDS.items()
        }
    return tier_day


def _class(cls: dict[str, Any]) -> dict[str, Any]:
    is_keyed = cls["effect"] == "keyed"
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
        "group": cls["group"] if is_keyed else "all",
        "window_ms": cls["window"] / 1e3 if is_keyed else 0.0,
    }


def _faults(generated: dict[str, Any], fields: dict[str, Any]) -> list[dict[str, Any]]:
    faults = []
    for fault in generated["troubles"]:
        kind, tier = fault["kind"], fault["tier"]
        fault_fields: dict[str, Any] = {"at_s": _seconds(fault["at"]), "for_s": _seconds(fault["len"])}
        stopped_counts = [len(step["stop"]) for step in fault["steps"]]
        if kind == "deploy":
            server_count = fields["tiers"][tier]["servers"]
            fault_fields |= {"kind": "roll", "tier": tier, "drain_s": fault["extra"]}
            fault_fields |= {
                "part": sum(stopped_counts) / server_count,
                "batch": max(stopped_counts) / server_count,
            }
        elif kind == "shrink":
            fault_fields |= {"kind": "shrink", "tier": tier, "drain_s": fault["extra"]}
            fault_fields |= {"part": sum(stopped_counts) / fields["tiers"][tier]["servers"]}
        elif kind == "fast_errors":
            fault_fields |= {"kind": kind, "tier": tier, "servers": len(fault["on"]), "share": fault["size"]}
        elif kind == "heavy_tail":
            cls = fields["classes"][fault["which"]]["name"]
            fault_fields |= {"kind": kind, "tier": tier, "cls": cls}
            fault_fields |= {"share": fault["extra"], "times": fault["size"]}
        elif kind == "discovery_stale":
            fault_fields |= {"kind": "stale_discovery", "behind_s": fault["size"]}
        else:
            raise ExperimentError(f"troubles: {kind}: not supported by the emulator")
        faults.append(fault_fields)
    return faults
