"""A discovery service that fails in every way on command, and the record that says what counts as told.

Each proxy asks at an address of its own, its desk, so that calls and answers are known by proxy. The wire is
that of PROTOCOL: whole lists, and watches that are held until something changes.
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

FAILS_AFTER = 2.0  # s that a call waits before it fails, in a crowd and where discovery fails late
TOLD_AFTER = 6.0  # s that discovery had a change, and could be reached, from which it counts as told
MOVE_TOLD = 4.0  # s after SIGHUP from which what discovery has at its new address counts as told
HOLD_TOLD = 2.0  # s after the end of its hold from which what a silent watch misses counts as told
LONGEST_HOLD = 60.0  # s


class Mode(Enum):
    """What discovery does with a call."""

    ANSWERING = "answering"  # in turn, at `calls_per_s`
    REFUSING = "refusing"  # nobody listens; what was open is reset
    RESETTING = "resetting"  # each call is reset at once
    FAILING_AT_ONCE = "failing at once"  # 503
    FAILING_LATE = "failing late"  # 503 after FAILS_AFTER
    SILENT = "silent"  # calls are taken and never answered


REACHABLE = frozenset((Mode.ANSWERING, Mode.FAILING_LATE, Mode.SILENT))
ENDS_WATCHES = frozenset((Mode.REFUSING, Mode.RESETTING, Mode.FAILING_AT_ONCE, Mode.FAILING_LATE))


@dataclass(slots=True)
class Entry:
    """A server as it is listed."""

    name: str
    address: str
    status: str = "Ready"  # Ready, Terminating or Gone
    since_ms: int = 0
    zone: str = "a"
    type: str = "m"
    group: int = 0
    weight: float = 1.0


@dataclass(slots=True)
class Change:
    """One version of the list, with the entries that it changed. Times are monotonic, in seconds."""

    version: int
    made_at: float
    entries: list[Entry]


@dataclass(slots=True)
class Watch:
    """A call that is held until something changes."""

    version: int
    begun: float
    hold: float
    end: asyncio.TimerHandle


class Desk:
    """The address at which one proxy asks, and what it was written there."""

    def __init__(self, owner: Discovery) -> None:
        self.owner = owner
        self.listener = Listener(self, "127.0.0.1")
        self.listener.open()
        self.watches: dict[Peer, Watch] = {}
        self.silenced: dict[Peer, tuple[Watch, float]] = {}  # watches that fell silent, and when
        self.written: list[tuple[float, int]] = []  # when, and up to which version
        self.calls = 0
        self.moved_at = math.inf  # when its proxy was sent here by a new configuration

    @property
    def address(self) -> str:
        return self.listener.address

    def on_connect(self, peer: Peer) -> None:
        pass

    def on_disconnect(self, peer: Peer) -> None:
        self.silenced.pop(peer, None)
        watch = self.watches.pop(peer, None)
        if watch is not None:
            watch.end.cancel()

    def on_request(self, peer: Peer, message: Message) -> None:
        self.calls += 1
        query = parse_qs(message.target.partition("?")[2])
        version = int(query["from"][0]) if "from" in query else None
        hold = min(float(query.get("hold_ms", ["0"])[0]) / 1000, LONGEST_HOLD)
        self.owner.take(self, peer, version, hold)

    def hold(self, peer: Peer, version: int, hold: float) -> None:
        loop = asyncio.get_running_loop()
        end = loop.call_later(hold, self._held_long_enough, peer)
        self.watches[peer] = Watch(version, time.monotonic(), hold, end)

    def _held_long_enough(self, peer: Peer) -> None:
        watch = self.watches.pop(peer)
        self.owner.answer_in_turn(self, peer, watch.version)

    def changed(self) -> None:
        watches, self.watches = self.watches, {}
        for peer, watch in watches.items():
            watch.end.cancel()
            self.owner.answer_in_turn(self, peer, watch.version)

    def end_watches(self, mode: Mode) -> None:
        watches, self.watches = self.watches, {}
        for peer, watch in watches.items():
            watch.end.cancel()
            if mode is Mode.SILENT:
                self.silenced[peer] = watch, time.monotonic()
            elif mode in (Mode.REFUSING, Mode.RESETTING):
                peer.abort()
            else:
                peer.answer(503)

    def write(self, peer: Peer, version: int | None) -> None:
        if peer.answer(200, self.owner.listing(version)):
            self.written.append((time.monotonic(), self.owner.version))


@dataclass(slots=True)
class Discovery:
    """The one service that all proxies ask, with the changes and the modes that it went through."""

    entries: dict[str, Entry] = field(default_factory=dict)
    calls_per_s: float = math.inf  # that it can answer; a call that waits for too long costs its time too
    version: int = 1
    mode: Mode = Mode.ANSWERING
    changes: list[Change] = field(default_factory=list)
    modes: list[tuple[float, Mode]] = field(default_factory=list)  # with the time of its beginning
    desks: list[Desk] = field(default_factory=list)
    free_at: float = 0.0

    def open_desk(self) -> Desk:
        desk = Desk(self)
        self.desks.append(desk)
        if self.mode is Mode.REFUSING:
            desk.listener.refuse()
        return desk

    def close(self) -> None:
        for desk in self.desks:
            desk.end_watches(Mode.REFUSING)
            desk.listener.refuse()

    def set_mode(self, mode: Mode) -> None:
        if mode is self.mode:
            return
        before, self.mode = self.mode, mode
        self.modes.append((time.monotonic(), mode))
        self.free_at = 0.0
        for desk in self.desks:
            if mode in ENDS_WATCHES or mode is Mode.SILENT:
                desk.end_watches(mode)
            if mode is Mode.REFUSING:
                desk.listener.refuse()
            elif before is Mode.REFUSING:
                desk.listener.open()

    def change(self, status: str, *names: str, since_ms: int | None = None) -> Change:
        """One version for all these servers; returns it."""
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
            for desk in self.desks:
                desk.changed()
        return change

    def listing(self, version: int | None) -> bytes:
        """What has changed since that version, or the whole list, which names none that is gone."""
        whole = version is None or version > self.version
        if whole:
            told = [entry for entry in self.entries.values() if entry.status != "Gone"]
        else:
            names = {e.name for c in self.changes if c.version > (version or 0) for e in c.entries}
            told = [self.entries[name] for name in sorted(names)]
        endpoints = [{name: getattr(entry, name) for name in Entry.__slots__} for entry in told]
        return json.dumps({"index": self.version, "snapshot": whole, "endpoints": endpoints}).encode()

    def take(self, desk: Desk, peer: Peer, version: int | None, hold: float) -> None:
        loop = asyncio.get_running_loop()
        if self.mode is Mode.ANSWERING:
            if version == self.version and hold > 0:
                desk.hold(peer, version, hold)
            else:
                self.answer_in_turn(desk, peer, version)
        elif self.mode is Mode.FAILING_AT_ONCE:
            peer.answer(503)
        elif self.mode is Mode.FAILING_LATE:
            loop.call_later(FAILS_AFTER, peer.answer, 503)
        elif self.mode is Mode.RESETTING:
            peer.abort()

    def answer_in_turn(self, desk: Desk, peer: Peer, version: int | None) -> None:
        now = time.monotonic()
        begin = max(now, self.free_at)
        self.free_at = begin + (1 / self.calls_per_s if self.calls_per_s < math.inf else 0.0)
        loop = asyncio.get_running_loop()
        if begin - now > FAILS_AFTER:
            loop.call_later(FAILS_AFTER, peer.answer, 503)
        else:
            loop.call_later(self.free_at - now, self._write, desk, peer, version)

    def _write(self, desk: Desk, peer: Peer, version: int | None) -> None:
        if self.mode is Mode.ANSWERING:
            desk.write(peer, version)
        elif self.mode is not Mode.SILENT:
            peer.answer(503)

    # what counts as told
    def reached_at(self, since: float) -> float:
        """The first moment, `since` or later, from which discovery could be reached for TOLD_AFTER on end;
        infinite if there was none up to now."""
        begun = -math.inf
        reachable = True
        for at, mode in [*self.modes, (time.monotonic(), None)]:
            if reachable and at - max(begun, since) >= TOLD_AFTER:
                return max(begun, since)
            if mode is not None:
                now_reachable = mode in REACHABLE
                if now_reachable and not reachable:
                    begun = at
                reachable = now_reachable
        return math.inf

    def told_at(self, desk: Desk, change: Change) -> float:
        """When a change counts as told to that desk's proxy, answered or not; infinite: not up to now."""
        written = [at for at, version in desk.written if version >= change.version]
        told = self.reached_at(change.made_at) + TOLD_AFTER
        for watch, silent_at in desk.silenced.values():
            missed = silent_at <= change.made_at
            if missed:
                told = max(told, silent_at + TOLD_AFTER, watch.begun + watch.hold + HOLD_TOLD)
        if change.made_at <= desk.moved_at + MOVE_TOLD:
            told = min(told, desk.moved_at + MOVE_TOLD)
        return min([told, *written])
