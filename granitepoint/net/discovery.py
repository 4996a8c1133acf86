"""Client of discovery: requests lists of backends (fetch) and changes to them (watch, a long poll).

A change counts as notified some seconds after discovery had it, whether or not a proxy has received it; from
then on the proxy is expected to act on it (see membership/list_lease.py).
"""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from granitepoint.interface import DiscoveryFailed, WatchLost, WatchOpened
from granitepoint.membership.backoff import Backoff
from granitepoint.membership.evidence import IMMEDIATE_FAILURE_TIME, Failure
from granitepoint.membership.list_lease import MAX_WATCH_GAP, NOTIFIED_AFTER_HOLD
from granitepoint.membership.list_lease import NOTIFIED_AFTER as SILENCE_NOTIFIED_AFTER
from granitepoint.membership.move_deadlines import NOTIFIED_AFTER_MOVE, MoveDeadlines
from granitepoint.membership.start_times import StartTimes
from granitepoint.membership.version_history import VersionHistory
from granitepoint.net.config import Address
from granitepoint.net.discovery_channel import MAX_ANSWER_BYTES, Channel, classify_failure
from granitepoint.net.listing import Listing, parse_document, read_listing
from granitepoint.net.logs import EventLogger
from granitepoint.net.reuse_delay import MAX_REUSE_DELAY_S

log = EventLogger(__name__)

# How long discovery may leave a call of a watch unanswered while nothing changes. Each answer renews the
# lease on the list, so this is how much of the lease may have passed when discovery goes down.
HOLD_MS = 500
# Time without an answer after which the next call of the watch is made, as the connection may be dead. A
# change at the end of the hold may wait in the queue of discovery until then.
RENEW_AFTER_S = 3.0
# The same two where lists are pushed. There a failed call ends the lease whenever the last answer came, and
# while discovery is down nothing fails: an open watch is silent until discovery is back.
PUSHED_HOLD_MS = 25_000
PUSHED_RENEW_AFTER_S = 18.0
# The same while the list is unconfirmed: short, as the lease on the list ends unless an answer renews it.
CONFIRM_HOLD_MS = 50
# From the end of the hold of a call that covers the deadline of a move: then another call is made beside it.
# An answer that need not wait in the queue of discovery has come by then.
DEADLINE_TIMEOUT_S = IMMEDIATE_FAILURE_TIME
# After which a call with CONFIRM_HOLD_MS counts as dead; its queueing and hold take 2.5 s at most.
CONFIRM_TIMEOUT_S = 3.2
# In addition to the hold of a call (how long discovery may leave it unanswered while nothing changes), as
# calls wait in the queue of discovery.
CALL_TIMEOUT_S = 4.0
MIN_CALL_SPACING_S = 0.05  # between the starts of two calls of a watch, in case each is answered at once
# Between tries to open a watch on pushed lists; short, as pushed changes count as notified at once.
PUSH_RETRY_DELAY_S = 0.15
PUSH_RETRY_JITTER = 0.5  # share by which that delay may be shorter, so that proxies don't retry in step
MAX_READ_DELAY_S = 0.15  # between the sending of an answer and its reading: latency and stalls
MOVE_RETRY_AFTER_S = 3.5  # after which the first call to a new address counts as dead, not as queued
MAX_MOVE_TRIES = 15  # of the first call to a new address, before the failure is reported to the balancer
# From the first list of a new address, if it could not be verified, until the full list is requested.
VERIFY_DELAY_S = 30.0
VERIFY_SPREAD_S = 90.0  # random part added to this delay, so that the proxies don't request it all at once
TIMEOUT_JITTER = 0.15  # share by which timeouts of watches may be shorter, so that proxies don't call in step

# Events that affect the lease on the list (see membership/list_lease.py).
Evidence = WatchLost | WatchOpened | DiscoveryFailed


@dataclass(slots=True)
class DiscoveryCall:
    """A call to discovery."""

    started_at: float  # monotonic
    hold: float = 0.0  # seconds for which discovery may leave it unanswered while nothing changes
    continued: bool = False  # it follows the answer of a watch directly, and continues that watch
    since_version: int | None = None  # changes since this version are requested; None: the full list
    is_watch: bool = True  # False for a separate request of the full list


