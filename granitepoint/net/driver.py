"""Connects the Balancer (the decision module) with the sockets: feeds it events and carries out its actions.

The driver makes no decisions of its own about retries, server selection or queueing. The one thing that it
adds is a guarantee for each call: the caller gets an answer before its deadline, whatever the balancer does.
"""

from __future__ import annotations

import asyncio
import math
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Any

from granitepoint import interface as api
from granitepoint.executed_ids import ExecutedIds, time_to_keep
from granitepoint.logic import Balancer
from granitepoint.membership.list_lease import NOTIFIED_AFTER
from granitepoint.membership.start_times import StartTimes
from granitepoint.net.client_connection import Reply
from granitepoint.net.config import Config, ConfigError
from granitepoint.net.discovery import DiscoveryClient
from granitepoint.net.exchange import Exchange
from granitepoint.net.headers import HOP_BY_HOP_HEADERS
from granitepoint.net.listing import Listing, read_listing
from granitepoint.net.logs import EventLogger
from granitepoint.net.process_memory import resident_mb
from granitepoint.net.requests import Headers, Request
from granitepoint.net.timing import NEXT_LOOP_ITERATION_S, STALL_THRESHOLD_S
from granitepoint.net.upstream import UPSTREAM_DESCRIPTOR_SHARE, Upstream, Upstreams

log = EventLogger(__name__)

# An answer is sent at least this long before the caller's deadline (less for a short budget, see
# MAX_MARGIN_SHARE). The margin grows with the lag of the event loop, up to the maximum.
MIN_ANSWER_MARGIN_S = 0.02
MAX_ANSWER_MARGIN_S = 0.15
BALANCER_MARGIN_S = 0.02  # between the balancer's deadline for a call and the driver's later one
# Upper limit of MIN_ANSWER_MARGIN_S and BALANCER_MARGIN_S, as a share of the call's budget: along a chain of
# calls the margins of all proxies add up.
MAX_MARGIN_SHARE = 0.02
LAG_DECAY = 0.995  # factor by which loop_lag decays whenever a timer of the balancer fires
AT_CAPACITY_RETRY_AFTER_S = 1.0  # Retry-After of a refusal at the limit of open calls or connections
MAX_CONCURRENT_PROBES = 32
MAX_REPORT_VALUE = 1e6  # in any unit; a larger value is implausible, and would outweigh all other reports
PROBE_TIMEOUT_S = 0.2  # a later report is too old to be useful
DROPPED_HEADERS = HOP_BY_HOP_HEADERS | {b"x-load-report", b"x-rejected"}  # of answers; not sent to callers
# Ids of requests that may have run: at least so many are kept, and so many for each MB of the memory limit.
MIN_EXECUTED_IDS, EXECUTED_IDS_PER_MB = 10_000, 400
READY_TIMEOUT_S = 5.0  # after the start; then a proxy is ready even without a list, and refuses calls
STATISTICS_INTERVAL_S = 5.0  # between two log lines of statistics
# Names of the fields of a load report: on the wire -> in the balancer.
REPORT_FIELDS = {
    "inflight": "busy_reqs", "queue": "pending", "util": "cpu_share",
    "latency_ms": "svc_ms", "qps": "served_ps", "eps": "failed_ps",
}  # fmt: skip


def read_report(text: bytes) -> dict[str, float] | None:
    """Parses a load report such as `inflight=7,queue=2` into the balancer's field names.

    Returns None if the report is empty or malformed, repeats a field, or holds an impossible value.
    """
    report = {}
    try:
        for pair in text.decode("ascii").strip().split(","):
            name, _, value = pair.partition("=")
            name = REPORT_FIELDS.get(name.strip(), name.strip())
            number = float(value)
            if name in report or not 0 <= number <= MAX_REPORT_VALUE:
                return None  # one bad field makes the whole report untrustworthy
            report[name] = number
    except ValueError:
        return None
    return report or None


class OpenCall:
    """A call that has been accepted and not answered yet."""

    __slots__ = (
        "attempts",
        "deadline",
        "exchange",
        "may_have_run",
        "number",
        "open",
        "reply",
        "request",
        "timer",
    )

    def __init__(self, number: int, request: Request, reply: Reply, deadline: float) -> None:
        """`number` identifies the call to the balancer; `deadline` is monotonic, in seconds."""
        self.number, self.request, self.reply, self.deadline = number, request, reply, deadline
        self.open = True  # not answered, and its caller has not disconnected
        self.attempts = 0  # number of attempts started so far
        self.may_have_run = False  # an ended attempt may have been executed by a server
        self.exchange: Exchange | None = None  # the attempt in flight
        self.timer: asyncio.TimerHandle | None = None


