"""Ids of requests that may have run: none is forgotten before its time, and their number is bounded."""

from __future__ import annotations

from granitepoint.executed_ids import GENERATIONS, ExecutedIds

KEEP_FOR = 12.0


def test_an_id_is_kept_for_its_time_whatever_others_come() -> None:
    ids = ExecutedIds(KEEP_FOR, limit=100_000)
    for step in range(400):
        now = 1000.0 + step / 10
        ids.add(b"id-%d" % step, now)
        for other in range(20):
            ids.add(b"other-%d-%d" % (step, other), now)
        oldest_kept = max(0, step - int(KEEP_FOR * 10) + 1)
        assert ids.contains(b"id-%d" % oldest_kept, now)
    assert not ids.contains(b"id-0", now)
    longest = KEEP_FOR * GENERATIONS / (GENERATIONS - 1)
    assert len(ids) <= 21 * (longest * 10 + 1)


def test_without_room_no_further_request_may_begin_until_ids_have_had_their_time() -> None:
    ids = ExecutedIds(KEEP_FOR, limit=3)
    for number in range(3):
        ids.add(b"%d" % number, 1000.0)
    assert ids.has_room(1000.0, 0) and not ids.has_room(1000.0 + KEEP_FOR / 2, 1)
    assert ids.has_room(1000.0 + 2 * KEEP_FOR, 3) and not len(ids)
    assert not ids.contains(b"0", 1000.0 + 2 * KEEP_FOR)
