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
from granitepoint.membership.evidence import IMMEDIATE_FAILURE_TIME, Failure
from granitepoint.membership.list_lease import MAX_WATCH_GAP, NOTIFIED_AFTER_HOLD, NOTIFIED_AFTER_MOVE
from granitepoint.membership.list_lease import NOTIFIED_AFTER as SILENT_TOLD
from granitepoint.membership.start_times import StartTimes
from granitepoint.membership.version_history import VersionHistory
from granitepoint.net.config import Address
from granitepoint.net.discovery_channel import Channel, tell_failure
from granitepoint.net.listing import Listing, read_listing
from granitepoint.net.logs import Events

log = Events(__name__)

RENEW = 18.0  # s after which a watch that has said nothing is asked anew: it may have fallen silent
HOLD_MS = 25_000  # how long a watch may wait; what a silent one misses counts as told 2 s after that
CONFIRM_HOLD_MS = 50  # the same until an answer confirms the list: until then nothing may be sent by it
CONFIRM_WAIT = 3.2  # s after which such a call is silent: in turn and held it takes 2.5 s at most
PATIENCE = 4.0  # s beyond a call's own wait after which it has failed: calls wait in turn
LEAST_SPACING = 0.05  # s between two watches, should discovery answer each at once
PUSH_PAUSE = 0.15  # s between tries to open a watch on pushed lists, which count as told at once
PUSH_JITTER = 0.5  # share by which such a pause may be shorter: all that lost one service would ask in step
HELD_UP = 0.15  # s that an answer may have been on its way, or this process held up, before it is read
MOVE_AGAIN = 3.5  # s after which the first list is asked for once more: the call is silent, not in turn
MOVE_TRIES = 15  # such tries, before the module is told that the call failed
VERIFY_AFTER = 30.0  # s after a move at which a list that nothing could be compared with is asked for whole
VERIFY_SPREAD = 90.0  # s over which the proxies do so
EARLIER = 0.15  # share by which RENEW and MOVE_AGAIN may be shorter, so that none ask in step

Evidence = WatchLost | WatchOpened | DiscoveryFailed


@dataclass(slots=True)
class Ask:
    """One call: when it was begun (monotonic), for how long discovery may hold it, and whether it goes on
    with a watch that had just been answered."""

    begun: float
    hold: float = 0.0
    continued: bool = False
    free: bool = False  # the answer before it had not waited in turn
    since: int | None = None  # the version from which changes were asked for; None: the whole list
    watch: bool = True  # one of a watch's calls, not a list asked for beside it


