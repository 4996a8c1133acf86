"""A discovery service that fails on command, and computes when each change counts as notified to a proxy.

From that time on, the rules require that the proxy complies with the change, even if it never received it.
Each proxy calls discovery at an address of its own (an endpoint), which tells whose call it is. The protocol
specification (PROTOCOL) describes the calls: full lists, and watches that are held until something changes.
"""

from __future__ import annotations

import asyncio
import json
import math
import time
from dataclasses import dataclass, field, replace
from enum import Enum
from urllib.parse import parse_qs

from granitepoint.fleet.wire import Listener, Message, Peer

# Seconds until 503 in mode FAILING_LATE, and until a call fails in the queue of an overloaded service.
FAILURE_DELAY = 2.0
# Seconds; a change counts as notified once discovery had it, and was reachable, for this long.
NOTIFIED_AFTER = 6.0
# Seconds after SIGHUP from which everything that discovery has at the new address counts as notified.
NOTIFIED_AFTER_MOVE = 4.0
# Seconds after the end of its hold from which everything that a silent watch missed counts as notified.
NOTIFIED_AFTER_HOLD = 2.0
MAX_HOLD = 60.0  # seconds; a watch is held no longer, whatever the proxy asks for


class Mode(Enum):
    """How discovery treats a call."""

    ANSWERING = "answering"  # answers one call after another, at most `calls_per_s`
    REFUSING = "refusing"  # nothing listens, and open connections are reset
    RESETTING = "resetting"  # each call is reset at once
    FAILING_IMMEDIATELY = "failing at once"  # 503
    FAILING_LATE = "failing late"  # 503 after FAILURE_DELAY
    SILENT = "silent"  # calls are accepted and never answered


REACHABLE_MODES = frozenset((Mode.ANSWERING, Mode.FAILING_LATE, Mode.SILENT))
WATCH_ENDING_MODES = frozenset((Mode.REFUSING, Mode.RESETTING, Mode.FAILING_IMMEDIATELY, Mode.FAILING_LATE))


@dataclass(slots=True)
class Entry:
    """A server in the list. The fields are the keys of the JSON entry."""

    name: str
    address: str
    status: str = "Ready"  # Ready, Terminating or Gone
    since_ms: int = 0
    zone: str = "a"
    type: str = "m"  # kind of server
    group: int = 0  # cell
    weight: float = 1.0


@dataclass(slots=True)
class Change:
    """One version of the list, with the entries that it changed. Times are monotonic, in seconds."""

    version: int
    made_at: float
    entries: list[Entry]


@dataclass(slots=True)
class Watch:
    """A call that is held until something changes, or until its hold ends. Times are in seconds."""

    version: int
    started_at: float  # monotonic
    hold: float
    end_timer: asyncio.TimerHandle


