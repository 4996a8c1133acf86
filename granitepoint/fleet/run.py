"""One run of an experiment: starts the fleet and its calls, injects the faults, collects the results.

The measurement starts some time after the calls, when the fleet has settled.
"""

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

START_DELAY = 0.2  # s between the command to the callers and the first call
FINAL_CALLS_MARGIN = 15.0  # s beyond the longest deadline; by then the callers' last calls must have ended
PROPAGATION_LIMIT = 4.0  # s within which every proxy has to apply a change of its server list

ProgressCallback = Callable[[str, float], None]  # what is being done, and the fraction that is done


def run(
    experiment: Experiment, path: Path, report_progress: ProgressCallback = lambda text, fraction_done: None
) -> bool:
    """Runs the experiment and writes its records to `path`; returns whether the run was complete.

    Raises FleetError after what was measured has been written. An interrupt ends the run; what was measured
    until then is written.
    """
    writer = results.Writer(path)
    try:
        return asyncio.run(_ExperimentRun(experiment, writer, report_progress).execute())
    finally:
        writer.close()


class _ExperimentRun:
    """The state of one run."""

    def __init__(
        self, experiment: Experiment, writer: results.Writer, report_progress: ProgressCallback
    ) -> None:
        self.experiment, self.writer, self.report_progress = experiment, writer, report_progress
        self.measured_from = 0.0  # monotonic; 0: the measured time has not started
        self.usage_before: dict[int, Usage] = {}
        self.tracked_versions: list[TrackedVersion] = []
        self.collection_started = False

    def record_event(self, what: str, figures: dict[str, Any], at: float | None = None) -> None:
        """Writes an Event record; `at` is the monotonic time of the event, by default now."""
        elapsed = (time.monotonic() if at is None else at) - self.measured_from
        self.writer.write(results.Event(at_s=round(elapsed, 3), what=what, figures=figures))

    async def execute(self) -> bool:
        """Runs the whole experiment, from the first record to the last; returns whether it was complete."""
        began = datetime.now(UTC).isoformat(timespec="seconds")
        experiment_fields: dict[str, Any] = msgspec.to_builtins(self.experiment)
        self.writer.write(
            results.Begin(
                experiment=experiment_fields, machine=describe_machine(), commit=source_commit(), began=began
            )
        )
        stop_reason = ""
        with tempfile.TemporaryDirectory(prefix="fleet-") as folder:
            async with Fleet(self.experiment, Path(folder)) as fleet:
                measurement = asyncio.ensure_future(self._measure(fleet))
                memory_watch = asyncio.ensure_future(fleet.watch_memory())
                try:
                    await asyncio.wait((measurement, memory_watch), return_when=asyncio.FIRST_COMPLETED)
                    if not measurement.done():
                        await memory_watch  # raises FleetError, which names the memory in use
                    await measurement
                except asyncio.CancelledError:
                    current = asyncio.current_task()
                    if current is not None:
                        current.uncancel()
                    stop_reason = "interrupted"
                except Exception as error:
                    stop_reason = str(error) or type(error).__name__
                    raise
                finally:
                    for task in (measurement, memory_watch):
                        task.cancel()
                    await asyncio.wait((measurement, memory_watch))
                    if stop_reason and self.measured_from and not self.collection_started:
                        with contextlib.suppress(Exception):
                            await self._collect(fleet, without_waiting=True)
                    self.writer.write(results.End(complete=not stop_reason, why=stop_reason))
        return not stop_reason

    async def _measure(self, fleet: Fleet) -> None:
        """Starts the fleet and the calls, lets the fleet settle, injects the faults, collects the results."""
        experiment = self.experiment
        self.report_progress("starting", 0.0)
        await fleet.start()
        calls_start = time.monotonic() + START_DELAY
        measured_from = calls_start + experiment.settle_s
        rate = experiment.callers.rate_per_s / experiment.callers.processes
        calls_end = measured_from + experiment.duration_s
        await fleet.send_to_role(
            "callers", "call", rate=rate, begin=calls_start, mark=measured_from, end=calls_end
        )
        self.report_progress("settling", 0.0)
        await asyncio.sleep(measured_from - time.monotonic())
        for role in ("backends", "proxies", "discovery"):
            await fleet.send_to_role(role, "mark")
        self.usage_before, self.measured_from = fleet.usage(), time.monotonic()
        fault_injector = FaultInjector(fleet, self.measured_from, self.record_event)
        self.tracked_versions = fault_injector.tracked_versions
        async with asyncio.TaskGroup() as group:
            group.create_task(fault_injector.run(experiment.troubles))
            group.create_task(self._wait_for_end())
        await self._collect(fleet, without_waiting=False)

    async def _wait_for_end(self) -> None:
        """Waits until the measured time is over, and reports the progress meanwhile."""
        duration_s = self.experiment.duration_s
        while (elapsed := time.monotonic() - self.measured_from) < duration_s:
            self.report_progress("measuring", elapsed / duration_s)
            await asyncio.sleep(min(0.5, duration_s - elapsed))

    async def _collect(self, fleet: Fleet, without_waiting: bool) -> None:
        """Writes all records but the first and the last.

        With `without_waiting`, calls that are still open are left out.
        """
        self.collection_started = True
        self.report_progress("collecting", 1.0)
        elapsed = time.monotonic() - self.measured_from
        self._write_processes(fleet, fleet.usage())
        control = await fleet.send_to_discovery("figures")
        notified_at = control.pop("told")
        self.writer.write(results.Control(span_s=elapsed, **control))
        proxies = await fleet.send_to_role("proxies", "figures")
        self._write_proxies(fleet, proxies)
        await self._write_exited_proxies(fleet)
        self._write_backends(fleet, await fleet.send_to_role("backends", "figures"))
        applied_at = {name: times for reply in proxies for name, times in reply["in_force"].items()}
        start_times = {name: times for reply in proxies for name, times in reply["starts"].items()}
        self._write_propagation_times(fleet, notified_at, applied_at, start_times)
        timeout = max(cls.deadline for cls in self.experiment.parsed_settings().classes) + FINAL_CALLS_MARGIN
        callers = await fleet.send_to_role("callers", "figures", timeout=timeout, now=without_waiting)
        if self.experiment.callers.rate_per_s > 0:
            self._write_calls(callers)

    def _write_processes(self, fleet: Fleet, usages_after: dict[int, Usage]) -> None:
        """Writes the CPU time and memory of each process that ran throughout the measured time."""
        for role, name, pid, holds in fleet.processes():
            usage_before, usage_after = self.usage_before.get(pid), usages_after.get(pid)
            if usage_before is None or usage_after is None:
                continue  # started or ended during the measured time
            self.writer.write(
                results.Process(
                    role=role,
                    name=name,
                    pid=pid,
                    holds=holds,
                    span_s=round(usage_after.at - usage_before.at, 4),
                    cpu_s=round(usage_after.cpu_s - usage_before.cpu_s, 4),
                    memory_begin=usage_before.memory_bytes,
                    memory_end=usage_after.memory_bytes,
                )
            )

    def _write_proxies(self, fleet: Fleet, replies: list[Any]) -> None:
        """Writes the counts of the hollow proxies and, where they were timed, the stages of their calls."""
        if not replies:
            return
        totals: Counter[str] = Counter()
        merged: dict[str, Histogram] = {}
        for reply in replies:
            totals.update(reply["totals"])
            for name, encoded in reply["stages"].items():
                merged.setdefault(name, Histogram()).merge(Histogram(encoded))
        proxy_count = sum(len(reply["in_force"]) for reply in replies)
        self.writer.write(results.Proxies(holds=proxy_count, totals=dict(totals)))
        if self.experiment.proxies.timed:
            histograms = {name: histogram.summary() for name, histogram in merged.items()}
            reuse_delays = sum(reply["settling"] for reply in replies)
            self.writer.write(
                results.Stages(proxies=proxy_count, histograms=histograms, settling=reuse_delays)
            )

    async def _write_exited_proxies(self, fleet: Fleet) -> None:
        """Writes an event if real proxies are not running.

        After a complete run these have exited by themselves, because a fault starts again what it has
        killed; after an interrupted one, a fault may have killed them.
        """
        for reply in await fleet.send_to_role("programs", "figures"):
            if reply["ended"]:
                self.record_event("real proxies have ended by themselves", {"names": reply["ended"]})

    def _write_backends(self, fleet: Fleet, replies: list[Any]) -> None:
        """Writes the summed counts of the backends of each service."""
        by_service: dict[int, Counter[str]] = {}
        for reply in replies:
            for service, counts in reply.items():
                by_service.setdefault(int(service), Counter()).update(counts)
        for service, counts in sorted(by_service.items()):
            backend_count = sum(plan.service == service for plan in fleet.plan.backends)
            self.writer.write(results.Backends(service=service, holds=backend_count, counts=dict(counts)))

    def _write_propagation_times(
        self,
        fleet: Fleet,
        notified_at: dict[str, Any],
        applied_at: dict[str, Any],
        start_times: dict[str, Any],
    ) -> None:
        """Writes how long the proxies took to apply changes of the server lists, for each kind of change.

        For each tracked version of that kind, the time is measured at all proxies of its service in its
        zones. `notified_at` and `applied_at` map each proxy to its versions and their monotonic times. Hollow
        proxies report when they applied a version; for real ones, the time of discovery's answer is taken.
        """
        notified_by_proxy = {
            name: {int(version): at for version, at in times.items()} for name, times in notified_at.items()
        }
        applied_by_proxy = {
            name: {int(version): at for version, at in times.items()} for name, times in applied_at.items()
        }
        versions_by_label: dict[str, list[TrackedVersion]] = {}
        for tracked in self.tracked_versions:
            versions_by_label.setdefault(tracked.label, []).append(tracked)
        for label, tracked_versions in versions_by_label.items():
            first_counted_from = tracked_versions[0].counted_from
            slowest: list[float] = []
            all_times: list[float] = []
            never = over_limit = 0
            for tracked in tracked_versions:
                version_times = []
                for name, plan in fleet.proxies.items():
                    if plan.service != tracked.service or plan.zone not in tracked.zones:
                        continue
                    times = applied_by_proxy[name] if name in applied_by_proxy else notified_by_proxy[name]
                    seconds = time_until_applied(tracked, times, start_times.get(name, ()))
                    if seconds is None:
                        never += 1
                    else:
                        version_times.append(seconds)
                all_times += version_times
                over_limit += sum(seconds > PROPAGATION_LIMIT for seconds in version_times)
                if version_times:
                    slowest.append(max(version_times))
            if not all_times:
                self.record_event(
                    f"in force: {label}",
                    {"versions": len(tracked_versions), "never": never},
                    first_counted_from,
                )
                continue
            figures = {
                "versions": len(tracked_versions),
                "told": len(all_times),
                "never": never,
                "after 4 s": over_limit,
                "median_s": round(statistics.median(all_times), 4),
                "last_median_s": round(statistics.median(slowest), 4),
                "last_worst_s": round(max(slowest), 4),
            }
            self.record_event(f"in force: {label}", figures, first_counted_from)

    def _write_calls(self, replies: list[Any]) -> None:
        """Merges and writes the results of all processes of callers."""
        outcomes: Counter[str] = Counter()
        by_zone: Counter[str] = Counter()
        by_second: dict[int, Counter[str]] = {}
        latency: dict[str, Histogram] = {}
        added_latency, send_delay = Histogram(), Histogram()
        for reply in replies:
            by_zone.update(reply["by_zone"])
            for second, counts in reply["by_second"].items():
                by_second.setdefault(int(second), Counter()).update(counts)
                outcomes.update(counts)
            for name, encoded in reply["latency"].items():
                latency.setdefault(name, Histogram()).merge(Histogram(encoded))
            added_latency.merge(Histogram(reply["added"]))
            send_delay.merge(Histogram(reply["late_sends"]))
        shares = {second: counts["served"] / counts.total() for second, counts in by_second.items()}
        worst_second = min(shares, key=lambda second: shares[second], default=0)
        last_second = max(by_second, default=-1)
        self.writer.write(
            results.Calls(
                planned=outcomes.total(),
                tries=sum(reply["tries"] for reply in replies),
                outcomes=dict(outcomes),
                by_zone=dict(by_zone),
                worst_second={
                    "second": float(worst_second),
                    "share_in_time": round(shares.get(worst_second, 1.0), 4),
                },
                latency={name: histogram.summary() for name, histogram in latency.items()},
                added=added_latency.summary(),
                late_sends=send_delay.summary(),
                front_looks=sum(reply["looks"] for reply in replies),
                by_second=[dict(by_second.get(second, {})) for second in range(last_second + 1)],
            )
        )
