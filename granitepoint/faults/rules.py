"""Checks the rules against the records of clients, servers and discovery. The proxies' logs are not used."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from granitepoint.faults.clients import Request
from granitepoint.faults.discovery import Change, Discovery, DiscoveryEndpoint
from granitepoint.faults.servers import MAX_LAST_BYTE_DELAY_S, Attempt

SOCKET_TOLERANCE_S = 0.05  # added to the drain limit, because the proxies run on real sockets
BUDGET_TOLERANCE_S = 0.15  # by which the budget sent to a server may exceed what the client has left
ANSWER_TOLERANCE_S = 0.5  # after the budget of a request; without a final answer by then it counts as lost
REFUSAL_CODES = (429, 503)


@dataclass(frozen=True, slots=True)
class Violation:
    """A violated rule, with the id of the call that violated it."""

    rule: str
    call_id: str
    text: str


@dataclass(slots=True)
class Records:
    """Everything that was recorded during a run."""

    discovery: Discovery
    endpoints: Mapping[str, Sequence[DiscoveryEndpoint]]  # by the name of their proxy
    attempts: Sequence[Attempt]
    requests: Sequence[Request]
    non_repeatable_classes: frozenset[str]
    drain_grace: float  # seconds
    # Ids of calls in progress when their proxy was killed: they need no answer.
    exempt_calls: frozenset[str] = frozenset()


def check(records: Records) -> list[Violation]:
    """Returns all violations, in no particular order."""
    requests_by_id = {request.call_id: request for request in records.requests}
    return [
        *_check_drain(records, requests_by_id),
        *_check_answers(records),
        *_check_repeats(records, requests_by_id),
        *_check_budgets(records.attempts, requests_by_id),
    ]


def _check_drain(records: Records, requests_by_id: Mapping[str, Request]) -> Iterable[Violation]:
    """A server that leaves gets no new attempts from a proxy after the drain grace.

    The grace starts when the departure counts as notified to that proxy.
    """
    departures: dict[str, Change] = {}
    for change in records.discovery.changes:
        for entry in change.entries:
            if entry.status != "Ready":
                departures.setdefault(entry.name, change)
    # By proxy and version of the departure: the time from which it counts as notified.
    notified_times: dict[tuple[str, int], float] = {}
    for attempt in records.attempts:
        departure, request = departures.get(attempt.server), requests_by_id.get(attempt.call_id)
        if departure is None or request is None:
            continue
        key = request.proxy_name, departure.version
        if key not in notified_times:
            notified_times[key] = min(
                records.discovery.notified_at(endpoint, departure)
                for endpoint in records.endpoints[request.proxy_name]
            )
        overrun = (
            attempt.received_at
            - MAX_LAST_BYTE_DELAY_S
            - notified_times[key]
            - records.drain_grace
            - SOCKET_TOLERANCE_S
        )
        if overrun > 0:
            text = f"{request.proxy_name} sent to {attempt.server} {overrun:.3f} s after told and grace"
            yield Violation("drain", attempt.call_id, text)


def _check_answers(records: Records) -> Iterable[Violation]:
    """Each request that a proxy accepted gets its final answer in time.

    A ConnectionError on a reused connection is no violation: the proxy may have closed the connection
    before the request reached it.
    """
    for request in records.requests:
        if request.call_id in records.exempt_calls:
            continue
        if request.error and not (request.error == "ConnectionError" and not request.new_connection):
            yield Violation(
                "lost", request.call_id, f"{request.proxy_name} {request.class_name}: {request.error}"
            )
        elif request.code and request.ended_at > request.sent_at + request.budget + ANSWER_TOLERANCE_S:
            yield Violation("lost", request.call_id, f"{request.proxy_name} answered too late")


def _check_repeats(records: Records, requests_by_id: Mapping[str, Request]) -> Iterable[Violation]:
    """A call that may have run is neither sent again nor refused if its class may not be repeated."""
    counts = Counter(attempt.call_id for attempt in records.attempts)
    for call_id, attempt_count in counts.items():
        request = requests_by_id.get(call_id)
        if request is None or request.class_name not in records.non_repeatable_classes:
            continue
        if attempt_count > 1:
            yield Violation("duplicate", call_id, f"sent {attempt_count} times")
        if request.code in REFUSAL_CODES:
            yield Violation("duplicate", call_id, "refused, though it may have run")


def _check_budgets(attempts: Sequence[Attempt], requests_by_id: Mapping[str, Request]) -> Iterable[Violation]:
    """The budget sent to a server is at most the time that the client has left, plus a tolerance."""
    for attempt in attempts:
        request = requests_by_id.get(attempt.call_id)
        if request is not None:
            time_left = request.sent_at + request.budget - attempt.received_at
            if attempt.budget > time_left + BUDGET_TOLERANCE_S:
                yield Violation(
                    "budget", attempt.call_id, f"told {attempt.budget:.3f} s, left {time_left:.3f} s"
                )
