"""What the bytes of peers take of this process's memory, counted before they are held.

The memory above that of the process itself is divided: a part lets each connection hold one small request and
one read, the rest is shared by whatever is larger. Each holder charges its account before it holds more, and
does without if that fails.
"""

from __future__ import annotations

from dataclasses import dataclass

from granitepoint.net.process_memory import MEBIBYTE

BASE_MEMORY_MB = 26.0  # of the process before it serves, where the kernel does not tell it
WORKING_MEMORY_MB = 2.5  # that the process comes to use beside what is charged: its own objects, garbage
MIN_SPARE_MB = 1.5  # that is divided in any case: with less, nothing could be served
CONNECTION_SHARE = 0.45  # of the spare memory, for the allowances of the callers' connections
REQUEST_SHARE = 0.2  # for requests beyond the allowance of their connection
READ_AHEAD_SHARE = 0.12  # for input beyond that allowance that waits behind an open request
ANSWER_SHARE = 0.11  # for answers that callers do not read
BACKEND_ANSWER_SHARE = 0.12  # for answers of backends that have arrived in part
# Of a list of servers as received, in shares of the spare memory, and the bounds of that; the least is for
# 3,200 servers.
LIST_SHARE = 0.05
MIN_LIST_BYTES, MAX_LIST_BYTES = 640 * 1024, 8 << 20
CONNECTION_BYTES = 4 * 1024  # objects of a connection with a small request, without its unparsed input
MIN_READ_BYTES, MAX_READ_BYTES = 2 * 1024, 16 * 1024  # of one read from a caller
MAX_READ_AHEAD_BYTES = 4 << 20  # of one connection


class MemoryAccount:
    """Bytes that holders of one kind have charged, up to a limit."""

    __slots__ = ("charged", "limit")

    def __init__(self, limit: int) -> None:
        """`limit` is in bytes."""
        self.limit = limit
        self.charged = 0

    def try_charge(self, size: int) -> bool:
        """Charges `size` bytes and returns True, or changes nothing if that exceeds the limit.

        A negative size releases what was charged, which always succeeds.
        """
        if size > 0 and self.charged + size > self.limit:
            return False
        self.charged += size
        return True

    def charge(self, size: int) -> None:
        """Charges `size` bytes whatever the limit, or releases them if it is negative."""
        self.charged += size

    @property
    def free(self) -> int:
        """Bytes that may still be charged."""
        return max(0, self.limit - self.charged)


@dataclass(frozen=True, slots=True)
class MemoryPlan:
    """How the memory that is left beside the process itself is divided. Sizes are in bytes."""

    max_connections: int  # of callers
    read_size: int  # of one read, and what a connection may hold of input without a charge
    list_size: int  # of an answer of discovery, at most
    requests: MemoryAccount
    read_ahead: MemoryAccount
    answers: MemoryAccount
    backend_answers: MemoryAccount


def plan_memory(memory_mb: float, process_mb: float, wanted_connections: int) -> MemoryPlan:
    """Divides the memory limit of a process that takes `process_mb` MB before it serves."""
    spare = int(max(MIN_SPARE_MB, memory_mb - process_mb - WORKING_MEMORY_MB) * MEBIBYTE)
    for_connections = int(CONNECTION_SHARE * spare)
    wanted_read_size = for_connections // max(1, wanted_connections) - CONNECTION_BYTES
    read_size = min(MAX_READ_BYTES, max(MIN_READ_BYTES, wanted_read_size))
    return MemoryPlan(
        max_connections=min(wanted_connections, for_connections // (CONNECTION_BYTES + read_size)),
        read_size=read_size,
        list_size=min(MAX_LIST_BYTES, max(MIN_LIST_BYTES, int(LIST_SHARE * spare))),
        requests=MemoryAccount(int(REQUEST_SHARE * spare)),
        read_ahead=MemoryAccount(int(READ_AHEAD_SHARE * spare)),
        answers=MemoryAccount(int(ANSWER_SHARE * spare)),
        backend_answers=MemoryAccount(int(BACKEND_ANSWER_SHARE * spare)),
    )