class DiscoveryClient:
    """Calls discovery when the balancer requests it, and reports each list and each failed call.

    On its own it only keeps a watch going: it makes the next call when one has been answered, or got no
    answer in time, retries the first call to a new address, and verifies the list after a move. Where lists
    are pushed (the setting ask_for_list is off) the balancer requests nothing, and a watch that fails is
    opened again at once.
    """

    def __init__(
        self,
        address: Address,
        version: int,
        on_list: Callable[[Listing], None],
        on_failed: Callable[[], None],
        random: Random,
        pushed: bool = False,
        on_evidence: Callable[[Evidence], None] = lambda evidence: None,
        instances: int = 1,
        start_times: StartTimes | None = None,
    ) -> None:
        self.address, self.random, self.pushed = address, random, pushed
        self.hold_ms = PUSHED_HOLD_MS if pushed else HOLD_MS
        self.version: int | None = version  # None: request the full list
        self.history = VersionHistory(version)
        self.start_times = start_times or StartTimes()
        self.moving = False  # discovery has a new address, and no list has come from it yet
        self.move_deadlines = MoveDeadlines()
        self.on_list, self.on_failed = on_list, on_failed
        self.on_evidence = on_evidence  # called with all events that affect the lease on the list
        # For the retries that this client makes by itself, on a watch or at a new address.
        self.backoff = Backoff(random, instances=instances, phase=random.random())
        self.last_failure = Failure.SILENT
        self.last_answer_at = -math.inf  # monotonic, of the last list on a watch
        self.newest_call: DiscoveryCall | None = None  # of the watch; not a separate request of the full list
        self.confirmed = False  # a list has come since the watch was lost
        self.lists_received = 0
        self.max_answer_bytes = MAX_ANSWER_BYTES
        self.last_written_after = -math.inf  # monotonic; the last list was written then or later
        self._watch_task: asyncio.Task[None] | None = None
        # Calls of the watch in progress: the newest one, and earlier ones that were not answered in time.
        self._watch_calls: dict[asyncio.Task[bool], Channel] = {}
        self._fetch_tasks: set[asyncio.Task[None]] = set()
        self._verification_task: asyncio.Task[None] | None = None

    def watch(self, on: bool) -> None:
        """Opens a watch, or ends it.

        Calls in progress are left open beside the new one. Discovery may be writing an answer to them, which
        counts as notified, or may soon do so, while the new call is queued from the start. A watch that waits
        for the first list of a new address is left as it is: it retries by itself, and a restart would only
        add a call.
        """
        if on and self.moving and self._watch_task is not None and not self._watch_task.done():
            return
        self.confirmed = False  # until the new call is answered
        if self._watch_task is not None:
            self._watch_task.cancel()
            self._watch_task = None
        if not on:
            self._close_watch_calls()
        else:
            self._watch_task = asyncio.get_running_loop().create_task(self._run_watch())

    def move(self, address: Address) -> None:
        """Uses another address of discovery from now on, and ignores what the old one still sends.

        The first call to the new address requests the changes since the current version, not the full list.
        All proxies move together, and full lists for all of them would take longer than the time after which
        changes count as notified.
        """
        self.stop()
        moved_at = time.monotonic()
        self.move_deadlines.on_move(moved_at)
        self._watch_lost(NOTIFIED_AFTER_MOVE, moved_at)
        self.address, self.moving, self.version = address, True, self.history.version
        self.last_answer_at = -math.inf  # the last answer came from the old address
        self.watch(True)

    def _watch_lost(
        self, notified_within: float = math.inf, moved_at: float | None = None, silent: bool = False
    ) -> None:
        """Reports a lost watch; what it misses counts as notified within `notified_within` seconds.

        `moved_at`: when discovery got a new address (monotonic). `silent`: the call stays open beside the
        next one.
        """
        self.confirmed = False
        self.on_evidence(WatchLost(notified_within, moved_at, silent))

    def fetch(self) -> None:
        """Requests the full list, beside the watch."""
        task = asyncio.get_running_loop().create_task(self._run_fetch())
        self._fetch_tasks.add(task)
        task.add_done_callback(self._fetch_tasks.discard)

    def stop(self) -> None:
        """Ends all calls."""
        self._close_watch_calls()
        for task in (self._watch_task, self._verification_task, *self._fetch_tasks):
            if task is not None:
                task.cancel()
        self._watch_task = self._verification_task = None

    def _close_watch_calls(self) -> None:
        for task in self._watch_calls:
            task.cancel()
        self._watch_calls.clear()

    async def _run_watch(self) -> None:
        """Makes the calls of a watch, one after another.

        A dead watch can't be told from a list that does not change until its hold has ended. So the hold is
        short, and a call that is not answered within RENEW_AFTER_S is followed by another one beside it,
        early enough to be answered before what a dead watch has missed counts as notified. The earlier call
        stays open until it ends, as discovery may still answer it. After a move one call is held until the
        deadline of the move, so that its answer, even if nothing has changed, covers all changes until then.
        """
        loop = asyncio.get_running_loop()
        calls = self._watch_calls
        channel, tries = Channel(self.max_answer_bytes), 0
        try:
            while True:
                started_at, was_moving = loop.time(), self.moving
                hold = self._next_hold()
                timeout = self._next_timeout(hold)
                continued = time.monotonic() - self.last_answer_at <= MAX_WATCH_GAP
                call = DiscoveryCall(time.monotonic(), hold, continued, self._since_version())
                self.newest_call = call
                if not was_moving:
                    self.on_evidence(WatchOpened(call.started_at, hold))
                newest_task = loop.create_task(self._make_call(channel, hold + CALL_TIMEOUT_S, call))
                calls[newest_task] = channel
                await asyncio.wait([newest_task], timeout=timeout)
                for older in [older for older in calls if older.done() and older is not newest_task]:
                    calls.pop(older).close()
                tries = tries + 1 if self.moving else 0
                if not newest_task.done():
                    self._watch_lost(
                        started_at + max(SILENCE_NOTIFIED_AFTER, hold + NOTIFIED_AFTER_HOLD) - loop.time(),
                        silent=True,
                    )
                    channel = Channel(self.max_answer_bytes)
                    continue
                del calls[newest_task]
                if newest_task.result():
                    await asyncio.sleep(max(0.0, started_at + MIN_CALL_SPACING_S - loop.time()))
                    continue
                self._watch_lost()
                ended_at = time.monotonic()
                self.on_evidence(DiscoveryFailed(self.last_failure, call.started_at, ended_at))
                if self.pushed:
                    await asyncio.sleep(self._shortened(PUSH_RETRY_DELAY_S, PUSH_RETRY_JITTER))
                elif calls or (was_moving and tries < MAX_MOVE_TRIES):
                    await asyncio.sleep(self.backoff.failed(self.last_failure, ended_at))
                else:
                    self._watch_task = None  # on_failed may start a new one
                    self.on_failed()
                    return
        finally:
            if channel not in calls.values():
                channel.close()

    def _next_hold(self) -> float:
        """Returns the seconds for which discovery may hold the next call of the watch."""
        if not self.confirmed:
            return CONFIRM_HOLD_MS / 1000
        until_deadline_ms = min(self.hold_ms, (self.move_deadlines.first - time.monotonic()) * 1000)
        return max(CONFIRM_HOLD_MS, math.ceil(until_deadline_ms)) / 1000

    def _next_timeout(self, hold: float) -> float:
        """Returns the seconds after which a call with this hold is followed by another one beside it."""
        if self.confirmed and hold < self.hold_ms / 1000:
            return hold + DEADLINE_TIMEOUT_S  # not at random: a proxy without a list serves nobody
        if self.moving:
            timeout = MOVE_RETRY_AFTER_S
        else:
            renew_after = PUSHED_RENEW_AFTER_S if self.pushed else RENEW_AFTER_S
            timeout = renew_after if self.confirmed else CONFIRM_TIMEOUT_S
        return self._shortened(timeout, TIMEOUT_JITTER)

    def _since_version(self) -> int | None:
        """Returns the version since which changes are requested; None for the full list."""
        return self.history.request_from if self.moving and self.version is not None else self.version

    def _shortened(self, duration: float, jitter: float) -> float:
        """Returns `duration` shortened by a random share of up to `jitter`."""
        return duration * (1 - jitter * self.random.random())

    async def _run_fetch(self) -> None:
        channel = Channel(self.max_answer_bytes)
        try:
            if not await self._make_call(
                channel, CALL_TIMEOUT_S, DiscoveryCall(time.monotonic(), is_watch=False)
            ):
                self.on_failed()
        finally:
            channel.close()

    async def _run_verification(self) -> None:
        """Requests the full list at a quiet time, until it arrives."""
        received = False
        while not received:
            await asyncio.sleep(VERIFY_DELAY_S + VERIFY_SPREAD_S * self.random.random())
            channel = Channel(self.max_answer_bytes)
            try:
                received = await self._make_call(
                    channel, CALL_TIMEOUT_S, DiscoveryCall(time.monotonic(), is_watch=False)
                )
            finally:
                channel.close()

    async def _make_call(self, channel: Channel, timeout: float, call: DiscoveryCall) -> bool:
        """Makes one call and returns whether it was answered with a list, even if that is not used.

        All errors are handled here: an exception would end the watch unnoticed, and it would never be
        renewed.
        """
        lists_before, held_version = self.lists_received, self.version
        try:
            code, body = await channel.get(self.address, request_target(call), timeout)
            if code != 200:
                raise ValueError(f"status {code}")
            listing = read_listing(parse_document(body, self.max_answer_bytes), self.start_times)
            now = time.monotonic()
            waited = now - call.started_at
            may_be_copy = may_answer_previous_call(listing, call, now, channel.previous_answer_at)
            if may_be_copy and not listing.full:
                log.info("list_out_of_turn", version=listing.version, held=self.version, waited_s=waited)
                channel.close()
                return True
            if (
                lists_before != self.lists_received
                and self.version is not None
                and listing.version < self.version
            ):
                log.info("list_dropped", version=listing.version, held=self.version, waited_s=waited)
                return True
            if self.moving and not self._continues_history(listing):
                self.version = None
                return True
            listing.written_after = (
                self.last_written_after if may_be_copy else earliest_writing_time(listing, call, now)
            )
            listing.answers_newest_call = call is self.newest_call
            listing.service_time = self._service_time(listing, call, waited)
            self.on_list(listing)
        except Exception as error:
            error_text = str(error) or type(error).__name__
            waited = time.monotonic() - call.started_at
            self.last_failure = classify_failure(error, channel.request_sent, waited, call.continued)
            log.warning(
                "discovery_failed", discovery="{}:{}".format(*self.address), fault=error_text,
                waited_s=waited, held=held_version, evidence=self.last_failure.value,
                continued=call.continued,
            )  # fmt: skip
            return False
        unchanged = not listing.full and not listing.backends
        (log.debug if unchanged else log.info)(
            "list_taken", version=listing.version, held=held_version, whole=listing.full,
            entries=len(listing.backends), answered_bytes=len(body), waited_s=waited,
        )  # fmt: skip
        self._accept_list(listing, call, now)
        return True

    def _continues_history(self, listing: Listing) -> bool:
        """Whether the first list of a new address continues the version history of the current list."""
        servers = [listed.entry.server for listed in listing.backends]
        if listing.full or self.history.is_continued_by(listing.version, servers):
            return True
        log.warning(
            "discovery_differs", discovery="{}:{}".format(*self.address), version=listing.version,
            held=self.history.version, effect="the full list is requested",
        )  # fmt: skip
        return False

    def _service_time(self, listing: Listing, call: DiscoveryCall, waited: float) -> float | None:
        """Returns the seconds that discovery needed for a call, mostly in its queue; None if that is unknown.

        The time for which discovery held the call, because nothing had changed, does not count. A call that
        continued a watch has no known service time.
        """
        if call.continued:
            return None
        unchanged = call.since_version is not None and not listing.backends
        return waited - call.hold if unchanged else waited

    def _accept_list(self, listing: Listing, call: DiscoveryCall, now: float) -> None:
        """Updates the state after a list has been delivered."""
        self.lists_received += 1
        self.version = listing.version
        if listing.written_after is not None:
            self.last_written_after = listing.written_after
            self.move_deadlines.on_list(listing.written_after)
        self.backoff.succeeded(listing.service_time)
        if self.moving:
            self.moving = False
            if not listing.full and not self.history.can_be_verified:
                self._verification_task = asyncio.get_running_loop().create_task(self._run_verification())
        servers = [listed.entry.server for listed in listing.backends]
        self.history.record(None if listing.full else call.since_version, listing.version, servers)
        if call.is_watch:
            self.last_answer_at = now
            self.confirmed = True


