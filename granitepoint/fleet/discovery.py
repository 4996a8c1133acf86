"""Simulated discovery service with a limited capacity.

As in the specification PROTOCOL, it answers with full lists or with changes, and holds watches.
A watch is a call that names the version that the proxy has; it is answered when the list changes, or when its
hold time is over. The proxy continues the watch with its next call.

Each proxy gets an endpoint (address) of its own, so that its calls and bytes can be counted although the
calls don't name the proxy, and so that the proxies of one zone can be partitioned from discovery.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from urllib.parse import parse_qs

import msgspec

from granitepoint.fleet.experiment import DiscoverySizes
from granitepoint.fleet.wire import Listener, Message, Peer

MAX_WATCH_GAP_S = 0.2  # between an answer and the next call, if the call is to continue the watch
MAX_HOLD_S = 60.0  # a watch is held for at most this time, whatever the call asks for
TIMELINE_SLOT_S = 0.1  # calls are counted by slots of this length


class ListedBackend(msgspec.Struct):
    """An entry of a server list, as it is sent to proxies.

    `address` is empty until an answer is encoded: each region has an address of its own for a backend.
    """

    name: str
    address: str
    zone: str
    type: str
    group: int
    status: str
    weight: float
    since_ms: int  # wall-clock time of its last return to the list; 0: listed from the start


class ServiceList:
    """The versioned list of one service's backends, with its recent changes."""

    def __init__(self, kept_changes: int, first_version: int = 1) -> None:
        self.version = first_version
        self.entries: dict[str, ListedBackend] = {}
        self.addresses: dict[str, list[str]] = {}  # backend name: its address for each region
        # The recent changes: version and names of the changed backends.
        self.changes: deque[tuple[int, list[str]]] = deque(maxlen=kept_changes)
        self.removed: dict[str, ListedBackend] = {}
        self.changed_at: dict[int, float] = {}  # monotonic, by version
        # Cache for the current version: the version that the proxy has (-1 for a full list) and its region.
        self.encoded_answers: dict[tuple[int, int], bytes] = {}

    def add(self, entry: ListedBackend, addresses: list[str]) -> None:
        """Adds a backend to the first version; `addresses` has one for each region."""
        self.entries[entry.name] = entry
        self.addresses[entry.name] = addresses

    def change(self, names: Iterable[str], status: str = "", weight: float = 0.0, since_ms: int = 0) -> int:
        """Changes these backends in one new version and returns it; "" and 0 leave a field as it is."""
        self.version += 1
        self.encoded_answers.clear()
        self.changed_at[self.version] = time.monotonic()
        changed_names = list(names)
        self.changes.append((self.version, changed_names))
        for name in changed_names:
            entry = self.entries.get(name) or self.removed.pop(name)
            entry.status = status or entry.status
            entry.weight = weight or entry.weight
            entry.since_ms = since_ms or entry.since_ms
            if entry.status == "Gone":
                self.removed[name] = entry
                self.entries.pop(name, None)
            else:
                self.entries[name] = entry
        return self.version

    def has_changes_since(self, version: int) -> bool:
        """Whether this version exists and all changes after it are still kept."""
        if version > self.version or version < 1:
            return False
        return version == self.version or bool(self.changes and self.changes[0][0] <= version + 1)

    def answer(self, version: int | None, region: int) -> tuple[bytes, int, bool]:
        """Returns the encoded changes since a version, or the full list if they are not kept.

        The result is the body, its number of entries, and whether it is a full list. A version of None
        requests a full list.
        """
        full = version is None or not self.has_changes_since(version)
        key = (-1 if full or version is None else version, region)
        if full:
            entries = list(self.entries.values())
        else:
            names = dict.fromkeys(
                name
                for change_version, changed_names in self.changes
                if change_version > (version or 0)
                for name in changed_names
            )
            entries = [self.entries.get(name) or self.removed[name] for name in names]
        if key not in self.encoded_answers:
            listed = [
                msgspec.structs.replace(entry, address=self.addresses[entry.name][region])
                for entry in entries
            ]
            self.encoded_answers[key] = msgspec.json.encode(
                {"index": self.version, "snapshot": full, "endpoints": listed}
            )
        return self.encoded_answers[key], len(entries), full


