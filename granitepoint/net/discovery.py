"""Discovery: asks for lists of backends (fetch) or for what changed (watch)."""

from __future__ import annotations

import asyncio
import json
import math
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from granitepoint.interface import DiscoveryFailed, WatchLost, WatchOpened
from granitepoint.membership.backoff import Backoff
from granitepoint.membership.evidence import AT_ONCE, Failure
from granitepoint.membership.list_lease import CONTINUES, HOLD_TOLD, MOVE_TOLD
from granitepoint.membership.list_lease import TOLD_AFTER as SILENCE_NOTIFIED_AFTER
from granitepoint.membership.start_times import StartTimes
from granitepoint.membership.version_history import VersionHistory
from granitepoint.net.config import Address
from granitepoint.net.discovery_channel import Channel, classify_failure
from granitepoint.net.listing import Listing, read_listing
from granitepoint.net.logs import Events

log = Events(__name__)

RENEW_AFTER = 18.0  # s after which a watch that has said nothing is asked anew: it may have fallen silent
HOLD_MS = 25_000  # how long a watch may wait; what a silent one misses counts as told 2 s after that
CONFIRM_HOLD_MS = 50  # the same until an answer confirms the list: until then nothing may be sent by it
CONFIRM_TIMEOUT = 3.2  # s after which such a call is silent: in turn and held it takes 2.5 s at most
CALL_TIMEOUT = 4.0  # s beyond a call's own wait after which it has failed: calls wait in turn
MIN_CALL_SPACING = 0.05  # s between two watches, should discovery answer each at once
PUSH_RETRY_DELAY = 0.15  # s between tries to open a watch on pushed lists, which count as told at once
PUSH_RETRY_JITTER = (
    0.5  # share by which such a pause may be shorter: all that lost one service would ask in step
)
MAX_READ_DELAY = 0.15  # s that an answer may have been on its way, or this process held up, before it is read
MOVE_RETRY_AFTER = 3.5  # s after which the first list is asked for once more: the call is silent, not in turn
MAX_MOVE_TRIES = 15  # such tries, before the module is told that the call failed
VERIFY_DELAY = 30.0  # s after a move at which a list that nothing could be compared with is asked for whole
VERIFY_SPREAD = 90.0  # s over which the proxies do so
TIMEOUT_JITTER = 0.15  # share by which RENEW and MOVE_AGAIN may be shorter, so that none ask in step

Evidence = WatchLost | WatchOpened | DiscoveryFailed


@dataclass(slots=True)
class DiscoveryCall:
    """One call: when it was begun (monotonic), for how long discovery may hold it, and whether it goes on
    with a watch that had just been answered."""

    started_at: float
    hold: float = 0.0
    continued: bool = False
    previous_unqueued: bool = False  # the answer before it had not waited in turn
    since_version: int | None = None  # the version from which changes were asked for; None: the whole list
    is_watch: bool = True  # one of a watch's calls, not a list asked for beside it


