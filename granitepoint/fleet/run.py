"""One run of an experiment: start, settle, measure with troubles, collect, end."""

from __future__ import annotations

import asyncio
import contextlib
import statistics
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import msgspec

from granitepoint.fleet import results
from granitepoint.fleet.experiment import Experiment
from granitepoint.fleet.fleet import Fleet
from granitepoint.fleet.measure import Histogram, Usage, describe_machine, source_commit
from granitepoint.fleet.troubles import FaultInjector, TrackedVersion, time_until_applied

LEAD = 0.2  # s between the order to call and the first call
TAIL = 15.0  # s beyond the longest deadline in which the callers' last calls end
LIMIT = 4.0  # s within which a change is to be in force everywhere

Report = Callable[[str, float], None]  # what is being done, and the share that is done


def run(experiment: Experiment, path: Path, report: Report = lambda text, share: None) -> bool:
    """Writes the records to `path`; whether the run was complete. Raises FleetError after having written what
    was measured; an interrupt ends the run, and what was measured is kept."""
    writer = results.Writer(path)
    try:
        return asyncio.run(_Run(experiment, writer, report).whole())
    finally:
        writer.close()


class _Run:
    def __init__(self, experiment: Experiment, writer: results.Writer, report: Report) -> None:
        self.experiment, self.writer, self.report = experiment, writer, report
        self.mark = 0.0  # monotonic, when the measured time begins
        self.before: dict[int, Usage] = {}
        self.landmarks: list[TrackedVersion] = []
        self.collecting = False

    def note(self, what: str, figures: dict[str, Any], at: float | None = None) -> None:
        since = (time.monotonic() if at is None else at) - self.mark
        self.writer.write(results.Event(at_s=round(since, 3), what=what, figures=figures))

    async def whole(self) -> bool:
        began = datetime.now(UTC).isoformat(timespec="seconds")
        plain: dict[str, Any] = msgspec.to_builtins(self.experiment)
        self.writer.write(
            results.Begin(experiment=plain, machine=describe_machine(), commit=source_commit(), began=began)
        )
        why = ""
        with tempfile.TemporaryDirectory(prefix="fleet-") as folder:
            async with Fleet(self.experiment, Path(folder)) as fleet:
                work = asyncio.ensure_future(self._measured(fleet))
                bounds = asyncio.ensure_future(fleet.keep_in_bounds())
                try:
                    await asyncio.wait((work, bounds), return_when=asyncio.FIRST_COMPLETED)
                    if not work.done():
                        await bounds  # says what was out of bounds
                    await work
                except asyncio.CancelledError:
                    current = asyncio.current_task()
                    if current is not None:
                        current.uncancel()
                    why = "interrupted"
                except Exception as fault:
                    why = str(fault) or type(fault).__name__
                    raise
                finally:
                    for task in (work, bounds):
                        task.cancel()
                    await asyncio.wait((work, bounds))
                    if why and self.mark and not self.collecting:
                        with contextlib.suppress(Exception):
                            await self._collect(fleet, now=True)
                    self.writer.write(results.End(complete=not why, why=why))
        return not why

    async def _measured(self, fleet: Fleet) -> None:
        e = self.experiment
        self.report("starting", 0.0)
        await fleet.start()
        begin = time.monotonic() + LEAD
        mark = begin + e.settle_s
        rate = e.callers.rate_per_s / e.callers.processes
        end = mark + e.duration_s
        await fleet.all("callers", "call", rate=rate, begin=begin, mark=mark, end=end)
        self.report("settling", 0.0)
        await asyncio.sleep(mark - time.monotonic())
        for role in ("backends", "proxies", "discovery"):
            await fleet.all(role, "mark")
        self.before, self.mark = fleet.usage(), time.monotonic()
        troubles = FaultInjector(fleet, self.mark, self.note)
        self.landmarks = troubles.tracked_versions
        async with asyncio.TaskGroup() as group:
            group.create_task(troubles.run(e.troubles))
            group.create_task(self._pass_time())
        await self._collect(fleet, now=False)

    async def _pass_time(self) -> None:
        whole = self.experiment.duration_s
        while (spent := time.monotonic() - self.mark) < whole:
            self.report("measuring", spent / whole)
            await asyncio.sleep(min(0.5, whole - spent))

    async def _collect(self, fleet: Fleet, now: bool) -> None:
        """Writes all records but the first and the last."""
        self.collecting = True
        self.report("collecting", 1.0)
        span = time.monotonic() - self.mark
        self._write_processes(fleet, fleet.usage())
        control = await fleet.ask_discovery("figures")
        told = control.pop("told")
        self.writer.write(results.Control(span_s=span, **control))
        proxies = await fleet.all("proxies", "figures")
        self._write_proxies(fleet, proxies)
        await self._write_programs(fleet)
        self._write_backends(fleet, await fleet.all("backends", "figures"))
        in_force = {name: times for one in proxies for name, times in one["in_force"].items()}
        starts = {name: times for one in proxies for name, times in one["starts"].items()}
        self._write_landmarks(fleet, told, in_force, starts)
        patience = max(cls.deadline for cls in self.experiment.module_settings().classes) + TAIL
        callers = await fleet.all("callers", "figures", patience=patience, now=now)
        if self.experiment.callers.rate_per_s > 0:
            self._write_calls(callers)

    def _write_processes(self, fleet: Fleet, after: dict[int, Usage]) -> None:
        for role, name, pid, holds in fleet.processes():
            early, late = self.before.get(pid), after.get(pid)
            if early is None or late is None:
                continue  # it was replaced meanwhile
            self.writer.write(
                results.Process(
                    role=role,
                    name=name,
                    pid=pid,
                    holds=holds,
                    span_s=round(late.at - early.at, 4),
                    cpu_s=round(late.cpu_s - early.cpu_s, 4),
                    memory_begin=early.memory_bytes,
                    memory_end=late.memory_bytes,
                )
            )

    def _write_proxies(self, fleet: Fleet, told: list[Any]) -> None:
        if not told:
            return
        totals: Counter[str] = Counter()
        merged: dict[str, Histogram] = {}
        for one in told:
            totals.update(one["totals"])
            for name, packed in one["stages"].items():
                merged.setdefault(name, Histogram()).merge(Histogram(packed))
        holds = sum(len(one["in_force"]) for one in told)
        self.writer.write(results.Proxies(holds=holds, totals=dict(totals)))
        if self.experiment.proxies.timed:
            histograms = {name: histogram.summary() for name, histogram in merged.items()}
            settling = sum(one["settling"] for one in told)
            self.writer.write(results.Stages(proxies=holds, histograms=histograms, settling=settling))

    async def _write_programs(self, fleet: Fleet) -> None:
        for one in await fleet.all("programs", "figures"):
            if one["ended"]:
                self.note("real proxies have ended by themselves", {"names": one["ended"]})

    def _write_backends(self, fleet: Fleet, told: list[Any]) -> None:
        by_service: dict[int, Counter[str]] = {}
        for one in told:
            for service, counts in one.items():
                by_service.setdefault(int(service), Counter()).update(counts)
        for service, counts in sorted(by_service.items()):
            holds = sum(plan.service == service for plan in fleet.plan.backends)
            self.writer.write(results.Backends(service=service, holds=holds, counts=dict(counts)))

    def _write_landmarks(
        self, fleet: Fleet, told: dict[str, Any], in_force: dict[str, Any], starts: dict[str, Any]
    ) -> None:
        """For each kind of change, over its versions: until the last proxy had it, and how many never had."""
        written = {name: {int(version): at for version, at in times.items()} for name, times in told.items()}
        taken = {
            name: {int(version): at for version, at in times.items()} for name, times in in_force.items()
        }
        labels: dict[str, list[TrackedVersion]] = {}
        for landmark in self.landmarks:
            labels.setdefault(landmark.label, []).append(landmark)
        for label, landmarks in labels.items():
            first = landmarks[0].counted_from
            lasts: list[float] = []
            spans: list[float] = []
            missing = late = 0
            for landmark in landmarks:
                own = []
                for name, plan in fleet.proxies.items():
                    if plan.service != landmark.service or plan.zone not in landmark.zones:
                        continue
                    times = taken[name] if name in taken else written[name]
                    after = time_until_applied(landmark, times, starts.get(name, ()))
                    if after is None:
                        missing += 1
                    else:
                        own.append(after)
                spans += own
                late += sum(after > LIMIT for after in own)
                if own:
                    lasts.append(max(own))
            if not spans:
                self.note(f"in force: {label}", {"versions": len(landmarks), "never": missing}, first)
                continue
            figures = {
                "versions": len(landmarks),
                "told": len(spans),
                "never": missing,
                "after 4 s": late,
                "median_s": round(statistics.median(spans), 4),
                "last_median_s": round(statistics.median(lasts), 4),
                "last_worst_s": round(max(lasts), 4),
            }
            self.note(f"in force: {label}", figures, first)

    def _write_calls(self, told: list[Any]) -> None:
        outcomes: Counter[str] = Counter()
        by_zone: Counter[str] = Counter()
        by_second: dict[int, Counter[str]] = {}
        latency: dict[str, Histogram] = {}
        added, late = Histogram(), Histogram()
        for one in told:
            by_zone.update(one["by_zone"])
            for second, counts in one["by_second"].items():
                by_second.setdefault(int(second), Counter()).update(counts)
                outcomes.update(counts)
            for name, packed in one["latency"].items():
                latency.setdefault(name, Histogram()).merge(Histogram(packed))
            added.merge(Histogram(one["added"]))
            late.merge(Histogram(one["late_sends"]))
        shares = {second: counts["served"] / counts.total() for second, counts in by_second.items()}
        worst = min(shares, key=lambda second: shares[second], default=0)
        last = max(by_second, default=-1)
        self.writer.write(
            results.Calls(
                planned=outcomes.total(),
                tries=sum(one["tries"] for one in told),
                outcomes=dict(outcomes),
                by_zone=dict(by_zone),
                worst_second={"second": float(worst), "share_in_time": round(shares.get(worst, 1.0), 4)},
                latency={name: histogram.summary() for name, histogram in latency.items()},
                added=added.summary(),
                late_sends=late.summary(),
                front_looks=sum(one["looks"] for one in told),
                by_second=[dict(by_second.get(second, {})) for second in range(last + 1)],
            )
        )
