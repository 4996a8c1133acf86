"""Checks that each request on a caller's connection begins with a request line of HTTP/1.1.

The parser also takes lines of other versions and protocols, and its callbacks tell neither the protocol nor
where in the data a request begins. So the input is cut into pieces such that each request begins with a
piece of its own, and the first line is checked before the parser gets the rest.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

REQUEST_LINE = re.compile(rb"[^ \r\n]+ [^ \r\n]+ HTTP/1\.1\r\n")  # RFC 9112, section 3
OTHER_VERSION = re.compile(rb"[^ \r\n]+ [^ \r\n]+ HTTP/\d\.\d\r\n")
BLANK_LINE = b"\n\r\n"  # with the end of the line before it


@dataclass(frozen=True, slots=True)
class Rejection:
    """The error answer to a request that is not forwarded."""

    code: int  # HTTP status
    text: str  # the body of the answer


class BadRequest(Exception):
    """A request can't be forwarded. Keep the rejection, not the exception: that refers to its frames."""

    def __init__(self, code: int, text: str) -> None:
        super().__init__(text)
        self.rejection = Rejection(code, text)


def rejection_for(error: Exception) -> Rejection:
    """Returns the answer to input that raised this error, maybe inside a callback of the parser."""
    cause = error if isinstance(error, BadRequest) else error.__context__
    return cause.rejection if isinstance(cause, BadRequest) else Rejection(400, "malformed HTTP")


class Phase(Enum):
    """What the next byte of the input belongs to."""

    REQUEST_LINE = "request line"
    HEADERS = "headers"
    BODY = "body"  # of a stated length
    CHUNKS = "chunks"  # of a body, and the trailers after them


class RequestSplitter:
    """Cuts the input of one connection into pieces for the parser, whose callbacks report back."""

    __slots__ = ("_body_left", "_line", "_phase")

    def __init__(self) -> None:
        self._phase = Phase.REQUEST_LINE
        self._line = b""  # what has arrived of the request line
        self._body_left = 0  # bytes

    def split(self, data: bytes) -> Iterator[bytes]:
        """Yields the data in pieces; the parser has to process each one before the next is asked for.

        Raises BadRequest instead of the end of a request line that is not one of HTTP/1.1.
        """
        position = 0
        while position < len(data):
            end = self._piece_end(data, position)
            piece = data[position:end]
            if self._phase is Phase.REQUEST_LINE:
                self._add_to_line(piece)
            elif self._phase is Phase.BODY:
                self._body_left -= len(piece)
            yield piece
            position = end

    def on_headers_complete(self, content_length: int | None) -> None:
        """The headers have ended. `content_length` is in bytes; None: the body comes in chunks."""
        self._phase = Phase.CHUNKS if content_length is None else Phase.BODY
        self._body_left = content_length or 0

    def on_message_complete(self) -> None:
        """The request has ended."""
        self._phase = Phase.REQUEST_LINE

    def _piece_end(self, data: bytes, position: int) -> int:
        """Returns the end of the piece that begins at `position`: a request never ends before that."""
        if self._phase is Phase.BODY:
            return min(len(data), position + self._body_left)
        if self._phase is Phase.REQUEST_LINE or position == 0:
            # At the start of the data the first line may be the rest of a blank line.
            before_end, line_end = data.find(b"\n", position), b"\n"
        else:
            before_end, line_end = data.find(BLANK_LINE, position - 1), BLANK_LINE
        return len(data) if before_end < 0 else before_end + len(line_end)

    def _add_to_line(self, piece: bytes) -> None:
        """Adds to the request line, and checks it when it is complete; blank lines before it are dropped."""
        self._line = (self._line + piece).lstrip(b"\r\n")
        if not self._line.endswith(b"\n"):
            return
        line, self._line = self._line, b""
        if not REQUEST_LINE.fullmatch(line):
            if OTHER_VERSION.fullmatch(line):
                raise BadRequest(505, "only HTTP/1.1 is served")
            raise BadRequest(400, "the first line is no request of HTTP/1.1")
        self._phase = Phase.HEADERS