class DiscoveryEndpoint:
    """The address at which one proxy calls discovery, with the record of the lists that were sent there."""

    def __init__(self, discovery: Discovery) -> None:
        self.discovery = discovery
        self.listener = Listener(self, "127.0.0.1")
        self.listener.open()
        self.watches: dict[Peer, Watch] = {}
        self.silent_watches: dict[Peer, tuple[Watch, float]] = {}  # with the time since which they are silent
        self.sent_versions: list[tuple[float, int]] = []  # time and version of each list that was sent
        self.call_count = 0
        self.moved_at = math.inf  # when a new configuration pointed the proxy to this address

    @property
    def address(self) -> str:
        """Host and port, as "host:port"."""
        return self.listener.address

    def on_connect(self, peer: Peer) -> None:
        pass

    def on_disconnect(self, peer: Peer) -> None:
        """Removes the watch of a connection that was closed."""
        self.silent_watches.pop(peer, None)
        watch = self.watches.pop(peer, None)
        if watch is not None:
            watch.end_timer.cancel()

    def on_request(self, peer: Peer, message: Message) -> None:
        """Reads the version and the hold time from a call and passes it on to discovery."""
        self.call_count += 1
        query = parse_qs(message.target.partition("?")[2])
        version = int(query["from"][0]) if "from" in query else None
        hold = min(float(query.get("hold_ms", ["0"])[0]) / 1000, MAX_HOLD)
        self.discovery.on_call(self, peer, version, hold)

    def hold_watch(self, peer: Peer, version: int, hold: float) -> None:
        """Holds a call until something changes, for `hold` seconds at most."""
        loop = asyncio.get_running_loop()
        end_timer = loop.call_later(hold, self._on_hold_expired, peer)
        self.watches[peer] = Watch(version, time.monotonic(), hold, end_timer)

    def _on_hold_expired(self, peer: Peer) -> None:
        watch = self.watches.pop(peer)
        self.discovery.enqueue_answer(self, peer, watch.version)

    def on_change(self) -> None:
        """Answers all watches."""
        watches, self.watches = self.watches, {}
        for peer, watch in watches.items():
            watch.end_timer.cancel()
            self.discovery.enqueue_answer(self, peer, watch.version)

    def end_watches(self, mode: Mode) -> None:
        """Ends all watches as the new mode requires: silently, by a reset or with 503."""
        watches, self.watches = self.watches, {}
        for peer, watch in watches.items():
            watch.end_timer.cancel()
            if mode is Mode.SILENT:
                self.silent_watches[peer] = watch, time.monotonic()
            elif mode in (Mode.REFUSING, Mode.RESETTING):
                peer.abort()
            else:
                peer.answer(503)

    def send_list(self, peer: Peer, since_version: int | None) -> None:
        """Answers with the changes since a version, or with the full list if it is None, and records that."""
        if peer.answer(200, self.discovery.encode_list(since_version)):
            self.sent_versions.append((time.monotonic(), self.discovery.version))


