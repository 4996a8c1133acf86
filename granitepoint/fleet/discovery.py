"""The discovery stand-in: whole lists and watches as PROTOCOL has them, in turn at a stated capacity.

Each proxy gets an address of its own to ask at, so that calls and bytes are counted for each without any mark
in the call, and so that a zone can be cut off.
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

RENEWAL = 0.2  # s after an answer within which the next call goes on with the same watch
LONGEST_HOLD = 60.0  # s
SLOT = 0.1  # s of the timeline of calls


class Endpoint(msgspec.Struct):
    """A backend as listed. The address is that of the reader's region."""

    name: str
    address: str
    zone: str
    type: str
    group: int
    status: str
    weight: float
    since_ms: int


class Book:
    """One service's list, with its versions."""

    def __init__(self, kept_changes: int, first_version: int = 1) -> None:
        self.version = first_version
        self.entries: dict[str, Endpoint] = {}
        self.addresses: dict[str, list[str]] = {}  # by region
        self.log: deque[tuple[int, list[str]]] = deque(maxlen=kept_changes)
        self.gone: dict[str, Endpoint] = {}
        self.made_at: dict[int, float] = {}  # monotonic, of each version
        self.encoded: dict[tuple[int, int], bytes] = {}  # of the present version

    def add(self, entry: Endpoint, addresses: list[str]) -> None:
        self.entries[entry.name] = entry
        self.addresses[entry.name] = addresses

    def change(self, names: Iterable[str], status: str = "", weight: float = 0.0, since_ms: int = 0) -> int:
        """One new version for all of them; returns it."""
        self.version += 1
        self.encoded.clear()
        self.made_at[self.version] = time.monotonic()
        changed = list(names)
        self.log.append((self.version, changed))
        for name in changed:
            entry = self.entries.get(name) or self.gone.pop(name)
            entry.status = status or entry.status
            entry.weight = weight or entry.weight
            entry.since_ms = since_ms or entry.since_ms
            if entry.status == "Gone":
                self.gone[name] = entry
                self.entries.pop(name, None)
            else:
                self.entries[name] = entry
        return self.version

    def knows(self, version: int) -> bool:
        """Whether all changes since then are kept."""
        if version > self.version or version < 1:
            return False
        return version == self.version or bool(self.log and self.log[0][0] <= version + 1)

    def answer(self, version: int | None, region: int) -> tuple[bytes, int, bool]:
        """What has changed since that version, or the whole list; with its number of entries, and whether it
        is the whole one."""
        whole = version is None or not self.knows(version)
        key = (-1 if whole or version is None else version, region)
        if whole:
            entries = list(self.entries.values())
        else:
            names = dict.fromkeys(
                name for made, changed in self.log if made > (version or 0) for name in changed
            )
            entries = [self.entries.get(name) or self.gone[name] for name in names]
        if key not in self.encoded:
            told = [
                msgspec.structs.replace(entry, address=self.addresses[entry.name][region])
                for entry in entries
            ]
            self.encoded[key] = msgspec.json.encode(
                {"index": self.version, "snapshot": whole, "endpoints": told}
            )
        return self.encoded[key], len(entries), whole


@dataclass(slots=True)
class Counts:
    """What one proxy has asked and been told."""

    calls: int = 0
    whole_lists: int = 0
    changes: int = 0  # answers with changed entries
    entries: int = 0
    empty: int = 0
    refused: int = 0
    watches_begun: int = 0
    renewed: int = 0  # a call that went on with a watch
    told: dict[int, float] = field(default_factory=dict)  # version: monotonic time at which it was written


class Turns:
    """One server: what is asked is done one after another."""

    def __init__(self, patience: float) -> None:
        self.patience = patience
        self.free_at = 0.0
        self.busy = 0.0  # s of work in all

    def take(self, now: float, cost: float) -> float | None:
        """When it will be done; None: its turn comes too late, and it is not done."""
        begin = max(now, self.free_at)
        if begin - now > self.patience:
            return None
        self.free_at = begin + cost
        self.busy += cost
        return self.free_at


