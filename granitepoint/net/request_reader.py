"""Parses the input of one caller's connection into requests, one piece of it at a time.

Input that waits for its turn is kept as it was read, with the time of its arrival: parsed, it would take many
times its size.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

import httptools

from granitepoint.interface import Effect
from granitepoint.net.headers import normalize_header
from granitepoint.net.request_lines import BadRequest, Rejection, RequestSplitter, rejection_for
from granitepoint.net.requests import Request, read_request

MAX_BODY_BYTES = 256 * 1024  # of a request
LARGE_BODY_BYTES = 64 * 1024  # a body above this is large; only max_large_requests are held at once
MAX_HEAD_BYTES = 32 * 1024  # target and headers of a request
MAX_HEAD_FIELDS = 128
MAX_RAW_REQUEST_BYTES = MAX_HEAD_BYTES + 2 * MAX_BODY_BYTES  # as received, with the framing of chunks
CHUNK_OBJECT_BYTES = 128  # memory of a chunk of input beside its bytes
FIELD_OBJECT_BYTES = 192  # memory of a parsed header beside its bytes


class HealthCheck(Enum):
    """A request that asks whether the proxy is ready."""

    READY = "GET /healthz"


@dataclass(slots=True)
class Incoming:
    """What the input has completed."""

    message: Request | Rejection | HealthCheck
    keep_alive: bool  # the connection stays open after the answer
    ends_input: bool = False  # what follows can't be parsed


class Owner(Protocol):
    """The connection that the input comes from."""

    def reserve_large_request(self) -> bool:
        """Returns whether a large request may be held for this connection."""
        ...

    def send_continue(self) -> None:
        """Tells the caller to send the body of its request."""
        ...


class RequestReader:
    """The input of one connection: what has been read of it, and the request that is in part parsed."""

    __slots__ = (
        "_arrived_at",
        "_body",
        "_body_size",
        "_completed",
        "_effects",
        "_head_size",
        "_headers",
        "_headers_complete",
        "_owner",
        "_pieces",
        "_raw_bytes",
        "_rest_bytes",
        "_splitter",
        "_target",
        "in_message",
        "input_size",
        "parser",
        "unparsed",
    )  # fmt: skip

    def __init__(self, owner: Owner, effects: Mapping[str, Effect]) -> None:
        self._owner: Owner | None = owner
        self._effects = effects
        self.parser: Any = httptools.HttpRequestParser(self)
        self.unparsed: list[tuple[bytes, float]] = []  # chunks, with their times of arrival
        self.input_size = 0  # bytes of memory of the unparsed input, that being parsed included
        self.in_message = False  # the parser is within a request
        self._splitter = RequestSplitter()
        self._pieces: Iterator[bytes] | None = None  # of the chunk that is being parsed
        self._rest_bytes = 0  # of that chunk, beyond the last piece
        self._arrived_at = 0.0  # monotonic, of that chunk
        self._raw_bytes = 0  # of the current request, as received
        self._completed: Incoming | None = None
        self._start_request()

    def _start_request(self) -> None:
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        self._head_size = self._body_size = 0
        self._headers_complete = False

    # Input
    @property
    def has_input(self) -> bool:
        """Whether bytes have been read that are not parsed yet."""
        return self._pieces is not None or bool(self.unparsed)

    @property
    def has_partial_request(self) -> bool:
        """Whether a request has been parsed in part.

        in_message covers a request whose first bytes arrived together with the end of the previous one.
        """
        return self.in_message or self._raw_bytes > 0

    @property
    def partial_size(self) -> int:
        """Bytes of memory of the request that has been parsed in part."""
        return self._raw_bytes + FIELD_OBJECT_BYTES * len(self._headers)

    def add(self, data: bytes, arrived_at: float) -> None:
        """Adds bytes that have been read, and arrived at this monotonic time or later."""
        self.unparsed.append((data, arrived_at))
        self.input_size += len(data) + CHUNK_OBJECT_BYTES

    def advance(self) -> Incoming | None:
        """Parses the next piece of the input; returns what that completes.

        After malformed input the rest is dropped.
        """
        try:
            piece = self._next_piece()
            if piece is not None:
                self._parse(piece)
        except Exception as error:  # the parser wraps an exception that a callback raised in one of its own
            self.discard()
            return Incoming(rejection_for(error), keep_alive=False, ends_input=True)
        completed, self._completed = self._completed, None
        return completed

    def _next_piece(self) -> bytes | None:
        if self._pieces is None:
            if not self.unparsed:
                return None
            data, self._arrived_at = self.unparsed.pop(0)
            self._rest_bytes = len(data)
            self._pieces = self._splitter.split(data)
        piece = next(self._pieces)
        self._rest_bytes -= len(piece)
        self.input_size -= len(piece)
        if not self._rest_bytes:
            self._pieces = None
            self.input_size -= CHUNK_OBJECT_BYTES
        return piece

    def _parse(self, piece: bytes) -> None:
        self._raw_bytes += len(piece)
        self.parser.feed_data(piece)
        # httptools buffers an unfinished header without a callback, so the raw bytes are counted as well.
        if self._raw_bytes > MAX_HEAD_BYTES and not self._headers_complete:
            raise BadRequest(431, "headers too large")
        if self._raw_bytes > MAX_RAW_REQUEST_BYTES:
            raise BadRequest(413, "the request does not end")

    def discard(self) -> None:
        """Drops all input and the partial request."""
        self.unparsed.clear()
        self._pieces = None
        self.input_size = self._raw_bytes = 0
        self.in_message = False
        self._start_request()

    def close(self) -> None:
        """Drops everything. The parser refers to this object, which would stay until the next collection."""
        self.discard()
        self.parser = self._owner = None

    # Parser callbacks
    def on_message_begin(self) -> None:
        """Starts a new request."""
        self.in_message = True
        self._start_request()

    def on_url(self, part: bytes) -> None:
        """Adds a part of the target."""
        self._target += part
        self._add_head_size(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header; a trailer only counts towards the size limit."""
        self._add_head_size(len(name) + len(value))
        if not self._headers_complete:
            if len(self._headers) >= MAX_HEAD_FIELDS:
                raise BadRequest(431, "too many headers")
            self._headers.append(normalize_header(name, value))

    def _add_head_size(self, size: int) -> None:
        self._head_size += size
        if self._head_size > MAX_HEAD_BYTES:
            raise BadRequest(431, "headers too large")

    def on_headers_complete(self) -> None:
        """Checks how the length of the body is given, and answers `Expect: 100-continue`."""
        self._headers_complete = True
        lengths = [value for name, value in self._headers if name == b"content-length"]
        codings = [value for name, value in self._headers if name == b"transfer-encoding"]
        # Prevents request smuggling: with an ambiguous length a backend could take a part of the body for a
        # second request.
        if len(lengths) + len(codings) > 1 or (codings and codings[0].lower() != b"chunked"):
            raise BadRequest(400, "no one way to tell the length")
        body_size = 0
        if lengths:
            if not lengths[0].isdigit():
                raise BadRequest(400, "Content-Length is malformed")
            body_size = int(lengths[0]) if len(lengths[0]) <= 15 else MAX_BODY_BYTES + 1
            self._check_body_size(body_size)
        self._splitter.on_headers_complete(None if codings else body_size)
        expects = any(name == b"expect" and value.lower() == b"100-continue" for name, value in self._headers)
        if expects and self._owner is not None:
            self._owner.send_continue()

    def on_body(self, chunk: bytes) -> None:
        """Adds a part of the body."""
        self._body_size += len(chunk)
        self._check_body_size(self._body_size)
        self._body += chunk

    def _check_body_size(self, size: int) -> None:
        if size <= LARGE_BODY_BYTES:
            return
        if size > MAX_BODY_BYTES or self._owner is None or not self._owner.reserve_large_request():
            raise BadRequest(413, "body too large")

    def on_message_complete(self) -> None:
        """Checks the complete request, for `advance` to return."""
        self._splitter.on_message_complete()
        keep_alive = self.parser.should_keep_alive()
        method = self.parser.get_method()
        message: Request | Rejection | HealthCheck = HealthCheck.READY
        if self.parser.should_upgrade():
            message = Rejection(400, "no upgrades")
            keep_alive = False
        elif self._target.split(b"?", 1)[0] != b"/healthz" or method != b"GET":
            message = self._read_request(method)
        self._completed = Incoming(message, keep_alive)
        self.in_message = False
        self._raw_bytes = 0
        self._start_request()

    def _read_request(self, method: bytes) -> Request | Rejection:
        try:
            return read_request(
                method, self._target, self._headers, bytes(self._body), self._arrived_at, self._effects
            )
        except BadRequest as error:
            return error.rejection