@dataclass(slots=True)
class Discovery:
    """The discovery service of all proxies, with the history of its changes and modes."""

    entries: dict[str, Entry] = field(default_factory=dict)
    # Capacity in mode ANSWERING. A call that waits in the queue for too long and gets 503 takes as much of it
    # as an answered one.
    calls_per_s: float = math.inf
    version: int = 1
    mode: Mode = Mode.ANSWERING
    changes: list[Change] = field(default_factory=list)
    modes: list[tuple[float, Mode]] = field(default_factory=list)  # each with the monotonic time of its start
    endpoints: list[DiscoveryEndpoint] = field(default_factory=list)
    queue_free_at: float = 0.0  # monotonic time at which all queued calls will have been handled

    def add_endpoint(self) -> DiscoveryEndpoint:
        """Opens one more address, or reserves it if discovery refuses connections at the moment."""
        endpoint = DiscoveryEndpoint(self)
        self.endpoints.append(endpoint)
        if self.mode is Mode.REFUSING:
            endpoint.listener.refuse()
        return endpoint

    def close(self) -> None:
        """Resets all connections and closes all addresses."""
        for endpoint in self.endpoints:
            endpoint.end_watches(Mode.REFUSING)
            endpoint.listener.refuse()

    def set_mode(self, mode: Mode) -> None:
        """Changes how calls are treated, from now on and for the watches that are open."""
        if mode is self.mode:
            return
        before, self.mode = self.mode, mode
        self.modes.append((time.monotonic(), mode))
        self.queue_free_at = 0.0
        for endpoint in self.endpoints:
            if mode in WATCH_ENDING_MODES or mode is Mode.SILENT:
                endpoint.end_watches(mode)
            if mode is Mode.REFUSING:
                endpoint.listener.refuse()
            elif before is Mode.REFUSING:
                endpoint.listener.open()

    def set_status(self, status: str, *names: str, since_ms: int | None = None) -> Change:
        """Sets the status of servers, and their start time if given, in a single new version of the list.

        `since_ms`: the start time on the wall clock, in milliseconds.
        """
        self.version += 1
        changed = []
        for name in names:
            entry = self.entries[name]
            entry.status = status
            entry.since_ms = entry.since_ms if since_ms is None else since_ms
            changed.append(replace(entry))
        change = Change(self.version, time.monotonic(), changed)
        self.changes.append(change)
        if self.mode is Mode.ANSWERING:
            for endpoint in self.endpoints:
                endpoint.on_change()
        return change

    def encode_list(self, since_version: int | None) -> bytes:
        """Encodes the changes since a version as JSON. If the version is None or newer than the list, encodes
        the full list, without the servers that are gone."""
        full = since_version is None or since_version > self.version
        if full:
            listed = [entry for entry in self.entries.values() if entry.status != "Gone"]
        else:
            names = {e.name for c in self.changes if c.version > (since_version or 0) for e in c.entries}
            listed = [self.entries[name] for name in sorted(names)]
        encoded_entries = [{name: getattr(entry, name) for name in Entry.__slots__} for entry in listed]
        return json.dumps({"index": self.version, "snapshot": full, "endpoints": encoded_entries}).encode()

    def on_call(
        self, endpoint: DiscoveryEndpoint, peer: Peer, since_version: int | None, hold: float
    ) -> None:
        """Treats a call as the present mode requires. `hold`: seconds for which a watch may be held."""
        loop = asyncio.get_running_loop()
        if self.mode is Mode.ANSWERING:
            if since_version == self.version and hold > 0:
                endpoint.hold_watch(peer, since_version, hold)
            else:
                self.enqueue_answer(endpoint, peer, since_version)
        elif self.mode is Mode.FAILING_IMMEDIATELY:
            peer.answer(503)
        elif self.mode is Mode.FAILING_LATE:
            loop.call_later(FAILURE_DELAY, peer.answer, 503)
        elif self.mode is Mode.RESETTING:
            peer.abort()

    def enqueue_answer(self, endpoint: DiscoveryEndpoint, peer: Peer, since_version: int | None) -> None:
        """Answers a call after the queued ones, or with 503 if it would wait longer than FAILURE_DELAY."""
        now = time.monotonic()
        start = max(now, self.queue_free_at)
        self.queue_free_at = start + (1 / self.calls_per_s if self.calls_per_s < math.inf else 0.0)
        loop = asyncio.get_running_loop()
        if start - now > FAILURE_DELAY:
            loop.call_later(FAILURE_DELAY, peer.answer, 503)
        else:
            loop.call_later(self.queue_free_at - now, self._send_answer, endpoint, peer, since_version)

    def _send_answer(self, endpoint: DiscoveryEndpoint, peer: Peer, since_version: int | None) -> None:
        if self.mode is Mode.ANSWERING:
            endpoint.send_list(peer, since_version)
        elif self.mode is not Mode.SILENT:
            peer.answer(503)

    def reachable_from(self, earliest: float) -> float:
        """Returns the first time, `earliest` or later, from which discovery was reachable for NOTIFIED_AFTER
        without interruption; infinity if there has been none so far. Times are monotonic, in seconds."""
        reachable_since = -math.inf
        reachable = True
        for at, mode in [*self.modes, (time.monotonic(), None)]:
            if reachable and at - max(reachable_since, earliest) >= NOTIFIED_AFTER:
                return max(reachable_since, earliest)
            if mode is not None:
                now_reachable = mode in REACHABLE_MODES
                if now_reachable and not reachable:
                    reachable_since = at
                reachable = now_reachable
        return math.inf

    def notified_at(self, endpoint: DiscoveryEndpoint, change: Change) -> float:
        """Returns the monotonic time from which a change counts as notified to the proxy of an endpoint.

        That is the first of three times: a list with the change was sent there; discovery has been reachable
        for NOTIFIED_AFTER, or for longer if a silent watch missed the change; NOTIFIED_AFTER_MOVE has passed
        since the proxy was moved to this address. The last two don't depend on whether the proxy's calls were
        answered. Infinity: not notified so far.
        """
        sent_times = [at for at, version in endpoint.sent_versions if version >= change.version]
        notified_at = self.reachable_from(change.made_at) + NOTIFIED_AFTER
        for watch, silent_since in endpoint.silent_watches.values():
            missed = silent_since <= change.made_at
            if missed:
                notified_at = max(
                    notified_at,
                    silent_since + NOTIFIED_AFTER,
                    watch.started_at + watch.hold + NOTIFIED_AFTER_HOLD,
                )
        if change.made_at <= endpoint.moved_at + NOTIFIED_AFTER_MOVE:
            notified_at = min(notified_at, endpoint.moved_at + NOTIFIED_AFTER_MOVE)
        return min([notified_at, *sent_times])