@dataclass(slots=True)
class CallCounts:
    """Calls of one proxy to discovery, and the answers that it got."""

    calls: int = 0
    whole_lists: int = 0
    changes: int = 0  # answers with changed entries
    entries: int = 0
    empty: int = 0  # answers without entries
    refused: int = 0
    watches_begun: int = 0
    renewed: int = 0  # calls that continued an earlier watch (see MAX_WATCH_GAP_S)
    notified_at: dict[int, float] = field(default_factory=dict)  # version: monotonic time of its first answer


class WorkQueue:
    """Computes when a server that does one piece of work after another, in order of arrival, is done."""

    def __init__(self, max_wait: float) -> None:
        self.max_wait = max_wait  # s
        self.free_at = 0.0  # monotonic time at which all accepted work is done
        self.busy_time = 0.0  # total duration of the accepted work, s

    def schedule(self, now: float, duration: float) -> float | None:
        """Adds work of `duration` seconds and returns the time at which it will be done.

        Returns None, and adds nothing, if it would have to wait for longer than `max_wait`.
        """
        begin = max(now, self.free_at)
        if begin - now > self.max_wait:
            return None
        self.free_at = begin + duration
        self.busy_time += duration
        return self.free_at


class DiscoveryEndpoint:
    """The address at which one proxy calls discovery, with its open watches and counts."""

    def __init__(
        self, discovery: Discovery, name: str, service_list: ServiceList, zone: str, region: int, host: str
    ) -> None:
        self.discovery, self.name, self.service_list, self.zone, self.region = (
            discovery, name, service_list, zone, region
        )  # fmt: skip
        self.listener = Listener(self, host)
        self.counts = CallCounts()
        # The open watches: the version that the proxy has, and the timer that ends the hold.
        self.watches: dict[Peer, tuple[int, asyncio.TimerHandle]] = {}
        self.watch_continues_until = 0.0  # monotonic; a call that arrives by then continues the watch
        self.oldest_version = 0  # always 0, not used

    def on_connect(self, peer: Peer) -> None:
        """Implements ConnectionHandler: nothing to do."""
        pass

    def on_disconnect(self, peer: Peer) -> None:
        """Implements ConnectionHandler: a closed connection ends its watch."""
        watch = self.watches.pop(peer, None)
        if watch is not None:
            watch[1].cancel()

    def on_request(self, peer: Peer, message: Message) -> None:
        """Implements ConnectionHandler: schedules the answer to a call, or holds the call as a watch."""
        path, _, query = message.target.partition("?")
        self.counts.calls += 1
        self.discovery.calls_by_slot[
            int((message.received_at - self.discovery.started_at) / TIMELINE_SLOT_S)
        ] += 1
        if path != "/v1/servers" or message.method != "GET":
            peer.answer(404)
            return
        try:
            parameters = {key: int(values[0]) for key, values in parse_qs(query).items()}
        except ValueError:
            peer.answer(400)
            return
        version = parameters.get("from")
        if version is None:
            self._schedule_answer(peer, None)
            return
        if message.received_at <= self.watch_continues_until or self.watches:
            self.counts.renewed += 1
        else:
            self.counts.watches_begun += 1
        hold = min(parameters.get("hold_ms", 0) / 1000, MAX_HOLD_S)
        if version != self.service_list.version or hold <= 0:
            self._schedule_answer(peer, version)
        else:
            hold_timer = asyncio.get_running_loop().call_later(hold, self._on_hold_expired, peer)
            self.watches[peer] = (version, hold_timer)
            self.discovery.work_queue.schedule(message.received_at, self.discovery.service_time(0))

    def _on_hold_expired(self, peer: Peer) -> None:
        version, _ = self.watches.pop(peer)
        self._schedule_answer(peer, version)

    def on_change(self) -> None:
        """Schedules an answer to each open watch."""
        watches, self.watches = self.watches, {}
        for peer, (version, hold_timer) in watches.items():
            hold_timer.cancel()
            self._schedule_answer(peer, version)

    def _schedule_answer(self, peer: Peer, version: int | None) -> None:
        now = time.monotonic()
        _, entries, _ = self.service_list.answer(version, self.region)
        due = self.discovery.work_queue.schedule(now, self.discovery.service_time(entries))
        loop = asyncio.get_running_loop()
        if due is None:
            loop.call_later(self.discovery.work_queue.max_wait, self._refuse, peer)
        else:
            loop.call_later(due - now, self._write, peer, version)

    def _refuse(self, peer: Peer) -> None:
        self.counts.refused += peer.answer(503)

    def _write(self, peer: Peer, version: int | None) -> None:
        body, entries, full = self.service_list.answer(version, self.region)
        if not peer.answer(200, body):
            return
        now = time.monotonic()
        counts = self.counts
        counts.entries += entries
        if full:
            counts.whole_lists += 1
        elif entries:
            counts.changes += 1
        else:
            counts.empty += 1
        counts.notified_at.setdefault(self.service_list.version, now)
        if version is not None:
            self.watch_continues_until = now + MAX_WATCH_GAP_S

    def end_watches(self) -> None:
        """Drops all watches, as when discovery goes down."""
        for _, hold_timer in self.watches.values():
            hold_timer.cancel()
        self.watches.clear()
        self.watch_continues_until = 0.0