class DiscoveryClient:
    """Asks as the module says, and hands on each list, or that a call failed. Asks nothing by itself, but
    for the next call of a watch that goes on, and where lists are pushed: there the module never asks, and
    a watch that ends is opened again at once."""

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
        self.version: int | None = version  # None: the whole list is to be asked for
        self.history = VersionHistory(version)
        self.start_times = start_times or StartTimes()
        self.moving = False  # to another address, of which no list has come yet
        self.on_list, self.on_failed = on_list, on_failed
        self.on_evidence = on_evidence  # told of all that bears on how long the list may be used
        # Of the calls that are made again from here, on a watch or at a new address.
        self.backoff = Backoff(random, instances=instances, place=random.random())
        self.last_failure = Failure.SILENT  # how the last call that failed did so
        self.last_answer_at = -math.inf  # monotonic, of the last answer with a list
        self.last_answer_unqueued = False  # it had not waited in turn
        self.newest_call: DiscoveryCall | None = None  # the last call of a watch
        self.confirmed = False  # a list has come since the watch was lost
        self.lists_received = 0  # taken so far
        self._watch_task: asyncio.Task[None] | None = None
        self._watch_calls: dict[
            asyncio.Task[bool], Channel
        ] = {}  # of the watch, the one before still among them
        self._fetch_tasks: set[asyncio.Task[None]] = set()
        self._verification_task: asyncio.Task[None] | None = None

    def watch(self, on: bool) -> None:
        """A call that is out stays beside the new one: discovery may be writing its answer, which counts as
        told, or may soon come to it, and the new one waits its turn anew. A watch that has no list of its
        address yet goes on as it is: it asks again by itself, and begun anew it would ask twice."""
        if on and self.moving and self._watch_task is not None and not self._watch_task.done():
            return
        self.confirmed = False  # asked anew: until the answer comes it is no watch that goes on
        if self._watch_task is not None:
            self._watch_task.cancel()
            self._watch_task = None
        if not on:
            self._close_watch_calls()
        else:
            self._watch_task = asyncio.get_running_loop().create_task(self._run_watch())

    def move(self, address: Address) -> None:
        """Another address of discovery from now on. What the old one may still say is not heard. The new one
        is asked at once for what has changed: all proxies move together, and whole lists for all of them
        would take longer than the time in which changes count as told."""
        self.stop()
        self._watch_lost(MOVE_TOLD, moved=True)
        self.address, self.moving, self.version = address, True, self.history.version
        self.last_answer_at = -math.inf  # the answer was the other address's
        self.watch(True)

    def _watch_lost(
        self, notified_within: float = math.inf, moved: bool = False, silent: bool = False
    ) -> None:
        self.confirmed = False
        self.on_evidence(WatchLost(notified_within, moved, silent))

    def fetch(self) -> None:
        task = asyncio.get_running_loop().create_task(self._run_fetch())
        self._fetch_tasks.add(task)
        task.add_done_callback(self._fetch_tasks.discard)

    def stop(self) -> None:
        self._close_watch_calls()
        for task in (self._watch_task, self._verification_task, *self._fetch_tasks):
            if task is not None:
                task.cancel()
        self._watch_task = self._verification_task = None

    def _close_watch_calls(self) -> None:
        for call in self._watch_calls:
            call.cancel()
        self._watch_calls.clear()

    async def _run_watch(self) -> None:
        """Call after call. Silence looks like a list that does not change, so no watch is waited for longer
        than RENEW: the next call goes out beside it, early enough to be tried again before what a silent one
        missed counts as told. The one before stays until it ends, for it may be the one that is told."""
        loop = asyncio.get_running_loop()
        calls = self._watch_calls
        channel, tries = Channel(), 0
        try:
            while True:
                started_at, was_moving = loop.time(), self.moving
                hold = (HOLD_MS if self.confirmed else CONFIRM_HOLD_MS) / 1000
                timeout = (
                    MOVE_RETRY_AFTER if was_moving else RENEW_AFTER if self.confirmed else CONFIRM_TIMEOUT
                )
                continued = time.monotonic() - self.last_answer_at <= CONTINUES
                call = DiscoveryCall(
                    time.monotonic(), hold, continued, self.last_answer_unqueued, self._since_version()
                )
                self.newest_call = call
                if not was_moving:
                    self.on_evidence(WatchOpened(call.started_at, hold))
                newest_task = loop.create_task(self._make_call(channel, hold + CALL_TIMEOUT, call))
                calls[newest_task] = channel
                await asyncio.wait([newest_task], timeout=self._shortened(timeout, TIMEOUT_JITTER))
                for older in [older for older in calls if older.done() and older is not newest_task]:
                    calls.pop(older).close()
                tries = tries + 1 if self.moving else 0
                if not newest_task.done():
                    self._watch_lost(
                        started_at + max(SILENCE_NOTIFIED_AFTER, hold + HOLD_TOLD) - loop.time(), silent=True
                    )
                    channel = Channel()
                    continue
                del calls[newest_task]
                if newest_task.result():
                    await asyncio.sleep(max(0.0, started_at + MIN_CALL_SPACING - loop.time()))
                    continue
                self._watch_lost()
                ended_at = time.monotonic()
                self.on_evidence(
                    DiscoveryFailed(self.last_failure, call.started_at, ended_at, beside=bool(calls))
                )
                if self.pushed:
                    await asyncio.sleep(self._shortened(PUSH_RETRY_DELAY, PUSH_RETRY_JITTER))
                elif calls or (was_moving and tries < MAX_MOVE_TRIES):
                    await asyncio.sleep(self.backoff.failed(self.last_failure, ended_at))
                else:
                    self._watch_task = None  # over, for whom it tells
                    self.on_failed()
                    return
        finally:
            if channel not in calls.values():
                channel.close()

    def _since_version(self) -> int | None:
        """The version from which changes are asked for."""
        return self.history.ask_from if self.moving and self.version is not None else self.version

    def _shortened(self, duration: float, jitter: float) -> float:
        return duration * (1 - jitter * self.random.random())

    async def _run_fetch(self) -> None:
        channel = Channel()
        try:
            if not await self._make_call(
                channel, CALL_TIMEOUT, DiscoveryCall(time.monotonic(), is_watch=False)
            ):
                self.on_failed()
        finally:
            channel.close()

    async def _run_verification(self) -> None:
        """Asks for the whole list in time of leisure, until it comes."""
        received = False
        while not received:
            await asyncio.sleep(VERIFY_DELAY + VERIFY_SPREAD * self.random.random())
            channel = Channel()
            try:
                received = await self._make_call(
                    channel, CALL_TIMEOUT, DiscoveryCall(time.monotonic(), is_watch=False)
                )
            finally:
                channel.close()

    async def _make_call(self, channel: Channel, timeout: float, call: DiscoveryCall) -> bool:
        """Whatever goes wrong ends this call only: a watch that ended untold would never be renewed."""
        lists_before, held_version = self.lists_received, self.version
        try:
            code, body = await channel.get(self.address, request_target(call), timeout)
            if code != 200:
                raise ValueError(f"status {code}")
            listing = read_listing(json.loads(body), self.start_times)
            now = time.monotonic()
            waited = now - call.started_at
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
            # What goes on with a watch is written when something changes; any other call in its turn.
            listing.written_after = (
                max(call.started_at, now - MAX_READ_DELAY) if call.continued else call.started_at
            )
            listing.ends_watch = call is self.newest_call
            listing.queue_time = self._queue_time(listing, call, waited)
            self.on_list(listing)
        except Exception as error:
            error_text = str(error) or type(error).__name__
            waited = time.monotonic() - call.started_at
            self.last_failure = classify_failure(
                error, channel.request_sent, waited, call.continued, call.previous_unqueued
            )
            log.warning(
                "discovery_failed", discovery="{}:{}".format(*self.address), fault=error_text, waited_s=waited,
                held=held_version, evidence=self.last_failure.value, continued=call.continued,
            )  # fmt: skip
            return False
        log.info(
            "list_taken", version=listing.version, held=held_version, whole=listing.full,
            entries=len(listing.backends), answered_bytes=len(body), waited_s=waited,
        )  # fmt: skip
        self._accept_list(listing, call, now)
        return True

    def _continues_history(self, listing: Listing) -> bool:
        """Whether this first list of a new address can be used with the one that is held."""
        servers = [listed.entry.server for listed in listing.backends]
        if listing.full or self.history.goes_on_with(listing.version, servers):
            return True
        log.warning(
            "discovery_differs", discovery="{}:{}".format(*self.address), version=listing.version,
            held=self.history.version, effect="the whole list is asked for",
        )  # fmt: skip
        return False

    def _queue_time(self, listing: Listing, call: DiscoveryCall, waited: float) -> float | None:
        """How long discovery took over a call, as far as it can be told from its hold."""
        if call.continued:
            return None
        unchanged = call.since_version is not None and not listing.backends
        return waited - call.hold if unchanged else waited

    def _accept_list(self, listing: Listing, call: DiscoveryCall, now: float) -> None:
        self.lists_received += 1
        self.version = listing.version
        self.backoff.succeeded(listing.queue_time)
        if self.moving:
            self.moving = False
            if not listing.full and not self.history.comparable:
                self._verification_task = asyncio.get_running_loop().create_task(self._run_verification())
        servers = [listed.entry.server for listed in listing.backends]
        self.history.told(None if listing.full else call.since_version, listing.version, servers)
        if call.is_watch:
            self.last_answer_at = now
            self.last_answer_unqueued = listing.queue_time is not None and listing.queue_time <= AT_ONCE
            self.confirmed = True


def request_target(call: DiscoveryCall) -> str:
    """The path and query of a call."""
    if call.since_version is None:
        return "/v1/servers"
    return f"/v1/servers?from={call.since_version}&hold_ms={call.hold * 1000:.0f}"