def may_answer_previous_call(
    listing: Listing, call: DiscoveryCall, now: float, previous_answer_at: float
) -> bool:
    """Whether the answer read at `now` may be a second answer to the call before on its connection.

    An answer to a watch brings something newer, or the full list, or comes when the hold has ended. One with
    nothing newer, soon after the previous answer on the connection (at `previous_answer_at`) and before the
    hold has ended, belongs to the call before. Only a full list may be an answer to this call all the same.
    Either proves nothing about the time since that answer. Times are monotonic.
    """
    nothing_newer = call.since_version is not None and listing.version <= call.since_version
    return (
        nothing_newer and now < call.started_at + call.hold and now - previous_answer_at <= MAX_REUSE_DELAY_S
    )


def earliest_writing_time(listing: Listing, call: DiscoveryCall, now: float) -> float:
    """Returns the monotonic time at which, or after which, discovery wrote the answer read at `now`.

    Discovery writes the answer of a continued watch when something changes, shortly before it is read. Any
    other answer is written when the call's turn in the queue comes: it may be as old as the call. An answer
    that nothing has changed is written when the hold has ended.
    """
    hold_ended_at = call.started_at + call.hold
    unchanged = not listing.full and not listing.backends and listing.version == call.since_version
    if unchanged and now >= hold_ended_at:
        return max(hold_ended_at, now - MAX_READ_DELAY_S) if call.continued else hold_ended_at
    return max(call.started_at, now - MAX_READ_DELAY_S) if call.continued else call.started_at


def request_target(call: DiscoveryCall) -> str:
    """Returns the path and query of a call."""
    if call.since_version is None:
        return "/v1/servers"
    return f"/v1/servers?from={call.since_version}&hold_ms={call.hold * 1000:.0f}"