class Discovery:
    """The simulated discovery service, with one server list for each service."""

    def __init__(self, sizes: DiscoverySizes) -> None:
        self.sizes = sizes
        self.work_queue = WorkQueue(sizes.patience_s)
        self.service_lists: list[ServiceList] = []
        self.endpoints: dict[str, DiscoveryEndpoint] = {}  # by proxy name
        self.started_at = time.monotonic()
        self.calls_by_slot: Counter[int] = Counter()  # slots of TIMELINE_SLOT_S from `started_at`

    def service_time(self, entries: int) -> float:
        """Returns the seconds of simulated work for an answer with this many entries."""
        return 1 / self.sizes.capacity_per_s + entries * self.sizes.entry_us * 1e-6

    def add_endpoint(self, name: str, service: int, zone: str, region: int, host: str) -> DiscoveryEndpoint:
        """Opens the endpoint of one proxy; `service` is the index of the list that the proxy reads."""
        endpoint = self.endpoints[name] = DiscoveryEndpoint(
            self, name, self.service_lists[service], zone, region, host
        )
        endpoint.listener.open()
        return endpoint

    def change(
        self, service: int, names: Iterable[str], status: str = "", weight: float = 0.0, since_ms: int = 0
    ) -> int:
        """Changes a service's list (see ServiceList.change), answers its watches and returns the version."""
        service_list = self.service_lists[service]
        version = service_list.change(names, status, weight, since_ms)
        for endpoint in self.endpoints.values():
            if endpoint.service_list is service_list and not endpoint.listener.partitioned:
                endpoint.on_change()
        return version

    def down(self) -> None:
        """Stops the service: watches end, and connections are reset and refused."""
        for endpoint in self.endpoints.values():
            endpoint.end_watches()
            endpoint.listener.refuse()
        self.work_queue.free_at = 0.0

    def up(self) -> None:
        """Starts the service again, at the same addresses."""
        for endpoint in self.endpoints.values():
            endpoint.listener.open()

    def partition(self, zones: Iterable[str]) -> None:
        """Makes the endpoints of the proxies in these zones unreachable."""
        partitioned = set(zones)
        for endpoint in self.endpoints.values():
            if endpoint.zone in partitioned:
                endpoint.listener.partition()

    def heal(self) -> None:
        """Ends all partitions."""
        for endpoint in self.endpoints.values():
            endpoint.listener.heal()