class Desk:
    """Where one proxy asks: an address, the list that it is told, and its counts."""

    def __init__(self, owner: Discovery, name: str, book: Book, zone: str, region: int, host: str) -> None:
        self.owner, self.name, self.book, self.zone, self.region = owner, name, book, zone, region
        self.listener = Listener(self, host)
        self.counts = Counts()
        self.waits: dict[Peer, tuple[int, asyncio.TimerHandle]] = {}  # watches: version, end of the hold
        self.watching_until = 0.0  # a call that comes by then goes on with the watch
        self.since = 0  # the oldest version that the proxy surely has

    def joined(self, peer: Peer) -> None:
        pass

    def left(self, peer: Peer) -> None:
        wait = self.waits.pop(peer, None)
        if wait is not None:
            wait[1].cancel()

    def asked(self, peer: Peer, message: Message) -> None:
        path, _, query = message.target.partition("?")
        self.counts.calls += 1
        self.owner.timeline[int((message.came - self.owner.began) / SLOT)] += 1
        if path != "/v1/servers" or message.method != "GET":
            peer.answer(404)
            return
        try:
            asked = {key: int(values[0]) for key, values in parse_qs(query).items()}
        except ValueError:
            peer.answer(400)
            return
        version = asked.get("from")
        if version is None:
            self._in_turn(peer, None)
            return
        if message.came <= self.watching_until or self.waits:
            self.counts.renewed += 1
        else:
            self.counts.watches_begun += 1
        hold = min(asked.get("hold_ms", 0) / 1000, LONGEST_HOLD)
        if version != self.book.version or hold <= 0:
            self._in_turn(peer, version)
        else:
            end = asyncio.get_running_loop().call_later(hold, self._held_long_enough, peer)
            self.waits[peer] = (version, end)
            self.owner.turns.take(message.came, self.owner.cost(0))

    def _held_long_enough(self, peer: Peer) -> None:
        version, _ = self.waits.pop(peer)
        self._in_turn(peer, version)

    def changed(self) -> None:
        """What waits is answered, each in its turn."""
        waits, self.waits = self.waits, {}
        for peer, (version, end) in waits.items():
            end.cancel()
            self._in_turn(peer, version)

    def _in_turn(self, peer: Peer, version: int | None) -> None:
        now = time.monotonic()
        _, entries, _ = self.book.answer(version, self.region)
        due = self.owner.turns.take(now, self.owner.cost(entries))
        loop = asyncio.get_running_loop()
        if due is None:
            loop.call_later(self.owner.turns.patience, self._refuse, peer)
        else:
            loop.call_later(due - now, self._write, peer, version)

    def _refuse(self, peer: Peer) -> None:
        self.counts.refused += peer.answer(503)

    def _write(self, peer: Peer, version: int | None) -> None:
        body, entries, whole = self.book.answer(version, self.region)
        if not peer.answer(200, body):
            return
        now = time.monotonic()
        counts = self.counts
        counts.entries += entries
        if whole:
            counts.whole_lists += 1
        elif entries:
            counts.changes += 1
        else:
            counts.empty += 1
        counts.told.setdefault(self.book.version, now)
        if version is not None:
            self.watching_until = now + RENEWAL

    def ended(self) -> None:
        """Watches end when discovery goes down."""
        for _, end in self.waits.values():
            end.cancel()
        self.waits.clear()
        self.watching_until = 0.0


class Discovery:
    """The one service that all proxies ask."""

    def __init__(self, sizes: DiscoverySizes) -> None:
        self.sizes = sizes
        self.turns = Turns(sizes.patience_s)
        self.books: list[Book] = []
        self.desks: dict[str, Desk] = {}
        self.began = time.monotonic()
        self.timeline: Counter[int] = Counter()  # calls that came, by slot

    def cost(self, entries: int) -> float:
        """Seconds of its time that an answer takes."""
        return 1 / self.sizes.capacity_per_s + entries * self.sizes.entry_us * 1e-6

    def add_desk(self, name: str, service: int, zone: str, region: int, host: str) -> Desk:
        desk = self.desks[name] = Desk(self, name, self.books[service], zone, region, host)
        desk.listener.open()
        return desk

    def change(
        self, service: int, names: Iterable[str], status: str = "", weight: float = 0.0, since_ms: int = 0
    ) -> int:
        book = self.books[service]
        version = book.change(names, status, weight, since_ms)
        for desk in self.desks.values():
            if desk.book is book and not desk.listener.cut_off:
                desk.changed()
        return version

    def down(self) -> None:
        for desk in self.desks.values():
            desk.ended()
            desk.listener.refuse()
        self.turns.free_at = 0.0

    def up(self) -> None:
        for desk in self.desks.values():
            desk.listener.open()

    def cut(self, zones: Iterable[str]) -> None:
        cut_off = set(zones)
        for desk in self.desks.values():
            if desk.zone in cut_off:
                desk.listener.cut()

    def heal(self) -> None:
        for desk in self.desks.values():
            desk.listener.heal()