class Driver:
    """Runs one Balancer on the event loop, with callers, backends and discovery on sockets."""

    def __init__(self, config: Config) -> None:
        self.loop = asyncio.get_running_loop()
        pushed = not config.settings.ask_for_list
        notified_after = 0.0 if pushed else min(NOTIFIED_AFTER, config.settings.must_ask_within)
        self.settings = replace(config.settings, notified_after=notified_after)
        self.config = config
        # By class name; an Effect says what happens if a request is executed a second time.
        self.effects = {cls.name: cls.effect for cls in self.settings.classes}
        self.deadlines = {cls.name: cls.deadline for cls in self.settings.classes}
        self.balancer = Balancer(self.settings, config.seed)
        self.upstreams = Upstreams(
            self.settings.connect_timeout,
            self.settings.conn_idle,
            max_connections=int(config.sockets * UPSTREAM_DESCRIPTOR_SHARE),
            on_idle_closed=self._on_idle_connection_closed,
        )
        self.calls: dict[int, OpenCall] = {}
        self.in_flight: dict[int, Exchange] = {}  # attempts by call, also those whose caller has left
        self.active_ids: dict[bytes, OpenCall] = {}  # by id: open calls, and those with an attempt in flight
        self.executed_ids = ExecutedIds(
            time_to_keep(max(self.deadlines.values())),
            max(MIN_EXECUTED_IDS, int(config.memory_mb * EXECUTED_IDS_PER_MB)),
        )
        self.calls_taken = 0  # accepted since the start; also the number of the latest call
        self.probes_in_flight = 0
        self.events: list[api.Event] = []  # the next batch for the balancer
        self.flush_handle: asyncio.Handle | None = None  # of the flush that is due
        self.last_flush_at = 0.0  # monotonic
        self.shutdown_deadline = math.inf  # monotonic; all calls are answered by then when the process stops
        self.debug_enabled = log.debug_enabled  # log lines for each request are wanted
        self.counts: Counter[str] = Counter()  # events and outcomes since the last statistics line
        self.caller_counts: Counter[str] = Counter()  # the same of the callers' connections
        self.caller_figures: Callable[[], dict[str, float]] = dict  # state of these, for the statistics line
        self.loop_lag = 0.0  # seconds; decaying maximum of the delay of timers
        self.on_drained: Callable[[], None] | None = None  # called when no call is open any more
        self.action_handlers: dict[type, Callable[[Any], None]] = {
            api.Send: self._send,
            api.Refuse: self._refuse,
            api.Fail: self._fail,
            api.Cancel: self._cancel,
            api.Probe: self._probe,
            api.SetTimer: self._set_timer,
            api.CloseIdle: self._close_idle,
            api.Watch: lambda action: self.discovery.watch(action.on),
            api.Fetch: lambda action: self.discovery.fetch(),
            api.Log: lambda action: log.info("module", text=action.text),
            api.Tell: lambda action: None,  # proxies exchange no messages on sockets
        }
        start_times = StartTimes()
        try:
            known = read_listing(config.known, start_times) if config.known else Listing(0, True, [])
        except ValueError as error:
            raise ConfigError(f"bad configuration: known: {error}") from None
        self.discovery = DiscoveryClient(
            config.discovery,
            known.version,
            self._on_list,
            self._on_list_failed,
            Random(f"discovery {config.seed}"),  # independent of the balancer's random numbers
            pushed=not self.settings.ask_for_list,
            on_evidence=self._enqueue,
            instances=self.settings.balancers * self.settings.stages,
            start_times=start_times,
        )
        self.started_at = time.monotonic()
        self.was_ready = False
        self.list_usable = False  # the lease on the current list of servers is valid
        self.upstreams.apply(known)
        self.events.append(self._server_list(known, api.ListKind.SAVED))

    def start(self) -> None:
        """Delivers the saved list to the balancer and starts the statistics timer."""
        self._flush()
        if self.discovery.pushed:  # pushed lists arrive on a watch, which the balancer does not request
            self.discovery.watch(True)
        self.loop.call_later(STATISTICS_INTERVAL_S, self._on_statistics_due)

    def _on_statistics_due(self) -> None:
        self.loop.call_later(STATISTICS_INTERVAL_S, self._on_statistics_due)
        self.log_statistics()

    def log_statistics(self) -> None:
        """Logs what happened since the last such line, and the state of the balancer."""
        counts = self.counts + self.upstreams.counts + self.caller_counts
        if counts:
            for logged in (self.counts, self.upstreams.counts, self.caller_counts):
                logged.clear()
            admission = self.balancer.admission
            class_states = self.balancer.class_states.values()
            states = Counter(
                "ejected"
                if server.ejected_until and server.state is api.ServerState.SERVING
                else server.state.value
                for server in self.balancer.servers.known.values()
            )
            log.info(
                "figures",
                window=admission.window, latency_s=admission.latency_estimate,
                rate_per_s=admission.arrival_rate, cut=admission.utility_threshold, out=self.balancer.busy,
                held=len(self.balancer.queue),
                list_confirmed=int(self.balancer.health_leases.confirmed),
                list_lease_s=self.balancer.list_lease.expires_at - time.monotonic(),
                resident_mb=resident_mb(), loop_lag_s=self.loop_lag,
                **self.caller_figures(),
                **{f"servers.{state}": count for state, count in sorted(states.items())},
                **{
                    f"target.{class_state.name}_s": class_state.target_latency
                    for class_state in class_states
                },
                **{
                    f"mean.{class_state.name}_s": class_state.mean_latency.value
                    for class_state in class_states
                },
                **{name.replace(" ", "."): count for name, count in sorted(counts.items())},
            )  # fmt: skip

    def stop(self) -> None:
        """Stops all requests to discovery."""
        self.discovery.stop()

    # events
    def _enqueue(self, event: api.Event) -> None:
        """Queues an event for the balancer, which gets a batch of them at most once per quantum."""
        self.events.append(event)
        if self.flush_handle is None:
            wait = self.last_flush_at + self.settings.quantum - time.monotonic()
            if wait > 0:
                self.flush_handle = self.loop.call_later(wait, self._flush)
            else:
                self.flush_handle = self.loop.call_soon(self._flush)

    def _flush(self) -> None:
        """Gives the queued events to the balancer and carries out its actions."""
        self.flush_handle = None
        now = self.last_flush_at = time.monotonic()
        events, self.events = self.events, []
        try:
            actions = self.balancer.handle(now, events)
        except Exception:
            self._handle_balancer_failure(events)
            return
        self._update_list_usable(now)
        for action in actions:
            try:
                self.action_handlers[type(action)](action)
            except Exception:
                log.exception("action_failed", action=str(action))
                call_number = getattr(action, "call", None)
                if call_number is not None:
                    self._answer_internal_error(call_number)

    def _update_list_usable(self, now: float) -> None:
        list_usable = self.balancer.list_lease.valid(now)
        if list_usable != self.list_usable:
            self.list_usable = list_usable
            log.info(
                "list_usable" if list_usable else "list_unusable",
                version=self.discovery.version, last_failure=self.discovery.last_failure.value,
                proven_s=now - self.balancer.list_lease.verified_until, held=len(self.balancer.queue),
            )  # fmt: skip

    def _handle_balancer_failure(self, events: list[api.Event]) -> None:
        """Answers with 502 the calls of a batch that the balancer failed to handle; repeats its timers."""
        log.exception("module_failed", events=len(events))
        for event in events:
            if isinstance(event, api.Arrival | api.Outcome):
                self._answer_internal_error(event.call)
            elif isinstance(event, api.Timer):
                self._set_timer(api.SetTimer(0.05, event.token))

    def _answer_internal_error(self, call_number: int) -> None:
        call = self.calls.get(call_number)
        if call is not None:
            self._answer(call, 502, (), b"internal error\n")
            self._enqueue(api.Gone(call_number))

    @staticmethod
    def _server_list(listing: Listing, kind: api.ListKind) -> api.ServerList:
        entries = [listed.entry for listed in listing.backends]
        return api.ServerList(
            kind,
            entries,
            listing.version,
            listing.written_after,
            listing.answers_newest_call,
            service_time=listing.service_time,
        )

    def _on_list(self, listing: Listing) -> None:
        if self.debug_enabled:
            for listed in listing.backends:
                log.debug(
                    "server_listed", backend="{}:{}".format(*listed.address), state=listed.entry.state.value,
                    version=listing.version,
                )  # fmt: skip
        if listing.full or listing.backends:
            self.upstreams.apply(listing)
        kind = api.ListKind.FULL if listing.full else api.ListKind.INCREMENTAL
        self._enqueue(self._server_list(listing, kind))

    def _on_list_failed(self) -> None:
        self._enqueue(api.ServerList(api.ListKind.FAILED, failure=self.discovery.last_failure))

    def _on_idle_connection_closed(self, upstream: Upstream, idle_for: float) -> None:
        for server, listed in self.upstreams.by_id.items():
            if listed is upstream and upstream.serving:  # a draining server closes connections of any age
                self._enqueue(api.IdleConnectionClosed(server, idle_for))

    # calls
    def ready(self) -> bool:
        """Returns whether calls sent to this proxy can be served.

        A new process does not know how old its saved list is. So it becomes ready when discovery has sent a
        list, or after READY_TIMEOUT_S, so that nobody waits for it forever while discovery is unreachable.
        """
        now = time.monotonic()
        lease = self.balancer.list_lease
        self.was_ready = self.was_ready or lease.valid(now) or now > self.started_at + READY_TIMEOUT_S
        return self.was_ready and self.upstreams.ready

    def on_request(self, request: Request, reply: Reply) -> OpenCall | None:
        """Accepts a request for the balancer. Returns None if it was answered at once with an error."""
        if self._may_have_run(request.id):
            self.counts["answer 409"] += 1
            if self.debug_enabled:
                log.debug("id_comes_again", id=request.id, cls=request.cls)
            reply.answer(409, (), b"this X-Call-Id is in use\n")
            return None
        if not self.executed_ids.has_room(time.monotonic(), len(self.active_ids) + 1):
            self.counts["refused without room for ids"] += 1
            reply.answer(503, self.retry_after_headers(AT_CAPACITY_RETRY_AFTER_S), b"too many calls\n")
            return None
        if self.settings.most_held and len(self.calls) >= self.settings.most_held:
            reply.answer(503, self.retry_after_headers(AT_CAPACITY_RETRY_AFTER_S), b"too many calls\n")
            return None
        self.calls_taken += 1
        self.counts["calls"] += 1
        if self.debug_enabled:
            log.debug("call_taken", id=request.id, cls=request.cls, budget_s=request.budget)
        number = self.calls_taken
        # Time lost before the request was read can only be estimated, from the lag of this event loop.
        # The deadline of the class also limits a client that states a longer budget.
        stated_budget = min(request.budget, self.deadlines[request.cls])
        max_margin = MAX_MARGIN_SHARE * stated_budget
        margin = min(MAX_ANSWER_MARGIN_S, min(MIN_ANSWER_MARGIN_S, max_margin) + 2 * self.loop_lag)
        deadline = request.received_at + stated_budget - margin
        call = OpenCall(number, request, reply, min(deadline, self.shutdown_deadline))
        self.calls[number] = call
        self.active_ids[request.id] = call
        now = time.monotonic()
        call.timer = self.loop.call_later(max(0.0, call.deadline - now), self._on_deadline, call)
        self._enqueue(
            api.Arrival(
                call=number,
                class_name=request.cls,
                budget=call.deadline - min(BALANCER_MARGIN_S, max_margin) - now,
                tenant=request.tenant,
                work=request.work,
                resent=request.resent,
                key=request.session_id,
                stated_timeout=stated_budget,
            )
        )
        return call

    def _may_have_run(self, id: bytes) -> bool:
        """Returns whether a request with this id runs, or may have run, or may yet.

        One whose caller has left before an attempt was sent whole is ended here, so that it never runs.
        """
        earlier = self.active_ids.get(id)
        if earlier is not None:
            if earlier.open and earlier.reply.peer_closed():
                self.on_disconnect(earlier)
            exchange = earlier.exchange
            if not earlier.open and exchange is not None and not exchange.sent:
                exchange.cancel()
        return id in self.active_ids or self.executed_ids.contains(id, time.monotonic())

    def retry_after_headers(self, wait: float) -> Headers:
        """Returns the Retry-After header for `wait` seconds; none if `wait` is 0 or the settings forbid it.

        The value is limited to the longest wait that clients respect.
        """
        wait = min(wait, self.settings.max_wait_advice) if self.settings.may_advise_wait else 0.0
        return ((b"retry-after", b"%.3f" % wait),) if wait > 0 else ()

    def on_disconnect(self, call: OpenCall) -> None:
        """The caller has closed its connection before it got an answer."""
        if call.open:
            if self.debug_enabled:
                log.debug("caller_left", id=call.request.id)
            self._remove_call(call)
            self._enqueue(api.Gone(call.number))

    def _on_deadline(self, call: OpenCall, rechecked: bool = False) -> None:
        """Answers a call that the balancer has not answered in time: 503 if it surely never ran, else 504."""
        if not call.open:
            return
        if not rechecked and time.monotonic() > call.deadline + STALL_THRESHOLD_S:
            # The process was stalled. Timers run before sockets are read, so the answer may already be there.
            call.timer = self.loop.call_later(NEXT_LOOP_ITERATION_S, self._on_deadline, call, True)
            return
        never_ran = not call.may_have_run and (call.exchange is None or not call.exchange.sent)
        exchange = call.exchange
        self._answer(call, 503 if never_ran else 504, (), b"out of time\n")
        self._enqueue(api.Gone(call.number))
        if exchange is not None:
            exchange.end(api.Status.TIMEOUT if exchange.sent else api.Status.MOOT)

    def _answer_unseen(self, call: OpenCall) -> None:
        """Answers a call without a further attempt: its caller may have left behind unread input."""
        log.info("caller_out_of_sight", id=call.request.id, attempts=call.attempts)
        self.counts["caller out of sight"] += 1
        self._answer(call, 502 if call.may_have_run else 503, (), b"too much was sent behind this request\n")
        self._enqueue(api.Gone(call.number))

    def _answer(self, call: OpenCall, code: int, headers: Any, body: bytes) -> None:
        """Sends the final answer. The call is removed first, so it can't be answered twice."""
        self._remove_call(call)
        self.counts[f"answer {code}"] += 1
        if self.debug_enabled:
            log.debug("call_answered", id=call.request.id, code=code)
        call.reply.answer(code, headers, body)

    def _remove_call(self, call: OpenCall) -> None:
        call.open = False
        self.calls.pop(call.number, None)
        if call.exchange is None:
            self.active_ids.pop(call.request.id, None)
        if call.timer is not None:
            call.timer.cancel()
        if not self.calls and self.on_drained is not None:
            self.on_drained()

    # actions
    def _send(self, action: api.Send) -> None:
        call = self.calls.get(action.call)
        if call is None:
            # The call ended after the balancer had received its events.
            # The balancer expects an outcome for every Send.
            self._enqueue(api.Outcome(action.call, 0, action.server, api.Status.MOOT, 0.0, True))
            return
        attempt_number = call.attempts
        call.attempts += 1
        upstream = self.upstreams.by_id.get(action.server)
        if upstream is None or not upstream.serving or call.exchange is not None:
            if call.exchange is not None:
                log.error("second_attempt", id=call.request.id)
            self._enqueue(
                api.Outcome(call.number, attempt_number, action.server, api.Status.MOOT, 0.0, False)
            )
            return
        timeout = min(action.timeout, call.deadline - time.monotonic())

        def build_request(time_left: float) -> bytes:
            client_request = call.request
            return (
                client_request.head
                + b"x-budget: %du\r\n\r\n" % max(1, int(time_left * 1e6))
                + client_request.body
            )

        def may_start() -> bool:
            if call.open and call.reply.peer_closed():
                self.on_disconnect(call)
            elif call.open and call.reply.end_out_of_sight:
                self._answer_unseen(call)
            # The list may have expired during the connect, or while this process was stalled.
            return call.open and upstream.serving and self.balancer.list_lease.valid(time.monotonic())

        def on_done(exchange: Exchange) -> None:
            self._attempt_ended(call, attempt_number, action.server, exchange)

        request_id = call.request.id
        if self.debug_enabled:
            backend = "{}:{}".format(*upstream.address)
            log.debug(
                "attempt_begun", id=request_id, number=attempt_number, backend=backend, timeout_s=timeout
            )
        exchange = Exchange(
            upstream,
            build_request,
            max(0.0, timeout),
            may_start,
            on_done,
            action.trust,  # max_idle_age: largest idle time of a connection that may be used
            action.within,  # send_within: time within which the last byte has to be sent
            request_id,
        )
        call.exchange = self.in_flight[call.number] = exchange
        self.upstreams.start(exchange)

    def _attempt_ended(self, call: OpenCall, attempt_number: int, server: int, exchange: Exchange) -> None:
        """Answers the call after a success, and reports the outcome of the attempt to the balancer."""
        status = exchange.status
        assert status is not None
        call.exchange = None
        self.counts[f"attempt {status.name.lower()}"] += 1
        self.in_flight.pop(call.number, None)
        if self.debug_enabled:
            elapsed, status_name = exchange.elapsed, status.name.lower()
            log.debug(
                "attempt_ended", id=call.request.id, number=attempt_number, status=status_name,
                after_s=elapsed,
            )  # fmt: skip
        if status not in api.NEVER_RAN:
            call.may_have_run = True
            self.executed_ids.add(call.request.id, time.monotonic())
        if not call.open:
            self.active_ids.pop(call.request.id, None)
        elif status is api.Status.OK:
            headers = [pair for pair in exchange.headers if pair[0] not in DROPPED_HEADERS]
            self._answer(call, 200, headers, exchange.body)
        report = None
        if self.settings.reports == "answer":
            reports = [value for name, value in exchange.headers if name == b"x-load-report"]
            report = read_report(reports[0]) if len(reports) == 1 else None
        ended = not call.open
        self._enqueue(
            api.Outcome(
                call.number,
                attempt_number,
                server,
                status,
                exchange.elapsed,
                ended,
                report,
                exchange.idle_for,
            )
        )

    def _refuse(self, action: api.Refuse) -> None:
        call = self.calls.get(action.call)
        if call is not None:
            if not self.list_usable:
                self.counts["refused without list"] += 1
            self._answer(call, 503, self.retry_after_headers(action.retry_after), b"refused\n")

    def _fail(self, action: api.Fail) -> None:
        call = self.calls.get(action.call)
        if call is not None:
            self._answer(call, 502, (), b"failed\n")

    def _cancel(self, action: api.Cancel) -> None:
        exchange = self.in_flight.get(action.call)
        if exchange is not None:
            exchange.cancel()

    def _probe(self, action: api.Probe) -> None:
        upstream = self.upstreams.by_id.get(action.server)
        if upstream is None or not upstream.serving or self.probes_in_flight >= MAX_CONCURRENT_PROBES:
            self._enqueue(api.Probed(action.server, api.Status.FULL, 0.0))  # says nothing about the server
            return
        self.probes_in_flight += 1
        target = "/healthz" if self.settings.reports == "none" else "/load"
        host, port = upstream.address
        request = f"GET {target} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode()

        def on_done(exchange: Exchange) -> None:
            self.probes_in_flight -= 1
            status = exchange.status
            assert status is not None
            self.counts[f"probe {status.name.lower()}"] += 1
            if self.debug_enabled:
                log.debug(
                    "probe_ended", backend="{}:{}".format(*upstream.address), status=status.name.lower(),
                    code=exchange.code, after_s=exchange.elapsed,
                )  # fmt: skip
            report = read_report(exchange.body) if status is api.Status.OK else None
            if status is api.Status.MOOT:
                status = api.Status.FULL  # the probe was not sent, so it says nothing about the server
            self._enqueue(api.Probed(action.server, status, exchange.elapsed, report))

        self.upstreams.start(
            Exchange(upstream, lambda time_left: request, PROBE_TIMEOUT_S, lambda: upstream.serving, on_done)
        )

    def _set_timer(self, action: api.SetTimer) -> None:
        due = time.monotonic() + action.delay
        self.loop.call_later(max(0.0, action.delay), self._on_timer, due, action.token)

    def _on_timer(self, due: float, token: int) -> None:
        self.loop_lag = max(self.loop_lag * LAG_DECAY, time.monotonic() - due)
        self._enqueue(api.Timer(token))

    def _close_idle(self, action: api.CloseIdle) -> None:
        upstream = self.upstreams.by_id.get(action.server)
        if upstream is not None:
            upstream.close_idle()