class Discovery:
    """Asks as the module says, and hands on each list, or that a call failed. Asks nothing by itself, but
    for the next call of a watch that goes on, and where lists are pushed: there the module never asks, and
    a watch that ends is opened again at once."""

    def __init__(
        self,
        at: Address,
        version: int,
        on_list: Callable[[Listing], None],
        on_failed: Callable[[], None],
        random: Random,
        pushed: bool = False,
        on_evidence: Callable[[Evidence], None] = lambda evidence: None,
        instances: int = 1,
        starts: StartTimes | None = None,
    ) -> None:
        self.at, self.random, self.pushed = at, random, pushed
        self.version: int | None = version  # None: the whole list is to be asked for
        self.history = VersionHistory(version)
        self.starts = starts or StartTimes()
        self.moving = False  # to another address, of which no list has come yet
        self.on_list, self.on_failed = on_list, on_failed
        self.on_evidence = on_evidence  # told of all that bears on how long the list may be used
        # Of the calls that are made again from here, on a watch or at a new address.
        self.backoff = Backoff(random, instances=instances, phase=random.random())
        self.failure = Failure.SILENT  # how the last call that failed did so
        self.answered_at = -math.inf  # monotonic, of the last answer with a list
        self.answered_free = False  # it had not waited in turn
        self.newest: Ask | None = None  # the last call of a watch
        self.confirmed = False  # a list has come since the watch was lost
        self.lists = 0  # taken so far
        self._watch: asyncio.Task[None] | None = None
        self._asks: dict[asyncio.Task[bool], Channel] = {}  # of the watch, the one before still among them
        self._fetches: set[asyncio.Task[None]] = set()
        self._verification: asyncio.Task[None] | None = None

    def watch(self, on: bool) -> None:
        """A call that is out stays beside the new one: discovery may be writing its answer, which counts as
        told, or may soon come to it, and the new one waits its turn anew. A watch that has no list of its
        address yet goes on as it is: it asks again by itself, and begun anew it would ask twice."""
        if on and self.moving and self._watch is not None and not self._watch.done():
            return
        self.confirmed = False  # asked anew: until the answer comes it is no watch that goes on
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None
        if not on:
            self._end_asks()
        else:
            self._watch = asyncio.get_running_loop().create_task(self._watching())

    def move(self, at: Address) -> None:
        """Another address of discovery from now on. What the old one may still say is not heard. The new one
        is asked at once for what has changed: all proxies move together, and whole lists for all of them
        would take longer than the time in which changes count as told."""
        self.stop()
        self._lose(NOTIFIED_AFTER_MOVE, moved=True)
        self.at, self.moving, self.version = at, True, self.history.version
        self.answered_at = -math.inf  # the answer was the other address's
        self.watch(True)

    def _lose(self, told_within: float = math.inf, moved: bool = False, silent: bool = False) -> None:
        self.confirmed = False
        self.on_evidence(WatchLost(told_within, moved, silent))

    def fetch(self) -> None:
        task = asyncio.get_running_loop().create_task(self._fetching())
        self._fetches.add(task)
        task.add_done_callback(self._fetches.discard)

    def stop(self) -> None:
        self._end_asks()
        for task in (self._watch, self._verification, *self._fetches):
            if task is not None:
                task.cancel()
        self._watch = self._verification = None

    def _end_asks(self) -> None:
        for ask in self._asks:
            ask.cancel()
        self._asks.clear()

    async def _watching(self) -> None:
        """Call after call. Silence looks like a list that does not change, so no watch is waited for longer
        than RENEW: the next call goes out beside it, early enough to be tried again before what a silent one
        missed counts as told. The one before stays until it ends, for it may be the one that is told."""
        loop = asyncio.get_running_loop()
        asks = self._asks
        channel, tries = Channel(), 0
        try:
            while True:
                begun, first = loop.time(), self.moving
                hold = (HOLD_MS if self.confirmed else CONFIRM_HOLD_MS) / 1000
                silent_after = MOVE_AGAIN if first else RENEW if self.confirmed else CONFIRM_WAIT
                continued = time.monotonic() - self.answered_at <= MAX_WATCH_GAP
                ask = Ask(time.monotonic(), hold, continued, self.answered_free, self._since())
                self.newest = ask
                if not first:
                    self.on_evidence(WatchOpened(ask.begun, hold))
                newest = loop.create_task(self._ask(channel, hold + PATIENCE, ask))
                asks[newest] = channel
                await asyncio.wait([newest], timeout=self._sooner(silent_after, EARLIER))
                for older in [older for older in asks if older.done() and older is not newest]:
                    asks.pop(older).close()
                tries = tries + 1 if self.moving else 0
                if not newest.done():
                    self._lose(begun + max(SILENT_TOLD, hold + NOTIFIED_AFTER_HOLD) - loop.time(), silent=True)
                    channel = Channel()
                    continue
                del asks[newest]
                if newest.result():
                    await asyncio.sleep(max(0.0, begun + LEAST_SPACING - loop.time()))
                    continue
                self._lose()
                ended = time.monotonic()
                self.on_evidence(DiscoveryFailed(self.failure, ask.begun, ended, older_call_open=bool(asks)))
                if self.pushed:
                    await asyncio.sleep(self._sooner(PUSH_PAUSE, PUSH_JITTER))
                elif asks or (first and tries < MOVE_TRIES):
                    await asyncio.sleep(self.backoff.failed(self.failure, ended))
                else:
                    self._watch = None  # over, for whom it tells
                    self.on_failed()
                    return
        finally:
            if channel not in asks.values():
                channel.close()

    def _since(self) -> int | None:
        """The version from which changes are asked for."""
        return self.history.request_from if self.moving and self.version is not None else self.version

    def _sooner(self, most: float, share: float) -> float:
        return most * (1 - share * self.random.random())

    async def _fetching(self) -> None:
        channel = Channel()
        try:
            if not await self._ask(channel, PATIENCE, Ask(time.monotonic(), watch=False)):
                self.on_failed()
        finally:
            channel.close()

    async def _verifying(self) -> None:
        """Asks for the whole list in time of leisure, until it comes."""
        listed = False
        while not listed:
            await asyncio.sleep(VERIFY_AFTER + VERIFY_SPREAD * self.random.random())
            channel = Channel()
            try:
                listed = await self._ask(channel, PATIENCE, Ask(time.monotonic(), watch=False))
            finally:
                channel.close()

    async def _ask(self, channel: Channel, timeout: float, ask: Ask) -> bool:
        """Whatever goes wrong ends this call only: a watch that ended untold would never be renewed."""
        lists, held = self.lists, self.version
        try:
            code, body = await channel.get(self.at, target(ask), timeout)
            if code != 200:
                raise ValueError(f"status {code}")
            listing = read_listing(json.loads(body), self.starts)
            now = time.monotonic()
            waited = now - ask.begun
            if lists != self.lists and self.version is not None and listing.version < self.version:
                log.info("list_dropped", version=listing.version, held=self.version, waited_s=waited)
                return True
            if self.moving and not self._goes_on(listing):
                self.version = None
                return True
            # What goes on with a watch is written when something changes; any other call in its turn.
            listing.written_after = max(ask.begun, now - HELD_UP) if ask.continued else ask.begun
            listing.ends_watch = ask is self.newest
            listing.turn = self._turn(listing, ask, waited)
            self.on_list(listing)
        except Exception as fault:
            told = str(fault) or type(fault).__name__
            waited = time.monotonic() - ask.begun
            self.failure = tell_failure(fault, channel.asked, waited, ask.continued, ask.free)
            log.warning(
                "discovery_failed", discovery="{}:{}".format(*self.at), fault=told, waited_s=waited,
                held=held, evidence=self.failure.value, continued=ask.continued,
            )  # fmt: skip
            return False
        log.info(
            "list_taken", version=listing.version, held=held, whole=listing.whole,
            entries=len(listing.backends), answered_bytes=len(body), waited_s=waited,
        )  # fmt: skip
        self._take(listing, ask, now)
        return True

    def _goes_on(self, listing: Listing) -> bool:
        """Whether this first list of a new address can be used with the one that is held."""
        servers = [listed.entry.server for listed in listing.backends]
        if listing.whole or self.history.is_continued_by(listing.version, servers):
            return True
        log.warning(
            "discovery_differs", discovery="{}:{}".format(*self.at), version=listing.version,
            held=self.history.version, effect="the whole list is asked for",
        )  # fmt: skip
        return False

    def _turn(self, listing: Listing, ask: Ask, waited: float) -> float | None:
        """How long discovery took over a call, as far as it can be told from its hold."""
        if ask.continued:
            return None
        unchanged = ask.since is not None and not listing.backends
        return waited - ask.hold if unchanged else waited

    def _take(self, listing: Listing, ask: Ask, now: float) -> None:
        self.lists += 1
        self.version = listing.version
        self.backoff.succeeded(listing.turn)
        if self.moving:
            self.moving = False
            if not listing.whole and not self.history.comparable:
                self._verification = asyncio.get_running_loop().create_task(self._verifying())
        servers = [listed.entry.server for listed in listing.backends]
        self.history.record(None if listing.whole else ask.since, listing.version, servers)
        if ask.watch:
            self.answered_at = now
            self.answered_free = listing.turn is not None and listing.turn <= IMMEDIATE_FAILURE_TIME
            self.confirmed = True


def target(ask: Ask) -> str:
    """The path and query of a call."""
    if ask.since is None:
        return "/v1/servers"
    return f"/v1/servers?from={ask.since}&hold_ms={ask.hold * 1000:.0f}"
